"""The callers' side, whatever is spoken: a listener that keeps callers' connections within their share of the
descriptors."""

from __future__ import annotations

import asyncio
import socket
from itertools import islice

BACKLOG = 1024
SPARED_S = 2.0  # of which an idle connection is spared where room is short and no request waits for it
LINGER_S = 0.5  # how long what a caller still sends after a fatal answer is read and dropped
SWEEP_S = 0.1
LOOKED_AT = 16  # connections that are looked at, at most, to make room for one


class IncomingConnection(asyncio.Protocol):
    """What callers' connections have in common, whatever is spoken on them."""

    def __init__(self, server: Listener) -> None:
        self._server = server
        self._transport: asyncio.Transport
        self._closing = False  # the last answer has been written, or will be with what is in hand
        self.known = False  # a request that could be used has come on it
        self.since = 0.0  # the loop's time at which it came into the stage that it is in

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._server.opened(self)

    def eof_received(self) -> bool:
        return False

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

    def _end(self) -> None:
        """Close, reading on for a moment: closing over unread bytes would reset the answer away."""
        self._closing = True
        if not self._transport.is_closing():
            if self._transport.can_write_eof():
                self._transport.write_eof()
            self._server.stage(self, self._server.lingering)


Stage = dict[IncomingConnection, None]  # in the order of coming into it


class Listener:
    """Listens, and keeps the callers' connections within their share of the descriptors.

    A connection without an open request is in a stage: it owes a request, idles, or lingers after its end.
    """

    def __init__(self, limit: int) -> None:
        self.loop = asyncio.get_running_loop()
        self.limit = limit
        self.ready = False
        self.stopping = False
        self.connections: dict[IncomingConnection, Stage | None] = {}
        self.waiting: Stage = {}
        self.idle: Stage = {}
        self.lingering: Stage = {}
        self._listener: asyncio.Server | None = None
        self._sweep_timer: asyncio.TimerHandle | None = None

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

    # ------------------------------------------------------------------- for fronts

    @property
    def crowded(self) -> bool:
        return len(self.connections) > self.limit

    @property
    def address(self) -> tuple[str, int]:
        assert self._listener is not None
        host, port = self._listener.sockets[0].getsockname()[:2]
        return host, port

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
        # Guard: asyncio accepts as many as its `backlog` before it looks at any, and closed ones go a turn or
        # two later: a small one keeps a burst within the descriptors. The kernel's queue is then made long.
        self._listener = await self.loop.create_server(
            self.connection, sock=raw, backlog=max(1, self.limit // 20)
        )
        raw.listen(BACKLOG)
        self._sweep()

    def opened(self, connection: IncomingConnection) -> None:
        self.connections[connection] = None
        self.make_room()  # Guard: accepting never stops
        self.stage(connection, self.waiting)

    def closed(self, connection: IncomingConnection) -> None:
        self.stage(connection, None)
        self.connections.pop(connection, None)

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
        """Close what carries nothing."""
        for connection in [*self.waiting, *self.idle]:
            connection.close_if_idle()

    def close(self) -> None:
        if self._listener is not None:
            self._listener.close()
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()

    def make_room(self, spared_s: float = SPARED_S) -> bool:
        """Come within the limit by closing what carries nothing; False if that is not enough."""
        while self.crowded:
            if not self._close_one(spared_s):
                return False
        return True

    def _close_one(self, spared_s: float) -> bool:
        """What has had its last answer goes first, then what never asked, then what idles longest."""
        for connection in self.lingering:
            connection.abort()
            return True
        for connection in islice(self.waiting, LOOKED_AT):
            if not connection.known and connection.close_if_idle():
                return True
        spared = self.loop.time() - spared_s
        for connection in islice(self.idle, LOOKED_AT):
            if connection.since <= spared and connection.close_if_idle():
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
        self._sweep_timer = self.loop.call_later(SWEEP_S, self._sweep)
