"""Which servers this gateway holds to be in trouble, and since when: for operators, not for decisions.

A server may fail calls while its health check is good. The pick goes by the figures of each server, which change with
every call; here they become states that last, so that a change is worth a line of the log.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from emberring.admission import eligibility
from emberring.admission.failure_rate import TOLERATED_RATE
from emberring.admission.server import SLOWDOWN_TOLERANCE, ServerView
from emberring.admission.types import CallOutcome
from emberring.registry.faults import Fault

REINSTATE_AFTER_S = 2.0  # without a sign of trouble


_BY_OUTCOME = {
    CallOutcome.CONNECT_FAILED: Fault.UNREACHABLE,
    CallOutcome.SILENT: Fault.SILENT,
    CallOutcome.BROKEN: Fault.BREAKING_OFF,
}


def detect_fault(now_s: float, server: ServerView, usual_event_gap_ms: float) -> Fault | None:
    """What speaks against it now, the gravest first."""
    if eligibility.failing(server) and server.last_failure is not None:
        return _BY_OUTCOME.get(server.last_failure, Fault.FAILING)
    if eligibility.unresponsive(now_s, server, usual_event_gap_ms):
        return Fault.SILENT
    if server.failure_rate.rate(now_s) > TOLERATED_RATE:
        return Fault.FAILING
    if server.slowdown_ratio(now_s) > SLOWDOWN_TOLERANCE:
        return Fault.SLOW
    return None


@attrs.frozen
class SuspicionChange:
    """A server came into trouble, or is well again (`trouble` is None) after `duration_s` seconds."""

    server: ServerView
    fault: Fault | None
    duration_s: float = 0.0


@attrs.define
class _Suspicion:
    fault: Fault
    since_s: float
    last_sign_s: float


class SuspicionTable:
    """The suspicions held at present, by server id."""

    def __init__(self) -> None:
        self._suspicions: dict[str, _Suspicion] = {}

    @property
    def faults(self) -> dict[str, Fault]:
        """What each suspected server is held to suffer from."""
        return {server_id: suspicion.fault for server_id, suspicion in self._suspicions.items()}

    def check(
        self, now_s: float, servers: Iterable[ServerView], usual_event_gap_ms: float
    ) -> list[SuspicionChange]:
        """Look at all servers of a pool; what has changed. A server that is no longer among them is dropped."""
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

    def _check_server(self, now_s: float, server: ServerView, found: Fault | None) -> SuspicionChange | None:
        suspicion = self._suspicions.get(server.record.id)
        if found is not None and suspicion is None:
            self._suspicions[server.record.id] = _Suspicion(found, now_s, now_s)
            return SuspicionChange(server, found)
        if suspicion is None:
            return None
        if found is not None:
            suspicion.fault, suspicion.last_sign_s = found, now_s
            return None
        if now_s - suspicion.last_sign_s < REINSTATE_AFTER_S:
            return None
        del self._suspicions[server.record.id]
        return SuspicionChange(server, None, suspicion.last_sign_s - suspicion.since_s)
