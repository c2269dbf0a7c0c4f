"""Admission: which calls are admitted, to which server, and which are refused."""

from __future__ import annotations

import attrs
import pytest

from emberring.admission import (
    Admission,
    AdmissionSettings,
    Admitted,
    CallInfo,
    CallOutcome,
    NoServer,
    Refused,
)
from emberring.admission.eligibility import SILENCE_MAX_MS
from emberring.configuration.model import Service
from emberring.distribution.records import ServerRecord, ServerState
from emberring.registry.known_load import NO_LOAD, KnownLoad

SERVICES = {"llm": Service("llm", max_connections=200, capacity=8, kv_cache_tokens=100_000, stride=20)}


def record(name: str, state: ServerState = ServerState.READY, service: str = "llm") -> ServerRecord:
    return ServerRecord(name, service, f"10.0.0.1:{name[1:]}", "a", 8, state, 1)


def admission_of(*records: ServerRecord) -> Admission:
    admission = Admission(AdmissionSettings(), seed=1)
    admission.set_servers(0.0, records, SERVICES, 1, NO_LOAD)
    return admission


def call(name: str, **more: object) -> CallInfo:
    return CallInfo(id=name, service="llm", route="r", tokens_in=500, tokens_out=200, **more)  # type: ignore[arg-type]


@pytest.mark.parametrize(
    "records",
    [
        (),
        (record("s1", ServerState.DRAINING),),
        (record("s1", service="other"),),
    ],
)
def test_no_server(records: tuple[ServerRecord, ...]) -> None:
    assert admission_of(*records).offer(0.0, call("c1")) == NoServer()


def test_an_excluded_server_is_not_chosen() -> None:
    admission = admission_of(record("s1"), record("s2"))
    for number in range(6):
        decision = admission.offer(0.0, call(f"c{number}", excluded=frozenset({"s1"})))
        assert decision == Admitted("s2")


def test_nothing_is_refused_while_half_the_slots_are_free() -> None:
    admission = admission_of(record("s1"), record("s2"))
    decisions = [admission.offer(0.0, call(f"c{number}")) for number in range(8)]
    assert all(isinstance(decision, Admitted) for decision in decisions)


def test_jobs_are_held_back_before_live_calls_are_refused() -> None:
    admission = admission_of(record("s1"), record("s2"))
    admitted_count = 0
    while isinstance(admission.offer(0.0, call(f"b{admitted_count}", batch=True)), Admitted):
        admitted_count += 1
    assert admission.batch_capacity(0.0) == {"llm": 0}
    assert admitted_count < 16
    assert isinstance(admission.offer(0.0, call("live")), Admitted)


GATEWAYS = 7


def gateways_with_stale_reports(servers: int) -> tuple[list[Admission], list[ServerRecord]]:
    """Return gateways of these servers whose load reports are stale: they show no calls of other gateways."""
    records = [record(f"s{number}") for number in range(servers)]
    gateways = [Admission(AdmissionSettings(), seed=number) for number in range(GATEWAYS)]
    for one in gateways:
        one.set_servers(0.0, records, SERVICES, GATEWAYS, NO_LOAD)
    return gateways, records


def admit_items(gateway: Admission, name: str, now_s: float) -> int:
    """Offer items, each with an immediate first event, until one is refused; return how many were admitted."""
    admitted_count = 0
    while isinstance(gateway.offer(now_s, call(f"{name}/{admitted_count}", batch=True)), Admitted):
        gateway.started(now_s, f"{name}/{admitted_count}", "")
        gateway.first_event(now_s, f"{name}/{admitted_count}")
        admitted_count += 1
    return admitted_count


def test_items_of_all_gateways_fit_the_slots_without_reports_of_each_other() -> None:
    gateways, records = gateways_with_stale_reports(12)
    admitted_count = 0
    for round_number in range(10):  # each round repeats the report without calls of other gateways
        for number, gateway in enumerate(gateways):
            gateway.set_servers(0.0, records, SERVICES, GATEWAYS, NO_LOAD)
            admitted_count += admit_items(gateway, f"{number}/{round_number}", 0.0)
    slots = 12 * 8
    assert 0.7 * slots <= admitted_count <= slots


def test_live_calls_of_a_gateway_leave_its_items_less_capacity() -> None:
    gateways, _ = gateways_with_stale_reports(12)
    quiet, busy = gateways[0], gateways[1]
    for number in range(8):
        assert isinstance(busy.offer(0.0, call(f"live/{number}")), Admitted)
    assert admit_items(busy, "busy", 0.0) == admit_items(quiet, "quiet", 0.0) - 8


def test_items_wait_for_the_prompts_of_those_before_them() -> None:
    gateways, _ = gateways_with_stale_reports(12)
    gateway = gateways[0]
    capacity = gateway.batch_capacity(0.0)["llm"]
    names = [f"b{number}" for number in range(capacity + 1)]
    decisions = [gateway.offer(0.0, call(name, batch=True)) for name in names]
    assert [isinstance(one, Admitted) for one in decisions] == [True] * capacity + [False]
    assert capacity < 0.85 * 12 * 8 / GATEWAYS  # there are free slots
    assert isinstance(gateway.offer(0.0, call("live")), Admitted)
    gateway.started(0.0, names[0], "")
    gateway.first_event(0.02, names[0])
    assert gateway.batch_capacity(0.02) == {"llm": 1}


def test_prompts_at_unresponsive_servers_do_not_block_other_items() -> None:
    gateways, _ = gateways_with_stale_reports(12)
    gateway = gateways[0]
    capacity = gateway.batch_capacity(0.0)["llm"]
    placed: dict[str, str] = {}
    for number in range(capacity):
        decision = gateway.offer(0.0, call(f"b{number}", batch=True))
        assert isinstance(decision, Admitted)
        placed[f"b{number}"] = decision.server_id
        gateway.started(0.0, f"b{number}", decision.server_id)
    assert gateway.batch_capacity(0.1) == {"llm": 0}
    # The items are now at unresponsive servers.
    assert gateway.batch_capacity(SILENCE_MAX_MS / 1000.0 + 0.01)["llm"] > 0
    assert isinstance(gateway.offer(SILENCE_MAX_MS / 1000.0 + 0.01, call("next", batch=True)), Admitted)


def test_a_load_report_is_compared_with_the_own_report_that_it_includes() -> None:
    admission = admission_of(record("s1"), record("s2"))
    for number in range(4):
        assert isinstance(admission.offer(0.0, call(f"c{number}")), Admitted)
    admission.in_flight(server_loads_follow=True)
    load = KnownLoad({"s1": 4, "s2": 4}, None, {"llm": 8})
    admission.set_servers(0.1, [record("s1"), record("s2")], SERVICES, 2, load)
    other_calls = [view.other_calls for view in admission._pools["llm"].servers.values()]
    assert sum(other_calls) == 4
    for number in range(4):
        admission.finished(0.2, f"c{number}", CallOutcome.COMPLETED)
    admission.in_flight(server_loads_follow=False)  # the report of servers is older than the new total
    admission.set_servers(
        0.3, [record("s1"), record("s2")], SERVICES, 2, attrs.evolve(load, totals={"llm": 4})
    )
    assert [view.other_calls for view in admission._pools["llm"].servers.values()] == other_calls


@pytest.mark.parametrize(("total", "most"), [(0, 24), (12, 12), (24, 2), (40, 2)])
def test_items_are_limited_by_the_latest_total_where_reports_of_servers_are_old(
    total: int, most: int
) -> None:
    records = [record("s1"), record("s2"), record("s3")]
    admission = Admission(AdmissionSettings(), seed=1)
    admission.in_flight()
    load = KnownLoad({"s1": 0, "s2": 0, "s3": 0}, {"s1": 0.0, "s2": 0.0, "s3": 0.0}, {"llm": total})
    admission.set_servers(0.0, records, SERVICES, 1, load)
    admitted_count = admit_items(admission, "b", 0.0)
    assert most - 6 <= admitted_count <= most


def test_a_reported_smoothed_load_is_used_as_reported() -> None:
    admission = Admission(AdmissionSettings(), seed=1)
    load = KnownLoad({"s1": 0}, {"s1": 6.0}, {})
    admission.set_servers(0.0, [record("s1")], SERVICES, 60, load)
    view = admission._pools["llm"].servers["s1"]
    assert view.smoothed_other_calls == pytest.approx(6.0 * 59 / 60)  # without this gateway's own share
    assert view.estimated_load(60) > 5.0


def test_a_server_without_a_report_is_assumed_to_have_the_mean_load() -> None:
    records = [record("s1"), record("s2"), record("s3")]
    admission = Admission(AdmissionSettings(), seed=1)
    load = KnownLoad({"s1": 2}, {"s1": 2.0}, {"llm": 12})  # only s1 is in the report
    admission.set_servers(0.0, records, SERVICES, 60, load)
    views = admission._pools["llm"].servers
    assert views["s1"].other_calls == 2
    assert views["s2"].other_calls == pytest.approx(12 / 3 * 59 / 60)
    assert views["s2"].other_calls == views["s2"].smoothed_other_calls


def test_a_single_gateway_uses_all_batch_slots() -> None:
    admission = admission_of(record("s1"), record("s2"))
    assert admit_items(admission, "b", 0.0) >= 0.8 * 16


def test_a_full_pool_refuses_with_a_retry_delay() -> None:
    admission = admission_of(record("s1"))
    decisions = [admission.offer(0.0, call(f"c{number}")) for number in range(200)]
    refused = decisions[-1]
    assert isinstance(refused, Refused)
    assert refused.retry_after_s > 0.0


def test_a_finished_call_releases_its_slot() -> None:
    admission = admission_of(record("s1"))
    admission.offer(0.0, call("c1"))
    assert admission.in_flight() == {"s1": 1}
    assert admission.in_flight_count == 1
    admission.finished(1.0, "c1", CallOutcome.COMPLETED)
    admission.finished(1.0, "c1", CallOutcome.COMPLETED)
    assert admission.in_flight() == {"s1": 0}


def test_a_failed_server_is_ejected_for_a_while() -> None:
    admission = admission_of(record("s1"), record("s2"))
    first = admission.offer(0.0, call("c1"))
    assert isinstance(first, Admitted)
    admission.finished(0.0, "c1", CallOutcome.CONNECT_FAILED)
    other = {"s1": "s2", "s2": "s1"}[first.server_id]
    assert {admission.offer(0.1, call(f"d{number}")) for number in range(4)} == {Admitted(other)}


def test_servers_of_the_gateways_zone_come_first_until_they_are_busier() -> None:
    near = ServerRecord("near", "llm", "10.0.0.1:1", "here", 8, ServerState.READY, 1)
    far = ServerRecord("far", "llm", "10.0.0.1:2", "there", 8, ServerState.READY, 1)
    admission = Admission(AdmissionSettings(zone="here"), seed=1)
    admission.set_servers(0.0, (far, near), SERVICES, 1, NO_LOAD)
    decisions = [admission.offer(0.0, call(f"c{number}")) for number in range(4)]
    assert decisions[0] == Admitted("near")
    assert Admitted("far") in decisions


def test_a_server_with_an_idle_connection_comes_first_until_it_is_busier() -> None:
    records = [record(f"s{number}") for number in range(6)]
    admission = Admission(AdmissionSettings(), seed=1, connected=lambda server_id: server_id == "s4")
    admission.set_servers(0.0, records, SERVICES, 1, NO_LOAD)
    decisions = [admission.offer(0.0, call(f"c{number}")) for number in range(6)]
    assert decisions[0] == Admitted("s4")
    assert any(decision != Admitted("s4") for decision in decisions)


# Guards against a client whose requests a server declines, and which changes what other clients get from that server.
def test_calls_that_a_server_declines_change_nothing_about_it() -> None:
    admission = admission_of(record("s1"))
    admission.offer(0.0, call("first"))
    admission.started(0.0, "first", "s1")
    admission.first_event(0.01, "first")
    admission.finished(0.02, "first", CallOutcome.COMPLETED)
    (server,) = admission._pools["llm"].servers.values()
    before = attrs.evolve(server, calls={}), admission.batch_capacity(0.1)
    for number in range(50):
        name = f"d{number}"
        assert isinstance(admission.offer(0.1, call(name)), Admitted)
        admission.started(0.1, name, "s1")
        admission.finished(0.1, name, CallOutcome.DECLINED)
    assert attrs.asdict(server, recurse=False) == attrs.asdict(before[0], recurse=False)
    assert admission.batch_capacity(0.1) == before[1]
    assert admission.suspected_servers() == {}
