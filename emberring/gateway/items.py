"""Batch items as calls: the request to the server, the forwarding of events, the outcome."""

from __future__ import annotations

from collections.abc import Callable

from emberring.admission.attempts import NEVER_SENT, NOT_EXECUTED
from emberring.admission.types import CallOutcome
from emberring.errors import BadRequestError
from emberring.gateway.attempt import AttemptResult
from emberring.gateway.events import Event
from emberring.gateway.messages import CONNECTION_HEADERS, ClientRequest, ResponseHead
from emberring.jobs.item_text import invalid_item_texts
from emberring.jobs.items import ItemCall, ItemEvent, OutcomeKind

UNPROCESSABLE_STATUS = 422
EXECUTION_FAILED_STATUS = 500

_HEADERS_NOT_TAKEN = CONNECTION_HEADERS | {b"request-id", b"host", b"content-length", b"expect"}
_NOT_RUN_OUTCOMES = NOT_EXECUTED | NEVER_SENT


def item_request(item: ItemCall, now_s: float) -> ClientRequest:
    """Return the request of an item: a `POST` of its body with its headers, and its id as `Request-Id`.

    Headers that frame a message or concern one connection are not taken from the item.

    Raises:
        BadRequestError: a text of the item can't be written into a request.
    """
    invalid = invalid_item_texts(item.id, item.path, item.headers)
    if invalid:
        raise BadRequestError(f"item {item.id!r}: {', '.join(invalid)}")
    headers = [
        (name.lower().encode("ascii"), value.encode("latin-1"))
        for name, value in item.headers
        if name.lower().encode("ascii") not in _HEADERS_NOT_TAKEN
    ]
    headers.append((b"request-id", item.id.encode("latin-1")))
    return ClientRequest(
        method=b"POST",
        target=item.path.encode("ascii"),
        host=item.host,
        headers=tuple(headers),
        body=item.body,
        arrived_s=now_s,
    )


def item_outcome(result: AttemptResult) -> OutcomeKind:
    """Return the outcome of an item for the result of its attempt."""
    if result.outcome in _NOT_RUN_OUTCOMES:
        return OutcomeKind.NOT_RUN
    status = result.head.status if result.head else 0
    if status == UNPROCESSABLE_STATUS:
        return OutcomeKind.IMPOSSIBLE_422
    if status == EXECUTION_FAILED_STATUS:
        return OutcomeKind.FAILED_500
    if result.outcome is CallOutcome.COMPLETED and result.head is None:
        return OutcomeKind.COMPLETED
    return OutcomeKind.BROKEN


def declines_item(result: AttemptResult) -> bool:
    """Return whether the server could run other items, but not this one, at least for now.

    That is so after a 421 of the server itself and after a complete response with another status that a client can
    cause, such as 404. Servers' failures are not such statuses.
    """
    if result.outcome is CallOutcome.COMPLETED:
        return item_outcome(result) is OutcomeKind.BROKEN
    return result.outcome is CallOutcome.DECLINED


class ItemReceiver:
    """Forwards the events of an item as they arrive."""

    def __init__(self, on_events: Callable[[list[ItemEvent]], None]) -> None:
        self._on_events = on_events
        self._started = False

    @property
    def started(self) -> bool:
        """Whether events were received."""
        return self._started

    async def events(self, head: ResponseHead, events: list[Event]) -> None:
        """Forward complete events; those without an id have no text of the item and are skipped."""
        self._started = True
        item_events = [
            ItemEvent(event.id, event.data.decode("utf-8", "replace"))
            for event in events
            if event.id is not None
        ]
        if item_events:
            self._on_events(item_events)

    async def body_chunk(self, head: ResponseHead, data: bytes) -> None:
        """Ignore a part of a response that is not a stream, because it has no events."""

    async def end(self, head: ResponseHead, data: bytes) -> None:
        """Do nothing: all events have already been forwarded."""
