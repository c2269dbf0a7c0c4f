"""Trials of admission: engines, several gateways that each see only their own calls, clients and batch jobs.

`run_trial` runs a site for some seconds and returns its record. All randomness comes from the seed, and
the draws of the traffic do not depend on the decisions, so that policies are compared on the same requests.
Times inside are milliseconds.
"""

from __future__ import annotations

import functools
import heapq
import itertools
from collections import deque
from collections.abc import Callable, Sequence
from random import Random

import attrs

from emberring.admission import Admitted, AttemptBudget, CallInfo, CallOutcome, PrefixPart, Refused
from emberring.configuration.model import Service
from emberring.distribution.contacts import sum_by_server
from emberring.distribution.records import ServerRecord, ServerState
from emberring.registry.known_load import KnownLoad
from emberring.simulation.admission.baselines import Policy
from emberring.simulation.admission.engine_model import Engine, EngineCall
from emberring.simulation.admission.entities import Attempt, Request, Server
from emberring.simulation.admission.site import Burst, Crash, Site
from emberring.simulation.admission.traffic import CLIENT_NETWORK_MS, TrafficGenerator
from emberring.simulation.admission.trial import TrialRecord

SERVICE = "llm"
REPORT_MS = 100.0  # interval at which a gateway reports its calls in flight and receives the sums
LOAD_REPORT_DELAY_MS = 50.0  # age of the sums, which control nodes exchange with each other
LOAD_AGGREGATION_MS = 25.0  # interval at which the sums are recomputed for all gateways
ITEM_POLL_MS = 60.0  # interval at which a gateway polls for items
SERVER_LOSS_MS = 4800.0  # silence after which a server is removed from the list
SERVER_DISCOVERY_MS = 500.0  # delay until the gateways know a new server
ATTEMPT_TIMEOUT_MS = 1000.0  # silence after which the gateway gives up an attempt
CLIENT_SILENCE_TIMEOUT_MS = 2000.0  # silence after which a client leaves a stream
ITEM_RETRY_DELAY_MS = 100.0  # delay until a failed item is offered again
JOB_DRAIN_MS = 10_000.0  # time for batch jobs after the traffic has ended

MakePolicy = Callable[["World", int], Policy]


class World:
    """The state of a trial."""

    def __init__(self, site: Site, make: MakePolicy, seed: int) -> None:
        self.site = site
        self.now_ms = 0.0
        self.record = TrialRecord()
        self.servers: list[Server] = []
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._names = itertools.count()
        self._items: list[Request] = []
        self._random = Random(seed + 7)
        self._reported: dict[int, dict[str, int]] = {}
        self._sums: deque[tuple[float, dict[str, int]]] = deque()  # (time, sums)
        for position in range(site.servers):
            self._add_server(position)
        self.policies = [make(self, index) for index in range(len(site.gateway_shares))]
        for index in range(len(self.policies)):
            self._update_policy(index)
            self.call_at(REPORT_MS * index / len(self.policies), functools.partial(self._report, index))
            self.call_at(
                ITEM_POLL_MS * index / len(self.policies), functools.partial(self._poll_items, index)
            )

    # ------------------------------------------------------------- time

    def call_at(self, when_ms: float, callback: Callable[[], None]) -> None:
        """Call a function at this time."""
        heapq.heappush(self._events, (when_ms, next(self._order), callback))

    def run_until(self, end_ms: float) -> None:
        """Advance the time and run all due callbacks."""
        while self._events and self._events[0][0] <= end_ms:
            self.now_ms, _, callback = heapq.heappop(self._events)
            callback()
        self.now_ms = end_ms

    # ------------------------------------------------------------- servers

    def _add_server(self, position: int) -> None:
        name = f"i-{position}-{next(self._names):04x}"
        server = Server(name, Engine(self.site.engine), position, self.now_ms, known=self.now_ms == 0.0)
        self.servers.append(server)
        if not server.known:
            self.call_at(self.now_ms + SERVER_DISCOVERY_MS, lambda: self._make_known(server, True))

    def _make_known(self, server: Server, known: bool) -> None:
        server.known = known
        for index in range(len(self.policies)):
            self._update_policy(index)

    def crash(self, crash: Crash) -> None:
        """Crash a server now, and start its next incarnation after the crash's duration."""
        for server in self.servers:
            if server.position == crash.server and server.up:
                server.up, server.silent = False, crash.silent
                self._record_counters(server)
                if not crash.silent:
                    for attempt in list(server.attempts):
                        self._after_network_delay(
                            functools.partial(self._end_attempt, attempt, CallOutcome.BROKEN)
                        )
                self.call_at(self.now_ms + SERVER_LOSS_MS, functools.partial(self._make_known, server, False))
        self.call_at(self.now_ms + crash.duration_s * 1000.0, lambda: self._add_server(crash.server))

    def _record_counters(self, server: Server) -> None:
        counters, record = server.engine.counters, self.record
        record.busy_ms[server.id] = counters.busy_ms
        record.calls[server.id] = counters.calls
        record.up_ms[server.id] = self.now_ms - server.started_ms
        record.shared_prefilled += counters.shared_prefilled
        record.prefilled += counters.prefilled
        record.preempted += counters.preempted
        record.full_answers += counters.full

    def _step(self, server: Server) -> None:
        if not server.up or server.engine.idle:
            server.stepping = False
            return
        end_ms = server.engine.step(self.now_ms)
        self.call_at(end_ms, lambda: self._step(server))

    # ------------------------------------------------------------- reports of load

    def _update_policy(self, index: int) -> None:
        records = [
            ServerRecord(server.id, SERVICE, server.id, "a", self.site.engine.capacity, ServerState.READY, 1)
            for server in self.servers
            if server.known
        ]
        info = Service(
            SERVICE,
            max_connections=self.site.max_connections,
            capacity=self.site.engine.capacity,
            kv_cache_tokens=self.site.engine.kv_tokens,
            stride=self.site.engine.stride,
        )
        self.policies[index].set_servers(
            self.now_ms / 1000.0, records, {SERVICE: info}, len(self.policies), self._known_load()
        )

    def _known_load(self) -> KnownLoad:
        """Return the sums of all gateways' calls as they were `LOAD_REPORT_DELAY_MS` ago."""
        if not self._sums or self.now_ms - self._sums[-1][0] >= LOAD_AGGREGATION_MS:
            self._sums.append((self.now_ms, sum_by_server(self._reported.values())))
        while len(self._sums) > 1 and self._sums[1][0] <= self.now_ms - LOAD_REPORT_DELAY_MS:
            self._sums.popleft()
        made_ms, sums = self._sums[0]
        return KnownLoad(sums, reported_s=(made_ms - REPORT_MS / 2.0) / 1000.0)

    def _report(self, index: int) -> None:
        """Send this gateway's report, and schedule the next one."""
        report = self.policies[index].in_flight()
        self.call_at(self.now_ms + 5.0, lambda: self._receive_report(index, report))
        self.call_at(self.now_ms + REPORT_MS, lambda: self._report(index))

    def _receive_report(self, index: int, report: dict[str, int]) -> None:
        self._reported[index] = report
        self._update_policy(index)

    # ------------------------------------------------------------- requests

    def _after_network_delay(self, callback: Callable[[], None]) -> None:
        self.call_at(self.now_ms + self.site.network_delay_ms, callback)

    def submit(self, request: Request, gateway: int) -> None:
        """Submit a client's request, or a batch item, to a gateway."""
        self._offer(request, gateway, first=True)

    def _offer(self, request: Request, gateway: int, first: bool) -> None:
        kind, name = request.kind, f"c{next(self._names)}"
        call = CallInfo(
            id=name,
            service=SERVICE,
            route=kind.name,
            priority=kind.priority,
            batch=kind.items_per_job is not None,
            tokens_in=sum(part.tokens for part in request.parts),
            tokens_out=request.tokens_out,
            parts=tuple(PrefixPart(part.id, part.tokens) for part in request.parts),
            latency_target_ms=kind.latency_target_ms,
            deadline_s=request.deadline_ms / 1000.0,
            target_s=kind.completion_target_s,
            excluded=request.excluded,
            admitted=not first,
        )
        decision = self.policies[gateway].offer(self.now_ms / 1000.0, call)
        if isinstance(decision, Admitted):
            server = next(one for one in self.servers if one.id == decision.server_id)
            attempt = Attempt(name, request, gateway, server, last_received_ms=self.now_ms)
            self.policies[gateway].started(self.now_ms / 1000.0, name, server.id)
            server.attempts.add(attempt)
            self._after_network_delay(lambda: self._arrive(attempt))
            return
        self._handle_refusal(request, decision.retry_after_s if isinstance(decision, Refused) else 0.2)

    def _handle_refusal(self, request: Request, retry_after_s: float) -> None:
        if request.kind.items_per_job is not None:
            self.call_at(self.now_ms + ITEM_RETRY_DELAY_MS, lambda: self._items.append(request))
            return
        request.record.refusals += 1
        if self._half_idle():
            self.record.refusals_with_free_slots += 1
        self._retry_by_client(request, retry_after_s)

    def _half_idle(self) -> bool:
        engines = [server.engine for server in self.servers if server.up]
        slots = sum(engine.parameters.capacity for engine in engines)
        return sum(engine.active for engine in engines) < slots / 2 and not any(
            engine.queued for engine in engines
        )

    def _retry_by_client(self, request: Request, wait_s: float) -> None:
        remaining_ms = request.deadline_ms - self.now_ms
        request.finished = True
        if request.retries_left <= 0 or remaining_ms <= 0.0 or request.events > 0:
            return
        retry = attrs.evolve(
            request,
            retries_left=request.retries_left - 1,
            finished=False,
            excluded=frozenset(),
            budget=AttemptBudget(request.kind.max_attempts, request.kind.resumable),
        )
        wait_ms = min(wait_s * 1000.0, remaining_ms / 3.0) + 2.0 * CLIENT_NETWORK_MS
        gateway = self._random.randrange(len(self.policies))
        self.call_at(self.now_ms + wait_ms, lambda: self.submit(retry, gateway))

    def _arrive(self, attempt: Attempt) -> None:
        server = attempt.server
        if attempt.finished:
            return
        if not server.up:
            if server.silent:
                self.call_at(self.now_ms + ATTEMPT_TIMEOUT_MS, lambda: self._time_out(attempt))
            else:
                self._after_network_delay(lambda: self._end_attempt(attempt, CallOutcome.CONNECT_FAILED))
            return
        request = attempt.request
        attempt.call = EngineCall(
            attempt.id,
            request.parts,
            request.tokens_out,
            on_event=lambda when, number: self._send_event(attempt, when),
            on_end=lambda when: self._complete(attempt, when),
        )
        if not server.engine.submit(attempt.call):
            self._after_network_delay(lambda: self._end_attempt(attempt, CallOutcome.FULL))
            return
        if request.kind.items_per_job is None:
            self.call_at(self.now_ms + CLIENT_SILENCE_TIMEOUT_MS, lambda: self._check_client_timeout(attempt))
            self.call_at(request.deadline_ms, lambda: self._cancel(attempt))
        if not server.stepping:
            server.stepping = True
            self._step(server)

    def _time_out(self, attempt: Attempt) -> None:
        if not attempt.finished:
            self._end_attempt(attempt, CallOutcome.SILENT)

    def _check_client_timeout(self, attempt: Attempt) -> None:
        """Cancel a stream whose client has waited for too long."""
        if attempt.finished:
            return
        silent_ms = self.now_ms - attempt.last_received_ms
        if silent_ms >= CLIENT_SILENCE_TIMEOUT_MS:
            self._cancel(attempt)
        else:
            self.call_at(
                self.now_ms + max(1.0, CLIENT_SILENCE_TIMEOUT_MS - silent_ms),
                lambda: self._check_client_timeout(attempt),
            )

    def _cancel(self, attempt: Attempt) -> None:
        if attempt.finished:
            return
        if attempt.call is not None:
            attempt.server.engine.drop(attempt.call)
        attempt.request.retries_left = 0
        self._end_attempt(attempt, CallOutcome.CANCELLED)

    def _send_event(self, attempt: Attempt, when_ms: float) -> None:
        if attempt.server.up:
            self.call_at(when_ms + self.site.network_delay_ms, lambda: self._receive_event(attempt))

    def _receive_event(self, attempt: Attempt) -> None:
        if attempt.finished:
            return
        request, policy = attempt.request, self.policies[attempt.gateway]
        attempt.last_received_ms = self.now_ms
        request.events += 1
        if request.events == 1:
            policy.first_event(self.now_ms / 1000.0, attempt.id)
            first_event_ms = self.now_ms + CLIENT_NETWORK_MS - request.record.arrived_ms
            request.record.first_event_ms = first_event_ms
            request.late = (
                request.kind.items_per_job is None and first_event_ms > request.kind.latency_target_ms
            )
        else:
            policy.progress(self.now_ms / 1000.0, attempt.id)
            if (
                self.now_ms - request.last_event_ms > request.kind.event_gap_target_ms
                and request.kind.items_per_job is None
            ):
                request.late = True
        request.last_event_ms = self.now_ms

    def _complete(self, attempt: Attempt, when_ms: float) -> None:
        if when_ms < 0.0:  # the request exceeds the KV cache of the server
            self._after_network_delay(lambda: self._end_attempt(attempt, CallOutcome.FULL))
        elif attempt.server.up:
            self.call_at(
                when_ms + self.site.network_delay_ms,
                lambda: self._end_attempt(attempt, CallOutcome.COMPLETED),
            )

    def _end_attempt(self, attempt: Attempt, outcome: CallOutcome) -> None:
        if attempt.finished:
            return
        attempt.finished = True
        attempt.server.attempts.discard(attempt)
        request, record = attempt.request, attempt.request.record
        self.policies[attempt.gateway].finished(self.now_ms / 1000.0, attempt.id, outcome)
        if outcome is CallOutcome.COMPLETED:
            request.finished = record.served = True
            due_ms = record.arrived_ms + request.kind.completion_target_s * 1000.0
            record.in_time = not request.late if request.kind.items_per_job is None else self.now_ms <= due_ms
            return
        record.failed_attempts += 1
        request.budget = request.budget.after(outcome)
        request.excluded = request.excluded | {attempt.server.id}
        if request.kind.items_per_job is not None:
            request.excluded = frozenset()
            self.call_at(self.now_ms + ITEM_RETRY_DELAY_MS, lambda: self._items.append(request))
        elif request.budget.allows_another(outcome) and self.now_ms < request.deadline_ms:
            self._offer(request, attempt.gateway, first=False)
        elif request.budget.certainly_not_executed or request.kind.resumable:
            self._retry_by_client(request, 0.1)

    # ------------------------------------------------------------- batch jobs

    def _poll_items(self, index: int) -> None:
        self.call_at(
            self.now_ms + ITEM_POLL_MS * self._random.uniform(0.8, 1.2), lambda: self._poll_items(index)
        )
        capacity = self.policies[index].batch_capacity(self.now_ms / 1000.0).get(SERVICE, 0)
        item_count = min(capacity, len(self._items))
        if item_count <= 0:
            return
        self._items.sort(key=lambda request: request.deadline_ms)
        polled, self._items = self._items[:item_count], self._items[item_count:]
        for request in polled:
            self.submit(request, index)

    def add_item(self, request: Request) -> None:
        """Queue an accepted batch item."""
        self._items.append(request)

    def close(self) -> TrialRecord:
        """End the trial and return its record."""
        for server in self.servers:
            if server.up:
                self._record_counters(server)
        return self.record


@attrs.frozen
class TrialPlan:
    """The traffic and the faults of a trial.

    Args:
        seconds: simulated seconds of traffic.
        factor: multiple of the traffic of the site.
        bursts: periods of increased traffic.
        crashes: crashes of servers.
    """

    seconds: float = 20.0
    factor: float = 1.0
    bursts: Sequence[Burst] = ()
    crashes: Sequence[Crash] = ()


def run_trial(site: Site, make: MakePolicy, seed: int, plan: TrialPlan) -> TrialRecord:
    """Run the traffic of a site under a policy and return the record of the trial."""
    world = World(site, make, seed)
    for kind in site.kinds:
        bursts = [burst for burst in plan.bursts if burst.kind == kind.name]
        TrafficGenerator(kind, site, seed).schedule(world, plan.seconds * 1000.0, plan.factor, bursts)
    for crash in plan.crashes:
        world.call_at(crash.at_s * 1000.0, functools.partial(world.crash, crash))
    world.run_until(plan.seconds * 1000.0 + JOB_DRAIN_MS)
    return world.close()
