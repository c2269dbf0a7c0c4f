"""How long the callers of a class wait who do not say so, from when they were seen to leave.

Source: Kaplan and Meier, "Nonparametric Estimation from Incomplete Observations" (1958): a caller that left says how
long it waited, one that was answered before says that it would have waited longer. Callers that state their time say
it without any failure, and count where too few have left.
"""

from __future__ import annotations

from collections import deque

OBSERVED = 512  # latest observations of a class
LEAST = 8  # callers that left, or that stated their time, under which nothing is told
STAY = 0.1  # share of callers that are still there at the time that is told
MARGIN = 1.05  # times it
EVERY = 8  # observations after which it is told anew


class Patience:
    """One class's callers. Times are milliseconds from a request's last byte."""

    def __init__(self) -> None:
        self._seen: deque[tuple[float, bool]] = deque(maxlen=OBSERVED)  # waited, whether it left then
        self._stated: deque[float] = deque(maxlen=OBSERVED)
        self._leaves = 0  # among those seen
        self._told: float | None = None
        self._since = 0

    def left(self, waited_ms: float) -> None:
        """A caller that had not said how long it would wait has closed its connection."""
        self._add(waited_ms, True)

    def answered(self, waited_ms: float) -> None:
        """Such a caller has had its answer."""
        self._add(waited_ms, False)

    def stated(self, ms: float) -> None:
        """A caller has said how long it waits."""
        self._stated.append(ms)
        self._count()

    def _add(self, waited_ms: float, left: bool) -> None:
        if len(self._seen) == OBSERVED:
            self._leaves -= self._seen[0][1]
        self._seen.append((waited_ms, left))
        self._leaves += left
        self._count()

    def _count(self) -> None:
        self._since += 1
        if self._since >= EVERY:
            self._since = 0
            self._told = self._learn()

    @property
    def ms(self) -> float | None:
        """The time by which all but few callers would have left; None while too little is known."""
        return self._told

    def _learn(self) -> float | None:
        if self._leaves >= LEAST:
            staying, at_risk = 1.0, len(self._seen)
            for waited, left in sorted(self._seen):
                if left:
                    staying *= 1.0 - 1.0 / at_risk
                    if staying <= STAY:
                        return waited * MARGIN
                at_risk -= 1
            # More than that share was answered, or would have stayed longer than any that left.
            return None
        if len(self._stated) >= LEAST:
            return sorted(self._stated)[int((1.0 - STAY) * (len(self._stated) - 1))] * MARGIN
        return None
