"""What this core can still do in time: a limit of the node's own, beside the pool's cursor.

A request that has been taken is a queue at this core, but for the part of its time that its server has it. That queue
is kept as short as a share of the time that requests have, the lowest worth having the smallest share, whenever the
core is busy at all; and what waited too long before it was read is refused for that. So turns of the loop stay bounded,
and the core goes on answering however much is asked.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

TURNS = 2.0  # of the loop that a request has before it when it has been read
TOP_SHARE = 0.2  # of a request's time, less its server's part: the queue that it may join, in the top row
LOW_SHARE = 0.1  # and in the lowest one
LAST_SHARE = 0.8  # of that time: what may be gone when its answer can be read
OCTAVES = 4.0  # worth so many halvings under the highest gets the lowest row
TURN_LEAST_S = 0.02  # a turn that counts as long: with shorter ones no queue is there
COST_S = 200e-6  # of the core, for a request that is served, until it is known
COST_GAIN = 0.2  # smoothing of it, and of what servers take
REFUSAL = 0.1  # of that cost: a refusal
BUSY_SHARE = 0.5  # of the time, that the core has to work for it to be learned
WEIGHTY = 20  # requests that say as much of it as all before
FEW = 8  # open requests that are no queue, whatever they cost


@dataclass(slots=True)
class CoreLimit:
    """`top_s`: the time of the class that has most, less its servers' part; kept up by the owner."""

    top_s: float = math.inf
    cost_s: float = COST_S
    servers_s: float = 0.0  # of an answer, whatever its class

    def learn(self, whole_s: float, busy_s: float, served: int, refused: int, servers_s: float) -> None:
        """Learn the costs from what the core has done in `whole_s`, of which it worked for `busy_s`.

        `servers_s` is what servers took of an answer.
        """
        # Beside few requests what else the core does was taken for their cost, and a burst was refused.
        if busy_s >= BUSY_SHARE * whole_s and served > 0:
            weight = served / (served + WEIGHTY)
            cost = busy_s / (served + REFUSAL * refused)
            self.cost_s += COST_GAIN * weight * (cost - self.cost_s)
            self.servers_s += COST_GAIN * weight * (servers_s - self.servers_s)

    def allows(
        self, turn_s: float, waited_s: float, open_: int, server_s: float, time_s: float, worth: float
    ) -> bool:
        """Whether a request is taken.

        `turn_s`: a turn of the loop, or this one so far; `waited_s`: since it came, at most; `open_`: requests taken
        and not answered; `server_s`: its class's latency; `time_s`: from its coming, after which its answer is worth
        nothing; `worth`: of the highest, 0 to 1.
        """
        own_s = max(0.0, time_s - server_s)
        if waited_s + TURNS * turn_s > LAST_SHARE * own_s:
            return False
        if turn_s <= TURN_LEAST_S or open_ < FEW:
            return True
        below = min(1.0, max(0.0, -math.log2(max(worth, 1e-6)) / OCTAVES))
        return self._queue_s(open_) <= (TOP_SHARE + (LOW_SHARE - TOP_SHARE) * below) * own_s

    def shut(self, turn_s: float, waited_s: float, open_: int) -> bool:
        """Whether no request would be taken now, whatever it is, so that none need be read."""
        return not self.allows(turn_s, waited_s, open_, 0.0, self.top_s, 1.0)

    def _queue_s(self, open_: int) -> float:
        """Return the work of what is open and not with a server (by Little's law), of a core that does nothing else."""
        return open_ * self.cost_s - self.servers_s
