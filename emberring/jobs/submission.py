"""How batch jobs are taken and ended: each durable before it is said, each refusal before anything is written."""

from __future__ import annotations

from emberring.errors import NotFoundError, QuotaExceededError, UnknownOutcomeError
from emberring.jobs.batch_job import BatchJob, Item
from emberring.jobs.calls import EndJob, SubmitJob
from emberring.jobs.definition import encode_definition, parse_items
from emberring.jobs.job_table import AnswerCall, JobTable, ProposeValue, RejectCall
from emberring.jobs.records import DEFINITION, END, TOMBSTONE, job_key
from emberring.transport.messages import Ok

QUOTA_TOLERANCE = 1.02  # what servers have finished is known a little late


class JobSubmission:
    """Submissions and ends of one shard's batch jobs, and the calls that wait for them to last."""

    def __init__(self, table: JobTable) -> None:
        self._table = table
        self._submitters: dict[str, list[int]] = {}
        self._enders: dict[str, list[int]] = {}

    def submit(self, now_s: float, call: int, message: SubmitJob) -> None:
        """A batch job is submitted. The same batch job again gets the same answer; a batch job that does not
        fit leaves nothing."""
        key = job_key(message.host, message.job)
        known = self._table.jobs.get(key)
        if known is None and self._table.records.find(key, TOMBSTONE) is None:
            known = self._take(now_s, call, key, message)
            if known is None:
                return
        if known is None or known.accepted:
            self._table.out.append(AnswerCall(call, Ok()))
        else:
            self._submitters.setdefault(key, []).append(call)

    def _take(self, now_s: float, call: int, key: str, message: SubmitJob) -> BatchJob | None:
        specs = parse_items(message.body)
        items = [Item(spec.id, spec.tokens, counted=False) for spec in specs]
        job = BatchJob(key, message.terms, now_s, items)
        if not self._fits(job):
            error = QuotaExceededError(f"{job.tokens} tokens do not fit into {message.terms.route}")
            self._table.out.append(RejectCall(call, error))
            return None
        self._table.jobs[key] = job
        for item in items:
            self._table.count(job, item)
        value = encode_definition(message.terms, message.body)
        self._table.out.append(ProposeValue(key, DEFINITION, value, now_s))
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
        """A batch job is ended; from here on none of its items is given out, whether or not the end comes to last."""
        key = job_key(message.host, message.job)
        job = self._table.jobs.get(key)
        if job is None or job.end_committed:
            known = job is not None or self._table.records.find(key, TOMBSTONE) is not None
            self._table.out.append(
                AnswerCall(call, Ok()) if known else RejectCall(call, NotFoundError(f"no lot {message.job}"))
            )
            return
        self._enders.setdefault(key, []).append(call)
        if not job.ended:
            job.ended = True
            for item in job.items:
                self._table.release(job, item)
            self._table.out.append(ProposeValue(key, END, b"", job.accepted_s))

    def taken(self, job: BatchJob) -> None:
        """The definition lasts: the batch job is the system's to keep, and its items wait for servers."""
        if job.accepted:
            return
        job.accepted = True
        for index in range(len(job.items)):
            self._table.queue(job, index)
        self._answer(self._submitters.pop(job.key, ()))

    def ended(self, job: BatchJob) -> None:
        """The end lasts."""
        job.end_committed = True
        self._answer(self._enders.pop(job.key, ()))

    def _answer(self, calls: list[int] | tuple[()]) -> None:
        self._table.out.extend(AnswerCall(call, Ok()) for call in calls)

    def lost(self) -> None:
        """Another store owns the shard: whoever waits is told that nothing is sure."""
        for calls in (*self._submitters.values(), *self._enders.values()):
            self._table.out.extend(
                RejectCall(call, UnknownOutcomeError("the owner changed")) for call in calls
            )
        self._submitters.clear()
        self._enders.clear()
