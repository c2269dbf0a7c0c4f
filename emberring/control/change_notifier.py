"""Wakes all tasks that wait for a change at the moment."""

from __future__ import annotations

import asyncio
import contextlib


class ChangeNotifier:
    """Each `notify_all` ends every `wait` under way, in the order in which they began, and none that begins later."""

    def __init__(self) -> None:
        self._waiting: dict[asyncio.Future[None], None] = {}

    @property
    def waiters(self) -> int:
        """How many tasks wait at the moment."""
        return len(self._waiting)

    def notify_all(self) -> None:
        """Wake all tasks that wait now."""
        for future in self._waiting:
            if not future.done():
                future.set_result(None)
        self._waiting.clear()

    async def wait(self, timeout_s: float) -> None:
        """Wait for the next `notify_all`, at most this long (seconds)."""
        future = asyncio.get_running_loop().create_future()
        self._waiting[future] = None
        try:
            # Not `asyncio.wait_for`: in Python 3.11 it loses a cancellation that comes as the future is done.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(max(0.0, timeout_s)):
                    await future
        finally:
            self._waiting.pop(future, None)
