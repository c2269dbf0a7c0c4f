"""What a request that has come in may spend here and hand on: time, attempts, worth; or why it is not begun at all.

The decision module goes on to decide which server, and whether to try again; what is granted here is among the things
that it is told. Nothing that is carried makes a request larger than the class and the route allow.

Attempts are tokens that are handed on, never made: of `extra` attempts beyond the first one a node keeps half, rounded
up, for retries of its own, and its first attempt carries the rest. So behind a call with `extra` tokens there are at
most 1 + `extra` attempts at the last tier, however many tiers there are: if each attempt's tree is bounded by 1 + its
own tokens, the sum is (attempts) + (tokens handed on) <= 1 + kept + handed on.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from loadbalancer.budget.carried import Carried, Stamp
from loadbalancer.budget.elapsed import Elapsed
from loadbalancer.budget.patience import Patience
from loadbalancer.interface import ServiceClass


class Trust(Enum):
    """What of a listener's callers is believed."""

    INSIDE = "inside"  # they are nodes of ours, or applications that pass on what those wrote
    EDGE = "edge"  # anybody: only what makes a request smaller


class Denial(Enum):
    """Why a request is not begun. None of them has run."""

    LOOP = "it has come through here before"
    OVER = "its time was up when it came"


@dataclass(slots=True, frozen=True)
class Terms:
    """What the configuration says."""

    name: str  # by which this node is known in paths
    trust: Trust = Trust.EDGE
    extra: int = 2  # attempts beyond the first that a request without word of its own may take in all tiers
    revisits: int = 0  # how often a request may come back here before that is a loop
    reserve_ms: float = 5.0  # kept back at each hop for the way back and the caller's own work
    least_ms: float = 1.0  # with less left nothing is begun
    learn: bool = True  # whether the patience of callers who say nothing is learned
    tenants: frozenset[str] = frozenset()


@dataclass(slots=True)
class Allowance:
    """What one request may still hand on. Kept attempts are the module's to use."""

    kept: int
    handed: int  # goes with the first attempt that is written
    attempt: int = 1  # of the whole request: 1 while it is a first try
    written: int = 0

    def hand_on(self) -> tuple[int, int]:
        """For an attempt that is written now: the tokens that it carries, and its number."""
        self.written += 1
        if self.written == 1:
            return self.handed, self.attempt
        return 0, max(2, self.attempt)


@dataclass(slots=True)
class Grant:
    """What a request gets here."""

    wait_ms: float  # from when it came
    stated: bool  # whether its caller said how long it waits
    allowance: Allowance
    worth: float | None  # at most; None: the class's
    tenant: str | None  # that was carried and is known
    is_retry: bool
    paid: bool
    id: str | None  # as nodes before have called it
    path: tuple[str, ...]  # that goes on, this node last

    @property
    def attempts(self) -> int:
        """The most that the module may make."""
        return 1 + self.allowance.kept

    def carry(self, now_ms: float, mark: str, left_ms: float, tenant: str | None, name: str) -> Carried:
        """What an attempt says that is written now and waited for this long; `name`: of the request here."""
        extra, attempt = self.allowance.hand_on()
        return Carried(
            ms=max(0.0, left_ms),
            at=Stamp(mark, int(now_ms)),
            extra=extra,
            worth=self.worth,
            tenant=tenant,
            attempt=attempt,
            id=self.id or name,
            path=self.path,
        )


@dataclass(slots=True)
class Decider:
    """Decides for one node; keeps what it learns of clocks and of callers' patience, by class."""

    elapsed: Elapsed = field(default_factory=Elapsed)
    patience: dict[str, Patience] = field(default_factory=dict)

    def of(self, service: str) -> Patience:
        found = self.patience.get(service)
        if found is None:
            found = self.patience[service] = Patience()
        return found

    def decide(
        self,
        terms: Terms,
        kind: ServiceClass,
        most_ms: float,
        asked_ms: float | None,
        carried: Carried,
        now_ms: float,
        on_other: Callable[[str], None] = lambda name: None,
    ) -> Grant | Denial:
        """`most_ms`: what class and route allow; `asked_ms`: the deadline that the listener's own header gives.

        `on_other` is told the name of whatever was said and could not be read, or was not believed.
        """
        for name in carried.unreadable:
            on_other(name)
        inside = terms.trust is Trust.INSIDE
        visits = max(carried.path.count(terms.name), int(terms.name in carried.seen))
        if visits > terms.revisits:
            return Denial.LOOP
        left = [] if asked_ms is None else [asked_ms]
        if carried.ms is not None:
            since = 0.0
            if inside and carried.at is not None:  # at the edge anybody could fill the table of clocks
                since = self.elapsed.since(carried.at, now_ms)
            left.append(carried.ms - since - terms.reserve_ms)
        stated = bool(left)
        wait = min(most_ms, *left) if left else most_ms
        if stated:
            self.of(kind.name).stated(wait)
        elif terms.learn:
            wait = min(wait, self.of(kind.name).ms or wait)
        if wait <= terms.least_ms:
            return Denial.OVER
        attempt = carried.attempt if inside and carried.attempt is not None else None
        if not inside:
            for given, name in ((carried.worth, "worth"), (carried.tenant, "tenant"), (carried.id, "id")):
                if given is not None:
                    on_other(f"{name} at the edge")
        asked_again = carried.asked_again or (carried.attempt or 1) > 1
        paid = attempt is not None and attempt > 1
        extra = terms.extra if carried.extra is None else min(terms.extra, carried.extra)
        if asked_again:
            # Guard: each of a caller's tries brought a new allowance, so that three tries had three times the most.
            extra = 0
        keep = (extra + 1) // 2
        worth = carried.worth if inside else None
        tenant = carried.tenant if inside and carried.tenant in terms.tenants else None
        return Grant(
            wait_ms=wait,
            stated=stated,
            allowance=Allowance(keep, extra - keep, max(2, attempt or 2) if asked_again else 1),
            worth=None if worth is None else min(kind.worth, worth),
            tenant=tenant,
            is_retry=asked_again,
            paid=paid,
            id=carried.id if inside else None,
            path=(*carried.path[-31:], terms.name),
        )
