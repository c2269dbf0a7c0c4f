"""Journal of records on disk: appended on the event loop, written and synced in groups by one thread."""

from __future__ import annotations

import asyncio
import contextlib
import os
import threading
from collections import deque
from collections.abc import Awaitable, Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import TypeVar

import attrs

from emberring.errors import DiskFailedError, EmberringError, InternalError
from emberring.journal.folder import DiskFolder
from emberring.journal.layout import Position, Record
from emberring.journal.ring import Ring
from emberring.logs import get_logger

MAX_PENDING_BYTES = 48 * 1024 * 1024  # waiting for the disk, above which appends are rejected
MAX_GROUP_BYTES = 4 * 1024 * 1024  # written and synced together
HEAL_INTERVAL_S = 0.25  # between attempts to recover a disk that failed, and to reclaim a full ring
CLOSE_TIMEOUT_S = 1.0  # for pending records to be written

T = TypeVar("T")
Rewriter = Callable[[int], Awaitable[None]]

logger = get_logger("journal")


@attrs.define(eq=False)
class _Append:
    """A record that is not durable yet."""

    payload: bytes
    reclaiming: bool
    future: asyncio.Future[Position]


@attrs.frozen
class _Outcome:
    """Outcome of writing a group of records: their positions, or the error."""

    group: tuple[_Append, ...]
    positions: tuple[Position, ...] = ()
    error: DiskFailedError | None = None


@attrs.define(eq=False)
class _Release:
    """A request to the writer thread to release a segment."""

    number: int
    future: asyncio.Future[None]


def _resolve(future: asyncio.Future[None]) -> None:
    if not future.done():
        future.set_result(None)


class Journal:
    """Durable records: `append` resolves once the record is synced. Not thread-safe: used from one event loop.

    If the disk rejects a write, `failed` is set, and every append fails with `DiskFailedError` until the disk accepts
    writes again. A record whose append failed may or may not be found after a restart. If the disk stalls, appends
    stay pending: callers need their own timeouts.
    """

    def __init__(self, ring: Ring) -> None:
        self._ring = ring
        self._queue: deque[_Append] = deque()
        self._reclaims: deque[_Append] = deque()
        self._releases: deque[_Release] = deque()
        self._pending_bytes = 0
        self._condition = threading.Condition()
        self._stopping = False
        self._failed = False
        self._ring_full = False
        self._loop: asyncio.AbstractEventLoop | None = None
        self._thread: threading.Thread | None = None
        self._reader: ThreadPoolExecutor | None = None
        self._rewriter: Rewriter | None = None
        self._reclaiming: asyncio.Task[None] | None = None

    @classmethod
    def open(
        cls, directory: Path, segment_bytes: int, max_bytes: int, reclaim_above: int | None = None
    ) -> tuple[Journal, list[Record]]:
        """Open or create the journal in a folder; return it and all its records, oldest first. Blocks on the disk.

        Segments are `segment_bytes` long, or longer for a single record that does not fit. The oldest segment is
        reclaimed while more than `reclaim_above` bytes are in use; at most `max_bytes` are used. Raises
        `DiskFailedError` if the disk rejects an operation, and `CorruptRecordError` if synced records are damaged:
        a power failure can't cause that, so such a journal must not be used.
        """
        nonce = int.from_bytes(os.urandom(4), "little")
        try:
            ring, records = Ring.open(DiskFolder(directory), segment_bytes, max_bytes, nonce, reclaim_above)
        except OSError as error:
            raise DiskFailedError(f"{type(error).__name__}: {error}") from error
        return cls(ring), records

    @property
    def failed(self) -> bool:
        """Whether the disk rejects writes at present."""
        return self._failed

    @property
    def pending_bytes(self) -> int:
        """Number of payload bytes waiting for the disk."""
        return self._pending_bytes

    def set_rewriter(self, rewriter: Rewriter) -> None:
        """Set the function that preserves the live records of the oldest segment before it is reclaimed.

        `await rewriter(number)` runs on the event loop. It appends the live records of that segment again, with
        `reclaiming=True`, waits until they are durable, and returns; then the segment is released and its records
        are lost. It raises an `EmberringError` to postpone the reclaim. Segments are reclaimed oldest first.
        A record that is appended again may be written before or after ordinary records in flight. The rewriter must
        therefore write the newest state, including records in flight, and after a restart the reader must decide by
        their contents which of two records is newer. Ordinary appends wait while the ring is full.
        """
        self._rewriter = rewriter

    def append(self, payload: bytes, reclaiming: bool = False) -> asyncio.Future[Position]:
        """Append a record; the future resolves to its position once it is synced, or fails with `DiskFailedError`.

        Ordinary appends are written in order. `reclaiming` is for a rewriter, which may use the reserved
        segments.
        """
        loop = asyncio.get_running_loop()
        future: asyncio.Future[Position] = loop.create_future()
        self._start(loop)
        with self._condition:
            reason = self._rejection_reason(len(payload))
            if not reason:
                queue = self._reclaims if reclaiming else self._queue
                queue.append(_Append(payload, reclaiming, future))
                self._pending_bytes += len(payload)
                self._condition.notify()
        if reason:
            future.set_exception(DiskFailedError(reason))
        return future

    def _rejection_reason(self, length: int) -> str:
        if self._stopping:
            return "the journal is closed"
        if self._failed:
            return "the disk rejects writes"
        if self._pending_bytes and self._pending_bytes + length > MAX_PENDING_BYTES:
            return "too much data waits for the disk"
        return ""

    async def read(self, position: Position) -> bytes:
        """Return the payload at a position; raises `CorruptRecordError` if there is no such record (any more)."""
        if self._reader is None:
            self._reader = ThreadPoolExecutor(1, "journal-reader")
        return await asyncio.get_running_loop().run_in_executor(self._reader, self._ring.read, position)

    async def close(self) -> None:
        """Write pending records, for at most `CLOSE_TIMEOUT_S`, and stop.

        If the disk stalls, the writer thread continues in the background and ends by itself later.
        """
        with self._condition:
            self._stopping = True
            self._condition.notify()
        if self._reclaiming is not None:
            self._reclaiming.cancel()
        if self._reader is not None:
            self._reader.shutdown(wait=False)
        if self._thread is not None:
            await asyncio.get_running_loop().run_in_executor(None, self._thread.join, CLOSE_TIMEOUT_S)
        if self._thread is None or not self._thread.is_alive():
            self._ring.close()

    def _start(self, loop: asyncio.AbstractEventLoop) -> None:
        if self._thread is None:
            self._loop = loop
            self._thread = threading.Thread(target=self._write_all, name="journal-writer", daemon=True)
            self._thread.start()

    # Methods of the writer thread.

    def _write_all(self) -> None:
        while (group := self._next_group()) is not None:
            if group:
                self._write(group)
            elif self._failed:
                self._try_heal()

    def _next_group(self) -> tuple[_Append, ...] | None:
        """Return the next group to write; empty if the disk is to be checked; None if the journal is closed."""
        with self._condition:
            while not (self._ready or self._stopping or self._releases):
                if not self._condition.wait(HEAL_INTERVAL_S if self._failed else None):
                    break
            self._release_all()
            if self._stopping and not self._ready:
                return None
            return self._take_group()

    @property
    def _ready(self) -> bool:
        return bool(self._reclaims or (self._queue and not self._ring_full))

    def _release_all(self) -> None:
        while self._releases:
            release = self._releases.popleft()
            self._ring.release(release.number)
            self._ring_full = False
            self._post(_resolve, release.future)

    def _take_group(self) -> tuple[_Append, ...]:
        queue = self._queue if self._queue and not self._ring_full else self._reclaims
        group: list[_Append] = []
        size = 0
        while queue and (not group or size + len(queue[0].payload) <= MAX_GROUP_BYTES):
            item = queue.popleft()
            size += len(item.payload)
            group.append(item)
        return tuple(group)

    def _write(self, group: tuple[_Append, ...]) -> None:
        if self._failed:
            self._post(self._finish, _Outcome(group, error=DiskFailedError("the disk rejects writes")))
            return
        try:
            payloads = [item.payload for item in group]
            positions = tuple(self._ring.commit(payloads, group[0].reclaiming))
        except DiskFailedError as error:
            self._failed = True
            logger.warning("event=disk_refused detail=%r", error.detail)
            self._post(self._finish, _Outcome(group, error=error))
            return
        self._post(self._finish, _Outcome(group[: len(positions)], positions))
        if len(positions) < len(group):
            self._requeue(group[len(positions) :])
        with contextlib.suppress(OSError):
            self._ring.prepare_ahead()

    def _requeue(self, group: tuple[_Append, ...]) -> None:
        """Handle records that do not fit: ordinary ones wait until a segment is released, others fail."""
        if group[0].reclaiming or self._rewriter is None:
            self._post(self._finish, _Outcome(group, error=DiskFailedError("the ring is full")))
            return
        with self._condition:
            self._ring_full = True
            self._queue.extendleft(reversed(group))
        self._post(self._finish, _Outcome(()))

    def _try_heal(self) -> None:
        with contextlib.suppress(DiskFailedError):
            self._ring.heal()
            self._failed = False
            logger.warning("event=disk_healed")

    def _post(self, callback: Callable[[T], None], argument: T) -> None:
        if self._loop is None:
            raise InternalError("the writer thread runs without an event loop")
        with contextlib.suppress(RuntimeError):  # the loop is closed, so no future is awaited any more
            self._loop.call_soon_threadsafe(callback, argument)

    # Methods of the event loop.

    def _finish(self, outcome: _Outcome) -> None:
        with self._condition:
            self._pending_bytes -= sum(len(item.payload) for item in outcome.group)
        for index, item in enumerate(outcome.group):
            if item.future.done():
                continue
            if outcome.error is not None:
                item.future.set_exception(outcome.error)
            else:
                item.future.set_result(outcome.positions[index])
        self._reclaim_if_needed()

    def _reclaim_if_needed(self) -> None:
        if self._rewriter is None or self._reclaiming is not None or not self._wants_reclaim:
            return
        self._reclaiming = asyncio.get_running_loop().create_task(self._reclaim(self._rewriter))

    @property
    def _wants_reclaim(self) -> bool:
        return self._ring_full or self._ring.reclaim_needed

    async def _reclaim(self, rewriter: Rewriter) -> None:
        """Reclaim the oldest segments until there is capacity again, each at most once."""
        try:
            newest = max(self._ring.numbers, default=0)
            while self._wants_reclaim and not self._stopping:
                number = self._ring.oldest
                if number is None or number > newest:
                    break
                await rewriter(number)
                await self._release(number)
        except EmberringError as error:
            logger.warning("event=reclaim_failed detail=%r", error.detail)
        finally:
            self._reclaiming = None
            if self._ring_full and not self._stopping:
                asyncio.get_running_loop().call_later(HEAL_INTERVAL_S, self._reclaim_if_needed)

    async def _release(self, number: int) -> None:
        """Let the writer thread release a segment, and wait until it has."""
        released = asyncio.get_running_loop().create_future()
        with self._condition:
            self._releases.append(_Release(number, released))
            self._condition.notify()
        await released
