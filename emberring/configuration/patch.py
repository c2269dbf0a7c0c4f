"""A change of named items applied to a whole configuration."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from emberring.errors import InvalidConfigurationError

_KNOWN = ("Routes", "Services")


def patched(document: Mapping[str, Any], change: Mapping[str, Any]) -> dict[str, Any]:
    """The configuration after `Remove` and then `Upsert`, under the change's version. Items keep their places, new
    ones come last; a name that is to be removed and isn't there is no mistake. `InvalidConfigurationError` where
    the change cannot be applied."""
    mistakes: list[str] = []
    upsert = _table(change, "Upsert", mistakes)
    remove = _table(change, "Remove", mistakes)
    result = {key: value for key, value in document.items() if key != "Version"}
    for kind in [*_KNOWN, *(key for key in (*upsert, *remove) if key not in _KNOWN)]:
        if kind not in upsert and kind not in remove:
            continue
        if kind == "Limits":
            result[kind] = upsert.get(kind)
            continue
        items = _items(upsert.get(kind, []), f"Upsert.{kind}", mistakes)
        names = _names(remove.get(kind, []), f"Remove.{kind}", mistakes)
        result[kind] = _replaced(result.get(kind) or [], items, names)
    if isinstance(change.get("Limits"), dict):
        result["Limits"] = change["Limits"]
    if mistakes:
        raise InvalidConfigurationError(tuple(mistakes))
    return {"Version": change.get("Version"), **result}


def _table(change: Mapping[str, Any], key: str, mistakes: list[str]) -> dict[str, Any]:
    value = change.get(key)
    if value is None:
        return {}
    if not isinstance(value, dict):
        mistakes.append(f"{key} is not an object")
        return {}
    return value


def _items(value: Any, where: str, mistakes: list[str]) -> dict[str, dict[str, Any]]:
    found: dict[str, dict[str, Any]] = {}
    if value is not None and not isinstance(value, list):
        mistakes.append(f"{where} is not a list")
        return found
    for item in value or ():
        name = item.get("Name") if isinstance(item, dict) else None
        if not isinstance(name, str) or not name:
            mistakes.append(f"{where}: an item has no Name")
        elif name in found:
            mistakes.append(f"{where}: {name!r} stands twice")
        else:
            found[name] = item
    return found


def _names(value: Any, where: str, mistakes: list[str]) -> set[str]:
    if value is None:
        return set()
    if not isinstance(value, list) or not all(isinstance(name, str) for name in value):
        mistakes.append(f"{where} is not a list of names")
        return set()
    return set(value)


def _replaced(
    before: list[dict[str, Any]], items: Mapping[str, dict[str, Any]], names: set[str]
) -> list[dict[str, Any]]:
    left = dict(items)
    after: list[dict[str, Any]] = []
    for item in before:
        name = str(item.get("Name"))
        if name in left:
            after.append(left.pop(name))
        elif name not in names:
            after.append(item)
    return [*after, *left.values()]
