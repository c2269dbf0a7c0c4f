"""Bodies of requests that failed are released at once, and not when a garbage collection happens to run.

The roles collect garbage rarely, and by the number of objects: bodies in reference cycles fill the memory first.
"""

from __future__ import annotations

import asyncio
import gc
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path

import pytest
from tier_store_cluster import HOST, ROUTE, Cluster, Gateway, job_body, run

from emberring.errors import EmberringError, NotReadyError, QuotaExceededError, UnknownOutcomeError
from emberring.jobs.calls import SubmitJob
from emberring.placement.model import shard_of

REFUSALS = 20
TOKENS_OVER_QUOTA = 60_000  # of an item: two of them do not fit into the route's `MaxQueuedTokens`


@asynccontextmanager
async def without_collections() -> AsyncIterator[None]:
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


def submissions_in_memory() -> list[object]:
    """Return all submissions in memory; other tests of the process may keep some of their own."""
    return [found for found in gc.get_objects() if type(found) is SubmitJob]


def count_new(found: list[object], earlier: list[object]) -> int:
    known = {id(submission) for submission in earlier}
    return sum(id(submission) not in known for submission in found)


async def refuse(cluster: Cluster, gateway: Gateway, number: int) -> None:
    body = job_body(f"job{number}", 2, TOKENS_OVER_QUOTA)
    with pytest.raises(QuotaExceededError):
        await gateway.client.submit(HOST, ROUTE, f"job{number}", body)


async def cancel(cluster: Cluster, gateway: Gateway, number: int) -> None:
    """Let the caller leave while the call is on its way."""
    submission = asyncio.ensure_future(
        gateway.client.submit(HOST, ROUTE, f"job{number}", job_body(f"job{number}", 2, TOKENS_OVER_QUOTA))
    )
    await asyncio.sleep(0)
    submission.cancel()
    await asyncio.wait({submission})
    assert submission.cancelled()
    await asyncio.sleep(0.02)


async def lose_connections(cluster: Cluster, gateway: Gateway, number: int) -> None:
    """Cut the connections to the stores while the call is on its way."""
    submission = asyncio.ensure_future(
        gateway.client.submit(HOST, ROUTE, f"job{number}", job_body(f"job{number}", 2, TOKENS_OVER_QUOTA))
    )
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    for connection in list(gateway.network.connections):
        connection.abort()
    # Not awaited itself: the traceback would refer to this frame, and so to the task and its error again.
    (outcome,) = await asyncio.gather(submission, return_exceptions=True)
    assert isinstance(outcome, QuotaExceededError | UnknownOutcomeError | NotReadyError)


# Guards against refused batch jobs that stay in memory until the process is over its limit.
@pytest.mark.parametrize("fail", [refuse, cancel, lose_connections])
def test_failed_submissions_leave_no_body_in_memory(
    tmp_path: Path, fail: Callable[[Cluster, Gateway, int], Awaitable[None]]
) -> None:
    async def scenario() -> None:
        cluster = await Cluster.begin(tmp_path)
        gateway = cluster.gateway()
        while cluster.owner_of(shard_of(HOST)) is None:
            await asyncio.sleep(0.02)
        async with without_collections():
            earlier = submissions_in_memory()
            for number in range(REFUSALS):
                await fail(cluster, gateway, number)
            await asyncio.sleep(0.1)
            alive = count_new(submissions_in_memory(), earlier)
        assert alive == 0
        await gateway.end()
        await cluster.end()

    run(scenario())


# Guards against a store that can't be asked and whose callers' bodies stay in memory.
def test_submissions_without_an_owner_leave_no_body_in_memory(tmp_path: Path) -> None:
    async def scenario() -> None:
        cluster = await Cluster.begin(tmp_path)
        gateway = cluster.gateway()
        for name in ("s1", "s2"):
            await cluster.kill(name)
        async with without_collections():
            earlier = submissions_in_memory()
            with pytest.raises(EmberringError):
                await gateway.client.submit(HOST, ROUTE, "job", job_body("job", 2))
            await asyncio.sleep(0.1)
            alive = count_new(submissions_in_memory(), earlier)
        assert alive == 0
        await gateway.end()
        await cluster.end()

    run(scenario())
