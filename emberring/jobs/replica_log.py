"""Entries that a replica writes to its journal, and their binary form."""

from __future__ import annotations

import struct
from collections.abc import Sequence

import attrs

from emberring.errors import CorruptRecordError
from emberring.jobs.records import Record, Term, pack_records, pack_term, unpack_records, unpack_term

_HEAD = struct.Struct("<BBd")  # kind, shard, clock
_WRITTEN, _PROMISED, _DROPPED, _EMPTIED, _COPIED, _STARTED = 1, 2, 3, 4, 5, 6


@attrs.frozen
class Written:
    """Records written under a term."""

    term: Term
    records: tuple[Record, ...]


@attrs.frozen
class Promised:
    """A promise to accept no lower term any more."""

    term: Term


@attrs.frozen
class Dropped:
    """Slots that are erased, unless a higher term has written them."""

    term: Term
    records: tuple[Record, ...]


@attrs.frozen
class Emptied:
    """The replica's records are all erased; its promise stays."""


@attrs.frozen
class Copied:
    """Records of an older segment appended again. They may stand behind an erasure that came after them."""

    term: Term
    records: tuple[Record, ...]


@attrs.frozen
class Started:
    """The process started here: the clocks of entries before and after this are unrelated."""


Entry = Written | Promised | Dropped | Emptied | Copied | Started


@attrs.frozen
class Logged:
    """An entry as found in the journal: its shard, and when it was written (seconds of the monotonic clock)."""

    shard: int
    clock_s: float
    entry: Entry


def encode_entry(shard: int, clock_s: float, entry: Entry) -> bytes:
    """Encode an entry as a payload of the journal."""
    if isinstance(entry, Promised):
        return _head(_PROMISED, shard, clock_s) + pack_term(entry.term)
    if isinstance(entry, Emptied | Started):
        return _head(_EMPTIED if isinstance(entry, Emptied) else _STARTED, shard, clock_s)
    kind = _WRITTEN if isinstance(entry, Written) else _DROPPED if isinstance(entry, Dropped) else _COPIED
    return _head(kind, shard, clock_s) + pack_term(entry.term) + pack_records(entry.records)


def _head(kind: int, shard: int, clock_s: float) -> bytes:
    return _HEAD.pack(kind, shard, clock_s)


def decode_entry(payload: bytes) -> Logged:
    """Decode a payload of the journal; `CorruptRecordError` where it is damaged."""
    try:
        kind, shard, clock_s = _HEAD.unpack_from(payload, 0)
        if kind in (_EMPTIED, _STARTED):
            return Logged(shard, clock_s, Emptied() if kind == _EMPTIED else Started())
        term, offset = unpack_term(payload, _HEAD.size)
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
    raise CorruptRecordError(f"entry of kind {kind}")


def split_by_size(records: Sequence[Record], limit: int) -> list[tuple[Record, ...]]:
    """Split records into runs with about `limit` bytes of values at most."""
    runs: list[tuple[Record, ...]] = []
    run: list[Record] = []
    size = 0
    for record in records:
        if run and size + len(record.value) > limit:
            runs.append(tuple(run))
            run, size = [], 0
        run.append(record)
        size += len(record.value)
    if run:
        runs.append(tuple(run))
    return runs
