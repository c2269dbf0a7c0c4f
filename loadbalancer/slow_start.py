"""Slow start: how many calls a server that is warming up may get; part of the decision module."""

from __future__ import annotations

import math
from random import Random

from loadbalancer.interface import Settings, warmth
from loadbalancer.outlier_detection import TrackedServer

COLD_SHARE = 0.4  # of the overload factor: what a cold server may get of its present capacity


class SlowStart:
    """Paces calls to cold servers by a draw for each call."""

    def __init__(self, settings: Settings, rng: Random, now_ms: float) -> None:
        self.cfg = settings
        self._rng = rng
        self._former_servers, self._former_ms = 0.0, now_ms  # servers that bore the load, and when

    def note_list_change(self, now: float, servers: int) -> None:
        """Remember how many servers bore the load before a list with levels changes them."""
        self._former_servers, self._former_ms = max(float(servers), self.effective_servers(now, servers)), now

    def effective_servers(self, now: float, servers: int) -> float:
        """Return the number of servers by which an average server's calls are counted."""
        # A new server to which a list gave all weight took the calls of all that had been there; its share of
        # an average server's calls counts those too, for as long as one takes to get warm.
        if self._former_servers == 0.0 or self.cfg.cold_ms <= 0.0:
            return float(servers)
        decayed = self._former_servers * math.exp((self._former_ms - now) / self.cfg.cold_ms)
        return max(float(servers), decayed)

    def warmth(self, now: float, server: TrackedServer) -> float:
        """Return a server's present share of what it does when warm, by the settings."""
        launched_ms = server.info.launched_ms if server.recovered_ms is None else server.recovered_ms
        return 1.0 if launched_ms is None else warmth(now - launched_ms, self.cfg.cold_from, self.cfg.cold_ms)

    def allows(self, warmth: float, servers: float) -> bool:
        """Draw whether a call may go to a server this warm."""
        # All balancers together must not push a cold server over. A call may go to it with the chance of its
        # present share (from `cold_from`, even over `cold_ms`) of an average server's calls: a draw for each
        # call, not a count, so that the sum keeps to the share however many balancers there are.
        return warmth >= 1.0 or self._rng.random() * servers < COLD_SHARE * self.cfg.overload_factor * warmth
