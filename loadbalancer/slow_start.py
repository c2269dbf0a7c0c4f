"""Slow start: limits the calls to servers that are warming up. Part of the decision module."""

from __future__ import annotations

import math
from random import Random

from loadbalancer.interface import Settings, warmth
from loadbalancer.outlier_detection import TrackedServer

COLD_SHARE = 0.4  # limit of a cold server's load, as a share of the overload factor


class SlowStart:
    """Limits calls to cold servers with a random draw per call."""

    def __init__(self, settings: Settings, rng: Random, now_ms: float) -> None:
        self.cfg = settings
        self._rng = rng
        self._former_servers, self._former_ms = (
            0.0,
            now_ms,
        )  # servers that shared the load before a list change, and its time

    def note_list_change(self, now: float, servers: int) -> None:
        """Store the number of servers in use before a list with priority levels changes them."""
        self._former_servers, self._former_ms = max(float(servers), self.effective_servers(now, servers)), now

    def effective_servers(self, now: float, servers: int) -> float:
        """Return the number of servers over which calls are averaged."""
        # If a list moves all weight to a new server, an average server's calls would be the calls of the
        # whole pool. So the former servers still count, with a decay over the time that a server needs to
        # warm up.
        if self._former_servers == 0.0 or self.cfg.cold_ms <= 0.0:
            return float(servers)
        decayed = self._former_servers * math.exp((self._former_ms - now) / self.cfg.cold_ms)
        return max(float(servers), decayed)

    def warmth(self, now: float, server: TrackedServer) -> float:
        """Return a server's present capacity as a share of its capacity when warm, by the settings."""
        launched_ms = server.info.launched_ms if server.recovered_ms is None else server.recovered_ms
        return 1.0 if launched_ms is None else warmth(now - launched_ms, self.cfg.cold_from, self.cfg.cold_ms)

    def allows(self, warmth: float, servers: float) -> bool:
        """Draw whether a call may go to a server with this warmth."""
        # All balancers together must not overload a cold server. A call may go to it with the probability of
        # its share of an average server's calls, by its warmth. A draw per call, unlike a count per balancer,
        # keeps the total within the share for any number of balancers.
        return warmth >= 1.0 or self._rng.random() * servers < COLD_SHARE * self.cfg.overload_factor * warmth
