"""Graceful shutdown without losing a request."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable, Collection, Sized
from typing import Protocol

STOP_OPEN_S = 0.6  # listeners stay open after SIGTERM, as callers connect for up to 0.4 s more
STOP_SLACK_S = 0.6  # beyond the longest deadline; SIGKILL follows 0.7 s after that at the earliest
STOP_FINISH_S = 1.2  # last part of the shutdown, in which each connection is closed with its answer
STOP_LAST_S = 0.06  # after the shutdown time, to flush answers and reject requests not read yet


def signals() -> tuple[asyncio.Event, asyncio.Event]:
    """Return events for SIGTERM or SIGINT, and for SIGHUP."""
    stop, hangup = asyncio.Event(), asyncio.Event()
    loop = asyncio.get_running_loop()
    # Installed before any slow step of the start, as SIGHUP ends a process without a handler.
    loop.add_signal_handler(signal.SIGHUP, hangup.set)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    return stop, hangup


class Drainable(Protocol):
    """A listener whose connections can be drained."""

    stopping: bool  # whether each connection is closed after its answer

    @property
    def connections(self) -> Sized:
        """Its open connections."""

    def close_idle(self) -> None:
        """Close connections without an open request."""

    def finish_remaining(self) -> bool:
        """Close or reject what can be; returns whether anything is left."""


async def finish(listeners: Collection[Drainable], longest_s: float, give_up: Callable[[], None]) -> None:
    """Serve new requests and finish open ones for `longest_s` and `STOP_SLACK_S` from now.

    Then `give_up` must answer all open requests and make the listeners reject every later one, for which
    `STOP_LAST_S` remain.
    """
    loop = asyncio.get_running_loop()
    latest = loop.time() + longest_s + STOP_SLACK_S
    # Callers keep using their connections, and the other nodes may be restarting too: connections closed at once would
    # leave a caller without any node. New connections may still arrive at first.
    await asyncio.sleep(STOP_OPEN_S)
    while any(listener.connections for listener in listeners) and loop.time() < latest - STOP_FINISH_S:
        await asyncio.sleep(0.01)
    for listener in listeners:
        listener.stopping = True
    while any(listener.connections for listener in listeners) and loop.time() < latest:
        for listener in listeners:
            listener.close_idle()
        await asyncio.sleep(0.01)
    give_up()
    # Without this, requests that are queued behind another one, partly read or still in the kernel would be cut off
    # without an answer, and answers that a slow reader has not read would be lost with the process.
    await asyncio.sleep(0)
    while any([listener.finish_remaining() for listener in listeners]) and loop.time() < latest + STOP_LAST_S:
        await asyncio.sleep(0.001)
