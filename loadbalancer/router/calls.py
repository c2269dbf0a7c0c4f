"""The route table of Thrift calls: the first route that matches a name says its class, pool and deadline."""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass

WORD = r"[A-Za-z_][A-Za-z0-9_.]*"
PATTERN = re.compile(rf"(?:{WORD}:)?(?:{WORD})?\*|(?:{WORD}:)?{WORD}")


@dataclass(slots=True, frozen=True)
class CallPattern:
    """`method`, `service:method` as a multiplexed call has it, or either with a `*` at its end for any rest.

    `service:*` takes all methods of a service, `*` takes all calls, multiplexed ones too.
    """

    text: str
    open: bool  # whether any rest may follow

    @classmethod
    def parse(cls, text: str) -> CallPattern:
        """ValueError with what is wrong."""
        if not PATTERN.fullmatch(text):
            raise ValueError("is no method, service:method, or either with a * at its end")
        return cls(text.removesuffix("*"), text.endswith("*"))

    def matches(self, name: str) -> bool:
        return name.startswith(self.text) if self.open else name == self.text

    def covers(self, other: CallPattern) -> bool:
        """Whether it takes all that the other would."""
        return other.text.startswith(self.text) if self.open else self == other


@dataclass(slots=True, frozen=True)
class CallRoute:
    """What it matches and what that is."""

    service: str  # the class's name
    pool: str
    call: CallPattern
    deadline_ms: float | None = None  # None: the class's


class CallTable:
    """Routes in the order in which they are asked."""

    def __init__(self, routes: Iterable[CallRoute] = ()) -> None:
        self.routes = tuple(routes)
        self._exact: dict[str, int] = {}
        for at, route in enumerate(self.routes):
            if not route.call.open:
                self._exact.setdefault(route.call.text, at)
        self._open = [(at, route) for at, route in enumerate(self.routes) if route.call.open]

    def match(self, name: str) -> CallRoute | None:
        found = self._exact.get(name)
        for at, route in self._open:
            if found is not None and at > found:
                break
            if route.call.matches(name):
                return route
        return None if found is None else self.routes[found]

    def shadowed(self) -> list[tuple[int, int]]:
        """Pairs (route, earlier route) in which the earlier one takes all that the route would."""
        pairs = []
        for at, route in enumerate(self.routes):
            by = next((before for before in range(at) if self.routes[before].call.covers(route.call)), None)
            if by is not None:
                pairs.append((at, by))
        return pairs
