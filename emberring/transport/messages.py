"""Typed messages between nodes and their JSON form: one line each, `{"i": id, "k": kind, "b": body}`.

A message is a frozen `attrs` class with the `message` decorator. Bytes are encoded as text if they are valid UTF-8,
and otherwise as base64, after compression if that is shorter.
"""

from __future__ import annotations

import base64
import zlib
from collections.abc import Callable, Collection, Mapping
from typing import TypeVar

import attrs
import orjson
from cattrs.gen import make_dict_structure_fn, make_dict_unstructure_fn, override
from cattrs.preconf.orjson import make_converter

from emberring.errors import ProtocolViolationError

MAX_LINE_BYTES = 24 * 1024 * 1024  # a longer line aborts its connection
MIN_DEFLATE_BYTES = 512  # shorter byte strings are not compressed
DEFLATE_LEVEL = 1  # the fastest
SAMPLED_BYTES = 64 * 1024  # longer byte strings are compressed only if samples of them become shorter
SAMPLES = 8
SAMPLE_BYTES = 2 * 1024
MAX_ERROR_DETAIL_CHARS = 200

T = TypeVar("T")

_KIND_OF: dict[type[object], str] = {}
_CLASS_OF: dict[str, type[object]] = {}

# The first character of encoded bytes names the encoding of the rest.
_TEXT = "t"
_BASE64 = "b"
_DEFLATED = "z"  # compressed, then base64


def _bytes_to_json(value: bytes) -> str:
    """Encode bytes as a JSON string.

    UTF-8 text stays text: base64 would make it a third larger, and nodes mostly send documents that already contain
    base64. Other long byte strings, such as packed records, are compressed.
    """
    try:
        return _TEXT + value.decode("utf-8")
    except UnicodeDecodeError:
        pass
    if len(value) >= MIN_DEFLATE_BYTES and _is_compressible(value):
        compressed = zlib.compress(value, DEFLATE_LEVEL)
        if len(compressed) < len(value):
            return _DEFLATED + base64.b64encode(compressed).decode("ascii")
    return _BASE64 + base64.b64encode(value).decode("ascii")


def _is_compressible(value: bytes) -> bool:
    """Return whether compression is worth its time: large values mostly have been compressed before."""
    if len(value) <= SAMPLED_BYTES:
        return True
    step = (len(value) - SAMPLE_BYTES) // (SAMPLES - 1)
    sampled = b"".join(value[start : start + SAMPLE_BYTES] for start in range(0, len(value), step))
    return len(zlib.compress(sampled, DEFLATE_LEVEL)) < len(sampled)


def _bytes_from_json(value: object, _: type) -> bytes:
    if not isinstance(value, str):
        raise ValueError("encoded bytes must be a string")
    encoding, rest = value[:1], value[1:]
    if encoding == _TEXT:
        return rest.encode("utf-8")
    if encoding == _BASE64:
        return base64.b64decode(rest, validate=True)
    if encoding == _DEFLATED:
        return _inflate(base64.b64decode(rest, validate=True))
    raise ValueError("unknown encoding of bytes")


def _inflate(compressed: bytes) -> bytes:
    inflater = zlib.decompressobj()
    value = inflater.decompress(compressed, MAX_LINE_BYTES)
    if not inflater.eof:
        raise ValueError("compressed bytes are truncated or too large")
    return value


converter = make_converter()
converter.register_unstructure_hook(bytes, _bytes_to_json)
converter.register_structure_hook(bytes, _bytes_from_json)


def wire_record(wire_keys: Mapping[str, str], optional: Collection[str] = ()) -> Callable[[type[T]], type[T]]:
    """Pin the JSON keys of an `attrs` class that is part of messages or of records on disk.

    `wire_keys` maps field names to the keys that nodes of every version read and write for them. The key of any other
    field is its name. `optional` names fields that are not written while they have their default, so that a message
    without them is the same as that of an earlier version. Raises `ValueError` for a name that is not a field of the
    class.
    """

    def register(cls: type[T]) -> type[T]:
        names = {field.name for field in attrs.fields(cls)}  # type: ignore[arg-type]
        unknown = sorted({*wire_keys, *optional} - names)
        if unknown:
            raise ValueError(f"{cls.__name__} has no field {', '.join(unknown)}")
        overrides = {
            name: override(rename=wire_keys.get(name), omit_if_default=name in optional or None)
            for name in {*wire_keys, *optional}
        }
        # Hook factories resolve the field types lazily: a type may be defined later in the module than this class.
        converter.register_unstructure_hook_factory(
            lambda candidate_cls: candidate_cls is cls,
            lambda candidate_cls: make_dict_unstructure_fn(candidate_cls, converter, **overrides),  # type: ignore[arg-type]
        )
        converter.register_structure_hook_factory(
            lambda candidate_cls: candidate_cls is cls,
            lambda candidate_cls: make_dict_structure_fn(candidate_cls, converter, **overrides),  # type: ignore[arg-type]
        )
        return cls

    return register


def message(
    kind: str, wire_keys: Mapping[str, str] | None = None, optional: Collection[str] = ()
) -> Callable[[type[T]], type[T]]:
    """Register a frozen `attrs` class as the message of this kind, e.g. `register.prepare`.

    `wire_keys` and `optional` are those of `wire_record`. Raises `ValueError` if another class already has
    this kind, and `TypeError` if the class is not an `attrs` class.
    """

    def register(cls: type[T]) -> type[T]:
        if _CLASS_OF.get(kind, cls) is not cls:
            raise ValueError(f"message kind {kind!r} is registered twice")
        if not hasattr(cls, "__attrs_attrs__"):
            raise TypeError(f"{cls.__name__} is not an attrs class")
        _KIND_OF[cls] = kind
        _CLASS_OF[kind] = cls
        return wire_record(wire_keys or {}, optional)(cls) if wire_keys or optional else cls

    return register


def kind_of(cls: type[object]) -> str:
    """Return the message kind of this class; raises `KeyError` if it is not a message class."""
    return _KIND_OF[cls]


@message("transport.ok")
@attrs.frozen
class Ok:
    """A successful reply without content."""


@message("transport.error")
@attrs.frozen
class Failure:
    """A reply that reports an error; `kind` is the value of an `ErrorKind`."""

    kind: str
    detail: str = ""


@attrs.frozen
class Envelope:
    """One line. A call has a positive id, its reply the negated id, and a one-way message the id 0."""

    id: int
    body: object


def encode(envelope: Envelope) -> bytes:
    """Encode a message as a line, including the line feed."""
    cls = type(envelope.body)
    content = {
        "i": envelope.id,
        "k": _KIND_OF[cls],
        "b": converter.unstructure(envelope.body, cls),
    }
    return orjson.dumps(content, option=orjson.OPT_NON_STR_KEYS) + b"\n"


def decode(line: bytes) -> Envelope:
    """Decode the message of a line; raises `ProtocolViolationError` if the line is not a valid message."""
    try:
        content = orjson.loads(line)
        body = converter.structure(content["b"], _CLASS_OF[content["k"]])
        message_id = content["i"]
        if type(message_id) is not int:
            raise TypeError("id")
        return Envelope(message_id, body)
    except Exception as error:  # arbitrary input: the JSON and class decoders raise many types
        detail = f"{type(error).__name__}: {error}"[:MAX_ERROR_DETAIL_CHARS]
        raise ProtocolViolationError(detail) from error
