"""The bytes of a segment: what counts as a record and what does not."""

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


def test_header_comes_back() -> None:
    assert decode_segment_header(HEADER.encode()) == HEADER
    assert len(HEADER.encode()) == SEGMENT_HEADER_BYTES


@pytest.mark.parametrize("place", range(36))
def test_header_with_a_damaged_byte_is_none(place: int) -> None:
    data = bytearray(HEADER.encode())
    data[place] ^= 0x40
    assert decode_segment_header(bytes(data)) is None


@pytest.mark.parametrize("data", [b"", b"\0" * 64, b"\xff" * 64, HEADER.encode()[:40]])
def test_what_is_no_header_is_none(data: bytes) -> None:
    assert decode_segment_header(data) is None


def test_records_come_back_in_order_with_their_places() -> None:
    payloads = [b"one", b"", b"three" * 100]
    data = segment(payloads)
    scan = scan_segment(HEADER, data + bytes(500))
    assert [record.payload for record in scan.records] == payloads
    assert scan.end == len(data)
    for record in scan.records:
        place = record.position
        end = place.offset + RECORD_HEADER_BYTES + place.length
        assert verify_record(place, data[place.offset : end]) == record.payload


@pytest.mark.parametrize("place", range(64, 64 + 3 * (RECORD_HEADER_BYTES + 3)))
def test_a_damaged_byte_ends_the_segment_there(place: int) -> None:
    payloads = [b"aaa", b"bbb", b"ccc"]
    data = bytearray(segment(payloads))
    data[place] ^= 0x01
    whole = (place - SEGMENT_HEADER_BYTES) // (RECORD_HEADER_BYTES + 3)
    assert payloads_of(bytes(data)) == payloads[:whole]


@pytest.mark.parametrize("cut", range(1, RECORD_HEADER_BYTES + 3))
def test_a_torn_record_is_none(cut: int) -> None:
    data = segment([b"aaa", b"bbb"])
    assert payloads_of(data[:-cut]) == [b"aaa"]
    assert payloads_of(data[:-cut] + bytes(cut + 100)) == [b"aaa"]


def test_records_of_an_earlier_use_of_the_file_are_none() -> None:
    old = segment([b"old"], SegmentHeader(6, 1234, 99))
    assert payloads_of(HEADER.encode() + old[SEGMENT_HEADER_BYTES:]) == []


def test_a_record_behind_a_torn_one_does_not_come_back_behind_a_new_one() -> None:
    before = segment([b"lost", b"kept"])
    after = segment([b"new!"], nonce=6)
    assert payloads_of(after + before[len(after) :]) == [b"new!"]


def test_the_same_record_written_again_does_not_bring_back_the_next() -> None:
    before = segment([b"same", b"next"])
    after = segment([b"same"], nonce=6)
    assert payloads_of(after + before[len(after) :]) == [b"same"]


def test_records_at_or_behind_the_limit_do_not_count() -> None:
    data = segment([b"aaa", b"bbb"])
    second = SEGMENT_HEADER_BYTES + RECORD_HEADER_BYTES + 3
    assert payloads_of(data, second) == [b"aaa"]
    assert payloads_of(data, len(data)) == [b"aaa", b"bbb"]
