"""Replication state of one replica: the records that it lacks and the writes in flight to it."""

from __future__ import annotations

import math

import attrs

SlotRef = tuple[str, int]  # the key of a batch job and a slot

MAX_IN_FLIGHT = 3  # requests to one replica at a time
MIN_BACKOFF_S = 0.1  # after a failed request; doubles up to MAX_BACKOFF_S
MAX_BACKOFF_S = 1.6
INVENTORY_INTERVAL_S = 0.6  # between requests for the inventory of one replica


@attrs.define(eq=False)
class ReplicaProgress:
    """State of a replica as known to the owner.

    `compared`: the replica's inventory was compared with the owner's records. Times are seconds of the
    monotonic clock.
    """

    identity: str
    compared: bool = False
    pending: dict[SlotRef, None] = attrs.field(factory=dict)  # new writes, sent before the backlog
    backlog: dict[SlotRef, None] = attrs.field(factory=dict)  # older writes that the replica lacks
    to_erase: dict[SlotRef, None] = attrs.field(factory=dict)  # slots to erase at the replica
    in_flight: dict[int, tuple[SlotRef, ...]] = attrs.field(factory=dict)
    catching_up: set[int] = attrs.field(factory=set)  # tickets in flight that carry slots of the backlog
    retry_at_s: float = -math.inf
    backoff_s: float = MIN_BACKOFF_S
    inventory_requested_s: float = -math.inf

    @property
    def complete(self) -> bool:
        """Whether the replica stores all records that the comparison found missing; newer writes may be in flight."""
        return self.compared and not self.backlog and not self.catching_up

    @property
    def up_to_date(self) -> bool:
        """Whether no write to the replica is pending or in flight."""
        return self.compared and not (self.pending or self.backlog or self.to_erase or self.in_flight)

    def may_send(self, now_s: float) -> bool:
        """Whether another request may be sent to the replica now."""
        limit = MAX_IN_FLIGHT if self.backoff_s == MIN_BACKOFF_S else 1
        return len(self.in_flight) < limit and now_s >= self.retry_at_s

    def on_written(self, ticket: int) -> tuple[SlotRef, ...]:
        """Handle the confirmation of a request; return its slots."""
        self.backoff_s = MIN_BACKOFF_S
        self.retry_at_s = -math.inf
        self.catching_up.discard(ticket)
        return self.in_flight.pop(ticket, ())

    def on_call_failed(self, now_s: float, ticket: int) -> tuple[SlotRef, ...]:
        """Handle a failed request and start the backoff; return its slots, which are to be sent again."""
        self.catching_up.discard(ticket)
        refs = self.in_flight.pop(ticket, ())
        self.retry_at_s = now_s + self.backoff_s
        self.backoff_s = min(2 * self.backoff_s, MAX_BACKOFF_S)
        return refs
