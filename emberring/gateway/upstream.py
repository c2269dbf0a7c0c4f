"""One connection to a model server: one exchange at a time, answers matched by `Request-Id`, nothing sent twice."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import httptools

from emberring.gateway.messages import BODILESS_STATUSES, Header, ResponseHead
from loadbalancer.core.outgoing import Outgoing

MAX_HEAD_BYTES = 32 * 1024
SUCCESS_FROM, SUCCESS_BELOW = 200, 300
FINAL_FROM = 200  # statuses below are interim answers


class Exchange(Protocol):
    """Where the answer to one request goes. After `complete` or `lost` nothing more comes."""

    def head(self, head: ResponseHead) -> None:
        """The head of the answer to this very request."""

    def body(self, data: bytes) -> None:
        """A part of its body."""

    def complete(self) -> None:
        """The body is whole."""

    def lost(self, sent: bool) -> None:
        """The answer broke off, or was no answer; `sent`: a byte of the request may have left."""


class _Relay:
    """Takes the place of `Exchange` in `loadbalancer.core.outgoing`, which knows whole answers alone."""

    def __init__(self, connection: ServerConnection, exchange: Exchange) -> None:
        self.connection = connection
        self.exchange = exchange

    def answered(self, response: None) -> None:
        self.exchange.complete()

    def lost(self, written: bool) -> None:
        self.exchange.lost(self.connection.possibly_sent)


class ServerConnection(Outgoing):
    """The calling end of a connection to a server. `on_closed` is told when it is gone."""

    def __init__(self, on_closed: Callable[[ServerConnection], None]) -> None:
        super().__init__(on_closed)
        self._parser = httptools.HttpResponseParser(self)
        self._relay: _Relay | None = None
        self._request_id = b""
        self._bodiless = False
        self._headers: list[Header] = []
        self._head_bytes = 0
        self._in_head = False
        self._discarding = False
        self._completed = False
        self.possibly_sent = False
        self.keep_alive_s: float | None = None
        self.failed_request_ids: set[bytes] = set()  # of requests that were answered with a failure here

    def start(self, data: bytes, request_id: bytes, bodiless: bool, exchange: Exchange) -> None:
        """Send a request; `bodiless`: its method is HEAD. Afterwards `possibly_sent` tells whether a byte may have left."""
        self._request_id = request_id
        self._bodiless = bodiless
        self._in_head, self._head_bytes, self._completed, self._discarding = True, 0, False, False
        self._relay = _Relay(self, exchange)
        self._send(data, self._relay)
        assert self._transport is not None
        # A write that fails at once has taken no byte; anything else may have.
        self.possibly_sent = not self._transport.is_closing()

    def pause(self) -> None:
        """Read no more until `resume`: the caller takes the answer slower than it comes."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.pause_reading()

    def resume(self) -> None:
        """Read on."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    # ---------------------------------------------------------- asyncio.Protocol

    def data_received(self, data: bytes) -> None:
        if self._relay is None:  # nothing was asked: these bytes belong to no request
            self.abort()
            return
        if self._in_head:  # the parser keeps a header back until it is whole; interim answers count too
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._spoilt = True
        if self._in_head and self._head_bytes > MAX_HEAD_BYTES:
            self._spoilt = True
        if self._completed:
            self._finish_exchange()
        elif self._spoilt:
            self._relay = None
            self._lose(self._written)

    def _finish_exchange(self) -> None:
        if self._bodiless:
            self._parser = httptools.HttpResponseParser(self)  # the old one may wait for a body
        self._relay = None
        self._answer(None)

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self._relay = None
        del self._parser  # parser and connection hold each other

    # --------------------------------------------------------- httptools callbacks

    def on_message_begin(self) -> None:
        self._headers = []
        self._in_head = True
        if self._completed:
            self._spoilt = True  # more than was asked for: the connection is not used again

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._in_head:  # a trailer changes nothing
            self._headers.append((name.lower(), value.rstrip(b" \t")))

    def on_headers_complete(self) -> None:
        status = self._parser.get_status_code()
        if self._completed or status < FINAL_FROM:
            return
        self._in_head = False
        head = self._read_head(status)
        if head is None or self._relay is None:
            self._spoilt = True
            return
        if self._discarding:
            return
        if status >= SUCCESS_BELOW:
            self.failed_request_ids.add(self._request_id)
        bodiless = self._bodiless or status in BODILESS_STATUSES
        if not bodiless and head.length is None and not self._is_chunked():
            self._spoilt = True  # only the connection's end would end it, and that could be a break too
            return
        self._relay.exchange.head(head)
        if bodiless:
            self._completed, self._bodiless = True, True
            if not self._parser.should_keep_alive():
                self._spoilt = True

    def _read_head(self, status: int) -> ResponseHead | None:
        """The head, or None where it can't be trusted; sets whether this answer is another request's."""
        length = found_id = None
        for name, value in self._headers:
            if name == b"content-length":
                if not value.isdigit():
                    return None
                length = int(value)
            elif name == b"request-id":
                found_id = value
            elif name == b"keep-alive":
                self.keep_alive_s = _timeout_of(value, self.keep_alive_s)
        self._discarding = found_id is not None and found_id != self._request_id
        success = SUCCESS_FROM <= status < SUCCESS_BELOW
        if found_id is None and self._request_id and success:
            return None
        return ResponseHead(status, tuple(self._headers), length)

    def _is_chunked(self) -> bool:
        return any(name == b"transfer-encoding" for name, _ in self._headers)

    def on_body(self, body: bytes) -> None:
        if self._completed or self._spoilt:
            self._spoilt = True
        elif not self._discarding and self._relay is not None:
            self._relay.exchange.body(body)

    def on_message_complete(self) -> None:
        if self._completed or self._spoilt:
            return
        if not self._parser.should_keep_alive():
            self._spoilt = True
        if self._in_head or self._discarding:  # an interim or a surplus answer: the right one may follow
            self._discarding = False
            self._in_head, self._head_bytes = True, 0
            return
        self._completed = True


def _timeout_of(value: bytes, known: float | None) -> float | None:
    """The seconds that a `Keep-Alive` header grants; what was known before if it names none."""
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.strip().lower() == b"timeout" and number.strip().isdigit():
            return float(number)
    if value.strip().isdigit():
        return float(value)
    return known
