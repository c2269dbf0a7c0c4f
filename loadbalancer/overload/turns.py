"""Timing of the event loop's turns: when the events that are handled now can have arrived, and how late the loop is.

In each turn, the loop polls and then handles all events that are ready. An event arrived after the previous poll, which
did not report it; if the poll had to wait, the event arrived when the wait ended. This separates a node's own time from
its servers' with two time stamps for each turn and none for each request.
"""

from __future__ import annotations

from collections import deque
from statistics import quantiles

BLOCKING_POLL_S = 50e-6  # a poll that took longer has waited for the events that it reports
OVERSLEEP_S = 0.002  # a poll that exceeds its timeout by more shows that the CPU core was not available
LAG_SAMPLES = 2048  # latest turns from which lag percentiles are computed
RISE_GAIN, FALL_GAIN = 0.5, 0.1  # smoothing factors for a turn longer and shorter than the smoothed length


class Turns:
    """Statistics of the event loop's polls, in loop time. Before the first poll, no time counts as the process's own.

    Attributes:
    ----------
    has_polls: whether any poll has been recorded; until then no time is attributed to the process.
    poll_ended_s: when the last poll ended.
    turn_s: smoothed length of a turn.
    busy_s: total time between polls.
    unavailable_s: total time that polls took beyond their timeouts, as the CPU core was not available.
    """

    def __init__(self) -> None:
        self.has_polls = False
        self.poll_ended_s = 0.0
        self.turn_s = 0.0
        self.busy_s = 0.0
        self.unavailable_s = 0.0
        self._earliest_arrival_s = 0.0
        self._latest_lags_s: deque[float] = deque(maxlen=LAG_SAMPLES)

    def poll(self, began: float, ended: float, timeout: float | None, found: int) -> None:
        """Record when a poll began and ended, its timeout (None: unlimited) and the number of events that it found."""
        if not self.has_polls:
            self.has_polls, self.poll_ended_s = True, began
        busy_s, waited_s = max(0.0, began - self.poll_ended_s), ended - began
        excess_s = 0.0 if timeout is None else max(0.0, waited_s - max(0.0, timeout))
        unavailable_s = excess_s if excess_s > OVERSLEEP_S else 0.0
        if unavailable_s:
            # Guard: if the core was unavailable while the loop slept, every response would seem to arrive only at the
            # end of the poll. The events can have arrived at any time since the previous poll.
            self._earliest_arrival_s = self.poll_ended_s
        elif waited_s > BLOCKING_POLL_S:
            self._earliest_arrival_s = ended
        else:
            self._earliest_arrival_s = self.poll_ended_s
        self.poll_ended_s = ended
        self.busy_s += busy_s
        self.unavailable_s += unavailable_s
        self.turn_s += (RISE_GAIN if busy_s > self.turn_s else FALL_GAIN) * (busy_s - self.turn_s)
        if found or unavailable_s:
            self._latest_lags_s.append(busy_s + unavailable_s)

    def turn_length(self, now: float) -> float:
        """Return the smoothed length of a turn, or that of the current turn so far if it is longer."""
        return max(self.turn_s, now - self.poll_ended_s) if self.has_polls else 0.0

    @property
    def own_time_s(self) -> float:
        """Total time that this process or its machine took, rather than a server."""
        return self.busy_s + self.unavailable_s

    def came(self, now: float) -> float:
        """Return the earliest time at which the events that are handled now can have arrived."""
        return min(self._earliest_arrival_s, now) if self.has_polls else now

    def lag(self, now: float) -> float:
        """Return how long arrived bytes may have been unread: since the earliest arrival of the current events."""
        return max(0.0, now - self._earliest_arrival_s) if self.has_polls else 0.0

    def lags_ms(self) -> tuple[float, float]:
        """Return the median and 99th percentile of the lags of the latest turns that handled events, in ms."""
        if len(self._latest_lags_s) < 2:
            return 0.0, 0.0
        percentiles = quantiles(self._latest_lags_s, n=100)
        return percentiles[49] * 1000.0, percentiles[98] * 1000.0
