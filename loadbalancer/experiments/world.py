"""One run of an experiment in simulated time: a heap of events, a seed, a policy; the same bytes each time.

Events at one instant go in the order in which they were planned. Times are ms.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import replace
from heapq import heappop, heappush
from typing import Any

from loadbalancer.experiments import draws
from loadbalancer.experiments.experiment import OURS, Experiment, Policy, Service, Trouble
from loadbalancer.experiments.nodes import ModuleNode, Node, PolicyNode, settings_of
from loadbalancer.experiments.policies import LIMITS, PICKERS
from loadbalancer.experiments.recorder import Recorder
from loadbalancer.experiments.servers import Dependency, Server
from loadbalancer.interface import Result

SAMPLE_MS = 1000.0
CONNECT_MS = 250.0  # until a server that does not answer at all is given up
GONE_MS = 1.0  # until one that is down has refused a connection
RESTART_MS = 2000.0  # that a restart takes
TOLD_MS = 500.0  # before a planned stop, lists say so
IN_TIME, LATE, REFUSED, FAILED = range(4)


class Call:
    """A request as one node has it; `first_due` is when its caller first wanted it."""

    __slots__ = (
        "caller", "done", "first_due", "give_up_at", "kind", "node", "number", "repeats", "safe", "service",
        "tried", "tries", "work_ms",
    )  # fmt: skip

    def __init__(
        self, number: int, kind: int, service: str, safe: bool, due: float, give_up_at: float, work_ms: float
    ):
        self.number, self.kind, self.service, self.safe = number, kind, service, safe
        self.first_due = due
        self.give_up_at, self.work_ms = give_up_at, work_ms
        self.done = False
        self.tries = self.repeats = 0
        self.tried: list[int] = []
        self.caller = -1
        self.node: Node | None = None


class Attempt:
    """`plan`: which of the ends that were planned for it holds."""

    __slots__ = ("call", "node", "number", "over", "plan", "sent", "server")

    def __init__(self, call: Call, number: int, server: int, sent: float, node: Node):
        self.call, self.number, self.server, self.sent, self.node = call, number, server, sent, node
        self.over = False
        self.plan = 0


def times_of(service: Service, seed: int, name: str) -> Callable[[], float]:
    """Draws of a service time, in ms."""
    if service.kind == "fixed":
        return lambda: service.mean_ms
    if service.kind == "lognormal":
        return draws.lognormal(seed, name, service.mean_ms, service.cv)
    if service.kind == "bimodal":
        weights = [1.0 - service.slow_share, service.slow_share]
        return draws.chosen(seed, name, [service.mean_ms, service.slow_ms], weights)
    if service.kind == "histogram":
        return draws.chosen(seed, name, service.values_ms, service.weights)
    one, mean = draws.exponential(seed, name), service.mean_ms
    return lambda: one() * mean


class World:
    def __init__(self, plan: Experiment, policy: Policy, seed: int) -> None:
        self.plan, self.policy, self.seed = plan, policy, seed
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._planned = 0
        self._numbers = 0
        fleet = plan.fleet
        self.max_attempts = fleet.max_attempts
        self._ours = policy.pick == OURS
        self.end_ms = plan.seconds * 1000.0
        zones = fleet.zones
        self.servers = [
            Server(f"s{at}", zones[at % len(zones)], fleet.cores, fleet.limit, fleet.cold_from, fleet.cold_ms)
            for at in range(fleet.servers)
        ]
        if fleet.dependency is not None:
            shared = Dependency(fleet.dependency.cores)
            for server in self.servers:
                server.dependency, server.dependency_ms = shared, fleet.dependency.work_ms
        self.open: list[dict[Attempt, None]] = [{} for _ in self.servers]
        self.listed = list(range(fleet.servers))
        self.cut: set[str] = set()  # zones that nodes of other zones can't reach
        self.list_late_ms = fleet.list_late_ms
        # What each request asks for is read once: a model's fields cost several times an attribute.
        self._kinds = [
            (item.name, item.effect == "safe", item.give_up_ms, item.aim_ms) for item in plan.classes
        ]
        self._base = plan.rate_per_s if plan.load.kind == "open" else 0.0
        self._steady = plan.load.shape == "steady"
        self._patience_ms, self._repeats = plan.load.patience_ms, plan.load.repeats
        self._think_ms = plan.load.think_ms
        self._net, self._zones, self._cross_ms = fleet.network_ms, zones, fleet.cross_zone_ms
        self._overload = fleet.overload_factor
        self._settings = settings_of(plan)
        self._times = [times_of(item.service, seed, f"service {item.name}") for item in plan.classes]
        self._which = draws.uniform(seed, "class")
        self._gap = draws.exponential(seed, "arrivals")
        self._to = draws.uniform(seed, "node")
        self._fail = draws.uniform(seed, "failing")
        self._patience = draws.exponential(seed, "patience")
        self._think = draws.exponential(seed, "thinking")
        shares = [item.share for item in plan.classes]
        self._edges = [sum(shares[: at + 1]) / sum(shares) for at in range(len(shares))]
        self.recorder = Recorder(
            [item.name for item in plan.classes],
            [item.worth for item in plan.classes],
            [item.late_worth for item in plan.classes],
            plan.warm_s * 1000.0,
        )
        self._busy = [0.0] * len(self.servers)
        self.held_ms = 0.0  # of all calls at servers, by the servers' own account, for Little's law
        self.nodes: list[Node] = [self._node(at) for at in range(fleet.nodes)]
        for node in self.nodes:
            node.told(0.0, self.listed)

    def _node(self, at: int) -> Node:
        if self._ours:
            settings = replace(self._settings, zone=self._zones[at % len(self._zones)])
            return ModuleNode(at, self, settings, self.seed * 1_000_003 + at)
        fleet = self.plan.fleet
        aim = min(item.aim_ms for item in self.plan.classes)
        fits = 2.0 * fleet.servers * fleet.cores / fleet.nodes
        limit = LIMITS[self.policy.limit](self.policy.most or max(1.0, fits), aim)
        draw = draws.uniform(self.seed, f"policy {at}")
        return PolicyNode(at, self, PICKERS[self.policy.pick](draw, self.servers), limit)

    # ------------------------------------------------------------------------ time

    def at(self, when: float, what: Callable[..., None], *args: Any) -> None:
        """Have `what(now, *args)` called then."""
        self._planned += 1
        heappush(self._heap, (when, self._planned, what, args))

    def run(self) -> dict[str, Any]:
        """The whole run; its figures."""
        for trouble in self.plan.troubles:
            self._plan(trouble)
        if self.plan.load.kind == "open":
            self.at(self._gap() * 1000.0 / self._rate(0.0), self._arrive)
        else:
            for caller in range(self.plan.load.callers):
                self.at(self._think() * max(1.0, self.plan.load.think_ms), self._arrive_closed, caller)
        self.at(SAMPLE_MS, self._sample)
        heap, pop = self._heap, heappop
        # What is open at the end has until its callers give up.
        latest = self.end_ms + max(item.give_up_ms for item in self.plan.classes) + CONNECT_MS
        while heap:
            when, _, what, args = pop(heap)
            if when > latest:
                break
            self.now = when
            what(when, *args)
        row = self.recorder.row()
        row["servers"] = {
            "taken": [server.taken for server in self.servers],
            "busy_ms": [round(server.busy_ms, 3) for server in self.servers],
            "fell": sum(server.fell for server in self.servers),
        }
        return row

    # ---------------------------------------------------------------------- callers

    def _rate(self, now: float) -> float:
        """Requests a second at this moment."""
        load, base = self.plan.load, self._base
        if self._steady:
            return base
        if load.shape == "ramp":
            return max(1e-9, base * (1.0 + (load.to - 1.0) * min(1.0, now / self.end_ms)))
        part = now % (load.period_s * 1000.0) / (load.period_s * 1000.0)
        if load.shape == "bursts":  # a fifth of each period
            return max(1e-9, base * (load.to if part < 0.2 else 1.0))
        return max(1e-9, base * (1.0 + (load.to - 1.0) * (0.5 - 0.5 * math.cos(2.0 * math.pi * part))))

    def _arrive(self, now: float) -> None:
        self._begin(now, -1)
        next_ = now + self._gap() * 1000.0 / self._rate(now)
        if next_ < self.end_ms:
            self.at(next_, self._arrive)

    def _arrive_closed(self, now: float, caller: int) -> None:
        if now < self.end_ms:
            self._begin(now, caller)

    def _begin(self, now: float, caller: int) -> None:
        kind = 0
        if len(self._edges) > 1:
            drawn = self._which()
            while self._edges[kind] < drawn:
                kind += 1
        name, safe, patience, _ = self._kinds[kind]
        if self._patience_ms:
            patience = min(patience, self._patience() * self._patience_ms)
        self._numbers += 1
        call = Call(self._numbers, kind, name, safe, now, now + patience, self._times[kind]())
        call.caller = caller
        self.recorder.due(kind, now)
        self._give(now, call)

    def _give(self, now: float, call: Call) -> None:
        node = self.nodes[int(self._to() * len(self.nodes))]
        call.node = node
        if self._ours:  # the others have an attempt out, whose end is then at the latest
            self.at(call.give_up_at, self._give_up, call)
        node.come(now, call)

    def _give_up(self, now: float, call: Call) -> None:
        if not call.done:
            self._end(now, call, FAILED)
            assert call.node is not None
            call.node.left(now, call)

    def answer(self, now: float, call: Call, result: Result, retry_after_ms: float = 0.0) -> None:
        """A node's one answer to a request; a second one is ignored."""
        if call.done:
            return
        if result is Result.OK:
            took = now - call.first_due
            self._end(now, call, IN_TIME if took <= self._kinds[call.kind][3] else LATE)
            return
        repeats = self._repeats
        wait = repeats.backoff_ms * 2.0**call.repeats
        if repeats.heed_retry_after:
            wait = max(wait, retry_after_ms)
        refused = result is Result.FULL
        if call.repeats < repeats.most and (refused or call.safe) and now + wait < call.give_up_at:
            call.done = True
            self._numbers += 1
            again = Call(
                self._numbers,
                call.kind,
                call.service,
                call.safe,
                call.first_due,
                call.give_up_at,
                call.work_ms,
            )
            again.repeats, again.caller = call.repeats + 1, call.caller
            self.at(now + wait, self._give, again)
            return
        self._end(now, call, REFUSED if refused else FAILED)

    def _end(self, now: float, call: Call, how: int) -> None:
        call.done = True
        self.recorder.ended(call.kind, call.first_due, how, now - call.first_due)
        if call.caller >= 0:
            think = self._think() * self._think_ms if self._think_ms else 0.0
            if how >= REFUSED:
                # Guard: callers that are refused at once would ask without end at one instant.
                think = max(think, 1.0)
            self.at(now + think, self._arrive_closed, call.caller)

    # --------------------------------------------------------------------- attempts

    def send(self, now: float, call: Call, at: int, until: float) -> Attempt:
        """An attempt; its node is told once how it ended."""
        server, node = self.servers[at], call.node
        assert node is not None
        attempt = Attempt(call, call.tries, at, now, node)
        call.tries += 1
        call.tried.append(at)
        self.recorder.attempts += 1
        net, zones = self._net, self._zones
        if len(zones) > 1:
            mine = zones[node.name % len(zones)]
            if server.zone != mine:
                net += self._cross_ms
                if server.zone in self.cut or mine in self.cut:
                    self.at(min(until, now + CONNECT_MS), self._back, attempt, Result.CONNECT_FAILED)
                    return attempt
        if not server.up:
            self.at(min(until, now + 2.0 * net + GONE_MS), self._back, attempt, Result.CONNECT_FAILED)
            return attempt
        come = now + net
        if server.launched is not None and server.pushed(come, call.work_ms, self._overload):
            server.fell += 1
            self._stop(now, at)
            self.at(now + RESTART_MS, self._start, at)
            self.at(min(until, come + net), self._back, attempt, Result.RESET)
            return attempt
        if server.failing and self._fail() < server.failing:
            self.at(min(until, come + net), self._back, attempt, Result.ERROR)
            return attempt
        _, ends, full = server.take(come, call.work_ms)
        if full:
            self.at(min(until, come + net), self._back, attempt, Result.FULL)
            return attempt
        self.held_ms += ends - come
        self.open[at][attempt] = None
        ends += net
        if ends <= until:
            self.at(ends, self._back, attempt, Result.OK, attempt.plan)
        else:
            self.at(until, self._back, attempt, Result.TIMEOUT, attempt.plan)
        return attempt

    def _back(self, now: float, attempt: Attempt, result: Result, plan: int | None = None) -> None:
        """An attempt ends; `plan`: only if this end, of those that were planned, still holds."""
        if not attempt.over and plan in (None, attempt.plan):
            attempt.over = True
            self.open[attempt.server].pop(attempt, None)
            attempt.node.over(now, attempt, result, now - attempt.sent)

    def cancel(self, now: float, attempt: Attempt) -> None:
        """Given up by its node; what the server has begun goes on for nobody."""
        self.at(now, self._back, attempt, Result.CANCELLED)

    # --------------------------------------------------------------------- troubles

    def _some(self, trouble: Trouble) -> list[int]:
        if trouble.zone is not None:
            return [at for at, server in enumerate(self.servers) if server.zone == trouble.zone]
        return list(range(min(trouble.servers, len(self.servers))))

    def _plan(self, trouble: Trouble) -> None:
        begins = trouble.at_s * 1000.0
        ends = trouble.until_s * 1000.0 if trouble.until_s is not None else self.end_ms
        some = self._some(trouble)
        kind = trouble.kind
        if kind in ("slow", "failing", "refusing"):
            self.at(begins, self._ail, kind, some, trouble.factor, True)
            self.at(ends, self._ail, kind, some, trouble.factor, False)
        elif kind == "stalled":
            self.at(begins, self._stall, some, ends)
        elif kind == "restart":
            for at in some:
                self._restart(begins, at)
        elif kind == "rolling_restart":
            step = (ends - begins) / max(1, len(some))
            for number, at in enumerate(some):
                self._restart(begins + number * step, at)
        elif kind == "zone_lost":
            for at in some:
                self.at(begins, self._stop, at)
                self.at(begins, self._list, at, False)
                self.at(ends, self._start, at)
        elif kind == "zone_stopped":  # silent, then killed and started again, cold
            self.at(begins, self._stall, some, ends)
            for at in some:
                self.at(ends, self._stop, at)
                self.at(ends, self._start, at)
        elif kind == "partition":
            assert trouble.zone is not None
            self.at(begins, self._cut, trouble.zone, True)
            self.at(ends, self._cut, trouble.zone, False)
        elif kind == "list_late":
            self.at(begins, self._late, trouble.factor * 1000.0)
            self.at(ends, self._late, self.list_late_ms)
        elif kind == "list_empty":
            self.at(begins, self._tell_all, [])
            self.at(ends, self._tell_all, None)
        elif kind == "clock_jump":  # of the clock that tells of starts; time itself never goes back
            self.at(begins, self._jump, some, trouble.factor * 1000.0)
        else:
            for at in range(min(trouble.servers, len(self.nodes))):
                self.at(begins, self._kill, at)

    def _ail(self, now: float, kind: str, some: list[int], factor: float, begins: bool) -> None:
        for at in some:
            server = self.servers[at]
            if kind == "slow":
                server.factor = factor if begins else 1.0
            elif kind == "failing":
                server.failing = factor / 100.0 if begins else 0.0
            else:
                server.refusing = begins

    def _stall(self, now: float, some: list[int], until: float) -> None:
        """They do nothing until then, with what they have in hand too."""
        for at in some:
            server = self.servers[at]
            server.stalled_until = until
            server.free = sorted(max(free, now) + until - now for free in server.free)
            for attempt in self.open[at]:
                # Their ends were planned before: they come so much later, or their callers give up first.
                attempt.plan += 1
                gives_up = max(now, attempt.call.give_up_at)
                self.at(gives_up, self._back, attempt, Result.TIMEOUT, attempt.plan)
                self.at(until + self._net, self._back, attempt, Result.OK, attempt.plan)

    def _restart(self, when: float, at: int) -> None:
        self.at(max(0.0, when - TOLD_MS), self._list, at, False)
        self.at(when, self._stop, at)
        self.at(when + RESTART_MS, self._start, at)

    def _stop(self, now: float, at: int) -> None:
        self.servers[at].stop()
        for attempt in list(self.open[at]):
            self._back(now, attempt, Result.RESET)

    def _start(self, now: float, at: int) -> None:
        self.servers[at].restart(now)
        self._list(now, at, True)

    def _cut(self, now: float, zone: str, begins: bool) -> None:
        (self.cut.add if begins else self.cut.discard)(zone)

    def _late(self, now: float, late_ms: float) -> None:
        self.list_late_ms = late_ms

    def _list(self, now: float, at: int, there: bool) -> None:
        """The list has changed; nodes hear of it after a while."""
        if self.plan.fleet.lists == "static":
            return
        listed = set(self.listed) - {at}
        self.listed = sorted(listed | {at} if there else listed)
        self.at(now + self.list_late_ms, self._tell_all, None)

    def _tell_all(self, now: float, listed: list[int] | None) -> None:
        for node in self.nodes:
            node.told(now, self.listed if listed is None else listed)

    def _jump(self, now: float, some: list[int], by_ms: float) -> None:
        for at in some:
            self.servers[at].launched = now + by_ms
        self.at(now + self.list_late_ms, self._tell_all, None)

    def _kill(self, now: float, at: int) -> None:
        """A node has gone, with all that it held, and is back with nothing learned."""
        old = self.nodes[at]
        for held in self.open:
            for attempt in [item for item in held if item.node is old]:
                attempt.over = True
                del held[attempt]
                if not attempt.call.done:
                    self._end(now, attempt.call, FAILED)
        if isinstance(old, ModuleNode):
            old.alive = False
        self.nodes[at] = self._node(at)
        self.nodes[at].told(now, self.listed)

    # ---------------------------------------------------------------------- figures

    def _sample(self, now: float) -> None:
        busy = [server.busy_ms for server in self.servers]
        cores = self.plan.fleet.cores * SAMPLE_MS
        shares = sorted((new - old) / cores for new, old in zip(busy, self._busy, strict=True))
        self._busy = busy
        row: dict[str, Any] = {
            "s": round(now / 1000.0),
            "in_flight": sum(len(held) for held in self.open),
            "load": {
                "least": round(shares[0], 4),
                "middle": round(shares[len(shares) // 2], 4),
                "most": round(shares[-1], 4),
            },
        }
        cursors = [node.brain.table.cursor for node in self.nodes if isinstance(node, ModuleNode)]
        limits = [node.limit.most for node in self.nodes if isinstance(node, PolicyNode)]
        if cursors:
            row["cursor"] = {"mean": round(sum(cursors) / len(cursors), 3), "most": max(cursors)}
        elif self.policy.limit != "none":
            row["limit"] = round(sum(limits) / len(limits), 3)
        self.recorder.samples.append(row)
        if now + SAMPLE_MS <= self.end_ms:
            self.at(now + SAMPLE_MS, self._sample)
