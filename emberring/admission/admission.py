"""Admission control over all services of a gateway: whether a call is admitted, and to which server.

Sans-I/O: the current time is an argument of every call.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping
from random import Random
from typing import NamedTuple

import attrs

from emberring.admission.pool import Pool
from emberring.admission.server import PlacedCall, ServerView
from emberring.admission.suspicion import SuspicionChange
from emberring.admission.types import AdmissionSettings, Admitted, CallInfo, CallOutcome, Decision, NoServer
from emberring.configuration.model import Service
from emberring.distribution.records import ServerRecord
from emberring.registry.faults import Fault
from emberring.registry.known_load import KnownLoad


def always_connected(server_id: str) -> bool:
    """Return True; the default for callers without a connection pool, so that no connection cost is added."""
    return True


class AdmissionStatus(NamedTuple):
    """The state behind admission decisions, for operators.

    Args:
        cursor: position of the threshold table's cursor.
        batch_slot_share: share of the slots that batch items may occupy.
        load_report_age_s: age of the latest load report of other gateways; infinite if there is none.
    """

    cursor: int
    batch_slot_share: float
    load_report_age_s: float


@attrs.frozen
class _AdmittedCall:
    """An admitted call and the pool that its server belongs to."""

    pool: Pool
    call: PlacedCall


class Admission:
    """Admission decisions of one gateway for all services.

    `finished` must be called once for every `Admitted`.

    Args:
        settings: settings of the deployment.
        seed: seed of the random number generator.
        connected: whether an idle connection to a server (by id) is available.
    """

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
        self._admitted_calls: dict[str, _AdmittedCall] = {}

    def set_servers(
        self,
        now_s: float,
        servers: Iterable[ServerRecord],
        service_info: Mapping[str, Service],
        gateways: int,
        load: KnownLoad,
    ) -> None:
        """Replace the known servers and the load of the other gateways.

        Args:
            now_s: the current time (monotonic clock).
            servers: all known servers; draining ones may be included and get no new calls.
            service_info: settings of the services by name.
            gateways: number of live gateways, this one included.
            load: calls in flight of all gateways, from the latest report of the control nodes.
        """
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
            total = load.totals.get(name) if load.smoothed is not None else None
            _update_other_calls(now_s, views, load, gateways, total)
            pool.set_servers(views, gateways, total, load.reported_s)

    def offer(self, now_s: float, call: CallInfo) -> Decision:
        """Decide on a call without waiting; an admitted call counts against its server from now on."""
        pool = self._pools.get(call.service)
        if pool is None:
            return NoServer()
        decision = pool.offer(now_s, call)
        if isinstance(decision, Admitted):
            placed_call = pool.servers[decision.server_id].calls[call.id]
            self._admitted_calls[call.id] = _AdmittedCall(pool, placed_call)
        return decision

    def started(self, now_s: float, call_id: str, server_id: str) -> None:
        """Record that the request of a call has been sent."""
        admitted = self._admitted_calls.get(call_id)
        if admitted is not None:
            admitted.pool.outcomes.started(now_s, admitted.call)

    def first_event(self, now_s: float, call_id: str) -> None:
        """Record the first event of a streamed response, or the head of any other response."""
        admitted = self._admitted_calls.get(call_id)
        if admitted is not None:
            admitted.pool.outcomes.first_event(now_s, admitted.call)

    def progress(self, now_s: float, call_id: str) -> None:
        """Record a later event of a streamed response."""
        admitted = self._admitted_calls.get(call_id)
        if admitted is not None:
            admitted.pool.outcomes.progress(now_s, admitted.call)

    def finished(self, now_s: float, call_id: str, outcome: CallOutcome) -> None:
        """Record how an attempt ended; the call no longer counts against its server."""
        admitted = self._admitted_calls.pop(call_id, None)
        if admitted is not None:
            admitted.pool.outcomes.finished(now_s, admitted.call, outcome)

    def batch_capacity(self, now_s: float) -> dict[str, int]:
        """Return how many more batch items would be admitted now, by service."""
        return {name: pool.batch_capacity(now_s) for name, pool in self._pools.items()}

    def status(self, now_s: float) -> AdmissionStatus:
        """Return the current state for operators: the maximum of each figure over all services."""
        pools = self._pools.values()
        return AdmissionStatus(
            max((pool.table.cursor for pool in pools), default=0),
            max((pool.pressure.slot_share(now_s) for pool in pools), default=0.0),
            max((now_s - pool.calls.load_measured_s for pool in pools), default=math.inf),
        )

    def check_servers(self, now_s: float) -> list[SuspicionChange]:
        """Return the servers that became suspected, or were reinstated, since the last check."""
        return [change for pool in self._pools.values() for change in pool.check_servers(now_s)]

    def suspected_servers(self) -> dict[str, Fault]:
        """Return the servers that were suspected at the last check, with the fault, by id."""
        faults: dict[str, Fault] = {}
        for pool in self._pools.values():
            faults.update(pool.suspicions.faults)
        return faults

    @property
    def in_flight_count(self) -> int:
        """The number of calls of this gateway in flight."""
        return len(self._admitted_calls)

    def in_flight(self, server_loads_follow: bool = True) -> dict[str, int]:
        """Return this gateway's calls in flight by server id; must be called by `Follower.report` only.

        The returned counts are subtracted from load reports of the control nodes, which include them.

        Args:
            server_loads_follow: whether the next load report has the load of each server, and not only of each service.
        """
        report = {}
        for pool in self._pools.values():
            report.update(pool.calls.report(server_loads_follow))
        return report


def _update_other_calls(
    now_s: float, views: Mapping[str, ServerView], load: KnownLoad, gateways: int, total: int | None
) -> None:
    """Update the other gateways' calls at each server of a service.

    If the load was requested for some servers only, the others are assumed to have the mean load of a server.

    Args:
        now_s: the current time (monotonic clock).
        views: the servers of the service by id.
        load: the load as reported by the control nodes.
        gateways: number of live gateways, this one included.
        total: calls of all gateways at the service; None if the report has every server.
    """
    others_share = 1.0 - 1.0 / gateways
    mean = others_share * total / len(views) if total is not None else 0.0
    for server_id, view in views.items():
        other_calls = max(0.0, load.calls.get(server_id, 0) - view.reported_calls)
        if load.smoothed is None:
            view.update_other_calls(now_s, other_calls)
        elif server_id in load.smoothed:
            view.update_other_calls(now_s, other_calls, others_share * load.smoothed[server_id])
        else:
            view.update_other_calls(now_s, mean, mean)
