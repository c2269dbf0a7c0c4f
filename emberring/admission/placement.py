"""Selection of the server for a call: the candidate with the lowest cost."""

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
PREFERRED_SERVERS = 2  # number of preferred servers of a large shared prompt part


@attrs.frozen
class Choice:
    """The server chosen for a call.

    Args:
        expected_miss_tokens: expected tokens of the prompt that the server has not cached and must compute.
        tokens_ahead: prompt tokens queued at the server ahead of the call's own.
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
    """Return the server with the lowest cost; `servers` must not be empty."""
    affinity_id = affinity_key(call.parts)
    preferred = (
        preferred_servers(affinity_id, [candidate.record.id for candidate in servers], PREFERRED_SERVERS)
        if affinity_id is not None
        else []
    )
    ranked: list[tuple[float, Choice]] = []
    for server in candidates(
        servers,
        preferred,
        connected,
        random,
        still_running_share(context.load_report_age_s, context.service_rate.slot_time_s),
    ):
        miss_tokens = expected_miss_tokens(call, server, preferred, affinity_id)
        tokens_ahead = server.waiting_tokens(context.now_s, context.service_rate.ms_per_token)
        tokens_ahead += context.waiting_tokens_per_call * context.mean_other_calls
        cost = cost_ms(context, server, tokens_ahead, miss_tokens)
        cost += 0.0 if connected(server.record.id) else CONNECT_COST_MS
        cost *= 1.0 + JITTER * (random.random() - 0.5)
        ranked.append((cost, Choice(server, miss_tokens, tokens_ahead)))
    return min(ranked, key=lambda cost_and_choice: cost_and_choice[0])[1]


def place_call(context: RankingContext, call: CallInfo, choice: Choice) -> PlacedCall:
    """Record the call at the server chosen for it."""
    server = choice.server
    placed_call = PlacedCall(
        call,
        server,
        context.now_s,
        choice.expected_miss_tokens,
        choice.tokens_ahead,
        expected_wait_ms(context, server, choice.tokens_ahead, choice.expected_miss_tokens),
        had_free_slot=server.load < server.capacity,
        exclusive_tokens=exclusive_tokens(call),
    )
    server.calls[call.id] = placed_call
    server.prefix_cache.record_prompt(call.parts, server.kv_tokens / context.gateways)
    return placed_call
