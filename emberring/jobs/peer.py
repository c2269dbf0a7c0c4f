"""What one replica still lacks of an owner's records, and what is on its way there."""

from __future__ import annotations

import math

import attrs

SlotRef = tuple[str, int]  # the key of a batch job and a slot

MAX_IN_FLIGHT = 3
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.6
INVENTORY_INTERVAL_S = 0.6


@attrs.define(eq=False)
class ReplicaProgress:
    """A replica as its owner sees it. `known`: what it holds was compared with what it should hold."""

    identity: str
    known: bool = False
    fresh: dict[SlotRef, None] = attrs.field(factory=dict)  # written a moment ago; these go first
    backlog: dict[SlotRef, None] = attrs.field(factory=dict)
    extra: dict[SlotRef, None] = attrs.field(factory=dict)  # to be erased there
    in_flight: dict[int, tuple[SlotRef, ...]] = attrs.field(factory=dict)
    catching_up: set[int] = attrs.field(factory=set)  # of those in flight, the ones out of the backlog
    retry_at_s: float = -math.inf
    backoff_s: float = MIN_BACKOFF_S
    inventory_asked_s: float = -math.inf

    @property
    def complete(self) -> bool:
        """Whether it holds all that stood when it was compared, and what came since is on its way at most."""
        return self.known and not self.backlog and not self.catching_up

    @property
    def clean(self) -> bool:
        """Whether nothing at all is to be done for it."""
        return self.known and not (self.fresh or self.backlog or self.extra or self.in_flight)

    def may_send(self, now_s: float) -> bool:
        """Whether another message may go there now."""
        limit = MAX_IN_FLIGHT if self.backoff_s == MIN_BACKOFF_S else 1
        return len(self.in_flight) < limit and now_s >= self.retry_at_s

    def answered(self, ticket: int) -> tuple[SlotRef, ...]:
        """A message was carried out; what it held."""
        self.backoff_s = MIN_BACKOFF_S
        self.retry_at_s = -math.inf
        self.catching_up.discard(ticket)
        return self.in_flight.pop(ticket, ())

    def failed(self, now_s: float, ticket: int) -> tuple[SlotRef, ...]:
        """A message had no answer: send it again after an exponential backoff."""
        self.catching_up.discard(ticket)
        refs = self.in_flight.pop(ticket, ())
        self.retry_at_s = now_s + self.backoff_s
        self.backoff_s = min(2 * self.backoff_s, MAX_BACKOFF_S)
        return refs
