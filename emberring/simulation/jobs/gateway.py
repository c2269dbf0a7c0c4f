"""A simulated gateway: it runs items at made-up servers and carries its clients' calls to the owner."""

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
    LeaseItems,
    ReportAnswer,
    ReportRuns,
    RunFinished,
    RunProgress,
)
from emberring.jobs.items import OutcomeKind
from emberring.jobs.packing import pack_events, unpack_events
from emberring.simulation.jobs.history import History, Try
from emberring.simulation.jobs.store import StoreMachine, is_error
from emberring.simulation.jobs.world import World

LEASE_S = 1.5
FIRST_LEASE_S = 0.8
REPORT_S = 0.2
POLL_S = 0.1
CALL_S = 0.8
ROOM = 12
DELIVER_S = 12.0
PAUSE_S = 0.05

Done = Callable[[Any], None]


@attrs.define(eq=False)
class _Run:
    assignment: Assignment
    allowed_until_s: float
    events: list[EventData]
    acked: int = 0
    stopped: bool = False
    kind: OutcomeKind | None = None
    deliver_until_s: float = 0.0


class GatewayMachine:
    """One gateway. Its runs die with it."""

    def __init__(
        self, world: World, history: History, name: str, shard: int, stores: dict[str, StoreMachine]
    ) -> None:
        self.world = world
        self.history = history
        self.name = name
        self.shard = shard
        self.stores = stores
        self.running = True
        self.thaw_at_s = 0.0
        self.life = 0
        self.guess = ""
        self.runs: dict[int, _Run] = {}
        self._loop(self.life, POLL_S, self._poll)
        self._loop(self.life, REPORT_S, self._report)

    def kill(self, lasts_s: float) -> None:
        """It dies and comes back empty."""
        self.running = False
        self.life += 1
        self.runs = {}
        self.world.after(lasts_s, self._start, self.life)

    def _start(self, life: int) -> None:
        if life == self.life:
            self.running = True
            self._loop(life, POLL_S, self._poll)
            self._loop(life, REPORT_S, self._report)

    def _loop(self, life: int, every_s: float, work: Callable[[], None]) -> None:
        if life != self.life or not self.running:
            return
        if self.world.now_s >= self.thaw_at_s:
            work()
        self.world.after(every_s, self._loop, life, every_s, work)

    def when_awake(self, life: int, work: Callable[..., None], *arguments: Any) -> None:
        """Do this in that life, once it is not frozen."""
        if life != self.life or not self.running:
            return
        if self.world.now_s < self.thaw_at_s:
            self.world.at(self.thaw_at_s, self.when_awake, life, work, *arguments)
        else:
            work(*arguments)

    # Calls to the owner.

    def call(self, question: Any, wait_s: float, done: Done) -> None:
        """One attempt at the store that may own the shard; `done` gets the answer, an error, or None."""
        names = list(self.stores)
        if self.guess not in self.stores or self.world.rng.random() < 0.05:
            self.guess = self.world.rng.choice(names)
        asked, life = self.guess, self.life
        open_call = [True]

        def finish(body: Any) -> None:
            if not open_call[0]:
                return
            open_call[0] = False
            if is_error(body) and not isinstance(body, NotFoundError | QuotaExceededError):
                self.guess = self.world.rng.choice(names)
            self.when_awake(life, done, body)

        self.world.after(wait_s, finish, None)
        store = self.stores[asked]
        if not store.running and self.world.reach(self.name, asked):
            self.world.after(0.001, finish, PeerUnavailableError())
            return
        self.world.send(self.name, asked, store.ask, self.name, question, finish)

    def ask(self, question: Any, limit_s: float, wait_s: float, done: Callable[[Any, bool], None]) -> None:
        """Ask until the owner answers or time is up: the answer (None for none), and whether it is in doubt."""
        until_s = self.world.now_s + limit_s
        doubt = [False]

        def answered(body: Any) -> None:
            if isinstance(body, NotOwnerError | PeerUnavailableError | NotReadyError):
                again()
            elif body is None or (
                is_error(body) and not isinstance(body, NotFoundError | QuotaExceededError)
            ):
                doubt[0] = True
                again()
            else:
                done(body, doubt[0])

        def again() -> None:
            if self.world.now_s + PAUSE_S >= until_s:
                done(None, doubt[0])
            else:
                self.world.after(PAUSE_S, self.when_awake, self.life, attempt)

        def attempt() -> None:
            self.call(question, min(wait_s, max(0.01, until_s - self.world.now_s)), answered)

        attempt()

    def submit(self, question: Any, done: Callable[[Try], None]) -> None:
        """A client hands a lot in."""

        def answered(body: Any, doubt: bool) -> None:
            if body is not None and not is_error(body):
                done(Try.TAKEN)
            elif doubt:
                done(Try.UNCLEAR)
            else:
                done(Try.QUOTA if isinstance(body, QuotaExceededError) else Try.NOT_READY)

        self.ask(question, 2.6, CALL_S, answered)

    # Items.

    def _poll(self) -> None:
        room = ROOM - sum(1 for run in self.runs.values() if run.kind is None)
        if room > 0:
            self.call(LeaseItems(self.name, room, 0), CALL_S, self._leased)

    def _leased(self, body: Any) -> None:
        if is_error(body):
            return
        for assignment in body.items:
            now_s = self.world.now_s
            events = list(unpack_events(assignment.events))
            self.runs[assignment.ticket] = _Run(assignment, now_s + FIRST_LEASE_S, events, len(events))
            wait_s = self.world.rng.random() ** 3 * 1.2
            self.world.after(wait_s, self.when_awake, self.life, self._begin, assignment.ticket)

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
        """The server goes on by itself; the gateway takes what reaches it while it runs."""
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
            self.world.after(pause_s, self.when_awake, self.life, self._next, ticket, number, event + 1, item)

    def _ended(self, run: _Run, kind: OutcomeKind) -> None:
        run.kind = kind
        run.deliver_until_s = self.world.now_s + DELIVER_S
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
            if isinstance(body, RunFinished) and body.taken:
                self.runs.pop(item.ticket, None)
            else:
                self.world.after(0.1, self.when_awake, self.life, self._deliver, run, 0)

        self.call(message, CALL_S, done)

    def _report(self) -> None:
        told = tuple(
            RunProgress(
                run.assignment.key,
                run.assignment.index,
                ticket,
                run.acked,
                pack_events(run.events[run.acked :]),
            )
            for ticket, run in self.runs.items()
        )
        if not told:
            return
        sent_s = self.world.now_s

        def done(body: Any) -> None:
            if isinstance(body, ReportAnswer):
                for answer in body.runs:
                    self._reported(answer.ticket, answer.go_on, answer.have, sent_s)

        self.call(ReportRuns(self.name, self.shard, told), CALL_S, done)

    def _reported(self, ticket: int, go_on: bool, have: int, sent_s: float) -> None:
        run = self.runs.get(ticket)
        if run is None:
            return
        if go_on:
            run.allowed_until_s = max(run.allowed_until_s, sent_s + LEASE_S)
            run.acked = min(have, len(run.events))
        elif run.kind is None:
            run.stopped = True
            self.runs.pop(ticket)
