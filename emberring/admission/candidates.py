"""The servers that are ranked for a call: all of a small pool, a random sample of a large one.

All gateways see the same sums of each other's calls, some hundred ms late. If each ranked all servers, all would choose
the one that looked idlest, so each ranks its own sample. A server is sampled in proportion to its expected free
capacity: what it lacks of the mean load, less the calls that have ended since the load was measured. The calls of all
gateways together thus level the load, whatever each of them samples. The preferred servers of the prompt are always
ranked. Part of the sample is taken from servers with an idle connection: a gateway with a few calls a second would
otherwise open a new connection for connected_atly each of them.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Sequence
from random import Random

from emberring.admission.server import ServerView

RANK_ALL_UP_TO = 8  # servers; a pool up to this size is ranked completely
SAMPLED_CONNECTED = 1  # servers sampled among those with an idle connection
SAMPLED_ANY = 1  # servers sampled among all
MIN_REPORT_AGE_S = 0.1  # a load report is in transit for about this long, whatever its age
MIN_SAMPLING_WEIGHT = 0.05  # of a server that looks full, against one of mean capacity


def candidates(
    servers: Sequence[ServerView],
    preferred: Collection[str],
    connected: Callable[[str], bool],
    random: Random,
    still_running: float,
) -> Sequence[ServerView]:
    """Return the servers to be ranked, each once.

    Args:
        servers: the servers of the pool.
        preferred: ids of servers that must be among them.
        connected: whether an idle connection to a server (by id) exists.
        random: source of the draws.
        still_running: share of the other gateways' reported calls that have not ended yet.
    """
    if len(servers) <= RANK_ALL_UP_TO:
        return servers
    weights = sampling_weights(servers, still_running)
    sampled = random.choices(servers, weights, k=SAMPLED_ANY)
    connected_at = [index for index, server in enumerate(servers) if connected(server.record.id)]
    if connected_at:
        sampled += random.choices(
            [servers[index] for index in connected_at],
            [weights[index] for index in connected_at],
            k=SAMPLED_CONNECTED,
        )
    sampled += [server for server in servers if server.record.id in preferred]
    return list({server.record.id: server for server in sampled}.values())


def still_running_share(age_s: float, hold_s: float) -> float:
    """Return the share of calls that have not ended since they were reported.

    Args:
        age_s: age of the report.
        hold_s: mean time for which a call holds its slot.
    """
    return math.exp(-max(MIN_REPORT_AGE_S, age_s) / hold_s) if hold_s > 0.0 else 0.0


def sampling_weights(servers: Sequence[ServerView], still_running: float) -> list[float]:
    """Return for each server the calls that it lacks of the mean load, in proportion to its slots."""
    slots = sum(server.capacity for server in servers)
    mean = (sum(server.load for server in servers) + 1.0) / slots
    return [
        max(
            MIN_SAMPLING_WEIGHT * mean * server.capacity, mean * server.capacity - still_running * server.load
        )
        for server in servers
    ]
