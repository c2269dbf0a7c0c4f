"""What a store tells tools about its shards and lots; reading it changes nothing."""

from __future__ import annotations

import asyncio

from emberring.jobs.batch_job import BatchJob
from emberring.jobs.records import Term
from emberring.jobs.status import JobStatus, ShardStatus, StoreStatus, StoreStatusRequest
from emberring.store.shards import Shards
from emberring.transport.network import Caller

MOST_JOBS = 500  # that one answer lists


class StatusDesk:
    """Answers tools."""

    def __init__(self, shards: Shards) -> None:
        self._shards = shards

    async def answer(self, asked: StoreStatusRequest, caller: Caller) -> StoreStatus:
        """The status of this moment."""
        now_s = asyncio.get_running_loop().time()
        host = self._shards.host
        owned = [shard for shard, owner in self._shards.owners.items() if owner.serving(now_s)]
        jobs = [
            _job_status(now_s, shard, job)
            for shard in (owned if asked.jobs else ())
            for job in self._shards.books[shard].jobs.values()
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
            jobs=tuple(jobs[:MOST_JOBS]),
        )

    def _shard_status(self, shard: int, owned: bool) -> ShardStatus:
        owner, book = self._shards.owners[shard], self._shards.books[shard]
        epoch = owner.group.epoch if owner.group is not None else 0
        if not owned:
            return ShardStatus(shard, False, epoch, _text(owner.replica.promised))
        tokens = sum(book.waiting_tokens.values())
        return ShardStatus(shard, True, epoch, _text(owner.term), len(book.jobs), book.waiting, tokens)


def _text(term: Term) -> str:
    return f"{term.epoch}.{term.counter}"


def _job_status(now_s: float, shard: int, job: BatchJob) -> JobStatus:
    host, _, name = job.key.partition("/")
    return JobStatus(shard, host, name, len(job.items), job.shown, job.ended, now_s - job.accepted_s)
