"""How long a server list may be used while discovery fails, and which servers may be used after that.

Part of the decision module. A change of the list counts as notified at the latest 6 s after discovery had it,
whether or not it arrived (protocol page, "Figures"). So a list that lacked no change at some time may be used
as it is for 6 s more. Its states, which are asked at the moment of each attempt:

- current: discovery answered last, or holds a call of ours. The list is used as it is.
- unconfirmed: the last call failed, and no change that was missed can count as notified yet. Used as it is.
- expired: a change may count as notified that never arrived. Only servers that accepted a call lately are
  used: one that does is not draining, or has begun to only just before. Without any the request is rejected.

An answer of discovery leads to current from every state, a failure to unconfirmed, time to expired.
"""

from __future__ import annotations

import math
from enum import Enum

from loadbalancer.outlier_detection import TrackedServer

# Draining servers accepted calls for up to 2.3 s in traces of crowded discovery.
ACCEPTED_WHILE_DRAINING_MS = 2300.0
# With fewer than so many the next ones are used too, if they accepted a call not much longer ago: a node with
# little traffic had one or none, and no server for a retry.
LEAST_SERVERS = 3
LEAST_SERVERS_AGE_MS = 5000.0
# A call that is with a server for longer than this has been accepted: a rejection comes at once.
REJECTED_WITHIN_MS = 500.0


class ListState(Enum):
    """Whether the list that is held may be used as it is."""

    CURRENT = "current"
    UNCONFIRMED = "unconfirmed"
    EXPIRED = "expired"


class ListValidity:
    """The state of one pool's server list.

    Parameters
    ----------
    notified_after_ms: how long after discovery had it a change counts as notified; None: lists never expire.
    """

    def __init__(self, notified_after_ms: float | None) -> None:
        self._notified_after_ms = notified_after_ms
        # No change before then is missing; infinite while discovery answers.
        self._complete_until_ms = math.inf
        self._started_ms = -math.inf  # with a cached list, of which it is not known how old it is

    def on_cached(self, now: float) -> None:
        """Note that the list is one that was kept from before the start."""
        self._started_ms = now

    def on_answer(self) -> None:
        """Note that discovery has answered."""
        self._complete_until_ms = math.inf

    def on_failure(self, now: float, complete_until_ms: float | None) -> None:
        """Note that a call of discovery failed; the list was complete until then (None: until now).

        Of failures in a row the first one tells: the later calls have brought nothing.
        """
        known_ms = now if complete_until_ms is None else complete_until_ms
        if self._complete_until_ms == math.inf:
            self._complete_until_ms = known_ms

    def state(self, now: float) -> ListState:
        """Return the state at this time, in milliseconds."""
        if self._complete_until_ms == math.inf or self._notified_after_ms is None:
            return ListState.CURRENT
        if now < self._complete_until_ms + self._notified_after_ms:
            return ListState.UNCONFIRMED
        return ListState.EXPIRED

    def usable(self, now: float, ready: list[TrackedServer]) -> list[TrackedServer]:
        """Return those of the servers in use that may be sent a call at this time."""
        if self._notified_after_ms is None or self.state(now) is not ListState.EXPIRED:
            return ready
        lately_ms = now - (self._notified_after_ms - ACCEPTED_WHILE_DRAINING_MS)
        accepting = [server for server in ready if _accepted_ms(now, server) > lately_ms]
        if len(accepting) >= LEAST_SERVERS:
            return accepting
        if now < self._started_ms + self._notified_after_ms:
            return ready  # A process that has just started has little to go by.
        latest = sorted(ready, key=lambda server: _accepted_ms(now, server), reverse=True)[:LEAST_SERVERS]
        return [server for server in latest if now - _accepted_ms(now, server) < LEAST_SERVERS_AGE_MS]


def _accepted_ms(now: float, server: TrackedServer) -> float:
    """Return when the latest call was sent that this server is known to have accepted."""
    latest_ms = server.answered_sent_ms
    if server.failures:
        return latest_ms
    for call in reversed(server.pending.values()):
        if now - call.sent_ms >= REJECTED_WITHIN_MS:
            return max(latest_ms, call.sent_ms)
    return latest_ms
