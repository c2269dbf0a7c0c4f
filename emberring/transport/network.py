"""Calls between nodes over TCP: one connection to each peer, many calls at once, a time-out on each.

`Network.call` raises `PeerUnavailableError` only where the call certainly never left, and `PeerTimeoutError`
where it may have been carried out; errors that the peer reports come back as the exception of their kind.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar, cast

import attrs

from emberring.errors import (
    EmberringError,
    InternalError,
    PeerTimeoutError,
    PeerUnavailableError,
    ProtocolViolationError,
    error_from_wire,
)
from emberring.logs import get_logger
from emberring.transport.messages import MAX_LINE_BYTES, Envelope, Failure, decode, encode

CONNECT_TIMEOUT_S = 0.6
UNACKNOWLEDGED_MS = 1500  # bytes that the peer's machine has not acknowledged for so long end the connection
MAX_UNSENT_BYTES = 32 * 1024 * 1024  # waiting for one peer; more calls to it are refused
SILENT_LIMIT = 2  # time-outs in a row, with nothing heard, after which a connection is made anew

Reply = TypeVar("Reply")
Handler = Callable[[Any, "Caller"], Awaitable[Any]]

logger = get_logger("transport")


@attrs.frozen
class Caller:
    """Who sent a call: the address of its connection's other end."""

    address: str


def tune(sock: socket.socket) -> None:
    """Small messages leave at once; a peer that has lost its power or its path is noticed."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)


def expected(reply: type[Reply], answer: object, address: str) -> Reply:
    """The answer of a call to this address; its error where the other side failed, `ProtocolViolationError` where it
    is no message of this kind."""
    if isinstance(answer, Failure):
        raise error_from_wire(answer.kind, answer.detail)
    if not isinstance(answer, reply):
        raise ProtocolViolationError(f"{address} replied with {type(answer).__name__}")
    return answer


class _Lines(asyncio.Protocol):
    """Cuts what comes into lines; bytes that are no message end this connection alone."""

    def __init__(self, network: Network) -> None:
        self.network = network
        self.transport: asyncio.Transport | None = None
        self.peer = ""
        self._buffer = bytearray()
        self._searched = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            tune(sock)
        name = transport.get_extra_info("peername") or ("?", 0)
        self.peer = f"{name[0]}:{name[1]}"
        self.network.connections.add(self)

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        while (end := self._buffer.find(b"\n", self._searched)) >= 0:
            line = bytes(self._buffer[:end])
            del self._buffer[: end + 1]
            self._searched = 0
            if not self._take(line):
                return
        self._searched = len(self._buffer)
        if self._searched > MAX_LINE_BYTES:
            self._violated(f"a line of over {MAX_LINE_BYTES} bytes")

    def _take(self, line: bytes) -> bool:
        try:
            envelope = decode(line)
        except ProtocolViolationError as error:
            self._violated(error.detail)
            return False
        self.on_envelope(envelope)
        return True

    def _violated(self, detail: str) -> None:
        logger.warning("event=protocol_violation peer=%s detail=%r", self.peer, detail)
        self._buffer.clear()
        self.abort()

    def on_envelope(self, envelope: Envelope) -> None:
        raise NotImplementedError

    def connection_lost(self, exc: Exception | None) -> None:
        self.network.connections.discard(self)

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class _Incoming(_Lines):
    """The answering end."""

    def on_envelope(self, envelope: Envelope) -> None:
        task = asyncio.get_running_loop().create_task(self._answer(envelope))
        self.network.tasks.add(task)
        task.add_done_callback(self.network.tasks.discard)

    async def _answer(self, envelope: Envelope) -> None:
        reply = await self.network.dispatch(envelope.body, Caller(self.peer))
        if envelope.id and self.transport is not None and not self.transport.is_closing():
            self.transport.write(encode(Envelope(-envelope.id, reply)))


class _Outgoing(_Lines):
    """The calling end."""

    def __init__(self, network: Network) -> None:
        super().__init__(network)
        self.waiting: dict[int, asyncio.Future[Any]] = {}
        self.silent = 0

    def on_envelope(self, envelope: Envelope) -> None:
        self.silent = 0
        future = self.waiting.pop(-envelope.id, None)
        if future is not None and not future.done():
            future.set_result(envelope.body)

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        for future in self.waiting.values():
            if not future.done():
                future.set_exception(PeerTimeoutError(f"the connection to {self.peer} ended"))
        self.waiting.clear()

    @property
    def usable(self) -> bool:
        return self.transport is not None and not self.transport.is_closing()

    def timed_out(self) -> None:
        """A call on it had no reply; a connection that stays silent is not used again."""
        self.silent += 1
        if self.silent >= SILENT_LIMIT:
            self.abort()


class Network:
    """All connections of this process to other nodes, and the handlers for their calls."""

    def __init__(self) -> None:
        self.connections: set[_Lines] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self._handlers: dict[type[Any], Handler] = {}
        self._peers: dict[str, _Outgoing] = {}
        self._connecting: dict[str, asyncio.Task[_Outgoing]] = {}
        self._next_id = 0
        self._server: asyncio.Server | None = None
        self.sent_bytes = 0

    def handle(self, cls: type[Any], handler: Handler) -> None:
        """Answer calls of this message class with `await handler(message, caller)`, a message."""
        self._handlers[cls] = handler

    async def listen(self, address: str) -> None:
        """Accept calls at `ip:port`."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _Incoming(self), host, int(port), backlog=512)

    async def dispatch(self, body: Any, caller: Caller) -> Any:
        """The reply to a call; a failure is a reply too."""
        handler = self._handlers.get(type(body))
        if handler is None:
            return Failure(ProtocolViolationError.kind.value, f"no handler for {type(body).__name__}")
        try:
            return await handler(body, caller)
        except EmberringError as error:
            return Failure(error.kind.value, error.detail)
        except Exception as error:
            logger.exception("event=handler_failed message=%s", type(body).__name__)
            return Failure(InternalError.kind.value, f"{type(error).__name__}: {error}")

    async def call(self, address: str, body: Any, reply: type[Reply], timeout_s: float) -> Reply:
        """Send a call and wait for its reply, at most `timeout_s` in all."""
        loop = asyncio.get_running_loop()
        give_up_at = loop.time() + timeout_s
        connection = await self._connection(address, timeout_s)
        self._next_id += 1
        number = self._next_id
        future: asyncio.Future[Any] = loop.create_future()
        connection.waiting[number] = future
        self._write(connection, Envelope(number, body))
        try:
            # Guard: `wait_for` of Python 3.11 loses a cancellation that comes as the future is done.
            async with asyncio.timeout_at(give_up_at):
                answer = await future
        except TimeoutError:
            connection.timed_out()
            raise PeerTimeoutError(f"no reply from {address} to {type(body).__name__}") from None
        finally:
            connection.waiting.pop(number, None)
        return expected(reply, answer, address)

    async def tell(self, address: str, body: Any) -> None:
        """Send a hint that wants no reply; failures are ignored."""
        with contextlib.suppress(EmberringError):
            connection = await self._connection(address, CONNECT_TIMEOUT_S)
            self._write(connection, Envelope(0, body))

    def _write(self, connection: _Outgoing, envelope: Envelope) -> None:
        assert connection.transport is not None
        if connection.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            connection.waiting.pop(envelope.id, None)
            raise PeerUnavailableError(f"{connection.peer} does not read")
        line = encode(envelope)
        self.sent_bytes += len(line)
        connection.transport.write(line)

    async def _connection(self, address: str, timeout_s: float) -> _Outgoing:
        found = self._peers.get(address)
        if found is not None and found.usable:
            return found
        task = self._connecting.get(address)
        if task is None:
            task = asyncio.get_running_loop().create_task(self._connect(address))
            self._connecting[address] = task
            task.add_done_callback(lambda done: self._connected(address, done))
        try:
            async with asyncio.timeout(min(timeout_s, CONNECT_TIMEOUT_S)):
                return await asyncio.shield(task)
        except TimeoutError:
            raise PeerUnavailableError(f"{address}: no connection in time") from None
        except OSError as error:
            raise PeerUnavailableError(f"{address}: {error}") from error

    def _connected(self, address: str, done: asyncio.Task[_Outgoing]) -> None:
        self._connecting.pop(address, None)
        if not done.cancelled() and done.exception() is None:
            self._peers[address] = done.result()

    async def _connect(self, address: str) -> _Outgoing:
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, protocol = await loop.create_connection(lambda: _Outgoing(self), host, int(port))
        return protocol

    async def close(self) -> None:
        """End all connections and calls."""
        if self._server is not None:
            self._server.close()
        for task in (*self.tasks, *self._connecting.values()):
            task.cancel()
        for connection in list(self.connections):
            connection.abort()
