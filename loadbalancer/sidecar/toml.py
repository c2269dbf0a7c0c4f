"""Writes a configuration as TOML: equal values give equal bytes, and a comment gives the origin of each value.

The standard library reads TOML but does not write it, and the usual packages that write TOML cannot attach such a
comment to each value. Only the types that the models use are supported: strings, numbers, booleans, lists, tables.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from typing import Any

from loadbalancer.sidecar.locate import Path

BARE_KEY = re.compile(r"[A-Za-z0-9_-]+")
ESCAPES = {"\\": "\\\\", '"': '\\"', "\n": "\\n", "\r": "\\r", "\t": "\\t", "\b": "\\b", "\f": "\\f"}


def quoted(value: str) -> str:
    """A value as a basic string (TOML 1.0.0, String)."""
    out = []
    for character in value:
        if character in ESCAPES:
            out.append(ESCAPES[character])
        elif character < " " or character == "\x7f":
            out.append(f"\\u{ord(character):04X}")
        else:
            out.append(character)
    return '"' + "".join(out) + '"'


def value_text(value: Any) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, float):
        return str(int(value)) if value.is_integer() and abs(value) < 1e15 else repr(value)
    if isinstance(value, int):
        return str(value)
    if isinstance(value, str):
        return quoted(value)
    return "[" + ", ".join(value_text(item) for item in value) + "]"


def _is_tables(value: Any) -> bool:
    return isinstance(value, list) and bool(value) and isinstance(value[0], dict)


def dumps(data: Mapping[str, Any], origins: Mapping[Path, str]) -> str:
    """Plain data as TOML text, with the origin of each value as a comment on its line."""
    lines: list[str] = []
    _table(data, (), "", origins, lines)
    return "\n".join(lines).lstrip("\n") + "\n"


def _table(
    data: Mapping[str, Any], path: Path, name: str, origins: Mapping[Path, str], lines: list[str]
) -> None:
    for key, value in data.items():
        if isinstance(value, dict) or _is_tables(value):
            continue
        line = f"{key if BARE_KEY.fullmatch(key) else quoted(key)} = {value_text(value)}"
        origin = origins.get((*path, key))
        lines.append(f"{line}  # {origin}" if origin else line)
    for key, value in data.items():
        table_name = f"{name}.{key}" if name else key
        if isinstance(value, dict):
            lines += ["", f"[{table_name}]"]
            _table(value, (*path, key), table_name, origins, lines)
        elif _is_tables(value):
            for index, item in enumerate(value):
                lines += ["", f"[[{table_name}]]"]
                _table(item, (*path, key, index), table_name, origins, lines)
