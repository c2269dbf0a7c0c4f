"""Decides the time, attempts and worth that an arriving request may use here and propagate, or rejects the request.

The balancer still chooses servers and decides on retries; the grant is one of its inputs. A propagated budget can
lower what the class and the route allow, never raise it.

Attempts beyond the first are tokens, which are passed on and never created. Of `extra` tokens a node keeps half,
rounded up, for its own retries, and its first attempt carries the rest. A call with `extra` tokens therefore causes at
most 1 + `extra` attempts at the last tier, whatever the number of tiers. By induction: if each attempt causes at most
1 + its own tokens, the sum is (attempts) + (tokens passed on) <= 1 + kept + passed on.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from loadbalancer.budget.caller_timeout import CallerTimeout
from loadbalancer.budget.carried import PropagatedBudget, Stamp
from loadbalancer.budget.elapsed import Elapsed
from loadbalancer.interface import ServiceClass


class Trust(Enum):
    """Which propagated values a listener accepts from its callers."""

    INSIDE = "inside"  # callers are nodes, or applications that forward their headers
    EDGE = "edge"  # unknown callers: accept only values that lower limits


class Denial(Enum):
    """Why a request is rejected. It has not run anywhere behind this node."""

    LOOP = "it has come through here before"
    OVER = "its time was up when it came"


@dataclass(slots=True, frozen=True)
class ListenerTerms:
    """The settings of one listener."""

    name: str  # this node's name in paths
    trust: Trust = Trust.EDGE
    extra: int = 2  # upper bound of attempts beyond the first, in all tiers together
    revisits: int = 0  # how often a request may return here before it is rejected as a loop
    reserve_ms: float = 5.0  # subtracted at each hop for the way back and the caller's own work
    min_wait_ms: float = 1.0  # a request with no more time than this is rejected
    learn: bool = True  # whether to apply the learned patience of callers that state no deadline
    tenants: frozenset[str] = frozenset()


@dataclass(slots=True)
class Allowance:
    """The attempt tokens of one request: `own_tokens` for the balancer's retries, the rest for the first attempt."""

    own_tokens: int
    passed_on_tokens: int  # passed on with the first attempt
    attempt: int = 1  # attempt number of the request on arrival: 1 for a first attempt
    attempts_written: int = 0

    def next_attempt(self) -> tuple[int, int]:
        """The tokens and the attempt number that the next attempt carries."""
        self.attempts_written += 1
        if self.attempts_written == 1:
            return self.passed_on_tokens, self.attempt
        return 0, max(2, self.attempt)


@dataclass(slots=True)
class Grant:
    """What an accepted request may use at this node."""

    wait_ms: float  # counted from its arrival
    stated: bool  # whether the caller stated how long it waits
    allowance: Allowance
    worth: float | None  # upper bound; None: that of the class
    tenant: str | None  # propagated, if accepted and known
    is_retry: bool
    paid: bool
    id: str | None  # given by an earlier node
    path: tuple[str, ...]  # path to propagate, with this node at the end

    @property
    def attempts(self) -> int:
        """The maximum number of attempts by this node's balancer."""
        return 1 + self.allowance.own_tokens

    def budget_for_attempt(
        self, now_ms: float, mark: str, left_ms: float, tenant: str | None, name: str
    ) -> PropagatedBudget:
        """The budget to write into the next attempt.

        `left_ms`: how long this node waits for that attempt; `name`: the id of the request at this node.
        """
        extra, attempt = self.allowance.next_attempt()
        return PropagatedBudget(
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
    """Decides for one node; holds the learned clock differences, and callers' patience by class."""

    elapsed: Elapsed = field(default_factory=Elapsed)
    caller_timeouts: dict[str, CallerTimeout] = field(default_factory=dict)

    def caller_timeout(self, service: str) -> CallerTimeout:
        timeout = self.caller_timeouts.get(service)
        if timeout is None:
            timeout = self.caller_timeouts[service] = CallerTimeout()
        return timeout

    def decide(
        self,
        terms: ListenerTerms,
        service_class: ServiceClass,
        limit_ms: float,
        requested_ms: float | None,
        carried: PropagatedBudget,
        now_ms: float,
        on_ignored: Callable[[str], None] = lambda name: None,
    ) -> Grant | Denial:
        """Accept or reject a request.

        `limit_ms`: the limit of class and route; `requested_ms`: the deadline in the listener's own header.
        `on_ignored` is called with the name of each propagated value that is unreadable or not accepted.
        """
        for name in carried.unreadable:
            on_ignored(name)
        inside = terms.trust is Trust.INSIDE
        visits = max(carried.path.count(terms.name), int(terms.name in carried.passed_nodes))
        if visits > terms.revisits:
            return Denial.LOOP
        limits = [] if requested_ms is None else [requested_ms]
        if carried.ms is not None:
            transit_ms = 0.0
            if inside and carried.at is not None:  # at the edge, anyone could fill the table of writers
                transit_ms = self.elapsed.excess_ms(carried.at, now_ms)
            limits.append(carried.ms - transit_ms - terms.reserve_ms)
        stated = bool(limits)
        wait_ms = min(limit_ms, *limits) if limits else limit_ms
        if stated:
            self.caller_timeout(service_class.name).stated(wait_ms)
        elif terms.learn:
            wait_ms = min(wait_ms, self.caller_timeout(service_class.name).ms or wait_ms)
        if wait_ms <= terms.min_wait_ms:
            return Denial.OVER
        attempt = carried.attempt if inside and carried.attempt is not None else None
        if not inside:
            for value, name in ((carried.worth, "worth"), (carried.tenant, "tenant"), (carried.id, "id")):
                if value is not None:
                    on_ignored(f"{name} at the edge")
        marked_retry = carried.marked_retry or (carried.attempt or 1) > 1
        paid = attempt is not None and attempt > 1
        extra = terms.extra if carried.extra is None else min(terms.extra, carried.extra)
        if marked_retry:
            # Guard: with a new allowance for each of a caller's retries, three tries could cause three times the limit.
            extra = 0
        kept = (extra + 1) // 2
        worth = carried.worth if inside else None
        tenant = carried.tenant if inside and carried.tenant in terms.tenants else None
        return Grant(
            wait_ms=wait_ms,
            stated=stated,
            allowance=Allowance(kept, extra - kept, max(2, attempt or 2) if marked_retry else 1),
            worth=None if worth is None else min(service_class.worth, worth),
            tenant=tenant,
            is_retry=marked_retry,
            paid=paid,
            id=carried.id if inside else None,
            path=(*carried.path[-31:], terms.name),
        )
