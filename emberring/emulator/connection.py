"""A stand-in model server's end of a connection: one request at a time, dropped when the caller leaves."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections import deque
from typing import Protocol, cast

import httptools

from emberring.emulator.wire import ServerRequest

RESET_AT_CLOSE = struct.pack("ii", 1, 0)  # linger for no time


class RequestTaker(Protocol):
    """Who answers the requests of connections."""

    def opened(self, connection: ServerConnection) -> bool:
        """Whether a new connection may stay."""

    def take(self, connection: ServerConnection, request: ServerRequest) -> None:
        """Answer a request by `write` and, at its end, `finish`."""

    def left(self, connection: ServerConnection) -> None:
        """The connection has ended."""


class ServerConnection(asyncio.Protocol):
    """Reads requests and hands them over one after another."""

    def __init__(self, taker: RequestTaker) -> None:
        self._taker = taker
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._path = b""
        self._headers: dict[str, str] = {}
        self._body = bytearray()
        self._waiting: deque[ServerRequest] = deque()
        self._busy = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        if not self._taker.opened(self):
            self.abort()

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.abort()

    def on_message_begin(self) -> None:
        self._path, self._headers, self._body = b"", {}, bytearray()

    def on_url(self, url: bytes) -> None:
        self._path += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        self._body += body

    def on_message_complete(self) -> None:
        method = self._parser.get_method().decode("ascii")
        path = self._path.decode("latin-1")
        self._waiting.append(ServerRequest(method, path, self._headers, bytes(self._body)))
        self._next()

    def _next(self) -> None:
        if self._waiting and not self._busy:
            self._busy = True
            self._taker.take(self, self._waiting.popleft())

    def write(self, data: bytes) -> None:
        """Send bytes of the answer."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def finish(self, *, close: bool = False) -> None:
        """The answer is whole; go on with the next request, or end the connection in order."""
        self._busy = False
        if close and self._transport is not None:
            self._transport.close()
        else:
            self._next()

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
        """Read nothing more."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.pause_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        self._taker.left(self)
