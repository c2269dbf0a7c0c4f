"""Encodes and decodes Thrift messages: envelopes, frames and exceptions, and transcoding between the protocols.

Sources: Apache Thrift's "Thrift Remote Procedure Call" (sections "Message", "Framed vs. unframed transport"), "Thrift
Binary protocol encoding" (section "Message") and "Thrift Compact protocol encoding" (section "Message").
"""

from __future__ import annotations

import struct
from collections.abc import Iterator

from loadbalancer.thrift.types import (
    BOOL,
    I8,
    I32,
    MAX_NAME_BYTES,
    STOP,
    STRING,
    STRUCT,
    ExceptionKind,
    Form,
    IncompleteError,
    Message,
    MessageKind,
    ProtocolError,
)
from loadbalancer.thrift.values import (
    INTEGER_BITS,
    BinaryReader,
    BinaryWriter,
    CompactReader,
    CompactWriter,
    Reader,
    Walker,
    Writer,
    binary_struct_end,
    varint,
)

_I32 = struct.Struct(">i")
_STRICT_HEADER = struct.Struct(">Ii")  # strict binary protocol: version and message type, name length

VERSION_1 = 0x80010000
COMPACT_ID = 0x82
COMPACT_VERSION = 1
HEADER_MAGIC = b"\x0f\xff"  # of THeader, after the frame length
SNIFF_BYTES = 6  # bytes needed to detect the transport of a connection
HTTP_METHODS = (b"GET ", b"HEAD", b"POST", b"PUT ", b"OPTI", b"DELE", b"PATC", b"CONN")


class HeaderTransportError(ProtocolError):
    """The first bytes announce the THeader transport, which is not supported."""


def reader_of(form: Form, data: bytes | bytearray, at: int = 0, end: int | None = None) -> Reader:
    """A reader of values. `end` is the largest offset at which they may end, for data that is still incomplete."""
    kind = CompactReader if form.compact else BinaryReader
    return kind(data, at, len(data) if end is None else end)


def writer_of(form: Form) -> Writer:
    return CompactWriter() if form.compact else BinaryWriter()


def envelope(form: Form, kind: MessageKind, name: bytes, seqid: int) -> bytes:
    """The envelope of a message: everything before its body."""
    if form.compact:
        header = bytes((COMPACT_ID, COMPACT_VERSION | kind << 5))
        return header + varint(seqid & 0xFFFFFFFF) + varint(len(name)) + name
    if form is Form.OLD_BINARY:
        return _I32.pack(len(name)) + name + bytes((kind,)) + _I32.pack(seqid)
    return _STRICT_HEADER.pack(VERSION_1 | kind, len(name)) + name + _I32.pack(seqid)


def encode(message: Message, framed: bool) -> bytes:
    """Encode a message for the wire, with a frame length if `framed`."""
    header = envelope(message.form, message.kind, message.name, message.seqid)
    if framed:
        return _I32.pack(len(header) + len(message.body)) + header + message.body
    return header + message.body


def transcode(body: bytes, source: Form, target: Form) -> bytes:
    """Convert a struct to the other protocol; ProtocolError unless the conversion is exact.

    The compact protocol does not encode the types of an empty map; in binary they become STOP.
    """
    if source.compact == target.compact:
        return body
    writer = writer_of(target)
    reader = reader_of(source, body)
    _walk_to_end(reader, Walker(reader, STRUCT, writer))
    return bytes(writer.out)


def check(body: bytes, form: Form) -> None:
    """Raise ProtocolError unless the body is exactly one complete struct."""
    if not form.compact:
        _check_nothing_follows(binary_struct_end(body), len(body))
        return
    reader = reader_of(form, body)
    _walk_to_end(reader, Walker(reader))


def _walk_to_end(reader: Reader, walker: Walker) -> None:
    try:
        walker.run()
    except IncompleteError as error:
        raise ProtocolError(f"the message ends too early, at byte {reader.at}") from error
    _check_nothing_follows(reader.at, len(reader.data))


def _check_nothing_follows(at: int, size: int) -> None:
    if at != size:
        raise ProtocolError(f"{size - at} bytes stand behind the message's body")


def application_exception(form: Form, kind: int, text: str) -> bytes:
    """Encode a `TApplicationException`: field 1 is its message, field 2 its type."""
    writer = writer_of(form)
    writer.begin_struct()
    writer.field(STRING, 1)
    writer.value(STRING, text.encode())
    writer.field(I32, 2)
    writer.value(I32, int(kind))
    writer.end_struct()
    return bytes(writer.out)


def read_exception(body: bytes, form: Form) -> tuple[int, str]:
    """Type and message of a `TApplicationException`; UNKNOWN and an empty text where a field is missing."""
    text = field_at(body, form, (1,))
    kind = field_at(body, form, (2,))
    return (
        kind if isinstance(kind, int) else ExceptionKind.UNKNOWN,
        text.decode(errors="replace") if isinstance(text, bytes) else "",
    )


def field_at(body: bytes, form: Form, path: tuple[int, ...]) -> bytes | int | bool | None:
    """The string, number or bool at a path of field ids; None if there is no such field or it has another type.

    ProtocolError if the body is malformed before that field.
    """
    reader = reader_of(form, body)
    try:
        for depth, field_id in enumerate(path):
            kind = _seek_field(reader, field_id)
            if depth + 1 < len(path):
                if kind != STRUCT:
                    return None
            elif kind == I8:
                return int.from_bytes(reader.value(I8), "big", signed=True)
            elif kind in (STRING, BOOL) or kind in INTEGER_BITS:
                result: bytes | int | bool = reader.value(kind)
                return result
    except IncompleteError as error:
        raise ProtocolError("the message ends too early") from error
    return None


def _seek_field(reader: Reader, field_id: int) -> int:
    """Move the reader to the value of the field with this id and return its type; STOP if there is none."""
    last = 0
    while True:
        kind, last = reader.field(last)
        if kind == STOP or last == field_id:
            return kind
        Walker(reader, kind).run()


def with_text(body: bytes, form: Form, number: int, text: bytes | None) -> bytes:
    """Return the struct with its field `number` replaced by this string, or removed if `text` is None.

    Servers that don't know the field skip it (Apache Thrift's "Thrift Remote Procedure Call", section "Compatibility").
    ProtocolError if the body is not a valid struct.
    """
    reader, writer = reader_of(form, body), writer_of(form)
    writer.begin_struct()
    last = 0
    try:
        while True:
            kind, last = reader.field(last)
            if kind == STOP:
                break
            keep = last != number
            if keep:
                writer.field(kind, last)
            Walker(reader, kind, writer if keep else None).run()
    except IncompleteError as error:
        raise ProtocolError("the message ends too early") from error
    if text is not None:
        writer.field(STRING, number)
        writer.value(STRING, text)
    writer.end_struct()
    return bytes(writer.out)


class Decoder:
    """Incremental decoder of one connection. The first bytes determine transport and protocol, which may not change."""

    def __init__(self, limit: int) -> None:
        """`limit`: maximum size of a message in bytes, without the frame length."""
        self.limit = limit
        self.framed: bool | None = None  # None: not detected yet
        self.form: Form | None = None
        self.failed = False
        self._buffer = bytearray()
        self._reader: Reader | None = None  # of the body of the unframed message in progress
        self._walker: Walker | None = None
        self._header: tuple[MessageKind, bytes, int] | None = None

    @property
    def pending(self) -> int:
        """Number of buffered bytes of an incomplete message."""
        return len(self._buffer)

    def feed(self, data: bytes) -> Iterator[Message | ProtocolError]:
        """Yield the messages that these bytes complete. After a ProtocolError nothing more is decoded."""
        if self.failed:
            return
        self._buffer += data
        try:
            if self.framed is None and not self._sniff():
                return
            while True:
                message = self._next_framed() if self.framed else self._next_unframed()
                if message is None:
                    return
                yield message
        except ProtocolError as error:
            self.failed = True
            self._buffer.clear()
            yield error

    def _sniff(self) -> bool:
        """Detect the transport; False while too few bytes have arrived."""
        buffer = self._buffer
        if not buffer:
            return False
        if buffer[0] in (0x80, COMPACT_ID):
            self.framed = False
            return True
        if len(buffer) < SNIFF_BYTES:
            return False
        first = bytes(buffer[:4])
        if first in HTTP_METHODS:
            raise ProtocolError("this is HTTP, not Thrift")
        after_length = bytes(buffer[4:6])
        if after_length == HEADER_MAGIC:
            self.framed = True
            raise HeaderTransportError("THeader is not supported; use framed or unframed binary or compact")
        # In an unframed message of the old binary protocol these bytes begin the method name, which has none of them.
        self.framed = after_length[0] in (0x80, COMPACT_ID, 0x00)
        return True

    # ---------------------------------------------------------------------- frames

    def _next_framed(self) -> Message | None:
        buffer = self._buffer
        if len(buffer) < 4:
            return None
        (size,) = _I32.unpack_from(buffer)
        # Guard: a frame over the limit would be buffered until it was complete; its announced size rejects it.
        if not 0 < size <= self.limit:
            raise ProtocolError(f"a frame of {size} bytes is announced, and 1 to {self.limit} are taken")
        if len(buffer) < 4 + size:
            return None
        payload = bytes(buffer[4 : 4 + size])
        del buffer[: 4 + size]
        try:
            form, kind, name, seqid, at = self._envelope(payload, size)
        except IncompleteError as error:
            raise ProtocolError("a frame ends within its message's head") from error
        self._check_form(form)
        return Message(form, kind, name, seqid, payload[at:])

    # ------------------------------------------------------------------- unframed

    def _next_unframed(self) -> Message | None:
        buffer = self._buffer
        try:
            if self._header is None:
                if not buffer:
                    return None
                form, kind, name, seqid, at = self._envelope(buffer, self.limit)
                self._check_form(form)
                self._header = kind, name, seqid
                reader = reader_of(form, buffer, at, self.limit)
                self._reader, self._walker = reader, Walker(reader)
                self._body_at = at
            assert self._walker is not None
            assert self._reader is not None
            self._walker.run()
        except IncompleteError:
            if len(buffer) > self.limit:
                raise ProtocolError(f"a message has more than {self.limit} bytes") from None
            return None
        kind, name, seqid = self._header
        assert self.form is not None
        end = self._reader.at
        message = Message(self.form, kind, name, seqid, bytes(buffer[self._body_at : end]))
        del buffer[:end]
        self._header = self._reader = self._walker = None
        return message

    def _check_form(self, form: Form) -> None:
        if self.form is None:
            self.form = form
        elif self.form is not form:
            raise ProtocolError(f"a message is {form.value} on a connection that is {self.form.value}")

    # ------------------------------------------------------------------- envelopes

    def _envelope(self, data: bytes | bytearray, end: int) -> tuple[Form, MessageKind, bytes, int, int]:
        """Form, kind, name, sequence id and offset of the body; IncompleteError if more bytes are needed."""
        if not data:
            raise IncompleteError
        if data[0] == COMPACT_ID:
            return self._compact_envelope(data, end)
        if len(data) < 4:
            raise IncompleteError
        (version_and_kind,) = _I32.unpack_from(data)
        if version_and_kind < 0:
            if version_and_kind & 0xFFFF0000 != VERSION_1:
                raise ProtocolError(
                    f"version {(version_and_kind >> 16) & 0xFFFF:#06x} of the binary protocol is unknown"
                )
            at, form = 4, Form.BINARY
        else:
            at, form = 0, Form.OLD_BINARY
        if len(data) < at + 4:
            raise IncompleteError
        (size,) = _I32.unpack_from(data, at)
        name, at = self._name(data, at + 4, size)
        if form is Form.BINARY:
            kind = version_and_kind & 0xFF
        else:
            if len(data) < at + 1:
                raise IncompleteError
            kind, at = data[at], at + 1
        if len(data) < at + 4:
            raise IncompleteError
        (seqid,) = _I32.unpack_from(data, at)
        return form, _message_kind(kind), name, seqid, at + 4

    def _compact_envelope(
        self, data: bytes | bytearray, end: int
    ) -> tuple[Form, MessageKind, bytes, int, int]:
        if len(data) < 2:
            raise IncompleteError
        if data[1] & 0x1F != COMPACT_VERSION:
            raise ProtocolError(f"version {data[1] & 0x1F} of the compact protocol is unknown")
        reader = CompactReader(data, 2, end)
        seqid, reader.at = reader.varint(32)
        size, at = reader.varint(32)
        name, at = self._name(data, at, size)
        return Form.COMPACT, _message_kind(data[1] >> 5), name, seqid - ((seqid & 0x80000000) << 1), at

    def _name(self, data: bytes | bytearray, at: int, size: int) -> tuple[bytes, int]:
        if not 0 <= size <= MAX_NAME_BYTES:
            raise ProtocolError(
                f"a method's name of {size} bytes is announced, and up to {MAX_NAME_BYTES} are taken"
            )
        if len(data) < at + size:
            raise IncompleteError
        name = bytes(data[at : at + size])
        try:
            name.decode()
        except UnicodeDecodeError:
            raise ProtocolError("a method's name is not UTF-8") from None
        return name, at + size


def _message_kind(number: int) -> MessageKind:
    try:
        return MessageKind(number)
    except ValueError:
        raise ProtocolError(f"message type {number} is unknown") from None
