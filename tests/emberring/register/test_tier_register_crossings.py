"""Operations requested while an attempt is in flight: each must see every change acknowledged before its request."""

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
OTHER_NUMBER = ProposalNumber(50, "another proposer")
NEWER_VALUE = b"the newer value"
TIMEOUT_S = 5.0


class NodeWithTwoReplicas:
    """One node and two other replicas, whose replies arrive when the test delivers them."""

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
        self._collect(self.node.handle(self.now_s, event))

    def _collect(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Resolve):
                self.resolved[action.operation] = action
            elif isinstance(action, Call):
                self.calls.append(action)

    def remove_calls(self, kind: type[object], address: str) -> list[Call]:
        found = [call for call in self.calls if isinstance(call.message, kind) and call.address == address]
        self.calls = [call for call in self.calls if call not in found]
        return found

    def deliver_replies(self, address: str, *kinds: type[object]) -> None:
        """Deliver this replica's replies to all calls of these kinds so far."""
        for kind in kinds:
            for call in self.remove_calls(kind, address):
                self.handle(Replied(call.call, self.reply_of(address, call)))

    def reply_of(self, address: str, call: Call) -> object:
        acceptor, message = self.acceptors[address], call.message
        if isinstance(message, Prepare):
            return acceptor.prepare(message).reply
        if isinstance(message, Accept):
            return acceptor.accept(message).reply
        assert isinstance(message, Query)
        return acceptor.query(message).reply

    def commit_on_another_node(self) -> None:
        """Commit and acknowledge another node's change by this node's own replica and the third one."""
        for address in ("core-a", "core-c"):
            acceptor = self.acceptors[address]
            prepare = Prepare(acceptor.identity, OTHER_NUMBER)
            accept = Accept(
                acceptor.identity,
                OTHER_NUMBER,
                State(initial_proposal(ADDRESSES).state.replicas, NEWER_VALUE),
            )
            if address == "core-a":
                self.handle(Received(1, prepare))
                self.handle(Received(2, accept))
            else:
                acceptor.prepare(prepare)
                acceptor.accept(accept)


def keep_value(value: bytes | None) -> bytes | None:
    """A change that keeps the value, like a retry whose effect is already present."""
    return None


def require_newer_value(value: bytes | None) -> bytes | None:
    """A change that requires the newer value and rejects any other."""
    if value != NEWER_VALUE:
        raise VersionConflictError("another version is current")
    return value + b", changed"


def attempt_begun_before_another_change() -> tuple[NodeWithTwoReplicas, object]:
    """Begin an attempt; the second replica's promise, made before the other node's change, is not delivered yet."""
    harness = NodeWithTwoReplicas()
    harness.handle(ChangeRequested(1, keep_value, harness.now_s + TIMEOUT_S))
    delayed = harness.remove_calls(Prepare, "core-b")
    assert len(delayed) == 1
    promise = harness.reply_of("core-b", delayed[0])
    harness.deliver_replies("core-a", Prepare)
    harness.commit_on_another_node()
    return harness, Replied(delayed[0].call, promise)


def test_a_change_is_not_rejected_by_promises_older_than_its_request() -> None:
    harness, delayed_promise = attempt_begun_before_another_change()
    harness.handle(ChangeRequested(2, require_newer_value, harness.now_s + TIMEOUT_S))
    harness.handle(delayed_promise)  # type: ignore[arg-type]
    assert 1 in harness.resolved  # requested before the other node's change: either value is correct
    assert 2 not in harness.resolved
    for kind in (Prepare, Accept):
        for address in ADDRESSES:
            harness.deliver_replies(address, kind)
    assert harness.resolved[2].error is None
    assert harness.resolved[2].payload == NEWER_VALUE + b", changed"


def test_a_read_is_not_served_from_promises_older_than_its_request() -> None:
    harness, delayed_promise = attempt_begun_before_another_change()
    harness.handle(ReadRequested(2, harness.now_s + TIMEOUT_S))
    queries = [call for address in ADDRESSES for call in harness.remove_calls(Query, address)]
    assert len(queries) == 3
    for call in queries:  # these replies do not show what is committed: the read waits for an attempt
        report = StateReport(harness.acceptors[call.address].identity, None, None)
        harness.handle(Replied(call.call, report if call.address == "core-b" else None))
    harness.handle(delayed_promise)  # type: ignore[arg-type]
    assert 1 in harness.resolved
    assert 2 not in harness.resolved


@pytest.mark.parametrize("timeout_s", [0.05])
def test_an_operation_that_waits_for_promises_expires_at_its_deadline(timeout_s: float) -> None:
    harness = NodeWithTwoReplicas()
    harness.handle(ChangeRequested(1, keep_value, harness.now_s + timeout_s))
    harness.handle(ChangeRequested(2, keep_value, harness.now_s + timeout_s))
    assert harness.node.next_wake_s(harness.now_s) <= harness.now_s + timeout_s
    harness.now_s += timeout_s
    harness.handle(Tick())
    assert {1, 2} <= set(harness.resolved)
    assert all(found.error is not None for found in harness.resolved.values())
