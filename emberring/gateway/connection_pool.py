"""Connections to model servers, within this gateway's share of `MaxConnections`; the last used one is reused first."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable
from enum import Enum

import attrs

from emberring.gateway.connect_timeout import MAX_CONNECT_TIMEOUT_S, ConnectTimeoutEstimator
from emberring.gateway.upstream import ServerConnection

CONNECT_TIMEOUT_S = MAX_CONNECT_TIMEOUT_S  # upper limit; the estimated timeout may be shorter
# A server resets a connection beyond its limit immediately after it was opened. Before a request that is not idempotent
# is sent, the pool waits for such a reset: for the time that opening the connection took, plus this.
RESET_GRACE_S = 0.003
TCP_USER_TIMEOUT_MS = 1500  # the kernel closes a connection with data unacknowledged for this long
DEFAULT_IDLE_TIMEOUT_S = 4.0  # if the server has not sent `Keep-Alive`
IDLE_MARGIN_S = 1.0  # before the server's idle timeout (whole seconds); connections are no longer used
IDLE_FRACTION = 0.5  # usable share of an idle timeout that is too short for this margin
EXPIRY_CHECK_S = 1.0  # interval between two checks of idle connections


class ConnectionUnavailable(Enum):
    """Why no connection is available; no byte was sent in either case."""

    UNREACHABLE = "unreachable"
    POOL_FULL = "no_room"


@attrs.define(eq=False)
class _ServerConnections:
    """The connections to one incarnation of a server; `idle` is ordered by last use, the latest last."""

    address: str
    idle: list[ServerConnection] = attrs.field(factory=list)
    open: set[ServerConnection] = attrs.field(factory=set)
    opening: int = 0

    @property
    def size(self) -> int:
        return len(self.open) + self.opening


class ConnectionPool:
    """All connections to servers, by incarnation id."""

    def __init__(self) -> None:
        self._servers: dict[str, _ServerConnections] = {}
        self._limit: Callable[[str], int] = lambda server_id: 1
        self._expiry_timer: asyncio.TimerHandle | None = None
        self._connect_timeout = ConnectTimeoutEstimator()
        self.opened_total = 0
        self.last_unreachable_s = 0.0  # when opening a connection last failed (the event loop's time)

    def set_limits(self, limit: Callable[[str], int]) -> None:
        """Set the limit of connections per server id, and close idle connections beyond it."""
        self._limit = limit
        for server_id, server in self._servers.items():
            while server.idle and server.size > limit(server_id):
                server.idle.pop(0).retire()

    def keep_only(self, usable: Callable[[str], bool]) -> None:
        """Close the idle connections to servers for which `usable` returns False."""
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
        """Return a connection without a pending request: an idle one that is still open, or a new one.

        Args:
            server_id: id of the server's incarnation.
            address: its `ip:port`.
            request_id: id of the request to be sent. A connection on which a request with this id failed is not used,
                because a late duplicate of that response cannot be distinguished from the new one.
            verify: whether to wait after opening a connection, to detect a reset by a server that is at its limit.
        """
        server = self._servers.setdefault(server_id, _ServerConnections(address))
        idle_connection = self._take_idle(server, request_id)
        if idle_connection is not None:
            return idle_connection
        if server.size >= max(1, self._limit(server_id)) and not self._evict_idle(server):
            return ConnectionUnavailable.POOL_FULL
        return await self._open(server, verify)

    @staticmethod
    def _take_idle(server: _ServerConnections, request_id: bytes) -> ServerConnection | None:
        now_s = asyncio.get_running_loop().time()
        while server.idle:
            connection = server.idle.pop()
            if request_id in connection.failed_request_ids:
                connection.retire()
                continue
            if now_s - connection.idle_since < _idle_limit_s(connection) and connection.usable:
                return connection
            connection.retire()
        return None

    @staticmethod
    def _evict_idle(server: _ServerConnections) -> bool:
        if not server.idle:
            return False
        connection = server.idle.pop(0)
        server.open.discard(connection)
        connection.retire()
        return True

    async def _open(
        self, server: _ServerConnections, verify: bool
    ) -> ServerConnection | ConnectionUnavailable:
        loop = asyncio.get_running_loop()
        host, _, port = server.address.rpartition(":")
        server.opening += 1
        began_s = loop.time()
        timeout_s = self._connect_timeout.timeout_s(CONNECT_TIMEOUT_S)
        try:
            async with asyncio.timeout(timeout_s) as limit:
                transport, connection = await loop.create_connection(
                    lambda: ServerConnection(server.open.discard), host, int(port)
                )
            self._connect_timeout.record_connected(loop.time() - began_s)
            if verify:
                await _wait_for_reset(connection, loop.time() - began_s + RESET_GRACE_S)
        except (OSError, TimeoutError):
            if limit.expired():
                self._connect_timeout.record_timeout(timeout_s)
            self.last_unreachable_s = loop.time()
            return ConnectionUnavailable.UNREACHABLE
        finally:
            server.opening -= 1
        self.opened_total += 1
        if not connection.usable:  # reset by a server that is at its limit
            connection.abort()
            return ConnectionUnavailable.UNREACHABLE
        _set_socket_options(transport)
        server.open.add(connection)
        return connection

    def release(self, server_id: str, connection: ServerConnection) -> None:
        """Release a connection whose response is complete; it becomes idle or is closed."""
        server = self._servers.get(server_id)
        if server is None or not connection.usable or server.size > self._limit(server_id):
            connection.retire()
            return
        loop = asyncio.get_running_loop()
        connection.idle_since = loop.time()
        server.idle.append(connection)
        if self._expiry_timer is None:
            self._expiry_timer = loop.call_later(EXPIRY_CHECK_S, self._close_expired)

    def _close_expired(self) -> None:
        """Close the connections whose idle time limit has passed."""
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        self._expiry_timer = None
        for server_id, server in list(self._servers.items()):
            while server.idle and now_s - server.idle[0].idle_since >= _idle_limit_s(server.idle[0]):
                server.idle.pop(0).retire()
            if not server.size:
                del self._servers[server_id]
        if any(server.idle for server in self._servers.values()):
            self._expiry_timer = loop.call_later(EXPIRY_CHECK_S, self._close_expired)

    def close(self) -> None:
        """Abort all connections."""
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()
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


def _idle_limit_s(connection: ServerConnection) -> float:
    server_timeout_s = connection.keep_alive_s
    if server_timeout_s is None:
        return DEFAULT_IDLE_TIMEOUT_S
    return max(server_timeout_s - IDLE_MARGIN_S, server_timeout_s * IDLE_FRACTION)


def _set_socket_options(transport: asyncio.Transport) -> None:
    sock = transport.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
