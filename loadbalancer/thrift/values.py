"""Values of both protocols: read, skipped and written one after another, without their IDL.

A value is gone through step by step with a stack of its own, so that no input can exhaust the interpreter's, and
nothing is kept of it: what is copied from one protocol into the other is written as it is read. Sizes are held against
what is left of the message before anything is done for them.

Sources: Apache Thrift's "Thrift Binary protocol encoding" and "Thrift Compact protocol encoding".
"""

from __future__ import annotations

import struct
from typing import Any

from loadbalancer.thrift.types import (
    BOOL,
    DOUBLE,
    I8,
    I16,
    I32,
    I64,
    LIST,
    MAP,
    MAX_DEPTH,
    SET,
    STOP,
    STRING,
    STRUCT,
    TYPE_NAMES,
    UUID,
    IncompleteError,
    ProtocolError,
)

_I16 = struct.Struct(">h")
_I32 = struct.Struct(">i")
_I64 = struct.Struct(">q")
_FIELD = struct.Struct(">bh")
_SIZED = struct.Struct(">bi")
_MAP = struct.Struct(">bbi")

# Bytes of a value of fixed size, by type.
BINARY_FIXED = {BOOL: 1, I8: 1, I16: 2, I32: 4, I64: 8, DOUBLE: 8, UUID: 16}
COMPACT_FIXED = {BOOL: 1, I8: 1, DOUBLE: 8, UUID: 16}
# The least that a value takes.
BINARY_LEAST = BINARY_FIXED | {STRING: 4, STRUCT: 1, MAP: 6, SET: 5, LIST: 5}
COMPACT_LEAST = dict.fromkeys(BINARY_LEAST, 1) | {DOUBLE: 8, UUID: 16}

# Compact numbers of types; TRUE and FALSE are both a bool.
COMPACT_TYPES = {1: BOOL, 2: BOOL, 3: I8, 4: I16, 5: I32, 6: I64, 7: DOUBLE, 8: STRING} | {
    9: LIST,
    10: SET,
    11: MAP,
    12: STRUCT,
    13: UUID,
}
TO_COMPACT = {kind: number for number, kind in COMPACT_TYPES.items() if number != 2}
TRUE, FALSE = 1, 2
# The most bytes of a variable-length number by its bits.
VARINT_BYTES = {16: 3, 32: 5, 64: 10}
BITS = {I16: 16, I32: 32, I64: 64}


def _type(kind: int) -> int:
    if kind not in TYPE_NAMES:
        raise ProtocolError(f"type {kind} is unknown")
    return kind


class Reader:
    """Steps through the bytes of one message. Each method takes all it needs or nothing.

    `end` is where the message ends at the latest.
    """

    fixed: dict[int, int]
    least: dict[int, int]

    def __init__(self, data: bytes | bytearray, at: int, end: int) -> None:
        self.data, self.at, self.end = data, at, end
        self.bool_value: bool | None = None  # of a compact field, which has it in its head

    def need(self, size: int) -> int:
        """Where these bytes begin, once they are there."""
        at = self.at
        if at + size > self.end:
            raise ProtocolError(f"{size} bytes are wanted at byte {at} of {self.end}")
        if at + size > len(self.data):
            raise IncompleteError
        return at

    def fits(self, count: int, least: int, at: int, what: str) -> None:
        # Guard: a container of 2**31 elements in ten bytes would otherwise be counted through.
        if count < 0 or count * least > self.end - at:
            raise ProtocolError(f"a {what} of {count} does not fit into {self.end - at} bytes")

    def field(self, last: int) -> tuple[int, int]:
        """Type and id of the next field, `last` being the one before it; STOP at the end."""
        raise NotImplementedError

    def sized(self, what: str) -> tuple[int, int]:
        """Type and count of a list's or a set's elements."""
        raise NotImplementedError

    def map(self) -> tuple[int, int, int]:
        """Types of keys and values, and how many pairs; the types of an empty one may be STOP."""
        raise NotImplementedError

    def string(self) -> bytes:
        raise NotImplementedError

    def number(self, kind: int) -> int:
        """An i16, i32 or i64."""
        raise NotImplementedError

    def double(self) -> bytes:
        """Eight bytes, the highest first, so that no bit of it changes."""
        raise NotImplementedError

    def skip_string(self) -> None:
        raise NotImplementedError

    def skip_number(self, kind: int) -> None:
        self.number(kind)

    def value(self, kind: int) -> Any:
        """A value that is no struct and no container."""
        if kind == STRING:
            return self.string()
        if kind in BITS:
            return self.number(kind)
        if kind == BOOL:
            if self.bool_value is not None:
                found, self.bool_value = self.bool_value, None
                return found
            at = self.need(1)
            self.at = at + 1
            return self.truth(self.data[at])
        if kind == DOUBLE:
            return self.double()
        size = self.fixed[kind]
        at = self.need(size)
        self.at = at + size
        return bytes(self.data[at : at + size])

    def truth(self, byte: int) -> bool:
        raise NotImplementedError

    def skip(self, kind: int) -> None:
        """Go past a value that is no struct and no container."""
        if kind == STRING:
            self.skip_string()
        elif kind == BOOL and self.bool_value is not None:
            self.bool_value = None
        elif kind in self.fixed:
            self.at = self.need(self.fixed[kind]) + self.fixed[kind]
        else:
            self.skip_number(kind)


class BinaryReader(Reader):
    fixed = BINARY_FIXED
    least = BINARY_LEAST

    def field(self, last: int) -> tuple[int, int]:
        at = self.need(1)
        kind = self.data[at]
        if kind == STOP:
            self.at = at + 1
            return STOP, 0
        _type(kind)
        at = self.need(3)
        _, number = _FIELD.unpack_from(self.data, at)
        self.at = at + 3
        return kind, number

    def sized(self, what: str) -> tuple[int, int]:
        at = self.need(5)
        kind, count = _SIZED.unpack_from(self.data, at)
        if count or kind:
            self.fits(count, self.least[_type(kind)], at + 5, what)
        self.at = at + 5
        return kind, count

    def map(self) -> tuple[int, int, int]:
        at = self.need(6)
        keys, values, count = _MAP.unpack_from(self.data, at)
        if count:
            self.fits(count, self.least[_type(keys)] + self.least[_type(values)], at + 6, "map")
        elif keys or values:
            _type(keys), _type(values)
        self.at = at + 6
        return keys, values, count

    def string(self) -> bytes:
        at = self.need(4)
        (size,) = _I32.unpack_from(self.data, at)
        self.fits(size, 1, at + 4, "string")
        self.need(4 + size)
        self.at = at + 4 + size
        return bytes(self.data[at + 4 : at + 4 + size])

    def skip_string(self) -> None:
        at = self.need(4)
        (size,) = _I32.unpack_from(self.data, at)
        self.fits(size, 1, at + 4, "string")
        self.need(4 + size)
        self.at = at + 4 + size

    def number(self, kind: int) -> int:
        size = BINARY_FIXED[kind]
        at = self.need(size)
        self.at = at + size
        return int.from_bytes(self.data[at : at + size], "big", signed=True)

    def double(self) -> bytes:
        at = self.need(8)
        self.at = at + 8
        return bytes(self.data[at : at + 8])

    def truth(self, byte: int) -> bool:
        return byte != 0


class CompactReader(Reader):
    fixed = COMPACT_FIXED
    least = COMPACT_LEAST

    def varint(self, bits: int, skip: int = 0) -> tuple[int, int]:
        """An unsigned number that begins `skip` bytes from here, and where it ends."""
        at = self.at + skip
        data, size = self.data, len(self.data)
        found = shift = 0
        for step in range(at, at + VARINT_BYTES[bits]):
            if step >= self.end:
                raise ProtocolError(f"a number is cut off at byte {step}")
            if step >= size:
                raise IncompleteError
            byte = data[step]
            found |= (byte & 0x7F) << shift
            if byte < 0x80:
                if found >> bits:
                    raise ProtocolError(f"a number at byte {at} has more than {bits} bits")
                return found, step + 1
            shift += 7
        raise ProtocolError(f"a number at byte {at} does not end within {VARINT_BYTES[bits]} bytes")

    def number(self, kind: int) -> int:
        found, self.at = self.varint(BITS[kind])
        return (found >> 1) ^ -(found & 1)

    def field(self, last: int) -> tuple[int, int]:
        at = self.need(1)
        head = self.data[at]
        if head == STOP:
            self.at = at + 1
            return STOP, 0
        kind = COMPACT_TYPES.get(head & 0x0F)
        if kind is None:
            raise ProtocolError(f"compact type {head & 0x0F} is unknown")
        if head >> 4:
            number, after = last + (head >> 4), at + 1
            if number > 0x7FFF:
                raise ProtocolError(f"field {number} is out of range")
        else:
            found, after = self.varint(16, 1)
            number = (found >> 1) ^ -(found & 1)
        if kind == BOOL:
            self.bool_value = head & 0x0F == TRUE
        self.at = after
        return kind, number

    def sized(self, what: str) -> tuple[int, int]:
        at = self.need(1)
        head = self.data[at]
        count, after = (head >> 4, at + 1) if head < 0xF0 else self.varint(32, 1)
        kind = COMPACT_TYPES.get(head & 0x0F, STOP)
        if kind == STOP and (count or head & 0x0F):
            raise ProtocolError(f"compact type {head & 0x0F} is unknown")
        self.fits(count, self.least.get(kind, 1), after, what)
        self.at = after
        return kind, count

    def map(self) -> tuple[int, int, int]:
        count, after = self.varint(32)
        if not count:
            self.at = after
            return STOP, STOP, 0
        if after >= self.end:
            raise ProtocolError(f"a map is cut off at byte {after}")
        if after >= len(self.data):
            raise IncompleteError
        types = self.data[after]
        keys, values = COMPACT_TYPES.get(types >> 4), COMPACT_TYPES.get(types & 0x0F)
        if keys is None or values is None:
            raise ProtocolError(f"compact types {types >> 4} and {types & 0x0F} of a map are not both known")
        self.fits(count, self.least[keys] + self.least[values], after + 1, "map")
        self.at = after + 1
        return keys, values, count

    def _string(self) -> tuple[int, int]:
        size, at = self.varint(32)
        self.fits(size, 1, at, "string")
        if at + size > len(self.data):
            raise IncompleteError
        self.at = at + size
        return at, at + size

    def string(self) -> bytes:
        at, end = self._string()
        return bytes(self.data[at:end])

    def skip_string(self) -> None:
        self._string()

    def double(self) -> bytes:
        at = self.need(8)
        self.at = at + 8
        return bytes(self.data[at : at + 8])[::-1]

    def truth(self, byte: int) -> bool:
        return byte == TRUE


class BinaryWriter:
    """Appends values to `out`."""

    def __init__(self) -> None:
        self.out = bytearray()

    def begin_struct(self) -> None:
        pass

    def end_struct(self) -> None:
        self.out.append(STOP)

    def field(self, kind: int, number: int) -> None:
        self.out += _FIELD.pack(kind, number)

    def sized(self, kind: int, count: int) -> None:
        self.out += _SIZED.pack(kind, count)

    def map(self, keys: int, values: int, count: int) -> None:
        self.out += _MAP.pack(keys, values, count)

    def value(self, kind: int, value: Any) -> None:
        """As `Reader.value` returns it."""
        out = self.out
        if kind == STRING:
            out += _I32.pack(len(value))
            out += value
        elif kind == I32:
            out += _I32.pack(value)
        elif kind == I64:
            out += _I64.pack(value)
        elif kind == I16:
            out += _I16.pack(value)
        elif kind == BOOL:
            out.append(1 if value else 0)
        else:  # a double, an i8, a uuid: bytes
            out += value


def varint(value: int) -> bytes:
    """An unsigned number in the compact protocol's form."""
    found = bytearray()
    while value >= 0x80:
        found.append(value & 0x7F | 0x80)
        value >>= 7
    found.append(value)
    return bytes(found)


def zigzag(value: int) -> bytes:
    """A signed number in the compact protocol's form."""
    return varint((value << 1) ^ (value >> 63))


class CompactWriter:
    """Appends values to `out`."""

    def __init__(self) -> None:
        self.out = bytearray()
        self._last: list[int] = []
        self._bool: int | None = None  # the field whose head waits for its value

    def begin_struct(self) -> None:
        self._last.append(0)

    def end_struct(self) -> None:
        self._last.pop()
        self.out.append(STOP)

    def field(self, kind: int, number: int) -> None:
        if kind == BOOL:
            self._bool = number
        else:
            self._head(TO_COMPACT[kind], number)

    def _head(self, kind: int, number: int) -> None:
        step = number - self._last[-1]
        if 0 < step <= 15:
            self.out.append(step << 4 | kind)
        else:
            self.out.append(kind)
            self.out += zigzag(number)
        self._last[-1] = number

    def sized(self, kind: int, count: int) -> None:
        number = TO_COMPACT.get(kind, 0)
        if count < 15:
            self.out.append(count << 4 | number)
        else:
            self.out.append(0xF0 | number)
            self.out += varint(count)

    def map(self, keys: int, values: int, count: int) -> None:
        self.out += varint(count)
        if count:
            self.out.append(TO_COMPACT[keys] << 4 | TO_COMPACT[values])

    def value(self, kind: int, value: Any) -> None:
        if kind == STRING:
            self.out += varint(len(value))
            self.out += value
        elif kind in BITS:
            self.out += zigzag(value)
        elif kind == BOOL:
            number = TRUE if value else FALSE
            if self._bool is None:
                self.out.append(number)
            else:
                self._head(number, self._bool)
                self._bool = None
        elif kind == DOUBLE:
            self.out += value[::-1]
        else:
            self.out += value


Writer = BinaryWriter | CompactWriter

_STRUCT, _SIZED_FRAME, _MAP_FRAME = 0, 1, 2


class Walker:
    """Goes past one value, and writes it to `writer` if there is one.

    `run` goes on where IncompleteError stopped it.
    """

    def __init__(self, reader: Reader, kind: int = STRUCT, writer: Writer | None = None) -> None:
        self.reader = reader
        self.writer = writer
        self._stack: list[
            list[int]
        ] = []  # form, then: last id | type, left | key type, value type, values left
        self._next = kind  # the type of the value that comes now; STOP: look at the top of the stack

    def run(self) -> None:
        """To the end of the value. ProtocolError, or IncompleteError where more bytes have to come first."""
        reader, writer, stack = self.reader, self.writer, self._stack
        while True:
            kind = self._next
            if kind != STOP:
                if kind == STRUCT:
                    self._push([_STRUCT, 0])
                    if writer is not None:
                        writer.begin_struct()
                elif kind in (LIST, SET):
                    of, count = reader.sized(TYPE_NAMES[kind])
                    self._push([_SIZED_FRAME, of, count])
                    if writer is not None:
                        writer.sized(of, count)
                elif kind == MAP:
                    keys, values, count = reader.map()
                    self._push([_MAP_FRAME, keys, values, 2 * count])
                    if writer is not None:
                        writer.map(keys, values, count)
                elif writer is None:
                    reader.skip(kind)
                else:
                    writer.value(kind, reader.value(kind))
                self._next = STOP
            if not stack:
                return
            frame = stack[-1]
            if frame[0] == _STRUCT:
                kind, number = reader.field(frame[1])
                if kind == STOP:
                    stack.pop()
                    if writer is not None:
                        writer.end_struct()
                    continue
                frame[1] = number
                if writer is not None:
                    writer.field(kind, number)
                self._next = kind
            elif frame[-1] == 0:
                stack.pop()
            elif frame[0] == _SIZED_FRAME:
                size = reader.fixed.get(frame[1])
                if writer is None and size is not None:
                    self._run_past(frame, size)
                else:
                    frame[2] -= 1
                    self._next = frame[1]
            else:
                frame[3] -= 1
                self._next = frame[1] if frame[3] % 2 else frame[2]

    def _push(self, frame: list[int]) -> None:
        # Guard: nested without end, a message would be all stack.
        if len(self._stack) >= MAX_DEPTH:
            raise ProtocolError(f"more than {MAX_DEPTH} structs and containers within one another")
        self._stack.append(frame)

    def _run_past(self, frame: list[int], size: int) -> None:
        """Past all elements of fixed size that are there."""
        reader = self.reader
        there = min(frame[2], (len(reader.data) - reader.at) // size)
        if not there:
            reader.need(size)
        reader.at += there * size
        frame[2] -= there


def past_binary(data: bytes) -> int:
    """Where the struct at the beginning of a whole message ends, in binary; ProtocolError on what `Walker` refuses.

    The same as it finds, sooner: every body that goes through is gone past at least once.
    """
    end, at = len(data), 0
    fixed, least, field_head, sized_head = BINARY_FIXED, BINARY_LEAST, _FIELD, _SIZED
    stack: list[
        tuple[int, int, int]
    ] = []  # key type or STOP, value type, values left; a struct: STOP, STOP, -1
    keys, values, left = STOP, STOP, -1
    try:
        while True:
            if left < 0:
                kind = data[at]
                if kind == STOP:
                    at += 1
                    if not stack:
                        return at
                    keys, values, left = stack.pop()
                    continue
                field_head.unpack_from(data, at)
                at += 3
            elif left == 0:
                keys, values, left = stack.pop()
                continue
            else:
                left -= 1
                kind = keys if keys and left % 2 else values
            size = fixed.get(kind)
            if size is not None:
                if left > 0 and not keys:  # all of a list or a set
                    size += size * left
                    left = 0
                at += size
                if at > end:
                    raise ProtocolError(f"{size} bytes are wanted at byte {at - size} of {end}")
                continue
            if kind == STRING:
                (size,) = _I32.unpack_from(data, at)
                at += 4
                if not 0 <= size <= end - at:
                    raise ProtocolError(f"a string of {size} does not fit into {end - at} bytes")
                at += size
                continue
            if kind not in TYPE_NAMES:
                raise ProtocolError(f"type {kind} is unknown")
            if len(stack) + 1 >= MAX_DEPTH:
                raise ProtocolError(f"more than {MAX_DEPTH} structs and containers within one another")
            stack.append((keys, values, left))
            if kind == STRUCT:
                keys, values, left = STOP, STOP, -1
            elif kind == MAP:
                keys, values, left = _MAP.unpack_from(data, at)
                at += 6
                if left:
                    each = least[_type(keys)] + least[_type(values)]
                    if left < 0 or left * each > end - at:
                        raise ProtocolError(f"a map of {left} does not fit into {end - at} bytes")
                    left *= 2
                elif keys or values:
                    _type(keys), _type(values)
            else:
                values, left = sized_head.unpack_from(data, at)
                keys, at = STOP, at + 5
                if (left or values) and not 0 <= left * least[_type(values)] <= end - at:
                    raise ProtocolError(f"a {TYPE_NAMES[kind]} of {left} does not fit into {end - at} bytes")
    except (IndexError, struct.error):
        raise ProtocolError(f"bytes are wanted at byte {at} of {end}") from None
