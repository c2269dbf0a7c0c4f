"""A listener, whatever is spoken: it keeps callers' connections within their share of the descriptors."""

from __future__ import annotations

import asyncio
import contextlib
import select
import socket
import struct
from itertools import islice

from loadbalancer.core.outgoing import OWN, readable, waits
from loadbalancer.core.turns import turns_of
from loadbalancer.overload.connections import SILENT_S, ConnectionLimit

BACKLOG = 4096  # connections that may wait in the kernel, where it allows so many
SPARED_IDLE_S = (
    2.0  # a connection idle for less is spared while capacity is short, unless a request waits for it
)
LINGER_S = 0.5  # how long what a caller still sends after a fatal answer is read and dropped
SWEEP_S = 0.1  # between two sweeps of connections that have been in a stage for too long
NEW_CONNECTION_S = 0.2  # a connection this new is not closed for carrying nothing: its request may follow
SPARE_CONNECTIONS = (
    4  # slots for connections of which it shows only later that they can't be rejected at once
)
MAX_ACCEPTED = 64  # connections that are accepted in one turn, at most,
MAX_EXAMINED = 1024  # and those that are examined, the others being rejected
SEARCHED = 16  # connections that are checked, at most, to free a slot for one
TCP_INFO = getattr(socket, "TCP_INFO", None)
LAST_DATA_RECEIVED = struct.Struct("@52xI")  # of Linux's struct tcp_info, in ms: tcpi_last_data_recv


def waited_s(sock: socket.socket | None) -> float:
    """Return the time since the kernel received the latest bytes, to some ms; 0 where it does not tell (Linux does).

    What comes on a connection that has yet to be accepted waits unseen by the loop, and its time runs.
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
        """Take the transport and report the connection to the listener; called by asyncio."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._server.opened(self)

    def eof_received(self) -> bool:
        """Have the connection closed when the caller has closed it; called by asyncio."""
        return False

    def arrived(self) -> float:
        """Return the earliest loop time at which what is handled now came; to be called for each part that comes."""
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
        """Close at once, unsent bytes included."""
        self._closing = True
        self._server.closed(self)
        self._transport.abort()

    def close_if_idle(self) -> bool:
        """Close where no request is open, but not with bytes already waiting in the kernel."""
        raise NotImplementedError

    def expire(self) -> None:
        """Handle that its time in this stage is over."""
        raise NotImplementedError

    def abort_if_read(self) -> None:
        """Close what has had its last answer, unless a slow reader has yet to take it and has time left.

        It was cut off after the time that only a flushed one may linger.
        """
        if self.flushed or self.since <= self._server.loop.time() - self._server.request_s:
            self.abort()

    def reject_partial(self) -> None:
        """Reject a request that has come in part, as this process ends."""

    def _end(self) -> None:
        """Close, reading on for a moment: closing over unread bytes would reset the answer away."""
        self._closing = True
        if not self._transport.is_closing():
            # On a connection that has just been reset there is no end to be written, which ended the callback.
            with contextlib.suppress(OSError):
                self._transport.write_eof()
            self._server.stage(self, self._server.lingering)


Stage = dict[IncomingConnection, None]  # in the order of coming into it


class Listener:
    """Listens, and keeps the callers' connections within their share of the descriptors.

    A connection without an open request is in a stage: it owes a request (`waiting`), idles, or lingers after its end.

    Parameters
    ----------
    limit: connections that are kept, at most.
    orderly: beyond the limit, connections wait in the kernel, and none is closed but with its answer. Else accepting
        never stops, and what carries nothing is closed to free a slot.
    """

    def __init__(self, limit: int, orderly: bool = False) -> None:
        self.loop = asyncio.get_running_loop()
        self.turns = turns_of(self.loop)
        self.connection_limit = ConnectionLimit(limit)
        self.orderly = orderly
        self.short = 0  # how often the process had no descriptor for a connection
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

    def connection(self) -> asyncio.Protocol:
        """Return a new protocol for a caller's connection, which calls `opened`, `stage` and `closed`."""
        raise NotImplementedError

    @property
    def request_s(self) -> float:
        """Time within which a request has to come in completely, from connecting or from its first byte."""
        raise NotImplementedError

    @property
    def idle_s(self) -> float:
        """Time after which a connection that carries nothing is closed."""
        raise NotImplementedError

    def refused_at_once(self, found: socket.socket, no_place: bool, enough: bool) -> bool:
        """Whether a new connection was answered that its request can't be taken, and closed.

        That is done where the complete request has come already and can be told apart cheaply, and there is no slot for
        it (`no_place`) or enough have been accepted in this turn (`enough`). False leaves the connection as it was.
        """
        return False

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
            return not self.connection_limit.may_keep(self.held)
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
    def active_requests(self) -> int:
        """Connections with an open request."""
        return len(self.connections) - len(self.waiting) - len(self.idle) - len(self.lingering)

    def may_begin(self) -> bool:
        """Whether the request that has come on a connection may be taken; it is counted as under way already."""
        if self.orderly:
            return self.connection_limit.may_begin(self.active_requests - 1)
        # While a sibling restarted, 200 connections idle for under 2 s held all the slots, and requests
        # were refused beside 10 open ones. So a complete request takes the slot of the one idle for longest,
        # however short; a mere connection doesn't. It would hurt where connecting costs callers much.
        return self.close_excess(spared_s=0.0)

    @property
    def address(self) -> tuple[str, int]:
        """Host and port that it listens at; raises RuntimeError before it does."""
        if self._address is None:
            raise RuntimeError("the listener has no socket yet")
        return self._address

    @staticmethod
    def bind(host: str, port: int) -> socket.socket:
        """Return a socket that callers can connect to, though nothing is accepted yet; raises OSError."""
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        # Only of a socket that names its protocol does asyncio turn Nagle's algorithm off, which would hold a
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
        """Bind to this address and serve; raises OSError."""
        await self.serve(self.bind(host, port))

    async def serve(self, raw: socket.socket) -> None:
        """Accept callers' connections from a bound socket."""
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
        """Accept some of the connections that wait in the kernel, as far as there is capacity."""
        if self._listener is None:
            return
        # Closed ones go a turn or two later: a few at a time keep a burst within the descriptors.
        free_slots = to_accept = max(1, self.limit // 20)
        if self.orderly:
            held = self.held  # before slots are freed
            spare = min(SPARE_CONNECTIONS, self.limit // 4)
            free_slots = self.connection_limit.may_accept(held + spare) or int(self._free_one())
            if not free_slots and held >= self.limit:
                self._pause()
                return
            to_accept = min(free_slots, MAX_ACCEPTED)
        for _ in range(MAX_EXAMINED):
            found = self._accept_one(self._listener)
            if found is None:
                return
            if self.orderly and self.refused_at_once(found, free_slots <= 0, to_accept <= 0):
                continue
            # What can't be rejected so is accepted, one too many at the most.
            task = self.loop.create_task(self._take(found))
            self._accepted.add(task)
            task.add_done_callback(self._accepted.discard)
            to_accept -= 1
            free_slots -= 1
            # Behind long turns those that were left in the kernel waited there until they were late: what comes
            # after enough have been taken is rejected for as long as it has waited too long already.
            if to_accept < 0 or (to_accept <= 0 and not self.orderly):
                return

    def _accept_one(self, listener: socket.socket) -> socket.socket | None:
        """Accept a connection; None if none waits or can be had."""
        try:
            found, _ = listener.accept()
        except (BlockingIOError, InterruptedError, ConnectionAbortedError):
            return None
        except OSError as error:
            if error.errno not in OWN:
                raise
            # A listener that is readable and can't be accepted from has the loop turn without end.
            self.short += 1
            self._pause()
            return None
        found.setblocking(False)
        return found

    async def _take(self, found: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(self.connection, found)
        except OSError:
            found.close()

    def _free_one(self) -> bool:
        """Free a slot by closing what has had its answer; else time out connections that have long sent nothing."""
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
        """Count a new connection, which owes a request."""
        self.connections[connection] = None
        if not self.orderly:
            self.close_excess()  # Accepting never stops
        self.stage(connection, self.waiting)

    def closed(self, connection: IncomingConnection) -> None:
        """Forget a connection that is gone."""
        self.stage(connection, None)
        self.connections.pop(connection, None)
        if self.orderly and self.connection_limit.may_accept(self.held):
            self._resume()

    def stage(self, connection: IncomingConnection, stage: Stage | None) -> None:
        """Move a connection to a stage, None while a request is open; to stay in one changes nothing."""
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
        # A new connection closed with no answer is a request refused, or lost, without a word.
        fresh = self.loop.time() - NEW_CONNECTION_S
        for connection in [*self.waiting, *self.idle]:
            if (connection.known or connection.since <= fresh) and connection.flushed:
                connection.close_if_idle()

    def finish_last(self) -> bool:
        """End what can be ended, with an answer where one is owed.

        Returns whether something is left that has yet to be read or has not left this process.
        """
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
        """Accept what has connected by now, stop listening, and close each connection after its answer."""
        if self._accepting:
            # What waited in the kernel when a reload removed the listener was reset with no answer.
            self._accept()
        self.close()
        self.stopping = True

    def close(self) -> None:
        """Stop listening; what is connected still ends in its time.

        A caller that had sent half a request kept the listener of a configuration of before for good.
        """
        if self._listener is not None:
            self._pause()
            self._listener.close()
            self._listener = None

    def close_excess(self, spared_s: float = SPARED_IDLE_S) -> bool:
        """Close connections that carry nothing until the limit is kept; False if that is not enough."""
        while self.crowded:
            if not self._close_one(spared_s):
                return False
        return True

    def _close_one(self, spared_s: float) -> bool:
        """Close one: first what has had its last answer, then what never sent a request, then what idles longest."""
        # Of a caller that reads slowly, an answer that had not left was cut off to free a slot.
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
        if not self.orderly or self.connection_limit.may_accept(self.held) or not self.active_requests:
            self._resume()
        if self._listener is not None or self.connections:
            self.loop.call_later(SWEEP_S, self._sweep)
