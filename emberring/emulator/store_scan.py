"""Reads the status of a local tier's stores, so that a trial can kill the store that owns the most jobs."""

from __future__ import annotations

import asyncio

from emberring.emulator.local_tier import INTERNAL_OF_ROLE, LocalTier
from emberring.errors import EmberringError
from emberring.jobs.status import StoreStatus, StoreStatusRequest
from emberring.transport.network import Network

RESPONSE_TIMEOUT_S = 1.0


async def scan_stores(tier: LocalTier) -> dict[str, StoreStatus]:
    """Return the status of each store that responds, by name."""
    network = Network()

    async def request_status(name: str, address: str) -> tuple[str, StoreStatus | None]:
        try:
            return name, await network.call(address, StoreStatusRequest(), StoreStatus, RESPONSE_TIMEOUT_S)
        except EmberringError:
            return name, None

    specs = [node.place for node in tier.of_role("store")]
    calls = (request_status(spec.name, spec.address(INTERNAL_OF_ROLE["store"])) for spec in specs)
    results = await asyncio.gather(*calls)
    await network.close()
    return {name: status for name, status in results if status is not None}


async def busiest_store(tier: LocalTier) -> str | None:
    """Return the store that owns the most batch jobs, or None if no store owns any."""
    jobs = {
        name: sum(shard.jobs for shard in status.shards if shard.owner)
        for name, status in (await scan_stores(tier)).items()
    }
    best = max(jobs, key=lambda name: jobs[name], default=None)
    return best if best is not None and jobs[best] else None
