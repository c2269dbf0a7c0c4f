"""Tests of whole stores skip disk syncs, as the disk of the test machine may be busy and slow."""

from __future__ import annotations

import pytest

from emberring.journal.folder import DiskFile


@pytest.fixture(autouse=True)
def no_disk_sync(monkeypatch: pytest.MonkeyPatch) -> None:
    """Disable syncs, which these tests do not need as they simulate no power failure."""
    monkeypatch.setattr(DiskFile, "sync", lambda self: None)
