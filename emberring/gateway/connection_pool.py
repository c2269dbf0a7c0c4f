"""Connections to model servers: this gateway's share of each server's `MaxConnections`, the newest idle one first."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable
from enum import Enum

import attrs

from emberring.gateway.connect_timeout import MAX_CONNECT_TIMEOUT_S, ConnectTimeoutEstimator
from emberring.gateway.upstream import ServerConnection

CONNECT_TIMEOUT_S = MAX_CONNECT_TIMEOUT_S  # less where connections usually come up sooner
# A server resets a connection beyond its limit right after it came up. A request that may go out once alone waits
# for that: as long as coming up took, and a little.
RESET_GRACE_S = 0.003
TCP_USER_TIMEOUT_MS = (
    1500  # bytes that a server's machine has not acknowledged for so long end the connection
)
DEFAULT_IDLE_TIMEOUT_S = 4.0  # kept idle, where a server has not said for how long it keeps one
IDLE_MARGIN_S = (
    1.0  # before a server closes an idle connection, ours is no longer used: it grants whole seconds
)
IDLE_FRACTION = 0.5  # of a time that is too short for this margin
SWEEP_S = 1.0


class ConnectionUnavailable(Enum):
    """Why there is no connection; in each case no byte was sent."""

    UNREACHABLE = "unreachable"
    POOL_FULL = "no_room"


@attrs.define(eq=False)
class _Server:
    address: str
    idle: list[ServerConnection] = attrs.field(factory=list)  # the newest last
    open: set[ServerConnection] = attrs.field(factory=set)
    opening: int = 0

    @property
    def size(self) -> int:
        return len(self.open) + self.opening


class ConnectionPool:
    """All connections to servers, by the id of the incarnation they were made for."""

    def __init__(self) -> None:
        self._servers: dict[str, _Server] = {}
        self._limit: Callable[[str], int] = lambda server_id: 1
        self._sweep_timer: asyncio.TimerHandle | None = None
        self._connect_timeout = ConnectTimeoutEstimator()
        self.opened_total = 0
        self.last_unreachable_s = 0.0  # when a connection last did not come up (the loop's time)

    def set_limits(self, limit: Callable[[str], int]) -> None:
        """How many connections this gateway may hold to a server, by its id."""
        self._limit = limit
        for server_id, server in self._servers.items():
            while server.idle and server.size > limit(server_id):
                server.idle.pop(0).retire()

    def keep_only(self, usable: Callable[[str], bool]) -> None:
        """Close idle connections to servers that get nothing new; those at work end by themselves."""
        for server_id in list(self._servers):
            if not usable(server_id):
                self.close_idle(server_id)

    def close_idle(self, server_id: str) -> None:
        """Close the idle connections to a server."""
        server = self._servers.get(server_id)
        if server is None:
            return
        idle, server.idle = server.idle, []
        for connection in idle:
            connection.retire()
        if not server.size:
            del self._servers[server_id]

    def has_idle(self, server_id: str) -> bool:
        """Whether a connection to this server rests here."""
        server = self._servers.get(server_id)
        return server is not None and bool(server.idle)

    def size(self, server_id: str) -> int:
        """Connections to this server, those being opened among them."""
        server = self._servers.get(server_id)
        return server.size if server else 0

    async def acquire(
        self, server_id: str, address: str, request_id: bytes, verify: bool
    ) -> ServerConnection | ConnectionUnavailable:
        """A connection that carries nothing: an idle one that was proven to stand, or a new one; with `sure`, a new
        one that was not reset as it came up. One on which a request of this id has failed is not taken: a late copy
        of that answer could not be told from the answer to come."""
        server = self._servers.setdefault(server_id, _Server(address))
        found = self._take_idle(server, request_id)
        if found is not None:
            return found
        if server.size >= max(1, self._limit(server_id)) and not self._evict_idle(server):
            return ConnectionUnavailable.POOL_FULL
        return await self._open(server, verify)

    @staticmethod
    def _take_idle(server: _Server, request_id: bytes) -> ServerConnection | None:
        now = asyncio.get_running_loop().time()
        while server.idle:
            connection = server.idle.pop()
            if request_id in connection.failed_request_ids:
                connection.retire()
                continue
            if now - connection.idle_since < _idle_limit(connection) and connection.usable:
                return connection
            connection.retire()
        return None

    @staticmethod
    def _evict_idle(server: _Server) -> bool:
        if not server.idle:
            return False
        connection = server.idle.pop(0)
        server.open.discard(connection)
        connection.retire()
        return True

    async def _open(self, server: _Server, verify: bool) -> ServerConnection | ConnectionUnavailable:
        loop = asyncio.get_running_loop()
        host, _, port = server.address.rpartition(":")
        server.opening += 1
        began = loop.time()
        limit_s = self._connect_timeout.timeout_s(CONNECT_TIMEOUT_S)
        try:
            async with asyncio.timeout(limit_s) as limit:
                transport, connection = await loop.create_connection(
                    lambda: ServerConnection(server.open.discard), host, int(port)
                )
            self._connect_timeout.record_connected(loop.time() - began)
            if verify:
                await _wait_for_reset(connection, loop.time() - began + RESET_GRACE_S)
        except (OSError, TimeoutError):
            if limit.expired():
                self._connect_timeout.record_timeout(limit_s)
            self.last_unreachable_s = loop.time()
            return ConnectionUnavailable.UNREACHABLE
        finally:
            server.opening -= 1
        self.opened_total += 1
        if not connection.usable:  # reset at once, as a server does beyond its limit
            connection.abort()
            return ConnectionUnavailable.UNREACHABLE
        _set_socket_options(transport)
        server.open.add(connection)
        return connection

    def release(self, server_id: str, connection: ServerConnection) -> None:
        """A connection has brought its whole answer."""
        server = self._servers.get(server_id)
        if server is None or not connection.usable or server.size > self._limit(server_id):
            connection.retire()
            return
        loop = asyncio.get_running_loop()
        connection.idle_since = loop.time()
        server.idle.append(connection)
        if self._sweep_timer is None:
            self._sweep_timer = loop.call_later(SWEEP_S, self._sweep)

    def _sweep(self) -> None:
        """Close what has rested for too long."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        self._sweep_timer = None
        for server_id, server in list(self._servers.items()):
            while server.idle and now - server.idle[0].idle_since >= _idle_limit(server.idle[0]):
                server.idle.pop(0).retire()
            if not server.size:
                del self._servers[server_id]
        if any(server.idle for server in self._servers.values()):
            self._sweep_timer = loop.call_later(SWEEP_S, self._sweep)

    def close(self) -> None:
        """Abort everything."""
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        for server in self._servers.values():
            for connection in list(server.open):
                connection.abort()
        self._servers.clear()


async def _wait_for_reset(connection: ServerConnection, wait_s: float) -> None:
    try:
        await asyncio.sleep(wait_s)
    except asyncio.CancelledError:
        connection.abort()
        raise


def _idle_limit(connection: ServerConnection) -> float:
    granted = connection.keep_alive_s
    if granted is None:
        return DEFAULT_IDLE_TIMEOUT_S
    return max(granted - IDLE_MARGIN_S, granted * IDLE_FRACTION)


def _set_socket_options(transport: asyncio.Transport) -> None:
    sock = transport.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
