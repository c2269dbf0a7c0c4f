"""Estimates how long callers of a class wait that state no deadline, from the times at which they disconnect.

Source: Kaplan and Meier, "Nonparametric Estimation from Incomplete Observations" (1958). A caller that disconnects is
an observation of its patience; a caller that gets its response first is a censored one: it would have waited longer.
Where too few callers have disconnected, the deadlines that other callers state are used instead.
"""

from __future__ import annotations

from collections import deque

MAX_OBSERVATIONS = 512  # latest observations kept for a class
MIN_OBSERVATIONS = 8  # callers that disconnected, or that stated a deadline, needed for an estimate
REMAINING_SHARE = 0.1  # share of callers still waiting at the estimated time
MARGIN = 1.05  # factor on the estimate
UPDATE_INTERVAL = 8  # observations between two updates of the estimate


class CallerTimeout:
    """The callers of one class. Times are milliseconds since the last byte of a request arrived."""

    def __init__(self) -> None:
        # Of each caller: the time waited, and whether it disconnected then.
        self._observed: deque[tuple[float, bool]] = deque(maxlen=MAX_OBSERVATIONS)
        self._stated: deque[float] = deque(maxlen=MAX_OBSERVATIONS)
        self._disconnects = 0  # disconnects in `_observed`
        self._estimate: float | None = None
        self._since_update = 0

    def record_disconnect(self, waited_ms: float) -> None:
        """A caller without a stated deadline has disconnected."""
        self._add(waited_ms, True)

    def record_response(self, waited_ms: float) -> None:
        """A caller without a stated deadline has got its response."""
        self._add(waited_ms, False)

    def stated(self, ms: float) -> None:
        """A caller has stated how long it waits."""
        self._stated.append(ms)
        self._count()

    def _add(self, waited_ms: float, left: bool) -> None:
        if len(self._observed) == MAX_OBSERVATIONS:
            self._disconnects -= self._observed[0][1]
        self._observed.append((waited_ms, left))
        self._disconnects += left
        self._count()

    def _count(self) -> None:
        self._since_update += 1
        if self._since_update >= UPDATE_INTERVAL:
            self._since_update = 0
            self._estimate = self._new_estimate()

    @property
    def ms(self) -> float | None:
        """The time by which most callers would have disconnected; None while there are too few observations."""
        return self._estimate

    def _new_estimate(self) -> float | None:
        if self._disconnects >= MIN_OBSERVATIONS:
            remaining, at_risk = 1.0, len(self._observed)
            for waited, left in sorted(self._observed):
                if left:
                    remaining *= 1.0 - 1.0 / at_risk
                    if remaining <= REMAINING_SHARE:
                        return waited * MARGIN
                at_risk -= 1
            # More than REMAINING_SHARE of the callers got a response or wait longer than any that disconnected.
            return None
        if len(self._stated) >= MIN_OBSERVATIONS:
            return sorted(self._stated)[int((1.0 - REMAINING_SHARE) * (len(self._stated) - 1))] * MARGIN
        return None
