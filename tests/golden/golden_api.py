"""Helpers of the golden tests of external interfaces: flattened values, logs of read keys, JSON shapes, golden files.

A golden file is written once by `record_api.py`, and is never rewritten because an identifier in the code changes.
"""

from __future__ import annotations

import json
import os
import re
import subprocess
import sys
from collections.abc import Callable, Iterator
from dataclasses import fields as dataclass_fields
from dataclasses import is_dataclass
from enum import Enum
from pathlib import Path
from typing import Any

import attrs

DATA = Path(__file__).parent / "data"
ROOT = Path(__file__).parents[2]
RECORD_VARIABLE = "GOLDEN_API_RECORD"
# The former name of the node's command, which the golden files contain, and its present name. The former name remains
# only in the first line of a generated configuration, because existing files are compared with it, and in the node id
# that is sent to xDS control planes.
FORMER_COMMAND, COMMAND = "orchidledge", "loadbalancer"
WRITTEN_HEAD = f"# Written by `{FORMER_COMMAND} "


def check_golden(name: str, found: Any) -> None:
    """Compare with the golden file; when recording, write the file if it does not exist."""
    path = DATA / name
    text = json.dumps(found, indent=1, ensure_ascii=False, sort_keys=True) + "\n"
    if os.environ.get(RECORD_VARIABLE) == "1" and not path.exists():
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(text, encoding="utf-8")
    assert json.loads(text) == json.loads(with_todays_command(path.read_text(encoding="utf-8")))


def with_todays_command(recorded: str) -> str:
    """Replace the former name of the node's command in a golden file's text by the present name."""
    parts = recorded.split(WRITTEN_HEAD)
    return WRITTEN_HEAD.join(re.sub(rf"{FORMER_COMMAND}\b(?!-watch)", COMMAND, part) for part in parts)


def flat(value: Any, path: str = "") -> dict[str, Any]:
    """Flatten an object to plain values by positional path, without names of classes, attributes and enum members."""
    if attrs.has(type(value)):
        parts = [getattr(value, field.name) for field in attrs.fields(type(value)) if field.init]
        return _flat_items(enumerate(parts), path)
    if is_dataclass(value):
        return _flat_items(enumerate(getattr(value, field.name) for field in dataclass_fields(value)), path)
    if isinstance(value, Enum):
        return {path: f"member {list(type(value)).index(value)}"}
    if isinstance(value, list | tuple):
        return _flat_items(enumerate(value), path) or {path: []}
    if isinstance(value, dict):
        return _flat_items(value.items(), path) or {path: {}}
    return {path: value.hex() if isinstance(value, bytes) else value}


def _flat_items(items: Any, path: str) -> dict[str, Any]:
    found: dict[str, Any] = {}
    for key, item in items:
        found |= flat(item, f"{path}.{key}" if path else str(key))
    return found


def changed(before: dict[str, Any], after: dict[str, Any]) -> dict[str, list[Any]]:
    """Return the paths whose values differ, with both values; "absent" where there is none."""
    places = [*before, *(place for place in after if place not in before)]
    pairs = {place: [before.get(place, "absent"), after.get(place, "absent")] for place in places}
    return {place: pair for place, pair in pairs.items() if pair[0] != pair[1]}


class Recorded(dict[str, Any]):
    """A dict that logs the path of each key that is read from it or from a nested object."""

    def __init__(self, value: dict[str, Any], log: set[str], path: str = "") -> None:
        super().__init__({key: recorded(item, log, f"{path}{key}") for key, item in value.items()})
        self._log, self._path = log, path

    def get(self, key: str, default: Any = None) -> Any:
        self._log.add(f"{self._path}{key}")
        return super().get(key, default)

    def __getitem__(self, key: str) -> Any:
        self._log.add(f"{self._path}{key}")
        return super().__getitem__(key)

    def __contains__(self, key: object) -> bool:
        self._log.add(f"{self._path}{key}")
        return super().__contains__(key)


def recorded(value: Any, log: set[str], path: str = "") -> Any:
    """Return the value with each object in it replaced by a `Recorded` one."""
    if isinstance(value, dict):
        return Recorded(value, log, f"{path}." if path else "")
    if isinstance(value, list):
        return [recorded(item, log, f"{path}[]") for item in value]
    return value


def key_paths(value: Any, path: str = "") -> set[str]:
    """Return the paths of all keys in a document, in the form that `Recorded` logs."""
    found: set[str] = set()
    if isinstance(value, dict):
        for key, item in value.items():
            here = f"{path}.{key}" if path else key
            found |= {here} | key_paths(item, here)
    elif isinstance(value, list):
        for item in value:
            found |= key_paths(item, f"{path}[]")
    return found


def places(value: Any, path: tuple[Any, ...] = ()) -> Iterator[tuple[Any, ...]]:
    """Yield the path of each key of a document, with list indices."""
    if isinstance(value, dict):
        for key, item in value.items():
            yield (*path, key)
            yield from places(item, (*path, key))
    elif isinstance(value, list):
        for at, item in enumerate(value):
            yield from places(item, (*path, at))


def without(document: Any, place: tuple[Any, ...], new_name: str | None = None) -> Any:
    """Return a copy of the document without this key, or with the key renamed."""
    copy = json.loads(json.dumps(document))
    holder = copy
    for step in place[:-1]:
        holder = holder[step]
    value = holder.pop(place[-1])
    if new_name is not None:
        holder[new_name] = value
    return copy


def shape(value: Any) -> Any:
    """Return the keys and types of a JSON value, recursively; a list has the distinct shapes of its items."""
    if isinstance(value, dict):
        return {key: shape(item) for key, item in value.items()}
    if isinstance(value, list):
        found: list[Any] = []
        for item in value:
            if shape(item) not in found:
                found.append(shape(item))
        return found
    return type(value).__name__


def outcome(call: Callable[[], Any], error: type[Exception]) -> Any:
    """Return the result of a call, or the text of the error that it raises."""
    try:
        return call()
    except error as raised:
        return f"error: {raised}"


def run_module(arguments: list[str], variables: dict[str, str], masks: dict[str, str]) -> dict[str, Any]:
    """Run `python -m ARGUMENTS`; return its exit code and its output with the masks applied."""
    environment = {key: value for key, value in os.environ.items() if not key.startswith("EMBERRING_")}
    environment.pop("PROXY_CONFIG", None)
    ended = subprocess.run(
        [sys.executable, "-m", *arguments],
        cwd=ROOT,
        env={**environment, "PYTHONPATH": str(ROOT), "COLUMNS": "200", "NO_COLOR": "1", **variables},
        capture_output=True,
        text=True,
        timeout=20,
        check=False,
    )
    return {
        "exit": ended.returncode,
        "stdout": masked(ended.stdout, masks),
        "stderr": masked(ended.stderr, masks),
    }


def masked(text: str, masks: dict[str, str]) -> str:
    """Replace each match of a regular expression by its mask."""
    for pattern, mask in masks.items():
        text = re.sub(pattern, mask, text)
    return text
