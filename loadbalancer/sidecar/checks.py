"""What is wrong with a file beyond the shape of its values: names that lead nowhere, routes that no request
reaches, figures that can't hold together."""

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
from loadbalancer.sidecar.mistakes import near
from loadbalancer.sidecar.models import (
    Application,
    Catalogue,
    ClassModel,
    Configuration,
    ListSource,
    PoolModel,
    RouteModel,
)

Say = Callable[[Path, str, str], None]

LEAST_EACH = 8  # descriptors for each listener and pool


def check(document: Document, descriptors: int | None = None) -> None:
    """Add what is wrong to the document's mistakes. `descriptors`: how many a process may have here."""
    if document.model is None:
        return

    def say(path: Path, wrong: str, right: str) -> None:
        # A mistake of shape in the same place is the cause; what follows from it is not told too.
        if not any(_touch(path, spoilt) for spoilt in document.spoilt):
            document.add(path, wrong, right)

    model = document.model
    if isinstance(model, Catalogue):
        _catalogue(model, say, descriptors, document)
    elif isinstance(model, Application):
        _application(model, say)
    elif isinstance(model, Configuration):
        _configuration(model, say, descriptors, document)
    document.mistakes.sort()


def _touch(path: Path, spoilt: Path) -> bool:
    """Whether both lie in the same entity: the same table at the top, or the same element of a list."""
    size = 2 if len(path) > 1 and isinstance(path[1], int) else 1
    return spoilt[:size] == path[:size] or (len(spoilt) == 1 and spoilt[0] == path[0])


# ------------------------------------------------------------------ parts of several files


def _unique(path: Path, names: Sequence[str], say: Say, key: str = "name") -> None:
    for at, name in enumerate(names):
        if name in names[:at]:
            say(
                (*path, at, key),
                f"{name!r} stands twice",
                f"the first is {key} of number {names.index(name)}",
            )


def _pools(pools: list[PoolModel], used: Iterable[str], say: Say) -> None:
    _unique(("pools",), [pool.name for pool in pools], say)
    wanted, named = set(used), {pool.name for pool in pools}
    for at, pool in enumerate(pools):
        here: Path = ("pools", at)
        if pool.name not in wanted and wanted <= named:  # else a class may mean it by another name
            say((*here, "name"), f"no class uses pool {pool.name!r}", "leave it out, or name it in a class")
        if pool.thrift is not None and pool.protocol == "http":
            say((*here, "thrift"), f"pool {pool.name!r} speaks HTTP", "leave it out, or protocol = 'thrift'")
        if pool.report_fields and pool.protocol == "thrift":
            say((*here, "report_fields"), "no load report comes over Thrift", "leave it out")
        source = pool.servers_from
        if source is None:
            say(here, f"pool {pool.name!r} has no list", "add list, with source = 'static' or 'discovery'")
        else:
            _source((*here, "list"), source, say)
        if source is not None and source.source == "static":
            if not source.servers:
                say((*here, "list"), f"pool {pool.name!r} has a list without servers", "add servers")
            _unique((*here, "list", "servers"), [item.id for item in source.servers], say, "id")
            _unique((*here, "list", "servers"), [item.address for item in source.servers], say, "address")
            for number, item in enumerate(source.servers):
                if pool.zones and item.zone not in pool.zones:
                    path = (*here, "list", "servers", number, "zone")
                    say(path, f"zone {item.zone!r} is not one of the pool's", near(item.zone, pool.zones))


# By kind of list: what it needs, and what it may have beside that.
SOURCES: dict[str, tuple[frozenset[str], frozenset[str]]] = {
    "static": (frozenset(), frozenset({"servers"})),
    "discovery": (frozenset({"address"}), frozenset({"mode"})),
    "xds": (frozenset({"cluster"}), frozenset({"address", "path", "transport", "updates"})),
}


def _source(here: Path, source: ListSource, say: Say) -> None:
    needs, may = SOURCES[source.source]
    if source.source == "xds" and (source.address is None) == (source.path is None):
        say(here, "xds needs an address or a path, and has both or neither", "give one of them")
    for key in ("transport", "updates"):
        if source.path is not None and getattr(source, key) is not None:
            say((*here, key), "belongs to a control plane, not to a file", "leave it out")
    if source.transport == "rest" and source.updates == "incremental":
        say((*here, "updates"), "polling has no incremental form", "leave it out, or 'state'")
    for key in ("address", "mode", "path", "cluster", "transport", "updates", "servers"):
        given = bool(getattr(source, key))
        if key in needs and not given:
            say(here, f"{source.source} has no {key}", f"add {key}")
        elif given and key not in needs | may:
            owners = " or ".join(repr(name) for name, (one, two) in SOURCES.items() if key in one | two)
            say((*here, key), f"does not belong to {source.source!r}", f"leave it out, or use {owners}")


def _classes(classes: Sequence[ClassModel], pools: list[PoolModel], attempts: int, say: Say) -> None:
    _unique(("classes",), [item.name for item in classes], say)
    by_name = {pool.name: pool for pool in pools}
    for at, item in enumerate(classes):
        here: Path = ("classes", at)
        pool = by_name.get(item.pool)
        if pool is None:
            say((*here, "pool"), f"there is no pool {item.pool!r}", near(item.pool, by_name))
        elif item.give_up_ms <= pool.round_trip_ms:
            say(
                (*here, "give_up_ms"),
                f"{item.give_up_ms:g} is not above the network's round trip of pool {pool.name!r}",
                f"more than {pool.round_trip_ms:g}",
            )
        if item.aim_ms > item.give_up_ms:
            say((*here, "aim_ms"), f"{item.aim_ms:g} is over give_up_ms", f"at most {item.give_up_ms:g}")
        if item.attempts is not None and item.attempts > attempts:
            say(
                (*here, "attempts"), f"{item.attempts} is over the rules' max_attempts", f"at most {attempts}"
            )
        if item.oneway_ms is not None and item.oneway_ms > item.give_up_ms:
            say(
                (*here, "oneway_ms"), f"{item.oneway_ms:g} is over give_up_ms", f"at most {item.give_up_ms:g}"
            )
        if pool is not None and pool.protocol != "both":
            strange = ("key_header",) if pool.protocol == "thrift" else ("key_field", "oneway_ms")
            for key in strange:
                if getattr(item, key) is not None:
                    say((*here, key), f"pool {pool.name!r} speaks {pool.protocol} only", "leave it out")
        if item.hedge and item.effect != "safe":
            say((*here, "hedge"), f"{item.name!r} is {item.effect}", "only a safe class may be hedged")
        if item.effect == "keyed":
            if item.memory_ms is None:
                say(here, f"keyed class {item.name!r} has no memory_ms", "add how long boxes know a key")
            if pool is not None and pool.protocol != "http" and item.key_field is None:
                say(
                    here, f"keyed class {item.name!r} has no key_field", "add where its key stands, as in 1.3"
                )
        else:
            for key in ("key_header", "key_scope", "memory_ms", "key_field"):
                if getattr(item, key) is not None:
                    say(
                        (*here, key),
                        f"belongs to a keyed class, and {item.name!r} is {item.effect}",
                        "leave it out",
                    )


def route_of(model: RouteModel, service: str, pool: str, deadline_ms: float | None = None) -> Route:
    """A route of HTTP requests."""
    assert model.path is not None  # as checked
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
    """A route of Thrift calls."""
    assert model.call is not None  # as checked
    return CallRoute(service, pool, CallPattern.parse(model.call), deadline_ms)


Found = list[tuple[Path, RouteModel, str]]  # routes in the order in which they are asked: path, model, class


def _routes(found: Found, protocols: dict[str, str], say: Say, document: Document) -> None:
    """`protocols`: of the pool of each class, by the class's name."""
    for path, model, service in found:
        if (model.path is None) == (model.call is None):
            say(path, "a route has a path or a call, and this one has both or neither", "give one of them")
            return
        for key in ("methods", "headers"):
            if model.call is not None and getattr(model, key):
                say((*path, key), "belongs to HTTP, not to a Thrift call", "leave it out")
        speaks, key = model.protocol, "path" if model.call is None else "call"
        pool = protocols.get(service, "both")
        if pool not in (speaks, "both"):
            say((*path, key), f"the pool of class {service!r} speaks {pool}, not {speaks}", "another class")
        for at, item in enumerate(model.headers):
            if item.value is not None and not (item.value.isascii() and item.value.isprintable()):
                say(
                    (*path, "headers", at, "value"),
                    "is not printable ASCII",
                    "a value that a header can have",
                )
                return
    paths = [item for item in found if item[1].path is not None]
    calls = [item for item in found if item[1].call is not None]
    router = Router(route_of(model, service, "") for _, model, service in paths)
    table = CallTable(call_route_of(model, service, "") for _, model, service in calls)
    for rows, shadowed, key in ((paths, router.shadowed(), "path"), (calls, table.shadowed(), "call")):
        for at, by in shadowed:
            before, _, service = rows[by]
            say(
                (*rows[at][0], key),
                f"no request reaches this route: the one at {document.at(before)} ({service}) takes all of them",
                "put the narrower route first, or leave it out",
            )


def _protocols(classes: Sequence[ClassModel], pools: list[PoolModel]) -> dict[str, str]:
    by_name = {pool.name: pool.protocol for pool in pools}
    return {item.name: by_name[item.pool] for item in classes if item.pool in by_name}


def _limits(descriptors: int | None, parts: int, most: int | None, path: Path, say: Say) -> None:
    if descriptors is None:
        return
    if most is not None and descriptors > most:
        say(path, f"{descriptors} is more than a process may have here", f"at most {most}")
    least = SPARE + parts * LEAST_EACH
    if descriptors < least:
        say(path, f"{descriptors} is too few for {parts} listeners and pools", f"at least {least}")


def _on_loopback(path: Path, text: str, say: Say) -> None:
    host, _ = parse_address(text)
    try:
        good = ipaddress.ip_address(host).is_loopback
    except ValueError:
        good = False
    if not good:
        say(path, f"{host} is not a loopback address", "127.0.0.1 or [::1]")


# ------------------------------------------------------------------------- whole files


def _catalogue(model: Catalogue, say: Say, descriptors: int | None, document: Document) -> None:
    _unique(("tenants",), [item.name for item in model.tenants], say)
    _pools(model.pools, (item.pool for item in model.classes), say)
    _classes(model.classes, model.pools, model.rules.max_attempts, say)
    found: Found = []
    for at, item in enumerate(model.classes):
        if not item.routes:
            say(("classes", at), f"no route reaches class {item.name!r}", "add routes")
        found += [
            (("classes", at, "routes", number), route, item.name) for number, route in enumerate(item.routes)
        ]
    _routes(found, _protocols(model.classes, model.pools), say, document)
    _limits(model.limits.descriptors, 1 + len(model.pools), descriptors, ("limits", "descriptors"), say)


def _application(model: Application, say: Say) -> None:
    _on_loopback(("listen",), model.listen, say)
    if model.thrift_listen is not None:
        _on_loopback(("thrift_listen",), model.thrift_listen, say)
        if _same(model.thrift_listen, model.listen):
            say(("thrift_listen",), f"{model.thrift_listen} is listen's address too", "another port")
    else:
        for key in ("tenant_field", "budget_field"):
            if getattr(model, key) is not None:
                say((key,), "belongs to Thrift calls, and there is no thrift_listen", "leave it out")
    if model.admin is not None:
        _on_loopback(("admin",), model.admin, say)
        if _same(model.admin, model.listen):
            say(("admin",), f"{model.admin} is the listener's address too", "another port")
    elif parse_address(model.listen)[1] == 65535:
        say(("listen",), "port 65535 leaves none after it for admin", "a lower port, or add admin")
    effects: dict[str, tuple[int, str | None]] = {}
    for at, call in enumerate(model.calls):
        here: Path = ("calls", at)
        if call.service in effects:
            number, effect = effects[call.service]
            if effect != call.effect:
                say(
                    (*here, "effect") if call.effect else here,
                    f"class {call.service!r} is called with two effects, {call.effect} and {effect}",
                    f"one effect for a class; the other stands in number {number}",
                )
            else:
                say((*here, "class"), f"class {call.service!r} stands twice", "one entry for a class")
        effects.setdefault(call.service, (at, call.effect))
        if call.effect == "unsafe":
            for key in ("retryable", "idempotent", "hedged"):
                if getattr(call, key):
                    say((*here, key), "can't be true of an unsafe call", "leave it out")


def _same(one: str, other: str) -> bool:
    first = parse_address(one)
    return first[1] != 0 and first == parse_address(other)


def _configuration(model: Configuration, say: Say, descriptors: int | None, document: Document) -> None:
    _unique(("tenants",), [item.name for item in model.tenants], say)
    _pools(model.pools, (item.pool for item in model.classes), say)
    _classes(model.classes, model.pools, model.rules.max_attempts, say)
    for at, item in enumerate(model.classes):
        if item.hedge and model.budget is None:
            why = "a second copy is taken from the budget, and there is none"
            say(("classes", at, "hedge"), why, "add [budget], or leave it out")
    _unique(("listeners",), [item.name for item in model.listeners], say)
    tenants = {item.name for item in model.tenants}
    for at, listener in enumerate(model.listeners):
        here: Path = ("listeners", at)
        _on_loopback((*here, "address"), listener.address, say)
        for before in model.listeners[:at]:
            if _same(before.address, listener.address):
                say(
                    (*here, "address"), f"listener {before.name!r} has {listener.address} too", "another port"
                )
        if listener.tenant is not None and listener.tenant not in tenants:
            say((*here, "tenant"), f"there is no tenant {listener.tenant!r}", near(listener.tenant, tenants))
    _own_listener(model, say)
    if model.admin is not None:
        _on_loopback(("admin", "address"), model.admin.address, say)
        for listener in model.listeners:
            if _same(model.admin.address, listener.address):
                say(("admin", "address"), f"is listener {listener.name!r}'s address too", "another port")
    _known_routes(model, say, document)
    zones = {zone for pool in model.pools for zone in pool.zones}
    if zones and model.zone not in zones:
        say(("zone",), f"zone {model.zone!r} is not one of the pools'", near(model.zone, zones))
    parts = len(model.listeners) + len(model.pools)
    _limits(model.limits.descriptors, parts, descriptors, ("limits", "descriptors"), say)


def _own_listener(model: Configuration, say: Say) -> None:
    """A list that names a listener of the same file sends each request round and round."""
    for at, pool in enumerate(model.pools):
        source = pool.servers_from
        for number, item in enumerate(source.servers if source is not None else []):
            for listener in model.listeners:
                if _same(item.address, listener.address):
                    say(
                        ("pools", at, "list", "servers", number, "address"),
                        f"is listener {listener.name!r} of this file: each request would come back",
                        "the address of a box",
                    )


def _known_routes(model: Configuration, say: Say, document: Document) -> None:
    classes: dict[str, Any] = {item.name: item for item in model.classes}
    pools = {pool.name: pool for pool in model.pools}
    reached = set()
    for at, route in enumerate(model.routes):
        here: Path = ("routes", at)
        kind = classes.get(route.service)
        if kind is None:
            say((*here, "class"), f"there is no class {route.service!r}", near(route.service, classes))
            continue
        reached.add(kind.name)
        if route.effect is not None and route.effect != kind.effect:
            say(
                (*here, "effect"),
                f"is {route.effect!r}, and class {kind.name!r} is {kind.effect}",
                f"{kind.effect!r}, or another class",
            )
        if route.deadline_ms is None:
            continue
        if route.deadline_ms > kind.give_up_ms:
            say((*here, "deadline_ms"), "is over the class's give_up_ms", f"at most {kind.give_up_ms:g}")
        pool = pools.get(kind.pool)
        if pool is not None and route.deadline_ms <= pool.round_trip_ms:
            say(
                (*here, "deadline_ms"),
                f"{route.deadline_ms:g} is not above the network's round trip of pool {pool.name!r}",
                f"more than {pool.round_trip_ms:g}",
            )
    if not any(path[0] == "routes" for path in document.spoilt):
        for at, item in enumerate(model.classes):
            if item.name not in reached:
                say(("classes", at), f"no route reaches class {item.name!r}", "add a route, or leave it out")
    found: Found = [(("routes", at), route, route.service) for at, route in enumerate(model.routes)]
    _routes(found, _protocols(model.classes, model.pools), say, document)
    _listened(model, say, document)


def _listened(model: Configuration, say: Say, document: Document) -> None:
    """Each protocol that routes are of needs a listener, and the other way round."""
    spoken = {route.protocol for route in model.routes}
    for at, listener in enumerate(model.listeners):
        if listener.protocol not in spoken:
            say(
                ("listeners", at, "protocol"),
                f"no route is of {listener.protocol}",
                "add one, with path for http and call for thrift",
            )
        for key in ("tenant_field", "budget_field"):
            if getattr(listener, key) is not None and listener.protocol != "thrift":
                say(("listeners", at, key), "belongs to a Thrift listener", "leave it out")
        for key in ("trust", "budget_field"):
            if getattr(listener, key) is not None and model.budget is None:
                say(
                    ("listeners", at, key),
                    "nothing is carried without a budget",
                    "add [budget], or leave it out",
                )
    heard = {listener.protocol for listener in model.listeners}
    if not any(path[0] == "listeners" for path in document.spoilt):
        for at, route in enumerate(model.routes):
            if route.protocol not in heard:
                right = f"add one, with protocol = '{route.protocol}'"
                say(("routes", at), f"no listener is of {route.protocol}", right)
