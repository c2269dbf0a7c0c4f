"""Interface between the runner of items and the program that executes them."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Protocol

import attrs

from emberring.configuration.model import Route


@attrs.frozen
class ItemEvent:
    """One complete event of an item's response: its ascending id and its data (lines joined by line feeds)."""

    id: int
    data: str


@attrs.frozen
class ItemCall:
    """One item to be executed once.

    `headers` are the item's own, names as submitted; `resume_after` is the id of the last event already
    received (None for a run from the start); `due_s` is the event loop's time by which the item is due.
    `still_allowed()` is called right before bytes are sent: False means that nothing may be sent any
    more.
    """

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
    """Outcome of a run. `NOT_RUN`: no server started it. `BROKEN`: it may have started and is incomplete."""

    COMPLETED = "completed"
    FAILED_500 = "failed_500"
    IMPOSSIBLE_422 = "impossible_422"
    NOT_RUN = "not_run"
    BROKEN = "broken"


@attrs.frozen
class ItemOutcome:
    """Outcome of a run; its events were passed to `on_events` before."""

    kind: OutcomeKind


class ItemExecutor(Protocol):
    """Executes items at the servers under the admission of batch traffic."""

    def batch_room(self) -> int:
        """Return how many more items may be started now."""

    async def run_item(self, item: ItemCall, on_events: Callable[[list[ItemEvent]], None]) -> ItemOutcome:
        """Execute an item once. Each event is passed on once, in order, after it has arrived completely."""
