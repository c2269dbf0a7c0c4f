"""The share of the slots for batch items, by the time that they have left."""

from __future__ import annotations

import math

import pytest

from emberring.admission import Admission, AdmissionSettings, Admitted, CallInfo
from emberring.admission.job_pressure import (
    DECAY_S,
    RELAXED_SLOT_SHARE,
    RELAXED_TIME_LEFT,
    URGENT_SLOT_SHARE,
    URGENT_TIME_LEFT,
    JobPressure,
)
from emberring.distribution.records import ServerRecord, ServerState
from emberring.registry.known_load import KnownLoad

TARGET_S = 10.0


def pressure_after(time_left: float, count: int = 60) -> JobPressure:
    """Return the pressure after this many simultaneous items with this share of their time left."""
    pressure = JobPressure()
    for _ in range(count):
        pressure.record_item(0.0, time_left * TARGET_S, TARGET_S)
    return pressure


@pytest.mark.parametrize(
    ("time_left", "share"),
    [
        (1.0, RELAXED_SLOT_SHARE),
        (RELAXED_TIME_LEFT, RELAXED_SLOT_SHARE),
        ((RELAXED_TIME_LEFT + URGENT_TIME_LEFT) / 2.0, (RELAXED_SLOT_SHARE + URGENT_SLOT_SHARE) / 2.0),
        (URGENT_TIME_LEFT, URGENT_SLOT_SHARE),
        (0.05, URGENT_SLOT_SHARE),
    ],
)
def test_items_get_more_slots_the_less_time_they_have_left(time_left: float, share: float) -> None:
    assert pressure_after(time_left).slot_share(0.0) == pytest.approx(share, abs=0.001)


@pytest.mark.parametrize(
    ("due_s", "target_s"),
    [(-1.0, TARGET_S), (0.0, TARGET_S), (1.0, 0.0)],  # already late, due now, no completion target
)
def test_late_items_and_items_without_a_target_are_ignored(due_s: float, target_s: float) -> None:
    pressure = JobPressure()
    for _ in range(60):
        pressure.record_item(0.0, due_s, target_s)
    assert pressure.slot_share(0.0) == pytest.approx(0.85)


@pytest.mark.parametrize("time_left", [0.1, 1.0])
def test_pressure_decays_after_the_jobs_are_done(time_left: float) -> None:
    assert pressure_after(time_left).slot_share(5.0 * DECAY_S) == pytest.approx(0.85, abs=0.01)


def test_a_gateway_admits_more_items_under_pressure() -> None:
    records = [
        ServerRecord(f"s{number}", "llm", f"10.0.0.1:{number}", "a", 12, ServerState.READY, 1)
        for number in range(4)
    ]

    def admitted_items(time_left: float) -> int:
        admission = Admission(AdmissionSettings(), seed=1)
        admission.set_servers(0.0, records, {}, 1, KnownLoad())
        for number in range(200):
            item = CallInfo(
                f"i{number}", "llm", "r", batch=True, deadline_s=time_left * TARGET_S, target_s=TARGET_S
            )
            if not isinstance(decision := admission.offer(0.0, item), Admitted):
                return number
            admission.started(0.0, item.id, decision.server_id)
            admission.first_event(0.001, item.id)
        return 200

    assert admitted_items(1.0) == round(4 * 12 * RELAXED_SLOT_SHARE)
    assert admitted_items(0.1) > 4 * 12 * 0.85


def test_the_admission_status_for_operators() -> None:
    admission = Admission(AdmissionSettings(), seed=1)
    assert admission.status(1.0) == (0, 0.0, math.inf)
    records = [ServerRecord("s1", "llm", "10.0.0.1:1", "a", 12, ServerState.READY, 1)]
    admission.set_servers(1.0, records, {}, 1, KnownLoad(reported_s=0.8))
    cursor, share, load_report_age_s = admission.status(1.1)
    assert (cursor, share) == (0, pytest.approx(0.85))
    assert load_report_age_s == pytest.approx(0.3)
