"""Descriptors as a limit like any other: callers' connections and servers', what is held, opened and closed first.

A connection on which a request may be on its way is never closed without an answer: slots are freed by telling callers
`Connection: close` with their answers, before it is short.
"""

from __future__ import annotations

from dataclasses import dataclass, field

SPARE = 16  # descriptors for the listeners, logs, standard streams and the event loop
CALLERS_SHARE = 0.58  # of the others: callers' connections;
SERVERS_SHARE = 0.35  # servers'; what is left takes in lists, the admin listener and what closes
KEEP_SHARE = 0.7  # of the callers' connections may be kept between requests; the others come, ask and go
BEGIN_SHARE = 0.75  # of them may carry a request that has been taken; the others are refused in their turn
SILENT_S = 1.0  # what has connected and said nothing for so long may be taken away where there is no room
WAIT_SHARE = 0.5  # of the time that an attempt has: what it may be expected to wait for a connection
HOLD_GAIN = 0.05  # smoothing of how long an attempt holds a connection
MOST = 65_536  # descriptors, where nothing is stated and the process may have more


@dataclass(slots=True, frozen=True)
class Shares:
    """How many connections a listener and a pool may hold."""

    callers: int
    servers: int


def share_out(descriptors: int, listeners: int, pools: int) -> Shares:
    """Each listener's and each pool's part of a process's descriptors; at least one each."""
    usable = max(0, descriptors - SPARE)
    return Shares(
        max(1, int(usable * CALLERS_SHARE) // max(1, listeners)),
        max(1, int(usable * SERVERS_SHARE) // max(1, pools)),
    )


@dataclass(slots=True)
class ConnectionLimit:
    """Limits of the callers' connections at one listener."""

    limit: int
    kept: int = field(init=False)  # connections that may be kept between requests
    begun: int = field(init=False)  # connections that may carry a request that has been taken

    def __post_init__(self) -> None:
        self.kept = max(1, int(self.limit * KEEP_SHARE))
        self.begun = max(1, int(self.limit * BEGIN_SHARE))

    def may_accept(self, held: int) -> int:
        """Return how many more may be accepted now; the others wait in the kernel."""
        return max(0, self.limit - held)

    def may_keep(self, held: int) -> bool:
        """Whether a connection may stay after its answer.

        With all places kept by callers that seldom ask, a new one waited until one of them had idled out, or
        an idle one was closed over a request that was on its way to it.
        """
        return held <= self.kept

    def may_begin(self, active_requests: int) -> bool:
        """Whether one more request may be taken, so many being under way.

        With every place held by a request that had been taken, those behind waited in the kernel until they
        were late; some places are left to tell them so.
        """
        return active_requests < self.begun


@dataclass(slots=True)
class WaitQueue:
    """Decides how many attempts may wait for a connection, because this process may open no more."""

    hold_s: float = 0.0  # smoothed time that an attempt holds a connection

    def note_held(self, seconds: float) -> None:
        """Count how long a connection has carried an attempt."""
        gain = HOLD_GAIN if self.hold_s else 1.0
        self.hold_s += gain * (seconds - self.hold_s)

    def may_wait(self, waiting: int, limit: int, left_s: float) -> bool:
        """Whether one more may wait behind `waiting` others with `left_s` left: else it would be late."""
        return (waiting + 1) * self.hold_s / max(1, limit) <= WAIT_SHARE * left_s
