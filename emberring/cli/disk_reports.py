"""Offline checks of a node's data on disk: every record is read and decoded, nothing is written."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import attrs

from emberring.configuration.state import ControlState
from emberring.errors import BadRequestError, CorruptRecordError
from emberring.jobs.records import DEFINITION, END, TOMBSTONE
from emberring.jobs.replica import Replica
from emberring.jobs.replica_log import decode_entry
from emberring.journal.layout import Record
from emberring.journal.scan import JournalScan, scan_journal
from emberring.register.acceptor import Acceptor
from emberring.register.model import ProposalNumber
from emberring.store.disk import JOURNAL_FOLDER, restore
from emberring.store.identity import FILE_NAME, read_identity

REGISTER_FOLDER = "register"


@attrs.frozen
class DiskReport:
    """The result of a check. `damages` has one line for each loss or corruption; `bytes` counts the bytes in use."""

    directory: str
    identity: str
    segments: int
    records: int
    bytes: int
    facts: dict[str, Any]
    damages: tuple[str, ...]


def report_register(directory: Path) -> DiskReport:
    """Check a control node's disk; `directory` is its `DataDir` or the register's folder in it."""
    folder = directory / REGISTER_FOLDER if (directory / REGISTER_FOLDER).is_dir() else directory
    scan = _scan(folder)
    acceptor = Acceptor("")
    damages = [*scan.damages, *_decode_errors(scan.records, acceptor.restore)]
    if scan.records and not acceptor.identity:
        damages.append("no record contains the replica's identity")
    facts: dict[str, Any] = {"Promised": _proposal_number_text(acceptor.promised)}
    if acceptor.accepted is not None:
        facts["Accepted"] = _proposal_number_text(acceptor.accepted.number)
        replicas = acceptor.accepted.state.replicas
        facts["Replicas"] = [f"{member.identity} at {member.address}" for member in replicas.members]
        facts["Joining"] = [f"{member.identity} at {member.address}" for member in replicas.joining]
        facts |= _state_facts(acceptor.accepted.state.payload, damages)
    return _report(folder, acceptor.identity, scan, facts, damages)


def _state_facts(payload: bytes | None, damages: list[str]) -> dict[str, Any]:
    try:
        state = ControlState.decode(payload)
    except CorruptRecordError as error:
        damages.append(error.detail)
        return {}
    epoch = state.placement.epoch if state.placement is not None else None
    return {
        "ConfigurationVersion": state.version,
        "ChangesRemembered": len(state.accepted_digests),
        "PlacementEpoch": epoch,
    }


def _proposal_number_text(number: ProposalNumber | None) -> str | None:
    return None if number is None else f"{number.counter} by {number.proposer or 'nobody'}"


def report_store(directory: Path) -> DiskReport:
    """Check a store's disk; `directory` is its `DataDir`."""
    scan = _scan(directory / JOURNAL_FOLDER)
    readable = [record for record in scan.records if not _decode_errors([record], decode_entry)]
    damages = [*scan.damages, *_decode_errors(scan.records, decode_entry)]
    identity = read_identity(directory)
    if identity is None:
        exists = (directory / FILE_NAME).exists()
        damages.append(
            f"the file {FILE_NAME} is {'damaged' if exists else 'missing'}: the next start deletes the journal"
        )
    replicas = restore(readable, 0.0)
    facts = {"Shards": [_shard_facts(replica) for replica in replicas.values() if replica.jobs]}
    return _report(directory, identity or "", scan, facts, damages)


def _shard_facts(replica: Replica) -> dict[str, Any]:
    slots = [slot for job in replica.jobs.values() for slot in job.slots]
    return {
        "Shard": replica.shard,
        "Promised": f"{replica.promised.epoch}.{replica.promised.counter}",
        "Lots": len(replica.jobs),
        "WithDefinition": slots.count(DEFINITION),
        "Results": sum(slot >= 0 for slot in slots),
        "Ended": slots.count(END),
        "Forgotten": slots.count(TOMBSTONE),
    }


def _scan(folder: Path) -> JournalScan:
    try:
        return scan_journal(folder)
    except OSError as error:
        raise BadRequestError(f"{folder}: {error.strerror or error}") from error


def _decode_errors(records: Sequence[Record], decode: Callable[[bytes], object]) -> list[str]:
    """Decode every record; return one line for each that is complete on disk but cannot be decoded."""
    damages = []
    for record in records:
        try:
            decode(record.payload)
        except CorruptRecordError as error:
            position = record.position
            damages.append(f"segment {position.segment}, offset {position.offset}: {error.detail}")
    return damages


def _report(
    folder: Path, identity: str, scan: JournalScan, facts: dict[str, Any], damages: list[str]
) -> DiskReport:
    if not scan.segments:
        facts = {**facts, "Empty": True}
    return DiskReport(
        directory=str(folder),
        identity=identity,
        segments=len(scan.segments),
        records=len(scan.records),
        bytes=scan.used_bytes,
        facts=facts,
        damages=tuple(damages),
    )
