"""The limits that reject requests, each with a name for metrics and an error type of RFC 9209 (section 2.3)."""

from __future__ import annotations

from collections import Counter
from enum import Enum


class RejectionSource(Enum):
    """The limit that rejects a request: its name in metrics, its error type, and the explanation for the client."""

    TABLE = ("pool's table", "destination_unavailable", "")
    SERVERS = ("servers", "destination_unavailable", "")  # tried, but rejected it or were unreachable
    NO_SERVER = ("no server", "destination_unavailable", "no server is known")
    CORE = ("own core", "proxy_internal_response", "this node's core is busy")
    CONNECTIONS = ("own descriptors", "connection_limit_reached", "this node can open no connection in time")
    CALLERS = ("callers' connections", "connection_limit_reached", "too many callers' connections")
    OPEN = ("open requests", "connection_limit_reached", "too many requests are open")
    TIME = ("no time left", "http_request_timeout", "")

    @property
    def label(self) -> str:
        """The name in metrics."""
        return self.value[0]

    # Every rejection is counted under its source, and the hash function of Enum, written in Python, is slow.
    __hash__ = object.__hash__

    @property
    def error(self) -> str:
        """The error type of RFC 9209."""
        return self.value[1]

    @property
    def explanation(self) -> str:
        """The explanation for the client; empty if there is none."""
        return self.value[2]


class RejectionCounts:
    """Rejections since the start by pool, class and source; both names are empty for requests rejected unparsed."""

    def __init__(self) -> None:
        self.counts: Counter[tuple[str, str, RejectionSource]] = Counter()

    def add(self, pool: str, kind: str, source: RejectionSource) -> None:
        """Count a rejection."""
        self.counts[pool, kind, source] += 1

    def rows(self) -> dict[str, dict[str, dict[str, int]]]:
        """Return the counts by pool, class and source; `""` is an unknown pool or class."""
        rows: dict[str, dict[str, dict[str, int]]] = {}
        for (pool, kind, source), count in sorted(self.counts.items(), key=lambda item: item[0][:2]):
            rows.setdefault(pool, {}).setdefault(kind, {})[source.label] = count
        return rows

    def by_source(self) -> Counter[str]:
        """Return the counts by source alone."""
        sums: Counter[str] = Counter()
        for (_, _, source), count in self.counts.items():
            sums[source.label] += count
        return sums
