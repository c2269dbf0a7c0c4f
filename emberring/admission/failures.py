"""How often a server fails what it takes: a smoothed share of bad ends that time forgets.

A server in trouble may answer most calls and fail some. A few failures are chance, and some calls fail wherever they
run; what lies above that is priced in the ranking, so the server gets fewer calls and still gets some, by which its
recovery shows.
"""

from __future__ import annotations

import math

import attrs

GAIN = 0.1  # of each end
FORGET_S = 4.0  # a server that gets nothing drifts back at this pace
CHANCE = 0.15  # a share that says nothing
FAILURE_MS = 2000.0  # what a failed call costs, as a delay of the first event


@attrs.define
class FailureShare:
    """The share of one server's latest ends that were failures."""

    _share: float = 0.0
    _at_s: float = -math.inf

    def end(self, now_s: float, failed: bool) -> None:
        """A call ended there."""
        self._share = self.share(now_s)
        self._share += GAIN * (float(failed) - self._share)
        self._at_s = now_s

    def share(self, now_s: float) -> float:
        """Failures of all ends, from 0 to 1."""
        return self._share * math.exp((self._at_s - now_s) / FORGET_S) if self._share else 0.0

    def cost_ms(self, now_s: float) -> float:
        """What the ranking adds for a call there."""
        return FAILURE_MS * max(0.0, self.share(now_s) - CHANCE)
