"""The server side of HTTP/1.1: parses callers' requests, keeps connections alive, writes one answer per request."""

from __future__ import annotations

import contextlib
import re
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus

import httptools

from loadbalancer.core.listener import IncomingConnection, Listener, waited_s
from loadbalancer.core.outgoing import ended, readable
from loadbalancer.http.client import MAX_BODY, MAX_HEAD, NO_BODY_STATUSES, Header

REQUEST_S = 2.5  # for a request to arrive completely, from the connection's start or its first byte
IDLE_S = 8.0  # after which an idle connection is closed
PIPELINE = 32  # complete requests that may be queued on one connection

# These may occur only once: of a repeated header, the node and a server could read different values.
FRAMING = frozenset(b"host content-length transfer-encoding expect".split())
ORIGIN_FORM = re.compile(rb"/[\x21-\x7e]*")
ABSOLUTE_FORM = re.compile(
    rb"https?://(?P<authority>[\x21-\x2e\x30-\x3e\x40-\x7e]+)(?P<rest>[/?][\x21-\x7e]*)?", re.IGNORECASE
)
# The characters of a Host (RFC 3986, section 3.2, without userinfo).
HOST_VALUE = re.compile(rb"[A-Za-z0-9._~%!$&'()*+,;=:\[\]-]*")
AWAITED_BODY_BYTES = 16 * 1024  # a longer body is not awaited if the request will be rejected anyway
# Starts of requests that usually have no body.
BODILESS_PREFIXES = (b"GET ", b"HEAD ", b"DELETE ")


@dataclass(slots=True, frozen=True)
class Dialect:
    """What a listener accepts from its callers, and its timeouts."""

    unique_headers: frozenset[bytes] = FRAMING  # lower-case names of the headers that may occur only once
    ready_path: bytes | None = None  # answered by the listener itself: 200 while ready, else 503
    max_body: int = MAX_BODY  # bytes
    raw: bool = False  # whether the headers are also kept unchanged, beside those by name
    request_s: float | None = None  # instead of REQUEST_S
    idle_s: float | None = None  # instead of IDLE_S
    standard: bool = False  # whether Host and the target follow RFC 9112, section 3.2


@dataclass(slots=True, eq=False)
class Call:
    """A caller's request, and the connection for its answer."""

    connection: ServerConnection
    arrived: float = 0.0  # the loop's time of its last byte
    method: bytes = b""
    target: bytes = b""
    headers: dict[bytes, bytes] = field(default_factory=dict)  # by lower-case name
    raw: list[Header] = field(default_factory=list)  # unchanged, where the dialect has `raw`
    body: bytearray = field(default_factory=bytearray)
    keep_alive: bool = True
    begun: bool = False
    answered: bool = False
    on_gone: Callable[[], None] | None = None

    def answer(self, status: int, body: bytes = b"", retry_after_ms: float = 0.0) -> None:
        """Write the final answer, without further headers; a second one is ignored."""
        if not self.answered:
            self.answered = True
            self.on_gone = None  # a reference cycle otherwise
            self.connection.answer(self, _head(status, len(body), retry_after_ms), body, 400 <= status < 500)

    def pass_on(self, status: int, headers: list[Header], body: bytes, unusable: bool = False) -> None:
        """Write the final answer with these headers; a second one is ignored.

        Content-Length is added here unless the answer has no body; `unusable`: the request was invalid.
        """
        if not self.answered:
            self.answered = True
            self.on_gone = None
            lines = [b"HTTP/1.1 %d %s" % (status, _phrase(status))]
            lines += [name + b": " + value for name, value in headers]
            if self.method == b"HEAD" or status in NO_BODY_STATUSES:
                body = b""
            else:
                lines.append(b"Content-Length: %d" % len(body))
            self.connection.answer(self, b"\r\n".join(lines) + b"\r\n", body, unusable)


def _phrase(status: int) -> bytes:
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b"Status"


def _head(status: int, length: int, retry_after_ms: float) -> bytes:
    """Return the head of an answer that this process produces, without `Connection` and the final empty line."""
    lines = [f"HTTP/1.1 {status} {HTTPStatus(status).phrase}", f"Content-Length: {length}"]
    if retry_after_ms > 0.0:
        lines.append(f"Retry-After: {retry_after_ms / 1000.0:.3f}")
    return ("\r\n".join(lines) + "\r\n").encode()


def is_bodiless_request(data: bytes) -> bool:
    """Whether the data is exactly one complete HTTP/1.1 request without a body, found without parsing it."""
    if not data.startswith(BODILESS_PREFIXES) or data.find(b"\r\n\r\n") != len(data) - 4:
        return False
    head = data.lower()
    return (
        b" http/1.1\r\n" in head
        and b"\r\ncontent-length:" not in head
        and b"\r\ntransfer-encoding:" not in head
    )


class ServerConnection(IncomingConnection):
    """One caller's connection. Pipelined requests are answered in order."""

    def __init__(self, server: Server) -> None:
        super().__init__(server)
        self._server: Server = server
        self._dialect = server.dialect
        self._parser = httptools.HttpRequestParser(self)
        self._calls: deque[Call] = deque()  # complete requests; the first one is being answered
        self._partial: Call | None = None
        self._size = 0
        self._in_head = False
        self._head_bytes = 0  # bytes received of a head that is not complete
        # Earliest time at which the current data can have arrived.
        self._received_at = self._server.loop.time()
        self._continue_pending = False  # a caller waits for 100 Continue before it sends its body
        self._write_buffer_full = False  # the caller does not read its answers: the write buffer is full
        self._error_status = 0  # status of the final answer after an invalid request; 0: none

    def close_if_idle(self) -> bool:
        """Close if no request is open and the kernel has no unread bytes; returns whether it was closed."""
        partial = self._partial is not None and (self.known or self._server.stopping)
        if self._calls or partial or readable(self._transport):
            return False
        self.abort()
        return True

    def expire(self) -> None:
        """Handle the timeout of the current stage."""
        # A caller that does not read its answers would occupy memory and its slot forever.
        if self._closing or self._write_buffer_full:
            self.abort_if_read()
        elif self._partial is not None or (self.received_nothing and self._server.orderly):
            self._fail(408)
        else:
            self.close_if_idle()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, and serve or reject the requests in them; called by asyncio."""
        if self._closing or (self._error_status and self._calls):
            return  # dropped, but read: unread bytes would reset the answer, and hide that the caller has left
        self._received_at = self.arrived()
        if self._server.unparsed_rejection is not None and self._reject_unparsed(data):
            return
        self._parse(data)
        if self._calls:
            if not self._write_buffer_full:
                self._server.stage(self, None)
                self._serve()
        elif self._error_status:
            self._fail(self._error_status)
        elif self._partial is not None:
            # The time limit for a complete request runs from its first byte; further bytes do not extend it.
            self._server.stage(self, self._server.waiting)

    def _parse(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._error_status = self._error_status or 400
        if self._in_head:  # the parser reports a header only once it is complete
            self._head_bytes += len(data)
            # The same data may contain the end of the previous request's body.
            if self._head_bytes > MAX_HEAD + self._dialect.max_body:
                self._error_status = self._error_status or 400

    def _reject_unparsed(self, data: bytes) -> bool:
        """Reject a complete request without parsing it, if no request could be answered in time.

        Parsing, routing and rejecting it the usual way would take CPU time that answers need.
        """
        unparsed_rejection = self._server.unparsed_rejection
        if unparsed_rejection is None or self._calls or self._partial is not None or self._write_buffer_full:
            return False
        head = unparsed_rejection(self._received_at)
        if head is None or not is_bodiless_request(data):
            return False
        # The connection is kept: callers would reconnect, which costs several times the CPU time of a rejection.
        close = self._server.stopping or b"\r\nconnection:" in data.lower()
        self._server.on_unparsed_rejection(head)
        self._transport.write(head + (b"Connection: close\r\n\r\n" if close else b"\r\n"))
        self.known = True
        if close:
            self._end()
        else:
            self._server.stage(self, self._server.idle)
        return True

    def pause_writing(self) -> None:
        """Stop reading while the caller does not read its answers; called by asyncio."""
        # Otherwise the answers of a caller that sends requests and never reads would pile up without limit.
        self._write_buffer_full = True
        self._transport.pause_reading()
        if not self._calls or not self._calls[0].begun:
            self._server.stage(self, self._server.waiting)

    def resume_writing(self) -> None:
        """Resume reading; called by asyncio."""
        self._write_buffer_full = False
        if self._closing:
            return
        self._transport.resume_reading()
        if self._calls:
            self._server.stage(self, None)
            self._serve()
        else:
            self._server.stage(self, self._server.idle)

    def eof_received(self) -> bool:
        """Handle the end of the caller's side; called by asyncio."""
        # Its requests end here and not in `connection_lost`, which an unflushed answer delays: requests queued behind
        # that answer would still be sent to servers.
        self._abandon_calls()
        self._closing = True
        self._server.stage(self, self._server.lingering)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """End the caller's requests; called by asyncio."""
        self._closing = True
        self._server.closed(self)
        # Parser and connection refer to each other; without this they would stay until a full garbage collection.
        del self._parser
        self._abandon_calls()

    def _abandon_calls(self) -> None:
        """End all requests of a caller that has disconnected."""
        calls, self._calls = self._calls, deque()
        for call in calls:
            call.answered = True
            if call.on_gone is not None:
                call.on_gone()
                call.on_gone = None

    def on_message_begin(self) -> None:
        """Start a request; called by the parser."""
        self._partial = Call(self)
        self._size = self._head_bytes = 0
        self._in_head = True

    def on_url(self, url: bytes) -> None:
        """Append a part of the target; called by the parser."""
        self._grow(len(url), MAX_HEAD, 400)
        if self._partial is not None:
            self._partial.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; called by the parser."""
        self._grow(len(name) + len(value), MAX_HEAD, 400)
        original_name, name = name, name.lower()
        if self._partial is None or self._error_status:
            return
        # Trailers are rejected, as they could overwrite fields of the head.
        if not self._in_head or (name in self._dialect.unique_headers and name in self._partial.headers):
            self._error_status = 400
        if self._dialect.raw:
            # Trailing whitespace is not part of a value (RFC 9110, section 5.5), but the parser keeps it.
            value = value.rstrip(b" \t")
            self._partial.raw.append((original_name, value))
        self._partial.headers[name] = value

    def on_headers_complete(self) -> None:
        """Check the head; called by the parser."""
        self._in_head = False
        if self._partial is None or self._error_status:
            return
        self._size = 0
        headers = self._partial.headers
        version = self._parser.get_http_version()
        host_valid = not self._dialect.standard or version != "1.1" or self._has_host(headers)
        if self._dialect.standard and (match := ABSOLUTE_FORM.fullmatch(self._partial.target)):
            self._apply_absolute_form(self._partial, match)
        error_status = self._head_error_status(self._partial, version, host_valid)
        if error_status:
            self._error_status = error_status
        elif headers.get(b"expect", b"").lower() == b"100-continue":
            self._continue_pending = True
            self._send_continue()

    def _head_error_status(self, call: Call, version: str, host_valid: bool) -> int:
        """Return the status with which to reject this head; 0 if it is valid."""
        length, coding = call.headers.get(b"content-length"), call.headers.get(b"transfer-encoding")
        # With Content-Length beside a transfer coding, two parsers may disagree on the body's end (request smuggling).
        if coding is not None and (length is not None or coding.lower() != b"chunked" or version == "1.0"):
            return 400
        if not host_valid:
            return 400  # RFC 9112, section 3.2
        if length is not None and int(length) > self._dialect.max_body:
            return 413
        if not ORIGIN_FORM.fullmatch(call.target):
            return 400
        if version not in ("1.1", "1.0"):
            return 505
        return 503 if (coding or length) and self._rejects_before_body(length) else 0

    @staticmethod
    def _has_host(headers: dict[bytes, bytes]) -> bool:
        """Whether there is a valid Host, which HTTP/1.1 requires; it may be empty."""
        host = headers.get(b"host")
        return host is not None and HOST_VALUE.fullmatch(host.strip(b" \t")) is not None

    def _apply_absolute_form(self, call: Call, match: re.Match[bytes]) -> None:
        """Apply a target in absolute form: its authority replaces Host (RFC 9112, section 3.2.2)."""
        path, host = match["rest"] or b"/", match["authority"]
        call.target = path if path.startswith(b"/") else b"/" + path
        if b"@" in host:  # RFC 9110, section 4.2.4: userinfo from an untrusted source is an error
            self._error_status = 400
        call.headers[b"host"] = host
        if self._dialect.raw:
            call.raw = [
                (b"Host", host),
                *((name, value) for name, value in call.raw if name.lower() != b"host"),
            ]

    def _rejects_before_body(self, length: bytes | None) -> bool:
        """Whether to reject a request before its body: none can be answered in time, and the body is not short."""
        if (
            self._server.unparsed_rejection is None
            or self._calls
            or (length and int(length) <= AWAITED_BODY_BYTES)
        ):
            return False
        return self._server.unparsed_rejection(self._received_at) is not None

    def _send_continue(self) -> None:
        """Send 100 Continue if a caller waits for it, once all previous requests have been answered."""
        if self._continue_pending and not self._calls:
            self._continue_pending = False
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Append a part of the body; called by the parser."""
        self._continue_pending = False  # the caller did not wait for it
        self._grow(len(body), self._dialect.max_body, 413)
        if self._partial is not None and not self._error_status:
            self._partial.body += body

    def on_message_complete(self) -> None:
        """Queue the complete request; called by the parser."""
        call, self._partial = self._partial, None
        if call is None or self._error_status:
            return
        call.arrived = self._received_at
        call.method = self._parser.get_method()
        call.keep_alive = self._parser.should_keep_alive()
        # Most callers send one request at a time; the queue of pipelined ones is limited.
        queued_bytes = sum(len(one.body) for one in self._calls)
        if len(self._calls) >= PIPELINE or queued_bytes > self._dialect.max_body:
            self._error_status = 429
            return
        self._calls.append(call)

    def _grow(self, size: int, limit: int, error_status: int) -> None:
        self._size += size
        if self._size > limit:
            self._error_status = self._error_status or error_status

    def _serve(self) -> None:
        """Serve the first complete request, unless it is being served or its caller has disconnected."""
        call = self._calls[0]
        if not call.begun:
            # The end of stream is delivered only after all received requests. Without this check, pipelined requests of
            # a caller that has left would still be sent to servers.
            if self._transport.is_closing() or ended(self._transport):
                self._abandon_calls()
                self._end()
                return
            call.begun = True
            if self._dialect.ready_path and call.target.partition(b"?")[0] == self._dialect.ready_path:
                call.answer(200 if self._server.ready else 503)
            else:
                self._server.on_call(call)

    def answer(self, call: Call, head: bytes, body: bytes, unusable: bool) -> None:
        """Write an answer; `head` lacks the final empty line; `unusable`: the request was invalid."""
        if self._transport.is_closing() or not self._calls or self._calls[0] is not call:
            return
        self.known = self.known or not unusable
        close = not call.keep_alive or self._server.stopping or self._server.over_limit
        close = close and len(self._calls) == 1
        self._transport.write(head + (b"Connection: close\r\n\r\n" if close else b"\r\n") + body)
        self._calls.popleft()
        if close:
            self._end()
        elif self._write_buffer_full:
            self._server.stage(self, self._server.waiting)
        elif self._calls:
            self._server.loop.call_soon(self._next)
        elif self._error_status:
            self._fail(self._error_status)
        else:
            self._send_continue()
            incomplete = self._partial is not None or not self.known
            self._server.stage(self, self._server.waiting if incomplete else self._server.idle)

    def _next(self) -> None:
        if self._calls and not self._closing and not self._write_buffer_full:
            self._serve()

    def reject_partial(self) -> None:
        """Answer 503 to a request that has arrived in part."""
        if self._partial is not None and not self._calls and not self._closing:
            self._fail(503)

    def _fail(self, status: int) -> None:
        """Answer an invalid or incomplete request, and close the connection."""
        unparsed_rejection = self._server.unparsed_rejection
        head = (
            unparsed_rejection(self._received_at)
            if status == 503 and unparsed_rejection is not None
            else None
        )
        if head is not None:
            self._server.on_unparsed_rejection(head)
        self._transport.write((head or _head(status, 0, 0.0)) + b"Connection: close\r\n\r\n")
        self._end()


class Server(Listener):
    """A listener for HTTP/1.1; `on_call` is called with each complete request."""

    def __init__(
        self, limit: int, on_call: Callable[[Call], None], dialect: Dialect, orderly: bool = False
    ) -> None:
        super().__init__(limit, orderly)
        self.on_call = on_call
        # Returns the rejection of a request that arrived at this time and is not parsed yet: a response head without
        # `Connection` and the final empty line; None: the request is parsed.
        self.unparsed_rejection: Callable[[float], bytes | None] | None = None
        # Returns the same for a request for which no slot is left.
        self.full_rejection: Callable[[], bytes | None] | None = None
        # Called for each of these that is sent.
        self.on_unparsed_rejection: Callable[[bytes], None] = lambda head: None
        self.dialect = dialect

    def connection(self) -> ServerConnection:
        """Return a new connection."""
        return ServerConnection(self)

    def reject_unparsed(self, sock: socket.socket, no_slot: bool, accepted_enough: bool) -> bool:
        """Reject the complete request of a new connection without parsing it; returns False if it was not rejected."""
        if self.full_rejection is None or self.unparsed_rejection is None:
            return False
        full = no_slot or not self.connection_limit.may_begin(self.active_requests)
        late_rejection = None
        if not full and accepted_enough:
            now = self.loop.time()
            late_rejection = self.unparsed_rejection(min(self.turns.came(now), now - waited_s(sock)))
        if not full and late_rejection is None:
            return False
        try:
            data = sock.recv(MAX_HEAD, socket.MSG_PEEK)
        except OSError:
            return False
        if not is_bodiless_request(data):
            return False
        head = self.full_rejection() if full else late_rejection
        if head is None:
            return False
        # The request is read before the connection is closed, as unread bytes would reset the answer.
        self.on_unparsed_rejection(head)
        sock.recv(len(data))
        with contextlib.suppress(OSError):
            sock.send(head + b"Connection: close\r\n\r\n")
        sock.close()
        return True

    @property
    def request_s(self) -> float:
        """Time within which a request must arrive completely."""
        return self.dialect.request_s or REQUEST_S

    @property
    def idle_s(self) -> float:
        """Time after which an idle connection is closed."""
        return self.dialect.idle_s or IDLE_S
