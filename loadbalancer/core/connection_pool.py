"""Pooled connections to servers, for any protocol, and attempts that end with exactly one result.

`ConnectionPool` is a `core.types.Upstream`. Derived classes create the connections, write messages to them and
interpret answers.
"""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from loadbalancer.core.address import Address
from loadbalancer.core.outgoing import LOCAL_RESOURCE_ERRORS, Outgoing
from loadbalancer.core.turns import turns_of
from loadbalancer.core.types import Message, OnEnd, Reply
from loadbalancer.interface import Result
from loadbalancer.overload.connections import WaitQueue

MadeConnection = Any  # the subclass of `Outgoing` that the derived class creates

IDLE_SHARE = 0.5  # of the server's idle timeout, after which an idle connection is closed on this side
MAX_SEARCHED = 16  # queued attempts that are checked for one to the server whose connection has become free
MAX_OPENING = 64  # connections that are being opened to one server at a time
MAX_OVERTAKEN_HOLDS = (
    4.0  # mean uses of a connection that the first in the queue waits before none may overtake it
)


@dataclass(slots=True, eq=False)
class _Server:
    """A server, its idle connections and the attempts that wait for a connection."""

    endpoint: Address
    launched_ms: float | None
    idle: list[Outgoing] = field(default_factory=list)  # newest last
    waiting: set[Attempt] = field(default_factory=set)  # attempts without an established connection
    opening: int = 0  # connections
    # Attempts beyond MAX_OPENING, which wait for a connection to be opened or to become free.
    queue: deque[Attempt] = field(default_factory=deque)

    def next(self) -> Attempt | None:
        """Remove and return the queue's first attempt that has not ended."""
        while self.queue:
            first = self.queue.popleft()
            if not first.over:
                return first
        return None


class Attempt:
    """One attempt to send a request to a server; it ends with exactly one call of `on_end`."""

    def __init__(
        self,
        pool: ConnectionPool,
        message: Message,
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
        self._connect_timer: asyncio.TimerHandle | None = None  # limits the time to connect
        self._in_queue = False  # whether it waits in the pool's queue for a connection
        self._sent_at: float | None = None  # when its message was written
        self._server_connect_s = 0.0  # time to connect, without the time that this process spent
        loop = asyncio.get_running_loop()
        self.began = loop.time()
        self._end_at = self.began + timeout_s
        self._timer = loop.call_at(self._end_at, self._time_out)

    @property
    def over(self) -> bool:
        """Whether the attempt has ended."""
        return self._over

    @property
    def server(self) -> _Server | None:
        """The server of the attempt; None before `begin`."""
        return self._server

    def cancel(self) -> None:
        """End the attempt with the result CANCELLED, unless it has ended."""
        self._finish(Result.CANCELLED)

    def give_up_unsent(self) -> None:
        """End the attempt as CONNECT_FAILED: nothing was sent."""
        self._finish(Result.CONNECT_FAILED)

    def give_up_unwritten(self) -> None:
        """End the attempt as MOOT, which does not count against the server, unless it was written completely."""
        # A server starts a request when its last byte arrives, so an incomplete one never runs. Without this, the
        # last byte could be sent long after the caller has left.
        if self._sent_at is None or (self._connection is not None and not self._connection.written):
            self._finish(Result.MOOT)

    def answered(self, response: Reply) -> None:
        """End with a server's complete answer; the connection is returned to the pool."""
        connection, self._connection = self._connection, None
        if connection is not None and self._server is not None:
            in_use_s = asyncio.get_running_loop().time() - (self._sent_at or self.began)
            self._pool.release(self._server, connection, in_use_s)
        result, report = self._pool.outcome(self._message, response)
        self._finish(result, response, report)

    def lost(self, written: bool) -> None:
        """End without an answer, as the connection was lost; `written`: the last byte had been sent."""
        self._connection = None
        self._finish(Result.RESET if written else Result.CONNECT_FAILED)

    def begin(self, server: _Server) -> None:
        """Get a connection to this server, or wait in the pool's queue for one."""
        self._server = server
        if self._pool.queue_is_empty and self.try_start():
            return
        if self._pool.enqueue(self, self._end_at - self.began):
            server.waiting.add(self)
            self._in_queue = True
        else:
            # Reported in a later callback, as every result is: the caller of `send` has not got the attempt yet.
            asyncio.get_running_loop().call_soon(self._finish, Result.NO_ROOM)

    def try_start(self) -> bool:
        """Use an idle connection or open one; returns False if neither is possible."""
        server = self._server
        if server is None:
            raise RuntimeError("an attempt was sent before it began")
        connection = self._pool.take_idle(server)
        if connection is not None:
            self.start_on(connection)
        elif server.opening >= MAX_OPENING:
            # Without this limit, a burst would open a connection for each of its requests, which costs more CPU time
            # than the answers and takes longer than waiting for a connection to become free.
            self._in_queue = False
            server.waiting.add(self)
            server.queue.append(self)
        elif self._pool.may_open():
            self._in_queue = False
            server.waiting.add(self)
            self._connect = asyncio.create_task(self._open(server))
            self._pool.count_opening(server, self._connect)
        else:
            return False
        return True

    def start_on(self, connection: Outgoing) -> None:
        """Send the request on this connection."""
        self._in_queue = False
        if self._server is not None:
            self._server.waiting.discard(self)
        self._write(connection)

    async def _open(self, server: _Server) -> None:
        loop, turns = asyncio.get_running_loop(), self._pool.turns
        began, own_before_s = loop.time(), turns.own_time_s
        self._check_connect_timeout(loop, began, own_before_s)
        try:
            connection = await self._pool.open(server.endpoint)
        except (OSError, ValueError) as error:  # ValueError: the server list has an invalid host
            self._connect = None
            # A lack of descriptors in this process must not count as an unreachable server.
            if isinstance(error, OSError) and error.errno in LOCAL_RESOURCE_ERRORS:
                self._finish(Result.NO_ROOM)
            else:
                self._fail_unreachable(server)
            return
        self._connect = None
        if self._connect_timer is not None:
            self._connect_timer.cancel()
        # Time in which the loop was busy is not counted, as the server may have accepted during it.
        self._server_connect_s = max(0.0, loop.time() - began - (turns.own_time_s - own_before_s))
        server.waiting.discard(self)
        if self._over:
            connection.abort()
        elif not connection.usable:
            # A request written to a connection that has ended already would count as one that may have run.
            connection.abort()
            self.give_up_unsent()
        else:
            self._write(connection)

    def _check_connect_timeout(
        self, loop: asyncio.AbstractEventLoop, began: float, own_before_s: float
    ) -> None:
        """Fail the attempt once the server has had `connect_timeout_s`, not counting time that this process spent.

        Otherwise long loop iterations of this process would time out servers that accept at once.
        """
        own_s = self._pool.turns.own_time_s - own_before_s
        left_s = began + own_s + self._pool.connect_timeout_s - loop.time()
        if left_s > 0.0:
            self._connect_timer = loop.call_later(
                left_s, self._check_connect_timeout, loop, began, own_before_s
            )
        elif self._server is not None:
            self._fail_unreachable(self._server)

    def _fail_unreachable(self, server: _Server) -> None:
        """End this attempt, which could not connect, and those that are queued for the same server."""
        queue, server.queue = server.queue, deque()
        self.give_up_unsent()
        for attempt in queue:
            attempt.give_up_unsent()

    def _write(self, connection: Outgoing) -> None:
        self._connection = connection
        self._sent_at = asyncio.get_running_loop().time()
        left_s = self._end_at - self._sent_at
        self._pool.start(connection, self._message, left_s, self)

    def _time_out(self) -> None:
        # A request that was not written completely has never run, and a rejection may say so.
        if self._in_queue:
            self._finish(Result.NO_ROOM)
            return
        written = self._connection is not None and self._connection.written
        self._finish(Result.TIMEOUT if written else Result.CONNECT_FAILED)

    def _stop_connecting(self) -> None:
        self._timer.cancel()
        if self._server is not None:
            self._server.waiting.discard(self)
        if self._connect is not None:
            self._connect.cancel()
        if self._connect_timer is not None:
            self._connect_timer.cancel()

    def _finish(self, result: Result, response: Reply = None, report: dict[str, float] | None = None) -> None:
        if self._over:
            return
        self._over = True
        self._stop_connecting()
        if self._connection is not None:  # still set: the attempt ends before its answer
            self._connection.abort()
        now = asyncio.get_running_loop().time()
        server_s = self._server_connect_s
        if self._sent_at is not None:
            server_s += max(0.0, self._pool.turns.came(now) - self._sent_at)
            # Hanging attempts use a connection for longest, so they must be included in the mean.
            if self._connection is not None:
                self._pool.wait_queue.record_hold_time(now - self._sent_at)
        if self._in_queue:
            self._pool.dequeued()
        self._on_end(result, response, report, server_s)


class ConnectionPool:
    """Connections to all servers, at most `limit` of them; the newest idle one is used first.

    Parameters
    ----------
    server_idle_s: the servers' idle timeout.
    connect_timeout_s: the time within which a server has to accept a connection.
    reuse_delay_s: pause after an answer before a connection is used again.
    """

    def __init__(
        self, limit: int, server_idle_s: float, connect_timeout_s: float, reuse_delay_s: float = 0.0
    ) -> None:
        self.limit = limit
        self._reuse_delay_s = reuse_delay_s
        # Connections in the pause after an answer, the oldest first, each with the loop's time at which it ends.
        self._awaiting_reuse: deque[tuple[float, _Server, Outgoing]] = deque()
        self._reuse_timer: asyncio.TimerHandle | None = None
        self.connect_timeout_s = connect_timeout_s
        self._idle_s = server_idle_s * IDLE_SHARE
        self._servers: dict[str, _Server] = {}
        self._open: set[Outgoing] = set()
        self._opening: set[asyncio.Task[None]] = set()
        self._sweep_timer: asyncio.TimerHandle | None = None
        self.turns = turns_of(asyncio.get_running_loop())
        self.wait_queue = WaitQueue()
        # Attempts that wait because no connection may be opened; some may have ended.
        self._queue: deque[Attempt] = deque()
        self._queued = 0

    def connection(self) -> Outgoing:
        """Return the protocol object of a new connection, which calls `forget` when it is closed."""
        raise NotImplementedError

    def start(self, connection: MadeConnection, message: Message, wait_s: float, attempt: Attempt) -> None:
        """Write a message whose answer must arrive within `wait_s`."""
        raise NotImplementedError

    def outcome(self, message: Message, reply: Reply) -> tuple[Result, dict[str, float] | None]:
        """Return the result of a complete answer, and the load report in it."""
        raise NotImplementedError

    def forget(self, connection: Outgoing) -> None:
        """Remove a closed connection."""
        self._open.discard(connection)
        self.serve_queue()

    @property
    def size(self) -> int:
        """The number of connections to servers, including those being opened."""
        return len(self._open) + len(self._opening)

    @property
    def endpoints(self) -> dict[str, Address]:
        """The address of each server."""
        return {name: server.endpoint for name, server in self._servers.items()}

    def add(self, name: str, endpoint: Address, launched_ms: float | None = None) -> None:
        """Add a server, or update its endpoint and its start time."""
        # A server that was restarted resets requests on connections from before, so these are closed.
        known = self._servers.get(name)
        if known is None or (known.endpoint, known.launched_ms) != (endpoint, launched_ms):
            self.remove(name)
            self._servers[name] = _Server(endpoint, launched_ms)

    def remove(self, name: str) -> None:
        """Remove a server: its idle connections are closed, and attempts that wait for one end unsent."""
        # An attempt that is connecting while the server starts draining could send its first byte too late.
        server = self._servers.pop(name, None)
        if server is None:
            return
        for connection in server.idle:
            connection.retire()
        server.idle.clear()
        for attempt in list(server.waiting):
            attempt.give_up_unsent()

    def send(
        self,
        name: str,
        message: Message,
        timeout_s: float,
        on_end: OnEnd,
    ) -> Attempt | None:
        """Start an attempt; returns None if no such server was added."""
        server = self._servers.get(name)
        if server is None:
            return None
        attempt = Attempt(self, message, timeout_s, on_end)
        attempt.begin(server)
        return attempt

    @property
    def waiting(self) -> int:
        """The number of attempts in the queue for a connection."""
        return self._queued

    def close(self) -> None:
        """End all connections and attempts."""
        for name in list(self._servers):
            self.remove(name)
        for connection in list(self._open):
            connection.abort()
        for timer in (self._sweep_timer, self._reuse_timer):
            if timer is not None:
                timer.cancel()

    def take_idle(self, server: _Server) -> Outgoing | None:
        """Remove and return the newest usable idle connection to a server; None without one."""
        now = asyncio.get_running_loop().time()
        while server.idle:
            connection = server.idle.pop()
            if now - connection.idle_since < self._idle_s and connection.usable:
                return connection
            connection.retire()
        return None

    @property
    def queue_is_empty(self) -> bool:
        """Whether no attempt waits in the queue."""
        return not self._queued

    def enqueue(self, attempt: Attempt, left_s: float) -> bool:
        """Queue an attempt for a connection; returns False if it is not expected to get one in time."""
        if not self.wait_queue.may_wait(self._queued, self.limit, left_s):
            return False
        self._queue.append(attempt)
        self._queued += 1
        return True

    def dequeued(self) -> None:
        """Count a queued attempt that has ended; it stays in the queue until it is first, and is then skipped."""
        self._queued -= 1

    def serve_queue(self) -> None:
        """Start the queued attempts for which a connection is available or may be opened."""
        while self._queue:
            first = self._queue[0]
            if first.over:
                self._queue.popleft()
            elif first.try_start():
                self._queue.popleft()
                self._queued -= 1
            else:
                return

    def _take_queued(self, server: _Server, now: float) -> Attempt | None:
        """Remove and return the queued attempt that gets a free connection to this server.

        Returns None if there is none, or if the queue's first attempt has waited too long to be overtaken.
        """
        while self._queue and self._queue[0].over:
            self._queue.popleft()
        if not self._queue or now - self._queue[0].began > MAX_OVERTAKEN_HOLDS * self.wait_queue.hold_s:
            return None
        for index in range(min(MAX_SEARCHED, len(self._queue))):
            attempt = self._queue[index]
            if attempt.server is server and not attempt.over:
                del self._queue[index]
                self._queued -= 1
                return attempt
        return None

    def release(self, server: _Server, connection: Outgoing, in_use_s: float) -> None:
        """Return a connection to the pool after its answer."""
        self.wait_queue.record_hold_time(in_use_s)
        if self._reuse_delay_s <= 0.0:
            self._reuse_or_idle(server, connection)
            return
        # A second answer of a server to the same request, some ms after the first, would be taken for the answer to
        # the next request on the connection. During the pause it arrives unrequested, which closes the connection.
        loop = asyncio.get_running_loop()
        self._awaiting_reuse.append((loop.time() + self._reuse_delay_s, server, connection))
        if self._reuse_timer is None:
            self._reuse_timer = loop.call_later(self._reuse_delay_s, self._end_reuse_delays)

    def _end_reuse_delays(self) -> None:
        loop = asyncio.get_running_loop()
        self._reuse_timer = None
        while self._awaiting_reuse and self._awaiting_reuse[0][0] <= loop.time():
            _, server, connection = self._awaiting_reuse.popleft()
            self._reuse_or_idle(server, connection)
        if self._awaiting_reuse and self._reuse_timer is None:
            self._reuse_timer = loop.call_at(self._awaiting_reuse[0][0], self._end_reuse_delays)

    def _reuse_or_idle(self, server: _Server, connection: Outgoing) -> None:
        """Use a connection for the next waiting attempt, or keep it idle."""
        now = asyncio.get_running_loop().time()
        if not connection.usable or server not in self._servers.values():
            connection.retire()
            return
        following = self._take_queued(server, now) or server.next()
        if following is not None:
            following.start_on(connection)
            return
        connection.idle_since = now
        server.idle.append(connection)
        self.serve_queue()
        if self._sweep_timer is None:
            self._sweep_timer = asyncio.get_running_loop().call_later(self._idle_s / 4, self._sweep)

    def may_open(self) -> bool:
        """Whether one more connection may be opened; if necessary, closes the one that was idle for longest."""
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

    def count_opening(self, server: _Server, task: asyncio.Task[None]) -> None:
        """Count a connection that is being opened until its task is done."""
        # Counted from its start, as several sends in one loop iteration would otherwise see the same free capacity.
        self._opening.add(task)
        server.opening += 1
        task.add_done_callback(partial(self._opened, server))

    def _opened(self, server: _Server, task: asyncio.Task[None]) -> None:
        self._opening.discard(task)
        server.opening -= 1
        following = server.next()
        if following is not None:
            following.begin(server)
        self.serve_queue()

    async def open(self, endpoint: Address) -> Outgoing:
        """Connect to a server; raises OSError, or ValueError for an invalid host."""
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(self.connection, *endpoint)
        self._open.add(connection)
        return connection

    def _sweep(self) -> None:
        """Close connections that have been idle for too long."""
        loop = asyncio.get_running_loop()
        self._sweep_timer = None
        oldest_kept = loop.time() - self._idle_s
        for server in self._servers.values():
            while server.idle and server.idle[0].idle_since < oldest_kept:
                server.idle.pop(0).retire()
        if any(server.idle for server in self._servers.values()):
            self._sweep_timer = loop.call_later(self._idle_s / 4, self._sweep)
