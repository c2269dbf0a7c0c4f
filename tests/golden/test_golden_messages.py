"""Golden lines of the messages between nodes: each kind, as an earlier version encoded it, is decoded and encoded.

The first line of a kind in `messages.jsonl` has every field set to a value other than its default; its other lines
have the alternatives (None, each value of an enum, the forms of bytes). `message_defaults.jsonl` has one line of
each kind with all optional fields at their defaults. The checks use wire keys and the order of fields, and no field
names of the code.
"""

from __future__ import annotations

import base64
import copy
import importlib
import json
import pkgutil
import types
import typing
import zlib
from collections.abc import Iterator
from enum import Enum
from pathlib import Path
from typing import Any

import attrs
import pytest

import emberring as package
from emberring.errors import ErrorKind as FailureKinds
from emberring.jobs.items import OutcomeKind as RunEnds
from emberring.registry.faults import Fault as Troubles
from emberring.transport import messages as wire

DATA = Path(__file__).parent / "data"
KINDS = 48
# The last fields of kinds that earlier versions know without them: their lines stay as they are, since these fields are
# not written at their default.
ADDED_FIELDS = {"lots.lease": 1, "lots.finish": 1}
TEXT_ENUMS = {"failure": FailureKinds, "run_end": RunEnds, "trouble": Troubles}  # sent as plain texts


def import_all() -> None:
    """Import every module of the package, so that all kinds of message are registered."""
    for module in pkgutil.walk_packages(package.__path__, f"{package.__name__}."):
        if not module.name.endswith(".__main__"):
            importlib.import_module(module.name)


import_all()
LINES = (DATA / "messages.jsonl").read_bytes().splitlines(keepends=True)
DEFAULT_LINES = (DATA / "message_defaults.jsonl").read_bytes().splitlines(keepends=True)
FULL_LINES: dict[str, bytes] = {}
for recorded in LINES:
    FULL_LINES.setdefault(json.loads(recorded)["k"], recorded)
# Excludes the kinds that other tests register in the same process.
CLASSES = {
    kind: cls for kind, cls in wire._CLASS_OF.items() if cls.__module__.startswith(f"{package.__name__}.")
}


def dump(parts: Any) -> bytes:
    """Encode JSON as nodes do: without spaces, in UTF-8."""
    return json.dumps(parts, separators=(",", ":"), ensure_ascii=False).encode()


def objects_in(value: Any, path: tuple[Any, ...] = ()) -> Iterator[tuple[tuple[Any, ...], dict[str, Any]]]:
    """Yield each JSON object in a value with its path."""
    if isinstance(value, dict):
        yield path, value
    if isinstance(value, dict | list):
        for key, part in value.items() if isinstance(value, dict) else enumerate(value):
            yield from objects_in(part, (*path, key))


def changed_lines(line: bytes) -> Iterator[tuple[str, bytes]]:
    """Yield the line without one key, and with one key renamed, for each key of each object in its body."""
    whole = json.loads(line)
    for path, found in objects_in(whole["b"], ("b",)):
        for key in found:
            where = "/".join(str(step) for step in (*path, key))
            for title, fresh in (("dropped", None), ("renamed", f"{key}_x")):
                parts = copy.deepcopy(whole)
                part = parts
                for step in path:
                    part = part[step]
                items = [(fresh if name == key else name, value) for name, value in part.items()]
                part.clear()
                part.update((name, value) for name, value in items if name is not None)
                yield f"{title} {where}", dump(parts)


def bytes_of(text: str) -> bytes:
    """Decode the bytes in a wire text, independently of the code under test."""
    if text[0] == "t":
        return text[1:].encode()
    packed = base64.b64decode(text[1:])
    return zlib.decompress(packed) if text[0] == "z" else packed


def written_fields(value: Any) -> list[Any]:
    """Return the fields of a record without those of `ADDED_FIELDS` that have their default."""
    fields = list(attrs.fields(type(value)))
    added = sum(count for kind, count in ADDED_FIELDS.items() if wire._CLASS_OF[kind] is type(value))
    for field in fields[len(fields) - added :]:
        if getattr(value, field.name) == field.default:
            fields.remove(field)
    return fields


def same(part: Any, value: Any) -> bool:
    """Return whether a JSON value encodes exactly this value; records are compared by field order, not by names."""
    if attrs.has(type(value)):
        fields = [getattr(value, field.name) for field in written_fields(value)]
        return isinstance(part, dict) and len(part) == len(fields) and all(map(same, part.values(), fields))
    if isinstance(value, dict):
        return (
            isinstance(part, dict)
            and list(part) == list(value)
            and all(map(same, part.values(), value.values()))
        )
    if isinstance(value, tuple):
        return isinstance(part, list) and len(part) == len(value) and all(map(same, part, value))
    if isinstance(value, bytes):
        return isinstance(part, str) and bytes_of(part) == value
    if isinstance(value, Enum):
        value = value.value
    return type(part) is type(value) and part == value


def read(line: bytes) -> Any | None:
    """Decode a line to a message; None if it is rejected."""
    try:
        return wire.decode(line)
    except Exception:
        return None


def faults_of(line: bytes, every_key: bool) -> list[str]:
    """Return the faults in decoding and encoding a golden line. With `every_key`, each key must affect the result."""
    found = read(line)
    if found is None:
        return ["is refused"]
    parts = json.loads(line)
    faults = [] if wire.encode(found) == line else ["is written differently"]
    if found.id != parts["i"] or type(found.body) is not wire._CLASS_OF[parts["k"]]:
        faults.append("has another id or class")
    if not same(parts["b"], found.body):
        faults.append("arrives with other values")
    for title, changed in changed_lines(line) if every_key else ():
        other = read(changed)
        # Compares with the JSON instead of using `==` of the class, which could ignore fields.
        if other is not None and same(parts["b"], other.body):
            faults.append(f"{title}: nothing differs")
    return faults


def test_each_kind_has_lines_and_each_line_a_kind() -> None:
    kinds = set(CLASSES)
    assert len(FULL_LINES) >= KINDS
    assert set(FULL_LINES) == kinds
    assert [json.loads(line)["k"] for line in DEFAULT_LINES] == sorted(kinds)
    assert len(set(LINES)) == len(LINES)


def test_texts_that_stand_for_an_enum() -> None:
    recorded = json.loads((DATA / "enums.json").read_text())
    assert {label: [member.value for member in enum] for label, enum in TEXT_ENUMS.items()} == recorded


@pytest.mark.parametrize("kind", sorted(FULL_LINES))
def test_each_key_of_a_full_line_is_read_and_written(kind: str) -> None:
    assert faults_of(FULL_LINES[kind], every_key=True) == []


@pytest.mark.parametrize("kind", sorted(FULL_LINES))
def test_full_lines_are_full(kind: str) -> None:
    """No field of a full line is empty, and lists have several different elements."""

    def check(part: Any) -> None:
        assert part is not None
        assert part not in ("", 0, 0.0, [], {}) or part is False
        if isinstance(part, list):
            assert len({dump(element) for element in part}) >= 2
        for inner in part.values() if isinstance(part, dict) else part if isinstance(part, list) else ():
            check(inner)

    for part in json.loads(FULL_LINES[kind])["b"].values():
        check(part)


@pytest.mark.parametrize("kind", sorted(FULL_LINES))
def test_variants_are_read_and_written(kind: str) -> None:
    for line in LINES:
        if json.loads(line)["k"] == kind:
            assert faults_of(line, every_key=False) == [], line


@pytest.mark.parametrize("line", DEFAULT_LINES, ids=lambda line: json.loads(line)["k"])
def test_defaults_stay(line: bytes) -> None:
    """A missing optional key, as in messages of older nodes, is decoded to the recorded default."""
    assert faults_of(line, every_key=False) == []
    parts = json.loads(line)
    for key in parts["b"]:
        shorter = {**parts, "b": {name: part for name, part in parts["b"].items() if name != key}}
        found = read(dump(shorter))
        assert found is None or wire.encode(found) == line


# Tests of the check itself: a class that differs from the one that encoded the lines is detected.


def fields_below(kind: Any, part: Any, path: tuple[str, ...] = ()) -> Iterator[tuple[str, ...]]:
    """Yield the path, in wire keys, of each field of a record and of its nested records."""
    if attrs.has(kind):
        hints = typing.get_type_hints(kind)
        for field, key in zip(attrs.fields(kind), part, strict=True):
            yield (*path, key)
            yield from fields_below(hints[field.name], part[key], (*path, key))
    elif arguments := typing.get_args(kind):
        yield from fields_below(*inner_of(kind, arguments, part), path)


def inner_of(kind: Any, arguments: tuple[Any, ...], part: Any) -> tuple[Any, Any]:
    """Return the type of the content of a tuple, dict or optional, and an example value."""
    if typing.get_origin(kind) is dict:
        return arguments[1], next(iter(part.values()))
    return arguments[0], part[0] if typing.get_origin(kind) is tuple else part


def copy_of(kind: Any, part: Any, renamed: tuple[str, ...]) -> Any:
    """Return a copy of the type whose fields are named as the wire keys, with a different name for the field at the
    path `renamed`."""
    if attrs.has(kind):
        hints = typing.get_type_hints(kind)
        made = {}
        for field, key in zip(attrs.fields(kind), part, strict=True):
            below = renamed[1:] if renamed[:1] == (key,) else ()
            name = f"{key}_x" if renamed == (key,) else key
            made[name] = attrs.field(default=field.default, type=copy_of(hints[field.name], part[key], below))
        return attrs.make_class(kind.__name__, made, frozen=True)
    origin, arguments = typing.get_origin(kind), typing.get_args(kind)
    if not arguments:
        return kind
    inner, example = inner_of(kind, arguments, part)
    fresh = tuple(
        copy_of(inner, example, renamed) if argument is inner else argument for argument in arguments
    )
    return typing.Union[fresh] if origin in (typing.Union, types.UnionType) else origin[fresh]  # noqa: UP007


def put(monkeypatch: pytest.MonkeyPatch, kind: str, cls: type[Any]) -> None:
    """Register this class for a kind."""
    monkeypatch.setitem(wire._CLASS_OF, kind, cls)
    monkeypatch.setitem(wire._KIND_OF, cls, kind)


@pytest.mark.parametrize("kind", sorted(FULL_LINES))
def test_each_renamed_field_is_found(kind: str, monkeypatch: pytest.MonkeyPatch) -> None:
    part = json.loads(FULL_LINES[kind])["b"]
    for path in fields_below(CLASSES[kind], part):
        put(monkeypatch, kind, copy_of(CLASSES[kind], part, path))
        assert faults_of(FULL_LINES[kind], every_key=True), path


def test_a_copy_without_a_renamed_field_is_in_order(monkeypatch: pytest.MonkeyPatch) -> None:
    for kind, line in FULL_LINES.items():
        put(monkeypatch, kind, copy_of(CLASSES[kind], json.loads(line)["b"], ()))
        assert faults_of(line, every_key=True) == []


def test_a_key_that_is_written_but_not_read_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    """A class that encodes a constant instead of its field passes the comparison of bytes, but not the removed key."""
    line = b'{"i":1,"k":"seeded","b":{"part":"constant"}}\n'
    cls = attrs.make_class("Seeded", {"part": attrs.field(default="constant", type=str)}, frozen=True)
    put(monkeypatch, "seeded", cls)
    assert faults_of(line, every_key=True) == [
        "dropped b/part: nothing differs",
        "renamed b/part: nothing differs",
    ]
