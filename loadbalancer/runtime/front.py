"""Callers that speak plain HTTP/1.1 and know nothing of us, and the boxes that answer them.

What is passed on follows RFC 9110, section 7.6: hop-by-hop fields go, all others stay as they came, in order and
case. What a caller hears of our own carries a `Proxy-Status` field (RFC 9209); an answer without one is a box's.
"""

from __future__ import annotations

import math
import re
from collections import Counter
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from functools import lru_cache, partial

from loadbalancer import interface as api
from loadbalancer.budget.carried import WRITTEN, read_http, write_http
from loadbalancer.budget.decider import Denial
from loadbalancer.core.pool import OpenRequest, Pool
from loadbalancer.core.types import Answer, AnswerCause, AnswerKind
from loadbalancer.http.client import NO_BODY, Header, Response
from loadbalancer.http.server import Call, Dialect, Server
from loadbalancer.overload.rejections import RejectionSource
from loadbalancer.router.router import Router
from loadbalancer.runtime.budgets import Asked, FrontBudget
from loadbalancer.runtime.gate import Gate
from loadbalancer.runtime.taking import WAY_BACK_S, ids, patience_ms
from loadbalancer.settings import report_from

DEADLINE = re.compile(rb"[0-9]{1,9}")

HOP_BY_HOP = frozenset(
    b"connection keep-alive proxy-connection proxy-authenticate proxy-authorization te trailer".split()
    + b"transfer-encoding upgrade".split()
)
# Ours or the connection's: written anew for each message.
REQUEST_DROPPED = HOP_BY_HOP | frozenset(
    b"content-length expect req-id req-deadline-ms req-owner req-retry".split()
)
RESPONSE_DROPPED = HOP_BY_HOP | frozenset(b"srv-load srv-declined".split())
BODIED = frozenset((b"POST", b"PUT", b"PATCH"))

# Of servers' answers these say that the work went wrong; others are the answer, whatever they say.
ERRORS = frozenset((500, 502, 503, 504))

# What a caller hears of a failure: status, and the error's type (RFC 9209, section 2.3).
FAILURES = {
    AnswerCause.TIMEOUT: (504, "http_response_timeout"),
    AnswerCause.LATE: (504, "http_response_timeout"),
    AnswerCause.LEAVING: (504, "http_response_timeout"),
    AnswerCause.BROKEN: (502, "connection_terminated"),
    AnswerCause.FAULT: (500, "proxy_internal_error"),
}


@dataclass(slots=True)
class Message:
    """A request as it goes to a box, and the call that it answers."""

    call: Call
    id: str
    host: str  # for a caller that named none
    headers: list[Header] = field(default_factory=list)
    tenant: str | None = None
    asked: Asked | None = None
    node: str = ""

    def carried(self, wait_s: float) -> list[Header]:
        """The fields that tell a box of the budget that this attempt has."""
        carried = None if self.asked is None else self.asked.carried(wait_s)
        if carried is None:
            return []
        return write_http(self.call.raw, carried, self.node, wait_s * 1000.0, self.call.headers)


@dataclass(slots=True, frozen=True)
class Plan:
    """What is in force: replaced as a whole."""

    name: str
    router: Router
    pools: Mapping[str, Pool]
    key_headers: Mapping[str, bytes]  # of keyed classes, by lower-case name


class SidecarWire:
    """How boxes are asked on behalf of plain callers; a message is a `Message`."""

    raw = True

    def __init__(self, max_body: int, report_fields: tuple[str, ...]) -> None:
        self.max_body = max_body
        self._fields = report_fields

    def encode(self, message: Message, wait_s: float) -> bytes:
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
        if call.body or call.method in BODIED:
            lines.append(b"Content-Length: %d" % len(call.body))
        return b"\r\n".join(lines) + b"\r\n\r\n" + call.body

    def bodiless(self, message: Message) -> bool:
        return message.call.method == b"HEAD"

    def read(self, response: Response) -> tuple[api.Result, dict[str, float] | None]:
        load = response.headers.get(b"srv-load")
        report = report_from(load.decode("latin-1"), self._fields) if load else None
        if response.status in (503, 504) and response.headers.get(b"srv-declined") == b"1":
            return api.Result.FULL, report
        return (api.Result.ERROR if response.status in ERRORS else api.Result.OK), report


class SidecarFront:
    """One listener. Its plan is asked for anew with each request, so that a reload changes it in one step."""

    def __init__(
        self,
        limit: int,
        dialect: Dialect,
        plan: Plan,
        deadline_header: str,
        tenant: str | None,
        budget: FrontBudget | None,
        gate: Gate,
    ) -> None:
        self.plan = plan
        self.gate = gate
        self.server = Server(limit, self._on_call, dialect, orderly=True)
        self.server.refusal = gate.refusal
        self.server.full_head = gate.full
        self.server.on_refused = gate.used
        self.counts: Counter[str] = Counter()
        self.configure(deadline_header, tenant, budget)
        self._ids = ids()

    def configure(self, deadline_header: str, tenant: str | None, budget: FrontBudget | None) -> None:
        self._deadline = deadline_header.lower().encode()
        self._tenant = tenant
        self._budget = budget
        self._dropped = REQUEST_DROPPED | {self._deadline}
        if budget is not None and budget.model.carry:
            self._dropped |= WRITTEN

    # ------------------------------------------------------------------- requests

    def _on_call(self, call: Call) -> None:
        """A whole request has come in."""
        plan = self.plan
        self.counts["taken"] += 1
        try:
            route = plan.router.match(call.method, call.target, call.headers)
        except ValueError as error:
            self._deny(call, 400, "http_request_error", str(error))
            return
        if route is None:
            self._deny(call, 404, "destination_not_found", "no route takes this request")
            return
        pool = plan.pools[route.pool]
        kind = pool.classes[route.service]
        # Before anything else is spent on it; a request that this core can't answer in time is only made later by more.
        if not self.gate.allows(pool, kind, call.arrived):
            self._turn_away(call, route.pool, kind.name, RejectionSource.CORE, self.gate.retry_after_ms)
            return
        wanted = patience_ms(kind, route.deadline_ms)
        given = call.headers.get(self._deadline)
        if given is not None and not DEADLINE.fullmatch(given):
            self._deny(call, 400, "http_request_error", "the deadline is not in whole milliseconds")
            return
        asked = None if given is None else float(given)
        key = plan.key_headers.get(kind.name)
        if kind.effect is api.Effect.KEYED and key is not None and not call.headers.get(key):
            # Guard: sent on without a key, a repeat of it would not be dropped by any box.
            self._deny(call, 400, "http_request_error", f"class {kind.name} needs {key.decode()}")
            return
        ticket, budget, tenant = None, self._budget, self._tenant
        if budget is None:
            wanted = wanted if asked is None else min(wanted, asked)
        else:
            found = budget.admit(
                route.pool,
                pool,
                kind,
                wanted,
                asked,
                read_http(call.raw, call.headers),
                call.arrived,
                tenant,
                (call.method, call.target, bytes(call.body)),
                call.raw,
                None if key is None else call.headers.get(key),
            )
            if found is Denial.LOOP:
                # RFC 5842, section 7.2. Not a refusal that invites to come again: it would come round again.
                self._deny(call, 508, "proxy_loop_detected", f"it never ran; {found.value}")
                return
            if isinstance(found, Denial):
                self.gate.tally.add(route.pool, kind.name, RejectionSource.TIME)
                self._refuse(call, 0.0, RejectionSource.TIME.error, why=found.value)
                return
            ticket, wanted, tenant = found, found.grant.wait_ms, found.tenant
            late = partial(self._say, call, *FAILURES[AnswerCause.LATE], "failed: it may have run")
            if ticket.settle(call, partial(self._pass_on, call), late):
                return
        if pool.full or not self.server.may_begin():
            # Guard: too many to hold. None of it has gone anywhere, so it is a refusal.
            self._turn_away(
                call, route.pool, kind.name, RejectionSource.OPEN if pool.full else RejectionSource.CALLERS
            )
            return
        give_up_at = call.arrived + wanted / 1000.0 - WAY_BACK_S
        asked_here = Asked(pool, next(self._ids), ticket)
        again = call.headers.get(b"req-retry") == b"1"
        request = asked_here.request(kind, give_up_at, tenant, again)
        refused = pool.rejection(request)
        if refused is not None:
            if ticket is not None:
                ticket.answered()
            whose = self.gate.refused(route.pool, kind.name, refused.cause, tried=False)
            self._refuse(call, refused.retry_after_ms, whose.error, why=whose.words)
            return
        kept = (b"host",) if key is None else (b"host", key)
        headers = passed_on(call.raw, call.headers.get(b"connection"), self._dropped, kept)
        message = Message(call, request.id, route.pool, headers, tenant, asked_here, plan.name)
        asked_here.take(call, request, give_up_at, message, self._deliver)

    # -------------------------------------------------------------------- answers

    def _deliver(self, job: OpenRequest, answer: Answer) -> None:
        asked: Asked = job.message.asked
        size = 0 if answer.reply is None else len(answer.reply.body)
        for call in asked.answered(job, answer, size):
            if answer.reply is not None:  # a box's word, its errors too
                self._pass_on(call, answer.reply)
            elif answer.kind is AnswerKind.REFUSED:
                pool: str = job.message.host
                whose = self.gate.refused(pool, job.kind, answer.cause, bool(job.attempts))
                self._refuse(call, answer.retry_after_ms, whose.error, job.may_have_run, whose.words)
            else:
                status, error = FAILURES[answer.cause]
                self._say(call, status, error, "failed: it may have run")

    def _pass_on(self, call: Call, reply: Response) -> None:
        self.counts[f"answered {reply.status}"] += 1
        # What has no body keeps the length that its head speaks of; else it is written for the body as it goes.
        bodiless = call.method == b"HEAD" or reply.status in NO_BODY
        dropped = RESPONSE_DROPPED if bodiless else RESPONSE_DROPPED | {b"content-length"}
        headers = passed_on(reply.raw, reply.headers.get(b"connection"), dropped, ())
        call.pass_on(reply.status, headers, bytes(reply.body))

    def _deny(self, call: Call, status: int, error: str, why: str) -> None:
        self._say(call, status, error, f"refused: {why}")

    def _turn_away(
        self, call: Call, pool: str, kind: str, whose: RejectionSource, retry_after_ms: float = 0.0
    ) -> None:
        """Refuse what nothing has been done for."""
        self.gate.tally.add(pool, kind, whose)
        self._refuse(call, retry_after_ms, whose.error, why=whose.words)

    def _refuse(
        self, call: Call, retry_after_ms: float, error: str, ran: bool = False, why: str = ""
    ) -> None:
        # A safe request may be refused after an attempt of which nothing is known; a repeat of it does no harm.
        if not why:
            why = "it may be repeated" if ran else "it never ran"
        elif not ran:
            why = f"it never ran; {why}"
        why = f"refused: {why}"
        # Retry-After has whole seconds (RFC 9110, section 10.2.3); with nothing to say, none is sent.
        self._say(call, 503, error, why, math.ceil(retry_after_ms / 1000.0))

    def _say(self, call: Call, status: int, error: str, details: str, retry_after_s: int = 0) -> None:
        self.counts[f"own {status}"] += 1
        call.pass_on(status, *own_words(self.plan.name, error, details, retry_after_s), status in (400, 404))


@lru_cache(256)
def own_words(name: str, error: str, details: str, retry_after_s: int) -> tuple[list[Header], bytes]:
    """The fields and the body of an answer of ours."""
    said = f'{name}; error={error}; details="{details}"'
    headers = [(b"Proxy-Status", said.encode("ascii", "replace")), (b"Content-Type", b"text/plain")]
    if retry_after_s > 0:
        headers.append((b"Retry-After", b"%d" % retry_after_s))
    return headers, f"{details}\n".encode()


def passed_on(
    headers: list[Header], connection: bytes | None, dropped: Collection[bytes], kept: Collection[bytes]
) -> list[Header]:
    """End-to-end fields as they came; `connection`, the value of that field, names more that end here.

    Guard: a caller that names Host or its key there would have its request taken for another by the box, so
    `kept` go on all the same.
    """
    if connection is not None:
        named = {item.strip().lower() for item in connection.split(b",")} - set(kept)
        dropped = named.union(dropped)
    return [(name, value) for name, value in headers if name.lower() not in dropped]
