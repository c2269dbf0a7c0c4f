"""Plain picks beside which admission is measured, with the same interface as `Admission` where trials use it.

They refuse nothing and hold lots back only by the places of the servers; what is full answers so itself.
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
    """What a trial asks of a gateway's decisions."""

    def set_servers(
        self,
        now_s: float,
        servers: Iterable[ServerRecord],
        service_info: Mapping[str, Service],
        gateways: int,
        load: KnownLoad,
    ) -> None:
        """The servers that are known now."""

    def offer(self, now_s: float, call: CallInfo) -> Decision:
        """Whether the call is taken, and by which server."""

    def started(self, now_s: float, call_id: str, server_id: str) -> None:
        """The call has been sent."""

    def first_event(self, now_s: float, call_id: str) -> None:
        """The first event has come."""

    def progress(self, now_s: float, call_id: str) -> None:
        """A later event has come."""

    def finished(self, now_s: float, call_id: str, outcome: CallOutcome) -> None:
        """The attempt is over."""

    def batch_room(self, now_s: float) -> int:
        """How many items of lots would be taken now."""

    def in_flight(self) -> dict[str, int]:
        """Calls in flight by server."""


Pick = Callable[["PlainPolicy", list[str], CallInfo], str]


class PlainPolicy:
    """A pick by a plain rule over this gateway's own calls in flight."""

    def __init__(self, pick: Pick, seed: int) -> None:
        self.random = Random(seed)
        self.calls: dict[str, int] = {}
        self.turn = 0
        self._pick = pick
        self._placed: dict[str, str] = {}
        self._ready: list[str] = []
        self._places = 0
        self._gateways = 1

    def set_servers(
        self,
        now_s: float,
        servers: Iterable[ServerRecord],
        service_info: Mapping[str, Service],
        gateways: int,
        load: KnownLoad,
    ) -> None:
        """The servers that are known now."""
        ready = [fact for fact in servers if fact.state is ServerState.READY]
        self._ready = sorted(fact.id for fact in ready)
        self._places = sum(fact.capacity for fact in ready)
        self._gateways = max(1, gateways)
        self.calls = {name: self.calls.get(name, 0) for name in self._ready}

    def offer(self, now_s: float, call: CallInfo) -> Decision:
        """Always taken while there is a server; items while there is a place."""
        names = [name for name in self._ready if name not in call.excluded]
        if not names:
            return NoServer()
        if call.batch and self.batch_room(now_s) <= 0:
            return Refused(0.1)
        name = self._pick(self, names, call)
        self.calls[name] += 1
        self._placed[call.id] = name
        return Admitted(name)

    def started(self, now_s: float, call_id: str, server_id: str) -> None:
        """Nothing is learned."""

    def first_event(self, now_s: float, call_id: str) -> None:
        """Nothing is learned."""

    def progress(self, now_s: float, call_id: str) -> None:
        """Nothing is learned."""

    def finished(self, now_s: float, call_id: str, outcome: CallOutcome) -> None:
        """The place is free again."""
        name = self._placed.pop(call_id, "")
        if self.calls.get(name, 0) > 0:
            self.calls[name] -= 1

    def batch_room(self, now_s: float) -> int:
        """An even share of the places, less what is in flight from here."""
        return max(0, self._places // self._gateways - sum(self.calls.values()))

    def in_flight(self) -> dict[str, int]:
        """Calls in flight by server."""
        return dict(self.calls)


def least_in_flight(policy: PlainPolicy, names: list[str], call: CallInfo) -> str:
    """The server with the fewest calls of this gateway, drawn among equals."""
    return min(names, key=lambda name: (policy.calls[name], policy.random.random()))


def round_robin(policy: PlainPolicy, names: list[str], call: CallInfo) -> str:
    """One after the other."""
    policy.turn += 1
    return names[policy.turn % len(names)]


def two_choices(policy: PlainPolicy, names: list[str], call: CallInfo) -> str:
    """The better of two that are drawn."""
    drawn = policy.random.sample(names, min(2, len(names)))
    return min(drawn, key=lambda name: policy.calls[name])
