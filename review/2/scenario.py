"""Batch jobs of one large item come at once. Every item must be listed; one after the other they are."""

from __future__ import annotations

import asyncio
import os
import secrets
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stand_ins.batch_client import BatchClient, Item, make_item
from stand_ins.scenario import Setup, main

JOBS = 12
ITEM_BYTES = 3_100_000  # in base64 one of them stays below `MaxBodyBytes`
TOKENS_IN, TOKENS_OUT = 90_000, 400  # twelve of them stay below `MaxQueuedTokens`
SUBMIT_S = 30.0  # for a batch job to be accepted
FINISH_S = 10.0  # `FinishS`
LISTED_WITHIN_S = 35.0 + FINISH_S  # from its acceptance on
QUIET_S = 5.0  # in which no server had one of the items


async def submit_and_read(client: BatchClient, job: str, item: Item) -> bool | None:
    """Return whether the item was listed; None if the batch job was not accepted."""
    if not await client.submit(job, [item], SUBMIT_S):
        return None
    return bool(await client.results(job, 1, LISTED_WITHIN_S))


async def scenario(setup: Setup, trouble: bool) -> bool:
    """Submit all batch jobs at once, or each after the results of the one before."""
    client = BatchClient(setup)
    jobs = {
        secrets.token_hex(8): make_item(os.urandom(ITEM_BYTES), TOKENS_IN, TOKENS_OUT) for _ in range(JOBS)
    }
    if trouble:
        listed = await asyncio.gather(*(submit_and_read(client, job, item) for job, item in jobs.items()))
    else:
        listed = [await submit_and_read(client, job, item) for job, item in jobs.items()]
    quiet_s = setup.seconds_without_runs()
    setup.note(
        f"{JOBS - listed.count(None)} accepted, {listed.count(True)} items listed, "
        f"{len(setup.runs)} runs, none in the last {quiet_s:.1f} s"
    )
    return listed.count(False) == 0 or quiet_s < QUIET_S


main(scenario, Path(__file__).resolve().parent)
