"""Calls in flight: sums at control nodes, the schedule of requests for single servers, and a follower's view."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping

import pytest

from emberring.control.change_notifier import ChangeNotifier
from emberring.control.cluster_state import ClusterState
from emberring.control.load_aggregator import NEGLIGIBLE_CALLS, LoadAggregator
from emberring.distribution.contacts import LOAD_FRESH_S, Contacts, LoadReport
from emberring.distribution.follower import Follower
from emberring.distribution.load_report import (
    MAX_PAIRS_FOR_EVERY_SERVER,
    LoadReportDetail,
    LoadReportSchedule,
)
from emberring.distribution.messages import Delta, Exchange, Pull, ServerEntry, Update
from emberring.distribution.records import NodeRecord, NodeRole, ServerRecord, ServerState
from emberring.distribution.view import FollowerView
from emberring.registry.known_load import LOAD_SMOOTHING_S, MAX_GATEWAYS_FOR_EXACT_LOAD, KnownLoad
from emberring.simulation.common.virtual_time import run_virtually
from emberring.simulation.scale.metered_network import HollowNetwork
from emberring.transport.network import Caller


def gateway(number: int) -> NodeRecord:
    return NodeRecord(f"edge-{number}", NodeRole.GATEWAY, f"edge-{number}:1", "z", "", str(number))


def server(name: str, service: str) -> ServerRecord:
    return ServerRecord(name, service, f"{name}:1", "z", 12, ServerState.READY, 1)


class LoadSources:
    """Load sources whose reports a test may change."""

    def __init__(self, *loads: Mapping[str, int]) -> None:
        self.loads = list(loads)
        self.requests = 0
        servers = {name: server(name, service) for name, service in (("a", "x"), ("b", "x"), ("c", "y"))}
        self.aggregator = LoadAggregator(self._report, lambda now_s: 0.25, lambda: servers)

    def _report(self, now_s: float) -> list[Mapping[str, int]]:
        self.requests += 1
        return self.loads


def test_sums_by_server_and_service_leave_out_zeros() -> None:
    sources = LoadSources({"a": 2, "b": 0}, {"a": 1, "c": 4, "unknown": 7})
    assert sources.aggregator.calls(1.0) == {"a": 3, "c": 4, "unknown": 7}
    assert sources.aggregator.totals(1.0) == {"x": 3, "y": 4}


def test_sums_are_cached_for_a_short_time() -> None:
    sources = LoadSources({"a": 2})
    for _ in range(5):
        sources.aggregator.calls(1.0)
        sources.aggregator.totals(1.01)
        sources.aggregator.smoothed(1.01, ["a"])
    assert sources.requests == 1
    sources.loads = [{"a": 5}]
    assert sources.aggregator.calls(1.03) == {"a": 5}


def test_sums_over_many_servers_are_made_less_often() -> None:
    sources = LoadSources({f"s{number}": 1 for number in range(12_000)})
    sources.aggregator.calls(1.0)
    sources.aggregator.calls(1.25)
    assert sources.requests == 1
    sources.aggregator.calls(1.35)
    assert sources.requests == 2


def test_smoothed_calls_follow_over_seconds_and_end() -> None:
    sources = LoadSources({"a": 8})
    for step in range(200):
        sources.aggregator.smoothed(step * 0.1, ())
    assert sources.aggregator.smoothed(20.0, ["a", "b"]) == {"a": pytest.approx(8.0, abs=0.1), "b": 0.0}
    sources.loads = [{}]
    assert sources.aggregator.smoothed(20.0 + LOAD_SMOOTHING_S, ["a"])["a"] == pytest.approx(
        8.0 / 2.718, abs=0.1
    )
    assert sources.aggregator.smoothed(21.0 + 8 * LOAD_SMOOTHING_S, ["a"]) == {"a": 0.0}
    assert sources.aggregator.smoothed(21.0 + 8 * LOAD_SMOOTHING_S, ()) == {}
    assert NEGLIGIBLE_CALLS < 0.1


def test_an_empty_load_counts_only_in_a_load_report() -> None:
    contacts = Contacts()
    record = NodeRecord("edge-1", NodeRole.GATEWAY, "10.0.0.2:70", "zone")
    contacts.on_contact(0.0, record, LoadReport({"i": 1}))
    contacts.on_contact(0.1, record)
    assert contacts.load(0.2) == {"i": 1}
    contacts.on_contact(0.3, record, LoadReport({}))
    assert contacts.load(0.4) == {}


@pytest.mark.parametrize(
    ("gateways", "servers", "every_s"),
    [
        (1, 5, 0.0),
        (MAX_GATEWAYS_FOR_EXACT_LOAD, 12_000, 0.0),  # few gateways request every server
        (100, MAX_PAIRS_FOR_EVERY_SERVER // 100, 0.0),
        (100, MAX_PAIRS_FOR_EVERY_SERVER // 100 + 1, 3.0),
        (410, 12_000, 3.0),
    ],
)
def test_many_gateways_request_the_load_of_single_servers_less_often(
    gateways: int, servers: int, every_s: float
) -> None:
    schedule = LoadReportSchedule()
    expected = LoadReportDetail.EVERY_SERVER if every_s == 0.0 else LoadReportDetail.SERVERS_IN_USE
    assert schedule.next(10.0, gateways, servers, reporting=True) is expected
    schedule.answered(10.0, expected)
    schedule.answered(10.1, LoadReportDetail.TOTALS)  # has no load of single servers
    assert schedule.next(10.0 + every_s + 0.001, gateways, servers, reporting=True) is expected
    early = schedule.next(10.0 + every_s - 0.01, gateways, servers, reporting=True)
    assert early is (LoadReportDetail.EVERY_SERVER if every_s == 0.0 else LoadReportDetail.TOTALS)
    other = schedule.next(20.0, gateways, servers, reporting=False)
    assert other is (LoadReportDetail.EVERY_SERVER if every_s == 0.0 else LoadReportDetail.TOTALS)


def update(calls: dict[str, int], totals: dict[str, int], quorum_age_ms: float = 10.0) -> Update:
    return Update(
        "a", quorum_age_ms, Delta(), ("a",), server_load=calls, service_load=totals, load_age_ms=50.0
    )


def test_the_load_of_single_servers_stays_if_only_totals_were_requested() -> None:
    view = FollowerView(0.0)
    view.apply_update(0.1, update({"i": 3}, {"x": 3}), load_detail=LoadReportDetail.EVERY_SERVER)
    view.apply_update(0.2, update({}, {"x": 5}), load_detail=LoadReportDetail.TOTALS)
    assert view.load == KnownLoad({"i": 3}, None, {"x": 5}, pytest.approx(0.05))  # the time of the report
    view.apply_update(0.3, update({}, {}), load_detail=LoadReportDetail.EVERY_SERVER)
    assert view.load == KnownLoad({}, None, {}, pytest.approx(0.25))


def test_an_empty_load_of_a_partitioned_control_node_is_not_applied() -> None:
    view = FollowerView(0.0)
    view.apply_update(0.1, update({"i": 3}, {"x": 3}))
    for load_detail in LoadReportDetail:
        view.apply_update(0.2, update({}, {}, quorum_age_ms=5000.0), load_detail)
        assert view.load == KnownLoad({"i": 3}, None, {"x": 3}, pytest.approx(0.05))


class FakeControlNode:
    """Replies to pulls with this number of gateways, each after the full wait, as nothing ever changes."""

    def __init__(
        self, networks: dict[str, HollowNetwork], address: str, gateways: int, servers: int = 100
    ) -> None:
        self.network = HollowNetwork(networks, address)
        self.network.handle(Pull, self._on_pull)
        self.gateways = gateways
        self.entries = [
            ServerEntry("c", number, server(f"s{number}", "x")) for number in range(1, servers + 1)
        ]
        self.pulls: list[Pull] = []
        self._changes = ChangeNotifier()

    async def _on_pull(self, pull: Pull, caller: Caller) -> Update:
        self.pulls.append(pull)
        await self._changes.wait(pull.wait_ms / 1000)
        calls = {} if pull.load_detail is LoadReportDetail.TOTALS else {"i": 1}
        known = pull.vector.get("c", 0)
        entries = tuple(entry for entry in self.entries if entry.number > known)
        delta = Delta({"c": len(self.entries)}, entries)
        return Update("c", 0.0, delta, ("c",), self.gateways, server_load=calls)


def run_gateway(gateways: int, count: int, servers: int = 100) -> tuple[FakeControlNode, list[bool]]:
    """Run a gateway for `count` load reports: the control node that received them, and the reports' arguments."""
    reports: list[bool] = []
    finished = asyncio.Event()
    networks: dict[str, HollowNetwork] = {}
    controls = [FakeControlNode(networks, f"core-{number}:1", gateways, servers) for number in range(2)]

    def report(detail_requested: bool) -> dict[str, int]:
        reports.append(detail_requested)
        if len(reports) == count:
            finished.set()
        return {"i": 1}

    async def run() -> None:
        me = NodeRecord("edge-1", NodeRole.GATEWAY, "edge-1:1", "z", "", "1")
        network = HollowNetwork(networks, me.address)
        follower = Follower(network, me, ["core-0:1", "core-1:1"])
        follower.report = report
        await follower.start()
        await finished.wait()
        assert follower.load.calls == {"i": 1}
        await follower.stop()

    run_virtually(run())
    receiver = max(controls, key=lambda control: sum(pull.reports_load for pull in control.pulls))
    return receiver, reports


def test_few_gateways_get_the_load_of_every_server_with_every_reply() -> None:
    receiver, reports = run_gateway(3, 20)
    assert all(pull.load_detail is LoadReportDetail.EVERY_SERVER for pull in receiver.pulls)
    assert all(pull.load == {"i": 1} for pull in receiver.pulls if pull.reports_load)
    assert all(reports)


def test_many_gateways_get_the_load_of_single_servers_rarely_and_smoothed() -> None:
    receiver, reports = run_gateway(400, 100)
    later = receiver.pulls[5:]
    detailed = [pull for pull in later if pull.load_detail is not LoadReportDetail.TOTALS]
    assert 7 <= len(detailed) <= 11  # one in 3 s
    assert all(pull.load_detail is LoadReportDetail.SERVERS_IN_USE and pull.reports_load for pull in detailed)
    assert sum(pull.reports_load for pull in later) > 80  # this node's calls are reported as often as before
    assert sum(reports) < 15


def test_the_puller_that_reports_waits_briefly_for_the_load_of_every_server() -> None:
    """A call occupies its slot for about a second: a load report of that age is of little use."""
    for servers, wait_ms in ((100, 100), (200, 200), (1000, 300)):
        receiver, _ = run_gateway(10, 20, servers)
        later_pulls = receiver.pulls[3:]
        assert {pull.wait_ms for pull in later_pulls if pull.reports_load} == {wait_ms}
    receiver, _ = run_gateway(400, 40)
    later_pulls = [
        pull for pull in receiver.pulls[5:] if pull.load_detail is not LoadReportDetail.EVERY_SERVER
    ]
    assert {pull.wait_ms for pull in later_pulls} == {300}


def test_load_subscribers_are_called_after_each_reply_with_the_load_of_servers() -> None:
    networks: dict[str, HollowNetwork] = {}
    controls = [FakeControlNode(networks, f"core-{number}:1", 3) for number in range(2)]
    loads: list[int] = []
    finished = asyncio.Event()

    async def run() -> None:
        me = NodeRecord("edge-1", NodeRole.GATEWAY, "edge-1:1", "z", "", "1")
        follower = Follower(HollowNetwork(networks, me.address), me, ["core-0:1", "core-1:1"])
        follower.report = lambda detail_requested: {"i": 1}

        def on_load() -> None:
            loads.append(follower.load.calls["i"])
            if len(loads) == 10:
                finished.set()

        follower.subscribe_load(on_load)
        await follower.start()
        await finished.wait()
        await follower.stop()

    run_virtually(run())
    assert loads[:10] == [1] * 10
    assert sum(len(control.pulls) for control in controls) >= 10


def test_the_age_of_sums_grows_while_they_are_cached() -> None:
    sources = LoadSources({"a": 2})
    assert sources.aggregator.age_s(1.0) == pytest.approx(0.25)
    assert sources.aggregator.age_s(1.01) == pytest.approx(0.26)
    assert sources.aggregator.age_s(1.5) == pytest.approx(0.25)  # summed again


def test_the_age_of_the_load_counts_from_the_gateways_reports() -> None:
    contacts = Contacts()
    assert contacts.load_age_s(1.0) == 0.0
    contacts.on_contact(1.0, gateway(1), LoadReport({"a": 2}))
    contacts.on_contact(1.2, gateway(2), LoadReport({"a": 3}))
    assert contacts.load_age_s(1.3) == pytest.approx(0.2)
    assert contacts.load_age_s(1.0 + LOAD_FRESH_S + 0.1) == pytest.approx(LOAD_FRESH_S - 0.1)


def test_the_age_of_the_load_is_weighted_by_calls() -> None:
    me = NodeRecord("core-0", NodeRole.CONTROL, "c0", "z", "", "x0")
    cluster_state = ClusterState(0.0, me, ["c0", "c1"], 1.2)
    assert cluster_state.load_age_s(1.0) == 0.0
    cluster_state.on_node_contact(1.0, gateway(1), LoadReport({"a": 1}))
    other = NodeRecord("core-1", NodeRole.CONTROL, "c1", "z", "", "x1")
    cluster_state.apply_exchange(1.1, Exchange(other, "x0", Delta(), {}, {}, {"a": 3}, load_age_ms=200.0))
    assert cluster_state.load_age_s(1.2) == pytest.approx((1 * 0.2 + 3 * 0.3) / 4)
