"""Writing a configuration as TOML: the same bytes for the same values, each with where it came from.

The standard library reads TOML and writes none; the packages that write keep a document's layout or none at all,
and neither lines its comments up with the origin of each value. Only what the models hold is written: texts,
numbers, truth values, lists and tables of them.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from typing import Any

from loadbalancer.sidecar.locate import Path

BARE = re.compile(r"[A-Za-z0-9_-]+")
ESCAPES = {"\\": "\\\\", '"': '\\"', "\n": "\\n", "\r": "\\r", "\t": "\\t", "\b": "\\b", "\f": "\\f"}


def text_of(value: str) -> str:
    """A basic string (TOML 1.0.0, String)."""
    out = []
    for sign in value:
        if sign in ESCAPES:
            out.append(ESCAPES[sign])
        elif sign < " " or sign == "\x7f":
            out.append(f"\\u{ord(sign):04X}")
        else:
            out.append(sign)
    return '"' + "".join(out) + '"'


def scalar(value: Any) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, float):
        return str(int(value)) if value.is_integer() and abs(value) < 1e15 else repr(value)
    if isinstance(value, int):
        return str(value)
    if isinstance(value, str):
        return text_of(value)
    return "[" + ", ".join(scalar(item) for item in value) + "]"


def _is_tables(value: Any) -> bool:
    return isinstance(value, list) and bool(value) and isinstance(value[0], dict)


def dumps(data: Mapping[str, Any], origins: Mapping[Path, str]) -> str:
    """The text of plain data; the origin of a value stands behind it as a comment."""
    lines: list[str] = []
    _table(data, (), "", origins, lines)
    return "\n".join(lines).lstrip("\n") + "\n"


def _table(
    data: Mapping[str, Any], path: Path, name: str, origins: Mapping[Path, str], lines: list[str]
) -> None:
    for key, value in data.items():
        if isinstance(value, dict) or _is_tables(value):
            continue
        line = f"{key if BARE.fullmatch(key) else text_of(key)} = {scalar(value)}"
        origin = origins.get((*path, key))
        lines.append(f"{line}  # {origin}" if origin else line)
    for key, value in data.items():
        below = f"{name}.{key}" if name else key
        if isinstance(value, dict):
            lines += ["", f"[{below}]"]
            _table(value, (*path, key), below, origins, lines)
        elif _is_tables(value):
            for at, item in enumerate(value):
                lines += ["", f"[[{below}]]"]
                _table(item, (*path, key, at), below, origins, lines)
