"""Recovery of a new owner: the record with the highest term of each slot, and one position for each item."""

from __future__ import annotations

import pytest

from emberring.jobs.lease import OWNER_LEASE_S, OwnerLease, has_quorum
from emberring.jobs.merge import duplicate_positions, merge
from emberring.jobs.owner_recovery import OwnerRecovery
from emberring.jobs.records import (
    DEFINITION,
    TOMBSTONE,
    JobState,
    Record,
    SlotState,
    Term,
    checksum,
    unpack_records,
)
from emberring.jobs.replica import Replica
from emberring.jobs.replica_log import Written
from emberring.jobs.results import ResultState, encode_result
from emberring.placement.model import Group

GROUP = Group(0, 1, ("a", "b", "c"))
JOINT = Group(0, 2, ("a", "b", "c"), ("b", "c", "d"))
ONE, TWO, THREE = Term(1, 1, "a"), Term(1, 2, "b"), Term(1, 3, "c")


def state(term: Term, value: bytes = b"v") -> SlotState:
    return SlotState(term, checksum(value), len(value))


def job(slots: dict[int, SlotState], age_ms: int = 0) -> dict[str, JobState]:
    return {"k": JobState(age_ms, slots)}


@pytest.mark.parametrize(
    ("group", "identities", "is_quorum"),
    [
        (GROUP, "ab", True),
        (GROUP, "a", False),
        (GROUP, "ad", False),
        (JOINT, "bc", True),
        (JOINT, "ab", False),
        (JOINT, "abd", True),
        (JOINT, "cd", False),
        (Group(0, 1, ("a",)), "a", True),
        (Group(0, 1, ("a", "b")), "a", False),
    ],
)
def test_quorums(group: Group, identities: str, is_quorum: bool) -> None:
    assert has_quorum(group, set(identities)) is is_quorum


def test_the_highest_term_wins_and_is_committed_if_a_quorum_has_it() -> None:
    merged = merge(
        {
            "a": job({0: state(ONE), 1: state(ONE), 2: state(ONE, b"old")}, 500),
            "b": job({0: state(ONE), 1: state(TWO), 2: state(THREE, b"new")}, 700),
        },
        GROUP,
    )["k"]
    assert merged.age_ms == 700
    assert merged.slots[0].committed
    assert (merged.slots[1].state.term, merged.slots[1].holders, merged.slots[1].committed) == (
        TWO,
        ("b",),
        False,
    )
    assert merged.slots[2].state == state(THREE, b"new")


def test_while_members_join_a_record_is_committed_by_quorums_of_both_sets() -> None:
    inventories = {"a": job({0: state(ONE), 1: state(ONE)}), "b": job({0: state(ONE), 1: state(ONE)})}
    assert not merge(inventories, JOINT)["k"].slots[0].committed
    inventories["c"] = job({0: state(ONE)})
    merged = merge(inventories, JOINT)["k"]
    assert merged.slots[0].committed
    assert not merged.slots[1].committed


def test_a_job_with_a_tombstone_at_any_replica_is_deleted() -> None:
    merged = merge(
        {"a": job({DEFINITION: state(ONE), 0: state(ONE)}), "b": job({TOMBSTONE: state(TWO, b"")})}, GROUP
    )
    assert set(merged["k"].slots) == {TOMBSTONE}


@pytest.mark.parametrize(
    ("results", "duplicates"),
    [
        ({}, set()),
        ({0: (ONE, 5), 1: (ONE, 6)}, set()),
        ({0: (ONE, 5), 3: (TWO, 5)}, {0}),
        ({0: (TWO, 5), 3: (ONE, 5)}, {3}),
        ({0: (ONE, 5), 3: (TWO, 5), 4: (THREE, 5), 5: (ONE, 6)}, {0, 3}),
    ],
)
def test_one_item_has_one_position(results: dict[int, tuple[Term, int]], duplicates: set[int]) -> None:
    assert duplicate_positions(results) == duplicates


def result(index: int) -> bytes:
    return encode_result(index, f"item-{index}", ResultState.COMPLETED, "text")


def replica_with(*records: tuple[Term, int, bytes]) -> Replica:
    replica = Replica(0)
    for term, slot, value in records:
        replica.apply(0.0, Written(term, (Record("k", slot, 0, value),)), 0)
    return replica


def test_values_of_the_own_replica_are_used_and_others_are_fetched_with_a_retry_elsewhere() -> None:
    own_replica = replica_with((ONE, 0, result(0)))
    inventories = {
        "a": own_replica.state(0.0),
        "b": job({0: state(ONE, result(0)), 1: state(ONE, result(1))}),
        "c": job({1: state(ONE, result(1))}),
    }
    recovery = OwnerRecovery(0.0, inventories, GROUP, "a", own_replica)
    ((source, packed),) = recovery.next_fetches()
    assert source == "b"
    assert [record.slot for record in unpack_records(packed)] == [1]
    assert list(recovery.next_fetches()) == []
    recovery.on_call_failed("b")
    ((source, _),) = recovery.next_fetches()
    assert source == "c"
    assert not recovery.complete
    recovery.on_fetched("c", [Record("k", 1, 0, result(1))])
    assert recovery.complete
    slots = recovery.jobs()["k"].slots
    assert [slots[0].value, slots[1].value] == [result(0), result(1)]
    assert slots[0].committed
    assert slots[1].committed


def test_without_a_source_the_recovery_is_stuck() -> None:
    own_replica = replica_with((ONE, 0, result(0)))
    recovery = OwnerRecovery(
        0.0, {"a": own_replica.state(0.0), "b": job({1: state(ONE, result(1))})}, GROUP, "a", own_replica
    )
    list(recovery.next_fetches())
    recovery.on_fetched("b", [Record("k", 1, 0, b"something else")])
    assert recovery.stuck


def test_of_two_positions_of_an_item_that_with_the_lower_term_is_left_out() -> None:
    own_replica = replica_with((ONE, 3, result(7)), (TWO, 1, result(7)), (TWO, 0, result(2)))
    recovery = OwnerRecovery(0.0, {"a": own_replica.state(0.0), "b": {}}, GROUP, "a", own_replica)
    assert set(recovery.jobs()["k"].slots) == {0, 1}


def test_a_lease_starts_when_its_renewals_were_sent_to_quorums_of_both_sets() -> None:
    lease = OwnerLease()
    assert lease.until_s(GROUP) < 0
    lease.grant("a", 10.0)
    lease.grant("b", 11.0)
    lease.grant("b", 10.5)
    assert lease.until_s(GROUP) == 10.0 + OWNER_LEASE_S
    assert lease.until_s(JOINT) < 0
    lease.grant("c", 9.0)
    assert lease.until_s(GROUP) == 10.0 + OWNER_LEASE_S
    assert lease.until_s(JOINT) == 9.0 + OWNER_LEASE_S
    lease.clear()
    assert lease.until_s(GROUP) < 0
