"""The bytes of a segment: a header, then records back to back, each with a checksum and a link to the one before.

A record's checksum covers its place (segment and offset), so that what an earlier use of the file left behind never
passes for a record. Its link is the checksum of the record before it and its nonce is drawn anew at each start, so
that a record that a torn tail had cut off cannot come back to life behind a new one.
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
_PLACE = struct.Struct("<QQIII")  # segment, offset, length, nonce, link
RECORD_HEADER_BYTES = _RECORD.size


@attrs.frozen
class Position:
    """Where a record lies: its segment's number, the offset of its header there, and its payload's length."""

    segment: int
    offset: int
    length: int


@attrs.frozen
class Record:
    """A payload and where it lies."""

    position: Position
    payload: bytes


@attrs.frozen
class SegmentHeader:
    """The head of a segment. `previous_end` is where the records of the segment before it end, in bytes."""

    number: int
    previous_end: int
    nonce: int

    def encode(self) -> bytes:
        """Its bytes, `SEGMENT_HEADER_BYTES` long."""
        body = _SEGMENT.pack(MAGIC, FORMAT_VERSION, self.nonce, self.number, self.previous_end)
        return (body + _CHECKSUM.pack(zlib.crc32(body))).ljust(SEGMENT_HEADER_BYTES, b"\0")

    @property
    def link(self) -> int:
        """What the first record of the segment links to."""
        return zlib.crc32(self.encode())


def decode_segment_header(data: bytes) -> SegmentHeader | None:
    """The header in these bytes, or None where there is none that is whole and of this format version."""
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
    """The checksum of a record at its place."""
    place = _PLACE.pack(position.segment, position.offset, position.length, nonce, link)
    return zlib.crc32(payload, zlib.crc32(place))


def encode_record(position: Position, nonce: int, link: int, payload: bytes) -> tuple[bytes, int]:
    """The bytes of a record, and its checksum, which the next one links to."""
    found = checksum(position, nonce, link, payload)
    return _RECORD.pack(position.length, nonce, link, found) + payload, found


def verify_record(position: Position, data: bytes) -> bytes | None:
    """The payload in the bytes of the record at this position, or None where they are not that record."""
    if len(data) != RECORD_HEADER_BYTES + position.length:
        return None
    length, nonce, link, wanted = _RECORD.unpack_from(data)
    payload = data[RECORD_HEADER_BYTES:]
    good = length == position.length and checksum(position, nonce, link, payload) == wanted
    return payload if good else None


@attrs.frozen
class Scan:
    """What a segment holds: its records in order, where they end, and the link for the next one."""

    records: tuple[Record, ...]
    end: int
    link: int


def scan_segment(header: SegmentHeader, data: bytes, limit: int | None = None) -> Scan:
    """Read the records out of a segment's bytes, up to the first that is not whole or begins at `limit` or later."""
    records: list[Record] = []
    offset = SEGMENT_HEADER_BYTES
    link = header.link
    stop = len(data) if limit is None else min(limit, len(data))
    while offset + RECORD_HEADER_BYTES <= stop:
        length, nonce, linked, wanted = _RECORD.unpack_from(data, offset)
        end = offset + RECORD_HEADER_BYTES + length
        if linked != link or end > len(data):
            break
        position = Position(header.number, offset, length)
        payload = data[offset + RECORD_HEADER_BYTES : end]
        if checksum(position, nonce, linked, payload) != wanted:
            break
        records.append(Record(position, payload))
        link = wanted
        offset = end
    return Scan(tuple(records), offset, link)
