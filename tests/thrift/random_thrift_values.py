"""Random Thrift values, and their encoding by Apache Thrift's library."""

from __future__ import annotations

import random
import uuid
from typing import Any

from thrift.protocol.TBinaryProtocol import TBinaryProtocol
from thrift.protocol.TCompactProtocol import TCompactProtocol
from thrift.transport.TTransport import TMemoryBuffer

from loadbalancer.thrift import types as t
from loadbalancer.thrift.types import Form

SIMPLE = (t.BOOL, t.I8, t.DOUBLE, t.I16, t.I32, t.I64, t.STRING, t.UUID)
NESTED = (t.STRUCT, t.MAP, t.SET, t.LIST)
INTEGER_BITS = {t.I8: 8, t.I16: 16, t.I32: 32, t.I64: 64}


def random_type(rng: random.Random, depth: int) -> int:
    return rng.choice(SIMPLE if depth <= 0 else SIMPLE + NESTED)


def random_value(rng: random.Random, kind: int, depth: int) -> Any:
    """A struct is a list of (id, type, value), a list or set (type, values), a map (key type, value type, pairs)."""
    if kind == t.BOOL:
        return rng.random() < 0.5
    if kind in INTEGER_BITS:
        limit = 1 << (INTEGER_BITS[kind] - 1)
        return rng.choice((0, 1, -1, limit - 1, -limit, rng.randrange(-limit, limit)))
    if kind == t.DOUBLE:
        return rng.choice((0.0, -0.0, 1.5, float("inf"), -1e300, rng.random()))
    if kind == t.STRING:
        return rng.randbytes(rng.choice((0, 1, 3, 200)))
    if kind == t.UUID:
        return uuid.UUID(bytes=rng.randbytes(16))
    if kind == t.STRUCT:
        number, fields = 0, []
        for _ in range(rng.randint(0, 5)):
            number += rng.choice((1, 2, 15, 16, 300))
            element_type = random_type(rng, depth - 1)
            fields.append((number, element_type, random_value(rng, element_type, depth - 1)))
        return fields
    if kind in (t.LIST, t.SET):
        element_type = random_type(rng, depth - 1)
        return element_type, [
            random_value(rng, element_type, depth - 1) for _ in range(rng.choice((0, 1, 3, 14, 15, 20)))
        ]
    keys, values = random_type(rng, depth - 1), random_type(rng, depth - 1)
    size = rng.choice((0, 1, 4))
    pairs = [(random_value(rng, keys, depth - 1), random_value(rng, values, depth - 1)) for _ in range(size)]
    # The compact protocol does not encode the types of an empty map.
    return (keys, values, pairs) if pairs else (t.STOP, t.STOP, [])


def protocol(form: Form) -> Any:
    return (TCompactProtocol if form.compact else TBinaryProtocol)(TMemoryBuffer())


def write(out: Any, kind: int, value: Any) -> None:
    """Write a value with Apache Thrift's library."""
    if kind == t.STRUCT:
        out.writeStructBegin("s")
        for number, element_type, item in value:
            out.writeFieldBegin("f", element_type, number)
            write(out, element_type, item)
            out.writeFieldEnd()
        out.writeFieldStop()
        out.writeStructEnd()
    elif kind in (t.LIST, t.SET):
        element_type, items = value
        (out.writeListBegin if kind == t.LIST else out.writeSetBegin)(element_type, len(items))
        for item in items:
            write(out, element_type, item)
        (out.writeListEnd if kind == t.LIST else out.writeSetEnd)()
    elif kind == t.MAP:
        keys, values, pairs = value
        out.writeMapBegin(keys, values, len(pairs))
        for key, item in pairs:
            write(out, keys, key)
            write(out, values, item)
        out.writeMapEnd()
    else:
        names = {
            t.BOOL: "writeBool",
            t.I8: "writeByte",
            t.I16: "writeI16",
            t.I32: "writeI32",
            t.I64: "writeI64",
            t.DOUBLE: "writeDouble",
            t.STRING: "writeBinary",
            t.UUID: "writeUuid",
        }
        getattr(out, names[kind])(value)


def body_of(form: Form, value: Any) -> bytes:
    """A struct encoded by Apache Thrift's library."""
    out = protocol(form)
    write(out, t.STRUCT, value)
    result: bytes = out.trans.getvalue()
    return result
