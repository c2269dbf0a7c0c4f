"""Baseline policies for comparison with admission. They implement the part of `Admission` that trials use.

They reject no live request and limit batch items only by the slots of the servers; full servers reject calls.
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
    """The admission interface of a gateway that trials use."""

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
        """Decide whether the call is admitted, and select its server."""

    def started(self, now_s: float, call_id: str, server_id: str) -> None:
        """Record that the call has been sent."""

    def first_event(self, now_s: float, call_id: str) -> None:
        """Record the first event."""

    def progress(self, now_s: float, call_id: str) -> None:
        """Record a later event."""

    def finished(self, now_s: float, call_id: str, outcome: CallOutcome) -> None:
        """Record the outcome of the attempt."""

    def batch_capacity(self, now_s: float) -> dict[str, int]:
        """Return how many more batch items would be admitted now, by service."""

    def in_flight(self) -> dict[str, int]:
        """Return calls in flight by server."""


ServerChoice = Callable[["BaselinePolicy", list[str], CallInfo], str]


class BaselinePolicy:
    """Selects servers by a simple rule over the calls in flight of this gateway."""

    def __init__(self, choose: ServerChoice, seed: int) -> None:
        self.random = Random(seed)
        self.calls: dict[str, int] = {}
        self.next_index = 0
        self._choose = choose
        self._server_by_call: dict[str, str] = {}
        self._ready: list[str] = []
        self._service = ""
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
        self._service = ready[0].service if ready else ""
        self._slots = sum(record.capacity for record in ready)
        self._gateways = max(1, gateways)
        self.calls = {name: self.calls.get(name, 0) for name in self._ready}

    def offer(self, now_s: float, call: CallInfo) -> Decision:
        """Admit a call if there is a server, a batch item only if there is a free slot."""
        names = [name for name in self._ready if name not in call.excluded]
        if not names:
            return NoServer()
        if call.batch and self._free_share() <= 0:
            return Refused(0.1)
        name = self._choose(self, names, call)
        self.calls[name] += 1
        self._server_by_call[call.id] = name
        return Admitted(name)

    def started(self, now_s: float, call_id: str, server_id: str) -> None:
        """Ignore it: nothing is learned."""

    def first_event(self, now_s: float, call_id: str) -> None:
        """Ignore it: nothing is learned."""

    def progress(self, now_s: float, call_id: str) -> None:
        """Ignore it: nothing is learned."""

    def finished(self, now_s: float, call_id: str, outcome: CallOutcome) -> None:
        """Release the slot."""
        name = self._server_by_call.pop(call_id, "")
        if self.calls.get(name, 0) > 0:
            self.calls[name] -= 1

    def batch_capacity(self, now_s: float) -> dict[str, int]:
        """Return how many more batch items would be admitted now; all servers are of one service."""
        return {self._service: self._free_share()}

    def _free_share(self) -> int:
        """Return an even share of the slots minus the calls in flight of this gateway."""
        return max(0, self._slots // self._gateways - sum(self.calls.values()))

    def in_flight(self) -> dict[str, int]:
        """Return calls in flight by server."""
        return dict(self.calls)


def least_in_flight(policy: BaselinePolicy, names: list[str], call: CallInfo) -> str:
    """Return the server with the fewest calls of this gateway, random among equals."""
    return min(names, key=lambda name: (policy.calls[name], policy.random.random()))


def round_robin(policy: BaselinePolicy, names: list[str], call: CallInfo) -> str:
    """Return the next server in turn."""
    policy.next_index += 1
    return names[policy.next_index % len(names)]


def two_choices(policy: BaselinePolicy, names: list[str], call: CallInfo) -> str:
    """Return the better of two random servers."""
    sampled = policy.random.sample(names, min(2, len(names)))
    return min(sampled, key=lambda name: policy.calls[name])
