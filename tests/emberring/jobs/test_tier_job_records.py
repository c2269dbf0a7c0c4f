"""Records, inventories and journal entries decode to what was encoded; damaged bytes raise an error."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from emberring.errors import CorruptRecordError
from emberring.jobs.records import (
    JobState,
    Record,
    SlotState,
    Term,
    pack_inventory,
    pack_records,
    unpack_inventory,
    unpack_records,
)
from emberring.jobs.replica_log import (
    Copied,
    Dropped,
    Emptied,
    Entry,
    Logged,
    Promised,
    Started,
    Written,
    decode_entry,
    encode_entry,
    split_by_size,
)

KEYS = st.text(min_size=0, max_size=30)
TERMS = st.builds(Term, st.integers(0, 2**40), st.integers(0, 2**40), st.text(max_size=20))
RECORDS = st.builds(
    Record, KEYS, st.integers(-3, 2**31 - 1), st.integers(0, 2**32 - 1), st.binary(max_size=200)
)
SLOTS = st.builds(SlotState, TERMS, st.integers(0, 2**32 - 1), st.integers(0, 2**32 - 1))
JOBS = st.builds(
    JobState, st.integers(0, 2**32 - 1), st.dictionaries(st.integers(-3, 200), SLOTS, max_size=5)
)
RECORD_TUPLES = st.lists(RECORDS, max_size=5).map(tuple)
ENTRIES = st.one_of(
    st.builds(Written, TERMS, RECORD_TUPLES),
    st.builds(Dropped, TERMS, RECORD_TUPLES),
    st.builds(Copied, TERMS, RECORD_TUPLES),
    st.builds(Promised, TERMS),
    st.just(Emptied()),
    st.just(Started()),
)


@given(st.lists(RECORDS, max_size=8))
def test_records(records: list[Record]) -> None:
    assert unpack_records(pack_records(records)) == records


@given(st.dictionaries(KEYS, JOBS, max_size=6))
def test_inventories(jobs: dict[str, JobState]) -> None:
    assert unpack_inventory(pack_inventory(jobs)) == jobs


@given(st.integers(0, 255), st.floats(-1e12, 1e12), ENTRIES)
def test_entries(shard: int, clock_s: float, entry: Entry) -> None:
    assert decode_entry(encode_entry(shard, clock_s, entry)) == Logged(shard, clock_s, entry)


@pytest.mark.parametrize("cut", [1, 5, 12, 20])
def test_truncated_bytes_raise_an_error(cut: int) -> None:
    record = Record("lots.example/1", 3, 5, b"value")
    with pytest.raises(CorruptRecordError):
        unpack_records(pack_records([record])[:-cut])
    payload = encode_entry(1, 2.0, Written(Term(1, 2, "me"), (record,)))
    with pytest.raises(CorruptRecordError):
        decode_entry(payload[:-cut])
    inventory = pack_inventory({"k": JobState(1, {0: SlotState(Term(1, 1, "a"), 7, 8)})})
    with pytest.raises(CorruptRecordError):
        unpack_inventory(inventory[:-1])


def test_an_unknown_kind_of_entry_raises_an_error() -> None:
    payload = encode_entry(1, 2.0, Promised(Term(1, 2, "me")))
    with pytest.raises(CorruptRecordError):
        decode_entry(b"\x63" + payload[1:])


def test_records_are_split_into_chunks_of_limited_size() -> None:
    records = [Record("k", number, 0, b"x" * 40) for number in range(5)]
    chunks = split_by_size(records, 100)
    assert [len(chunk) for chunk in chunks] == [2, 2, 1]
    assert [record for chunk in chunks for record in chunk] == records
    assert split_by_size([], 100) == []


def test_terms_are_ordered_by_epoch_then_counter_then_owner() -> None:
    terms = [Term(1, 9, "b"), Term(2, 1, "a"), Term(1, 9, "a"), Term(2, 2, "")]
    assert sorted(terms) == [terms[2], terms[0], terms[1], terms[3]]
