"""The client side of a connection: sends calls, tracks those in flight and receives their replies."""

from __future__ import annotations

import asyncio

from emberring.errors import PeerTimeoutError, PeerUnavailableError
from emberring.transport.connection import MessageConnection
from emberring.transport.messages import Envelope, encode

MAX_UNSENT_BYTES = 32 * 1024 * 1024  # in the send buffer of one peer; above it, further calls fail at once
# Calls that time out in a row, with nothing received meanwhile, before the connection is aborted.
MAX_CONSECUTIVE_TIMEOUTS = 2


class ClientConnection(MessageConnection):
    """A connection to a peer with any number of concurrent calls, each with its own id."""

    def __init__(self, open_connections: set[MessageConnection]) -> None:
        super().__init__(open_connections)
        self._calls_in_flight: dict[int, asyncio.Future[object]] = {}
        self._consecutive_timeouts = 0

    @property
    def usable(self) -> bool:
        """Whether calls can be sent on this connection."""
        return self.transport is not None and not self.transport.is_closing()

    def expect_reply(self, call_id: int) -> asyncio.Future[object]:
        """Return a future for the reply to this call; it fails with `PeerTimeoutError` if the connection is lost first.

        The call stays in flight until its reply arrives, the connection is lost, or `end_call` is called.
        """
        reply: asyncio.Future[object] = asyncio.get_running_loop().create_future()
        self._calls_in_flight[call_id] = reply
        return reply

    def end_call(self, call_id: int) -> None:
        """Stop waiting for the reply to this call; a later reply is dropped."""
        self._calls_in_flight.pop(call_id, None)

    def record_timeout(self) -> None:
        """Count a call that timed out; after `MAX_CONSECUTIVE_TIMEOUTS` in a row the connection is aborted."""
        self._consecutive_timeouts += 1
        if self._consecutive_timeouts >= MAX_CONSECUTIVE_TIMEOUTS:
            self.abort()

    def send(self, envelope: Envelope) -> int:
        """Send a message and return its size in bytes.

        Raises `PeerUnavailableError` if the connection is not open or the peer does not read, so that the send buffer
        is full; the message is then not sent.
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
        """Pass a reply to the call that it belongs to; a reply to no call in flight is dropped."""
        self._consecutive_timeouts = 0
        reply = self._calls_in_flight.pop(-envelope.id, None)
        if reply is not None and not reply.done():
            reply.set_result(envelope.body)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail every call in flight, each with an unknown outcome."""
        super().connection_lost(exc)
        for reply in self._calls_in_flight.values():
            if not reply.done():
                reply.set_exception(PeerTimeoutError(f"the connection to {self.peer} ended"))
        self._calls_in_flight.clear()
