"""Entries that a replica writes to its journal, and their binary form."""

from __future__ import annotations

import struct
from collections.abc import Sequence

import attrs

from emberring.errors import CorruptRecordError
from emberring.jobs.records import Record, Term, pack_records, pack_term, unpack_records, unpack_term

_HEADER = struct.Struct("<BBd")  # kind, shard, clock
_WRITTEN, _PROMISED, _DROPPED, _EMPTIED, _COPIED, _STARTED = 1, 2, 3, 4, 5, 6


@attrs.frozen
class Written:
    """Records that were written under a term."""

    term: Term
    records: tuple[Record, ...]


@attrs.frozen
class Promised:
    """A promise to accept no lower term from now on."""

    term: Term


@attrs.frozen
class Dropped:
    """Slots to erase, except those written under a higher term."""

    term: Term
    records: tuple[Record, ...]


@attrs.frozen
class Emptied:
    """All records of the replica are erased; its promise stays valid."""


@attrs.frozen
class Copied:
    """Records of an older segment, appended again. They may follow a later erasure of the same slots."""

    term: Term
    records: tuple[Record, ...]


@attrs.frozen
class Started:
    """Start of a process: the clocks of entries before and after this one are unrelated."""


Entry = Written | Promised | Dropped | Emptied | Copied | Started


@attrs.frozen
class Logged:
    """An entry read from the journal, with its shard and when it was written (seconds of the monotonic clock)."""

    shard: int
    clock_s: float
    entry: Entry


def encode_entry(shard: int, clock_s: float, entry: Entry) -> bytes:
    """Encode an entry as the payload of a journal record."""
    if isinstance(entry, Promised):
        return _encode_header(_PROMISED, shard, clock_s) + pack_term(entry.term)
    if isinstance(entry, Emptied | Started):
        return _encode_header(_EMPTIED if isinstance(entry, Emptied) else _STARTED, shard, clock_s)
    kind = _WRITTEN if isinstance(entry, Written) else _DROPPED if isinstance(entry, Dropped) else _COPIED
    return _encode_header(kind, shard, clock_s) + pack_term(entry.term) + pack_records(entry.records)


def _encode_header(kind: int, shard: int, clock_s: float) -> bytes:
    return _HEADER.pack(kind, shard, clock_s)


def decode_entry(payload: bytes) -> Logged:
    """Decode the payload of a journal record; raises `CorruptRecordError` if it is damaged."""
    try:
        kind, shard, clock_s = _HEADER.unpack_from(payload, 0)
        if kind in (_EMPTIED, _STARTED):
            return Logged(shard, clock_s, Emptied() if kind == _EMPTIED else Started())
        term, offset = unpack_term(payload, _HEADER.size)
    except (struct.error, UnicodeDecodeError) as error:
        raise CorruptRecordError(f"entry: {error}") from error
    if kind == _PROMISED:
        return Logged(shard, clock_s, Promised(term))
    records = tuple(unpack_records(payload, offset))
    if kind == _WRITTEN:
        return Logged(shard, clock_s, Written(term, records))
    if kind == _DROPPED:
        return Logged(shard, clock_s, Dropped(term, records))
    if kind == _COPIED:
        return Logged(shard, clock_s, Copied(term, records))
    raise CorruptRecordError(f"unknown kind of entry: {kind}")


def split_by_size(records: Sequence[Record], limit: int) -> list[tuple[Record, ...]]:
    """Split records into chunks of at most `limit` bytes of values, or a single record that is longer."""
    chunks: list[tuple[Record, ...]] = []
    chunk: list[Record] = []
    size = 0
    for record in records:
        if chunk and size + len(record.value) > limit:
            chunks.append(tuple(chunk))
            chunk, size = [], 0
        chunk.append(record)
        size += len(record.value)
    if chunk:
        chunks.append(tuple(chunk))
    return chunks
