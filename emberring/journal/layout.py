"""Binary form of a segment: a header, then records, each with a checksum and a link to the previous one.

A record's checksum covers its position (segment and offset), so that what an earlier use of the file left
behind never passes for a record. Its link is the checksum of the previous record, and its nonce is drawn anew
at each start, so that a record that a torn write had cut off cannot reappear behind a new one.
"""

from __future__ import annotations

import struct
import zlib

import attrs

FORMAT_VERSION = 1
MAGIC = b"EMBRJRNL"
SEGMENT_HEADER_BYTES = 64
_SEGMENT = struct.Struct("<8sIIQQ")  # magic, format version, nonce, number, end of the segment before
_CHECKSUM = struct.Struct("<I")
_RECORD = struct.Struct("<IIII")  # length, nonce, link, checksum
_POSITION = struct.Struct("<QQIII")  # segment, offset, length, nonce, link
RECORD_HEADER_BYTES = _RECORD.size


@attrs.frozen
class Position:
    """Position of a record: segment number, offset of its header there, length of its payload in bytes."""

    segment: int
    offset: int
    length: int


@attrs.frozen
class Record:
    """A payload and its position."""

    position: Position
    payload: bytes


@attrs.frozen
class SegmentHeader:
    """Header of a segment. `previous_end` is where the records of the previous segment end, in bytes."""

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
    """Decode a header; None where the bytes hold no valid header of this format version."""
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
    place = _POSITION.pack(position.segment, position.offset, position.length, nonce, link)
    return zlib.crc32(payload, zlib.crc32(place))


def encode_record(position: Position, nonce: int, link: int, payload: bytes) -> tuple[bytes, int]:
    """Encode a record; return its bytes and its checksum, which the next record links to."""
    found = checksum(position, nonce, link, payload)
    return _RECORD.pack(position.length, nonce, link, found) + payload, found


def verify_record(position: Position, data: bytes) -> bytes | None:
    """Return the payload of the record at this position, or None where the bytes are not that record."""
    if len(data) != RECORD_HEADER_BYTES + position.length:
        return None
    length, nonce, link, expected = _RECORD.unpack_from(data)
    payload = data[RECORD_HEADER_BYTES:]
    good = length == position.length and checksum(position, nonce, link, payload) == expected
    return payload if good else None


@attrs.frozen
class Scan:
    """Contents of a segment: its records in order, where they end (bytes), and the link for the next one."""

    records: tuple[Record, ...]
    end: int
    link: int


def scan_segment(header: SegmentHeader, data: bytes, limit: int | None = None) -> Scan:
    """Decode the records of a segment, up to the first that is damaged or begins at `limit` or later."""
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
