"""A generation request in progress at an emulated model server."""

from __future__ import annotations

import asyncio

import attrs

from emberring.emulator.connection import ServerConnection
from emberring.emulator.engine import EngineRequest
from emberring.emulator.wire import ServerRequest


@attrs.define(eq=False)
class Exchange:
    """A request with its engine request and its caller's connection.

    `started` is set once the engine has begun to execute the request. `signature` is empty until the response headers
    are sent. `timer` ends the request at its deadline.
    """

    connection: ServerConnection
    request: ServerRequest
    engine_request: EngineRequest
    started: bool = False
    signature: str = ""
    timer: asyncio.TimerHandle | None = None
