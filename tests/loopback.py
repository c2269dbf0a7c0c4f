"""Scripted loopback peers of a node: a client, servers and discovery."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass
from types import SimpleNamespace
from typing import Any

import orjson

from loadbalancer import interface as api
from loadbalancer.node.config import Config, parse_config
from loadbalancer.node.node import Node

SETTINGS: dict[str, Any] = {
    "bounds": {
        "cancel": True,
        "maxAttempts": 3,
        "maxOpen": 100,
        "retryAfter": True,
        "maxRetryAfterMs": 2000.0,
        "connIdleMs": 10000.0,
        "connectTimeoutMs": 20000.0,  # long, so that no timeout fires on a slow machine
    },
    "categories": [
        {"name": "read", "aimMs": 20000.0, "giveUpMs": 30000.0, "credit": 12.0, "effect": "free"},
        {"name": "post", "aimMs": 20000.0, "giveUpMs": 30000.0, "credit": 1.0, "effect": "single_shot"},
        {"name": "move", "aimMs": 20000.0, "giveUpMs": 30000.0, "effect": "guarded", "memorySpanMs": 9000.0},
    ],
    "feedback": {"fields": ["depth"], "via": "inline"},
    "registryMode": "ask",
    "locality": "a",
}


@dataclass
class Message:
    """A parsed request or response: the words of its first line, headers by lower-case name, and body."""

    first: list[str]
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        return int(self.first[1])


async def read_message(reader: asyncio.StreamReader) -> Message:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {name.lower(): value for name, _, value in (line.partition(": ") for line in head[1:-2])}
    return Message(
        head[0].split(" ", 2), headers, await reader.readexactly(int(headers.get("content-length", 0)))
    )


def reply(status: int = 200, body: bytes = b"done", **headers: str) -> bytes:
    lines = [f"HTTP/1.1 {status} Word", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


Script = Callable[[Message], Awaitable[bytes | None]]


class Peer:
    """A server that answers requests by its script; a response of None closes the connection."""

    def __init__(self, script: Script | None = None) -> None:
        self.script = script
        self.seen: list[Message] = []
        self.connections = 0
        self.readers: list[asyncio.StreamReader] = []
        self._writers: list[asyncio.StreamWriter] = []

    async def start(self) -> Peer:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port: int = self._server.sockets[0].getsockname()[1]
        return self

    @property
    def endpoint(self) -> str:
        return f"127.0.0.1:{self.port}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self.readers.append(reader)
        self._writers.append(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                message = await read_message(reader)
                self.seen.append(message)
                answer = reply() if self.script is None else await self.script(message)
                if answer is None:
                    break
                writer.write(answer)
                await writer.drain()
        writer.close()

    def stop(self) -> None:
        self._server.close()
        for writer in self._writers:
            writer.close()


class BlockedServer(Peer):
    """A server that does not respond until it is released."""

    def __init__(self) -> None:
        super().__init__(self._wait)
        self.release = asyncio.Event()

    async def _wait(self, _message: Message) -> bytes:
        await self.release.wait()
        return reply()


class Discovery(Peer):
    """Returns one of the responses `news` per call; further calls stay pending."""

    def __init__(self, *news: bytes | None) -> None:
        super().__init__(self._next)
        self.news = list(news)

    async def _next(self, _message: Message) -> bytes | None:
        if not self.news:
            await asyncio.Event().wait()
        return self.news.pop(0)


def targets(**states: tuple[str, str]) -> list[dict[str, Any]]:
    return [
        {"uid": uid, "endpoint": endpoint, "az": "a", "pod_group": 1, "state": state, "boot_ms": 0}
        for uid, (endpoint, state) in states.items()
    ]


def listing(rev: int, whole: bool, **states: tuple[str, str]) -> bytes:
    return reply(200, orjson.dumps({"rev": rev, "all": whole, "targets": targets(**states)}))


def config_row(discovery: str, **more: Any) -> dict[str, Any]:
    known = {"rev": 1, "all": True, "targets": more.pop("known", [])}
    bounds = SETTINGS["bounds"] | more.pop("bounds", {})
    settings = SETTINGS | {"bounds": bounds} | more.pop("settings", {})
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": discovery,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": known,
        "settings": settings,
    } | more


def config(discovery: str, **more: Any) -> Config:
    return parse_config(orjson.dumps(config_row(discovery, **more)))


@contextlib.asynccontextmanager
async def running(*servers: Peer, discovery: Peer | None = None, **more: Any) -> AsyncIterator[Node]:
    """Run a node whose server list has these servers as s0, s1 and so on."""
    found = await (discovery or Discovery()).start()
    for server in servers:
        await server.start()
    known = targets(**{f"s{at}": (server.endpoint, "Ready") for at, server in enumerate(servers)})
    node = Node(config(found.endpoint, **{"known": known} | more))
    await node.start()
    try:
        yield node
    finally:
        node.close()
        for peer in (found, *servers):
            peer.stop()


class ScriptedBalancer:
    """A replacement for the decision module: records events and returns the actions of a function."""

    table = SimpleNamespace(cursor=0)

    def __init__(self, act: Callable[[api.Event], list[api.Action]] = lambda event: []) -> None:
        self.act = act
        self.events: list[api.Event] = []

    def handle(self, now: float, event: api.Event, lag_ms: float = 0.0) -> list[api.Action]:
        self.events.append(event)
        return self.act(event)

    def of(self, kind: type) -> list[Any]:
        return [event for event in self.events if isinstance(event, kind)]


def request(kind: str = "read", name: str = "q1", body: bytes = b"", **headers: str) -> bytes:
    method = "GET" if kind == "read" else "POST"
    lines = [f"{method} /{kind}/7f3a?x=1 HTTP/1.1", "Host: service.internal", f"Req-Id: {name}"]
    if kind != "read":
        lines.append(f"Content-Length: {len(body)}")
    lines += [f"{key.replace('_', '-')}: {value}" for key, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Caller:
    """A client connection to the node."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    @classmethod
    async def to(cls, node: Node) -> Caller:
        return cls(*await asyncio.open_connection(*node.server.address))

    async def ask(self, data: bytes) -> Message:
        self.writer.write(data)
        return await self.answer()

    async def answer(self) -> Message:
        return await read_message(self.reader)


async def ask(node: Node, data: bytes) -> Message:
    caller = await Caller.to(node)
    try:
        return await caller.ask(data)
    finally:
        caller.writer.close()


async def until(condition: Callable[[], object]) -> None:
    """Wait until a condition is true; raises TimeoutError after 20 s."""
    async with asyncio.timeout(20):
        while not condition():
            await asyncio.sleep(0.005)
