"""The route table of Thrift calls: the first route that matches a call's name gives its class, pool and deadline."""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass

IDENTIFIER = r"[A-Za-z_][A-Za-z0-9_.]*"
CALL_PATTERN = re.compile(rf"(?:{IDENTIFIER}:)?(?:{IDENTIFIER})?\*|(?:{IDENTIFIER}:)?{IDENTIFIER}")


@dataclass(slots=True, frozen=True)
class CallPattern:
    """Pattern of call names: `method`, `service:method` for multiplexed calls, or a prefix of either followed by `*`.

    `service:*` matches all methods of a service; `*` matches all calls, including multiplexed ones.
    """

    text: str  # without a final `*`
    is_prefix: bool  # whether the pattern ends in `*`

    @classmethod
    def parse(cls, text: str) -> CallPattern:
        """Parse a pattern; raises ValueError with the reason if it is malformed."""
        if not CALL_PATTERN.fullmatch(text):
            raise ValueError("is no method, service:method, or either with a * at its end")
        return cls(text.removesuffix("*"), text.endswith("*"))

    def matches(self, name: str) -> bool:
        """Whether the pattern matches a call's name."""
        return name.startswith(self.text) if self.is_prefix else name == self.text

    def covers(self, other: CallPattern) -> bool:
        """Whether this pattern matches every name that the other one matches."""
        return other.text.startswith(self.text) if self.is_prefix else self == other


@dataclass(slots=True, frozen=True)
class CallRoute:
    """A pattern of call names, with the class, the pool and the deadline of matching calls."""

    service: str  # the class's name
    pool: str
    call: CallPattern
    deadline_ms: float | None = None  # None: the deadline of the class


class CallTable:
    """Call routes, of which the first that matches applies."""

    def __init__(self, routes: Iterable[CallRoute] = ()) -> None:
        self.routes = tuple(routes)
        self._exact: dict[str, int] = {}
        for index, route in enumerate(self.routes):
            if not route.call.is_prefix:
                self._exact.setdefault(route.call.text, index)
        self._prefixes = [(index, route) for index, route in enumerate(self.routes) if route.call.is_prefix]

    def match(self, name: str) -> CallRoute | None:
        """Return the first route that matches a call's name, or None."""
        exact = self._exact.get(name)
        for index, route in self._prefixes:
            if exact is not None and index > exact:
                break
            if route.call.matches(name):
                return route
        return None if exact is None else self.routes[exact]

    def shadowed(self) -> list[tuple[int, int]]:
        """Return the routes that are never used, as pairs of indices (route, earlier route that covers it)."""
        pairs = []
        for index, route in enumerate(self.routes):
            covering = next(
                (earlier for earlier in range(index) if self.routes[earlier].call.covers(route.call)), None
            )
            if covering is not None:
                pairs.append((index, covering))
        return pairs
