"""Item runner of a gateway: leases items of batch jobs, runs them, reports progress, delivers results."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Coroutine
from typing import Any

import attrs

from emberring.errors import EmberringError, NotOwnerError, PeerError
from emberring.jobs.calls import (
    Assignment,
    EventData,
    FinishRun,
    FinishRunReply,
    LeaseItemsReply,
    ReportRuns,
    ReportRunsReply,
    RunProgress,
    RunRenewal,
)
from emberring.jobs.directory import OwnerDirectory, TierKnowledge
from emberring.jobs.items import ItemCall, ItemEvent, ItemExecutor, ItemOutcome, OutcomeKind
from emberring.jobs.packing import pack_events, unpack_events
from emberring.jobs.store_poller import GatewayIdentity, StorePoller
from emberring.logs import get_logger
from emberring.transport.network import Network

logger = get_logger("jobs")

ITEM_LEASE_S = 1.5  # since a report was sent that the owner acknowledged
INITIAL_LEASE_S = 0.8  # since an item was received; shorter, as the reply may have been delayed on its way
REPORT_INTERVAL_S = 0.2
MIN_REPORT_AGE_S = 0.1  # runs that started less than this ago are not reported yet
CALL_TIMEOUT_S = 0.8
NOT_RUN_PAUSE_S = 0.05  # without new polls for a service after one of its items that no server started
DELIVERY_TIMEOUT_S = 20.0  # for all attempts to deliver a result
DELIVERY_RETRY_PAUSE_S = 0.1


@attrs.define(eq=False)
class _Run:
    """A run of an item at this gateway, until its result is delivered."""

    assignment: Assignment
    started_s: float
    allowed_until_s: float
    events: list[EventData]
    acked: int = 0  # number of events that the owner has
    stopped: bool = False
    ended: bool = False
    task: asyncio.Task[None] | None = None


class ItemRunner:
    """Item runner of one gateway. Not thread-safe: used from one event loop.

    `executor` sends the items to servers; `gateway` is the name of the node; `zone` is its zone.
    """

    def __init__(
        self,
        network: Network,
        knowledge: TierKnowledge,
        executor: ItemExecutor,
        gateway: str,
        directory: OwnerDirectory | None = None,
        zone: str = "",
    ) -> None:
        self._network = network
        self._knowledge = knowledge
        self._executor = executor
        self._gateway = gateway
        self._zone = zone
        self._directory = directory or OwnerDirectory(knowledge)
        self._runs: dict[int, _Run] = {}
        self._pollers: dict[str, asyncio.Task[None]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._run_ended = asyncio.Event()
        self._paused_until_s: dict[str | None, float] = {}  # by service; None for all services
        self._shutting_down = False
        self.outcomes: Counter[tuple[str, str]] = Counter()  # runs by service ("" if none) and kind

    @property
    def running(self) -> int:
        """The number of runs whose results are not delivered yet."""
        return len(self._runs)

    async def start(self) -> None:
        """Start the background tasks that poll for items and report runs; returns at once."""
        self._spawn(self._report_all())
        self._spawn(self._poll_all())

    async def leave(self, limit_s: float) -> None:
        """Stop leasing items and wait for running ones; return those still running after `limit_s` to their owners."""
        self._shutting_down = True
        for poller in self._pollers.values():
            poller.cancel()
        until_s = _now_s() + limit_s
        while self._runs and _now_s() < until_s:
            await asyncio.sleep(0.05)
        for run in self._runs.values():
            if run.task is not None and not run.ended:
                run.task.cancel()
        while self._runs and _now_s() < until_s + CALL_TIMEOUT_S:
            await asyncio.sleep(0.05)

    async def stop(self) -> None:
        """Stop at once; running items are cancelled."""
        self._shutting_down = True
        for task in (*self._tasks, *self._pollers.values()):
            task.cancel()

    # Leases.

    async def _poll_all(self) -> None:
        """Keep one polling task for each live store."""
        while not self._shutting_down:
            live_stores = set(self._directory.stores())
            for address in sorted(live_stores - set(self._pollers)):
                self._pollers[address] = asyncio.get_running_loop().create_task(self._poll_store(address))
            for address in sorted(set(self._pollers) - live_stores):
                self._pollers.pop(address).cancel()
            await asyncio.sleep(REPORT_INTERVAL_S)

    async def _poll_store(self, address: str) -> None:
        def on_leased(leased: LeaseItemsReply) -> None:
            for assignment in leased.items:
                self._directory.confirm(assignment.shard, address)
                self._begin(assignment)

        gateway = GatewayIdentity(self._gateway, self._zone)
        poller = StorePoller(self._network, address, gateway, self._service_capacity, on_leased)
        await poller.run(self._run_ended)

    def _service_capacity(self) -> dict[str, int]:
        """Return how many items may be leased now, by each service that has servers."""
        now_s = _now_s()
        self._paused_until_s = {
            service: until_s for service, until_s in self._paused_until_s.items() if until_s > now_s
        }
        capacity = self._executor.batch_capacity()
        if None in self._paused_until_s:
            return dict.fromkeys(capacity, 0)
        return {service: 0 if service in self._paused_until_s else free for service, free in capacity.items()}

    # Execution.

    def _begin(self, assignment: Assignment) -> None:
        now_s = _now_s()
        events = list(unpack_events(assignment.events))
        run = _Run(assignment, now_s, now_s + INITIAL_LEASE_S, events, len(events))
        self._runs[assignment.ticket] = run
        run.task = self._spawn(self._run(run))

    async def _run(self, run: _Run) -> None:
        try:
            outcome = await self._execute(run)
        except asyncio.CancelledError:
            if run.stopped or not self._shutting_down:
                self._runs.pop(run.assignment.ticket, None)
                raise
            outcome = ItemOutcome(OutcomeKind.BROKEN)
        except Exception:
            # Guard: a run whose task ends without a report would be reported as running until the item's retention.
            logger.exception("event=run_failed item=%r", run.assignment.id)
            outcome = ItemOutcome(OutcomeKind.BROKEN)
        run.ended = True
        self._run_ended.set()
        self.outcomes[(outcome.service or "", outcome.kind.value)] += 1
        if outcome.kind is OutcomeKind.NOT_RUN and not outcome.declined:
            self._paused_until_s[outcome.service] = _now_s() + NOT_RUN_PAUSE_S
        try:
            await self._deliver(run, outcome)
        finally:
            self._runs.pop(run.assignment.ticket, None)

    async def _execute(self, run: _Run) -> ItemOutcome:
        item = run.assignment
        configuration = self._knowledge.configuration
        route = configuration.route_for(item.host, item.job_path) if configuration else None
        if route is None:
            return ItemOutcome(OutcomeKind.NOT_RUN)
        call = ItemCall(
            id=item.id,
            host=item.host,
            path=item.path,
            headers=tuple(item.headers.items()),
            body=item.body,
            resume_after=run.events[-1].id if run.events else None,
            tokens=item.tokens,
            route=route,
            due_s=run.started_s + item.due_ms / 1000,
            still_allowed=lambda: not run.stopped and _now_s() < run.allowed_until_s,
        )

        def on_events(events: list[ItemEvent]) -> None:
            run.events.extend(EventData(event.id, event.data) for event in events)

        return await self._executor.run_item(call, on_events)

    async def _deliver(self, run: _Run, outcome: ItemOutcome) -> None:
        """Report the end of a run, with retries until an owner has acknowledged it."""
        item = run.assignment
        until_s = _now_s() + DELIVERY_TIMEOUT_S
        start = run.acked
        while _now_s() < until_s and not run.stopped:
            address = self._directory.address(item.shard)
            message = self._finish_message(run, outcome, start)
            try:
                if address is not None:
                    reply = await self._network.call(address, message, FinishRunReply, CALL_TIMEOUT_S)
                    if reply.acknowledged:
                        return
                start = 0
            except EmberringError as error:
                start = 0
                self._on_call_failed(item.shard, address or "", error)
            await asyncio.sleep(DELIVERY_RETRY_PAUSE_S)

    def _finish_message(self, run: _Run, outcome: ItemOutcome, start: int) -> FinishRun:
        """Return the message that reports the end of a run, with its events from number `start` on."""
        item = run.assignment
        return FinishRun(
            gateway=self._gateway,
            shard=item.shard,
            key=item.key,
            index=item.index,
            ticket=item.ticket,
            kind=outcome.kind.value,
            start=start,
            total=len(run.events),
            events=pack_events(run.events[start:]),
            declined=outcome.declined,
        )

    # Reports.

    async def _report_all(self) -> None:
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            by_shard: dict[int, list[_Run]] = {}
            started_before_s = _now_s() - MIN_REPORT_AGE_S
            for run in self._runs.values():
                if run.started_s <= started_before_s:
                    by_shard.setdefault(run.assignment.shard, []).append(run)
            for shard, runs in by_shard.items():
                self._spawn(self._report(shard, runs))

    async def _report(self, shard: int, runs: list[_Run]) -> None:
        address = self._directory.address(shard)
        if address is None:
            return
        message = ReportRuns(self._gateway, shard, tuple(_progress(run) for run in runs))
        sent_s = _now_s()
        try:
            answer = await self._network.call(address, message, ReportRunsReply, CALL_TIMEOUT_S)
        except EmberringError as error:
            self._on_call_failed(shard, address, error)
            return
        self._directory.confirm(shard, address)
        for renewal in answer.runs:
            self._on_run_renewal(sent_s, renewal)

    def _on_run_renewal(self, sent_s: float, renewal: RunRenewal) -> None:
        run = self._runs.get(renewal.ticket)
        if run is None:
            return
        if renewal.lease_renewed:
            run.allowed_until_s = max(run.allowed_until_s, sent_s + ITEM_LEASE_S)
            run.acked = min(renewal.events_received, len(run.events))
        elif not run.ended:
            run.stopped = True
            if run.task is not None:
                run.task.cancel()

    def _on_call_failed(self, shard: int, address: str, error: EmberringError) -> None:
        if isinstance(error, NotOwnerError):
            self._directory.redirect(shard, address, error.detail)
        elif isinstance(error, PeerError):
            self._directory.forget(shard, address)

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


def _progress(run: _Run) -> RunProgress:
    item = run.assignment
    events = pack_events(run.events[run.acked :])
    return RunProgress(item.key, item.index, item.ticket, run.acked, events)


def _now_s() -> float:
    return asyncio.get_running_loop().time()
