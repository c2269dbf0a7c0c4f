"""One TCP connection that carries messages, one JSON line each: the code that both sides share."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from typing import cast

from emberring.errors import ProtocolViolationError
from emberring.logs import get_logger
from emberring.transport.messages import MAX_LINE_BYTES, Envelope, decode

# The kernel closes the connection when sent bytes stay unacknowledged for this long.
TCP_USER_TIMEOUT_MS = 1500

logger = get_logger("transport")


def set_socket_options(sock: socket.socket) -> None:
    """Disable Nagle's algorithm, and detect a peer that lost power or its network path by unacknowledged bytes."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of an address `ip:port`."""
    host, _, port = address.rpartition(":")
    return host, int(port)


class MessageConnection(asyncio.Protocol):
    """Splits the received bytes into lines and decodes each. Invalid bytes abort this connection only.

    `open_connections` is the set of all open connections, which this one adds itself to while it is open. `peer` is the
    remote address.
    """

    def __init__(self, open_connections: set[MessageConnection]) -> None:
        self.transport: asyncio.Transport | None = None
        self.peer = ""
        self._open_connections = open_connections
        self._buffer = bytearray()
        self._searched_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket options and register this connection as open."""
        self.transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            set_socket_options(sock)
        peer_name = transport.get_extra_info("peername") or ("?", 0)
        self.peer = f"{peer_name[0]}:{peer_name[1]}"
        self._open_connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Handle each complete line; an incomplete last line stays in the buffer."""
        self._buffer += data
        while (end := self._buffer.find(b"\n", self._searched_bytes)) >= 0:
            line = bytes(self._buffer[:end])
            del self._buffer[: end + 1]
            self._searched_bytes = 0
            if not self._decode_line(line):
                return
        self._searched_bytes = len(self._buffer)
        if self._searched_bytes > MAX_LINE_BYTES:
            self._abort_after_violation(f"a line is longer than {MAX_LINE_BYTES} bytes")

    def _decode_line(self, line: bytes) -> bool:
        try:
            envelope = decode(line)
        except ProtocolViolationError as error:
            self._abort_after_violation(error.detail)
            return False
        self.on_envelope(envelope)
        return True

    def _abort_after_violation(self, detail: str) -> None:
        logger.warning("event=protocol_violation peer=%s detail=%r", self.peer, detail)
        self._buffer.clear()
        self.abort()

    def on_envelope(self, envelope: Envelope) -> None:
        """Handle one received message."""
        raise NotImplementedError

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregister this connection."""
        self._open_connections.discard(self)

    def abort(self) -> None:
        """Close the connection at once; bytes that are not sent yet are discarded."""
        if self.transport is not None:
            self.transport.abort()
