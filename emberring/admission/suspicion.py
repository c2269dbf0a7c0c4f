"""Which servers this gateway holds to be in trouble, and since when: for operators, not for decisions.

A server may fail calls while its health check is good. The pick goes by the figures of each server, which change with
every call; here they become states that last, so that a change is worth a line of the log.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from emberring.admission import pacing
from emberring.admission.failures import CHANCE
from emberring.admission.server import SLOW_CHANCE, ServerView
from emberring.admission.types import CallOutcome
from emberring.registry.faults import Fault

WELL_AFTER_S = 2.0  # without a sign of trouble


_BY_OUTCOME = {
    CallOutcome.CONNECT_FAILED: Fault.UNREACHABLE,
    CallOutcome.SILENT: Fault.SILENT,
    CallOutcome.BROKEN: Fault.BREAKING_OFF,
}


def trouble_of(now_s: float, server: ServerView, usual_pause_ms: float) -> Fault | None:
    """What speaks against it now, the gravest first."""
    if pacing.failing(server) and server.failed_by is not None:
        return _BY_OUTCOME.get(server.failed_by, Fault.FAILING)
    if pacing.silent(now_s, server, usual_pause_ms):
        return Fault.SILENT
    if server.failed.share(now_s) > CHANCE:
        return Fault.FAILING
    if server.slowness(now_s) > SLOW_CHANCE:
        return Fault.SLOW
    return None


@attrs.frozen
class SuspicionChange:
    """A server came into trouble, or is well again (`trouble` is None) after `lasted_s` seconds."""

    server: ServerView
    trouble: Fault | None
    lasted_s: float = 0.0


@attrs.define
class _Suspicion:
    trouble: Fault
    since_s: float
    last_sign_s: float


class SuspicionBook:
    """The suspicions held at present, by server id."""

    def __init__(self) -> None:
        self._held: dict[str, _Suspicion] = {}

    @property
    def troubles(self) -> dict[str, Fault]:
        """What each suspected server is held to suffer from."""
        return {server_id: held.trouble for server_id, held in self._held.items()}

    def look(
        self, now_s: float, servers: Iterable[ServerView], usual_pause_ms: float
    ) -> list[SuspicionChange]:
        """Look at all servers of a pool; what has changed. A server that is no longer among them is dropped."""
        changes: list[SuspicionChange] = []
        present: set[str] = set()
        for server in servers:
            present.add(server.fact.id)
            change = self._look_at(now_s, server, trouble_of(now_s, server, usual_pause_ms))
            if change is not None:
                changes.append(change)
        for server_id in self._held.keys() - present:
            del self._held[server_id]
        return changes

    def _look_at(self, now_s: float, server: ServerView, found: Fault | None) -> SuspicionChange | None:
        held = self._held.get(server.fact.id)
        if found is not None and held is None:
            self._held[server.fact.id] = _Suspicion(found, now_s, now_s)
            return SuspicionChange(server, found)
        if held is None:
            return None
        if found is not None:
            held.trouble, held.last_sign_s = found, now_s
            return None
        if now_s - held.last_sign_s < WELL_AFTER_S:
            return None
        del self._held[server.fact.id]
        return SuspicionChange(server, None, held.last_sign_s - held.since_s)
