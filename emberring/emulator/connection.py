"""The server side of an HTTP/1.1 connection to an emulated model server; it handles one request at a time."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections import deque
from typing import Protocol, cast

import httptools

from emberring.emulator.wire import ServerRequest

RESET_AT_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER with a timeout of 0: closing the socket sends a reset


class RequestHandler(Protocol):
    """The callbacks of a server for its connections and their requests."""

    def on_connection_opened(self, connection: ServerConnection) -> bool:
        """Return whether to accept a new connection."""

    def handle_request(self, connection: ServerConnection, request: ServerRequest) -> None:
        """Send the response with `write` and complete it with `finish`."""

    def on_connection_closed(self, connection: ServerConnection) -> None:
        """The connection has ended."""


class ServerConnection(asyncio.Protocol):
    """Parses requests and passes them to its handler one after another."""

    def __init__(self, handler: RequestHandler) -> None:
        self._handler = handler
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._path = b""
        self._headers: dict[str, str] = {}
        self._body = bytearray()
        self._pending: deque[ServerRequest] = deque()
        self._busy = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is open; reset it if the handler rejects it."""
        self._transport = cast(asyncio.Transport, transport)
        if not self._handler.on_connection_opened(self):
            self.abort()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; invalid HTTP resets the connection."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.abort()

    def on_message_begin(self) -> None:
        """A request begins (callback of the parser)."""
        self._path, self._headers, self._body = b"", {}, bytearray()

    def on_url(self, url: bytes) -> None:
        """A part of the URL (callback of the parser)."""
        self._path += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """A header (callback of the parser)."""
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        """A part of the body (callback of the parser)."""
        self._body += body

    def on_message_complete(self) -> None:
        """The request is complete (callback of the parser)."""
        method = self._parser.get_method().decode("ascii")
        path = self._path.decode("latin-1")
        self._pending.append(ServerRequest(method, path, self._headers, bytes(self._body)))
        self._handle_next()

    def _handle_next(self) -> None:
        if self._pending and not self._busy:
            self._busy = True
            self._handler.handle_request(self, self._pending.popleft())

    def write(self, data: bytes) -> None:
        """Send bytes of the response."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def finish(self, *, close: bool = False) -> None:
        """The response is complete; handle the next request, or close the connection."""
        self._busy = False
        if close and self._transport is not None:
            self._transport.close()
        else:
            self._handle_next()

    def abort(self) -> None:
        """End the connection with a reset."""
        if self._transport is None:
            return
        sock = self._transport.get_extra_info("socket")
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        self._transport.abort()

    def pause(self) -> None:
        """Stop reading from the connection."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.pause_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection has ended."""
        self._handler.on_connection_closed(self)
