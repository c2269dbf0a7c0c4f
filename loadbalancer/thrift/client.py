"""The Thrift client: connections to upstream servers, with one call at a time and no resending.

A oneway call gets no reply (Apache Thrift's "Thrift Remote Procedure Call", section "Message"); the client only knows
when its last byte was written. As servers run the calls of a connection one after another, the connection is then kept
free of other calls for the time that a oneway call is assumed to run.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from loadbalancer.core.outgoing import Exchange, Outgoing
from loadbalancer.thrift.codec import Decoder, check, encode
from loadbalancer.thrift.types import Form, Message, MessageKind, ProtocolError

MAX_ONEWAY_SHARE = 0.9  # longest time that a oneway call counts as running, as a share of its timeout


@dataclass(slots=True, frozen=True)
class ThriftWire:
    """The protocol, transport and limits used with the servers of a pool."""

    form: Form = Form.BINARY
    framed: bool = True
    limit: int = 1 << 20  # maximum size of a message, in bytes
    # Types of the TApplicationException with which a server rejects a call without running it.
    full_types: frozenset[int] = frozenset((11,))


@dataclass(slots=True, eq=False)
class OutgoingCall:
    """A call to an upstream server, encoded in that server's protocol."""

    kind: MessageKind
    name: bytes
    body: bytes
    oneway_s: float = 0.0  # how long a oneway call is assumed to run
    on_sent: Callable[[], None] | None = None  # called when the last byte of a oneway call has been written
    sent: int = 0  # attempts that were written completely and that no server rejected without running them

    def carried(self, wait_s: float) -> bytes:
        """The body to send with an attempt whose timeout is `wait_s`."""
        return self.body


class ThriftConnection(Outgoing):
    """The client end of a connection to a Thrift server."""

    def __init__(self, on_closed: Callable[[Any], None], wire: ThriftWire) -> None:
        super().__init__(on_closed)
        self._wire = wire
        self._decoder = Decoder(wire.limit)
        self._seqid = 0
        self._message: OutgoingCall | None = None  # the last one that was sent
        self._timeout_s = 0.0
        self._timer: asyncio.TimerHandle | None = None

    def start(self, message: OutgoingCall, wait_s: float, exchange: Exchange) -> None:
        """Send a call under the next sequence id of this connection."""
        wire = self._wire
        self._seqid = (self._seqid + 1) & 0x7FFFFFFF
        self._message, self._timeout_s = message, wait_s
        call = Message(wire.form, message.kind, message.name, self._seqid, message.carried(wait_s))
        self._send(encode(call, wire.framed), exchange)
        if self._written:
            self._on_written()

    def resume_writing(self) -> None:
        super().resume_writing()
        if self._exchange is not None:
            self._on_written()

    def _on_written(self) -> None:
        """Handle that the last byte of the call has been written."""
        message = self._message
        assert message is not None
        message.sent += 1
        if message.kind is MessageKind.ONEWAY:
            run_s = min(message.oneway_s, MAX_ONEWAY_SHARE * self._timeout_s)
            self._timer = asyncio.get_running_loop().call_later(run_s, self._answer, None)
            if message.on_sent is not None:
                message.on_sent()

    def abort(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        message, transport = self._message, self._transport
        if message is not None and message.kind is MessageKind.ONEWAY and self._written and transport:
            # Guard: a reset would discard data that the server has not read yet, of a call that counts as sent.
            self._exchange = None
            self._unusable = True
            transport.close()
        else:
            super().abort()

    # ---------------------------------------------------------- asyncio.Protocol

    def data_received(self, data: bytes) -> None:
        message = self._message
        if self._exchange is None or message is None or message.kind is MessageKind.ONEWAY:
            # No reply is pending: these bytes would be mistaken for the reply to the next call.
            self._lose(self._written)
            return
        messages = list(self._decoder.feed(data))
        if not messages:
            return
        reply = messages[0]
        if not isinstance(reply, Message) or not self._matches(reply, message):
            self._lose(self._written)
            return
        if len(messages) > 1 or self._decoder.pending:
            self._unusable = True  # data follows the reply, so the connection is not used again
        self._answer(reply)

    def _matches(self, reply: Message, message: OutgoingCall) -> bool:
        """Whether this is the reply to the current call and its body is well-formed."""
        if reply.seqid != self._seqid:
            return False
        if reply.kind is MessageKind.REPLY:
            # A multiplexed processor replies with the method name without the service prefix.
            if reply.name not in (message.name, message.name.rpartition(b":")[2]):
                return False
        elif reply.kind is not MessageKind.EXCEPTION:
            return False
        if self._wire.framed:  # an unframed body was already parsed to find its end
            try:
                check(reply.body, reply.form)
            except ProtocolError:
                return False
        return True
