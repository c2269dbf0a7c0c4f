"""One batch job in its owner's memory: its items, who runs them, what is listed."""

from __future__ import annotations

from enum import IntEnum

import attrs

from emberring.jobs.calls import EventData, JobTerms


class ItemStatus(IntEnum):
    """Where an item stands. `RESULT_PENDING`: its result has a position and is on its way to the disks."""

    WAITING = 0
    RUNNING = 1
    RESULT_PENDING = 2
    LISTED = 3


@attrs.define(eq=False)
class Run:
    """An item's run at a gateway: its ticket, until when the gateway holds it without a further word, and when it
    began here."""

    ticket: int
    gateway: str
    expires_s: float
    started_s: float


@attrs.define(eq=False)
class Item:
    """An item. `events` are what its newest run has given, `failures` the tickets answered with a 500."""

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
    """A batch job. Positions that are shown are the committed ones from 0 on without a gap."""

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
        """When all its results are due (seconds of the monotonic clock)."""
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
        """The first position without a result."""
        position = self.visible
        while position in self.positions:
            position += 1
        return position

    def mark_committed(self, position: int) -> None:
        """A position's result lasts."""
        self.committed.add(position)
        self.items[self.positions[position]].status = ItemStatus.LISTED
        while self.visible in self.committed:
            self.committed.discard(self.visible)
            self.visible += 1
