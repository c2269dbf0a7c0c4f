"""What makes a configuration invalid. All mistakes are found at once, each as a line for the operator."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Mapping
from typing import Any

from emberring.configuration.model import RouteType

MOST_TOLD = 50  # mistakes that an answer lists

_TYPES = {kind.value for kind in RouteType}


def mistakes_in(document: Mapping[str, Any]) -> tuple[str, ...]:
    """Every mistake in a whole configuration, other than those of its place among the versions."""
    found = list(_all(document))
    if len(found) > MOST_TOLD:
        found = [*found[:MOST_TOLD], f"and {len(found) - MOST_TOLD} more"]
    return tuple(found)


def _all(document: Mapping[str, Any]) -> Iterator[str]:
    version = document.get("Version")
    if not is_whole(version):
        yield "Version is not a whole number"
    services, routes = document.get("Services", []), document.get("Routes", [])
    if not _is_list_of_objects(services):
        yield "Services is not a list of objects"
        services = []
    if not _is_list_of_objects(routes):
        yield "Routes is not a list of objects"
        routes = []
    names = {service.get("Name") for service in services if isinstance(service.get("Name"), str)}
    yield from _services(services)
    yield from _routes(routes, names)
    yield from _limits(document.get("Limits", {}))


def is_whole(value: Any) -> bool:
    """Whether this is a whole number."""
    return isinstance(value, int) and not isinstance(value, bool)


def is_number(value: Any) -> bool:
    """Whether this is a number."""
    return isinstance(value, int | float) and not isinstance(value, bool)


def _is_list_of_objects(value: Any) -> bool:
    return isinstance(value, list) and all(isinstance(item, dict) for item in value)


def _is_name(value: Any) -> bool:
    return isinstance(value, str) and value != ""


def _is_one_of(value: Any, known: set[str]) -> bool:
    return isinstance(value, str) and value in known


def _services(services: list[dict[str, Any]]) -> Iterator[str]:
    yield from _twice("service", [service.get("Name") for service in services])
    for position, service in enumerate(services):
        where = f"service {service.get('Name', position)!r}"
        if not _is_name(service.get("Name")):
            yield f"{where}: Name is missing"
        yield from _numbers(where, service, ("MaxConnections", "Capacity"))
        runtime = service.get("Runtime") or {}
        if not isinstance(runtime, dict):
            yield f"{where}: Runtime is not an object"
        else:
            yield from _numbers(where, runtime, ("Capacity", "KvCacheTokens", "stride"))


def _twice(kind: str, names: list[Any]) -> Iterator[str]:
    for name, count in Counter(name for name in names if isinstance(name, str)).items():
        if count > 1:
            yield f"{kind} {name!r} stands {count} times"


def _numbers(where: str, item: Mapping[str, Any], keys: tuple[str, ...]) -> Iterator[str]:
    for key in keys:
        value = item.get(key)
        if value is not None and (not is_number(value) or value < 0):
            yield f"{where}: {key} is not a number of at least 0"


_ROUTE_NUMBERS = (
    "TargetLatencyMs",
    "Priority",
    "MaxAttempts",
    "gap_aim_ms",
    "CompletionTargetMs",
    "RetentionS",
    "MaxQueuedTokens",
)


def _routes(routes: list[dict[str, Any]], services: set[str]) -> Iterator[str]:
    yield from _twice("route", [route.get("Name") for route in routes])
    places: dict[tuple[str, str], str] = {}
    for position, route in enumerate(routes):
        name = route.get("Name", position)
        where = f"route {name!r}"
        yield from _route(where, route)
        yield from _targets(where, route, services)
        host, prefix = route.get("Host"), route.get("PathPrefix")
        if not isinstance(host, str) or not isinstance(prefix, str):
            continue
        place = (host.lower(), prefix)
        if place in places:
            yield f"{where}: has the host and prefix of route {places[place]!r}"
        else:
            places[place] = name


def _route(where: str, route: Mapping[str, Any]) -> Iterator[str]:
    for key in ("Name", "Host"):
        if not _is_name(route.get(key)):
            yield f"{where}: {key} is missing"
    prefix = route.get("PathPrefix")
    if not _is_name(prefix) or not (str(prefix).startswith("/") and str(prefix).endswith("/")):
        yield f"{where}: PathPrefix does not begin and end with a slash"
    if not _is_one_of(route.get("Type"), _TYPES):
        yield f"{where}: Type {route.get('Type')!r} is unknown"
    timeout = route.get("TimeoutMs")
    if not is_number(timeout) or timeout is None or timeout <= 0:
        yield f"{where}: TimeoutMs is not above 0"
    yield from _numbers(where, route, _ROUTE_NUMBERS)


def _targets(where: str, route: Mapping[str, Any], services: set[str]) -> Iterator[str]:
    split, service = route.get("TrafficSplit"), route.get("Service")
    if split is None or split == []:
        if not _is_one_of(service, services):
            yield f"{where}: Service {service!r} is unknown"
        return
    if not _is_list_of_objects(split):
        yield f"{where}: TrafficSplit is not a list of objects"
        return
    if service not in (None, "") and not _is_one_of(service, services):
        yield f"{where}: Service {service!r} is unknown"
    total = 0.0
    for part in split:
        target, weight = part.get("Service"), part.get("Weight", 0)
        if not _is_one_of(target, services):
            yield f"{where}: Service {target!r} of TrafficSplit is unknown"
        if not is_number(weight) or weight < 0:
            yield f"{where}: Weight {weight!r} is not a number of at least 0"
        else:
            total += weight
    if total <= 0:
        yield f"{where}: the weights add up to 0"


def _limits(limits: Any) -> Iterator[str]:
    if limits is None:
        return
    if not isinstance(limits, dict):
        yield "Limits is not an object"
        return
    keys = ("MaxHeaderBytes", "MaxBodyBytes", "HeaderTimeoutMs", "IdleTimeoutMs")
    yield from _numbers("Limits", limits, keys)
