"""The operator's configuration as typed values. Names of durations end with their unit."""

from __future__ import annotations

from enum import Enum

import attrs


class RouteType(Enum):
    """Whether requests of a route may be retried, and whether responses are streams or results of batch jobs."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"
    BATCH = "batch"


@attrs.frozen
class Share:
    """A service and its weight in a route's traffic split."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """Routes requests for a host and a path prefix to services, with limits.

    `split` has the services with their weights. `timeout_ms` is the timeout of a request, and `target_latency_ms` its
    latency target. `completion_target_ms`, `retention_s` and `max_queued_tokens` apply to batch jobs. `resumable`: an
    interrupted stream may be continued by another attempt.
    """

    name: str
    host: str
    path_prefix: str
    type: RouteType
    timeout_ms: float
    split: tuple[Share, ...]
    target_latency_ms: float = 1000.0
    priority: int = 0
    max_attempts: int = 1
    sticky: bool = False
    resumable: bool = False
    gap_target_ms: float = 0.0
    completion_target_ms: float = 0.0
    retention_s: float = 0.0
    max_queued_tokens: int = 0

    @property
    def may_repeat(self) -> bool:
        """Whether a request may be executed more than once."""
        return self.type is RouteType.IDEMPOTENT or (self.type is RouteType.STREAMING and self.resumable)


@attrs.frozen
class Service:
    """A group of interchangeable model servers. `capacity` and `kv_cache_tokens` are those of one server."""

    name: str
    health_path: str = ""
    max_connections: int = 0
    capacity: int = 0
    kv_cache_tokens: int = 0
    stride: int = 1


@attrs.frozen
class ClientLimits:
    """Limits on the size and the duration of clients' requests."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


@attrs.frozen
class Configuration:
    """A complete, valid configuration."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: ClientLimits = attrs.field(factory=ClientLimits)
    _by_host: dict[str, tuple[Route, ...]] = attrs.field(init=False, eq=False, repr=False)
    _by_service: dict[str, Service] = attrs.field(init=False, eq=False, repr=False)

    @_by_host.default
    def _index_routes(self) -> dict[str, tuple[Route, ...]]:
        by_host: dict[str, list[Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host.lower(), []).append(route)
        longest_first = {}
        for host, routes in by_host.items():
            longest_first[host] = tuple(sorted(routes, key=lambda route: -len(route.path_prefix)))
        return longest_first

    @_by_service.default
    def _index_services(self) -> dict[str, Service]:
        return {service.name: service for service in self.services}

    def route_for(self, host: str, path: str) -> Route | None:
        """The route of this host with the longest prefix of the path; None if no route matches."""
        for route in self._by_host.get(host.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def service(self, name: str) -> Service | None:
        """The service of this name; None if there is none."""
        return self._by_service.get(name)
