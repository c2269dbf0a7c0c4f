"""How batch jobs are read: pages of results that last, waits for the next one, bodies of items."""

from __future__ import annotations

import attrs

from emberring.errors import NotFoundError, NotReadyError
from emberring.jobs.batch_job import BatchJob
from emberring.jobs.calls import ItemBody, ReadItem, ReadJob
from emberring.jobs.job_table import AnswerCall, JobTable, RejectCall
from emberring.jobs.records import job_key
from emberring.jobs.results import build_page


@attrs.frozen
class _Reader:
    """A read that waits for a result at its position until a time."""

    call: int
    start_after: int
    until_s: float


class JobQueries:
    """Reads of one shard's batch jobs."""

    def __init__(self, table: JobTable) -> None:
        self._table = table
        self._readers: dict[str, list[_Reader]] = {}

    @property
    def idle(self) -> bool:
        """Whether no read waits."""
        return not self._readers

    def read(self, now_s: float, call: int, message: ReadJob) -> None:
        """A page of results; it may wait for the first."""
        job = self._find(call, message.host, message.job)
        if job is None:
            return
        start = max(0, message.start_after)
        if start < job.visible or job.all_visible or job.ended or message.wait_ms <= 0:
            self._answer(job, call, start)
        else:
            reader = _Reader(call, start, now_s + message.wait_ms / 1000)
            self._readers.setdefault(job.key, []).append(reader)

    def item(self, call: int, message: ReadItem) -> None:
        """An item's body as it was submitted."""
        job = self._find(call, message.host, message.job)
        if job is None:
            return
        found = next((spec for spec in self._table.specs(job) if spec.id == message.item), None)
        if found is None or job.end_committed:
            self._table.out.append(RejectCall(call, NotFoundError(f"no item {message.item}")))
        else:
            self._table.out.append(AnswerCall(call, ItemBody(found.decoded_body())))

    def _find(self, call: int, host: str, job_id: str) -> BatchJob | None:
        """The batch job; where it is certain that there is none, the call is refused so."""
        job = self._table.jobs.get(job_key(host, job_id))
        if job is None:
            self._table.out.append(RejectCall(call, NotFoundError(f"no lot {job_id}")))
        elif not job.accepted:
            self._table.out.append(RejectCall(call, NotReadyError(f"lot {job_id} is being taken")))
            return None
        return job

    def _answer(self, job: BatchJob, call: int, start: int) -> None:
        values = (
            owned.value
            for position in range(start, job.visible)
            if (owned := self._table.records.find(job.key, position)) is not None
        )
        self._table.out.append(AnswerCall(call, build_page(len(job.items), start, values)))

    def more(self, job: BatchJob) -> None:
        """More results are shown, or the batch job has ended."""
        readers = self._readers.pop(job.key, [])
        left = []
        for reader in readers:
            if reader.start_after < job.visible or job.all_visible or job.ended:
                self._answer(job, reader.call, reader.start_after)
            else:
                left.append(reader)
        if left:
            self._readers[job.key] = left

    def tick(self, now_s: float) -> None:
        """Reads that have waited long enough get what there is."""
        for key in list(self._readers):
            job = self._table.jobs.get(key)
            left = []
            for reader in self._readers.pop(key):
                if now_s < reader.until_s and job is not None:
                    left.append(reader)
                elif job is not None:
                    self._answer(job, reader.call, reader.start_after)
                else:
                    self._table.out.append(RejectCall(reader.call, NotReadyError("the lot is not held here")))
            if left:
                self._readers[key] = left

    def lost(self) -> None:
        """Another store owns the shard."""
        for readers in self._readers.values():
            for reader in readers:
                self._table.out.append(RejectCall(reader.call, NotReadyError("the owner changed")))
        self._readers.clear()
