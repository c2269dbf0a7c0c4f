"""Connections to model servers, within this gateway's part of each server's `MaxConnections`, last used first."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable
from enum import Enum

import attrs

from emberring.gateway.connect_timeout import MAX_CONNECT_TIMEOUT_S, ConnectTimeoutEstimator
from emberring.gateway.upstream import ServerConnection

CONNECT_TIMEOUT_S = MAX_CONNECT_TIMEOUT_S  # upper limit; less where connections are usually opened sooner
# A server resets a connection beyond its limit right after it was opened. A request that may be sent only once waits
# for that: as long as opening took, and this much longer.
RESET_GRACE_S = 0.003
TCP_USER_TIMEOUT_MS = 1500  # a connection with bytes unacknowledged for this long is closed
DEFAULT_IDLE_TIMEOUT_S = 4.0  # where a server has not sent `Keep-Alive`
IDLE_MARGIN_S = 1.0  # before the server's idle time-out (in whole seconds) a connection is no longer used
IDLE_FRACTION = 0.5  # of an idle time-out that is too short for this margin
SWEEP_S = 1.0  # between two sweeps of idle connections


class ConnectionUnavailable(Enum):
    """Why there is no connection; in each case no byte was sent."""

    UNREACHABLE = "unreachable"
    POOL_FULL = "no_room"


@attrs.define(eq=False)
class _Server:
    """The connections to one incarnation of a server; `idle` has the latest used one last."""

    address: str
    idle: list[ServerConnection] = attrs.field(factory=list)
    open: set[ServerConnection] = attrs.field(factory=set)
    opening: int = 0

    @property
    def size(self) -> int:
        return len(self.open) + self.opening


class ConnectionPool:
    """All connections to servers, by the id of the incarnation that they were opened for."""

    def __init__(self) -> None:
        self._servers: dict[str, _Server] = {}
        self._limit: Callable[[str], int] = lambda server_id: 1
        self._sweep_timer: asyncio.TimerHandle | None = None
        self._connect_timeout = ConnectTimeoutEstimator()
        self.opened_total = 0
        self.last_unreachable_s = 0.0  # when a connection last failed to open (the event loop's time)

    def set_limits(self, limit: Callable[[str], int]) -> None:
        """Set how many connections this gateway may hold to a server, by its id, and close idle ones beyond."""
        self._limit = limit
        for server_id, server in self._servers.items():
            while server.idle and server.size > limit(server_id):
                server.idle.pop(0).retire()

    def keep_only(self, usable: Callable[[str], bool]) -> None:
        """Close idle connections to servers that get nothing new; those in use are closed when released."""
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
        """Return whether there is an idle connection to this server."""
        server = self._servers.get(server_id)
        return server is not None and bool(server.idle)

    def size(self, server_id: str) -> int:
        """Return the number of connections to this server, those being opened included."""
        server = self._servers.get(server_id)
        return server.size if server else 0

    async def acquire(
        self, server_id: str, address: str, request_id: bytes, verify: bool
    ) -> ServerConnection | ConnectionUnavailable:
        """Return an unused connection: an idle one that still stands, or a new one.

        Args:
            server_id: id of the server's incarnation.
            address: its `ip:port`.
            request_id: id of the request to be sent. A connection on which a request of this id has failed is not used:
                a late duplicate of that response could not be told from the response to come.
            verify: whether to wait until a new connection was not reset right after it was opened.
        """
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
        if not connection.usable:  # reset at once, as servers do beyond their limit
            connection.abort()
            return ConnectionUnavailable.UNREACHABLE
        _set_socket_options(transport)
        server.open.add(connection)
        return connection

    def release(self, server_id: str, connection: ServerConnection) -> None:
        """Return a connection whose response is complete; it becomes idle, or is closed."""
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
        """Close the connections that have been idle for too long."""
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
        """Abort all connections."""
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
