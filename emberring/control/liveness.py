"""Decides whether missed messages of other nodes count as failures, and how long writers' entries are retained."""

from __future__ import annotations

from collections.abc import Iterable

from emberring.distribution.status_table import StatusTable

MAX_TICK_GAP_S = 1.0  # a longer interval between two ticks means that this node was frozen
GRACE_S = 1.0  # after a freeze no contact times out for this long
FORGET_WRITER_S = 60.0  # retention of the entries about nodes of a writer that has ended


class LivenessTracker:
    """Detects freezes of this node, and tracks since when it has run in contact with the others.

    Times are seconds of the monotonic clock.

    Attributes: `frozen` is whether this node was frozen before the last tick, `in_grace` whether the
    grace period after a freeze is running, in which no contact times out.
    """

    def __init__(self, now_s: float) -> None:
        self.frozen = False
        self.in_grace = False
        self._last_tick_s = now_s
        self._stable_since_s = now_s
        self._grace_until_s = now_s

    def tick(self, now_s: float) -> None:
        """Record that this node is running, and detect a freeze before."""
        gap_s, self._last_tick_s = now_s - self._last_tick_s, now_s
        self.frozen = gap_s > MAX_TICK_GAP_S
        if self.frozen:
            self._grace_until_s = now_s + GRACE_S
        self.in_grace = now_s < self._grace_until_s

    def update_trust(self, now_s: float, in_contact: bool) -> bool:
        """Whether missed heartbeats count as failures now; `in_contact`: a quorum and another control node respond."""
        trusted = in_contact and not self.frozen
        if not trusted:
            self._stable_since_s = now_s
        return trusted

    def stable_for_s(self, now_s: float) -> float:
        """For how long (s) this node has run without a freeze, in contact with a quorum and another control node."""
        return now_s - self._stable_since_s


class WriterRetention:
    """Drops the entries of writers that ended `FORGET_WRITER_S` ago from a status table."""

    def __init__(self, status_table: StatusTable) -> None:
        self._status_table = status_table
        self._last_live_s: dict[str, float] = {}

    def refresh(self, now_s: float, live_writers: Iterable[str]) -> None:
        """Record which writers are live now, and drop the entries of those that ended `FORGET_WRITER_S` ago."""
        for writer in live_writers:
            self._last_live_s[writer] = now_s
        for writer in list(self._status_table.vector):
            last_live_s = self._last_live_s.setdefault(writer, now_s)
            if now_s - last_live_s > FORGET_WRITER_S:
                self._status_table.forget_writer(writer)
                del self._last_live_s[writer]
