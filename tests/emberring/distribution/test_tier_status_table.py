"""Statements by origin and number: nodes that exchange what the other lacks come to know the same."""

from __future__ import annotations

import attrs
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from emberring.distribution.messages import Delta, NodeEntry, Pull, ServerEntry, Update
from emberring.distribution.records import NodeRecord, NodeRole, ServerRecord, ServerState
from emberring.distribution.status_table import StatusTable
from emberring.registry.merge import merged
from emberring.transport.messages import Envelope, decode, encode

WRITERS = ("a", "b", "c")
STATES = [ServerState.READY, ServerState.DRAINING, ServerState.GONE, ServerState.LOST]


def server(name: str, state: ServerState = ServerState.READY, sequence: int = 1) -> ServerRecord:
    return ServerRecord(name, "engine", "10.0.0.9:80", "zone", 48, state, sequence)


def node(name: str, incarnation: str = "x", role: NodeRole = NodeRole.STORE) -> NodeRecord:
    return NodeRecord(name, role, "10.0.0.1:70", "zone", "identity", incarnation)


def give(sender: StatusTable, receiver: StatusTable) -> None:
    receiver.apply(sender.newer_than(receiver.vector))


def test_an_entry_reaches_a_third_node_through_a_second() -> None:
    first, second, third = (StatusTable(writer) for writer in WRITERS)
    first.write_server(server("i-1"))
    first.write_node(node("store-1"), present=True)
    give(first, second)
    give(second, third)
    assert third.servers() == first.servers()
    assert third.vector == first.vector
    assert set(third.live_nodes(["a"], [NodeRole.STORE])) == {"store-1"}
    assert third.live_nodes(["b"], [NodeRole.STORE]) == {}


def test_only_what_is_newer_travels_and_of_one_key_only_the_newest() -> None:
    first, second = StatusTable("a"), StatusTable("b")
    for sequence in range(1, 5):
        first.write_server(server("i-1", sequence=sequence))
    first.write_server(server("i-2"))
    delta = first.newer_than({"a": 2})
    assert sorted((entry.record.id, entry.number) for entry in delta.servers) == [("i-1", 4), ("i-2", 5)]
    give(first, second)
    assert first.newer_than(second.vector).empty
    assert second.apply(delta) == second.apply(delta)
    assert not second.apply(delta)


def test_gateways_are_left_out_for_those_who_do_not_need_them() -> None:
    store = StatusTable("a")
    store.write_node(node("edge-1", role=NodeRole.GATEWAY), present=True)
    store.write_node(node("store-1"), present=True)
    delta = store.newer_than({}, gateways=False)
    assert [entry.record.name for entry in delta.nodes] == ["store-1"]
    assert delta.vector == {"a": 2}


def test_a_drain_and_a_later_record_of_another_writer_are_both_kept_until_merged() -> None:
    first, second, third = (StatusTable(writer) for writer in WRITERS)
    first.write_server(server("i-1", ServerState.DRAINING, 10))
    second.write_server(server("i-1", ServerState.READY, 11))
    give(first, third)
    give(second, third)
    fresh = StatusTable("d")
    give(third, fresh)
    assert fresh.servers()["i-1"].state is ServerState.DRAINING
    assert fresh.servers()["i-1"].sequence == 11


def test_of_two_incarnations_the_one_that_arrived_last_counts() -> None:
    store = StatusTable("c")
    store.apply(Delta({"a": 1}, (), (NodeEntry("a", 1, node("store-1", "old"), True),)))
    store.apply(Delta({"b": 1}, (), (NodeEntry("b", 1, node("store-1", "new"), True),)))
    assert store.live_nodes(["a", "b"], [NodeRole.STORE])["store-1"].incarnation == "new"
    assert store.live_nodes(["a"], [NodeRole.STORE])["store-1"].incarnation == "old"


def test_nothing_about_nodes_is_kept_of_an_ended_writer() -> None:
    store = StatusTable("c")
    store.apply(Delta({"a": 2}, (), (NodeEntry("a", 1, node("store-1"), True),)))
    store.forget_writer("a")
    assert store.vector == {}
    assert list(store.node_entries()) == []
    store.apply(Delta({"b": 1}, (ServerEntry("b", 1, server("i-1")),)))
    store.forget_writer("b")  # its statement about a server still counts
    assert store.vector == {"b": 1}
    assert "i-1" in store.servers()


def test_messages_are_the_same_after_encoding_and_decoding() -> None:
    store = StatusTable("a")
    store.write_server(server("i-1", ServerState.DRAINING))
    store.write_node(node("store-1"), present=False)
    update = Update("a", 12.5, store.newer_than({}), ("a",), 3, 7, b"\x00packed\xff", None, {"i-1": 4})
    pull = Pull(node("edge-1"), {"a": 3}, 7, 1, 500, {"i-1": 4})
    for message in (update, pull):
        assert decode(encode(Envelope(5, message))[:-1]).body == message


class Exchanges(RuleBasedStateMachine):
    """Three nodes state things and exchange in any order; messages are late, doubled or lost; one node restarts."""

    def __init__(self) -> None:
        super().__init__()
        self.starts = 0
        self.stores = {writer: StatusTable(writer) for writer in WRITERS}
        self.truth: dict[str, ServerRecord] = {}
        self.seen: dict[str, dict[str, ServerRecord]] = {writer: {} for writer in WRITERS}
        self.flying: list[tuple[str, str, Delta]] = []

    @rule(
        at=st.sampled_from(WRITERS),
        name=st.sampled_from(["i-1", "i-2"]),
        state=st.sampled_from(STATES),
        sequence=st.integers(0, 5),
    )
    def state(self, at: str, name: str, state: ServerState, sequence: int) -> None:
        record = server(name, state, sequence)
        self.stores[at].write_server(record)
        self.truth[name] = merged(self.truth[name], record) if name in self.truth else record

    @rule(sender=st.sampled_from(WRITERS), receiver=st.sampled_from(WRITERS))
    def send(self, sender: str, receiver: str) -> None:
        receiving = self.stores[receiver]
        if sender != receiver:
            self.flying.append(
                (receiver, receiving.writer_incarnation, self.stores[sender].newer_than(receiving.vector))
            )

    @rule(pick=st.integers(0, 100), keep=st.booleans())
    def arrive(self, pick: int, keep: bool) -> None:
        if not self.flying:
            return
        position = pick % len(self.flying)
        receiver, incarnation, delta = self.flying[position]
        if not keep:
            del self.flying[position]
        if (
            self.stores[receiver].writer_incarnation == incarnation
        ):  # as `Exchange.to` and the connection of a pull see to
            self.stores[receiver].apply(delta)

    @rule(at=st.sampled_from(WRITERS))
    def restart(self, at: str) -> None:
        others = [store for key, store in self.stores.items() if key != at]
        if all(
            store.servers() == self.stores[at].servers() for store in others
        ):  # what it stated is elsewhere
            self.starts += 1
            self.stores[at] = StatusTable(f"{at}{self.starts}")
            self.seen[at] = {}

    @invariant()
    def nothing_goes_back(self) -> None:
        for at, store in self.stores.items():
            for name, before in self.seen[at].items():
                assert merged(before, store.servers()[name]) == store.servers()[name]
            self.seen[at] = dict(store.servers())

    def teardown(self) -> None:
        for _ in range(2):
            for sender in WRITERS:
                for receiver in WRITERS:
                    if sender != receiver:
                        give(self.stores[sender], self.stores[receiver])
        for store in self.stores.values():
            assert dict(store.servers()) == self.truth
        fresh = StatusTable("fresh")
        give(self.stores["a"], fresh)
        assert dict(fresh.servers()) == self.truth


TestExchanges = Exchanges.TestCase
TestExchanges.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)


def test_entries_of_ended_writers_do_not_accumulate() -> None:
    store = StatusTable("a")
    for sequence in range(200):
        writer = f"origin-{sequence}"
        entry = ServerEntry(writer, 1, attrs.evolve(server("i-1"), sequence=sequence))
        store.apply(Delta({writer: 1}, (entry,)))
        store.forget_writer(f"origin-{sequence - 1}")
    assert len(list(store.server_entries("i-1"))) == 1
    assert list(store.vector) == ["origin-199"]


def test_the_entry_of_a_live_writer_is_kept_beside_a_newer_one() -> None:
    store = StatusTable("a")
    store.apply(Delta({"b": 1}, (ServerEntry("b", 1, server("i-1", sequence=1)),)))
    store.apply(Delta({"c": 1}, (ServerEntry("c", 1, server("i-1", sequence=5)),)))
    assert {entry.writer_incarnation for entry in store.server_entries("i-1")} == {"b", "c"}
    store.forget_writer("c")  # nobody else says what it said
    assert {entry.writer_incarnation for entry in store.server_entries("i-1")} == {"b", "c"}
    store.forget_writer("b")
    assert {entry.writer_incarnation for entry in store.server_entries("i-1")} == {"c"}
