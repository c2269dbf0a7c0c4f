"""Addresses of the control nodes seen by this one, cached on disk.

After a restart it finds them although the seeds of its settings are down, partitioned or replaced. The file is only a
hint: where it is lost or torn, nothing else is.
"""

from __future__ import annotations

import asyncio
import os
import re
from collections.abc import Iterable
from pathlib import Path

from emberring.logs import get_logger

MAX_ADDRESSES = 16  # the newest first

_ADDRESS = re.compile(r"[0-9A-Za-z.\-]+:[0-9]{1,5}")

logger = get_logger("control")


class PeerCache:
    """Addresses in a small file, one a line. `path` is the file; its folder is created where it is missing."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._known: list[str] = []

    def load(self) -> list[str]:
        """The cached addresses; none where the file can't be read. Lines that are no address are skipped."""
        try:
            lines = self._path.read_text(encoding="utf-8", errors="replace").splitlines()
        except OSError:
            return []
        self._known = [line for line in lines if _ADDRESS.fullmatch(line)][:MAX_ADDRESSES]
        return list(self._known)

    async def save(self, addresses: Iterable[str]) -> None:
        """Add these addresses before the older ones. An error of the disk is logged and not raised."""
        fresh = list(addresses)
        known = [*fresh, *(address for address in self._known if address not in fresh)][:MAX_ADDRESSES]
        if set(known) == set(self._known):
            return
        self._known = known
        try:
            await asyncio.get_running_loop().run_in_executor(None, self._write, "\n".join(known) + "\n")
        except OSError as error:
            logger.info("event=nodes_not_remembered error=%s", error)

    def _write(self, text: str) -> None:
        self._path.parent.mkdir(parents=True, exist_ok=True)
        fresh = self._path.with_suffix(".new")
        with open(fresh, "w", encoding="utf-8") as file:
            file.write(text)
            file.flush()
            os.fsync(file.fileno())
        os.replace(fresh, self._path)
        folder = os.open(self._path.parent, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
