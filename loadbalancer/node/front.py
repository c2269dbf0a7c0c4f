"""The platform's callers: the form of their requests, and of the answers to them."""

from __future__ import annotations

import re
from collections import Counter
from urllib.parse import unquote_to_bytes

from loadbalancer import interface as api
from loadbalancer.core.pool import OpenRequest, Pool
from loadbalancer.core.types import Answer, AnswerCause, AnswerKind
from loadbalancer.http.client import MAX_BODY, Response
from loadbalancer.http.server import FRAMING, Call, Dialect, Server
from loadbalancer.settings import report_from

ANSWER_TRANSIT_S = 0.015  # an answer leaves this long before the client's time is up

TOKEN = re.compile(r"[\x21-\x7e]{1,128}")
WHOLE = re.compile(r"[0-9]{1,9}")
DECIMAL = re.compile(r"[0-9]{1,12}(\.[0-9]{1,9})?")

FORWARDED = frozenset(
    b"host req-id idempotency-key req-owner req-retry req-cost req-extra".split()
    + b"accept content-type content-encoding".split()
)
DIALECT = Dialect(once=FORWARDED | FRAMING | {b"req-deadline-ms"}, ready_path=b"/up")

FAILURES = {
    AnswerCause.TIMEOUT: 504,
    AnswerCause.LATE: 504,
    AnswerCause.LEAVING: 504,
    AnswerCause.BROKEN: 502,
    AnswerCause.FAULT: 500,
}


class BadRequestError(Exception):
    """A request that does not reach the balancer, and the status that answers it."""

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


class PlatformFront:
    """Takes requests of callers that speak the platform's dialect, for one pool."""

    def __init__(self, limit: int, pool: Pool) -> None:
        """At most `limit` connections are kept."""
        self.pool = pool
        self.server = Server(limit, self._on_call, DIALECT)
        self.counts: Counter[str] = pool.counts

    def _on_call(self, call: Call) -> None:
        """Submit a complete request that has come in, or answer it at once."""
        self.counts["taken"] += 1
        try:
            request, give_up_at = self._read(call)
        except BadRequestError as error:
            self.counts[f"bad {error.status}"] += 1
            call.answer(error.status)
            return
        if self.pool.full or not self.server.may_begin():
            # Too many are open. It was sent nowhere, so it is a rejection.
            self.counts["over the limit"] += 1
            call.answer(503)
            return
        open_request = self.pool.submit(request, give_up_at, call, self._deliver)
        if not open_request.done:
            call.on_gone = lambda: self.pool.abandon(open_request)

    def _read(self, call: Call) -> tuple[api.Request, float]:
        """Return the request as the balancer takes it, and when its client gives up; raises BadRequestError."""
        headers = call.headers
        path = call.target.partition(b"?")[0]
        parts = path.split(b"/")
        given = parts[1] if len(parts) > 1 else b""
        # A name with a percent sign may come as it is; taken for an escape, it was another name, or none.
        kind = self.pool.classes.get(given.decode("utf-8", "replace")) or self.pool.classes.get(
            unquote_to_bytes(given).decode("utf-8", "replace")
        )
        if kind is None:
            raise BadRequestError(404)
        if call.method != (b"GET" if kind.effect is api.Effect.SAFE else b"POST"):
            raise BadRequestError(405)
        name = headers.get(b"req-id", b"").decode("latin-1")
        keyless = kind.effect is api.Effect.KEYED and b"idempotency-key" not in headers
        bodied = kind.effect is api.Effect.SAFE and bool(call.body)
        if not TOKEN.fullmatch(name) or keyless or bodied or name in self.pool.requests:
            raise BadRequestError(400)
        give_up_ms = kind.give_up_ms
        if (deadline := _number(headers, b"req-deadline-ms", WHOLE)) is not None:
            give_up_ms = min(deadline, 10.0 * kind.give_up_ms)
        cost_us = _number(headers, b"req-cost", DECIMAL)
        give_up_at = call.arrived + give_up_ms / 1000.0 - ANSWER_TRANSIT_S
        owner = headers.get(b"req-owner")
        request = api.Request(
            id=name,
            service=kind.name,
            give_up_at_ms=self.pool.clock.ms(give_up_at),
            tenant=owner.decode("utf-8", "replace") if owner else None,  # the settings are UTF-8
            cost_hint_ms=None if cost_us is None else cost_us / 1000.0,
            is_retry=headers.get(b"req-retry") == b"1",
        )
        return request, give_up_at

    def _deliver(self, open_request: OpenRequest, answer: Answer) -> None:
        call: Call = open_request.message
        body = b""
        if answer.kind is AnswerKind.SERVED:
            status, body = 200, bytes(answer.reply.body)
        elif answer.kind is AnswerKind.REFUSED:
            status = 503
        else:
            status = FAILURES[answer.cause]
        self.counts[f"answered {status}"] += 1
        call.answer(status, body, answer.retry_after_ms)


def _number(headers: dict[bytes, bytes], name: bytes, form: re.Pattern[str]) -> float | None:
    """Return the number that a header holds, None without the header; raises BadRequestError."""
    text = headers.get(name)
    if text is None:
        return None
    # Float() reads more than figures: blanks, underscores, signs, words.
    if not form.fullmatch(text.decode("latin-1")):
        raise BadRequestError(400)
    return float(text)


def result_of(response: Response) -> api.Result:
    """Return the outcome that a server's complete answer stands for on the platform."""
    if response.status == 200:
        return api.Result.OK
    if response.status in (503, 504) and response.headers.get(b"srv-declined") == b"1":
        return api.Result.FULL
    return api.Result.ERROR


def report_of(response: Response, fields: tuple[str, ...]) -> dict[str, float] | None:
    """Return the load report that an answer holds."""
    load = response.headers.get(b"srv-load")
    return report_from(load.decode("latin-1"), fields) if load else None


class PlatformWire:
    """The form of requests to the platform's servers; a message is a `Call`."""

    max_body = MAX_BODY
    raw = False

    def __init__(self, report_fields: tuple[str, ...]) -> None:
        self._fields = report_fields

    def encode(self, message: Call, wait_s: float) -> bytes:
        """Return the request's bytes, with the deadline that is left."""
        lines = [message.method + b" " + message.target + b" HTTP/1.1"]
        lines += [name + b": " + value for name, value in message.headers.items() if name in FORWARDED]
        lines.append(b"req-deadline-ms: %d" % max(1, int(wait_s * 1000.0)))
        if message.body or message.method != b"GET":
            lines.append(b"content-length: %d" % len(message.body))
        return b"\r\n".join(lines) + b"\r\n\r\n" + message.body

    def bodiless(self, message: Call) -> bool:
        """Return False: its requests are GET and POST."""
        return False  # its requests are GET and POST

    def read(self, response: Response) -> tuple[api.Result, dict[str, float] | None]:
        """Return the outcome that an answer stands for, and its load report."""
        return result_of(response), report_of(response, self._fields)
