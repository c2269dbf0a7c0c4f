"""Sizes of messages between stores: bounded by bytes, with progress for one value of any length."""

from __future__ import annotations

import itertools

import pytest

from emberring.jobs.messages import DropSlots, WriteSlots
from emberring.jobs.owned import OwnedRecords
from emberring.jobs.owner_recovery import MAX_FETCH_BYTES, OwnerRecovery
from emberring.jobs.records import DEFINITION, JobState, SlotState, Term, checksum, unpack_records
from emberring.jobs.replica import Replica
from emberring.jobs.replication import MAX_ERASED_SLOTS, MAX_MESSAGE_BYTES, Replication
from emberring.placement.model import Group

GROUP = Group(0, 1, ("a", "b", "c"))
TERM = Term(1, 1, "a")
SLOTS = 40


@pytest.mark.parametrize("value_bytes", [100, MAX_MESSAGE_BYTES // 4, 3 * MAX_MESSAGE_BYTES])
def test_a_write_to_a_replica_has_a_bounded_size_and_at_least_one_value(value_bytes: int) -> None:
    records = OwnedRecords()
    for slot in range(SLOTS):
        records.put("k", slot, bytes(value_bytes), 0.0)
    replication = Replication(records)
    replication.begin(GROUP, TERM)
    written: list[int] = []
    for ticket in itertools.count():
        message = replication.next_message(0.0, "b", ticket)
        if message is None:
            break
        assert isinstance(message, WriteSlots)
        sent = unpack_records(message.records)
        assert sent
        assert sum(len(record.value) for record in sent[:-1]) < MAX_MESSAGE_BYTES
        written += [record.slot for record in sent]
        replication.on_written("b", ticket)
    assert written == list(range(SLOTS))


def test_an_erasure_at_a_replica_has_a_bounded_number_of_slots() -> None:
    replication = Replication(OwnedRecords())
    replication.begin(GROUP, TERM)
    superfluous = {slot: SlotState(TERM, 0, 0) for slot in range(MAX_ERASED_SLOTS + 1)}
    replication.compare("b", {"k": JobState(0, superfluous)})
    message = replication.next_message(0.0, "b", 1)
    assert isinstance(message, DropSlots)
    assert len(unpack_records(message.records)) == MAX_ERASED_SLOTS


@pytest.mark.parametrize("value_bytes", [100, MAX_FETCH_BYTES // 4, 3 * MAX_FETCH_BYTES])
def test_a_fetch_requests_a_bounded_size_and_at_least_one_value(value_bytes: int) -> None:
    value = bytes(value_bytes)
    slots = {slot: SlotState(TERM, checksum(value), value_bytes) for slot in (DEFINITION, *range(SLOTS))}
    inventories = {"a": {}, "b": {"k": JobState(0, slots)}}
    recovery = OwnerRecovery(0.0, inventories, GROUP, "a", Replica(0))
    ((source, packed),) = recovery.next_fetches()
    requested = unpack_records(packed)
    assert source == "b"
    assert requested
    assert value_bytes * (len(requested) - 1) <= MAX_FETCH_BYTES
