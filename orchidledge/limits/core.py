"""What this core can still do in time: a limit of the node's own, beside the pool's cursor.

A request that is taken now is handled in this turn of the loop, waits for its server, and its answer is read a turn
later, behind all that a turn holds. Where that ends after what its class has time for, it is refused while that costs
little. Long turns bound themselves so: each turn takes what its shortest-lived requests allow, and refuses the rest.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

TURNS = 2.0  # of the loop that a request still has before it when it has been read
TOP_SHARE = 0.6  # of the time that a request has: what the top row may be predicted to take,
LOW_SHARE = 0.3  # and the lowest one
OCTAVES = 4.0  # worth so many halvings under the highest gets the lowest row
SHUT_S = 0.02  # a turn has to have lasted so long before anything is refused unread


@dataclass(slots=True)
class CoreLimit:
    """`top_s`: the time of the class that has most, less its servers' part; kept up by the owner."""

    top_s: float = math.inf
    refused: int = 0  # unread, since the last look

    def allows(self, waited_s: float, turn_s: float, server_s: float, time_s: float, worth: float) -> bool:
        """Whether a request can be answered in time.

        `waited_s`: since it came, at most; `turn_s`: a turn of the loop; `server_s`: its class's latency;
        `time_s`: from its coming, after which its answer is worth nothing; `worth`: of the highest, 0 to 1.
        """
        below = min(1.0, max(0.0, -math.log2(max(worth, 1e-6)) / OCTAVES))
        share = TOP_SHARE + (LOW_SHARE - TOP_SHARE) * below
        own = waited_s + TURNS * turn_s
        return own <= share * max(0.0, time_s - server_s)

    def shut(self, waited_s: float, turn_s: float) -> bool:
        """Whether no request at all could be answered in time, so that none need be read."""
        if waited_s < SHUT_S:
            return False
        return waited_s + TURNS * turn_s > TOP_SHARE * self.top_s
