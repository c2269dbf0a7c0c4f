"""Writes the golden files of this folder: `python -m tests.golden.record_golden` from the root of the project.

Golden files are never rewritten when identifiers change: they contain messages as older nodes send them and data as
it is on disks already. This script only adds lines for kinds of message without any, and missing record files.
Values are built from the types of the fields alone, so this file contains no field name of any message.
"""

from __future__ import annotations

import importlib
import itertools
import pkgutil
import types
import typing
from collections.abc import Iterator
from enum import Enum
from pathlib import Path
from typing import Any

import attrs
import orjson

import emberring
from emberring.errors import ErrorKind
from emberring.jobs.items import OutcomeKind
from emberring.registry.faults import Fault
from emberring.transport.messages import _CLASS_OF, Envelope, encode

DATA = Path(__file__).parent / "data"
MESSAGES = DATA / "messages.jsonl"
DEFAULTS = DATA / "message_defaults.jsonl"
ENUMS = DATA / "enums.json"

# Text fields that contain the value of an enum, by the wire key.
ENUM_TEXTS = {("transport.error", "kind"): ErrorKind, ("lots.finish", "kind"): OutcomeKind}

BINARY = b"\xff\x00binary\x80"
LONG_BINARY = b"\xfe" + b"a long value that is deflated " * 20


def import_all() -> None:
    """Import every module of the package, so that all kinds of message are registered."""
    for module in pkgutil.walk_packages(emberring.__path__, f"{emberring.__name__}."):
        if not module.name.endswith(".__main__"):
            importlib.import_module(module.name)


class Maker:
    """Builds a value of a type without any field at its default. `picks` replaces the value at some paths; `choices`
    contains the alternative values of each path."""

    def __init__(self, picks: dict[tuple[Any, ...], Any] | None = None) -> None:
        self._numbers = itertools.count(1)
        self._picks = picks or {}
        self.choices: list[tuple[tuple[Any, ...], Any]] = []

    def make(self, kind: Any, path: tuple[Any, ...] = (), default: Any = attrs.NOTHING) -> Any:
        """Build a value of this type."""
        value, others = self._make(kind, path, default)
        if 1 not in path:  # one element of each list is enough for the variants
            self.choices += [(path, other) for other in others]
        return self._picks.get(path, value)

    def _make(self, kind: Any, path: tuple[Any, ...], default: Any) -> tuple[Any, list[Any]]:
        number = next(self._numbers)
        origin, arguments = typing.get_origin(kind), typing.get_args(kind)
        if origin in (typing.Union, types.UnionType):
            (inner,) = [argument for argument in arguments if argument is not type(None)]
            return self.make(inner, path), [None]
        if origin is tuple:
            return tuple(self.make(arguments[0], (*path, index)) for index in range(2)), []
        if origin is dict:
            keys = [f"key-{number}-{index}" for index in range(2)]
            return {key: self.make(arguments[1], (*path, index)) for index, key in enumerate(keys)}, []
        if kind is bool:
            value = not default if isinstance(default, bool) else True
            return value, [not value]
        if kind is bytes:
            return b"bytes %d" % number, [BINARY, LONG_BINARY]
        simple = {int: 100 + number, float: 100.25 + number, str: f'text-{number} é "\\\n'}
        if kind in simple:
            return simple[kind], []
        if issubclass(kind, Enum):
            members = [member for member in kind if member is not default]
            value = members[(0 if not path or path[-1] == 0 else -1)]
            return value, [member for member in kind if member is not value]
        return self._make_record(kind, path), []

    def _make_record(self, kind: Any, path: tuple[Any, ...]) -> Any:
        hints = typing.get_type_hints(kind)
        fields = [field for field in attrs.fields(kind) if field.init]
        return kind(*[self.make(hints[field.name], (*path, field.name), field.default) for field in fields])


def lines_of(kind: str) -> Iterator[bytes]:
    """Yield the lines of a kind: first one with every field set, then one for each alternative value of each field."""
    full = Maker()
    line = encode(Envelope(7, full.make(_CLASS_OF[kind])))
    yield line
    for path, other in full.choices:
        yield encode(Envelope(-7, Maker({path: other}).make(_CLASS_OF[kind])))
    for (owner, key), texts in ENUM_TEXTS.items():
        if owner == kind:
            parts = orjson.loads(line)
            for text in texts:
                yield orjson.dumps({**parts, "b": {**parts["b"], key: text.value}}) + b"\n"


def default_line_of(kind: str) -> bytes:
    """Return a line of a kind in which all fields with a default have it."""
    cls = _CLASS_OF[kind]
    hints = typing.get_type_hints(cls)
    maker = Maker()
    wanted = [field for field in attrs.fields(cls) if field.init and field.default is attrs.NOTHING]
    return encode(Envelope(0, cls(*[maker.make(hints[field.name], (field.name,)) for field in wanted])))


def record_messages() -> None:
    """Append the lines of the kinds without any."""
    import_all()
    for path, maker in (
        (MESSAGES, lambda kind: list(lines_of(kind))),
        (DEFAULTS, lambda kind: [default_line_of(kind)]),
    ):
        known = path.read_bytes().splitlines() if path.exists() else []
        recorded = {orjson.loads(line)["k"] for line in known}
        with path.open("ab") as file:
            for kind in sorted(set(_CLASS_OF) - recorded):
                file.writelines(dict.fromkeys(maker(kind)))


def record_enums() -> None:
    """Write the values, in order, of the enums that are sent as plain texts, unless the file exists."""
    enums = {"failure": ErrorKind, "run_end": OutcomeKind, "trouble": Fault}
    if not ENUMS.exists():
        values = {label: [member.value for member in enum] for label, enum in enums.items()}
        ENUMS.write_bytes(orjson.dumps(values, option=orjson.OPT_INDENT_2) + b"\n")


if __name__ == "__main__":
    record_messages()
    record_enums()
