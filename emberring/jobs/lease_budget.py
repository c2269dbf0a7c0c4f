"""What may be leased to a gateway in answer to one of its polls."""

from __future__ import annotations

from collections import Counter
from collections.abc import Container, Mapping

from emberring.configuration.service_choice import SplitSegment

# Of content in one reply to a poll. One item more may follow, so that the largest one makes progress; a reply stays far
# below the longest line that a gateway reads.
MAX_LEASED_BYTES = 1024 * 1024


class LeaseBudget:
    """The items that may still be leased to a gateway, in number, by service, and in bytes of content.

    Args:
        gateway: name and incarnation of the gateway.
        capacity: the number of items.
        service_capacity: the number of items by each service that has servers; None if every service may be leased.
        segments: the segments that may be leased; None for all.
        max_bytes: no further item is leased once their content has this size.
    """

    def __init__(
        self,
        gateway: str,
        capacity: int,
        service_capacity: Mapping[str, int] | None = None,
        segments: Container[SplitSegment] | None = None,
        max_bytes: int = MAX_LEASED_BYTES,
    ) -> None:
        self.gateway = gateway
        self.leased_bytes = 0
        self._capacity = capacity
        self._service_capacity = dict(service_capacity) if service_capacity is not None else None
        self._segments = segments
        self._max_bytes = max_bytes

    @property
    def exhausted(self) -> bool:
        """Whether nothing more may be leased."""
        return self._capacity <= 0 or self.leased_bytes >= self._max_bytes

    def allows(self, segment: SplitSegment) -> bool:
        """Return whether an item of this segment may be leased."""
        if self._segments is not None and segment not in self._segments:
            return False
        service = self._service(segment)
        if self._service_capacity is None or service is None:
            return self._capacity > 0
        return min(self._capacity, self._service_capacity.get(service, 0)) > 0

    def spend(self, segment: SplitSegment, content_bytes: int) -> None:
        """Record an item that was leased."""
        self._capacity -= 1
        self.leased_bytes += content_bytes
        service = self._service(segment)
        if self._service_capacity is not None and service is not None:
            self._service_capacity[service] -= 1

    def part(self, shares: Mapping[SplitSegment, int]) -> LeaseBudget:
        """Return a budget within this one, of the segments in `shares` alone and with that number of items of each."""
        capacity = min(self._capacity, sum(shares.values()))
        if self._service_capacity is None:
            return LeaseBudget(self.gateway, capacity, None, shares, self._max_bytes)
        by_service: Counter[str | None] = Counter()
        for segment, share in shares.items():
            by_service[self._service(segment)] += share
        service_capacity = {
            service: min(free, by_service[service]) for service, free in self._service_capacity.items()
        }
        return LeaseBudget(self.gateway, capacity, service_capacity, shares, self._max_bytes)

    def _service(self, segment: SplitSegment) -> str | None:
        """Return the service whose capacity the items of a segment take; None if only their total is limited."""
        if self._service_capacity is None:
            return None
        return segment.service(self._service_capacity.__contains__)
