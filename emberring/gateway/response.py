"""A server's response, buffered for one consumer, with backpressure and timeouts for unresponsive servers."""

from __future__ import annotations

import asyncio
from collections import deque

import attrs

from emberring.gateway.messages import ResponseHead
from emberring.gateway.upstream import ServerConnection

HIGH_WATER_BYTES = 64 * 1024  # buffered; above this, reading from the server is paused


@attrs.frozen
class ResponseTimeouts:
    """How long a server may send nothing before the attempt is abandoned.

    Args:
        unresponsive_server_s: limit if the server sends nothing on any connection.
        active_server_s: limit if the server sends on other connections.
    """

    unresponsive_server_s: float
    active_server_s: float


class ServerActivity:
    """When each server last sent bytes, on any connection (the event loop's time)."""

    def __init__(self) -> None:
        self._received_s: dict[str, float] = {}

    def record(self, server_id: str, now_s: float) -> None:
        """Record that bytes were received from this server."""
        self._received_s[server_id] = now_s

    def last_received_s(self, server_id: str) -> float:
        """Return when bytes were last received from this server; 0 if never."""
        return self._received_s.get(server_id, 0.0)

    @property
    def latest_s(self) -> float:
        """When bytes were last received from any server; 0 if never."""
        return max(self._received_s.values(), default=0.0)

    def keep_only(self, server_ids: set[str]) -> None:
        """Remove all other servers."""
        for server_id in self._received_s.keys() - server_ids:
            del self._received_s[server_id]


class PendingResponse:
    """The response to one request. Its consumer calls `read_buffered` and awaits `wait_for_change` in turn."""

    def __init__(self, connection: ServerConnection, server_id: str, activity: ServerActivity) -> None:
        self._connection = connection
        self._server_id = server_id
        self._activity = activity
        self._loop = asyncio.get_running_loop()
        self._chunks: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._paused = False
        self._waiter: asyncio.Future[None] | None = None
        self._timeouts: ResponseTimeouts | None = None
        self._timer: asyncio.TimerHandle | None = None
        self.last_received_s = self._loop.time()
        self.received_any = False
        self.response_head: ResponseHead | None = None
        self.completed = False
        self.broken = False
        self.timed_out = False

    # ----------------------------------------------------------------- for the connection

    def head(self, head: ResponseHead) -> None:
        """Record the head of the response."""
        self.response_head = head
        self._record_receipt()

    def body(self, data: bytes) -> None:
        """Buffer a part of the body; above `HIGH_WATER_BYTES`, reading from the connection is paused."""
        self._chunks.append(data)
        self._buffered_bytes += len(data)
        if self._buffered_bytes > HIGH_WATER_BYTES and not self._paused:
            self._paused = True
            self._connection.pause()
        self._record_receipt()

    def complete(self) -> None:
        """Record that the response is complete."""
        self.completed = True
        self._record_receipt()

    def lost(self, sent: bool) -> None:
        """Record that the connection was lost before the response was complete."""
        self.broken = True
        self._wake_consumer()

    # ------------------------------------------------------------------- for the consumer

    @property
    def finished(self) -> bool:
        """Whether no more data will arrive."""
        return self.completed or self.broken or self.timed_out

    @property
    def buffered_bytes(self) -> int:
        """The number of bytes that have arrived and were not read."""
        return self._buffered_bytes

    def read_buffered(self) -> bytes:
        """Return the part of the body received since the last call, and resume a paused connection."""
        if not self._chunks:
            return b""
        data = self._chunks.popleft() if len(self._chunks) == 1 else b"".join(self._chunks)
        self._chunks.clear()
        self._buffered_bytes = 0
        if self._paused:
            self._paused = False
            self.last_received_s = self._loop.time()  # the pause is not silence of the server
            self._connection.resume()
        return data

    async def wait_for_change(self) -> None:
        """Wait until more data has arrived or the response has finished."""
        self._waiter = self._loop.create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    async def wait_for_head(self) -> ResponseHead | None:
        """Wait for the head of the response and return it; None if the response finished without one."""
        while self.response_head is None and not self.finished:
            await self.wait_for_change()
        return self.response_head

    def set_timeouts(self, timeouts: ResponseTimeouts | None) -> None:
        """Set the timeouts of the response; None: no timeouts."""
        self._timeouts = timeouts
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if timeouts is not None:
            self._timer = self._loop.call_later(timeouts.unresponsive_server_s, self._check_silence)

    def close(self) -> None:
        """Stop the timeouts and resume a paused connection; called when the consumer has finished."""
        self.set_timeouts(None)
        if self._paused:
            self._paused = False
            self._connection.resume()

    # -------------------------------------------------------------------------------- internal

    def _record_receipt(self) -> None:
        self.received_any = True
        self.last_received_s = self._loop.time()
        self._activity.record(self._server_id, self.last_received_s)
        self._wake_consumer()

    def _wake_consumer(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _check_silence(self) -> None:
        self._timer = None
        timeouts = self._timeouts
        if timeouts is None or self.finished:
            return
        now_s = self._loop.time()
        silence_s = 0.0 if self._buffered_bytes else now_s - self.last_received_s
        unresponsive = self._activity.last_received_s(self._server_id) <= self.last_received_s
        limit_s = timeouts.unresponsive_server_s if unresponsive else timeouts.active_server_s
        if silence_s >= limit_s:
            self.timed_out = True
            self._wake_consumer()
            return
        next_check_s = (
            timeouts.unresponsive_server_s - silence_s
            if silence_s < timeouts.unresponsive_server_s
            else timeouts.active_server_s - silence_s
        )
        self._timer = self._loop.call_later(
            max(0.01, min(next_check_s, timeouts.unresponsive_server_s)), self._check_silence
        )
