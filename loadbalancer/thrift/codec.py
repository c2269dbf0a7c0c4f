"""Messages from bytes and bytes from messages: envelopes, frames, exceptions, and one protocol's values in the other.

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
    MAX_NAME,
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
    BITS,
    BinaryReader,
    BinaryWriter,
    CompactReader,
    CompactWriter,
    Reader,
    Walker,
    Writer,
    past_binary,
    varint,
)

_I32 = struct.Struct(">i")
_HEAD = struct.Struct(">Ii")  # of the strict binary protocol: version and type, the name's length

VERSION_1 = 0x80010000
COMPACT_ID = 0x82
COMPACT_VERSION = 1
HEADER_MAGIC = b"\x0f\xff"  # of THeader, behind the frame's length
SNIFFED = 6  # bytes by which a connection's transport is told
HTTP_METHODS = (b"GET ", b"HEAD", b"POST", b"PUT ", b"OPTI", b"DELE", b"PATC", b"CONN")


class HeaderTransportError(ProtocolError):
    """The caller speaks THeader, which is known by its first bytes and not supported."""


def reader_of(form: Form, data: bytes | bytearray, at: int = 0, end: int | None = None) -> Reader:
    """A reader of values; `end`: where they end at the latest, if they need not be all there."""
    kind = CompactReader if form.compact else BinaryReader
    return kind(data, at, len(data) if end is None else end)


def writer_of(form: Form) -> Writer:
    return CompactWriter() if form.compact else BinaryWriter()


def envelope(form: Form, kind: MessageKind, name: bytes, seqid: int) -> bytes:
    """All of a message but its body."""
    if form.compact:
        head = bytes((COMPACT_ID, COMPACT_VERSION | kind << 5))
        return head + varint(seqid & 0xFFFFFFFF) + varint(len(name)) + name
    if form is Form.OLD_BINARY:
        return _I32.pack(len(name)) + name + bytes((kind,)) + _I32.pack(seqid)
    return _HEAD.pack(VERSION_1 | kind, len(name)) + name + _I32.pack(seqid)


def encode(message: Message, framed: bool) -> bytes:
    """A message as it goes on a connection."""
    head = envelope(message.form, message.kind, message.name, message.seqid)
    if framed:
        return _I32.pack(len(head) + len(message.body)) + head + message.body
    return head + message.body


def transcode(body: bytes, source: Form, target: Form) -> bytes:
    """The same struct in the other protocol; ProtocolError unless it can be told exactly.

    The compact protocol does not state the types of an empty map; in binary they are then STOP.
    """
    if source.compact == target.compact:
        return body
    writer = writer_of(target)
    reader = reader_of(source, body)
    _whole(reader, Walker(reader, STRUCT, writer))
    return bytes(writer.out)


def check(body: bytes, form: Form) -> None:
    """ProtocolError unless the body is one whole struct and nothing else."""
    if not form.compact:
        _ends(past_binary(body), len(body))
        return
    reader = reader_of(form, body)
    _whole(reader, Walker(reader))


def _whole(reader: Reader, walker: Walker) -> None:
    try:
        walker.run()
    except IncompleteError as error:
        raise ProtocolError(f"the message ends too early, at byte {reader.at}") from error
    _ends(reader.at, len(reader.data))


def _ends(at: int, size: int) -> None:
    if at != size:
        raise ProtocolError(f"{size - at} bytes stand behind the message's body")


def application_exception(form: Form, kind: int, text: str) -> bytes:
    """The body of a `TApplicationException`: its message is field 1, its type is field 2."""
    writer = writer_of(form)
    writer.begin_struct()
    writer.field(STRING, 1)
    writer.value(STRING, text.encode())
    writer.field(I32, 2)
    writer.value(I32, int(kind))
    writer.end_struct()
    return bytes(writer.out)


def read_exception(body: bytes, form: Form) -> tuple[int, str]:
    """Type and message of a `TApplicationException`; what it does not state is UNKNOWN and empty."""
    text = field_at(body, form, (1,))
    kind = field_at(body, form, (2,))
    return (
        kind if isinstance(kind, int) else ExceptionKind.UNKNOWN,
        text.decode(errors="replace") if isinstance(text, bytes) else "",
    )


def field_at(body: bytes, form: Form, path: tuple[int, ...]) -> bytes | int | bool | None:
    """A string, a number or a bool at a path of field ids; None where there is no such field, or none of these types.
    ProtocolError if the body can't be read that far."""
    reader = reader_of(form, body)
    try:
        for depth, wanted in enumerate(path):
            kind = _find(reader, wanted)
            if depth + 1 < len(path):
                if kind != STRUCT:
                    return None
            elif kind == I8:
                return int.from_bytes(reader.value(I8), "big", signed=True)
            elif kind in (STRING, BOOL) or kind in BITS:
                found: bytes | int | bool = reader.value(kind)
                return found
    except IncompleteError as error:
        raise ProtocolError("the message ends too early") from error
    return None


def _find(reader: Reader, wanted: int) -> int:
    """The type of the field that has this id, with the reader at its value; STOP if there is none."""
    last = 0
    while True:
        kind, last = reader.field(last)
        if kind == STOP or last == wanted:
            return kind
        Walker(reader, kind).run()


def with_text(body: bytes, form: Form, number: int, text: bytes | None) -> bytes:
    """The same struct with this string as its field of that id, in place of any that has it; None: without one.

    Readers skip fields that they do not know (Apache Thrift's "Thrift Remote Procedure Call", section "Compatibility").
    ProtocolError if the body is no struct.
    """
    reader, writer = reader_of(form, body), writer_of(form)
    writer.begin_struct()
    last = 0
    try:
        while True:
            kind, last = reader.field(last)
            if kind == STOP:
                break
            kept = last != number
            if kept:
                writer.field(kind, last)
            Walker(reader, kind, writer if kept else None).run()
    except IncompleteError as error:
        raise ProtocolError("the message ends too early") from error
    if text is not None:
        writer.field(STRING, number)
        writer.value(STRING, text)
    writer.end_struct()
    return bytes(writer.out)


class Decoder:
    """Bytes in, messages out. What the connection speaks is told by its first bytes and may not change."""

    def __init__(self, limit: int) -> None:
        """`limit`: bytes of a message, its frame's length not counted."""
        self.limit = limit
        self.framed: bool | None = None  # None: not told yet
        self.form: Form | None = None
        self.failed = False
        self._buffer = bytearray()
        self._reader: Reader | None = None  # in the body of an unframed message
        self._walker: Walker | None = None
        self._head: tuple[MessageKind, bytes, int] | None = None

    @property
    def pending(self) -> int:
        """Bytes that have come of a message that is not whole."""
        return len(self._buffer)

    def feed(self, data: bytes) -> Iterator[Message | ProtocolError]:
        """The messages that these bytes complete. A ProtocolError is the last that comes of a connection."""
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
        """Tell the transport; False while too little has come."""
        buffer = self._buffer
        if not buffer:
            return False
        if buffer[0] in (0x80, COMPACT_ID):
            self.framed = False
            return True
        if len(buffer) < SNIFFED:
            return False
        first = bytes(buffer[:4])
        if first in HTTP_METHODS:
            raise ProtocolError("this is HTTP, not Thrift")
        behind = bytes(buffer[4:6])
        if behind == HEADER_MAGIC:
            self.framed = True
            raise HeaderTransportError("THeader is not supported; use framed or unframed binary or compact")
        # The length of an unframed old message's name is followed by the name, which has no byte of these.
        self.framed = behind[0] in (0x80, COMPACT_ID, 0x00)
        return True

    # ---------------------------------------------------------------------- frames

    def _next_framed(self) -> Message | None:
        buffer = self._buffer
        if len(buffer) < 4:
            return None
        (size,) = _I32.unpack_from(buffer)
        # Guard: a frame is refused by what it announces, before any of it is kept.
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
        self._same(form)
        return Message(form, kind, name, seqid, payload[at:])

    # ------------------------------------------------------------------- unframed

    def _next_unframed(self) -> Message | None:
        buffer = self._buffer
        try:
            if self._head is None:
                if not buffer:
                    return None
                form, kind, name, seqid, at = self._envelope(buffer, self.limit)
                self._same(form)
                self._head = kind, name, seqid
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
        kind, name, seqid = self._head
        assert self.form is not None
        end = self._reader.at
        message = Message(self.form, kind, name, seqid, bytes(buffer[self._body_at : end]))
        del buffer[:end]
        self._head = self._reader = self._walker = None
        return message

    def _same(self, form: Form) -> None:
        if self.form is None:
            self.form = form
        elif self.form is not form:
            raise ProtocolError(f"a message is {form.value} on a connection that is {self.form.value}")

    # ------------------------------------------------------------------- envelopes

    def _envelope(self, data: bytes | bytearray, end: int) -> tuple[Form, MessageKind, bytes, int, int]:
        """Form, kind, name and sequence id, and where the body begins; IncompleteError where it lacks bytes."""
        if not data:
            raise IncompleteError
        if data[0] == COMPACT_ID:
            return self._compact_envelope(data, end)
        if len(data) < 4:
            raise IncompleteError
        (word,) = _I32.unpack_from(data)
        if word < 0:
            if word & 0xFFFF0000 != VERSION_1:
                raise ProtocolError(f"version {(word >> 16) & 0xFFFF:#06x} of the binary protocol is unknown")
            at, form = 4, Form.BINARY
        else:
            at, form = 0, Form.OLD_BINARY
        if len(data) < at + 4:
            raise IncompleteError
        (size,) = _I32.unpack_from(data, at)
        name, at = self._name(data, at + 4, size)
        if form is Form.BINARY:
            kind = word & 0xFF
        else:
            if len(data) < at + 1:
                raise IncompleteError
            kind, at = data[at], at + 1
        if len(data) < at + 4:
            raise IncompleteError
        (seqid,) = _I32.unpack_from(data, at)
        return form, _kind(kind), name, seqid, at + 4

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
        return Form.COMPACT, _kind(data[1] >> 5), name, seqid - ((seqid & 0x80000000) << 1), at

    def _name(self, data: bytes | bytearray, at: int, size: int) -> tuple[bytes, int]:
        if not 0 <= size <= MAX_NAME:
            raise ProtocolError(
                f"a method's name of {size} bytes is announced, and up to {MAX_NAME} are taken"
            )
        if len(data) < at + size:
            raise IncompleteError
        name = bytes(data[at : at + size])
        try:
            name.decode()
        except UnicodeDecodeError:
            raise ProtocolError("a method's name is not UTF-8") from None
        return name, at + size


def _kind(number: int) -> MessageKind:
    try:
        return MessageKind(number)
    except ValueError:
        raise ProtocolError(f"message type {number} is unknown") from None
