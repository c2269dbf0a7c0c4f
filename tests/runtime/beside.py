"""Fixtures: a sidecar in the test process, with emulated servers ("boxes")."""

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


def configuration_data(*boxes: Box, **more: Any) -> dict[str, Any]:
    """Return the plain data of a configuration for these servers; `more` replaces top-level keys."""
    servers = [{"id": box.name, "address": box.endpoint} for box in boxes]
    data: dict[str, Any] = {
        "kind": "configuration",
        "version": 1,
        "name": "beside",
        "listeners": [{"name": "application", "address": "127.0.0.1:0"}],
        "admin": {"address": "127.0.0.1:0"},
        # Long timeouts: a slow test machine must not make attempts fail.
        "pools": [
            {"name": "boxes", "connect_timeout_ms": 20000, "list": {"source": "static", "servers": servers}}
        ],
        "classes": CLASSES,
        "routes": ROUTES,
    }
    return data | more


def configuration(data: dict[str, Any]) -> Configuration:
    """Return the configuration from plain data, via TOML and the checker, as the program reads it."""
    document = parse(dumps(data, {}), "test.toml")
    check(document)
    assert document.mistakes == [], "\n".join(map(str, document.mistakes))
    model: Configuration = document.model
    return model


def boxes(count: int) -> list[Box]:
    return [Box(f"box-{at}") for at in range(count)]


@contextlib.asynccontextmanager
async def running_sidecar(
    all_boxes: Sequence[Any], data: Callable[[], dict[str, Any]]
) -> AsyncIterator[Sidecar]:
    """Start servers and a sidecar; `data` is called once the servers have addresses."""
    for box in all_boxes:
        await box.start()
    sidecar = Sidecar(configuration(data()))
    await sidecar.start()
    try:
        yield sidecar
    finally:
        sidecar.close()
        for box in all_boxes:
            box.stop()


def running(*all_boxes: Box, **more: Any) -> contextlib.AbstractAsyncContextManager[Sidecar]:
    return running_sidecar(all_boxes, lambda: configuration_data(*all_boxes, **more))


async def wait_for_open_requests(sidecar: Sidecar, pool: str = "boxes") -> None:
    """Wait until the requests that are open now have ended.

    A request sent just before a drain was applied may still be on its way to the drained server.
    """
    open_ids = set(sidecar.pools[pool].requests)
    await until(lambda: open_ids.isdisjoint(sidecar.pools[pool].requests))


def address(sidecar: Sidecar, name: str = "application") -> tuple[str, int]:
    return sidecar.listeners[name].front.server.address


def application(sidecar: Sidecar, name: str = "application") -> Application:
    return Application(address(sidecar, name), timeout_s=20.0)


def admin_client(sidecar: Sidecar) -> Application:
    assert sidecar.admin is not None
    return Application(sidecar.admin.server.address, timeout_s=20.0)


async def send_raw(sidecar: Sidecar, data: bytes, until: bytes | None = None) -> bytes:
    """Send bytes and return the response, up to `until` or the end of the connection."""
    reader, writer = await asyncio.open_connection(*address(sidecar))
    writer.write(data)
    try:
        async with asyncio.timeout(20):
            return await (reader.read() if until is None else reader.readuntil(until))
    finally:
        writer.close()
