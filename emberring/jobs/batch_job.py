"""A batch job in its owner's memory: its items, their runs, their results."""

from __future__ import annotations

from enum import IntEnum

import attrs

from emberring.jobs.calls import EventData, JobTerms


class ItemStatus(IntEnum):
    """Status of an item. `RESULT_PENDING`: its result has a position and is not committed yet."""

    WAITING = 0
    RUNNING = 1
    RESULT_PENDING = 2
    LISTED = 3


@attrs.define(eq=False)
class Run:
    """An item's run at a gateway.

    `expires_s`: when its lease expires without a further report; `started_s`: when the run started here.
    Both in seconds of the monotonic clock.
    """

    ticket: int
    gateway: str
    expires_s: float
    started_s: float


@attrs.define(eq=False)
class Item:
    """An item of a batch job.

    `events` are those of its newest run, `failures` the tickets of runs that ended with status 500.
    """

    id: str
    tokens: int
    status: ItemStatus = ItemStatus.WAITING
    counted: bool = True  # its tokens count as waiting
    run: Run | None = None
    events: tuple[EventData, ...] = ()
    failures: frozenset[int] = frozenset()

    @property
    def done(self) -> bool:
        """Whether it has a result."""
        return self.status >= ItemStatus.RESULT_PENDING


@attrs.define(eq=False)
class BatchJob:
    """A batch job. The visible positions are the committed ones from 0 on without a gap."""

    key: str
    terms: JobTerms
    accepted_s: float
    items: list[Item]
    accepted: bool = False
    ended: bool = False  # its client asked for the end; nothing of it may run
    end_committed: bool = False
    forget_proposed: bool = False
    positions: dict[int, int] = attrs.field(factory=dict)  # the item at each position
    committed: set[int] = attrs.field(factory=set)  # committed positions from `visible` on
    visible: int = 0

    @property
    def host(self) -> str:
        """The host under which it was submitted."""
        return self.key.partition("/")[0]

    @property
    def due_s(self) -> float:
        """When all results are due, in seconds of the monotonic clock."""
        return self.accepted_s + self.terms.completion_ms / 1000

    @property
    def tokens(self) -> int:
        """The tokens of all its items."""
        return sum(item.tokens for item in self.items)

    @property
    def all_visible(self) -> bool:
        """Whether every item is listed."""
        return self.visible == len(self.items)

    def free_position(self) -> int:
        """Return the first position without a result."""
        position = self.visible
        while position in self.positions:
            position += 1
        return position

    def mark_committed(self, position: int) -> None:
        """Mark a position's result as committed and show what follows without a gap."""
        self.committed.add(position)
        self.items[self.positions[position]].status = ItemStatus.LISTED
        while self.visible in self.committed:
            self.committed.discard(self.visible)
            self.visible += 1
