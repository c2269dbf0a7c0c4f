"""A server's answer on its way to one consumer: collected, bounded, and watched for silence."""

from __future__ import annotations

import asyncio
from collections import deque

import attrs

from emberring.gateway.messages import AnswerHead
from emberring.gateway.upstream import ServerConnection

HIGH_WATER_BYTES = 64 * 1024  # collected and not taken, from which the server is read no more


@attrs.frozen
class Patience:
    """How long a silence is borne (seconds): from a server that says nothing on any connection, and from one
    that is heard elsewhere."""

    dark_s: float
    alive_s: float


class Hearing:
    """When each server was last heard, on any connection (the loop's time)."""

    def __init__(self) -> None:
        self._heard: dict[str, float] = {}

    def note(self, server_id: str, now_s: float) -> None:
        """Bytes have come from this server."""
        self._heard[server_id] = now_s

    def last(self, server_id: str) -> float:
        """When that was; 0 where it never was."""
        return self._heard.get(server_id, 0.0)

    @property
    def latest(self) -> float:
        """When any of them was; 0 where none ever was."""
        return max(self._heard.values(), default=0.0)

    def keep_only(self, server_ids: set[str]) -> None:
        """Forget all others."""
        for server_id in self._heard.keys() - server_ids:
            del self._heard[server_id]


class Reply:
    """The exchange of one request. One consumer: it takes what has come and awaits `changed`."""

    def __init__(self, connection: ServerConnection, server_id: str, hearing: Hearing) -> None:
        self._connection = connection
        self._server_id = server_id
        self._hearing = hearing
        self._loop = asyncio.get_running_loop()
        self._chunks: deque[bytes] = deque()
        self._held = 0
        self._paused = False
        self._waiter: asyncio.Future[None] | None = None
        self._patience: Patience | None = None
        self._timer: asyncio.TimerHandle | None = None
        self.heard_s = self._loop.time()
        self.heard_any = False
        self.answer: AnswerHead | None = None
        self.whole = False
        self.broken = False
        self.silent = False

    # ----------------------------------------------------------------- for the connection

    def head(self, head: AnswerHead) -> None:
        self.answer = head
        self._hear()

    def body(self, data: bytes) -> None:
        self._chunks.append(data)
        self._held += len(data)
        if self._held > HIGH_WATER_BYTES and not self._paused:
            self._paused = True
            self._connection.pause()
        self._hear()

    def complete(self) -> None:
        self.whole = True
        self._hear()

    def lost(self, sent: bool) -> None:
        self.broken = True
        self._wake()

    # ------------------------------------------------------------------- for the consumer

    @property
    def over(self) -> bool:
        """Whether nothing more will come."""
        return self.whole or self.broken or self.silent

    @property
    def held(self) -> int:
        """Bytes that have come and were not taken."""
        return self._held

    def take(self) -> bytes:
        """What has come of the body since the last time."""
        if not self._chunks:
            return b""
        data = self._chunks.popleft() if len(self._chunks) == 1 else b"".join(self._chunks)
        self._chunks.clear()
        self._held = 0
        if self._paused:
            self._paused = False
            self.heard_s = self._loop.time()  # the silence until now was of our own making
            self._connection.resume()
        return data

    async def changed(self) -> None:
        """Wait until something more has come or is known."""
        self._waiter = self._loop.create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    async def wait_head(self) -> AnswerHead | None:
        """The head of the answer; None where there will be none."""
        while self.answer is None and not self.over:
            await self.changed()
        return self.answer

    def watch(self, patience: Patience | None) -> None:
        """Take the answer for silent after so long without a byte; None: wait for ever."""
        self._patience = patience
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if patience is not None:
            self._timer = self._loop.call_later(patience.dark_s, self._look)

    def close(self) -> None:
        """The consumer is done with it."""
        self.watch(None)
        if self._paused:
            self._paused = False
            self._connection.resume()

    # -------------------------------------------------------------------------------- inside

    def _hear(self) -> None:
        self.heard_any = True
        self.heard_s = self._loop.time()
        self._hearing.note(self._server_id, self.heard_s)
        self._wake()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _look(self) -> None:
        self._timer = None
        patience = self._patience
        if patience is None or self.over:
            return
        now = self._loop.time()
        quiet_s = 0.0 if self._held else now - self.heard_s
        dark = self._hearing.last(self._server_id) <= self.heard_s
        limit_s = patience.dark_s if dark else patience.alive_s
        if quiet_s >= limit_s:
            self.silent = True
            self._wake()
            return
        step_s = patience.dark_s - quiet_s if quiet_s < patience.dark_s else patience.alive_s - quiet_s
        self._timer = self._loop.call_later(max(0.01, min(step_s, patience.dark_s)), self._look)
