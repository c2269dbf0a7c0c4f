"""Results of items: their form on disk and between nodes, and the pages of results for clients."""

from __future__ import annotations

import struct
from collections.abc import Iterable
from enum import Enum

import orjson

from emberring.errors import CorruptRecordError
from emberring.jobs.calls import JobPage
from emberring.jobs.packing import compress, decompress

_HEADER = struct.Struct("<HII")  # the item's index, bytes of the JSON object, bytes of it compressed
MAX_PAGE_BYTES = 1_000_000  # of JSON objects; below the limit of 1 MB of the HTTP interface


class ResultState(Enum):
    """Outcome of an item; the value is sent to clients."""

    COMPLETED = "completed"
    DEAD_LETTER = "dead_letter"


def encode_result(index: int, item_id: str, state: ResultState, message: str) -> bytes:
    """Encode a result: a header, then the compressed JSON object for clients."""
    listed = orjson.dumps({"Id": item_id, "State": state.value, "Message": message})
    compressed = compress(listed)
    return _HEADER.pack(index, len(listed), len(compressed)) + compressed


def item_index(value: bytes) -> int:
    """Return the index of the item to which an encoded result belongs."""
    return int(_HEADER.unpack_from(value, 0)[0])


def build_page(total: int, start: int, values: Iterable[bytes]) -> JobPage:
    """Return a page of results: at most `MAX_PAGE_BYTES` of them, but at least one if there is one."""
    parts: list[bytes] = []
    size = 0
    for value in values:
        size += int(_HEADER.unpack_from(value, 0)[1])
        if parts and size > MAX_PAGE_BYTES:
            break
        parts.append(value)
    return JobPage(total, start, b"".join(parts))


def page_json(page: JobPage) -> bytes:
    """Return a page as JSON for the client; raises `CorruptRecordError` if it is damaged."""
    objects: list[bytes] = []
    offset = 0
    try:
        while offset < len(page.results):
            _, _, length = _HEADER.unpack_from(page.results, offset)
            offset += _HEADER.size
            objects.append(decompress(page.results[offset : offset + length]))
            offset += length
    except struct.error as error:
        raise CorruptRecordError(f"page: {error}") from error
    prefix = b'{"Total":%d,"NextPageToken":%d,"Results":[' % (page.total, page.start + len(objects))
    return prefix + b",".join(objects) + b"]}"
