"""The clock of the balancer."""

from __future__ import annotations

import asyncio
import time


class Clock:
    """Monotonic Unix time in milliseconds: the event loop's clock plus an offset that is taken once."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._time = loop.time
        self._anchor = time.time() - loop.time()

    def ms(self, at: float | None = None) -> float:
        """Return the Unix time in ms now, or at this time of the loop."""
        return ((self._time() if at is None else at) + self._anchor) * 1000.0
