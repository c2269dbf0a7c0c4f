"""A step of a fault schedule, of any simulator's kinds."""

from __future__ import annotations

from enum import Enum
from typing import Generic, TypeVar

import attrs

KindOfStep = TypeVar("KindOfStep", bound=Enum)


@attrs.frozen
class ScheduledStep(Generic[KindOfStep]):
    """One step of a schedule.

    Attributes:
        at_s: when it happens, in seconds from the start of the faults.
        kind: what happens.
        slot: picks a machine among those that exist, modulo their number.
        lasts_s: how long it goes on, or until the machine is back, in seconds.
    """

    at_s: float
    kind: KindOfStep
    slot: int = 0
    lasts_s: float = 0.0

    def __str__(self) -> str:
        """Return the line that reports show."""
        return f"{self.at_s:6.3f} s  {self.kind.value:<20} machine {self.slot}  for {self.lasts_s:.3f} s"
