"""Calls in flight at a pool's servers: this gateway's own, and the others' as control told them."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence

from emberring.admission.server import ServerView


class KnownCalls:
    """A pool's servers by id, and the sums over them that decisions go by."""

    def __init__(self) -> None:
        self.servers: dict[str, ServerView] = {}
        self.own_when_told = 0  # this gateway's calls when the others' were last told
        self._reported = 0  # this gateway's calls when they were last reported
        self.true_s = -math.inf  # when the word of them was true
        self._others: float | None = None  # all others' calls, where that is told

    def told(self, servers: dict[str, ServerView], total: int | None, true_s: float) -> None:
        """The servers, told of the others' calls as they were at `true_s`; `total` is all gateways' calls, where it is
        told."""
        self.servers = servers
        self.true_s = true_s
        self.own_when_told = own_calls(self.servers.values())
        self._others = None if total is None else max(0.0, total - self._reported)

    def report(self, word_follows: bool) -> dict[str, int]:
        """This gateway's calls by server id; the next word of each server's calls may hold them."""
        calls = {server_id: len(server.calls) for server_id, server in self.servers.items()}
        self._reported = sum(calls.values())
        if word_follows:
            for server_id, server in self.servers.items():
                server.reported = calls[server_id]
        return calls

    def others_at(self, servers: Sequence[ServerView]) -> float:
        """The others' calls at these servers: their part by word of each, which may be seconds old, of all that
        newer word of all servers together says."""
        here = sum(server.others for server in servers)
        if self._others is None:
            return here
        everywhere = sum(server.others for server in self.servers.values())
        part = here / everywhere if everywhere > 0.0 else len(servers) / len(self.servers)
        return self._others * part

    def fill(self, servers: Sequence[ServerView]) -> float:
        """All calls at these servers as a share of their places."""
        return (own_calls(servers) + self.others_at(servers)) / places(servers)


def own_calls(servers: Iterable[ServerView]) -> int:
    """This gateway's calls in flight there."""
    return sum(len(server.calls) for server in servers)


def places(servers: Iterable[ServerView]) -> int:
    """Requests that these servers work on at once."""
    return sum(server.capacity for server in servers)
