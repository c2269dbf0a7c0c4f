"""How often a server fails what it takes: a smoothed share of bad ends that time forgets.

A server in trouble may answer most calls and fail some. A few failures are chance, and some calls fail wherever they
run; what lies above that is priced in the ranking, so the server gets fewer calls and still gets some, by which its
recovery shows.
"""

from __future__ import annotations

import math

import attrs

GAIN = 0.1  # of each end
DECAY_S = 4.0  # a server that gets nothing drifts back at this pace
TOLERATED_RATE = 0.15  # a share that says nothing
FAILURE_COST_MS = 2000.0  # what a failed call costs, as a delay of the first event


@attrs.define
class FailureRate:
    """The share of one server's latest ends that were failures."""

    _rate: float = 0.0
    _at_s: float = -math.inf

    def record(self, now_s: float, failed: bool) -> None:
        """A call ended there."""
        self._rate = self.rate(now_s)
        self._rate += GAIN * (float(failed) - self._rate)
        self._at_s = now_s

    def rate(self, now_s: float) -> float:
        """Failures of all ends, from 0 to 1."""
        return self._rate * math.exp((self._at_s - now_s) / DECAY_S) if self._rate else 0.0

    def cost_ms(self, now_s: float) -> float:
        """What the ranking adds for a call there."""
        return FAILURE_COST_MS * max(0.0, self.rate(now_s) - TOLERATED_RATE)
