"""Validates a configuration. All errors are reported together, each as one line for the operator."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Mapping
from typing import Any, TypeGuard

from emberring.configuration.model import RouteType

MAX_REPORTED_ERRORS = 50  # lines in one response

_ROUTE_TYPES = {kind.value for kind in RouteType}


def find_configuration_errors(document: Mapping[str, Any]) -> tuple[str, ...]:
    """The errors in a complete configuration: at most `MAX_REPORTED_ERRORS`, and a line with the number of the rest.

    Of the version only the type is checked; it is not compared with the current version.
    """
    errors = list(_configuration_errors(document))
    if len(errors) > MAX_REPORTED_ERRORS:
        errors = [*errors[:MAX_REPORTED_ERRORS], f"and {len(errors) - MAX_REPORTED_ERRORS} more"]
    return tuple(errors)


def _configuration_errors(document: Mapping[str, Any]) -> Iterator[str]:
    version = document.get("Version")
    if not is_integer(version):
        yield "Version is not a whole number"
    services, routes = document.get("Services", []), document.get("Routes", [])
    if not _is_list_of_objects(services):
        yield "Services is not a list of objects"
        services = []
    if not _is_list_of_objects(routes):
        yield "Routes is not a list of objects"
        routes = []
    names = {service.get("Name") for service in services if isinstance(service.get("Name"), str)}
    yield from _service_errors(services)
    yield from _all_route_errors(routes, names)
    yield from _limits_errors(document.get("Limits", {}))


def is_integer(value: object) -> TypeGuard[int]:
    """Whether this is an integer, and no boolean."""
    return isinstance(value, int) and not isinstance(value, bool)


def is_number(value: object) -> TypeGuard[int | float]:
    """Whether this is an integer or a float, and no boolean."""
    return isinstance(value, int | float) and not isinstance(value, bool)


def _is_list_of_objects(value: object) -> TypeGuard[list[dict[str, Any]]]:
    return isinstance(value, list) and all(isinstance(item, dict) for item in value)


def _is_name(value: object) -> bool:
    return isinstance(value, str) and value != ""


def _is_one_of(value: object, known: set[str]) -> bool:
    return isinstance(value, str) and value in known


def _service_errors(services: list[dict[str, Any]]) -> Iterator[str]:
    yield from _duplicate_name_errors("service", [service.get("Name") for service in services])
    for position, service in enumerate(services):
        where = f"service {service.get('Name', position)!r}"
        if not _is_name(service.get("Name")):
            yield f"{where}: Name is missing"
        yield from _number_errors(where, service, ("MaxConnections", "Capacity"))
        runtime = service.get("Runtime") or {}
        if not isinstance(runtime, dict):
            yield f"{where}: Runtime is not an object"
        else:
            yield from _number_errors(where, runtime, ("Capacity", "KvCacheTokens", "stride"))


def _duplicate_name_errors(kind: str, names: list[Any]) -> Iterator[str]:
    for name, count in Counter(name for name in names if isinstance(name, str)).items():
        if count > 1:
            yield f"{kind} {name!r} stands {count} times"


def _number_errors(where: str, item: Mapping[str, Any], keys: tuple[str, ...]) -> Iterator[str]:
    for key in keys:
        value = item.get(key)
        if value is not None and (not is_number(value) or value < 0):
            yield f"{where}: {key} is not a number of at least 0"


_ROUTE_NUMBER_KEYS = (
    "TargetLatencyMs",
    "Priority",
    "MaxAttempts",
    "gap_aim_ms",
    "CompletionTargetMs",
    "RetentionS",
    "MaxQueuedTokens",
)


def _all_route_errors(routes: list[dict[str, Any]], services: set[str]) -> Iterator[str]:
    yield from _duplicate_name_errors("route", [route.get("Name") for route in routes])
    name_by_prefix: dict[tuple[str, str], str] = {}  # by host and path prefix
    for position, route in enumerate(routes):
        name = route.get("Name", position)
        where = f"route {name!r}"
        yield from _route_errors(where, route)
        yield from _target_errors(where, route, services)
        host, prefix = route.get("Host"), route.get("PathPrefix")
        if not isinstance(host, str) or not isinstance(prefix, str):
            continue
        key = (host.lower(), prefix)
        if key in name_by_prefix:
            yield f"{where}: has the host and prefix of route {name_by_prefix[key]!r}"
        else:
            name_by_prefix[key] = name


def _route_errors(where: str, route: Mapping[str, Any]) -> Iterator[str]:
    for key in ("Name", "Host"):
        if not _is_name(route.get(key)):
            yield f"{where}: {key} is missing"
    prefix = route.get("PathPrefix")
    if not _is_name(prefix) or not (str(prefix).startswith("/") and str(prefix).endswith("/")):
        yield f"{where}: PathPrefix does not begin and end with a slash"
    if not _is_one_of(route.get("Type"), _ROUTE_TYPES):
        yield f"{where}: Type {route.get('Type')!r} is unknown"
    timeout = route.get("TimeoutMs")
    if not is_number(timeout) or timeout is None or timeout <= 0:
        yield f"{where}: TimeoutMs is not above 0"
    yield from _number_errors(where, route, _ROUTE_NUMBER_KEYS)


def _target_errors(where: str, route: Mapping[str, Any], services: set[str]) -> Iterator[str]:
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
    yield from _split_errors(where, split, services)


def _split_errors(where: str, split: list[dict[str, Any]], services: set[str]) -> Iterator[str]:
    total_weight = 0.0
    for share in split:
        service, weight = share.get("Service"), share.get("Weight", 0)
        if not _is_one_of(service, services):
            yield f"{where}: Service {service!r} of TrafficSplit is unknown"
        if not is_number(weight) or weight < 0:
            yield f"{where}: Weight {weight!r} is not a number of at least 0"
        else:
            total_weight += weight
    if total_weight <= 0:
        yield f"{where}: the weights add up to 0"


def _limits_errors(limits: object) -> Iterator[str]:
    if limits is None:
        return
    if not isinstance(limits, dict):
        yield "Limits is not an object"
        return
    keys = ("MaxHeaderBytes", "MaxBodyBytes", "HeaderTimeoutMs", "IdleTimeoutMs")
    yield from _number_errors("Limits", limits, keys)
