"""Order in which items run: first those that can still be completed by their due time, then late ones."""

from __future__ import annotations

import attrs
from sortedcontainers import SortedList

# Bounds of the run estimate: an item that is due before a run of this duration could end is late.
MIN_RUN_ESTIMATE_S, MAX_RUN_ESTIMATE_S = 0.3, 4.0
RUN_ESTIMATE_GAIN = 0.05  # weight of the newest run in the smoothed estimate
EXPIRY_URGENCY_S = 3.0  # a late item that expires within this time is run before all others


@attrs.frozen(order=True)
class QueuedItem:
    """An item waiting for a server. Times are seconds of the monotonic clock."""

    due_s: float
    expires_s: float
    key: str
    index: int


class Schedule:
    """Items waiting for a server. `run_estimate_s` is the smoothed duration of recent runs."""

    def __init__(self) -> None:
        self.run_estimate_s = MIN_RUN_ESTIMATE_S  # before the first run
        self._on_time: SortedList = SortedList()
        self._late: SortedList = SortedList(key=lambda entry: (entry.expires_s, entry.key, entry.index))

    def __len__(self) -> int:
        return len(self._on_time) + len(self._late)

    def add(self, entry: QueuedItem) -> None:
        """Add an item."""
        self._on_time.add(entry)

    def record_run(self, seconds: float) -> None:
        """Include the duration of a completed run in the estimate."""
        self.run_estimate_s += RUN_ESTIMATE_GAIN * (seconds - self.run_estimate_s)

    def pop(self, now_s: float) -> QueuedItem | None:
        """Remove and return the item to run next, or None. The caller skips items that are not waiting any more.

        Items that can't be completed in time any more follow those that can. Otherwise, under overload, every
        item would be started just before its due time, and all of them would be late.
        """
        estimate_s = min(MAX_RUN_ESTIMATE_S, max(MIN_RUN_ESTIMATE_S, self.run_estimate_s))
        while self._on_time and self._on_time[0].due_s < now_s + estimate_s:
            self._late.add(self._on_time.pop(0))
        urgent = bool(self._late) and self._late[0].expires_s < now_s + EXPIRY_URGENCY_S
        queue = self._late if urgent or not self._on_time else self._on_time
        return queue.pop(0) if queue else None
