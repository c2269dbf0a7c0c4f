"""Entries by writer and number: nodes that exchange deltas converge to the same records."""

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


def send_delta(sender: StatusTable, receiver: StatusTable) -> None:
    receiver.apply(sender.newer_than(receiver.vector))


def test_an_entry_reaches_a_third_node_through_a_second() -> None:
    first, second, third = (StatusTable(writer) for writer in WRITERS)
    first.write_server(server("i-1"))
    first.write_node(node("store-1"), present=True)
    send_delta(first, second)
    send_delta(second, third)
    assert third.servers() == first.servers()
    assert third.vector == first.vector
    assert set(third.live_nodes(["a"], [NodeRole.STORE])) == {"store-1"}
    assert third.live_nodes(["b"], [NodeRole.STORE]) == {}


def test_a_delta_has_only_newer_entries_and_of_one_server_only_the_newest() -> None:
    first, second = StatusTable("a"), StatusTable("b")
    for sequence in range(1, 5):
        first.write_server(server("i-1", sequence=sequence))
    first.write_server(server("i-2"))
    delta = first.newer_than({"a": 2})
    assert sorted((entry.record.id, entry.number) for entry in delta.servers) == [("i-1", 4), ("i-2", 5)]
    send_delta(first, second)
    assert first.newer_than(second.vector).empty
    assert second.apply(delta) == second.apply(delta)
    assert not second.apply(delta)


def test_gateways_are_left_out_if_they_are_not_requested() -> None:
    table = StatusTable("a")
    table.write_node(node("edge-1", role=NodeRole.GATEWAY), present=True)
    table.write_node(node("store-1"), present=True)
    delta = table.newer_than({}, gateways=False)
    assert [entry.record.name for entry in delta.nodes] == ["store-1"]
    assert delta.vector == {"a": 2}


def test_a_drain_and_a_later_record_of_another_writer_are_both_kept_until_merged() -> None:
    first, second, third = (StatusTable(writer) for writer in WRITERS)
    first.write_server(server("i-1", ServerState.DRAINING, 10))
    second.write_server(server("i-1", ServerState.READY, 11))
    send_delta(first, third)
    send_delta(second, third)
    fresh = StatusTable("d")
    send_delta(third, fresh)
    assert fresh.servers()["i-1"].state is ServerState.DRAINING
    assert fresh.servers()["i-1"].sequence == 11


def test_of_two_incarnations_the_one_that_arrived_last_counts() -> None:
    table = StatusTable("c")
    table.apply(Delta({"a": 1}, (), (NodeEntry("a", 1, node("store-1", "old"), True),)))
    table.apply(Delta({"b": 1}, (), (NodeEntry("b", 1, node("store-1", "new"), True),)))
    assert table.live_nodes(["a", "b"], [NodeRole.STORE])["store-1"].incarnation == "new"
    assert table.live_nodes(["a"], [NodeRole.STORE])["store-1"].incarnation == "old"


def test_nothing_about_nodes_is_kept_of_an_ended_writer() -> None:
    table = StatusTable("c")
    table.apply(Delta({"a": 2}, (), (NodeEntry("a", 1, node("store-1"), True),)))
    table.forget_writer("a")
    assert table.vector == {}
    assert list(table.node_entries()) == []
    table.apply(Delta({"b": 1}, (ServerEntry("b", 1, server("i-1")),)))
    table.forget_writer("b")  # its entry about a server still counts
    assert table.vector == {"b": 1}
    assert "i-1" in table.servers()


def test_messages_are_the_same_after_encoding_and_decoding() -> None:
    table = StatusTable("a")
    table.write_server(server("i-1", ServerState.DRAINING))
    table.write_node(node("store-1"), present=False)
    update = Update("a", 12.5, table.newer_than({}), ("a",), 3, 7, b"\x00packed\xff", None, {"i-1": 4})
    pull = Pull(node("edge-1"), {"a": 3}, 7, 1, 500, {"i-1": 4})
    for message in (update, pull):
        assert decode(encode(Envelope(5, message))[:-1]).body == message


class Exchanges(RuleBasedStateMachine):
    """Three nodes write and exchange entries in any order; messages are delayed, duplicated or lost; nodes restart."""

    def __init__(self) -> None:
        super().__init__()
        self.starts = 0
        self.tables = {writer: StatusTable(writer) for writer in WRITERS}
        self.expected: dict[str, ServerRecord] = {}
        self.seen: dict[str, dict[str, ServerRecord]] = {writer: {} for writer in WRITERS}
        self.in_flight: list[tuple[str, str, Delta]] = []

    @rule(
        at=st.sampled_from(WRITERS),
        name=st.sampled_from(["i-1", "i-2"]),
        state=st.sampled_from(STATES),
        sequence=st.integers(0, 5),
    )
    def write(self, at: str, name: str, state: ServerState, sequence: int) -> None:
        record = server(name, state, sequence)
        self.tables[at].write_server(record)
        self.expected[name] = merged(self.expected[name], record) if name in self.expected else record

    @rule(sender=st.sampled_from(WRITERS), receiver=st.sampled_from(WRITERS))
    def send(self, sender: str, receiver: str) -> None:
        receiving = self.tables[receiver]
        if sender != receiver:
            self.in_flight.append(
                (receiver, receiving.writer_incarnation, self.tables[sender].newer_than(receiving.vector))
            )

    @rule(pick=st.integers(0, 100), duplicate=st.booleans())
    def deliver(self, pick: int, duplicate: bool) -> None:
        if not self.in_flight:
            return
        position = pick % len(self.in_flight)
        receiver, incarnation, delta = self.in_flight[position]
        if not duplicate:
            del self.in_flight[position]
        if (
            self.tables[receiver].writer_incarnation == incarnation
        ):  # ensured by `Exchange.receiver_incarnation`, and by the connection of a pull
            self.tables[receiver].apply(delta)

    @rule(at=st.sampled_from(WRITERS))
    def restart(self, at: str) -> None:
        others = [table for key, table in self.tables.items() if key != at]
        if all(
            table.servers() == self.tables[at].servers() for table in others
        ):  # the others have all its entries
            self.starts += 1
            self.tables[at] = StatusTable(f"{at}{self.starts}")
            self.seen[at] = {}

    @invariant()
    def nothing_goes_back(self) -> None:
        for at, table in self.tables.items():
            for name, before in self.seen[at].items():
                assert merged(before, table.servers()[name]) == table.servers()[name]
            self.seen[at] = dict(table.servers())

    def teardown(self) -> None:
        for _ in range(2):
            for sender in WRITERS:
                for receiver in WRITERS:
                    if sender != receiver:
                        send_delta(self.tables[sender], self.tables[receiver])
        for table in self.tables.values():
            assert dict(table.servers()) == self.expected
        fresh = StatusTable("fresh")
        send_delta(self.tables["a"], fresh)
        assert dict(fresh.servers()) == self.expected


TestExchanges = Exchanges.TestCase
TestExchanges.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)


def test_entries_of_ended_writers_do_not_accumulate() -> None:
    table = StatusTable("a")
    for sequence in range(200):
        writer = f"origin-{sequence}"
        entry = ServerEntry(writer, 1, attrs.evolve(server("i-1"), sequence=sequence))
        table.apply(Delta({writer: 1}, (entry,)))
        table.forget_writer(f"origin-{sequence - 1}")
    assert len(list(table.server_entries("i-1"))) == 1
    assert list(table.vector) == ["origin-199"]


def test_the_entry_of_a_live_writer_is_kept_beside_a_newer_one() -> None:
    table = StatusTable("a")
    table.apply(Delta({"b": 1}, (ServerEntry("b", 1, server("i-1", sequence=1)),)))
    table.apply(Delta({"c": 1}, (ServerEntry("c", 1, server("i-1", sequence=5)),)))
    assert {entry.writer_incarnation for entry in table.server_entries("i-1")} == {"b", "c"}
    table.forget_writer("c")  # no other entry includes it
    assert {entry.writer_incarnation for entry in table.server_entries("i-1")} == {"b", "c"}
    table.forget_writer("b")
    assert {entry.writer_incarnation for entry in table.server_entries("i-1")} == {"c"}
