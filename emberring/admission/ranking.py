"""The cost of sending a call to a server, in milliseconds of delay of the first event.

The cost is what the call would wait there (queued prompts, the part of its own prompt that is not cached, a free slot,
a server slower than the others, failures) plus what it takes from other calls: recomputing a shared prompt part delays
every call on that server and uses capacity of the pool.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

import attrs

from emberring.admission.server import ServerView, load_report_trust
from emberring.admission.service_rate import ServiceRateEstimator
from emberring.admission.types import CallInfo, PrefixPart

DEFAULT_PROMPT_TOKENS = 200.0  # of a prompt whose length is unknown
PREFERRED_HIT_PROBABILITY = (
    0.8  # that the preferred server caches a part not sent there lately by this gateway
)
SECOND_HIT_PROBABILITY = 0.1  # the same for the second preferred server
RECOMPUTE_COST_SHARE = 0.6  # cost to other calls of computing a prompt, as a share of its own time
OTHER_CALLS_WEIGHT = 0.1  # of the other gateways' calls in the concurrency cost
OVERLOAD_ESTIMATE_WEIGHT = 0.8  # of a server's own estimate against the pool's mean, in its queue length
CONCURRENCY_COST_MS = 2.0  # by which each call in flight delays the next one
EVENT_GAP_WEIGHT = 0.6  # of event gaps over the usual ones; other gateways' prompts cause them
KV_PRESSURE_THRESHOLD = 0.85  # share of the KV cache from which a call may evict others
KV_PRESSURE_COST_MS = 60.0  # at a full KV cache
CONNECT_COST_MS = 8.0  # of a connection that has to be opened first: its time, and its cost to the server
CROSS_ZONE_COST_MS = 3.0  # of a server in another zone: round trip, and paid traffic


def expected_miss_tokens(
    call: CallInfo, server: ServerView, preferred: Sequence[str], affinity_id: str | None
) -> float:
    """Return the tokens of the prompt that the server is expected to have to compute.

    Args:
        call: the call.
        server: the server.
        preferred: ids of the preferred servers of the prompt's largest shared part, the first choice first.
        affinity_id: id of that part; None if there is none.
    """
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
    """Return the KV-cache tokens of a call that it shares with no other: its own part and its output."""
    own = call.parts[-1].tokens if call.parts else call.tokens_in
    return float(own + call.tokens_out)


def _missing(
    parts: Sequence[PrefixPart], known: int, hit_probability: float, affinity_id: str | None
) -> float:
    """Return the tokens of the parts from `known` on.

    Those up to the affinity part are discounted by the hit probability: a preferred server is likely to cache them.
    """
    missing = 0.0
    within_affinity = affinity_id is not None
    for part in parts[known:]:
        missing += part.tokens * (1.0 - hit_probability) if within_affinity else part.tokens
        within_affinity = within_affinity and part.id != affinity_id
    return missing


@attrs.frozen
class RankingContext:
    """What a ranking depends on besides the call and the server.

    Args:
        now_s: the moment of the decision (monotonic clock).
        service_rate: the pool's estimate of prefill speed and of how long calls hold a slot.
        usual_event_gap_ms: usual time between two events of a stream, over all servers.
        mean_other_calls: calls of the other gateways at a server, in the mean.
        waiting_tokens_per_call: prompt tokens waiting for prefill for each call in flight.
        gateways: live gateways.
        zone: this gateway's zone; empty if it has none.
        load_report_age_s: how long ago the other gateways' calls were measured.
    """

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
    """Return the expected wait for the first event of a call.

    Args:
        context: what the ranking depends on besides the call and the server.
        server: the server.
        tokens_ahead: prompt tokens that the server computes before the call's own.
        expected_miss_tokens: tokens of the call's own prompt that the server has to compute.
    """
    wait_ms = context.service_rate.wait_ms(tokens_ahead + expected_miss_tokens)
    likely_other_calls = server.estimated_load(context.gateways) - len(server.calls)
    other_calls = (
        OVERLOAD_ESTIMATE_WEIGHT * likely_other_calls
        + (1.0 - OVERLOAD_ESTIMATE_WEIGHT) * context.mean_other_calls
    )
    queued = len(server.calls) + other_calls + 1.0 - server.capacity
    if queued > 0.0:
        wait_ms += queued * context.service_rate.hold_s * 1000.0 / server.capacity
    return wait_ms


def cost_ms(
    context: RankingContext, server: ServerView, tokens_ahead: float, expected_miss_tokens: float
) -> float:
    """Return the cost by which servers are ranked; the lowest cost wins."""
    wait_ms = expected_wait_ms(context, server, tokens_ahead, expected_miss_tokens) * server.latency_penalty(
        context.now_s
    )
    event_gap_cost_ms = (
        max(0.0, server.event_gap(context.now_s) - context.usual_event_gap_ms) * EVENT_GAP_WEIGHT
    )
    other_calls = OTHER_CALLS_WEIGHT * load_report_trust(context.gateways) * server.other_calls
    return (
        wait_ms
        + event_gap_cost_ms
        + RECOMPUTE_COST_SHARE * expected_miss_tokens * context.service_rate.ms_per_token
        + CONCURRENCY_COST_MS * (len(server.calls) + other_calls)
        + _kv_pressure_cost_ms(server)
        + server.failure_rate.cost_ms(context.now_s)
        + (CROSS_ZONE_COST_MS if context.zone and server.record.zone != context.zone else 0.0)
    )


def _kv_pressure_cost_ms(server: ServerView) -> float:
    """Return the cost of a nearly full KV cache.

    Shared prompt parts are stored once and are not counted.
    """
    if server.kv_tokens == math.inf or not server.calls:
        return 0.0
    own_tokens = sum(placed.exclusive_tokens for placed in server.calls.values())
    share = own_tokens / len(server.calls) * server.load / server.kv_tokens
    return KV_PRESSURE_COST_MS * max(0.0, share - KV_PRESSURE_THRESHOLD) / (1.0 - KV_PRESSURE_THRESHOLD)
