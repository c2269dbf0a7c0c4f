"""Interface between the runner of items and the code that sends them to servers."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Protocol

import attrs

from emberring.configuration.model import Route


@attrs.frozen
class ItemEvent:
    """A complete event of an item's response. Ids are ascending; the lines of `data` are joined by line feeds."""

    id: int
    data: str


@attrs.frozen
class ItemCall:
    """A single execution of an item.

    `headers` are those of the item, with names as submitted; `resume_after` is the id of the last event
    already received (None for a run from the start); `due_s` is when the item is due, by the clock of the
    event loop. `still_allowed()` is called right before bytes are sent: if it returns False, the run was
    stopped or its lease has expired, and nothing may be sent.
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
    """Outcome of a run.

    `NOT_RUN`: no server started the item. `BROKEN`: a server may have started it, but its response is incomplete.
    """

    COMPLETED = "completed"
    FAILED_500 = "failed_500"
    IMPOSSIBLE_422 = "impossible_422"
    NOT_RUN = "not_run"
    BROKEN = "broken"


@attrs.frozen
class ItemOutcome:
    """Outcome of a run; `on_events` has received its events before.

    `service` is the one that was chosen for the run; None if there was none. `declined`: the server could run other
    items, but not this one, at least for now.
    """

    kind: OutcomeKind
    service: str | None = None
    declined: bool = False


class ItemExecutor(Protocol):
    """Sends items to servers, subject to the admission of batch traffic."""

    def batch_capacity(self) -> dict[str, int]:
        """Return how many more items may be started now, by each service that has servers."""

    async def run_item(self, item: ItemCall, on_events: Callable[[list[ItemEvent]], None]) -> ItemOutcome:
        """Execute an item once. `on_events` receives each event once, in order, when it is complete."""
