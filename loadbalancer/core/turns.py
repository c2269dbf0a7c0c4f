"""An event loop that measures its turns: a turn is one poll and the handling of what it found."""

from __future__ import annotations

import asyncio
import selectors
import time
from collections.abc import Callable

from loadbalancer.overload.turns import Turns

BEAT_S = 0.01  # longest sleep while requests are open: a core taken away for longer than this is noticed


class _Timed(selectors.DefaultSelector):
    """Reports when each poll began and ended, by the loop's clock."""

    def __init__(self, turns: Turns) -> None:
        super().__init__()
        self._turns = turns

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Poll, and report the times."""
        began = time.monotonic()
        found = super().select(timeout)
        self._turns.poll(began, time.monotonic(), timeout, len(found))
        return found


class TurnLoop(asyncio.SelectorEventLoop):
    """asyncio's own loop, with its measured `turns`."""

    def __init__(self) -> None:
        self.turns = Turns()
        super().__init__(_Timed(self.turns))


def turns_of(loop: asyncio.AbstractEventLoop) -> Turns:
    """Return the turns of a loop; of one that does not measure them, ones with no time of the process's own."""
    found = getattr(loop, "turns", None)
    return found if isinstance(found, Turns) else Turns()


class Beat:
    """Wakes the loop often while there is something to measure."""

    def __init__(self, wanted: Callable[[], bool]) -> None:
        self._loop = asyncio.get_running_loop()
        self._wanted = wanted
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Wake the loop again soon, and then for as long as it is wanted."""
        if self._timer is None:
            self._timer = self._loop.call_later(BEAT_S, self._go)

    def _go(self) -> None:
        self._timer = None
        if self._wanted():
            self.start()

    def close(self) -> None:
        """Stop waking the loop."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
