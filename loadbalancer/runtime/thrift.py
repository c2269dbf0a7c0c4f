"""Callers that speak Thrift and know nothing of us, and the boxes that answer them.

What a caller hears of our own is a `TApplicationException`; its message begins with one of

    refused; never ran; retry-after-ms=N; WHY     type LOADSHEDDING (11): the same call may be made again
    refused; may have run; retry-after-ms=N; WHY  the same, of a class whose calls may be repeated
    failed; never ran; WHY                        type INTERNAL_ERROR (6): given up before its last byte had left
    failed; may have run; WHY                     type INTERNAL_ERROR (6), TIMEOUT (12) where no answer came in time
    bad call; never ran; WHY                      type UNKNOWN_METHOD (1) or PROTOCOL_ERROR (7)

and anything else is a box's word.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from functools import partial

from loadbalancer.budget.carried import NOTHING, Carried, read_baggage, write_baggage
from loadbalancer.budget.decider import Denial
from loadbalancer.core.pool import OpenRequest, Pool
from loadbalancer.core.types import Answer, AnswerCause, AnswerKind
from loadbalancer.overload.rejections import RejectionSource
from loadbalancer.router.calls import CallTable
from loadbalancer.runtime.budgets import Asked, FrontBudget
from loadbalancer.runtime.gate import Gate
from loadbalancer.runtime.taking import WAY_BACK_S, ids, patience_ms
from loadbalancer.thrift.client import Outbound
from loadbalancer.thrift.codec import check, field_at, transcode, with_text
from loadbalancer.thrift.server import Limits, ThriftCall, ThriftServer, bad_call
from loadbalancer.thrift.types import ExceptionKind, Form, Message, MessageKind, ProtocolError

LEAST_S = 0.001  # with less time left nothing is begun
WORDS = {
    AnswerCause.TIMEOUT: (ExceptionKind.TIMEOUT, "no answer in time"),
    AnswerCause.LATE: (ExceptionKind.TIMEOUT, "no answer in time"),
    AnswerCause.LEAVING: (ExceptionKind.INTERNAL_ERROR, "this process ends"),
    AnswerCause.BROKEN: (ExceptionKind.INTERNAL_ERROR, "the box's answer broke off"),
    AnswerCause.FAULT: (ExceptionKind.INTERNAL_ERROR, "a fault of this process"),
}


@dataclass(slots=True, frozen=True)
class ThriftPlan:
    """What is in force for Thrift callers: replaced as a whole."""

    table: CallTable
    pools: Mapping[str, Pool]
    forms: Mapping[str, Form]  # what the boxes of each pool are spoken to in
    tenants: frozenset[str] = frozenset()  # those that are known
    key_fields: Mapping[str, tuple[int, ...]] = field(default_factory=dict)  # of keyed classes
    oneway_s: Mapping[str, float] = field(default_factory=dict)  # by class: how long a oneway call runs
    budget_fields: Mapping[str, int] = field(
        default_factory=dict
    )  # by pool: the argument that boxes read it from


@dataclass(slots=True, eq=False)
class Passing(Outbound):
    """A call on its way, and the ones that it answers."""

    asked: Asked | None = None
    pool: str = ""
    form: Form = Form.BINARY  # of the body
    budget_field: int | None = None  # the argument that says so; None: nothing is carried
    others: list[str] = field(default_factory=list)  # members of baggage that are not ours

    def carried(self, wait_s: float) -> bytes:
        """The body of an attempt that is waited for this long, its budget in it where boxes read one."""
        if self.asked is None or self.budget_field is None:
            return self.body
        carried = self.asked.carried(wait_s)
        if carried is None:
            return self.body
        text = write_baggage(carried, self.others).encode("latin-1")
        return with_text(self.body, self.form, self.budget_field, text)


class ThriftFront:
    """One listener. Its plan is asked for anew with each call, so that a reload changes it in one step."""

    def __init__(self, limit: int, limits: Limits, plan: ThriftPlan, gate: Gate) -> None:
        self.plan = plan
        self.gate = gate
        self.server = ThriftServer(limit, self._on_call, limits, self._on_fault, orderly=True)
        self.counts: Counter[str] = Counter()
        self.configure(None, None)
        self._ids = ids()

    def configure(
        self,
        tenant: str | None,
        tenant_field: tuple[int, ...] | None,
        budget: FrontBudget | None = None,
        budget_field: int | None = None,
    ) -> None:
        """`tenant_field`: a path of field ids in the arguments; `tenant` counts where it names none that is known.
        `budget_field`: the argument in which callers carry a budget."""
        self._tenant = tenant
        self._tenant_field = tenant_field
        self._budget = budget
        self._budget_field = budget_field

    # ----------------------------------------------------------------------- calls

    def _on_fault(self, text: str) -> None:
        self.counts["thrift unreadable"] += 1

    def _on_call(self, call: ThriftCall) -> None:
        plan, asked = self.plan, call.message
        self.counts["taken"] += 1
        name = asked.name.decode()
        route = plan.table.match(name)
        if route is None:
            self._deny(call, ExceptionKind.UNKNOWN_METHOD, f"no route takes {name}")
            return
        pool = plan.pools[route.pool]
        form = plan.forms[route.pool]
        kind = pool.classes[route.service]
        if not self.gate.allows(pool, kind, call.arrived):
            self._turn_away(call, route.pool, kind.name, RejectionSource.CORE, self.gate.retry_after_ms)
            return
        try:
            # What can't be read here would only be learnt by a box that goes to pieces over it.
            if form.compact == asked.form.compact:
                check(asked.body, asked.form)
                body = asked.body
            else:
                body = transcode(asked.body, asked.form, form)
            key_path = plan.key_fields.get(kind.name)
            key = None if key_path is None else field_at(asked.body, asked.form, key_path)
            if key_path is not None and key in (None, b""):
                # Guard: sent on without a key, a repeat of it would not be dropped by any box.
                self._deny(call, ExceptionKind.PROTOCOL_ERROR, f"class {kind.name} needs its key")
                return
            tenant = self._tenant_of(asked)
            carried, others = self._carried(asked)
        except ProtocolError as error:
            self._deny(call, ExceptionKind.PROTOCOL_ERROR, str(error))
            return
        wanted, ticket, budget = patience_ms(kind, route.deadline_ms), None, self._budget
        if budget is not None:
            found = budget.admit(
                route.pool,
                pool,
                kind,
                wanted,
                None,
                carried,
                call.arrived,
                tenant,
                (asked.name, self._without_budget(asked)),
                key=None if key is None or call.oneway else str(key).encode(),
            )
            if found is Denial.LOOP:
                self._deny(call, ExceptionKind.UNKNOWN_METHOD, found.value)
                return
            if isinstance(found, Denial):
                self.gate.tally.add(route.pool, kind.name, RejectionSource.TIME)
                self._refuse(call, 0.0, found.value)
                return
            ticket, wanted, tenant = found, found.grant.wait_ms, found.tenant
            late_kind, late_why = WORDS[AnswerCause.LATE]
            late = partial(self._say, call, late_kind, f"failed; may have run; {late_why}", "failed")
            if not call.oneway and ticket.settle(call, partial(self._pass_on, call), late):
                return
        give_up_at = call.arrived + wanted / 1000.0 - WAY_BACK_S
        if give_up_at - pool.loop.time() < LEAST_S:
            # It waited behind another on its connection. None of it has gone anywhere.
            self.gate.tally.add(route.pool, kind.name, RejectionSource.TIME)
            self._refuse(call, 0.0, "its time was up before its turn came")
            return
        if pool.full or not self.server.may_begin():
            self._turn_away(
                call, route.pool, kind.name, RejectionSource.OPEN if pool.full else RejectionSource.CALLERS
            )
            return
        asked_here = Asked(pool, next(self._ids), ticket)
        request = asked_here.request(kind, give_up_at, tenant)
        refused = pool.rejection(request)
        if refused is not None:
            if ticket is not None:
                ticket.answered()
            whose = self.gate.refused(route.pool, kind.name, refused.cause, tried=False)
            self._refuse(call, refused.retry_after_ms, whose.words or "no box takes it now")
            return
        message = Passing(asked.kind, asked.name, body, asked=asked_here, form=form, others=others)
        message.pool = route.pool
        message.budget_field = plan.budget_fields.get(route.pool)
        if call.oneway:
            message.oneway_s = plan.oneway_s.get(kind.name, kind.aim_ms / 1000.0)
        job = asked_here.take(call, request, give_up_at, message, self._deliver, joinable=not call.oneway)
        if call.oneway:
            # A oneway call is over for its caller, and is never sent again, once its last byte has left; the attempt
            # goes on to count as in flight.
            def sent() -> None:
                pool.answer(job, Answer(AnswerKind.SERVED, AnswerCause.ANSWERED))

            message.on_sent = sent
            if message.sent:
                sent()

    def _carried(self, asked: Message) -> tuple[Carried, list[str]]:
        """What the arguments say of a budget, and the members of baggage beside it."""
        if self._budget is None or self._budget_field is None:
            return NOTHING, []
        found = field_at(asked.body, asked.form, (self._budget_field,))
        return read_baggage(found.decode("latin-1")) if isinstance(found, bytes) else (NOTHING, [])

    def _without_budget(self, asked: Message) -> bytes:
        """The arguments by which two calls are told apart: what is left of the time is not one of them."""
        if self._budget_field is None or field_at(asked.body, asked.form, (self._budget_field,)) is None:
            return asked.body
        return with_text(asked.body, asked.form, self._budget_field, None)

    def _tenant_of(self, asked: Message) -> str | None:
        if self._tenant_field is None:
            return self._tenant
        found = field_at(asked.body, asked.form, self._tenant_field)
        name = found.decode(errors="replace") if isinstance(found, bytes) else str(found)
        return name if name in self.plan.tenants else self._tenant

    # --------------------------------------------------------------------- replies

    def _deliver(self, job: OpenRequest, answer: Answer) -> None:
        message: Passing = job.message
        assert message.asked is not None
        size = 0 if answer.reply is None else len(answer.reply.body)
        for call in message.asked.answered(job, answer, size):
            self._reply(call, job, message, answer)

    def _reply(self, call: ThriftCall, job: OpenRequest, message: Passing, answer: Answer) -> None:
        if answer.reply is not None:
            self._pass_on(call, answer.reply)
        elif answer.kind is AnswerKind.SERVED:
            self.counts["oneway sent"] += 1
            call.reply(MessageKind.REPLY, call.message.name, b"")
        elif answer.kind is AnswerKind.REFUSED:
            whose = self.gate.refused(message.pool, job.kind, answer.cause, bool(job.attempts))
            self._refuse(call, answer.retry_after_ms, whose.words or "no box takes it now", message.sent > 0)
        else:
            kind, why = WORDS[answer.cause]
            if message.sent:
                self._say(call, kind, f"failed; may have run; {why}", "failed")
            else:
                self._say(call, ExceptionKind.INTERNAL_ERROR, f"failed; never ran; {why}", "failed unrun")

    def _pass_on(self, call: ThriftCall, reply: Message) -> None:
        form: Form = call.message.form
        try:
            body = transcode(reply.body, reply.form, form)
        except ProtocolError as error:
            # It has been gone through once, so only what the two protocols tell differently is left.
            self._say(call, ExceptionKind.INTERNAL_ERROR, f"failed; may have run; {error}", "failed")
            return
        self.counts[f"answered {reply.kind.name.lower()}"] += 1
        call.reply(reply.kind, reply.name, body)

    def _deny(self, call: ThriftCall, kind: int, why: str) -> None:
        self._say(call, kind, bad_call(why), "bad call")

    def _turn_away(
        self, call: ThriftCall, pool: str, kind: str, whose: RejectionSource, retry_after_ms: float = 0.0
    ) -> None:
        """Refuse what nothing has been done for."""
        self.gate.tally.add(pool, kind, whose)
        self._refuse(call, retry_after_ms, whose.words)

    def _refuse(self, call: ThriftCall, retry_after_ms: float, why: str, sent: bool = False) -> None:
        # A safe call may be refused after an attempt of which nothing is known; a repeat of it does no harm either.
        ran = "may have run" if sent else "never ran"
        text = f"refused; {ran}; retry-after-ms={math.ceil(retry_after_ms)}; {why}"
        self._say(call, ExceptionKind.LOADSHEDDING, text, "refused")

    def _say(self, call: ThriftCall, kind: int, text: str, counted: str) -> None:
        self.counts[f"oneway {counted}" if call.oneway else f"own {counted}"] += 1
        call.fail(kind, text)
