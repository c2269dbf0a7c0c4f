"""Replaced nodes: entries of an ended control node do not make its successor drop a newer incarnation of a node."""

from __future__ import annotations

from emberring.control.cluster_state import ClusterState
from emberring.distribution.records import NodeRecord, NodeRole

HEARTBEAT_S = 1.2
STEPS = 20
STEP_S = 0.1
ADDRESSES = ["10.0.0.0:70", "10.0.0.1:70"]


def control(number: int, start: int) -> ClusterState:
    """A control node's state right after the start with this number."""
    me = NodeRecord(
        f"core-{number}", NodeRole.CONTROL, ADDRESSES[number], "zone", f"disk-{number}", f"c{number}-{start}"
    )
    return ClusterState(0.0, me, ADDRESSES, HEARTBEAT_S)


def node(role: NodeRole, start: int) -> NodeRecord:
    return NodeRecord("node-1", role, "10.0.1.1:70", "zone", "disk", f"n{start}")


def exchange(now_s: float, first: ClusterState, second: ClusterState) -> None:
    """Two exchanges in each direction."""
    for _ in range(2):
        for sender, receiver in ((first, second), (second, first)):
            peer = next(peer for peer in sender.peers.due(now_s) if peer.address == receiver.me.address)
            sender.apply_exchange(now_s, receiver.on_exchange(now_s, sender.exchange_for(now_s, peer)))


def replace_control_node_then(role: NodeRole) -> tuple[ClusterState, ClusterState]:
    """The live control nodes after one of them, and then a node of this role, have been replaced."""
    first, second = control(0, start=1), control(1, start=1)
    for each in (first, second):
        each.on_node_contact(0.1, node(role, start=1))
    exchange(0.2, first, second)
    replacement = control(0, start=2)  # receives the entries of its own ended incarnation from the second
    exchange(0.5, replacement, second)
    for each in (replacement, second):
        each.on_node_contact(2.0, node(role, start=2))
    return replacement, second


def check_that_only_the_new_incarnation_is_known(role: NodeRole) -> None:
    replacement, second = replace_control_node_then(role)
    for step in range(STEPS):
        now_s = 2.0 + step * STEP_S
        exchange(now_s, replacement, second)
        for each in (replacement, second):
            known = [record.incarnation for record in each.live_nodes(now_s) if record.name == "node-1"]
            assert known == ["n2"], (step, each.me.name)
            each.on_node_contact(now_s, node(role, start=2))


def test_an_ended_control_node_does_not_contradict_a_store_s_new_incarnation() -> None:
    check_that_only_the_new_incarnation_is_known(NodeRole.STORE)


def test_an_ended_control_node_does_not_contradict_a_gateway_s_new_incarnation() -> None:
    check_that_only_the_new_incarnation_is_known(NodeRole.GATEWAY)


def test_a_live_control_node_s_newer_incarnation_still_replaces_an_older_one() -> None:
    first, second = control(0, start=1), control(1, start=1)
    exchange(0.1, first, second)
    first.on_node_contact(0.2, node(NodeRole.STORE, start=1))
    exchange(0.3, first, second)
    second.on_node_contact(0.4, node(NodeRole.STORE, start=2))
    exchange(0.5, first, second)
    assert first.contacts.record_of("node-1") is None
    known = [record.incarnation for record in first.live_nodes(0.5) if record.name == "node-1"]
    assert known == ["n2"]
