"""Handlers of the calls of gateways, which this store answers for the shards that it owns."""

from __future__ import annotations

import asyncio

from emberring.errors import NotReadyError, OverloadedError
from emberring.jobs.calls import EndJob, FinishRun, ReadItem, ReadJob, ReportRuns, ReportRunsReply, SubmitJob
from emberring.jobs.job_table import JobReply
from emberring.jobs.records import job_key
from emberring.placement.model import shard_of
from emberring.store.shard_manager import ShardManager


class GatewayCalls:
    """Handlers of the messages of gateways about batch jobs."""

    def __init__(self, shards: ShardManager) -> None:
        self._shards = shards

    async def submit(self, message: SubmitJob) -> JobReply:
        """Submit a batch job; raises `OverloadedError` if the disk has no capacity for a new one."""
        shard = shard_of(message.host)
        known = self._shards.serving(shard).has_job(job_key(message.host, message.job))
        if not known and self._shards.host.overloaded:
            raise OverloadedError("the store is full")
        return await self._shards.call(
            shard, lambda job_manager, call: job_manager.submit(_now_s(), call, message)
        )

    async def read(self, message: ReadJob) -> JobReply:
        """Read results; raises `NotReadyError` if this store is not the owner any more after the wait."""
        shard = shard_of(message.host)
        page = await self._shards.call(
            shard, lambda job_manager, call: job_manager.read(_now_s(), call, message)
        )
        if not self._shards.owners[shard].serving(_now_s()):
            raise NotReadyError("the owner may have changed")
        return page

    async def item(self, message: ReadItem) -> JobReply:
        """Read an item's body."""
        shard = shard_of(message.host)
        return await self._shards.call(shard, lambda job_manager, call: job_manager.read_item(call, message))

    async def end(self, message: EndJob) -> JobReply:
        """End a batch job."""
        return await self._shards.call(
            shard_of(message.host), lambda job_manager, call: job_manager.end(call, message)
        )

    async def report(self, message: ReportRuns) -> ReportRunsReply:
        """Renew the leases of runs and store their progress."""
        return self._shards.serving(message.shard).report_runs(_now_s(), message)

    async def finish(self, message: FinishRun) -> JobReply:
        """Handle the end of a run."""
        return await self._shards.call(
            message.shard, lambda job_manager, call: job_manager.finish_run(_now_s(), call, message)
        )


def _now_s() -> float:
    return asyncio.get_running_loop().time()
