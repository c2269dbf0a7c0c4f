"""What one item of a batch job is to the program that runs it: the call, its events, how the run ended."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Protocol

import attrs

from emberring.configuration.model import Route


@attrs.frozen
class ItemEvent:
    """One whole event of an item's answer: its ascending id and its data (lines joined by line feeds)."""

    id: int
    data: str


@attrs.frozen
class ItemCall:
    """One item to be run once. `headers` are the item's own, names as submitted; `resume_after` is the id of the
    last event already held (None for a run from the start); `due_s` is the loop's time by which the item is
    due. `still_allowed()` is asked right before bytes are sent: False means that nothing may be sent any more."""

    id: str
    host: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    resume_after: int | None
    tokens: int
    route: Route
    due_s: float
    still_allowed: Callable[[], bool]


class OutcomeKind(Enum):
    """How a run ended. `NOT_RUN`: no server began it. `BROKEN`: it may have begun and did not end whole."""

    COMPLETED = "completed"
    FAILED_500 = "failed_500"
    IMPOSSIBLE_422 = "impossible_422"
    NOT_RUN = "not_run"
    BROKEN = "broken"


@attrs.frozen
class ItemOutcome:
    """How a run ended; the events themselves were handed to `on_events` before."""

    kind: OutcomeKind


class ItemExecutor(Protocol):
    """Runs items against the servers under the admission of the batch row."""

    def batch_room(self) -> int:
        """How many more items may be begun now."""

    async def run_item(self, item: ItemCall, on_events: Callable[[list[ItemEvent]], None]) -> ItemOutcome:
        """Run an item once. Each event is handed over once, in order, after it arrived whole."""
