"""Read-only scan of the folder of a journal: its contents and its damage. Blocks on the disk."""

from __future__ import annotations

from pathlib import Path

import attrs

from emberring.journal.layout import (
    FORMAT_VERSION,
    MAGIC,
    SEGMENT_HEADER_BYTES,
    Record,
    SegmentHeader,
    decode_segment_header,
    scan_segment,
)
from emberring.journal.ring import NAME_PREFIX


@attrs.frozen
class SegmentScan:
    """A segment in use: file, number, count of valid records, offset of their end, size of the file (bytes)."""

    file: str
    number: int
    records: int
    end: int
    size: int


@attrs.frozen
class JournalScan:
    """All segments in order, their records, the number of free files, and one line of text for each damage."""

    segments: tuple[SegmentScan, ...]
    records: tuple[Record, ...]
    free_files: int
    damages: tuple[str, ...]

    @property
    def used_bytes(self) -> int:
        """Total size of valid records and of segment headers, in bytes."""
        return sum(segment.end for segment in self.segments)


def scan_journal(directory: Path) -> JournalScan:
    """Scan the folder of a journal; raises `OSError` if it can't be read.

    Bytes after the last valid record of the newest segment are not damage: the process or the machine stopped during a
    write, or the file was in use before.
    """
    damages: list[str] = []
    used_files: list[tuple[SegmentHeader, str, bytes]] = []
    free_files = 0
    for path in sorted(directory.iterdir()):
        if not path.name.startswith(NAME_PREFIX):
            continue
        data = path.read_bytes()
        header = decode_segment_header(data[:SEGMENT_HEADER_BYTES])
        if header is not None:
            used_files.append((header, path.name, data))
            continue
        free_files += 1
        if data.startswith(MAGIC):
            version = int.from_bytes(data[len(MAGIC) : len(MAGIC) + 4], "little")
            other = f"has format version {version}, not {FORMAT_VERSION}"
            damages.append(f"{path.name}: {other if version != FORMAT_VERSION else 'its header is damaged'}")
    used_files.sort(key=lambda item: item[0].number)
    segments, records = _scan_segments(used_files, damages)
    return JournalScan(tuple(segments), tuple(records), free_files, tuple(damages))


def _scan_segments(
    used_files: list[tuple[SegmentHeader, str, bytes]], damages: list[str]
) -> tuple[list[SegmentScan], list[Record]]:
    segments: list[SegmentScan] = []
    records: list[Record] = []
    for index, (header, name, data) in enumerate(used_files):
        following = used_files[index + 1][0] if index + 1 < len(used_files) else None
        limit = None
        if following is not None and following.number == header.number + 1:
            limit = following.previous_end
        elif following is not None:
            damages.append(f"segments {header.number + 1} to {following.number - 1} are missing")
        scan = scan_segment(header, data, limit)
        if limit is not None and scan.end != limit:
            lost = max(0, limit - scan.end)
            damages.append(f"{name} (segment {header.number}): {lost} bytes from {scan.end} on are damaged")
        segments.append(SegmentScan(name, header.number, len(scan.records), scan.end, len(data)))
        records += scan.records
    return segments, records
