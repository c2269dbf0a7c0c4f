"""Admission control by the node's own CPU core, in addition to the load threshold of each pool.

Accepted requests that are not at a server form a queue for this core. While the core is busy, the queue is limited to
a share of the requests' deadlines, which is smallest for classes of the lowest worth. A request that waited too long
before it was read is rejected. This bounds the length of event loop iterations ("turns"), so the core keeps answering
requests under any load.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

TURNS_AHEAD = 2.0  # turns of the event loop that a request still needs once it has been read
# Of a request's deadline, less its server's latency: the longest queue for the highest worth and for the lowest one,
# and the time that may have passed when the response can be read.
MAX_QUEUE_SHARE = 0.2
MIN_QUEUE_SHARE = 0.1
MAX_ELAPSED_SHARE = 0.8
WORTH_OCTAVES = 4.0  # halvings of the highest worth down to the worth that gets the smallest share
MIN_LONG_TURN_S = 0.02  # with shorter turns of the event loop there is no queue
INITIAL_COST_S = 200e-6  # CPU time of a request that is served, until there is an estimate
COST_GAIN = 0.2  # smoothing factor of the estimates of CPU time and of server latency
REJECTION_COST = 0.1  # CPU time of a rejection, relative to that of a request that is served
MIN_BUSY_SHARE = 0.5  # estimates are updated if the core was busy for at least this share of the time
HALF_WEIGHT_REQUESTS = 20  # an interval with this many served requests has half of the largest weight
MIN_QUEUE_REQUESTS = 8  # fewer open requests are not a queue, whatever they cost


@dataclass(slots=True)
class CoreLimit:
    """Decides whether this core can finish another request before its deadline.

    Attributes:
    ----------
    top_s: the longest deadline of any class, less the latency of its servers; updated by the owner.
    cost_s: estimated CPU time of a request that is served.
    server_latency_s: estimated server latency, over all classes.
    """

    top_s: float = math.inf
    cost_s: float = INITIAL_COST_S
    server_latency_s: float = 0.0

    def update_costs(
        self, interval_s: float, busy_s: float, served: int, rejected: int, server_latency_s: float
    ) -> None:
        """Update the estimates from an interval of `interval_s`, in which the core was busy for `busy_s`.

        `server_latency_s` is the mean server latency of the served requests.
        """
        # Guard: with few requests, other work would be attributed to them, and the next burst would be rejected.
        if busy_s >= MIN_BUSY_SHARE * interval_s and served > 0:
            weight = served / (served + HALF_WEIGHT_REQUESTS)
            cost = busy_s / (served + REJECTION_COST * rejected)
            self.cost_s += COST_GAIN * weight * (cost - self.cost_s)
            self.server_latency_s += COST_GAIN * weight * (server_latency_s - self.server_latency_s)

    def allows(
        self,
        turn_s: float,
        waited_s: float,
        open_requests: int,
        server_s: float,
        deadline_s: float,
        relative_worth: float,
    ) -> bool:
        """Whether a request is accepted.

        Parameters
        ----------
        turn_s: length of a turn of the event loop, or of the current one so far if that is longer.
        waited_s: longest possible time since the request arrived.
        open_requests: requests that are accepted and not answered yet.
        server_s: server latency of the request's class.
        deadline_s: time from arrival after which the client no longer uses the response.
        relative_worth: worth of the class relative to the highest one, 0 to 1.
        """
        own_s = max(0.0, deadline_s - server_s)
        if waited_s + TURNS_AHEAD * turn_s > MAX_ELAPSED_SHARE * own_s:
            return False
        if turn_s <= MIN_LONG_TURN_S or open_requests < MIN_QUEUE_REQUESTS:
            return True
        # 0 for the highest worth, 1 for the lowest.
        level = min(1.0, max(0.0, -math.log2(max(relative_worth, 1e-6)) / WORTH_OCTAVES))
        return (
            self._queue_s(open_requests)
            <= (MAX_QUEUE_SHARE + (MIN_QUEUE_SHARE - MAX_QUEUE_SHARE) * level) * own_s
        )

    def shut(self, turn_s: float, waited_s: float, open_requests: int) -> bool:
        """Whether a request of any class would be rejected now, so that it need not be parsed."""
        return not self.allows(turn_s, waited_s, open_requests, 0.0, self.top_s, 1.0)

    def _queue_s(self, open_requests: int) -> float:
        """Return the CPU time of the open requests that are not at a server, by Little's law for a fully busy core."""
        return open_requests * self.cost_s - self.server_latency_s
