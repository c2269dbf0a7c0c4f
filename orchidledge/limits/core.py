"""What this core can still do in time: a limit of the node's own, beside the pool's cursor.

A request that is taken now is handled in this turn of the loop, waits for its server, and its answer is read a turn
later, behind all that a turn holds. While that fits well into the time that its class has, it is taken. Beyond that a
turn takes what it can do in the length of a turn, the highest worth first, and the rest is refused while that costs
little: so turns stay bounded, and the core goes on answering however much is asked.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

TURNS = 2.0  # of the loop that a request has before it when it has been read
TOP_SHARE = 0.4  # of the time that a request has: what the top row may easily take,
LOW_SHARE = 0.2  # and the lowest one
LAST_SHARE = 0.8  # of the time: what it may take at the most
OCTAVES = 4.0  # worth so many halvings under the highest gets the lowest row
WORK_SHARE = 0.9  # of a turn's length, that the requests taken in one may need beyond what is easy
TURN_LEAST_S = 0.02  # a turn that counts as long
COST_S = 200e-6  # of the core, for a request that is served, until it is known
COST_GAIN = 0.2  # smoothing of it
REFUSAL = 0.1  # of that cost: a refusal


@dataclass(slots=True)
class CoreLimit:
    """`top_s`: the time of the class that has most, less its servers' part; kept up by the owner."""

    top_s: float = math.inf
    cost_s: float = COST_S
    _turn: float = 0.0  # when the turn began whose work is counted
    _work_s: float = 0.0

    def learn(self, busy_s: float, served: int, refused: int) -> None:
        """What the core has done in so much time of work."""
        if served > 0:
            cost = busy_s / (served + REFUSAL * refused)
            self.cost_s += COST_GAIN * (cost - self.cost_s)

    def allows(
        self, polled: float, waited_s: float, turn_s: float, server_s: float, time_s: float, worth: float
    ) -> bool:
        """Whether a request is taken; one that is counts as work of the turn that began at `polled`.

        `waited_s`: since it came, at most; `turn_s`: a turn of the loop; `server_s`: its class's latency;
        `time_s`: from its coming, after which its answer is worth nothing; `worth`: of the highest, 0 to 1.
        """
        below = min(1.0, max(0.0, -math.log2(max(worth, 1e-6)) / OCTAVES))
        row = 1.0 + (LOW_SHARE / TOP_SHARE - 1.0) * below
        own_s = max(0.0, time_s - server_s)
        allowed = waited_s + TURNS * turn_s <= TOP_SHARE * row * own_s
        if not allowed and waited_s + TURNS * turn_s <= LAST_SHARE * own_s:
            allowed = self._work(polled) <= WORK_SHARE * row * max(turn_s, TURN_LEAST_S)
        if allowed:
            self._work_s = self._work(polled) + self.cost_s
        return allowed

    def hurried(self, turn_s: float) -> bool:
        """Whether turns are too long for what comes to wait for one more."""
        return TURNS * turn_s > TOP_SHARE * self.top_s

    def shut(self, polled: float, waited_s: float, turn_s: float) -> bool:
        """Whether no request would be taken now, whatever it is, so that none need be read."""
        if waited_s + TURNS * turn_s <= TOP_SHARE * self.top_s:
            return False
        late = waited_s + TURNS * turn_s > LAST_SHARE * self.top_s
        return late or self._work(polled) > WORK_SHARE * max(turn_s, TURN_LEAST_S)

    def _work(self, polled: float) -> float:
        """Of the core, what has been taken in this turn."""
        if polled != self._turn:
            self._turn, self._work_s = polled, 0.0
        return self._work_s
