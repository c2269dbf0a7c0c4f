"""The callers' side of Thrift: reads calls, keeps connections, writes the one reply to each.

The calls of a connection are served one after another and answered in the order in which they came, as Thrift's own
servers do; what waits behind another has its deadline running from its last byte.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from loadbalancer.core.listener import IncomingConnection, Listener
from loadbalancer.core.outgoing import ended, readable
from loadbalancer.thrift.codec import Decoder, application_exception, encode
from loadbalancer.thrift.types import ExceptionKind, Form, Message, MessageKind, ProtocolError

PIPELINE = 32  # whole calls that may wait on one connection before no more is read of it


@dataclass(slots=True, eq=False)
class ThriftCall:
    """One call as it came, and where its reply goes."""

    connection: ThriftServerConnection
    message: Message
    arrived: float  # the loop's time of its last byte
    begun: bool = False
    over: bool = False
    on_gone: Callable[[], None] | None = None

    @property
    def oneway(self) -> bool:
        return self.message.kind is MessageKind.ONEWAY

    def reply(self, kind: MessageKind, name: bytes, body: bytes) -> None:
        """The one reply, with the call's sequence id and in its protocol; nothing is written for a oneway call. A
        second one is ignored."""
        if not self.over:
            self.over = True
            self.on_gone = None
            asked = self.message
            reply = None if self.oneway else Message(asked.form, kind, name, asked.seqid, body)
            self.connection.answer(self, reply)

    def fail(self, kind: int, text: str) -> None:
        """The one reply, a `TApplicationException`."""
        body = b"" if self.oneway else application_exception(self.message.form, kind, text)
        self.reply(MessageKind.EXCEPTION, self.message.name, body)


class ThriftServerConnection(IncomingConnection):
    """One caller's connection."""

    def __init__(self, server: ThriftServer) -> None:
        super().__init__(server)
        self._server: ThriftServer = server
        self._decoder = Decoder(server.limits.message)
        self._calls: deque[ThriftCall] = deque()  # whole calls, the first of them being served
        self._held = 0  # bytes of their bodies
        self._fault: tuple[int, str] | None = (
            None  # what ends this connection, once something was wrong on it
        )
        self._gone = False  # the caller is
        self._stuck = False  # the caller does not read what has been written to it
        self._reading = True

    # ----------------------------------------------------------------- for the listener

    def close_if_idle(self) -> bool:
        if self._calls or (self._decoder.pending and self.known) or readable(self._transport):
            return False
        self.abort()
        return True

    def expire(self) -> None:
        # Guard: a caller that does not read its replies would hold them, and its place, for ever.
        if self._closing or self._stuck:
            self.abort_if_read()
        elif self._decoder.pending:
            self.abort()
        else:
            self.close_if_idle()

    # ---------------------------------------------------------- asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._transport.set_write_buffer_limits(high=0)  # a reply that has not been read holds the next call

    def data_received(self, data: bytes) -> None:
        if self._closing or self._fault is not None:
            return
        now = self.arrived()
        for found in self._decoder.feed(data):
            if isinstance(found, ProtocolError):
                self._fault = (ExceptionKind.PROTOCOL_ERROR, str(found))
            elif found.kind not in (MessageKind.CALL, MessageKind.ONEWAY):
                self._fault = (ExceptionKind.INVALID_MESSAGE_TYPE, f"a {found.kind.name.lower()} is no call")
            else:
                self._calls.append(ThriftCall(self, found, now))
                self._held += len(found.body)
                continue
            break
        if self._reading and (len(self._calls) >= PIPELINE or self._held > self._server.limits.message):
            self._reading = False
            self._transport.pause_reading()
        if self._calls:
            self._server.stage(self, None)
            self._serve()
        elif self._fault is not None:
            self._fail()
        else:
            self._server.stage(self, self._server.waiting)

    def pause_writing(self) -> None:
        self._stuck = True

    def resume_writing(self) -> None:
        self._stuck = False
        if not self._closing:
            self._go_on()

    def eof_received(self) -> bool:
        # Guard: a reply that could not be flushed held back that the caller had gone, and what stood behind it was
        # sent on.
        self._leave()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.closed(self)
        self._leave()

    def _leave(self) -> None:
        """The caller has gone. After a oneway call it has done its part; what it wanted a reply to need not run."""
        self._closing = self._gone = True
        self._stuck = False
        self._server.stage(self, self._server.lingering)
        calls, self._calls = self._calls, deque(call for call in self._calls if call.oneway)
        for call in calls:
            if call.oneway:
                continue
            call.over = True
            if call.on_gone is not None:
                call.on_gone()
                call.on_gone = None
        self._serve()

    # --------------------------------------------------------------------- replies

    def answer(self, call: ThriftCall, reply: Message | None) -> None:
        """The first call is over; its reply goes out and the next one's turn comes."""
        if not self._calls or self._calls[0] is not call:
            return
        self._calls.popleft()
        self._held -= len(call.message.body)
        if self._gone:
            self._server.loop.call_soon(self._serve)
            return
        self.known = True
        if reply is not None:
            self._transport.write(encode(reply, bool(self._decoder.framed)))
        if not self._reading and not self._closing:
            self._reading = True
            self._transport.resume_reading()
        if self._stuck:
            self._server.stage(self, self._server.waiting)
        else:
            self._server.loop.call_soon(self._go_on)

    def _go_on(self) -> None:
        """What comes after a reply."""
        if self._closing or self._stuck:
            return
        if self._calls:
            self._server.stage(self, None)
            self._serve()
        elif self._fault is not None:
            self._fail()
        elif self._server.stopping or self._server.crowded:
            self._end()
        else:
            waiting = self._decoder.pending or not self.known
            self._server.stage(self, self._server.waiting if waiting else self._server.idle)

    def _serve(self) -> None:
        """Hand the first call on, unless that has been done."""
        if not self._calls or self._calls[0].begun or self._stuck:
            return
        # Guard: a caller's end is read after its calls, and not at all while enough of them wait; they were sent on.
        if not self._gone and (self._transport.is_closing() or ended(self._transport)):
            self._end()
            self._leave()
            return
        call = self._calls[0]
        call.begun = True
        self._server.on_call(call)

    def _fail(self) -> None:
        """Tell what can't be read as a call, where it is known how, and end the connection."""
        assert self._fault is not None
        kind, text = self._fault
        self._server.on_fault(text)
        decoder = self._decoder
        if decoder.framed is not None:
            form = decoder.form or Form.BINARY
            body = application_exception(form, kind, bad_call(text))
            message = Message(form, MessageKind.EXCEPTION, b"", 0, body)
            self._transport.write(encode(message, decoder.framed))
        self._end()


def bad_call(why: str) -> str:
    """The form of the message that says so."""
    return f"bad call; never ran; {why}"


@dataclass(slots=True, frozen=True)
class Limits:
    """What a listener's callers may send, and how long they may take."""

    message: int = 1 << 20  # bytes
    request_s: float = 2.5
    idle_s: float = 8.0


class ThriftServer(Listener):
    """Listens to callers of Thrift, in any of its protocols."""

    def __init__(
        self,
        limit: int,
        on_call: Callable[[ThriftCall], None],
        limits: Limits,
        on_fault: Callable[[str], None] = lambda text: None,
        orderly: bool = False,
    ) -> None:
        """`on_fault` hears of what could not be read as a call."""
        super().__init__(limit, orderly)
        self.on_call = on_call
        self.on_fault = on_fault
        self.limits = limits

    def connection(self) -> ThriftServerConnection:
        return ThriftServerConnection(self)

    @property
    def request_s(self) -> float:
        return self.limits.request_s

    @property
    def idle_s(self) -> float:
        return self.limits.idle_s
