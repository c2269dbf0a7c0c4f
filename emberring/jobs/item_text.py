"""Checks of the texts of a batch item that are written into its request: its id, its path, its headers."""

from __future__ import annotations

from collections.abc import Iterable

from emberring.http_syntax import is_field_name, is_field_value, is_origin_form


def invalid_item_texts(item_id: str, path: str, headers: Iterable[tuple[str, str]]) -> list[str]:
    """Return the names of the fields that can't be written into a request; empty if all can.

    Args:
        item_id: sent as `Request-Id`.
        path: sent as the request target; a path with an optional query.
        headers: names and values as submitted.
    """
    invalid: list[str] = []
    if not item_id or not is_field_value(item_id):
        invalid.append("Id")
    if not is_origin_form(path):
        invalid.append("Path")
    invalid.extend(
        f"Headers {name!r}" for name, value in headers if not (is_field_name(name) and is_field_value(value))
    )
    return invalid
