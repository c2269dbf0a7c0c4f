"""Disk of a store: its identity, its journal, and the replicas that are restored from the journal."""

from __future__ import annotations

import asyncio
import shutil
from pathlib import Path

import attrs

from emberring.errors import CorruptRecordError, DiskFailedError
from emberring.jobs.replica import REPLICA_LEASE_S, Replica
from emberring.jobs.replica_log import Logged, Started, decode_entry, encode_entry
from emberring.journal.journal import Journal
from emberring.journal.layout import Position
from emberring.journal.layout import Record as JournalRecord
from emberring.logs import get_logger
from emberring.placement.model import SHARDS
from emberring.store.identity import create_identity, read_identity

JOURNAL_FOLDER = "journal"
SEGMENT_BYTES = 4 * 1024 * 1024
RECLAIM_ABOVE_BYTES = 96 * 1024 * 1024  # the whole journal is read at a start, so it must fit into memory
MAX_JOURNAL_BYTES = 192 * 1024 * 1024
DISK_SHARE = 0.6  # of the disk, for the journal
VALUE_SHARE = (
    0.5  # of the journal, for values; the rest is for results of accepted batch jobs and for reclaiming
)

logger = get_logger("store")


@attrs.frozen
class StoreDisk:
    """An open disk of a store."""

    identity: str
    journal: Journal
    replicas: dict[int, Replica]
    capacity_bytes: int  # for values; limited so that live records never fill up the journal


def open_disk(directory: Path, disk_mb: float, now_s: float) -> StoreDisk:
    """Open the folder of a store. Blocks on the disk.

    A folder without a valid identity or with a damaged journal is reinitialized under a new identity. Raises
    `DiskFailedError` if the disk rejects an operation. `disk_mb`: size of the disk in MB, or 0 if unknown;
    `now_s`: the time of the event loop.
    """
    try:
        directory.mkdir(parents=True, exist_ok=True)
        identity = read_identity(directory)
        if identity is None:
            identity = _reinitialize(directory)
        try:
            return _open(directory, identity, disk_mb, now_s)
        except CorruptRecordError as error:
            logger.error("event=journal_damaged detail=%r", error.detail)
            return _open(directory, _reinitialize(directory), disk_mb, now_s)
    except OSError as error:
        raise DiskFailedError(f"{type(error).__name__}: {error}") from error


def _reinitialize(directory: Path) -> str:
    shutil.rmtree(directory / JOURNAL_FOLDER, ignore_errors=True)
    return create_identity(directory)


def _open(directory: Path, identity: str, disk_mb: float, now_s: float) -> StoreDisk:
    folder = directory / JOURNAL_FOLDER
    folder.mkdir(exist_ok=True)
    max_bytes = (
        int(min(MAX_JOURNAL_BYTES, disk_mb * 1024 * 1024 * DISK_SHARE)) if disk_mb else MAX_JOURNAL_BYTES
    )
    journal, records = Journal.open(
        folder, SEGMENT_BYTES, max_bytes, min(RECLAIM_ABOVE_BYTES, max_bytes // 2)
    )
    return StoreDisk(identity, journal, restore(records, now_s), int(max_bytes * VALUE_SHARE))


def record_process_start(journal: Journal, now_s: float) -> None:
    """Append an entry for the start of the process. Must be called on the event loop before any other append."""
    journal.append(encode_entry(0, now_s, Started())).add_done_callback(_on_start_recorded)


def _on_start_recorded(future: asyncio.Future[Position]) -> None:
    if not future.cancelled() and future.exception() is not None:
        logger.warning("event=start_not_marked")


def restore(records: list[JournalRecord], now_s: float) -> dict[int, Replica]:
    """Return the replicas with the entries of these records applied.

    The monotonic clock starts at an arbitrary value when the machine boots, so clocks of different incarnations of the
    process can't be compared. The age of a batch job is the age in its record plus the time that has elapsed since
    within each incarnation; the time between incarnations is not included.
    """
    replicas = {shard: Replica(shard) for shard in range(SHARDS)}
    entries = [(record.position.segment, decode_entry(record.payload)) for record in records]
    elapsed_s = _elapsed_since([logged for _, logged in entries])
    for (segment, logged), since_s in zip(entries, elapsed_s, strict=True):
        if logged.shard in replicas:
            replicas[logged.shard].apply(now_s - since_s, logged.entry, segment)
    for replica in replicas.values():
        replica.restored(now_s + REPLICA_LEASE_S)
    return replicas


def _elapsed_since(entries: list[Logged]) -> list[float]:
    """Return for each entry how many seconds have elapsed since it was written, without those between incarnations."""
    elapsed_of_entries: list[float] = []
    elapsed_s, later_s = 0.0, None
    for logged in reversed(entries):
        if later_s is not None:
            elapsed_s += max(0.0, later_s - logged.clock_s)
        later_s = None if isinstance(logged.entry, Started) else logged.clock_s
        elapsed_of_entries.append(elapsed_s)
    elapsed_of_entries.reverse()
    return elapsed_of_entries
