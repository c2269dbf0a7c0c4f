"""Making a failing schedule short: the same search for every simulator."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any, Protocol, TypeVar

import attrs


class Judged(Protocol):
    """What came of a schedule: `mistakes` is empty where nothing was wrong."""

    @property
    def mistakes(self) -> Sequence[str]:
        """What was wrong."""


class JudgedSchedule(Judged, Protocol):
    """A verdict with its schedule, whose `steps` may be fewer."""

    @property
    def schedule(self) -> Any:
        """What was played."""


Step = TypeVar("Step")
Verdict = TypeVar("Verdict", bound=Judged)
OfSchedule = TypeVar("OfSchedule", bound=JudgedSchedule)


def shortened(verdict: OfSchedule, play: Callable[[Any], OfSchedule]) -> OfSchedule:
    """The verdict of a schedule that fails with as few of this one's steps as leaving them out one by one gives."""
    return fewest_steps(
        verdict, verdict.schedule.steps, lambda steps: play(attrs.evolve(verdict.schedule, steps=steps))
    )


def fewest_steps(
    verdict: Verdict, steps: Sequence[Step], replay: Callable[[tuple[Step, ...]], Verdict]
) -> Verdict:
    """The verdict of a schedule that fails with as few of these steps as leaving them out one by one gives.
    `replay` plays a schedule of other steps."""
    best, kept = verdict, tuple(steps)
    shorter = True
    while shorter:
        shorter = False
        for index in range(len(kept) - 1, -1, -1):
            fewer = kept[:index] + kept[index + 1 :]
            trial = replay(fewer)
            if trial.mistakes:
                best, kept, shorter = trial, fewer, True
    return best
