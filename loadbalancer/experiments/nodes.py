"""Simulated balancers: a picker with a limit, or the production decision module."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING, Protocol

from loadbalancer import interface as api
from loadbalancer.balancer import Balancer
from loadbalancer.experiments.experiment import Experiment
from loadbalancer.experiments.policies import Random, Unlimited
from loadbalancer.sidecar.models import LATENCY_TOLERANCE_MS, start_calls

if TYPE_CHECKING:
    from loadbalancer.experiments.world import Attempt, Call, World

Result = api.Result


class Node(Protocol):
    """The interface of a simulated balancer. It answers each request once, with `World.answer`."""

    name: int

    def on_request(self, now: float, call: Call) -> None: ...

    def on_attempt_end(self, now: float, attempt: Attempt, result: Result, latency_ms: float) -> None: ...

    def on_caller_gone(self, now: float, call: Call) -> None:
        """The caller has given up on this request."""
        ...

    def set_servers(self, now: float, listed: Sequence[int]) -> None:
        """Receive the current server list, as indexes of the fleet's servers."""
        ...


class PolicyNode:
    """A picker and a limit, with retries at other servers where a retry is safe."""

    def __init__(self, name: int, world: World, picker: Random, limit: Unlimited) -> None:
        self.name, self.world, self.picker, self.limit = name, world, picker, limit
        self.in_flight = [0] * len(world.servers)
        self.total_in_flight = 0
        self.candidates: Sequence[int] = range(len(world.servers))

    def set_servers(self, now: float, listed: Sequence[int]) -> None:
        self.candidates = listed

    def on_request(self, now: float, call: Call) -> None:
        if not self.candidates or not self.limit.admits(now, self.total_in_flight, call.give_up_at - now):
            self.world.answer(now, call, Result.FULL)
        else:
            self._send(now, call, self.candidates)

    def _send(self, now: float, call: Call, candidates: Sequence[int]) -> None:
        server = self.picker.pick(now, self.in_flight, candidates)
        self.in_flight[server] += 1
        self.total_in_flight += 1
        self.world.send(now, call, server, call.give_up_at)

    def on_attempt_end(self, now: float, attempt: Attempt, result: Result, latency_ms: float) -> None:
        call, server = attempt.call, attempt.server
        succeeded = result is Result.OK
        self.in_flight[server] -= 1
        self.picker.on_end(now, server, latency_ms, succeeded)
        self.limit.on_end(now, self.total_in_flight, latency_ms, succeeded)
        self.total_in_flight -= 1
        if call.done:
            return
        may_retry = result.never_ran or (result is not Result.TIMEOUT and call.safe)
        if (
            not succeeded
            and may_retry
            and call.attempt_count < self.world.max_attempts
            and now < call.give_up_at
        ):
            candidates = [at for at in self.candidates if at not in call.tried_servers]
            if candidates:
                self._send(now, call, candidates)
                return
        self.world.answer(now, call, result)

    def on_caller_gone(self, now: float, call: Call) -> None:
        return


class ModuleNode:
    """The decision module, driven by the same events as in production."""

    def __init__(self, name: int, world: World, settings: api.Settings, seed: int) -> None:
        self.name, self.world = name, world
        self.balancer = Balancer(settings, seed, world.now)
        self.calls: dict[str, Call] = {}
        self.attempts: dict[str, list[Attempt | None]] = {}
        self.alive = True

    def set_servers(self, now: float, listed: Sequence[int]) -> None:
        servers = self.world.servers
        starts_known = self.balancer.cfg.starts_told
        server_rows = tuple(
            api.Server(str(at), servers[at].zone, launched_ms=servers[at].launched if starts_known else None)
            for at in listed
        )
        self._handle_event(now, api.Membership(api.ListForm.FULL, server_rows))

    def on_request(self, now: float, call: Call) -> None:
        name = str(call.number)
        self.calls[name], self.attempts[name] = call, []
        self._handle_event(now, api.Request(name, call.service, call.give_up_at, is_retry=call.repeats > 0))

    def on_attempt_end(self, now: float, attempt: Attempt, result: Result, latency_ms: float) -> None:
        name = str(attempt.call.number)
        if result is Result.OK:
            self._answer(now, name, result)
        done = attempt.call.done
        self.attempts[name][attempt.number] = None
        self._handle_event(
            now, api.Outcome(name, attempt.number, str(attempt.server), result, latency_ms, done)
        )
        self._drop_if_ended(name)

    def on_caller_gone(self, now: float, call: Call) -> None:
        name = str(call.number)
        if name in self.calls:
            self._handle_event(now, api.Lapsed(name))
            self._drop_if_ended(name)

    def on_alarm(self, now: float, name: str) -> None:
        if self.alive:
            self._handle_event(now, api.Alarm(name))

    def _answer(self, now: float, name: str, result: Result, retry_after_ms: float = 0.0) -> None:
        call = self.calls.get(name)
        if call is not None:
            self.world.answer(now, call, result, retry_after_ms)

    def _drop_if_ended(self, name: str) -> None:
        call = self.calls.get(name)
        if call is not None and call.done and not any(self.attempts[name]):
            del self.calls[name], self.attempts[name]

    def _handle_event(self, now: float, event: api.Event) -> None:
        pending_events = [event]
        while pending_events:
            for action in self.balancer.handle(now, pending_events.pop(0)):
                match action:
                    case api.Send():
                        moot_outcome = self._send(now, action)
                        if moot_outcome is not None:
                            pending_events.append(moot_outcome)
                    case api.Refuse():
                        self._answer(now, action.id, Result.FULL, action.retry_after_ms)
                        self._drop_if_ended(action.id)
                    case api.Fail():
                        self._answer(now, action.id, Result.ERROR)
                        self._drop_if_ended(action.id)
                    case api.Cancel():
                        attempts = self.attempts.get(action.id, [])
                        attempt = attempts[action.attempt] if action.attempt < len(attempts) else None
                        if attempt is not None:
                            self.world.cancel(now, attempt)
                    case api.Wake():
                        self.world.schedule(now + action.delay_ms, self.on_alarm, action.name)

    def _send(self, now: float, action: api.Send) -> api.Outcome | None:
        """Execute a send; if its request has already ended, return the outcome MOOT instead."""
        call, attempts = self.calls.get(action.id), self.attempts.get(action.id, [])
        if call is None or call.done or now >= call.give_up_at:
            attempts.append(None)
            return api.Outcome(action.id, len(attempts) - 1, action.server, Result.MOOT, 0.0, True)
        until = call.give_up_at
        if action.timeout_ms > 0.0:
            until = min(until, now + action.timeout_ms)
        attempts.append(self.world.send(now, call, int(action.server), until))
        return None


def settings_of(plan: Experiment) -> api.Settings:
    """The settings that a sidecar in the fleet's first zone would give to its decision module."""
    fleet = plan.fleet
    start_call_count = start_calls(item.aim_ms for item in plan.classes)
    return api.Settings(
        classes=tuple(
            api.ServiceClass(
                item.name, item.aim_ms, item.give_up_ms, item.worth, item.late_worth, api.Effect(item.effect)
            )
            for item in plan.classes
        ),
        zone=fleet.zones[0],
        siblings=fleet.nodes,
        start_calls=start_call_count,
        quiet_calls=start_call_count,
        near_ms=LATENCY_TOLERANCE_MS,
        may_cancel=True,
        retry_after=True,
        max_retry_after_ms=2000.0,
        max_attempts=fleet.max_attempts,
        cross_zone_price=fleet.cross_zone_price,
        cold_from=fleet.cold_from,
        cold_ms=fleet.cold_ms,
        starts_told=fleet.lists == "told",
        overload_factor=fleet.overload_factor,
    )
