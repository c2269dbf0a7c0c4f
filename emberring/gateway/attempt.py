"""One attempt: sends a call to one server, forwards the response as it arrives, and notifies admission of each step."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

import attrs

from emberring.admission.attempts import NOT_EXECUTED
from emberring.admission.types import CallOutcome
from emberring.distribution.records import ServerRecord
from emberring.gateway.connection_pool import ConnectionPool, ConnectionUnavailable
from emberring.gateway.events import Event, EventParser
from emberring.gateway.messages import ClientRequest, ResponseHead, render_request
from emberring.gateway.ports import AdmissionPort
from emberring.gateway.response import PendingResponse, ResponseTimeouts, ServerActivity
from emberring.gateway.responses import ResponseClass, classify_response, failure_outcome
from emberring.gateway.upstream import ServerConnection

BUFFERED_BODY_BYTES = 256 * 1024  # a longer response without a stream is forwarded and cannot be retried
SILENT_AFTER_S = 0.9  # without data before the call was cancelled; then the server counts as unresponsive
MAX_FAILURE_BYTES = 256 * 1024  # largest body of a failure response that is forwarded


def always_allowed() -> bool:
    """Return True; the default for live requests, which have no further condition."""
    return True


class Receiver(Protocol):
    """The destination of a response. Each method returns when the receiver can accept more data."""

    @property
    def started(self) -> bool:
        """Whether a part of a response has been forwarded, so that another response is no longer possible."""

    async def events(self, head: ResponseHead, events: list[Event]) -> None:
        """Forward complete events of a stream; only the head of the first call is used."""

    async def body_chunk(self, head: ResponseHead, data: bytes) -> None:
        """Forward a part of a body that is too long to be buffered."""

    async def end(self, head: ResponseHead, data: bytes) -> None:
        """Forward the rest of a success, or all of it if nothing was forwarded before."""


@attrs.define(eq=False)
class UpstreamCall:
    """A request and its state over all attempts.

    Args:
        idempotent: whether the request may be executed more than once.
        deadline_s: deadline of the call (the event loop's time).
        send_deadline: whether the remaining time is sent to the server as `Deadline-Ms`.
        stream_only: whether a successful response must be an event stream.
        allowed: returns whether the call may still be sent; called immediately before it is sent.
        last_event_id: id of the last forwarded event, or the client's `Last-Event-Id`; None without either.
        ends_at_event: whether nothing was forwarded after the event with that id, comments apart.
        resumed: whether the next event must have the id that follows `last_event_id`.
        possibly_sent: whether a server may have received a byte of the request and has not guaranteed that it did
            not execute it.
    """

    id: str
    request: ClientRequest
    idempotent: bool
    deadline_s: float
    send_deadline: bool = True
    stream_only: bool = False
    allowed: Callable[[], bool] = always_allowed
    last_event_id: int | None = None
    ends_at_event: bool = True
    resumed: bool = False
    possibly_sent: bool = False

    @property
    def continuable(self) -> bool:
        """Whether another server can continue the response after what was forwarded."""
        return self.last_event_id is not None and self.ends_at_event

    def accept_event(self, event: Event) -> bool:
        """Record the id of an event; return False, without recording, if the event is out of order."""
        if event.id is None:
            self.ends_at_event = self.ends_at_event and event.is_comment
            return True
        last = self.last_event_id
        if last is not None and (event.id <= last or (self.resumed and event.id != last + 1)):
            return False
        self.last_event_id = event.id
        self.ends_at_event = True
        self.resumed = False
        return True


@attrs.frozen
class AttemptResult:
    """How an attempt ended; `head` and `body` are those of a response that was not forwarded."""

    outcome: CallOutcome
    head: ResponseHead | None = None
    body: bytes = b""


@attrs.frozen
class AttemptContext:
    """The objects that all attempts of this process share."""

    pool: ConnectionPool
    admission: AdmissionPort
    activity: ServerActivity
    routable: Callable[[str], ServerRecord | None]


class Attempt:
    """One request sent to one server."""

    def __init__(
        self,
        context: AttemptContext,
        call: UpstreamCall,
        server: ServerRecord,
        receiver: Receiver,
        timeouts: ResponseTimeouts | None,
    ) -> None:
        self._context = context
        self._call = call
        self._server = server
        self._receiver = receiver
        self._timeouts = timeouts
        self._loop = asyncio.get_running_loop()
        self._connection: ServerConnection | None = None
        self._response: PendingResponse | None = None

    async def run(self) -> AttemptResult:
        """Send the request and forward the response; the connection and the slot are always released at the end."""
        outcome = CallOutcome.CANCELLED
        try:
            result = await self._run()
            outcome = result.outcome
            return result
        finally:
            self._release(outcome)

    async def _run(self) -> AttemptResult:
        server, call = self._server, self._call
        connection = await self._context.pool.acquire(
            server.id, server.address, call.request.request_id, verify=not call.idempotent
        )
        if isinstance(connection, ConnectionUnavailable):
            unreachable = connection is ConnectionUnavailable.UNREACHABLE
            return AttemptResult(CallOutcome.CONNECT_FAILED if unreachable else CallOutcome.NOT_SENT)
        if self._context.routable(server.id) is None or not call.allowed():
            self._context.pool.release(server.id, connection)
            return AttemptResult(CallOutcome.NOT_SENT)
        self._connection = connection
        response = self._send(connection)
        if response is None:
            return AttemptResult(CallOutcome.CONNECT_FAILED)
        head = await response.wait_for_head()
        if head is None:
            return AttemptResult(self._failure())
        return await self._forward_response(response, head)

    def _send(self, connection: ServerConnection) -> PendingResponse | None:
        """Send the request; return None if the connection was closed before a byte was sent."""
        call = self._call
        now_s = self._loop.time()
        remaining_ms = int((call.deadline_s - now_s) * 1000) if call.send_deadline else None
        data = render_request(call.request, self._server.id, remaining_ms, call.last_event_id)
        response = PendingResponse(connection, self._server.id, self._context.activity)
        self._response = response
        connection.start(data, call.request.request_id, call.request.method == b"HEAD", response)
        if not connection.possibly_sent:
            return None
        call.possibly_sent = True
        response.set_timeouts(self._timeouts)
        self._context.admission.started(now_s, call.id, self._server.id)
        return response

    async def _forward_response(self, response: PendingResponse, head: ResponseHead) -> AttemptResult:
        response_class = classify_response(head)
        if response_class is ResponseClass.INVALID:
            return AttemptResult(CallOutcome.BROKEN)
        if response_class is ResponseClass.FORWARD and 200 <= head.status < 300:
            if head.is_event_stream:
                return await self._forward_stream(response, head)
            # A stream can only be continued by another stream.
            if self._receiver.started or self._call.stream_only:
                return AttemptResult(CallOutcome.BROKEN)
            return await self._forward_body(response, head)
        return await self._collect_failure(
            response, head, failure_outcome(response_class, head, self._server.id)
        )

    async def _forward_stream(self, response: PendingResponse, head: ResponseHead) -> AttemptResult:
        parser = EventParser()
        received_event = False
        while True:
            finished = response.finished
            events = parser.feed(response.read_buffered())
            if events:
                self._record_events(first=not received_event)
                received_event = True
            valid = self._events_in_order(events)
            if valid:
                await self._receiver.events(head, valid)
            if len(valid) < len(events) or parser.too_long:
                return AttemptResult(CallOutcome.BROKEN)
            if not finished:
                if not response.finished and not response.buffered_bytes:
                    await response.wait_for_change()
            elif response.completed:
                await self._receiver.end(head, parser.rest())
                return AttemptResult(CallOutcome.COMPLETED)
            else:
                return AttemptResult(self._failure())

    def _record_events(self, first: bool) -> None:
        admission = self._context.admission
        record = admission.first_event if first else admission.progress
        record(self._loop.time(), self._call.id)

    def _events_in_order(self, events: list[Event]) -> list[Event]:
        """Return the events before the first one that is out of order."""
        for index, event in enumerate(events):
            if not self._call.accept_event(event):
                return events[:index]
        return events

    async def _forward_body(self, response: PendingResponse, head: ResponseHead) -> AttemptResult:
        self._context.admission.first_event(self._loop.time(), self._call.id)
        buffered = b""
        while True:
            finished = response.finished
            buffered += response.read_buffered()
            if finished and response.completed:
                await self._receiver.end(head, buffered)
                return AttemptResult(CallOutcome.COMPLETED)
            if finished:
                return AttemptResult(self._failure())
            if len(buffered) > BUFFERED_BODY_BYTES or (self._receiver.started and buffered):
                # Guard: a stream joined to a body of another kind, after the `Last-Event-Id` of the client.
                self._call.ends_at_event = False
                await self._receiver.body_chunk(head, buffered)
                buffered = b""
            if not response.finished and not response.buffered_bytes:
                await response.wait_for_change()

    async def _collect_failure(
        self, response: PendingResponse, head: ResponseHead, outcome: CallOutcome
    ) -> AttemptResult:
        body = b""
        while True:
            finished = response.finished
            body += response.read_buffered()
            if finished and response.completed:
                return AttemptResult(outcome, head, body)
            if finished or len(body) > MAX_FAILURE_BYTES:
                guaranteed = outcome in NOT_EXECUTED
                return AttemptResult(outcome, head) if guaranteed else AttemptResult(self._failure())
            if not response.finished and not response.buffered_bytes:
                await response.wait_for_change()

    def _server_was_unresponsive(self, response: PendingResponse, now_s: float) -> bool:
        """Return whether the server has sent nothing on any connection for at least `SILENT_AFTER_S`."""
        last_received_s = self._context.activity.last_received_s(self._server.id)
        return (
            not response.received_any
            and last_received_s <= response.last_received_s
            and now_s - response.last_received_s >= SILENT_AFTER_S
        )

    def _failure(self) -> CallOutcome:
        silent = self._response is not None and self._response.timed_out
        return CallOutcome.SILENT if silent else CallOutcome.BROKEN

    def _release(self, outcome: CallOutcome) -> None:
        response, connection = self._response, self._connection
        if connection is not None:
            if response is not None:
                response.close()
            if response is not None and response.completed:
                self._context.pool.release(self._server.id, connection)
            else:
                connection.abort()
        now_s = self._loop.time()
        if (
            outcome is CallOutcome.CANCELLED
            and response is not None
            and self._server_was_unresponsive(response, now_s)
        ):
            outcome = CallOutcome.SILENT
        if outcome in NOT_EXECUTED or outcome is CallOutcome.CONNECT_FAILED:
            self._call.possibly_sent = False
        self._context.admission.finished(now_s, self._call.id, outcome)
