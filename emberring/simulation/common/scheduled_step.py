"""What happens in a simulator's schedule, of whatever kinds."""

from __future__ import annotations

from enum import Enum
from typing import Generic, TypeVar

import attrs

KindOfStep = TypeVar("KindOfStep", bound=Enum)


@attrs.frozen
class ScheduledStep(Generic[KindOfStep]):
    """Something that happens at a time (s). `slot` picks the machine among those that there are; `lasts_s` is how
    long it goes on, or until the machine comes back."""

    at_s: float
    kind: KindOfStep
    slot: int = 0
    lasts_s: float = 0.0

    def __str__(self) -> str:
        return f"{self.at_s:6.3f} s  {self.kind.value:<20} machine {self.slot}  for {self.lasts_s:.3f} s"
