"""One replica's promises and acceptances, and what its records bring back."""

from __future__ import annotations

import pytest

from emberring.errors import CorruptRecordError
from emberring.register.acceptor import Acceptor
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
from emberring.register.model import (
    INITIAL_NUMBER,
    Member,
    Proposal,
    ProposalNumber,
    ReplicaSet,
    State,
    initial_proposal,
)

ME = "founder:a:1"
FOUNDING = initial_proposal(("a:1", "b:1", "c:1"))
REPLICAS = FOUNDING.state.replicas


def ballot(counter: int, proposer: str = "p") -> ProposalNumber:
    return ProposalNumber(counter, proposer)


def state(payload: bytes | None) -> State:
    return State(REPLICAS, payload)


def founder() -> Acceptor:
    return Acceptor(ME, FOUNDING)


def test_a_founder_promises_and_reports_the_founding_set() -> None:
    verdict = founder().prepare(Prepare(ME, ballot(1)))
    assert verdict.reply == Promise(ME, ballot(1), INITIAL_NUMBER, FOUNDING.state)
    assert verdict.record is not None
    assert verdict.durable


def test_a_newborn_promises_and_reports_nothing() -> None:
    verdict = Acceptor("new").prepare(Prepare("new", ballot(1)))
    assert verdict.reply == Promise("new", ballot(1))


def test_the_state_is_left_out_where_the_caller_has_it() -> None:
    verdict = founder().prepare(Prepare(ME, ballot(1), INITIAL_NUMBER))
    assert verdict.reply == Promise(ME, ballot(1), INITIAL_NUMBER, None)
    assert founder().query(Query(ME, INITIAL_NUMBER)).reply == StateReport(ME, INITIAL_NUMBER, None)
    assert founder().query(Query(ME, ballot(5))).reply == StateReport(ME, INITIAL_NUMBER, FOUNDING.state)


@pytest.mark.parametrize(
    "call", [Prepare("other", ballot(9)), Accept("other", ballot(9), state(b"v")), Query("other")]
)
def test_another_identity_is_refused_and_nothing_changes(call: Prepare | Accept | Query) -> None:
    acceptor = founder()
    method = {Prepare: acceptor.prepare, Accept: acceptor.accept, Query: acceptor.query}[type(call)]
    verdict = method(call)  # type: ignore[operator]
    assert verdict.reply == UnknownReplica(ME)
    assert verdict.record is None
    assert acceptor.promised == INITIAL_NUMBER
    assert acceptor.accepted == FOUNDING


@pytest.mark.parametrize(
    ("promised", "asked", "taken"),
    [
        (ballot(5), ballot(4), False),
        (ballot(5), ballot(5), True),
        (ballot(5), ballot(6), True),
        (ballot(5, "q"), ballot(5, "p"), False),
        (ballot(5, "p"), ballot(5, "q"), True),
    ],
)
def test_older_ballots_are_refused(promised: ProposalNumber, asked: ProposalNumber, taken: bool) -> None:
    for call in (Prepare(ME, asked), Accept(ME, asked, state(b"v"))):
        acceptor = founder()
        acceptor.prepare(Prepare(ME, promised))
        reply = (acceptor.prepare(call) if isinstance(call, Prepare) else acceptor.accept(call)).reply
        assert isinstance(reply, Rejected) is not taken
        if isinstance(reply, Rejected):
            assert reply.promised == promised


def test_an_acceptance_is_a_promise_too() -> None:
    acceptor = founder()
    assert acceptor.accept(Accept(ME, ballot(5), state(b"v"))).reply == Accepted(ME, ballot(5))
    assert acceptor.prepare(Prepare(ME, ballot(4))).reply == Rejected(ME, ballot(5))
    assert acceptor.prepare(Prepare(ME, ballot(6))).reply == Promise(ME, ballot(6), ballot(5), state(b"v"))


def test_repeats_write_nothing_but_still_wait_for_the_disk() -> None:
    acceptor = founder()
    for _ in range(2):
        verdict = acceptor.prepare(Prepare(ME, ballot(5)))
    assert verdict.record is None
    assert verdict.durable
    for _ in range(2):
        verdict = acceptor.accept(Accept(ME, ballot(5), state(b"v")))
    assert verdict.record is None
    assert verdict.durable


def test_a_committed_proposal_is_taken_over_below_a_newer_promise() -> None:
    acceptor = founder()
    acceptor.prepare(Prepare(ME, ballot(9)))
    assert acceptor.install(Proposal(ballot(7), state(b"committed"))) is not None
    assert acceptor.promised == ballot(9)
    assert acceptor.accepted_number == ballot(7)
    assert acceptor.install(Proposal(ballot(6), state(b"older"))) is None
    assert acceptor.install(Proposal(ballot(7), state(b"committed"))) is None
    assert acceptor.accepted_number == ballot(7)


def restored(records: list[bytes]) -> Acceptor:
    acceptor = Acceptor("")
    for record in records:
        acceptor.restore(record)
    return acceptor


def same(one: Acceptor, other: Acceptor) -> bool:
    return (one.identity, one.promised, one.accepted) == (other.identity, other.promised, other.accepted)


@pytest.mark.parametrize("payload", [None, b"", b"value", b"two\nlines\n", bytes(range(256))])
def test_records_bring_everything_back(payload: bytes | None) -> None:
    acceptor = founder()
    records = [acceptor.snapshot()]
    for verdict in (
        acceptor.prepare(Prepare(ME, ballot(3))),
        acceptor.accept(Accept(ME, ballot(3), state(payload))),
        acceptor.prepare(Prepare(ME, ballot(8))),
    ):
        assert verdict.record is not None
        records.append(verdict.record)
    assert same(restored(records), acceptor)
    assert same(restored([acceptor.snapshot()]), acceptor)


def test_records_come_back_in_any_order_around_a_snapshot() -> None:
    acceptor = founder()
    first = acceptor.accept(Accept(ME, ballot(3), state(b"old"))).record
    second = acceptor.accept(Accept(ME, ballot(4), state(b"new"))).record
    assert first is not None
    assert second is not None
    assert same(restored([acceptor.snapshot(), first, second]), acceptor)
    assert same(restored([second, acceptor.snapshot(), first]), acceptor)


def test_a_joint_set_comes_back() -> None:
    joint = ReplicaSet(4, REPLICAS.members, (*REPLICAS.members[:2], Member("new", "d:1")))
    acceptor = founder()
    acceptor.accept(Accept(ME, ballot(3), State(joint, b"v")))
    assert same(restored([acceptor.snapshot()]), acceptor)


@pytest.mark.parametrize("record", [b"", b"\n", b"{", b"[]\n", b'{"promised": 5}\n'])
def test_what_is_no_record_is_told(record: bytes) -> None:
    with pytest.raises(CorruptRecordError):
        Acceptor("").restore(record)
