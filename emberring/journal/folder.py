"""Files as the journal sees them: the operating system's, or a simulator's that loses power."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Protocol

PERMISSIONS = 0o644


class File(Protocol):
    """An open file; every call may raise `OSError`."""

    def size(self) -> int:
        """Its length in bytes."""

    def resize(self, length: int) -> None:
        """Cut it or fill it up with zeros to this length."""

    def read(self, offset: int, length: int) -> bytes:
        """At most so many bytes from there; fewer at its end."""

    def write(self, offset: int, data: bytes) -> None:
        """All these bytes there."""

    def sync(self) -> None:
        """What was written lasts through a loss of power."""

    def close(self) -> None:
        """No more calls."""


class Folder(Protocol):
    """A folder of files; every call may raise `OSError`."""

    def names(self) -> list[str]:
        """The names in it."""

    def open(self, name: str) -> File:
        """An existing file."""

    def create(self, name: str) -> File:
        """A new, empty file."""

    def sync(self) -> None:
        """Its names last through a loss of power."""


class DiskFile:
    """A file of the operating system."""

    def __init__(self, path: Path, flags: int) -> None:
        self._descriptor = os.open(path, os.O_RDWR | os.O_CLOEXEC | flags, PERMISSIONS)

    def size(self) -> int:
        return os.fstat(self._descriptor).st_size

    def resize(self, length: int) -> None:
        os.ftruncate(self._descriptor, length)

    def read(self, offset: int, length: int) -> bytes:
        parts: list[bytes] = []
        while length > 0:
            part = os.pread(self._descriptor, length, offset)
            if not part:
                break
            parts.append(part)
            offset += len(part)
            length -= len(part)
        return parts[0] if len(parts) == 1 else b"".join(parts)

    def write(self, offset: int, data: bytes) -> None:
        left = memoryview(data)
        while left:
            written = os.pwrite(self._descriptor, left, offset)
            offset += written
            left = left[written:]

    def sync(self) -> None:
        os.fdatasync(self._descriptor)

    def close(self) -> None:
        os.close(self._descriptor)


class DiskFolder:
    """A folder of the operating system, made where it is missing."""

    def __init__(self, path: Path) -> None:
        self._path = path
        path.mkdir(parents=True, exist_ok=True)

    def names(self) -> list[str]:
        return sorted(os.listdir(self._path))

    def open(self, name: str) -> DiskFile:
        return DiskFile(self._path / name, 0)

    def create(self, name: str) -> DiskFile:
        return DiskFile(self._path / name, os.O_CREAT | os.O_TRUNC)

    def sync(self) -> None:
        for path in (self._path, self._path.parent):
            descriptor = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
            try:
                os.fsync(descriptor)
            finally:
                os.close(descriptor)
