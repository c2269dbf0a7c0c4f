"""Figures of deployments for experiments with admission: engines, kinds of requests, bursts, troubles."""

from __future__ import annotations

import attrs

from emberring.simulation.admission.engine_model import EngineFigures


@attrs.frozen
class Sizes:
    """A length that varies: log-normal with this mean and spread (of the logarithm), never above `most`."""

    mean: float
    spread: float
    most: float


@attrs.frozen
class SharedPart:
    """A level of shared prompt parts: how many there are, how long, and how uneven their use is (Zipf)."""

    things: int
    tokens: Sizes
    skew: float = 0.0


@attrs.frozen
class Kind:
    """A kind of request. `items` is the number in a lot (None: a live request), `due_s` when a lot is due."""

    name: str
    per_s: float
    priority: int
    worth: float
    late_worth: float
    aim_ms: float
    deadline_ms: float
    max_attempts: int
    resumable: bool
    shared: tuple[SharedPart, ...]
    own_tokens: Sizes
    pieces: Sizes
    gap_aim_ms: float = 250.0
    items: Sizes | None = None
    due_s: float = 0.0


@attrs.frozen
class Site:
    """A deployment. `gateway_shares` are the uneven shares of clients that each gateway gets."""

    name: str
    servers: int
    engine: EngineFigures
    max_connections: int
    gateway_shares: tuple[float, ...]
    kinds: tuple[Kind, ...]
    net_ms: float = 0.5


@attrs.frozen
class Burst:
    """From `at_s` on, for `for_s`, requests of this kind come `factor` times as often."""

    kind: str
    at_s: float
    for_s: float
    factor: float


@attrs.frozen
class Crash:
    """A server dies at `at_s` (`dark`: without a word on its connections) and is back, anew, after `for_s`."""

    server: int
    at_s: float
    for_s: float
    dark: bool = False


LIVE_PARTS = (SharedPart(40, Sizes(103, 0.4, 257)),)
ITEM_PARTS = (SharedPart(10, Sizes(432, 0.4, 1080), 0.7),)
LEDGER = Site(
    name="ledger",
    servers=6,
    engine=EngineFigures(
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
        Kind(
            name="entry",
            per_s=78.5,
            priority=0,
            worth=2.0,
            late_worth=0.6,
            aim_ms=200,
            deadline_ms=5000,
            max_attempts=1,
            resumable=False,
            shared=(*LIVE_PARTS, SharedPart(1334, Sizes(68.6, 0.7, 206), 0.3)),
            own_tokens=Sizes(543, 0.89, 2310),
            pieces=Sizes(14, 0.7, 47.6),
        ),
        Kind(
            name="review",
            per_s=7.4,
            priority=0,
            worth=3.0,
            late_worth=0.9,
            aim_ms=300,
            deadline_ms=3000,
            max_attempts=2,
            resumable=True,
            shared=(SharedPart(83, Sizes(13_300, 0.7, 39_900), 0.3),),
            own_tokens=Sizes(3720, 1.1, 33_100),
            pieces=Sizes(6, 1.4, 23.9),
        ),
        Kind(
            name="lot",
            per_s=2.39,
            priority=2,
            worth=2.1,
            late_worth=0.56,
            aim_ms=400,
            deadline_ms=4000,
            max_attempts=3,
            resumable=True,
            shared=ITEM_PARTS,
            own_tokens=Sizes(768, 0.6, 4370),
            pieces=Sizes(33.6, 0.6, 73.9),
            items=Sizes(20, 0.6, 50),
            due_s=8.0,
        ),
    ),
)
EMBER = Site(
    name="ember",
    servers=5,
    engine=EngineFigures(
        capacity=48,
        queue=144,
        kv_tokens=466_830,
        step_ms=1.85,
        step_ms_per_request=0.00967,
        context_ms_per_k=0.00508,
        prefill_tokens_per_ms=128.0,
        pairs_ms_per_m=0.183,
        stride=14,
        first_ms=0.5,
    ),
    max_connections=290,
    gateway_shares=(0.13, 0.22, 0.15, 0.2, 0.12, 0.18),
    kinds=(
        Kind(
            name="balance",
            per_s=54.5,
            priority=0,
            worth=2.0,
            late_worth=0.6,
            aim_ms=200,
            deadline_ms=6000,
            max_attempts=1,
            resumable=False,
            shared=(*LIVE_PARTS, SharedPart(413, Sizes(68.6, 0.7, 206), 0.3)),
            own_tokens=Sizes(543, 0.89, 2310),
            pieces=Sizes(20, 0.7, 68),
        ),
        Kind(
            name="dispute",
            per_s=5.05,
            priority=0,
            worth=3.0,
            late_worth=0.9,
            aim_ms=300,
            deadline_ms=4000,
            max_attempts=2,
            resumable=True,
            shared=(SharedPart(38, Sizes(13_300, 0.7, 39_900), 0.3),),
            own_tokens=Sizes(3720, 1.1, 53_200),
            pieces=Sizes(8.55, 1.4, 34.2),
        ),
        Kind(
            name="lot",
            per_s=1.7,
            priority=2,
            worth=2.0,
            late_worth=0.55,
            aim_ms=400,
            deadline_ms=4000,
            max_attempts=3,
            resumable=True,
            shared=ITEM_PARTS,
            own_tokens=Sizes(768, 0.6, 4370),
            pieces=Sizes(48, 0.6, 106),
            items=Sizes(20, 0.6, 50),
            due_s=12.0,
        ),
    ),
    net_ms=1.4,
)
WATERWORKS = Site(
    name="waterworks",
    servers=45,
    engine=EngineFigures(
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
        first_ms=0.5,
    ),
    max_connections=160,
    gateway_shares=tuple(0.4 + (n * 7 % 13) / 10.0 for n in range(68)),
    kinds=(
        Kind(
            name="bill",
            per_s=207.0,
            priority=0,
            worth=2.0,
            late_worth=0.6,
            aim_ms=300,
            deadline_ms=5000,
            max_attempts=2,
            resumable=True,
            shared=(SharedPart(80, Sizes(103, 0.4, 257)), SharedPart(2339, Sizes(68.6, 0.7, 206), 0.3)),
            own_tokens=Sizes(543, 0.89, 2310),
            pieces=Sizes(13.3, 0.7, 45.3),
            gap_aim_ms=400,
        ),
        Kind(
            name="history",
            per_s=45.8,
            priority=0,
            worth=3.0,
            late_worth=0.9,
            aim_ms=500,
            deadline_ms=4000,
            max_attempts=1,
            resumable=False,
            shared=(SharedPart(778, Sizes(13_300, 0.7, 39_900), 0.3),),
            own_tokens=Sizes(3720, 1.1, 53_200),
            pieces=Sizes(5.7, 1.4, 22.8),
            gap_aim_ms=400,
        ),
        Kind(
            name="lot",
            per_s=1.56,
            priority=2,
            worth=2.4,
            late_worth=0.66,
            aim_ms=600,
            deadline_ms=5000,
            max_attempts=3,
            resumable=True,
            shared=(SharedPart(30, Sizes(432, 0.4, 1080), 0.7),),
            own_tokens=Sizes(768, 0.6, 4370),
            pieces=Sizes(32, 0.6, 70.4),
            gap_aim_ms=400,
            items=Sizes(80, 0.6, 200),
            due_s=10.0,
        ),
    ),
)
SITES = {site.name: site for site in (LEDGER, EMBER, WATERWORKS)}
