"""The server that a call is sent to: the cheapest of the candidates."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random

import attrs

from emberring.admission.affinity import first_homes, home_key
from emberring.admission.candidates import candidates, still_there
from emberring.admission.ranking import (
    CONNECT_MS,
    RankingContext,
    cost_ms,
    expected_wait_ms,
    own_tokens,
    tokens_to_read,
)
from emberring.admission.server import Placed, ServerView
from emberring.admission.types import CallInfo

JITTER = 0.05  # width of the draw that parts equal ranks
HOMES = 2  # servers that a large shared part belongs to, by turns


@attrs.frozen
class Choice:
    """A server, the prompt's tokens it is held to lack, and those that are read before them."""

    server: ServerView
    to_read: float
    ahead: float


def choose(
    around: RankingContext,
    call: CallInfo,
    servers: Sequence[ServerView],
    connected: Callable[[str], bool],
    random: Random,
) -> Choice:
    """The cheapest of these servers, of which there must be one."""
    key = home_key(call.parts)
    homes = first_homes(key, [one.fact.id for one in servers], HOMES) if key is not None else []
    ranked: list[tuple[float, Choice]] = []
    for server in candidates(
        servers, homes, connected, random, still_there(around.word_age_s, around.pace.hold_s)
    ):
        to_read = tokens_to_read(call, server, homes, key)
        ahead = server.waiting_tokens(around.now_s, around.pace.ms_per_token)
        ahead += around.mean_waiting * around.mean_others
        cost = cost_ms(around, server, ahead, to_read)
        cost += 0.0 if connected(server.fact.id) else CONNECT_MS
        cost *= 1.0 + JITTER * (random.random() - 0.5)
        ranked.append((cost, Choice(server, to_read, ahead)))
    return min(ranked, key=lambda entry: entry[0])[1]


def place(around: RankingContext, call: CallInfo, choice: Choice) -> Placed:
    """Count the call at the server chosen for it."""
    server = choice.server
    placed = Placed(
        call,
        server,
        around.now_s,
        choice.to_read,
        choice.ahead,
        expected_wait_ms(around, server, choice.ahead, choice.to_read),
        free=server.load < server.capacity,
        own_tokens=own_tokens(call),
    )
    server.calls[call.id] = placed
    server.memory.sent(call.parts, server.kv_tokens / around.gateways)
    return placed
