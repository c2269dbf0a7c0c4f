"""Batch jobs of one shard at its owner: submission, execution, queries, end, retention. No I/O.

Each call has a number and is answered by an `AnswerCall` or a `RejectCall` with that number, at once or later. A
value to be made durable is returned as a `ProposeValue`; call `on_committed` once it is. A definition to be decoded is
returned as a `DecodeDefinition`; call `on_definition_decoded` with its items. Times are seconds of the monotonic clock.
"""

from __future__ import annotations

from emberring.configuration.model import Configuration
from emberring.configuration.service_choice import SplitSegment
from emberring.errors import EmberringError, NotReadyError
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
from emberring.jobs.definition import ItemSpec, decode_terms
from emberring.jobs.execution import JobExecution
from emberring.jobs.job_table import ForgetJob, JobManagerAction, JobTable, RejectCall
from emberring.jobs.lease_budget import LeaseBudget
from emberring.jobs.loading import DecodedJob
from emberring.jobs.owned import OwnedJob, OwnedRecords
from emberring.jobs.queries import JobQueries
from emberring.jobs.records import DEFINITION, END, TOMBSTONE
from emberring.jobs.results import item_index
from emberring.jobs.schedule import Rank
from emberring.jobs.submission import JobSubmission

SCAN_INTERVAL_S = 0.5  # between checks of all batch jobs
RETENTION_MARGIN_S = 5.0  # for which an ended batch job is kept after `StatusS`
UNENDED_RETENTION_MARGIN_S = 30.0  # the same for one that is not ended but whose results are all visible


class JobManager:
    """Manager of the batch jobs of one shard.

    Parameters: the `shard` and the `records` of its owner; `status_s`, the number of seconds after its submission
    for which an ended batch job can be read; `seed`, from which the tickets of runs are generated.
    """

    def __init__(self, shard: int, records: OwnedRecords, status_s: float, seed: int) -> None:
        self.shard = shard
        self._table = JobTable(records)
        self._submission = JobSubmission(self._table)
        self._queries = JobQueries(self._table)
        self._execution = JobExecution(self._table, seed)
        self._status_s = status_s
        self._scanned_s = 0.0

    @property
    def waiting(self) -> int:
        """An upper bound of the number of items waiting for a server."""
        return self._execution.waiting

    @property
    def waiting_by_segment(self) -> dict[SplitSegment, int]:
        """Upper bounds of the number of items that can be leased, by segment of the routes' traffic splits."""
        return self._execution.waiting_by_segment

    @property
    def jobs(self) -> dict[str, BatchJob]:
        """The loaded batch jobs of the shard, by key."""
        return self._table.jobs

    @property
    def job_count(self) -> int:
        """The number of batch jobs of the shard, also of those that are not loaded."""
        return len(self._table.jobs) + len(self._table.loading)

    def has_job(self, key: str) -> bool:
        """Return whether there is a batch job with this key, loaded or not."""
        return key in self._table.jobs or key in self._table.loading

    @property
    def waiting_tokens(self) -> dict[str, int]:
        """Tokens of unfinished items, by route."""
        return self._table.waiting_tokens

    def configure(self, configuration: Configuration) -> None:
        """Use a newer configuration."""
        self._table.configure(configuration)

    # Ownership.

    def on_ownership_gained(self, now_s: float, jobs: dict[str, OwnedJob]) -> list[JobManagerAction]:
        """Begin to load the complete records of the shard, which this store owns now.

        Runs that this job manager knows continue; calls that wait for a commit are rejected, so that they are retried.
        """
        before = self._table.loading.known | self._table.jobs
        self._reject_waiting_calls()
        self._table.clear()
        for key, owned in jobs.items():
            if DEFINITION in owned.slots and TOMBSTONE not in owned.slots:
                self._load(now_s, key, owned, before.get(key))
        self._table.decode_next()
        return self._drain_actions()

    def _load(self, now_s: float, key: str, owned: OwnedJob, known: BatchJob | None) -> None:
        """Load a batch job now if its items are known, else once its definition is decoded."""
        if known is not None and known.definition_checksum == owned.slots[DEFINITION].checksum:
            items = [Item(item.id, item.tokens, counted=False) for item in known.items]
            self._add_job(now_s, DecodedJob(key, owned, known), items)
        else:
            self._table.loading.add(key, owned, known)

    def on_definition_decoded(
        self, now_s: float, number: int, specs: list[ItemSpec] | None
    ) -> list[JobManagerAction]:
        """Load the batch job of a `DecodeDefinition`; `specs` is None if its definition is damaged."""
        decoded = self._table.loading.finish_decoding(number)
        if decoded is not None and specs is None:
            self._table.loading.mark_damaged(decoded.key)
        elif decoded is not None and specs is not None:
            items = [Item(spec.id, spec.tokens, counted=False) for spec in specs]
            job = self._add_job(now_s, decoded, items)
            if not (job.ended or job.all_visible):
                self._table.cache_specs(job, specs)
        for deferred in decoded.calls if decoded is not None else ():
            deferred.resume(now_s)
        self._table.decode_next()
        return self._drain_actions()

    def _add_job(self, now_s: float, decoded: DecodedJob, items: list[Item]) -> BatchJob:
        key, owned, known = decoded.key, decoded.owned, decoded.known
        definition = owned.slots[DEFINITION]
        job = BatchJob(key, decode_terms(definition.value), owned.accepted_s, items, accepted=True)
        job.definition_checksum = definition.checksum
        job.ended = job.end_committed = END in owned.slots
        self._table.jobs[key] = job
        for position, slot in owned.slots.items():
            if position >= 0:
                job.positions[position] = item_index(slot.value)
                job.mark_committed(position)
        if not job.ended:
            self._load_unfinished_items(now_s, job, known)
        return job

    def _load_unfinished_items(self, now_s: float, job: BatchJob, known: BatchJob | None) -> None:
        for index, item in enumerate(job.items):
            if not item.done:
                self._table.add_waiting_tokens(job, item)
                self._execution.load(now_s, job, index, known.items[index] if known else None)

    def on_ownership_lost(self) -> list[JobManagerAction]:
        """Drop all batch jobs: another store may own the shard."""
        self._reject_waiting_calls()
        self._table.clear()
        return self._drain_actions()

    def _reject_waiting_calls(self) -> None:
        """Reject all waiting calls, as their outcome is unknown."""
        for deferred in self._table.loading.take_all_deferred():
            self._table.actions.append(RejectCall(deferred.call, NotReadyError("the owner changed")))
        self._submission.on_ownership_lost()
        self._queries.on_ownership_lost()
        self._execution.on_ownership_lost()

    def on_committed(self, now_s: float, key: str, slot: int) -> list[JobManagerAction]:
        """Handle the commit of a value that was proposed for a slot."""
        job = self._table.jobs.get(key)
        if job is None:
            if slot == TOMBSTONE:
                self._on_deleted_before_loading(now_s, key)
            return self._drain_actions()
        if slot == DEFINITION:
            self._submission.on_definition_committed(job)
        elif slot == END:
            self._submission.on_end_committed(job)
            self._queries.on_job_changed(job)
        elif slot == TOMBSTONE:
            del self._table.jobs[key]
        elif slot in job.positions:
            job.mark_committed(slot)
            self._execution.on_result_committed(job, job.positions[slot])
            self._queries.on_job_changed(job)
        return self._drain_actions()

    def _on_deleted_before_loading(self, now_s: float, key: str) -> None:
        self._table.loading.discard(key)
        for deferred in self._table.loading.take_deferred(key):
            deferred.resume(now_s)

    # Calls.

    def submit(self, now_s: float, call: int, message: SubmitJob) -> list[JobManagerAction]:
        """Handle the submission of a batch job."""
        try:
            self._submission.submit(now_s, call, message)
        except EmberringError as error:
            self._table.actions.append(RejectCall(call, error))
        return self._drain_actions()

    def end(self, call: int, message: EndJob) -> list[JobManagerAction]:
        """Handle a client's request to end a batch job."""
        self._submission.end(call, message)
        return self._drain_actions()

    def read(self, now_s: float, call: int, message: ReadJob) -> list[JobManagerAction]:
        """Handle a read of results."""
        self._queries.read(now_s, call, message)
        return self._drain_actions()

    def read_item(self, call: int, message: ReadItem) -> list[JobManagerAction]:
        """Handle a read of an item's body."""
        self._queries.read_item(call, message)
        return self._drain_actions()

    def next_rank(self, now_s: float, budget: LeaseBudget) -> Rank | None:
        """Return the rank of the item that would be leased next; None if there is none."""
        return self._execution.next_rank(now_s, budget)

    def lease_item(self, now_s: float, budget: LeaseBudget) -> Assignment | None:
        """Lease the next item to a gateway; None if there is none."""
        return self._execution.lease_item(now_s, budget, self.shard)

    def report_runs(self, now_s: float, message: ReportRuns) -> ReportRunsReply:
        """Renew the leases of a gateway's runs and store their progress."""
        return self._execution.report_runs(now_s, message)

    def finish_run(self, now_s: float, call: int, message: FinishRun) -> list[JobManagerAction]:
        """Handle the end of a run."""
        self._execution.finish_run(now_s, call, message)
        return self._drain_actions()

    # Time.

    def tick(self, now_s: float) -> list[JobManagerAction]:
        """Handle timeouts, leases and retention that are due now."""
        if not self._queries.idle:
            self._queries.tick(now_s)
        if not self._execution.idle:
            self._execution.tick(now_s)
        self._table.queues.tidy()
        if now_s - self._scanned_s >= SCAN_INTERVAL_S:
            self._scanned_s = now_s
            for job in list(self._table.jobs.values()):
                self._scan_job(now_s, job)
            self._scan_ended_jobs(now_s)
        return self._drain_actions()

    def _scan_ended_jobs(self, now_s: float) -> None:
        """Delete the batch jobs past their retention that have ended and are not loaded."""
        for key, owned in self._table.loading.ended():
            if now_s - owned.accepted_s > self._status_s + RETENTION_MARGIN_S:
                self._table.actions.append(ForgetJob(key))

    def _scan_job(self, now_s: float, job: BatchJob) -> None:
        if not job.all_visible:
            self._execution.expire_items(now_s, job)
        age_s = now_s - job.accepted_s
        margin_s = RETENTION_MARGIN_S if job.end_committed else UNENDED_RETENTION_MARGIN_S
        complete = job.end_committed or job.all_visible
        if age_s > self._status_s + margin_s and complete and not job.forget_proposed:
            job.forget_proposed = True
            self._table.actions.append(ForgetJob(job.key))

    def _drain_actions(self) -> list[JobManagerAction]:
        actions, self._table.actions = self._table.actions, []
        return actions
