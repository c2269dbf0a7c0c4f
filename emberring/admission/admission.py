"""Admission: whether a call is taken, and by which server. Sans-I/O; the moment is an argument of every call."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping
from random import Random

from emberring.admission.pool import Pool
from emberring.admission.server import PlacedCall, ServerView
from emberring.admission.suspicion import SuspicionChange
from emberring.admission.types import AdmissionSettings, CallInfo, CallOutcome, Decision, NoServer
from emberring.configuration.model import Service
from emberring.distribution.records import ServerRecord
from emberring.registry.faults import Fault
from emberring.registry.known_load import KnownLoad


def always_connected(server_id: str) -> bool:
    """Where nothing is known of connections, none has to be made."""
    return True


class Admission:
    """One gateway's decisions over all services. `finished` must be told once for every `Admitted`. `connected` tells
    whether a connection to a server rests here that the next call may use."""

    def __init__(
        self,
        settings: AdmissionSettings,
        seed: int,
        connected: Callable[[str], bool] = always_connected,
    ) -> None:
        self._settings = settings
        self._random = Random(seed)
        self._connected = connected
        self._pools: dict[str, Pool] = {}
        self._placed: dict[str, tuple[Pool, PlacedCall]] = {}

    def set_servers(
        self,
        now_s: float,
        servers: Iterable[ServerRecord],
        service_info: Mapping[str, Service],
        gateways: int,
        load: KnownLoad,
    ) -> None:
        """The servers now known (draining ones may be among them; they get nothing new), the live gateways, and
        the calls in flight over all gateways as control last told."""
        gateways = max(1, gateways)
        by_service: dict[str, dict[str, ServerView]] = {}
        for record in servers:
            pool = self._pools.get(record.service)
            known = pool.servers.get(record.id) if pool else None
            view = known or ServerView(record, now_s)
            view.record = record
            by_service.setdefault(record.service, {})[record.id] = view
        for name in self._pools.keys() - by_service.keys():
            self._pools[name].set_servers({}, gateways, None)
        for name, views in by_service.items():
            if name not in self._pools:
                self._pools[name] = Pool(self._settings, self._random, self._connected)
            pool = self._pools[name]
            service = service_info.get(name)
            for view in views.values():
                if service is not None and service.max_connections > 0:
                    view.connections = max(1.0, service.max_connections / gateways)
                if service is not None and service.kv_cache_tokens > 0:
                    view.kv_tokens = float(service.kv_cache_tokens)
            total = load.totals.get(name) if load.usual is not None else None
            _update_other_calls(now_s, views, load, gateways, total)
            pool.set_servers(views, gateways, total, load.true_s)

    def offer(self, now_s: float, call: CallInfo) -> Decision:
        """Decide at once; an admitted call counts against its server from now on."""
        pool = self._pools.get(call.service)
        if pool is None:
            return NoServer()
        decision = pool.offer(now_s, call)
        server_id = getattr(decision, "server_id", None)
        if server_id is not None:
            self._placed[call.id] = pool, pool.servers[server_id].calls[call.id]
        return decision

    def started(self, now_s: float, call_id: str, server_id: str) -> None:
        """The call's bytes have been sent."""
        entry = self._placed.get(call_id)
        if entry is not None:
            entry[0].started(now_s, entry[1])

    def first_event(self, now_s: float, call_id: str) -> None:
        """The first event of the answer, or its head where it is no stream, has come."""
        entry = self._placed.get(call_id)
        if entry is not None:
            entry[0].first_event(now_s, entry[1])

    def progress(self, now_s: float, call_id: str) -> None:
        """A later event of the answer has come."""
        entry = self._placed.get(call_id)
        if entry is not None:
            entry[0].progress(now_s, entry[1])

    def finished(self, now_s: float, call_id: str, outcome: CallOutcome) -> None:
        """The attempt is over; the call no longer counts against its server."""
        entry = self._placed.pop(call_id, None)
        if entry is not None:
            entry[0].finished(now_s, entry[1], outcome)

    def batch_room(self, now_s: float) -> int:
        """How many more items of lots would be taken now, over all services."""
        return sum(pool.batch_room(now_s) for pool in self._pools.values())

    def status(self, now_s: float) -> tuple[int, float, float]:
        """Of all services the worst: the table's cursor, the share of the places that lots may have, and how long ago
        (seconds) word of the others' calls was true; the latter is infinite without any."""
        pools = self._pools.values()
        return (
            max((pool.table.cursor for pool in pools), default=0),
            max((pool.pressure.slot_share(now_s) for pool in pools), default=0.0),
            max((now_s - pool.calls.load_measured_s for pool in pools), default=math.inf),
        )

    def check_servers(self, now_s: float) -> list[SuspicionChange]:
        """Which servers came into trouble, or are well again, since the last look."""
        return [change for pool in self._pools.values() for change in pool.check_servers(now_s)]

    def suspected_servers(self) -> dict[str, Fault]:
        """The servers held to be in trouble at the last look, by id."""
        found: dict[str, Fault] = {}
        for pool in self._pools.values():
            found.update(pool.suspicions.faults)
        return found

    @property
    def in_flight_count(self) -> int:
        """This gateway's calls in flight."""
        return len(self._placed)

    def in_flight(self, server_loads_follow: bool = True) -> dict[str, int]:
        """This gateway's calls in flight per server id, for `Follower.report` alone. What control tells later is
        taken to hold these: by service always, and by server if its word of each server follows."""
        report = {}
        for pool in self._pools.values():
            report.update(pool.calls.report(server_loads_follow))
        return report


def _update_other_calls(
    now_s: float, views: Mapping[str, ServerView], load: KnownLoad, gateways: int, total: int | None
) -> None:
    """Tell each server of a service of the others' calls there. Where control was asked after some servers alone,
    the others are taken to have as many calls as a server has in the mean."""
    part = 1.0 - 1.0 / gateways
    mean = part * total / len(views) if total is not None else 0.0
    for server_id, view in views.items():
        other_calls = max(0.0, load.calls.get(server_id, 0) - view.reported_calls)
        if load.usual is None:
            view.update_other_calls(now_s, other_calls)
        elif server_id in load.usual:
            view.update_other_calls(now_s, other_calls, part * load.usual[server_id])
        else:
            view.update_other_calls(now_s, mean, mean)
