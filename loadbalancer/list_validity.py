"""How long a server list may be used while discovery fails, and which servers may be used after that.

Part of the decision module. By the protocol (its page, "Figures"), a balancer counts as notified of a change
at most 6 s after discovery received it, even if the notification was lost. So a list that was complete at
some time may be used without restriction for another 6 s. The state of a list is evaluated for each attempt:

- current: the last call of discovery succeeded or is pending. The list is used without restriction.
- unconfirmed: the last call failed, but no missed change counts as notified yet. Used without restriction.
- expired: a missed change may count as notified. Only servers that accepted a call recently are used, because
  such a server is not draining, or began to only recently. Without any, the request is rejected.

A response from discovery leads to current from every state, a failure to unconfirmed, and time to expired.
"""

from __future__ import annotations

import math
from enum import Enum

from loadbalancer.outlier_detection import TrackedServer

# Draining servers may accept calls for up to 2.3 s (from traces with an overloaded discovery service).
ACCEPTED_WHILE_DRAINING_MS = 2300.0
# If fewer servers accepted a call recently, the most recent others are used too, within a longer time.
# Otherwise a node with little traffic has one server or none, and no server for a retry.
MIN_USABLE_SERVERS = 3
FALLBACK_ACCEPTED_WITHIN_MS = 5000.0
# A call that is pending for longer than this has been accepted: servers reject immediately.
REJECTED_WITHIN_MS = 500.0


class ListState(Enum):
    """Whether the current list may be used without restriction."""

    CURRENT = "current"
    UNCONFIRMED = "unconfirmed"
    EXPIRED = "expired"


class ListValidity:
    """The state of one pool's server list.

    Parameters
    ----------
    notified_after_ms: time after which a change in discovery counts as notified; None: lists never expire.
    """

    def __init__(self, notified_after_ms: float | None) -> None:
        self._notified_after_ms = notified_after_ms
        # The list has all changes up to then; infinite while discovery responds.
        self._complete_until_ms = math.inf
        self._cached_list_start_ms = -math.inf  # start with a cached list of unknown age

    def on_cached(self, now: float) -> None:
        """Note that the list is a cached one from before the start of the process."""
        self._cached_list_start_ms = now

    def on_answer(self) -> None:
        """Note a successful response from discovery."""
        self._complete_until_ms = math.inf

    def on_failure(self, now: float, complete_until_ms: float | None) -> None:
        """Note a failed call of discovery; the list was complete until `complete_until_ms` (None: now).

        Only the first of consecutive failures counts, because the list has not been updated since.
        """
        complete_ms = now if complete_until_ms is None else complete_until_ms
        if self._complete_until_ms == math.inf:
            self._complete_until_ms = complete_ms

    def state(self, now: float) -> ListState:
        """Return the state at time `now`."""
        if self._complete_until_ms == math.inf or self._notified_after_ms is None:
            return ListState.CURRENT
        if now < self._complete_until_ms + self._notified_after_ms:
            return ListState.UNCONFIRMED
        return ListState.EXPIRED

    def usable(self, now: float, ready: list[TrackedServer]) -> list[TrackedServer]:
        """Return those of the `ready` servers to which a call may be sent now."""
        if self._notified_after_ms is None or self.state(now) is not ListState.EXPIRED:
            return ready
        earliest_ms = now - (self._notified_after_ms - ACCEPTED_WHILE_DRAINING_MS)
        accepting = [server for server in ready if _last_accepted_sent_ms(now, server) > earliest_ms]
        if len(accepting) >= MIN_USABLE_SERVERS:
            return accepting
        if now < self._cached_list_start_ms + self._notified_after_ms:
            return ready  # After a start, few servers have accepted calls yet.
        latest = sorted(ready, key=lambda server: _last_accepted_sent_ms(now, server), reverse=True)[
            :MIN_USABLE_SERVERS
        ]
        return [
            server
            for server in latest
            if now - _last_accepted_sent_ms(now, server) < FALLBACK_ACCEPTED_WITHIN_MS
        ]


def _last_accepted_sent_ms(now: float, server: TrackedServer) -> float:
    """Return the send time of the latest call that this server is known to have accepted."""
    latest_ms = server.last_success_sent_ms
    if server.consecutive_failures:
        return latest_ms
    for call in reversed(server.pending.values()):
        if now - call.sent_ms >= REJECTED_WITHIN_MS:
            return max(latest_ms, call.sent_ms)
    return latest_ms
