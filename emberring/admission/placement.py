"""The selection of the server for a call: the candidate with the lowest cost."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random

import attrs

from emberring.admission.affinity import affinity_key, preferred_servers
from emberring.admission.candidates import candidates, still_running_share
from emberring.admission.ranking import (
    CONNECT_COST_MS,
    RankingContext,
    cost_ms,
    exclusive_tokens,
    expected_miss_tokens,
    expected_wait_ms,
)
from emberring.admission.server import PlacedCall, ServerView
from emberring.admission.types import CallInfo

JITTER = 0.05  # width of the random factor on costs, which breaks ties
PREFERRED_SERVERS = 2  # of a large shared prompt part, in order of preference


@attrs.frozen
class Choice:
    """The server chosen for a call.

    Args:
        expected_miss_tokens: tokens of the prompt that the server is expected to have to compute.
        tokens_ahead: prompt tokens queued there before the call's own.
    """

    server: ServerView
    expected_miss_tokens: float
    tokens_ahead: float


def choose_server(
    context: RankingContext,
    call: CallInfo,
    servers: Sequence[ServerView],
    connected: Callable[[str], bool],
    random: Random,
) -> Choice:
    """Return the server with the lowest cost of these, of which there must be at least one."""
    key = affinity_key(call.parts)
    preferred = (
        preferred_servers(key, [one.record.id for one in servers], PREFERRED_SERVERS)
        if key is not None
        else []
    )
    ranked: list[tuple[float, Choice]] = []
    for server in candidates(
        servers,
        preferred,
        connected,
        random,
        still_running_share(context.load_report_age_s, context.service_rate.hold_s),
    ):
        miss_tokens = expected_miss_tokens(call, server, preferred, key)
        tokens_ahead = server.waiting_tokens(context.now_s, context.service_rate.ms_per_token)
        tokens_ahead += context.waiting_tokens_per_call * context.mean_other_calls
        cost = cost_ms(context, server, tokens_ahead, miss_tokens)
        cost += 0.0 if connected(server.record.id) else CONNECT_COST_MS
        cost *= 1.0 + JITTER * (random.random() - 0.5)
        ranked.append((cost, Choice(server, miss_tokens, tokens_ahead)))
    return min(ranked, key=lambda entry: entry[0])[1]


def place_call(context: RankingContext, call: CallInfo, choice: Choice) -> PlacedCall:
    """Count the call at the server chosen for it."""
    server = choice.server
    placed = PlacedCall(
        call,
        server,
        context.now_s,
        choice.expected_miss_tokens,
        choice.tokens_ahead,
        expected_wait_ms(context, server, choice.tokens_ahead, choice.expected_miss_tokens),
        had_free_slot=server.load < server.capacity,
        exclusive_tokens=exclusive_tokens(call),
    )
    server.calls[call.id] = placed
    server.prefix_cache.record_prompt(call.parts, server.kv_tokens / context.gateways)
    return placed
