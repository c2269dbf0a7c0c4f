"""Balancers in the model: a policy and a limit that are compared, or the decision module itself."""

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
    """What the world asks of a balancer. Each request that comes is answered once, by `World.answer`."""

    name: int

    def come(self, now: float, call: Call) -> None: ...

    def over(self, now: float, attempt: Attempt, result: Result, latency_ms: float) -> None: ...

    def left(self, now: float, call: Call) -> None:
        """Its caller has gone."""
        ...

    def told(self, now: float, up: Sequence[int]) -> None:
        """Servers by place, as the list has them now."""
        ...


class PolicyNode:
    """A picker and a limit, and tries at other servers where that can do no harm."""

    def __init__(self, name: int, world: World, picker: Random, limit: Unlimited) -> None:
        self.name, self.world, self.picker, self.limit = name, world, picker, limit
        self.out = [0] * len(world.servers)
        self.total = 0
        self.among: Sequence[int] = range(len(world.servers))

    def told(self, now: float, up: Sequence[int]) -> None:
        self.among = up

    def come(self, now: float, call: Call) -> None:
        if not self.among or not self.limit.admits(now, self.total, call.give_up_at - now):
            self.world.answer(now, call, Result.FULL)
        else:
            self._send(now, call, self.among)

    def _send(self, now: float, call: Call, among: Sequence[int]) -> None:
        server = self.picker.pick(now, self.out, among)
        self.out[server] += 1
        self.total += 1
        self.world.send(now, call, server, call.give_up_at)

    def over(self, now: float, attempt: Attempt, result: Result, latency_ms: float) -> None:
        call, server = attempt.call, attempt.server
        good = result is Result.OK
        self.out[server] -= 1
        self.picker.ended(now, server, latency_ms, good)
        self.limit.ended(now, self.total, latency_ms, good)
        self.total -= 1
        if call.done:
            return
        again = result.never_ran or (result is not Result.TIMEOUT and call.safe)
        if not good and again and call.tries < self.world.max_attempts and now < call.give_up_at:
            among = [at for at in self.among if at not in call.tried]
            if among:
                self._send(now, call, among)
                return
        self.world.answer(now, call, result)

    def left(self, now: float, call: Call) -> None:
        return


class ModuleNode:
    """The decision module, fed by the events that it has in service."""

    def __init__(self, name: int, world: World, settings: api.Settings, seed: int) -> None:
        self.name, self.world = name, world
        self.brain = Balancer(settings, seed, world.now)
        self.calls: dict[str, Call] = {}
        self.attempts: dict[str, list[Attempt | None]] = {}
        self.alive = True

    def told(self, now: float, up: Sequence[int]) -> None:
        servers = self.world.servers
        starts = self.brain.cfg.starts_told
        rows = tuple(
            api.Server(str(at), servers[at].zone, launched_ms=servers[at].launched if starts else None)
            for at in up
        )
        self._tell(now, api.Membership(api.ListForm.FULL, rows))

    def come(self, now: float, call: Call) -> None:
        name = str(call.number)
        self.calls[name], self.attempts[name] = call, []
        self._tell(now, api.Request(name, call.service, call.give_up_at, is_retry=call.repeats > 0))

    def over(self, now: float, attempt: Attempt, result: Result, latency_ms: float) -> None:
        name = str(attempt.call.number)
        if result is Result.OK:
            self._answer(now, name, result)
        done = attempt.call.done
        self.attempts[name][attempt.number] = None
        self._tell(now, api.Outcome(name, attempt.number, str(attempt.server), result, latency_ms, done))
        self._forget(name)

    def left(self, now: float, call: Call) -> None:
        name = str(call.number)
        if name in self.calls:
            self._tell(now, api.Lapsed(name))
            self._forget(name)

    def alarm(self, now: float, name: str) -> None:
        if self.alive:
            self._tell(now, api.Alarm(name))

    def _answer(self, now: float, name: str, result: Result, retry_after_ms: float = 0.0) -> None:
        call = self.calls.get(name)
        if call is not None:
            self.world.answer(now, call, result, retry_after_ms)

    def _forget(self, name: str) -> None:
        call = self.calls.get(name)
        if call is not None and call.done and not any(self.attempts[name]):
            del self.calls[name], self.attempts[name]

    def _tell(self, now: float, event: api.Event) -> None:
        waiting = [event]
        while waiting:
            for action in self.brain.handle(now, waiting.pop(0)):
                match action:
                    case api.Send():
                        moot = self._send(now, action)
                        if moot is not None:
                            waiting.append(moot)
                    case api.Refuse():
                        self._answer(now, action.id, Result.FULL, action.retry_after_ms)
                        self._forget(action.id)
                    case api.Fail():
                        self._answer(now, action.id, Result.ERROR)
                        self._forget(action.id)
                    case api.Cancel():
                        tries = self.attempts.get(action.id, [])
                        attempt = tries[action.attempt] if action.attempt < len(tries) else None
                        if attempt is not None:
                            self.world.cancel(now, attempt)
                    case api.Wake():
                        self.world.at(now + action.delay_ms, self.alarm, action.name)

    def _send(self, now: float, action: api.Send) -> api.Outcome | None:
        """Carry out a send; the outcome of one that nobody waits for any more."""
        call, tries = self.calls.get(action.id), self.attempts.get(action.id, [])
        if call is None or call.done or now >= call.give_up_at:
            tries.append(None)
            return api.Outcome(action.id, len(tries) - 1, action.server, Result.MOOT, 0.0, True)
        until = call.give_up_at
        if action.timeout_ms > 0.0:
            until = min(until, now + action.timeout_ms)
        tries.append(self.world.send(now, call, int(action.server), until))
        return None


def settings_of(plan: Experiment) -> api.Settings:
    """What a sidecar of this fleet, in its first zone, would tell its module."""
    fleet = plan.fleet
    start = start_calls(item.aim_ms for item in plan.classes)
    return api.Settings(
        classes=tuple(
            api.ServiceClass(
                item.name, item.aim_ms, item.give_up_ms, item.worth, item.late_worth, api.Effect(item.effect)
            )
            for item in plan.classes
        ),
        zone=fleet.zones[0],
        siblings=fleet.nodes,
        start_calls=start,
        quiet_calls=start,
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
