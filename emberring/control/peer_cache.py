"""The control nodes that this one has met, kept on disk: after a restart it finds them although the seeds of its
settings are down, cut off or replaced. Only a hint: a file that is lost or torn costs nothing else."""

from __future__ import annotations

import asyncio
import os
import re
from collections.abc import Iterable
from pathlib import Path

from emberring.logs import get_logger

MOST = 16  # addresses kept, the newest first

_ADDRESS = re.compile(r"[0-9A-Za-z.\-]+:[0-9]{1,5}")

logger = get_logger("control")


class PeerCache:
    """Addresses in a small file, one a line."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._known: list[str] = []

    def load(self) -> list[str]:
        """What was kept; nothing where the file can't be read. Lines that are no address are skipped."""
        try:
            lines = self._path.read_text(encoding="utf-8", errors="replace").splitlines()
        except OSError:
            return []
        self._known = [line for line in lines if _ADDRESS.fullmatch(line)][:MOST]
        return list(self._known)

    async def save(self, addresses: Iterable[str]) -> None:
        """Keep these beside the older ones. A disk that refuses is told in the log and does no harm."""
        fresh = list(addresses)
        known = [*fresh, *(address for address in self._known if address not in fresh)][:MOST]
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
