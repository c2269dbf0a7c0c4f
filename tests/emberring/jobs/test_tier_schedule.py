"""The order in which waiting items run."""

from __future__ import annotations

import pytest

from emberring.jobs.schedule import MAX_RUN_ESTIMATE_S, MIN_RUN_ESTIMATE_S, QueuedItem, Schedule


def entry(name: str, due_s: float, expires_s: float = 100.0) -> QueuedItem:
    return QueuedItem(due_s, expires_s, name, 0)


def order(schedule: Schedule, now_s: float) -> list[str]:
    found = []
    while (one := schedule.pop(now_s)) is not None:
        found.append(one.key)
    return found


def learnt(run_estimate_s: float) -> Schedule:
    schedule = Schedule()
    for _ in range(200):
        schedule.record_run(run_estimate_s)
    return schedule


@pytest.mark.parametrize(
    ("run_estimate_s", "entries", "wanted"),
    [
        (0.1, [entry("b", 9.0), entry("a", 8.0)], ["a", "b"]),  # due first, first
        (2.0, [entry("late", 1.5), entry("a", 8.0)], ["a", "late"]),  # can't be done in time any more
        (1.0, [entry("soon", 1.5), entry("a", 8.0)], ["soon", "a"]),  # it can
        (0.1, [entry("late", MIN_RUN_ESTIMATE_S / 2), entry("a", 8.0)], ["a", "late"]),
        (
            60.0,
            [entry("a", MAX_RUN_ESTIMATE_S + 0.1), entry("b", 50.0)],
            ["a", "b"],
        ),  # one slow run turns nothing over
        (
            2.0,
            [entry("late", 0.5, 90.0), entry("later", 0.6, 80.0)],
            ["later", "late"],
        ),  # expired first, first
        (2.0, [entry("late", 0.5, 2.0), entry("a", 8.0)], ["late", "a"]),  # about to be expired: before all
    ],
)
def test_order(run_estimate_s: float, entries: list[QueuedItem], wanted: list[str]) -> None:
    schedule = learnt(run_estimate_s)
    for one in entries:
        schedule.add(one)
    assert len(schedule) == len(entries)
    assert order(schedule, 0.0) == wanted


def test_more_than_can_be_done_still_gets_some_done_in_time() -> None:
    """One place, runs of 1 s, twice as many items as fit: half of them are in time, not none."""
    schedule = learnt(1.0)
    in_time = 0
    for second in range(40):
        for number in range(2):
            schedule.add(entry(f"{second}-{number}", second + 6.0))
        one = schedule.pop(float(second))
        assert one is not None
        in_time += one.due_s >= second + 1.0
    assert in_time >= 38
