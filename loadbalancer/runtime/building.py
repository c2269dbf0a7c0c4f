"""What a running sidecar is made of, from the words of its configuration."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from loadbalancer import interface as api
from loadbalancer.core.address import parse_address
from loadbalancer.core.descriptors import descriptors_here
from loadbalancer.discovery.endpoint_list import EndpointEntry
from loadbalancer.http.server import FRAMING
from loadbalancer.overload.connections import MOST
from loadbalancer.router.calls import CallTable
from loadbalancer.router.router import Router
from loadbalancer.sidecar.checks import call_route_of, route_of
from loadbalancer.sidecar.models import (
    NEAR_MS,
    BudgetModel,
    ClassModel,
    Configuration,
    ConfiguredRoute,
    ListSource,
    PoolModel,
    start_calls,
)

EFFECTS = {"safe": api.Effect.SAFE, "keyed": api.Effect.KEYED, "unsafe": api.Effect.UNSAFE}
SPREAD = 0.5  # of Retry-After, where there is a budget
DEFAULT_KEY = "Idempotency-Key"


class ReloadError(Exception):
    """A configuration that can't be put in force; nothing has changed."""


def descriptors_of(configuration: Configuration) -> int:
    """What a sidecar may hold: as stated, else what the process may have."""
    if configuration.limits.descriptors is not None:
        return configuration.limits.descriptors
    return min(MOST, descriptors_here())


def settings_of(configuration: Configuration, pool: PoolModel) -> api.Settings:
    """What the decision module of a pool is told."""
    rules = configuration.rules
    source = pool.servers_from
    classes = [item for item in configuration.classes if item.pool == pool.name]
    start = pool.start_calls or start_calls(item.aim_ms for item in classes)
    return api.Settings(
        classes=tuple(_kind(item) for item in classes),
        tenants=tuple(api.Tenant(item.name, item.quota_per_s) for item in configuration.tenants),
        zone=configuration.zone,
        siblings=pool.siblings,
        start_calls=start,
        quiet_calls=start,
        near_ms=NEAR_MS,
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
        "retry_after_spread": SPREAD,
        "backoff_ms": budget.backoff_ms,
    }


def _kind(item: ClassModel) -> api.ServiceClass:
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


def importable(configuration: Configuration) -> None:
    """ReloadError unless what the lists need is installed.

    Guard: found out while the change is made, it would leave half of it in force.
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
    """Each route, and the pool of its class."""
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


def decisive(configuration: Configuration) -> frozenset[bytes]:
    """The headers that something is decided by, by lower-case name.

    Guard: of a repeated one the sidecar could read one value and the box another, and decide for another class.
    """
    names = [listener.deadline_header for listener in configuration.listeners]
    names += [item.key_header or DEFAULT_KEY for item in configuration.classes if item.effect == "keyed"]
    names += [header.name for route in configuration.routes for header in route.headers]
    return FRAMING | {name.lower().encode() for name in names}


def connects_alike(one: PoolModel, other: PoolModel) -> bool:
    # What an xDS list states of levels and limits does not hold for another kind of list.
    kinds = {item.servers_from.source for item in (one, other) if item.servers_from is not None}
    alike = "xds" not in kinds or len(kinds) == 1
    return alike and all(
        getattr(one, key) == getattr(other, key)
        for key in ("server_idle_ms", "connect_timeout_ms", "protocol", "thrift")
    )


def static(source: ListSource) -> list[EndpointEntry]:
    return [
        EndpointEntry(api.Server(item.id, item.zone, item.cell), parse_address(item.address))
        for item in source.servers
    ]
