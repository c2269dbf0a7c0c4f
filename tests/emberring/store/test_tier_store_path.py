"""Batch jobs on three stores: submission, execution, reads, end, failures of stores."""

from __future__ import annotations

import asyncio
from pathlib import Path

import orjson
import pytest
from tier_store_cluster import HOST, ROUTE, Cluster, FakeExecutor, job_body, read_all, run, text_of

from emberring.errors import NotFoundError, QuotaExceededError
from emberring.jobs.items import OutcomeKind
from emberring.placement.model import shard_of


def test_a_job_is_submitted_run_and_read(tmp_path: Path) -> None:
    async def scenario() -> None:
        cluster = await Cluster.begin(tmp_path)
        executor = FakeExecutor()
        gateway = cluster.gateway(executor)
        await gateway.runner.start()
        await gateway.client.submit(HOST, ROUTE, "lot1", job_body("lot1", 5))
        results = await read_all(gateway.client, "lot1")
        assert {result["Id"] for result in results} == {f"lot1-{n}" for n in range(5)}
        assert all(result["State"] == "completed" for result in results)
        assert all(result["Message"] == text_of(result["Id"]) for result in results)
        assert len(executor.runs) == 5
        assert executor.bodies["lot1-0"] == bytes.fromhex("abcdef1234567890")
        repeated = await read_all(gateway.client, "lot1")
        assert repeated == results
        with pytest.raises(NotFoundError):
            await gateway.client.read(HOST, "other", 0, 0)
        await gateway.end()
        await cluster.end()

    run(scenario())


def test_an_accepted_job_is_on_two_disks(tmp_path: Path) -> None:
    async def scenario() -> None:
        cluster = await Cluster.begin(tmp_path)
        gateway = cluster.gateway()
        await gateway.client.submit(HOST, ROUTE, "lot1", job_body("lot1", 2))
        shard = shard_of(HOST)
        holders = [
            name
            for name, store in cluster.stores.items()
            if f"{HOST}/lot1" in store.host.replicas[shard].jobs
        ]
        assert len(holders) >= 2
        await gateway.end()
        await cluster.end()

    run(scenario())


def test_a_repeated_submission_and_one_over_the_quota(tmp_path: Path) -> None:
    async def scenario() -> None:
        cluster = await Cluster.begin(tmp_path)
        gateway = cluster.gateway()
        client = gateway.client
        await asyncio.gather(
            *(client.submit(HOST, ROUTE, "lot1", job_body("lot1", 5, 15_000)) for _ in range(3))
        )
        with pytest.raises(QuotaExceededError):
            await client.submit(HOST, ROUTE, "lot2", job_body("lot2", 5, 15_000))
        with pytest.raises(NotFoundError):
            await client.read(HOST, "lot2", 0, 0)
        await client.end(HOST, "lot1")
        await client.end(HOST, "lot1")
        await client.submit(HOST, ROUTE, "lot2", job_body("lot2", 5, 15_000))
        await gateway.end()
        await cluster.end()

    run(scenario())


def test_dead_letters_and_bodies(tmp_path: Path) -> None:
    async def scenario() -> None:
        cluster = await Cluster.begin(tmp_path)
        executor = FakeExecutor()
        failed = OutcomeKind.FAILED_500
        executor.script = {
            "lot1-0": [OutcomeKind.IMPOSSIBLE_422],
            "lot1-1": [failed, failed, failed],
            "lot1-2": [failed, OutcomeKind.BROKEN, OutcomeKind.NOT_RUN],
        }
        gateway = cluster.gateway(executor)
        await gateway.client.submit(HOST, ROUTE, "lot1", job_body("lot1", 3))
        body = await gateway.client.item(HOST, "lot1", "lot1-1")
        assert body == bytes.fromhex("abcdef1234567890")
        with pytest.raises(NotFoundError):
            await gateway.client.item(HOST, "lot1", "nothing")
        await gateway.runner.start()
        results = {result["Id"]: result for result in await read_all(gateway.client, "lot1")}
        assert results["lot1-0"]["State"] == "dead_letter"
        assert results["lot1-1"]["State"] == "dead_letter"
        assert results["lot1-2"] == {
            "Id": "lot1-2",
            "State": "completed",
            "Message": text_of("lot1-2"),
        }
        await gateway.end()
        await cluster.end()

    run(scenario())


# Guards against a run whose task has failed and that its gateway reports as running until the item is given up.
def test_an_item_whose_run_fails_inside_the_gateway_is_run_again(tmp_path: Path) -> None:
    async def scenario() -> None:
        cluster = await Cluster.begin(tmp_path)
        executor = FakeExecutor()
        executor.defects["lot1-0"] = UnicodeEncodeError("latin-1", "Ж", 0, 1, "not in range")
        gateway = cluster.gateway(executor)
        await gateway.runner.start()
        await gateway.client.submit(HOST, ROUTE, "lot1", job_body("lot1", 2))
        results = await read_all(gateway.client, "lot1")
        assert {result["State"] for result in results} == {"completed"}
        assert [run_id for run_id, _ in executor.runs].count("lot1-0") == 2
        await gateway.end()
        await cluster.end()

    run(scenario())


def test_no_result_is_lost_if_the_owner_is_killed(tmp_path: Path) -> None:
    async def scenario() -> None:
        cluster = await Cluster.begin(tmp_path)
        executor = FakeExecutor(events=4, pause_s=0.05)
        gateway = cluster.gateway(executor)
        await gateway.runner.start()
        await gateway.client.submit(HOST, ROUTE, "lot1", job_body("lot1", 40))
        first = orjson.loads(await gateway.client.read(HOST, "lot1", 0, 1000))["Results"]
        owner = cluster.owner_of(shard_of(HOST))
        assert owner is not None
        await cluster.kill(owner)
        results = await read_all(gateway.client, "lot1", 10.0)
        assert results[: len(first)] == first
        assert sorted(result["Id"] for result in results) == sorted(f"lot1-{n}" for n in range(40))
        assert all(result["Message"] == text_of(result["Id"], 4) for result in results)
        await cluster.start_store(owner)
        assert await read_all(gateway.client, "lot1") == results
        await gateway.end()
        await cluster.end()

    run(scenario())


def test_after_all_stores_are_killed_at_once_they_restore_all_jobs(tmp_path: Path) -> None:
    async def scenario() -> None:
        cluster = await Cluster.begin(tmp_path)
        gateway = cluster.gateway()
        await gateway.client.submit(HOST, ROUTE, "lot1", job_body("lot1", 3))
        for name in list(cluster.stores):
            await cluster.kill(name)
        for name in ("s1", "s2", "s3"):
            await cluster.start_store(name)
        await gateway.runner.start()
        assert len(await read_all(gateway.client, "lot1", 8.0)) == 3
        await gateway.end()
        await cluster.end()

    run(scenario())
