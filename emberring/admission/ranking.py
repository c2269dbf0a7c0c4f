"""The cost of sending a call to a server, in milliseconds of delay of the first event.

The cost is the expected wait of the call (for queued prompts, the uncached part of its own prompt and a free slot,
with penalties for slow and failing servers) plus the delay that it causes for other calls: recomputing a shared prompt
part delays all calls at the server and uses capacity of the pool.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

import attrs

from emberring.admission.server import ServerView, load_report_trust
from emberring.admission.service_rate import ServiceRateEstimator
from emberring.admission.types import CallInfo, PrefixPart

DEFAULT_PROMPT_TOKENS = 200.0  # assumed length of a prompt of unknown length
# Probability that the first preferred server has cached a part that this gateway has not sent to it.
PREFERRED_HIT_PROBABILITY = 0.8
SECOND_HIT_PROBABILITY = 0.1  # the same for the second preferred server
RECOMPUTE_COST_SHARE = 0.6  # delay of other calls by computing a prompt, as a share of its compute time
OTHER_CALLS_WEIGHT = 0.1  # of the other gateways' calls in the concurrency cost
OVERLOAD_ESTIMATE_WEIGHT = 0.8  # of the server's estimated load against the pool's mean, in the queue length
CONCURRENCY_COST_MS = 2.0  # delay of a call by each other call in flight
EVENT_GAP_WEIGHT = 0.6  # weight of event gaps above the usual ones, which prompts of other gateways cause
KV_PRESSURE_THRESHOLD = 0.85  # share of the KV cache above which a call may evict others
KV_PRESSURE_COST_MS = 60.0  # at a full KV cache
CONNECT_COST_MS = 8.0  # of opening a connection: the time, and the work of the server
CROSS_ZONE_COST_MS = 3.0  # of a server in another zone: round trip and traffic fees


def expected_miss_tokens(
    call: CallInfo, server: ServerView, preferred: Sequence[str], affinity_id: str | None
) -> float:
    """Return the expected number of prompt tokens that the server has not cached and must compute.

    Args:
        call: the call.
        server: the server.
        preferred: ids of the preferred servers of the prompt's largest shared part, the most preferred first.
        affinity_id: id of that part; None if there is none.
    """
    if not call.parts:
        return float(call.tokens_in or DEFAULT_PROMPT_TOKENS)
    cached_count = server.prefix_cache.cached_parts(call.parts)
    hit_probability = 0.0
    if preferred and server.record.id in preferred[:2]:
        hit_probability = (
            PREFERRED_HIT_PROBABILITY if server.record.id == preferred[0] else SECOND_HIT_PROBABILITY
        )
    return _uncached_tokens(call.parts, cached_count, hit_probability, affinity_id)


def exclusive_tokens(call: CallInfo) -> float:
    """Return the KV-cache tokens that a call does not share with other calls: its own prompt part and its output."""
    own = call.parts[-1].tokens if call.parts else call.tokens_in
    return float(own + call.tokens_out)


def _uncached_tokens(
    parts: Sequence[PrefixPart], cached_count: int, hit_probability: float, affinity_id: str | None
) -> float:
    """Return the expected uncached tokens of the parts from index `cached_count` on.

    The parts up to the affinity part are weighted by the miss probability: a preferred server has probably cached them.
    """
    uncached = 0.0
    within_affinity = affinity_id is not None
    for part in parts[cached_count:]:
        uncached += part.tokens * (1.0 - hit_probability) if within_affinity else part.tokens
        within_affinity = within_affinity and part.id != affinity_id
    return uncached


@attrs.frozen
class RankingContext:
    """Inputs of a ranking that are the same for all servers.

    Args:
        now_s: the current time (monotonic clock).
        service_rate: the pool's estimate of prefill speed and of the time for which calls occupy a slot.
        usual_event_gap_ms: usual time between two events of a stream, over all servers.
        mean_other_calls: mean number of calls of the other gateways per server.
        waiting_tokens_per_call: mean number of prompt tokens awaiting prefill per call in flight.
        gateways: number of live gateways.
        zone: this gateway's zone; empty if it has none.
        load_report_age_s: age of the reported calls of the other gateways.
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
        context: inputs that are the same for all servers.
        server: the server.
        tokens_ahead: prompt tokens that the server computes ahead of the call's own.
        expected_miss_tokens: tokens of the call's own prompt that the server must compute.
    """
    wait_ms = context.service_rate.wait_ms(tokens_ahead + expected_miss_tokens)
    estimated_other_calls = server.estimated_load(context.gateways) - len(server.calls)
    other_calls = (
        OVERLOAD_ESTIMATE_WEIGHT * estimated_other_calls
        + (1.0 - OVERLOAD_ESTIMATE_WEIGHT) * context.mean_other_calls
    )
    queued = len(server.calls) + other_calls + 1.0 - server.capacity
    if queued > 0.0:
        wait_ms += queued * context.service_rate.slot_time_s * 1000.0 / server.capacity
    return wait_ms


def cost_ms(
    context: RankingContext, server: ServerView, tokens_ahead: float, expected_miss_tokens: float
) -> float:
    """Return the cost of sending a call to the server; the server with the lowest cost is chosen."""
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

    Shared prompt parts are not counted, because the server stores them once.
    """
    if server.kv_tokens == math.inf or not server.calls:
        return 0.0
    exclusive_total = sum(placed_call.exclusive_tokens for placed_call in server.calls.values())
    share = exclusive_total / len(server.calls) * server.load / server.kv_tokens
    return KV_PRESSURE_COST_MS * max(0.0, share - KV_PRESSURE_THRESHOLD) / (1.0 - KV_PRESSURE_THRESHOLD)
