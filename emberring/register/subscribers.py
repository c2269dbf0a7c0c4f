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
        """Add a callback; the present value, if there is one, is passed to it at once."""
        self._callbacks.append(callback)
        if self._last_value is not None:
            callback(self._last_value)

    def notify(self, value: bytes) -> None:
        """Pass a new value to all callbacks. One that raises is logged and does not keep the others from theirs."""
        self._last_value = value
        for callback in list(self._callbacks):
            try:
                callback(value)
            except Exception:  # callbacks belong to other packages; the register goes on whatever they do
                logger.exception("event=subscriber_failed")
