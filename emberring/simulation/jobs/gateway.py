"""Simulated gateway that runs items on simulated servers and forwards calls of clients to the owner."""

from __future__ import annotations

from collections.abc import Callable

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
    LeaseItemsReply,
    ReportRuns,
    ReportRunsReply,
    RunProgress,
    SubmitJob,
)
from emberring.jobs.items import OutcomeKind
from emberring.jobs.packing import pack_events, unpack_events
from emberring.placement.model import shard_of
from emberring.simulation.jobs.history import History, ItemRecord, SubmissionOutcome
from emberring.simulation.jobs.messages import (
    GatewayReply,
    GatewayRequest,
    JobRequest,
    OnGatewayReply,
    is_error,
)
from emberring.simulation.jobs.mutations import Mutations
from emberring.simulation.jobs.services import HOST, LOST, ROUTES, SOUND
from emberring.simulation.jobs.store import SimulatedStore
from emberring.simulation.jobs.world import World

ITEM_LEASE_S = 1.5
INITIAL_LEASE_S = 0.8
REPORT_INTERVAL_S = 0.2
POLL_S = 0.1
CALL_TIMEOUT_S = 0.8
CAPACITY = 12
DELIVERY_TIMEOUT_S = 12.0
RETRY_PAUSE_S = 0.05


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
    """A simulated gateway. Its runs are lost when it is killed."""

    def __init__(
        self,
        world: World,
        history: History,
        name: str,
        stores: dict[str, SimulatedStore],
        mutations: Mutations,
    ) -> None:
        self.world = world
        self.history = history
        self.name = name
        self.shard = shard_of(HOST)
        self.stores = stores
        self.mutations = mutations
        self.running = True
        self.frozen_until_s = 0.0
        self.incarnation = 0
        self.assumed_owner = ""
        self.runs: dict[int, _Run] = {}
        self._loop(self.incarnation, POLL_S, self._poll)
        self._loop(self.incarnation, REPORT_INTERVAL_S, self._report)

    def kill(self, duration_s: float) -> None:
        """Kill the gateway; it restarts without state after `duration_s`."""
        self.running = False
        self.incarnation += 1
        self.runs = {}
        self.world.after(duration_s, self._start, self.incarnation)

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

    def when_awake(self, incarnation: int, work: Callable[..., None], *arguments: object) -> None:
        """Call `work` in that incarnation once the gateway is not frozen."""
        if incarnation != self.incarnation or not self.running:
            return
        if self.world.now_s < self.frozen_until_s:
            self.world.at(self.frozen_until_s, self.when_awake, incarnation, work, *arguments)
        else:
            work(*arguments)

    # Calls to the owner.

    def call(self, request: GatewayRequest, wait_s: float, done: OnGatewayReply) -> None:
        """Make one attempt at the assumed owner of the shard; `done` gets the response, an error, or None."""
        names = list(self.stores)
        if self.assumed_owner not in self.stores or self.world.rng.random() < 0.05:
            self.assumed_owner = self.world.rng.choice(names)
        target, incarnation = self.assumed_owner, self.incarnation
        pending = [True]

        def finish(body: GatewayReply) -> None:
            if not pending[0]:
                return
            pending[0] = False
            if is_error(body) and not isinstance(body, NotFoundError | QuotaExceededError):
                self.assumed_owner = self.world.rng.choice(names)
            self.when_awake(incarnation, done, body)

        self.world.after(wait_s, finish, None)
        store = self.stores[target]
        if not store.running and self.world.is_reachable(self.name, target):
            self.world.after(0.001, finish, PeerUnavailableError())
            return
        self.world.send(self.name, target, store.handle_request, self.name, request, finish)

    def call_with_retries(
        self, request: JobRequest, limit_s: float, wait_s: float, done: Callable[[GatewayReply, bool], None]
    ) -> None:
        """Retry until the owner responds or the deadline passes.

        `done` gets the response, or None, and whether the outcome is unknown.
        """
        until_s = self.world.now_s + limit_s
        outcome_unknown = [False]

        def answered(body: GatewayReply) -> None:
            if isinstance(body, NotOwnerError | PeerUnavailableError | NotReadyError):
                retry()
            elif body is None or (
                is_error(body) and not isinstance(body, NotFoundError | QuotaExceededError)
            ):
                outcome_unknown[0] = True
                retry()
            else:
                done(body, outcome_unknown[0])

        def retry() -> None:
            if self.world.now_s + RETRY_PAUSE_S >= until_s:
                done(None, outcome_unknown[0])
            else:
                self.world.after(RETRY_PAUSE_S, self.when_awake, self.incarnation, attempt)

        def attempt() -> None:
            self.call(request, min(wait_s, max(0.01, until_s - self.world.now_s)), answered)

        attempt()

    def submit(self, request: SubmitJob, done: Callable[[SubmissionOutcome], None]) -> None:
        """Submit a client's batch job."""

        def answered(body: GatewayReply, outcome_unknown: bool) -> None:
            if body is not None and not is_error(body):
                done(SubmissionOutcome.ACCEPTED)
            elif outcome_unknown:
                done(SubmissionOutcome.UNKNOWN)
            else:
                done(
                    SubmissionOutcome.QUOTA
                    if isinstance(body, QuotaExceededError)
                    else SubmissionOutcome.NOT_READY
                )

        self.call_with_retries(request, 2.6, CALL_TIMEOUT_S, answered)

    # Items.

    def _poll(self) -> None:
        capacity = CAPACITY - sum(1 for run in self.runs.values() if run.kind is None)
        if capacity > 0:
            service_capacity = None if self.mutations.polls_without_services else {SOUND: capacity}
            message = LeaseItems(self.name, capacity, 0, service_capacity=service_capacity)
            self.call(message, CALL_TIMEOUT_S, self._on_leased)

    def _on_leased(self, body: GatewayReply) -> None:
        if not isinstance(body, LeaseItemsReply):
            return
        for assignment in body.items:
            now_s = self.world.now_s
            events = list(unpack_events(assignment.events))
            self.runs[assignment.ticket] = _Run(assignment, now_s + INITIAL_LEASE_S, events, len(events))
            wait_s = self.world.rng.random() ** 3 * 1.2
            self.world.after(wait_s, self.when_awake, self.incarnation, self._start_run, assignment.ticket)

    def _start_run(self, ticket: int) -> None:
        run = self.runs.get(ticket)
        if run is None or run.stopped:
            return
        rng = self.world.rng
        no_server = run.assignment.route == ROUTES[LOST].name
        if no_server or self.world.now_s >= run.allowed_until_s or rng.random() < 0.05:
            self._finish_run(run, OutcomeKind.NOT_RUN)
            return
        name = run.assignment.id
        resume = run.events[-1].id if run.events else None
        number = self.history.started(self.world.now_s, name, resume)
        job = self.history.jobs[run.assignment.key.partition("/")[2]]
        item = job.items[name]
        if item.impossible:
            item.refused_422 = True
            self._finish_run(run, OutcomeKind.IMPOSSIBLE_422)
        elif rng.random() < 0.08:
            item.failures += 1
            self._finish_run(run, OutcomeKind.FAILED_500)
        else:
            self._produce_event(ticket, number, 0 if resume is None else resume + 1, item)

    def _produce_event(self, ticket: int, number: int, event: int, item: ItemRecord) -> None:
        """Produce the next event of the server, which the gateway receives while it runs."""
        run = self.runs.get(ticket)
        if run is None or run.stopped:
            return
        if event == item.events:
            item.finished = True
            self._finish_run(run, OutcomeKind.COMPLETED)
        elif self.world.rng.random() < 0.03:
            self._finish_run(run, OutcomeKind.BROKEN)
        else:
            run.events.append(EventData(event, f"{run.assignment.id}#{number}#{event}"))
            pause_s = 0.01 + self.world.rng.random() * 0.1
            self.world.after(
                pause_s,
                self.when_awake,
                self.incarnation,
                self._produce_event,
                ticket,
                number,
                event + 1,
                item,
            )

    def _finish_run(self, run: _Run, kind: OutcomeKind) -> None:
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

        def done(body: GatewayReply) -> None:
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

        def done(body: GatewayReply) -> None:
            if isinstance(body, ReportRunsReply):
                for answer in body.runs:
                    self._on_reported(answer.ticket, answer.lease_renewed, answer.events_received, sent_s)

        self.call(ReportRuns(self.name, self.shard, progress), CALL_TIMEOUT_S, done)

    def _on_reported(self, ticket: int, lease_renewed: bool, events_received: int, sent_s: float) -> None:
        run = self.runs.get(ticket)
        if run is None:
            return
        if lease_renewed:
            run.allowed_until_s = max(run.allowed_until_s, sent_s + ITEM_LEASE_S)
            run.acked = min(events_received, len(run.events))
        elif run.kind is None:
            run.stopped = True
            self.runs.pop(ticket)
