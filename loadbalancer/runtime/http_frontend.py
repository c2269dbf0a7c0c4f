"""The sidecar's frontend for HTTP/1.1: accepts requests of ordinary clients and forwards them to a pool's servers.

Forwarding follows RFC 9110, section 7.6: hop-by-hop fields are removed, all others keep their order and case.
An answer that the sidecar itself produces has a `Proxy-Status` field (RFC 9209); one without it comes from a server.
"""

from __future__ import annotations

import math
import re
from collections import Counter
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from functools import lru_cache, partial

from loadbalancer import interface as api
from loadbalancer.budget.carried import WRITTEN_HEADERS, read_http, write_http
from loadbalancer.budget.decider import Denial
from loadbalancer.core.pool import OpenRequest, Pool
from loadbalancer.core.types import Answer, AnswerCause, AnswerKind
from loadbalancer.http.client import NO_BODY_STATUSES, Header, Response
from loadbalancer.http.server import Call, Dialect, Server
from loadbalancer.overload.rejections import RejectionSource
from loadbalancer.router.router import Router
from loadbalancer.runtime.admission_control import AdmissionControl
from loadbalancer.runtime.budgets import FrontendBudget, SharedRequest
from loadbalancer.runtime.frontend_common import ANSWER_MARGIN_S, caller_wait_ms, request_ids
from loadbalancer.settings import parse_load_report

DEADLINE_VALUE = re.compile(rb"[0-9]{1,9}")

HOP_BY_HOP = frozenset(
    b"connection keep-alive proxy-connection proxy-authenticate proxy-authorization te trailer".split()
    + b"transfer-encoding upgrade".split()
)
# Fields that this sidecar or the connection sets for each message.
REQUEST_DROPPED = HOP_BY_HOP | frozenset(
    b"content-length expect req-id req-deadline-ms req-owner req-retry".split()
)
RESPONSE_DROPPED = HOP_BY_HOP | frozenset(b"srv-load srv-declined".split())
METHODS_WITH_BODY = frozenset((b"POST", b"PUT", b"PATCH"))

# Statuses of a server's answer that count as a failed attempt; any other status is passed on as a success.
ERROR_STATUSES = frozenset((500, 502, 503, 504))

# Status and error type (RFC 9209, section 2.3) of the answer to a request that failed.
FAILURES = {
    AnswerCause.TIMEOUT: (504, "http_response_timeout"),
    AnswerCause.LATE: (504, "http_response_timeout"),
    AnswerCause.LEAVING: (504, "http_response_timeout"),
    AnswerCause.BROKEN: (502, "connection_terminated"),
    AnswerCause.FAULT: (500, "proxy_internal_error"),
}


@dataclass(slots=True)
class HttpMessage:
    """A request as it is sent to a server, and the caller's request that it was made from."""

    call: Call
    id: str
    host: str  # the pool's name; Host where the caller sent none
    headers: list[Header] = field(default_factory=list)
    tenant: str | None = None
    shared_request: SharedRequest | None = None
    node: str = ""

    def carried(self, wait_s: float) -> list[Header]:
        """Return the fields that carry the budget of an attempt with this timeout."""
        carried = None if self.shared_request is None else self.shared_request.carried(wait_s)
        if carried is None:
            return []
        return write_http(self.call.raw, carried, self.node, wait_s * 1000.0, self.call.headers)


@dataclass(slots=True, frozen=True)
class HttpPlan:
    """The routing configuration of HTTP requests; a reload replaces the object as a whole."""

    name: str
    router: Router
    pools: Mapping[str, Pool]
    key_headers: Mapping[str, bytes]  # by keyed class: the lower-case name of its key's header


class HttpWire:
    """Writes requests to servers and reads their answers, for plain HTTP callers; a message is an `HttpMessage`."""

    raw = True

    def __init__(self, max_body: int, report_fields: tuple[str, ...]) -> None:
        self.max_body = max_body
        self._fields = report_fields

    def encode(self, message: HttpMessage, wait_s: float) -> bytes:
        call = message.call
        lines = [call.method + b" " + call.target + b" HTTP/1.1"]
        lines += [name + b": " + value for name, value in message.headers]
        if b"host" not in call.headers:
            lines.append(b"Host: " + message.host.encode())
        lines += [name + b": " + value for name, value in message.carried(wait_s)]
        lines.append(b"Req-Id: " + message.id.encode())
        lines.append(b"Req-Deadline-Ms: %d" % max(1, int(wait_s * 1000.0)))
        if message.tenant is not None:
            lines.append(b"Req-Owner: " + message.tenant.encode())
        if call.body or call.method in METHODS_WITH_BODY:
            lines.append(b"Content-Length: %d" % len(call.body))
        return b"\r\n".join(lines) + b"\r\n\r\n" + call.body

    def bodiless(self, message: HttpMessage) -> bool:
        return message.call.method == b"HEAD"

    def read(self, response: Response) -> tuple[api.Result, dict[str, float] | None]:
        load = response.headers.get(b"srv-load")
        report = parse_load_report(load.decode("latin-1"), self._fields) if load else None
        if response.status in (503, 504) and response.headers.get(b"srv-declined") == b"1":
            return api.Result.FULL, report
        return (api.Result.ERROR if response.status in ERROR_STATUSES else api.Result.OK), report


class HttpFrontend:
    """One HTTP listener. Each request reads `plan` once, so a reload takes effect between two requests."""

    def __init__(
        self,
        limit: int,
        dialect: Dialect,
        plan: HttpPlan,
        deadline_header: str,
        tenant: str | None,
        budget: FrontendBudget | None,
        admission: AdmissionControl,
    ) -> None:
        self.plan = plan
        self.admission = admission
        self.server = Server(limit, self._on_call, dialect, orderly=True)
        self.server.unparsed_rejection = admission.unparsed_rejection
        self.server.full_rejection = admission.connection_limit_rejection
        self.server.on_unparsed_rejection = admission.count_unparsed_rejection
        self.counts: Counter[str] = Counter()
        self.configure(deadline_header, tenant, budget)
        self._ids = request_ids()

    def configure(self, deadline_header: str, tenant: str | None, budget: FrontendBudget | None) -> None:
        self._deadline_header = deadline_header.lower().encode()
        self._tenant = tenant
        self._budget = budget
        self._dropped = REQUEST_DROPPED | {self._deadline_header}
        if budget is not None and budget.model.carry:
            self._dropped |= WRITTEN_HEADERS

    # ------------------------------------------------------------------- requests

    def _on_call(self, call: Call) -> None:
        """Handle a complete request."""
        plan = self.plan
        self.counts["taken"] += 1
        try:
            route = plan.router.match(call.method, call.target, call.headers)
        except ValueError as error:
            self._reject_permanently(call, 400, "http_request_error", str(error))
            return
        if route is None:
            self._reject_permanently(call, 404, "destination_not_found", "no route takes this request")
            return
        pool = plan.pools[route.pool]
        kind = pool.classes[route.service]
        # Checked first: work on a request that can't be answered in time only delays the others.
        if not self.admission.admits(pool, kind, call.arrived):
            self._reject_unstarted(
                call, route.pool, kind.name, RejectionSource.CORE, self.admission.retry_after_ms
            )
            return
        max_wait_ms = caller_wait_ms(kind, route.deadline_ms)
        deadline_value = call.headers.get(self._deadline_header)
        if deadline_value is not None and not DEADLINE_VALUE.fullmatch(deadline_value):
            self._reject_permanently(
                call, 400, "http_request_error", "the deadline is not in whole milliseconds"
            )
            return
        requested_ms = None if deadline_value is None else float(deadline_value)
        key = plan.key_headers.get(kind.name)
        if kind.effect is api.Effect.KEYED and key is not None and not call.headers.get(key):
            # Guard: without its key no server could drop a duplicate of this request.
            self._reject_permanently(
                call, 400, "http_request_error", f"class {kind.name} needs {key.decode()}"
            )
            return
        admitted, budget, tenant = None, self._budget, self._tenant
        if budget is None:
            max_wait_ms = max_wait_ms if requested_ms is None else min(max_wait_ms, requested_ms)
        else:
            decision = budget.admit(
                route.pool,
                pool,
                kind,
                max_wait_ms,
                requested_ms,
                read_http(call.raw, call.headers),
                call.arrived,
                tenant,
                (call.method, call.target, bytes(call.body)),
                call.raw,
                None if key is None else call.headers.get(key),
            )
            if decision is Denial.LOOP:
                # 508 (RFC 5842, section 7.2) instead of 503: a retry would run into the same loop.
                self._reject_permanently(call, 508, "proxy_loop_detected", f"it never ran; {decision.value}")
                return
            if isinstance(decision, Denial):
                self.admission.rejections.add(route.pool, kind.name, RejectionSource.TIME)
                self._reject(call, 0.0, RejectionSource.TIME.error, detail=decision.value)
                return
            admitted, max_wait_ms, tenant = decision, decision.grant.wait_ms, decision.tenant
            answer_late = partial(
                self._answer_locally, call, *FAILURES[AnswerCause.LATE], "failed: it may have run"
            )
            if admitted.resolve_repeat(call, partial(self._pass_on, call), answer_late):
                return
        if pool.full or not self.server.may_begin():
            # Guard: without a limit, open requests would exhaust memory and descriptors. Nothing was sent to a server,
            # so this is a rejection.
            self._reject_unstarted(
                call, route.pool, kind.name, RejectionSource.OPEN if pool.full else RejectionSource.CALLERS
            )
            return
        give_up_at = call.arrived + max_wait_ms / 1000.0 - ANSWER_MARGIN_S
        shared_request = SharedRequest(pool, next(self._ids), admitted)
        is_retry = call.headers.get(b"req-retry") == b"1"
        request = shared_request.build_request(kind, give_up_at, tenant, is_retry)
        rejection = pool.rejection(request)
        if rejection is not None:
            if admitted is not None:
                admitted.on_answered()
            source = self.admission.count_rejection(route.pool, kind.name, rejection.cause, tried=False)
            self._reject(call, rejection.retry_after_ms, source.error, detail=source.explanation)
            return
        always_forwarded = (b"host",) if key is None else (b"host", key)
        headers = end_to_end_fields(
            call.raw, call.headers.get(b"connection"), self._dropped, always_forwarded
        )
        message = HttpMessage(call, request.id, route.pool, headers, tenant, shared_request, plan.name)
        shared_request.submit(call, request, give_up_at, message, self._deliver)

    # -------------------------------------------------------------------- answers

    def _deliver(self, open_request: OpenRequest, answer: Answer) -> None:
        shared_request: SharedRequest = open_request.message.shared_request
        size = 0 if answer.reply is None else len(answer.reply.body)
        for call in shared_request.finish(open_request, answer, size):
            if answer.reply is not None:  # a server's answer is passed on, also an error
                self._pass_on(call, answer.reply)
            elif answer.kind is AnswerKind.REFUSED:
                pool: str = open_request.message.host
                source = self.admission.count_rejection(
                    pool, open_request.kind, answer.cause, bool(open_request.attempts)
                )
                self._reject(
                    call, answer.retry_after_ms, source.error, open_request.may_have_run, source.explanation
                )
            else:
                status, error = FAILURES[answer.cause]
                self._answer_locally(call, status, error, "failed: it may have run")

    def _pass_on(self, call: Call, reply: Response) -> None:
        self.counts[f"answered {reply.status}"] += 1
        # An answer without a body keeps its Content-Length; otherwise that is set from the body.
        bodiless = call.method == b"HEAD" or reply.status in NO_BODY_STATUSES
        dropped = RESPONSE_DROPPED if bodiless else RESPONSE_DROPPED | {b"content-length"}
        headers = end_to_end_fields(reply.raw, reply.headers.get(b"connection"), dropped, ())
        call.pass_on(reply.status, headers, bytes(reply.body))

    def _reject_permanently(self, call: Call, status: int, error: str, detail: str) -> None:
        self._answer_locally(call, status, error, f"refused: {detail}")

    def _reject_unstarted(
        self, call: Call, pool: str, kind: str, source: RejectionSource, retry_after_ms: float = 0.0
    ) -> None:
        """Reject a request for which no attempt was made."""
        self.admission.rejections.add(pool, kind, source)
        self._reject(call, retry_after_ms, source.error, detail=source.explanation)

    def _reject(
        self, call: Call, retry_after_ms: float, error: str, may_have_run: bool = False, detail: str = ""
    ) -> None:
        # A safe request may be rejected after an attempt with unknown outcome; retrying it is harmless.
        if not detail:
            detail = "it may be repeated" if may_have_run else "it never ran"
        elif not may_have_run:
            detail = f"it never ran; {detail}"
        detail = f"refused: {detail}"
        # Retry-After is in whole seconds (RFC 9110, section 10.2.3); 0 sends no such field.
        self._answer_locally(call, 503, error, detail, math.ceil(retry_after_ms / 1000.0))

    def _answer_locally(
        self, call: Call, status: int, error: str, details: str, retry_after_s: int = 0
    ) -> None:
        self.counts[f"own {status}"] += 1
        call.pass_on(
            status, *local_answer(self.plan.name, error, details, retry_after_s), status in (400, 404)
        )


@lru_cache(256)
def local_answer(name: str, error: str, details: str, retry_after_s: int) -> tuple[list[Header], bytes]:
    """Return the fields and the body of an answer that the sidecar itself produces."""
    proxy_status = f'{name}; error={error}; details="{details}"'
    headers = [(b"Proxy-Status", proxy_status.encode("ascii", "replace")), (b"Content-Type", b"text/plain")]
    if retry_after_s > 0:
        headers.append((b"Retry-After", b"%d" % retry_after_s))
    return headers, f"{details}\n".encode()


def end_to_end_fields(
    headers: list[Header],
    connection: bytes | None,
    dropped: Collection[bytes],
    always_forwarded: Collection[bytes],
) -> list[Header]:
    """Return the end-to-end fields unchanged; the value of `Connection` names further fields to remove.

    Guard: without Host or its key, which a caller may name in `Connection`, a server would take the request for
    another one; so the fields of `always_forwarded` stay.
    """
    if connection is not None:
        named = {item.strip().lower() for item in connection.split(b",")} - set(always_forwarded)
        dropped = named.union(dropped)
    return [(name, value) for name, value in headers if name.lower() not in dropped]
