"""Random Thrift values, and Apache's own protocols to write them with."""

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
EDGES = {t.I8: 8, t.I16: 16, t.I32: 32, t.I64: 64}


def a_type(rng: random.Random, depth: int) -> int:
    return rng.choice(SIMPLE if depth <= 0 else SIMPLE + NESTED)


def a_value(rng: random.Random, kind: int, depth: int) -> Any:
    """A struct is a list of (id, type, value), a list or set (type, values), a map (key type, value type, pairs)."""
    if kind == t.BOOL:
        return rng.random() < 0.5
    if kind in EDGES:
        most = 1 << (EDGES[kind] - 1)
        return rng.choice((0, 1, -1, most - 1, -most, rng.randrange(-most, most)))
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
            of = a_type(rng, depth - 1)
            fields.append((number, of, a_value(rng, of, depth - 1)))
        return fields
    if kind in (t.LIST, t.SET):
        of = a_type(rng, depth - 1)
        return of, [a_value(rng, of, depth - 1) for _ in range(rng.choice((0, 1, 3, 14, 15, 20)))]
    keys, values = a_type(rng, depth - 1), a_type(rng, depth - 1)
    size = rng.choice((0, 1, 4))
    pairs = [(a_value(rng, keys, depth - 1), a_value(rng, values, depth - 1)) for _ in range(size)]
    # The types of an empty map are lost in compact.
    return (keys, values, pairs) if pairs else (t.STOP, t.STOP, [])


def protocol(form: Form) -> Any:
    return (TCompactProtocol if form.compact else TBinaryProtocol)(TMemoryBuffer())


def write(out: Any, kind: int, value: Any) -> None:
    """By Apache's library."""
    if kind == t.STRUCT:
        out.writeStructBegin("s")
        for number, of, one in value:
            out.writeFieldBegin("f", of, number)
            write(out, of, one)
            out.writeFieldEnd()
        out.writeFieldStop()
        out.writeStructEnd()
    elif kind in (t.LIST, t.SET):
        of, items = value
        (out.writeListBegin if kind == t.LIST else out.writeSetBegin)(of, len(items))
        for one in items:
            write(out, of, one)
        (out.writeListEnd if kind == t.LIST else out.writeSetEnd)()
    elif kind == t.MAP:
        keys, values, pairs = value
        out.writeMapBegin(keys, values, len(pairs))
        for key, one in pairs:
            write(out, keys, key)
            write(out, values, one)
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
    """A struct by Apache's library."""
    out = protocol(form)
    write(out, t.STRUCT, value)
    found: bytes = out.trans.getvalue()
    return found
