"""Calls in flight at a pool's servers: this gateway's own, and those of other gateways as reported by control nodes."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence

from emberring.admission.server import ServerView


class KnownCalls:
    """The servers of a pool by id, and the calls in flight at them."""

    def __init__(self) -> None:
        self.servers: dict[str, ServerView] = {}
        self.own_calls_at_report = 0  # this gateway's calls when the latest load report arrived
        self._own_calls_reported = 0  # this gateway's calls in the latest report that it sent
        self.load_measured_s = -math.inf  # when the load in the latest report was measured
        self._other_calls_total: float | None = None  # of the other gateways; None if not reported

    def update(self, servers: dict[str, ServerView], total: int | None, load_measured_s: float) -> None:
        """Replace the servers and the total; `other_calls` of each server must already be up to date.

        Args:
            servers: the servers of the pool.
            total: calls in flight of all gateways at the service; None if it was not reported.
            load_measured_s: when the reported load was measured (monotonic clock).
        """
        self.servers = servers
        self.load_measured_s = load_measured_s
        self.own_calls_at_report = own_calls(self.servers.values())
        self._other_calls_total = None if total is None else max(0.0, total - self._own_calls_reported)

    def report(self, server_loads_follow: bool) -> dict[str, int]:
        """Return this gateway's calls by server id, and store them as reported.

        Args:
            server_loads_follow: whether the next load report will include the load of each server.
        """
        calls = {server_id: len(server.calls) for server_id, server in self.servers.items()}
        self._own_calls_reported = sum(calls.values())
        if server_loads_follow:
            for server_id, server in self.servers.items():
                server.reported_calls = calls[server_id]
        return calls

    def other_calls_at(self, servers: Sequence[ServerView]) -> float:
        """Return the estimated calls of the other gateways at these servers.

        The latest total of the service is split in proportion to the reports per server, which may be seconds older.
        """
        at_these = sum(server.other_calls for server in servers)
        if self._other_calls_total is None:
            return at_these
        at_all = sum(server.other_calls for server in self.servers.values())
        share = at_these / at_all if at_all > 0.0 else len(servers) / len(self.servers)
        return self._other_calls_total * share

    def utilization(self, servers: Sequence[ServerView]) -> float:
        """Return all gateways' calls at these servers as a share of their slots."""
        return (own_calls(servers) + self.other_calls_at(servers)) / slots(servers)


def own_calls(servers: Iterable[ServerView]) -> int:
    """Return this gateway's calls in flight at these servers."""
    return sum(len(server.calls) for server in servers)


def slots(servers: Iterable[ServerView]) -> int:
    """Return how many requests these servers process concurrently."""
    return sum(server.capacity for server in servers)
