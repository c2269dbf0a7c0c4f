"""Reads from the stores of a local tier what they own, so that a trial can kill the busiest one."""

from __future__ import annotations

import asyncio

from emberring.emulator.local_tier import INTERNAL_OF_ROLE, LocalTier
from emberring.errors import EmberringError
from emberring.jobs.status import StoreStatus, StoreStatusRequest
from emberring.transport.network import Network

ANSWER_S = 1.0


async def scan_stores(tier: LocalTier) -> dict[str, StoreStatus]:
    """The status of each store that answers, by name."""
    network = Network()

    async def ask(name: str, address: str) -> tuple[str, StoreStatus | None]:
        try:
            return name, await network.call(address, StoreStatusRequest(), StoreStatus, ANSWER_S)
        except EmberringError:
            return name, None

    places = [node.place for node in tier.of_role("store")]
    calls = (ask(place.name, place.address(INTERNAL_OF_ROLE["store"])) for place in places)
    found = await asyncio.gather(*calls)
    await network.close()
    return {name: status for name, status in found if status is not None}


async def busiest_store(tier: LocalTier) -> str | None:
    """The store that owns the most batch jobs; None where no store owns any."""
    jobs = {
        name: sum(shard.jobs for shard in status.shards if shard.owner)
        for name, status in (await scan_stores(tier)).items()
    }
    best = max(jobs, key=lambda name: jobs[name], default=None)
    return best if best is not None and jobs[best] else None
