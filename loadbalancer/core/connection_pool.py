"""Pooled connections to servers, whatever is spoken on them, and attempts that end with exactly one result.

`ConnectionPool` is a `core.types.Upstream`. What a connection is, what is written on it and what an answer stands for
is for the classes that derive from it to say.
"""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from loadbalancer.core.address import Address
from loadbalancer.core.outgoing import OWN, Outgoing
from loadbalancer.core.turns import turns_of
from loadbalancer.core.types import Message, OnEnd, Reply
from loadbalancer.interface import Result
from loadbalancer.overload.connections import WaitQueue

MadeConnection = Any  # the kind of `Outgoing` that the deriving class makes

IDLE_SHARE = 0.5  # of the time after which a server closes an idle connection: ours is closed well before
SEARCHED = 16  # queued attempts that are checked for one to the server whose connection has become free
MAX_OPENING = 64  # connections that are being opened to one server at a time
OVERDUE_HOLDS = 4.0  # smoothed holds of a connection, after which the first in the queue is no longer passed


@dataclass(slots=True, eq=False)
class _Server:
    """A server, its idle connections and the attempts that wait for one."""

    endpoint: Address
    launched_ms: float | None
    idle: list[Outgoing] = field(default_factory=list)  # newest last
    waiting: set[Attempt] = field(default_factory=set)  # attempts whose connection is not up yet
    opening: int = 0  # connections
    # Attempts that wait for a connection that is being opened, or a free one.
    queue: deque[Attempt] = field(default_factory=deque)

    def next(self) -> Attempt | None:
        """Take the first attempt of the queue that is not over."""
        while self.queue:
            first = self.queue.popleft()
            if not first.over:
                return first
        return None


class Attempt:
    """One request on its way to one server; it ends with exactly one call of `on_end`."""

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
        self._connect_timer: asyncio.TimerHandle | None = None  # with the server that is connected to
        self._in_queue = False  # it waits in the pool's queue for a connection
        self._sent: float | None = None  # when its message was written
        self._connect_s = 0.0  # of connecting, what was not this process's own
        loop = asyncio.get_running_loop()
        self.began = loop.time()
        self._end_at = self.began + timeout_s
        self._timer = loop.call_at(self._end_at, self._time_out)

    @property
    def over(self) -> bool:
        """Whether it has ended."""
        return self._over

    @property
    def server(self) -> _Server | None:
        """The server that it goes to; None before `begin`."""
        return self._server

    def cancel(self) -> None:
        """Give it up; its result is CANCELLED, unless it is over."""
        self._finish(Result.CANCELLED)

    def give_up_unsent(self) -> None:
        """Give up before anything was sent."""
        self._finish(Result.CONNECT_FAILED)

    def give_up_unwritten(self) -> None:
        """Give up, for no fault of the server's, unless it has been written completely."""
        # A server begins a request with its last byte, which left long after the caller had gone.
        if self._sent is None or (self._connection is not None and not self._connection.written):
            self._finish(Result.MOOT)

    def answered(self, response: Reply) -> None:
        """End with a server's complete answer; the connection goes back to the pool."""
        connection, self._connection = self._connection, None
        if connection is not None and self._server is not None:
            held_s = asyncio.get_running_loop().time() - (self._sent or self.began)
            self._pool.release(self._server, connection, held_s)
        result, report = self._pool.outcome(self._message, response)
        self._finish(result, response, report)

    def lost(self, written: bool) -> None:
        """End without an answer, as the connection is gone; `written`: the request's last byte had left."""
        self._connection = None
        self._finish(Result.RESET if written else Result.CONNECT_FAILED)

    def begin(self, server: _Server) -> None:
        """Get a connection to this server at once, or wait in the pool's queue for one."""
        self._server = server
        if self._pool.queue_is_empty and self.go():
            return
        if self._pool.enqueue(self, self._end_at - self.began):
            server.waiting.add(self)
            self._in_queue = True
        else:
            # Reported later, as every result is, so that the action that started the attempt is over by then.
            asyncio.get_running_loop().call_soon(self._finish, Result.NO_ROOM)

    def go(self) -> bool:
        """Use an idle connection or open one; False if neither can be had."""
        server = self._server
        if server is None:
            raise RuntimeError("an attempt was sent before it began")
        connection = self._pool.take_idle(server)
        if connection is not None:
            self.use(connection)
        elif server.opening >= MAX_OPENING:
            # A burst opened a connection for each of its requests, which cost the core more than the answers
            # and took turns that were longer than those of a free one.
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

    def use(self, connection: Outgoing) -> None:
        """Send the request on this connection."""
        self._in_queue = False
        if self._server is not None:
            self._server.waiting.discard(self)
        self._write(connection)

    async def _open(self, server: _Server) -> None:
        loop, turns = asyncio.get_running_loop(), self._pool.turns
        began, spent = loop.time(), turns.spent_s
        self._limit_connect(loop, began, spent)
        try:
            connection = await self._pool.open(server.endpoint)
        except (OSError, ValueError) as error:  # ValueError: what the list gives as its host can be none
            self._connect = None
            # A descriptor that this process lacked was taken for a server that could not be reached.
            if isinstance(error, OSError) and error.errno in OWN:
                self._finish(Result.NO_ROOM)
            else:
                self._not_reached(server)
            return
        self._connect = None
        if self._connect_timer is not None:
            self._connect_timer.cancel()
        # While the loop had something to do it can't be told whether the server had answered already.
        self._connect_s = max(0.0, loop.time() - began - (turns.spent_s - spent))
        server.waiting.discard(self)
        if self._over:
            connection.abort()
        elif not connection.usable:
            # What was written to a connection that had ended already counted as a request that may have run.
            connection.abort()
            self.give_up_unsent()
        else:
            self._write(connection)

    def _limit_connect(self, loop: asyncio.AbstractEventLoop, began: float, spent: float) -> None:
        """Give up connecting when the server has had its time.

        Behind long turns of this process's own, servers that accepted at once were given up and tried elsewhere.
        """
        own = self._pool.turns.spent_s - spent
        left = began + own + self._pool.connect_timeout_s - loop.time()
        if left > 0.0:
            self._connect_timer = loop.call_later(left, self._limit_connect, loop, began, spent)
        elif self._server is not None:
            self._not_reached(self._server)

    def _not_reached(self, server: _Server) -> None:
        """Give up unsent this attempt, which could not connect, and those that wait behind it."""
        queue, server.queue = server.queue, deque()
        self.give_up_unsent()
        for attempt in queue:
            attempt.give_up_unsent()

    def _write(self, connection: Outgoing) -> None:
        self._connection = connection
        self._sent = asyncio.get_running_loop().time()
        left = self._end_at - self._sent
        self._pool.start(connection, self._message, left, self)

    def _time_out(self) -> None:
        # What has not been written completely has never run, and a rejection may then say so.
        if self._in_queue:
            self._finish(Result.NO_ROOM)
            return
        sent = self._connection is not None and self._connection.written
        self._finish(Result.TIMEOUT if sent else Result.CONNECT_FAILED)

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
        if self._connection is not None:  # closing is how an attempt is given up
            self._connection.abort()
        now = asyncio.get_running_loop().time()
        server_s = self._connect_s
        if self._sent is not None:
            server_s += max(0.0, self._pool.turns.came(now) - self._sent)
            # What hangs holds a connection for longest, and was not counted.
            if self._connection is not None:
                self._pool.wait_queue.note_held(now - self._sent)
        if self._in_queue:
            self._pool.dequeued()
        self._on_end(result, response, report, server_s)


class ConnectionPool:
    """Connections to all servers, at most `limit` of them, the newest idle one used first.

    Parameters
    ----------
    server_idle_s: after which servers close an idle connection.
    connect_timeout_s: within which a server has to accept.
    rest_s: how long a connection carries nothing after an answer.
    """

    def __init__(
        self, limit: int, server_idle_s: float, connect_timeout_s: float, rest_s: float = 0.0
    ) -> None:
        self.limit = limit
        self._rest_s = rest_s
        # Connections that rest, the oldest first, each with the loop's time at which its rest is over.
        self._resting: deque[tuple[float, _Server, Outgoing]] = deque()
        self._rest_timer: asyncio.TimerHandle | None = None
        self.connect_timeout_s = connect_timeout_s
        self._idle_s = server_idle_s * IDLE_SHARE
        self._servers: dict[str, _Server] = {}
        self._open: set[Outgoing] = set()
        self._opening: set[asyncio.Task[None]] = set()
        self._sweep_timer: asyncio.TimerHandle | None = None
        self.turns = turns_of(asyncio.get_running_loop())
        self.wait_queue = WaitQueue()
        # Attempts without a connection for want of capacity; some may be over.
        self._queue: deque[Attempt] = deque()
        self._queued = 0

    def connection(self) -> Outgoing:
        """Return a new protocol for a connection, which calls `forget` when it is gone."""
        raise NotImplementedError

    def start(self, connection: MadeConnection, message: Message, wait_s: float, attempt: Attempt) -> None:
        """Write a message whose answer is waited for `wait_s`."""
        raise NotImplementedError

    def outcome(self, message: Message, reply: Reply) -> tuple[Result, dict[str, float] | None]:
        """Return the outcome that a complete answer stands for, and the load report that it holds."""
        raise NotImplementedError

    def forget(self, connection: Outgoing) -> None:
        """Drop a connection that is gone."""
        self._open.discard(connection)
        self.serve_queue()

    @property
    def size(self) -> int:
        """Connections to servers, those that are being opened too."""
        return len(self._open) + len(self._opening)

    @property
    def endpoints(self) -> dict[str, Address]:
        """The servers that are named, and where each is."""
        return {name: server.endpoint for name, server in self._servers.items()}

    def add(self, name: str, endpoint: Address, launched_ms: float | None = None) -> None:
        """Add a server, or take its new endpoint or its latest start."""
        # A machine that vanished and is back resets what is written to connections from before.
        known = self._servers.get(name)
        if known is None or (known.endpoint, known.launched_ms) != (endpoint, launched_ms):
            self.remove(name)
            self._servers[name] = _Server(endpoint, launched_ms)

    def remove(self, name: str) -> None:
        """Send nothing more to this server: what waits for a connection to it is given up unsent."""
        # An attempt that waits to connect as the drain is reported could send its first byte too late.
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
        """Start an attempt; None if no such server was added."""
        server = self._servers.get(name)
        if server is None:
            return None
        attempt = Attempt(self, message, timeout_s, on_end)
        attempt.begin(server)
        return attempt

    @property
    def waiting(self) -> int:
        """Attempts that wait in the queue for a connection."""
        return self._queued

    def close(self) -> None:
        """End all connections and attempts."""
        for name in list(self._servers):
            self.remove(name)
        for connection in list(self._open):
            connection.abort()
        for timer in (self._sweep_timer, self._rest_timer):
            if timer is not None:
                timer.cancel()

    def take_idle(self, server: _Server) -> Outgoing | None:
        """Take the newest idle connection to a server that can be used; None without one."""
        now = asyncio.get_running_loop().time()
        while server.idle:
            connection = server.idle.pop()
            if now - connection.idle_since < self._idle_s and connection.usable:
                return connection
            connection.retire()
        return None

    @property
    def queue_is_empty(self) -> bool:
        """Whether no attempt waits for a connection."""
        return not self._queued

    def enqueue(self, attempt: Attempt, left_s: float) -> bool:
        """Queue an attempt for a connection; False where it can't be expected to get one in time."""
        if not self.wait_queue.may_wait(self._queued, self.limit, left_s):
            return False
        self._queue.append(attempt)
        self._queued += 1
        return True

    def dequeued(self) -> None:
        """Count out an attempt of the queue that is over; it is passed when its turn comes."""
        self._queued -= 1

    def serve_queue(self) -> None:
        """Send the queued attempts for which there is capacity now."""
        while self._queue:
            first = self._queue[0]
            if first.over:
                self._queue.popleft()
            elif first.go():
                self._queue.popleft()
                self._queued -= 1
            else:
                return

    def _next_for(self, server: _Server, now: float) -> Attempt | None:
        """Take the queued attempt that gets a free connection to this server.

        None if there is none, or the first of the queue has waited for too long to be passed.
        """
        while self._queue and self._queue[0].over:
            self._queue.popleft()
        if not self._queue or now - self._queue[0].began > OVERDUE_HOLDS * self.wait_queue.hold_s:
            return None
        for at in range(min(SEARCHED, len(self._queue))):
            attempt = self._queue[at]
            if attempt.server is server and not attempt.over:
                del self._queue[at]
                self._queued -= 1
                return attempt
        return None

    def release(self, server: _Server, connection: Outgoing, held_s: float) -> None:
        """Take back a connection that has brought its answer."""
        self.wait_queue.note_held(held_s)
        if self._rest_s <= 0.0:
            self._free(server, connection)
            return
        # A server's second answer to one request, some ms after the first, was taken for the answer to the
        # next request on that connection. Now it comes while nothing is requested, which ends the connection.
        loop = asyncio.get_running_loop()
        self._resting.append((loop.time() + self._rest_s, server, connection))
        if self._rest_timer is None:
            self._rest_timer = loop.call_later(self._rest_s, self._end_rests)

    def _end_rests(self) -> None:
        loop = asyncio.get_running_loop()
        self._rest_timer = None
        while self._resting and self._resting[0][0] <= loop.time():
            _, server, connection = self._resting.popleft()
            self._free(server, connection)
        if self._resting and self._rest_timer is None:
            self._rest_timer = loop.call_at(self._resting[0][0], self._end_rests)

    def _free(self, server: _Server, connection: Outgoing) -> None:
        """Give a connection the next request, or keep it idle."""
        now = asyncio.get_running_loop().time()
        if not connection.usable or server not in self._servers.values():
            connection.retire()
            return
        following = self._next_for(server, now) or server.next()
        if following is not None:
            following.use(connection)
            return
        connection.idle_since = now
        server.idle.append(connection)
        self.serve_queue()
        if self._sweep_timer is None:
            self._sweep_timer = asyncio.get_running_loop().call_later(self._idle_s / 4, self._sweep)

    def may_open(self) -> bool:
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

    def count_opening(self, server: _Server, task: asyncio.Task[None]) -> None:
        """Count a connection that is being opened until its task is done."""
        # Counted from its start, as several sends of one turn of the loop would all see the same capacity.
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
        """Connect to a server; raises OSError, or ValueError for a host that can be none."""
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
