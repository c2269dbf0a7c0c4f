"""Wakes the tasks that are waiting for a change."""

from __future__ import annotations

import asyncio
import contextlib


class ChangeNotifier:
    """`notify_all` wakes the current waiters in FIFO order; a `wait` that begins later needs another `notify_all`."""

    def __init__(self) -> None:
        self._waiting: dict[asyncio.Future[None], None] = {}

    @property
    def waiters(self) -> int:
        """The number of waiting tasks."""
        return len(self._waiting)

    def notify_all(self) -> None:
        """Wake all waiting tasks."""
        for future in self._waiting:
            if not future.done():
                future.set_result(None)
        self._waiting.clear()

    async def wait(self, timeout_s: float) -> None:
        """Wait for the next `notify_all`, at most `timeout_s`."""
        future = asyncio.get_running_loop().create_future()
        self._waiting[future] = None
        try:
            # Not `asyncio.wait_for`: in Python 3.11 it swallows a cancellation that arrives as the future completes.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(max(0.0, timeout_s)):
                    await future
        finally:
            self._waiting.pop(future, None)
