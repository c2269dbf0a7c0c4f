"""One attempt: a call sent to one server, its answer handed on as it comes, admission told of each step."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

import attrs

from emberring.admission.types import CallOutcome
from emberring.distribution.records import ServerRecord
from emberring.gateway.connection_pool import ConnectionPool, ConnectionUnavailable
from emberring.gateway.events import Event, EventParser
from emberring.gateway.messages import ClientRequest, ResponseHead, render_request
from emberring.gateway.ports import AdmissionPort
from emberring.gateway.response import PendingResponse, ResponseTimeouts, ServerActivity
from emberring.gateway.responses import OUTCOME_BY_CLASS, ResponseClass, classify_response
from emberring.gateway.upstream import ServerConnection

BUFFERED_BODY_BYTES = 256 * 1024  # of an answer that is no stream, until which it can still be asked for anew
SILENT_AFTER_S = 0.9  # a server that said nothing for so long before the caller left counts as silent
MAX_FAILURE_BYTES = 256 * 1024


def always_allowed() -> bool:
    """A live request may be sent as long as its server may get something."""
    return True


class Receiver(Protocol):
    """Where a success goes. Each call returns once the receiver can take more."""

    @property
    def started(self) -> bool:
        """Whether a part of an answer has been given on, so that no other answer may follow."""

    async def events(self, head: ResponseHead, events: list[Event]) -> None:
        """Whole events of a stream; the first call carries the head that stays."""

    async def body_chunk(self, head: ResponseHead, data: bytes) -> None:
        """A part of a body that is too long to be buffered."""

    async def end(self, head: ResponseHead, data: bytes) -> None:
        """The rest of the answer, which is whole with it; all of it where nothing was given on before."""


@attrs.define(eq=False)
class UpstreamCall:
    """A request on its way through attempts. `end_s` is when it is given up (the loop's time)."""

    id: str
    request: ClientRequest
    idempotent: bool
    deadline_s: float
    send_deadline: bool = True
    stream_only: bool = False  # an answer that is no stream is none
    allowed: Callable[[], bool] = always_allowed
    last_event_id: int | None = None
    resumed: bool = False
    possibly_sent: bool = False  # a byte of it may be at a server now that has not promised anything

    def accept_event(self, event: Event) -> bool:
        """Take note of an event's id; False where it can't be the next one."""
        if event.id is None:
            return True
        last = self.last_event_id
        if last is not None and (event.id <= last or (self.resumed and event.id != last + 1)):
            return False
        self.last_event_id = event.id
        self.resumed = False
        return True


@attrs.frozen
class AttemptResult:
    """How an attempt ended; `head` and `body` are of a whole answer that was not handed on."""

    outcome: CallOutcome
    head: ResponseHead | None = None
    body: bytes = b""


@attrs.frozen
class AttemptContext:
    """What every attempt of this process uses."""

    pool: ConnectionPool
    admission: AdmissionPort
    activity: ServerActivity
    routable: Callable[[str], ServerRecord | None]


class Attempt:
    """One send to one server."""

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
        """Send and hand on; the connection and admission's count are given back however it ends."""
        outcome = CallOutcome.CANCELLED
        try:
            ended = await self._run()
            outcome = ended.outcome
            return ended
        finally:
            self._release(outcome)

    async def _run(self) -> AttemptResult:
        server, call = self._server, self._call
        taken = await self._context.pool.acquire(
            server.id, server.address, call.request.request_id, verify=not call.idempotent
        )
        if isinstance(taken, ConnectionUnavailable):
            unreachable = taken is ConnectionUnavailable.UNREACHABLE
            return AttemptResult(CallOutcome.CONNECT_FAILED if unreachable else CallOutcome.NOT_SENT)
        if self._context.routable(server.id) is None or not call.allowed():
            self._context.pool.release(server.id, taken)
            return AttemptResult(CallOutcome.NOT_SENT)
        self._connection = taken
        if not self._send(taken):
            return AttemptResult(CallOutcome.CONNECT_FAILED)
        assert self._response is not None
        head = await self._response.wait_for_head()
        if head is None:
            return AttemptResult(self._failure())
        return await self._forward_answer(self._response, head)

    def _send(self, connection: ServerConnection) -> bool:
        call = self._call
        now_s = self._loop.time()
        remaining_ms = int((call.deadline_s - now_s) * 1000) if call.send_deadline else None
        data = render_request(call.request, self._server.id, remaining_ms, call.last_event_id)
        self._response = PendingResponse(connection, self._server.id, self._context.activity)
        connection.start(data, call.request.request_id, call.request.method == b"HEAD", self._response)
        if not connection.possibly_sent:
            return False
        call.possibly_sent = True
        self._response.set_timeouts(self._timeouts)
        self._context.admission.started(now_s, call.id, self._server.id)
        return True

    async def _forward_answer(self, response: PendingResponse, head: ResponseHead) -> AttemptResult:
        response_class = classify_response(head)
        if response_class is ResponseClass.INVALID:
            return AttemptResult(CallOutcome.BROKEN)
        if response_class is ResponseClass.FORWARD and 200 <= head.status < 300:
            if head.is_event_stream:
                return await self._forward_stream(response, head)
            if (
                self._receiver.started or self._call.stream_only
            ):  # what goes on with a stream must be a stream
                return AttemptResult(CallOutcome.BROKEN)
            return await self._forward_body(response, head)
        return await self._collect_failure(response, head, OUTCOME_BY_CLASS[response_class])

    async def _forward_stream(self, response: PendingResponse, head: ResponseHead) -> AttemptResult:
        parser = EventParser()
        received_first = False
        while True:
            finished = response.finished
            events = parser.feed(response.take())
            if events:
                tell = (
                    self._context.admission.progress
                    if received_first
                    else self._context.admission.first_event
                )
                tell(self._loop.time(), self._call.id)
                received_first = True
            good = self._consecutive(events)
            if good:
                await self._receiver.events(head, good)
            if len(good) < len(events) or parser.too_long:
                return AttemptResult(CallOutcome.BROKEN)
            if not finished:
                if not response.finished and not response.buffered_bytes:
                    await response.wait_for_change()
            elif response.completed:
                await self._receiver.end(head, parser.rest())
                return AttemptResult(CallOutcome.COMPLETED)
            else:
                return AttemptResult(self._failure())

    def _consecutive(self, events: list[Event]) -> list[Event]:
        """The events up to the first that can't follow the one before it."""
        for at, event in enumerate(events):
            if not self._call.accept_event(event):
                return events[:at]
        return events

    async def _forward_body(self, response: PendingResponse, head: ResponseHead) -> AttemptResult:
        self._context.admission.first_event(self._loop.time(), self._call.id)
        buffered = b""
        while True:
            finished = response.finished
            buffered += response.take()
            if finished and response.completed:
                await self._receiver.end(head, buffered)
                return AttemptResult(CallOutcome.COMPLETED)
            if finished:
                return AttemptResult(self._failure())
            if len(buffered) > BUFFERED_BODY_BYTES or (self._receiver.started and buffered):
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
            body += response.take()
            if finished and response.completed:
                return AttemptResult(outcome, head, body)
            if finished or len(body) > MAX_FAILURE_BYTES:
                promised = outcome in (CallOutcome.FULL, CallOutcome.WRONG_SERVER)
                return AttemptResult(outcome, head) if promised else AttemptResult(self._failure())
            if not response.finished and not response.buffered_bytes:
                await response.wait_for_change()

    def _server_was_silent(self, response: PendingResponse, now_s: float) -> bool:
        """Whether the caller's timeouts, or its time, ended with a server that said nothing to anyone."""
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
            and self._server_was_silent(response, now_s)
        ):
            outcome = CallOutcome.SILENT
        if outcome in (CallOutcome.FULL, CallOutcome.WRONG_SERVER, CallOutcome.CONNECT_FAILED):
            self._call.possibly_sent = False
        self._context.admission.finished(now_s, self._call.id, outcome)
