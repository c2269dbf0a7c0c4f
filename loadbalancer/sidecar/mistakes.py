"""Mistakes in configuration files and their text: position, what is wrong, what would be right."""

from __future__ import annotations

import difflib
from collections.abc import Iterable
from dataclasses import asdict, dataclass

from loadbalancer.sidecar.locate import Path


@dataclass(slots=True, frozen=True, order=True)
class Mistake:
    file: str
    line: int  # from 1; 0 where the file could not be read at all
    path: str
    wrong: str
    right: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.path}: {self.wrong}; {self.right}"

    def row(self) -> dict[str, object]:
        return asdict(self)


def suggestion(name: str, known: Iterable[str]) -> str:
    """`did you mean ...?` for a close match, otherwise the known names."""
    names = sorted(known)
    matches = difflib.get_close_matches(name, names, 1, 0.6)
    if matches:
        return f"did you mean {matches[0]!r}?"
    return f"one of {', '.join(names)}" if names else "none is defined"


def path_text(path: Path, data: object) -> str:
    """A path as text: list elements appear by name, class or id where they have one, otherwise by index."""
    result = ""
    for key in path:
        if isinstance(key, int):
            element = data[key] if isinstance(data, list) and key < len(data) else None
            label = (
                next(
                    (
                        element[field]
                        for field in ("name", "class", "id")
                        if isinstance(element.get(field), str)
                    ),
                    None,
                )
                if isinstance(element, dict)
                else None
            )
            result += f"[{label if label is not None else key}]"
            data = element
        else:
            result += f".{key}" if result else key
            data = data.get(key) if isinstance(data, dict) else None
    return result or "the file"
