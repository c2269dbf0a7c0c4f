"""The platform's HTTP dialect: parses client requests, writes responses and encodes requests to servers."""

from __future__ import annotations

import re
from collections import Counter
from urllib.parse import unquote_to_bytes

from loadbalancer import interface as api
from loadbalancer.core.pool import OpenRequest, Pool
from loadbalancer.core.types import Answer, AnswerCause, AnswerKind
from loadbalancer.http.client import MAX_BODY, Response
from loadbalancer.http.server import FRAMING, Call, Dialect, Server
from loadbalancer.settings import parse_load_report

ANSWER_TRANSIT_S = 0.015  # a response is sent this long before the client's deadline

REQUEST_ID = re.compile(r"[\x21-\x7e]{1,128}")
INTEGER = re.compile(r"[0-9]{1,9}")
DECIMAL = re.compile(r"[0-9]{1,12}(\.[0-9]{1,9})?")

FORWARDED = frozenset(
    b"host req-id idempotency-key req-owner req-retry req-cost req-extra".split()
    + b"accept content-type content-encoding".split()
)
DIALECT = Dialect(unique_headers=FORWARDED | FRAMING | {b"req-deadline-ms"}, ready_path=b"/up")

STATUS_BY_CAUSE = {
    AnswerCause.TIMEOUT: 504,
    AnswerCause.LATE: 504,
    AnswerCause.LEAVING: 504,
    AnswerCause.BROKEN: 502,
    AnswerCause.FAULT: 500,
}


class BadRequestError(Exception):
    """A request that is rejected before the balancer sees it, with the status of the response."""

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


class PlatformFrontend:
    """Accepts requests in the platform's HTTP dialect for one pool."""

    def __init__(self, limit: int, pool: Pool) -> None:
        """Accept at most `limit` client connections."""
        self.pool = pool
        self.server = Server(limit, self._on_call, DIALECT)
        self.counts: Counter[str] = pool.counts

    def _on_call(self, call: Call) -> None:
        """Submit a completely received request to the pool, or reject it immediately."""
        self.counts["taken"] += 1
        try:
            request, give_up_at = self._read(call)
        except BadRequestError as error:
            self.counts[f"bad {error.status}"] += 1
            call.answer(error.status)
            return
        if self.pool.full or not self.server.may_begin():
            # The open request or connection limit is reached. No attempt was made, so this is a rejection.
            self.counts["over the limit"] += 1
            call.answer(503)
            return
        open_request = self.pool.submit(request, give_up_at, call, self._deliver)
        if not open_request.done:
            call.on_gone = lambda: self.pool.abandon(open_request)

    def _read(self, call: Call) -> tuple[api.Request, float]:
        """Return the balancer's request and its deadline in loop time; raises BadRequestError."""
        headers = call.headers
        path = call.target.partition(b"?")[0]
        parts = path.split(b"/")
        class_name = parts[1] if len(parts) > 1 else b""
        # Guard: a class name may contain a literal percent sign, and decoding it would name another class or none.
        kind = self.pool.classes.get(class_name.decode("utf-8", "replace")) or self.pool.classes.get(
            unquote_to_bytes(class_name).decode("utf-8", "replace")
        )
        if kind is None:
            raise BadRequestError(404)
        if call.method != (b"GET" if kind.effect is api.Effect.SAFE else b"POST"):
            raise BadRequestError(405)
        request_id = headers.get(b"req-id", b"").decode("latin-1")
        lacks_key = kind.effect is api.Effect.KEYED and b"idempotency-key" not in headers
        has_unexpected_body = kind.effect is api.Effect.SAFE and bool(call.body)
        if (
            not REQUEST_ID.fullmatch(request_id)
            or lacks_key
            or has_unexpected_body
            or request_id in self.pool.requests
        ):
            raise BadRequestError(400)
        give_up_ms = kind.give_up_ms
        if (deadline := _number(headers, b"req-deadline-ms", INTEGER)) is not None:
            give_up_ms = min(deadline, 10.0 * kind.give_up_ms)
        cost_us = _number(headers, b"req-cost", DECIMAL)
        give_up_at = call.arrived + give_up_ms / 1000.0 - ANSWER_TRANSIT_S
        owner = headers.get(b"req-owner")
        request = api.Request(
            id=request_id,
            service=kind.name,
            give_up_at_ms=self.pool.clock.ms(give_up_at),
            tenant=owner.decode("utf-8", "replace") if owner else None,  # settings are UTF-8 too
            cost_hint_ms=None if cost_us is None else cost_us / 1000.0,
            is_retry=headers.get(b"req-retry") == b"1",
        )
        return request, give_up_at

    def _deliver(self, open_request: OpenRequest, answer: Answer) -> None:
        """Send the pool's final answer to the client."""
        call: Call = open_request.message
        body = b""
        if answer.kind is AnswerKind.SERVED:
            status, body = 200, bytes(answer.reply.body)
        elif answer.kind is AnswerKind.REFUSED:
            status = 503
        else:
            status = STATUS_BY_CAUSE[answer.cause]
        self.counts[f"answered {status}"] += 1
        call.answer(status, body, answer.retry_after_ms)


def _number(headers: dict[bytes, bytes], name: bytes, pattern: re.Pattern[str]) -> float | None:
    """Return the numeric value of a header, or None if it is absent; raises BadRequestError."""
    text = headers.get(name)
    if text is None:
        return None
    # float() also accepts spaces, underscores, signs and words such as "inf".
    if not pattern.fullmatch(text.decode("latin-1")):
        raise BadRequestError(400)
    return float(text)


def result_of(response: Response) -> api.Result:
    """Return the attempt result for a server's complete response."""
    if response.status == 200:
        return api.Result.OK
    if response.status in (503, 504) and response.headers.get(b"srv-declined") == b"1":
        return api.Result.FULL
    return api.Result.ERROR


def report_of(response: Response, fields: tuple[str, ...]) -> dict[str, float] | None:
    """Return the load report in a response's headers, or None."""
    load = response.headers.get(b"srv-load")
    return parse_load_report(load.decode("latin-1"), fields) if load else None


class PlatformWire:
    """Encodes requests to the platform's servers and interprets their responses; a message is a `Call`."""

    max_body = MAX_BODY
    raw = False

    def __init__(self, report_fields: tuple[str, ...]) -> None:
        self._fields = report_fields

    def encode(self, message: Call, wait_s: float) -> bytes:
        """Return the request's bytes, with the remaining time as its deadline."""
        lines = [message.method + b" " + message.target + b" HTTP/1.1"]
        lines += [name + b": " + value for name, value in message.headers.items() if name in FORWARDED]
        lines.append(b"req-deadline-ms: %d" % max(1, int(wait_s * 1000.0)))
        if message.body or message.method != b"GET":
            lines.append(b"content-length: %d" % len(message.body))
        return b"\r\n".join(lines) + b"\r\n\r\n" + message.body

    def bodiless(self, message: Call) -> bool:
        """Return whether the response has no body in spite of its headers: never, as only GET and POST are sent."""
        return False

    def read(self, response: Response) -> tuple[api.Result, dict[str, float] | None]:
        """Return the attempt result for a response, and its load report."""
        return result_of(response), report_of(response, self._fields)
