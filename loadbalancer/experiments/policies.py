"""Policies to compare with: each small, the project's own, of the published idea that its docstring names.

A picker says which server; a limit says whether a call is admitted at all. They know what a balancer knows: what it
sent, what came back, when. Times are ms.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence

from loadbalancer.experiments.servers import Server

Draw = Callable[[], float]


class Random:
    """Any; the others derive from it."""

    def __init__(self, draw: Draw, servers: Sequence[Server]) -> None:
        self.draw = draw

    def pick(self, now: float, out: Sequence[int], among: Sequence[int]) -> int:
        """One of `among` (never empty); `out`: this node's calls at each server."""
        return among[int(self.draw() * len(among))]

    def ended(self, now: float, server: int, latency_ms: float, good: bool) -> None:
        return


class RoundRobin(Random):
    """In turn, from a place that is drawn, so that nodes do not go in step."""

    def __init__(self, draw: Draw, servers: Sequence[Server]) -> None:
        super().__init__(draw, servers)
        self.at = int(draw() * 1_000_000)

    def pick(self, now: float, out: Sequence[int], among: Sequence[int]) -> int:
        self.at += 1
        return among[self.at % len(among)]


class LeastOutstanding(Random):
    """The one with the fewest calls of this node; a draw among equals."""

    def pick(self, now: float, out: Sequence[int], among: Sequence[int]) -> int:
        least = min(out[at] for at in among)
        equal = [at for at in among if out[at] == least]
        return equal[int(self.draw() * len(equal))] if len(equal) > 1 else equal[0]


class TwoChoices(Random):
    """The one with fewer calls of two that are drawn (Mitzenmacher 2001, The Power of Two Choices)."""

    def pick(self, now: float, out: Sequence[int], among: Sequence[int]) -> int:
        size, draw = len(among), self.draw
        first, second = among[int(draw() * size)], among[int(draw() * size)]
        return second if out[second] < out[first] else first


class PeakEwma(Random):
    """Of two that are drawn, the one with less of smoothed latency times calls, the latency following peaks at once
    (as Finagle's documentation describes its Peak EWMA)."""

    DECAY_MS = 10_000.0
    UNKNOWN_MS = 1.0

    def __init__(self, draw: Draw, servers: Sequence[Server]) -> None:
        super().__init__(draw, servers)
        self.cost = [0.0] * len(servers)
        self.heard = [0.0] * len(servers)

    def _cost(self, now: float, at: int, calls: int) -> float:
        known = self.cost[at] * math.exp((self.heard[at] - now) / self.DECAY_MS)
        return (known or self.UNKNOWN_MS) * (calls + 1)

    def pick(self, now: float, out: Sequence[int], among: Sequence[int]) -> int:
        size, draw = len(among), self.draw
        first, second = among[int(draw() * size)], among[int(draw() * size)]
        return second if self._cost(now, second, out[second]) < self._cost(now, first, out[first]) else first

    def ended(self, now: float, server: int, latency_ms: float, good: bool) -> None:
        weight = math.exp((self.heard[server] - now) / self.DECAY_MS)
        known = self.cost[server]
        self.cost[server] = latency_ms if latency_ms > known else known * weight + latency_ms * (1.0 - weight)
        self.heard[server] = now


class Omniscient(Random):
    """The one at which a call would begin first, known from inside; for a top, not for use."""

    def __init__(self, draw: Draw, servers: Sequence[Server]) -> None:
        super().__init__(draw, servers)
        self.servers = servers

    def pick(self, now: float, out: Sequence[int], among: Sequence[int]) -> int:
        best, least = among[0], math.inf
        for at in among:
            server = self.servers[at]
            if not server.up or server.refusing or server.failing:
                continue
            speed = server.factor / server.warmth(now)
            begins = max(now, server.free[0], server.stalled_until) - now + speed * (1.0 + 0.01 * self.draw())
            if begins < least:
                best, least = at, begins
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
    """Admits all."""

    def __init__(self, most: float, aim_ms: float) -> None:
        self.most, self.aim_ms = most, aim_ms

    def admits(self, now: float, out: int, left_ms: float) -> bool:
        return True

    def ended(self, now: float, out: int, latency_ms: float, good: bool) -> None:
        return


class Fixed(Unlimited):
    """So many calls in flight."""

    def admits(self, now: float, out: int, left_ms: float) -> bool:
        return out < self.most


class Aimd(Fixed):
    """One more call for each window of answers in time, a tenth fewer for one that is late or bad, once a window
    (additive increase, multiplicative decrease; Chiu and Jain 1989)."""

    BACKOFF = 0.9

    def __init__(self, most: float, aim_ms: float) -> None:
        super().__init__(most, aim_ms)
        self._until = 0.0

    def ended(self, now: float, out: int, latency_ms: float, good: bool) -> None:
        if good and latency_ms <= self.aim_ms:
            if out * 2 >= self.most:
                self.most += 1.0 / self.most
        elif now >= self._until:
            self.most = max(1.0, self.most * self.BACKOFF)
            self._until = now + latency_ms


class Gradient(Fixed):
    """Scaled by the ratio of long-term to present latency, with the square root of itself as room to grow
    (as gradient limits of concurrency are described in what is published of them)."""

    SHORT, LONG, TOLERANCE = 0.1, 0.002, 1.5

    def __init__(self, most: float, aim_ms: float) -> None:
        super().__init__(most, aim_ms)
        self.short = self.long = 0.0

    def ended(self, now: float, out: int, latency_ms: float, good: bool) -> None:
        self.short += (self.SHORT if self.short else 1.0) * (latency_ms - self.short)
        self.long += (self.LONG if self.long else 1.0) * (latency_ms - self.long)
        if self.long > 2.0 * self.short:  # what was learned under load is forgotten sooner
            self.long *= 0.95
        gradient = max(0.5, min(1.0, self.TOLERANCE * self.long / max(self.short, 1e-6)))
        wanted = self.most * gradient + math.sqrt(self.most)
        if gradient < 1.0 or out * 2 >= self.most:
            self.most = max(1.0, 0.98 * self.most + 0.02 * wanted)


class DeadlineAware(Unlimited):
    """Admits what can be expected to be in time: calls in flight over the rate of answers, within the time left."""

    def __init__(self, most: float, aim_ms: float) -> None:
        super().__init__(most, aim_ms)
        self.rate = 0.0  # answers a ms, smoothed
        self._then = 0.0

    def admits(self, now: float, out: int, left_ms: float) -> bool:
        return out < self.most or out < self.rate * min(left_ms, self.aim_ms)

    def ended(self, now: float, out: int, latency_ms: float, good: bool) -> None:
        gap = max(1e-3, now - self._then)
        self._then = now
        weight = -math.expm1(-gap / 1000.0)
        self.rate += weight * (1.0 / gap - self.rate)


LIMITS: dict[str, type[Unlimited]] = {
    "none": Unlimited,
    "fixed": Fixed,
    "aimd": Aimd,
    "gradient": Gradient,
    "deadline": DeadlineAware,
}
