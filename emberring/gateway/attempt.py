"""One attempt: a call sent to one server, its answer handed on as it comes, admission told of each step."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

import attrs

from emberring.admission.types import CallOutcome
from emberring.distribution.records import ServerRecord
from emberring.gateway.answers import OUTCOME_OF, Verdict, judge
from emberring.gateway.events import Event, EventCutter
from emberring.gateway.messages import AnswerHead, ClientRequest, render_request
from emberring.gateway.pool import NoConnection, ServerPool
from emberring.gateway.ports import AdmissionPort
from emberring.gateway.reply import Hearing, Patience, Reply
from emberring.gateway.upstream import ServerConnection

BUFFERED_BODY_BYTES = 256 * 1024  # of an answer that is no stream, until which it can still be asked for anew
SILENT_FROM_S = 0.9  # a server that said nothing for so long before the caller left counts as silent
MAX_FAILURE_BYTES = 256 * 1024


def always() -> bool:
    """A live request may be sent as long as its server may get something."""
    return True


class Receiver(Protocol):
    """Where a success goes. Each call returns once the receiver can take more."""

    @property
    def started(self) -> bool:
        """Whether a part of an answer has been given on, so that no other answer may follow."""

    async def events(self, head: AnswerHead, events: list[Event]) -> None:
        """Whole events of a stream; the first call carries the head that stays."""

    async def piece(self, head: AnswerHead, data: bytes) -> None:
        """A part of a body that is too long to be held."""

    async def end(self, head: AnswerHead, data: bytes) -> None:
        """The rest of the answer, which is whole with it; all of it where nothing was given on before."""


@attrs.define(eq=False)
class Call:
    """A request on its way through attempts. `end_s` is when it is given up (the loop's time)."""

    id: str
    request: ClientRequest
    may_repeat: bool
    end_s: float
    tell_deadline: bool = True
    stream_only: bool = False  # an answer that is no stream is none
    allowed: Callable[[], bool] = always
    last_event_id: int | None = None
    resumed: bool = False
    sent: bool = False  # a byte of it may be at a server now that has not promised anything

    def follow(self, event: Event) -> bool:
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
class Ended:
    """How an attempt ended; `head` and `body` are of a whole answer that was not handed on."""

    outcome: CallOutcome
    head: AnswerHead | None = None
    body: bytes = b""


@attrs.frozen
class Means:
    """What every attempt of this process uses."""

    pool: ServerPool
    admission: AdmissionPort
    hearing: Hearing
    sendable: Callable[[str], ServerRecord | None]


class Attempt:
    """One send to one server."""

    def __init__(
        self, means: Means, call: Call, server: ServerRecord, receiver: Receiver, patience: Patience | None
    ) -> None:
        self._means = means
        self._call = call
        self._server = server
        self._receiver = receiver
        self._patience = patience
        self._loop = asyncio.get_running_loop()
        self._connection: ServerConnection | None = None
        self._reply: Reply | None = None

    async def run(self) -> Ended:
        """Send and hand on; the connection and admission's count are given back however it ends."""
        outcome = CallOutcome.CANCELLED
        try:
            ended = await self._run()
            outcome = ended.outcome
            return ended
        finally:
            self._release(outcome)

    async def _run(self) -> Ended:
        server, call = self._server, self._call
        taken = await self._means.pool.take(
            server.id, server.address, call.request.request_id, sure=not call.may_repeat
        )
        if isinstance(taken, NoConnection):
            unreachable = taken is NoConnection.UNREACHABLE
            return Ended(CallOutcome.CONNECT_FAILED if unreachable else CallOutcome.NOT_SENT)
        if self._means.sendable(server.id) is None or not call.allowed():
            self._means.pool.give_back(server.id, taken)
            return Ended(CallOutcome.NOT_SENT)
        self._connection = taken
        if not self._send(taken):
            return Ended(CallOutcome.CONNECT_FAILED)
        assert self._reply is not None
        head = await self._reply.wait_head()
        if head is None:
            return Ended(self._failure())
        return await self._hand_on(self._reply, head)

    def _send(self, connection: ServerConnection) -> bool:
        call = self._call
        now_s = self._loop.time()
        left_ms = int((call.end_s - now_s) * 1000) if call.tell_deadline else None
        data = render_request(call.request, self._server.id, left_ms, call.last_event_id)
        self._reply = Reply(connection, self._server.id, self._means.hearing)
        connection.start(data, call.request.request_id, call.request.method == b"HEAD", self._reply)
        if not connection.touched:
            return False
        call.sent = True
        self._reply.watch(self._patience)
        self._means.admission.started(now_s, call.id, self._server.id)
        return True

    async def _hand_on(self, reply: Reply, head: AnswerHead) -> Ended:
        verdict = judge(head)
        if verdict is Verdict.NO_ANSWER:
            return Ended(CallOutcome.BROKEN)
        if verdict is Verdict.PASS_ON and 200 <= head.status < 300:
            if head.is_event_stream:
                return await self._stream(reply, head)
            if (
                self._receiver.started or self._call.stream_only
            ):  # what goes on with a stream must be a stream
                return Ended(CallOutcome.BROKEN)
            return await self._plain(reply, head)
        return await self._failed(reply, head, OUTCOME_OF[verdict])

    async def _stream(self, reply: Reply, head: AnswerHead) -> Ended:
        cutter = EventCutter()
        heard_first = False
        while True:
            over = reply.over
            events = cutter.feed(reply.take())
            if events:
                tell = self._means.admission.progress if heard_first else self._means.admission.first_event
                tell(self._loop.time(), self._call.id)
                heard_first = True
            good = self._following(events)
            if good:
                await self._receiver.events(head, good)
            if len(good) < len(events) or cutter.too_long:
                return Ended(CallOutcome.BROKEN)
            if not over:
                if not reply.over and not reply.held:
                    await reply.changed()
            elif reply.whole:
                await self._receiver.end(head, cutter.rest())
                return Ended(CallOutcome.COMPLETED)
            else:
                return Ended(self._failure())

    def _following(self, events: list[Event]) -> list[Event]:
        """The events up to the first that can't follow the one before it."""
        for at, event in enumerate(events):
            if not self._call.follow(event):
                return events[:at]
        return events

    async def _plain(self, reply: Reply, head: AnswerHead) -> Ended:
        self._means.admission.first_event(self._loop.time(), self._call.id)
        held = b""
        while True:
            over = reply.over
            held += reply.take()
            if over and reply.whole:
                await self._receiver.end(head, held)
                return Ended(CallOutcome.COMPLETED)
            if over:
                return Ended(self._failure())
            if len(held) > BUFFERED_BODY_BYTES or (self._receiver.started and held):
                await self._receiver.piece(head, held)
                held = b""
            if not reply.over and not reply.held:
                await reply.changed()

    async def _failed(self, reply: Reply, head: AnswerHead, outcome: CallOutcome) -> Ended:
        body = b""
        while True:
            over = reply.over
            body += reply.take()
            if over and reply.whole:
                return Ended(outcome, head, body)
            if over or len(body) > MAX_FAILURE_BYTES:
                promised = outcome in (CallOutcome.FULL, CallOutcome.WRONG_SERVER)
                return Ended(outcome, head) if promised else Ended(self._failure())
            if not reply.over and not reply.held:
                await reply.changed()

    def _was_silent(self, reply: Reply, now_s: float) -> bool:
        """Whether the caller's patience, or its time, ended with a server that said nothing to anyone."""
        heard_s = self._means.hearing.last(self._server.id)
        return not reply.heard_any and heard_s <= reply.heard_s and now_s - reply.heard_s >= SILENT_FROM_S

    def _failure(self) -> CallOutcome:
        silent = self._reply is not None and self._reply.silent
        return CallOutcome.SILENT if silent else CallOutcome.BROKEN

    def _release(self, outcome: CallOutcome) -> None:
        reply, connection = self._reply, self._connection
        if connection is not None:
            if reply is not None:
                reply.close()
            if reply is not None and reply.whole:
                self._means.pool.give_back(self._server.id, connection)
            else:
                connection.abort()
        now_s = self._loop.time()
        if outcome is CallOutcome.CANCELLED and reply is not None and self._was_silent(reply, now_s):
            outcome = CallOutcome.SILENT
        if outcome in (CallOutcome.FULL, CallOutcome.WRONG_SERVER, CallOutcome.CONNECT_FAILED):
            self._call.sent = False
        self._means.admission.finished(now_s, self._call.id, outcome)
