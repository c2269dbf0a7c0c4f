"""A sidecar in this process, beside stand-in boxes; shared by the tests of this folder."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable, Sequence
from typing import Any

from loopback import until

from loadbalancer.emulator.box import Box
from loadbalancer.emulator.caller import Application
from loadbalancer.runtime.sidecar import Sidecar
from loadbalancer.sidecar.checks import check
from loadbalancer.sidecar.load import parse
from loadbalancer.sidecar.models import Configuration
from loadbalancer.sidecar.toml import dumps

LONG = {"aim_ms": 20000, "give_up_ms": 30000}
CLASSES = [
    {"name": "read", "pool": "boxes", "effect": "safe", "worth": 12} | LONG,
    {"name": "post", "pool": "boxes", "effect": "unsafe"} | LONG,
    {"name": "move", "pool": "boxes", "effect": "keyed", "memory_ms": 9000} | LONG,
]
ROUTES = [
    {"class": "read", "path": "/**", "methods": ["GET", "HEAD"]},
    {"class": "move", "path": "/move/**"},
    {"class": "post", "path": "/**", "methods": ["POST", "PUT", "DELETE"]},
]


def row(*boxes: Box, **more: Any) -> dict[str, Any]:
    """A configuration's plain data, with parts replaced."""
    servers = [{"id": box.name, "address": box.endpoint} for box in boxes]
    data: dict[str, Any] = {
        "kind": "configuration",
        "version": 1,
        "name": "beside",
        "listeners": [{"name": "application", "address": "127.0.0.1:0"}],
        "admin": {"address": "127.0.0.1:0"},
        # Nothing is given up because this machine is slow.
        "pools": [
            {"name": "boxes", "connect_timeout_ms": 20000, "list": {"source": "static", "servers": servers}}
        ],
        "classes": CLASSES,
        "routes": ROUTES,
    }
    return data | more


def configuration(data: dict[str, Any]) -> Configuration:
    """From plain data, through its TOML and the checker, as the program reads it."""
    document = parse(dumps(data, {}), "test.toml")
    check(document)
    assert document.mistakes == [], "\n".join(map(str, document.mistakes))
    model: Configuration = document.model
    return model


def boxes(count: int) -> list[Box]:
    return [Box(f"box-{at}") for at in range(count)]


@contextlib.asynccontextmanager
async def alongside(around: Sequence[Any], data: Callable[[], dict[str, Any]]) -> AsyncIterator[Sidecar]:
    """Started boxes and a sidecar; `data` is asked for once the boxes have addresses."""
    for box in around:
        await box.start()
    sidecar = Sidecar(configuration(data()))
    await sidecar.start()
    try:
        yield sidecar
    finally:
        sidecar.close()
        for box in around:
            box.stop()


def running(*around: Box, **more: Any) -> contextlib.AbstractAsyncContextManager[Sidecar]:
    return alongside(around, lambda: row(*around, **more))


async def what_is_open_ends(sidecar: Sidecar, pool: str = "boxes") -> None:
    """Wait for the requests that are open now: what had left for a drained box before the drain came into force may be
    on its way to it still, though the box knows nothing of it yet."""
    held = set(sidecar.pools[pool].requests)
    await until(lambda: held.isdisjoint(sidecar.pools[pool].requests))


def address(sidecar: Sidecar, name: str = "application") -> tuple[str, int]:
    return sidecar.listeners[name].front.server.address


def application(sidecar: Sidecar, name: str = "application") -> Application:
    return Application(address(sidecar, name), timeout_s=20.0)


def operator(sidecar: Sidecar) -> Application:
    assert sidecar.admin is not None
    return Application(sidecar.admin.server.address, timeout_s=20.0)


async def raw(sidecar: Sidecar, data: bytes, until: bytes | None = None) -> bytes:
    """What comes back for these bytes: up to the end of the connection, or to these bytes."""
    reader, writer = await asyncio.open_connection(*address(sidecar))
    writer.write(data)
    try:
        async with asyncio.timeout(20):
            return await (reader.read() if until is None else reader.readuntil(until))
    finally:
        writer.close()
