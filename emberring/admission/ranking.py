"""The cost of sending a call to a server, in milliseconds of the first event's delay.

It is what the call would wait there (prompts before it, its own prompt as far as the server is held to lack it, a
place, a server slower than the others, failures there) and what it takes from others: reading a shared part anew costs
everyone there its time, and costs the pool what it could do instead.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

import attrs

from emberring.admission.server import ServerView, load_report_trust
from emberring.admission.service_rate import ServiceRateEstimator
from emberring.admission.types import CallInfo, PrefixPart

DEFAULT_PROMPT_TOKENS = 200.0  # a prompt whose parts are not told
PREFERRED_HIT_PROBABILITY = (
    0.8  # the chance that a home keeps a part that this gateway did not send there lately,
)
SECOND_HIT_PROBABILITY = 0.1  # and that the next home does
RECOMPUTE_COST_SHARE = 0.6  # what reading anew costs others, as a share of its own time
OTHER_CALLS_WEIGHT = 0.1
OVERLOAD_ESTIMATE_WEIGHT = 0.8
CONCURRENCY_COST_MS = 2.0  # a call in flight slows the next by about this
EVENT_GAP_WEIGHT = 0.6  # pauses between events there over the usual ones, that prompts of others explain
KV_PRESSURE_THRESHOLD = 0.85  # share of the memory from which a call there may push others out
KV_PRESSURE_COST_MS = 60.0
CONNECT_COST_MS = 8.0  # a connection that has to be made first: its time, and what it costs the server
CROSS_ZONE_COST_MS = 3.0  # another zone: the way there and back, and bytes that are paid for


def expected_miss_tokens(
    call: CallInfo, server: ServerView, preferred: Sequence[str], affinity_id: str | None
) -> float:
    """Tokens of the prompt that the server is held to lack."""
    if not call.parts:
        return float(call.tokens_in or DEFAULT_PROMPT_TOKENS)
    known = server.prefix_cache.cached_parts(call.parts)
    hit_probability = 0.0
    if preferred and server.record.id in preferred[:2]:
        hit_probability = (
            PREFERRED_HIT_PROBABILITY if server.record.id == preferred[0] else SECOND_HIT_PROBABILITY
        )
    return _missing(call.parts, known, hit_probability, affinity_id)


def exclusive_tokens(call: CallInfo) -> float:
    """Tokens of memory that a call takes for itself: all that is not a shared part, and what it makes."""
    own = call.parts[-1].tokens if call.parts else call.tokens_in
    return float(own + call.tokens_out)


def _missing(
    parts: Sequence[PrefixPart], known: int, hit_probability: float, affinity_id: str | None
) -> float:
    missing = 0.0
    at_home = affinity_id is not None
    for part in parts[known:]:
        missing += part.tokens * (1.0 - hit_probability) if at_home else part.tokens
        at_home = at_home and part.id != affinity_id
    return missing


@attrs.frozen
class RankingContext:
    """What a decision goes by besides the call and the server. `mean_other_calls` are the others' calls at a server,
    `waiting_tokens_per_call` the tokens that wait to be read for each call in flight; `zone` is the caller's, if it has one;
    `load_report_age_s` is how long ago word of the others' calls was true."""

    now_s: float
    service_rate: ServiceRateEstimator
    usual_event_gap_ms: float
    mean_other_calls: float
    waiting_tokens_per_call: float
    gateways: int
    zone: str = ""
    load_report_age_s: float = math.inf


def expected_wait_ms(
    context: RankingContext, server: ServerView, tokens_ahead: float, expected_miss_tokens: float
) -> float:
    """The wait for the first event of a call with so many tokens to read, that many being ahead of it."""
    wait_ms = context.service_rate.wait_ms(tokens_ahead + expected_miss_tokens)
    likely = server.estimated_load(context.gateways) - len(server.calls)
    other_calls = (
        OVERLOAD_ESTIMATE_WEIGHT * likely + (1.0 - OVERLOAD_ESTIMATE_WEIGHT) * context.mean_other_calls
    )
    over = len(server.calls) + other_calls + 1.0 - server.capacity
    if over > 0.0:
        wait_ms += over * context.service_rate.hold_s * 1000.0 / server.capacity
    return wait_ms


def cost_ms(
    context: RankingContext, server: ServerView, tokens_ahead: float, expected_miss_tokens: float
) -> float:
    """What ranks servers; less is better."""
    wait_ms = expected_wait_ms(context, server, tokens_ahead, expected_miss_tokens) * server.latency_penalty(
        context.now_s
    )
    slower_ms = max(0.0, server.event_gap(context.now_s) - context.usual_event_gap_ms) * EVENT_GAP_WEIGHT
    told = OTHER_CALLS_WEIGHT * load_report_trust(context.gateways) * server.other_calls
    return (
        wait_ms
        + slower_ms
        + RECOMPUTE_COST_SHARE * expected_miss_tokens * context.service_rate.ms_per_token
        + CONCURRENCY_COST_MS * (len(server.calls) + told)
        + _kv_pressure_cost_ms(server)
        + server.failure_rate.cost_ms(context.now_s)
        + (CROSS_ZONE_COST_MS if context.zone and server.record.zone != context.zone else 0.0)
    )


def _kv_pressure_cost_ms(server: ServerView) -> float:
    """What a memory that is nearly full costs; shared parts are held once and counted nowhere here."""
    if server.kv_tokens == math.inf or not server.calls:
        return 0.0
    mine = sum(placed.exclusive_tokens for placed in server.calls.values())
    share = mine / len(server.calls) * server.load / server.kv_tokens
    return KV_PRESSURE_COST_MS * max(0.0, share - KV_PRESSURE_THRESHOLD) / (1.0 - KV_PRESSURE_THRESHOLD)
