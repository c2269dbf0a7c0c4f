"""An event loop on virtual time: instead of waiting for a timer, it advances its clock to that timer."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any


class _JumpingSelector(selectors.DefaultSelector):
    """A selector that never blocks and adds each requested timeout to `elapsed_s` (seconds)."""

    elapsed_s = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        ready = super().select(0)
        if not ready and timeout:
            self.elapsed_s += timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop with a virtual clock that starts at 0."""

    def __init__(self) -> None:
        self._virtual_selector = _JumpingSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_selector.elapsed_s


def run_virtually(main: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine on virtual time and cancel the remaining tasks. It may wait only for timers, not for I/O."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(main)
