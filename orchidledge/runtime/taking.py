"""What the fronts of a sidecar have in common: ids of requests, how long each is waited for, and who waits for it."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable, Iterator
from itertools import count
from typing import Any

from orchidledge.interface import ServiceClass

WAY_BACK_S = 0.002  # an answer leaves this long before the caller's time is up: it is on this machine


def ids() -> Iterator[str]:
    """Ids that no other front, sidecar or start gives."""
    mark = secrets.token_hex(6)
    return (f"{mark}-{number:x}" for number in count(1))


def patience_ms(kind: ServiceClass, deadline_ms: float | None) -> float:
    """How long a caller of this class waits, on a route with this deadline of its own or none."""
    return kind.give_up_ms if deadline_ms is None else min(kind.give_up_ms, deadline_ms)


class Waiting:
    """The callers that wait for one request's answer: the one that asked first, and those that joined it."""

    def __init__(self, on_empty: Callable[[], None]) -> None:
        """`on_empty` is called when the last one has gone without an answer."""
        self._callers: dict[int, tuple[Any, asyncio.TimerHandle | None]] = {}
        self._on_empty = on_empty

    def add(self, caller: Any, timer: asyncio.TimerHandle | None = None) -> None:
        """`timer`: what answers this caller if its own time ends first."""
        self._callers[id(caller)] = caller, timer

    def gone(self, caller: Any) -> None:
        """A caller has left, or has been answered by itself."""
        _, timer = self._callers.pop(id(caller), (None, None))
        if timer is not None:
            timer.cancel()
        if not self._callers:
            self._on_empty()

    def take(self) -> list[Any]:
        """All that wait; none of them waits any longer."""
        callers = [caller for caller, _ in self._callers.values()]
        for _, timer in self._callers.values():
            if timer is not None:
                timer.cancel()
        self._callers.clear()
        return callers
