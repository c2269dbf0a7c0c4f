"""Worst-case schedules of the control plane have no violations, with and without spare control nodes."""

from __future__ import annotations

import pytest
from control_worst_days import WORST_DAYS, worst_case_schedule

from emberring.simulation.control_plane.simulator import play


@pytest.mark.parametrize("spares", [0, 2])
@pytest.mark.parametrize("name", WORST_DAYS)
def test_a_worst_day(name: str, spares: int) -> None:
    verdict = play(worst_case_schedule(name, 7, spares))
    assert verdict.violations == ()
    assert verdict.acknowledged >= 5
