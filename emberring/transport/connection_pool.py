"""The connections of this process to its peers: at most one to each address, opened on demand."""

from __future__ import annotations

import asyncio

from emberring.errors import PeerUnavailableError
from emberring.transport.client_connection import ClientConnection
from emberring.transport.connection import MessageConnection, split_address

CONNECT_TIMEOUT_S = 0.6


class ConnectionPool:
    """Opens and reuses connections to peers. `open_connections` is the set of all open connections."""

    def __init__(self, open_connections: set[MessageConnection]) -> None:
        self._open_connections = open_connections
        self._connections: dict[str, ClientConnection] = {}
        self._connecting: dict[str, asyncio.Task[ClientConnection]] = {}

    async def get(self, address: str, timeout_s: float) -> ClientConnection:
        """Return the connection to this address, opening it if there is none.

        Raises `PeerUnavailableError` if it cannot be opened within `timeout_s`, or `CONNECT_TIMEOUT_S` if that is
        shorter. Concurrent callers share one connection attempt.
        """
        connection = self._connections.get(address)
        if connection is not None and connection.usable:
            return connection
        attempt = self._connecting.get(address) or self._start_connecting(address)
        try:
            async with asyncio.timeout(min(timeout_s, CONNECT_TIMEOUT_S)):
                return await asyncio.shield(attempt)
        except TimeoutError:
            raise PeerUnavailableError(f"{address}: no connection in time") from None
        except OSError as error:
            raise PeerUnavailableError(f"{address}: {error}") from error

    def _start_connecting(self, address: str) -> asyncio.Task[ClientConnection]:
        attempt = asyncio.get_running_loop().create_task(self._connect(address))
        self._connecting[address] = attempt
        attempt.add_done_callback(lambda done: self._on_attempt_done(address, done))
        return attempt

    def _on_attempt_done(self, address: str, attempt: asyncio.Task[ClientConnection]) -> None:
        self._connecting.pop(address, None)
        if not attempt.cancelled() and attempt.exception() is None:
            self._connections[address] = attempt.result()

    async def _connect(self, address: str) -> ClientConnection:
        host, port = split_address(address)
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, connection = await loop.create_connection(
                lambda: ClientConnection(self._open_connections), host, port
            )
        return connection

    def cancel_attempts(self) -> None:
        """Cancel all connection attempts in progress."""
        for attempt in self._connecting.values():
            attempt.cancel()
