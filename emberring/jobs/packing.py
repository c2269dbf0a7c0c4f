"""Bodies, results and events in few bytes, on the links between nodes and on disk.

What batch jobs hold is mostly random text, in which whole strings hardly come again: only the letters are coded
(Huffman), which takes a third of the time of a search for strings and makes about as little of it.
"""

from __future__ import annotations

import zlib
from collections.abc import Sequence

import orjson

from emberring.errors import CorruptRecordError
from emberring.jobs.calls import EventData

LEVEL = 1
MEMORY_LEVEL = 8
MAX_DECOMPRESSED_BYTES = 64 * 1024 * 1024  # that anything may expand to


def compress(data: bytes) -> bytes:
    """The data in fewer bytes."""
    packer = zlib.compressobj(LEVEL, zlib.DEFLATED, zlib.MAX_WBITS, MEMORY_LEVEL, zlib.Z_HUFFMAN_ONLY)
    return packer.compress(data) + packer.flush()


def decompress(data: bytes | memoryview) -> bytes:
    """What was compressed; `CorruptRecordError` where the bytes are nothing that was."""
    unpacker = zlib.decompressobj()
    try:
        found = unpacker.decompress(data, MAX_DECOMPRESSED_BYTES)
    except zlib.error as error:
        raise CorruptRecordError(f"squeezed bytes: {error}") from error
    if not unpacker.eof:
        raise CorruptRecordError("squeezed bytes end early")
    return found


def pack_events(events: Sequence[EventData]) -> bytes:
    """Events for the wire; nothing where there are none."""
    if not events:
        return b""
    return compress(orjson.dumps([(event.id, event.data) for event in events]))


def unpack_events(packed: bytes) -> tuple[EventData, ...]:
    """The reverse of `pack_events`."""
    if not packed:
        return ()
    try:
        return tuple(EventData(number, data) for number, data in orjson.loads(decompress(packed)))
    except (ValueError, TypeError) as error:
        raise CorruptRecordError(f"events: {error}") from error
