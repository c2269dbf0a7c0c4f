"""Servers of the model: cores, one queue in order of arrival, a limit, a warm-up, and what may go wrong with them.

With one queue in order of arrival the end of a call is known when it comes (Lindley's recursion, for several cores the
one of Kiefer and Wolfowitz), so a call costs one event. What goes wrong changes the calls that come from then on.
"""

from __future__ import annotations

import math
from heapq import heappop, heappush, heapreplace
from typing import NamedTuple

from loadbalancer.interface import warmth

OVERLOAD_MS = 1000.0  # over which it is counted whether a cold server is sent more than it bears


class Taken(NamedTuple):
    """What becomes of a call, in ms: when it is begun, and when it ends; `full`: it was turned away at once."""

    begins: float
    ends: float
    full: bool = False


class Dependency:
    """Something that several servers share: each of their calls has it for a time, in order of arrival."""

    def __init__(self, cores: int) -> None:
        self.free = [0.0] * cores

    def take(self, now: float, work_ms: float) -> float:
        """When a call that asks for it now is done with it."""
        ends = max(now, self.free[0]) + work_ms
        heapreplace(self.free, ends)
        return ends


class Server:
    """Times are ms of the model."""

    def __init__(
        self,
        name: str,
        zone: str = "",
        cores: int = 1,
        limit: int = 0,
        cold_from: float = 1.0,
        cold_ms: float = 0.0,
    ) -> None:
        """`limit`: calls that it holds at most, the served ones too (0: no limit); `cold_from`: its speed when it has
        started, which grows evenly to 1 over `cold_ms`."""
        self.name, self.zone, self.cores, self.limit = name, zone, cores, limit
        self.cold_from, self.cold_ms = cold_from, cold_ms
        self.launched: float | None = None  # None: long ago
        self.free = [-math.inf] * cores  # when each core is done; a heap
        self.ends: list[float] = []  # of the calls that it holds, where it has a limit; a heap
        self.factor = 1.0  # of its service times
        self.stalled_until = 0.0
        self.failing = 0.0  # share of calls that end in an error, at once
        self.refusing = False
        self.up = True
        self.dependency: Dependency | None = None
        self.dependency_ms = 0.0
        self.busy_ms = 0.0
        self.taken = 0
        self.fell = 0  # times that it was pushed over when cold
        self._window = 0.0
        self._asked = 0.0  # ms of work that came in this window

    def warmth(self, now: float) -> float:
        """Its speed, of the warm one's (0 to 1)."""
        return 1.0 if self.launched is None else warmth(now - self.launched, self.cold_from, self.cold_ms)

    def held(self, now: float) -> int:
        """Calls that wait or are served."""
        ends = self.ends
        while ends and ends[0] <= now:
            heappop(ends)
        return len(ends)

    def take(self, now: float, work_ms: float) -> Taken:
        """A call comes whose service takes so long on a warm, idle core."""
        if self.refusing or (self.limit and self.held(now) >= self.limit):
            return Taken(now, now, True)
        took = work_ms * self.factor / self.warmth(now)
        begins = self.free[0]
        if begins < now:
            begins = now
        if begins < self.stalled_until:
            begins = self.stalled_until
        ends = begins + took
        if self.dependency is not None:
            ends = self.dependency.take(ends, self.dependency_ms)
        heapreplace(self.free, ends)
        if self.limit:
            heappush(self.ends, ends)
        self.busy_ms += ends - begins
        self.taken += 1
        return Taken(begins, ends)

    def pushed(self, now: float, work_ms: float, factor: float) -> bool:
        """Whether a cold server falls over by this call: over `factor` times what it can do has come in a second."""
        if self.launched is None or now - self.launched >= self.cold_ms:
            return False
        if now - self._window >= OVERLOAD_MS:
            self._window, self._asked = now, 0.0
        self._asked += work_ms
        return self._asked > factor * self.warmth(now) * self.cores * OVERLOAD_MS

    def restart(self, now: float) -> None:
        """It has started anew: cold, with nothing in hand."""
        self.up, self.launched = True, now
        self.free = [-math.inf] * self.cores
        self.ends.clear()
        self._window, self._asked = now, 0.0

    def stop(self) -> None:
        self.up = False
