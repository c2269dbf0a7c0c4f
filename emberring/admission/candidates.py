"""Which servers are ranked for a call: all of a small pool, a draw of a large one.

All gateways see the same sums of each other's calls, late. If each ranked all servers, all would choose the one that
looked idlest. Each ranks a draw of its own instead, so that a server that looks idle gets a bounded share of all
calls; the homes of the call's prompt are always among them. Most of the draw is taken from the servers to which a
connection rests: a gateway that sees a few calls a second would otherwise make a new one for nearly each of them.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Sequence
from random import Random

from emberring.admission.server import ServerView

ALL_RANKED = 8  # a pool up to this size is ranked whole
DRAWN_CONNECTED = 4
DRAWN_ANY = 2


def candidates(
    servers: Sequence[ServerView],
    homes: Collection[str],
    connected: Callable[[str], bool],
    random: Random,
) -> Sequence[ServerView]:
    """The servers to be ranked, each once. `homes` are ids of those that must be among them."""
    if len(servers) <= ALL_RANKED:
        return servers
    near = [one for one in servers if connected(one.fact.id)]
    drawn = random.sample(near, min(DRAWN_CONNECTED, len(near))) + random.sample(servers, DRAWN_ANY)
    drawn += [one for one in servers if one.fact.id in homes]
    return list({one.fact.id: one for one in drawn}.values())
