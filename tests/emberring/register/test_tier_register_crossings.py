"""Changes that come while an attempt is in flight: each must see all that was acknowledged before it."""

from __future__ import annotations

import random

import pytest

from emberring.errors import VersionConflictError
from emberring.register.acceptor import Acceptor
from emberring.register.events import (
    Action,
    Call,
    ChangeRequested,
    Event,
    ReadRequested,
    Received,
    Replied,
    Resolve,
    Tick,
)
from emberring.register.messages import Accept, Prepare, Query, StateReport
from emberring.register.model import Member, ProposalNumber, State, initial_identity, initial_proposal
from emberring.register.node import RegisterNode

ADDRESSES = ("core-a", "core-b", "core-c")
OTHER = ProposalNumber(50, "another proposer")
NEWER = b"the newer value"
PATIENCE_S = 5.0


class Crossing:
    """One node, and the two other replicas played by hand: their answers are given when the test says so."""

    def __init__(self) -> None:
        initial = initial_proposal(ADDRESSES)
        self.members = {member.address: member for member in initial.state.replicas.members}
        self.acceptors = {
            address: Acceptor(initial_identity(address), initial_proposal(ADDRESSES)) for address in ADDRESSES
        }
        me = Member(initial_identity("core-a"), "core-a")
        self.now_s = 10.0
        self.resolved: dict[int, Resolve] = {}
        self.calls: list[Call] = []
        self.node = RegisterNode(
            me, self.acceptors["core-a"], "p", ADDRESSES, 3, random.Random(1), self.now_s
        )

    def handle(self, event: Event) -> None:
        self.now_s += 0.001
        self._take(self.node.handle(self.now_s, event))

    def _take(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Resolve):
                self.resolved[action.operation] = action
            elif isinstance(action, Call):
                self.calls.append(action)

    def calls_of(self, kind: type[object], address: str) -> list[Call]:
        found = [call for call in self.calls if isinstance(call.message, kind) and call.address == address]
        self.calls = [call for call in self.calls if call not in found]
        return found

    def answer(self, address: str, *kinds: type[object]) -> None:
        """This replica answers all calls of these kinds so far."""
        for kind in kinds:
            for call in self.calls_of(kind, address):
                self.handle(Replied(call.call, self.judge(address, call)))

    def judge(self, address: str, call: Call) -> object:
        acceptor, message = self.acceptors[address], call.message
        if isinstance(message, Prepare):
            return acceptor.prepare(message).reply
        if isinstance(message, Accept):
            return acceptor.accept(message).reply
        assert isinstance(message, Query)
        return acceptor.query(message).reply

    def choose_elsewhere(self) -> None:
        """Another node's change is committed by this node's own replica and the third one, and acknowledged."""
        for address in ("core-a", "core-c"):
            acceptor = self.acceptors[address]
            prepare = Prepare(acceptor.identity, OTHER)
            accept = Accept(
                acceptor.identity, OTHER, State(initial_proposal(ADDRESSES).state.replicas, NEWER)
            )
            if address == "core-a":
                self.handle(Received(1, prepare))
                self.handle(Received(2, accept))
            else:
                acceptor.prepare(prepare)
                acceptor.accept(accept)


def leave_it(value: bytes | None) -> bytes | None:
    """A change that finds its effect done, like a repeated order."""
    return None


def wants_newer(value: bytes | None) -> bytes | None:
    """An order on top of the newer value; it refuses any other."""
    if value != NEWER:
        raise VersionConflictError("another version is current")
    return value + b", changed"


def begun_before_the_change() -> tuple[Crossing, object]:
    """An attempt is in flight; the second replica's promise, given before the other change, has not come yet."""
    crossing = Crossing()
    crossing.handle(ChangeRequested(1, leave_it, crossing.now_s + PATIENCE_S))
    late = crossing.calls_of(Prepare, "core-b")
    assert len(late) == 1
    promise = crossing.judge("core-b", late[0])
    crossing.answer("core-a", Prepare)
    crossing.choose_elsewhere()
    return crossing, Replied(late[0].call, promise)


def test_a_change_is_not_rejected_on_promises_older_than_itself() -> None:
    crossing, late_promise = begun_before_the_change()
    crossing.handle(ChangeRequested(2, wants_newer, crossing.now_s + PATIENCE_S))
    crossing.handle(late_promise)  # type: ignore[arg-type]
    assert 1 in crossing.resolved  # asked before the other change: either value would do
    assert 2 not in crossing.resolved
    for kind in (Prepare, Accept):
        for address in ADDRESSES:
            crossing.answer(address, kind)
    assert crossing.resolved[2].error is None
    assert crossing.resolved[2].payload == NEWER + b", changed"


def test_a_read_is_not_answered_from_promises_older_than_itself() -> None:
    crossing, late_promise = begun_before_the_change()
    crossing.handle(ReadRequested(2, crossing.now_s + PATIENCE_S))
    queries = [call for address in ADDRESSES for call in crossing.calls_of(Query, address)]
    assert len(queries) == 3
    for call in queries:  # the replicas' words do not show what is committed: the read waits for an attempt
        held = StateReport(crossing.acceptors[call.address].identity, None, None)
        crossing.handle(Replied(call.call, held if call.address == "core-b" else None))
    crossing.handle(late_promise)  # type: ignore[arg-type]
    assert 1 in crossing.resolved
    assert 2 not in crossing.resolved


@pytest.mark.parametrize("patience_s", [0.05])
def test_an_operation_that_waits_for_promises_still_ends_in_time(patience_s: float) -> None:
    crossing = Crossing()
    crossing.handle(ChangeRequested(1, leave_it, crossing.now_s + patience_s))
    crossing.handle(ChangeRequested(2, leave_it, crossing.now_s + patience_s))
    assert crossing.node.next_wake_s(crossing.now_s) <= crossing.now_s + patience_s
    crossing.now_s += patience_s
    crossing.handle(Tick())
    assert {1, 2} <= set(crossing.resolved)
    assert all(found.error is not None for found in crossing.resolved.values())
