"""The end of a connection that sends calls and receives the replies, and the calls in flight on it."""

from __future__ import annotations

import asyncio

from emberring.errors import PeerTimeoutError, PeerUnavailableError
from emberring.transport.connection import MessageConnection
from emberring.transport.messages import Envelope, encode

MAX_UNSENT_BYTES = 32 * 1024 * 1024  # in the send buffer of one peer; further calls to it are refused
MAX_CONSECUTIVE_TIMEOUTS = (
    2  # calls that time out in a row, with nothing received, before the connection is ended
)


class ClientConnection(MessageConnection):
    """A connection to a peer with any number of calls in flight, each with an id of its own."""

    def __init__(self, open_connections: set[MessageConnection]) -> None:
        super().__init__(open_connections)
        self._calls_in_flight: dict[int, asyncio.Future[object]] = {}
        self._consecutive_timeouts = 0

    @property
    def usable(self) -> bool:
        """Whether a call may be sent on it."""
        return self.transport is not None and not self.transport.is_closing()

    def expect_reply(self, call_id: int) -> asyncio.Future[object]:
        """A future for the reply to this call: `PeerTimeoutError` where the connection ends before it comes.

        It is kept until the reply comes, the connection ends, or `end_call`.
        """
        reply: asyncio.Future[object] = asyncio.get_running_loop().create_future()
        self._calls_in_flight[call_id] = reply
        return reply

    def end_call(self, call_id: int) -> None:
        """Wait no longer for the reply to this call."""
        self._calls_in_flight.pop(call_id, None)

    def record_timeout(self) -> None:
        """A call had no reply in time; after `MAX_CONSECUTIVE_TIMEOUTS` in a row the connection is ended."""
        self._consecutive_timeouts += 1
        if self._consecutive_timeouts >= MAX_CONSECUTIVE_TIMEOUTS:
            self.abort()

    def send(self, envelope: Envelope) -> int:
        """Send a message; the number of its bytes.

        `PeerUnavailableError` where the peer does not read its messages: this one is not sent.
        """
        if self.transport is None:
            raise PeerUnavailableError("the connection is not open")
        if self.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.end_call(envelope.id)
            raise PeerUnavailableError(f"{self.peer} does not read")
        line = encode(envelope)
        self.transport.write(line)
        return len(line)

    def on_envelope(self, envelope: Envelope) -> None:
        """Give a reply to the call that waits for it; a reply to no call in flight is dropped."""
        self._consecutive_timeouts = 0
        reply = self._calls_in_flight.pop(-envelope.id, None)
        if reply is not None and not reply.done():
            reply.set_result(envelope.body)

    def connection_lost(self, exc: Exception | None) -> None:
        """Every call in flight fails with an unknown outcome."""
        super().connection_lost(exc)
        for reply in self._calls_in_flight.values():
            if not reply.done():
                reply.set_exception(PeerTimeoutError(f"the connection to {self.peer} ended"))
        self._calls_in_flight.clear()
