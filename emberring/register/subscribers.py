"""The callbacks that are notified of each committed value that this node learns."""

from __future__ import annotations

from collections.abc import Callable

from emberring.logs import get_logger

logger = get_logger("register")


class ValueSubscribers:
    """Notifies callbacks of committed values, each newer than the one before."""

    def __init__(self) -> None:
        self._callbacks: list[Callable[[bytes], None]] = []
        self._last_value: bytes | None = None

    def add(self, callback: Callable[[bytes], None]) -> None:
        """Add a callback and pass it the current value at once, if there is one."""
        self._callbacks.append(callback)
        if self._last_value is not None:
            callback(self._last_value)

    def notify(self, value: bytes) -> None:
        """Pass a new value to all callbacks. An exception in one is logged and does not affect the others."""
        self._last_value = value
        for callback in list(self._callbacks):
            try:
                callback(value)
            except Exception:  # callbacks belong to other packages; their errors must not stop the register
                logger.exception("event=subscriber_failed")
