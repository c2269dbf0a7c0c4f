"""`emberring lots`: lists the batch jobs (lots) in the stores, by shard and by job."""

from __future__ import annotations

import asyncio
from typing import Any

import attrs
import typer

from emberring.cli.options import ControlOption, JsonOption, TimeoutOption, control_addresses
from emberring.cli.printing import EXIT_CODES_TEXT, print_error, print_json, print_table
from emberring.cli.status_commands import first_status
from emberring.distribution.records import NodeRole
from emberring.errors import EmberringError, PeerUnavailableError
from emberring.jobs.status import StoreStatus, StoreStatusRequest
from emberring.transport.network import Network

DEFAULT_TIMEOUT_S = 2.0

app = typer.Typer(no_args_is_help=True, epilog=EXIT_CODES_TEXT)


async def ask_stores(addresses: dict[str, str], jobs: bool, timeout_s: float) -> dict[str, StoreStatus]:
    """Return the status of each store by name; a store that does not respond is reported on standard error."""
    network = Network()

    async def request_status(name: str, address: str) -> tuple[str, StoreStatus | None]:
        try:
            return name, await network.call(address, StoreStatusRequest(jobs), StoreStatus, timeout_s)
        except EmberringError as error:
            print_error(f"{name}: {error.detail}")
            return name, None

    results = await asyncio.gather(*(request_status(name, address) for name, address in addresses.items()))
    await network.close()
    return {name: status for name, status in results if status is not None}


def _store_statuses(control: list[str] | None, jobs: bool, timeout_s: float) -> dict[str, StoreStatus]:
    nodes = first_status(control_addresses(control), timeout_s)["Nodes"]
    addresses = {node["Name"]: node["Address"] for node in nodes if node["Role"] == NodeRole.STORE.value}
    statuses = asyncio.run(ask_stores(addresses, jobs, timeout_s))
    if not statuses:
        raise PeerUnavailableError("no store answers")
    return statuses


@app.command(epilog=EXIT_CODES_TEXT)
def shards(
    control: ControlOption = None, timeout: TimeoutOption = DEFAULT_TIMEOUT_S, as_json: JsonOption = False
) -> None:
    """Show the owner, the replicas and the waiting items of each shard."""
    statuses = _store_statuses(control, False, timeout)
    rows = [_shard_row(shard, statuses) for shard in sorted(_all_shards(statuses))]
    if as_json:
        print_json(rows)
        return
    print_table(
        ("shard", "owner", "replicas", "epoch", "term", "lots", "items waiting", "tokens waiting"),
        [tuple(row.values()) for row in rows],
    )


def _all_shards(statuses: dict[str, StoreStatus]) -> set[int]:
    return {shard.shard for status in statuses.values() for shard in status.shards}


def _shard_row(number: int, statuses: dict[str, StoreStatus]) -> dict[str, Any]:
    shards_by_store = {
        name: shard for name, status in statuses.items() for shard in status.shards if shard.shard == number
    }
    owner = next((name for name, shard in shards_by_store.items() if shard.owner), "")
    reported = shards_by_store[owner] if owner else next(iter(shards_by_store.values()))
    return {
        "Shard": number,
        "Owner": owner or "none",
        "Replicas": " ".join(sorted(shards_by_store)),
        "Epoch": reported.epoch,
        "Term": reported.term,
        "Lots": reported.jobs,
        "WaitingItems": reported.waiting_items,
        "WaitingTokens": reported.waiting_tokens,
    }


@app.command("list", epilog=EXIT_CODES_TEXT)
def list_jobs(
    control: ControlOption = None, timeout: TimeoutOption = DEFAULT_TIMEOUT_S, as_json: JsonOption = False
) -> None:
    """List lots with the number of their items that have a result; at most 500 lots per store."""
    statuses = _store_statuses(control, True, timeout)
    jobs = sorted((job for status in statuses.values() for job in status.jobs), key=lambda job: -job.age_s)
    if as_json:
        print_json([attrs.asdict(job) for job in jobs])
        return
    rows = [
        (
            job.id,
            job.host,
            job.shard,
            f"{job.listed} of {job.total}",
            "ended" if job.ended else "open",
            f"{job.age_s:.0f}",
        )
        for job in jobs
    ]
    print_table(("lot", "host", "shard", "results", "state", "age s"), rows)
