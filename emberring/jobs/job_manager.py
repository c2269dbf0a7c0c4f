"""The batch jobs of one shard at its owner: taking, running, listing, ending. No I/O.

Calls that wait have a number and are answered by an `AnswerCall` or a `RejectCall` with it. What must last is
given as a
`ProposeValue`; `committed` tells the job manager when it does. Times are seconds of the monotonic clock.
"""

from __future__ import annotations

from emberring.configuration.model import Configuration
from emberring.errors import EmberringError
from emberring.jobs.batch_job import BatchJob, Item
from emberring.jobs.calls import (
    Assignment,
    EndJob,
    FinishRun,
    ReadItem,
    ReadJob,
    ReportRuns,
    ReportRunsReply,
    SubmitJob,
)
from emberring.jobs.definition import decode_items, decode_terms
from emberring.jobs.execution import JobExecution
from emberring.jobs.job_table import ForgetJob, JobManagerAction, JobTable, RejectCall
from emberring.jobs.owned import OwnedJob, OwnedRecords
from emberring.jobs.queries import JobQueries
from emberring.jobs.records import DEFINITION, END, TOMBSTONE
from emberring.jobs.results import item_index
from emberring.jobs.submission import JobSubmission

SCAN_INTERVAL_S = 0.5  # between looks at all batch jobs
RETENTION_MARGIN_S = 5.0
UNENDED_RETENTION_MARGIN_S = (
    30.0  # a batch job that is all listed but not ended is kept for so much longer than `StatusS`
)


class JobManager:
    """One shard's batch jobs. `status_s`: for how long an ended batch job can be read after it was submitted."""

    def __init__(self, shard: int, records: OwnedRecords, status_s: float, seed: int) -> None:
        self.shard = shard
        self._table = JobTable(records)
        self._taking = JobSubmission(self._table)
        self._reading = JobQueries(self._table)
        self._running = JobExecution(self._table, seed)
        self._status_s = status_s
        self._scanned_s = 0.0

    @property
    def waiting(self) -> int:
        """How many items wait for a server, at most."""
        return self._running.waiting

    @property
    def jobs(self) -> dict[str, BatchJob]:
        """All batch jobs by key."""
        return self._table.jobs

    @property
    def waiting_tokens(self) -> dict[str, int]:
        """Tokens that wait, by route."""
        return self._table.waiting_tokens

    def configure(self, configuration: Configuration) -> None:
        """A newer configuration is in force."""
        self._table.configure(configuration)

    # Ownership.

    def adopt(self, now_s: float, jobs: dict[str, OwnedJob]) -> list[JobManagerAction]:
        """This store owns the shard, and these records are all there are. Runs that the job manager knows of go on;
        calls that wait for something to last are sent away, to ask again."""
        before = dict(self._table.jobs)
        self.lose_calls()
        self._table.clear()
        for key, owned in jobs.items():
            if DEFINITION in owned.slots and TOMBSTONE not in owned.slots:
                self._adopt_job(now_s, key, owned, before.get(key))
        return self._take()

    def _adopt_job(self, now_s: float, key: str, owned: OwnedJob, known: BatchJob | None) -> None:
        value = owned.slots[DEFINITION].value
        specs = decode_items(value)
        items = [Item(spec.id, spec.tokens, counted=False) for spec in specs]
        job = BatchJob(key, decode_terms(value), owned.accepted_s, items, accepted=True)
        job.ended = job.end_committed = END in owned.slots
        self._table.jobs[key] = job
        for position, slot in owned.slots.items():
            if position >= 0:
                job.positions[position] = item_index(slot.value)
                job.mark_committed(position)
        for index, item in enumerate(items):
            if not item.done and not job.ended:
                self._table.count(job, item)
                self._running.adopt(now_s, job, index, known.items[index] if known else None)

    def lose(self) -> list[JobManagerAction]:
        """Another store may own the shard."""
        self.lose_calls()
        self._table.clear()
        return self._take()

    def lose_calls(self) -> None:
        """Whoever waits is told that nothing is sure."""
        self._taking.lost()
        self._reading.lost()
        self._running.lost()

    def committed(self, now_s: float, key: str, slot: int) -> list[JobManagerAction]:
        """What was proposed for a slot lasts."""
        job = self._table.jobs.get(key)
        if job is None:
            return []
        if slot == DEFINITION:
            self._taking.taken(job)
        elif slot == END:
            self._taking.ended(job)
            self._reading.more(job)
        elif slot == TOMBSTONE:
            del self._table.jobs[key]
        elif slot in job.positions:
            job.mark_committed(slot)
            self._running.listed(job, job.positions[slot])
            self._reading.more(job)
        return self._take()

    # Calls.

    def submit(self, now_s: float, call: int, message: SubmitJob) -> list[JobManagerAction]:
        """A batch job is submitted."""
        try:
            self._taking.submit(now_s, call, message)
        except EmberringError as error:
            self._table.out.append(RejectCall(call, error))
        return self._take()

    def end(self, call: int, message: EndJob) -> list[JobManagerAction]:
        """A batch job is ended."""
        self._taking.end(call, message)
        return self._take()

    def read(self, now_s: float, call: int, message: ReadJob) -> list[JobManagerAction]:
        """Results are read."""
        self._reading.read(now_s, call, message)
        return self._take()

    def item(self, call: int, message: ReadItem) -> list[JobManagerAction]:
        """An item's body is read."""
        self._reading.item(call, message)
        return self._take()

    def take(self, now_s: float, gateway: str, capacity: int) -> list[Assignment]:
        """Up to `capacity` items for a gateway."""
        return self._running.take(now_s, gateway, capacity, self.shard)

    def report(self, now_s: float, message: ReportRuns) -> ReportRunsReply:
        """Runs go on."""
        return self._running.report(now_s, message)

    def finish(self, now_s: float, call: int, message: FinishRun) -> list[JobManagerAction]:
        """A run has ended."""
        self._running.finish(now_s, call, message)
        return self._take()

    # Time.

    def tick(self, now_s: float) -> list[JobManagerAction]:
        """Time goes on."""
        if not self._reading.idle:
            self._reading.tick(now_s)
        if not self._running.idle:
            self._running.tick(now_s)
        if now_s - self._scanned_s >= SCAN_INTERVAL_S:
            self._scanned_s = now_s
            for job in list(self._table.jobs.values()):
                self._scan_job(now_s, job)
        return self._take()

    def _scan_job(self, now_s: float, job: BatchJob) -> None:
        if not job.all_visible:
            self._running.expire_items(now_s, job)
        age_s = now_s - job.accepted_s
        kept_s = self._status_s + (RETENTION_MARGIN_S if job.end_committed else UNENDED_RETENTION_MARGIN_S)
        if age_s > kept_s and (job.end_committed or job.all_visible) and not job.forget_proposed:
            job.forget_proposed = True
            self._table.out.append(ForgetJob(job.key))

    def _take(self) -> list[JobManagerAction]:
        out, self._table.out = self._table.out, []
        return out
