"""Simulated servers: cores, one FIFO queue, a limit, a warm-up, and faults.

With a FIFO queue the end of a call is known at its arrival (Lindley's recursion; for several cores that of Kiefer and
Wolfowitz), so a call costs one event. A fault affects the calls that arrive after it began.
"""

from __future__ import annotations

import math
from heapq import heappop, heappush, heapreplace
from typing import NamedTuple

from loadbalancer.interface import warmth

OVERLOAD_MS = 1000.0  # window over which the work sent to a cold server is summed


class ScheduledCall(NamedTuple):
    """Start and end of a call's service, in ms; `full`: it was rejected on arrival."""

    begins: float
    ends: float
    full: bool = False


class Dependency:
    """A resource that several servers share: their calls use it for a time each, in order of arrival."""

    def __init__(self, cores: int) -> None:
        self.core_free_at = [0.0] * cores

    def accept(self, now: float, work_ms: float) -> float:
        """Return when a call that requests the resource now has finished with it."""
        ends = max(now, self.core_free_at[0]) + work_ms
        heapreplace(self.core_free_at, ends)
        return ends


class Server:
    """One simulated server. Times are ms of simulated time."""

    def __init__(
        self,
        name: str,
        zone: str = "",
        cores: int = 1,
        limit: int = 0,
        cold_from: float = 1.0,
        cold_ms: float = 0.0,
    ) -> None:
        """`limit`: maximum calls in the server, queued or in service (0: no limit); `cold_from`: relative speed right
        after a start, which grows linearly to 1 over `cold_ms`."""
        self.name, self.zone, self.cores, self.limit = name, zone, cores, limit
        self.cold_from, self.cold_ms = cold_from, cold_ms
        self.launched: float | None = None  # start time; None: already warm
        self.core_free_at = [-math.inf] * cores  # when each core becomes free; a heap
        self.call_ends: list[float] = []  # end times of its calls, kept only with a limit; a heap
        self.factor = 1.0  # multiplies its service times
        self.stalled_until = 0.0
        self.failing = 0.0  # share of calls that fail immediately
        self.refusing = False
        self.up = True
        self.dependency: Dependency | None = None
        self.dependency_ms = 0.0
        self.busy_ms = 0.0
        self.accepted = 0
        self.crashes = 0  # times it crashed from overload while cold
        self._window_start = 0.0
        self._window_work_ms = 0.0  # ms of work that arrived in this window

    def warmth(self, now: float) -> float:
        """Its speed relative to a warm server (0 to 1)."""
        return 1.0 if self.launched is None else warmth(now - self.launched, self.cold_from, self.cold_ms)

    def calls_in_server(self, now: float) -> int:
        """The number of calls queued or in service."""
        call_ends = self.call_ends
        while call_ends and call_ends[0] <= now:
            heappop(call_ends)
        return len(call_ends)

    def accept(self, now: float, work_ms: float) -> ScheduledCall:
        """Schedule an arriving call; `work_ms` is its service time on a warm, idle core."""
        if self.refusing or (self.limit and self.calls_in_server(now) >= self.limit):
            return ScheduledCall(now, now, True)
        service_ms = work_ms * self.factor / self.warmth(now)
        begins = self.core_free_at[0]
        if begins < now:
            begins = now
        if begins < self.stalled_until:
            begins = self.stalled_until
        ends = begins + service_ms
        if self.dependency is not None:
            ends = self.dependency.accept(ends, self.dependency_ms)
        heapreplace(self.core_free_at, ends)
        if self.limit:
            heappush(self.call_ends, ends)
        self.busy_ms += ends - begins
        self.accepted += 1
        return ScheduledCall(begins, ends)

    def is_overloaded_by(self, now: float, work_ms: float, factor: float) -> bool:
        """Whether this call crashes a cold server: over `factor` times its capacity has arrived within a second."""
        if self.launched is None or now - self.launched >= self.cold_ms:
            return False
        if now - self._window_start >= OVERLOAD_MS:
            self._window_start, self._window_work_ms = now, 0.0
        self._window_work_ms += work_ms
        return self._window_work_ms > factor * self.warmth(now) * self.cores * OVERLOAD_MS

    def restart(self, now: float) -> None:
        """Start again: cold, with no calls."""
        self.up, self.launched = True, now
        self.core_free_at = [-math.inf] * self.cores
        self.call_ends.clear()
        self._window_start, self._window_work_ms = now, 0.0

    def stop(self) -> None:
        self.up = False
