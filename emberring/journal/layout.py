"""Binary form of a segment: a header, then records, each with a checksum and a link to the previous one.

The checksum of a record covers its position (segment and offset), so that bytes from an earlier use of the file are
never taken for a record. Its link is the checksum of the previous record, and its nonce is random for each start: a
record that followed a torn one before a restart is not valid after a new one that replaces the torn one.
"""

from __future__ import annotations

import struct
import zlib

import attrs

FORMAT_VERSION = 1
MAGIC = b"EMBRJRNL"
SEGMENT_HEADER_BYTES = 64
_SEGMENT = struct.Struct("<8sIIQQ")  # magic, format version, nonce, number, end of the previous segment
_CHECKSUM = struct.Struct("<I")
_RECORD = struct.Struct("<IIII")  # length, nonce, link, checksum
_POSITION = struct.Struct("<QQIII")  # segment, offset, length, nonce, link
RECORD_HEADER_BYTES = _RECORD.size


@attrs.frozen
class Position:
    """Position of a record: number of its segment, offset of its header there, length of its payload (bytes)."""

    segment: int
    offset: int
    length: int


@attrs.frozen
class Record:
    """Payload and position of a record."""

    position: Position
    payload: bytes


@attrs.frozen
class SegmentHeader:
    """Header of a segment. `previous_end` is the offset at which the records of the previous segment end."""

    number: int
    previous_end: int
    nonce: int

    def encode(self) -> bytes:
        """Encode the header in `SEGMENT_HEADER_BYTES` bytes."""
        body = _SEGMENT.pack(MAGIC, FORMAT_VERSION, self.nonce, self.number, self.previous_end)
        return (body + _CHECKSUM.pack(zlib.crc32(body))).ljust(SEGMENT_HEADER_BYTES, b"\0")

    @property
    def link(self) -> int:
        """The link of the segment's first record."""
        return zlib.crc32(self.encode())


def decode_segment_header(data: bytes) -> SegmentHeader | None:
    """Decode a header; None if the bytes are not a valid header of this format version."""
    if len(data) < SEGMENT_HEADER_BYTES:
        return None
    body = data[: _SEGMENT.size]
    if _CHECKSUM.unpack_from(data, _SEGMENT.size)[0] != zlib.crc32(body):
        return None
    magic, version, nonce, number, previous_end = _SEGMENT.unpack(body)
    if magic != MAGIC or version != FORMAT_VERSION:
        return None
    return SegmentHeader(number, previous_end, nonce)


def checksum(position: Position, nonce: int, link: int, payload: bytes) -> int:
    """Return the checksum of a record at its position."""
    packed_position = _POSITION.pack(position.segment, position.offset, position.length, nonce, link)
    return zlib.crc32(payload, zlib.crc32(packed_position))


def encode_record(position: Position, nonce: int, link: int, payload: bytes) -> tuple[bytes, int]:
    """Encode a record; return its bytes and its checksum, which is the link of the next record."""
    own_checksum = checksum(position, nonce, link, payload)
    return _RECORD.pack(position.length, nonce, link, own_checksum) + payload, own_checksum


def verify_record(position: Position, data: bytes) -> bytes | None:
    """Return the payload of the record at this position, or None if the bytes are not that record."""
    if len(data) != RECORD_HEADER_BYTES + position.length:
        return None
    length, nonce, link, expected = _RECORD.unpack_from(data)
    payload = data[RECORD_HEADER_BYTES:]
    valid = length == position.length and checksum(position, nonce, link, payload) == expected
    return payload if valid else None


@attrs.frozen
class Scan:
    """Contents of a segment: its records in order, the offset of their end, and the link of the next record."""

    records: tuple[Record, ...]
    end: int
    link: int


def scan_segment(header: SegmentHeader, data: bytes, limit: int | None = None) -> Scan:
    """Decode the records of a segment, up to the first one that is damaged or begins at `limit` or later."""
    records: list[Record] = []
    offset = SEGMENT_HEADER_BYTES
    link = header.link
    stop = len(data) if limit is None else min(limit, len(data))
    while offset + RECORD_HEADER_BYTES <= stop:
        length, nonce, linked, expected = _RECORD.unpack_from(data, offset)
        end = offset + RECORD_HEADER_BYTES + length
        if linked != link or end > len(data):
            break
        position = Position(header.number, offset, length)
        payload = data[offset + RECORD_HEADER_BYTES : end]
        if checksum(position, nonce, linked, payload) != expected:
            break
        records.append(Record(position, payload))
        link = expected
        offset = end
    return Scan(tuple(records), offset, link)
