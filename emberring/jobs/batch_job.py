"""In-memory state of a batch job at the owner of its shard: items, runs and positions of results."""

from __future__ import annotations

from enum import IntEnum

import attrs

from emberring.jobs.calls import EventData, JobTerms


class ItemStatus(IntEnum):
    """Status of an item.

    `RESULT_PENDING`: its result has a position and is not committed yet. `LISTED`: its result is committed.
    """

    WAITING = 0
    RUNNING = 1
    RESULT_PENDING = 2
    LISTED = 3


@attrs.define(eq=False)
class Run:
    """A run of an item at a gateway; `ticket` identifies it.

    `expires_s`: when its lease expires unless the gateway reports again; `started_s`: when this owner first
    recorded the run. Both are seconds of the monotonic clock.
    """

    ticket: int
    gateway: str
    expires_s: float
    started_s: float


@attrs.define(eq=False)
class Item:
    """An item of a batch job.

    `events`: the events received from its newest run; `failures`: the tickets of runs that ended with status 500;
    `declined`: how many runs in a row ended because the server declined the item; `retry_at_s`: when it may be leased
    again after that (seconds of the monotonic clock).
    """

    id: str
    tokens: int
    status: ItemStatus = ItemStatus.WAITING
    counted: bool = True  # its tokens are included in the waiting tokens of its route
    run: Run | None = None
    events: tuple[EventData, ...] = ()
    failures: frozenset[int] = frozenset()
    declined: int = 0
    retry_at_s: float = 0.0

    @property
    def done(self) -> bool:
        """Whether the item has a result, committed or not."""
        return self.status >= ItemStatus.RESULT_PENDING


@attrs.define(eq=False)
class BatchJob:
    """A batch job. `visible` is the number of positions, counted from 0, that are committed without a gap.

    `definition_checksum`: checksum of the definition that `items` were read from; None until it is committed.
    """

    key: str
    terms: JobTerms
    accepted_s: float
    items: list[Item]
    accepted: bool = False
    ended: bool = False  # its client has requested the end; no item may run any more
    end_committed: bool = False
    forget_proposed: bool = False
    positions: dict[int, int] = attrs.field(factory=dict)  # index of the item, by position
    committed: set[int] = attrs.field(factory=set)  # committed positions that are not visible yet
    visible: int = 0
    definition_checksum: int | None = None

    @property
    def host(self) -> str:
        """The host to which the batch job was submitted."""
        return self.key.partition("/")[0]

    @property
    def due_s(self) -> float:
        """When the batch job should be completed, in seconds of the monotonic clock."""
        return self.accepted_s + self.terms.completion_ms / 1000

    @property
    def tokens(self) -> int:
        """The total number of tokens of its items."""
        return sum(item.tokens for item in self.items)

    @property
    def all_visible(self) -> bool:
        """Whether the results of all items are visible."""
        return self.visible == len(self.items)

    def free_position(self) -> int:
        """Return the lowest position that no result has been assigned to."""
        position = self.visible
        while position in self.positions:
            position += 1
        return position

    def mark_committed(self, position: int) -> None:
        """Mark the result at a position as committed, and make all positions up to the next gap visible."""
        self.committed.add(position)
        self.items[self.positions[position]].status = ItemStatus.LISTED
        while self.visible in self.committed:
            self.committed.discard(self.visible)
            self.visible += 1
