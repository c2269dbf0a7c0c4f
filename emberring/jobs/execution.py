"""How items run: leased to gateways, their events kept as they come, their ends turned into results."""

from __future__ import annotations

import random

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
from emberring.jobs.packing import pack_events, unpack_events
from emberring.jobs.results import ResultState

RUN_LEASE_S = 2.0  # the owner's side of a gateway's lease of 1.5 s, which counts from the gateway's sending
TAKEOVER_GRACE_S = 0.7  # a new owner waits so long for gateways that run items already
RETENTION_GRACE_S = 0.3
TICKET_BITS = 52


class JobExecution:
    """Runs of one shard's items."""

    def __init__(self, table: JobTable, seed: int) -> None:
        self._table = table
        self._random = random.Random(seed)
        self._held: list[tuple[float, str, int]] = []  # until when, the batch job's key, the item's index
        self._finishers: dict[tuple[str, int], list[int]] = {}
        self._running: dict[tuple[str, int], None] = {}

    # Giving out.

    @property
    def waiting(self) -> int:
        """How many items wait, at most."""
        return len(self._table.schedule)

    @property
    def idle(self) -> bool:
        """Whether nothing runs and nothing is held back."""
        return not (self._running or self._held)

    def adopt(self, now_s: float, job: BatchJob, index: int, known: Item | None) -> None:
        """An item without a result is recovered. A run known here goes on; otherwise wait for word of one."""
        item = job.items[index]
        if known is not None:
            item.events, item.failures = known.events, known.failures
        if known is not None and known.run is not None:
            self._begin(now_s, job, index, known.run.ticket, known.run.gateway)
        else:
            self._held.append((now_s + TAKEOVER_GRACE_S, job.key, index))

    def take(self, now_s: float, gateway: str, capacity: int, shard: int) -> list[Assignment]:
        """Up to `capacity` items for a gateway, each under a new ticket."""
        taken: list[Assignment] = []
        while len(taken) < capacity and (entry := self._table.schedule.pop(now_s)) is not None:
            job = self._table.jobs.get(entry.key)
            if job is None or job.ended or job.items[entry.index].status is not ItemStatus.WAITING:
                continue
            taken.append(self._assign(now_s, gateway, shard, job, entry.index))
        return taken

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
        self._table.queue(job, index)

    # What gateways tell.

    def report(self, now_s: float, message: ReportRuns) -> ReportRunsReply:
        """Runs go on: their leases are renewed, their events kept. A run that is not an item's newest must stop."""
        answers = [self._report(now_s, message.gateway, run) for run in message.runs]
        return ReportRunsReply(tuple(answers))

    def _report(self, now_s: float, gateway: str, run: RunProgress) -> RunRenewal:
        job = self._table.jobs.get(run.key)
        if job is None or job.ended or run.index >= len(job.items):
            return RunRenewal(run.ticket, False, 0)
        item = job.items[run.index]
        if item.status is ItemStatus.WAITING:  # known to its gateway alone: it goes on under its ticket
            self._begin(now_s, job, run.index, run.ticket, gateway)
            item.events = ()
        if item.run is None or item.run.ticket != run.ticket:
            return RunRenewal(run.ticket, False, 0)
        item.run.expires_s = now_s + RUN_LEASE_S
        if run.start <= len(item.events):
            item.events = item.events[: run.start] + unpack_events(run.events)
        return RunRenewal(run.ticket, True, len(item.events))

    def finish(self, now_s: float, call: int, message: FinishRun) -> None:
        """A run has ended. Its gateway is answered once nothing can be lost any more."""
        job = self._table.jobs.get(message.key)
        item = job.items[message.index] if job and message.index < len(job.items) else None
        if job is None or item is None or (job.ended and not item.done) or item.status is ItemStatus.LISTED:
            self._table.out.append(AnswerCall(call, FinishRunReply(True)))
        elif item.status is ItemStatus.RESULT_PENDING:
            self._finishers.setdefault((job.key, message.index), []).append(call)
        else:
            self._finish(now_s, call, message, job, item)

    def _finish(self, now_s: float, call: int, message: FinishRun, job: BatchJob, item: Item) -> None:
        current = item.run is not None and item.run.ticket == message.ticket
        kind = OutcomeKind(message.kind)
        events = self._events_of(message, item, current)
        if kind is OutcomeKind.COMPLETED:
            if events is None or len(events) != message.total:
                self._table.out.append(AnswerCall(call, FinishRunReply(False)))
                return
            self._finishers.setdefault((job.key, message.index), []).append(call)
            if item.run is not None and current:
                self._table.schedule.record_run(now_s - item.run.started_s)
            self._place(job, message.index, ResultState.COMPLETED, "\n".join(event.data for event in events))
            return
        if kind is OutcomeKind.IMPOSSIBLE_422:
            self._finishers.setdefault((job.key, message.index), []).append(call)
            self._place(job, message.index, ResultState.DEAD_LETTER, "")
            return
        self._table.out.append(AnswerCall(call, FinishRunReply(True)))
        if kind is OutcomeKind.FAILED_500:
            item.failures |= {message.ticket}
            if len(item.failures) >= self._table.max_attempts(job):
                self._place(job, message.index, ResultState.DEAD_LETTER, "")
                return
        if current or item.status is ItemStatus.WAITING:
            if events is not None and len(events) >= len(item.events):
                item.events = events
            if current:
                self._requeue(job, message.index)

    def _events_of(self, message: FinishRun, item: Item, current: bool) -> tuple[EventData, ...] | None:
        """All events of the run; None where its gateway must tell them again."""
        if message.start == 0:
            return unpack_events(message.events)
        if current and message.start <= len(item.events):
            return item.events[: message.start] + unpack_events(message.events)
        return None

    def _place(self, job: BatchJob, index: int, state: ResultState, text: str) -> None:
        self._running.pop((job.key, index), None)
        self._table.place(job, index, state, text)

    def listed(self, job: BatchJob, index: int) -> None:
        """An item's result lasts."""
        for call in self._finishers.pop((job.key, index), ()):
            self._table.out.append(AnswerCall(call, FinishRunReply(True)))

    # Time.

    def tick(self, now_s: float) -> None:
        """Runs whose gateway fell silent are given out again, and so are items that nobody announced."""
        for key, index in list(self._running):
            job = self._table.jobs.get(key)
            run = job.items[index].run if job else None
            if job is None or run is None:
                self._running.pop((key, index), None)
            elif run.expires_s <= now_s:
                self._requeue(job, index)
        while self._held and self._held[0][0] <= now_s:
            _, key, index = self._held.pop(0)
            job = self._table.jobs.get(key)
            if job is not None and job.items[index].status is ItemStatus.WAITING:
                self._table.queue(job, index)

    def expire_items(self, now_s: float, job: BatchJob) -> None:
        """Items of a batch job past its retention, or without a route, become dead letters."""
        too_old = now_s - job.accepted_s > self._table.retention_s(job) + RETENTION_GRACE_S
        if job.ended or not job.accepted or not (too_old or self._table.route_gone(job)):
            return
        for index, item in enumerate(job.items):
            if not item.done:
                self._place(job, index, ResultState.DEAD_LETTER, "")

    def lost(self) -> None:
        """Another store owns the shard; gateways tell it what they have."""
        for calls in self._finishers.values():
            self._table.out.extend(AnswerCall(call, FinishRunReply(False)) for call in calls)
        self._finishers.clear()
        self._running.clear()
        self._held.clear()
