"""Suspected servers of a gateway: detection of faults, reinstatement, reports."""

from __future__ import annotations

from random import Random

import pytest

from emberring.admission import Admission, AdmissionSettings, Admitted, CallInfo, CallOutcome, eligibility
from emberring.admission.server import ServerView
from emberring.admission.suspicion import REINSTATE_AFTER_S, SuspicionTable, detect_fault
from emberring.distribution.records import ServerRecord, ServerState
from emberring.gateway.suspicion_report import SuspicionReport
from emberring.registry.faults import Fault
from emberring.registry.known_load import NO_LOAD

USUAL_EVENT_GAP_MS = 5.0


def view(name: str = "s") -> ServerView:
    return ServerView(ServerRecord(name, "llm", f"{name}:1", "z", 12, ServerState.READY, 1), 0.0)


def with_failures(outcome: CallOutcome, times: int) -> ServerView:
    server = view()
    for _ in range(times):
        eligibility.record_failure(0.0, server, outcome, Random(1))
    return server


def with_failure_rate(failures: int, successes: int) -> ServerView:
    server = view()
    for number in range(failures + successes):
        server.failure_rate.record(0.0, number >= successes)
    return server


def with_wait_ratio(ratio: float) -> ServerView:
    server = view()
    for _ in range(30):
        server.record_wait_ratio(0.0, ratio)
    return server


@pytest.mark.parametrize(
    ("server", "fault"),
    [
        (view(), None),
        (with_failures(CallOutcome.CONNECT_FAILED, 1), Fault.UNREACHABLE),
        (with_failures(CallOutcome.SILENT, 1), Fault.SILENT),
        (with_failures(CallOutcome.BROKEN, 1), None),  # a single broken response is tolerated
        (with_failures(CallOutcome.BROKEN, 2), Fault.BREAKING_OFF),
        (with_failure_rate(1, 9), None),
        (with_failure_rate(3, 9), Fault.FAILING),
        (with_wait_ratio(2.0), None),
        (with_wait_ratio(6.0), Fault.SLOW),
    ],
)
def test_which_fault_a_server_shows(server: ServerView, fault: Fault | None) -> None:
    assert detect_fault(0.0, server, USUAL_EVENT_GAP_MS) is fault


def test_a_suspicion_is_reported_once_and_its_end_after_a_while_without_a_fault() -> None:
    table, server = SuspicionTable(), with_failures(CallOutcome.SILENT, 2)
    started = table.check(1.0, [server], USUAL_EVENT_GAP_MS)
    assert [(change.server, change.fault) for change in started] == [(server, Fault.SILENT)]
    assert table.check(2.0, [server], USUAL_EVENT_GAP_MS) == []
    assert table.faults == {"s": Fault.SILENT}
    server.consecutive_failures = 0  # the server has answered
    assert table.check(2.1, [server], USUAL_EVENT_GAP_MS) == []
    server.consecutive_failures, server.last_failure = (
        5,
        CallOutcome.CONNECT_FAILED,
    )  # a fault before the reinstatement continues the same suspicion
    assert table.check(3.0, [server], USUAL_EVENT_GAP_MS) == []
    assert table.faults == {"s": Fault.UNREACHABLE}
    server.consecutive_failures = 0
    assert table.check(3.0 + REINSTATE_AFTER_S - 0.1, [server], USUAL_EVENT_GAP_MS) == []
    ended = table.check(3.0 + REINSTATE_AFTER_S, [server], USUAL_EVENT_GAP_MS)
    assert [(change.fault, change.duration_s) for change in ended] == [(None, 2.0)]
    assert table.faults == {}


def test_a_server_that_no_longer_exists_is_dropped_without_a_report() -> None:
    table, server = SuspicionTable(), with_failures(CallOutcome.SILENT, 2)
    table.check(1.0, [server, view("other")], USUAL_EVENT_GAP_MS)
    assert table.check(9.0, [view("other")], USUAL_EVENT_GAP_MS) == []
    assert table.faults == {}


def test_a_gateway_reports_suspicions_to_control_nodes_and_metrics() -> None:
    admission = Admission(AdmissionSettings(), seed=1)
    records = [view("s1").record, view("s2").record]
    admission.set_servers(0.0, records, {}, 1, NO_LOAD)
    report = SuspicionReport(admission)
    report.check(0.0)
    assert report.suspected() == {}
    assert report.metrics()["servers_suspected"] == 0.0
    decision = admission.offer(0.0, CallInfo("c", "llm", "r", tokens_in=500, tokens_out=100))
    assert isinstance(decision, Admitted)
    admission.finished(0.1, "c", CallOutcome.CONNECT_FAILED)
    report.check(0.1)
    assert report.suspected() == {decision.server_id: "unreachable"}
    metrics = report.metrics()
    assert metrics["servers_suspected"] == 1.0
    assert metrics['server_suspicions_total{trouble="unreachable"}'] == 1.0
    admission.set_servers(
        0.2, [record for record in records if record.id != decision.server_id], {}, 1, NO_LOAD
    )
    report.check(0.2)
    assert report.suspected() == {}
    assert report.metrics()['server_suspicions_total{trouble="unreachable"}'] == 1.0
