"""Identity of a disk: a random string, generated when the disk is first used and stored only on it."""

from __future__ import annotations

import os
import secrets
import zlib
from pathlib import Path

FILE_NAME = "identity"
IDENTITY_BYTES = 8


def read_identity(directory: Path) -> str | None:
    """Return the identity stored in a folder; None if the file is missing or damaged."""
    try:
        parts = (directory / FILE_NAME).read_text(encoding="ascii").split()
    except (OSError, UnicodeDecodeError):
        return None
    if len(parts) != 2 or parts[1] != _check(parts[0]):
        return None
    return parts[0]


def create_identity(directory: Path) -> str:
    """Create an identity and store it durably in a folder; raises `OSError` if the disk rejects it."""
    identity = secrets.token_hex(IDENTITY_BYTES)
    with open(directory / FILE_NAME, "wb") as file:
        file.write(f"{identity} {_check(identity)}\n".encode("ascii"))
        file.flush()
        os.fsync(file.fileno())
    sync_folder(directory)
    return identity


def sync_folder(directory: Path) -> None:
    """Sync a folder, so that the names of its files are durable."""
    handle = os.open(directory, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)


def _check(identity: str) -> str:
    return f"{zlib.crc32(identity.encode('ascii')):08x}"
