"""Binary form of a segment: which bytes are valid records and which are not."""

from __future__ import annotations

import pytest

from emberring.journal.layout import (
    RECORD_HEADER_BYTES,
    SEGMENT_HEADER_BYTES,
    Position,
    SegmentHeader,
    decode_segment_header,
    encode_record,
    scan_segment,
    verify_record,
)

HEADER = SegmentHeader(7, 1234, 99)


def segment(payloads: list[bytes], header: SegmentHeader = HEADER, nonce: int = 5) -> bytes:
    data = header.encode()
    link = header.link
    for payload in payloads:
        part, link = encode_record(Position(header.number, len(data), len(payload)), nonce, link, payload)
        data += part
    return data


def payloads_of(data: bytes, limit: int | None = None) -> list[bytes]:
    return [record.payload for record in scan_segment(HEADER, data, limit).records]


def test_a_header_decodes_to_what_was_encoded() -> None:
    assert decode_segment_header(HEADER.encode()) == HEADER
    assert len(HEADER.encode()) == SEGMENT_HEADER_BYTES


@pytest.mark.parametrize("offset", range(36))
def test_a_header_with_a_damaged_byte_is_invalid(offset: int) -> None:
    data = bytearray(HEADER.encode())
    data[offset] ^= 0x40
    assert decode_segment_header(bytes(data)) is None


@pytest.mark.parametrize("data", [b"", b"\0" * 64, b"\xff" * 64, HEADER.encode()[:40]])
def test_other_bytes_are_not_a_header(data: bytes) -> None:
    assert decode_segment_header(data) is None


def test_records_are_scanned_in_order_with_their_positions() -> None:
    payloads = [b"one", b"", b"three" * 100]
    data = segment(payloads)
    scan = scan_segment(HEADER, data + bytes(500))
    assert [record.payload for record in scan.records] == payloads
    assert scan.end == len(data)
    for record in scan.records:
        position = record.position
        end = position.offset + RECORD_HEADER_BYTES + position.length
        assert verify_record(position, data[position.offset : end]) == record.payload


@pytest.mark.parametrize("offset", range(64, 64 + 3 * (RECORD_HEADER_BYTES + 3)))
def test_a_segment_ends_before_the_first_damaged_record(offset: int) -> None:
    payloads = [b"aaa", b"bbb", b"ccc"]
    data = bytearray(segment(payloads))
    data[offset] ^= 0x01
    intact = (offset - SEGMENT_HEADER_BYTES) // (RECORD_HEADER_BYTES + 3)
    assert payloads_of(bytes(data)) == payloads[:intact]


@pytest.mark.parametrize("cut", range(1, RECORD_HEADER_BYTES + 3))
def test_a_torn_record_is_not_read(cut: int) -> None:
    data = segment([b"aaa", b"bbb"])
    assert payloads_of(data[:-cut]) == [b"aaa"]
    assert payloads_of(data[:-cut] + bytes(cut + 100)) == [b"aaa"]


def test_records_of_an_earlier_use_of_the_file_are_not_read() -> None:
    old = segment([b"old"], SegmentHeader(6, 1234, 99))
    assert payloads_of(HEADER.encode() + old[SEGMENT_HEADER_BYTES:]) == []


def test_a_record_after_a_torn_one_is_not_read_after_a_new_one() -> None:
    before = segment([b"lost", b"kept"])
    after = segment([b"new!"], nonce=6)
    assert payloads_of(after + before[len(after) :]) == [b"new!"]


def test_a_record_is_not_read_after_a_rewrite_of_its_predecessor() -> None:
    before = segment([b"same", b"next"])
    after = segment([b"same"], nonce=6)
    assert payloads_of(after + before[len(after) :]) == [b"same"]


def test_records_at_or_after_the_limit_are_not_read() -> None:
    data = segment([b"aaa", b"bbb"])
    second = SEGMENT_HEADER_BYTES + RECORD_HEADER_BYTES + 3
    assert payloads_of(data, second) == [b"aaa"]
    assert payloads_of(data, len(data)) == [b"aaa", b"bbb"]
