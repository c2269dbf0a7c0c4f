"""Baseline policies that admission is compared with, with the interface of `Admission` that trials use.

They refuse nothing and limit batch items only by the slots of the servers; full servers reject calls themselves.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from random import Random
from typing import Protocol

from emberring.admission import Admitted, CallInfo, CallOutcome, Decision, NoServer, Refused
from emberring.configuration.model import Service
from emberring.distribution.records import ServerRecord, ServerState
from emberring.registry.known_load import KnownLoad


class Policy(Protocol):
    """The decisions of a gateway, as a trial uses them."""

    def set_servers(
        self,
        now_s: float,
        servers: Iterable[ServerRecord],
        service_info: Mapping[str, Service],
        gateways: int,
        load: KnownLoad,
    ) -> None:
        """Replace the known servers."""

    def offer(self, now_s: float, call: CallInfo) -> Decision:
        """Decide whether the call is taken, and by which server."""

    def started(self, now_s: float, call_id: str, server_id: str) -> None:
        """Record that the call has been sent."""

    def first_event(self, now_s: float, call_id: str) -> None:
        """Record the first event."""

    def progress(self, now_s: float, call_id: str) -> None:
        """Record a later event."""

    def finished(self, now_s: float, call_id: str, outcome: CallOutcome) -> None:
        """Record how the attempt ended."""

    def batch_room(self, now_s: float) -> int:
        """Return how many more batch items would be taken now."""

    def in_flight(self) -> dict[str, int]:
        """Return calls in flight by server."""


ServerChoice = Callable[["BaselinePolicy", list[str], CallInfo], str]


class BaselinePolicy:
    """A choice by a simple rule over this gateway's own calls in flight."""

    def __init__(self, choose: ServerChoice, seed: int) -> None:
        self.random = Random(seed)
        self.calls: dict[str, int] = {}
        self.turn = 0
        self._choose = choose
        self._placed: dict[str, str] = {}
        self._ready: list[str] = []
        self._slots = 0
        self._gateways = 1

    def set_servers(
        self,
        now_s: float,
        servers: Iterable[ServerRecord],
        service_info: Mapping[str, Service],
        gateways: int,
        load: KnownLoad,
    ) -> None:
        """Replace the known servers."""
        ready = [record for record in servers if record.state is ServerState.READY]
        self._ready = sorted(record.id for record in ready)
        self._slots = sum(record.capacity for record in ready)
        self._gateways = max(1, gateways)
        self.calls = {name: self.calls.get(name, 0) for name in self._ready}

    def offer(self, now_s: float, call: CallInfo) -> Decision:
        """Take a call while there is a server; a batch item while there is a free slot."""
        names = [name for name in self._ready if name not in call.excluded]
        if not names:
            return NoServer()
        if call.batch and self.batch_room(now_s) <= 0:
            return Refused(0.1)
        name = self._choose(self, names, call)
        self.calls[name] += 1
        self._placed[call.id] = name
        return Admitted(name)

    def started(self, now_s: float, call_id: str, server_id: str) -> None:
        """Ignore it: nothing is learned."""

    def first_event(self, now_s: float, call_id: str) -> None:
        """Ignore it: nothing is learned."""

    def progress(self, now_s: float, call_id: str) -> None:
        """Ignore it: nothing is learned."""

    def finished(self, now_s: float, call_id: str, outcome: CallOutcome) -> None:
        """Release the slot."""
        name = self._placed.pop(call_id, "")
        if self.calls.get(name, 0) > 0:
            self.calls[name] -= 1

    def batch_room(self, now_s: float) -> int:
        """Return this gateway's even share of the slots, less its calls in flight."""
        return max(0, self._slots // self._gateways - sum(self.calls.values()))

    def in_flight(self) -> dict[str, int]:
        """Return calls in flight by server."""
        return dict(self.calls)


def least_in_flight(policy: BaselinePolicy, names: list[str], call: CallInfo) -> str:
    """Return the server with the fewest calls of this gateway, random among equals."""
    return min(names, key=lambda name: (policy.calls[name], policy.random.random()))


def round_robin(policy: BaselinePolicy, names: list[str], call: CallInfo) -> str:
    """Return the servers in turn."""
    policy.turn += 1
    return names[policy.turn % len(names)]


def two_choices(policy: BaselinePolicy, names: list[str], call: CallInfo) -> str:
    """Return the better of two random servers."""
    sampled = policy.random.sample(names, min(2, len(names)))
    return min(sampled, key=lambda name: policy.calls[name])
