"""Checks Thrift routes against an IDL file: unknown methods, methods that no route matches, oneway methods in a class
that may be retried, key fields that do not exist. thriftpy2, from the extra `thrift`, parses the IDL."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path as FilePath
from typing import Any

from loadbalancer.router.calls import CallTable
from loadbalancer.sidecar.checks import call_route_of
from loadbalancer.sidecar.load import Document, UnusableError
from loadbalancer.sidecar.locate import Path
from loadbalancer.sidecar.mistakes import suggestion
from loadbalancer.sidecar.models import Catalogue, ClassModel, Configuration, RouteModel, field_ids

STRUCT = 12  # type number in thriftpy2 and in the binary protocol
SCALAR_TYPES = {2, 3, 6, 8, 10, 11}  # types that can hold a key or a tenant: bool, integers, string


@dataclass(slots=True, frozen=True)
class Method:
    service: str
    name: str
    oneway: bool
    arguments: Any  # thriftpy2's thrift_spec: field id to a tuple of type, name and, for a struct, its class

    @property
    def names(self) -> tuple[str, str]:
        """The names it can be called by: plain and multiplexed."""
        return self.name, f"{self.service}:{self.name}"

    def field(self, ids: tuple[int, ...]) -> int | None:
        """The type of the argument field at this path of ids; None if there is no such field."""
        spec, field_type = self.arguments, None
        for number in ids:
            entry = spec.get(number) if spec is not None else None
            if entry is None:
                return None
            field_type = entry[0]
            spec = entry[2].thrift_spec if field_type == STRUCT else None
        return field_type


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
        raise UnusableError(f"{path}: the IDL file defines no service")
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


def check_against_idl(document: Document, methods: list[Method], idl: str) -> None:
    """Append to a catalogue's or a configuration's mistakes what contradicts the IDL file named `idl`."""
    model = document.model
    if isinstance(model, Catalogue):
        routes = list(_catalogue_routes(model))
    elif isinstance(model, Configuration):
        by_name = {item.name: (index, item) for index, item in enumerate(model.classes)}
        routes = [
            (("routes", index), route, *by_name[route.service])
            for index, route in enumerate(model.routes)
            if route.call is not None and route.service in by_name
        ]
    else:
        return
    table = CallTable(call_route_of(route, service_class.name, "") for _, route, _, service_class in routes)
    names = [name for method in methods for name in method.names]
    for (path, route, _, _), call_route in zip(routes, table.routes, strict=True):
        if not any(call_route.call.matches(name) for name in names):
            document.add(
                (*path, "call"), f"{idl} has no method {route.call!r}", suggestion(str(route.call), names)
            )
    classes = {service_class.name: (index, service_class) for _, _, index, service_class in routes}
    reached: dict[str, list[Method]] = {name: [] for name in classes}
    for method in methods:
        matching = [matched for name in method.names if (matched := table.match(name)) is not None]
        if not matching:
            document.add((), f"no route matches {method.names[1]} of {idl}", "add a route, with call")
        for name in dict.fromkeys(matched.service for matched in matching):
            reached[name].append(method)
    for name, (index, service_class) in classes.items():
        _check_class(document, ("classes", index), service_class, reached[name], idl)
    document.mistakes.sort()


def _catalogue_routes(model: Catalogue) -> Iterator[tuple[Path, RouteModel, int, ClassModel]]:
    for index, item in enumerate(model.classes):
        for number, route in enumerate(item.routes):
            if route.call is not None:
                yield ("classes", index, "routes", number), route, index, item


def _check_class(
    document: Document, path: Path, service_class: ClassModel, methods: list[Method], idl: str
) -> None:
    for method in methods:
        if method.oneway and service_class.effect != "unsafe":
            document.add(
                (*path, "effect"),
                f"{method.name} of {idl} is oneway, which is never retried, "
                f"and {service_class.name!r} is {service_class.effect}",
                "use an unsafe class for it",
            )
        if (
            service_class.key_field is not None
            and method.field(field_ids(service_class.key_field)) not in SCALAR_TYPES
        ):
            document.add(
                (*path, "key_field"),
                f"{method.name} of {idl} has no string or number at {service_class.key_field}",
                "use the field path of its key, such as 1.3",
            )
    if service_class.oneway_ms is not None and methods and not any(method.oneway for method in methods):
        document.add(
            (*path, "oneway_ms"), f"no method of class {service_class.name!r} is oneway in {idl}", "remove it"
        )
