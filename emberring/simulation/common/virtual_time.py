"""An event loop on virtual time: where it would wait for a timer, its clock jumps to that timer."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any


class _JumpingSelector(selectors.DefaultSelector):
    """A selector that never blocks; the time that it would have waited is added to `waited_s` (seconds)."""

    waited_s = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        found = super().select(0)
        if not found and timeout:
            self.waited_s += timeout
        return found


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop with a clock of its own that begins at 0."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._jumping.waited_s


def run_virtually(play: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine on virtual time; it may wait for timers alone. Tasks that are left are cancelled."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(play)
