"""File interface of the journal: files of the operating system, or simulated files with power failures."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Protocol

PERMISSIONS = 0o644


class File(Protocol):
    """An open file. Every call may raise `OSError`."""

    def size(self) -> int:
        """Return the length of the file in bytes."""

    def resize(self, length: int) -> None:
        """Truncate the file, or extend it with zeros, to this length in bytes."""

    def read(self, offset: int, length: int) -> bytes:
        """Read at most `length` bytes from `offset` on; fewer at the end of the file."""

    def write(self, offset: int, data: bytes) -> None:
        """Write all of `data` at `offset`."""

    def sync(self) -> None:
        """Make all writes durable, so that they survive a power failure."""

    def close(self) -> None:
        """Close the file, which must not be used any more."""


class Folder(Protocol):
    """A folder of files. Every call may raise `OSError`."""

    def names(self) -> list[str]:
        """Return the names of the files."""

    def open(self, name: str) -> File:
        """Open an existing file."""

    def create(self, name: str) -> File:
        """Create an empty file."""

    def sync(self) -> None:
        """Make the names of the files durable, so that they survive a power failure."""


class DiskFile:
    """A file of the operating system."""

    def __init__(self, path: Path, flags: int) -> None:
        self._descriptor = os.open(path, os.O_RDWR | os.O_CLOEXEC | flags, PERMISSIONS)

    def size(self) -> int:
        """Return the length of the file in bytes."""
        return os.fstat(self._descriptor).st_size

    def resize(self, length: int) -> None:
        """Truncate the file, or extend it with zeros, to this length in bytes."""
        os.ftruncate(self._descriptor, length)

    def read(self, offset: int, length: int) -> bytes:
        """Read at most `length` bytes from `offset` on; fewer at the end of the file."""
        chunks: list[bytes] = []
        while length > 0:
            chunk = os.pread(self._descriptor, length, offset)
            if not chunk:
                break
            chunks.append(chunk)
            offset += len(chunk)
            length -= len(chunk)
        return chunks[0] if len(chunks) == 1 else b"".join(chunks)

    def write(self, offset: int, data: bytes) -> None:
        """Write all of `data` at `offset`."""
        remaining = memoryview(data)
        while remaining:
            written = os.pwrite(self._descriptor, remaining, offset)
            offset += written
            remaining = remaining[written:]

    def sync(self) -> None:
        """Make all writes durable."""
        os.fdatasync(self._descriptor)

    def close(self) -> None:
        """Close the file."""
        os.close(self._descriptor)


class DiskFolder:
    """A folder of the operating system, which is created if it is missing."""

    def __init__(self, path: Path) -> None:
        self._path = path
        path.mkdir(parents=True, exist_ok=True)

    def names(self) -> list[str]:
        """Return the sorted names of the files."""
        return sorted(os.listdir(self._path))

    def open(self, name: str) -> DiskFile:
        """Open an existing file."""
        return DiskFile(self._path / name, 0)

    def create(self, name: str) -> DiskFile:
        """Create an empty file."""
        return DiskFile(self._path / name, os.O_CREAT | os.O_TRUNC)

    def sync(self) -> None:
        """Make the names of the files, and the name of the folder itself, durable."""
        for path in (self._path, self._path.parent):
            descriptor = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
            try:
                os.fsync(descriptor)
            finally:
                os.close(descriptor)
