"""The route table: the first route that matches a request says its class, pool and deadline."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from loadbalancer.router.paths import PathPattern, segments


@dataclass(slots=True, frozen=True)
class HeaderMatch:
    """A header that must be there, by lower-case name, and its value unless that is None."""

    name: bytes
    value: bytes | None = None

    def matches(self, headers: Mapping[bytes, bytes]) -> bool:
        found = headers.get(self.name)
        return found is not None and (self.value is None or found == self.value)


@dataclass(slots=True, frozen=True)
class Route:
    """What it matches and what that is."""

    service: str  # the class's name
    pool: str
    path: PathPattern
    methods: frozenset[bytes] = frozenset()  # none: any
    headers: tuple[HeaderMatch, ...] = ()
    deadline_ms: float | None = None  # None: the class's

    def covers(self, other: Route) -> bool:
        """Whether it takes all that the other would."""
        methods = not self.methods or (bool(other.methods) and self.methods >= other.methods)
        headers = all(
            any(mine.name == theirs.name and mine.value in (None, theirs.value) for theirs in other.headers)
            for mine in self.headers
        )
        return methods and headers and self.path.covers(other.path)


class Router:
    """Routes in the order in which they are asked."""

    def __init__(self, routes: Iterable[Route] = ()) -> None:
        self.routes = tuple(routes)

    def match(self, method: bytes, target: bytes, headers: Mapping[bytes, bytes]) -> Route | None:
        """The first route for a request target in origin form, or None. ValueError for a path that no route
        may decide on: one with dot segments."""
        path = segments(target.partition(b"?")[0])
        if path is None:
            raise ValueError("the path has dot segments")
        for route in self.routes:
            if (
                (not route.methods or method in route.methods)
                and route.path.matches(path)
                and all(item.matches(headers) for item in route.headers)
            ):
                return route
        return None

    def shadowed(self) -> list[tuple[int, int]]:
        """Pairs (route, earlier route) in which the earlier one takes all that the route would."""
        pairs = []
        for at, route in enumerate(self.routes):
            by = next((before for before in range(at) if self.routes[before].covers(route)), None)
            if by is not None:
                pairs.append((at, by))
        return pairs
