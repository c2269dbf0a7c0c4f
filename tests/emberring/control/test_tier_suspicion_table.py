"""Gateways' suspicions of servers, aggregated over the tier."""

from __future__ import annotations

import orjson
import pytest

from emberring.control import suspicion_table
from emberring.control.cluster_state import ClusterState
from emberring.control.status_page import StatusPage
from emberring.control.suspicion_table import RECOVERED_AFTER_S, SuspicionTable
from emberring.distribution.contacts import LOAD_FRESH_S, Contacts, LoadReport
from emberring.distribution.records import NodeRecord, NodeRole, ServerRecord, ServerState
from emberring.registry.faults import sum_suspicions

SERVER = ServerRecord("i-1", "llm", "10.0.0.9:80", "z", 12, ServerState.READY, 1)


class LogRecorder:
    """Replaces the logger and records warnings."""

    def __init__(self) -> None:
        self.warnings: list[str] = []

    def warning(self, text: str, *args: object) -> None:
        self.warnings.append(text % args)

    def info(self, text: str, *args: object) -> None: ...


def gateway(number: int) -> NodeRecord:
    return NodeRecord(f"edge-{number}", NodeRole.GATEWAY, f"10.0.1.{number}:70", "z", "", f"e{number}")


def cluster_state(number: int) -> ClusterState:
    seeds = [f"10.0.0.{other}:70" for other in range(2)]
    me = NodeRecord(f"core-{number}", NodeRole.CONTROL, seeds[number], "z", f"d{number}", f"c{number}")
    return ClusterState(0.0, me, seeds, 1.2)


@pytest.mark.parametrize(
    ("faults", "gateways", "failing"),
    [
        ({}, 5, False),
        ({"silent": 1}, 5, False),  # one gateway may be mistaken
        ({"silent": 2}, 5, True),
        ({"silent": 1, "slow": 1}, 5, True),
        ({"silent": 1}, 1, True),  # the only gateway
    ],
)
def test_how_many_gateways_must_suspect_a_server(
    faults: dict[str, int], gateways: int, failing: bool
) -> None:
    table = SuspicionTable(lambda: {SERVER.id: SERVER})
    table.check(1.0, {SERVER.id: faults} if faults else {}, gateways)
    assert (SERVER.id in table.failing) is failing


@pytest.mark.parametrize(
    ("reports", "warned"),
    [
        ([{"slow": 5}], False),
        ([{"slow": 5, "silent": 1}], False),  # only one gateway reports more than slowness
        ([{"silent": 2}], True),
        ([{"slow": 2}, {"slow": 1, "failing": 2}], True),  # first only slow, then failing too
        ([{"failing": 2}, {"slow": 2}], True),
    ],
)
def test_a_warning_is_logged_once_and_not_for_servers_that_are_only_slow(
    reports: list[dict[str, int]], warned: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    log = LogRecorder()
    monkeypatch.setattr(suspicion_table, "logger", log)
    table = SuspicionTable(lambda: {SERVER.id: SERVER})
    for step, faults in enumerate(reports * 3):
        table.check(1.0 + 0.1 * step, {SERVER.id: faults}, 5)
    assert table.failing[SERVER.id].warned is warned
    assert len(log.warnings) == int(warned)
    assert all(SERVER.address in line for line in log.warnings)


def test_a_server_recovers_when_it_was_not_suspected_for_a_while() -> None:
    table = SuspicionTable(dict)
    table.check(1.0, {"i-1": {"silent": 2}}, 5)
    table.check(3.0, {"i-1": {"failing": 3}}, 5)
    table.check(3.0 + RECOVERED_AFTER_S - 0.1, {}, 5)
    failing = table.failing["i-1"]
    assert (failing.since_s, failing.faults) == (1.0, {"failing": 3})
    table.check(3.0 + RECOVERED_AFTER_S, {}, 5)
    assert table.failing == {}


def test_suspicions_are_counted_by_fault_and_expire() -> None:
    contacts = Contacts()
    contacts.on_contact(0.0, gateway(1), LoadReport({}, {"i-1": "silent"}))
    contacts.on_contact(0.0, gateway(2), LoadReport({}, {"i-1": "silent", "i-2": "slow"}))
    contacts.on_contact(0.1, gateway(2))  # a pull without a load report does not withdraw its suspicions
    assert contacts.suspects(0.2) == {"i-1": {"silent": 2}, "i-2": {"slow": 1}}
    contacts.on_contact(0.3, gateway(2), LoadReport({}))
    assert contacts.suspects(0.4) == {"i-1": {"silent": 1}}
    assert contacts.suspects(LOAD_FRESH_S + 0.1) == {}


def test_suspicions_are_summed_over_control_nodes() -> None:
    parts = [{"a": {"silent": 1}}, {"a": {"silent": 2, "slow": 1}, "b": {"slow": 1}}]
    assert sum_suspicions(parts) == {"a": {"silent": 3, "slow": 1}, "b": {"slow": 1}}


def test_control_nodes_sum_the_suspicions_of_their_gateways_and_show_them() -> None:
    first, second = cluster_state(0), cluster_state(1)
    first.write_servers(0.0, [SERVER])
    first.on_node_contact(0.1, gateway(1), LoadReport({}, {SERVER.id: "silent"}))
    second.on_node_contact(0.1, gateway(2), LoadReport({}, {SERVER.id: "failing"}))
    for one in (first, second):
        one.tick(0.2)
        assert one.suspicions.failing[SERVER.id].faults.keys() < {
            "silent",
            "failing",
        }  # its own gateway's only
    for sender, receiver in ((first, second), (second, first), (first, second)):
        peer = next(iter(sender.peers.due(1.0)))
        sender.apply_exchange(0.3, receiver.on_exchange(0.3, sender.exchange_for(0.3, peer)))
    for one in (first, second):
        one.tick(0.4)
        assert one.suspicions.failing[SERVER.id].faults == {"silent": 1, "failing": 1}
    rendered = orjson.loads(StatusPage(first).render(1.4))["Servers"][0]
    assert rendered["Troubles"] == {"silent": 1, "failing": 1}
    assert rendered["FailingForS"] >= 1.0
