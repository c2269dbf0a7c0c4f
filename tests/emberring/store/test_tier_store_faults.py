"""Batch jobs while stores lose their disks, stall, shut down or are retired."""

from __future__ import annotations

import asyncio
import base64
import random
import shutil
import time
from pathlib import Path
from typing import Any

import orjson
import pytest
from tier_store_cluster import HOST, ROUTE, Cluster, FakeExecutor, job_body, read_all, run, text_of, until

from emberring.errors import NotFoundError, NotReadyError, OverloadedError, UnknownOutcomeError
from emberring.jobs import definition
from emberring.jobs.calls import JobTerms
from emberring.jobs.definition import encode_definition
from emberring.jobs.loading import DecodeDefinition
from emberring.jobs.packing import compress
from emberring.placement.model import shard_of
from emberring.placement.retirement import begin_retire, retire_state
from emberring.store.definition_decoder import MAX_INLINE_BYTES, DefinitionDecoder

SHARD = shard_of(HOST)
TERMS = JobTerms("r", "/batch/", 1, 8000.0, 40.0, 2, 0)


def holds(cluster: Cluster, name: str, job: str) -> bool:
    return f"{HOST}/{job}" in cluster.stores[name].host.replicas[SHARD].jobs


def test_a_store_whose_disk_is_lost_gets_all_records_again(tmp_path: Path) -> None:
    async def scenario() -> None:
        cluster = await Cluster.begin(tmp_path)
        gateway = cluster.gateway(FakeExecutor())
        await gateway.runner.start()
        for number in range(8):
            await gateway.client.submit(HOST, ROUTE, f"lot{number}", job_body(f"lot{number}", 5))
        results = {f"lot{number}": await read_all(gateway.client, f"lot{number}") for number in range(8)}
        await cluster.kill("s2")
        shutil.rmtree(tmp_path / "s2")
        before = cluster.world.placement
        await cluster.start_store("s2")
        cluster.world.replan()
        assert cluster.world.placement != before
        await until(lambda: not any(group.joining for group in cluster.world.placement.groups))
        assert all(holds(cluster, "s2", f"lot{number}") for number in range(8))
        # The store with the new disk and one other store are a quorum.
        await cluster.kill("s1")
        for job, found in results.items():
            assert await read_all(gateway.client, job, 8.0) == found
        await gateway.end()
        await cluster.end()

    run(scenario())


def test_a_retired_store_can_be_removed_without_a_loss(tmp_path: Path) -> None:
    async def scenario() -> None:
        cluster = await Cluster.begin(tmp_path, ("s1", "s2", "s3", "s4"))
        world = cluster.world
        gateway = cluster.gateway(FakeExecutor())
        await gateway.runner.start()
        await gateway.client.submit(HOST, ROUTE, "lot1", job_body("lot1", 6))
        results = await read_all(gateway.client, "lot1")
        owner = cluster.owner_of(SHARD)
        assert owner is not None
        assert world.placement is not None
        world.placement = begin_retire(world.placement, owner, world.live())
        world.replan()

        def completed() -> bool:
            world.replan()
            return retire_state(world.placement, owner) == "completed"

        await until(completed)
        await cluster.kill(owner)
        shutil.rmtree(tmp_path / owner)
        assert await read_all(gateway.client, "lot1") == results
        await gateway.end()
        await cluster.end()

    run(scenario())


def test_a_store_that_shuts_down_releases_ownership_first(tmp_path: Path) -> None:
    async def scenario() -> None:
        cluster = await Cluster.begin(tmp_path)
        gateway = cluster.gateway(FakeExecutor())
        await gateway.client.submit(HOST, ROUTE, "lot1", job_body("lot1", 2))
        owner = cluster.owner_of(SHARD)
        assert owner is not None
        store = cluster.stores[owner]
        leaving = asyncio.get_running_loop().create_task(store.shutdown())
        await until(lambda: cluster.owner_of(SHARD) not in (None, owner), 0.7)
        await leaving
        del cluster.stores[owner]
        cluster.world.facts.pop(owner)
        await gateway.runner.start()
        assert len(await read_all(gateway.client, "lot1")) == 2
        await gateway.end()
        await cluster.end()

    run(scenario())


class StalledJournal:
    """Journal on a disk that accepts writes and never completes them."""

    failed = False

    def __init__(self) -> None:
        self.appended = 0

    def append(self, payload: bytes, reclaiming: bool = False) -> asyncio.Future[Any]:
        self.appended += 1
        return asyncio.get_running_loop().create_future()


def test_an_owner_whose_disk_stalls_releases_ownership_and_jobs_are_accepted_meanwhile(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        cluster = await Cluster.begin(tmp_path)
        gateway = cluster.gateway(FakeExecutor())
        await gateway.client.submit(HOST, ROUTE, "lot1", job_body("lot1", 2))
        owner = cluster.owner_of(SHARD)
        assert owner is not None
        store = cluster.stores[owner]
        store.host._journal = StalledJournal()  # type: ignore[assignment]
        await gateway.client.submit(HOST, ROUTE, "lot2", job_body("lot2", 2))
        await until(lambda: cluster.owner_of(SHARD) not in (None, owner))
        await gateway.client.submit(HOST, ROUTE, "lot3", job_body("lot3", 2))
        await gateway.runner.start()
        for job in ("lot1", "lot2", "lot3"):
            assert len(await read_all(gateway.client, job)) == 2
        await gateway.end()
        await cluster.end()

    run(scenario())


def test_a_full_store_rejects_a_submission_with_a_definite_error(tmp_path: Path) -> None:
    async def scenario() -> None:
        cluster = await Cluster.begin(tmp_path)
        gateway = cluster.gateway(FakeExecutor())
        await gateway.client.submit(HOST, ROUTE, "lot1", job_body("lot1", 2))
        await until(lambda: all(holds(cluster, name, "lot1") for name in cluster.stores))
        for store in cluster.stores.values():
            store.host._max_bytes = 10
        with pytest.raises(OverloadedError):
            await gateway.client.submit(HOST, ROUTE, "lot2", job_body("lot2", 2))
        with pytest.raises(NotFoundError):
            await gateway.client.read(HOST, "lot2", 0, 0)
        await gateway.runner.start()
        assert len(await read_all(gateway.client, "lot1")) == 2
        await gateway.end()
        await cluster.end()

    run(scenario())


def test_without_two_of_three_stores_no_outcome_is_reported(tmp_path: Path) -> None:
    async def scenario() -> None:
        cluster = await Cluster.begin(tmp_path)
        gateway = cluster.gateway(FakeExecutor())
        await gateway.client.submit(HOST, ROUTE, "lot1", job_body("lot1", 2))
        owner = cluster.owner_of(SHARD)
        assert owner is not None
        for name in [name for name in cluster.stores if name != owner]:
            await cluster.kill(name)
        with pytest.raises((UnknownOutcomeError, NotReadyError)):
            await gateway.client.submit(HOST, ROUTE, "lot2", job_body("lot2", 2))
        with pytest.raises(NotReadyError):
            await gateway.client.read(HOST, "lot2", 0, 0)
        await gateway.end()
        await cluster.end()

    run(scenario())


def test_items_of_a_gateway_that_fails_are_resumed_by_another(tmp_path: Path) -> None:
    async def scenario() -> None:
        cluster = await Cluster.begin(tmp_path)
        slow = FakeExecutor(events=30, pause_s=0.1)
        first = cluster.gateway(slow, "g1")
        await first.runner.start()
        await first.client.submit(HOST, ROUTE, "lot1", job_body("lot1", 3))
        await until(lambda: len(slow.runs) == 3)
        owner = cluster.owner_of(SHARD)
        assert owner is not None
        job = cluster.stores[owner].shards.job_managers[SHARD].jobs[f"{HOST}/lot1"]
        await until(lambda: all(len(item.events) >= 4 for item in job.items))
        await first.end()
        quick = FakeExecutor(events=30)
        second = cluster.gateway(quick, "g2")
        await second.runner.start()
        results = await read_all(second.client, "lot1", 8.0)
        assert {result["Message"] for result in results} == {
            text_of(f"lot1-{number}", 30) for number in range(3)
        }
        assert all(resumed is not None and resumed >= 3 for _, resumed in quick.runs)
        await second.end()
        await cluster.end()

    run(scenario())


def test_the_end_of_a_job_stops_its_runs(tmp_path: Path) -> None:
    async def scenario() -> None:
        cluster = await Cluster.begin(tmp_path)
        executor = FakeExecutor(events=200, pause_s=0.1)
        gateway = cluster.gateway(executor)
        await gateway.runner.start()
        await gateway.client.submit(HOST, ROUTE, "lot1", job_body("lot1", 5))
        await until(lambda: executor.active == 5)
        await gateway.client.end(HOST, "lot1")
        await until(lambda: executor.active == 0, 1.5)
        assert len(executor.runs) == 5
        await gateway.end()
        await cluster.end()

    run(scenario())


LARGE_JOBS = 8
DECODING_S = (
    0.25  # of one definition; eight of them take longer than an owner's lease and its replicas' patience
)


# Guards against review case 1: owners that depose each other, as each decodes all definitions in one step.
def test_a_shard_whose_definitions_take_long_to_decode_has_one_owner_after_a_kill(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        cluster = await Cluster.begin(tmp_path)
        gateway = cluster.gateway(FakeExecutor())
        await gateway.runner.start()
        jobs = [f"lot{number}" for number in range(LARGE_JOBS)]
        for job in jobs:
            await gateway.client.submit(HOST, ROUTE, job, large_job_body(job))
            await read_all(gateway.client, job)
        decompress = definition.decompress

        def decompress_slowly(data: bytes | memoryview) -> bytes:
            time.sleep(DECODING_S)  # the slow work itself, as in a library that releases the interpreter
            return decompress(data)

        monkeypatch.setattr(definition, "decompress", decompress_slowly)
        owner = cluster.owner_of(SHARD)
        assert owner is not None
        await cluster.kill(owner)
        await until(lambda: cluster.owner_of(SHARD) is not None)
        new_owner = cluster.owner_of(SHARD)
        assert new_owner is not None
        term = cluster.stores[new_owner].shards.owners[SHARD].term
        for job in jobs:
            assert len(await read_all(gateway.client, job, 10.0)) == 1
        assert cluster.owner_of(SHARD) == new_owner
        assert cluster.stores[new_owner].shards.owners[SHARD].term == term
        await gateway.end()
        await cluster.end()

    # The clock of `run` leaves out pauses of the event loop, which are what this test is about.
    asyncio.run(scenario())


def large_job_body(job: str) -> bytes:
    """Return a batch job of one item whose definition is not decoded on the event loop."""
    content = random.Random(job).randbytes(2 * MAX_INLINE_BYTES)
    item = {
        "Id": f"{job}-0",
        "Path": "/batch/0",
        "Headers": {"Model": "m"},
        "Body": base64.b64encode(content).decode(),
        "Tokens": 10,
    }
    return orjson.dumps({"Requests": [item]})


# Guards against a damaged definition that leaves all batch jobs behind it unreadable.
@pytest.mark.parametrize(
    "damaged", [b"{}\n" + compress(job_body("lot1", 1)), encode_definition(TERMS, b"not compressed")]
)
def test_a_definition_that_can_not_be_decoded_is_reported_as_damaged(damaged: bytes) -> None:
    async def scenario() -> None:
        decoder = DefinitionDecoder()
        decoded: asyncio.Future[list[Any] | None] = asyncio.get_running_loop().create_future()
        decoder.decode(
            DecodeDefinition(7, damaged), lambda number, specs: decoded.set_result([number, specs])
        )
        assert await decoded == [7, None]
        decoder.close()

    asyncio.run(scenario())
