"""HTTP/1.1 client connections: one exchange at a time, nothing sent twice."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

import httptools

from loadbalancer.core.outgoing import Exchange, Outgoing

MAX_BODY = 64 * 1024  # bytes
MAX_HEAD = 16 * 1024  # bytes
NO_BODY_STATUSES = frozenset((204, 304))  # never have a body (RFC 9110, section 6.4.1)

Header = tuple[bytes, bytes]


@dataclass(slots=True)
class Response:
    """A complete answer."""

    status: int = 0
    headers: dict[bytes, bytes] = field(default_factory=dict)  # by lower-case name
    raw: list[Header] = field(default_factory=list)  # unchanged, where the connection is opened with `raw`
    body: bytearray = field(default_factory=bytearray)


class ResponseFuture:
    """An exchange with a future for its result: the complete answer, or ConnectionError."""

    def __init__(self) -> None:
        self.done: asyncio.Future[Response] = asyncio.get_running_loop().create_future()

    def answered(self, response: Response) -> None:
        """Set the complete answer as the result."""
        if not self.done.done():
            self.done.set_result(response)

    def lost(self, written: bool) -> None:
        """Set a ConnectionError as the result."""
        if not self.done.done():
            self.done.set_exception(ConnectionError("the connection ended without a complete answer"))


class ClientConnection(Outgoing):
    """The client end of an HTTP/1.1 connection; `on_closed` is called when it is closed."""

    def __init__(
        self, on_closed: Callable[[ClientConnection], None], max_body: int = MAX_BODY, raw: bool = False
    ) -> None:
        super().__init__(on_closed)
        self._max_body = max_body
        self._raw = raw
        self._bodiless = False  # the answer to the current request has no body
        self._parser = httptools.HttpResponseParser(self)
        self._response = Response()
        self._size = 0
        self._in_head = True
        self._head_bytes = 0  # bytes received of response heads that were not complete yet
        self._complete = False

    def start(self, data: bytes, exchange: Exchange, bodiless: bool = False) -> None:
        """Send a request; `bodiless`: its answer has no body, as the method is HEAD."""
        self._bodiless = bodiless
        self._response, self._size, self._complete = Response(), 0, False
        self._in_head, self._head_bytes = True, 0
        self._send(data, exchange)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; called by asyncio."""
        if self._exchange is None:  # unrequested bytes must not be taken for the next request's answer
            self.abort()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._unusable = True
        # The parser reports a header only once it is complete, so received bytes are limited, interim answers included.
        if self._in_head:
            self._head_bytes += len(data)
            self._unusable = self._unusable or self._head_bytes > MAX_HEAD
        if self._complete:
            if self._bodiless or self._response.status in NO_BODY_STATUSES:
                self._parser = httptools.HttpResponseParser(self)  # the old one may expect a body
            self._answer(self._response)
        elif self._unusable:
            self._lose(self._written)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the exchange, if any; called by asyncio."""
        super().connection_lost(exc)
        # Parser and connection refer to each other; without this they would stay until a full garbage collection.
        del self._parser

    def on_message_begin(self) -> None:
        """Note that an answer begins; called by the parser."""
        if self._complete:
            self._unusable = True  # a second answer to one request

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; called by the parser."""
        self._grow(len(name) + len(value), MAX_HEAD)
        if self._in_head:  # trailers are ignored
            if self._raw:
                value = value.rstrip(b" \t")
                self._response.raw.append((name, value))
            self._response.headers[name.lower()] = value

    def on_headers_complete(self) -> None:
        """Check the head; called by the parser."""
        self._size = 0
        if self._complete or self._parser.get_status_code() < 200:
            return
        self._in_head = False
        headers = self._response.headers
        if self._bodiless or self._parser.get_status_code() in NO_BODY_STATUSES:
            # The parser expects the body that the head announces, but there is none.
            self._finish()
            return
        length = headers.get(b"content-length")
        # A body that is announced as too long is not awaited. Without a length or chunked coding, a complete body can't
        # be distinguished from one that broke off.
        if length is None:
            self._unusable = self._unusable or b"transfer-encoding" not in headers
        elif b"transfer-encoding" in headers or int(length) > self._max_body:
            self._unusable = True

    def on_body(self, body: bytes) -> None:
        """Append a part of the body; called by the parser."""
        if self._complete:  # the answer must not have a body
            self._unusable = True
            return
        self._grow(len(body), self._max_body)
        if not self._unusable:
            self._response.body += body

    def on_message_complete(self) -> None:
        """Complete the answer, or discard an interim one; called by the parser."""
        status = self._parser.get_status_code()
        if self._complete or self._unusable:
            return
        if status < 200:  # an interim answer: the final one follows
            self._response, self._size = Response(), 0
            return
        self._finish()

    def _finish(self) -> None:
        self._response.status = self._parser.get_status_code()
        self._complete = True
        if not self._parser.should_keep_alive():
            self._unusable = True

    def _grow(self, size: int, limit: int) -> None:
        self._size += size
        if self._size > limit:
            self._unusable = True
