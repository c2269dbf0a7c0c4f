"""Order in which items run: first those that can still be completed by their due time, then late ones."""

from __future__ import annotations

from collections.abc import Callable
from enum import IntEnum

import attrs
from sortedcontainers import SortedList

# Bounds of the run estimate: an item that is due before a run of this duration could end is late.
MIN_RUN_ESTIMATE_S, MAX_RUN_ESTIMATE_S = 0.3, 4.0
RUN_ESTIMATE_GAIN = 0.05  # weight of the newest run in the smoothed estimate
EXPIRY_URGENCY_S = 3.0  # a late item that expires within this time is run before all others


@attrs.frozen(order=True)
class QueuedItem:
    """An item waiting for a server. Times are seconds of the monotonic clock.

    `retry_at_s` is when an item that servers have declined may run again; 0 for all others.
    """

    due_s: float
    expires_s: float
    key: str
    index: int
    retry_at_s: float = 0.0


class RunEstimate:
    """The smoothed duration of recent runs, within bounds."""

    def __init__(self) -> None:
        self._seconds = MIN_RUN_ESTIMATE_S  # before the first run

    @property
    def seconds(self) -> float:
        """The estimated duration of a run."""
        return min(MAX_RUN_ESTIMATE_S, max(MIN_RUN_ESTIMATE_S, self._seconds))

    def record_run(self, seconds: float) -> None:
        """Include the duration of a completed run in the estimate."""
        self._seconds += RUN_ESTIMATE_GAIN * (seconds - self._seconds)


class Urgency(IntEnum):
    """How urgent the next item of a schedule is; items of a lower value run first."""

    EXPIRING = 0
    ON_TIME = 1
    LATE = 2
    DECLINED = 3


@attrs.frozen(order=True)
class Rank:
    """Rank of the next item of a schedule; `at_s` is when it is due, expires, or may run again."""

    urgency: Urgency
    at_s: float


class Schedule:
    """Items waiting for a server, of which any may run next. `run_estimate` may be shared with other schedules.

    Items that servers have declined come after all others, and not before their `retry_at_s`.
    """

    def __init__(self, run_estimate: RunEstimate) -> None:
        self._run_estimate = run_estimate
        self._on_time: SortedList = SortedList()
        self._late: SortedList = SortedList(key=lambda entry: (entry.expires_s, entry.key, entry.index))
        self._declined: SortedList = SortedList(key=lambda entry: (entry.retry_at_s, entry.key, entry.index))

    def __len__(self) -> int:
        return len(self._on_time) + len(self._late) + len(self._declined)

    def add(self, entry: QueuedItem) -> None:
        """Add an item."""
        queue = self._declined if entry.retry_at_s else self._on_time
        queue.add(entry)

    def rank(self, now_s: float) -> Rank | None:
        """Return the rank of the item that `pop` would return; None if there is none.

        Items that can't be completed in time any more follow those that can. Otherwise, under overload, every
        item would be started just before its due time, and all of them would be late.
        """
        estimate_s = self._run_estimate.seconds
        while self._on_time and self._on_time[0].due_s < now_s + estimate_s:
            self._late.add(self._on_time.pop(0))
        if self._late and self._late[0].expires_s < now_s + EXPIRY_URGENCY_S:
            return Rank(Urgency.EXPIRING, self._late[0].expires_s)
        if self._on_time:
            return Rank(Urgency.ON_TIME, self._on_time[0].due_s)
        if self._late:
            return Rank(Urgency.LATE, self._late[0].expires_s)
        if self._declined and self._declined[0].retry_at_s <= now_s:
            return Rank(Urgency.DECLINED, self._declined[0].retry_at_s)
        return None

    def pop(self, now_s: float) -> QueuedItem | None:
        """Remove and return the item to run next, or None. The caller skips items that are not waiting any more."""
        rank = self.rank(now_s)
        if rank is None:
            return None
        queues = {Urgency.ON_TIME: self._on_time, Urgency.DECLINED: self._declined}
        entry: QueuedItem = queues.get(rank.urgency, self._late).pop(0)
        return entry

    def drop_first(self, is_done: Callable[[QueuedItem], bool], limit: int) -> None:
        """Remove items that are done, up to `limit` of each kind, until the next one to run is not done."""
        for queue in (self._on_time, self._late, self._declined):
            dropped = 0
            while queue and dropped < limit and is_done(queue[0]):
                queue.pop(0)
                dropped += 1

    def pop_any(self) -> QueuedItem | None:
        """Remove and return any item, the one that is due first if it is known to be in time; None if there is none."""
        queue = self._on_time or self._late or self._declined
        return queue.pop(0) if queue else None
