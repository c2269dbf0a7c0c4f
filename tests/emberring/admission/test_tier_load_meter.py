"""The load of a pool: waits over their quiet baseline, and answers that said "full"."""

from __future__ import annotations

from emberring.admission.load_meter import OUTCOMES_FOR_HALF_WEIGHT, LoadMeter


def fed(meter: LoadMeter, share: float, periods: int, quiet: bool = True) -> float:
    load = 0.0
    for _ in range(periods):
        for _ in range(5):
            meter.record_wait(share)
            meter.record_outcome(full=False)
        load = meter.close_period(quiet)
    return load


def test_quiet_waits_are_no_load() -> None:
    assert fed(LoadMeter(), 0.2, 40) < 1.0


def test_waits_far_over_the_baseline_are_load_until_they_end() -> None:
    meter = LoadMeter()
    fed(meter, 0.2, 20)
    assert fed(meter, 0.9, 10) > 1.0
    assert meter.jammed
    assert fed(meter, 0.2, 20) < 1.0


def test_the_baseline_does_not_rise_under_load() -> None:
    meter = LoadMeter()
    fed(meter, 0.2, 20)
    before = meter.baseline
    fed(meter, 0.9, 50, quiet=False)
    assert meter.baseline == before


def test_unobserved_load_decays() -> None:
    meter = LoadMeter()
    fed(meter, 0.2, 20)
    fed(meter, 0.9, 20)
    loads = [meter.close_period(False) for _ in range(100)]
    assert loads[0] > 1.0
    assert loads[-1] <= 1.0


def test_full_answers_are_load_at_once() -> None:
    meter = LoadMeter()
    for full in (True, False, False, False):
        meter.record_outcome(full)
    assert meter.close_period(True) > 1.0
    assert meter.close_period(True) == 0.0


def test_a_step_needs_as_many_outcomes_as_the_smoothing_remembers() -> None:
    meter = LoadMeter()
    fed(meter, 0.2, 8)
    assert meter.may_step_right()
    assert not meter.may_step_right()
    for _ in range(int(OUTCOMES_FOR_HALF_WEIGHT)):
        meter.record_wait(0.3)
    assert meter.may_step_right()
