"""Which servers are ranked for a call: all of a small pool, a draw of a large one.

All gateways see the same sums of each other's calls, some hundred ms late. If each ranked all servers, all would choose
the one that looked idlest. Each ranks a draw of its own instead. A server is drawn with a chance that follows the room
that it will have: what it lacks of the mean load, once the calls that have ended since the word was true are taken off.
So the calls of all gateways together level the servers out, whatever each of them draws. The homes of the call's
prompt are always ranked. A part of the draw is taken from the servers to which a connection rests: a gateway that sees
a few calls a second would otherwise make a new one for nearly each of them.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Sequence
from random import Random

from emberring.admission.server import ServerView

RANK_ALL_UP_TO = 8  # a pool up to this size is ranked whole
SAMPLED_CONNECTED = 1
SAMPLED_ANY = 1
MIN_REPORT_AGE_S = 0.1  # word is on its way for about so long, whatever its age when it was told
MIN_SAMPLING_WEIGHT = 0.05  # of a server that looks full, beside one of mean room


def candidates(
    servers: Sequence[ServerView],
    preferred: Collection[str],
    connected: Callable[[str], bool],
    random: Random,
    still_running: float,
) -> Sequence[ServerView]:
    """The servers to be ranked, each once. `preferred` are ids of those that must be among them; `kept` is the share of the
    others' calls told that are still there."""
    if len(servers) <= RANK_ALL_UP_TO:
        return servers
    chances = sampling_weights(servers, still_running)
    drawn = random.choices(servers, chances, k=SAMPLED_ANY)
    near = [at for at, one in enumerate(servers) if connected(one.record.id)]
    if near:
        drawn += random.choices(
            [servers[at] for at in near], [chances[at] for at in near], k=SAMPLED_CONNECTED
        )
    drawn += [one for one in servers if one.record.id in preferred]
    return list({one.record.id: one for one in drawn}.values())


def still_running_share(age_s: float, hold_s: float) -> float:
    """The share of calls that have not ended since word of them was true, each holding its place for about `hold_s`."""
    return math.exp(-max(MIN_REPORT_AGE_S, age_s) / hold_s) if hold_s > 0.0 else 0.0


def sampling_weights(servers: Sequence[ServerView], still_running: float) -> list[float]:
    """The calls that each server lacks of the mean of all, its part by places, now that some have ended."""
    slots = sum(one.capacity for one in servers)
    mean = (sum(one.load for one in servers) + 1.0) / slots
    return [
        max(MIN_SAMPLING_WEIGHT * mean * one.capacity, mean * one.capacity - still_running * one.load)
        for one in servers
    ]
