"""When a watch calls a discovery service that many nodes share, and how long each call may be held. Without I/O.

All nodes of a fleet lose such a service at the same moment and call it again at the same moment. A queue whose calls
time out before their turn serves none, so a fleet that calls faster than the service answers gets no list at all: of 35
nodes 25 had none for 11 s after an outage, as the whole fleet renewed its watches in step every 5 s and asked again at
each change of a release. Hence watches are long and of drawn length, and a change soon after a change is fetched later.
"""

from __future__ import annotations

import math
import random

SHORTEST_WAIT_SHARE = 0.75  # a call's wait is drawn from this share of the longest one up to it
SERIES_GAP_S = 7.0  # an answer within so long of the one before belongs to a series of changes
FIRST_PAUSE_S = (
    0.1  # after the second of a series; within 0.2 s the watch counts as going on; doubled for each further
)
LONGEST_PAUSE_S = 0.15  # the longest such pause
DOUBLINGS = 6  # more would not lengthen it


class CallPacing:
    """The waits and pauses of one watch.

    Parameters
    ----------
    longest_wait_ms: how long discovery may hold a call.
    shared: whether the service is shared; a local agent costs nothing to call.
    rng: draws waits and pauses.

    Attributes:
    ----------
    probing: whether a watch has fallen silent or moved, so that the next call is not to be held.
    """

    def __init__(self, longest_wait_ms: float, shared: bool, rng: random.Random | None = None) -> None:
        self.shared = shared
        self.probing = False
        self._longest_wait_ms = longest_wait_ms
        self._rng = rng or random.Random()
        self._answered_s = -math.inf
        self._series = 0  # answers in the present series of changes
        self._pause_s = 0.0

    def next_wait_ms(self) -> int:
        """Return how long discovery may hold the next call, in milliseconds."""
        if self.probing:
            return 0
        share = self._rng.uniform(SHORTEST_WAIT_SHARE, 1.0) if self.shared else 1.0
        return int(self._longest_wait_ms * share)

    def take_pause_s(self) -> float:
        """Return how long to wait before the next call, in seconds; the call after that follows at once."""
        pause_s, self._pause_s = self._pause_s, 0.0
        return pause_s

    def on_answer(self, now_s: float) -> None:
        """Note that a call was answered at this time, in seconds of a steady clock."""
        self.probing = False
        gap_s, self._answered_s = now_s - self._answered_s, now_s
        if not self.shared:
            return
        self._series = min(DOUBLINGS + 1, self._series + 1) if gap_s < SERIES_GAP_S else 0
        if self._series > 0:
            pause_s = min(LONGEST_PAUSE_S, FIRST_PAUSE_S * 2.0 ** (self._series - 1))
            self._pause_s = pause_s * self._rng.uniform(0.5, 1.0)

    def on_silence(self) -> None:
        """Note that a call had no answer in time; the next one finds out whether discovery answers at all."""
        self.probing = True

    def on_failure(self, silent: bool) -> None:
        """Note that a call failed, or that a second one had no answer (`silent`), which is reported."""
        self.probing = silent and not self.shared

    def on_move(self) -> None:
        """Note that discovery is elsewhere from now on, where the list is asked for at once."""
        self.probing = True
        self._pause_s = 0.0
