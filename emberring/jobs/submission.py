"""Submission and end of batch jobs: acknowledged once durable, or rejected before anything is written."""

from __future__ import annotations

from emberring.errors import NotFoundError, NotReadyError, QuotaExceededError, UnknownOutcomeError
from emberring.jobs.batch_job import BatchJob, Item
from emberring.jobs.calls import EndJob, SubmitJob
from emberring.jobs.definition import encode_definition, parse_items
from emberring.jobs.job_table import AnswerCall, JobTable, ProposeValue, RejectCall
from emberring.jobs.records import DEFINITION, END, TOMBSTONE, job_key
from emberring.transport.messages import Ok

QUOTA_TOLERANCE = (
    1.02  # factor on the limit: the end of runs is reported with a delay, so waiting tokens are overestimated
)


class JobSubmission:
    """Submissions and ends of the batch jobs of one shard, and the calls that wait for them to be durable."""

    def __init__(self, table: JobTable) -> None:
        self._table = table
        self._waiting_submissions: dict[str, list[int]] = {}
        self._waiting_ends: dict[str, list[int]] = {}

    def submit(self, now_s: float, call: int, message: SubmitJob) -> None:
        """Submit a batch job.

        A repeated submission gets the same reply; one that exceeds the quota writes nothing.
        """
        key = job_key(message.host, message.job)
        known = self._table.jobs.get(key)
        durable = key in self._table.loading or self._table.records.find(key, TOMBSTONE) is not None
        if known is None and not durable:
            known = self._accept(now_s, call, key, message)
            if known is None:
                return
        if known is None or known.accepted:
            self._table.actions.append(AnswerCall(call, Ok()))
        else:
            self._waiting_submissions.setdefault(key, []).append(call)

    def _accept(self, now_s: float, call: int, key: str, message: SubmitJob) -> BatchJob | None:
        if self._table.loading.has_unfinished:
            # Guard: a quota that is exceeded, as the tokens of batch jobs that are not loaded are not counted yet.
            raise NotReadyError("the shard is being loaded")
        specs = parse_items(message.body)
        items = [Item(spec.id, spec.tokens, counted=False) for spec in specs]
        job = BatchJob(key, message.terms, now_s, items)
        if not self._fits(job):
            error = QuotaExceededError(f"{job.tokens} tokens do not fit into {message.terms.route}")
            self._table.actions.append(RejectCall(call, error))
            return None
        self._table.jobs[key] = job
        for item in items:
            self._table.add_waiting_tokens(job, item)
        value = encode_definition(message.terms, message.body)
        self._table.actions.append(ProposeValue(key, DEFINITION, value, now_s))
        return job

    def _fits(self, job: BatchJob) -> bool:
        terms, configuration = job.terms, self._table.configuration
        limit = terms.max_queued_tokens
        route = self._table.route_of(job)
        if route is not None and configuration is not None and configuration.version >= terms.version:
            limit = route.max_queued_tokens
        waiting = self._table.waiting_tokens.get(terms.route, 0)
        return limit <= 0 or waiting + job.tokens <= limit * QUOTA_TOLERANCE

    def end(self, call: int, message: EndJob) -> None:
        """End a batch job: from now on none of its items is leased, even before the end is committed."""
        key = job_key(message.host, message.job)
        job = self._table.jobs.get(key)
        ended = self._table.loading.has_ended(key)
        if job is None and key in self._table.loading and not ended:
            self._table.defer_until_loaded(key, call, lambda _: self.end(call, message))
            return
        if job is None or job.end_committed:
            known = job is not None or ended or self._table.records.find(key, TOMBSTONE) is not None
            self._table.actions.append(
                AnswerCall(call, Ok()) if known else RejectCall(call, NotFoundError(f"no lot {message.job}"))
            )
            return
        self._waiting_ends.setdefault(key, []).append(call)
        if not job.ended:
            job.ended = True
            for item in job.items:
                self._table.remove_waiting_tokens(job, item)
            self._table.actions.append(ProposeValue(key, END, b"", job.accepted_s))

    def on_definition_committed(self, job: BatchJob) -> None:
        """Accept a batch job whose definition is durable, and queue its items."""
        if job.accepted:
            return
        job.accepted = True
        definition = self._table.records.find(job.key, DEFINITION)
        job.definition_checksum = definition.checksum if definition is not None else None
        for index in range(len(job.items)):
            self._table.enqueue(job, index)
        self._answer(self._waiting_submissions.pop(job.key, ()))

    def on_end_committed(self, job: BatchJob) -> None:
        """Acknowledge an end that is durable."""
        job.end_committed = True
        self._answer(self._waiting_ends.pop(job.key, ()))

    def _answer(self, calls: list[int] | tuple[()]) -> None:
        self._table.actions.extend(AnswerCall(call, Ok()) for call in calls)

    def on_ownership_lost(self) -> None:
        """Reject all waiting calls with an unknown outcome: another store may own the shard."""
        for calls in (*self._waiting_submissions.values(), *self._waiting_ends.values()):
            self._table.actions.extend(
                RejectCall(call, UnknownOutcomeError("the owner changed")) for call in calls
            )
        self._waiting_submissions.clear()
        self._waiting_ends.clear()
