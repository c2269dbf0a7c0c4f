"""Thrift routes held against an IDL file: methods that don't exist, oneway calls in a class that may repeat them,
methods without a class, keys where no such field stands. The IDL is read by thriftpy2, of the extra `thrift`."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path as FilePath
from typing import Any

from loadbalancer.router.calls import CallTable
from loadbalancer.sidecar.checks import call_route_of
from loadbalancer.sidecar.load import Document, UnusableError
from loadbalancer.sidecar.locate import Path
from loadbalancer.sidecar.mistakes import near
from loadbalancer.sidecar.models import Catalogue, ClassModel, Configuration, RouteModel, field_ids

STRUCT = 12  # as thriftpy2 and the binary protocol number it
SINGLE = {2, 3, 6, 8, 10, 11}  # types of which a field can name a key or a tenant: bool, integers, string


@dataclass(slots=True, frozen=True)
class Method:
    service: str
    name: str
    oneway: bool
    arguments: Any  # by field id: a tuple of type, name and, for a struct, its class

    @property
    def names(self) -> tuple[str, str]:
        """As it is called, plainly and multiplexed."""
        return self.name, f"{self.service}:{self.name}"

    def field(self, ids: tuple[int, ...]) -> int | None:
        """The type of the field at this path of the arguments; None where there is none."""
        spec, kind = self.arguments, None
        for number in ids:
            found = spec.get(number) if spec is not None else None
            if found is None:
                return None
            kind = found[0]
            spec = found[2].thrift_spec if kind == STRUCT else None
        return kind


def methods_of(path: str) -> list[Method]:
    """All methods of an IDL file's services; UnusableError if it can't be read."""
    try:
        from thriftpy2.parser.exc import ThriftParserError
        from thriftpy2.parser.parser import parse
    except ImportError as error:
        raise UnusableError(
            f"{path}: an IDL file needs the extra: pip install 'emberring[thrift]'"
        ) from error
    try:
        FilePath(path).read_bytes()
        module: Any = parse(path, enable_cache=False)  # type: ignore[no-untyped-call]
    except OSError as error:
        raise UnusableError(f"{path}: {error.strerror or error}") from error
    except (ThriftParserError, ValueError, AttributeError, KeyError) as error:
        raise UnusableError(f"{path}: {' '.join(str(error).split())}") from error
    services = module.__thrift_meta__["services"]
    if not services:
        raise UnusableError(f"{path}: has no service")
    return [
        Method(
            service.__name__,
            name,
            bool(getattr(service, f"{name}_result").oneway),
            getattr(service, f"{name}_args").thrift_spec,
        )
        for service in services
        for name in service.thrift_services
    ]


def hold(document: Document, methods: list[Method], idl: str) -> None:
    """Add to a catalogue's or a configuration's mistakes what does not agree with the IDL."""
    model = document.model
    if isinstance(model, Catalogue):
        routes = list(_of_catalogue(model))
    elif isinstance(model, Configuration):
        by_name = {item.name: (at, item) for at, item in enumerate(model.classes)}
        routes = [
            (("routes", at), route, *by_name[route.service])
            for at, route in enumerate(model.routes)
            if route.call is not None and route.service in by_name
        ]
    else:
        return
    table = CallTable(call_route_of(route, kind.name, "") for _, route, _, kind in routes)
    names = [name for method in methods for name in method.names]
    for (path, route, _, _), row in zip(routes, table.routes, strict=True):
        if not any(row.call.matches(name) for name in names):
            document.add((*path, "call"), f"{idl} has no method {route.call!r}", near(str(route.call), names))
    classes = {kind.name: (at, kind) for _, _, at, kind in routes}
    reached: dict[str, list[Method]] = {name: [] for name in classes}
    for method in methods:
        taken = [found for name in method.names if (found := table.match(name)) is not None]
        if not taken:
            document.add((), f"no route takes {method.names[1]} of {idl}", "add a route, with call")
        for name in dict.fromkeys(found.service for found in taken):
            reached[name].append(method)
    for name, (at, kind) in classes.items():
        _class(document, ("classes", at), kind, reached[name], idl)
    document.mistakes.sort()


def _of_catalogue(model: Catalogue) -> Iterator[tuple[Path, RouteModel, int, ClassModel]]:
    for at, item in enumerate(model.classes):
        for number, route in enumerate(item.routes):
            if route.call is not None:
                yield ("classes", at, "routes", number), route, at, item


def _class(document: Document, path: Path, kind: ClassModel, methods: list[Method], idl: str) -> None:
    for method in methods:
        if method.oneway and kind.effect != "unsafe":
            document.add(
                (*path, "effect"),
                f"{method.name} of {idl} is oneway, which is never sent again, and {kind.name!r} is {kind.effect}",
                "an unsafe class for it",
            )
        if kind.key_field is not None and method.field(field_ids(kind.key_field)) not in SINGLE:
            document.add(
                (*path, "key_field"),
                f"{method.name} of {idl} has no string or number at {kind.key_field}",
                "where its key stands, as in 1.3",
            )
    if kind.oneway_ms is not None and methods and not any(method.oneway for method in methods):
        document.add(
            (*path, "oneway_ms"), f"no method of class {kind.name!r} is oneway in {idl}", "leave it out"
        )
