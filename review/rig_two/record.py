"""The record of a case: what was sent, answered and run, with the seconds since its start."""

from __future__ import annotations

import time
from pathlib import Path


class Record:
    """Lines of text, written to a file as they come."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began_s = time.monotonic()

    def now_s(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._began_s

    def note(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now_s():8.3f} s  {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()
