"""The timeout for opening a connection to a server, estimated from earlier connections.

A machine that lost power or is partitioned does not reply at all. With a short timeout, another server can still answer
the call in time. The usual time to open a connection depends on the deployment (zones, regions) and on the load of this
process, so the timeout is a multiple of that time and not a constant.
"""

from __future__ import annotations

import attrs

MAX_CONNECT_TIMEOUT_S = 0.3  # also the timeout until `MIN_SAMPLES` connections have been opened
MIN_CONNECT_TIMEOUT_S = 0.08  # lower limit of the estimated timeout
TIMEOUT_FACTOR = 8.0  # ratio of the timeout to the mean time
GAIN = 0.1  # smoothing factor per connection
MIN_SAMPLES = 8  # connections opened before the estimate is used


@attrs.define
class ConnectTimeoutEstimator:
    """Estimates the mean time to open a connection and derives the timeout."""

    _mean_s: float = 0.0
    _count: int = 0

    def record_connected(self, seconds: float) -> None:
        """Record how long opening a connection took."""
        self._count += 1
        gain = max(GAIN, 1.0 / self._count)
        self._mean_s += gain * (seconds - self._mean_s)

    def record_timeout(self, limit_s: float) -> None:
        """Record that opening a connection timed out, and increase the estimate.

        Without this, a timeout that is too short after the process or the network became slow would fail all
        further connections.
        """
        self._mean_s += GAIN * max(0.0, limit_s - self._mean_s)

    def timeout_s(self, max_s: float = MAX_CONNECT_TIMEOUT_S) -> float:
        """Return the timeout for the next connection in seconds, at most `max_s`."""
        if self._count < MIN_SAMPLES:
            return max_s
        return min(max_s, max(MIN_CONNECT_TIMEOUT_S, TIMEOUT_FACTOR * self._mean_s))
