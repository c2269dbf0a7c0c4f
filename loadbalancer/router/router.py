"""The route table: the first route that matches a request gives its class, pool and deadline."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from loadbalancer.router.paths import PathPattern, segments


@dataclass(slots=True, frozen=True)
class HeaderMatch:
    """A required header, by lower-case name, and its required value; None: any value."""

    name: bytes
    value: bytes | None = None

    def matches(self, headers: Mapping[bytes, bytes]) -> bool:
        """Whether a request with these headers has the required one."""
        value = headers.get(self.name)
        return value is not None and (self.value is None or value == self.value)


@dataclass(slots=True, frozen=True)
class Route:
    """Conditions on a request, with the class, the pool and the deadline of matching requests."""

    service: str  # the class's name
    pool: str
    path: PathPattern
    methods: frozenset[bytes] = frozenset()  # empty: any method
    headers: tuple[HeaderMatch, ...] = ()
    deadline_ms: float | None = None  # None: the deadline of the class

    def covers(self, other: Route) -> bool:
        """Whether this route matches every request that the other one matches."""
        methods = not self.methods or (bool(other.methods) and self.methods >= other.methods)
        headers = all(
            any(mine.name == theirs.name and mine.value in (None, theirs.value) for theirs in other.headers)
            for mine in self.headers
        )
        return methods and headers and self.path.covers(other.path)


class Router:
    """Routes, of which the first that matches applies."""

    def __init__(self, routes: Iterable[Route] = ()) -> None:
        self.routes = tuple(routes)

    def match(self, method: bytes, target: bytes, headers: Mapping[bytes, bytes]) -> Route | None:
        """Return the first matching route for a request target in origin form, or None.

        Raises ValueError if the path has dot segments, as such a path must not be routed.
        """
        path = segments(target.partition(b"?")[0])
        if path is None:
            raise ValueError("the path has dot segments")
        for route in self.routes:
            if (
                (not route.methods or method in route.methods)
                and route.path.matches(path)
                and all(header.matches(headers) for header in route.headers)
            ):
                return route
        return None

    def shadowed(self) -> list[tuple[int, int]]:
        """Return the routes that are never used, as pairs of indices (route, earlier route that covers it)."""
        pairs = []
        for index, route in enumerate(self.routes):
            covering = next((earlier for earlier in range(index) if self.routes[earlier].covers(route)), None)
            if covering is not None:
                pairs.append((index, covering))
        return pairs
