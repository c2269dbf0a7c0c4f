"""Admission: whether a call is taken, and by which server. Sans-I/O; the moment is an argument of every call."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from random import Random

import attrs

from emberring.admission.affinity import by_affinity, home_key
from emberring.admission.table import CursorTable
from emberring.admission.types import (
    AdmissionSettings,
    Admitted,
    CallInfo,
    CallOutcome,
    Decision,
    NoServer,
    Refused,
)
from emberring.configuration.model import Service
from emberring.distribution.facts import ServerFact, ServerState

DEFAULT_CAPACITY = 16
SPILL = 0.5  # calls over the capacity, as a share of it, from which a prefix leaves its home


@attrs.define
class _Server:
    """What this gateway knows of one server."""

    fact: ServerFact
    calls: int = 0
    others: float = 0.0
    failures: int = 0
    avoid_until_s: float = 0.0

    @property
    def capacity(self) -> int:
        return self.fact.capacity or DEFAULT_CAPACITY

    @property
    def fill(self) -> float:
        return (self.calls + self.others) / self.capacity


class Admission:
    """One gateway's decisions over all services. `finished` must be told once for every `Admitted`."""

    def __init__(self, settings: AdmissionSettings, seed: int) -> None:
        self._settings = settings
        self._random = Random(seed)
        self._table = CursorTable()
        self._servers: dict[str, _Server] = {}
        self._calls: dict[str, tuple[CallInfo, str]] = {}
        self._gateways = 1

    def set_servers(
        self,
        now_s: float,
        servers: Iterable[ServerFact],
        service_info: Mapping[str, Service],
        gateways: int,
        load: Mapping[str, int],
    ) -> None:
        """The servers now known (draining ones may be among them; they get nothing new), the live gateways, and
        the calls in flight per server over all gateways as control last told."""
        self._gateways = max(1, gateways)
        fresh: dict[str, _Server] = {}
        for fact in servers:
            server = self._servers.get(fact.id) or _Server(fact)
            server.fact = fact
            server.others = max(0.0, load.get(fact.id, 0) - server.calls)
            fresh[fact.id] = server
        self._servers = fresh

    def offer(self, now_s: float, call: CallInfo) -> Decision:
        """Decide at once; an admitted call counts against its server from now on."""
        known = [
            server
            for server in self._servers.values()
            if server.fact.service == call.service
            and server.fact.state is ServerState.READY
            and server.fact.id not in call.excluded
        ]
        if not known:
            return NoServer()
        ready = [server for server in known if server.avoid_until_s <= now_s] or known
        limit = self._settings.batch_share if call.batch else 1.0 + self._settings.live_queue_share
        open_ones = [server for server in ready if server.fill < limit]
        if not open_ones:
            return Refused(0.2 + 0.3 * self._random.random())
        chosen = self._pick(call, open_ones)
        chosen.calls += 1
        self._calls[call.id] = (call, chosen.fact.id)
        return Admitted(chosen.fact.id)

    def _pick(self, call: CallInfo, servers: list[_Server]) -> _Server:
        key = home_key(call.parts)
        if key is not None:
            by_id = {server.fact.id: server for server in servers}
            for server_id in by_affinity(key, by_id)[:2]:
                if by_id[server_id].fill < SPILL:
                    return by_id[server_id]
        return min(servers, key=lambda server: (server.fill, self._random.random()))

    def started(self, now_s: float, call_id: str, server_id: str) -> None:
        """The call's bytes have been sent."""

    def first_event(self, now_s: float, call_id: str) -> None:
        """The first event of the answer, or its head where it is no stream, has come."""

    def finished(self, now_s: float, call_id: str, outcome: CallOutcome) -> None:
        """The attempt is over; the call no longer counts against its server."""
        entry = self._calls.pop(call_id, None)
        server = self._servers.get(entry[1]) if entry else None
        if server is None:
            return
        server.calls = max(0, server.calls - 1)
        if outcome in (CallOutcome.CONNECT_FAILED, CallOutcome.BROKEN, CallOutcome.SILENT):
            server.failures += 1
            server.avoid_until_s = now_s + min(4.0, 0.25 * 2.0 ** min(server.failures, 5))
        elif outcome is CallOutcome.COMPLETED:
            server.failures = 0

    def batch_room(self, now_s: float) -> int:
        """How many more items of lots would be taken now."""
        room = 0.0
        for server in self._servers.values():
            if server.fact.state is ServerState.READY and server.avoid_until_s <= now_s:
                room += max(0.0, server.capacity * self._settings.batch_share - server.calls - server.others)
        return int(room / self._gateways)

    def in_flight(self) -> dict[str, int]:
        """This gateway's calls in flight per server id, for `Follower.report`."""
        return {server_id: server.calls for server_id, server in self._servers.items()}
