"""Base classes and command line options of the emulated servers."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
from typing import Any, Protocol


class Listening:
    """An emulated server; `_server` is set once it has been started."""

    _server: asyncio.Server | None = None

    @property
    def endpoint(self) -> str:
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"


class Counting(Listening):
    """An emulated server that tracks its open connections and counts those it accepted."""

    def __init__(self) -> None:
        self.connections: set[Counted] = set()
        self.accepted = 0


class Counted(asyncio.Protocol):
    """A tracked connection."""

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


class Box(Protocol):
    """An emulated server that can be started and stopped."""

    name: str

    @property
    def endpoint(self) -> str: ...

    async def start(self, port: int) -> Any: ...

    def stop(self) -> None: ...


def command(module: str, description: str) -> argparse.ArgumentParser:
    """The command line options common to all emulated servers."""
    parser = argparse.ArgumentParser(prog=f"python -m {module}", description=description)
    parser.add_argument("--name", default="box")
    parser.add_argument("--port", type=int, default=0, help="port on 127.0.0.1; 0 selects a free one")
    parser.add_argument("--work-ms", type=float, default=0.0)
    parser.add_argument("--seconds", type=float, default=3600.0, help="time after which it exits")
    return parser


def run(box: Box, args: argparse.Namespace) -> int:
    """Serve until terminated, or for `--seconds`."""

    async def serve() -> None:
        await box.start(args.port)
        print(f"{box.name} listens on {box.endpoint}", flush=True)
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.sleep(args.seconds)
        box.stop()

    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(serve())
    return 0
