"""The store's disk: its identity, its journal, and the replicas as the journal left them."""

from __future__ import annotations

import shutil
from pathlib import Path

import attrs

from emberring.errors import CorruptRecordError, DiskFailedError
from emberring.journal.journal import Journal
from emberring.journal.layout import Record as JournalRecord
from emberring.logs import get_logger
from emberring.lots.placement import SHARDS
from emberring.lots.replica import REFUSE_S, Replica
from emberring.lots.replica_log import decode_entry
from emberring.store.identity import create_identity, read_identity

JOURNAL_FOLDER = "journal"
SEGMENT_BYTES = 4 * 1024 * 1024
MOST_BYTES = 96 * 1024 * 1024  # all of it is read at a start, so it must fit into memory
SHARE_OF_DISK = 0.5

logger = get_logger("store")


@attrs.frozen
class StoreDisk:
    """What was found on the disk."""

    identity: str
    journal: Journal
    replicas: dict[int, Replica]


def open_disk(directory: Path, disk_mb: float, now_s: float) -> StoreDisk:
    """Open the store's folder. A folder without a whole identity or with a damaged journal is begun anew, under
    another identity. `DiskFailedError` where the disk refuses. Blocks on the disk."""
    try:
        directory.mkdir(parents=True, exist_ok=True)
        identity = read_identity(directory)
        if identity is None:
            identity = _begin_anew(directory)
        try:
            return _open(directory, identity, disk_mb, now_s)
        except CorruptRecordError as error:
            logger.error("event=journal_damaged detail=%r", error.detail)
            return _open(directory, _begin_anew(directory), disk_mb, now_s)
    except OSError as error:
        raise DiskFailedError(f"{type(error).__name__}: {error}") from error


def _begin_anew(directory: Path) -> str:
    shutil.rmtree(directory / JOURNAL_FOLDER, ignore_errors=True)
    return create_identity(directory)


def _open(directory: Path, identity: str, disk_mb: float, now_s: float) -> StoreDisk:
    folder = directory / JOURNAL_FOLDER
    folder.mkdir(exist_ok=True)
    most = int(min(MOST_BYTES, disk_mb * 1024 * 1024 * SHARE_OF_DISK)) if disk_mb else MOST_BYTES
    journal, records = Journal.open(folder, SEGMENT_BYTES, most)
    return StoreDisk(identity, journal, restore(records, now_s))


def restore(records: list[JournalRecord], now_s: float) -> dict[int, Replica]:
    """The replicas after these entries.

    Guard: a lot is as old as its youngest record says. The steady clock begins anew, at any value, when a machine
    does, so a difference between its times before and after a start says nothing of a lot's age.
    """
    replicas = {shard: Replica(shard) for shard in range(SHARDS)}
    for record in records:
        logged = decode_entry(record.payload)
        if logged.shard in replicas:
            replicas[logged.shard].apply(now_s, logged.entry, record.position.segment)
    for replica in replicas.values():
        replica.restored(now_s + REFUSE_S)
    return replicas
