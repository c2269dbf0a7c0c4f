"""Limits derived from the process's file descriptors: connections of clients and connections to servers.

A connection on which a request may be in transit is never closed without a response. Instead, responses carry
`Connection: close` before descriptors run short, so that clients free their slots.
"""

from __future__ import annotations

from dataclasses import dataclass, field

SPARE = 16  # descriptors for the listeners, logs, standard streams and the event loop
CLIENT_SHARE = 0.58  # of the other descriptors: connections of clients
SERVER_SHARE = 0.35  # the same: connections to servers; the rest is for discovery, admin and closing ones
KEEP_ALIVE_SHARE = 0.7  # of the client connections: how many may stay open between requests
ACTIVE_SHARE = 0.75  # of the client connections: how many may have an accepted request; others are rejected
NO_DATA_TIMEOUT_S = 1.0  # a connection that has sent nothing for this long may be closed when no slot is free
QUEUE_WAIT_SHARE = 0.5  # of an attempt's remaining time: longest expected wait for a connection
HOLD_TIME_GAIN = 0.05  # smoothing factor of the time that an attempt occupies a connection
MAX_DESCRIPTORS = 65_536  # descriptors, if the configuration sets no limit and the process is allowed more


@dataclass(slots=True, frozen=True)
class ConnectionShares:
    """Connection limits of one listener and of one pool."""

    callers: int
    servers: int


def share_out(descriptors: int, listeners: int, pools: int) -> ConnectionShares:
    """Divide a process's descriptors among its listeners and pools; each gets at least one connection."""
    usable = max(0, descriptors - SPARE)
    return ConnectionShares(
        max(1, int(usable * CLIENT_SHARE) // max(1, listeners)),
        max(1, int(usable * SERVER_SHARE) // max(1, pools)),
    )


@dataclass(slots=True)
class ConnectionLimit:
    """Limits of the client connections of one listener."""

    limit: int
    max_keep_alive: int = field(init=False)  # connections that may stay open between requests
    max_active: int = field(init=False)  # connections that may have an accepted request

    def __post_init__(self) -> None:
        self.max_keep_alive = max(1, int(self.limit * KEEP_ALIVE_SHARE))
        self.max_active = max(1, int(self.limit * ACTIVE_SHARE))

    def may_accept(self, open_connections: int) -> int:
        """Return how many more connections may be accepted now; the others wait in the kernel."""
        return max(0, self.limit - open_connections)

    def may_keep(self, open_connections: int) -> bool:
        """Whether a connection may stay open after its response.

        If idle connections took every slot, a new one would wait until one of them timed out, or an idle one would be
        closed while a request was in transit on it.
        """
        return open_connections <= self.max_keep_alive

    def may_begin(self, active_requests: int) -> bool:
        """Whether one more request may be accepted while `active_requests` are in progress.

        If accepted requests occupied every slot, later ones would wait in the kernel until their deadlines had passed.
        The remaining slots are for rejecting those at once.
        """
        return active_requests < self.max_active


@dataclass(slots=True)
class WaitQueue:
    """Limits how many attempts may wait for a connection once this process has reached its connection limit."""

    hold_s: float = 0.0  # smoothed time that an attempt occupies a connection

    def record_hold_time(self, seconds: float) -> None:
        """Record for how long an attempt has occupied a connection."""
        gain = HOLD_TIME_GAIN if self.hold_s else 1.0
        self.hold_s += gain * (seconds - self.hold_s)

    def may_wait(self, waiting: int, limit: int, left_s: float) -> bool:
        """Whether an attempt with `left_s` left may wait behind `waiting` others, with `limit` connections in use.

        An attempt that would wait for longer than its share of the remaining time is rejected at once.
        """
        return (waiting + 1) * self.hold_s / max(1, limit) <= QUEUE_WAIT_SHARE * left_s
