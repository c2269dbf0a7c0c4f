"""Order in which waiting items run."""

from __future__ import annotations

import pytest

from emberring.jobs.schedule import MAX_RUN_ESTIMATE_S, MIN_RUN_ESTIMATE_S, QueuedItem, RunEstimate, Schedule


def entry(name: str, due_s: float, expires_s: float = 100.0) -> QueuedItem:
    return QueuedItem(due_s, expires_s, name, 0)


def pop_all(schedule: Schedule, now_s: float) -> list[str]:
    keys = []
    while (item := schedule.pop(now_s)) is not None:
        keys.append(item.key)
    return keys


def schedule_with_estimate(run_estimate_s: float) -> Schedule:
    estimate = RunEstimate()
    for _ in range(200):
        estimate.record_run(run_estimate_s)
    return Schedule(estimate)


@pytest.mark.parametrize(
    ("run_estimate_s", "entries", "expected"),
    [
        # In the order of their due times.
        (0.1, [entry("b", 9.0), entry("a", 8.0)], ["a", "b"]),
        # The late item can't be completed in time any more.
        (2.0, [entry("late", 1.5), entry("a", 8.0)], ["a", "late"]),
        # The first item can still be completed in time.
        (1.0, [entry("soon", 1.5), entry("a", 8.0)], ["soon", "a"]),
        (0.1, [entry("late", MIN_RUN_ESTIMATE_S / 2), entry("a", 8.0)], ["a", "late"]),
        # The estimate is bounded: slow runs do not make all items late.
        (60.0, [entry("a", MAX_RUN_ESTIMATE_S + 0.1), entry("b", 50.0)], ["a", "b"]),
        # Late items run in the order in which they expire.
        (2.0, [entry("late", 0.5, 90.0), entry("later", 0.6, 80.0)], ["later", "late"]),
        # A late item that is about to expire precedes all others.
        (2.0, [entry("late", 0.5, 2.0), entry("a", 8.0)], ["late", "a"]),
    ],
)
def test_order(run_estimate_s: float, entries: list[QueuedItem], expected: list[str]) -> None:
    schedule = schedule_with_estimate(run_estimate_s)
    for item in entries:
        schedule.add(item)
    assert len(schedule) == len(entries)
    assert pop_all(schedule, 0.0) == expected


def test_under_overload_as_many_items_as_possible_run_in_time() -> None:
    """One server, runs of 1 s and two new items per second: half of the items run in time, instead of none."""
    schedule = schedule_with_estimate(1.0)
    run_in_time = 0
    for second in range(40):
        for number in range(2):
            schedule.add(entry(f"{second}-{number}", second + 6.0))
        item = schedule.pop(float(second))
        assert item is not None
        run_in_time += item.due_s >= second + 1.0
    assert run_in_time >= 38
