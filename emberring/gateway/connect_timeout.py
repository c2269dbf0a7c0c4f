"""How long a connection to a server may take to come up, learned from those that came up.

A machine that has lost its power, or is cut off, says nothing: a call that waits for a connection there can still be
answered in time by another server if it is told soon. What is usual here differs by deployment (zones, regions) and
by how busy this process is, so the limit is a multiple of that and not a figure of its own.
"""

from __future__ import annotations

import attrs

MAX_CONNECT_TIMEOUT_S = 0.3  # and until enough connections have come up
MIN_CONNECT_TIMEOUT_S = 0.08
TIMEOUT_FACTOR = 8.0
GAIN = 0.1  # of each connection in what is usual
MIN_SAMPLES = 8  # connections that came up


@attrs.define
class ConnectTimeoutEstimator:
    """The time within which a connection must be up (seconds)."""

    _mean_s: float = 0.0
    _count: int = 0

    def record_connected(self, seconds: float) -> None:
        """A connection came up after so long."""
        self._count += 1
        gain = max(GAIN, 1.0 / self._count)
        self._mean_s += gain * (seconds - self._mean_s)

    def record_timeout(self, limit_s: float) -> None:
        """None came up within this limit. Guard: a limit that had become too short, as this process or the way turned
        slow, would fail all connections for good; each one that is given up lengthens it."""
        self._mean_s += GAIN * max(0.0, limit_s - self._mean_s)

    def timeout_s(self, max_s: float = MAX_CONNECT_TIMEOUT_S) -> float:
        """How long the next one is waited for, at most `max_s`."""
        if self._count < MIN_SAMPLES:
            return max_s
        return min(max_s, max(MIN_CONNECT_TIMEOUT_S, TIMEOUT_FACTOR * self._mean_s))
