"""`emberring lots`: what stores hold of batch jobs, by shard and by job."""

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
    """The status of stores by name; a store that does not respond is reported on standard error."""
    network = Network()

    async def ask(name: str, address: str) -> tuple[str, StoreStatus | None]:
        try:
            return name, await network.call(address, StoreStatusRequest(jobs), StoreStatus, timeout_s)
        except EmberringError as error:
            print_error(f"{name}: {error.detail}")
            return name, None

    found = await asyncio.gather(*(ask(name, address) for name, address in addresses.items()))
    await network.close()
    return {name: status for name, status in found if status is not None}


def _ask(control: list[str] | None, jobs: bool, timeout_s: float) -> dict[str, StoreStatus]:
    nodes = first_status(control_addresses(control), timeout_s)["Nodes"]
    addresses = {node["Name"]: node["Address"] for node in nodes if node["Role"] == NodeRole.STORE.value}
    found = asyncio.run(ask_stores(addresses, jobs, timeout_s))
    if not found:
        raise PeerUnavailableError("no store answers")
    return found


@app.command(epilog=EXIT_CODES_TEXT)
def shards(
    control: ControlOption = None, timeout: TimeoutOption = DEFAULT_TIMEOUT_S, as_json: JsonOption = False
) -> None:
    """Show, shard by shard, which store owns it, who replicates it, and what waits there."""
    found = _ask(control, False, timeout)
    rows = [_shard_row(shard, found) for shard in sorted(_all_shards(found))]
    if as_json:
        print_json(rows)
        return
    print_table(
        ("shard", "owner", "replicas", "epoch", "term", "lots", "items waiting", "tokens waiting"),
        [tuple(row.values()) for row in rows],
    )


def _all_shards(found: dict[str, StoreStatus]) -> set[int]:
    return {shard.shard for status in found.values() for shard in status.shards}


def _shard_row(number: int, found: dict[str, StoreStatus]) -> dict[str, Any]:
    held = {name: shard for name, status in found.items() for shard in status.shards if shard.shard == number}
    owner = next((name for name, shard in held.items() if shard.owner), "")
    reported = held[owner] if owner else next(iter(held.values()))
    return {
        "Shard": number,
        "Owner": owner or "none",
        "Replicas": " ".join(sorted(held)),
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
    """List lots with how many of their items have a result; at most 500 of each store."""
    found = _ask(control, True, timeout)
    jobs = sorted((job for status in found.values() for job in status.jobs), key=lambda job: -job.age_s)
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
