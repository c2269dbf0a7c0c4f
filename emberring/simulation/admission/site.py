"""Deployments for experiments with admission: engines, kinds of requests, bursts, faults."""

from __future__ import annotations

import attrs

from emberring.simulation.admission.engine_model import EngineParameters


@attrs.frozen
class LengthDistribution:
    """A log-normal length with this mean and spread of the logarithm, limited to `maximum`."""

    mean: float
    log_spread: float
    maximum: float


@attrs.frozen
class SharedPrefixLevel:
    """A level of shared prompt parts: their number, length and skew of popularity (Zipf)."""

    count: int
    tokens: LengthDistribution
    skew: float = 0.0


@attrs.frozen
class RequestKind:
    """A kind of request.

    Args:
        rate_per_s: requests, or batch jobs, a second.
        value: value of a request served in time.
        late_value: value of a request served late.
        latency_target_ms: time to the first event of a request in time.
        timeout_ms: time after which the client gives up.
        shared: levels of shared prompt parts.
        own_tokens: length of the request's own prompt part.
        output_events: events of the answer.
        event_gap_target_ms: time between events of a request in time.
        items_per_job: items of a batch job; None for live requests.
        completion_target_s: time within which a batch job should complete.
    """

    name: str
    rate_per_s: float
    priority: int
    value: float
    late_value: float
    latency_target_ms: float
    timeout_ms: float
    max_attempts: int
    resumable: bool
    shared: tuple[SharedPrefixLevel, ...]
    own_tokens: LengthDistribution
    output_events: LengthDistribution
    event_gap_target_ms: float = 250.0
    items_per_job: LengthDistribution | None = None
    completion_target_s: float = 0.0


@attrs.frozen
class Site:
    """A deployment. `gateway_shares` are the uneven shares of client traffic of the gateways."""

    name: str
    servers: int
    engine: EngineParameters
    max_connections: int
    gateway_shares: tuple[float, ...]
    kinds: tuple[RequestKind, ...]
    network_delay_ms: float = 0.5


@attrs.frozen
class Burst:
    """From `at_s` on, for `duration_s`, requests of this kind arrive `factor` times as often."""

    kind: str
    at_s: float
    duration_s: float
    factor: float


@attrs.frozen
class Crash:
    """A server crashes at `at_s` (`silent`: connections stay open) and restarts empty after `duration_s`."""

    server: int
    at_s: float
    duration_s: float
    silent: bool = False


LIVE_PARTS = (SharedPrefixLevel(40, LengthDistribution(103, 0.4, 257)),)
ITEM_PARTS = (SharedPrefixLevel(10, LengthDistribution(432, 0.4, 1080), 0.7),)
LEDGER = Site(
    name="ledger",
    servers=6,
    engine=EngineParameters(
        capacity=32,
        queue=89,
        kv_tokens=232_000,
        step_ms=1.37,
        step_ms_per_request=0.00302,
        context_ms_per_k=0.00574,
        prefill_tokens_per_ms=155.0,
        pairs_ms_per_m=0.184,
        stride=20,
    ),
    max_connections=230,
    gateway_shares=(0.10, 0.14, 0.11, 0.16, 0.13, 0.15, 0.21),
    kinds=(
        RequestKind(
            name="entry",
            rate_per_s=78.5,
            priority=0,
            value=2.0,
            late_value=0.6,
            latency_target_ms=200,
            timeout_ms=5000,
            max_attempts=1,
            resumable=False,
            shared=(*LIVE_PARTS, SharedPrefixLevel(1334, LengthDistribution(68.6, 0.7, 206), 0.3)),
            own_tokens=LengthDistribution(543, 0.89, 2310),
            output_events=LengthDistribution(14, 0.7, 47.6),
        ),
        RequestKind(
            name="review",
            rate_per_s=7.4,
            priority=0,
            value=3.0,
            late_value=0.9,
            latency_target_ms=300,
            timeout_ms=3000,
            max_attempts=2,
            resumable=True,
            shared=(SharedPrefixLevel(83, LengthDistribution(13_300, 0.7, 39_900), 0.3),),
            own_tokens=LengthDistribution(3720, 1.1, 33_100),
            output_events=LengthDistribution(6, 1.4, 23.9),
        ),
        RequestKind(
            name="lot",
            rate_per_s=2.39,
            priority=2,
            value=2.1,
            late_value=0.56,
            latency_target_ms=400,
            timeout_ms=4000,
            max_attempts=3,
            resumable=True,
            shared=ITEM_PARTS,
            own_tokens=LengthDistribution(768, 0.6, 4370),
            output_events=LengthDistribution(33.6, 0.6, 73.9),
            items_per_job=LengthDistribution(20, 0.6, 50),
            completion_target_s=8.0,
        ),
    ),
)
EMBER = Site(
    name="ember",
    servers=5,
    engine=EngineParameters(
        capacity=48,
        queue=144,
        kv_tokens=466_830,
        step_ms=1.85,
        step_ms_per_request=0.00967,
        context_ms_per_k=0.00508,
        prefill_tokens_per_ms=128.0,
        pairs_ms_per_m=0.183,
        stride=14,
        first_event_ms=0.5,
    ),
    max_connections=290,
    gateway_shares=(0.13, 0.22, 0.15, 0.2, 0.12, 0.18),
    kinds=(
        RequestKind(
            name="balance",
            rate_per_s=54.5,
            priority=0,
            value=2.0,
            late_value=0.6,
            latency_target_ms=200,
            timeout_ms=6000,
            max_attempts=1,
            resumable=False,
            shared=(*LIVE_PARTS, SharedPrefixLevel(413, LengthDistribution(68.6, 0.7, 206), 0.3)),
            own_tokens=LengthDistribution(543, 0.89, 2310),
            output_events=LengthDistribution(20, 0.7, 68),
        ),
        RequestKind(
            name="dispute",
            rate_per_s=5.05,
            priority=0,
            value=3.0,
            late_value=0.9,
            latency_target_ms=300,
            timeout_ms=4000,
            max_attempts=2,
            resumable=True,
            shared=(SharedPrefixLevel(38, LengthDistribution(13_300, 0.7, 39_900), 0.3),),
            own_tokens=LengthDistribution(3720, 1.1, 53_200),
            output_events=LengthDistribution(8.55, 1.4, 34.2),
        ),
        RequestKind(
            name="lot",
            rate_per_s=1.7,
            priority=2,
            value=2.0,
            late_value=0.55,
            latency_target_ms=400,
            timeout_ms=4000,
            max_attempts=3,
            resumable=True,
            shared=ITEM_PARTS,
            own_tokens=LengthDistribution(768, 0.6, 4370),
            output_events=LengthDistribution(48, 0.6, 106),
            items_per_job=LengthDistribution(20, 0.6, 50),
            completion_target_s=12.0,
        ),
    ),
    network_delay_ms=1.4,
)
WATERWORKS = Site(
    name="waterworks",
    servers=45,
    engine=EngineParameters(
        capacity=12,
        queue=36,
        kv_tokens=368_944,
        step_ms=1.85,
        step_ms_per_request=0.00967,
        context_ms_per_k=0.00508,
        prefill_tokens_per_ms=128.0,
        pairs_ms_per_m=0.183,
        stride=21,
        chunk=2048,
        first_event_ms=0.5,
    ),
    max_connections=160,
    gateway_shares=tuple(0.4 + (n * 7 % 13) / 10.0 for n in range(68)),
    kinds=(
        RequestKind(
            name="bill",
            rate_per_s=207.0,
            priority=0,
            value=2.0,
            late_value=0.6,
            latency_target_ms=300,
            timeout_ms=5000,
            max_attempts=2,
            resumable=True,
            shared=(
                SharedPrefixLevel(80, LengthDistribution(103, 0.4, 257)),
                SharedPrefixLevel(2339, LengthDistribution(68.6, 0.7, 206), 0.3),
            ),
            own_tokens=LengthDistribution(543, 0.89, 2310),
            output_events=LengthDistribution(13.3, 0.7, 45.3),
            event_gap_target_ms=400,
        ),
        RequestKind(
            name="history",
            rate_per_s=45.8,
            priority=0,
            value=3.0,
            late_value=0.9,
            latency_target_ms=500,
            timeout_ms=4000,
            max_attempts=1,
            resumable=False,
            shared=(SharedPrefixLevel(778, LengthDistribution(13_300, 0.7, 39_900), 0.3),),
            own_tokens=LengthDistribution(3720, 1.1, 53_200),
            output_events=LengthDistribution(5.7, 1.4, 22.8),
            event_gap_target_ms=400,
        ),
        RequestKind(
            name="lot",
            rate_per_s=1.56,
            priority=2,
            value=2.4,
            late_value=0.66,
            latency_target_ms=600,
            timeout_ms=5000,
            max_attempts=3,
            resumable=True,
            shared=(SharedPrefixLevel(30, LengthDistribution(432, 0.4, 1080), 0.7),),
            own_tokens=LengthDistribution(768, 0.6, 4370),
            output_events=LengthDistribution(32, 0.6, 70.4),
            event_gap_target_ms=400,
            items_per_job=LengthDistribution(80, 0.6, 200),
            completion_target_s=10.0,
        ),
    ),
)
SITES = {site.name: site for site in (LEDGER, EMBER, WATERWORKS)}
