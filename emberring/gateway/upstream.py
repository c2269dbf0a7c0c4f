"""A connection to a model server: one exchange at a time, responses matched by `Request-Id`, nothing sent twice."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import httptools

from emberring.gateway.messages import BODILESS_STATUSES, Header, ResponseHead
from loadbalancer.core.outgoing import Outgoing

MAX_HEAD_BYTES = 32 * 1024  # of a response, interim responses included
MIN_SUCCESS_STATUS, MIN_REDIRECT_STATUS = 200, 300
MIN_FINAL_STATUS = 200  # lower statuses are interim responses


class Exchange(Protocol):
    """The receiver of the response to one request. `complete` or `lost` is the last call."""

    def head(self, head: ResponseHead) -> None:
        """Receive the head of the response, which is known to belong to this request."""

    def body(self, data: bytes) -> None:
        """Receive a part of the body."""

    def complete(self) -> None:
        """Receive the end of the body."""

    def lost(self, sent: bool) -> None:
        """Receive the failure of the exchange; `sent` is whether a byte of the request may have been sent."""


class _ExchangeAdapter:
    """Adapts an `Exchange` to `loadbalancer.core.outgoing.Exchange`, which handles complete responses only."""

    def __init__(self, connection: ServerConnection, exchange: Exchange) -> None:
        self.connection = connection
        self.exchange = exchange

    def answered(self, response: None) -> None:
        self.exchange.complete()

    def lost(self, written: bool) -> None:
        self.exchange.lost(self.connection.possibly_sent)


class ServerConnection(Outgoing):
    """The client end of a connection to a server. `on_closed` is called when the connection is closed."""

    def __init__(self, on_closed: Callable[[ServerConnection], None]) -> None:
        super().__init__(on_closed)
        self._parser = httptools.HttpResponseParser(self)
        self._adapter: _ExchangeAdapter | None = None
        self._request_id = b""
        self._bodiless = False
        self._headers: list[Header] = []
        self._head_bytes = 0
        self._reading_head = False
        self._discarding = False
        self._completed = False
        self.possibly_sent = False
        self.keep_alive_s: float | None = None
        self.failed_request_ids: set[bytes] = set()  # ids of requests that failed here

    def start(self, data: bytes, request_id: bytes, bodiless: bool, exchange: Exchange) -> None:
        """Send a request; afterwards `possibly_sent` is whether a byte may have been sent.

        Args:
            data: the bytes of the request.
            request_id: its `Request-Id`; empty if it has none.
            bodiless: whether the response has no body, because the method is HEAD.
            exchange: receiver of the response.
        """
        self._request_id = request_id
        self._bodiless = bodiless
        self._reading_head, self._head_bytes, self._completed, self._discarding = True, 0, False, False
        self._adapter = _ExchangeAdapter(self, exchange)
        self._send(data, self._adapter)
        # Only a write that fails immediately is known to have sent no byte.
        self.possibly_sent = self._transport is not None and not self._transport.is_closing()

    def pause(self) -> None:
        """Stop reading until `resume` is called: backpressure from a consumer that is slower than the server."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.pause_reading()

    def resume(self) -> None:
        """Continue reading."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    # ---------------------------------------------------------- asyncio.Protocol

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; called by asyncio."""
        if self._adapter is None:  # no request is pending, so the bytes belong to no response
            self.abort()
            return
        if self._reading_head:  # an incomplete header is buffered by the parser; interim responses count too
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._unusable = True
        if self._reading_head and self._head_bytes > MAX_HEAD_BYTES:
            self._unusable = True
        if self._completed:
            self._finish_exchange()
        elif self._unusable:
            self._adapter = None
            self._lose(self._written)

    def _finish_exchange(self) -> None:
        if self._bodiless:
            self._parser = httptools.HttpResponseParser(self)  # the previous parser may still expect a body
        self._adapter = None
        self._answer(None)

    def connection_lost(self, exc: Exception | None) -> None:
        """Release the parser; called by asyncio."""
        super().connection_lost(exc)
        self._adapter = None
        del self._parser  # breaks the reference cycle of parser and connection

    # --------------------------------------------------------- httptools callbacks

    def on_message_begin(self) -> None:
        """Start a message; called by httptools."""
        self._headers = []
        self._reading_head = True
        if self._completed:
            self._unusable = True  # an unsolicited response: the connection is not reused

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; called by httptools."""
        if self._reading_head:  # trailers are ignored
            self._headers.append((name.lower(), value.rstrip(b" \t")))

    def on_headers_complete(self) -> None:
        """Validate the head and pass it to the exchange; called by httptools."""
        status = self._parser.get_status_code()
        if self._completed or status < MIN_FINAL_STATUS:
            return
        self._reading_head = False
        head = self._read_head(status)
        if head is None or self._adapter is None:
            self._unusable = True
            return
        if self._discarding:
            return
        if status >= MIN_REDIRECT_STATUS:
            self.failed_request_ids.add(self._request_id)
        bodiless = self._bodiless or status in BODILESS_STATUSES
        if not bodiless and head.length is None and not self._is_chunked():
            self._unusable = True  # the body would end with the connection, which looks the same as a failure
            return
        self._adapter.exchange.head(head)
        if bodiless:
            self._completed, self._bodiless = True, True
            if not self._parser.should_keep_alive():
                self._unusable = True

    def _read_head(self, status: int) -> ResponseHead | None:
        """Return the head, or None if it is invalid; sets `_discarding` if the response belongs to another request."""
        length = response_id = None
        for name, value in self._headers:
            if name == b"content-length":
                if not value.isdigit():
                    return None
                length = int(value)
            elif name == b"request-id":
                response_id = value
            elif name == b"keep-alive":
                self.keep_alive_s = _parse_keep_alive(value, self.keep_alive_s)
        self._discarding = response_id is not None and response_id != self._request_id
        success = MIN_SUCCESS_STATUS <= status < MIN_REDIRECT_STATUS
        if response_id is None and self._request_id and success:
            return None
        return ResponseHead(status, tuple(self._headers), length)

    def _is_chunked(self) -> bool:
        return any(name == b"transfer-encoding" for name, _ in self._headers)

    def on_body(self, body: bytes) -> None:
        """Pass a part of the body to the exchange; called by httptools."""
        if self._completed or self._unusable:
            self._unusable = True
        elif not self._discarding and self._adapter is not None:
            self._adapter.exchange.body(body)

    def on_message_complete(self) -> None:
        """End a message, which may be an interim or an unsolicited response; called by httptools."""
        if self._completed or self._unusable:
            return
        if not self._parser.should_keep_alive():
            self._unusable = True
        if self._reading_head or self._discarding:  # interim or unsolicited: the expected response may follow
            self._discarding = False
            self._reading_head, self._head_bytes = True, 0
            return
        self._completed = True


def _parse_keep_alive(value: bytes, default: float | None) -> float | None:
    """Return the timeout in seconds from a `Keep-Alive` header; `default` if it has none."""
    for part in value.split(b","):
        name, _, seconds = part.strip().partition(b"=")
        if name.strip().lower() == b"timeout" and seconds.strip().isdigit():
            return float(seconds)
    if value.strip().isdigit():
        return float(value)
    return default
