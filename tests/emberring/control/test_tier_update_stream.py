"""The calls in flight in a control node's update, by the requested detail."""

from __future__ import annotations

import asyncio

import pytest

from emberring.control.cluster_state import ClusterState
from emberring.control.update_stream import UpdateStream
from emberring.distribution.contacts import LoadReport
from emberring.distribution.load_report import LoadReportDetail
from emberring.distribution.messages import Pull, Update
from emberring.distribution.records import NodeRecord, NodeRole, ServerRecord, ServerState
from emberring.transport.network import Caller

CALLER = Caller("10.0.1.1:5")


def gateway(number: int, role: NodeRole = NodeRole.GATEWAY) -> NodeRecord:
    return NodeRecord(f"node-{number}", role, f"10.0.1.{number}:70", "z", "", f"n{number}")


def update_for(pull: Pull) -> Update:
    """The update of a control node to which another gateway reports 3 calls at one server and 2 at another."""

    async def request_update() -> Update:
        now_s = asyncio.get_running_loop().time()
        me = NodeRecord("core-0", NodeRole.CONTROL, "10.0.0.1:70", "z", "d0", "c0")
        cluster_state = ClusterState(now_s - 20.0, me, [me.address], 1.2)
        servers = [
            ServerRecord(name, "llm", f"{name}:1", "z", 12, ServerState.READY, 1) for name in ("a", "b")
        ]
        cluster_state.write_servers(now_s - 20.0, servers)
        for step in range(100):  # until the smoothed calls have converged
            report_s = now_s - 20.0 + 0.2 * step
            cluster_state.on_node_contact(report_s, gateway(1), LoadReport({"a": 3, "b": 2}))
            cluster_state.load.smoothed(report_s, ())
        return await UpdateStream(cluster_state).on_pull(pull, CALLER)

    return asyncio.run(request_update())


@pytest.mark.parametrize(
    ("load_detail", "load", "calls", "smoothed"),
    [
        (LoadReportDetail.TOTALS, {"a": 1}, {}, {}),
        (LoadReportDetail.EVERY_SERVER, {"a": 1}, {"a": 4, "b": 2}, {}),
        (LoadReportDetail.SERVERS_IN_USE, {"a": 1}, {"a": 4}, {"a": 3.0}),
        (
            LoadReportDetail.SERVERS_IN_USE,
            {"a": 1, "b": 0, "idle": 0},
            {"a": 4, "b": 2, "idle": 0},
            {"b": 2.0},
        ),
        (LoadReportDetail.SERVERS_IN_USE, {}, {}, {}),
    ],
)
def test_the_load_in_an_update_has_the_requested_detail(
    load_detail: LoadReportDetail, load: dict[str, int], calls: dict[str, int], smoothed: dict[str, float]
) -> None:
    update = update_for(Pull(gateway(2), {}, load=load, reports_load=True, load_detail=load_detail))
    assert update.server_load == calls
    assert {name: update.smoothed_load[name] for name in smoothed} == pytest.approx(smoothed, abs=0.2)
    assert set(update.smoothed_load) == (
        set(load) if load_detail is LoadReportDetail.SERVERS_IN_USE else set()
    )
    assert update.service_load == {"llm": 5 + load.get("a", 0)}


def test_stores_receive_no_load() -> None:
    update = update_for(Pull(gateway(2, NodeRole.STORE), {}))
    assert (update.server_load, update.smoothed_load, update.service_load) == ({}, {}, {})


@pytest.mark.parametrize(
    ("pull", "calls"),
    [
        (Pull(gateway(1), {}, load={"a": 1}, reports_load=True), {"a": 1}),
        (Pull(gateway(1), {}, load={}, reports_load=True), {}),  # it has no calls now
        (Pull(gateway(1), {}), {"a": 3, "b": 2}),  # it reports to another control node
        (Pull(gateway(1), {}, load={"a": 1}), {"a": 1}),  # an older version, without `reports_load`
    ],
)
def test_the_last_load_report_of_a_gateway_counts(pull: Pull, calls: dict[str, int]) -> None:
    assert update_for(pull).server_load == calls
