"""After one rejection because of a higher fencing token, an owner sends nothing more under its own token."""

from __future__ import annotations

from typing import Any
from unittest import mock

import pytest
from tier_jobs_cluster import ShardCluster

from emberring.jobs.messages import (
    InventoryReply,
    InventoryRequest,
    LeaseRenewal,
    ReleaseOwnership,
    WriteSlots,
    WriteSlotsReply,
)
from emberring.jobs.owner import ShardOwner
from emberring.jobs.owner_actions import SendToReplica
from emberring.jobs.records import Term
from emberring.jobs.results import ResultState, encode_result
from emberring.placement.model import Group

ABC = Group(0, 1, ("a", "b", "c"))
STEP_S = 0.05
OBSERVED_S = 5.0
AFTER_LEASE_S = 2.0
REJECTED_REQUESTS = ("write", "inventory", "lease")


def owner_with_write_in_flight() -> tuple[ShardCluster, ShardOwner, list[SendToReplica]]:
    cluster = ShardCluster.of("abc", ABC)
    cluster.pass_time(0.5)
    owner = cluster.nodes[cluster.the_owner()].owner
    assert owner is not None
    value = encode_result(0, "item", ResultState.COMPLETED, "")
    sent = [
        action
        for action in owner.propose(cluster.now_s, "k", 0, value, cluster.now_s)
        if isinstance(action, SendToReplica)
    ]
    return cluster, owner, sent


def inventory_ticket(owner: ShardOwner, now_s: float, target: str) -> int:
    """Return the ticket of the inventory request that is sent when a replica's contents differ for a while."""
    for step in range(int(OBSERVED_S / STEP_S)):
        at_s = now_s + step * STEP_S
        for action in owner.on_lease_renewal(at_s, target, now_s, LeaseRenewal(0, True, owner.term, 12345)):
            if isinstance(action, SendToReplica) and isinstance(action.message, InventoryRequest):
                return action.ticket
    raise AssertionError("no inventory was requested")


def reject(
    owner: ShardOwner, now_s: float, rejected_request: str, sent: list[SendToReplica], higher: Term
) -> list[Any]:
    """Let a replica reject a request, as it has promised a higher term; return the actions of the owner."""
    other = next(send for send in sent if send.target != owner.identity)
    if rejected_request == "lease":
        return owner.on_lease_renewal(now_s, other.target, now_s, LeaseRenewal(0, False, higher, 0))
    if rejected_request == "inventory":
        for send in sent:  # the inventory of an idle replica is requested if its contents differ
            owner.on_reply(now_s, send.ticket, WriteSlotsReply(True))
        ticket = inventory_ticket(owner, now_s, other.target)
        return owner.on_reply(now_s, ticket, InventoryReply(None, higher))
    return owner.on_reply(now_s, other.ticket, WriteSlotsReply(False, higher))


def sent_after_rejection(rejected_request: str, lease_expired: bool) -> tuple[Term, list[Any]]:
    """Return the rejected term, and every message that its owner sends after the rejection."""
    cluster, owner, sent = owner_with_write_in_flight()
    rejected = owner.term
    now_s = cluster.now_s + (AFTER_LEASE_S if lease_expired else 0.0)
    higher = Term(rejected.epoch, rejected.counter + 5, "another")
    actions = reject(owner, now_s, rejected_request, sent, higher)
    until_s = now_s + OBSERVED_S
    while now_s < until_s:
        now_s += STEP_S
        actions += owner.tick(now_s, healthy=True, live={"a", "b", "c"})
        leases = [lease for name in "abc" for lease in owner.leases(name)]
        assert all(lease.term > rejected for lease in leases)
    return rejected, [action.message for action in actions if isinstance(action, SendToReplica)]


@pytest.mark.parametrize("lease_expired", [False, True])
@pytest.mark.parametrize("rejected_request", REJECTED_REQUESTS)
def test_after_a_rejection_nothing_is_sent_under_the_rejected_term(
    rejected_request: str, lease_expired: bool
) -> None:
    rejected, messages = sent_after_rejection(rejected_request, lease_expired)
    assert messages, "the owner claims again, under a higher term"
    under_rejected_term = [
        message
        for message in messages
        if not isinstance(message, ReleaseOwnership) and message.term <= rejected
    ]
    assert under_rejected_term == []


def test_the_check_detects_an_owner_that_ignores_a_rejection() -> None:
    """Seeded fault: the owner treats the rejection of a write as a lost reply and repeats the write."""

    def ignore_rejection(self: ShardOwner, now_s: float, promised: Term) -> None:
        self._replication.on_call_failed(now_s, "b", 0)
        for identity in self._known_group.everyone:
            self._send(identity, WriteSlots(0, identity, self.term, b""))

    with mock.patch.object(ShardOwner, "_on_higher_term", ignore_rejection):
        cluster, owner, sent = owner_with_write_in_flight()
        rejected = owner.term
        higher = Term(rejected.epoch, rejected.counter + 5, "another")
        actions = reject(owner, cluster.now_s + AFTER_LEASE_S, "write", sent, higher)
    assert any(getattr(action.message, "term", None) == rejected for action in actions)
