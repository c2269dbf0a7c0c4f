"""One run of an experiment in simulated time: an event heap, a seed and a policy. The result is deterministic.

Events of the same time run in the order in which they were scheduled. Times are ms.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import replace
from heapq import heappop, heappush
from typing import Any

from loadbalancer.experiments import draws
from loadbalancer.experiments.experiment import OURS, Experiment, Fault, Policy, Service
from loadbalancer.experiments.nodes import ModuleNode, Node, PolicyNode, settings_of
from loadbalancer.experiments.policies import LIMITS, PICKERS
from loadbalancer.experiments.recorder import Recorder
from loadbalancer.experiments.servers import Dependency, Server
from loadbalancer.interface import Result

SAMPLE_INTERVAL_MS = 1000.0
CONNECT_TIMEOUT_MS = 250.0  # timeout of a connection attempt that gets no answer
CONNECT_REFUSED_MS = 1.0  # time until a stopped server refuses a connection
RESTART_DURATION_MS = 2000.0  # duration of a restart
STOP_NOTICE_MS = 500.0  # a server leaves the list this long before a planned stop
IN_TIME, LATE, REFUSED, FAILED = range(4)


class Call:
    """A request at one node; `first_due` is when its caller first wanted to send it (retries keep it)."""

    __slots__ = (
        "attempt_count", "caller", "done", "first_due", "give_up_at", "kind", "node", "number", "repeats", "safe",
        "service", "tried_servers", "work_ms",
    )  # fmt: skip

    def __init__(
        self, number: int, kind: int, service: str, safe: bool, due: float, give_up_at: float, work_ms: float
    ):
        self.number, self.kind, self.service, self.safe = number, kind, service, safe
        self.first_due = due
        self.give_up_at, self.work_ms = give_up_at, work_ms
        self.done = False
        self.attempt_count = self.repeats = 0
        self.tried_servers: list[int] = []
        self.caller = -1
        self.node: Node | None = None


class Attempt:
    """An attempt at a server. Only the end event scheduled with the current `end_version` is valid."""

    __slots__ = ("call", "end_version", "ended", "node", "number", "sent", "server")

    def __init__(self, call: Call, number: int, server: int, sent: float, node: Node):
        self.call, self.number, self.server, self.sent, self.node = call, number, server, sent, node
        self.ended = False
        self.end_version = 0


def service_times(service: Service, seed: int, name: str) -> Callable[[], float]:
    """A function that draws service times, in ms."""
    if service.kind == "fixed":
        return lambda: service.mean_ms
    if service.kind == "lognormal":
        return draws.lognormal(seed, name, service.mean_ms, service.cv)
    if service.kind == "bimodal":
        weights = [1.0 - service.slow_share, service.slow_share]
        return draws.weighted_choice(seed, name, [service.mean_ms, service.slow_ms], weights)
    if service.kind == "histogram":
        return draws.weighted_choice(seed, name, service.values_ms, service.weights)
    draw_unit, mean = draws.exponential(seed, name), service.mean_ms
    return lambda: draw_unit() * mean


class World:
    """The state and the event loop of one run."""

    def __init__(self, plan: Experiment, policy: Policy, seed: int) -> None:
        self.plan, self.policy, self.seed = plan, policy, seed
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._scheduled = 0
        self._request_count = 0
        fleet = plan.fleet
        self.max_attempts = fleet.max_attempts
        self._ours = policy.pick == OURS
        self.end_ms = plan.seconds * 1000.0
        zones = fleet.zones
        self.servers = [
            Server(
                f"s{index}",
                zones[index % len(zones)],
                fleet.cores,
                fleet.limit,
                fleet.cold_from,
                fleet.cold_ms,
            )
            for index in range(fleet.servers)
        ]
        if fleet.dependency is not None:
            shared = Dependency(fleet.dependency.cores)
            for server in self.servers:
                server.dependency, server.dependency_ms = shared, fleet.dependency.work_ms
        self.open_attempts: list[dict[Attempt, None]] = [{} for _ in self.servers]
        self.listed_servers = list(range(fleet.servers))
        self.partitioned_zones: set[str] = set()  # zones that are unreachable from other zones
        self.list_late_ms = fleet.list_late_ms
        # Class settings are read once: access to a pydantic field costs several times that of a plain attribute.
        self._class_limits = [
            (item.name, item.effect == "safe", item.give_up_ms, item.aim_ms) for item in plan.classes
        ]
        self._base_rate = plan.rate_per_s if plan.load.kind == "open" else 0.0
        self._steady = plan.load.shape == "steady"
        self._mean_timeout_ms, self._repeats = plan.load.patience_ms, plan.load.repeats
        self._think_ms = plan.load.think_ms
        self._network_ms, self._zones, self._cross_ms = fleet.network_ms, zones, fleet.cross_zone_ms
        self._overload = fleet.overload_factor
        self._settings = settings_of(plan)
        self._draw_service = [
            service_times(item.service, seed, f"service {item.name}") for item in plan.classes
        ]
        self._draw_class = draws.uniform(seed, "class")
        self._draw_gap = draws.exponential(seed, "arrivals")
        self._draw_node = draws.uniform(seed, "node")
        self._draw_failure = draws.uniform(seed, "failing")
        self._draw_timeout = draws.exponential(seed, "patience")
        self._draw_think = draws.exponential(seed, "thinking")
        shares = [item.share for item in plan.classes]
        self._class_edges = [sum(shares[: index + 1]) / sum(shares) for index in range(len(shares))]
        self.recorder = Recorder(
            [item.name for item in plan.classes],
            [item.worth for item in plan.classes],
            [item.late_worth for item in plan.classes],
            plan.warm_s * 1000.0,
        )
        self._last_busy_ms = [0.0] * len(self.servers)
        self.time_in_servers_ms = 0.0  # total time of calls in servers, for Little's law
        self.nodes: list[Node] = [self._node(index) for index in range(fleet.nodes)]
        for node in self.nodes:
            node.set_servers(0.0, self.listed_servers)

    def _node(self, index: int) -> Node:
        if self._ours:
            settings = replace(self._settings, zone=self._zones[index % len(self._zones)])
            return ModuleNode(index, self, settings, self.seed * 1_000_003 + index)
        fleet = self.plan.fleet
        aim = min(item.aim_ms for item in self.plan.classes)
        fits = 2.0 * fleet.servers * fleet.cores / fleet.nodes
        limit = LIMITS[self.policy.limit](self.policy.most or max(1.0, fits), aim)
        draw = draws.uniform(self.seed, f"policy {index}")
        return PolicyNode(index, self, PICKERS[self.policy.pick](draw, self.servers), limit)

    # ------------------------------------------------------------------------ time

    def schedule(self, when: float, what: Callable[..., None], *args: Any) -> None:
        """Schedule a call of `what(now, *args)` at that time."""
        self._scheduled += 1
        heappush(self._heap, (when, self._scheduled, what, args))

    def run(self) -> dict[str, Any]:
        """Simulate the whole run and return its figures."""
        for fault in self.plan.troubles:
            self._schedule_fault(fault)
        if self.plan.load.kind == "open":
            self.schedule(self._draw_gap() * 1000.0 / self._rate(0.0), self._arrive)
        else:
            for caller in range(self.plan.load.callers):
                self.schedule(
                    self._draw_think() * max(1.0, self.plan.load.think_ms), self._arrive_closed, caller
                )
        self.schedule(SAMPLE_INTERVAL_MS, self._sample)
        heap, pop = self._heap, heappop
        # Requests that are open at the end continue until their callers give up.
        latest = self.end_ms + max(item.give_up_ms for item in self.plan.classes) + CONNECT_TIMEOUT_MS
        while heap:
            when, _, what, args = pop(heap)
            if when > latest:
                break
            self.now = when
            what(when, *args)
        row = self.recorder.row()
        row["servers"] = {
            "taken": [server.accepted for server in self.servers],
            "busy_ms": [round(server.busy_ms, 3) for server in self.servers],
            "fell": sum(server.crashes for server in self.servers),
        }
        return row

    # ---------------------------------------------------------------------- callers

    def _rate(self, now: float) -> float:
        """The arrival rate at this time, in requests a second."""
        load, base = self.plan.load, self._base_rate
        if self._steady:
            return base
        if load.shape == "ramp":
            return max(1e-9, base * (1.0 + (load.to - 1.0) * min(1.0, now / self.end_ms)))
        part = now % (load.period_s * 1000.0) / (load.period_s * 1000.0)
        if load.shape == "bursts":  # the first fifth of each period
            return max(1e-9, base * (load.to if part < 0.2 else 1.0))
        return max(1e-9, base * (1.0 + (load.to - 1.0) * (0.5 - 0.5 * math.cos(2.0 * math.pi * part))))

    def _arrive(self, now: float) -> None:
        self._start_request(now, -1)
        next_ = now + self._draw_gap() * 1000.0 / self._rate(now)
        if next_ < self.end_ms:
            self.schedule(next_, self._arrive)

    def _arrive_closed(self, now: float, caller: int) -> None:
        if now < self.end_ms:
            self._start_request(now, caller)

    def _start_request(self, now: float, caller: int) -> None:
        kind = 0
        if len(self._class_edges) > 1:
            position = self._draw_class()
            while self._class_edges[kind] < position:
                kind += 1
        name, safe, timeout, _ = self._class_limits[kind]
        if self._mean_timeout_ms:
            timeout = min(timeout, self._draw_timeout() * self._mean_timeout_ms)
        self._request_count += 1
        call = Call(self._request_count, kind, name, safe, now, now + timeout, self._draw_service[kind]())
        call.caller = caller
        self.recorder.due(kind, now)
        self._dispatch(now, call)

    def _dispatch(self, now: float, call: Call) -> None:
        node = self.nodes[int(self._draw_node() * len(self.nodes))]
        call.node = node
        if self._ours:  # other policies always have an attempt open, which ends by then
            self.schedule(call.give_up_at, self._on_give_up, call)
        node.on_request(now, call)

    def _on_give_up(self, now: float, call: Call) -> None:
        if not call.done:
            self._record_end(now, call, FAILED)
            assert call.node is not None
            call.node.on_caller_gone(now, call)

    def answer(self, now: float, call: Call, result: Result, retry_after_ms: float = 0.0) -> None:
        """Receive a node's answer to a request. Answers after the first are ignored."""
        if call.done:
            return
        if result is Result.OK:
            took = now - call.first_due
            self._record_end(now, call, IN_TIME if took <= self._class_limits[call.kind][3] else LATE)
            return
        repeats = self._repeats
        wait = repeats.backoff_ms * 2.0**call.repeats
        if repeats.heed_retry_after:
            wait = max(wait, retry_after_ms)
        refused = result is Result.FULL
        if call.repeats < repeats.most and (refused or call.safe) and now + wait < call.give_up_at:
            call.done = True
            self._request_count += 1
            retry = Call(
                self._request_count,
                call.kind,
                call.service,
                call.safe,
                call.first_due,
                call.give_up_at,
                call.work_ms,
            )
            retry.repeats, retry.caller = call.repeats + 1, call.caller
            self.schedule(now + wait, self._dispatch, retry)
            return
        self._record_end(now, call, REFUSED if refused else FAILED)

    def _record_end(self, now: float, call: Call, ending: int) -> None:
        call.done = True
        self.recorder.ended(call.kind, call.first_due, ending, now - call.first_due)
        if call.caller >= 0:
            think = self._draw_think() * self._think_ms if self._think_ms else 0.0
            if ending >= REFUSED:
                # Guard: callers that are refused immediately would retry endlessly without simulated time advancing.
                think = max(think, 1.0)
            self.schedule(now + think, self._arrive_closed, call.caller)

    # --------------------------------------------------------------------- attempts

    def send(self, now: float, call: Call, index: int, until: float) -> Attempt:
        """Start an attempt at a server; its node is notified once of the result."""
        server, node = self.servers[index], call.node
        assert node is not None
        attempt = Attempt(call, call.attempt_count, index, now, node)
        call.attempt_count += 1
        call.tried_servers.append(index)
        self.recorder.attempts += 1
        latency_ms, zones = self._network_ms, self._zones
        if len(zones) > 1:
            node_zone = zones[node.name % len(zones)]
            if server.zone != node_zone:
                latency_ms += self._cross_ms
                if server.zone in self.partitioned_zones or node_zone in self.partitioned_zones:
                    self.schedule(
                        min(until, now + CONNECT_TIMEOUT_MS),
                        self._end_attempt,
                        attempt,
                        Result.CONNECT_FAILED,
                    )
                    return attempt
        if not server.up:
            self.schedule(
                min(until, now + 2.0 * latency_ms + CONNECT_REFUSED_MS),
                self._end_attempt,
                attempt,
                Result.CONNECT_FAILED,
            )
            return attempt
        arrival_ms = now + latency_ms
        if server.launched is not None and server.is_overloaded_by(arrival_ms, call.work_ms, self._overload):
            server.crashes += 1
            self._stop(now, index)
            self.schedule(now + RESTART_DURATION_MS, self._start, index)
            self.schedule(min(until, arrival_ms + latency_ms), self._end_attempt, attempt, Result.RESET)
            return attempt
        if server.failing and self._draw_failure() < server.failing:
            self.schedule(min(until, arrival_ms + latency_ms), self._end_attempt, attempt, Result.ERROR)
            return attempt
        _, ends, full = server.accept(arrival_ms, call.work_ms)
        if full:
            self.schedule(min(until, arrival_ms + latency_ms), self._end_attempt, attempt, Result.FULL)
            return attempt
        self.time_in_servers_ms += ends - arrival_ms
        self.open_attempts[index][attempt] = None
        ends += latency_ms
        if ends <= until:
            self.schedule(ends, self._end_attempt, attempt, Result.OK, attempt.end_version)
        else:
            self.schedule(until, self._end_attempt, attempt, Result.TIMEOUT, attempt.end_version)
        return attempt

    def _end_attempt(
        self, now: float, attempt: Attempt, result: Result, end_version: int | None = None
    ) -> None:
        """End an attempt; with `end_version`, only if no later end has been scheduled in its place."""
        if not attempt.ended and end_version in (None, attempt.end_version):
            attempt.ended = True
            self.open_attempts[attempt.server].pop(attempt, None)
            attempt.node.on_attempt_end(now, attempt, result, now - attempt.sent)

    def cancel(self, now: float, attempt: Attempt) -> None:
        """Cancel an attempt; the server continues work that it has started."""
        self.schedule(now, self._end_attempt, attempt, Result.CANCELLED)

    # ------------------------------------------------------------------------ faults

    def _affected_servers(self, fault: Fault) -> list[int]:
        if fault.zone is not None:
            return [index for index, server in enumerate(self.servers) if server.zone == fault.zone]
        return list(range(min(fault.servers, len(self.servers))))

    def _schedule_fault(self, fault: Fault) -> None:
        begins = fault.at_s * 1000.0
        ends = fault.until_s * 1000.0 if fault.until_s is not None else self.end_ms
        affected = self._affected_servers(fault)
        kind = fault.kind
        if kind in ("slow", "failing", "refusing"):
            self.schedule(begins, self._set_fault, kind, affected, fault.factor, True)
            self.schedule(ends, self._set_fault, kind, affected, fault.factor, False)
        elif kind == "stalled":
            self.schedule(begins, self._stall, affected, ends)
        elif kind == "restart":
            for index in affected:
                self._restart(begins, index)
        elif kind == "rolling_restart":
            step = (ends - begins) / max(1, len(affected))
            for number, index in enumerate(affected):
                self._restart(begins + number * step, index)
        elif kind == "zone_lost":
            for index in affected:
                self.schedule(begins, self._stop, index)
                self.schedule(begins, self._update_list, index, False)
                self.schedule(ends, self._start, index)
        elif kind == "zone_stopped":  # stops responding, then is killed and restarted cold
            self.schedule(begins, self._stall, affected, ends)
            for index in affected:
                self.schedule(ends, self._stop, index)
                self.schedule(ends, self._start, index)
        elif kind == "partition":
            assert fault.zone is not None
            self.schedule(begins, self._set_partition, fault.zone, True)
            self.schedule(ends, self._set_partition, fault.zone, False)
        elif kind == "list_late":
            self.schedule(begins, self._set_list_delay, fault.factor * 1000.0)
            self.schedule(ends, self._set_list_delay, self.list_late_ms)
        elif kind == "list_empty":
            self.schedule(begins, self._publish_list, [])
            self.schedule(ends, self._publish_list, None)
        elif (
            kind == "clock_jump"
        ):  # of the clock that start times are reported with; simulated time is unaffected
            self.schedule(begins, self._jump_clock, affected, fault.factor * 1000.0)
        else:
            for index in range(min(fault.servers, len(self.nodes))):
                self.schedule(begins, self._kill_node, index)

    def _set_fault(self, now: float, kind: str, affected: list[int], factor: float, begins: bool) -> None:
        for index in affected:
            server = self.servers[index]
            if kind == "slow":
                server.factor = factor if begins else 1.0
            elif kind == "failing":
                server.failing = factor / 100.0 if begins else 0.0
            else:
                server.refusing = begins

    def _stall(self, now: float, affected: list[int], until: float) -> None:
        """Stop these servers from working until then; calls in progress are suspended."""
        for index in affected:
            server = self.servers[index]
            server.stalled_until = until
            server.core_free_at = sorted(max(free_at, now) + until - now for free_at in server.core_free_at)
            for attempt in self.open_attempts[index]:
                # The scheduled end is replaced: the call ends with the stall, unless its caller gives up first.
                attempt.end_version += 1
                gives_up = max(now, attempt.call.give_up_at)
                self.schedule(gives_up, self._end_attempt, attempt, Result.TIMEOUT, attempt.end_version)
                self.schedule(
                    until + self._network_ms, self._end_attempt, attempt, Result.OK, attempt.end_version
                )

    def _restart(self, when: float, index: int) -> None:
        self.schedule(max(0.0, when - STOP_NOTICE_MS), self._update_list, index, False)
        self.schedule(when, self._stop, index)
        self.schedule(when + RESTART_DURATION_MS, self._start, index)

    def _stop(self, now: float, index: int) -> None:
        self.servers[index].stop()
        for attempt in list(self.open_attempts[index]):
            self._end_attempt(now, attempt, Result.RESET)

    def _start(self, now: float, index: int) -> None:
        self.servers[index].restart(now)
        self._update_list(now, index, True)

    def _set_partition(self, now: float, zone: str, begins: bool) -> None:
        (self.partitioned_zones.add if begins else self.partitioned_zones.discard)(zone)

    def _set_list_delay(self, now: float, late_ms: float) -> None:
        self.list_late_ms = late_ms

    def _update_list(self, now: float, index: int, is_listed: bool) -> None:
        """Change the server list; nodes receive it after the list delay."""
        if self.plan.fleet.lists == "static":
            return
        listed = set(self.listed_servers) - {index}
        self.listed_servers = sorted(listed | {index} if is_listed else listed)
        self.schedule(now + self.list_late_ms, self._publish_list, None)

    def _publish_list(self, now: float, listed: list[int] | None) -> None:
        for node in self.nodes:
            node.set_servers(now, self.listed_servers if listed is None else listed)

    def _jump_clock(self, now: float, affected: list[int], by_ms: float) -> None:
        for index in affected:
            self.servers[index].launched = now + by_ms
        self.schedule(now + self.list_late_ms, self._publish_list, None)

    def _kill_node(self, now: float, index: int) -> None:
        """Kill a node: its open requests fail, and its replacement starts without learned state."""
        old = self.nodes[index]
        for attempts in self.open_attempts:
            for attempt in [item for item in attempts if item.node is old]:
                attempt.ended = True
                del attempts[attempt]
                if not attempt.call.done:
                    self._record_end(now, attempt.call, FAILED)
        if isinstance(old, ModuleNode):
            old.alive = False
        self.nodes[index] = self._node(index)
        self.nodes[index].set_servers(now, self.listed_servers)

    # ---------------------------------------------------------------------- figures

    def _sample(self, now: float) -> None:
        busy = [server.busy_ms for server in self.servers]
        cores = self.plan.fleet.cores * SAMPLE_INTERVAL_MS
        shares = sorted((new - old) / cores for new, old in zip(busy, self._last_busy_ms, strict=True))
        self._last_busy_ms = busy
        row: dict[str, Any] = {
            "s": round(now / 1000.0),
            "in_flight": sum(len(attempts) for attempts in self.open_attempts),
            "load": {
                "least": round(shares[0], 4),
                "middle": round(shares[len(shares) // 2], 4),
                "most": round(shares[-1], 4),
            },
        }
        cursors = [node.balancer.table.cursor for node in self.nodes if isinstance(node, ModuleNode)]
        limits = [node.limit.max_in_flight for node in self.nodes if isinstance(node, PolicyNode)]
        if cursors:
            row["cursor"] = {"mean": round(sum(cursors) / len(cursors), 3), "most": max(cursors)}
        elif self.policy.limit != "none":
            row["limit"] = round(sum(limits) / len(limits), 3)
        self.recorder.samples.append(row)
        if now + SAMPLE_INTERVAL_MS <= self.end_ms:
            self.schedule(now + SAMPLE_INTERVAL_MS, self._sample)
