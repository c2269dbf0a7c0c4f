"""One attempt and one quorum read: quorums by the replica set found, joint sets, and when a set may be dropped."""

from __future__ import annotations

import pytest

from emberring.register.messages import (
    Accept,
    Accepted,
    Prepare,
    Promise,
    Query,
    Rejected,
    StateReport,
    UnknownReplica,
)
from emberring.register.model import INITIAL_NUMBER, Member, Proposal, ProposalNumber, ReplicaSet, State
from emberring.register.proposer import Phase, ProposalAttempt, QuorumRead, Send

A, B, C, D, E = (Member(name, f"{name}:1") for name in "abcde")
OLD = ReplicaSet(0, (A, B, C))
JOINT = ReplicaSet(1, (A, B, C), (A, B, D))
NEW = ReplicaSet(2, (A, B, D))
FIRST = Proposal(INITIAL_NUMBER, State(OLD))
MINE = ProposalNumber(5, "me")


def proposal(counter: int, replicas: ReplicaSet, payload: bytes | None) -> Proposal:
    return Proposal(ProposalNumber(counter, "other"), State(replicas, payload))


def promise(member: Member, accepted: Proposal | None) -> Promise:
    if accepted is None:
        return Promise(member.identity, MINE)
    return Promise(member.identity, MINE, accepted.number, accepted.state)


def attempt_to_set(payload: bytes) -> ProposalAttempt:
    return ProposalAttempt(MINE, FIRST, lambda found, committed: State(found.state.replicas, payload))


def attempt_to_keep() -> ProposalAttempt:
    return ProposalAttempt(MINE, FIRST, lambda found, committed: found.state)


def attempt_to_reconfigure(replicas: ReplicaSet) -> ProposalAttempt:
    return ProposalAttempt(MINE, FIRST, lambda found, committed: State(replicas, found.state.payload))


def recipients(sends: list[Send], kind: type) -> list[str]:
    return [send.member.identity for send in sends if isinstance(send.message, kind)]


def deliver_acceptances(attempt: ProposalAttempt, *members: Member) -> None:
    for member in members:
        attempt.on_reply(member, Accepted(member.identity, MINE))


def test_two_of_three_promise_then_two_of_three_accept() -> None:
    attempt = attempt_to_set(b"v")
    assert recipients(attempt.start(OLD.all_members), Prepare) == ["a", "b", "c"]
    assert attempt.on_reply(A, promise(A, FIRST)) == []
    sends = attempt.on_reply(C, promise(C, FIRST))
    assert recipients(sends, Accept) == ["a", "b", "c"]
    deliver_acceptances(attempt, A)
    assert attempt.phase is Phase.ACCEPTING
    deliver_acceptances(attempt, A)  # a duplicate acceptance counts once
    assert attempt.phase is Phase.ACCEPTING
    deliver_acceptances(attempt, B)
    assert attempt.phase is Phase.COMMITTED
    assert attempt.outcome == Proposal(MINE, State(OLD, b"v"))


def test_an_attempt_builds_on_the_newest_proposal_found() -> None:
    older, newer = proposal(2, OLD, b"older"), proposal(3, OLD, b"newer")
    seen: list[tuple[Proposal, bool]] = []
    attempt = ProposalAttempt(
        MINE, FIRST, lambda found, committed: seen.append((found, committed)) or State(OLD, b"v")
    )
    attempt.start(OLD.all_members)
    attempt.on_reply(A, promise(A, older))
    attempt.on_reply(B, promise(B, newer))
    assert seen == [(newer, False)]


def test_a_state_that_a_quorum_accepted_is_committed_and_not_proposed_again() -> None:
    accepted = proposal(3, OLD, b"held")
    attempt = attempt_to_keep()
    attempt.start(OLD.all_members)
    attempt.on_reply(A, promise(A, accepted))
    assert attempt.on_reply(B, promise(B, accepted)) == []
    assert attempt.phase is Phase.COMMITTED
    assert attempt.outcome == accepted
    assert not attempt.accept_sent


def test_a_state_that_may_not_be_committed_is_proposed_again_with_a_new_number() -> None:
    attempt = attempt_to_keep()
    attempt.start(OLD.all_members)
    attempt.on_reply(A, promise(A, proposal(3, OLD, b"held")))
    assert recipients(attempt.on_reply(B, promise(B, FIRST)), Accept) == ["a", "b", "c"]
    deliver_acceptances(attempt, A, C)
    assert attempt.outcome == Proposal(MINE, State(OLD, b"held"))


# Guards against a reply that breaks the protocol and ends the task of its call, so that the attempt never ends.
def test_a_promise_that_omits_a_state_unknown_here_counts_as_a_failure() -> None:
    attempt = attempt_to_set(b"v")
    attempt.start(OLD.all_members)
    unknown = proposal(4, OLD, b"other")
    assert attempt.on_reply(A, Promise("a", MINE, unknown.number)) == []
    attempt.on_reply(B, promise(B, FIRST))
    sends = attempt.on_reply(C, promise(C, FIRST))
    assert recipients(sends, Accept) == ["a", "b", "c"]


def test_a_report_that_omits_a_state_unknown_here_counts_as_a_failure() -> None:
    read = QuorumRead(FIRST)
    read.start(OLD.all_members)
    unknown = proposal(4, OLD, b"other")
    read.on_reply(A, StateReport("a", unknown.number))
    read.on_reply(B, report(B, FIRST))
    read.on_reply(C, report(C, FIRST))
    assert (read.finished, read.committed) == (True, FIRST)


def test_an_omitted_state_is_that_of_the_known_proposal() -> None:
    known = proposal(3, OLD, b"known")
    attempt = ProposalAttempt(
        MINE, known, lambda found, committed: State(OLD, (found.state.payload or b"") + b"!")
    )
    sends = attempt.start(OLD.all_members)
    assert {send.message.known for send in sends if isinstance(send.message, Prepare)} == {known.number}
    attempt.on_reply(A, Promise("a", MINE, known.number))
    sends = attempt.on_reply(B, Promise("b", MINE, known.number))
    assert {send.message.state.payload for send in sends if isinstance(send.message, Accept)} == {b"known!"}


@pytest.mark.parametrize(
    ("acceptors", "others", "complete"),
    [
        ([A], [B], True),  # majorities of abc and of abd
        ([A], [C], False),  # no majority of abd
        ([A], [D], False),  # no majority of abc
        ([A], [C, D], True),
        ([D], [C], False),
        ([D], [C, B], True),
    ],
)
def test_a_joint_set_found_needs_both_majorities(
    acceptors: list[Member], others: list[Member], complete: bool
) -> None:
    joint = proposal(3, JOINT, b"v")
    attempt = attempt_to_set(b"w")
    attempt.start((A, B, C, D))
    sends: list[Send] = []
    for member in acceptors:
        sends += attempt.on_reply(member, promise(member, joint))
    for member in others:
        sends += attempt.on_reply(member, promise(member, None if member == D else FIRST))
    assert (recipients(sends, Accept) != []) is complete


def test_replicas_of_a_newer_set_are_sent_prepares_too() -> None:
    attempt = attempt_to_set(b"w")
    attempt.start(OLD.all_members)
    sends = attempt.on_reply(A, promise(A, proposal(3, JOINT, b"v")))
    assert recipients(sends, Prepare) == ["d"]
    assert attempt.on_reply(C, promise(C, FIRST)) == []
    assert recipients(attempt.on_reply(D, promise(D, None)), Accept) == ["a", "b", "c", "d"]


def test_entering_a_joint_set_needs_both_majorities_to_accept() -> None:
    attempt = attempt_to_reconfigure(JOINT)
    attempt.start(OLD.all_members)
    attempt.on_reply(A, promise(A, FIRST))
    assert recipients(attempt.on_reply(C, promise(C, FIRST)), Accept) == ["a", "b", "c", "d"]
    deliver_acceptances(attempt, A, C)
    assert attempt.phase is Phase.ACCEPTING
    deliver_acceptances(attempt, D)
    assert attempt.phase is Phase.COMMITTED


def test_leaving_a_committed_joint_set_needs_only_the_new_majority() -> None:
    joint = proposal(3, JOINT, b"v")
    attempt = attempt_to_reconfigure(NEW)
    attempt.start(JOINT.all_members)
    attempt.on_reply(A, promise(A, joint))
    assert recipients(attempt.on_reply(B, promise(B, joint)), Accept) == ["a", "b", "d"]
    deliver_acceptances(attempt, A, D)
    assert attempt.outcome == Proposal(MINE, State(NEW, b"v"))


def test_a_set_is_not_dropped_from_a_state_that_may_not_be_committed() -> None:
    attempt = attempt_to_reconfigure(NEW)
    attempt.start(JOINT.all_members)
    attempt.on_reply(D, promise(D, proposal(3, JOINT, b"v")))
    attempt.on_reply(C, promise(C, FIRST))
    with pytest.raises(AssertionError, match="not known to be committed"):
        attempt.on_reply(A, promise(A, FIRST))


@pytest.mark.parametrize(
    "reply", [None, Rejected("x", ProposalNumber(9, "q")), UnknownReplica("x"), "nonsense"]
)
def test_an_attempt_fails_once_no_quorum_can_reply(reply: object) -> None:
    attempt = attempt_to_set(b"v")
    attempt.start(OLD.all_members)
    attempt.on_reply(A, reply)
    assert attempt.phase is Phase.PREPARING
    attempt.on_reply(B, reply)
    assert attempt.phase is Phase.FAILED
    assert not attempt.accept_sent


def test_an_attempt_that_fails_while_accepting_may_have_been_accepted() -> None:
    attempt = attempt_to_set(b"v")
    attempt.start(OLD.all_members)
    attempt.on_reply(A, promise(A, FIRST))
    attempt.on_reply(B, promise(B, FIRST))
    deliver_acceptances(attempt, A)
    attempt.on_reply(B, Rejected("b", ProposalNumber(9, "q")))
    attempt.on_reply(C, None)
    assert attempt.phase is Phase.FAILED
    assert attempt.rejected_by == ProposalNumber(9, "q")
    assert attempt.accept_sent


def test_replies_to_other_attempts_or_from_other_replicas_do_not_count() -> None:
    attempt = attempt_to_set(b"v")
    attempt.start(OLD.all_members)
    attempt.on_reply(A, Promise("a", ProposalNumber(4, "me"), INITIAL_NUMBER, FIRST.state))
    attempt.on_reply(B, Promise("c", MINE, INITIAL_NUMBER, FIRST.state))
    assert attempt.phase is Phase.FAILED


def report(member: Member, found: Proposal | None) -> StateReport:
    return (
        StateReport(member.identity)
        if found is None
        else StateReport(member.identity, found.number, found.state)
    )


V3, V4 = proposal(3, OLD, b"3"), proposal(4, OLD, b"4")
J4 = proposal(4, JOINT, b"4")


@pytest.mark.parametrize(
    ("answers", "committed", "finished"),
    [
        ([(A, V3), (B, V3)], V3, True),
        ([(A, V3), (B, V4)], None, False),
        ([(A, V3), (B, V4), (C, V4)], V4, True),
        ([(A, V3), (B, V4), (C, V3)], None, True),
        ([(A, V3), (B, None)], None, False),
        ([(A, J4), (B, J4)], J4, True),
        ([(A, J4), (C, J4)], None, False),
        ([(A, J4), (C, J4), (D, J4)], J4, True),
        ([(A, J4), (C, J4), (D, None)], None, False),
    ],
)
def test_a_quorum_read_returns_what_a_quorum_accepted(
    answers: list[tuple[Member, Proposal | None]], committed: Proposal | None, finished: bool
) -> None:
    query = QuorumRead(FIRST)
    assert recipients(query.start(OLD.all_members), Query) == ["a", "b", "c"]
    for member, found in answers:
        query.on_reply(member, report(member, found))
    assert query.committed == committed
    assert query.finished is finished


def test_a_quorum_read_without_replies_finishes_without_a_result() -> None:
    query = QuorumRead(FIRST)
    query.start(OLD.all_members)
    for member in (A, B, C):
        query.on_reply(member, None)
    assert query.finished
    assert query.committed is None
