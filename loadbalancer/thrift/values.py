"""Reads, skips and writes the values of both protocols without an IDL.

Values are walked with an explicit stack, so that no input can exhaust the interpreter's stack. Transcoding is
streaming: each value is written as soon as it is read. Every announced size is checked against the rest of the message
before it is used.

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
_SEQUENCE = struct.Struct(">bi")
_MAP = struct.Struct(">bbi")

# Encoded size of the types of fixed size, in bytes.
BINARY_FIXED_SIZES = {BOOL: 1, I8: 1, I16: 2, I32: 4, I64: 8, DOUBLE: 8, UUID: 16}
COMPACT_FIXED_SIZES = {BOOL: 1, I8: 1, DOUBLE: 8, UUID: 16}
# Smallest encoded size of a value, in bytes.
BINARY_MIN_SIZES = BINARY_FIXED_SIZES | {STRING: 4, STRUCT: 1, MAP: 6, SET: 5, LIST: 5}
COMPACT_MIN_SIZES = dict.fromkeys(BINARY_MIN_SIZES, 1) | {DOUBLE: 8, UUID: 16}

# Type numbers of the compact protocol; 1 (true) and 2 (false) are both a bool.
COMPACT_TYPES = {1: BOOL, 2: BOOL, 3: I8, 4: I16, 5: I32, 6: I64, 7: DOUBLE, 8: STRING} | {
    9: LIST,
    10: SET,
    11: MAP,
    12: STRUCT,
    13: UUID,
}
TO_COMPACT = {kind: number for number, kind in COMPACT_TYPES.items() if number != 2}
TRUE, FALSE = 1, 2
# Maximum length of a varint in bytes, by the width of the number in bits.
VARINT_BYTES = {16: 3, 32: 5, 64: 10}
INTEGER_BITS = {I16: 16, I32: 32, I64: 64}


def _known_type(kind: int) -> int:
    if kind not in TYPE_NAMES:
        raise ProtocolError(f"type {kind} is unknown")
    return kind


class Reader:
    """Reads the values of one message. A method consumes a complete item, or raises and consumes nothing.

    `end` is the largest offset at which the message may end.
    """

    fixed_sizes: dict[int, int]
    min_sizes: dict[int, int]

    def __init__(self, data: bytes | bytearray, at: int, end: int) -> None:
        self.data, self.at, self.end = data, at, end
        self.bool_value: bool | None = None  # read with the header of a compact bool field

    def require(self, size: int) -> int:
        """The current offset, once `size` bytes are available there."""
        at = self.at
        if at + size > self.end:
            raise ProtocolError(f"{size} bytes are wanted at byte {at} of {self.end}")
        if at + size > len(self.data):
            raise IncompleteError
        return at

    def check_fits(self, count: int, min_size: int, at: int, what: str) -> None:
        # Guard: a ten-byte message that announces 2**31 elements would cost one step for each of them.
        if count < 0 or count * min_size > self.end - at:
            raise ProtocolError(f"a {what} of {count} does not fit into {self.end - at} bytes")

    def field(self, last: int) -> tuple[int, int]:
        """Type and id of the next field; STOP at the end of the struct. `last` is the id of the previous field."""
        raise NotImplementedError

    def sized(self, what: str) -> tuple[int, int]:
        """Element type and count of a list or set. `what` names the container in errors."""
        raise NotImplementedError

    def map(self) -> tuple[int, int, int]:
        """Key type, value type and number of pairs of a map; the types of an empty map may be STOP."""
        raise NotImplementedError

    def string(self) -> bytes:
        raise NotImplementedError

    def number(self, kind: int) -> int:
        """An i16, i32 or i64."""
        raise NotImplementedError

    def double(self) -> bytes:
        """The eight bytes in big-endian order; they are not converted to a float, so that no bit changes."""
        raise NotImplementedError

    def skip_string(self) -> None:
        raise NotImplementedError

    def skip_number(self, kind: int) -> None:
        self.number(kind)

    def value(self, kind: int) -> Any:
        """Read a value that is neither a struct nor a container."""
        if kind == STRING:
            return self.string()
        if kind in INTEGER_BITS:
            return self.number(kind)
        if kind == BOOL:
            if self.bool_value is not None:
                result, self.bool_value = self.bool_value, None
                return result
            at = self.require(1)
            self.at = at + 1
            return self.decode_bool(self.data[at])
        if kind == DOUBLE:
            return self.double()
        size = self.fixed_sizes[kind]
        at = self.require(size)
        self.at = at + size
        return bytes(self.data[at : at + size])

    def decode_bool(self, byte: int) -> bool:
        raise NotImplementedError

    def skip(self, kind: int) -> None:
        """Skip a value that is neither a struct nor a container."""
        if kind == STRING:
            self.skip_string()
        elif kind == BOOL and self.bool_value is not None:
            self.bool_value = None
        elif kind in self.fixed_sizes:
            self.at = self.require(self.fixed_sizes[kind]) + self.fixed_sizes[kind]
        else:
            self.skip_number(kind)


class BinaryReader(Reader):
    fixed_sizes = BINARY_FIXED_SIZES
    min_sizes = BINARY_MIN_SIZES

    def field(self, last: int) -> tuple[int, int]:
        at = self.require(1)
        kind = self.data[at]
        if kind == STOP:
            self.at = at + 1
            return STOP, 0
        _known_type(kind)
        at = self.require(3)
        _, number = _FIELD.unpack_from(self.data, at)
        self.at = at + 3
        return kind, number

    def sized(self, what: str) -> tuple[int, int]:
        at = self.require(5)
        kind, count = _SEQUENCE.unpack_from(self.data, at)
        if count or kind:
            self.check_fits(count, self.min_sizes[_known_type(kind)], at + 5, what)
        self.at = at + 5
        return kind, count

    def map(self) -> tuple[int, int, int]:
        at = self.require(6)
        key_type, value_type, count = _MAP.unpack_from(self.data, at)
        if count:
            self.check_fits(
                count,
                self.min_sizes[_known_type(key_type)] + self.min_sizes[_known_type(value_type)],
                at + 6,
                "map",
            )
        elif key_type or value_type:
            _known_type(key_type), _known_type(value_type)
        self.at = at + 6
        return key_type, value_type, count

    def string(self) -> bytes:
        at = self.require(4)
        (size,) = _I32.unpack_from(self.data, at)
        self.check_fits(size, 1, at + 4, "string")
        self.require(4 + size)
        self.at = at + 4 + size
        return bytes(self.data[at + 4 : at + 4 + size])

    def skip_string(self) -> None:
        at = self.require(4)
        (size,) = _I32.unpack_from(self.data, at)
        self.check_fits(size, 1, at + 4, "string")
        self.require(4 + size)
        self.at = at + 4 + size

    def number(self, kind: int) -> int:
        size = BINARY_FIXED_SIZES[kind]
        at = self.require(size)
        self.at = at + size
        return int.from_bytes(self.data[at : at + size], "big", signed=True)

    def double(self) -> bytes:
        at = self.require(8)
        self.at = at + 8
        return bytes(self.data[at : at + 8])

    def decode_bool(self, byte: int) -> bool:
        return byte != 0


class CompactReader(Reader):
    fixed_sizes = COMPACT_FIXED_SIZES
    min_sizes = COMPACT_MIN_SIZES

    def varint(self, bits: int, skip: int = 0) -> tuple[int, int]:
        """The unsigned number `skip` bytes after the current offset, and the offset of its end."""
        at = self.at + skip
        data, size = self.data, len(self.data)
        result = shift = 0
        for step in range(at, at + VARINT_BYTES[bits]):
            if step >= self.end:
                raise ProtocolError(f"a number is cut off at byte {step}")
            if step >= size:
                raise IncompleteError
            byte = data[step]
            result |= (byte & 0x7F) << shift
            if byte < 0x80:
                if result >> bits:
                    raise ProtocolError(f"a number at byte {at} has more than {bits} bits")
                return result, step + 1
            shift += 7
        raise ProtocolError(f"a number at byte {at} does not end within {VARINT_BYTES[bits]} bytes")

    def number(self, kind: int) -> int:
        result, self.at = self.varint(INTEGER_BITS[kind])
        return (result >> 1) ^ -(result & 1)

    def field(self, last: int) -> tuple[int, int]:
        at = self.require(1)
        header = self.data[at]
        if header == STOP:
            self.at = at + 1
            return STOP, 0
        kind = COMPACT_TYPES.get(header & 0x0F)
        if kind is None:
            raise ProtocolError(f"compact type {header & 0x0F} is unknown")
        if header >> 4:
            number, after = last + (header >> 4), at + 1
            if number > 0x7FFF:
                raise ProtocolError(f"field {number} is out of range")
        else:
            result, after = self.varint(16, 1)
            number = (result >> 1) ^ -(result & 1)
        if kind == BOOL:
            self.bool_value = header & 0x0F == TRUE
        self.at = after
        return kind, number

    def sized(self, what: str) -> tuple[int, int]:
        at = self.require(1)
        header = self.data[at]
        count, after = (header >> 4, at + 1) if header < 0xF0 else self.varint(32, 1)
        kind = COMPACT_TYPES.get(header & 0x0F, STOP)
        if kind == STOP and (count or header & 0x0F):
            raise ProtocolError(f"compact type {header & 0x0F} is unknown")
        self.check_fits(count, self.min_sizes.get(kind, 1), after, what)
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
        key_type, value_type = COMPACT_TYPES.get(types >> 4), COMPACT_TYPES.get(types & 0x0F)
        if key_type is None or value_type is None:
            raise ProtocolError(f"compact types {types >> 4} and {types & 0x0F} of a map are not both known")
        self.check_fits(count, self.min_sizes[key_type] + self.min_sizes[value_type], after + 1, "map")
        self.at = after + 1
        return key_type, value_type, count

    def _string(self) -> tuple[int, int]:
        size, at = self.varint(32)
        self.check_fits(size, 1, at, "string")
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
        at = self.require(8)
        self.at = at + 8
        return bytes(self.data[at : at + 8])[::-1]

    def decode_bool(self, byte: int) -> bool:
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
        self.out += _SEQUENCE.pack(kind, count)

    def map(self, key_type: int, value_type: int, count: int) -> None:
        self.out += _MAP.pack(key_type, value_type, count)

    def value(self, kind: int, value: Any) -> None:
        """Write a value in the representation that `Reader.value` returns."""
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
        else:  # a double, an i8 or a uuid, as bytes
            out += value


def varint(value: int) -> bytes:
    """Encode an unsigned number as a varint of the compact protocol."""
    result = bytearray()
    while value >= 0x80:
        result.append(value & 0x7F | 0x80)
        value >>= 7
    result.append(value)
    return bytes(result)


def zigzag(value: int) -> bytes:
    """Encode a signed number as a zigzag varint of the compact protocol."""
    return varint((value << 1) ^ (value >> 63))


class CompactWriter:
    """Appends values to `out`."""

    def __init__(self) -> None:
        self.out = bytearray()
        self._last: list[int] = []
        self._bool: int | None = None  # id of a bool field whose header is written together with its value

    def begin_struct(self) -> None:
        self._last.append(0)

    def end_struct(self) -> None:
        self._last.pop()
        self.out.append(STOP)

    def field(self, kind: int, number: int) -> None:
        if kind == BOOL:
            self._bool = number
        else:
            self._field_header(TO_COMPACT[kind], number)

    def _field_header(self, kind: int, number: int) -> None:
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

    def map(self, key_type: int, value_type: int, count: int) -> None:
        self.out += varint(count)
        if count:
            self.out.append(TO_COMPACT[key_type] << 4 | TO_COMPACT[value_type])

    def value(self, kind: int, value: Any) -> None:
        if kind == STRING:
            self.out += varint(len(value))
            self.out += value
        elif kind in INTEGER_BITS:
            self.out += zigzag(value)
        elif kind == BOOL:
            number = TRUE if value else FALSE
            if self._bool is None:
                self.out.append(number)
            else:
                self._field_header(number, self._bool)
                self._bool = None
        elif kind == DOUBLE:
            self.out += value[::-1]
        else:
            self.out += value


Writer = BinaryWriter | CompactWriter

_STRUCT, _SEQUENCE_FRAME, _MAP_FRAME = 0, 1, 2


class Walker:
    """Skips one value, or copies it to `writer` if there is one.

    After an IncompleteError, calling `run` again resumes the walk.
    """

    def __init__(self, reader: Reader, kind: int = STRUCT, writer: Writer | None = None) -> None:
        self.reader = reader
        self.writer = writer
        # Frames: kind, then last field id | element type, remaining elements | key type, value type, remaining values.
        self._stack: list[list[int]] = []
        self._next_type = kind  # type of the next value; STOP: determined by the top of the stack

    def run(self) -> None:
        """Walk to the end of the value. ProtocolError if it is malformed, IncompleteError if more bytes are needed."""
        reader, writer, stack = self.reader, self.writer, self._stack
        while True:
            kind = self._next_type
            if kind != STOP:
                if kind == STRUCT:
                    self._push([_STRUCT, 0])
                    if writer is not None:
                        writer.begin_struct()
                elif kind in (LIST, SET):
                    element_type, count = reader.sized(TYPE_NAMES[kind])
                    self._push([_SEQUENCE_FRAME, element_type, count])
                    if writer is not None:
                        writer.sized(element_type, count)
                elif kind == MAP:
                    key_type, value_type, count = reader.map()
                    self._push([_MAP_FRAME, key_type, value_type, 2 * count])
                    if writer is not None:
                        writer.map(key_type, value_type, count)
                elif writer is None:
                    reader.skip(kind)
                else:
                    writer.value(kind, reader.value(kind))
                self._next_type = STOP
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
                self._next_type = kind
            elif frame[-1] == 0:
                stack.pop()
            elif frame[0] == _SEQUENCE_FRAME:
                size = reader.fixed_sizes.get(frame[1])
                if writer is None and size is not None:
                    self._skip_elements(frame, size)
                else:
                    frame[2] -= 1
                    self._next_type = frame[1]
            else:
                frame[3] -= 1
                self._next_type = frame[1] if frame[3] % 2 else frame[2]

    def _push(self, frame: list[int]) -> None:
        # Guard: a deeply nested message would make the stack grow with each of its bytes.
        if len(self._stack) >= MAX_DEPTH:
            raise ProtocolError(f"more than {MAX_DEPTH} structs and containers within one another")
        self._stack.append(frame)

    def _skip_elements(self, frame: list[int], size: int) -> None:
        """Skip all available elements of fixed size at once."""
        reader = self.reader
        available = min(frame[2], (len(reader.data) - reader.at) // size)
        if not available:
            reader.require(size)
        reader.at += available * size
        frame[2] -= available


def binary_struct_end(data: bytes) -> int:
    """The end offset of the binary struct at the beginning of a complete body; ProtocolError where `Walker` raises it.

    A faster equivalent of `Walker` for this case, as every body that is passed on is checked at least once.
    """
    end, at = len(data), 0
    fixed_sizes, min_sizes, field_header, sequence_header = (
        BINARY_FIXED_SIZES,
        BINARY_MIN_SIZES,
        _FIELD,
        _SEQUENCE,
    )
    # Frames: key type or STOP, value type, remaining values; a struct is STOP, STOP, -1.
    stack: list[tuple[int, int, int]] = []
    key_type, value_type, remaining = STOP, STOP, -1
    try:
        while True:
            if remaining < 0:
                kind = data[at]
                if kind == STOP:
                    at += 1
                    if not stack:
                        return at
                    key_type, value_type, remaining = stack.pop()
                    continue
                field_header.unpack_from(data, at)
                at += 3
            elif remaining == 0:
                key_type, value_type, remaining = stack.pop()
                continue
            else:
                remaining -= 1
                kind = key_type if key_type and remaining % 2 else value_type
            size = fixed_sizes.get(kind)
            if size is not None:
                if remaining > 0 and not key_type:  # all elements of a list or set
                    size += size * remaining
                    remaining = 0
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
            stack.append((key_type, value_type, remaining))
            if kind == STRUCT:
                key_type, value_type, remaining = STOP, STOP, -1
            elif kind == MAP:
                key_type, value_type, remaining = _MAP.unpack_from(data, at)
                at += 6
                if remaining:
                    each = min_sizes[_known_type(key_type)] + min_sizes[_known_type(value_type)]
                    if remaining < 0 or remaining * each > end - at:
                        raise ProtocolError(f"a map of {remaining} does not fit into {end - at} bytes")
                    remaining *= 2
                elif key_type or value_type:
                    _known_type(key_type), _known_type(value_type)
            else:
                value_type, remaining = sequence_header.unpack_from(data, at)
                key_type, at = STOP, at + 5
                if (remaining or value_type) and not 0 <= remaining * min_sizes[
                    _known_type(value_type)
                ] <= end - at:
                    raise ProtocolError(
                        f"a {TYPE_NAMES[kind]} of {remaining} does not fit into {end - at} bytes"
                    )
    except (IndexError, struct.error):
        raise ProtocolError(f"bytes are wanted at byte {at} of {end}") from None
