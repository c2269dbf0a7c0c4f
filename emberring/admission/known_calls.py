"""Calls in flight at a pool's servers: this gateway's own, and those of other gateways as reported by control nodes."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence

from emberring.admission.server import ServerView


class KnownCalls:
    """The servers of a pool by id, and the sums over them that decisions go by."""

    def __init__(self) -> None:
        self.servers: dict[str, ServerView] = {}
        self.own_calls_at_report = 0  # this gateway's calls when the load was last reported
        self._reported = 0  # this gateway's calls in its own latest report
        self.load_measured_s = -math.inf  # when the reported load was measured
        self._other_calls_total: float | None = None  # all other gateways' calls, if reported

    def update(self, servers: dict[str, ServerView], total: int | None, load_measured_s: float) -> None:
        """Replace the servers, whose reports of other gateways' calls are already updated.

        Args:
            servers: the servers of the pool.
            total: calls in flight of all gateways at the service; None where it was not reported.
            load_measured_s: when the reported load was measured (monotonic clock).
        """
        self.servers = servers
        self.load_measured_s = load_measured_s
        self.own_calls_at_report = own_calls(self.servers.values())
        self._other_calls_total = None if total is None else max(0.0, total - self._reported)

    def report(self, server_loads_follow: bool) -> dict[str, int]:
        """Return this gateway's calls by server id, and remember them as reported.

        Args:
            server_loads_follow: whether the next load report will include the load of each server.
        """
        calls = {server_id: len(server.calls) for server_id, server in self.servers.items()}
        self._reported = sum(calls.values())
        if server_loads_follow:
            for server_id, server in self.servers.items():
                server.reported_calls = calls[server_id]
        return calls

    def other_calls_at(self, servers: Sequence[ServerView]) -> float:
        """Return the other gateways' calls at these servers.

        It is their part, by the reports of single servers (maybe seconds old), of the newer total of the service.
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
    """Return the requests that these servers process concurrently."""
    return sum(server.capacity for server in servers)
