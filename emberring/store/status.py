"""Handler of status requests of tools about the shards and batch jobs of a store. It has no side effects."""

from __future__ import annotations

import asyncio

from emberring.jobs.batch_job import BatchJob
from emberring.jobs.records import Term
from emberring.jobs.status import JobStatus, ShardStatus, StoreStatus, StoreStatusRequest
from emberring.store.shard_manager import ShardManager
from emberring.transport.network import Caller

MAX_LISTED_JOBS = 500  # in one reply


class StoreStatusHandler:
    """Handler of `StoreStatusRequest`."""

    def __init__(self, shards: ShardManager) -> None:
        self._shards = shards

    async def answer(self, request: StoreStatusRequest, caller: Caller) -> StoreStatus:
        """Return the current status of the store."""
        now_s = asyncio.get_running_loop().time()
        host = self._shards.host
        owned = [shard for shard, owner in self._shards.owners.items() if owner.serving(now_s)]
        jobs = [
            _job_status(now_s, shard, job)
            for shard in (owned if request.jobs else ())
            for job in self._shards.job_managers[shard].jobs.values()
        ]
        return StoreStatus(
            identity=host.identity,
            disk_failed=host.failed,
            disk_stalled_s=host.stalled_s(),
            shards=tuple(
                self._shard_status(shard, shard in owned)
                for shard, owner in self._shards.owners.items()
                if owner.group is not None and host.identity in owner.group.everyone
            ),
            jobs=tuple(jobs[:MAX_LISTED_JOBS]),
        )

    def _shard_status(self, shard: int, owned: bool) -> ShardStatus:
        owner, job_manager = self._shards.owners[shard], self._shards.job_managers[shard]
        epoch = owner.group.epoch if owner.group is not None else 0
        if not owned:
            return ShardStatus(shard, False, epoch, _term_text(owner.replica.promised))
        tokens = sum(job_manager.waiting_tokens.values())
        return ShardStatus(
            shard, True, epoch, _term_text(owner.term), job_manager.job_count, job_manager.waiting, tokens
        )


def _term_text(term: Term) -> str:
    return f"{term.epoch}.{term.counter}"


def _job_status(now_s: float, shard: int, job: BatchJob) -> JobStatus:
    host, _, name = job.key.partition("/")
    return JobStatus(shard, host, name, len(job.items), job.visible, job.ended, now_s - job.accepted_s)
