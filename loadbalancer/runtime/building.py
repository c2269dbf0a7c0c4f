"""Builds the parts of a running sidecar from its configuration."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from loadbalancer import interface as api
from loadbalancer.core.address import parse_address
from loadbalancer.core.descriptors import descriptors_here
from loadbalancer.discovery.endpoint_list import EndpointEntry
from loadbalancer.http.server import FRAMING
from loadbalancer.overload.connections import MAX_DESCRIPTORS
from loadbalancer.router.calls import CallTable
from loadbalancer.router.router import Router
from loadbalancer.sidecar.checks import call_route_of, route_of
from loadbalancer.sidecar.models import (
    LATENCY_TOLERANCE_MS,
    BudgetModel,
    ClassModel,
    Configuration,
    ConfiguredRoute,
    ListSource,
    PoolModel,
    start_calls,
)

EFFECTS = {"safe": api.Effect.SAFE, "keyed": api.Effect.KEYED, "unsafe": api.Effect.UNSAFE}
RETRY_AFTER_SPREAD = 0.5  # random share of Retry-After, where a budget is configured
DEFAULT_KEY = "Idempotency-Key"


class ReloadError(Exception):
    """A configuration that can't be applied; the current one stays in force."""


def descriptors_of(configuration: Configuration) -> int:
    """Return the sidecar's limit of file descriptors: the configured one, else that of the process."""
    if configuration.limits.descriptors is not None:
        return configuration.limits.descriptors
    return min(MAX_DESCRIPTORS, descriptors_here())


def settings_of(configuration: Configuration, pool: PoolModel) -> api.Settings:
    """Return the settings of a pool's balancer."""
    rules = configuration.rules
    source = pool.servers_from
    classes = [item for item in configuration.classes if item.pool == pool.name]
    initial_calls = pool.start_calls or start_calls(item.aim_ms for item in classes)
    return api.Settings(
        classes=tuple(_service_class(item) for item in classes),
        tenants=tuple(api.Tenant(item.name, item.quota_per_s) for item in configuration.tenants),
        zone=configuration.zone,
        siblings=pool.siblings,
        start_calls=initial_calls,
        quiet_calls=initial_calls,
        near_ms=LATENCY_TOLERANCE_MS,
        ask_discovery=source is not None and source.source == "discovery" and source.mode != "push",
        over_share_worth=rules.over_share_worth,
        report_fields=tuple(pool.report_fields),
        may_cancel=rules.may_cancel,
        retry_after=rules.retry_after,
        max_retry_after_ms=rules.max_retry_after_ms,
        max_attempts=rules.max_attempts,
        cross_zone_price=rules.cross_zone_price,
        cold_from=rules.cold_from,
        cold_ms=rules.cold_ms,
        starts_told=source is not None and source.source == "discovery",
        overload_factor=rules.overload_factor,
        **_retries(configuration.budget),
    )


def _retries(budget: BudgetModel | None) -> dict[str, Any]:
    if budget is None:
        return {}
    return {
        "retry_share": budget.share,
        "retry_floor_per_s": budget.floor_per_s,
        "retry_window_ms": budget.window_ms,
        "retry_after_spread": RETRY_AFTER_SPREAD,
        "backoff_ms": budget.backoff_ms,
    }


def _service_class(item: ClassModel) -> api.ServiceClass:
    return api.ServiceClass(
        name=item.name,
        aim_ms=item.aim_ms,
        give_up_ms=item.give_up_ms,
        worth=item.worth,
        late_worth=item.late_worth,
        effect=EFFECTS[item.effect],
        scope=api.Scope(item.key_scope or "all"),
        memory_ms=item.memory_ms or 0.0,
        max_attempts=item.attempts or 0,
        hedge=bool(item.hedge),
    )


def check_optional_imports(configuration: Configuration) -> None:
    """Raise ReloadError unless the packages that the server lists need are installed.

    Guard: an import error while the change is being applied would leave it half applied.
    """
    sources = [pool.servers_from for pool in configuration.pools]
    if any(source is not None and source.source == "xds" for source in sources):
        try:
            import loadbalancer.runtime.xds  # noqa: F401
        except ImportError as error:
            raise ReloadError(
                f"a list from xDS needs the extra: pip install 'emberring[xds]' ({error})"
            ) from error


def _routes(configuration: Configuration) -> Iterator[tuple[ConfiguredRoute, str]]:
    """Yield each route with the pool of its class."""
    pools = {item.name: item.pool for item in configuration.classes}
    return ((route, pools[route.service]) for route in configuration.routes)


def router_of(configuration: Configuration) -> Router:
    return Router(
        route_of(route, route.service, pool, route.deadline_ms)
        for route, pool in _routes(configuration)
        if route.path is not None
    )


def calls_of(configuration: Configuration) -> CallTable:
    return CallTable(
        call_route_of(route, route.service, pool, route.deadline_ms)
        for route, pool in _routes(configuration)
        if route.call is not None
    )


def unique_headers(configuration: Configuration) -> frozenset[bytes]:
    """Return the lower-case names of the headers that may occur only once, as routing or a key depends on them.

    Guard: of a repeated header, sidecar and server could read different values and assign different classes.
    """
    names = [listener.deadline_header for listener in configuration.listeners]
    names += [item.key_header or DEFAULT_KEY for item in configuration.classes if item.effect == "keyed"]
    names += [header.name for route in configuration.routes for header in route.headers]
    return FRAMING | {name.lower().encode() for name in names}


def same_connection_settings(one: PoolModel, other: PoolModel) -> bool:
    # Priority levels and limits from an xDS list do not apply to another kind of list.
    kinds = {item.servers_from.source for item in (one, other) if item.servers_from is not None}
    comparable = "xds" not in kinds or len(kinds) == 1
    return comparable and all(
        getattr(one, key) == getattr(other, key)
        for key in ("server_idle_ms", "connect_timeout_ms", "protocol", "thrift")
    )


def static_entries(source: ListSource) -> list[EndpointEntry]:
    return [
        EndpointEntry(api.Server(item.id, item.zone, item.cell), parse_address(item.address))
        for item in source.servers
    ]
