"""The event loop's turns: since when what is handled now may have waited, and how late the loop is.

A loop polls, handles all that was ready, and polls again. What a poll reports came after the poll before it, which
did not report it; what ended a wait came at its end. That parts a node's own time from a server's with two time stamps
a turn and nothing for each request.
"""

from __future__ import annotations

from collections import deque
from statistics import quantiles

WAITED_S = 50e-6  # a poll that took longer has waited for what it reports
OVERSLEPT_S = 0.002  # beyond its time-out: the core was away
KEPT_TURNS = 2048  # latest turns from which lags are computed
RISE, FALL = 0.5, 0.1  # how fast the smoothed turn follows a longer and a shorter one


class Turns:
    """Statistics of the loop's polls, in its seconds. Without any poll, no time counts as the process's own."""

    def __init__(self) -> None:
        self.told = False
        self.polled = 0.0  # when the last poll ended
        self.turn_s = 0.0  # smoothed length of a turn
        self.busy_s = 0.0  # in all, between polls
        self.away_s = 0.0  # in all, asleep beyond what was asked for
        self._came = 0.0
        self._latest: deque[float] = deque(maxlen=KEPT_TURNS)

    def poll(self, began: float, ended: float, timeout: float | None, found: int) -> None:
        """Count a poll: when it began and ended, its time-out (None: without end), how many events it found."""
        if not self.told:
            self.told, self.polled = True, began
        busy, waited = max(0.0, began - self.polled), ended - began
        over = 0.0 if timeout is None else max(0.0, waited - max(0.0, timeout))
        away = over if over > OVERSLEPT_S else 0.0
        if away:
            # A core that was taken away while the loop slept made every answer look as late as its return.
            # What it found may have been there when the sleep began, or come at any time since.
            self._came = self.polled
        elif waited > WAITED_S:
            self._came = ended
        else:
            self._came = self.polled
        self.polled = ended
        self.busy_s += busy
        self.away_s += away
        self.turn_s += (RISE if busy > self.turn_s else FALL) * (busy - self.turn_s)
        if found or away:
            self._latest.append(busy + away)

    def so_far(self, now: float) -> float:
        """Return a turn's length, or this one's if it is longer already."""
        return max(self.turn_s, now - self.polled) if self.told else 0.0

    @property
    def spent_s(self) -> float:
        """In all, what the process or the machine took, and no server."""
        return self.busy_s + self.away_s

    def came(self, now: float) -> float:
        """Return the earliest time at which what is handled now can have come."""
        return min(self._came, now) if self.told else now

    def lag(self, now: float) -> float:
        """Return for how long what has come may not have been read: this turn so far, and the wait before it."""
        return max(0.0, now - self._came) if self.told else 0.0

    def lags_ms(self) -> tuple[float, float]:
        """Return median and 99th percentile of the latest turns that had something to do."""
        if len(self._latest) < 2:
            return 0.0, 0.0
        cut = quantiles(self._latest, n=100)
        return cut[49] * 1000.0, cut[98] * 1000.0
