"""What listens on loopback."""

from __future__ import annotations

import asyncio


class Listening:
    """A peer whose `_server` is there once it has been started."""

    _server: asyncio.Server | None = None

    @property
    def endpoint(self) -> str:
        assert self._server is not None
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"


class Counting(Listening):
    """A peer that knows the connections which it has and how many it has taken."""

    def __init__(self) -> None:
        self.connections: set[Counted] = set()
        self.accepted = 0


class Counted(asyncio.Protocol):
    """One of these connections."""

    def __init__(self, peer: Counting) -> None:
        self._peer = peer
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self._peer.connections.add(self)
        self._peer.accepted += 1

    def connection_lost(self, exc: Exception | None) -> None:
        self._peer.connections.discard(self)
