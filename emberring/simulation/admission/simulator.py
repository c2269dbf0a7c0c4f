"""Trials of admission: engines, several gateways that each see their own calls only, clients and lots.

`run_trial` plays a site for some seconds and returns what was counted. Everything random comes from the seed, and
the draws of the traffic don't depend on the decisions, so that policies are compared on the same requests.
Times inside are milliseconds.
"""

from __future__ import annotations

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
from emberring.simulation.admission.parts import Attempt, Request, Server
from emberring.simulation.admission.site import Burst, Crash, Site
from emberring.simulation.admission.traffic import MARGIN_MS, Traffic
from emberring.simulation.admission.trial import Tally

SERVICE = "llm"
REPORT_MS = 100.0  # how often a gateway reports its calls in flight and learns the sums,
WORD_LATE_MS = 50.0  # which are so old, as control nodes tell them one another
SUMS_MS = 25.0  # and are made once for all who learn them within this time
POLL_MS = 60.0  # how often a gateway asks for items while it has room
LOST_MS = 4800.0  # a server that is silent so long is taken from the list
KNOWN_MS = 500.0  # a new server is known to the gateways after so long
SILENT_MS = 1000.0  # an attempt without a word for so long is given up by the executor
GIVE_UP_MS = 2000.0  # a client leaves a stream after so long a silence
AGAIN_MS = 100.0  # an item whose attempt failed is offered again after so long
FINISH_MS = 10_000.0  # what lots get after the traffic has ended

MakePolicy = Callable[["World", int], Policy]


class World:
    """The state of a trial."""

    def __init__(self, site: Site, make: MakePolicy, seed: int) -> None:
        self.site = site
        self.now_ms = 0.0
        self.tally = Tally()
        self.servers: list[Server] = []
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._names = itertools.count()
        self._items: list[Request] = []
        self._random = Random(seed + 7)
        self._reported: dict[int, dict[str, int]] = {}
        self._sums: deque[tuple[float, dict[str, int]]] = deque()  # when they were made
        for place in range(site.servers):
            self._add_server(place)
        self.policies = [make(self, index) for index in range(len(site.gateway_shares))]
        for index in range(len(self.policies)):
            self._tell(index)
            self.at(REPORT_MS * index / len(self.policies), lambda index=index: self._report(index))  # type: ignore[misc]
            self.at(POLL_MS * index / len(self.policies), lambda index=index: self._poll(index))  # type: ignore[misc]

    # ------------------------------------------------------------- time

    def at(self, when_ms: float, what: Callable[[], None]) -> None:
        """Do this at that moment."""
        heapq.heappush(self._events, (when_ms, next(self._order), what))

    def play(self, until_ms: float) -> None:
        """Let time pass."""
        while self._events and self._events[0][0] <= until_ms:
            self.now_ms, _, what = heapq.heappop(self._events)
            what()
        self.now_ms = until_ms

    # ------------------------------------------------------------- servers

    def _add_server(self, place: int) -> None:
        name = f"i-{place}-{next(self._names):04x}"
        server = Server(name, Engine(self.site.engine), place, self.now_ms, known=self.now_ms == 0.0)
        self.servers.append(server)
        if not server.known:
            self.at(self.now_ms + KNOWN_MS, lambda: self._make_known(server, True))

    def _make_known(self, server: Server, known: bool) -> None:
        server.known = known
        for index in range(len(self.policies)):
            self._tell(index)

    def crash(self, crash: Crash) -> None:
        """A server dies now."""
        for server in self.servers:
            if server.place == crash.server and server.up:
                server.up, server.dark = False, crash.dark
                self._account(server)
                if not crash.dark:
                    for attempt in list(server.attempts):
                        self._later(lambda attempt=attempt: self._end(attempt, CallOutcome.BROKEN))  # type: ignore[misc]
                self.at(self.now_ms + LOST_MS, lambda server=server: self._make_known(server, False))  # type: ignore[misc]
        self.at(self.now_ms + crash.for_s * 1000.0, lambda: self._add_server(crash.server))

    def _account(self, server: Server) -> None:
        accounts, tally = server.engine.accounts, self.tally
        tally.busy_ms[server.id] = accounts.busy_ms
        tally.calls[server.id] = accounts.calls
        tally.up_ms[server.id] = self.now_ms - server.since_ms
        tally.shared_prefilled += accounts.shared_prefilled
        tally.prefilled += accounts.prefilled
        tally.preempted += accounts.preempted
        tally.full_answers += accounts.full

    def _step(self, server: Server) -> None:
        if not server.up or server.engine.idle:
            server.stepping = False
            return
        end_ms = server.engine.step(self.now_ms)
        self.at(end_ms, lambda: self._step(server))

    # ------------------------------------------------------------- what gateways are told

    def _tell(self, index: int) -> None:
        facts = [
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
            self.now_ms / 1000.0, facts, {SERVICE: info}, len(self.policies), self._word()
        )

    def _word(self) -> KnownLoad:
        """The sums of all gateways' calls as they were a while ago."""
        if not self._sums or self.now_ms - self._sums[-1][0] >= SUMS_MS:
            self._sums.append((self.now_ms, sum_by_server(self._reported.values())))
        while len(self._sums) > 1 and self._sums[1][0] <= self.now_ms - WORD_LATE_MS:
            self._sums.popleft()
        made_ms, sums = self._sums[0]
        return KnownLoad(sums, true_s=(made_ms - REPORT_MS / 2.0) / 1000.0)

    def _report(self, index: int) -> None:
        """The report that left half a round ago arrives, and the sums of now come back."""
        report = self.policies[index].in_flight()
        self.at(self.now_ms + 5.0, lambda: self._take_report(index, report))
        self.at(self.now_ms + REPORT_MS, lambda: self._report(index))

    def _take_report(self, index: int, report: dict[str, int]) -> None:
        self._reported[index] = report
        self._tell(index)

    # ------------------------------------------------------------- requests

    def _later(self, what: Callable[[], None]) -> None:
        self.at(self.now_ms + self.site.net_ms, what)

    def ask(self, request: Request, gateway: int) -> None:
        """A client's try comes to a gateway, or an item is taken by one."""
        self._offer(request, gateway, first=True)

    def _offer(self, request: Request, gateway: int, first: bool) -> None:
        kind, name = request.kind, f"c{next(self._names)}"
        call = CallInfo(
            id=name,
            service=SERVICE,
            route=kind.name,
            priority=kind.priority,
            batch=kind.items is not None,
            tokens_in=sum(part.tokens for part in request.parts),
            tokens_out=request.tokens_out,
            parts=tuple(PrefixPart(part.id, part.tokens) for part in request.parts),
            latency_target_ms=kind.aim_ms,
            deadline_s=request.until_ms / 1000.0,
            target_s=kind.due_s,
            excluded=request.excluded,
            admitted=not first,
        )
        decision = self.policies[gateway].offer(self.now_ms / 1000.0, call)
        if isinstance(decision, Admitted):
            server = next(one for one in self.servers if one.id == decision.server_id)
            attempt = Attempt(name, request, gateway, server, heard_ms=self.now_ms)
            self.policies[gateway].started(self.now_ms / 1000.0, name, server.id)
            server.attempts.add(attempt)
            self._later(lambda: self._arrive(attempt))
            return
        self._not_taken(request, decision.retry_after_s if isinstance(decision, Refused) else 0.2)

    def _not_taken(self, request: Request, retry_after_s: float) -> None:
        if request.kind.items is not None:
            self.at(self.now_ms + AGAIN_MS, lambda: self._items.append(request))
            return
        request.asked.refusals += 1
        if self._half_free():
            self.tally.refusals_with_room += 1
        self._client_again(request, retry_after_s)

    def _half_free(self) -> bool:
        engines = [server.engine for server in self.servers if server.up]
        places = sum(engine.figures.capacity for engine in engines)
        return sum(engine.active for engine in engines) < places / 2 and not any(
            engine.queued for engine in engines
        )

    def _client_again(self, request: Request, wait_s: float) -> None:
        left_ms = request.until_ms - self.now_ms
        request.over = True
        if request.tries_left <= 0 or left_ms <= 0.0 or request.events > 0:
            return
        again = attrs.evolve(
            request,
            tries_left=request.tries_left - 1,
            over=False,
            excluded=frozenset(),
            budget=AttemptBudget(request.kind.max_attempts, request.kind.resumable),
        )
        wait_ms = min(wait_s * 1000.0, left_ms / 3.0) + 2.0 * MARGIN_MS
        gateway = self._random.randrange(len(self.policies))
        self.at(self.now_ms + wait_ms, lambda: self.ask(again, gateway))

    def _arrive(self, attempt: Attempt) -> None:
        server = attempt.server
        if attempt.over:
            return
        if not server.up:
            if server.dark:
                self.at(self.now_ms + SILENT_MS, lambda: self._silence(attempt))
            else:
                self._later(lambda: self._end(attempt, CallOutcome.CONNECT_FAILED))
            return
        request = attempt.request
        attempt.call = EngineCall(
            attempt.id,
            request.parts,
            request.tokens_out,
            on_event=lambda when, number: self._event(attempt, when),
            on_end=lambda when: self._over(attempt, when),
        )
        if not server.engine.submit(attempt.call):
            self._later(lambda: self._end(attempt, CallOutcome.FULL))
            return
        if request.kind.items is None:
            self.at(self.now_ms + GIVE_UP_MS, lambda: self._watch(attempt))
            self.at(request.until_ms, lambda: self._leave(attempt))
        if not server.stepping:
            server.stepping = True
            self._step(server)

    def _silence(self, attempt: Attempt) -> None:
        if not attempt.over:
            self._end(attempt, CallOutcome.SILENT)

    def _watch(self, attempt: Attempt) -> None:
        """A client leaves a stream that has been silent for too long."""
        if attempt.over:
            return
        silent_ms = self.now_ms - attempt.heard_ms
        if silent_ms >= GIVE_UP_MS:
            self._leave(attempt)
        else:
            self.at(self.now_ms + max(1.0, GIVE_UP_MS - silent_ms), lambda: self._watch(attempt))

    def _leave(self, attempt: Attempt) -> None:
        if attempt.over:
            return
        if attempt.call is not None:
            attempt.server.engine.drop(attempt.call)
        attempt.request.tries_left = 0
        self._end(attempt, CallOutcome.CANCELLED)

    def _event(self, attempt: Attempt, when_ms: float) -> None:
        if attempt.server.up:
            self.at(when_ms + self.site.net_ms, lambda: self._heard(attempt))

    def _heard(self, attempt: Attempt) -> None:
        if attempt.over:
            return
        request, policy = attempt.request, self.policies[attempt.gateway]
        attempt.heard_ms = self.now_ms
        request.events += 1
        if request.events == 1:
            policy.first_event(self.now_ms / 1000.0, attempt.id)
            first_ms = self.now_ms + MARGIN_MS - request.asked.asked_ms
            request.asked.first_ms = first_ms
            request.late = request.kind.items is None and first_ms > request.kind.aim_ms
        else:
            policy.progress(self.now_ms / 1000.0, attempt.id)
            if self.now_ms - request.last_ms > request.kind.gap_aim_ms and request.kind.items is None:
                request.late = True
        request.last_ms = self.now_ms

    def _over(self, attempt: Attempt, when_ms: float) -> None:
        if when_ms < 0.0:  # larger than the server's memory
            self._later(lambda: self._end(attempt, CallOutcome.FULL))
        elif attempt.server.up:
            self.at(when_ms + self.site.net_ms, lambda: self._end(attempt, CallOutcome.COMPLETED))

    def _end(self, attempt: Attempt, outcome: CallOutcome) -> None:
        if attempt.over:
            return
        attempt.over = True
        attempt.server.attempts.discard(attempt)
        request, asked = attempt.request, attempt.request.asked
        self.policies[attempt.gateway].finished(self.now_ms / 1000.0, attempt.id, outcome)
        if outcome is CallOutcome.COMPLETED:
            request.over = asked.served = True
            due_ms = asked.asked_ms + request.kind.due_s * 1000.0
            asked.in_time = not request.late if request.kind.items is None else self.now_ms <= due_ms
            return
        asked.broken += 1
        request.budget = request.budget.after(outcome)
        request.excluded = request.excluded | {attempt.server.id}
        if request.kind.items is not None:
            request.excluded = frozenset()
            self.at(self.now_ms + AGAIN_MS, lambda: self._items.append(request))
        elif request.budget.allows_another(outcome) and self.now_ms < request.until_ms:
            self._offer(request, attempt.gateway, first=False)
        elif request.budget.certainly_not_executed or request.kind.resumable:
            self._client_again(request, 0.1)

    # ------------------------------------------------------------- lots

    def _poll(self, index: int) -> None:
        self.at(self.now_ms + POLL_MS * self._random.uniform(0.8, 1.2), lambda: self._poll(index))
        room = min(self.policies[index].batch_room(self.now_ms / 1000.0), len(self._items))
        if room <= 0:
            return
        self._items.sort(key=lambda request: request.until_ms)
        taken, self._items = self._items[:room], self._items[room:]
        for request in taken:
            self.ask(request, index)

    def add_item(self, request: Request) -> None:
        """An item has been accepted and waits."""
        self._items.append(request)

    def close(self) -> Tally:
        """The trial is over."""
        for server in self.servers:
            if server.up:
                self._account(server)
        return self.tally


def run_trial(
    site: Site,
    make: MakePolicy,
    seed: int,
    seconds: float = 20.0,
    factor: float = 1.0,
    bursts: Sequence[Burst] = (),
    crashes: Sequence[Crash] = (),
) -> Tally:
    """Play a site at `factor` times its traffic; returns what was counted."""
    world = World(site, make, seed)
    for kind in site.kinds:
        mine = [burst for burst in bursts if burst.kind == kind.name]
        Traffic(kind, site, seed).schedule(world, seconds * 1000.0, factor, mine)
    for crash in crashes:
        world.at(crash.at_s * 1000.0, lambda crash=crash: world.crash(crash))  # type: ignore[misc]
    world.play(seconds * 1000.0 + FINISH_MS)
    return world.close()
