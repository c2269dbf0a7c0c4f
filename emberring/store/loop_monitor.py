"""Reports pauses of the event loop, during which a store renews no lease and answers no call."""

from __future__ import annotations

from emberring.logs import get_logger

LOGGED_PAUSE_S = 0.25  # nearly half of an owner's lease

logger = get_logger("store")


class LoopMonitor:
    """Compares the times of a regular call with its interval.

    Args:
        interval_s: the interval at which `check` is called.
        now_s: the time of the event loop.
    """

    def __init__(self, interval_s: float, now_s: float) -> None:
        self._interval_s = interval_s
        self._checked_s = now_s

    def check(self, now_s: float) -> None:
        """Log a pause since the last check, if it was long enough to endanger leases."""
        pause_s = now_s - self._checked_s - self._interval_s
        self._checked_s = now_s
        if pause_s >= LOGGED_PAUSE_S:
            logger.warning("event=loop_paused pause_s=%.3f", pause_s)
