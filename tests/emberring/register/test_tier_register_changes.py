"""Reconfiguration: which replica is replaced by which node, and which node proposes it when."""

from __future__ import annotations

import attrs
import pytest

from emberring.register.changes import Candidate, ReplicaSetView, next_replica_set
from emberring.register.contacts import Contacts
from emberring.register.events import Peer
from emberring.register.messages import Pong
from emberring.register.model import Member, Proposal, ProposalNumber, ReplicaSet, State
from emberring.register.replica_set_manager import ReconfigurationStep, ReplicaSetManager

A, B, C, D, E = (Member(name, f"{name}:1") for name in "abcde")
OLD = ReplicaSet(0, (A, B, C))
ALL_REACHABLE = ReplicaSetView({}, frozenset(), {}, frozenset(), {}, {"a": "z1", "b": "z2", "c": "z3"}, ())
SPARE_CANDIDATES = (Candidate(D, "z3"),)


def with_replacement(outgoing: Member, successor: Member) -> tuple[Member, ...]:
    return tuple(successor if member == outgoing else member for member in OLD.members)


@pytest.mark.parametrize(
    ("changes", "joining"),
    [
        ({}, None),
        ({"candidates": SPARE_CANDIDATES}, None),
        ({"dead": frozenset("c")}, None),
        ({"dead": frozenset("c"), "candidates": SPARE_CANDIDATES}, with_replacement(C, D)),
        ({"leaving": frozenset("b"), "candidates": SPARE_CANDIDATES}, with_replacement(B, D)),
        (
            {"successor_at_address": {"b": "e"}, "candidates": (*SPARE_CANDIDATES, Candidate(E))},
            with_replacement(B, E),
        ),
        ({"successor_at_address": {"b": "gone"}, "candidates": SPARE_CANDIDATES}, with_replacement(B, D)),
        (
            {"successor_by_name": {"a": "e"}, "candidates": (*SPARE_CANDIDATES, Candidate(E))},
            with_replacement(A, E),
        ),
        (
            {"successor_at_address": {"a": "e"}, "dead": frozenset("b"), "candidates": (Candidate(E),)},
            with_replacement(A, E),
        ),
        (
            {"dead": frozenset("a"), "leaving": frozenset("b"), "candidates": SPARE_CANDIDATES},
            with_replacement(A, D),
        ),
        (
            {"dead": frozenset("ab"), "unreachable_s": {"a": 2.0, "b": 3.0}, "candidates": SPARE_CANDIDATES},
            with_replacement(B, D),
        ),
        (
            {"dead": frozenset("c"), "candidates": (Candidate(D, "z1"), Candidate(E, "z3"))},
            with_replacement(C, E),
        ),
        (
            {"dead": frozenset("c"), "candidates": (Candidate(E, "z4"), Candidate(D, "z4"))},
            with_replacement(C, D),
        ),
        ({"dead": frozenset("c"), "candidates": (Candidate(A, "z1"),)}, None),
    ],
)
def test_one_replica_is_replaced_at_a_time(
    changes: dict[str, object], joining: tuple[Member, ...] | None
) -> None:
    following = next_replica_set(OLD, attrs.evolve(ALL_REACHABLE, **changes), 3)
    assert following == (None if joining is None else ReplicaSet(1, OLD.members, joining))


def test_a_joint_set_is_always_completed_not_reverted() -> None:
    joint = ReplicaSet(1, OLD.members, (A, B, D))
    assert next_replica_set(joint, attrs.evolve(ALL_REACHABLE, dead=frozenset("d")), 3) == ReplicaSet(
        2, (A, B, D)
    )


def test_a_set_that_is_too_small_grows_by_one_in_the_zone_with_fewest_replicas() -> None:
    view = attrs.evolve(ALL_REACHABLE, candidates=(Candidate(D, "z1"), Candidate(E, "z4")))
    assert next_replica_set(OLD, view, 5) == ReplicaSet(1, OLD.members, (*OLD.members, E))


# Which node proposes a step, and when.


def new_manager(me: Member = A, seeds: tuple[str, ...] = ()) -> tuple[ReplicaSetManager, Contacts]:
    contacts = Contacts(me, 0.0, seeds)
    return ReplicaSetManager(me, 3, contacts), contacts


def exchange_pings(
    contacts: Contacts, now_s: float, replicas: ReplicaSet, replies: dict[str, Pong | None]
) -> None:
    """Send the pings that are due; `replies` has the reply of each address, or None for a timeout."""
    contacts.detect_pause(now_s)
    for address in contacts.take_due_pings(now_s, replicas):
        contacts.on_pong(address, replies.get(address))


def pong(identity: str, learned: ProposalNumber | None = None) -> Pong:
    return Pong(identity, learned)


def learned(replicas: ReplicaSet) -> Proposal:
    return Proposal(ProposalNumber(7, "p"), State(replicas, b"v"))


def first_step(
    manager_and_contacts: tuple[ReplicaSetManager, Contacts],
    replicas: ReplicaSet,
    replies: dict[str, Pong | None],
    until_s: float,
) -> tuple[float, ReconfigurationStep] | None:
    """Return the time and the value of the first planned step, with a check every 50 ms."""
    planner, contacts = manager_and_contacts
    now_s = 0.0
    while now_s < until_s:
        now_s += 0.05
        exchange_pings(contacts, now_s, replicas, replies)
        step = planner.step(now_s, learned(replicas))
        if step is not None:
            return now_s, step
    return None


ALL_REPLIES = {"a:1": pong("a"), "b:1": pong("b"), "c:1": pong("c"), "d:1": pong("d")}


def test_an_unreachable_replica_is_replaced_by_a_spare_after_the_timeout() -> None:
    manager_and_contacts = new_manager()
    manager_and_contacts[1].set_peers((Peer("n", D),))
    found = first_step(manager_and_contacts, OLD, {**ALL_REPLIES, "c:1": None}, 5.0)
    assert found is not None
    assert 1.5 < found[0] < 1.8
    assert found[1].following == ReplicaSet(1, OLD.members, (A, B, D))


def test_a_replica_that_lost_its_disk_is_replaced_at_once() -> None:
    found = first_step(new_manager(), OLD, {**ALL_REPLIES, "c:1": pong("c-again")}, 5.0)
    assert found is not None
    assert found[0] < 0.5
    assert found[1].following == ReplicaSet(1, OLD.members, (A, B, Member("c-again", "c:1")))


def test_a_replica_with_a_higher_rank_waits_longer() -> None:
    replies = {**ALL_REPLIES, "c:1": pong("c-again")}
    found = first_step(new_manager(B), OLD, replies, 5.0)
    assert found is not None
    assert 0.5 <= found[0] < 1.0


def test_a_node_that_is_not_a_replica_plans_no_step() -> None:
    assert first_step(new_manager(D), OLD, {**ALL_REPLIES, "c:1": pong("c-again")}, 5.0) is None


def test_a_node_without_a_quorum_plans_no_step() -> None:
    manager_and_contacts = new_manager()
    manager_and_contacts[1].set_peers((Peer("n", D),))
    assert first_step(manager_and_contacts, OLD, {"d:1": pong("d")}, 5.0) is None


def test_a_replica_that_cannot_vote_counts_as_unreachable() -> None:
    manager_and_contacts = new_manager()
    manager_and_contacts[1].set_peers((Peer("n", D),))
    found = first_step(manager_and_contacts, OLD, {**ALL_REPLIES, "c:1": Pong("c", None, voting=False)}, 5.0)
    assert found is not None
    assert found[1].following.joining == (A, B, D)


def test_a_new_node_of_the_same_name_replaces_a_replica_sooner() -> None:
    manager_and_contacts = new_manager()
    manager_and_contacts[1].set_peers((Peer("node-c", C), Peer("node-b", B)))
    manager_and_contacts[1].set_peers((Peer("node-c", D), Peer("node-b", B), Peer("node-e", E)))
    replies = {"b:1": pong("b"), "d:1": pong("d"), "e:1": pong("e")}
    found = first_step(manager_and_contacts, OLD, replies, 5.0)
    assert found is not None
    assert found[0] < 1.0
    assert found[1].following.joining == (A, B, D)


def test_after_a_pause_of_this_process_no_replica_counts_as_unreachable() -> None:
    manager_and_contacts = new_manager()
    manager_and_contacts[1].set_peers((Peer("n", D),))
    assert first_step(manager_and_contacts, OLD, ALL_REPLIES, 3.0) is None
    planner, contacts = manager_and_contacts
    contacts.detect_pause(10.0)
    contacts.take_due_pings(10.0, OLD)
    contacts.on_pong("d:1", pong("d"))
    contacts.on_pong("b:1", pong("b"))
    assert planner.step(10.0, learned(OLD)) is None


def test_a_joint_set_waits_until_the_joining_replica_has_the_value_or_a_timeout() -> None:
    joint = ReplicaSet(1, OLD.members, (A, B, D))
    after_value = first_step(
        new_manager(), joint, {**ALL_REPLIES, "d:1": pong("d", ProposalNumber(7, "p"))}, 5.0
    )
    assert after_value is not None
    assert after_value[0] < 0.2
    assert after_value[1].following == ReplicaSet(2, (A, B, D))
    after_timeout = first_step(
        new_manager(), joint, {**ALL_REPLIES, "d:1": pong("d", ProposalNumber(6, "p"))}, 5.0
    )
    assert after_timeout is not None
    assert 1.0 < after_timeout[0] < 1.3


def test_the_quorum_age_is_that_of_the_oldest_majority() -> None:
    contacts = Contacts(A, 0.0, ())
    joint = ReplicaSet(1, (A, B, C), (A, D, E))
    for now_s, replies in ((1.0, ("b",)), (2.0, ("d",)), (3.0, ("c",))):
        contacts.detect_pause(now_s)
        for address in contacts.take_due_pings(now_s, joint):
            contacts.on_pong(address, pong(address[0]) if address[0] in replies else None)
    assert contacts.quorum_age_s(4.0, OLD) == 1.0
    assert contacts.quorum_age_s(4.0, joint) == 2.0
    contacts.voting = False
    assert contacts.quorum_age_s(4.0, OLD) == 3.0
