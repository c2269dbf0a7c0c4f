"""The servers that this gateway suspects of a fault, for operators; admission decisions do not use them.

A server may fail calls while its health check passes. Server selection uses estimates that change with every call. This
module derives states with hysteresis from them, so that changes are rare enough to be logged.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from emberring.admission import eligibility
from emberring.admission.failure_rate import TOLERATED_RATE
from emberring.admission.server import SLOWDOWN_TOLERANCE, ServerView
from emberring.admission.types import CallOutcome
from emberring.registry.faults import Fault

REINSTATE_AFTER_S = 2.0  # time without a fault after which a suspected server is reinstated


_FAULT_OF_OUTCOME = {
    CallOutcome.CONNECT_FAILED: Fault.UNREACHABLE,
    CallOutcome.SILENT: Fault.SILENT,
    CallOutcome.BROKEN: Fault.BREAKING_OFF,
}


def detect_fault(now_s: float, server: ServerView, usual_event_gap_ms: float) -> Fault | None:
    """Return the most severe fault that the server shows now; None if it shows none."""
    if eligibility.failing(server) and server.last_failure is not None:
        return _FAULT_OF_OUTCOME.get(server.last_failure, Fault.FAILING)
    if eligibility.unresponsive(now_s, server, usual_event_gap_ms):
        return Fault.SILENT
    if server.failure_rate.rate(now_s) > TOLERATED_RATE:
        return Fault.FAILING
    if server.slowdown_ratio(now_s) > SLOWDOWN_TOLERANCE:
        return Fault.SLOW
    return None


@attrs.frozen
class SuspicionChange:
    """A server became suspected, or was reinstated.

    Args:
        fault: the suspected fault; None if the server was reinstated.
        duration_s: for how long the server showed faults; 0 if it has just become suspected.
    """

    server: ServerView
    fault: Fault | None
    duration_s: float = 0.0


@attrs.define
class _Suspicion:
    fault: Fault
    since_s: float
    last_fault_s: float


class SuspicionTable:
    """The currently suspected servers by id."""

    def __init__(self) -> None:
        self._suspicions: dict[str, _Suspicion] = {}

    @property
    def faults(self) -> dict[str, Fault]:
        """The fault of each suspected server, by id."""
        return {server_id: suspicion.fault for server_id, suspicion in self._suspicions.items()}

    def check(
        self, now_s: float, servers: Iterable[ServerView], usual_event_gap_ms: float
    ) -> list[SuspicionChange]:
        """Check all servers of a pool and return the changes.

        A suspected server that is no longer in the pool is removed without a change.
        """
        changes: list[SuspicionChange] = []
        present: set[str] = set()
        for server in servers:
            present.add(server.record.id)
            change = self._check_server(now_s, server, detect_fault(now_s, server, usual_event_gap_ms))
            if change is not None:
                changes.append(change)
        for server_id in self._suspicions.keys() - present:
            del self._suspicions[server_id]
        return changes

    def _check_server(self, now_s: float, server: ServerView, fault: Fault | None) -> SuspicionChange | None:
        suspicion = self._suspicions.get(server.record.id)
        if fault is not None and suspicion is None:
            self._suspicions[server.record.id] = _Suspicion(fault, now_s, now_s)
            return SuspicionChange(server, fault)
        if suspicion is None:
            return None
        if fault is not None:
            suspicion.fault, suspicion.last_fault_s = fault, now_s
            return None
        if now_s - suspicion.last_fault_s < REINSTATE_AFTER_S:
            return None
        del self._suspicions[server.record.id]
        return SuspicionChange(server, None, suspicion.last_fault_s - suspicion.since_s)
