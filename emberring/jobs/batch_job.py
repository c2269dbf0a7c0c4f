"""One lot in its owner's memory: its items, who runs them, what is listed."""

from __future__ import annotations

from enum import IntEnum

import attrs

from emberring.jobs.calls import EventData, JobTerms


class ItemStatus(IntEnum):
    """Where an item stands. `PLACED`: its result has a position and is on its way to the disks."""

    WAITING = 0
    RUNNING = 1
    PLACED = 2
    LISTED = 3


@attrs.define(eq=False)
class Run:
    """An item's run at a gateway: its ticket, until when the gateway holds it without a further word, and when it
    began here."""

    ticket: int
    gateway: str
    expires_s: float
    began_s: float


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
        return self.status >= ItemStatus.PLACED


@attrs.define(eq=False)
class BatchJob:
    """A lot. Positions that are shown are the chosen ones from 0 on without a gap."""

    key: str
    terms: JobTerms
    accepted_s: float
    items: list[Item]
    accepted: bool = False
    ended: bool = False  # its client asked for the end; nothing of it may run
    end_lasts: bool = False
    forgetting: bool = False
    positions: dict[int, int] = attrs.field(factory=dict)  # the item at each position
    chosen: set[int] = attrs.field(factory=set)  # chosen positions from `shown` on
    shown: int = 0

    @property
    def host(self) -> str:
        """The host under which it was handed in."""
        return self.key.partition("/")[0]

    @property
    def due_s(self) -> float:
        """When all its results are due (seconds of the steady clock)."""
        return self.accepted_s + self.terms.completion_ms / 1000

    @property
    def tokens(self) -> int:
        """The tokens of all its items."""
        return sum(item.tokens for item in self.items)

    @property
    def all_shown(self) -> bool:
        """Whether every item is listed."""
        return self.shown == len(self.items)

    def free_position(self) -> int:
        """The first position without a result."""
        position = self.shown
        while position in self.positions:
            position += 1
        return position

    def choose(self, position: int) -> None:
        """A position's result lasts."""
        self.chosen.add(position)
        self.items[self.positions[position]].status = ItemStatus.LISTED
        while self.shown in self.chosen:
            self.chosen.discard(self.shown)
            self.shown += 1
