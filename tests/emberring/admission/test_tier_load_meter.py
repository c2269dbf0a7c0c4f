"""The load of a pool, from waits above their baseline and from calls rejected as full."""

from __future__ import annotations

from emberring.admission.load_meter import OUTCOMES_FOR_HALF_WEIGHT, LoadMeter


def load_after(meter: LoadMeter, wait_share: float, periods: int, may_raise_baseline: bool = True) -> float:
    load = 0.0
    for _ in range(periods):
        for _ in range(5):
            meter.record_wait(wait_share)
            meter.record_outcome(full=False)
        load = meter.close_period(may_raise_baseline)
    return load


def test_waits_at_the_baseline_are_below_the_target() -> None:
    assert load_after(LoadMeter(), 0.2, 40) < 1.0


def test_load_is_above_the_target_while_waits_are_far_above_the_baseline() -> None:
    meter = LoadMeter()
    load_after(meter, 0.2, 20)
    assert load_after(meter, 0.9, 10) > 1.0
    assert meter.congested
    assert load_after(meter, 0.2, 20) < 1.0


def test_the_baseline_does_not_rise_under_load() -> None:
    meter = LoadMeter()
    load_after(meter, 0.2, 20)
    before = meter.baseline
    load_after(meter, 0.9, 50, may_raise_baseline=False)
    assert meter.baseline == before


def test_unobserved_load_decays() -> None:
    meter = LoadMeter()
    load_after(meter, 0.2, 20)
    load_after(meter, 0.9, 20)
    loads = [meter.close_period(False) for _ in range(100)]
    assert loads[0] > 1.0
    assert loads[-1] <= 1.0


def test_rejections_as_full_raise_the_load_immediately() -> None:
    meter = LoadMeter()
    for full in (True, False, False, False):
        meter.record_outcome(full)
    assert meter.close_period(True) > 1.0
    assert meter.close_period(True) == 0.0


def test_a_further_step_requires_enough_new_outcomes() -> None:
    meter = LoadMeter()
    load_after(meter, 0.2, 8)
    assert meter.may_move_right()
    assert not meter.may_move_right()
    for _ in range(int(OUTCOMES_FOR_HALF_WEIGHT)):
        meter.record_wait(0.3)
    assert meter.may_move_right()
