"""What a pool may spend on attempts beyond the first ones; part of the decision module.

Sources: the retry budget of Twitter's Finagle ("Retry budgets": a share of the requests of a window and a
floor), and Envoy's `retry_budget` (share and floor); "full jitter" is from Brooker, "Exponential Backoff And
Jitter".
"""

from __future__ import annotations

from collections import Counter, deque
from enum import Enum
from random import Random

SLICES = 10  # of a window
HELD = 128  # latest latencies of a class by which a quantile is told
LEAST = 20  # of them, under which none is
EVERY = 16  # latencies after which it is told anew


class Spent(Enum):
    """What an attempt beyond the first is."""

    RETRY = "retry"  # after an attempt that failed
    HEDGE = "hedge"  # beside one that is out
    REPEAT = "repeat"  # the first attempt of a request that its caller asks again


class RetryBudget:
    """Attempts beyond first ones in any trailing window: at most a share of its first tries, and a floor."""

    def __init__(self, share: float, floor_per_s: float, window_ms: float) -> None:
        self.share = share
        self.floor = floor_per_s * window_ms / 1000.0
        self._slice_ms = window_ms / SLICES
        self._slices: deque[list[float]] = deque()  # [number of the slice, first tries, spent]
        self._first = self._spent = 0.0
        self.counts: Counter[tuple[str, str]] = (
            Counter()
        )  # since the start, by class: first, what was spent, denied

    def first(self, now_ms: float, service: str) -> None:
        """A first try has been sent."""
        self._at(now_ms)[1] += 1
        self._first += 1
        self.counts[service, "first"] += 1

    def take(self, now_ms: float, service: str, what: Spent) -> bool:
        """Whether one more attempt may go out; it then counts."""
        here = self._at(now_ms)
        if self._spent + 1.0 > self.floor + self.share * self._first:
            self.counts[service, f"denied {what.value}"] += 1
            return False
        here[2] += 1
        self._spent += 1
        self.counts[service, what.value] += 1
        return True

    def give_back(self, now_ms: float, service: str, what: Spent) -> None:
        """What was taken has not been sent after all."""
        here = self._at(now_ms)
        if self._spent >= 1.0 and here[2] >= 1.0:
            here[2] -= 1
            self._spent -= 1
        self.counts[service, what.value] -= 1

    def left(self, now_ms: float) -> float:
        """Attempts that may go out now."""
        self._at(now_ms)
        return max(0.0, self.floor + self.share * self._first - self._spent)

    def _at(self, now_ms: float) -> list[float]:
        """The slice that is now, with those that have left the window forgotten."""
        number = now_ms // self._slice_ms
        while self._slices and self._slices[0][0] <= number - SLICES:
            _, first, spent = self._slices.popleft()
            self._first -= first
            self._spent -= spent
        if not self._slices or self._slices[-1][0] < number:
            self._slices.append([number, 0.0, 0.0])
        return self._slices[-1]


class Quantile:
    """The latency that a share of a class's latest answers kept within; None until enough are known."""

    def __init__(self, share: float) -> None:
        self._share = share
        self._latest: deque[float] = deque(maxlen=HELD)
        self._since = 0
        self.value: float | None = None

    def add(self, latency_ms: float) -> None:
        self._latest.append(latency_ms)
        self._since += 1
        if len(self._latest) >= LEAST and (self.value is None or self._since >= EVERY):
            self._since = 0
            held = sorted(self._latest)
            self.value = held[min(len(held) - 1, int(self._share * len(held)))]


def backoff_ms(rng: Random, tries: int, base_ms: float, most_ms: float) -> float:
    """Full jitter: drawn evenly from 0 to a ceiling that doubles with each try that has been made."""
    return rng.uniform(0.0, min(most_ms, base_ms * 2.0 ** max(0, tries - 1)))
