"""The sidecar's frontend for Thrift: accepts calls of ordinary Thrift clients and forwards them to a pool's servers.

An answer that the sidecar itself produces is a `TApplicationException`, whose message has one of these forms:

    refused; never ran; retry-after-ms=N; WHY     type LOADSHEDDING (11): the same call may be made again
    refused; may have run; retry-after-ms=N; WHY  the same, of a class whose calls may be repeated
    failed; never ran; WHY                        type INTERNAL_ERROR (6): given up before its last byte was sent
    failed; may have run; WHY                     type INTERNAL_ERROR (6), TIMEOUT (12) where no answer came in time
    bad call; never ran; WHY                      type UNKNOWN_METHOD (1) or PROTOCOL_ERROR (7)

Anything else is a server's reply, passed on.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from functools import partial

from loadbalancer.budget.carried import NO_BUDGET, PropagatedBudget, read_baggage, write_baggage
from loadbalancer.budget.decider import Denial
from loadbalancer.core.pool import OpenRequest, Pool
from loadbalancer.core.types import Answer, AnswerCause, AnswerKind
from loadbalancer.overload.rejections import RejectionSource
from loadbalancer.router.calls import CallTable
from loadbalancer.runtime.admission_control import AdmissionControl
from loadbalancer.runtime.budgets import FrontendBudget, SharedRequest
from loadbalancer.runtime.frontend_common import ANSWER_MARGIN_S, caller_wait_ms, request_ids
from loadbalancer.thrift.client import OutgoingCall
from loadbalancer.thrift.codec import check, field_at, transcode, with_text
from loadbalancer.thrift.server import Limits, ThriftCall, ThriftServer, bad_call
from loadbalancer.thrift.types import ExceptionKind, Form, Message, MessageKind, ProtocolError

MIN_TIME_LEFT_S = 0.001  # a call with less time left is rejected
FAILURES = {
    AnswerCause.TIMEOUT: (ExceptionKind.TIMEOUT, "no answer in time"),
    AnswerCause.LATE: (ExceptionKind.TIMEOUT, "no answer in time"),
    AnswerCause.LEAVING: (ExceptionKind.INTERNAL_ERROR, "this process ends"),
    AnswerCause.BROKEN: (ExceptionKind.INTERNAL_ERROR, "the box's answer broke off"),
    AnswerCause.FAULT: (ExceptionKind.INTERNAL_ERROR, "a fault of this process"),
}


@dataclass(slots=True, frozen=True)
class ThriftPlan:
    """The routing configuration of Thrift calls; a reload replaces the object as a whole."""

    table: CallTable
    pools: Mapping[str, Pool]
    forms: Mapping[str, Form]  # by pool: the Thrift protocol of its servers
    tenants: frozenset[str] = frozenset()  # names of the configured ones
    # By keyed class: path of field ids.
    key_fields: Mapping[str, tuple[int, ...]] = field(default_factory=dict)
    oneway_s: Mapping[str, float] = field(default_factory=dict)  # by class: how long a oneway call runs
    # By pool: id of the argument from which servers read the budget.
    budget_fields: Mapping[str, int] = field(default_factory=dict)


@dataclass(slots=True, eq=False)
class ForwardedCall(OutgoingCall):
    """A call as it is sent to a server, and the request whose callers wait for its reply."""

    shared_request: SharedRequest | None = None
    pool: str = ""
    form: Form = Form.BINARY  # of the body
    budget_field: int | None = None  # id of the argument that carries the budget; None: none is carried
    others: list[str] = field(default_factory=list)  # baggage members of other software, passed on

    def carried(self, wait_s: float) -> bytes:
        """Return the body of an attempt with this timeout, with its budget if the pool's servers read one."""
        if self.shared_request is None or self.budget_field is None:
            return self.body
        carried = self.shared_request.carried(wait_s)
        if carried is None:
            return self.body
        carried_text = write_baggage(carried, self.others).encode("latin-1")
        return with_text(self.body, self.form, self.budget_field, carried_text)


class ThriftFrontend:
    """One Thrift listener. Each call reads `plan` once, so a reload takes effect between two calls."""

    def __init__(self, limit: int, limits: Limits, plan: ThriftPlan, admission: AdmissionControl) -> None:
        self.plan = plan
        self.admission = admission
        self.server = ThriftServer(limit, self._on_call, limits, self._on_fault, orderly=True)
        self.counts: Counter[str] = Counter()
        self.configure(None, None)
        self._ids = request_ids()

    def configure(
        self,
        tenant: str | None,
        tenant_field: tuple[int, ...] | None,
        budget: FrontendBudget | None = None,
        budget_field: int | None = None,
    ) -> None:
        """Set what a reload may change.

        `tenant_field` is a path of field ids in the arguments; `tenant` applies where it names no configured tenant.
        `budget_field` is the id of the argument in which callers carry a budget.
        """
        self._tenant = tenant
        self._tenant_field = tenant_field
        self._budget = budget
        self._budget_field = budget_field

    # ----------------------------------------------------------------------- calls

    def _on_fault(self, text: str) -> None:
        self.counts["thrift unreadable"] += 1

    def _on_call(self, call: ThriftCall) -> None:
        plan, incoming = self.plan, call.message
        self.counts["taken"] += 1
        name = incoming.name.decode()
        route = plan.table.match(name)
        if route is None:
            self._reject_permanently(call, ExceptionKind.UNKNOWN_METHOD, f"no route takes {name}")
            return
        pool = plan.pools[route.pool]
        form = plan.forms[route.pool]
        kind = pool.classes[route.service]
        if not self.admission.admits(pool, kind, call.arrived):
            self._reject_unstarted(
                call, route.pool, kind.name, RejectionSource.CORE, self.admission.retry_after_ms
            )
            return
        try:
            # Malformed arguments are rejected here, as they could crash a server.
            if form.compact == incoming.form.compact:
                check(incoming.body, incoming.form)
                body = incoming.body
            else:
                body = transcode(incoming.body, incoming.form, form)
            key_path = plan.key_fields.get(kind.name)
            key = None if key_path is None else field_at(incoming.body, incoming.form, key_path)
            if key_path is not None and key in (None, b""):
                # Guard: without its key no server could drop a duplicate of this call.
                self._reject_permanently(
                    call, ExceptionKind.PROTOCOL_ERROR, f"class {kind.name} needs its key"
                )
                return
            tenant = self._tenant_of(incoming)
            carried, others = self._carried(incoming)
        except ProtocolError as error:
            self._reject_permanently(call, ExceptionKind.PROTOCOL_ERROR, str(error))
            return
        max_wait_ms, admitted, budget = caller_wait_ms(kind, route.deadline_ms), None, self._budget
        if budget is not None:
            decision = budget.admit(
                route.pool,
                pool,
                kind,
                max_wait_ms,
                None,
                carried,
                call.arrived,
                tenant,
                (incoming.name, self._without_budget(incoming)),
                key=None if key is None or call.oneway else str(key).encode(),
            )
            if decision is Denial.LOOP:
                self._reject_permanently(call, ExceptionKind.UNKNOWN_METHOD, decision.value)
                return
            if isinstance(decision, Denial):
                self.admission.rejections.add(route.pool, kind.name, RejectionSource.TIME)
                self._reject(call, 0.0, decision.value)
                return
            admitted, max_wait_ms, tenant = decision, decision.grant.wait_ms, decision.tenant
            late_kind, late_detail = FAILURES[AnswerCause.LATE]
            answer_late = partial(
                self._answer_locally, call, late_kind, f"failed; may have run; {late_detail}", "failed"
            )
            if not call.oneway and admitted.resolve_repeat(call, partial(self._pass_on, call), answer_late):
                return
        give_up_at = call.arrived + max_wait_ms / 1000.0 - ANSWER_MARGIN_S
        if give_up_at - pool.loop.time() < MIN_TIME_LEFT_S:
            # Its time passed while it waited behind another call on its connection. Nothing was sent to a server.
            self.admission.rejections.add(route.pool, kind.name, RejectionSource.TIME)
            self._reject(call, 0.0, "its time was up before its turn came")
            return
        if pool.full or not self.server.may_begin():
            self._reject_unstarted(
                call, route.pool, kind.name, RejectionSource.OPEN if pool.full else RejectionSource.CALLERS
            )
            return
        shared_request = SharedRequest(pool, next(self._ids), admitted)
        request = shared_request.build_request(kind, give_up_at, tenant)
        rejection = pool.rejection(request)
        if rejection is not None:
            if admitted is not None:
                admitted.on_answered()
            source = self.admission.count_rejection(route.pool, kind.name, rejection.cause, tried=False)
            self._reject(call, rejection.retry_after_ms, source.explanation or "no box takes it now")
            return
        message = ForwardedCall(
            incoming.kind, incoming.name, body, shared_request=shared_request, form=form, others=others
        )
        message.pool = route.pool
        message.budget_field = plan.budget_fields.get(route.pool)
        if call.oneway:
            message.oneway_s = plan.oneway_s.get(kind.name, kind.aim_ms / 1000.0)
        open_request = shared_request.submit(
            call, request, give_up_at, message, self._deliver, joinable=not call.oneway
        )
        if call.oneway:
            # A oneway call is complete for its caller once its last byte was sent, and is never retried; its attempt
            # still counts as in flight for the time that the call is taken to run.
            def on_sent() -> None:
                pool.answer(open_request, Answer(AnswerKind.SERVED, AnswerCause.ANSWERED))

            message.on_sent = on_sent
            if message.sent:
                on_sent()

    def _carried(self, incoming: Message) -> tuple[PropagatedBudget, list[str]]:
        """Return the budget in the arguments, and the other baggage members beside it."""
        if self._budget is None or self._budget_field is None:
            return NO_BUDGET, []
        found = field_at(incoming.body, incoming.form, (self._budget_field,))
        return read_baggage(found.decode("latin-1")) if isinstance(found, bytes) else (NO_BUDGET, [])

    def _without_budget(self, incoming: Message) -> bytes:
        """Return the arguments without the budget, which differs between retries of the same call."""
        if (
            self._budget_field is None
            or field_at(incoming.body, incoming.form, (self._budget_field,)) is None
        ):
            return incoming.body
        return with_text(incoming.body, incoming.form, self._budget_field, None)

    def _tenant_of(self, incoming: Message) -> str | None:
        if self._tenant_field is None:
            return self._tenant
        found = field_at(incoming.body, incoming.form, self._tenant_field)
        name = found.decode(errors="replace") if isinstance(found, bytes) else str(found)
        return name if name in self.plan.tenants else self._tenant

    # --------------------------------------------------------------------- replies

    def _deliver(self, open_request: OpenRequest, answer: Answer) -> None:
        message: ForwardedCall = open_request.message
        assert message.shared_request is not None
        size = 0 if answer.reply is None else len(answer.reply.body)
        for call in message.shared_request.finish(open_request, answer, size):
            self._reply(call, open_request, message, answer)

    def _reply(
        self, call: ThriftCall, open_request: OpenRequest, message: ForwardedCall, answer: Answer
    ) -> None:
        if answer.reply is not None:
            self._pass_on(call, answer.reply)
        elif answer.kind is AnswerKind.SERVED:
            self.counts["oneway sent"] += 1
            call.reply(MessageKind.REPLY, call.message.name, b"")
        elif answer.kind is AnswerKind.REFUSED:
            source = self.admission.count_rejection(
                message.pool, open_request.kind, answer.cause, bool(open_request.attempts)
            )
            self._reject(
                call, answer.retry_after_ms, source.explanation or "no box takes it now", message.sent > 0
            )
        else:
            kind, detail = FAILURES[answer.cause]
            if message.sent:
                self._answer_locally(call, kind, f"failed; may have run; {detail}", "failed")
            else:
                self._answer_locally(
                    call, ExceptionKind.INTERNAL_ERROR, f"failed; never ran; {detail}", "failed unrun"
                )

    def _pass_on(self, call: ThriftCall, reply: Message) -> None:
        form: Form = call.message.form
        try:
            body = transcode(reply.body, reply.form, form)
        except ProtocolError as error:
            # The reply has been checked in its own protocol: only a value that the other can't express fails here.
            self._answer_locally(
                call, ExceptionKind.INTERNAL_ERROR, f"failed; may have run; {error}", "failed"
            )
            return
        self.counts[f"answered {reply.kind.name.lower()}"] += 1
        call.reply(reply.kind, reply.name, body)

    def _reject_permanently(self, call: ThriftCall, kind: int, detail: str) -> None:
        self._answer_locally(call, kind, bad_call(detail), "bad call")

    def _reject_unstarted(
        self, call: ThriftCall, pool: str, kind: str, source: RejectionSource, retry_after_ms: float = 0.0
    ) -> None:
        """Reject a call for which no attempt was made."""
        self.admission.rejections.add(pool, kind, source)
        self._reject(call, retry_after_ms, source.explanation)

    def _reject(
        self, call: ThriftCall, retry_after_ms: float, detail: str, may_have_run: bool = False
    ) -> None:
        # A safe call may be rejected after an attempt with unknown outcome; retrying it is harmless.
        ran = "may have run" if may_have_run else "never ran"
        text = f"refused; {ran}; retry-after-ms={math.ceil(retry_after_ms)}; {detail}"
        self._answer_locally(call, ExceptionKind.LOADSHEDDING, text, "refused")

    def _answer_locally(self, call: ThriftCall, kind: int, text: str, count_as: str) -> None:
        self.counts[f"oneway {count_as}" if call.oneway else f"own {count_as}"] += 1
        call.fail(kind, text)
