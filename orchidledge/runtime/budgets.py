"""Budgets in a running sidecar: what its fronts ask when a request comes, and what they tell when it ends."""

from __future__ import annotations

import secrets
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from orchidledge import interface as api
from orchidledge.budget.carried import Carried
from orchidledge.budget.decider import Decider, Denial, Grant, Terms, Trust
from orchidledge.budget.figures import ClassFigures, Figures
from orchidledge.budget.repeats import Identity, Kind, Repeats, Verdict
from orchidledge.core.pool import Job, Pool
from orchidledge.core.types import Answer
from orchidledge.core.types import Kind as AnswerKind
from orchidledge.sidecar.models import BudgetModel


@dataclass(slots=True)
class Ticket:
    """A request that was let in: what it got, and who it is."""

    pool: Pool
    kind: api.ServiceClass
    grant: Grant
    who: Identity
    verdict: Verdict
    arrived: float
    figures: ClassFigures
    name: str = ""  # of the request here


class Budgets:
    """One sidecar's. What it has learned stays over reloads."""

    def __init__(self) -> None:
        self.mark = secrets.token_hex(6)
        self.decider = Decider()
        self.repeats = Repeats()
        self.figures = Figures()
        self.problems: Counter[str] = Counter()  # what was carried and not read, or not believed

    def rows(self, pools: Mapping[str, Pool]) -> dict[str, Any]:
        """For operators."""
        budgets = {name: pool.balancer.budget for name, pool in pools.items()}
        spent = {name: budget.counts for name, budget in budgets.items() if budget is not None}
        return {
            "pools": self.figures.rows(spent, {name: list(pool.classes) for name, pool in pools.items()}),
            "left_to_spend": {
                name: round(budget.left(pools[name].clock.ms()), 2)
                for name, budget in budgets.items()
                if budget is not None
            },
            "learned_patience_ms": {
                name: round(found.ms, 1)
                for name, found in sorted(self.decider.patience.items())
                if found.ms is not None
            },
            "repeats": dict(sorted(self.repeats.counts.items())) | {"bytes_kept": self.repeats.held},
            "not_believed": dict(sorted(self.problems.items())),
        }


@dataclass(slots=True)
class FrontBudget:
    """What one listener asks; replaced as a whole by a reload."""

    shared: Budgets
    terms: Terms
    model: BudgetModel
    half_trip_ms: Mapping[str, float] = field(default_factory=dict)  # by pool, of the network one way

    def admit(
        self,
        pool_name: str,
        pool: Pool,
        kind: api.ServiceClass,
        most_ms: float,
        asked_ms: float | None,
        carried: Carried,
        arrived: float,
        asked: tuple[bytes, ...],
        key: bytes | None,
    ) -> Ticket | Denial:
        """Let a request in, or say why it is not begun. `asked`: all that tells it from another one."""
        shared = self.shared
        figures = shared.figures.of(pool_name, kind.name)
        figures.counts["came"] += 1

        def on_other(name: str) -> None:
            shared.problems[name] += 1

        now = pool.clock.ms(arrived)
        grant = shared.decider.decide(self.terms, kind, most_ms, asked_ms, carried, now, on_other)
        if isinstance(grant, Denial):
            figures.counts[grant.name.lower()] += 1
            if grant is Denial.OVER:
                figures.at_arrival.add(-1.0)
            return grant
        figures.at_arrival.add(grant.wait_ms)
        who = Identity(kind.name, kind.effect, asked, key, grant.id, grant.is_retry)
        verdict = shared.repeats.arrive(now, who)
        if verdict.guessed and not pool.balancer.failing:
            verdict = Verdict(Kind.NEW)  # nothing has to be spared, so nobody has to be suspected
        if verdict.kind is Kind.REPEAT and not grant.paid:
            grant.is_retry = True
            grant.allowance.kept = grant.allowance.handed = 0
            grant.allowance.attempt = max(2, grant.allowance.attempt)
        figures.counts[verdict.kind.value] += 1
        return Ticket(pool, kind, grant, who, verdict, arrived, figures)

    def request(self, ticket: Ticket, name: str, give_up_at: float, tenant: str | None) -> api.Request:
        """What the decision module is told of it."""
        grant = ticket.grant
        ticket.name = name
        return api.Request(
            id=name,
            service=ticket.kind.name,
            give_up_at_ms=ticket.pool.clock.ms(give_up_at),
            tenant=tenant,
            is_retry=grant.is_retry,
            paid=grant.paid,
            attempts=grant.attempts,
            worth=grant.worth,
            earlier=ticket.verdict.earlier,
        )

    def begin(self, ticket: Ticket, token: Any) -> None:
        self.shared.repeats.begin(ticket.who, token)

    def carry(self, ticket: Ticket, pool_name: str, wait_s: float, tenant: str | None) -> Carried:
        """What goes with an attempt that is written now."""
        clock = ticket.pool.clock
        left = wait_s * 1000.0 - self.half_trip_ms.get(pool_name, 0.0)
        if ticket.grant.worth is None:
            ticket.grant.worth = ticket.kind.worth
        return ticket.grant.carry(clock.ms(), self.shared.mark, left, tenant, ticket.name)

    def left(self, ticket: Ticket) -> None:
        """A caller has gone without an answer."""
        if not ticket.grant.stated:
            waited = ticket.pool.loop.time() - ticket.arrived
            self.shared.decider.of(ticket.kind.name).left(waited * 1000.0)
        ticket.figures.counts["left"] += 1

    def answered(self, ticket: Ticket) -> None:
        """A caller has its answer."""
        waited = (ticket.pool.loop.time() - ticket.arrived) * 1000.0
        if not ticket.grant.stated:
            self.shared.decider.of(ticket.kind.name).answered(waited)
        ticket.figures.at_end.add(ticket.grant.wait_ms - waited)

    def ended(self, ticket: Ticket, token: Any, job: Job, answer: Answer | None, size: int = 0) -> None:
        """The request is over, with an answer or as its last caller has left; `size`: of the answer, in bytes."""
        served = answer is not None and answer.kind is AnswerKind.SERVED and answer.reply is not None
        self.shared.repeats.end(
            ticket.pool.clock.ms(),
            ticket.who,
            token,
            answer.reply if served and answer is not None else None,
            size,
            earlier=job.first,
            memory_ms=ticket.kind.memory_ms,
            sent=bool(job.attempts),
        )


def front_budget(
    shared: Budgets,
    model: BudgetModel,
    name: str,
    trust: str | None,
    attempts: int,
    tenants: frozenset[str],
    half_trip_ms: Mapping[str, float],
) -> FrontBudget:
    """From the configuration's words; `attempts`: the rules' max_attempts."""
    terms = Terms(
        name=name,
        mark=shared.mark,
        trust=Trust(trust or "edge"),
        extra=attempts - 1 if model.extra is None else model.extra,
        revisits=model.revisits,
        reserve_ms=model.reserve_ms,
        learn=model.learn_patience,
        tenants=tenants,
    )
    return FrontBudget(shared, terms, model, half_trip_ms)
