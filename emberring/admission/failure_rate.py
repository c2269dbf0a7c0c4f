"""How often a server fails the calls it takes: an exponentially smoothed rate of failures.

An unhealthy server may answer most calls and fail some. A few failures are chance, and some calls fail on any server;
the rate above that is a cost in the ranking, so the server gets fewer calls and still some, which show its recovery.
"""

from __future__ import annotations

import math

import attrs

GAIN = 0.1  # smoothing, of each finished call
DECAY_S = 4.0  # time constant by which the rate decays without calls
TOLERATED_RATE = 0.15  # a rate that chance explains
FAILURE_COST_MS = 2000.0  # cost of a failed call, as a delay of the first event


@attrs.define
class FailureRate:
    """The rate of failures among one server's latest finished calls."""

    _rate: float = 0.0
    _at_s: float = -math.inf

    def record(self, now_s: float, failed: bool) -> None:
        """Record a call that ended at the server."""
        self._rate = self.rate(now_s)
        self._rate += GAIN * (float(failed) - self._rate)
        self._at_s = now_s

    def rate(self, now_s: float) -> float:
        """Return the rate of failures, from 0 to 1."""
        return self._rate * math.exp((self._at_s - now_s) / DECAY_S) if self._rate else 0.0

    def cost_ms(self, now_s: float) -> float:
        """Return the cost, in milliseconds of delay, that the ranking adds for a call to the server."""
        return FAILURE_COST_MS * max(0.0, self.rate(now_s) - TOLERATED_RATE)
