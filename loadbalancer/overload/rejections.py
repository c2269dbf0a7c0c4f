"""The limits that reject requests: each has one owner, a name, and an error type of RFC 9209 (section 2.3)."""

from __future__ import annotations

from collections import Counter
from enum import Enum


class RejectionSource(Enum):
    """The limit that rejects a request: its name in metrics, its error type, and what its caller is told."""

    TABLE = ("pool's table", "destination_unavailable", "")
    SERVERS = ("servers", "destination_unavailable", "")  # attempted, and rejected or not reached
    NO_SERVER = ("no server", "destination_unavailable", "no server is known")
    CORE = ("own core", "proxy_internal_response", "this node's core is busy")
    CONNECTIONS = ("own descriptors", "connection_limit_reached", "this node can open no connection in time")
    CALLERS = ("callers' connections", "connection_limit_reached", "too many callers' connections")
    OPEN = ("open requests", "connection_limit_reached", "too many requests are open")
    TIME = ("no time left", "http_request_timeout", "")

    @property
    def label(self) -> str:
        """Its name in metrics."""
        return self.value[0]

    # Enum's own hash is written in Python, and each refusal is counted.
    __hash__ = object.__hash__

    @property
    def error(self) -> str:
        """Its error type by RFC 9209."""
        return self.value[1]

    @property
    def words(self) -> str:
        """What its caller is told; empty: nothing."""
        return self.value[2]


class RejectionCounts:
    """Rejections by pool, class and source since the start; what is rejected unread has neither pool nor class."""

    def __init__(self) -> None:
        self.counts: Counter[tuple[str, str, RejectionSource]] = Counter()

    def add(self, pool: str, kind: str, whose: RejectionSource) -> None:
        """Count a rejection."""
        self.counts[pool, kind, whose] += 1

    def rows(self) -> dict[str, dict[str, dict[str, int]]]:
        """Return the counts by pool, class and source; `""` stands for what was not known yet."""
        found: dict[str, dict[str, dict[str, int]]] = {}
        for (pool, kind, whose), count in sorted(self.counts.items(), key=lambda item: item[0][:2]):
            found.setdefault(pool, {}).setdefault(kind, {})[whose.label] = count
        return found

    def by_owner(self) -> Counter[str]:
        """Return the counts by source alone."""
        sums: Counter[str] = Counter()
        for (_, _, whose), count in self.counts.items():
            sums[whose.label] += count
        return sums
