"""A step of a fault schedule, generic in the kinds of steps of a simulator."""

from __future__ import annotations

from enum import Enum
from typing import Generic, TypeVar

import attrs

KindOfStep = TypeVar("KindOfStep", bound=Enum)


@attrs.frozen
class ScheduledStep(Generic[KindOfStep]):
    """One step of a schedule.

    Attributes:
        at_s: the time of the step, in seconds from the start of the fault period.
        kind: the kind of fault or client action.
        slot: index of the affected machine among the present ones, modulo their number.
        duration_s: how long the fault lasts, or until the machine restarts, in seconds.
    """

    at_s: float
    kind: KindOfStep
    slot: int = 0
    duration_s: float = 0.0

    def __str__(self) -> str:
        """Return the line that reports print for this step."""
        return f"{self.at_s:6.3f} s  {self.kind.value:<20} machine {self.slot}  for {self.duration_s:.3f} s"
