"""Interface of the journal to files: those of the operating system, or a simulator's that lose power."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Protocol

PERMISSIONS = 0o644


class File(Protocol):
    """An open file; every call may raise `OSError`."""

    def size(self) -> int:
        """Return its length in bytes."""

    def resize(self, length: int) -> None:
        """Truncate it or extend it with zeros to this length in bytes."""

    def read(self, offset: int, length: int) -> bytes:
        """Read at most `length` bytes from `offset` on; fewer at the end of the file."""

    def write(self, offset: int, data: bytes) -> None:
        """Write all these bytes at `offset`."""

    def sync(self) -> None:
        """Make everything written durable through a loss of power."""

    def close(self) -> None:
        """Close the file; no call may follow."""


class Folder(Protocol):
    """A folder of files; every call may raise `OSError`."""

    def names(self) -> list[str]:
        """Return the names in it."""

    def open(self, name: str) -> File:
        """Open an existing file."""

    def create(self, name: str) -> File:
        """Create an empty file."""

    def sync(self) -> None:
        """Make the names in it durable through a loss of power."""


class DiskFile:
    """A file of the operating system."""

    def __init__(self, path: Path, flags: int) -> None:
        self._descriptor = os.open(path, os.O_RDWR | os.O_CLOEXEC | flags, PERMISSIONS)

    def size(self) -> int:
        """Return its length in bytes."""
        return os.fstat(self._descriptor).st_size

    def resize(self, length: int) -> None:
        """Truncate it or extend it with zeros to this length in bytes."""
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
        """Write all these bytes at `offset`."""
        remaining = memoryview(data)
        while remaining:
            written = os.pwrite(self._descriptor, remaining, offset)
            offset += written
            remaining = remaining[written:]

    def sync(self) -> None:
        """Make everything written durable."""
        os.fdatasync(self._descriptor)

    def close(self) -> None:
        """Close the file."""
        os.close(self._descriptor)


class DiskFolder:
    """A folder of the operating system, created where it is missing."""

    def __init__(self, path: Path) -> None:
        self._path = path
        path.mkdir(parents=True, exist_ok=True)

    def names(self) -> list[str]:
        """Return the sorted names in it."""
        return sorted(os.listdir(self._path))

    def open(self, name: str) -> DiskFile:
        """Open an existing file."""
        return DiskFile(self._path / name, 0)

    def create(self, name: str) -> DiskFile:
        """Create an empty file."""
        return DiskFile(self._path / name, os.O_CREAT | os.O_TRUNC)

    def sync(self) -> None:
        """Make the names in it, and its own name, durable."""
        for path in (self._path, self._path.parent):
            descriptor = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
            try:
                os.fsync(descriptor)
            finally:
                os.close(descriptor)
