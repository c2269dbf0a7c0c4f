"""Calls between nodes over TCP: one connection to each peer with many concurrent calls, each with its own timeout.

`Network.call` raises `PeerUnavailableError` only if the call was certainly not sent, and `PeerTimeoutError` if the peer
may have executed it. An error that the peer reports is raised as the exception of its kind.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import attrs

from emberring.errors import (
    EmberringError,
    InternalError,
    PeerTimeoutError,
    ProtocolViolationError,
    error_from_wire,
)
from emberring.logs import get_logger
from emberring.transport.connection import MessageConnection, split_address
from emberring.transport.connection_pool import CONNECT_TIMEOUT_S, ConnectionPool
from emberring.transport.messages import Envelope, Failure
from emberring.transport.server_connection import ServerConnection

LISTEN_BACKLOG = 512  # connections that the kernel queues before they are accepted

Reply = TypeVar("Reply")

logger = get_logger("transport")


@attrs.frozen
class Caller:
    """The sender of a call; `address` is the remote address of its connection."""

    address: str


# Returns the reply to a message, which is an instance of the class that the handler was registered for.
Handler = Callable[[Any, Caller], Awaitable[object]]


def check_reply(reply_class: type[Reply], reply: object, address: str) -> Reply:
    """Return the reply from this address if it is a message of this class.

    Raises the error that the peer reported, or `ProtocolViolationError` if the reply is of another class.
    """
    if isinstance(reply, Failure):
        raise error_from_wire(reply.kind, reply.detail)
    if not isinstance(reply, reply_class):
        raise ProtocolViolationError(f"{address} replied with {type(reply).__name__}")
    return reply


class Network:
    """All connections between this process and other nodes, and the handlers of incoming calls.

    `sent_bytes` counts the bytes of the calls and one-way messages that this process sent.
    """

    def __init__(self) -> None:
        self.connections: set[MessageConnection] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.sent_bytes = 0
        self._handlers: dict[type[object], Handler] = {}
        self._pool = ConnectionPool(self.connections)
        self._next_id = 0
        self._server: asyncio.Server | None = None

    def handle(self, message_class: type[object], handler: Handler) -> None:
        """Register the handler of this message class; `await handler(message, caller)` returns the reply message."""
        self._handlers[message_class] = handler

    async def listen(self, address: str) -> None:
        """Accept connections at `ip:port`."""
        host, port = split_address(address)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._accept, host, port, backlog=LISTEN_BACKLOG)

    def _accept(self) -> ServerConnection:
        return ServerConnection(self.connections, self.tasks, self._respond)

    def _respond(self, body: object, sender: str) -> Awaitable[object]:
        return self.dispatch(body, Caller(sender))

    async def dispatch(self, body: object, caller: Caller) -> object:
        """Return the reply to a call; an error that its handler raises becomes a `Failure`."""
        handler = self._handlers.get(type(body))
        if handler is None:
            return Failure(ProtocolViolationError.kind.value, f"no handler for {type(body).__name__}")
        try:
            return await handler(body, caller)
        except EmberringError as error:
            return Failure(error.kind.value, error.detail)
        except Exception as error:  # outermost frame of a call: the caller receives the error as a reply
            logger.exception("event=handler_failed message=%s", type(body).__name__)
            return Failure(InternalError.kind.value, f"{type(error).__name__}: {error}")

    async def call(self, address: str, body: object, reply: type[Reply], timeout_s: float) -> Reply:
        """Send a call and return its reply, a message of class `reply`; `timeout_s` includes the time to connect.

        Raises `PeerUnavailableError` if the call was not sent, `PeerTimeoutError` if no reply arrived in time, and the
        errors of `check_reply`.
        """
        deadline_s = asyncio.get_running_loop().time() + timeout_s
        connection = await self._pool.get(address, timeout_s)
        self._next_id += 1
        call_id = self._next_id
        reply_future = connection.expect_reply(call_id)
        try:
            # Inside the `try`, so that a message that cannot be encoded does not leave its call in flight forever.
            self.sent_bytes += connection.send(Envelope(call_id, body))
            # Not `wait_for`: in Python 3.11 it loses a cancellation that arrives as the future completes.
            async with asyncio.timeout_at(deadline_s):
                received = await reply_future
        except TimeoutError:
            connection.record_timeout()
            raise PeerTimeoutError(f"no reply from {address} to {type(body).__name__}") from None
        finally:
            connection.end_call(call_id)
            # Guard: a future that fails refers to this frame by its traceback, and so keeps the message in memory.
            del reply_future
        return check_reply(reply, received, address)

    async def tell(self, address: str, body: object) -> None:
        """Send a one-way message; a failure to send it is ignored."""
        with contextlib.suppress(EmberringError):
            connection = await self._pool.get(address, CONNECT_TIMEOUT_S)
            self.sent_bytes += connection.send(Envelope(0, body))

    async def close(self) -> None:
        """Stop listening, cancel the running handlers and close all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self.tasks):
            task.cancel()
        self._pool.cancel_attempts()
        for connection in list(self.connections):
            connection.abort()
