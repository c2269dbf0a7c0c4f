"""The ring of files under a journal: records go to the newest segment, the oldest is released and its file used again.

Every call blocks on the disk. One thread at a time may write; `read` may run beside it.

Order on disk: a segment is whole and synced before the header of the next is written, and that header tells where
the one before ends. Files are used again in the order in which their segments were released, so that the segments
found at a start always follow one another without a gap.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence

import attrs

from emberring.errors import CorruptRecordError, DiskFailedError
from emberring.journal.folder import File, Folder
from emberring.journal.layout import (
    RECORD_HEADER_BYTES,
    SEGMENT_HEADER_BYTES,
    Position,
    Record,
    SegmentHeader,
    decode_segment_header,
    encode_record,
    scan_segment,
    verify_record,
)

NAME_PREFIX = "ring-"
RESERVED_SEGMENTS = 2  # kept for what a reclaim writes anew
HEALING_SEGMENTS = 1  # beyond the most that is used otherwise, to leave a segment that the disk refused
ERASE_BYTES = 1024 * 1024  # written at once


@attrs.define(eq=False)
class _Slot:
    """A file of the ring and the length it has, in bytes."""

    file: File
    size: int


@attrs.define
class _Tail:
    """The newest segment: where its next record goes, and what that links to."""

    number: int
    slot: _Slot
    end: int
    link: int


def record_bytes(payload: bytes) -> int:
    """What a payload takes up on disk."""
    return RECORD_HEADER_BYTES + len(payload)


class Ring:
    """The segments in use, the files that are free, and the end of the newest segment. Sizes are in bytes.

    The oldest segment is to be reclaimed while more than `reclaim_above` is in use, by default all but a reserve.
    """

    def __init__(
        self, folder: Folder, segment_bytes: int, max_bytes: int, nonce: int, reclaim_above: int | None = None
    ) -> None:
        self._folder = folder
        self._segment_bytes = segment_bytes
        self._max_bytes = max(max_bytes, (RESERVED_SEGMENTS + 2) * segment_bytes)
        reserve = self._max_bytes - RESERVED_SEGMENTS * segment_bytes
        self._reclaim_above = reserve if reclaim_above is None else min(reserve, reclaim_above)
        self._nonce = nonce
        self._used: dict[int, _Slot] = {}
        self._free: deque[_Slot] = deque()
        self._files: list[File] = []
        self._names = 0
        self._tail: _Tail | None = None
        self._broken = False

    @classmethod
    def open(
        cls, folder: Folder, segment_bytes: int, max_bytes: int, nonce: int, reclaim_above: int | None = None
    ) -> tuple[Ring, list[Record]]:
        """The ring in this folder with all its records in order; `CorruptRecordError` where synced ones are damaged."""
        ring = cls(folder, segment_bytes, max_bytes, nonce, reclaim_above)
        try:
            return ring, ring._recover()
        except BaseException:
            ring.close()
            raise

    def _recover(self) -> list[Record]:
        found: list[tuple[SegmentHeader, _Slot]] = []
        for name in self._folder.names():
            if not name.startswith(NAME_PREFIX):
                continue
            self._names = max(self._names, int(name[len(NAME_PREFIX) :]) + 1)
            file = self._folder.open(name)
            self._files.append(file)
            slot = _Slot(file, file.size())
            header = decode_segment_header(file.read(0, SEGMENT_HEADER_BYTES))
            if header is None:
                self._free.append(slot)
            else:
                found.append((header, slot))
        found.sort(key=lambda item: item[0].number)
        return self._read_segments(found)

    def _read_segments(self, found: list[tuple[SegmentHeader, _Slot]]) -> list[Record]:
        records: list[Record] = []
        for index, (header, slot) in enumerate(found):
            following = found[index + 1][0] if index + 1 < len(found) else None
            if following is not None and following.number != header.number + 1:
                raise CorruptRecordError(f"segment {header.number + 1} is missing")
            limit = None if following is None else following.previous_end
            scan = scan_segment(header, slot.file.read(0, slot.size), limit)
            if limit is not None and scan.end != limit:
                raise CorruptRecordError(f"segment {header.number} ends at {scan.end}, not {limit}")
            records.extend(scan.records)
            self._used[header.number] = slot
            if following is None:
                slot.file.sync()  # what a killed process left unsynced counts from here on, so it must last
                self._tail = _Tail(header.number, slot, scan.end, scan.link)
        return records

    @property
    def oldest(self) -> int | None:
        """The oldest segment that may be released, or None while there is but the newest."""
        numbers = tuple(self._used)  # copied in one step: the writer's thread may add one meanwhile
        return min(numbers) if len(numbers) > 1 else None

    @property
    def numbers(self) -> tuple[int, ...]:
        """The segments in use."""
        return tuple(self._used)

    @property
    def used_bytes(self) -> int:
        """The files of all segments in use together."""
        return sum(slot.size for slot in tuple(self._used.values()))

    @property
    def crowded(self) -> bool:
        """Whether the oldest segment should be released soon."""
        return self.used_bytes > self._reclaim_above

    def release(self, number: int) -> None:
        """The records of the oldest segment are needed no longer; its file may be used again."""
        if number != self.oldest:
            raise ValueError(f"segment {number} is not the oldest")
        self._free.append(self._used.pop(number))

    def commit(self, payloads: Sequence[bytes], reclaiming: bool = False) -> list[Position]:
        """Write records and sync them; returns the positions of those that the ring had room for, the first ones.

        On `DiskFailedError` a start may find the first few of them or none, and `heal` must come before the next
        commit.
        """
        if self._broken:
            raise DiskFailedError("the ring has not healed")
        positions: list[Position] = []
        left = deque(payloads)
        try:
            while left and self._make_room(record_bytes(left[0]), reclaiming):
                positions += self._write_run(left)
        except OSError as error:
            self._broken = True
            raise DiskFailedError(f"{type(error).__name__}: {error}") from error
        return positions

    def heal(self) -> None:
        """After a failure: leave the newest segment at its last good record and begin another one.

        Where the ring is too full for another one, what lies behind the last good record is erased instead.
        `DiskFailedError` where the disk still refuses.
        """
        if not self._broken:
            return
        try:
            # A new segment wherever there is room. If a header that failed to sync lasts all the same, it says
            # where the newest segment ends, which must not grow on; and for that header there was room.
            if self._has_room_to_heal:
                self._roll(self._segment_bytes)
            else:
                self._erase_rest()
        except OSError as error:
            raise DiskFailedError(f"{type(error).__name__}: {error}") from error
        self._broken = False

    def prepare_ahead(self) -> None:
        """Make the file of the next segment while there is still room in this one. Failures show later."""
        if self._free or self._tail is None or self._tail.end * 2 < self._tail.slot.size:
            return
        if self.used_bytes + self._segment_bytes <= self._max_bytes:
            self._free.append(self._create(self._segment_bytes))

    def read(self, position: Position) -> bytes:
        """The payload at this position; `CorruptRecordError` where it is not there (any more)."""
        slot = self._used.get(position.segment)
        if slot is None:
            raise CorruptRecordError(f"segment {position.segment} is not in use")
        try:
            data = slot.file.read(position.offset, RECORD_HEADER_BYTES + position.length)
        except OSError as error:
            raise DiskFailedError(f"{type(error).__name__}: {error}") from error
        payload = verify_record(position, data)
        if payload is None:
            raise CorruptRecordError(f"no record at {position}")
        return payload

    def close(self) -> None:
        """Let go of all files."""
        for file in self._files:
            file.close()

    def _make_room(self, needed: int, reclaiming: bool) -> bool:
        """Whether the newest segment has, or a new one was begun with, room for so many bytes."""
        if self._tail is not None and self._tail.end + needed <= self._tail.slot.size:
            return True
        size = max(self._segment_bytes, SEGMENT_HEADER_BYTES + needed)
        if not self._has_room(size, reclaiming):
            return False
        self._roll(size)
        return True

    def _has_room(self, size: int, reclaiming: bool) -> bool:
        room = self._max_bytes if reclaiming else self._max_bytes - self._segment_bytes
        return not self._used or self.used_bytes + size <= room

    @property
    def _has_room_to_heal(self) -> bool:
        room = self._max_bytes + HEALING_SEGMENTS * self._segment_bytes
        return not self._used or self.used_bytes + self._segment_bytes <= room

    def _erase_rest(self) -> None:
        """Zeros from the end of the newest segment's last good record on, so that nothing behind it comes back."""
        assert self._tail is not None
        slot = self._tail.slot
        for offset in range(self._tail.end, slot.size, ERASE_BYTES):
            slot.file.write(offset, bytes(min(ERASE_BYTES, slot.size - offset)))
        slot.file.sync()

    def _write_run(self, left: deque[bytes]) -> list[Position]:
        """Write as many records as fit into the newest segment, at once, and sync them."""
        assert self._tail is not None
        tail = self._tail
        positions: list[Position] = []
        parts: list[bytes] = []
        end, link = tail.end, tail.link
        while left and end + record_bytes(left[0]) <= tail.slot.size:
            payload = left.popleft()
            position = Position(tail.number, end, len(payload))
            data, link = encode_record(position, self._nonce, link, payload)
            parts.append(data)
            positions.append(position)
            end += len(data)
        tail.slot.file.write(tail.end, b"".join(parts))
        tail.slot.file.sync()
        tail.end, tail.link = end, link
        return positions

    def _roll(self, size: int) -> None:
        """Begin a new segment of this size."""
        if not self._free:
            self._free.append(self._create(size))
        slot = self._free[0]
        # Never cut shorter. Until the new header lasts, a start reads the file as it was.
        if slot.size < size:
            slot.file.resize(size)
            slot.size = size
        number, previous_end = (0, 0) if self._tail is None else (self._tail.number + 1, self._tail.end)
        header = SegmentHeader(number, previous_end, self._nonce)
        slot.file.write(0, header.encode())
        slot.file.sync()
        self._free.popleft()
        self._used[number] = slot
        self._tail = _Tail(number, slot, SEGMENT_HEADER_BYTES, header.link)

    def _create(self, size: int) -> _Slot:
        file = self._folder.create(f"{NAME_PREFIX}{self._names:06d}")
        self._names += 1
        self._files.append(file)
        file.resize(size)
        file.sync()
        self._folder.sync()
        return _Slot(file, size)
