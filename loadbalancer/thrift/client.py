"""Thrift for outgoing calls: one connection, one call at a time, nothing sent twice.

A oneway call gets no reply (Apache Thrift's "Thrift Remote Procedure Call", section "Message"): what is known of it is
that its last byte has left. The connection then carries nothing else for the time that such a call is taken to run, as
servers run the calls of a connection one after another.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from loadbalancer.core.outgoing import Exchange, Outgoing
from loadbalancer.thrift.codec import Decoder, check, encode
from loadbalancer.thrift.types import Form, Message, MessageKind, ProtocolError

ONEWAY_SHARE = 0.9  # of the time that is left, at most, for which a oneway call counts as running


@dataclass(slots=True, frozen=True)
class ThriftWire:
    """How the servers of a pool are spoken to."""

    form: Form = Form.BINARY
    framed: bool = True
    limit: int = 1 << 20  # bytes of a message
    full_types: frozenset[int] = frozenset(
        (11,)
    )  # of a TApplicationException: the call was turned away unrun


@dataclass(slots=True, eq=False)
class Outbound:
    """A call as it goes to a server, in the server's protocol."""

    kind: MessageKind
    name: bytes
    body: bytes
    oneway_s: float = 0.0  # for how long a oneway call is taken to run
    on_sent: Callable[[], None] | None = None  # of a oneway call: its last byte has left
    sent: int = 0  # attempts of which the last byte has left, and that no server has turned away unrun

    def carried(self, wait_s: float) -> bytes:
        """The body as it goes with an attempt that is waited for this long."""
        return self.body


class ThriftConnection(Outgoing):
    """The calling end of a connection to a Thrift server."""

    def __init__(self, on_closed: Callable[[Any], None], wire: ThriftWire) -> None:
        super().__init__(on_closed)
        self._wire = wire
        self._decoder = Decoder(wire.limit)
        self._seqid = 0
        self._message: Outbound | None = None  # the last one
        self._wait_s = 0.0
        self._timer: asyncio.TimerHandle | None = None

    def start(self, message: Outbound, wait_s: float, exchange: Exchange) -> None:
        """Send a call with a sequence id of this connection's own."""
        wire = self._wire
        self._seqid = (self._seqid + 1) & 0x7FFFFFFF
        self._message, self._wait_s = message, wait_s
        call = Message(wire.form, message.kind, message.name, self._seqid, message.carried(wait_s))
        self._send(encode(call, wire.framed), exchange)
        if self._written:
            self._left()

    def resume_writing(self) -> None:
        super().resume_writing()
        if self._exchange is not None:
            self._left()

    def _left(self) -> None:
        """The last byte of the call has left."""
        message = self._message
        assert message is not None
        message.sent += 1
        if message.kind is MessageKind.ONEWAY:
            runs_s = min(message.oneway_s, ONEWAY_SHARE * self._wait_s)
            self._timer = asyncio.get_running_loop().call_later(runs_s, self._answer, None)
            if message.on_sent is not None:
                message.on_sent()

    def abort(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        message, transport = self._message, self._transport
        if message is not None and message.kind is MessageKind.ONEWAY and self._written and transport:
            # Guard: a reset would take from the server what it has not read yet of a call that counts as sent.
            self._exchange = None
            self._spoilt = True
            transport.close()
        else:
            super().abort()

    # ---------------------------------------------------------- asyncio.Protocol

    def data_received(self, data: bytes) -> None:
        message = self._message
        if self._exchange is None or message is None or message.kind is MessageKind.ONEWAY:
            # Nothing is owed to us: what follows would be taken for the reply to the next call.
            self._lose(self._written)
            return
        found = list(self._decoder.feed(data))
        if not found:
            return
        reply = found[0]
        if not isinstance(reply, Message) or not self._matches(reply, message):
            self._lose(self._written)
            return
        if len(found) > 1 or self._decoder.pending:
            self._spoilt = True  # more than was asked for
        self._answer(reply)

    def _matches(self, reply: Message, message: Outbound) -> bool:
        """Whether it is the reply to this call, and one that can be passed on."""
        if reply.seqid != self._seqid:
            return False
        if reply.kind is MessageKind.REPLY:
            # A multiplexed processor answers with the method's name alone.
            if reply.name not in (message.name, message.name.rpartition(b":")[2]):
                return False
        elif reply.kind is not MessageKind.EXCEPTION:
            return False
        if self._wire.framed:  # else its end was found by going through it
            try:
                check(reply.body, reply.form)
            except ProtocolError:
                return False
        return True
