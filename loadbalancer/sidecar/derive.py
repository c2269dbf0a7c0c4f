"""Derives a configuration from a catalogue and an application description, and records the origin of each value.

The description may be stricter than the catalogue, never looser. A looser value is a mistake whose text names the
line of the catalogue that sets the limit.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from itertools import pairwise
from os.path import basename
from typing import Any

from pydantic import BaseModel

from loadbalancer.core.address import parse_address
from loadbalancer.sidecar.checks import check
from loadbalancer.sidecar.load import Document, parse
from loadbalancer.sidecar.locate import Path
from loadbalancer.sidecar.mistakes import suggestion
from loadbalancer.sidecar.models import (
    EFFECTS,
    VERSION,
    Application,
    Call,
    Catalogue,
    CatalogueClass,
    ClassModel,
    Configuration,
    plain,
)
from loadbalancer.sidecar.toml import dumps

MIN_OPEN = 64  # concurrent requests that a sidecar accepts however low its rates are
OPEN_FACTOR = 4.0  # times the concurrency at the stated rates when calls last until their deadlines


@dataclass(slots=True)
class Derived:
    """The configuration's plain data and the origin of each of its values."""

    data: dict[str, Any] = field(default_factory=dict)
    origins: dict[Path, str] = field(default_factory=dict)

    @property
    def model(self) -> Configuration:
        return Configuration.model_validate(self.data)


class Deriver:
    """Checks a description against a catalogue and derives the configuration. Both files must already be valid."""

    def __init__(self, catalogue: Document, application: Document) -> None:
        # Each file as a document with positions, and its validated model (`cat`, `app`).
        self.catalogue, self.application = catalogue, application
        self.cat: Catalogue = catalogue.model
        self.app: Application = application.model

    # -------------------------------------------------------------------- checking

    def check(self) -> None:
        """Append to the description's mistakes what the catalogue does not allow."""
        app, cat, report = self.app, self.cat, self.application.add
        if app.catalogue is not None and app.catalogue != cat.name:
            report(
                ("catalogue",),
                f"is {app.catalogue!r}, and {self.catalogue.at(('name',))} is {cat.name!r}",
                "name the catalogue that it is written for",
            )
        for key in ("trust", "budget_field"):
            if getattr(app, key) is not None and cat.budget is None:
                report((key,), f"the catalogue {self.catalogue.name} has no [budget]", "remove it")
        pools = {pool.name for pool in cat.pools}
        for index, name in enumerate(app.serves):
            if name not in pools:
                report(("serves", index), f"the catalogue has no pool {name!r}", suggestion(name, pools))
        if app.tenant is not None and cat.tenants:
            names = {item.name for item in cat.tenants}
            if app.tenant not in names:
                report(
                    ("tenant",), f"the catalogue has no tenant {app.tenant!r}", suggestion(app.tenant, names)
                )
        elif app.tenant is not None:
            report(("tenant",), f"the catalogue {self.catalogue.name} has no tenants", "remove it")
        for key in ("descriptors", "max_open", "max_body_bytes"):
            requested, maximum = getattr(app.limits, key), getattr(cat.limits, key)
            if requested is not None and maximum is not None and requested > maximum:
                path: Path = ("limits", key)
                self._report_looser(path, f"{requested}", self.catalogue.at(path), f"{maximum}")
        by_name = {item.name: (index, item) for index, item in enumerate(cat.classes)}
        zones = set()
        for index, call in enumerate(app.calls):
            entry = by_name.get(call.service)
            if entry is None:
                path = ("calls", index, "class")
                report(
                    path, f"the catalogue has no class {call.service!r}", suggestion(call.service, by_name)
                )
                continue
            self._check_call(("calls", index), call, *entry)
            zones |= {zone for pool in cat.pools if pool.name == entry[1].pool for zone in pool.zones}
        if zones and app.zone not in zones:
            report(
                ("zone",),
                f"zone {app.zone!r} is not a zone of the pools it calls",
                suggestion(app.zone, zones),
            )
        protocols = self._protocols_used()
        if protocols == {"http", "thrift"} and app.thrift_listen is None:
            report(
                (),
                "some calls use HTTP and some Thrift, and one address accepts only one protocol",
                "add thrift_listen",
            )
        elif "thrift" not in protocols and app.thrift_listen is not None:
            report(("thrift_listen",), "no call uses Thrift", "remove it")
        self.application.mistakes.sort()

    def _protocols_used(self) -> set[str]:
        """The protocols that the application's calls use."""
        catalogue_routes = {item.name: item.routes for item in self.cat.classes}
        return {
            route.protocol
            for call in self.app.calls
            for route in (call.routes if call.routes is not None else catalogue_routes.get(call.service, []))
        }

    def _report_looser(self, path: Path, wanted: str, where: str, maximum: str) -> None:
        self.application.add(path, f"{wanted} is looser than {where} allows", f"at most {maximum}")

    def _check_call(self, location: Path, call: Call, index: int, service_class: CatalogueClass) -> None:
        report = self.application.add
        effect_at = self.catalogue.at(("classes", index, "effect"))
        if call.effect is not None and EFFECTS.index(call.effect) < EFFECTS.index(service_class.effect):
            report(
                (*location, "effect"),
                f"{call.effect!r} is looser than {effect_at} allows, "
                f"where {service_class.name!r} is {service_class.effect}",
                f"{service_class.effect!r} or stricter",
            )
        for name, verb in (("retryable", "retried"), ("idempotent", "repeated")):
            if getattr(call, name) and service_class.effect == "unsafe":
                report(
                    (*location, name),
                    f"{service_class.name!r} must never be {verb} once it may have run: {effect_at} says it is unsafe",
                    "remove it, or use false",
                )
        if call.hedged and not service_class.hedge:
            where = self.catalogue.at(("classes", index, "hedge"))
            reason = effect_at if service_class.effect != "safe" else where
            report(
                (*location, "hedged"), f"{reason} does not allow hedging {service_class.name!r}", "remove it"
            )
        elif call.hedged and self.cat.budget is None:
            where = f"hedges spend the retry budget, and {self.catalogue.name} has no [budget]"
            report((*location, "hedged"), where, "remove it, or add [budget] there")
        maximum = service_class.attempts or self.cat.rules.max_attempts
        if call.attempts is not None and call.attempts > maximum:
            key: Path = (
                ("classes", index, "attempts") if service_class.attempts else ("rules", "max_attempts")
            )
            self._report_looser(
                (*location, "attempts"), str(call.attempts), self.catalogue.at(key), str(maximum)
            )
        if call.worth is not None and call.worth > service_class.worth:
            where = self.catalogue.at(("classes", index, "worth"))
            self._report_looser((*location, "worth"), f"{call.worth:g}", where, f"{service_class.worth:g}")
        if call.deadline_ms is None:
            return
        path = (*location, "deadline_ms")
        if call.deadline_ms > service_class.give_up_ms:
            where = self.catalogue.at(("classes", index, "give_up_ms"))
            self._report_looser(path, f"{call.deadline_ms:g}", where, f"{service_class.give_up_ms:g}")
        for number, pool in enumerate(self.cat.pools):
            if pool.name == service_class.pool and call.deadline_ms <= pool.round_trip_ms:
                where = self.catalogue.at(("pools", number, "round_trip_ms"))
                report(
                    path,
                    f"{call.deadline_ms:g} is not above the network round trip ({where})",
                    f"more than {pool.round_trip_ms:g}",
                )

    # --------------------------------------------------------------------- writing

    def write(self) -> Derived:
        """The configuration; requires that `check` found no mistakes."""
        cat, app = self.cat, self.app
        self._derived = Derived()
        set_value = self._set
        set_value(("kind",), "configuration", "")
        set_value(("version",), VERSION, "")
        set_value(("name",), app.name, self._application_origin(("name",)))
        set_value(("zone",), app.zone, self._application_origin(("zone",)))
        set_value(("catalogue",), cat.name, self._catalogue_origin(("name",)))
        calls = {call.service: (index, call) for index, call in enumerate(app.calls)}
        classes = [(index, item) for index, item in enumerate(cat.classes) if item.name in calls]
        used = {item.pool for _, item in classes}
        self._listeners()
        if app.admin is not None:
            set_value(("admin", "address"), app.admin, self._application_origin(("admin",)))
        else:
            host, port = parse_address(app.listen)
            admin_host = f"[{host}]" if ":" in host else host
            set_value(
                ("admin", "address"),
                f"{admin_host}:{port + 1 if port else 0}",
                f"next to {self._application_origin(('listen',))}",
            )
        if app.serves:
            set_value(("serves",), app.serves, self._application_origin(("serves",)))
        self._copy(("rules",), cat.rules)
        if cat.budget is not None:
            self._copy(("budget",), cat.budget)
        self._limits([item for _, item in classes], calls)
        for index, tenant in enumerate(cat.tenants):
            self._copy(("tenants", index), tenant)
        pools = [(index, pool) for index, pool in enumerate(cat.pools) if pool.name in used]
        for number, (index, pool) in enumerate(pools):
            self._copy(("pools", number), pool, ("pools", index))
        for number, (index, item) in enumerate(classes):
            self._class(("classes", number), ("classes", index), item, *calls[item.name])
        number = 0
        for index, item in classes:
            number = self._routes(number, ("classes", index), item, *calls[item.name])
        return self._derived

    def _listeners(self) -> None:
        """Add a listener for each protocol that the application's calls use."""
        set_value, app = self._set, self.app
        protocols = self._protocols_used()
        rows = (("application", "http", "listen"), ("thrift", "thrift", "thrift_listen"))
        for name, protocol, key in rows:
            if protocol not in protocols:
                continue
            listener_path: Path = ("listeners", len(self._derived.data.get("listeners", ())))
            set_value((*listener_path, "name"), name, "")
            set_value(
                (*listener_path, "address"),
                getattr(app, key) or app.listen,
                self._application_origin((key if getattr(app, key) else "listen",)),
            )
            if protocol == "http":
                set_value((*listener_path, "deadline_header"), "Req-Deadline-Ms", "default")
            else:
                set_value((*listener_path, "protocol"), protocol, "")
                if app.tenant_field is not None:
                    set_value(
                        (*listener_path, "tenant_field"),
                        app.tenant_field,
                        self._application_origin(("tenant_field",)),
                    )
            if app.trust is not None:
                set_value((*listener_path, "trust"), app.trust, self._application_origin(("trust",)))
            if app.budget_field is not None and protocol == "thrift":
                set_value(
                    (*listener_path, "budget_field"),
                    app.budget_field,
                    self._application_origin(("budget_field",)),
                )
            if app.tenant is not None:
                set_value((*listener_path, "tenant"), app.tenant, self._application_origin(("tenant",)))

    def _application_origin(self, path: Path) -> str:
        return self._origin(self.application, path)

    def _catalogue_origin(self, path: Path) -> str:
        return self._origin(self.catalogue, path)

    def _origin(self, document: Document, path: Path) -> str:
        """The origin of a value as `file:line`, without the directory: the output must not depend on the machine."""
        if path not in document.lines:
            return "default"
        return f"{basename(document.name)}:{document.lines[path]}"

    def _set(self, path: Path, value: Any, origin: str) -> None:
        table: Any = self._derived.data
        for key, following in pairwise(path):
            if isinstance(key, int):
                while len(table) <= key:
                    table.append({})
                table = table[key]
            else:
                table = table.setdefault(key, [] if isinstance(following, int) else {})
        table[path[-1]] = value
        if origin:
            self._derived.origins[path] = origin

    def _copy(self, path: Path, model: BaseModel, origin: Path | None = None) -> None:
        """Copy all values of a part of the catalogue, including its defaults."""
        self._copy_data(path, plain(model), path if origin is None else origin)

    def _copy_data(self, path: Path, data: dict[str, Any], origin: Path) -> None:
        for key, value in data.items():
            target, source = (*path, key), (*origin, key)
            if isinstance(value, dict):
                self._copy_data(target, value, source)
            elif isinstance(value, list) and value and isinstance(value[0], dict):
                for index, item in enumerate(value):
                    self._copy_data((*target, index), item, (*source, index))
            elif not (isinstance(value, list) and not value):
                self._set(target, value, self._catalogue_origin(source))

    def _limits(self, classes: list[CatalogueClass], calls: dict[str, tuple[int, Call]]) -> None:
        limits = plain(self.cat.limits)
        own_limits = plain(self.app.limits)
        expected_open = sum(
            calls[item.name][1].rate * (calls[item.name][1].deadline_ms or item.give_up_ms) / 1000.0
            for item in classes
        )
        max_open = max(MIN_OPEN, math.ceil(OPEN_FACTOR * expected_open))
        for key, value in limits.items():
            path: Path = ("limits", key)
            if key in own_limits:
                self._set(
                    path,
                    own_limits[key],
                    f"{self._application_origin(path)}, within {self._catalogue_origin(path)}",
                )
            elif key == "max_open" and max_open < self.cat.limits.max_open:
                self._set(path, max_open, f"from the rates of {basename(self.application.name)}")
            else:
                self._set(path, value, self._catalogue_origin(path))

    def _class(self, path: Path, origin: Path, item: CatalogueClass, index: int, call: Call) -> None:
        data: dict[str, Any] = {
            key: value for key, value in plain(item).items() if key in ClassModel.model_fields
        }
        overrides: dict[str, Path] = {}
        effect = call.effect or item.effect
        effect_path: Path = ("calls", index, "effect")
        for key in ("retryable", "idempotent"):
            if getattr(call, key) is False and effect != "unsafe":
                effect, effect_path = "unsafe", ("calls", index, key)
        if effect != item.effect:
            overrides["effect"] = effect_path
        if effect != "keyed":
            for key in ("key_header", "key_scope", "memory_ms", "key_field"):
                data.pop(key, None)
        data["effect"] = effect
        data.pop("hedge", None)
        if call.hedged and effect == "safe":
            data["hedge"], overrides["hedge"] = True, ("calls", index, "hedged")
        for key in ("worth", "attempts"):
            value = getattr(call, key)
            if value is not None:
                data[key], overrides[key] = value, ("calls", index, key)
        for key, value in data.items():
            value_origin = self._catalogue_origin((*origin, key))
            if key in overrides:
                value_origin = f"{self._application_origin(overrides[key])}, within {value_origin}"
            self._set((*path, key), value, value_origin)

    def _routes(self, number: int, origin: Path, item: CatalogueClass, call_index: int, call: Call) -> int:
        """Add the routes of a class, starting at index `number`; returns the next free index."""
        call_routes: Path = ("calls", call_index, "routes")
        if call.routes is not None:
            document, routes, start = self.application, call.routes, call_routes
        else:
            document, routes, start = self.catalogue, item.routes, (*origin, "routes")
        for index, route in enumerate(routes):
            path: Path = ("routes", number)
            self._set((*path, "class"), item.name, self._application_origin(("calls", call_index, "class")))
            for key, value in plain(route).items():
                if key != "headers":
                    if value:
                        self._set((*path, key), value, self._origin(document, (*start, index, key)))
                    continue
                for header_index, header in enumerate(route.headers):
                    for name, text in plain(header).items():
                        header_key: Path = ("headers", header_index, name)
                        self._set(
                            (*path, *header_key), text, self._origin(document, (*start, index, *header_key))
                        )
            if call.deadline_ms is not None:
                limit_origin = self._catalogue_origin((*origin, "give_up_ms"))
                value_origin = (
                    f"{self._application_origin(('calls', call_index, 'deadline_ms'))}, within {limit_origin}"
                )
                self._set((*path, "deadline_ms"), call.deadline_ms, value_origin)
            number += 1
        return number


def derive(catalogue: Document, application: Document) -> Derived | None:
    """The configuration from both files, or None after adding mistakes to the description.

    Both documents must be free of mistakes before the call.
    """
    deriver = Deriver(catalogue, application)
    deriver.check()
    if application.mistakes:
        return None
    derived = deriver.write()
    written = parse(dumps(derived.data, derived.origins), "configuration")
    check(written)
    for mistake in written.mistakes:  # mistakes that appear only in the combination of both files
        application.add((), f"the derived configuration has {mistake.path}: {mistake.wrong}", mistake.right)
    return None if application.mistakes else derived


def text_of(derived: Derived, catalogue: Document, application: Document) -> str:
    """The text of the configuration file; equal inputs give equal bytes."""
    head = f"# Written by `orchidledge config write` from {basename(catalogue.name)} and "
    head += f"{basename(application.name)}; change those.\n"
    return head + dumps(derived.data, derived.origins)
