"""Bodies of requests that failed are released at once, and not when a garbage collection happens to run.

The roles collect garbage rarely, and by the number of objects: bodies in reference cycles fill the memory first.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
from released_objects import released_at_once
from tier_store_cluster import HOST, ROUTE, Cluster, Gateway, job_body, run, until

from emberring.errors import NotReadyError, QuotaExceededError, UnknownOutcomeError
from emberring.jobs.calls import SubmitJob
from emberring.placement.model import shard_of

TOKENS_OVER_QUOTA = 60_000  # of an item: two of them do not fit into the route's `MaxQueuedTokens`


def submission(gateway: Gateway, number: int) -> asyncio.Task[None]:
    """Begin to submit a batch job that does not fit."""
    body = job_body(f"job{number}", 2, TOKENS_OVER_QUOTA)
    return asyncio.ensure_future(gateway.client.submit(HOST, ROUTE, f"job{number}", body))


async def sent_submission(gateway: Gateway, number: int) -> asyncio.Task[None]:
    """Begin to submit such a batch job, and return right after its message has been sent."""
    sent_bytes = gateway.network.sent_bytes
    call = submission(gateway, number)
    while gateway.network.sent_bytes == sent_bytes:
        await asyncio.sleep(0)
    return call


async def refuse(cluster: Cluster, gateway: Gateway, number: int) -> None:
    # Gathered, not awaited: the traceback would refer to this frame, and so to the task and its error again.
    (outcome,) = await asyncio.gather(submission(gateway, number), return_exceptions=True)
    assert isinstance(outcome, QuotaExceededError)


async def cancel(cluster: Cluster, gateway: Gateway, number: int) -> None:
    """Let the caller leave while the call is on its way."""
    call = await sent_submission(gateway, number)
    call.cancel()
    await asyncio.wait({call})
    assert call.cancelled()


async def lose_connections(cluster: Cluster, gateway: Gateway, number: int) -> None:
    """Cut the connections to the stores while the call is on its way."""
    call = await sent_submission(gateway, number)
    for connection in list(gateway.network.connections):
        connection.abort()
    (outcome,) = await asyncio.gather(call, return_exceptions=True)
    assert isinstance(outcome, QuotaExceededError | UnknownOutcomeError | NotReadyError)


async def find_no_owner(cluster: Cluster, gateway: Gateway, number: int) -> None:
    """Ask while two of three stores are gone."""
    for name in ("s1", "s2"):
        await cluster.kill(name)
    await until(lambda: cluster.owner_of(shard_of(HOST)) is None)
    (outcome,) = await asyncio.gather(submission(gateway, number), return_exceptions=True)
    assert isinstance(outcome, UnknownOutcomeError | NotReadyError)


# Guards against refused batch jobs that stay in memory until the process is over its limit.
@pytest.mark.parametrize(
    ("fail", "times"), [(refuse, 20), (cancel, 20), (lose_connections, 20), (find_no_owner, 1)]
)
def test_failed_submissions_leave_no_body_in_memory(
    tmp_path: Path, fail: Callable[[Cluster, Gateway, int], Awaitable[None]], times: int
) -> None:
    async def scenario() -> None:
        cluster = await Cluster.begin(tmp_path)
        gateway = cluster.gateway()
        await until(lambda: cluster.owner_of(shard_of(HOST)) is not None)
        async with released_at_once(SubmitJob):
            for number in range(times):
                await fail(cluster, gateway, number)
        await gateway.end()
        await cluster.end()

    run(scenario())
