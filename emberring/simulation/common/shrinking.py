"""Shrinks a failing schedule to a minimal number of steps; shared by all simulators."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any, Protocol, TypeVar

import attrs


class HasViolations(Protocol):
    """A verdict that lists violated invariants."""

    @property
    def violations(self) -> Sequence[str]:
        """The violated invariants; empty if there were none."""


class ScheduleVerdict(HasViolations, Protocol):
    """A verdict with its schedule, an `attrs` class with a field `steps`."""

    @property
    def schedule(self) -> Any:
        """The schedule that was run; each simulator has its own class."""


Step = TypeVar("Step")
Verdict = TypeVar("Verdict", bound=HasViolations)
VerdictWithSchedule = TypeVar("VerdictWithSchedule", bound=ScheduleVerdict)


def shrink_schedule(
    verdict: VerdictWithSchedule, play: Callable[[Any], VerdictWithSchedule]
) -> VerdictWithSchedule:
    """Remove steps of the schedule one by one as long as it still fails, and return the verdict of the shortest one.

    `play` runs a schedule.
    """
    return shrink_steps(
        verdict, verdict.schedule.steps, lambda steps: play(attrs.evolve(verdict.schedule, steps=steps))
    )


def shrink_steps(
    verdict: Verdict, steps: Sequence[Step], replay: Callable[[tuple[Step, ...]], Verdict]
) -> Verdict:
    """Remove `steps` one by one as long as the schedule still fails, and return the verdict of the shortest one.

    `replay` runs the schedule with the given steps.
    """
    best, remaining = verdict, tuple(steps)
    improved = True
    while improved:
        improved = False
        for index in range(len(remaining) - 1, -1, -1):
            fewer = remaining[:index] + remaining[index + 1 :]
            trial = replay(fewer)
            if trial.violations:
                best, remaining, improved = trial, fewer, True
    return best
