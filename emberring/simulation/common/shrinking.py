"""Shrinking a failing schedule to few steps; one algorithm for all simulators."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any, Protocol, TypeVar

import attrs


class Judged(Protocol):
    """The verdict on a schedule."""

    @property
    def violations(self) -> Sequence[str]:
        """The violated invariants; empty where there were none."""


class JudgedSchedule(Judged, Protocol):
    """A verdict with its schedule, an `attrs` class with a field `steps`."""

    @property
    def schedule(self) -> Any:
        """The schedule that was played; every simulator has a class of its own."""


Step = TypeVar("Step")
Verdict = TypeVar("Verdict", bound=Judged)
OfSchedule = TypeVar("OfSchedule", bound=JudgedSchedule)


def shortened(verdict: OfSchedule, play: Callable[[Any], OfSchedule]) -> OfSchedule:
    """Return the verdict of a schedule that still fails, with as few steps as leaving out one by one gives.

    `play` plays a schedule.
    """
    return fewest_steps(
        verdict, verdict.schedule.steps, lambda steps: play(attrs.evolve(verdict.schedule, steps=steps))
    )


def fewest_steps(
    verdict: Verdict, steps: Sequence[Step], replay: Callable[[tuple[Step, ...]], Verdict]
) -> Verdict:
    """Return the verdict of a schedule that still fails, with as few of `steps` as leaving out one by one gives.

    `replay` plays a schedule with other steps.
    """
    best, kept = verdict, tuple(steps)
    shorter = True
    while shorter:
        shorter = False
        for index in range(len(kept) - 1, -1, -1):
            fewer = kept[:index] + kept[index + 1 :]
            trial = replay(fewer)
            if trial.violations:
                best, kept, shorter = trial, fewer, True
    return best
