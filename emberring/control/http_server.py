"""Serves HTTP with uvicorn in the event loop of a role, without uvicorn's signal handlers."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Generator, MutableMapping
from typing import Any

import uvicorn

KEEP_ALIVE_S = 30  # of idle connections
SHUTDOWN_GRACE_S = 2  # for open requests
BACKLOG = 1024  # connections not yet accepted
START_POLL_S = 0.005


Event = MutableMapping[str, Any]
AsgiApplication = Callable[
    [Event, Callable[[], Awaitable[Event]], Callable[[Event], Awaitable[None]]], Awaitable[None]
]
"""`app(scope, receive, send)` of the ASGI specification."""


class _ServerWithoutSignalHandlers(uvicorn.Server):
    @contextlib.contextmanager
    def capture_signals(self) -> Generator[None, None, None]:
        """Install no signal handlers; the role handles signals."""
        yield


class HttpServer:
    """Serves the ASGI application `app` at `address` (`host:port`)."""

    def __init__(self, app: AsgiApplication, address: str) -> None:
        host, _, port = address.rpartition(":")
        config = uvicorn.Config(
            app,
            host=host,
            port=int(port),
            loop="none",
            http="httptools",
            ws="none",
            lifespan="off",
            interface="asgi3",
            access_log=False,
            log_config=None,
            server_header=False,
            date_header=False,
            proxy_headers=False,
            timeout_keep_alive=KEEP_ALIVE_S,
            timeout_graceful_shutdown=SHUTDOWN_GRACE_S,
            backlog=BACKLOG,
        )
        self._server = _ServerWithoutSignalHandlers(config)
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start listening; return once connections are accepted."""
        self._task = asyncio.get_running_loop().create_task(self._server.serve())
        while not self._server.started and not self._task.done():
            await asyncio.sleep(START_POLL_S)

    async def stop(self) -> None:
        """Stop accepting connections, finish the open requests, and shut down."""
        self._server.should_exit = True
        if self._task is not None:
            await self._task
