"""Terms, slots and records of batch jobs, and their binary form on disk and between stores.

A batch job is a set of slots: its definition, its results by position, its end, and its tombstone. Each slot
stores one value, under the term of the owner that wrote it.
"""

from __future__ import annotations

import hashlib
import struct
import zlib
from collections.abc import Iterable

import attrs

from emberring.errors import CorruptRecordError

DEFINITION = -1
END = -2
TOMBSTONE = -3

MAX_AGE_MS = 0xFFFFFFFF
DIGEST_BYTES = 6
_TERM = struct.Struct("<QQB")  # epoch, counter, length of the owner's identity
_RECORD = struct.Struct("<HiII")  # length of the key, slot, age in ms, length of the value
_COUNT = struct.Struct("<I")
_JOB = struct.Struct("<HII")  # length of the key, age in ms, slots
_SLOT = struct.Struct("<iHII")  # slot, index of its term, checksum and length of its value


@attrs.frozen
class Term:
    """Fencing token of a shard's owner: a higher term replaces a lower one. `epoch` is that of the shard's group."""

    epoch: int
    counter: int
    owner: str

    # Written by hand because terms are compared often: the comparisons that attrs generates are slower.

    def __lt__(self, other: Term) -> bool:
        return (self.epoch, self.counter, self.owner) < (other.epoch, other.counter, other.owner)

    def __le__(self, other: Term) -> bool:
        return (self.epoch, self.counter, self.owner) <= (other.epoch, other.counter, other.owner)

    def __gt__(self, other: Term) -> bool:
        return (self.epoch, self.counter, self.owner) > (other.epoch, other.counter, other.owner)

    def __ge__(self, other: Term) -> bool:
        return (self.epoch, self.counter, self.owner) >= (other.epoch, other.counter, other.owner)


NO_TERM = Term(0, 0, "")


@attrs.frozen
class Record:
    """A value for a slot. `age_ms`: lower bound of the time since the batch job was accepted."""

    key: str
    slot: int
    age_ms: int
    value: bytes


@attrs.frozen
class SlotState:
    """Metadata of a slot at a replica: the term, checksum and length (bytes) of its value."""

    term: Term
    checksum: int
    length: int


@attrs.frozen
class JobState:
    """The slots of a batch job at a replica, and its age there."""

    age_ms: int
    slots: dict[int, SlotState]


def job_key(host: str, job_id: str) -> str:
    """Return the key of a batch job. Ids are unique per host only."""
    return f"{host.lower()}/{job_id}"


def checksum(value: bytes) -> int:
    """Return the checksum of a value, by which its copies are compared."""
    return zlib.crc32(value)


def slot_digest(key: str, slot: int, check: int) -> int:
    """Return the part of a replica's digest that stands for one slot; `check` is the checksum of its value."""
    digest = hashlib.blake2b(f"{key} {slot} {check}".encode(), digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(digest, "big")


def age_ms(now_s: float, accepted_s: float) -> int:
    """Return the age of a batch job for a record, in whole milliseconds between 0 and `MAX_AGE_MS`."""
    return max(0, min(MAX_AGE_MS, int((now_s - accepted_s) * 1000)))


def pack_term(term: Term) -> bytes:
    """Encode a term."""
    owner = term.owner.encode()
    return _TERM.pack(term.epoch, term.counter, len(owner)) + owner


def unpack_term(data: bytes, offset: int) -> tuple[Term, int]:
    """Decode the term at this offset; return it and the offset after it."""
    epoch, counter, length = _TERM.unpack_from(data, offset)
    start = offset + _TERM.size
    return Term(epoch, counter, data[start : start + length].decode()), start + length


def pack_records(records: Iterable[Record]) -> bytes:
    """Encode records, one after the other."""
    parts: list[bytes] = []
    for record in records:
        key = record.key.encode()
        parts.append(_RECORD.pack(len(key), record.slot, min(record.age_ms, MAX_AGE_MS), len(record.value)))
        parts.append(key)
        parts.append(record.value)
    return b"".join(parts)


def unpack_records(data: bytes, offset: int = 0) -> list[Record]:
    """Decode all records from this offset on; raises `CorruptRecordError` if they are damaged."""
    records: list[Record] = []
    try:
        while offset < len(data):
            key_length, slot, age_ms, length = _RECORD.unpack_from(data, offset)
            offset += _RECORD.size
            key = data[offset : offset + key_length].decode()
            offset += key_length
            value = data[offset : offset + length]
            offset += length
            records.append(Record(key, slot, age_ms, value))
    except (struct.error, UnicodeDecodeError) as error:
        raise CorruptRecordError(f"records: {error}") from error
    if offset != len(data):
        raise CorruptRecordError("records are truncated")
    return records


def pack_inventory(jobs: dict[str, JobState]) -> bytes:
    """Encode an inventory: a table of terms, then each batch job with its slots."""
    terms: dict[Term, int] = {}
    body: list[bytes] = []
    for key, job in jobs.items():
        name = key.encode()
        body.append(_JOB.pack(len(name), min(job.age_ms, MAX_AGE_MS), len(job.slots)))
        body.append(name)
        for slot, state in job.slots.items():
            index = terms.setdefault(state.term, len(terms))
            body.append(_SLOT.pack(slot, index, state.checksum, state.length))
    return b"".join((_COUNT.pack(len(terms)), *(pack_term(term) for term in terms), *body))


def unpack_inventory(data: bytes) -> dict[str, JobState]:
    """Decode an inventory; raises `CorruptRecordError` if it is damaged."""
    try:
        return _unpack_inventory(data)
    except (struct.error, UnicodeDecodeError, IndexError) as error:
        raise CorruptRecordError(f"inventory: {error}") from error


def _unpack_inventory(data: bytes) -> dict[str, JobState]:
    (count,) = _COUNT.unpack_from(data, 0)
    offset = _COUNT.size
    terms: list[Term] = []
    for _ in range(count):
        term, offset = unpack_term(data, offset)
        terms.append(term)
    jobs: dict[str, JobState] = {}
    while offset < len(data):
        key_length, age_ms, slots = _JOB.unpack_from(data, offset)
        offset += _JOB.size
        key = data[offset : offset + key_length].decode()
        offset += key_length
        job_slots: dict[int, SlotState] = {}
        for _ in range(slots):
            slot, index, check, length = _SLOT.unpack_from(data, offset)
            offset += _SLOT.size
            job_slots[slot] = SlotState(terms[index], check, length)
        jobs[key] = JobState(age_ms, job_slots)
    return jobs
