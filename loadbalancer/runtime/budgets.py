"""Budgets in a running sidecar: what its fronts ask when a request comes, and what they tell when it ends."""

from __future__ import annotations

import asyncio
import secrets
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any, Protocol

from loadbalancer import interface as api
from loadbalancer.budget.carried import Carried
from loadbalancer.budget.decider import Decider, Denial, Grant, Terms, Trust
from loadbalancer.budget.figures import ClassFigures, Figures
from loadbalancer.budget.repeats import Identity, Kind, Repeats, Verdict
from loadbalancer.core.pool import OpenRequest, Pool
from loadbalancer.core.types import Answer, AnswerKind
from loadbalancer.runtime.taking import WAY_BACK_S
from loadbalancer.sidecar.models import BudgetModel


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
        budgets = {name: pool.balancer.sender.budget for name, pool in pools.items()}
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
        tenant: str | None,
        asked: tuple[bytes, ...],
        fields: Sequence[tuple[bytes, bytes]] = (),
        key: bytes | None = None,
    ) -> Ticket | Denial:
        """Let a request in, or say why it is not begun. `asked` and `fields`: all that tells it from another one."""
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
        tenant = tenant or grant.tenant
        parts = ((tenant or "").encode(), *asked)
        who = Identity(kind.name, kind.effect, parts, key, grant.id, grant.is_retry, fields)
        verdict = shared.repeats.arrive(now, who)
        if verdict.guessed and not pool.balancer.sender.failing:
            verdict = Verdict(Kind.NEW)  # nothing has to be spared, so nobody has to be suspected
        if verdict.kind is Kind.REPEAT and not grant.paid:
            grant.is_retry = True
            grant.allowance.kept = grant.allowance.handed = 0
            grant.allowance.attempt = max(2, grant.allowance.attempt)
        figures.counts[verdict.kind.value] += 1
        return Ticket(self, pool_name, pool, kind, grant, who, verdict, tenant, arrived, figures)


@dataclass(slots=True)
class Ticket:
    """A request that was let in: what it got, and who it is."""

    budget: FrontBudget
    pool_name: str
    pool: Pool
    kind: api.ServiceClass
    grant: Grant
    who: Identity
    verdict: Verdict
    tenant: str | None
    arrived: float
    figures: ClassFigures

    def settle(self, caller: Caller, replay: Callable[[Any], None], late: Callable[[], None]) -> bool:
        """Whether nothing has to be sent for it: it waits for one that runs, or has the answer of one that has ended.

        `replay` is given that answer's reply; `late` answers it if its own time ends before the other's answer.
        """
        if self.verdict.kind is Kind.REPLAY:
            replay(self.verdict.token)
        elif self.verdict.kind is Kind.JOIN:
            running: Asked = self.verdict.token
            running.join(caller, self, late)
        else:
            return False
        return True

    def left(self) -> None:
        """Its caller has gone without an answer."""
        if not self.grant.stated:
            waited = self.pool.loop.time() - self.arrived
            self.budget.shared.decider.of(self.kind.name).left(waited * 1000.0)
        self.figures.counts["left"] += 1

    def answered(self) -> None:
        """Its caller has its answer."""
        waited = (self.pool.loop.time() - self.arrived) * 1000.0
        if not self.grant.stated:
            self.budget.shared.decider.of(self.kind.name).answered(waited)
        self.figures.at_end.add(self.grant.wait_ms - waited)


class Caller(Protocol):
    """Who waits for an answer: a call of either protocol."""

    on_gone: Callable[[], None] | None


class Asked:
    """One request that is under way, whatever it is spoken in: the callers that wait for its answer, the one that asked
    first and those that joined it, and what it may spend."""

    def __init__(self, pool: Pool, name: str, ticket: Ticket | None = None) -> None:
        """`name`: of the request here; `ticket`: where there are budgets."""
        self.pool = pool
        self.name = name
        self.ticket = ticket
        self._job: OpenRequest | None = None
        self._callers: dict[int, tuple[Any, Ticket | None, asyncio.TimerHandle | None]] = {}

    def request(
        self, kind: api.ServiceClass, give_up_at: float, tenant: str | None, is_retry: bool = False
    ) -> api.Request:
        """What the decision module is told of it."""
        found = api.Request(self.name, kind.name, self.pool.clock.ms(give_up_at), tenant, is_retry=is_retry)
        if self.ticket is not None:
            grant = self.ticket.grant
            found.is_retry, found.paid = grant.is_retry, grant.paid
            found.attempts, found.worth = grant.attempts, grant.worth
            found.earlier = self.ticket.verdict.earlier
        return found

    def take(
        self,
        caller: Caller,
        request: api.Request,
        give_up_at: float,
        message: Any,
        deliver: Callable[[OpenRequest, Answer], None],
        joinable: bool = True,
    ) -> OpenRequest:
        """Hand it to the pool. `deliver` asks `answered` who waits."""
        self._callers[id(caller)] = caller, self.ticket, None
        if joinable and self.ticket is not None:
            self.ticket.budget.shared.repeats.begin(self.ticket.who, self)
        self._job = job = self.pool.submit(request, give_up_at, message, deliver)
        if joinable and not job.done:
            caller.on_gone = lambda: self._gone(caller)
        return job

    def join(self, caller: Caller, ticket: Ticket, late: Callable[[], None]) -> None:
        """Have one more caller wait for the same answer; `late` answers it if its own time ends first."""

        def over() -> None:
            self._remove(caller)
            late()

        until = ticket.arrived + ticket.grant.wait_ms / 1000.0 - WAY_BACK_S
        timer = self.pool.loop.call_at(until, over)
        self._callers[id(caller)] = caller, ticket, timer
        caller.on_gone = lambda: self._gone(caller)

    def answered(self, job: OpenRequest, answer: Answer, size: int) -> list[Any]:
        """It is over, with an answer whose reply has `size` bytes: all that wait; none of them waits any longer."""
        waiting = list(self._callers.values())
        self._callers.clear()
        for _, ticket, timer in waiting:
            if timer is not None:
                timer.cancel()
            if ticket is not None:
                ticket.answered()
        self._ended(job, answer, size)
        return [caller for caller, _, _ in waiting]

    def carried(self, wait_s: float) -> Carried | None:
        """What goes with an attempt that is written now and waited for this long; None where nothing is carried."""
        ticket = self.ticket
        if ticket is None or not ticket.budget.model.carry:
            return None
        if ticket.grant.worth is None:
            ticket.grant.worth = ticket.kind.worth
        left = wait_s * 1000.0 - ticket.budget.half_trip_ms.get(ticket.pool_name, 0.0)
        mark = ticket.budget.shared.mark
        return ticket.grant.carry(self.pool.clock.ms(), mark, left, ticket.tenant, self.name)

    def _gone(self, caller: Caller) -> None:
        """A caller has closed its connection."""
        _, ticket, _ = self._callers.get(id(caller), (None, None, None))
        if ticket is not None:
            ticket.left()
        self._remove(caller)

    def _remove(self, caller: Caller) -> None:
        _, _, timer = self._callers.pop(id(caller), (None, None, None))
        if timer is not None:
            timer.cancel()
        job = self._job
        if not self._callers and job is not None and not job.done:  # nobody waits for it any more
            # Guard: told before what had not been written was recalled, a repeat with its key was bound to the servers
            # of an attempt that never ran.
            self.pool.abandon(job)
            self._ended(job, None, 0)

    def _ended(self, job: OpenRequest, answer: Answer | None, size: int) -> None:
        if self.ticket is None:
            return
        served = answer is not None and answer.kind is AnswerKind.SERVED and answer.reply is not None
        self.ticket.budget.shared.repeats.end(
            self.pool.clock.ms(),
            self.ticket.who,
            self,
            answer.reply if served and answer is not None else None,
            size,
            earlier=job.first,
            memory_ms=self.ticket.kind.memory_ms,
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
        trust=Trust(trust or "edge"),
        extra=attempts - 1 if model.extra is None else model.extra,
        revisits=model.revisits,
        reserve_ms=model.reserve_ms,
        learn=model.learn_patience,
        tenants=tenants,
    )
    return FrontBudget(shared, terms, model, half_trip_ms)
