"""Compression of bodies, results and events, on the links between nodes and on disk.

Batch jobs hold mostly random text, in which whole strings hardly repeat: only the letters are coded
(Huffman), which takes a third of the time of a search for repeated strings and saves about as much.
"""

from __future__ import annotations

import zlib
from collections.abc import Sequence

import orjson

from emberring.errors import CorruptRecordError
from emberring.jobs.calls import EventData

LEVEL = 1
MEMORY_LEVEL = 8
MAX_DECOMPRESSED_BYTES = 64 * 1024 * 1024  # that any data may expand to


def compress(data: bytes) -> bytes:
    """Compress data."""
    compressor = zlib.compressobj(LEVEL, zlib.DEFLATED, zlib.MAX_WBITS, MEMORY_LEVEL, zlib.Z_HUFFMAN_ONLY)
    return compressor.compress(data) + compressor.flush()


def decompress(data: bytes | memoryview) -> bytes:
    """Decompress data; `CorruptRecordError` where the bytes are damaged or expand to too much."""
    decompressor = zlib.decompressobj()
    try:
        found = decompressor.decompress(data, MAX_DECOMPRESSED_BYTES)
    except zlib.error as error:
        raise CorruptRecordError(f"squeezed bytes: {error}") from error
    if not decompressor.eof:
        raise CorruptRecordError("squeezed bytes end early")
    return found


def pack_events(events: Sequence[EventData]) -> bytes:
    """Encode and compress events; no events are no bytes."""
    if not events:
        return b""
    return compress(orjson.dumps([(event.id, event.data) for event in events]))


def unpack_events(packed: bytes) -> tuple[EventData, ...]:
    """Decode what `pack_events` encoded; `CorruptRecordError` where the bytes are damaged."""
    if not packed:
        return ()
    try:
        return tuple(EventData(number, data) for number, data in orjson.loads(decompress(packed)))
    except (ValueError, TypeError) as error:
        raise CorruptRecordError(f"events: {error}") from error
