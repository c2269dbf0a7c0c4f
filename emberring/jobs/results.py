"""Results of items: as stored, as sent between nodes, and as listed for clients."""

from __future__ import annotations

import struct
from collections.abc import Iterable
from enum import Enum

import orjson

from emberring.errors import CorruptRecordError
from emberring.jobs.calls import JobPage
from emberring.jobs.packing import compress, decompress

_HEAD = struct.Struct("<HII")  # the item's index, bytes of the JSON object, bytes of it compressed
MAX_PAGE_BYTES = 1_000_000  # some margin below the interface's limit of 1 MB


class ResultState(Enum):
    """Outcome of an item; the value is what clients read."""

    COMPLETED = "completed"
    DEAD_LETTER = "dead_letter"


def encode_result(index: int, item_id: str, state: ResultState, message: str) -> bytes:
    """Encode a result: a header, then the JSON object that is listed, compressed."""
    listed = orjson.dumps({"Id": item_id, "State": state.value, "Message": message})
    compressed = compress(listed)
    return _HEAD.pack(index, len(listed), len(compressed)) + compressed


def item_index(value: bytes) -> int:
    """Return the index of the item that a result's value belongs to."""
    return int(_HEAD.unpack_from(value, 0)[0])


def build_page(total: int, start: int, values: Iterable[bytes]) -> JobPage:
    """Return a page with these results: at least one if there is one, and at most 1 MB of them."""
    parts: list[bytes] = []
    size = 0
    for value in values:
        size += int(_HEAD.unpack_from(value, 0)[1])
        if parts and size > MAX_PAGE_BYTES:
            break
        parts.append(value)
    return JobPage(total, start, b"".join(parts))


def page_json(page: JobPage) -> bytes:
    """Return a page as JSON for the client; `CorruptRecordError` where the page is damaged."""
    found: list[bytes] = []
    offset = 0
    try:
        while offset < len(page.results):
            _, _, length = _HEAD.unpack_from(page.results, offset)
            offset += _HEAD.size
            found.append(decompress(page.results[offset : offset + length]))
            offset += length
    except struct.error as error:
        raise CorruptRecordError(f"page: {error}") from error
    head = b'{"Total":%d,"NextPageToken":%d,"Results":[' % (page.total, page.start + len(found))
    return head + b",".join(found) + b"]}"
