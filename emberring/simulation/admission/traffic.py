"""The traffic of a trial of admission: requests and items drawn from a seed, whatever is decided about them."""

from __future__ import annotations

import itertools
import math
from collections.abc import Callable, Sequence
from random import Random
from typing import Protocol

from emberring.admission import AttemptBudget
from emberring.simulation.admission.engine_model import Part
from emberring.simulation.admission.parts import Request
from emberring.simulation.admission.site import Burst, Kind, Site, Sizes
from emberring.simulation.admission.trial import OUT_WEIGHT, Asked, Tally

MARGIN_MS = 2.0  # for the way between client and gateway


class Clock(Protocol):
    """The world of a trial, as far as traffic needs it."""

    tally: Tally

    def at(self, when_ms: float, what: Callable[[], None]) -> None:
        """Do this at that moment."""

    def ask(self, request: Request, gateway: int) -> None:
        """A request comes to this gateway."""

    def add_item(self, request: Request) -> None:
        """An item of a lot waits from now on."""


def _draw(random: Random, sizes: Sizes) -> int:
    mu = math.log(sizes.mean) - sizes.spread**2 / 2.0
    return max(1, int(min(sizes.most, random.lognormvariate(mu, sizes.spread))))


class _Things:
    """The shared parts of a kind at one level: their lengths, and a draw by their use."""

    def __init__(self, random: Random, name: str, count: int, sizes: Sizes, skew: float) -> None:
        self._parts = [Part(f"{name}-{at}", _draw(random, sizes), True) for at in range(count)]
        self._sums = list(itertools.accumulate((at + 1.0) ** -skew for at in range(count)))

    def draw(self, random: Random) -> Part:
        """One of them."""
        return random.choices(self._parts, cum_weights=self._sums)[0]


class Traffic:
    """Makes the requests of a kind; independent of what is decided about them."""

    def __init__(self, kind: Kind, site: Site, seed: int) -> None:
        self._kind, self._site = kind, site
        self._random = Random(f"{seed} {kind.name}")
        self._things = [
            _Things(self._random, f"{kind.name}{level}", shared.things, shared.tokens, shared.skew)
            for level, shared in enumerate(kind.shared)
        ]
        self._names = itertools.count()

    def schedule(self, world: Clock, until_ms: float, factor: float, bursts: Sequence[Burst]) -> None:
        """All requests of this kind up to that moment."""
        now_ms, kind = 0.0, self._kind
        most = factor * max([1.0, *(burst.factor for burst in bursts)])
        while True:
            now_ms += self._random.expovariate(kind.per_s * most / 1000.0)
            if now_ms >= until_ms:
                return
            part = max(
                [
                    1.0,
                    *(
                        burst.factor
                        for burst in bursts
                        if burst.at_s * 1000.0 <= now_ms < (burst.at_s + burst.for_s) * 1000.0
                    ),
                ]
            )
            if self._random.random() * most >= factor * part:
                continue
            if kind.items is None:
                self._one(world, now_ms)
            else:
                for _ in range(_draw(self._random, kind.items)):
                    self._one(world, now_ms)

    def _one(self, world: Clock, now_ms: float) -> None:
        kind = self._kind
        parts = [things.draw(self._random) for things in self._things]
        parts.append(
            Part(f"{kind.name}-own-{next(self._names)}", _draw(self._random, kind.own_tokens), False)
        )
        tokens_out = _draw(self._random, kind.pieces) * self._site.engine.stride
        batch = kind.items is not None
        size = float(sum(part.tokens for part in parts) + OUT_WEIGHT * tokens_out)
        asked = Asked(kind.name, batch, size, now_ms, kind.worth, kind.late_worth)
        world.tally.asked.append(asked)
        until_ms = now_ms + (kind.due_s * 1000.0 if batch else kind.deadline_ms)
        budget = AttemptBudget(kind.max_attempts, kind.resumable)
        request = Request(kind, asked, tuple(parts), tokens_out, now_ms, until_ms, 1, budget)
        shares = self._site.gateway_shares
        gateway = self._random.choices(range(len(shares)), weights=shares)[0]
        if batch:
            world.at(now_ms, lambda: world.add_item(request))
        else:
            world.at(now_ms + MARGIN_MS, lambda: world.ask(request, gateway))
