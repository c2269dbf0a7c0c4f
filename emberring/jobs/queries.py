"""Reads of batch jobs: pages of committed results, long polls for the next result, bodies of items."""

from __future__ import annotations

import attrs

from emberring.errors import NotFoundError, NotReadyError
from emberring.jobs.batch_job import BatchJob
from emberring.jobs.calls import ItemBody, ReadItem, ReadJob
from emberring.jobs.job_table import AnswerCall, JobTable, RejectCall
from emberring.jobs.records import job_key
from emberring.jobs.results import build_page


@attrs.frozen
class _WaitingRead:
    """A read that waits until `until_s` for a result at position `start_after`."""

    call: int
    start_after: int
    until_s: float


class JobQueries:
    """Reads of the batch jobs of one shard."""

    def __init__(self, table: JobTable) -> None:
        self._table = table
        self._waiting_reads: dict[str, list[_WaitingRead]] = {}

    @property
    def idle(self) -> bool:
        """Whether no read is waiting."""
        return not self._waiting_reads

    def read(self, now_s: float, call: int, message: ReadJob) -> None:
        """Answer with a page of results, or wait for the first one if the caller allows it."""
        key = job_key(message.host, message.job)
        if key in self._table.loading:
            self._table.defer_until_loaded(key, call, lambda loaded_s: self.read(loaded_s, call, message))
            return
        job = self._find(call, key)
        if job is None:
            return
        start = max(0, message.start_after)
        if start < job.visible or job.all_visible or job.ended or message.wait_ms <= 0:
            self._answer(job, call, start)
        else:
            read = _WaitingRead(call, start, now_s + message.wait_ms / 1000)
            self._waiting_reads.setdefault(job.key, []).append(read)

    def read_item(self, call: int, message: ReadItem) -> None:
        """Answer with an item's body as it was submitted."""
        key = job_key(message.host, message.job)
        if key in self._table.loading:
            self._table.defer_until_loaded(key, call, lambda _: self.read_item(call, message))
            return
        job = self._find(call, key)
        if job is None:
            return
        found = next((spec for spec in self._table.specs(job) if spec.id == message.item), None)
        if found is None or job.end_committed:
            self._table.actions.append(RejectCall(call, NotFoundError(f"no item {message.item}")))
        else:
            self._table.actions.append(AnswerCall(call, ItemBody(found.decoded_body())))

    def _find(self, call: int, key: str) -> BatchJob | None:
        """Return the batch job; reject the call if there is none or it is not accepted yet."""
        job, job_id = self._table.jobs.get(key), key.partition("/")[2]
        if job is None:
            self._table.actions.append(RejectCall(call, NotFoundError(f"no lot {job_id}")))
        elif not job.accepted:
            self._table.actions.append(RejectCall(call, NotReadyError(f"lot {job_id} is being taken")))
            return None
        return job

    def _answer(self, job: BatchJob, call: int, start: int) -> None:
        values = (
            owned.value
            for position in range(start, job.visible)
            if (owned := self._table.records.find(job.key, position)) is not None
        )
        self._table.actions.append(AnswerCall(call, build_page(len(job.items), start, values)))

    def on_job_changed(self, job: BatchJob) -> None:
        """Answer the waiting reads for which there is a result now, or the end of the batch job."""
        reads = self._waiting_reads.pop(job.key, [])
        remaining = []
        for read in reads:
            if read.start_after < job.visible or job.all_visible or job.ended:
                self._answer(job, read.call, read.start_after)
            else:
                remaining.append(read)
        if remaining:
            self._waiting_reads[job.key] = remaining

    def tick(self, now_s: float) -> None:
        """Answer the reads whose wait has timed out, possibly with an empty page."""
        for key in list(self._waiting_reads):
            job = self._table.jobs.get(key)
            remaining = []
            for read in self._waiting_reads.pop(key):
                if now_s < read.until_s and job is not None:
                    remaining.append(read)
                elif job is not None:
                    self._answer(job, read.call, read.start_after)
                else:
                    self._table.actions.append(
                        RejectCall(read.call, NotReadyError("the lot is not held here"))
                    )
            if remaining:
                self._waiting_reads[key] = remaining

    def on_ownership_lost(self) -> None:
        """Reject all waiting reads: another store may own the shard."""
        for reads in self._waiting_reads.values():
            for read in reads:
                self._table.actions.append(RejectCall(read.call, NotReadyError("the owner changed")))
        self._waiting_reads.clear()
