"""The callers' side, whatever is spoken: a listener that keeps callers' connections within their share of the
descriptors."""

from __future__ import annotations

import asyncio
import contextlib
import select
import socket
import struct
from itertools import islice
from typing import Any

from loadbalancer.core.outgoing import OWN, readable, waits
from loadbalancer.core.turns import turns_of
from loadbalancer.overload.connections import SILENT_S, ConnectionLimit

BACKLOG = 4096  # connections that wait in the kernel, where it allows so many
SPARED_IDLE_S = 2.0  # of which an idle connection is spared where room is short and no request waits for it
LINGER_S = 0.5  # how long what a caller still sends after a fatal answer is read and dropped
SWEEP_S = 0.1
NEW_CONNECTION_S = 0.2  # a connection this new is not closed for carrying nothing: its request may follow
SPARE_CONNECTIONS = (
    4  # places for connections of which it is seen only then that they can't be refused at once
)
MAX_ACCEPTED = 64  # connections that are taken in one turn, at most,
MAX_EXAMINED = 1024  # and those that are looked at, the others being refused
SEARCHED = 16  # connections that are looked at, at most, to make room for one
TCP_INFO = getattr(socket, "TCP_INFO", None)
LAST_DATA_RECEIVED = struct.Struct("@52xI")  # of Linux's struct tcp_info, in ms: tcpi_last_data_recv


def waited_s(sock: Any) -> float:
    """Since the kernel had the latest bytes of a connection, to some ms; 0 where it does not tell (Linux does).

    Guard: what comes on a connection that has yet to be accepted waits unseen by the loop, and its time runs.
    """
    if TCP_INFO is None or sock is None:
        return 0.0
    try:
        data = sock.getsockopt(socket.IPPROTO_TCP, TCP_INFO, LAST_DATA_RECEIVED.size)
    except OSError:
        return 0.0
    waited: int = LAST_DATA_RECEIVED.unpack(data)[0] if len(data) == LAST_DATA_RECEIVED.size else 0
    return waited / 1000.0


class IncomingConnection(asyncio.Protocol):
    """What callers' connections have in common, whatever is spoken on them."""

    def __init__(self, server: Listener) -> None:
        self._server = server
        self._transport: asyncio.Transport
        self._closing = False  # the last answer has been written, or will be with what is in hand
        self.known = False  # a request that could be used has come on it
        self.since = 0.0  # the loop's time at which it came into the stage that it is in
        self.silent = True  # nothing has come on it

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._server.opened(self)

    def eof_received(self) -> bool:
        return False

    def arrived(self) -> float:
        """The loop's time at which what is handled now came, at the earliest; called for each part that comes."""
        now = self._server.loop.time()
        came = self._server.turns.came(now)
        if self.silent and self._server.orderly:
            came = min(came, now - waited_s(self._transport.get_extra_info("socket")))
        self.silent = False
        return came

    @property
    def drained(self) -> bool:
        """Whether closing it now loses nothing that was written, nor resets it by what is unread."""
        return self.flushed and not readable(self._transport)

    @property
    def flushed(self) -> bool:
        """Whether all that was written has left this process."""
        return not self._transport.get_write_buffer_size()

    def abort(self) -> None:
        self._closing = True
        self._server.closed(self)
        self._transport.abort()

    def close_if_idle(self) -> bool:
        """Close where no request is open, but not with bytes already waiting in the kernel."""
        raise NotImplementedError

    def expire(self) -> None:
        """Its time in this stage is over."""
        raise NotImplementedError

    def abort_if_read(self) -> None:
        """Close what has had its last answer, unless a slow reader has yet to take it and has time left.

        Guard: it was cut off after the time that only a flushed one may linger.
        """
        if self.flushed or self.since <= self._server.loop.time() - self._server.request_s:
            self.abort()

    def reject_partial(self) -> None:
        """Refuse what has come in part, as this process ends."""

    def _end(self) -> None:
        """Close, reading on for a moment: closing over unread bytes would reset the answer away."""
        self._closing = True
        if not self._transport.is_closing():
            # Guard: on a connection that has just been reset there is no end to be written, which ended the callback.
            with contextlib.suppress(OSError):
                self._transport.write_eof()
            self._server.stage(self, self._server.lingering)


Stage = dict[IncomingConnection, None]  # in the order of coming into it


class Listener:
    """Listens, and keeps the callers' connections within their share of the descriptors.

    A connection without an open request is in a stage: it owes a request, idles, or lingers after its end.
    """

    def __init__(self, limit: int, orderly: bool = False) -> None:
        """`orderly`: beyond the limit, connections wait in the kernel, and none is closed but with its answer. Else
        accepting never stops, and what carries nothing is closed to make room."""
        self.loop = asyncio.get_running_loop()
        self.turns = turns_of(self.loop)
        self.connection_limit = ConnectionLimit(limit)
        self.orderly = orderly
        self.short = 0  # times that the process had no descriptor for a connection
        self.ready = False
        self.stopping = False
        self.connections: dict[IncomingConnection, Stage | None] = {}
        self.waiting: Stage = {}
        self.idle: Stage = {}
        self.lingering: Stage = {}
        self._listener: socket.socket | None = None
        self._address: tuple[str, int] | None = None
        self._accepting = False
        self._accepted: set[asyncio.Task[None]] = set()  # accepted, with no protocol yet

    # ------------------------------------------------------------- for protocols

    def connection(self) -> asyncio.Protocol:
        """A caller's connection; it tells `opened`, `stage` and `closed`."""
        raise NotImplementedError

    @property
    def request_s(self) -> float:
        """Within which a request has to come in whole, from connecting or from its first byte."""
        raise NotImplementedError

    @property
    def idle_s(self) -> float:
        """After which a connection that carries nothing is closed."""
        raise NotImplementedError

    def refused_at_once(self, found: socket.socket, no_place: bool, enough: bool) -> bool:
        """Whether a new connection has been told that its request can't be taken, and closed: where all of that has
        come already and can be told apart cheaply, and there is no place for it or enough have been taken in this
        turn. False leaves it as it was."""
        return False

    # ------------------------------------------------------------------- for fronts

    @property
    def limit(self) -> int:
        """Connections that are kept, at most."""
        return self.connection_limit.limit

    @limit.setter
    def limit(self, limit: int) -> None:
        self.connection_limit = ConnectionLimit(limit)

    @property
    def crowded(self) -> bool:
        """Whether a connection is closed with its answer."""
        if self.orderly:
            return not self.connection_limit.keeps(self.held)
        return len(self.connections) > self.limit

    @property
    def held(self) -> int:
        """Connections, those too that have no protocol yet."""
        return len(self.connections) + len(self._accepted)

    @property
    def paused(self) -> bool:
        """Whether new connections are left in the kernel for now."""
        return self._listener is not None and not self._accepting

    @property
    def under_way(self) -> int:
        """Connections with an open request."""
        return len(self.connections) - len(self.waiting) - len(self.idle) - len(self.lingering)

    def begins(self) -> bool:
        """Whether the request that has come on a connection may be taken, one being counted as under way already."""
        if self.orderly:
            return self.connection_limit.begins(self.under_way - 1)
        # Guard: while a sibling restarted, 200 connections idle for under 2 s held all the room, and requests
        # were refused beside 10 open ones. So a whole request takes the place of the one idle for longest,
        # however short; a mere connection doesn't. It would hurt where connecting costs callers much.
        return self.close_excess(spared_s=0.0)

    @property
    def address(self) -> tuple[str, int]:
        assert self._address is not None
        return self._address

    @staticmethod
    def bind(host: str, port: int) -> socket.socket:
        """A socket that callers can connect to, though nothing is taken from it yet; OSError without one."""
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        # Guard: only of a socket that names its protocol does asyncio turn Nagle's algorithm off, which would hold a
        # second small answer back until the first one has been acknowledged, for 40 ms.
        found = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
        try:
            found.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            if family == socket.AF_INET6:
                found.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_V6ONLY, 1)
            found.bind((host, port))
            found.listen(BACKLOG)
        except OSError:
            found.close()
            raise
        return found

    async def listen(self, host: str, port: int) -> None:
        await self.serve(self.bind(host, port))

    async def serve(self, raw: socket.socket) -> None:
        """Take callers' connections from a bound socket."""
        raw.setblocking(False)
        self._listener = raw
        self._address = raw.getsockname()[:2]
        self._resume()
        self._sweep()

    def _resume(self) -> None:
        """Accept, if that was paused."""
        if self._listener is not None and not self._accepting:
            self._accepting = True
            self.loop.add_reader(self._listener.fileno(), self._accept)

    def _pause(self) -> None:
        if self._listener is not None and self._accepting:
            self._accepting = False
            self.loop.remove_reader(self._listener.fileno())

    def _accept(self) -> None:
        """Take some of those that wait in the kernel, as far as there is room."""
        assert self._listener is not None
        # Guard: closed ones go a turn or two later: a few at a time keep a burst within the descriptors.
        room = most = max(1, self.limit // 20)
        if self.orderly:
            held = self.held  # before room is made
            spare = min(SPARE_CONNECTIONS, self.limit // 4)
            room = self.connection_limit.may_accept(held + spare) or int(self._free_one())
            if not room and held >= self.limit:
                self._pause()
                return
            most = min(room, MAX_ACCEPTED)
        for _ in range(MAX_EXAMINED):
            try:
                found, _ = self._listener.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                if error.errno not in OWN:
                    raise
                # Guard: a listener that is readable and can't be accepted from has the loop turn without end.
                self.short += 1
                self._pause()
                return
            found.setblocking(False)
            if self.orderly and self.refused_at_once(found, room <= 0, most <= 0):
                continue
            # What can't be refused so is taken, one too many at the most.
            task = self.loop.create_task(self._take(found))
            self._accepted.add(task)
            task.add_done_callback(self._accepted.discard)
            most -= 1
            room -= 1
            # Guard: behind long turns those that were left in the kernel waited there until they were late: what comes
            # after enough have been taken is refused for as long as it has waited too long already.
            if most < 0 or (most <= 0 and not self.orderly):
                return

    async def _take(self, found: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(self.connection, found)
        except OSError:
            found.close()

    def _free_one(self) -> bool:
        """Make room for one in an orderly way: what has had its answer, else what has long said nothing, is told."""
        for connection in islice(self.lingering, SEARCHED):
            if connection.drained:
                connection.abort()
                return True
        since = self.loop.time() - SILENT_S
        for connection in list(islice(self.waiting, SEARCHED)):
            if connection.since <= since and connection.silent:
                connection.expire()
        return False

    def opened(self, connection: IncomingConnection) -> None:
        self.connections[connection] = None
        if not self.orderly:
            self.close_excess()  # Guard: accepting never stops
        self.stage(connection, self.waiting)

    def closed(self, connection: IncomingConnection) -> None:
        self.stage(connection, None)
        self.connections.pop(connection, None)
        if self.orderly and self.connection_limit.may_accept(self.held):
            self._resume()

    def stage(self, connection: IncomingConnection, stage: Stage | None) -> None:
        """Move a connection to a stage, None while a request is open. To stay in one changes nothing."""
        was = self.connections.get(connection)
        if connection in self.connections and was is not stage:
            if was is not None:
                del was[connection]
            if stage is not None:
                stage[connection] = None
            self.connections[connection] = stage
            connection.since = self.loop.time()

    def close_idle(self) -> None:
        """Close what carries nothing, but not what has just come or still has an answer to take."""
        # Guard: a new connection closed with no answer is a request refused, or lost, without a word.
        fresh = self.loop.time() - NEW_CONNECTION_S
        for connection in [*self.waiting, *self.idle]:
            if (connection.known or connection.since <= fresh) and connection.flushed:
                connection.close_if_idle()

    def finish_last(self) -> bool:
        """End what can be ended, with an answer where one is owed; whether something is left that has yet to be read
        or has not left this process."""
        for connection in [*self.waiting, *self.idle]:
            if connection.flushed and not connection.close_if_idle():
                connection.reject_partial()
        left = any(
            stage is not self.lingering or not connection.drained
            for connection, stage in self.connections.items()
        )
        coming = self._listener is not None and waits(self._listener, select.POLLIN)
        return left or coming or bool(self._accepted)

    def retire(self) -> None:
        """Take what has connected by now, listen no more, and close each connection after its answer."""
        if self._accepting:
            # Guard: what waited in the kernel when a reload removed the listener was reset with no answer.
            self._accept()
        self.close()
        self.stopping = True

    def close(self) -> None:
        """Listen no more. What is connected still ends in its time.

        Guard: a caller that had sent half a request kept the listener of a configuration of before for good.
        """
        if self._listener is not None:
            self._pause()
            self._listener.close()
            self._listener = None

    def close_excess(self, spared_s: float = SPARED_IDLE_S) -> bool:
        """Come within the limit by closing what carries nothing; False if that is not enough."""
        while self.crowded:
            if not self._close_one(spared_s):
                return False
        return True

    def _close_one(self, spared_s: float) -> bool:
        """What has had its last answer goes first, then what never asked, then what idles longest."""
        # Guard: of a caller that reads slowly, an answer that had not left was cut off to make room.
        for connection in islice(self.lingering, SEARCHED):
            if connection.flushed:
                connection.abort()
                return True
        for connection in islice(self.waiting, SEARCHED):
            if not connection.known and connection.flushed and connection.close_if_idle():
                return True
        spared = self.loop.time() - spared_s
        for connection in islice(self.idle, SEARCHED):
            if connection.since <= spared and connection.flushed and connection.close_if_idle():
                return True
        return False

    def _sweep(self) -> None:
        """End what has been in its stage for too long."""
        now = self.loop.time()
        stages = ((self.waiting, self.request_s), (self.idle, self.idle_s), (self.lingering, LINGER_S))
        for stage, limit_s in stages:
            for connection in list(stage):
                if connection.since > now - limit_s:
                    break
                connection.expire()
        if not self.orderly or self.connection_limit.may_accept(self.held) or not self.under_way:
            self._resume()
        if self._listener is not None or self.connections:
            self.loop.call_later(SWEEP_S, self._sweep)
