"""The order in which items run: those that can still be done in time by their due time, then the late ones."""

from __future__ import annotations

import attrs
from sortedcontainers import SortedList

LEAST_TIGHT_S, MOST_TIGHT_S = 0.3, 4.0  # an item due sooner than a run takes is late; within these bounds
RUN_GAIN = 0.05  # smoothing of what a run takes
LAST_CHANCE_S = 3.0  # a late item that is given up within this time goes first


@attrs.frozen(order=True)
class Entry:
    """An item that waits. Times are seconds of the steady clock."""

    due_s: float
    given_up_s: float
    key: str
    index: int


class Schedule:
    """Items that wait for a server."""

    def __init__(self) -> None:
        self.run_s = LEAST_TIGHT_S  # what a run takes
        self._in_time: SortedList = SortedList()
        self._late: SortedList = SortedList(key=lambda entry: (entry.given_up_s, entry.key, entry.index))

    def __len__(self) -> int:
        return len(self._in_time) + len(self._late)

    def add(self, entry: Entry) -> None:
        """An item waits."""
        self._in_time.add(entry)

    def note_run(self, seconds: float) -> None:
        """A run was completed in this time."""
        self.run_s += RUN_GAIN * (seconds - self.run_s)

    def pop(self, now_s: float) -> Entry | None:
        """The item to run next, or None. Items that no longer wait are the caller's to pass over.

        Guard: items that can't be done in time any more come after those that can. Where more came than can be done,
        all were begun just before they were due, and all were late.
        """
        tight_s = min(MOST_TIGHT_S, max(LEAST_TIGHT_S, self.run_s))
        while self._in_time and self._in_time[0].due_s < now_s + tight_s:
            self._late.add(self._in_time.pop(0))
        pressing = bool(self._late) and self._late[0].given_up_s < now_s + LAST_CHANCE_S
        queue = self._late if pressing or not self._in_time else self._in_time
        return queue.pop(0) if queue else None
