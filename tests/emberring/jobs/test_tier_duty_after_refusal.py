"""One refusal for a higher fencing token ends a duty: nothing more is sent under the refused one."""

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
FOR_S = 5.0
LEASE_ENDED_S = 2.0
REFUSALS = ("write", "inventory", "lease")


def an_owner_with_a_write_out() -> tuple[ShardCluster, ShardOwner, list[SendToReplica]]:
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
    """The ticket of the request that follows when a replica's contents differ for a while."""
    for step in range(int(FOR_S / STEP_S)):
        at_s = now_s + step * STEP_S
        for action in owner.on_lease_renewal(at_s, target, now_s, LeaseRenewal(0, True, owner.term, 12345)):
            if isinstance(action, SendToReplica) and isinstance(action.message, InventoryRequest):
                return action.ticket
    raise AssertionError("no inventory was asked for")


def refuse(owner: ShardOwner, now_s: float, how: str, sent: list[SendToReplica], higher: Term) -> list[Any]:
    """A replica refuses what it was sent, as it has promised a higher term."""
    other = next(send for send in sent if send.target != owner.identity)
    if how == "lease":
        return owner.on_lease_renewal(now_s, other.target, now_s, LeaseRenewal(0, False, higher, 0))
    if how == "inventory":
        for send in sent:  # an idle replica whose contents differ is asked for its inventory
            owner.on_reply(now_s, send.ticket, WriteSlotsReply(True))
        ticket = inventory_ticket(owner, now_s, other.target)
        return owner.on_reply(now_s, ticket, InventoryReply(None, higher))
    return owner.on_reply(now_s, other.ticket, WriteSlotsReply(False, higher))


def sent_after_refusal(how: str, lease_has_ended: bool) -> tuple[Term, list[Any]]:
    """The refused term, and every message that its owner sends from the refusal on."""
    cluster, owner, sent = an_owner_with_a_write_out()
    refused = owner.term
    now_s = cluster.now_s + (LEASE_ENDED_S if lease_has_ended else 0.0)
    higher = Term(refused.epoch, refused.counter + 5, "another")
    actions = refuse(owner, now_s, how, sent, higher)
    until_s = now_s + FOR_S
    while now_s < until_s:
        now_s += STEP_S
        actions += owner.tick(now_s, healthy=True, live={"a", "b", "c"})
        leases = [lease for name in "abc" for lease in owner.leases(name)]
        assert all(lease.term > refused for lease in leases)
    return refused, [action.message for action in actions if isinstance(action, SendToReplica)]


@pytest.mark.parametrize("lease_has_ended", [False, True])
@pytest.mark.parametrize("how", REFUSALS)
def test_after_a_refusal_nothing_is_sent_under_the_refused_term(how: str, lease_has_ended: bool) -> None:
    refused, messages = sent_after_refusal(how, lease_has_ended)
    assert messages, "it claims again, under a higher term"
    late = [found for found in messages if not isinstance(found, ReleaseOwnership) and found.term <= refused]
    assert late == []


def test_an_owner_that_goes_on_after_a_refusal_would_be_found() -> None:
    """The mistake seeded: the refusal of a write is taken for a lost reply, so that it is written again."""

    def go_on(self: ShardOwner, now_s: float, promised: Term) -> None:
        self._replication.on_call_failed(now_s, "b", 0)
        for identity in self._known_group.everyone:
            self._send(identity, WriteSlots(0, identity, self.term, b""))

    with mock.patch.object(ShardOwner, "_on_higher_term", go_on):
        cluster, owner, sent = an_owner_with_a_write_out()
        refused = owner.term
        higher = Term(refused.epoch, refused.counter + 5, "another")
        actions = refuse(owner, cluster.now_s + LEASE_ENDED_S, "write", sent, higher)
    assert any(getattr(action.message, "term", None) == refused for action in actions)
