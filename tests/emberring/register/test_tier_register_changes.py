"""Which replica is replaced by which node, and by whom."""

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
CALM = ReplicaSetView({}, frozenset(), {}, frozenset(), {}, {"a": "z1", "b": "z2", "c": "z3"}, ())
SPARE = (Candidate(D, "z3"),)


def swapped(outgoing: Member, successor: Member) -> tuple[Member, ...]:
    return tuple(successor if member == outgoing else member for member in OLD.members)


@pytest.mark.parametrize(
    ("changes", "joining"),
    [
        ({}, None),
        ({"candidates": SPARE}, None),
        ({"dead": frozenset("c")}, None),
        ({"dead": frozenset("c"), "candidates": SPARE}, swapped(C, D)),
        ({"leaving": frozenset("b"), "candidates": SPARE}, swapped(B, D)),
        ({"address_taken_by": {"b": "e"}, "candidates": (*SPARE, Candidate(E))}, swapped(B, E)),
        ({"address_taken_by": {"b": "gone"}, "candidates": SPARE}, swapped(B, D)),
        ({"name_taken_by": {"a": "e"}, "candidates": (*SPARE, Candidate(E))}, swapped(A, E)),
        (
            {"address_taken_by": {"a": "e"}, "dead": frozenset("b"), "candidates": (Candidate(E),)},
            swapped(A, E),
        ),
        ({"dead": frozenset("a"), "leaving": frozenset("b"), "candidates": SPARE}, swapped(A, D)),
        (
            {"dead": frozenset("ab"), "unreachable_s": {"a": 2.0, "b": 3.0}, "candidates": SPARE},
            swapped(B, D),
        ),
        (
            {"dead": frozenset("c"), "candidates": (Candidate(D, "z1"), Candidate(E, "z3"))},
            swapped(C, E),
        ),
        (
            {"dead": frozenset("c"), "candidates": (Candidate(E, "z4"), Candidate(D, "z4"))},
            swapped(C, D),
        ),
        ({"dead": frozenset("c"), "candidates": (Candidate(A, "z1"),)}, None),
    ],
)
def test_one_replica_at_a_time(changes: dict[str, object], joining: tuple[Member, ...] | None) -> None:
    following = next_replica_set(OLD, attrs.evolve(CALM, **changes), 3)
    assert following == (None if joining is None else ReplicaSet(1, OLD.members, joining))


def test_a_joint_set_is_always_finished_forward() -> None:
    joint = ReplicaSet(1, OLD.members, (A, B, D))
    assert next_replica_set(joint, attrs.evolve(CALM, dead=frozenset("d")), 3) == ReplicaSet(2, (A, B, D))


def test_a_set_that_is_too_small_grows_by_one_where_its_zones_are_few() -> None:
    view = attrs.evolve(CALM, candidates=(Candidate(D, "z1"), Candidate(E, "z4")))
    assert next_replica_set(OLD, view, 5) == ReplicaSet(1, OLD.members, (*OLD.members, E))


# Who acts, and when.


def manager(me: Member = A, seeds: tuple[str, ...] = ()) -> tuple[ReplicaSetManager, Contacts]:
    contacts = Contacts(me, 0.0, seeds)
    return ReplicaSetManager(me, 3, contacts), contacts


def hear(contacts: Contacts, now_s: float, replicas: ReplicaSet, answers: dict[str, Pong | None]) -> None:
    """Ping whoever is due; each answers, or is silent."""
    contacts.detect_pause(now_s)
    for address in contacts.take_due_pings(now_s, replicas):
        contacts.on_pong(address, answers.get(address))


def pong(identity: str, learned: ProposalNumber | None = None) -> Pong:
    return Pong(identity, learned)


def learned(replicas: ReplicaSet) -> Proposal:
    return Proposal(ProposalNumber(7, "p"), State(replicas, b"v"))


def play(
    setup: tuple[ReplicaSetManager, Contacts],
    replicas: ReplicaSet,
    answers: dict[str, Pong | None],
    until_s: float,
) -> tuple[float, ReconfigurationStep] | None:
    """When the first step is wanted, looking every 50 ms."""
    found, contacts = setup
    now_s = 0.0
    while now_s < until_s:
        now_s += 0.05
        hear(contacts, now_s, replicas, answers)
        step = found.step(now_s, learned(replicas))
        if step is not None:
            return now_s, step
    return None


ALL = {"a:1": pong("a"), "b:1": pong("b"), "c:1": pong("c"), "d:1": pong("d")}


def test_a_silent_replica_is_replaced_by_a_spare_after_its_time() -> None:
    setup = manager()
    setup[1].set_peers((Peer("n", D),))
    found = play(setup, OLD, {**ALL, "c:1": None}, 5.0)
    assert found is not None
    assert 1.5 < found[0] < 1.8
    assert found[1].following == ReplicaSet(1, OLD.members, (A, B, D))


def test_a_replica_whose_disk_is_gone_is_replaced_at_once() -> None:
    found = play(manager(), OLD, {**ALL, "c:1": pong("c-again")}, 5.0)
    assert found is not None
    assert found[0] < 0.5
    assert found[1].following == ReplicaSet(1, OLD.members, (A, B, Member("c-again", "c:1")))


def test_the_next_replica_in_line_waits_longer() -> None:
    answers = {**ALL, "c:1": pong("c-again")}
    found = play(manager(B), OLD, answers, 5.0)
    assert found is not None
    assert 0.5 <= found[0] < 1.0


def test_a_node_that_is_no_replica_changes_nothing() -> None:
    assert play(manager(D), OLD, {**ALL, "c:1": pong("c-again")}, 5.0) is None


def test_a_node_without_a_quorum_changes_nothing() -> None:
    setup = manager()
    setup[1].set_peers((Peer("n", D),))
    assert play(setup, OLD, {"d:1": pong("d")}, 5.0) is None


def test_a_replica_whose_disk_does_not_vote_counts_as_silent() -> None:
    setup = manager()
    setup[1].set_peers((Peer("n", D),))
    found = play(setup, OLD, {**ALL, "c:1": Pong("c", None, voting=False)}, 5.0)
    assert found is not None
    assert found[1].following.joining == (A, B, D)


def test_a_new_node_of_the_same_name_takes_its_place_sooner() -> None:
    setup = manager()
    setup[1].set_peers((Peer("node-c", C), Peer("node-b", B)))
    setup[1].set_peers((Peer("node-c", D), Peer("node-b", B), Peer("node-e", E)))
    answers = {"b:1": pong("b"), "d:1": pong("d"), "e:1": pong("e")}
    found = play(setup, OLD, answers, 5.0)
    assert found is not None
    assert found[0] < 1.0
    assert found[1].following.joining == (A, B, D)


def test_after_a_pause_of_its_own_nobody_counts_as_silent() -> None:
    setup = manager()
    setup[1].set_peers((Peer("n", D),))
    assert play(setup, OLD, ALL, 3.0) is None
    found, contacts = setup
    contacts.detect_pause(10.0)
    contacts.take_due_pings(10.0, OLD)
    contacts.on_pong("d:1", pong("d"))
    contacts.on_pong("b:1", pong("b"))
    assert found.step(10.0, learned(OLD)) is None


def test_a_joint_set_waits_for_the_new_one_to_hold_the_value_or_for_its_time() -> None:
    joint = ReplicaSet(1, OLD.members, (A, B, D))
    holds = play(manager(), joint, {**ALL, "d:1": pong("d", ProposalNumber(7, "p"))}, 5.0)
    assert holds is not None
    assert holds[0] < 0.2
    assert holds[1].following == ReplicaSet(2, (A, B, D))
    late = play(manager(), joint, {**ALL, "d:1": pong("d", ProposalNumber(6, "p"))}, 5.0)
    assert late is not None
    assert 1.0 < late[0] < 1.3


def test_quorum_age_is_that_of_the_slowest_majority() -> None:
    contacts = Contacts(A, 0.0, ())
    joint = ReplicaSet(1, (A, B, C), (A, D, E))
    for now_s, answers in ((1.0, ("b",)), (2.0, ("d",)), (3.0, ("c",))):
        contacts.detect_pause(now_s)
        for address in contacts.take_due_pings(now_s, joint):
            contacts.on_pong(address, pong(address[0]) if address[0] in answers else None)
    assert contacts.quorum_age_s(4.0, OLD) == 1.0
    assert contacts.quorum_age_s(4.0, joint) == 2.0
    contacts.voting = False
    assert contacts.quorum_age_s(4.0, OLD) == 3.0
