"""The time-out for opening a connection to a server, learned from connections that were opened.

A machine that lost power, or that is partitioned, sends nothing: a call that waits for a connection there can still be
answered in time by another server if the time-out is short. What is usual differs by deployment (zones, regions) and by
how busy this process is, so the time-out is a multiple of the usual time and not a fixed figure.
"""

from __future__ import annotations

import attrs

MAX_CONNECT_TIMEOUT_S = 0.3  # also used until `MIN_SAMPLES` connections were opened
MIN_CONNECT_TIMEOUT_S = 0.08  # shortest time-out
TIMEOUT_FACTOR = 8.0  # time-out over the usual time
GAIN = 0.1  # smoothing, of each connection
MIN_SAMPLES = 8  # opened connections before the estimate is used


@attrs.define
class ConnectTimeoutEstimator:
    """An estimate of the usual time to open a connection, and the time-out that follows from it."""

    _mean_s: float = 0.0
    _count: int = 0

    def record_connected(self, seconds: float) -> None:
        """Record that a connection was opened in this time."""
        self._count += 1
        gain = max(GAIN, 1.0 / self._count)
        self._mean_s += gain * (seconds - self._mean_s)

    def record_timeout(self, limit_s: float) -> None:
        """Record that no connection was opened within this time-out, and lengthen the estimate.

        Otherwise a time-out that had become too short, as this process or the network turned slow, would fail all
        connections from then on.
        """
        self._mean_s += GAIN * max(0.0, limit_s - self._mean_s)

    def timeout_s(self, max_s: float = MAX_CONNECT_TIMEOUT_S) -> float:
        """Return the time-out for the next connection in seconds, at most `max_s`."""
        if self._count < MIN_SAMPLES:
            return max_s
        return min(max_s, max(MIN_CONNECT_TIMEOUT_S, TIMEOUT_FACTOR * self._mean_s))
