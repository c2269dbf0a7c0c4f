"""Retry budget, latency quantile for hedges, and backoff. Part of the decision module.

Sources: the retry budget of Twitter's Finagle (a share of the requests in a window, and a floor) and Envoy's
`retry_budget` (share and floor); "full jitter" is from Brooker, "Exponential Backoff And Jitter".
"""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass
from enum import Enum
from random import Random

WINDOW_SLICES = 10  # resolution of a budget's window
QUANTILE_SAMPLES = 128  # latest latencies from which a quantile is computed
MIN_QUANTILE_SAMPLES = 20  # with fewer, no quantile is computed
RECOMPUTE_EVERY_SAMPLES = 16


class ExtraAttempt(Enum):
    """Kinds of attempts that are charged to a retry budget."""

    RETRY = "retry"  # after a failed attempt
    HEDGE = "hedge"  # in parallel with a pending attempt
    REPEAT = "repeat"  # first attempt of a request that is itself a retry by the caller


@dataclass(slots=True)
class _Slice:
    number: float
    first: float = 0.0  # first attempts
    spent: float = 0.0  # retries and hedges


class RetryBudget:
    """Limits retries and hedges in a sliding window to a share of its first attempts plus a floor."""

    def __init__(self, share: float, floor_per_s: float, window_ms: float) -> None:
        self.share = share
        self.floor = floor_per_s * window_ms / 1000.0  # attempts per window
        self._slice_ms = window_ms / WINDOW_SLICES
        self._slices: deque[_Slice] = deque()
        self._first_attempts = self._spent = 0.0
        # Totals by class and by "first", the kind of extra attempt, or "denied" and that kind.
        self.counts: Counter[tuple[str, str]] = Counter()

    def note_first_attempt(self, now_ms: float, service: str) -> None:
        """Count a first attempt."""
        self._current_slice(now_ms).first += 1
        self._first_attempts += 1
        self.counts[service, "first"] += 1

    def withdraw(self, now_ms: float, service: str, kind: ExtraAttempt) -> bool:
        """Charge one extra attempt; returns False if the budget does not allow it."""
        current = self._current_slice(now_ms)
        if self._spent + 1.0 > self.floor + self.share * self._first_attempts:
            self.counts[service, f"denied {kind.value}"] += 1
            return False
        current.spent += 1
        self._spent += 1
        self.counts[service, kind.value] += 1
        return True

    def refund(self, now_ms: float, service: str, kind: ExtraAttempt) -> None:
        """Undo the charge for an attempt that could not be sent."""
        current = self._current_slice(now_ms)
        if self._spent >= 1.0 and current.spent >= 1.0:
            current.spent -= 1
            self._spent -= 1
        self.counts[service, kind.value] -= 1

    def left(self, now_ms: float) -> float:
        """Return how many extra attempts are allowed now."""
        self._current_slice(now_ms)
        return max(0.0, self.floor + self.share * self._first_attempts - self._spent)

    def _current_slice(self, now_ms: float) -> _Slice:
        """Return the current slice, after dropping the slices that have left the window."""
        number = now_ms // self._slice_ms
        while self._slices and self._slices[0].number <= number - WINDOW_SLICES:
            expired = self._slices.popleft()
            self._first_attempts -= expired.first
            self._spent -= expired.spent
        if not self._slices or self._slices[-1].number < number:
            self._slices.append(_Slice(number))
        return self._slices[-1]


class Quantile:
    """A quantile of the latest latencies of a class; `value` is None until there are enough samples."""

    def __init__(self, share: float) -> None:
        self.value: float | None = None
        self._share = share
        self._samples: deque[float] = deque(maxlen=QUANTILE_SAMPLES)
        self._samples_since = 0  # samples since the last computation

    def add(self, latency_ms: float) -> None:
        """Add a latency."""
        self._samples.append(latency_ms)
        self._samples_since += 1
        if len(self._samples) < MIN_QUANTILE_SAMPLES:
            return
        if self.value is None or self._samples_since >= RECOMPUTE_EVERY_SAMPLES:
            self._samples_since = 0
            latencies = sorted(self._samples)
            self.value = latencies[min(len(latencies) - 1, int(self._share * len(latencies)))]


def backoff_ms(rng: Random, attempts: int, base_ms: float, limit_ms: float) -> float:
    """Return a backoff with full jitter: uniform from 0 to a limit that doubles with each attempt."""
    return rng.uniform(0.0, min(limit_ms, base_ms * 2.0 ** max(0, attempts - 1)))
