"""The Thrift server: accepts connections of callers, reads calls and writes one reply to each.

The calls of a connection are served one after another and answered in order, as Apache Thrift's servers do. The
deadline of a queued call runs from the arrival of its last byte.
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

MAX_PIPELINED_CALLS = 32  # complete calls queued on one connection, at which reading from it pauses


@dataclass(slots=True, eq=False)
class ThriftCall:
    """One received call and the connection to reply on."""

    connection: ThriftServerConnection
    message: Message
    arrived: float  # the event loop's time at which its last byte arrived
    started: bool = False
    done: bool = False
    on_gone: Callable[[], None] | None = None

    @property
    def oneway(self) -> bool:
        return self.message.kind is MessageKind.ONEWAY

    def reply(self, kind: MessageKind, name: bytes, body: bytes) -> None:
        """Send the reply, under the call's sequence id and in its protocol; a oneway call only ends. Later replies to
        the same call are ignored."""
        if not self.done:
            self.done = True
            self.on_gone = None
            request = self.message
            reply = None if self.oneway else Message(request.form, kind, name, request.seqid, body)
            self.connection.answer(self, reply)

    def fail(self, kind: int, text: str) -> None:
        """Reply with a `TApplicationException`."""
        body = b"" if self.oneway else application_exception(self.message.form, kind, text)
        self.reply(MessageKind.EXCEPTION, self.message.name, body)


class ThriftServerConnection(IncomingConnection):
    """The connection of one caller."""

    def __init__(self, server: ThriftServer) -> None:
        super().__init__(server)
        self._server: ThriftServer = server
        self._decoder = Decoder(server.limits.message)
        self._calls: deque[ThriftCall] = deque()  # complete calls; the first one is being served
        self._queued_bytes = 0  # total size of their bodies
        # Type and text of the error that ends this connection after the queued calls.
        self._error: tuple[int, str] | None = None
        self._caller_gone = False  # the caller has closed the connection
        self._write_buffer_full = False  # the caller does not read the replies written to it
        self._reading = True

    # ----------------------------------------------------------------- called by the listener

    def close_if_idle(self) -> bool:
        if self._calls or (self._decoder.pending and self.known) or readable(self._transport):
            return False
        self.abort()
        return True

    def expire(self) -> None:
        # Guard: a caller that never reads its replies would occupy memory and a connection slot for ever.
        if self._closing or self._write_buffer_full:
            self.abort_if_read()
        elif self._decoder.pending:
            self.abort()
        else:
            self.close_if_idle()

    # ---------------------------------------------------------- asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._transport.set_write_buffer_limits(high=0)  # an unflushed reply blocks the next call

    def data_received(self, data: bytes) -> None:
        if self._closing or self._error is not None:
            return
        now = self.arrived()
        for message in self._decoder.feed(data):
            if isinstance(message, ProtocolError):
                self._error = (ExceptionKind.PROTOCOL_ERROR, str(message))
            elif message.kind not in (MessageKind.CALL, MessageKind.ONEWAY):
                self._error = (
                    ExceptionKind.INVALID_MESSAGE_TYPE,
                    f"a {message.kind.name.lower()} is no call",
                )
            else:
                self._calls.append(ThriftCall(self, message, now))
                self._queued_bytes += len(message.body)
                continue
            break
        if self._reading and (
            len(self._calls) >= MAX_PIPELINED_CALLS or self._queued_bytes > self._server.limits.message
        ):
            self._reading = False
            self._transport.pause_reading()
        if self._calls:
            self._server.stage(self, None)
            self._dispatch()
        elif self._error is not None:
            self._send_error()
        else:
            self._server.stage(self, self._server.waiting)

    def pause_writing(self) -> None:
        self._write_buffer_full = True

    def resume_writing(self) -> None:
        self._write_buffer_full = False
        if not self._closing:
            self._after_reply()

    def eof_received(self) -> bool:
        # Guard: while a reply can't be flushed, `connection_lost` does not report that the caller is gone, and the
        # calls queued behind it would still be sent to a server.
        self._on_caller_gone()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.closed(self)
        self._on_caller_gone()

    def _on_caller_gone(self) -> None:
        """Handle that the caller is gone: queued oneway calls still run, calls that expect a reply are dropped."""
        self._closing = self._caller_gone = True
        self._write_buffer_full = False
        self._server.stage(self, self._server.lingering)
        calls, self._calls = self._calls, deque(call for call in self._calls if call.oneway)
        for call in calls:
            if call.oneway:
                continue
            call.done = True
            if call.on_gone is not None:
                call.on_gone()
                call.on_gone = None
        self._dispatch()

    # --------------------------------------------------------------------- replies

    def answer(self, call: ThriftCall, reply: Message | None) -> None:
        """Finish the first call: write its reply and continue with the next call."""
        if not self._calls or self._calls[0] is not call:
            return
        self._calls.popleft()
        self._queued_bytes -= len(call.message.body)
        if self._caller_gone:
            self._server.loop.call_soon(self._dispatch)
            return
        self.known = True
        if reply is not None:
            self._transport.write(encode(reply, bool(self._decoder.framed)))
        if not self._reading and not self._closing:
            self._reading = True
            self._transport.resume_reading()
        if self._write_buffer_full:
            self._server.stage(self, self._server.waiting)
        else:
            self._server.loop.call_soon(self._after_reply)

    def _after_reply(self) -> None:
        """Continue after a reply: serve the next call, close the connection, or mark it idle."""
        if self._closing or self._write_buffer_full:
            return
        if self._calls:
            self._server.stage(self, None)
            self._dispatch()
        elif self._error is not None:
            self._send_error()
        elif self._server.stopping or self._server.over_limit:
            self._end()
        else:
            waiting = self._decoder.pending or not self.known
            self._server.stage(self, self._server.waiting if waiting else self._server.idle)

    def _dispatch(self) -> None:
        """Start the first call unless it has been started."""
        if not self._calls or self._calls[0].started or self._write_buffer_full:
            return
        # Guard: calls of a caller that has gone would be sent to a server, as the end of the stream is read only after
        # the calls, and not at all while reading is paused.
        if not self._caller_gone and (self._transport.is_closing() or ended(self._transport)):
            self._end()
            self._on_caller_gone()
            return
        call = self._calls[0]
        call.started = True
        self._server.on_call(call)

    def _send_error(self) -> None:
        """Reply with the error, if the transport is known, and close the connection."""
        assert self._error is not None
        kind, text = self._error
        self._server.on_invalid(text)
        decoder = self._decoder
        if decoder.framed is not None:
            form = decoder.form or Form.BINARY
            body = application_exception(form, kind, bad_call(text))
            message = Message(form, MessageKind.EXCEPTION, b"", 0, body)
            self._transport.write(encode(message, decoder.framed))
        self._end()


def bad_call(why: str) -> str:
    """The message of the exception that rejects an invalid call."""
    return f"bad call; never ran; {why}"


@dataclass(slots=True, frozen=True)
class Limits:
    """Size limit and timeouts for the callers of a listener."""

    message: int = 1 << 20  # maximum size in bytes
    request_s: float = 2.5
    idle_s: float = 8.0


class ThriftServer(Listener):
    """Accepts Thrift callers of any supported protocol and transport."""

    def __init__(
        self,
        limit: int,
        on_call: Callable[[ThriftCall], None],
        limits: Limits,
        on_invalid: Callable[[str], None] = lambda text: None,
        orderly: bool = False,
    ) -> None:
        """`on_invalid` is called with the reason when received bytes are not a valid call."""
        super().__init__(limit, orderly)
        self.on_call = on_call
        self.on_invalid = on_invalid
        self.limits = limits

    def connection(self) -> ThriftServerConnection:
        return ThriftServerConnection(self)

    @property
    def request_s(self) -> float:
        return self.limits.request_s

    @property
    def idle_s(self) -> float:
        return self.limits.idle_s
