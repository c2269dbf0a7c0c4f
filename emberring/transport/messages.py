"""Typed messages between nodes and their JSON form: one line each, `{"i": id, "k": kind, "b": body}`.

A message is a frozen `attrs` class under the `message` decorator. Bytes travel as base64.
"""

from __future__ import annotations

import base64
from collections.abc import Callable
from typing import Any, TypeVar

import attrs
import orjson
from cattrs.preconf.orjson import make_converter

from emberring.errors import ProtocolViolationError

MAX_LINE_BYTES = 24 * 1024 * 1024

T = TypeVar("T")

_KIND_OF: dict[type[Any], str] = {}
_CLASS_OF: dict[str, type[Any]] = {}


converter = make_converter()
converter.register_unstructure_hook(bytes, lambda value: base64.b64encode(value).decode("ascii"))
converter.register_structure_hook(bytes, lambda value, _: base64.b64decode(value))


def message(kind: str) -> Callable[[type[T]], type[T]]:
    """Register a frozen `attrs` class as the message of this kind, e.g. `register.prepare`."""

    def register(cls: type[T]) -> type[T]:
        if _CLASS_OF.get(kind, cls) is not cls:
            raise ValueError(f"message kind {kind!r} stands twice")
        if not hasattr(cls, "__attrs_attrs__"):
            raise TypeError(f"{cls.__name__} is not an attrs class")
        _KIND_OF[cls] = kind
        _CLASS_OF[kind] = cls
        return cls

    return register


def kind_of(cls: type[Any]) -> str:
    """The kind under which this class travels."""
    return _KIND_OF[cls]


@message("transport.ok")
@attrs.frozen
class Ok:
    """A reply that carries nothing."""


@message("transport.error")
@attrs.frozen
class Failure:
    """A reply that says that the call failed; `kind` is the value of an `ErrorKind`."""

    kind: str
    detail: str = ""


@attrs.frozen
class Envelope:
    """One line: a call has a positive id, its reply the same id negated; id 0 wants no reply."""

    id: int
    body: Any


def encode(envelope: Envelope) -> bytes:
    """The line of a message, with its line feed."""
    cls = type(envelope.body)
    body = converter.unstructure(envelope.body, cls)
    return (
        orjson.dumps({"i": envelope.id, "k": _KIND_OF[cls], "b": body}, option=orjson.OPT_NON_STR_KEYS)
        + b"\n"
    )


def decode(line: bytes) -> Envelope:
    """The message of a line; `ProtocolViolationError` where it is none."""
    try:
        parts = orjson.loads(line)
        body = converter.structure(parts["b"], _CLASS_OF[parts["k"]])
        number = parts["i"]
        if type(number) is not int:
            raise TypeError("id")
        return Envelope(number, body)
    except Exception as error:
        raise ProtocolViolationError(f"{type(error).__name__}: {error}"[:200]) from error
