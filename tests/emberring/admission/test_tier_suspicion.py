"""The servers that a gateway suspects: which faults count, when a suspicion ends, what is reported."""

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

PAUSE_MS = 5.0


def view(name: str = "s") -> ServerView:
    return ServerView(ServerRecord(name, "llm", f"{name}:1", "z", 12, ServerState.READY, 1), 0.0)


def failed(outcome: CallOutcome, times: int) -> ServerView:
    server = view()
    for _ in range(times):
        eligibility.record_failure(0.0, server, outcome, Random(1))
    return server


def failing_some(bad: int, good: int) -> ServerView:
    server = view()
    for number in range(bad + good):
        server.failure_rate.record(0.0, number >= good)
    return server


def late(ratio: float) -> ServerView:
    server = view()
    for _ in range(30):
        server.record_wait_ratio(0.0, ratio)
    return server


@pytest.mark.parametrize(
    ("server", "trouble"),
    [
        (view(), None),
        (failed(CallOutcome.CONNECT_FAILED, 1), Fault.UNREACHABLE),
        (failed(CallOutcome.SILENT, 1), Fault.SILENT),
        (failed(CallOutcome.BROKEN, 1), None),  # one answer broken off may be an accident
        (failed(CallOutcome.BROKEN, 2), Fault.BREAKING_OFF),
        (failing_some(1, 9), None),
        (failing_some(3, 9), Fault.FAILING),
        (late(2.0), None),
        (late(6.0), Fault.SLOW),
    ],
)
def test_which_fault_a_server_shows(server: ServerView, trouble: Fault | None) -> None:
    assert detect_fault(0.0, server, PAUSE_MS) is trouble


def test_a_suspicion_is_reported_once_and_its_end_after_a_while_without_a_fault() -> None:
    book, server = SuspicionTable(), failed(CallOutcome.SILENT, 2)
    begun = book.check(1.0, [server], PAUSE_MS)
    assert [(change.server, change.fault) for change in begun] == [(server, Fault.SILENT)]
    assert book.check(2.0, [server], PAUSE_MS) == []
    assert book.faults == {"s": Fault.SILENT}
    server.consecutive_failures = 0  # it has answered
    assert book.check(2.1, [server], PAUSE_MS) == []
    server.consecutive_failures, server.last_failure = (
        5,
        CallOutcome.CONNECT_FAILED,
    )  # it flaps: still the same trouble
    assert book.check(3.0, [server], PAUSE_MS) == []
    assert book.faults == {"s": Fault.UNREACHABLE}
    server.consecutive_failures = 0
    assert book.check(3.0 + REINSTATE_AFTER_S - 0.1, [server], PAUSE_MS) == []
    ended = book.check(3.0 + REINSTATE_AFTER_S, [server], PAUSE_MS)
    assert [(change.fault, change.duration_s) for change in ended] == [(None, 2.0)]
    assert book.faults == {}


def test_a_server_that_no_longer_exists_is_dropped_without_a_report() -> None:
    book, server = SuspicionTable(), failed(CallOutcome.SILENT, 2)
    book.check(1.0, [server, view("other")], PAUSE_MS)
    assert book.check(9.0, [view("other")], PAUSE_MS) == []
    assert book.faults == {}


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
    figures = report.metrics()
    assert figures["servers_suspected"] == 1.0
    assert figures['server_suspicions_total{trouble="unreachable"}'] == 1.0
    admission.set_servers(
        0.2, [record for record in records if record.id != decision.server_id], {}, 1, NO_LOAD
    )
    report.check(0.2)
    assert report.suspected() == {}
    assert report.metrics()['server_suspicions_total{trouble="unreachable"}'] == 1.0
