"""Graceful shutdown: leaving service without losing a request."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable, Collection, Sized
from typing import Protocol

STOP_OPEN_S = 0.6  # after SIGTERM connections still come for up to 0.4 s
STOP_SLACK_S = 0.6  # SIGKILL comes 0.7 s after the longest deadline at the soonest
STOP_FINISH_S = 1.2  # of that time are left to finish what is held, on connections then closed
STOP_LAST_S = 0.06  # after it, for answers to leave and for what has come unread to be refused


def signals() -> tuple[asyncio.Event, asyncio.Event]:
    """Return events for SIGTERM or SIGINT, and for SIGHUP."""
    stop, hangup = asyncio.Event(), asyncio.Event()
    loop = asyncio.get_running_loop()
    # SIGHUP ends a process that has no handler for it, so this comes before anything slow.
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
        """Close connections that carry nothing."""

    def finish_last(self) -> bool:
        """End what can be ended; whether something is left."""


async def finish(listeners: Collection[Drainable], longest_s: float, give_up: Callable[[], None]) -> None:
    """Serve what still comes and finish what is open, over `longest_s` and a little more from now.

    Then `give_up` is to answer all that is open and have what still comes rejected, which is given a last moment.
    """
    loop = asyncio.get_running_loop()
    latest = loop.time() + longest_s + STOP_SLACK_S
    # Callers go on using the connections they have, and the nodes they would turn to may be
    # restarting too: closing at once left them with none. New ones may come at first, too.
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
    # What waited behind another request, half read or in the kernel was cut off with no answer, and answers
    # that a slow reader had yet to take were lost with the process.
    await asyncio.sleep(0)
    while any([listener.finish_last() for listener in listeners]) and loop.time() < latest + STOP_LAST_S:
        await asyncio.sleep(0.001)
