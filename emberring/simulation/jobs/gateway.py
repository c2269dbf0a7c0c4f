"""Simulated gateway: it runs items at simulated servers and carries its clients' calls to the owner."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import attrs

from emberring.errors import (
    NotFoundError,
    NotOwnerError,
    NotReadyError,
    PeerUnavailableError,
    QuotaExceededError,
)
from emberring.jobs.calls import (
    Assignment,
    EventData,
    FinishRun,
    FinishRunReply,
    LeaseItems,
    ReportRuns,
    ReportRunsReply,
    RunProgress,
)
from emberring.jobs.items import OutcomeKind
from emberring.jobs.packing import pack_events, unpack_events
from emberring.simulation.jobs.history import History, SubmissionOutcome
from emberring.simulation.jobs.store import SimulatedStore, is_error
from emberring.simulation.jobs.world import World

ITEM_LEASE_S = 1.5
INITIAL_LEASE_S = 0.8
REPORT_INTERVAL_S = 0.2
POLL_S = 0.1
CALL_TIMEOUT_S = 0.8
CAPACITY = 12
DELIVERY_TIMEOUT_S = 12.0
RETRY_PAUSE_S = 0.05

Callback = Callable[[Any], None]


@attrs.define(eq=False)
class _Run:
    assignment: Assignment
    allowed_until_s: float
    events: list[EventData]
    acked: int = 0
    stopped: bool = False
    kind: OutcomeKind | None = None
    deliver_until_s: float = 0.0


class SimulatedGateway:
    """A simulated gateway. Its runs end with it."""

    def __init__(
        self, world: World, history: History, name: str, shard: int, stores: dict[str, SimulatedStore]
    ) -> None:
        self.world = world
        self.history = history
        self.name = name
        self.shard = shard
        self.stores = stores
        self.running = True
        self.frozen_until_s = 0.0
        self.incarnation = 0
        self.assumed_owner = ""
        self.runs: dict[int, _Run] = {}
        self._loop(self.incarnation, POLL_S, self._poll)
        self._loop(self.incarnation, REPORT_INTERVAL_S, self._report)

    def kill(self, lasts_s: float) -> None:
        """Kill the gateway; it comes back empty."""
        self.running = False
        self.incarnation += 1
        self.runs = {}
        self.world.after(lasts_s, self._start, self.incarnation)

    def _start(self, incarnation: int) -> None:
        if incarnation == self.incarnation:
            self.running = True
            self._loop(incarnation, POLL_S, self._poll)
            self._loop(incarnation, REPORT_INTERVAL_S, self._report)

    def _loop(self, incarnation: int, every_s: float, work: Callable[[], None]) -> None:
        if incarnation != self.incarnation or not self.running:
            return
        if self.world.now_s >= self.frozen_until_s:
            work()
        self.world.after(every_s, self._loop, incarnation, every_s, work)

    def when_awake(self, incarnation: int, work: Callable[..., None], *arguments: Any) -> None:
        """Call `work` in that incarnation, once it is not frozen."""
        if incarnation != self.incarnation or not self.running:
            return
        if self.world.now_s < self.frozen_until_s:
            self.world.at(self.frozen_until_s, self.when_awake, incarnation, work, *arguments)
        else:
            work(*arguments)

    # Calls to the owner.

    def call(self, request: Any, wait_s: float, done: Callback) -> None:
        """Make one attempt at the store that may own the shard; `done` gets the answer, an error, or None."""
        names = list(self.stores)
        if self.assumed_owner not in self.stores or self.world.rng.random() < 0.05:
            self.assumed_owner = self.world.rng.choice(names)
        asked, incarnation = self.assumed_owner, self.incarnation
        open_call = [True]

        def finish(body: Any) -> None:
            if not open_call[0]:
                return
            open_call[0] = False
            if is_error(body) and not isinstance(body, NotFoundError | QuotaExceededError):
                self.assumed_owner = self.world.rng.choice(names)
            self.when_awake(incarnation, done, body)

        self.world.after(wait_s, finish, None)
        store = self.stores[asked]
        if not store.running and self.world.reach(self.name, asked):
            self.world.after(0.001, finish, PeerUnavailableError())
            return
        self.world.send(self.name, asked, store.ask, self.name, request, finish)

    def ask(self, request: Any, limit_s: float, wait_s: float, done: Callable[[Any, bool], None]) -> None:
        """Retry until the owner answers or time is up.

        `done` gets the answer (None for none), and whether the outcome is unknown.
        """
        until_s = self.world.now_s + limit_s
        outcome_unknown = [False]

        def answered(body: Any) -> None:
            if isinstance(body, NotOwnerError | PeerUnavailableError | NotReadyError):
                again()
            elif body is None or (
                is_error(body) and not isinstance(body, NotFoundError | QuotaExceededError)
            ):
                outcome_unknown[0] = True
                again()
            else:
                done(body, outcome_unknown[0])

        def again() -> None:
            if self.world.now_s + RETRY_PAUSE_S >= until_s:
                done(None, outcome_unknown[0])
            else:
                self.world.after(RETRY_PAUSE_S, self.when_awake, self.incarnation, attempt)

        def attempt() -> None:
            self.call(request, min(wait_s, max(0.01, until_s - self.world.now_s)), answered)

        attempt()

    def submit(self, request: Any, done: Callable[[SubmissionOutcome], None]) -> None:
        """Submit a client's batch job."""

        def answered(body: Any, outcome_unknown: bool) -> None:
            if body is not None and not is_error(body):
                done(SubmissionOutcome.TAKEN)
            elif outcome_unknown:
                done(SubmissionOutcome.UNCLEAR)
            else:
                done(
                    SubmissionOutcome.QUOTA
                    if isinstance(body, QuotaExceededError)
                    else SubmissionOutcome.NOT_READY
                )

        self.ask(request, 2.6, CALL_TIMEOUT_S, answered)

    # Items.

    def _poll(self) -> None:
        capacity = CAPACITY - sum(1 for run in self.runs.values() if run.kind is None)
        if capacity > 0:
            self.call(LeaseItems(self.name, capacity, 0), CALL_TIMEOUT_S, self._leased)

    def _leased(self, body: Any) -> None:
        if is_error(body):
            return
        for assignment in body.items:
            now_s = self.world.now_s
            events = list(unpack_events(assignment.events))
            self.runs[assignment.ticket] = _Run(assignment, now_s + INITIAL_LEASE_S, events, len(events))
            wait_s = self.world.rng.random() ** 3 * 1.2
            self.world.after(wait_s, self.when_awake, self.incarnation, self._begin, assignment.ticket)

    def _begin(self, ticket: int) -> None:
        run = self.runs.get(ticket)
        if run is None or run.stopped:
            return
        rng = self.world.rng
        if self.world.now_s >= run.allowed_until_s or rng.random() < 0.05:
            self._ended(run, OutcomeKind.NOT_RUN)
            return
        name = run.assignment.id
        resume = run.events[-1].id if run.events else None
        number = self.history.started(self.world.now_s, name, resume)
        job = self.history.jobs[run.assignment.key.partition("/")[2]]
        item = job.items[name]
        if item.impossible:
            item.refused_422 = True
            self._ended(run, OutcomeKind.IMPOSSIBLE_422)
        elif rng.random() < 0.08:
            item.failures += 1
            self._ended(run, OutcomeKind.FAILED_500)
        else:
            self._next(ticket, number, 0 if resume is None else resume + 1, item)

    def _next(self, ticket: int, number: int, event: int, item: Any) -> None:
        """Let the server produce the next event; the gateway receives it while it runs."""
        run = self.runs.get(ticket)
        if run is None or run.stopped:
            return
        if event == item.events:
            item.finished = True
            self._ended(run, OutcomeKind.COMPLETED)
        elif self.world.rng.random() < 0.03:
            self._ended(run, OutcomeKind.BROKEN)
        else:
            run.events.append(EventData(event, f"{run.assignment.id}#{number}#{event}"))
            pause_s = 0.01 + self.world.rng.random() * 0.1
            self.world.after(
                pause_s, self.when_awake, self.incarnation, self._next, ticket, number, event + 1, item
            )

    def _ended(self, run: _Run, kind: OutcomeKind) -> None:
        run.kind = kind
        run.deliver_until_s = self.world.now_s + DELIVERY_TIMEOUT_S
        self._deliver(run, run.acked)

    def _deliver(self, run: _Run, start: int) -> None:
        item = run.assignment
        if item.ticket not in self.runs or run.kind is None:
            return
        if self.world.now_s > run.deliver_until_s:
            self.runs.pop(item.ticket)
            return
        message = FinishRun(
            self.name,
            item.shard,
            item.key,
            item.index,
            item.ticket,
            run.kind.value,
            start,
            len(run.events),
            pack_events(run.events[start:]),
        )

        def done(body: Any) -> None:
            if isinstance(body, FinishRunReply) and body.acknowledged:
                self.runs.pop(item.ticket, None)
            else:
                self.world.after(0.1, self.when_awake, self.incarnation, self._deliver, run, 0)

        self.call(message, CALL_TIMEOUT_S, done)

    def _report(self) -> None:
        progress = tuple(
            RunProgress(
                run.assignment.key,
                run.assignment.index,
                ticket,
                run.acked,
                pack_events(run.events[run.acked :]),
            )
            for ticket, run in self.runs.items()
        )
        if not progress:
            return
        sent_s = self.world.now_s

        def done(body: Any) -> None:
            if isinstance(body, ReportRunsReply):
                for answer in body.runs:
                    self._reported(answer.ticket, answer.lease_renewed, answer.events_received, sent_s)

        self.call(ReportRuns(self.name, self.shard, progress), CALL_TIMEOUT_S, done)

    def _reported(self, ticket: int, lease_renewed: bool, have: int, sent_s: float) -> None:
        run = self.runs.get(ticket)
        if run is None:
            return
        if lease_renewed:
            run.allowed_until_s = max(run.allowed_until_s, sent_s + ITEM_LEASE_S)
            run.acked = min(have, len(run.events))
        elif run.kind is None:
            run.stopped = True
            self.runs.pop(ticket)
