"""Semantic checks of a parsed file: references to undefined names, unreachable routes, values that contradict each
other. `load` has already checked types and ranges."""

from __future__ import annotations

import ipaddress
from collections.abc import Callable, Iterable, Sequence
from typing import Any

from loadbalancer.core.address import parse_address
from loadbalancer.overload.connections import SPARE
from loadbalancer.router.calls import CallPattern, CallRoute, CallTable
from loadbalancer.router.paths import PathPattern
from loadbalancer.router.router import HeaderMatch, Route, Router
from loadbalancer.sidecar.load import Document
from loadbalancer.sidecar.locate import Path
from loadbalancer.sidecar.mistakes import suggestion
from loadbalancer.sidecar.models import (
    Application,
    Catalogue,
    ClassModel,
    Configuration,
    ListSource,
    PoolModel,
    RouteModel,
)

ReportMistake = Callable[[Path, str, str], None]

MIN_DESCRIPTORS_EACH = 8  # file descriptors for each listener and pool


def check(document: Document, descriptors: int | None = None) -> None:
    """Append what is wrong to the document's mistakes. `descriptors`: the process limit where the sidecar runs."""
    if document.model is None:
        return

    def report(path: Path, wrong: str, right: str) -> None:
        # A schema error in the same entity is the cause; errors that follow from it would only be noise.
        if not any(_same_entity(path, invalid) for invalid in document.invalid_paths):
            document.add(path, wrong, right)

    model = document.model
    if isinstance(model, Catalogue):
        _check_catalogue(model, report, descriptors, document)
    elif isinstance(model, Application):
        _check_application(model, report)
    elif isinstance(model, Configuration):
        _check_configuration(model, report, descriptors, document)
    document.mistakes.sort()


def _same_entity(path: Path, invalid: Path) -> bool:
    """Whether both paths are in the same top-level table, or in the same element of a top-level list."""
    size = 2 if len(path) > 1 and isinstance(path[1], int) else 1
    return invalid[:size] == path[:size] or (len(invalid) == 1 and invalid[0] == path[0])


# ------------------------------------------------------------------ parts of several files


def _check_unique(path: Path, names: Sequence[str], report: ReportMistake, key: str = "name") -> None:
    for index, name in enumerate(names):
        if name in names[:index]:
            report(
                (*path, index, key),
                f"{name!r} is used twice",
                f"the first use is the {key} of element {names.index(name)}",
            )


def _check_pools(pools: list[PoolModel], used: Iterable[str], report: ReportMistake) -> None:
    _check_unique(("pools",), [pool.name for pool in pools], report)
    used_names, defined = set(used), {pool.name for pool in pools}
    for index, pool in enumerate(pools):
        location: Path = ("pools", index)
        if (
            pool.name not in used_names and used_names <= defined
        ):  # otherwise a class may have misspelt its name
            report(
                (*location, "name"), f"no class uses pool {pool.name!r}", "remove it, or use it in a class"
            )
        if pool.thrift is not None and pool.protocol == "http":
            report(
                (*location, "thrift"),
                f"pool {pool.name!r} speaks HTTP",
                "remove it, or set protocol = 'thrift'",
            )
        if pool.report_fields and pool.protocol == "thrift":
            report((*location, "report_fields"), "no load report comes over Thrift", "remove it")
        source = pool.servers_from
        if source is None:
            report(
                location, f"pool {pool.name!r} has no list", "add list, with source = 'static' or 'discovery'"
            )
        else:
            _check_list_source((*location, "list"), source, report)
        if source is not None and source.source == "static":
            if not source.servers:
                report((*location, "list"), f"the list of pool {pool.name!r} has no servers", "add servers")
            _check_unique((*location, "list", "servers"), [item.id for item in source.servers], report, "id")
            _check_unique(
                (*location, "list", "servers"), [item.address for item in source.servers], report, "address"
            )
            for number, item in enumerate(source.servers):
                if pool.zones and item.zone not in pool.zones:
                    path = (*location, "list", "servers", number, "zone")
                    report(
                        path,
                        f"zone {item.zone!r} is not a zone of the pool",
                        suggestion(item.zone, pool.zones),
                    )


# Required and optional keys for each source of a server list.
LIST_SOURCE_KEYS: dict[str, tuple[frozenset[str], frozenset[str]]] = {
    "static": (frozenset(), frozenset({"servers"})),
    "discovery": (frozenset({"address"}), frozenset({"mode"})),
    "xds": (frozenset({"cluster"}), frozenset({"address", "path", "transport", "updates"})),
}


def _check_list_source(location: Path, source: ListSource, report: ReportMistake) -> None:
    required, optional = LIST_SOURCE_KEYS[source.source]
    if source.source == "xds" and (source.address is None) == (source.path is None):
        report(
            location,
            "xds needs either an address or a path, and has both or neither",
            "set exactly one of them",
        )
    for key in ("transport", "updates"):
        if source.path is not None and getattr(source, key) is not None:
            report((*location, key), "applies to a control plane, not to a file", "remove it")
    if source.transport == "rest" and source.updates == "incremental":
        report((*location, "updates"), "REST polling has no incremental updates", "remove it, or use 'state'")
    for key in ("address", "mode", "path", "cluster", "transport", "updates", "servers"):
        is_set = bool(getattr(source, key))
        if key in required and not is_set:
            report(location, f"{source.source} has no {key}", f"add {key}")
        elif is_set and key not in required | optional:
            sources = " or ".join(
                repr(name) for name, (one, two) in LIST_SOURCE_KEYS.items() if key in one | two
            )
            report(
                (*location, key),
                f"does not apply to source {source.source!r}",
                f"remove it, or use {sources}",
            )


def _check_classes(
    classes: Sequence[ClassModel], pools: list[PoolModel], attempts: int, report: ReportMistake
) -> None:
    _check_unique(("classes",), [item.name for item in classes], report)
    by_name = {pool.name: pool for pool in pools}
    for index, item in enumerate(classes):
        location: Path = ("classes", index)
        pool = by_name.get(item.pool)
        if pool is None:
            report((*location, "pool"), f"there is no pool {item.pool!r}", suggestion(item.pool, by_name))
        elif item.give_up_ms <= pool.round_trip_ms:
            report(
                (*location, "give_up_ms"),
                f"{item.give_up_ms:g} is not above the network round trip of pool {pool.name!r}",
                f"more than {pool.round_trip_ms:g}",
            )
        if item.aim_ms > item.give_up_ms:
            report(
                (*location, "aim_ms"), f"{item.aim_ms:g} is over give_up_ms", f"at most {item.give_up_ms:g}"
            )
        if item.attempts is not None and item.attempts > attempts:
            report(
                (*location, "attempts"),
                f"{item.attempts} is over the rules' max_attempts",
                f"at most {attempts}",
            )
        if item.oneway_ms is not None and item.oneway_ms > item.give_up_ms:
            report(
                (*location, "oneway_ms"),
                f"{item.oneway_ms:g} is over give_up_ms",
                f"at most {item.give_up_ms:g}",
            )
        if pool is not None and pool.protocol != "both":
            misplaced = ("key_header",) if pool.protocol == "thrift" else ("key_field", "oneway_ms")
            for key in misplaced:
                if getattr(item, key) is not None:
                    report((*location, key), f"pool {pool.name!r} speaks {pool.protocol} only", "remove it")
        if item.hedge and item.effect != "safe":
            report((*location, "hedge"), f"{item.name!r} is {item.effect}", "hedge safe classes only")
        if item.effect == "keyed":
            if item.memory_ms is None:
                report(
                    location,
                    f"keyed class {item.name!r} has no memory_ms",
                    "add how long servers remember a key",
                )
            if pool is not None and pool.protocol != "http" and item.key_field is None:
                report(
                    location,
                    f"keyed class {item.name!r} has no key_field",
                    "add the field path of its key, such as 1.3",
                )
        else:
            for key in ("key_header", "key_scope", "memory_ms", "key_field"):
                if getattr(item, key) is not None:
                    report(
                        (*location, key),
                        f"applies to a keyed class only, and {item.name!r} is {item.effect}",
                        "remove it",
                    )


def route_of(model: RouteModel, service: str, pool: str, deadline_ms: float | None = None) -> Route:
    """The router's form of an HTTP route."""
    assert model.path is not None  # checked before
    return Route(
        service=service,
        pool=pool,
        path=PathPattern.parse(model.path),
        methods=frozenset(method.encode() for method in model.methods),
        headers=tuple(
            HeaderMatch(
                item.name.lower().encode(), None if item.value is None else item.value.encode("latin-1")
            )
            for item in model.headers
        ),
        deadline_ms=deadline_ms,
    )


def call_route_of(model: RouteModel, service: str, pool: str, deadline_ms: float | None = None) -> CallRoute:
    """The call table's form of a Thrift route."""
    assert model.call is not None  # checked before
    return CallRoute(service, pool, CallPattern.parse(model.call), deadline_ms)


RouteEntries = list[tuple[Path, RouteModel, str]]  # routes in matching order: path in the file, model, class


def _check_route_entries(
    entries: RouteEntries, protocols: dict[str, str], report: ReportMistake, document: Document
) -> None:
    """Check routes in matching order. `protocols`: the protocol of each class's pool, by class name."""
    for path, model, service in entries:
        if (model.path is None) == (model.call is None):
            report(
                path,
                "a route has a path or a call, and this one has both or neither",
                "set exactly one of them",
            )
            return
        for key in ("methods", "headers"):
            if model.call is not None and getattr(model, key):
                report((*path, key), "belongs to HTTP, not to a Thrift call", "remove it")
        route_protocol, key = model.protocol, "path" if model.call is None else "call"
        pool_protocol = protocols.get(service, "both")
        if pool_protocol not in (route_protocol, "both"):
            report(
                (*path, key),
                f"the pool of class {service!r} speaks {pool_protocol}, not {route_protocol}",
                "use another class",
            )
        for index, item in enumerate(model.headers):
            if item.value is not None and not (item.value.isascii() and item.value.isprintable()):
                report(
                    (*path, "headers", index, "value"),
                    "is not printable ASCII",
                    "use a valid header value",
                )
                return
    paths = [item for item in entries if item[1].path is not None]
    calls = [item for item in entries if item[1].call is not None]
    router = Router(route_of(model, service, "") for _, model, service in paths)
    table = CallTable(call_route_of(model, service, "") for _, model, service in calls)
    for rows, shadowed, key in ((paths, router.shadowed(), "path"), (calls, table.shadowed(), "call")):
        for index, by in shadowed:
            earlier, _, service = rows[by]
            report(
                (*rows[index][0], key),
                f"no request reaches this route: the one at {document.at(earlier)} ({service}) matches all of them",
                "put the narrower route first, or remove it",
            )


def _protocols_by_class(classes: Sequence[ClassModel], pools: list[PoolModel]) -> dict[str, str]:
    by_name = {pool.name: pool.protocol for pool in pools}
    return {item.name: by_name[item.pool] for item in classes if item.pool in by_name}


def _check_descriptor_limit(
    descriptors: int | None, listeners_and_pools: int, maximum: int | None, path: Path, report: ReportMistake
) -> None:
    if descriptors is None:
        return
    if maximum is not None and descriptors > maximum:
        report(path, f"{descriptors} is over the process limit here", f"at most {maximum}")
    minimum = SPARE + listeners_and_pools * MIN_DESCRIPTORS_EACH
    if descriptors < minimum:
        report(
            path,
            f"{descriptors} is too few for {listeners_and_pools} listeners and pools",
            f"at least {minimum}",
        )


def _check_loopback(path: Path, text: str, report: ReportMistake) -> None:
    host, _ = parse_address(text)
    try:
        is_loopback = ipaddress.ip_address(host).is_loopback
    except ValueError:
        is_loopback = False
    if not is_loopback:
        report(path, f"{host} is not a loopback address", "127.0.0.1 or [::1]")


# ------------------------------------------------------------------------- whole files


def _check_catalogue(
    model: Catalogue, report: ReportMistake, descriptors: int | None, document: Document
) -> None:
    _check_unique(("tenants",), [item.name for item in model.tenants], report)
    _check_pools(model.pools, (item.pool for item in model.classes), report)
    _check_classes(model.classes, model.pools, model.rules.max_attempts, report)
    entries: RouteEntries = []
    for index, item in enumerate(model.classes):
        if not item.routes:
            report(("classes", index), f"no route reaches class {item.name!r}", "add routes")
        entries += [
            (("classes", index, "routes", number), route, item.name)
            for number, route in enumerate(item.routes)
        ]
    _check_route_entries(entries, _protocols_by_class(model.classes, model.pools), report, document)
    _check_descriptor_limit(
        model.limits.descriptors, 1 + len(model.pools), descriptors, ("limits", "descriptors"), report
    )


def _check_application(model: Application, report: ReportMistake) -> None:
    _check_loopback(("listen",), model.listen, report)
    if model.thrift_listen is not None:
        _check_loopback(("thrift_listen",), model.thrift_listen, report)
        if _same_address(model.thrift_listen, model.listen):
            report(
                ("thrift_listen",),
                f"{model.thrift_listen} is already the address of listen",
                "use another port",
            )
    else:
        for key in ("tenant_field", "budget_field"):
            if getattr(model, key) is not None:
                report((key,), "applies to Thrift calls, and there is no thrift_listen", "remove it")
    if model.admin is not None:
        _check_loopback(("admin",), model.admin, report)
        if _same_address(model.admin, model.listen):
            report(("admin",), f"{model.admin} is already the address of the listener", "use another port")
    elif parse_address(model.listen)[1] == 65535:
        report(("listen",), "no port after 65535 is left for admin", "use a lower port, or add admin")
    effects: dict[str, tuple[int, str | None]] = {}
    for index, call in enumerate(model.calls):
        location: Path = ("calls", index)
        if call.service in effects:
            number, effect = effects[call.service]
            if effect != call.effect:
                report(
                    (*location, "effect") if call.effect else location,
                    f"class {call.service!r} is called with two effects, {call.effect} and {effect}",
                    f"use one effect for each class; the other one is in element {number}",
                )
            else:
                report(
                    (*location, "class"),
                    f"class {call.service!r} is called twice",
                    "use one entry for each class",
                )
        effects.setdefault(call.service, (index, call.effect))
        if call.effect == "unsafe":
            for key in ("retryable", "idempotent", "hedged"):
                if getattr(call, key):
                    report((*location, key), "can't be true for an unsafe call", "remove it")


def _same_address(one: str, other: str) -> bool:
    first = parse_address(one)
    return first[1] != 0 and first == parse_address(other)


def _check_configuration(
    model: Configuration, report: ReportMistake, descriptors: int | None, document: Document
) -> None:
    _check_unique(("tenants",), [item.name for item in model.tenants], report)
    _check_pools(model.pools, (item.pool for item in model.classes), report)
    _check_classes(model.classes, model.pools, model.rules.max_attempts, report)
    for index, item in enumerate(model.classes):
        if item.hedge and model.budget is None:
            wrong = "hedges spend the retry budget, and there is none"
            report(("classes", index, "hedge"), wrong, "add [budget], or remove it")
    _check_unique(("listeners",), [item.name for item in model.listeners], report)
    tenants = {item.name for item in model.tenants}
    for index, listener in enumerate(model.listeners):
        location: Path = ("listeners", index)
        _check_loopback((*location, "address"), listener.address, report)
        for earlier in model.listeners[:index]:
            if _same_address(earlier.address, listener.address):
                report(
                    (*location, "address"),
                    f"listener {earlier.name!r} already has {listener.address}",
                    "use another port",
                )
        if listener.tenant is not None and listener.tenant not in tenants:
            report(
                (*location, "tenant"),
                f"there is no tenant {listener.tenant!r}",
                suggestion(listener.tenant, tenants),
            )
    _check_own_listeners(model, report)
    if model.admin is not None:
        _check_loopback(("admin", "address"), model.admin.address, report)
        for listener in model.listeners:
            if _same_address(model.admin.address, listener.address):
                report(
                    ("admin", "address"),
                    f"is already the address of listener {listener.name!r}",
                    "use another port",
                )
    _check_configured_routes(model, report, document)
    zones = {zone for pool in model.pools for zone in pool.zones}
    if zones and model.zone not in zones:
        report(("zone",), f"zone {model.zone!r} is not a zone of any pool", suggestion(model.zone, zones))
    listeners_and_pools = len(model.listeners) + len(model.pools)
    _check_descriptor_limit(
        model.limits.descriptors, listeners_and_pools, descriptors, ("limits", "descriptors"), report
    )


def _check_own_listeners(model: Configuration, report: ReportMistake) -> None:
    """Report pools that list a listener of the same file: each request would loop through this sidecar."""
    for index, pool in enumerate(model.pools):
        source = pool.servers_from
        for number, item in enumerate(source.servers if source is not None else []):
            for listener in model.listeners:
                if _same_address(item.address, listener.address):
                    report(
                        ("pools", index, "list", "servers", number, "address"),
                        f"is listener {listener.name!r} of this file: each request would loop",
                        "use the address of a server",
                    )


def _check_configured_routes(model: Configuration, report: ReportMistake, document: Document) -> None:
    classes: dict[str, Any] = {item.name: item for item in model.classes}
    pools = {pool.name: pool for pool in model.pools}
    reached_classes = set()
    for index, route in enumerate(model.routes):
        location: Path = ("routes", index)
        service_class = classes.get(route.service)
        if service_class is None:
            report(
                (*location, "class"),
                f"there is no class {route.service!r}",
                suggestion(route.service, classes),
            )
            continue
        reached_classes.add(service_class.name)
        if route.effect is not None and route.effect != service_class.effect:
            report(
                (*location, "effect"),
                f"is {route.effect!r}, and class {service_class.name!r} is {service_class.effect}",
                f"use {service_class.effect!r}, or another class",
            )
        if route.deadline_ms is None:
            continue
        if route.deadline_ms > service_class.give_up_ms:
            report(
                (*location, "deadline_ms"),
                "is over give_up_ms of the class",
                f"at most {service_class.give_up_ms:g}",
            )
        pool = pools.get(service_class.pool)
        if pool is not None and route.deadline_ms <= pool.round_trip_ms:
            report(
                (*location, "deadline_ms"),
                f"{route.deadline_ms:g} is not above the network round trip of pool {pool.name!r}",
                f"more than {pool.round_trip_ms:g}",
            )
    if not any(path[0] == "routes" for path in document.invalid_paths):
        for index, item in enumerate(model.classes):
            if item.name not in reached_classes:
                report(
                    ("classes", index), f"no route reaches class {item.name!r}", "add a route, or remove it"
                )
    entries: RouteEntries = [
        (("routes", index), route, route.service) for index, route in enumerate(model.routes)
    ]
    _check_route_entries(entries, _protocols_by_class(model.classes, model.pools), report, document)
    _check_protocols_served(model, report, document)


def _check_protocols_served(model: Configuration, report: ReportMistake, document: Document) -> None:
    """Report protocols that have routes but no listener, or a listener but no routes."""
    route_protocols = {route.protocol for route in model.routes}
    for index, listener in enumerate(model.listeners):
        if listener.protocol not in route_protocols:
            report(
                ("listeners", index, "protocol"),
                f"no route uses {listener.protocol}",
                "add one, with path for http or call for thrift",
            )
        for key in ("tenant_field", "budget_field"):
            if getattr(listener, key) is not None and listener.protocol != "thrift":
                report(("listeners", index, key), "applies to a Thrift listener only", "remove it")
        for key in ("trust", "budget_field"):
            if getattr(listener, key) is not None and model.budget is None:
                report(
                    ("listeners", index, key),
                    "budgets are not propagated without [budget]",
                    "add [budget], or remove it",
                )
    listener_protocols = {listener.protocol for listener in model.listeners}
    if not any(path[0] == "listeners" for path in document.invalid_paths):
        for index, route in enumerate(model.routes):
            if route.protocol not in listener_protocols:
                right = f"add one, with protocol = '{route.protocol}'"
                report(("routes", index), f"no listener uses {route.protocol}", right)
