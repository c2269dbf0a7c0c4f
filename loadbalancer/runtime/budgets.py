"""Time and retry budgets in a running sidecar: admission of requests, detection of duplicates, and their figures."""

from __future__ import annotations

import asyncio
import secrets
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any, Protocol

from loadbalancer import interface as api
from loadbalancer.budget.carried import PropagatedBudget
from loadbalancer.budget.decider import Decider, Denial, Grant, ListenerTerms, Trust
from loadbalancer.budget.figures import BudgetStatistics, ClassStatistics
from loadbalancer.budget.repeats import RepeatKind, RepeatTracker, RequestIdentity, Verdict
from loadbalancer.core.pool import OpenRequest, Pool
from loadbalancer.core.types import Answer, AnswerKind
from loadbalancer.runtime.frontend_common import ANSWER_MARGIN_S
from loadbalancer.sidecar.models import BudgetModel


class Budgets:
    """The budget state of one sidecar; what it has learned is kept over reloads."""

    def __init__(self) -> None:
        self.instance_id = secrets.token_hex(6)
        self.decider = Decider()
        self.repeats = RepeatTracker()
        self.figures = BudgetStatistics()
        self.problems: Counter[str] = Counter()  # carried values that were malformed or not trusted

    def rows(self, pools: Mapping[str, Pool]) -> dict[str, Any]:
        """Return the body of the admin path `/budgets`."""
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
                name: round(timeout.ms, 1)
                for name, timeout in sorted(self.decider.caller_timeouts.items())
                if timeout.ms is not None
            },
            "repeats": dict(sorted(self.repeats.counts.items())) | {"bytes_kept": self.repeats.answer_bytes},
            "not_believed": dict(sorted(self.problems.items())),
        }


@dataclass(slots=True)
class FrontendBudget:
    """The budget of one listener; a reload replaces the object as a whole."""

    budgets: Budgets
    terms: ListenerTerms
    model: BudgetModel
    one_way_ms: Mapping[str, float] = field(default_factory=dict)  # by pool: network latency in one direction

    def admit(
        self,
        pool_name: str,
        pool: Pool,
        kind: api.ServiceClass,
        max_wait_ms: float,
        requested_ms: float | None,
        carried: PropagatedBudget,
        arrived: float,
        tenant: str | None,
        request_parts: tuple[bytes, ...],
        fields: Sequence[tuple[bytes, bytes]] = (),
        key: bytes | None = None,
    ) -> AdmittedRequest | Denial:
        """Admit a request, or return why it is rejected unexecuted.

        `request_parts`, `fields` and `key` identify the request: two that agree in them are duplicates.
        """
        budgets = self.budgets
        figures = budgets.figures.class_statistics(pool_name, kind.name)
        figures.counts["came"] += 1

        def on_problem(name: str) -> None:
            budgets.problems[name] += 1

        now = pool.clock.ms(arrived)
        grant = budgets.decider.decide(self.terms, kind, max_wait_ms, requested_ms, carried, now, on_problem)
        if isinstance(grant, Denial):
            figures.counts[grant.name.lower()] += 1
            if grant is Denial.OVER:
                figures.at_arrival.add(-1.0)
            return grant
        figures.at_arrival.add(grant.wait_ms)
        tenant = tenant or grant.tenant
        identity_parts = ((tenant or "").encode(), *request_parts)
        identity = RequestIdentity(
            kind.name, kind.effect, identity_parts, key, grant.id, grant.is_retry, fields
        )
        verdict = budgets.repeats.classify(now, identity)
        if verdict.guessed and not pool.balancer.sender.failing:
            # A likely duplicate without a retry mark counts as new while the pool is healthy: no load has to be shed.
            verdict = Verdict(RepeatKind.NEW)
        if verdict.kind is RepeatKind.REPEAT and not grant.paid:
            grant.is_retry = True
            grant.allowance.own_tokens = grant.allowance.passed_on_tokens = 0
            grant.allowance.attempt = max(2, grant.allowance.attempt)
        figures.counts[verdict.kind.value] += 1
        return AdmittedRequest(
            self, pool_name, pool, kind, grant, identity, verdict, tenant, arrived, figures
        )


@dataclass(slots=True)
class AdmittedRequest:
    """An admitted request: its granted time and attempts, and its identity among possible duplicates."""

    budget: FrontendBudget
    pool_name: str
    pool: Pool
    kind: api.ServiceClass
    grant: Grant
    identity: RequestIdentity
    verdict: Verdict
    tenant: str | None
    arrived: float
    figures: ClassStatistics

    def resolve_repeat(
        self, caller: Caller, replay: Callable[[Any], None], answer_late: Callable[[], None]
    ) -> bool:
        """Whether the request is a duplicate that needs no attempt, as it waits for, or gets, the first one's answer.

        `replay` is called with the reply of a first one that has ended. `answer_late` is called if the duplicate's own
        deadline passes before a first one that is still open is answered.
        """
        if self.verdict.kind is RepeatKind.REPLAY:
            replay(self.verdict.token)
        elif self.verdict.kind is RepeatKind.JOIN:
            running: SharedRequest = self.verdict.token
            running.join(caller, self, answer_late)
        else:
            return False
        return True

    def on_caller_left(self) -> None:
        """Note that the caller left before its answer."""
        if not self.grant.stated:
            waited = self.pool.loop.time() - self.arrived
            self.budget.budgets.decider.caller_timeout(self.kind.name).record_disconnect(waited * 1000.0)
        self.figures.counts["left"] += 1

    def on_answered(self) -> None:
        """Note that the caller has been answered."""
        waited = (self.pool.loop.time() - self.arrived) * 1000.0
        if not self.grant.stated:
            self.budget.budgets.decider.caller_timeout(self.kind.name).record_response(waited)
        self.figures.at_end.add(self.grant.wait_ms - waited)


class Caller(Protocol):
    """A waiting call of either protocol."""

    on_gone: Callable[[], None] | None


class SharedRequest:
    """One open request of either protocol, its budget, and all callers that wait for its answer.

    These are the caller that sent it first and those whose duplicates have joined it.
    """

    def __init__(self, pool: Pool, name: str, admitted: AdmittedRequest | None = None) -> None:
        """`name` is the request id in this sidecar; `admitted` is None where no budget is configured."""
        self.pool = pool
        self.name = name
        self.admitted = admitted
        self._open_request: OpenRequest | None = None
        self._callers: dict[int, tuple[Any, AdmittedRequest | None, asyncio.TimerHandle | None]] = {}

    def build_request(
        self, kind: api.ServiceClass, give_up_at: float, tenant: str | None, is_retry: bool = False
    ) -> api.Request:
        """Return the request as it is submitted to the balancer."""
        request = api.Request(self.name, kind.name, self.pool.clock.ms(give_up_at), tenant, is_retry=is_retry)
        if self.admitted is not None:
            grant = self.admitted.grant
            request.is_retry, request.paid = grant.is_retry, grant.paid
            request.attempts, request.worth = grant.attempts, grant.worth
            request.earlier = self.admitted.verdict.earlier
        return request

    def submit(
        self,
        caller: Caller,
        request: api.Request,
        give_up_at: float,
        message: Any,
        deliver: Callable[[OpenRequest, Answer], None],
        joinable: bool = True,
    ) -> OpenRequest:
        """Submit the request to the pool; `deliver` must call `finish`, which returns the waiting callers.

        Without `joinable`, duplicates can't join it, and it goes on when its caller leaves.
        """
        self._callers[id(caller)] = caller, self.admitted, None
        if joinable and self.admitted is not None:
            self.admitted.budget.budgets.repeats.begin(self.admitted.identity, self)
        self._open_request = open_request = self.pool.submit(request, give_up_at, message, deliver)
        if joinable and not open_request.done:
            caller.on_gone = lambda: self._on_caller_gone(caller)
        return open_request

    def join(self, caller: Caller, admitted: AdmittedRequest, answer_late: Callable[[], None]) -> None:
        """Add a caller that waits for the same answer; `answer_late` is called if its own deadline passes first."""

        def on_deadline() -> None:
            self._remove(caller)
            answer_late()

        deadline = admitted.arrived + admitted.grant.wait_ms / 1000.0 - ANSWER_MARGIN_S
        timer = self.pool.loop.call_at(deadline, on_deadline)
        self._callers[id(caller)] = caller, admitted, timer
        caller.on_gone = lambda: self._on_caller_gone(caller)

    def finish(self, open_request: OpenRequest, answer: Answer, size: int) -> list[Any]:
        """Note the final answer, whose reply has `size` bytes, and return the callers that waited for it."""
        waiting = list(self._callers.values())
        self._callers.clear()
        for _, admitted, timer in waiting:
            if timer is not None:
                timer.cancel()
            if admitted is not None:
                admitted.on_answered()
        self._record_end(open_request, answer, size)
        return [caller for caller, _, _ in waiting]

    def carried(self, wait_s: float) -> PropagatedBudget | None:
        """Return the budget to send with an attempt that starts now with this timeout; None where none is carried."""
        admitted = self.admitted
        if admitted is None or not admitted.budget.model.carry:
            return None
        if admitted.grant.worth is None:
            admitted.grant.worth = admitted.kind.worth
        left_ms = wait_s * 1000.0 - admitted.budget.one_way_ms.get(admitted.pool_name, 0.0)
        instance_id = admitted.budget.budgets.instance_id
        return admitted.grant.budget_for_attempt(
            self.pool.clock.ms(), instance_id, left_ms, admitted.tenant, self.name
        )

    def _on_caller_gone(self, caller: Caller) -> None:
        """Handle a caller that closed its connection."""
        _, admitted, _ = self._callers.get(id(caller), (None, None, None))
        if admitted is not None:
            admitted.on_caller_left()
        self._remove(caller)

    def _remove(self, caller: Caller) -> None:
        _, _, timer = self._callers.pop(id(caller), (None, None, None))
        if timer is not None:
            timer.cancel()
        open_request = self._open_request
        if not self._callers and open_request is not None and not open_request.done:
            # Guard: `abandon` first withdraws attempts that are not fully written. Recorded before it, such an attempt
            # would count as one that may have run, and a retry with the same key would be bound to its server.
            self.pool.abandon(open_request)
            self._record_end(open_request, None, 0)

    def _record_end(self, open_request: OpenRequest, answer: Answer | None, size: int) -> None:
        if self.admitted is None:
            return
        served = answer is not None and answer.kind is AnswerKind.SERVED and answer.reply is not None
        self.admitted.budget.budgets.repeats.end(
            self.pool.clock.ms(),
            self.admitted.identity,
            self,
            answer.reply if served and answer is not None else None,
            size,
            earlier=open_request.first_attempt,
            memory_ms=self.admitted.kind.memory_ms,
            sent=bool(open_request.attempts),
        )


def frontend_budget(
    budgets: Budgets,
    model: BudgetModel,
    name: str,
    trust: str | None,
    attempts: int,
    tenants: frozenset[str],
    one_way_ms: Mapping[str, float],
) -> FrontendBudget:
    """Return a listener's budget from the configuration; `attempts` is `max_attempts` of the rules."""
    terms = ListenerTerms(
        name=name,
        trust=Trust(trust or "edge"),
        extra=attempts - 1 if model.extra is None else model.extra,
        revisits=model.revisits,
        reserve_ms=model.reserve_ms,
        learn=model.learn_patience,
        tenants=tenants,
    )
    return FrontendBudget(budgets, terms, model, one_way_ms)
