"""Ring of files of a journal: records are written to the newest segment; files of released segments are reused.

Every call blocks on the disk. Only one thread may write at a time; `read` may run concurrently.
Order of writes: a segment is complete and synced before the header of the next one is written, and that header
contains the end of the previous segment. Files are reused in the order in which their segments were released, so that
the segments found at a start are always consecutive.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence

import attrs

from emberring.errors import CorruptRecordError, DiskFailedError, InternalError
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
RESERVED_SEGMENTS = 2  # for the records that a reclaim appends again
EXTRA_HEALING_SEGMENTS = 1  # beyond `max_bytes`, to replace a segment in which a write failed
ERASE_BYTES = 1024 * 1024  # in one write of zeros


@attrs.define(eq=False)
class _SegmentFile:
    """A file of the ring and its length in bytes."""

    file: File
    size: int


@attrs.define
class _NewestSegment:
    """The newest segment: offset (`end`) and link of its next record."""

    number: int
    segment_file: _SegmentFile
    end: int
    link: int


def record_bytes(payload: bytes) -> int:
    """Return the size of a record on disk, in bytes."""
    return RECORD_HEADER_BYTES + len(payload)


class Ring:
    """Segments in use, free files, and the end of the newest segment. Sizes are in bytes.

    The oldest segment should be reclaimed while more than `reclaim_above` is in use; the default is all except the
    reserved segments. `nonce` is stored in the records that are written after this start.
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
        self._segment_files: dict[int, _SegmentFile] = {}
        self._free_files: deque[_SegmentFile] = deque()
        self._files: list[File] = []
        self._next_file_number = 0
        self._newest: _NewestSegment | None = None
        self._failed = False

    @classmethod
    def open(
        cls, folder: Folder, segment_bytes: int, max_bytes: int, nonce: int, reclaim_above: int | None = None
    ) -> tuple[Ring, list[Record]]:
        """Open the ring in a folder; return it and all its records in order.

        Raises `CorruptRecordError` if synced records are damaged.
        """
        ring = cls(folder, segment_bytes, max_bytes, nonce, reclaim_above)
        try:
            return ring, ring._recover()
        except BaseException:
            ring.close()
            raise

    def _recover(self) -> list[Record]:
        segments: list[tuple[SegmentHeader, _SegmentFile]] = []
        for name in self._folder.names():
            if not name.startswith(NAME_PREFIX):
                continue
            self._next_file_number = max(self._next_file_number, int(name[len(NAME_PREFIX) :]) + 1)
            file = self._folder.open(name)
            self._files.append(file)
            segment_file = _SegmentFile(file, file.size())
            header = decode_segment_header(file.read(0, SEGMENT_HEADER_BYTES))
            if header is None:
                self._free_files.append(segment_file)
            else:
                segments.append((header, segment_file))
        segments.sort(key=lambda item: item[0].number)
        return self._read_segments(segments)

    def _read_segments(self, segments: list[tuple[SegmentHeader, _SegmentFile]]) -> list[Record]:
        records: list[Record] = []
        for index, (header, segment_file) in enumerate(segments):
            following = segments[index + 1][0] if index + 1 < len(segments) else None
            if following is not None and following.number != header.number + 1:
                raise CorruptRecordError(f"segment {header.number + 1} is missing")
            limit = None if following is None else following.previous_end
            scan = scan_segment(header, segment_file.file.read(0, segment_file.size), limit)
            if limit is not None and scan.end != limit:
                raise CorruptRecordError(f"segment {header.number} ends at {scan.end}, not {limit}")
            records.extend(scan.records)
            self._segment_files[header.number] = segment_file
            if following is None:
                # Records that a killed process wrote without a sync are valid from now on, so make them durable.
                segment_file.file.sync()
                self._newest = _NewestSegment(header.number, segment_file, scan.end, scan.link)
        return records

    @property
    def oldest(self) -> int | None:
        """The oldest segment, which may be released; None if the newest segment is the only one."""
        numbers = tuple(self._segment_files)  # copied in one step, as the writer thread may add one meanwhile
        return min(numbers) if len(numbers) > 1 else None

    @property
    def numbers(self) -> tuple[int, ...]:
        """The segments in use."""
        return tuple(self._segment_files)

    @property
    def used_bytes(self) -> int:
        """Total size of the files of all segments in use."""
        return sum(segment_file.size for segment_file in tuple(self._segment_files.values()))

    @property
    def reclaim_needed(self) -> bool:
        """Whether the oldest segment should be reclaimed."""
        return self.used_bytes > self._reclaim_above

    def release(self, number: int) -> None:
        """Release the oldest segment, whose records are not needed any more, so that its file can be reused."""
        if number != self.oldest:
            raise ValueError(f"segment {number} is not the oldest")
        self._free_files.append(self._segment_files.pop(number))

    def commit(self, payloads: Sequence[bytes], reclaiming: bool = False) -> list[Position]:
        """Write and sync the first records, as many as fit into the ring; return their positions.

        After a `DiskFailedError`, a restart may find none or the first few of the records, and `heal` must be called
        before the next commit.
        """
        if self._failed:
            raise DiskFailedError("the ring has not recovered from a failed write")
        positions: list[Position] = []
        remaining = deque(payloads)
        try:
            while remaining and self._ensure_capacity(record_bytes(remaining[0]), reclaiming):
                positions += self._write_run(remaining)
        except OSError as error:
            self._failed = True
            raise DiskFailedError(f"{type(error).__name__}: {error}") from error
        return positions

    def heal(self) -> None:
        """Recover after a failed write: end the newest segment at its last valid record and begin another one.

        If the ring is too full for another segment, the bytes after the last valid record are erased instead. Raises
        `DiskFailedError` if the disk still rejects writes.
        """
        if not self._failed:
            return
        try:
            # Begin a new segment whenever one fits. A header whose sync failed may be durable nevertheless: it
            # contains the end of the newest segment, which then must not grow. In that case a new segment does fit.
            if self._may_begin_segment_to_heal:
                self._begin_segment(self._segment_bytes)
            else:
                self._erase_after_newest()
        except OSError as error:
            raise DiskFailedError(f"{type(error).__name__}: {error}") from error
        self._failed = False

    def prepare_ahead(self) -> None:
        """Create the file of the next segment before the newest one is full. Later calls report lasting failures."""
        if self._free_files or self._newest is None or self._newest.end * 2 < self._newest.segment_file.size:
            return
        if self.used_bytes + self._segment_bytes <= self._max_bytes:
            self._free_files.append(self._create(self._segment_bytes))

    def read(self, position: Position) -> bytes:
        """Return the payload at a position; raises `CorruptRecordError` if there is no such record (any more)."""
        segment_file = self._segment_files.get(position.segment)
        if segment_file is None:
            raise CorruptRecordError(f"segment {position.segment} is not in use")
        try:
            data = segment_file.file.read(position.offset, RECORD_HEADER_BYTES + position.length)
        except OSError as error:
            raise DiskFailedError(f"{type(error).__name__}: {error}") from error
        payload = verify_record(position, data)
        if payload is None:
            raise CorruptRecordError(f"no record at {position}")
        return payload

    def close(self) -> None:
        """Close all files."""
        for file in self._files:
            file.close()

    def _ensure_capacity(self, needed: int, reclaiming: bool) -> bool:
        """Return whether `needed` bytes fit into the newest segment; begin a new one for them if necessary."""
        if self._newest is not None and self._newest.end + needed <= self._newest.segment_file.size:
            return True
        size = max(self._segment_bytes, SEGMENT_HEADER_BYTES + needed)
        if not self._fits(size, reclaiming):
            return False
        self._begin_segment(size)
        return True

    def _fits(self, size: int, reclaiming: bool) -> bool:
        limit_bytes = self._max_bytes if reclaiming else self._max_bytes - self._segment_bytes
        return not self._segment_files or self.used_bytes + size <= limit_bytes

    @property
    def _may_begin_segment_to_heal(self) -> bool:
        limit_bytes = self._max_bytes + EXTRA_HEALING_SEGMENTS * self._segment_bytes
        return not self._segment_files or self.used_bytes + self._segment_bytes <= limit_bytes

    def _erase_after_newest(self) -> None:
        """Overwrite the newest segment after its last valid record with zeros, so that no failed write reappears."""
        newest = self._require_newest()
        segment_file = newest.segment_file
        for offset in range(newest.end, segment_file.size, ERASE_BYTES):
            segment_file.file.write(offset, bytes(min(ERASE_BYTES, segment_file.size - offset)))
        segment_file.file.sync()

    def _write_run(self, remaining: deque[bytes]) -> list[Position]:
        """Write as many records as fit into the newest segment with one write, and sync them."""
        newest = self._require_newest()
        positions: list[Position] = []
        chunks: list[bytes] = []
        end, link = newest.end, newest.link
        while remaining and end + record_bytes(remaining[0]) <= newest.segment_file.size:
            payload = remaining.popleft()
            position = Position(newest.number, end, len(payload))
            data, link = encode_record(position, self._nonce, link, payload)
            chunks.append(data)
            positions.append(position)
            end += len(data)
        newest.segment_file.file.write(newest.end, b"".join(chunks))
        newest.segment_file.file.sync()
        newest.end, newest.link = end, link
        return positions

    def _require_newest(self) -> _NewestSegment:
        if self._newest is None:
            raise InternalError("the ring has no segment")
        return self._newest

    def _begin_segment(self, size: int) -> None:
        """Begin a new segment of this size."""
        if not self._free_files:
            self._free_files.append(self._create(size))
        segment_file = self._free_files[0]
        # Never truncate the file: until the new header is durable, a restart reads its previous segment.
        if segment_file.size < size:
            segment_file.file.resize(size)
            segment_file.size = size
        number, previous_end = (0, 0) if self._newest is None else (self._newest.number + 1, self._newest.end)
        header = SegmentHeader(number, previous_end, self._nonce)
        segment_file.file.write(0, header.encode())
        segment_file.file.sync()
        self._free_files.popleft()
        self._segment_files[number] = segment_file
        self._newest = _NewestSegment(number, segment_file, SEGMENT_HEADER_BYTES, header.link)

    def _create(self, size: int) -> _SegmentFile:
        file = self._folder.create(f"{NAME_PREFIX}{self._next_file_number:06d}")
        self._next_file_number += 1
        self._files.append(file)
        file.resize(size)
        file.sync()
        self._folder.sync()
        return _SegmentFile(file, size)
