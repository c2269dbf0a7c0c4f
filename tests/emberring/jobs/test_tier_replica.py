"""A replica: what it accepts, rejects and stores, what a restart restores, and what is kept of a reclaimed segment."""

from __future__ import annotations

import pytest

from emberring.jobs.messages import (
    ClaimOwnership,
    ClaimOwnershipReply,
    DropSlots,
    FetchRecords,
    FetchRecordsReply,
    InventoryReply,
    InventoryRequest,
    ReleaseOwnership,
    ShardLease,
    WriteSlots,
    WriteSlotsReply,
)
from emberring.jobs.records import (
    DEFINITION,
    TOMBSTONE,
    Record,
    Term,
    pack_records,
    unpack_inventory,
    unpack_records,
)
from emberring.jobs.replica import (
    CLAIM_LEASE_S,
    REPLICA_LEASE_S,
    FailCall,
    PersistEntry,
    Replica,
    ReplicaAction,
    SendReply,
)
from emberring.jobs.replica_log import Copied, Dropped, Emptied, Entry, Promised, Written
from emberring.transport.messages import Ok

OLD, NEW, NEWEST = Term(1, 1, "a"), Term(1, 2, "b"), Term(2, 1, "a")


def write(term: Term, *records: Record) -> WriteSlots:
    return WriteSlots(0, "me", term, pack_records(records))


def drop(term: Term, *refs: tuple[str, int]) -> DropSlots:
    return DropSlots(0, "me", term, pack_records(Record(key, slot, 0, b"") for key, slot in refs))


def settle(
    replica: Replica, actions: list[ReplicaAction], now_s: float = 0.0, segment: int = 0
) -> list[ReplicaAction]:
    """Persist all entries; return the replies."""
    replies: list[ReplicaAction] = []
    for action in actions:
        if isinstance(action, PersistEntry):
            replies += replica.persisted(now_s, action.token, segment)
        else:
            replies.append(action)
    return replies


def put(replica: Replica, term: Term, key: str, slot: int, value: bytes, segment: int = 0) -> None:
    settle(replica, replica.handle(0.0, 1, write(term, Record(key, slot, 0, value))), 0.0, segment)


def test_a_write_is_acknowledged_and_visible_only_once_durable() -> None:
    replica = Replica(0)
    (persist,) = replica.handle(0.0, 7, write(OLD, Record("k", 0, 250, b"v")))
    assert isinstance(persist, PersistEntry)
    assert replica.value("k", 0) is None
    assert replica.oldest_pending_s(0.6) == pytest.approx(0.6)
    assert replica.persisted(1.0, persist.token, 3) == [SendReply(7, WriteSlotsReply(True, OLD))]
    assert replica.value("k", 0) == b"v"
    assert replica.jobs["k"].accepted_s == pytest.approx(0.75)
    assert replica.oldest_pending_s(5.0) == 0.0


def test_a_write_that_the_disk_rejects_does_not_change_the_value() -> None:
    replica = Replica(0)
    put(replica, OLD, "k", 0, b"before")
    (persist,) = replica.handle(0.0, 8, write(NEW, Record("k", 0, 0, b"after")))
    assert isinstance(persist, PersistEntry)
    assert replica.persist_failed(persist.token) == [FailCall(8)]
    assert replica.value("k", 0) == b"before"


def test_requests_under_lower_terms_are_rejected() -> None:
    replica = Replica(0)
    put(replica, NEW, "k", 0, b"v")
    rejected = [SendReply(1, WriteSlotsReply(False, NEW))]
    assert replica.handle(0.0, 1, write(OLD, Record("k", 1, 0, b"late"))) == rejected
    assert replica.handle(0.0, 1, drop(OLD, ("k", 0))) == rejected
    assert replica.handle(0.0, 1, ClaimOwnership(0, "me", NEW)) == [
        SendReply(1, ClaimOwnershipReply(False, NEW))
    ]
    assert replica.handle(0.0, 1, InventoryRequest(0, "me", OLD)) == [SendReply(1, InventoryReply(None, NEW))]
    answer, actions = replica.renew_lease(0.0, ShardLease(0, OLD))
    assert not answer.granted
    assert answer.promised == NEW
    assert not actions


def test_a_promise_is_valid_from_the_claim_on_and_is_acknowledged_once_durable() -> None:
    replica = Replica(0)
    put(replica, OLD, "k", 0, b"v")
    (persist,) = replica.handle(5.0, 2, ClaimOwnership(0, "me", NEW))
    assert replica.handle(5.0, 1, write(OLD, Record("k", 1, 0, b"late"))) == [
        SendReply(1, WriteSlotsReply(False, NEW))
    ]
    assert isinstance(persist, PersistEntry)
    (reply,) = replica.persisted(5.0, persist.token, 0)
    assert isinstance(reply, SendReply)
    assert reply.body.granted
    assert unpack_inventory(reply.body.inventory).keys() == {"k"}


def test_a_claim_is_not_granted_if_a_higher_one_arrives_before_it_is_durable() -> None:
    replica = Replica(0)
    (first,) = replica.handle(0.0, 1, ClaimOwnership(0, "me", NEW))
    (second,) = replica.handle(CLAIM_LEASE_S, 2, ClaimOwnership(0, "me", NEWEST))
    assert isinstance(first, PersistEntry)
    assert isinstance(second, PersistEntry)
    assert replica.persisted(1.0, first.token, 0) == [SendReply(1, ClaimOwnershipReply(False, NEWEST))]
    (granted,) = replica.persisted(1.0, second.token, 0)
    assert isinstance(granted, SendReply)
    assert granted.body.granted


def claim_reply(replica: Replica, term: Term, now_s: float) -> ClaimOwnershipReply:
    (reply,) = settle(replica, replica.handle(now_s, 1, ClaimOwnership(0, "me", term)), now_s)
    assert isinstance(reply, SendReply)
    assert isinstance(reply.body, ClaimOwnershipReply)
    return reply.body


def test_while_a_lease_may_be_active_no_other_owner_is_granted_a_claim() -> None:
    replica = Replica(0)
    assert claim_reply(replica, OLD, 0.0).granted
    answer, _ = replica.renew_lease(1.0, ShardLease(0, OLD))
    assert answer.granted
    rejected = claim_reply(replica, NEW, 1.0 + REPLICA_LEASE_S - 0.01)
    assert rejected == ClaimOwnershipReply(False, OLD, lease_active=True)
    assert claim_reply(replica, Term(1, 5, "a"), 1.1).granted  # the same owner, under a higher term
    assert claim_reply(replica, Term(1, 6, "b"), 1.0 + REPLICA_LEASE_S + CLAIM_LEASE_S).granted


def test_a_lease_under_a_new_term_is_granted_once_the_promise_is_durable() -> None:
    replica = Replica(0)
    answer, actions = replica.renew_lease(0.0, ShardLease(0, OLD))
    assert not answer.granted
    assert answer.promised == OLD
    settle(replica, actions)
    assert replica.renew_lease(0.2, ShardLease(0, OLD))[0].granted


def test_other_claims_are_rejected_from_the_first_lease_renewal_on() -> None:
    replica = Replica(0)
    answer, actions = replica.renew_lease(0.0, ShardLease(0, OLD))
    assert not answer.granted
    assert replica.lease_active(REPLICA_LEASE_S - 0.01)
    (rejected,) = replica.handle(0.01, 1, ClaimOwnership(0, "me", NEW))
    assert rejected == SendReply(1, ClaimOwnershipReply(False, OLD, lease_active=True))
    settle(replica, actions)
    assert not replica.lease_active(REPLICA_LEASE_S + 0.01)


def test_a_release_lets_others_claim_at_once() -> None:
    replica = Replica(0)
    claim_reply(replica, OLD, 0.0)
    replica.renew_lease(0.1, ShardLease(0, OLD))
    assert replica.handle(0.2, 1, ReleaseOwnership(0, "me", NEWEST)) == [SendReply(1, Ok())]
    assert claim_reply(replica, NEW, 0.2).lease_active
    replica.handle(0.2, 1, ReleaseOwnership(0, "me", OLD))
    assert claim_reply(replica, NEW, 0.2).granted


def test_after_a_restart_an_earlier_lease_may_still_be_active() -> None:
    replica = Replica(0)
    replica.apply(0.0, Promised(OLD), 0)
    replica.restored(10.0 + REPLICA_LEASE_S)
    assert claim_reply(replica, NEW, 10.0).lease_active
    assert claim_reply(replica, Term(1, 2, "a"), 10.0).granted  # the same owner, after a restart
    fresh = Replica(0)
    fresh.restored(10.0 + REPLICA_LEASE_S)
    assert claim_reply(fresh, NEW, 10.0).granted


def test_a_drop_does_not_erase_what_was_written_under_its_term() -> None:
    replica = Replica(0)
    put(replica, OLD, "k", 0, b"stale")
    put(replica, OLD, "k", 1, b"stale")
    put(replica, NEW, "k", 1, b"good")
    settle(replica, replica.handle(0.0, 1, drop(NEW, ("k", 0), ("k", 1), ("k", 2))))
    assert replica.value("k", 0) is None
    assert replica.value("k", 1) == b"good"


def test_a_job_with_a_tombstone_is_erased_with_the_tombstone_last() -> None:
    replica = Replica(0)
    empty = replica.digest
    put(replica, OLD, "k", DEFINITION, b"d")
    put(replica, OLD, "k", TOMBSTONE, b"")
    settle(replica, replica.handle(0.0, 1, drop(OLD, ("k", DEFINITION))))
    assert set(replica.jobs["k"].slots) == {TOMBSTONE}
    assert replica.value_bytes == 0
    settle(replica, replica.handle(0.0, 1, drop(OLD, ("k", TOMBSTONE))))
    assert replica.jobs == {}
    assert replica.digest == empty


def test_fetches_and_inventories() -> None:
    replica = Replica(0)
    put(replica, OLD, "k", 0, b"zero")
    put(replica, NEW, "k", 1, b"one")
    requested = pack_records([Record("k", 1, 0, b""), Record("k", 5, 0, b""), Record("x", 0, 0, b"")])
    (reply,) = replica.handle(2.0, 1, FetchRecords(0, "me", requested))
    assert isinstance(reply, SendReply)
    assert isinstance(reply.body, FetchRecordsReply)
    assert unpack_records(reply.body.records) == [Record("k", 1, 2000, b"one")]
    (reply,) = replica.handle(2.0, 1, InventoryRequest(0, "me", NEW))
    assert isinstance(reply, SendReply)
    stored_job = unpack_inventory(reply.body.inventory)["k"]
    assert {slot: state.term for slot, state in stored_job.slots.items()} == {0: OLD, 1: NEW}


def test_equal_contents_have_equal_digests_whatever_was_written_before() -> None:
    one, other = Replica(0), Replica(0)
    put(one, OLD, "k", 0, b"v")
    put(one, OLD, "k", 1, b"w")
    put(other, NEW, "k", 1, b"x")
    put(other, NEWEST, "k", 1, b"w")
    assert one.digest != other.digest
    assert (one.value_bytes, other.value_bytes) == (2, 1)
    put(other, NEWEST, "k", 0, b"v")
    assert one.digest == other.digest


def test_a_replica_that_leaves_its_group_keeps_its_promise() -> None:
    replica = Replica(0)
    put(replica, NEW, "k", 0, b"v")
    actions = replica.leave(0.0)
    assert replica.leave(0.0) == []
    assert [entry for entry in replica.live_entries(0.0, 0) if isinstance(entry, Copied)] == []
    settle(replica, actions)
    assert replica.jobs == {}
    assert claim_reply(replica, OLD, 0.0) == ClaimOwnershipReply(False, NEW)


def restored(*entries: Entry) -> Replica:
    replica = Replica(0)
    for number, entry in enumerate(entries):
        replica.apply(0.0, entry, number)
    replica.restored(0.0)
    return replica


SLOT_ZERO = (Record("k", 0, 0, b"v"),)


@pytest.mark.parametrize(
    ("entries", "is_stored"),
    [
        ((Written(OLD, SLOT_ZERO),), True),
        ((Written(OLD, SLOT_ZERO), Dropped(NEW, SLOT_ZERO)), False),
        ((Written(OLD, SLOT_ZERO), Dropped(NEW, SLOT_ZERO), Copied(OLD, SLOT_ZERO)), False),
        ((Dropped(NEW, SLOT_ZERO), Written(NEW, SLOT_ZERO)), True),
        ((Dropped(OLD, SLOT_ZERO), Copied(NEW, SLOT_ZERO)), True),
        ((Copied(OLD, SLOT_ZERO),), True),
        ((Written(OLD, SLOT_ZERO), Emptied(), Copied(OLD, SLOT_ZERO)), False),
        ((Emptied(), Written(OLD, SLOT_ZERO), Copied(OLD, SLOT_ZERO)), True),
        ((Written(OLD, SLOT_ZERO), Copied(OLD, SLOT_ZERO)), True),
    ],
)
def test_a_restore_keeps_what_was_not_erased(entries: tuple[Entry, ...], is_stored: bool) -> None:
    assert (restored(*entries).value("k", 0) == b"v") is is_stored


def test_only_the_promise_and_live_slots_of_a_reclaimed_segment_are_kept() -> None:
    replica = Replica(0)
    put(replica, OLD, "k", 0, b"old", segment=1)
    put(replica, OLD, "k", 1, b"one", segment=1)
    put(replica, OLD, "k", 2, b"two", segment=1)
    put(replica, NEW, "k", 0, b"new", segment=2)
    replica.handle(0.0, 1, drop(NEW, ("k", 2)))  # not durable yet
    live = replica.live_entries(0.0, 1)
    assert live == [Promised(NEW), Copied(OLD, (Record("k", 1, 0, b"one"),))]
    replica.on_relocated(live[1], 5)
    assert replica.jobs["k"].slots[1].segment == 5
    assert replica.live_entries(0.0, 1) == [Promised(NEW)]
