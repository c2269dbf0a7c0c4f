"""What one replica still lacks of an owner's records, and what is on its way there."""

from __future__ import annotations

import math

import attrs

Ref = tuple[str, int]  # the key of a lot and a slot

MAX_IN_FLIGHT = 3
FIRST_BACKOFF_S = 0.1
LAST_BACKOFF_S = 1.6
FETCH_AGAIN_S = 0.6


@attrs.define(eq=False)
class Peer:
    """A replica as its owner sees it. `known`: what it holds was compared with what it should hold."""

    identity: str
    known: bool = False
    fresh: dict[Ref, None] = attrs.field(factory=dict)  # written a moment ago; these go first
    backlog: dict[Ref, None] = attrs.field(factory=dict)
    extra: dict[Ref, None] = attrs.field(factory=dict)  # to be erased there
    in_flight: dict[int, tuple[Ref, ...]] = attrs.field(factory=dict)
    catching_up: set[int] = attrs.field(factory=set)  # of those in flight, the ones out of the backlog
    retry_at_s: float = -math.inf
    backoff_s: float = FIRST_BACKOFF_S
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
        limit = MAX_IN_FLIGHT if self.backoff_s == FIRST_BACKOFF_S else 1
        return len(self.in_flight) < limit and now_s >= self.retry_at_s

    def answered(self, ticket: int) -> tuple[Ref, ...]:
        """A message was carried out; what it held."""
        self.backoff_s = FIRST_BACKOFF_S
        self.retry_at_s = -math.inf
        self.catching_up.discard(ticket)
        return self.in_flight.pop(ticket, ())

    def failed(self, now_s: float, ticket: int) -> tuple[Ref, ...]:
        """A message had no answer: send it again after a pause that grows."""
        self.catching_up.discard(ticket)
        refs = self.in_flight.pop(ticket, ())
        self.retry_at_s = now_s + self.backoff_s
        self.backoff_s = min(2 * self.backoff_s, LAST_BACKOFF_S)
        return refs
