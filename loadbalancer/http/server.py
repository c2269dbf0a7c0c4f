"""HTTP/1.1 for callers: parses requests, keeps connections, writes the one answer to each."""

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
from loadbalancer.http.client import MAX_BODY, MAX_HEAD, NO_BODY, Header

REQUEST_S = 2.5  # within which a request has to come in completely, from connecting or from its first byte
IDLE_S = 8.0  # after which a connection that carries nothing is closed
PIPELINE = 32  # complete requests that may wait on one connection

# Of a repeated header the node could read one and a server another, so these may stand once only.
FRAMING = frozenset(b"host content-length transfer-encoding expect".split())
TARGET = re.compile(rb"/[\x21-\x7e]*")
ABSOLUTE = re.compile(
    rb"https?://(?P<authority>[\x21-\x2e\x30-\x3e\x40-\x7e]+)(?P<rest>[/?][\x21-\x7e]*)?", re.IGNORECASE
)
# What a Host may hold (RFC 3986, section 3.2, but for userinfo).
HOST = re.compile(rb"[A-Za-z0-9._~%!$&'()*+,;=:\[\]-]*")
UNREAD_BODY = 16 * 1024  # bytes of a body from which it is not waited for only to be refused
# Methods of requests that end with their head, where it speaks of no body.
PLAIN = (b"GET ", b"HEAD ", b"DELETE ")


@dataclass(slots=True, frozen=True)
class Dialect:
    """What a listener's callers may send, and how long they may take."""

    once: frozenset[bytes] = FRAMING  # headers, by lower-case name, that may stand once only
    ready_path: bytes | None = None  # answered here: 200 while ready, else 503
    max_body: int = MAX_BODY  # bytes
    raw: bool = False  # whether the headers are kept as they came, beside those by name
    request_s: float | None = None  # instead of REQUEST_S
    idle_s: float | None = None  # instead of IDLE_S
    standard: bool = False  # whether Host and the target follow RFC 9112, section 3.2


@dataclass(slots=True, eq=False)
class Call:
    """One request as it came, and where its answer goes."""

    connection: ServerConnection
    arrived: float = 0.0  # the loop's time of its last byte
    method: bytes = b""
    target: bytes = b""
    headers: dict[bytes, bytes] = field(default_factory=dict)  # by lower-case name
    raw: list[Header] = field(default_factory=list)  # as they came, where the dialect keeps them
    body: bytearray = field(default_factory=bytearray)
    keep_alive: bool = True
    begun: bool = False
    answered: bool = False
    on_gone: Callable[[], None] | None = None

    def answer(self, status: int, body: bytes = b"", retry_after_ms: float = 0.0) -> None:
        """Write the final answer, without headers of its own; a second one is ignored."""
        if not self.answered:
            self.answered = True
            self.on_gone = None  # which would hold what holds this call
            self.connection.answer(self, _head(status, len(body), retry_after_ms), body, 400 <= status < 500)

    def pass_on(self, status: int, headers: list[Header], body: bytes, unusable: bool = False) -> None:
        """Write the final answer with these headers; a second one is ignored.

        Its length is written here unless it has no body; `unusable`: so was the request.
        """
        if not self.answered:
            self.answered = True
            self.on_gone = None
            lines = [b"HTTP/1.1 %d %s" % (status, _phrase(status))]
            lines += [name + b": " + value for name, value in headers]
            if self.method == b"HEAD" or status in NO_BODY:
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
    """Return the head of an answer of ours, but for its last line."""
    lines = [f"HTTP/1.1 {status} {HTTPStatus(status).phrase}", f"Content-Length: {length}"]
    if retry_after_ms > 0.0:
        lines.append(f"Retry-After: {retry_after_ms / 1000.0:.3f}")
    return ("\r\n".join(lines) + "\r\n").encode()


def is_plain(data: bytes) -> bool:
    """Whether this is one complete request of 1.1 that has no body, seen without parsing it."""
    if not data.startswith(PLAIN) or data.find(b"\r\n\r\n") != len(data) - 4:
        return False
    head = data.lower()
    return (
        b" http/1.1\r\n" in head
        and b"\r\ncontent-length:" not in head
        and b"\r\ntransfer-encoding:" not in head
    )


class ServerConnection(IncomingConnection):
    """One caller's connection. Requests that come at once are answered in turn."""

    def __init__(self, server: Server) -> None:
        super().__init__(server)
        self._server: Server = server
        self._dialect = server.dialect
        self._parser = httptools.HttpRequestParser(self)
        self._calls: deque[Call] = deque()  # complete requests, the first of them being answered
        self._partial: Call | None = None
        self._size = 0
        self._in_head = False
        self._head = 0  # bytes that have come of a head that is not complete
        self._came = self._server.loop.time()  # when what is handled came, at the earliest
        self._owes_continue = False  # a caller waits for the permission to send its body
        self._stuck = False  # the caller does not read what has been written to it
        self._fault = 0  # the status that ends this connection, once something was wrong on it

    def close_if_idle(self) -> bool:
        """Close where no request is open, but not with bytes already waiting in the kernel."""
        half = self._partial is not None and (self.known or self._server.stopping)
        if self._calls or half or readable(self._transport):
            return False
        self.abort()
        return True

    def expire(self) -> None:
        """Its time in this stage is over."""
        # A caller that does not read its answers would hold them, and its place, for ever.
        if self._closing or self._stuck:
            self.abort_if_read()
        elif self._partial is not None or (self.silent and self._server.orderly):
            self._fail(408)
        else:
            self.close_if_idle()

    def data_received(self, data: bytes) -> None:
        """Parse what has come, and serve or reject it; called by asyncio."""
        if self._closing or (self._fault and self._calls):
            return  # read and dropped, so that no answer is lost to a reset and a caller's leaving is seen
        self._came = self.arrived()
        if self._server.refusal is not None and self._refused_unread(data):
            return
        self._parse(data)
        if self._calls:
            if not self._stuck:
                self._server.stage(self, None)
                self._serve()
        elif self._fault:
            self._fail(self._fault)
        elif self._partial is not None:
            # One deadline for a complete request; no byte but its first moves it.
            self._server.stage(self, self._server.waiting)

    def _parse(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._fault = self._fault or 400
        if self._in_head:  # The parser keeps a header back until it is complete
            self._head += len(data)
            # A body before it may have come with its first part.
            if self._head > MAX_HEAD + self._dialect.max_body:
                self._fault = self._fault or 400

    def _refused_unread(self, data: bytes) -> bool:
        """Turn away a complete request without reading it, where none could be answered in time.

        Reading, routing and writing a refusal cost the core that answers needed.
        """
        refusal = self._server.refusal
        if refusal is None or self._calls or self._partial is not None or self._stuck:
            return False
        found = refusal(self._came)
        if found is None or not is_plain(data):
            return False
        # Closed as well, callers came back on new ones, which cost the core several times the refusal.
        close = self._server.stopping or b"\r\nconnection:" in data.lower()
        self._server.on_refused(found)
        self._transport.write(found + (b"Connection: close\r\n\r\n" if close else b"\r\n"))
        self.known = True
        if close:
            self._end()
        else:
            self._server.stage(self, self._server.idle)
        return True

    def pause_writing(self) -> None:
        """Stop reading while the caller does not read its answers; called by asyncio."""
        # A caller that asks on and never reads had its answers piled up here without end.
        self._stuck = True
        self._transport.pause_reading()
        if not self._calls or not self._calls[0].begun:
            self._server.stage(self, self._server.waiting)

    def resume_writing(self) -> None:
        """Read on; called by asyncio."""
        self._stuck = False
        if self._closing:
            return
        self._transport.resume_reading()
        if self._calls:
            self._server.stage(self, None)
            self._serve()
        else:
            self._server.stage(self, self._server.idle)

    def eof_received(self) -> bool:
        """Handle that the caller has closed its side; called by asyncio."""
        # An answer that could not be flushed held back that the caller had gone, and what it had asked
        # for behind that answer was sent on.
        self._leave()
        self._closing = True
        self._server.stage(self, self._server.lingering)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Give up what the caller has requested; called by asyncio."""
        self._closing = True
        self._server.closed(self)
        # Parser and connection hold each other; the collector comes for such old pairs hardly ever.
        del self._parser
        self._leave()

    def _leave(self) -> None:
        """Give up all requests of a caller that has gone."""
        calls, self._calls = self._calls, deque()
        for call in calls:
            call.answered = True
            if call.on_gone is not None:
                call.on_gone()
                call.on_gone = None

    def on_message_begin(self) -> None:
        """Begin a request; called by the parser."""
        self._partial = Call(self)
        self._size = self._head = 0
        self._in_head = True

    def on_url(self, url: bytes) -> None:
        """Take a part of the target; called by the parser."""
        self._grow(len(url), MAX_HEAD, 400)
        if self._partial is not None:
            self._partial.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header; called by the parser."""
        self._grow(len(name) + len(value), MAX_HEAD, 400)
        given, name = name, name.lower()
        if self._partial is None or self._fault:
            return
        # A trailer could rewrite the head that it follows.
        if not self._in_head or (name in self._dialect.once and name in self._partial.headers):
            self._fault = 400
        if self._dialect.raw:
            # Blanks behind a value are no part of it (RFC 9110, section 5.5); the parser leaves them.
            value = value.rstrip(b" \t")
            self._partial.raw.append((given, value))
        self._partial.headers[name] = value

    def on_headers_complete(self) -> None:
        """Check the head; called by the parser."""
        self._in_head = False
        if self._partial is None or self._fault:
            return
        self._size = 0
        headers = self._partial.headers
        version = self._parser.get_http_version()
        hosted = not self._dialect.standard or version != "1.1" or self._has_host(headers)
        if self._dialect.standard and (found := ABSOLUTE.fullmatch(self._partial.target)):
            self._authority(self._partial, found)
        fault = self._head_fault(self._partial, version, hosted)
        if fault:
            self._fault = fault
        elif headers.get(b"expect", b"").lower() == b"100-continue":
            self._owes_continue = True
            self._continue()

    def _head_fault(self, call: Call, version: str, hosted: bool) -> int:
        """Return the status that rejects this head; 0: none does."""
        length, coding = call.headers.get(b"content-length"), call.headers.get(b"transfer-encoding")
        # A length beside a coding may hide a second request from one of two readers.
        if coding is not None and (length is not None or coding.lower() != b"chunked" or version == "1.0"):
            return 400
        if not hosted:
            return 400  # RFC 9112, section 3.2
        if length is not None and int(length) > self._dialect.max_body:
            return 413
        if not TARGET.fullmatch(call.target):
            return 400
        if version not in ("1.1", "1.0"):
            return 505
        return 503 if (coding or length) and self._too_long_to_refuse(length) else 0

    @staticmethod
    def _has_host(headers: dict[bytes, bytes]) -> bool:
        """Whether the one Host that a request of 1.1 owes is there and could be one; it may be empty."""
        host = headers.get(b"host")
        return host is not None and HOST.fullmatch(host.strip(b" \t")) is not None

    def _authority(self, call: Call, found: re.Match[bytes]) -> None:
        """Take a target in absolute form: its authority replaces Host (RFC 9112, section 3.2.2)."""
        rest, host = found["rest"] or b"/", found["authority"]
        call.target = rest if rest.startswith(b"/") else b"/" + rest
        if b"@" in host:  # RFC 9110, section 4.2.4: userinfo is an error in what comes from outside
            self._fault = 400
        call.headers[b"host"] = host
        if self._dialect.raw:
            call.raw = [
                (b"Host", host),
                *((name, value) for name, value in call.raw if name.lower() != b"host"),
            ]

    def _too_long_to_refuse(self, length: bytes | None) -> bool:
        """Whether no request can be answered in time, and this one's body would have to be waited for to say so."""
        if self._server.refusal is None or self._calls or (length and int(length) <= UNREAD_BODY):
            return False
        return self._server.refusal(self._came) is not None

    def _continue(self) -> None:
        """Have the body come that a caller holds back, once the answers before it have gone."""
        if self._owes_continue and not self._calls:
            self._owes_continue = False
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Take a part of the body; called by the parser."""
        self._owes_continue = False  # it did not wait
        self._grow(len(body), self._dialect.max_body, 413)
        if self._partial is not None and not self._fault:
            self._partial.body += body

    def on_message_complete(self) -> None:
        """Queue the complete request; called by the parser."""
        call, self._partial = self._partial, None
        if call is None or self._fault:
            return
        call.arrived = self._came
        call.method = self._parser.get_method()
        call.keep_alive = self._parser.should_keep_alive()
        # A caller sends one request at a time; of one that sends more, only so much is held.
        held = sum(len(one.body) for one in self._calls)
        if len(self._calls) >= PIPELINE or held > self._dialect.max_body:
            self._fault = 429
            return
        self._calls.append(call)

    def _grow(self, size: int, limit: int, fault: int) -> None:
        self._size += size
        if self._size > limit:
            self._fault = self._fault or fault

    def _serve(self) -> None:
        """Hand the first complete request on, unless that has been done or its caller has gone."""
        call = self._calls[0]
        if not call.begun:
            # The end of a caller that has sent much and gone is read after its requests, which were sent on;
            # so was what stood behind an answer that was held up.
            if self._transport.is_closing() or ended(self._transport):
                self._leave()
                self._end()
                return
            call.begun = True
            if self._dialect.ready_path and call.target.partition(b"?")[0] == self._dialect.ready_path:
                call.answer(200 if self._server.ready else 503)
            else:
                self._server.on_call(call)

    def answer(self, call: Call, head: bytes, body: bytes, unusable: bool) -> None:
        """Write an answer; `head` lacks the empty line at its end; `unusable`: so was the request."""
        if self._transport.is_closing() or not self._calls or self._calls[0] is not call:
            return
        self.known = self.known or not unusable
        close = not call.keep_alive or self._server.stopping or self._server.crowded
        close = close and len(self._calls) == 1
        self._transport.write(head + (b"Connection: close\r\n\r\n" if close else b"\r\n") + body)
        self._calls.popleft()
        if close:
            self._end()
        elif self._stuck:
            self._server.stage(self, self._server.waiting)
        elif self._calls:
            self._server.loop.call_soon(self._next)
        elif self._fault:
            self._fail(self._fault)
        else:
            self._continue()
            owing = self._partial is not None or not self.known
            self._server.stage(self, self._server.waiting if owing else self._server.idle)

    def _next(self) -> None:
        if self._calls and not self._closing and not self._stuck:
            self._serve()

    def reject_partial(self) -> None:
        """Answer 503 to a request that has come in part."""
        if self._partial is not None and not self._calls and not self._closing:
            self._fail(503)

    def _fail(self, status: int) -> None:
        """Answer what can't be read as a request, and end the connection."""
        refusal = self._server.refusal
        head = refusal(self._came) if status == 503 and refusal is not None else None
        if head is not None:
            self._server.on_refused(head)
        self._transport.write((head or _head(status, 0, 0.0)) + b"Connection: close\r\n\r\n")
        self._end()


class Server(Listener):
    """Listens to callers of HTTP/1.1; `on_call` takes each complete request."""

    def __init__(
        self, limit: int, on_call: Callable[[Call], None], dialect: Dialect, orderly: bool = False
    ) -> None:
        super().__init__(limit, orderly)
        self.on_call = on_call
        # What a request that came then is to be refused with, unread: a head but for its last line; None: it is read.
        self.refusal: Callable[[float], bytes | None] | None = None
        # The head, but for its last line, of the answer to a request for which no slot is left.
        self.full_head: Callable[[], bytes | None] | None = None
        self.on_refused: Callable[[bytes], None] = lambda head: None  # told each of these that is sent
        self.dialect = dialect

    def connection(self) -> ServerConnection:
        """Return a new connection."""
        return ServerConnection(self)

    def refused_at_once(self, found: socket.socket, no_place: bool, enough: bool) -> bool:
        """Reject a complete request unread, where it can be told apart cheaply."""
        if self.full_head is None or self.refusal is None:
            return False
        full = no_place or not self.connection_limit.may_begin(self.active_requests)
        late = None
        if not full and enough:
            now = self.loop.time()
            late = self.refusal(min(self.turns.came(now), now - waited_s(found)))
        if not full and late is None:
            return False
        try:
            data = found.recv(MAX_HEAD, socket.MSG_PEEK)
        except OSError:
            return False
        if not is_plain(data):
            return False
        head = self.full_head() if full else late
        if head is None:
            return False
        # All that has come is read before it is closed, and nothing more is owed: the answer isn't reset away.
        self.on_refused(head)
        found.recv(len(data))
        with contextlib.suppress(OSError):
            found.send(head + b"Connection: close\r\n\r\n")
        found.close()
        return True

    @property
    def request_s(self) -> float:
        """Time within which a request has to come in completely."""
        return self.dialect.request_s or REQUEST_S

    @property
    def idle_s(self) -> float:
        """Time after which an idle connection is closed."""
        return self.dialect.idle_s or IDLE_S
