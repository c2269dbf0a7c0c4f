"""Batch jobs of several services on three stores, of which one has no servers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path

import attrs
import orjson
import pytest
from tier_store_cluster import CONFIGURATION, ROUTE, Cluster, FakeExecutor, job_body, run

from emberring.configuration.model import Configuration, Service, Share
from emberring.jobs.client import JobClient
from emberring.jobs.items import ItemCall, ItemEvent, ItemOutcome, OutcomeKind
from emberring.placement.model import shard_of

LOST_HOST = "branch.example"
# Of the same shard, so that the same owner leases the items of both.
SOUND_HOST = next(
    host
    for host in (f"audit{number}.example" for number in range(1000))
    if shard_of(host) == shard_of(LOST_HOST)
)
LOST_JOBS, SOUND_JOBS, ITEMS = 6, 2, 20
READ_WAIT_MS = 500
FINISH_S = 10.0  # within which every item that a server can do is listed


class SoundExecutor(FakeExecutor):
    """Executor that runs items of the service `sound`, three at a time; no server takes those of `lost`."""

    def __init__(self, services: list[str]) -> None:
        super().__init__(events=1)
        self.capacity = 3
        self.services = services

    async def run_item(self, item: ItemCall, on_events: Callable[[list[ItemEvent]], None]) -> ItemOutcome:
        (share,) = item.route.split
        if share.service != "sound":
            return ItemOutcome(OutcomeKind.NOT_RUN, share.service)
        return await super().run_item(item, on_events)


def configuration() -> Configuration:
    routes = tuple(
        attrs.evolve(ROUTE, name=f"r-{service}", host=host, split=(Share(service, 1),))
        for service, host in (("lost", LOST_HOST), ("sound", SOUND_HOST))
    )
    return Configuration(CONFIGURATION.version + 1, routes, (Service("lost"), Service("sound")))


# Guards against batch jobs that wait behind those of another service, whose servers are gone or take nothing, until
# both are given up.
@pytest.mark.parametrize("services", [["sound"], ["lost", "sound"]])
def test_jobs_of_a_service_without_servers_do_not_hold_back_those_of_another_one(
    tmp_path: Path, services: list[str]
) -> None:
    async def scenario() -> None:
        cluster = await Cluster.begin(tmp_path)
        cluster.world.configuration = known = configuration()
        cluster.world.notify_followers()
        gateway = cluster.gateway(SoundExecutor(services))
        await gateway.runner.start()
        lost, sound = known.routes
        for number, route in enumerate([lost] * LOST_JOBS + [sound] * SOUND_JOBS):
            job = f"job{number}"
            await gateway.client.submit(route.host, route, job, job_body(job, ITEMS))
        for number in range(LOST_JOBS, LOST_JOBS + SOUND_JOBS):
            assert await completed(gateway.client, SOUND_HOST, f"job{number}") == ITEMS
        await gateway.end()
        await cluster.end()

    run(scenario())


async def completed(client: JobClient, host: str, job: str) -> int:
    """Return how many items of the batch job are completed, once all are listed or after `FINISH_S`."""
    results: list[dict[str, str]] = []
    until_s = asyncio.get_running_loop().time() + FINISH_S
    while asyncio.get_running_loop().time() < until_s:
        page = orjson.loads(await client.read(host, job, len(results), READ_WAIT_MS))
        results += page["Results"]
        if len(results) == page["Total"]:
            break
    return sum(result["State"] == "completed" for result in results)


# Guards against a service that no server serves and that slows the polls for all other services.
def test_a_pause_after_an_item_that_was_not_run_holds_for_its_service_alone(tmp_path: Path) -> None:
    async def scenario() -> None:
        cluster = await Cluster.begin(tmp_path)
        cluster.world.configuration = known = configuration()
        cluster.world.notify_followers()
        runner = cluster.gateway(SoundExecutor(["lost", "sound"])).runner
        requested: list[dict[str, int]] = []
        capacity = runner._service_capacity
        runner._service_capacity = lambda: requested.append(capacity()) or requested[-1]  # type: ignore
        await runner.start()
        lost, _ = known.routes
        client = cluster.gateway().client
        await client.submit(lost.host, lost, "job", job_body("job", 1))
        async with asyncio.timeout(FINISH_S):
            while {"lost": 0, "sound": 3} not in requested:
                await asyncio.sleep(0.01)
        assert all(one["sound"] == 3 for one in requested)
        assert runner.outcomes[("lost", "not_run")] >= 1
        await runner.stop()
        await cluster.end()

    run(scenario())
