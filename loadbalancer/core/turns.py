"""An event loop that measures its iterations ("turns"): one poll and the callbacks that it made ready."""

from __future__ import annotations

import asyncio
import selectors
import time
from collections.abc import Callable

from loadbalancer.overload.turns import Turns

MAX_SLEEP_S = 0.01  # of the loop while requests are open; a longer one shows that the process got no CPU time


class _TimedSelector(selectors.DefaultSelector):
    """A selector that records when each poll began and ended, by the loop's clock."""

    def __init__(self, turns: Turns) -> None:
        super().__init__()
        self._turns = turns

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Poll, and record its start and end."""
        began = time.monotonic()
        ready = super().select(timeout)
        self._turns.poll(began, time.monotonic(), timeout, len(ready))
        return ready


class TurnLoop(asyncio.SelectorEventLoop):
    """The selector event loop of asyncio, with statistics of its iterations in `turns`."""

    def __init__(self) -> None:
        self.turns = Turns()
        super().__init__(_TimedSelector(self.turns))


def turns_of(loop: asyncio.AbstractEventLoop) -> Turns:
    """Return the statistics of a loop's iterations; empty ones for a loop that does not measure them."""
    turns = getattr(loop, "turns", None)
    return turns if isinstance(turns, Turns) else Turns()


class PeriodicWakeup:
    """Wakes the loop every `MAX_SLEEP_S` while requests are open, so that lost CPU time is noticed."""

    # Without a timer the loop sleeps until the next event, and a delay of that event by a lack of CPU time would look
    # like a slow server.

    def __init__(self, is_needed: Callable[[], bool]) -> None:
        self._loop = asyncio.get_running_loop()
        self._is_needed = is_needed
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Start the timer, which repeats as long as it is needed."""
        if self._timer is None:
            self._timer = self._loop.call_later(MAX_SLEEP_S, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        if self._is_needed():
            self.start()

    def close(self) -> None:
        """Stop the timer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
