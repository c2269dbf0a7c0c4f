"""A follower's view after replies of control nodes, and the selection of the control nodes that it pulls from."""

from __future__ import annotations

import json
import random
from typing import Any

import attrs
import pytest

from emberring.configuration.reading import pack
from emberring.distribution.contacts import Contacts, LoadReport, sum_by_server
from emberring.distribution.messages import Delta, Update
from emberring.distribution.records import NodeRecord, NodeRole, ServerRecord, ServerState
from emberring.distribution.sources import SAME_ZONE_RETRY_S, SourceSelector
from emberring.distribution.status_table import StatusTable
from emberring.distribution.view import FIRST_CONFIGURATION_TIMEOUT_S, ORPHAN_S, FollowerView
from emberring.placement.model import Placement

READY, DRAINING, GONE, LOST = ServerState.READY, ServerState.DRAINING, ServerState.GONE, ServerState.LOST


def configured(version: int) -> bytes:
    return pack(json.dumps({"Version": version, "Routes": [], "Services": []}).encode())


def server(name: str, state: ServerState = READY, sequence: int = 1) -> ServerRecord:
    return ServerRecord(name, "engine", "10.0.0.9:80", "zone", 48, state, sequence)


class FakeControlNode:
    """Sends the updates of one control node."""

    def __init__(self, writer: str = "a") -> None:
        self.status_table = StatusTable(writer)

    def send_update(self, view: FollowerView, now_s: float, **parts: Any) -> bool:
        base = Update(
            writer_incarnation=self.status_table.writer_incarnation,
            quorum_age_ms=50.0,
            delta=self.status_table.newer_than(view.status_table.vector),
            live_writers=(self.status_table.writer_incarnation,),
        )
        return view.apply_update(now_s, attrs.evolve(base, **parts))


def test_nothing_is_known_at_first() -> None:
    view = FollowerView(0.0)
    assert (view.configuration, view.placement, view.servers, view.nodes, view.gateways) == (
        None,
        None,
        {},
        {},
        1,
    )


def test_the_configuration_never_goes_back() -> None:
    view, control, other = FollowerView(0.0), FakeControlNode("a"), FakeControlNode("b")
    assert control.send_update(view, 0.1, configuration=configured(7), configuration_version=7)
    assert not other.send_update(view, 0.2, configuration=configured(5), configuration_version=5)
    assert not other.send_update(view, 0.2, configuration=configured(7), configuration_version=7)
    assert view.configuration is not None
    assert view.configuration.version == 7
    assert other.send_update(view, 0.3, configuration=configured(9), configuration_version=9)
    assert view.configuration.version == 9


FIRST_CONFIGURATION = [
    (50.0, 0.1, True),  # from a control node with a majority
    (5000.0, 0.1, False),  # from a partitioned one: it may be old
    (1e9, 0.1, False),
    (5000.0, FIRST_CONFIGURATION_TIMEOUT_S + 0.1, True),  # accepted after the timeout
]


@pytest.mark.parametrize(("quorum_age_ms", "at_s", "accepted"), FIRST_CONFIGURATION)
def test_the_first_configuration_needs_a_quorum(quorum_age_ms: float, at_s: float, accepted: bool) -> None:
    view, control = FollowerView(0.0), FakeControlNode()
    parts = {"configuration": configured(7), "configuration_version": 7, "quorum_age_ms": quorum_age_ms}
    control.send_update(view, at_s, **parts)
    assert (view.configuration is not None) is accepted


def test_a_newer_configuration_is_applied_from_a_partitioned_control_node() -> None:
    view, control = FollowerView(0.0), FakeControlNode()
    control.send_update(view, 0.1, configuration=configured(7), configuration_version=7)
    control.send_update(view, 0.2, configuration=configured(9), configuration_version=9, quorum_age_ms=9000.0)
    assert view.configuration_version == 9


def test_the_placement_never_goes_back() -> None:
    view, control = FollowerView(0.0), FakeControlNode()
    assert control.send_update(view, 0.1, placement=Placement(4, {}, ()))
    assert not control.send_update(view, 0.2, placement=Placement(3, {}, ()))
    assert view.placement_epoch == 4


def test_servers_that_are_ready_or_drain_are_listed() -> None:
    view, control = FollowerView(0.0), FakeControlNode()
    for name, state in (("r", READY), ("d", DRAINING), ("g", GONE), ("l", LOST)):
        control.status_table.write_server(server(name, state))
    assert control.send_update(view, 0.1)
    assert set(view.servers) == {"r", "d"}
    assert not control.send_update(view, 0.2)
    control.status_table.write_server(server("r", LOST, 2))
    assert control.send_update(view, 0.3)
    assert set(view.servers) == {"d"}
    control.status_table.write_server(server("r", READY, 3))
    assert control.send_update(view, 0.4)
    assert set(view.servers) == {"r", "d"}


def test_a_drain_known_to_one_control_node_overrides_a_ready_record_of_another() -> None:
    view, first, second = FollowerView(0.0), FakeControlNode("a"), FakeControlNode("b")
    first.status_table.write_server(server("i", DRAINING, 5))
    second.status_table.write_server(server("i", READY, 6))
    first.send_update(view, 0.1)
    second.send_update(view, 0.2)
    assert view.servers["i"].state is DRAINING


def test_servers_stay_while_no_control_node_replies_and_expire_if_new_ones_do_not_list_them() -> None:
    view, old, new = FollowerView(0.0), FakeControlNode("old"), FakeControlNode("new")
    old.status_table.write_server(server("stays"))
    old.status_table.write_server(server("ended"))
    old.send_update(view, 0.1)
    new.send_update(view, 500.0)  # a long period without replies does not expire servers
    assert set(view.servers) == {"stays", "ended"}
    new.status_table.write_server(server("stays", READY, 40))
    at_s = 500.0
    while at_s < 500.0 + ORPHAN_S - 1.5:
        at_s += 0.5
        new.send_update(view, at_s)
    assert set(view.servers) == {"stays", "ended"}
    while at_s < 500.0 + ORPHAN_S + 1.0:
        at_s += 0.5
        new.send_update(view, at_s)
    assert set(view.servers) == {"stays"}


def test_an_ended_writer_s_newer_record_neither_hides_nor_keeps_a_server() -> None:
    """The ended node received the last heartbeats, and no other control node has its records."""
    view, ended, live_node = FollowerView(0.0), FakeControlNode("ended"), FakeControlNode("lives")
    for name in ("lives", "dies"):
        live_node.status_table.write_server(server(name, READY, 1))
        ended.status_table.write_server(server(name, READY, 5))
    ended.send_update(view, 0.1)
    live_node.send_update(view, 0.2)
    live_node.status_table.write_server(server("dies", LOST, 3))
    at_s = 0.2
    while at_s < ORPHAN_S + 2.0:
        at_s += 0.5
        live_node.send_update(view, at_s)
        assert "lives" in view.servers
    assert set(view.servers) == {"lives"}


@pytest.mark.parametrize("sequence", [1, 5])
def test_a_server_that_only_an_ended_writer_wrote_as_lost_is_listed(sequence: int) -> None:
    """A partitioned node sent the record to followers only, and lost its disk: no live node would correct it."""
    view, ended, live_node = FollowerView(0.0), FakeControlNode("ended"), FakeControlNode("lives")
    live_node.status_table.write_server(server("s", READY, 1))
    live_node.send_update(view, 0.1)
    ended.status_table.write_server(server("s", LOST, sequence))
    ended.send_update(view, 0.2)
    assert view.servers == {}
    at_s = 0.2
    while at_s < ORPHAN_S + 2.0:
        at_s += 0.5
        live_node.send_update(view, at_s)
    assert set(view.servers) == {"s"}


@pytest.mark.parametrize("state", [DRAINING, GONE])
def test_a_drain_that_an_ended_writer_alone_knew_of_still_counts(state: ServerState) -> None:
    view, ended, live_node = FollowerView(0.0), FakeControlNode("ended"), FakeControlNode("lives")
    live_node.status_table.write_server(server("s", READY, 7))
    live_node.send_update(view, 0.1)
    ended.status_table.write_server(server("s", state, 1))
    ended.send_update(view, 0.2)
    at_s = 0.2
    while at_s < ORPHAN_S + 2.0:
        at_s += 0.5
        live_node.send_update(view, at_s)
    assert {name: record.state for name, record in view.servers.items()} == (
        {"s": DRAINING} if state is DRAINING else {}
    )


def test_nodes_are_those_in_contact_with_a_live_control_node() -> None:
    view, first, second = FollowerView(0.0), FakeControlNode("a"), FakeControlNode("b")
    store = NodeRecord("store-1", NodeRole.STORE, "10.0.0.1:70", "zone", "id", "x")
    edge = NodeRecord("edge-1", NodeRole.GATEWAY, "10.0.0.2:70", "zone", "", "y")
    first.status_table.write_node(store, present=True)
    first.status_table.write_node(edge, present=True)
    first.send_update(view, 0.1)
    assert set(view.nodes) == {"store-1"}
    first.status_table.write_node(store, present=False)
    second.status_table.write_node(store, present=True)
    first.send_update(view, 0.2)
    assert view.nodes == {}
    second.send_update(view, 0.3)
    assert set(view.nodes) == {"store-1"}
    at_s = 0.3
    while (
        at_s < 4.0
    ):  # the second control node no longer replies, and is not in the live writers of the first
        at_s += 0.3
        first.send_update(view, at_s)
    assert view.nodes == {}


def test_the_number_of_gateways_is_the_largest_reported_lately() -> None:
    view, first, second = FollowerView(0.0), FakeControlNode("a"), FakeControlNode("b")
    assert first.send_update(view, 0.1, gateways=7)
    second.send_update(view, 0.2, gateways=2)  # has just started
    assert view.gateways == 7
    for step in range(1, 12):
        second.send_update(view, 0.2 + step * 0.3, gateways=6)
    assert view.gateways == 6
    second.send_update(view, 4.0, gateways=0)
    assert view.gateways >= 1


def test_a_change_of_load_alone_is_not_reported_as_a_change() -> None:
    view, control = FollowerView(0.0), FakeControlNode()
    assert not control.send_update(view, 0.1, server_load={"i": 3})
    assert view.load.calls == {"i": 3}


# -- contacts


def test_contacts_time_out() -> None:
    contacts = Contacts()
    record = NodeRecord("edge-1", NodeRole.GATEWAY, "10.0.0.2:70", "zone")
    assert contacts.on_contact(0.0, record, LoadReport({"i": 1}))
    assert not contacts.on_contact(0.5, record)
    assert contacts.load(1.0) == {"i": 1}
    assert contacts.load(1.5) == {}
    assert contacts.on_contact(0.6, attrs.evolve(record, leaving=True))
    assert contacts.expired(1.9) == []
    assert [one.name for one in contacts.expired(2.1)] == ["edge-1"]
    assert contacts.on_contact(2.2, record)


def test_loads_are_summed() -> None:
    assert sum_by_server([{"i": 1, "j": 2}, {}, {"i": 4}]) == {"i": 5, "j": 2}


# -- sources


def selector(count: int = 3) -> SourceSelector:
    return SourceSelector([f"c{number}" for number in range(count)], random.Random(1))


def test_two_pullers_have_two_different_sources() -> None:
    sources = selector()
    assert sources.pick(0.0, 0) != sources.pick(0.0, 1)
    assert sources.pick(0.0, 0) == sources.pick(0.0, 0)
    single = selector(1)
    assert single.pick(0.0, 0) == "c0"
    assert single.pick(0.0, 1) is None


def test_a_source_that_fails_is_replaced_and_retried_later() -> None:
    sources = selector(2)
    first = sources.pick(0.0, 0)
    assert first is not None
    sources.failed(0.0, first)
    second = sources.pick(0.0, 0)
    assert second not in (None, first)
    assert sources.pick(0.01, 1) is None
    assert 0 < sources.pause_s(0.01) <= 0.2
    assert sources.pick(0.2, 1) == first


def test_the_backoff_grows_up_to_a_limit() -> None:
    sources = selector(1)
    for _ in range(30):
        sources.failed(100.0, "c0")
    assert sources.pick(100.0, 0) is None
    assert sources.pick(101.6, 0) == "c0"


def test_a_source_without_a_majority_is_replaced_by_another() -> None:
    sources = selector(3)
    without_quorum = sources.pick(0.0, 0)
    assert without_quorum is not None
    sources.answered(0.0, without_quorum, 5.0)
    assert sources.pick(0.0, 0) not in (None, without_quorum)
    assert not sources.in_contact(0.0)


def test_sources_without_a_majority_are_still_pulled_from_if_there_are_no_others() -> None:
    sources = selector(2)
    for now_s in (0.0, 1.0, 2.0):
        for slot in (0, 1):
            picked = sources.pick(now_s, slot)
            assert picked is not None
            sources.answered(now_s, picked, 5.0)
    assert sources.pick(2.1, 0) is None
    assert sources.pick(3.0, 0) is not None


def test_contact_is_a_recent_answer_of_a_node_with_a_majority() -> None:
    sources = selector()
    assert not sources.in_contact(0.0)
    sources.answered(1.0, "c1", 0.1)
    assert sources.in_contact(2.0)
    assert not sources.in_contact(3.0)
    assert sources.has_answered("c1")
    sources.failed(3.0, "c1")
    assert not sources.has_answered("c1")


@pytest.mark.parametrize("seed", range(8))
def test_the_first_puller_switches_to_a_node_of_its_zone_once_it_is_known(seed: int) -> None:
    sources = SourceSelector(["c0", "c1", "c2"], random.Random(seed))
    sources.pick(0.0, 0)
    sources.pick(0.0, 1)
    sources.set_same_zone(["c2"])
    assert sources.pick(0.1, 0) == "c2"
    assert sources.pick(0.1, 1) in ("c0", "c1")
    assert sources.pick(0.2, 0) == "c2"


def test_a_node_of_the_same_zone_that_fails_is_replaced_and_retried() -> None:
    sources = selector(3)
    sources.set_same_zone(["c2"])
    assert sources.pick(0.0, 0) == "c2"
    sources.failed(0.0, "c2")
    for now_s in (0.1, 1.0, SAME_ZONE_RETRY_S - 0.1):
        other = sources.pick(now_s, 0)
        assert other in ("c0", "c1")
        sources.answered(now_s, other, 0.0)
    assert sources.pick(SAME_ZONE_RETRY_S + 0.1, 0) == "c2"  # a source that was replaced is retried
    sources.answered(SAME_ZONE_RETRY_S + 0.2, "c2", 0.0)
    assert sources.pick(SAME_ZONE_RETRY_S + 0.3, 0) == "c2"


def test_a_node_of_the_same_zone_without_a_majority_is_replaced_and_retried() -> None:
    sources = selector(3)
    sources.set_same_zone(["c2"])
    assert sources.pick(0.0, 0) == "c2"
    sources.answered(0.0, "c2", 5.0)
    for now_s in (0.1, 3.0, SAME_ZONE_RETRY_S - 0.1):
        assert sources.pick(now_s, 0) in ("c0", "c1")
    assert sources.pick(SAME_ZONE_RETRY_S + 0.1, 0) == "c2"
    sources.answered(SAME_ZONE_RETRY_S + 0.1, "c2", 5.0)  # still without a majority
    assert sources.pick(SAME_ZONE_RETRY_S + 0.2, 0) in ("c0", "c1")


def test_added_nodes_are_used_and_dropped_after_failures() -> None:
    sources = selector(1)
    sources.add(["new"])
    assert {sources.pick(0.0, 0), sources.pick(0.0, 1)} == {"c0", "new"}
    for _ in range(40):
        sources.failed(1.0, "new")
    assert sources.pick(10.0, 0) == "c0"
    assert sources.pick(10.0, 1) is None
    for _ in range(40):
        sources.failed(11.0, "c0")  # a seed is never dropped
    assert sources.pick(20.0, 0) == "c0"


def test_deltas_of_different_writers_need_no_order() -> None:
    view = FollowerView(0.0)
    assert view.apply_update(0.1, Update("a", 1.0, Delta(), ("a",))) is False


@pytest.mark.parametrize("seed", range(20))
def test_listed_servers_are_always_what_a_complete_recomputation_lists(seed: int) -> None:
    """Only the servers in a delta are recomputed, while writers end, return and contradict one another."""
    rng = random.Random(seed)
    view, controls, now_s = FollowerView(0.0), [FakeControlNode(name) for name in "abc"], 0.0
    numbers = [0] * 5
    for _ in range(120):
        now_s += rng.choice((0.1, 0.5, 3.0, 12.0))
        control = rng.choice(controls)
        for _ in range(rng.randrange(3)):
            number = rng.randrange(5)
            numbers[number] += rng.random() < 0.7
            state = rng.choice(list(ServerState))
            control.status_table.write_server(
                ServerRecord(f"i-{number}", "llm", f"h{number}:1", "z", 8, state, numbers[number])
            )
        live = tuple(one.status_table.writer_incarnation for one in controls if rng.random() < 0.7)
        before = dict(view.servers)
        changed = control.send_update(
            view, now_s, live_writers=(control.status_table.writer_incarnation, *live)
        )
        recomputed = {
            name: record
            for name in view.status_table.servers()
            if (record := view._usable_server(name)) is not None
        }
        assert view.servers == recomputed
        assert changed or view.servers == before
