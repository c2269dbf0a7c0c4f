"""Connections to servers: one exchange at a time, nothing sent twice, whatever is spoken on them."""

from __future__ import annotations

import asyncio
import errno
import select
import socket
from collections.abc import Callable
from typing import Any, Protocol

Response = Any  # a complete answer, of the type of the protocol that derives from `Outgoing`
# Errors that say that this process or machine lacks something, not that a server does.
OWN = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))


class Exchange(Protocol):
    """Notified by a connection of how its one request ended: by either method, once."""

    def answered(self, response: Response) -> None:
        """Take the complete answer."""

    def lost(self, written: bool) -> None:
        """Note that the connection ended with no complete answer; `written`: the request's last byte had left."""


def waits(sock: socket.socket, events: int) -> bool:
    """Whether one of these `select.POLL*` events, an error or an end waits in the kernel."""
    poll = select.poll()
    poll.register(sock.fileno(), events)
    return bool(poll.poll(0))


def readable(transport: asyncio.BaseTransport) -> bool:
    """Whether bytes, an end or an error wait in the kernel that the event loop has not delivered yet."""
    return waits(transport.get_extra_info("socket"), select.POLLIN | select.POLLRDHUP)


def ended(transport: asyncio.BaseTransport) -> bool:
    """Whether the other side has closed or reset it, which the event loop may not have delivered yet."""
    return waits(transport.get_extra_info("socket"), select.POLLRDHUP)


class Outgoing(asyncio.Protocol):
    """The client end of a connection; `on_closed` is called when it is gone."""

    def __init__(self, on_closed: Callable[[Any], None]) -> None:
        self._on_closed = on_closed
        self._transport: asyncio.Transport | None = None
        self._exchange: Exchange | None = None
        self._spoilt = False
        self._written = True
        self.idle_since = 0.0

    @property
    def usable(self) -> bool:
        """Whether a new request may go out on it."""
        # An end that has come but not been read yet would turn the request into a reset.
        transport = self._transport
        return (
            transport is not None
            and not self._spoilt
            and self._exchange is None
            and not transport.is_closing()
            and not readable(transport)
        )

    @property
    def written(self) -> bool:
        """Whether the last byte of the current request has left."""
        return self._written

    def abort(self) -> None:
        """Close at once, unsent bytes included. The exchange, if any, is not notified."""
        self._exchange = None
        self._spoilt = True
        if self._transport is not None:
            self._transport.abort()

    def retire(self) -> None:
        """Close a connection that carries nothing."""
        self.abort()

    def _send(self, data: bytes, exchange: Exchange) -> None:
        assert self._transport is not None
        assert self._exchange is None
        self._exchange = exchange
        self._transport.write(data)
        # A write that fails at once empties the buffer and closes; nothing of it has left.
        self._written = not self._transport.is_closing() and not self._transport.get_write_buffer_size()

    def _answer(self, response: Response) -> None:
        """End the exchange; its owner may use the connection again before this returns."""
        exchange, self._exchange = self._exchange, None
        # A server that answers before it has the complete request leaves the rest on the connection.
        if not self._written:
            self._spoilt = True
        if self._spoilt:
            self.abort()
        if exchange is not None:
            exchange.answered(response)

    def _lose(self, written: bool) -> None:
        exchange = self._exchange
        self.abort()
        if exchange is not None:
            exchange.lost(written)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport; called by asyncio."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        # Asyncio drops its buffer before connection_lost; with limits of 0 it tells when all has left.
        transport.set_write_buffer_limits(high=0)

    def resume_writing(self) -> None:
        """Note that all bytes have left; called by asyncio."""
        self._written = True

    def eof_received(self) -> bool:
        """Have the connection closed when the server has; called by asyncio."""
        self._spoilt = True
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """End the exchange, if any, without an answer; called by asyncio."""
        self._spoilt = True
        self._on_closed(self)
        self._lose(self._written)
