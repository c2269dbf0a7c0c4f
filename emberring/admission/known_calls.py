"""Calls in flight at a pool's servers: this gateway's own, and the others' as control told them."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence

from emberring.admission.server import ServerView


class KnownCalls:
    """A pool's servers by id, and the sums over them that decisions go by."""

    def __init__(self) -> None:
        self.servers: dict[str, ServerView] = {}
        self.own_calls_at_report = 0  # this gateway's calls when the others' were last told
        self._reported = 0  # this gateway's calls when they were last reported
        self.load_measured_s = -math.inf  # when the word of them was true
        self._other_calls_total: float | None = None  # all others' calls, where that is told

    def update(self, servers: dict[str, ServerView], total: int | None, load_measured_s: float) -> None:
        """The servers, told of the others' calls as they were at `true_s`; `total` is all gateways' calls, where it is
        told."""
        self.servers = servers
        self.load_measured_s = load_measured_s
        self.own_calls_at_report = own_calls(self.servers.values())
        self._other_calls_total = None if total is None else max(0.0, total - self._reported)

    def report(self, server_loads_follow: bool) -> dict[str, int]:
        """This gateway's calls by server id; the next word of each server's calls may hold them."""
        calls = {server_id: len(server.calls) for server_id, server in self.servers.items()}
        self._reported = sum(calls.values())
        if server_loads_follow:
            for server_id, server in self.servers.items():
                server.reported_calls = calls[server_id]
        return calls

    def other_calls_at(self, servers: Sequence[ServerView]) -> float:
        """The others' calls at these servers: their part by word of each, which may be seconds old, of all that
        newer word of all servers together says."""
        here = sum(server.other_calls for server in servers)
        if self._other_calls_total is None:
            return here
        everywhere = sum(server.other_calls for server in self.servers.values())
        part = here / everywhere if everywhere > 0.0 else len(servers) / len(self.servers)
        return self._other_calls_total * part

    def utilization(self, servers: Sequence[ServerView]) -> float:
        """All calls at these servers as a share of their places."""
        return (own_calls(servers) + self.other_calls_at(servers)) / slots(servers)


def own_calls(servers: Iterable[ServerView]) -> int:
    """This gateway's calls in flight there."""
    return sum(len(server.calls) for server in servers)


def slots(servers: Iterable[ServerView]) -> int:
    """Requests that these servers work on at once."""
    return sum(server.capacity for server in servers)
