"""The differences between two configurations, item by item and key by key."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any

import attrs

ITEM_LISTS = ("Routes", "Services")
OBJECTS = ("Limits",)


@attrs.frozen
class Difference:
    """One difference: `what` is `added`, `removed` or `changed`; a missing value is None."""

    what: str
    item: str
    key: str = ""
    before: Any = None
    after: Any = None

    def text(self) -> str:
        """The difference as one line of text."""
        if self.what != "changed":
            return f"{self.what} {self.item}"
        return f"changed {self.item} {self.key}: {self.before!r} -> {self.after!r}"


def find_differences(before: Mapping[str, Any], after: Mapping[str, Any]) -> list[Difference]:
    """Return all differences, in the order of the items in the documents."""
    return list(_differences(before, after))


def _differences(before: Mapping[str, Any], after: Mapping[str, Any]) -> Iterator[Difference]:
    if before.get("Version") != after.get("Version"):
        yield Difference("changed", "configuration", "Version", before.get("Version"), after.get("Version"))
    for kind in ITEM_LISTS:
        yield from _list_differences(kind[:-1].lower(), _by_name(before.get(kind)), _by_name(after.get(kind)))
    for kind in OBJECTS:
        yield from _object_differences(kind.lower(), before.get(kind) or {}, after.get(kind) or {})


def _by_name(items: list[object] | None) -> dict[str, Mapping[str, Any]]:
    return {str(item.get("Name")): item for item in items or () if isinstance(item, Mapping)}


def _list_differences(
    kind: str, before: Mapping[str, Mapping[str, Any]], after: Mapping[str, Mapping[str, Any]]
) -> Iterator[Difference]:
    for name in before.keys() - after.keys():
        yield Difference("removed", f"{kind} {name}")
    for name, item in after.items():
        if name in before:
            yield from _object_differences(f"{kind} {name}", before[name], item)
        else:
            yield Difference("added", f"{kind} {name}")


def _object_differences(
    item: str, before: Mapping[str, Any], after: Mapping[str, Any]
) -> Iterator[Difference]:
    for key in sorted(before.keys() | after.keys()):
        if before.get(key) != after.get(key):
            yield Difference("changed", item, key, before.get(key), after.get(key))
