"""The limits that reject requests: each has one owner, a name, and an error type of RFC 9209 (section 2.3)."""

from __future__ import annotations

from collections import Counter
from enum import Enum


class RejectionSource(Enum):
    """A refusal's owner: its name in figures, its error type, and what its caller is told."""

    TABLE = ("pool's table", "destination_unavailable", "")
    SERVERS = ("servers", "destination_unavailable", "")  # tried, and turned away or not reached
    NO_SERVER = ("no server", "destination_unavailable", "no server is known")
    CORE = ("own core", "proxy_internal_response", "this node's core is busy")
    CONNECTIONS = ("own descriptors", "connection_limit_reached", "this node can open no connection in time")
    CALLERS = ("callers' connections", "connection_limit_reached", "too many callers' connections")
    OPEN = ("open requests", "connection_limit_reached", "too many requests are open")
    TIME = ("no time left", "http_request_timeout", "")

    @property
    def label(self) -> str:
        return self.value[0]

    # Guard: Enum's own hash is written in Python, and each refusal is counted.
    __hash__ = object.__hash__

    @property
    def error(self) -> str:
        return self.value[1]

    @property
    def words(self) -> str:
        return self.value[2]


class RejectionCounts:
    """How many were refused, by pool, class and owner, since the start. What is refused unread has neither."""

    def __init__(self) -> None:
        self.counts: Counter[tuple[str, str, RejectionSource]] = Counter()

    def add(self, pool: str, kind: str, whose: RejectionSource) -> None:
        self.counts[pool, kind, whose] += 1

    def rows(self) -> dict[str, dict[str, dict[str, int]]]:
        """By pool, class and owner; `""` stands for what was not known yet."""
        found: dict[str, dict[str, dict[str, int]]] = {}
        for (pool, kind, whose), count in sorted(self.counts.items(), key=lambda item: item[0][:2]):
            found.setdefault(pool, {}).setdefault(kind, {})[whose.label] = count
        return found

    def by_owner(self) -> Counter[str]:
        sums: Counter[str] = Counter()
        for (_, _, whose), count in self.counts.items():
            sums[whose.label] += count
        return sums
