"""The servers that are ranked for a call: all of a small pool, a random sample of a large one.

All gateways get the same load report, some hundred ms late. If each of them ranked all servers, all would choose the
server with the least reported load and overload it, so each ranks a random sample of its own. The probability that a
server is sampled is proportional to its expected free capacity: the difference between the mean load and its own load,
without the calls that have probably ended since the report. The calls of all gateways together then equalize the load.
The preferred servers of the prompt are always ranked. Part of the sample is drawn from the servers with an idle
connection, because a gateway with a few calls a second would otherwise open a new connection for almost each call.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Sequence
from random import Random

from emberring.admission.server import ServerView

RANK_ALL_UP_TO = 8  # servers; all servers of a pool up to this size are ranked
SAMPLED_CONNECTED = 1  # servers sampled among those with an idle connection
SAMPLED_ANY = 1  # servers sampled among all
MIN_REPORT_AGE_S = 0.1  # lower limit of the age of a load report: its time in transit
MIN_SAMPLING_WEIGHT = 0.05  # of a server that is reported full, relative to one without load


def candidates(
    servers: Sequence[ServerView],
    preferred: Collection[str],
    connected: Callable[[str], bool],
    random: Random,
    still_running: float,
) -> Sequence[ServerView]:
    """Return the servers to be ranked, without duplicates.

    Args:
        servers: the servers of the pool.
        preferred: ids of servers that are always included.
        connected: whether an idle connection to a server (by id) exists.
        random: random number generator.
        still_running: estimated share of the other gateways' reported calls that have not ended yet.
    """
    if len(servers) <= RANK_ALL_UP_TO:
        return servers
    weights = sampling_weights(servers, still_running)
    sampled = random.choices(servers, weights, k=SAMPLED_ANY)
    connected_indexes = [index for index, server in enumerate(servers) if connected(server.record.id)]
    if connected_indexes:
        sampled += random.choices(
            [servers[index] for index in connected_indexes],
            [weights[index] for index in connected_indexes],
            k=SAMPLED_CONNECTED,
        )
    sampled += [server for server in servers if server.record.id in preferred]
    return list({server.record.id: server for server in sampled}.values())


def still_running_share(age_s: float, slot_time_s: float) -> float:
    """Return the estimated share of the reported calls that have not ended yet.

    Args:
        age_s: age of the report.
        slot_time_s: mean time for which a call occupies its slot.
    """
    return math.exp(-max(MIN_REPORT_AGE_S, age_s) / slot_time_s) if slot_time_s > 0.0 else 0.0


def sampling_weights(servers: Sequence[ServerView], still_running: float) -> list[float]:
    """Return for each server the difference between the mean load, scaled by its slots, and its estimated load."""
    slots = sum(server.capacity for server in servers)
    mean = (sum(server.load for server in servers) + 1.0) / slots
    return [
        max(
            MIN_SAMPLING_WEIGHT * mean * server.capacity, mean * server.capacity - still_running * server.load
        )
        for server in servers
    ]
