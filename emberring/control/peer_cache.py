"""Addresses of the control nodes seen by this one, cached on disk.

With them a restarted node finds the others even if the configured seeds are down, partitioned or replaced. The file is
only a hint: the node works without it, and with a file that is damaged.
"""

from __future__ import annotations

import asyncio
import os
import re
from collections.abc import Iterable
from pathlib import Path

from emberring.logs import get_logger

MAX_ADDRESSES = 16  # the most recently seen are retained

_ADDRESS = re.compile(r"[0-9A-Za-z.\-]+:[0-9]{1,5}")

logger = get_logger("control")


class PeerCache:
    """Addresses in a small file, one per line. `path` is the file; its directory is created if it is missing."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._known: list[str] = []

    def load(self) -> list[str]:
        """The cached addresses; none if the file cannot be read. Lines that are not addresses are skipped."""
        try:
            lines = self._path.read_text(encoding="utf-8", errors="replace").splitlines()
        except OSError:
            return []
        self._known = [line for line in lines if _ADDRESS.fullmatch(line)][:MAX_ADDRESSES]
        return list(self._known)

    async def save(self, addresses: Iterable[str]) -> None:
        """Store these addresses, before the older ones. A disk error is logged and not raised."""
        recent = list(addresses)
        known = [*recent, *(address for address in self._known if address not in recent)][:MAX_ADDRESSES]
        if set(known) == set(self._known):
            return
        self._known = known
        try:
            await asyncio.get_running_loop().run_in_executor(None, self._write, "\n".join(known) + "\n")
        except OSError as error:
            logger.info("event=nodes_not_remembered error=%s", error)

    def _write(self, text: str) -> None:
        self._path.parent.mkdir(parents=True, exist_ok=True)
        temporary = self._path.with_suffix(".new")
        with open(temporary, "w", encoding="utf-8") as file:
            file.write(text)
            file.flush()
            os.fsync(file.fileno())
        os.replace(temporary, self._path)
        directory = os.open(self._path.parent, os.O_RDONLY)
        try:
            os.fsync(directory)
        finally:
            os.close(directory)
