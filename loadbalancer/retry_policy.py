"""Retry budget, latency quantile for hedges, and backoff; part of the decision module.

Sources: the retry budget of Twitter's Finagle ("Retry budgets": a share of the requests of a window and a
floor), and Envoy's `retry_budget` (share and floor); "full jitter" is from Brooker, "Exponential Backoff And
Jitter".
"""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass
from enum import Enum
from random import Random

SLICES = 10  # of a budget's window
KEPT_LATENCIES = 128  # latest latencies of a class by which a quantile is computed
MIN_LATENCIES = 20  # of them, under which none is
RECOMPUTE_EVERY = 16  # latencies after which it is computed again


class Spent(Enum):
    """What an attempt beyond the first is."""

    RETRY = "retry"  # after an attempt that failed
    HEDGE = "hedge"  # beside one that is pending
    REPEAT = "repeat"  # the first attempt of a request that its caller retries


@dataclass(slots=True)
class _Slice:
    number: float
    first: float = 0.0  # first attempts
    spent: float = 0.0  # attempts beyond them


class RetryBudget:
    """Attempts beyond first ones in any trailing window: a share of its first attempts, and a floor."""

    def __init__(self, share: float, floor_per_s: float, window_ms: float) -> None:
        self.share = share
        self.floor = floor_per_s * window_ms / 1000.0  # attempts in a window
        self._slice_ms = window_ms / SLICES
        self._slices: deque[_Slice] = deque()
        self._first = self._spent = 0.0
        # Since the start, by class: first, what was spent, denied.
        self.counts: Counter[tuple[str, str]] = Counter()

    def first(self, now_ms: float, service: str) -> None:
        """Count a first attempt that has been sent."""
        self._at(now_ms).first += 1
        self._first += 1
        self.counts[service, "first"] += 1

    def take(self, now_ms: float, service: str, what: Spent) -> bool:
        """Whether one more attempt may go out; it then counts."""
        current = self._at(now_ms)
        if self._spent + 1.0 > self.floor + self.share * self._first:
            self.counts[service, f"denied {what.value}"] += 1
            return False
        current.spent += 1
        self._spent += 1
        self.counts[service, what.value] += 1
        return True

    def give_back(self, now_ms: float, service: str, what: Spent) -> None:
        """Return what was taken for an attempt that has not been sent after all."""
        current = self._at(now_ms)
        if self._spent >= 1.0 and current.spent >= 1.0:
            current.spent -= 1
            self._spent -= 1
        self.counts[service, what.value] -= 1

    def left(self, now_ms: float) -> float:
        """Return how many attempts may go out now."""
        self._at(now_ms)
        return max(0.0, self.floor + self.share * self._first - self._spent)

    def _at(self, now_ms: float) -> _Slice:
        """Return the slice of now; those that have left the window are dropped."""
        number = now_ms // self._slice_ms
        while self._slices and self._slices[0].number <= number - SLICES:
            gone = self._slices.popleft()
            self._first -= gone.first
            self._spent -= gone.spent
        if not self._slices or self._slices[-1].number < number:
            self._slices.append(_Slice(number))
        return self._slices[-1]


class Quantile:
    """The latency that a share of a class's latest answers kept within; None until enough are known."""

    def __init__(self, share: float) -> None:
        self.value: float | None = None
        self._share = share
        self._latest: deque[float] = deque(maxlen=KEPT_LATENCIES)
        self._since = 0  # latencies since it was computed

    def add(self, latency_ms: float) -> None:
        """Count an answer's latency."""
        self._latest.append(latency_ms)
        self._since += 1
        if len(self._latest) < MIN_LATENCIES:
            return
        if self.value is None or self._since >= RECOMPUTE_EVERY:
            self._since = 0
            latencies = sorted(self._latest)
            self.value = latencies[min(len(latencies) - 1, int(self._share * len(latencies)))]


def backoff_ms(rng: Random, attempts: int, base_ms: float, limit_ms: float) -> float:
    """Return a wait by full jitter: drawn evenly from 0 to a limit that doubles with each attempt made."""
    return rng.uniform(0.0, min(limit_ms, base_ms * 2.0 ** max(0, attempts - 1)))
