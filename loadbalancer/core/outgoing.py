"""Connections to servers, for any protocol: one exchange at a time, nothing sent twice."""

from __future__ import annotations

import asyncio
import errno
import select
import socket
from collections.abc import Callable
from typing import Any, Protocol

Response = Any  # a complete answer, of the type of the protocol that derives from `Outgoing`
# Errors that mean a lack of resources in this process or machine, not a fault of a server.
LOCAL_RESOURCE_ERRORS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))


class Exchange(Protocol):
    """Notified of the end of a connection's current request, by one call of one of the two methods."""

    def answered(self, response: Response) -> None:
        """Receive the complete answer."""

    def lost(self, written: bool) -> None:
        """Note that the connection ended without a complete answer; `written`: the last byte had been sent."""


def has_pending_event(sock: socket.socket, events: int) -> bool:
    """Whether one of these `select.POLL*` events, an error or an end of stream is pending in the kernel."""
    poll = select.poll()
    poll.register(sock.fileno(), events)
    return bool(poll.poll(0))


def readable(transport: asyncio.BaseTransport) -> bool:
    """Whether the kernel has bytes, an end of stream or an error that the event loop has not delivered yet."""
    return has_pending_event(transport.get_extra_info("socket"), select.POLLIN | select.POLLRDHUP)


def ended(transport: asyncio.BaseTransport) -> bool:
    """Whether the peer has closed or reset the connection, even if the event loop has not delivered that yet."""
    return has_pending_event(transport.get_extra_info("socket"), select.POLLRDHUP)


class Outgoing(asyncio.Protocol):
    """The client end of a connection; `on_closed` is called when it is closed."""

    def __init__(self, on_closed: Callable[[Any], None]) -> None:
        self._on_closed = on_closed
        self._transport: asyncio.Transport | None = None
        self._exchange: Exchange | None = None
        self._unusable = False
        self._written = True
        self.idle_since = 0.0

    @property
    def usable(self) -> bool:
        """Whether a new request may be sent on it."""
        # A request written after an end of stream that has not been read yet would be reset.
        transport = self._transport
        return (
            transport is not None
            and not self._unusable
            and self._exchange is None
            and not transport.is_closing()
            and not readable(transport)
        )

    @property
    def written(self) -> bool:
        """Whether the last byte of the current request has been sent."""
        return self._written

    def abort(self) -> None:
        """Close at once, unsent bytes included. The exchange, if any, is not notified."""
        self._exchange = None
        self._unusable = True
        if self._transport is not None:
            self._transport.abort()

    def retire(self) -> None:
        """Close an idle connection."""
        self.abort()

    def _send(self, data: bytes, exchange: Exchange) -> None:
        assert self._transport is not None
        assert self._exchange is None
        self._exchange = exchange
        self._transport.write(data)
        # A write that fails at once empties the buffer and closes the transport; nothing has been sent then.
        self._written = not self._transport.is_closing() and not self._transport.get_write_buffer_size()

    def _answer(self, response: Response) -> None:
        """End the exchange; its owner may use the connection again before this returns."""
        exchange, self._exchange = self._exchange, None
        # A server that answers before it has received the complete request may take the rest for the next one.
        if not self._written:
            self._unusable = True
        if self._unusable:
            self.abort()
        if exchange is not None:
            exchange.answered(response)

    def _lose(self, written: bool) -> None:
        exchange = self._exchange
        self.abort()
        if exchange is not None:
            exchange.lost(written)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; called by asyncio."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        # With a limit of 0, asyncio calls `resume_writing` when all bytes are sent. The buffer's size can't be used
        # later, as asyncio drops the buffer before `connection_lost`.
        transport.set_write_buffer_limits(high=0)

    def resume_writing(self) -> None:
        """Note that all bytes have been sent; called by asyncio."""
        self._written = True

    def eof_received(self) -> bool:
        """Close the connection after the server closed its side; called by asyncio."""
        self._unusable = True
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """End the exchange, if any, without an answer; called by asyncio."""
        self._unusable = True
        self._on_closed(self)
        self._lose(self._written)
