"""A configuration from a catalogue and an application description, each value with where it came from.

The description may be stricter than the catalogue, never looser; what it asks beyond is a mistake that names the
line of the catalogue that forbids it.
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
from loadbalancer.sidecar.mistakes import near
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

OPEN_LEAST = 64  # requests open at once that a sidecar has room for, whatever its rates
OPEN_FACTOR = 4.0  # times what the rates keep open if every call takes as long as it may


@dataclass(slots=True)
class Derived:
    """The configuration's plain data and the origin of each of its values."""

    data: dict[str, Any] = field(default_factory=dict)
    origins: dict[Path, str] = field(default_factory=dict)

    @property
    def model(self) -> Configuration:
        return Configuration.model_validate(self.data)


class Deriver:
    """Holds a description against a catalogue, both of the right shape."""

    def __init__(self, catalogue: Document, application: Document) -> None:
        self.catalogue, self.application = catalogue, application
        self.cat: Catalogue = catalogue.model
        self.app: Application = application.model

    # -------------------------------------------------------------------- checking

    def check(self) -> None:
        """Add to the description's mistakes what the catalogue forbids."""
        app, cat, say = self.app, self.cat, self.application.add
        if app.catalogue is not None and app.catalogue != cat.name:
            say(
                ("catalogue",),
                f"is {app.catalogue!r}, and {self.catalogue.at(('name',))} is {cat.name!r}",
                "the catalogue that it is meant for",
            )
        for key in ("trust", "budget_field"):
            if getattr(app, key) is not None and cat.budget is None:
                say((key,), f"the catalogue {self.catalogue.name} has no [budget]", "leave it out")
        pools = {pool.name for pool in cat.pools}
        for at, name in enumerate(app.serves):
            if name not in pools:
                say(("serves", at), f"the catalogue has no pool {name!r}", near(name, pools))
        if app.tenant is not None and cat.tenants:
            names = {item.name for item in cat.tenants}
            if app.tenant not in names:
                say(("tenant",), f"the catalogue has no tenant {app.tenant!r}", near(app.tenant, names))
        elif app.tenant is not None:
            say(("tenant",), f"the catalogue {self.catalogue.name} has no tenants", "leave it out")
        for key in ("descriptors", "max_open", "max_body_bytes"):
            wanted, most = getattr(app.limits, key), getattr(cat.limits, key)
            if wanted is not None and most is not None and wanted > most:
                path: Path = ("limits", key)
                self._over(path, f"{wanted}", self.catalogue.at(path), f"{most}")
        by_name = {item.name: (at, item) for at, item in enumerate(cat.classes)}
        zones = set()
        for at, call in enumerate(app.calls):
            found = by_name.get(call.service)
            if found is None:
                path = ("calls", at, "class")
                say(path, f"the catalogue has no class {call.service!r}", near(call.service, by_name))
                continue
            self._check_call(("calls", at), call, *found)
            zones |= {zone for pool in cat.pools if pool.name == found[1].pool for zone in pool.zones}
        if zones and app.zone not in zones:
            say(("zone",), f"zone {app.zone!r} is not one of the pools'", near(app.zone, zones))
        spoken = self._spoken()
        if spoken == {"http", "thrift"} and app.thrift_listen is None:
            say(
                (),
                "some calls are of HTTP and some of Thrift, and one address hears one of them",
                "add thrift_listen",
            )
        elif "thrift" not in spoken and app.thrift_listen is not None:
            say(("thrift_listen",), "no call is of Thrift", "leave it out")
        self.application.mistakes.sort()

    def _spoken(self) -> set[str]:
        """The protocols that the application's calls are of."""
        own = {item.name: item.routes for item in self.cat.classes}
        return {
            route.protocol
            for call in self.app.calls
            for route in (call.routes if call.routes is not None else own.get(call.service, []))
        }

    def _over(self, path: Path, wanted: str, where: str, most: str) -> None:
        self.application.add(path, f"{wanted} is looser than {where} allows", f"at most {most}")

    def _check_call(self, here: Path, call: Call, at: int, kind: CatalogueClass) -> None:
        say = self.application.add
        effect_at = self.catalogue.at(("classes", at, "effect"))
        if call.effect is not None and EFFECTS.index(call.effect) < EFFECTS.index(kind.effect):
            say(
                (*here, "effect"),
                f"{call.effect!r} is looser than {effect_at} allows, where {kind.name!r} is {kind.effect}",
                f"{kind.effect!r} or stricter",
            )
        for name, word in (("retryable", "sent again"), ("idempotent", "repeated")):
            if getattr(call, name) and kind.effect == "unsafe":
                say(
                    (*here, name),
                    f"{kind.name!r} must never be {word} once it may have run: {effect_at} says it is unsafe",
                    "leave it out, or false",
                )
        if call.hedged and not kind.hedge:
            where = self.catalogue.at(("classes", at, "hedge"))
            reason = effect_at if kind.effect != "safe" else where
            say((*here, "hedged"), f"{reason} does not allow a second copy of {kind.name!r}", "leave it out")
        elif call.hedged and self.cat.budget is None:
            where = f"a second copy is taken from the budget, and {self.catalogue.name} has none"
            say((*here, "hedged"), where, "leave it out, or add [budget] there")
        most = kind.attempts or self.cat.rules.max_attempts
        if call.attempts is not None and call.attempts > most:
            key: Path = ("classes", at, "attempts") if kind.attempts else ("rules", "max_attempts")
            self._over((*here, "attempts"), str(call.attempts), self.catalogue.at(key), str(most))
        if call.worth is not None and call.worth > kind.worth:
            where = self.catalogue.at(("classes", at, "worth"))
            self._over((*here, "worth"), f"{call.worth:g}", where, f"{kind.worth:g}")
        if call.deadline_ms is None:
            return
        path = (*here, "deadline_ms")
        if call.deadline_ms > kind.give_up_ms:
            where = self.catalogue.at(("classes", at, "give_up_ms"))
            self._over(path, f"{call.deadline_ms:g}", where, f"{kind.give_up_ms:g}")
        for number, pool in enumerate(self.cat.pools):
            if pool.name == kind.pool and call.deadline_ms <= pool.round_trip_ms:
                where = self.catalogue.at(("pools", number, "round_trip_ms"))
                say(
                    path,
                    f"{call.deadline_ms:g} is not above the network's round trip ({where})",
                    f"more than {pool.round_trip_ms:g}",
                )

    # --------------------------------------------------------------------- writing

    def write(self) -> Derived:
        """The configuration; both files have to be without mistakes."""
        cat, app = self.cat, self.app
        self._out = Derived()
        put = self._put
        put(("kind",), "configuration", "")
        put(("version",), VERSION, "")
        put(("name",), app.name, self._app(("name",)))
        put(("zone",), app.zone, self._app(("zone",)))
        put(("catalogue",), cat.name, self._cat(("name",)))
        calls = {call.service: (at, call) for at, call in enumerate(app.calls)}
        classes = [(at, item) for at, item in enumerate(cat.classes) if item.name in calls]
        used = {item.pool for _, item in classes}
        self._listeners()
        if app.admin is not None:
            put(("admin", "address"), app.admin, self._app(("admin",)))
        else:
            host, port = parse_address(app.listen)
            after = f"[{host}]" if ":" in host else host
            put(
                ("admin", "address"),
                f"{after}:{port + 1 if port else 0}",
                f"next to {self._app(('listen',))}",
            )
        if app.serves:
            put(("serves",), app.serves, self._app(("serves",)))
        self._copy(("rules",), cat.rules)
        if cat.budget is not None:
            self._copy(("budget",), cat.budget)
        self._limits([item for _, item in classes], calls)
        for at, tenant in enumerate(cat.tenants):
            self._copy(("tenants", at), tenant)
        pools = [(at, pool) for at, pool in enumerate(cat.pools) if pool.name in used]
        for number, (at, pool) in enumerate(pools):
            self._copy(("pools", number), pool, ("pools", at))
        for number, (at, item) in enumerate(classes):
            self._class(("classes", number), ("classes", at), item, *calls[item.name])
        number = 0
        for at, item in classes:
            number = self._routes(number, ("classes", at), item, *calls[item.name])
        return self._out

    def _listeners(self) -> None:
        """One for each protocol that its calls are of."""
        put, app = self._put, self.app
        spoken = self._spoken()
        rows = (("application", "http", "listen"), ("thrift", "thrift", "thrift_listen"))
        for name, protocol, key in rows:
            if protocol not in spoken:
                continue
            at: Path = ("listeners", len(self._out.data.get("listeners", ())))
            put((*at, "name"), name, "")
            put(
                (*at, "address"),
                getattr(app, key) or app.listen,
                self._app((key if getattr(app, key) else "listen",)),
            )
            if protocol == "http":
                put((*at, "deadline_header"), "Req-Deadline-Ms", "default")
            else:
                put((*at, "protocol"), protocol, "")
                if app.tenant_field is not None:
                    put((*at, "tenant_field"), app.tenant_field, self._app(("tenant_field",)))
            if app.trust is not None:
                put((*at, "trust"), app.trust, self._app(("trust",)))
            if app.budget_field is not None and protocol == "thrift":
                put((*at, "budget_field"), app.budget_field, self._app(("budget_field",)))
            if app.tenant is not None:
                put((*at, "tenant"), app.tenant, self._app(("tenant",)))

    def _app(self, path: Path) -> str:
        return self._from(self.application, path)

    def _cat(self, path: Path) -> str:
        return self._from(self.catalogue, path)

    def _from(self, document: Document, path: Path) -> str:
        """The place of a value, without the folder, so that no machine's paths get into the file."""
        if path not in document.lines:
            return "default"
        return f"{basename(document.name)}:{document.lines[path]}"

    def _put(self, path: Path, value: Any, origin: str) -> None:
        table: Any = self._out.data
        for word, after in pairwise(path):
            if isinstance(word, int):
                while len(table) <= word:
                    table.append({})
                table = table[word]
            else:
                table = table.setdefault(word, [] if isinstance(after, int) else {})
        table[path[-1]] = value
        if origin:
            self._out.origins[path] = origin

    def _copy(self, path: Path, model: BaseModel, origin: Path | None = None) -> None:
        """All values of a part of the catalogue, its defaults written out."""
        self._copy_data(path, plain(model), path if origin is None else origin)

    def _copy_data(self, path: Path, data: dict[str, Any], origin: Path) -> None:
        for key, value in data.items():
            here, there = (*path, key), (*origin, key)
            if isinstance(value, dict):
                self._copy_data(here, value, there)
            elif isinstance(value, list) and value and isinstance(value[0], dict):
                for at, item in enumerate(value):
                    self._copy_data((*here, at), item, (*there, at))
            elif not (isinstance(value, list) and not value):
                self._put(here, value, self._cat(there))

    def _limits(self, classes: list[CatalogueClass], calls: dict[str, tuple[int, Call]]) -> None:
        most = plain(self.cat.limits)
        own = plain(self.app.limits)
        kept_open = sum(
            calls[item.name][1].rate * (calls[item.name][1].deadline_ms or item.give_up_ms) / 1000.0
            for item in classes
        )
        wanted = max(OPEN_LEAST, math.ceil(OPEN_FACTOR * kept_open))
        for key, value in most.items():
            path: Path = ("limits", key)
            if key in own:
                self._put(path, own[key], f"{self._app(path)}, within {self._cat(path)}")
            elif key == "max_open" and wanted < self.cat.limits.max_open:
                self._put(path, wanted, f"from the rates of {basename(self.application.name)}")
            else:
                self._put(path, value, self._cat(path))

    def _class(self, path: Path, origin: Path, item: CatalogueClass, at: int, call: Call) -> None:
        data: dict[str, Any] = {
            key: value for key, value in plain(item).items() if key in ClassModel.model_fields
        }
        changed: dict[str, Path] = {}
        effect = call.effect or item.effect
        where: Path = ("calls", at, "effect")
        for key in ("retryable", "idempotent"):
            if getattr(call, key) is False and effect != "unsafe":
                effect, where = "unsafe", ("calls", at, key)
        if effect != item.effect:
            changed["effect"] = where
        if effect != "keyed":
            for key in ("key_header", "key_scope", "memory_ms", "key_field"):
                data.pop(key, None)
        data["effect"] = effect
        data.pop("hedge", None)
        if call.hedged and effect == "safe":
            data["hedge"], changed["hedge"] = True, ("calls", at, "hedged")
        for key in ("worth", "attempts"):
            value = getattr(call, key)
            if value is not None:
                data[key], changed[key] = value, ("calls", at, key)
        for key, value in data.items():
            place = self._cat((*origin, key))
            if key in changed:
                place = f"{self._app(changed[key])}, within {place}"
            self._put((*path, key), value, place)

    def _routes(self, number: int, origin: Path, item: CatalogueClass, at: int, call: Call) -> int:
        """Write the routes of a class from this number on; returns the next one."""
        call_routes: Path = ("calls", at, "routes")
        if call.routes is not None:
            document, routes, start = self.application, call.routes, call_routes
        else:
            document, routes, start = self.catalogue, item.routes, (*origin, "routes")
        for index, route in enumerate(routes):
            path: Path = ("routes", number)
            self._put((*path, "class"), item.name, self._app(("calls", at, "class")))
            for key, value in plain(route).items():
                if key != "headers":
                    if value:
                        self._put((*path, key), value, self._from(document, (*start, index, key)))
                    continue
                for place, header in enumerate(route.headers):
                    for name, text in plain(header).items():
                        below: Path = ("headers", place, name)
                        self._put((*path, *below), text, self._from(document, (*start, index, *below)))
            if call.deadline_ms is not None:
                within = self._cat((*origin, "give_up_ms"))
                place_of = f"{self._app(('calls', at, 'deadline_ms'))}, within {within}"
                self._put((*path, "deadline_ms"), call.deadline_ms, place_of)
            number += 1
        return number


def derive(catalogue: Document, application: Document) -> Derived | None:
    """The configuration from both, or None after adding to the description's mistakes what stands against it.

    Both documents have to be without mistakes so far.
    """
    deriver = Deriver(catalogue, application)
    deriver.check()
    if application.mistakes:
        return None
    derived = deriver.write()
    written = parse(dumps(derived.data, derived.origins), "configuration")
    check(written)
    for mistake in written.mistakes:  # what only shows where both are put together
        application.add((), f"the configuration from it has {mistake.path}: {mistake.wrong}", mistake.right)
    return None if application.mistakes else derived


def text_of(derived: Derived, catalogue: Document, application: Document) -> str:
    """The configuration file, the same bytes for the same inputs."""
    head = f"# Written by `orchidledge config write` from {basename(catalogue.name)} and "
    head += f"{basename(application.name)}; change those.\n"
    return head + dumps(derived.data, derived.origins)
