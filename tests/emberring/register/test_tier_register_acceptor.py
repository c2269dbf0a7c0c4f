"""The acceptor: its promises and acceptances, and their restoration from records."""

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
INITIAL = initial_proposal(("a:1", "b:1", "c:1"))
REPLICAS = INITIAL.state.replicas


def number(counter: int, proposer: str = "p") -> ProposalNumber:
    return ProposalNumber(counter, proposer)


def state(payload: bytes | None) -> State:
    return State(REPLICAS, payload)


def initial_acceptor() -> Acceptor:
    return Acceptor(ME, INITIAL)


def test_an_initial_replica_promises_and_reports_the_initial_set() -> None:
    response = initial_acceptor().prepare(Prepare(ME, number(1)))
    assert response.reply == Promise(ME, number(1), INITIAL_NUMBER, INITIAL.state)
    assert response.record is not None
    assert response.durable


def test_a_new_replica_promises_and_reports_no_proposal() -> None:
    response = Acceptor("new").prepare(Prepare("new", number(1)))
    assert response.reply == Promise("new", number(1))


def test_the_state_is_omitted_if_the_caller_has_it() -> None:
    response = initial_acceptor().prepare(Prepare(ME, number(1), INITIAL_NUMBER))
    assert response.reply == Promise(ME, number(1), INITIAL_NUMBER, None)
    assert initial_acceptor().query(Query(ME, INITIAL_NUMBER)).reply == StateReport(ME, INITIAL_NUMBER, None)
    assert initial_acceptor().query(Query(ME, number(5))).reply == StateReport(
        ME, INITIAL_NUMBER, INITIAL.state
    )


@pytest.mark.parametrize(
    "call", [Prepare("other", number(9)), Accept("other", number(9), state(b"v")), Query("other")]
)
def test_a_call_for_another_identity_is_rejected_and_changes_nothing(call: Prepare | Accept | Query) -> None:
    acceptor = initial_acceptor()
    method = {Prepare: acceptor.prepare, Accept: acceptor.accept, Query: acceptor.query}[type(call)]
    response = method(call)  # type: ignore[operator]
    assert response.reply == UnknownReplica(ME)
    assert response.record is None
    assert acceptor.promised == INITIAL_NUMBER
    assert acceptor.accepted == INITIAL


@pytest.mark.parametrize(
    ("promised", "requested", "accepted"),
    [
        (number(5), number(4), False),
        (number(5), number(5), True),
        (number(5), number(6), True),
        (number(5, "q"), number(5, "p"), False),
        (number(5, "p"), number(5, "q"), True),
    ],
)
def test_lower_proposal_numbers_are_rejected(
    promised: ProposalNumber, requested: ProposalNumber, accepted: bool
) -> None:
    for call in (Prepare(ME, requested), Accept(ME, requested, state(b"v"))):
        acceptor = initial_acceptor()
        acceptor.prepare(Prepare(ME, promised))
        reply = (acceptor.prepare(call) if isinstance(call, Prepare) else acceptor.accept(call)).reply
        assert isinstance(reply, Rejected) is not accepted
        if isinstance(reply, Rejected):
            assert reply.promised == promised


def test_an_acceptance_is_also_a_promise() -> None:
    acceptor = initial_acceptor()
    assert acceptor.accept(Accept(ME, number(5), state(b"v"))).reply == Accepted(ME, number(5))
    assert acceptor.prepare(Prepare(ME, number(4))).reply == Rejected(ME, number(5))
    assert acceptor.prepare(Prepare(ME, number(6))).reply == Promise(ME, number(6), number(5), state(b"v"))


def test_repeated_calls_write_no_record_but_their_replies_are_durable() -> None:
    acceptor = initial_acceptor()
    for _ in range(2):
        response = acceptor.prepare(Prepare(ME, number(5)))
    assert response.record is None
    assert response.durable
    for _ in range(2):
        response = acceptor.accept(Accept(ME, number(5), state(b"v")))
    assert response.record is None
    assert response.durable


def test_a_committed_proposal_is_installed_below_a_newer_promise() -> None:
    acceptor = initial_acceptor()
    acceptor.prepare(Prepare(ME, number(9)))
    assert acceptor.install(Proposal(number(7), state(b"committed"))) is not None
    assert acceptor.promised == number(9)
    assert acceptor.accepted_number == number(7)
    assert acceptor.install(Proposal(number(6), state(b"older"))) is None
    assert acceptor.install(Proposal(number(7), state(b"committed"))) is None
    assert acceptor.accepted_number == number(7)


def restored(records: list[bytes]) -> Acceptor:
    acceptor = Acceptor("")
    for record in records:
        acceptor.restore(record)
    return acceptor


def have_same_state(one: Acceptor, other: Acceptor) -> bool:
    return (one.identity, one.promised, one.accepted) == (other.identity, other.promised, other.accepted)


@pytest.mark.parametrize("payload", [None, b"", b"value", b"two\nlines\n", bytes(range(256))])
def test_records_restore_the_acceptor(payload: bytes | None) -> None:
    acceptor = initial_acceptor()
    records = [acceptor.snapshot()]
    for response in (
        acceptor.prepare(Prepare(ME, number(3))),
        acceptor.accept(Accept(ME, number(3), state(payload))),
        acceptor.prepare(Prepare(ME, number(8))),
    ):
        assert response.record is not None
        records.append(response.record)
    assert have_same_state(restored(records), acceptor)
    assert have_same_state(restored([acceptor.snapshot()]), acceptor)


def test_records_and_a_snapshot_are_restored_in_any_order() -> None:
    acceptor = initial_acceptor()
    first = acceptor.accept(Accept(ME, number(3), state(b"old"))).record
    second = acceptor.accept(Accept(ME, number(4), state(b"new"))).record
    assert first is not None
    assert second is not None
    assert have_same_state(restored([acceptor.snapshot(), first, second]), acceptor)
    assert have_same_state(restored([second, acceptor.snapshot(), first]), acceptor)


def test_a_joint_replica_set_is_restored() -> None:
    joint = ReplicaSet(4, REPLICAS.members, (*REPLICAS.members[:2], Member("new", "d:1")))
    acceptor = initial_acceptor()
    acceptor.accept(Accept(ME, number(3), State(joint, b"v")))
    assert have_same_state(restored([acceptor.snapshot()]), acceptor)


@pytest.mark.parametrize("record", [b"", b"\n", b"{", b"[]\n", b'{"promised": 5}\n'])
def test_a_malformed_record_is_rejected(record: bytes) -> None:
    with pytest.raises(CorruptRecordError):
        Acceptor("").restore(record)
