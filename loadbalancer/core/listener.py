"""A listener for any protocol, which keeps callers' connections within their share of the file descriptors."""

from __future__ import annotations

import asyncio
import contextlib
import select
import socket
import struct
from itertools import islice

from loadbalancer.core.outgoing import LOCAL_RESOURCE_ERRORS, has_pending_event, readable
from loadbalancer.core.turns import turns_of
from loadbalancer.overload.connections import NO_DATA_TIMEOUT_S, ConnectionLimit

BACKLOG = 4096  # connections that may wait in the kernel, which may set a lower limit
MIN_IDLE_TO_CLOSE_S = 2.0  # more recently used connections are closed only to free a slot for a request
LINGER_S = 0.5  # how long bytes that arrive after a connection's last answer are read and dropped
SWEEP_S = 0.1  # between two sweeps of connections that have been in a stage for too long
NEW_CONNECTION_S = 0.2  # a connection this new is not closed as idle, as its request may follow
SPARE_CONNECTIONS = 4  # slots for connections that turn out, once accepted, not to be rejectable unparsed
MAX_ACCEPTED = 64  # connections accepted in one loop iteration
MAX_EXAMINED = 1024  # connections accepted or rejected in one loop iteration
MAX_SEARCHED = 16  # connections that are checked for one to close when a slot is needed
TCP_INFO = getattr(socket, "TCP_INFO", None)
LAST_DATA_RECEIVED = struct.Struct("@52xI")  # of Linux's struct tcp_info, in ms: tcpi_last_data_recv


def waited_s(sock: socket.socket | None) -> float:
    """Return the time since the kernel received the latest bytes, to some ms; 0 where it is unknown (not on Linux).

    A request on a connection that waits in the kernel to be accepted is not visible to the loop, but its deadline runs.
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
    """A caller's connection, for any protocol."""

    def __init__(self, server: Listener) -> None:
        self._server = server
        self._transport: asyncio.Transport
        self._closing = False  # the last answer has been written, or is being written
        self.known = False  # whether a valid request has arrived on it
        self.stage_entered_at = 0.0  # the loop's time at which it entered its current stage
        self.received_nothing = True  # whether no byte has arrived on it

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and report the connection to the listener; called by asyncio."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._server.opened(self)

    def eof_received(self) -> bool:
        """Close the connection after the caller closed its side; called by asyncio."""
        return False

    def arrived(self) -> float:
        """Return the earliest loop time at which the current data can have arrived; must be called for all data."""
        now = self._server.loop.time()
        arrived_at = self._server.turns.came(now)
        if self.received_nothing and self._server.orderly:
            arrived_at = min(arrived_at, now - waited_s(self._transport.get_extra_info("socket")))
        self.received_nothing = False
        return arrived_at

    @property
    def drained(self) -> bool:
        """Whether closing it now loses no written bytes, and causes no reset because of unread ones."""
        return self.flushed and not readable(self._transport)

    @property
    def flushed(self) -> bool:
        """Whether all written bytes have left this process."""
        return not self._transport.get_write_buffer_size()

    def abort(self) -> None:
        """Close at once, unsent bytes included."""
        self._closing = True
        self._server.closed(self)
        self._transport.abort()

    def close_if_idle(self) -> bool:
        """Close if no request is open and the kernel has no unread bytes; returns whether it was closed."""
        raise NotImplementedError

    def expire(self) -> None:
        """Handle the timeout of its current stage."""
        raise NotImplementedError

    def abort_if_read(self) -> None:
        """Close after the last answer, unless a slow reader has not read it and `request_s` has not passed yet.

        `LINGER_S` applies only to connections whose answer has been flushed.
        """
        if self.flushed or self.stage_entered_at <= self._server.loop.time() - self._server.request_s:
            self.abort()

    def reject_partial(self) -> None:
        """Reject a request that has arrived in part, as this process is shutting down."""

    def _end(self) -> None:
        """Close this side, and go on reading for `LINGER_S`: closing with unread bytes would reset the answer."""
        self._closing = True
        if not self._transport.is_closing():
            # Writing the end of stream fails on a connection that has just been reset.
            with contextlib.suppress(OSError):
                self._transport.write_eof()
            self._server.stage(self, self._server.lingering)


Stage = dict[IncomingConnection, None]  # in the order of entering the stage


class Listener:
    """Accepts callers' connections and keeps them within a limit.

    A connection without an open request is in one of three stages: `waiting` for a request, `idle` between requests, or
    `lingering` after its last answer.

    Parameters
    ----------
    limit: the maximum number of connections.
    orderly: if true, connections beyond the limit wait in the kernel, and a connection is closed only with an answer.
        Otherwise all connections are accepted, and idle ones are closed to free slots.
    """

    def __init__(self, limit: int, orderly: bool = False) -> None:
        self.loop = asyncio.get_running_loop()
        self.turns = turns_of(self.loop)
        self.connection_limit = ConnectionLimit(limit)
        self.orderly = orderly
        self.descriptor_shortages = 0  # how often accepting failed for lack of a descriptor
        self.ready = False
        self.stopping = False
        self.connections: dict[IncomingConnection, Stage | None] = {}
        self.waiting: Stage = {}
        self.idle: Stage = {}
        self.lingering: Stage = {}
        self._listener: socket.socket | None = None
        self._address: tuple[str, int] | None = None
        self._accepting = False
        self._accepted: set[asyncio.Task[None]] = set()  # accepted connections without a protocol object yet

    def connection(self) -> asyncio.Protocol:
        """Return the protocol object of a new connection, which calls `opened`, `stage` and `closed`."""
        raise NotImplementedError

    @property
    def request_s(self) -> float:
        """Time within which a request must arrive completely, from the connection's start or its first byte."""
        raise NotImplementedError

    @property
    def idle_s(self) -> float:
        """Time after which an idle connection is closed."""
        raise NotImplementedError

    def reject_unparsed(self, sock: socket.socket, no_slot: bool, accepted_enough: bool) -> bool:
        """Reject the request of a new connection and close it; returns False if the connection was left unchanged.

        This is done only if the complete request has arrived and is recognised without parsing, and there is no slot
        for the connection (`no_slot`) or enough have been accepted in this iteration (`accepted_enough`).
        """
        return False

    @property
    def limit(self) -> int:
        """The maximum number of connections."""
        return self.connection_limit.limit

    @limit.setter
    def limit(self, limit: int) -> None:
        self.connection_limit = ConnectionLimit(limit)

    @property
    def over_limit(self) -> bool:
        """Whether there are so many connections that one is closed with its answer."""
        if self.orderly:
            return not self.connection_limit.may_keep(self.connection_count)
        return len(self.connections) > self.limit

    @property
    def connection_count(self) -> int:
        """The number of connections, including those without a protocol object yet."""
        return len(self.connections) + len(self._accepted)

    @property
    def paused(self) -> bool:
        """Whether accepting is paused, so that new connections wait in the kernel."""
        return self._listener is not None and not self._accepting

    @property
    def active_requests(self) -> int:
        """The number of connections with an open request."""
        return len(self.connections) - len(self.waiting) - len(self.idle) - len(self.lingering)

    def may_begin(self) -> bool:
        """Whether a request that has just arrived may be served; it is already counted in `active_requests`."""
        if self.orderly:
            return self.connection_limit.may_begin(self.active_requests - 1)
        # A complete request may take the slot of the connection that is idle for longest, however short; a mere
        # connection may not. Otherwise, while another node restarts, recently idle connections (200 in one case) occupy
        # all slots and requests are rejected beside 10 open ones. The cost is that callers must reconnect more often.
        return self.close_excess(min_idle_s=0.0)

    @property
    def address(self) -> tuple[str, int]:
        """Host and port that it listens on; raises RuntimeError before that."""
        if self._address is None:
            raise RuntimeError("the listener has no socket yet")
        return self._address

    @staticmethod
    def bind(host: str, port: int) -> socket.socket:
        """Return a listening socket, from which nothing is accepted yet; raises OSError."""
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        # asyncio disables Nagle's algorithm only on sockets created with an explicit protocol. Nagle's algorithm would
        # delay a second small answer by 40 ms, until the first one has been acknowledged.
        sock = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            if family == socket.AF_INET6:
                sock.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_V6ONLY, 1)
            sock.bind((host, port))
            sock.listen(BACKLOG)
        except OSError:
            sock.close()
            raise
        return sock

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
        """Start accepting, or resume it after a pause."""
        if self._listener is not None and not self._accepting:
            self._accepting = True
            self.loop.add_reader(self._listener.fileno(), self._accept)

    def _pause(self) -> None:
        if self._listener is not None and self._accepting:
            self._accepting = False
            self.loop.remove_reader(self._listener.fileno())

    def _accept(self) -> None:
        """Accept connections that wait in the kernel, as far as there is capacity."""
        if self._listener is None:
            return
        # Closed connections free their descriptors one or two loop iterations later: few are accepted at once.
        free_slots = to_accept = max(1, self.limit // 20)
        if self.orderly:
            open_before = self.connection_count  # before slots are freed
            spare = min(SPARE_CONNECTIONS, self.limit // 4)
            free_slots = self.connection_limit.may_accept(open_before + spare) or int(self._free_slot())
            if not free_slots and open_before >= self.limit:
                self._pause()
                return
            to_accept = min(free_slots, MAX_ACCEPTED)
        for _ in range(MAX_EXAMINED):
            sock = self._accept_one(self._listener)
            if sock is None:
                return
            if self.orderly and self.reject_unparsed(sock, free_slots <= 0, to_accept <= 0):
                continue
            # A connection that can't be rejected this way is accepted, even if it is one beyond the limit.
            task = self.loop.create_task(self._attach(sock))
            self._accepted.add(task)
            task.add_done_callback(self._accepted.discard)
            to_accept -= 1
            free_slots -= 1
            # Connections left in the kernel behind long loop iterations would wait there until they are late. So after
            # enough have been accepted, further ones that are late already are rejected, up to the first that is not.
            if to_accept < 0 or (to_accept <= 0 and not self.orderly):
                return

    def _accept_one(self, listener: socket.socket) -> socket.socket | None:
        """Accept one connection; returns None if none is waiting or no descriptor is available."""
        try:
            sock, _ = listener.accept()
        except (BlockingIOError, InterruptedError, ConnectionAbortedError):
            return None
        except OSError as error:
            if error.errno not in LOCAL_RESOURCE_ERRORS:
                raise
            # Paused, as a readable listener that can't be accepted from would make the loop spin.
            self.descriptor_shortages += 1
            self._pause()
            return None
        sock.setblocking(False)
        return sock

    async def _attach(self, sock: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(self.connection, sock)
        except OSError:
            sock.close()

    def _free_slot(self) -> bool:
        """Free a slot by closing a drained connection; if there is none, time out connections that sent nothing."""
        for connection in islice(self.lingering, MAX_SEARCHED):
            if connection.drained:
                connection.abort()
                return True
        cutoff = self.loop.time() - NO_DATA_TIMEOUT_S
        for connection in list(islice(self.waiting, MAX_SEARCHED)):
            if connection.stage_entered_at <= cutoff and connection.received_nothing:
                connection.expire()
        return False

    def opened(self, connection: IncomingConnection) -> None:
        """Add a new connection, which waits for a request."""
        self.connections[connection] = None
        if not self.orderly:
            self.close_excess()  # accepting is never paused for the limit
        self.stage(connection, self.waiting)

    def closed(self, connection: IncomingConnection) -> None:
        """Remove a closed connection."""
        self.stage(connection, None)
        self.connections.pop(connection, None)
        if self.orderly and self.connection_limit.may_accept(self.connection_count):
            self._resume()

    def stage(self, connection: IncomingConnection, stage: Stage | None) -> None:
        """Move a connection to another stage (None: a request is open); its current stage changes nothing."""
        previous = self.connections.get(connection)
        if connection in self.connections and previous is not stage:
            if previous is not None:
                del previous[connection]
            if stage is not None:
                stage[connection] = None
            self.connections[connection] = stage
            connection.stage_entered_at = self.loop.time()

    def close_idle(self) -> None:
        """Close connections without an open request, except new ones and those with an answer to flush."""
        # The request of a new connection may be on its way, and would be lost without an answer.
        new_since = self.loop.time() - NEW_CONNECTION_S
        for connection in [*self.waiting, *self.idle]:
            if (connection.known or connection.stage_entered_at <= new_since) and connection.flushed:
                connection.close_if_idle()

    def finish_remaining(self) -> bool:
        """Close idle connections, and reject requests that have arrived in part.

        Returns whether anything is left to be read or to be flushed.
        """
        for connection in [*self.waiting, *self.idle]:
            if connection.flushed and not connection.close_if_idle():
                connection.reject_partial()
        remaining = any(
            stage is not self.lingering or not connection.drained
            for connection, stage in self.connections.items()
        )
        pending = self._listener is not None and has_pending_event(self._listener, select.POLLIN)
        return remaining or pending or bool(self._accepted)

    def retire(self) -> None:
        """Accept what has connected by now, stop listening, and close each connection after its answer."""
        if self._accepting:
            # Connections that still wait in the kernel would be reset without an answer.
            self._accept()
        self.close()
        self.stopping = True

    def close(self) -> None:
        """Stop listening; open connections still end by their timeouts.

        The sweep goes on, as otherwise a caller with half a request would keep a removed listener alive forever.
        """
        if self._listener is not None:
            self._pause()
            self._listener.close()
            self._listener = None

    def close_excess(self, min_idle_s: float = MIN_IDLE_TO_CLOSE_S) -> bool:
        """Close connections without a request until the limit is met; returns False if that is not enough."""
        while self.over_limit:
            if not self._close_one(min_idle_s):
                return False
        return True

    def _close_one(self, min_idle_s: float) -> bool:
        """Close one connection: after its last answer, else without a valid request so far, else the longest idle."""
        # Connections with an unflushed answer are spared, as a slow reader would lose it.
        for connection in islice(self.lingering, MAX_SEARCHED):
            if connection.flushed:
                connection.abort()
                return True
        for connection in islice(self.waiting, MAX_SEARCHED):
            if not connection.known and connection.flushed and connection.close_if_idle():
                return True
        idle_before = self.loop.time() - min_idle_s
        for connection in islice(self.idle, MAX_SEARCHED):
            if (
                connection.stage_entered_at <= idle_before
                and connection.flushed
                and connection.close_if_idle()
            ):
                return True
        return False

    def _sweep(self) -> None:
        """Time out connections that have been in their stage for too long."""
        now = self.loop.time()
        stages = ((self.waiting, self.request_s), (self.idle, self.idle_s), (self.lingering, LINGER_S))
        for stage, limit_s in stages:
            for connection in list(stage):
                if connection.stage_entered_at > now - limit_s:
                    break
                connection.expire()
        if (
            not self.orderly
            or self.connection_limit.may_accept(self.connection_count)
            or not self.active_requests
        ):
            self._resume()
        if self._listener is not None or self.connections:
            self.loop.call_later(SWEEP_S, self._sweep)
