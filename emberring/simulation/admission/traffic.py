"""Generates the traffic of a trial of admission from a seed, independently of admission decisions."""

from __future__ import annotations

import itertools
import math
from collections.abc import Callable, Sequence
from random import Random
from typing import Protocol

from emberring.admission import AttemptBudget
from emberring.simulation.admission.engine_model import PromptPart
from emberring.simulation.admission.entities import Request
from emberring.simulation.admission.site import Burst, LengthDistribution, RequestKind, Site
from emberring.simulation.admission.trial import OUTPUT_TOKEN_WEIGHT, RequestRecord, TrialRecord

CLIENT_NETWORK_MS = 2.0  # network delay between client and gateway


class TrafficSink(Protocol):
    """The part of the world of a trial that traffic generation uses."""

    record: TrialRecord

    def call_at(self, when_ms: float, callback: Callable[[], None]) -> None:
        """Call a function at this time."""

    def submit(self, request: Request, gateway: int) -> None:
        """Submit a request to this gateway."""

    def add_item(self, request: Request) -> None:
        """Queue a batch item."""


def _draw_length(random: Random, sizes: LengthDistribution) -> int:
    mu = math.log(sizes.mean) - sizes.log_spread**2 / 2.0
    return max(1, int(min(sizes.maximum, random.lognormvariate(mu, sizes.log_spread))))


class _SharedParts:
    """The shared prompt parts of a request kind at one level, drawn by popularity."""

    def __init__(self, random: Random, name: str, count: int, sizes: LengthDistribution, skew: float) -> None:
        self._parts = [PromptPart(f"{name}-{at}", _draw_length(random, sizes), True) for at in range(count)]
        self._cumulative_weights = list(itertools.accumulate((at + 1.0) ** -skew for at in range(count)))

    def draw(self, random: Random) -> PromptPart:
        """Return one of the parts."""
        return random.choices(self._parts, cum_weights=self._cumulative_weights)[0]


class TrafficGenerator:
    """Generates the requests of a kind, independently of admission decisions."""

    def __init__(self, kind: RequestKind, site: Site, seed: int) -> None:
        self._kind, self._site = kind, site
        self._random = Random(f"{seed} {kind.name}")
        self._shared_parts = [
            _SharedParts(self._random, f"{kind.name}{level}", shared.count, shared.tokens, shared.skew)
            for level, shared in enumerate(kind.shared)
        ]
        self._names = itertools.count()

    def schedule(self, world: TrafficSink, end_ms: float, factor: float, bursts: Sequence[Burst]) -> None:
        """Schedule all requests of this kind up to `end_ms`."""
        now_ms, kind = 0.0, self._kind
        peak_factor = factor * max([1.0, *(burst.factor for burst in bursts)])
        while True:
            now_ms += self._random.expovariate(kind.rate_per_s * peak_factor / 1000.0)
            if now_ms >= end_ms:
                return
            burst_factor = max(
                [
                    1.0,
                    *(
                        burst.factor
                        for burst in bursts
                        if burst.at_s * 1000.0 <= now_ms < (burst.at_s + burst.duration_s) * 1000.0
                    ),
                ]
            )
            if self._random.random() * peak_factor >= factor * burst_factor:
                continue
            if kind.items_per_job is None:
                self._create_request(world, now_ms)
            else:
                for _ in range(_draw_length(self._random, kind.items_per_job)):
                    self._create_request(world, now_ms)

    def _create_request(self, world: TrafficSink, now_ms: float) -> None:
        kind = self._kind
        parts = [level.draw(self._random) for level in self._shared_parts]
        parts.append(
            PromptPart(
                f"{kind.name}-own-{next(self._names)}", _draw_length(self._random, kind.own_tokens), False
            )
        )
        tokens_out = _draw_length(self._random, kind.output_events) * self._site.engine.stride
        batch = kind.items_per_job is not None
        size = float(sum(part.tokens for part in parts) + OUTPUT_TOKEN_WEIGHT * tokens_out)
        record = RequestRecord(kind.name, batch, size, now_ms, kind.value, kind.late_value)
        world.record.requests.append(record)
        deadline_ms = now_ms + (kind.completion_target_s * 1000.0 if batch else kind.timeout_ms)
        budget = AttemptBudget(kind.max_attempts, kind.resumable)
        request = Request(kind, record, tuple(parts), tokens_out, now_ms, deadline_ms, 1, budget)
        shares = self._site.gateway_shares
        gateway = self._random.choices(range(len(shares)), weights=shares)[0]
        if batch:
            world.call_at(now_ms, lambda: world.add_item(request))
        else:
            world.call_at(now_ms + CLIENT_NETWORK_MS, lambda: world.submit(request, gateway))
