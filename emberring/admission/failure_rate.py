"""The failure rate of a server, exponentially smoothed.

An unhealthy server may answer most calls and fail some. Some calls fail on any server, so a tolerated rate costs
nothing. The rate above it is a cost in the ranking: the server gets fewer calls, but enough to observe its recovery.
"""

from __future__ import annotations

import math

import attrs

GAIN = 0.1  # smoothing factor per finished call
DECAY_S = 4.0  # time constant of the decay of the rate without calls
TOLERATED_RATE = 0.15  # failure rate without a cost
FAILURE_COST_MS = 2000.0  # cost of a failed call in the ranking


@attrs.define
class FailureRate:
    """The smoothed failure rate of one server's finished calls."""

    _rate: float = 0.0
    _updated_s: float = -math.inf

    def record(self, now_s: float, failed: bool) -> None:
        """Record a finished call."""
        self._rate = self.rate(now_s)
        self._rate += GAIN * (float(failed) - self._rate)
        self._updated_s = now_s

    def rate(self, now_s: float) -> float:
        """Return the failure rate, from 0 to 1."""
        return self._rate * math.exp((self._updated_s - now_s) / DECAY_S) if self._rate else 0.0

    def cost_ms(self, now_s: float) -> float:
        """Return the cost in the ranking, in milliseconds of delay of the first event."""
        return FAILURE_COST_MS * max(0.0, self.rate(now_s) - TOLERATED_RATE)
