"""The servers' side, whatever is spoken: pooled connections to each server, and attempts that end with exactly one
result.

`PooledBack` is a `core.types.Back`; what a connection is, what is written on it and what an answer stands for is for
those that derive from it to say.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Any

from orchidledge.core.address import Address
from orchidledge.core.outgoing import Outgoing
from orchidledge.core.types import OnEnd
from orchidledge.interface import Result

IDLE_SHARE = 0.5  # of the time after which a server closes an idle connection: ours goes well before


@dataclass(slots=True, eq=False)
class _Server:
    endpoint: Address
    launched_ms: float | None
    idle: list[Outgoing] = field(default_factory=list)  # newest last
    waiting: set[Attempt] = field(default_factory=set)  # attempts whose connection is not up yet


class Attempt:
    """One request on its way to one server."""

    def __init__(
        self,
        pool: PooledBack,
        message: Any,
        timeout_s: float,
        on_end: OnEnd,
    ) -> None:
        self._pool = pool
        self._message = message
        self._on_end = on_end
        self._over = False
        self._server: _Server | None = None
        self._connection: Outgoing | None = None
        self._connect: asyncio.Task[None] | None = None
        loop = asyncio.get_running_loop()
        self._end_at = loop.time() + timeout_s
        self._timer = loop.call_at(self._end_at, self._time_out)

    def cancel(self) -> None:
        self._finish(Result.CANCELLED)

    def withdraw(self) -> None:
        """Give up before anything was sent."""
        self._finish(Result.CONNECT_FAILED)

    # ----------------------------------------------------------- for the connection

    def answered(self, response: Any) -> None:
        connection, self._connection = self._connection, None
        if connection is not None and self._server is not None:
            self._pool.give_back(self._server, connection)
        result, report = self._pool.outcome(self._message, response)
        self._finish(result, response, report)

    def lost(self, written: bool) -> None:
        self._connection = None
        self._finish(Result.RESET if written else Result.CONNECT_FAILED)

    # -------------------------------------------------------------------- inside

    def begin(self, server: _Server) -> None:
        self._server = server
        connection = self._pool.take_idle(server)
        if connection is not None:
            self._write(connection)
        elif self._pool.make_room():
            server.waiting.add(self)
            self._connect = asyncio.create_task(self._open(server))
            self._pool.count_opening(self._connect)
        else:
            # Told later, as every result is, so that the action that asked for the attempt is over by then.
            asyncio.get_running_loop().call_soon(self.withdraw)

    async def _open(self, server: _Server) -> None:
        try:
            async with asyncio.timeout(self._pool.connect_timeout_s):
                connection = await self._pool.open(server.endpoint)
        except (OSError, TimeoutError):
            self._connect = None
            self.withdraw()
            return
        self._connect = None
        server.waiting.discard(self)
        if self._over:
            connection.abort()
        else:
            self._write(connection)

    def _write(self, connection: Outgoing) -> None:
        self._connection = connection
        left = self._end_at - asyncio.get_running_loop().time()
        self._pool.start(connection, self._message, left, self)

    def _time_out(self) -> None:
        # Guard: what has not been written whole has never run, and a refusal may then say so.
        sent = self._connection is not None and self._connection.written
        self._finish(Result.TIMEOUT if sent else Result.CONNECT_FAILED)

    def _finish(self, result: Result, response: Any = None, report: dict[str, float] | None = None) -> None:
        if self._over:
            return
        self._over = True
        self._timer.cancel()
        if self._server is not None:
            self._server.waiting.discard(self)
        if self._connect is not None:
            self._connect.cancel()
        if self._connection is not None:  # closing is how an attempt is given up
            self._connection.abort()
        self._on_end(result, response, report)


class PooledBack:
    """Connections to all servers, at most `limit` of them, the newest idle one used first."""

    def __init__(self, limit: int, server_idle_s: float, connect_timeout_s: float) -> None:
        self.limit = limit
        self.connect_timeout_s = connect_timeout_s
        self._idle_s = server_idle_s * IDLE_SHARE
        self._servers: dict[str, _Server] = {}
        self._open: set[Outgoing] = set()
        self._opening: set[asyncio.Task[None]] = set()
        self._sweep_timer: asyncio.TimerHandle | None = None

    # ------------------------------------------------------------- for protocols

    def connection(self) -> Outgoing:
        """A connection that is yet to be made; it tells `forget` when it is gone."""
        raise NotImplementedError

    def start(self, connection: Any, message: Any, wait_s: float, attempt: Attempt) -> None:
        """Write a message whose answer is waited for this long."""
        raise NotImplementedError

    def outcome(self, message: Any, reply: Any) -> tuple[Result, dict[str, float] | None]:
        """The outcome that a whole answer stands for, and the load report that it holds."""
        raise NotImplementedError

    def forget(self, connection: Outgoing) -> None:
        self._open.discard(connection)

    # ------------------------------------------------------------------- for pools

    @property
    def size(self) -> int:
        return len(self._open) + len(self._opening)

    @property
    def endpoints(self) -> dict[str, Address]:
        """The servers that are named, and where each is."""
        return {name: server.endpoint for name, server in self._servers.items()}

    def add(self, name: str, endpoint: Address, launched_ms: float | None = None) -> None:
        """Name a server, its new endpoint or its latest start."""
        # Guard: a machine that vanished and is back resets what is written to connections from before.
        known = self._servers.get(name)
        if known is None or (known.endpoint, known.launched_ms) != (endpoint, launched_ms):
            self.remove(name)
            self._servers[name] = _Server(endpoint, launched_ms)

    def remove(self, name: str) -> None:
        """Nothing new goes to this server: what waits for a connection to it is given up unsent."""
        # Guard: an attempt that waits to connect as the drain is told could send its first byte too late.
        server = self._servers.pop(name, None)
        if server is None:
            return
        for connection in server.idle:
            connection.retire()
        server.idle.clear()
        for attempt in list(server.waiting):
            attempt.withdraw()

    def send(
        self,
        name: str,
        message: Any,
        timeout_s: float,
        on_end: OnEnd,
    ) -> Attempt | None:
        """Start an attempt; None if no such server is named."""
        server = self._servers.get(name)
        if server is None:
            return None
        attempt = Attempt(self, message, timeout_s, on_end)
        attempt.begin(server)
        return attempt

    def close(self) -> None:
        for name in list(self._servers):
            self.remove(name)
        for connection in list(self._open):
            connection.abort()
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()

    # -------------------------------------------------------------- for attempts

    def take_idle(self, server: _Server) -> Outgoing | None:
        now = asyncio.get_running_loop().time()
        while server.idle:
            connection = server.idle.pop()
            if now - connection.idle_since < self._idle_s and connection.usable:
                return connection
            connection.retire()
        return None

    def give_back(self, server: _Server, connection: Outgoing) -> None:
        if not connection.usable or server not in self._servers.values():
            connection.retire()
            return
        connection.idle_since = asyncio.get_running_loop().time()
        server.idle.append(connection)
        if self._sweep_timer is None:
            self._sweep_timer = asyncio.get_running_loop().call_later(self._idle_s / 4, self._sweep)

    def make_room(self) -> bool:
        """Whether one more connection may be opened; closes the one idle for longest if need be."""
        if self.size < self.limit:
            return True
        idle = [(server.idle[0].idle_since, server) for server in self._servers.values() if server.idle]
        if not idle:
            return False
        _, server = min(idle, key=lambda pair: pair[0])
        connection = server.idle.pop(0)
        self._open.discard(connection)
        connection.retire()
        return True

    def count_opening(self, task: asyncio.Task[None]) -> None:
        # Guard: counted from its start, as several sends of one turn of the loop would all see the same room.
        self._opening.add(task)
        task.add_done_callback(self._opening.discard)

    async def open(self, endpoint: Address) -> Outgoing:
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(self.connection, *endpoint)
        self._open.add(connection)
        return connection

    def _sweep(self) -> None:
        """Close what has been idle too long."""
        loop = asyncio.get_running_loop()
        self._sweep_timer = None
        oldest_kept = loop.time() - self._idle_s
        for server in self._servers.values():
            while server.idle and server.idle[0].idle_since < oldest_kept:
                server.idle.pop(0).retire()
        if any(server.idle for server in self._servers.values()):
            self._sweep_timer = loop.call_later(self._idle_s / 4, self._sweep)
