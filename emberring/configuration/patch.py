"""Applies a change of named items to a complete configuration."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from emberring.errors import InvalidConfigurationError

_ITEM_KINDS = ("Routes", "Services")


def apply_patch(document: Mapping[str, Any], change: Mapping[str, Any]) -> dict[str, Any]:
    """Apply `Remove` and then `Upsert`; the result has the change's version.

    Existing items stay at their positions, and new ones are appended. Removing a name that does not exist is no error.
    Raises `InvalidConfigurationError` if the change cannot be applied.
    """
    errors: list[str] = []
    upsert = _section(change, "Upsert", errors)
    remove = _section(change, "Remove", errors)
    result = {key: value for key, value in document.items() if key != "Version"}
    for kind in [*_ITEM_KINDS, *(key for key in (*upsert, *remove) if key not in _ITEM_KINDS)]:
        if kind not in upsert and kind not in remove:
            continue
        if kind == "Limits":
            result[kind] = upsert.get(kind)
            continue
        items = _named_items(upsert.get(kind, []), f"Upsert.{kind}", errors)
        names = _name_set(remove.get(kind, []), f"Remove.{kind}", errors)
        result[kind] = _merge(result.get(kind) or [], items, names)
    if isinstance(change.get("Limits"), dict):
        result["Limits"] = change["Limits"]
    if errors:
        raise InvalidConfigurationError(tuple(errors))
    return {"Version": change.get("Version"), **result}


def _section(change: Mapping[str, Any], key: str, errors: list[str]) -> dict[str, Any]:
    value = change.get(key)
    if value is None:
        return {}
    if not isinstance(value, dict):
        errors.append(f"{key} is not an object")
        return {}
    return value


def _named_items(value: object, where: str, errors: list[str]) -> dict[str, dict[str, Any]]:
    found: dict[str, dict[str, Any]] = {}
    if value is not None and not isinstance(value, list):
        errors.append(f"{where} is not a list")
        return found
    for item in value or ():
        name = item.get("Name") if isinstance(item, dict) else None
        if not isinstance(name, str) or not name:
            errors.append(f"{where}: an item has no Name")
        elif name in found:
            errors.append(f"{where}: {name!r} stands twice")
        else:
            found[name] = item
    return found


def _name_set(value: object, where: str, errors: list[str]) -> set[str]:
    if value is None:
        return set()
    if not isinstance(value, list) or not all(isinstance(name, str) for name in value):
        errors.append(f"{where} is not a list of names")
        return set()
    return set(value)


def _merge(
    before: list[dict[str, Any]], upserts: Mapping[str, dict[str, Any]], removed_names: set[str]
) -> list[dict[str, Any]]:
    """Replace or append the items of `upserts`, and remove those of `removed_names` that are not among them."""
    new_items = dict(upserts)
    after: list[dict[str, Any]] = []
    for item in before:
        name = str(item.get("Name"))
        if name in new_items:
            after.append(new_items.pop(name))
        elif name not in removed_names:
            after.append(item)
    return [*after, *new_items.values()]
