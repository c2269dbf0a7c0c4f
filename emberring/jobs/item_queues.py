"""Queues of the waiting items of a shard, one for each group of items that can be run by the same service.

Items of one service must not wait behind those of another one, which may have no servers, so a poll takes items only
from the queues of services that the gateway has free capacity for.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Protocol

import attrs

from emberring.configuration.service_choice import UNKNOWN_SEGMENT, SplitSegment
from emberring.jobs.schedule import QueuedItem, Rank, RunEstimate, Schedule

# Items in one step of the event loop, in which the owner renews no lease.
REASSIGNED_AT_ONCE = 500
DROPPED_AT_ONCE = 500


class WaitingItems(Protocol):
    """What the queues need to know of their items."""

    def is_waiting(self, entry: QueuedItem) -> bool:
        """Return whether the item still waits for a server."""

    def segment(self, entry: QueuedItem) -> SplitSegment | None:
        """Return the segment of its route's split that the item belongs to; None if no route leads to a service."""


@attrs.frozen
class TakenItem:
    """An item that was removed from the queue of its segment."""

    entry: QueuedItem
    segment: SplitSegment


class ItemQueues:
    """The queues of one shard, by segment of the traffic splits.

    After a change of routes the items are assigned to queues again, in steps; until then they can't be taken.
    """

    def __init__(self, items: WaitingItems) -> None:
        self._items = items
        self.run_estimate = RunEstimate()
        # The queue of None has the items that no route leads to a service; they can't be taken.
        self._queues: dict[SplitSegment | None, Schedule] = {}
        self._unassigned: deque[Schedule] = deque()

    def __len__(self) -> int:
        return sum(map(len, (*self._queues.values(), *self._unassigned)))

    @property
    def has_unknown(self) -> bool:
        """Whether items may have been added whose route was not known."""
        return UNKNOWN_SEGMENT in self._queues

    def lengths(self) -> dict[SplitSegment, int]:
        """Return how many items can be taken of each queue; some of them may not be waiting any more."""
        return {segment: len(queue) for segment, queue in self._queues.items() if segment is not None}

    def add(self, entry: QueuedItem) -> None:
        """Add a waiting item to its queue."""
        segment = self._items.segment(entry)
        queue = self._queues.get(segment)
        if queue is None:
            queue = self._queues[segment] = Schedule(self.run_estimate)
        queue.add(entry)

    def take(self, now_s: float, allows: Callable[[SplitSegment], bool]) -> TakenItem | None:
        """Remove and return the item to run next, of all segments that are allowed; None if there is none."""
        while True:
            first = self._first(now_s, allows)
            if first is None:
                return None
            _, segment = first
            queue = self._queues[segment]
            entry = queue.pop(now_s)
            if not queue:
                del self._queues[segment]
            if entry is not None and self._items.is_waiting(entry):
                return TakenItem(entry, segment)

    def first_rank(self, now_s: float, allows: Callable[[SplitSegment], bool]) -> Rank | None:
        """Return the rank of the item that `take` would return, or of one before it that is not waiting any more."""
        first = self._first(now_s, allows)
        return first[0] if first is not None else None

    def _first(
        self, now_s: float, allows: Callable[[SplitSegment], bool]
    ) -> tuple[Rank, SplitSegment] | None:
        ranked = [
            (rank, segment)
            for segment, queue in self._queues.items()
            if segment is not None and allows(segment) and (rank := queue.rank(now_s)) is not None
        ]
        return min(ranked, key=lambda found: found[0]) if ranked else None

    def on_routes_changed(self) -> None:
        """Begin to assign all items to queues again."""
        self._unassigned.extend(self._queues.values())
        self._queues = {}
        self._reassign_some()

    def tidy(self) -> None:
        """Do a bounded part of the regular work: assign items to queues again, drop those that are done.

        Items of a service without servers are never taken. Without this, those that their clients have ended, or that
        have expired, would accumulate as long as the service has no servers.
        """
        self._reassign_some()
        for segment, queue in list(self._queues.items()):
            queue.drop_first(self._is_done, DROPPED_AT_ONCE)
            if not queue:
                del self._queues[segment]

    def _is_done(self, entry: QueuedItem) -> bool:
        return not self._items.is_waiting(entry)

    def _reassign_some(self) -> None:
        for _ in range(REASSIGNED_AT_ONCE):
            if not self._unassigned:
                return
            entry = self._unassigned[0].pop_any()
            if entry is None:
                self._unassigned.popleft()
            elif self._items.is_waiting(entry):
                self.add(entry)
