"""Opens the journal of a replica at startup: restores the replica from it or creates a new one."""

from __future__ import annotations

import asyncio
import os
import shutil
from pathlib import Path

from emberring.errors import CorruptRecordError, DiskFailedError
from emberring.journal import Journal, Record
from emberring.logs import get_logger
from emberring.register.acceptor import Acceptor
from emberring.register.model import initial_identity, initial_proposal

SEGMENT_BYTES = 1024 * 1024
"""Size of a journal segment."""

MAX_BYTES = 64 * 1024 * 1024
"""Maximum size of the journal on disk."""

RECLAIM_ABOVE_BYTES = 12 * 1024 * 1024
"""Journal size above which the oldest segments are reclaimed, each after a snapshot."""

REOPEN_AFTER_S = 0.3
"""Delay before the next attempt to open the journal on a failed disk, in seconds."""

logger = get_logger("register")


class JournalOpener:
    """Opens a replica's journal.

    Args:
        directory: the directory of the journal.
        address: internal address of this node.
        seeds: internal addresses of the initial replicas.
        bootstrap: whether this node may create an initial replica if its journal is empty.
    """

    def __init__(self, directory: Path, address: str, seeds: tuple[str, ...], bootstrap: bool) -> None:
        self._directory = directory
        self._address = address
        self._seeds = seeds
        self._may_create_initial = bootstrap

    async def open(self) -> tuple[Journal, Acceptor]:
        """Return the journal and the replica restored from it. Retries until the disk works."""
        loop = asyncio.get_running_loop()
        while True:
            try:
                journal, records = await loop.run_in_executor(None, self._open_journal)
                return journal, await self._restore_replica(journal, records)
            except DiskFailedError as error:
                logger.warning("event=journal_refused detail=%r", error.detail)
            await asyncio.sleep(REOPEN_AFTER_S)

    def _open_journal(self) -> tuple[Journal, list[Record]]:
        """Return the journal and its records.

        A corrupt journal is treated as a lost disk: it is deleted, and its replica must not return, as it may have lost
        promises.
        """
        try:
            return Journal.open(self._directory, SEGMENT_BYTES, MAX_BYTES, RECLAIM_ABOVE_BYTES)
        except CorruptRecordError as error:
            logger.error("event=journal_discarded detail=%r", error.detail)
            self._may_create_initial = False
        try:
            shutil.rmtree(self._directory)
        except OSError as error:
            raise DiskFailedError(f"{type(error).__name__}: {error}") from error
        return Journal.open(self._directory, SEGMENT_BYTES, MAX_BYTES, RECLAIM_ABOVE_BYTES)

    async def _restore_replica(self, journal: Journal, records: list[Record]) -> Acceptor:
        """Return the replica restored from the records, or a new one, which is persisted before it takes part."""
        acceptor = Acceptor("")
        for record in records:
            acceptor.restore(record.payload)
        if not acceptor.identity:
            acceptor = self._new_acceptor()
            await journal.append(acceptor.snapshot())
        return acceptor

    def _new_acceptor(self) -> Acceptor:
        if self._may_create_initial and self._address in self._seeds:
            return Acceptor(initial_identity(self._address), initial_proposal(self._seeds))
        return Acceptor(f"replica:{os.urandom(16).hex()}")
