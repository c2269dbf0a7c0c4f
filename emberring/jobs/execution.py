"""Execution of items at the owner of a shard: leases to gateways, events and results of runs."""

from __future__ import annotations

import random

from emberring.backoff import doubled_wait_s
from emberring.configuration.service_choice import SplitSegment
from emberring.jobs.batch_job import BatchJob, Item, ItemStatus, Run
from emberring.jobs.calls import (
    Assignment,
    EventData,
    FinishRun,
    FinishRunReply,
    ReportRuns,
    ReportRunsReply,
    RunProgress,
    RunRenewal,
)
from emberring.jobs.items import OutcomeKind
from emberring.jobs.job_table import AnswerCall, JobTable
from emberring.jobs.lease_budget import LeaseBudget
from emberring.jobs.packing import pack_events, unpack_events
from emberring.jobs.results import ResultState
from emberring.jobs.schedule import Rank

RUN_LEASE_S = 2.0  # since a report arrived; longer than the gateway's lease of 1.5 s since it sent the report
TAKEOVER_GRACE_S = 0.7  # for which a new owner waits for reports of runs that gateways have already started
RETENTION_GRACE_S = 0.3  # after the retention of a batch job, until its unfinished items expire
TICKET_BITS = 52
# After a server has declined an item: doubled with each further time in a row.
DECLINE_BACKOFF_S, MAX_DECLINE_BACKOFF_S = 0.5, 10.0


class JobExecution:
    """Runs of the items of one shard."""

    def __init__(self, table: JobTable, seed: int) -> None:
        self._table = table
        self._random = random.Random(seed)
        self._takeover_waits: list[tuple[float, str, int]] = []  # end of the wait (s), key, index of the item
        self._waiting_finishes: dict[tuple[str, int], list[int]] = {}
        self._running: dict[tuple[str, int], None] = {}

    # Leases.

    @property
    def waiting(self) -> int:
        """An upper bound of the number of waiting items."""
        return len(self._table.queues)

    @property
    def waiting_by_segment(self) -> dict[SplitSegment, int]:
        """Upper bounds of the number of items that can be leased, by segment of the routes' traffic splits."""
        return self._table.queues.lengths()

    @property
    def idle(self) -> bool:
        """Whether no item is running and none waits for a report of a run under the previous owner."""
        return not (self._running or self._takeover_waits)

    def load(self, now_s: float, job: BatchJob, index: int, known: Item | None) -> None:
        """Load an item without a result. A run in `known` continues; otherwise a gateway may still report one."""
        item = job.items[index]
        if known is not None:
            item.events, item.failures = known.events, known.failures
        if known is not None and known.run is not None:
            self._begin(now_s, job, index, known.run.ticket, known.run.gateway)
        else:
            self._takeover_waits.append((now_s + TAKEOVER_GRACE_S, job.key, index))

    def next_rank(self, now_s: float, budget: LeaseBudget) -> Rank | None:
        """Return the rank of the item that would be leased next; None if there is none."""
        return None if budget.exhausted else self._table.queues.first_rank(now_s, budget.allows)

    def lease_item(self, now_s: float, budget: LeaseBudget, shard: int) -> Assignment | None:
        """Lease the next item to a gateway under a new ticket; None if there is none.

        An item that can't be written as a request becomes a dead letter.
        """
        while not budget.exhausted:
            taken = self._table.queues.take(now_s, budget.allows)
            if taken is None:
                break
            job, index = self._table.jobs[taken.entry.key], taken.entry.index
            if self._table.specs(job)[index].invalid_texts():
                # Guard: a batch job stored by an older version whose header ends the request and begins another one.
                self._assign_position(job, index, ResultState.DEAD_LETTER, "")
                continue
            assignment = self._assign(now_s, budget.gateway, shard, job, index)
            budget.spend(taken.segment, assignment.content_bytes)
            return assignment
        return None

    def _assign(self, now_s: float, gateway: str, shard: int, job: BatchJob, index: int) -> Assignment:
        item, spec = job.items[index], self._table.specs(job)[index]
        ticket = self._random.getrandbits(TICKET_BITS)
        self._begin(now_s, job, index, ticket, gateway)
        return Assignment(
            shard=shard,
            key=job.key,
            index=index,
            ticket=ticket,
            id=item.id,
            host=job.host,
            path=spec.path,
            route=job.terms.route,
            job_path=job.terms.path,
            headers=spec.headers,
            body=spec.decoded_body(),
            tokens=item.tokens,
            due_ms=int((job.due_s - now_s) * 1000),
            events=pack_events(item.events),
        )

    def _begin(self, now_s: float, job: BatchJob, index: int, ticket: int, gateway: str) -> None:
        item = job.items[index]
        item.status, item.run = ItemStatus.RUNNING, Run(ticket, gateway, now_s + RUN_LEASE_S, now_s)
        self._running[(job.key, index)] = None

    def _requeue(self, job: BatchJob, index: int) -> None:
        item = job.items[index]
        item.status, item.run = ItemStatus.WAITING, None
        self._running.pop((job.key, index), None)
        self._table.enqueue(job, index)

    # Reports of gateways.

    def report_runs(self, now_s: float, message: ReportRuns) -> ReportRunsReply:
        """Renew the leases of runs and store their events. A run that is not the newest of its item must stop."""
        renewals = [self._report(now_s, message.gateway, run) for run in message.runs]
        return ReportRunsReply(tuple(renewals))

    def _report(self, now_s: float, gateway: str, run: RunProgress) -> RunRenewal:
        job = self._table.jobs.get(run.key)
        if job is None and self._table.loading.is_unfinished(run.key):
            # Guard: a run that is stopped because its batch job is not loaded yet; its events are sent again later.
            return RunRenewal(run.ticket, True, 0)
        if job is None or job.ended or run.index >= len(job.items):
            return RunRenewal(run.ticket, False, 0)
        item = job.items[run.index]
        if item.status is ItemStatus.WAITING:
            # Only the gateway knows of this run, which continues under its ticket.
            self._begin(now_s, job, run.index, run.ticket, gateway)
            item.events = ()
        if item.run is None or item.run.ticket != run.ticket:
            return RunRenewal(run.ticket, False, 0)
        item.run.expires_s = now_s + RUN_LEASE_S
        if run.start <= len(item.events):
            item.events = item.events[: run.start] + unpack_events(run.events)
        return RunRenewal(run.ticket, True, len(item.events))

    def finish_run(self, now_s: float, call: int, message: FinishRun) -> None:
        """Handle the end of a run. A result is acknowledged to the gateway once it is durable."""
        if self._table.loading.is_unfinished(message.key):
            self._table.actions.append(AnswerCall(call, FinishRunReply(False)))
            return
        job = self._table.jobs.get(message.key)
        item = job.items[message.index] if job and message.index < len(job.items) else None
        if job is None or item is None or (job.ended and not item.done) or item.status is ItemStatus.LISTED:
            self._table.actions.append(AnswerCall(call, FinishRunReply(True)))
        elif item.status is ItemStatus.RESULT_PENDING:
            self._waiting_finishes.setdefault((job.key, message.index), []).append(call)
        else:
            self._finish(now_s, call, message, job, item)

    def _finish(self, now_s: float, call: int, message: FinishRun, job: BatchJob, item: Item) -> None:
        current = item.run is not None and item.run.ticket == message.ticket
        kind = OutcomeKind(message.kind)
        events = self._events_of(message, item, current)
        if kind is OutcomeKind.COMPLETED:
            if events is None or len(events) != message.total:
                self._table.actions.append(AnswerCall(call, FinishRunReply(False)))
                return
            self._waiting_finishes.setdefault((job.key, message.index), []).append(call)
            if item.run is not None and current:
                self._table.queues.run_estimate.record_run(now_s - item.run.started_s)
            text = "\n".join(event.data for event in events)
            self._assign_position(job, message.index, ResultState.COMPLETED, text)
        elif kind is OutcomeKind.IMPOSSIBLE_422:
            self._waiting_finishes.setdefault((job.key, message.index), []).append(call)
            self._assign_position(job, message.index, ResultState.DEAD_LETTER, "")
        else:
            self._table.actions.append(AnswerCall(call, FinishRunReply(True)))
            if current:
                _record_decline(now_s, item, message.declined)
            self._on_unsuccessful_run(message, job, item, events)

    def _on_unsuccessful_run(
        self, message: FinishRun, job: BatchJob, item: Item, events: tuple[EventData, ...] | None
    ) -> None:
        """Queue the item again, or make it a dead letter after too many responses with status 500."""
        current = item.run is not None and item.run.ticket == message.ticket
        if message.kind == OutcomeKind.FAILED_500.value:
            item.failures |= {message.ticket}
            if len(item.failures) >= self._table.max_attempts(job):
                self._assign_position(job, message.index, ResultState.DEAD_LETTER, "")
                return
        if current or item.status is ItemStatus.WAITING:
            if events is not None and len(events) >= len(item.events):
                item.events = events
            if current:
                self._requeue(job, message.index)

    def _events_of(self, message: FinishRun, item: Item, current: bool) -> tuple[EventData, ...] | None:
        """Return all events of the run, or None if its gateway must send them again from the first one."""
        if message.start == 0:
            return unpack_events(message.events)
        if current and message.start <= len(item.events):
            return item.events[: message.start] + unpack_events(message.events)
        return None

    def _assign_position(self, job: BatchJob, index: int, state: ResultState, text: str) -> None:
        self._running.pop((job.key, index), None)
        self._table.assign_position(job, index, state, text)

    def on_result_committed(self, job: BatchJob, index: int) -> None:
        """Acknowledge an item's result, which is durable now, to the gateways that delivered it."""
        for call in self._waiting_finishes.pop((job.key, index), ()):
            self._table.actions.append(AnswerCall(call, FinishRunReply(True)))

    # Time.

    def tick(self, now_s: float) -> None:
        """Queue items again whose gateway did not report their run in time, also after a change of owner."""
        for key, index in list(self._running):
            job = self._table.jobs.get(key)
            run = job.items[index].run if job else None
            if job is None or run is None:
                self._running.pop((key, index), None)
            elif run.expires_s <= now_s:
                self._requeue(job, index)
        while self._takeover_waits and self._takeover_waits[0][0] <= now_s:
            _, key, index = self._takeover_waits.pop(0)
            job = self._table.jobs.get(key)
            if job is not None and job.items[index].status is ItemStatus.WAITING:
                self._table.enqueue(job, index)

    def expire_items(self, now_s: float, job: BatchJob) -> None:
        """Make unfinished items dead letters if the batch job is past its retention or its route was removed."""
        past_retention = now_s - job.accepted_s > self._table.retention_s(job) + RETENTION_GRACE_S
        if job.ended or not job.accepted or not (past_retention or self._table.route_gone(job)):
            return
        for index, item in enumerate(job.items):
            if not item.done:
                self._assign_position(job, index, ResultState.DEAD_LETTER, "")

    def on_ownership_lost(self) -> None:
        """Drop all runs: another store may own the shard, to which gateways then report them."""
        for calls in self._waiting_finishes.values():
            self._table.actions.extend(AnswerCall(call, FinishRunReply(False)) for call in calls)
        self._waiting_finishes.clear()
        self._running.clear()
        self._takeover_waits.clear()


def _record_decline(now_s: float, item: Item, declined: bool) -> None:
    """Record whether a server declined the item; if so, others go first and it waits for a time that grows."""
    if not declined:
        item.declined, item.retry_at_s = 0, 0.0
        return
    item.declined += 1
    item.retry_at_s = now_s + doubled_wait_s(DECLINE_BACKOFF_S, MAX_DECLINE_BACKOFF_S, item.declined)
