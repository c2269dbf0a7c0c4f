"""Shared builders of settings, servers and balancers."""

from __future__ import annotations

from typing import Any

from loadbalancer import interface as api
from loadbalancer.balancer import Balancer

SAFE = api.ServiceClass("read", aim_ms=1000, give_up_ms=2500, worth=12, effect=api.Effect.SAFE)
UNSAFE = api.ServiceClass("post", aim_ms=1000, give_up_ms=2500, worth=1, effect=api.Effect.UNSAFE)
KEYED = api.ServiceClass(
    "points",
    aim_ms=2000,
    give_up_ms=5000,
    worth=1,
    effect=api.Effect.KEYED,
    scope=api.Scope.ZONE,
    memory_ms=900,
)


def settings(**changes: Any) -> api.Settings:
    defaults: dict[str, Any] = {
        "classes": (SAFE, UNSAFE, KEYED),
        "zone": "a",
        "siblings": 2,
        "may_cancel": True,
        "max_attempts": 3,
        "cold_from": 0.2,
        "cold_ms": 10000.0,
        "overload_factor": 2.5,
    }
    return api.Settings(**{**defaults, **changes})


def servers(count: int, **changes: Any) -> tuple[api.Server, ...]:
    return tuple(api.Server(address=f"s{at}", zone="ab"[at % 2], **changes) for at in range(count))


class Bed:
    """A balancer with a simulated clock and a server list; its methods deliver events and return the actions."""

    def __init__(self, count: int = 4, seed: int = 7, **changes: Any) -> None:
        self.now = 1000.0
        self.brain = Balancer(settings(**changes), seed=seed, now_ms=self.now)
        self.request_count = 0
        self.give(api.Membership(api.ListForm.CACHED, servers(count)))

    def give(self, event: api.Event, after: float = 0.0) -> list[api.Action]:
        self.now += after
        return self.brain.handle(self.now, event)

    def ask(self, service: str = "read", left: float = 2000.0, **more: Any) -> tuple[str, list[api.Action]]:
        self.request_count += 1
        name = f"r{self.request_count}"
        return name, self.give(api.Request(name, service, self.now + left, **more))

    def end(
        self,
        name: str,
        server: str,
        result: api.Result,
        latency: float = 100.0,
        attempt: int = 0,
        **more: Any,
    ) -> list[api.Action]:
        done = more.pop("done", result is api.Result.OK)
        return self.give(api.Outcome(name, attempt, server, result, latency, done, **more))

    def serve(self, service: str = "read", latency: float = 100.0, **more: Any) -> str:
        """Send one request and answer it after `latency`; returns the server that received it."""
        name, acts = self.ask(service)
        server = sent(acts)[0].server
        self.now += latency
        self.end(name, server, api.Result.OK, latency, **more)
        return server

    def period(self, after: float | None = None) -> list[api.Action]:
        return self.give(api.Alarm("period"), self.brain.period_ms if after is None else after)


def sent(acts: list[api.Action]) -> list[api.Send]:
    return [act for act in acts if isinstance(act, api.Send)]


def kinds(acts: list[api.Action]) -> list[type]:
    return [type(act) for act in acts]
