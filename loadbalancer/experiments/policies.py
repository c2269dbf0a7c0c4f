"""Policies for comparison: small implementations, written for this project, of published ideas that are cited below.

A picker chooses the server; a limit decides whether a call is admitted. Both use only what a balancer can observe:
which calls it sent, their results and their times. Times are ms.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence

from loadbalancer.experiments.servers import Server

Draw = Callable[[], float]


class Random:
    """A uniformly random server; the base class of the other pickers."""

    def __init__(self, draw: Draw, servers: Sequence[Server]) -> None:
        self.draw = draw

    def pick(self, now: float, in_flight: Sequence[int], candidates: Sequence[int]) -> int:
        """Choose one of `candidates` (never empty); `in_flight`: this node's calls at each server."""
        return candidates[int(self.draw() * len(candidates))]

    def on_end(self, now: float, server: int, latency_ms: float, succeeded: bool) -> None:
        return


class RoundRobin(Random):
    """In turn, from a random start, so that nodes do not run in lockstep."""

    def __init__(self, draw: Draw, servers: Sequence[Server]) -> None:
        super().__init__(draw, servers)
        self.position = int(draw() * 1_000_000)

    def pick(self, now: float, in_flight: Sequence[int], candidates: Sequence[int]) -> int:
        self.position += 1
        return candidates[self.position % len(candidates)]


class LeastOutstanding(Random):
    """The server with the fewest calls of this node in flight; ties are broken at random."""

    def pick(self, now: float, in_flight: Sequence[int], candidates: Sequence[int]) -> int:
        least = min(in_flight[index] for index in candidates)
        tied = [index for index in candidates if in_flight[index] == least]
        return tied[int(self.draw() * len(tied))] if len(tied) > 1 else tied[0]


class TwoChoices(Random):
    """The server with fewer calls in flight of two random ones (Mitzenmacher 2001, The Power of Two Choices)."""

    def pick(self, now: float, in_flight: Sequence[int], candidates: Sequence[int]) -> int:
        size, draw = len(candidates), self.draw
        first, second = candidates[int(draw() * size)], candidates[int(draw() * size)]
        return second if in_flight[second] < in_flight[first] else first


class PeakEwma(Random):
    """Of two random servers the one with the lower product of smoothed latency and calls in flight; the latency follows
    peaks immediately (as Finagle's documentation describes its Peak EWMA)."""

    DECAY_MS = 10_000.0
    DEFAULT_LATENCY_MS = 1.0

    def __init__(self, draw: Draw, servers: Sequence[Server]) -> None:
        super().__init__(draw, servers)
        self.peak_latency_ms = [0.0] * len(servers)
        self.last_update_ms = [0.0] * len(servers)

    def _cost(self, now: float, index: int, calls: int) -> float:
        latency = self.peak_latency_ms[index] * math.exp((self.last_update_ms[index] - now) / self.DECAY_MS)
        return (latency or self.DEFAULT_LATENCY_MS) * (calls + 1)

    def pick(self, now: float, in_flight: Sequence[int], candidates: Sequence[int]) -> int:
        size, draw = len(candidates), self.draw
        first, second = candidates[int(draw() * size)], candidates[int(draw() * size)]
        return (
            second
            if self._cost(now, second, in_flight[second]) < self._cost(now, first, in_flight[first])
            else first
        )

    def on_end(self, now: float, server: int, latency_ms: float, succeeded: bool) -> None:
        weight = math.exp((self.last_update_ms[server] - now) / self.DECAY_MS)
        latency = self.peak_latency_ms[server]
        self.peak_latency_ms[server] = (
            latency_ms if latency_ms > latency else latency * weight + latency_ms * (1.0 - weight)
        )
        self.last_update_ms[server] = now


class Omniscient(Random):
    """The server at which the call would start first, by the servers' internal state; an upper bound for comparison."""

    def __init__(self, draw: Draw, servers: Sequence[Server]) -> None:
        super().__init__(draw, servers)
        self.servers = servers

    def pick(self, now: float, in_flight: Sequence[int], candidates: Sequence[int]) -> int:
        best, least = candidates[0], math.inf
        for index in candidates:
            server = self.servers[index]
            if not server.up or server.refusing or server.failing:
                continue
            speed = server.factor / server.warmth(now)
            begins = (
                max(now, server.core_free_at[0], server.stalled_until)
                - now
                + speed * (1.0 + 0.01 * self.draw())
            )
            if begins < least:
                best, least = index, begins
        return best


PICKERS: dict[str, type[Random]] = {
    "random": Random,
    "round_robin": RoundRobin,
    "least_outstanding": LeastOutstanding,
    "two_choices": TwoChoices,
    "peak_ewma": PeakEwma,
    "omniscient": Omniscient,
}


class Unlimited:
    """Admits every call."""

    def __init__(self, max_in_flight: float, aim_ms: float) -> None:
        self.max_in_flight, self.aim_ms = max_in_flight, aim_ms

    def admits(self, now: float, in_flight: int, remaining_ms: float) -> bool:
        return True

    def on_end(self, now: float, in_flight: int, latency_ms: float, succeeded: bool) -> None:
        return


class Fixed(Unlimited):
    """A fixed limit of calls in flight."""

    def admits(self, now: float, in_flight: int, remaining_ms: float) -> bool:
        return in_flight < self.max_in_flight


class Aimd(Fixed):
    """Raises the limit by one for each window of timely answers and cuts it by a tenth, at most once a window, after a
    late or failed one (additive increase, multiplicative decrease; Chiu and Jain 1989)."""

    BACKOFF = 0.9

    def __init__(self, max_in_flight: float, aim_ms: float) -> None:
        super().__init__(max_in_flight, aim_ms)
        self._next_decrease_ms = 0.0

    def on_end(self, now: float, in_flight: int, latency_ms: float, succeeded: bool) -> None:
        if succeeded and latency_ms <= self.aim_ms:
            if in_flight * 2 >= self.max_in_flight:
                self.max_in_flight += 1.0 / self.max_in_flight
        elif now >= self._next_decrease_ms:
            self.max_in_flight = max(1.0, self.max_in_flight * self.BACKOFF)
            self._next_decrease_ms = now + latency_ms


class Gradient(Fixed):
    """Scales the limit by the ratio of long-term to recent latency and adds its square root as headroom (as published
    descriptions of gradient concurrency limits have it)."""

    SHORT, LONG, TOLERANCE = 0.1, 0.002, 1.5

    def __init__(self, max_in_flight: float, aim_ms: float) -> None:
        super().__init__(max_in_flight, aim_ms)
        self.short_latency_ms = self.long_latency_ms = 0.0

    def on_end(self, now: float, in_flight: int, latency_ms: float, succeeded: bool) -> None:
        self.short_latency_ms += (self.SHORT if self.short_latency_ms else 1.0) * (
            latency_ms - self.short_latency_ms
        )
        self.long_latency_ms += (self.LONG if self.long_latency_ms else 1.0) * (
            latency_ms - self.long_latency_ms
        )
        if self.long_latency_ms > 2.0 * self.short_latency_ms:  # forget latency learned under load sooner
            self.long_latency_ms *= 0.95
        gradient = max(
            0.5, min(1.0, self.TOLERANCE * self.long_latency_ms / max(self.short_latency_ms, 1e-6))
        )
        wanted = self.max_in_flight * gradient + math.sqrt(self.max_in_flight)
        if gradient < 1.0 or in_flight * 2 >= self.max_in_flight:
            self.max_in_flight = max(1.0, 0.98 * self.max_in_flight + 0.02 * wanted)


class DeadlineAware(Unlimited):
    """Admits a call if the calls in flight, at the current rate of answers, finish within the remaining time."""

    def __init__(self, max_in_flight: float, aim_ms: float) -> None:
        super().__init__(max_in_flight, aim_ms)
        self.answers_per_ms = 0.0  # smoothed rate of answers, per ms
        self._last_end_ms = 0.0

    def admits(self, now: float, in_flight: int, remaining_ms: float) -> bool:
        return in_flight < self.max_in_flight or in_flight < self.answers_per_ms * min(
            remaining_ms, self.aim_ms
        )

    def on_end(self, now: float, in_flight: int, latency_ms: float, succeeded: bool) -> None:
        gap = max(1e-3, now - self._last_end_ms)
        self._last_end_ms = now
        weight = -math.expm1(-gap / 1000.0)
        self.answers_per_ms += weight * (1.0 / gap - self.answers_per_ms)


LIMITS: dict[str, type[Unlimited]] = {
    "none": Unlimited,
    "fixed": Fixed,
    "aimd": Aimd,
    "gradient": Gradient,
    "deadline": DeadlineAware,
}
