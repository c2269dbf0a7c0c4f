"""Results of items as they are kept and listed."""

from __future__ import annotations

import struct
from collections.abc import Iterable
from enum import Enum

import orjson

_ITEM = struct.Struct("<H")
MAX_PAGE_BYTES = 1_000_000  # with some room below the 1 MB of the interface


class ResultState(Enum):
    """How an item ended; the value is what clients read."""

    COMPLETED = "completed"
    DEAD_LETTER = "dead_letter"


def encode_result(index: int, item_id: str, state: ResultState, message: str) -> bytes:
    """The value of a result: the item's index, then the JSON object that is listed."""
    listed = {"Id": item_id, "State": state.value, "Message": message}
    return _ITEM.pack(index) + orjson.dumps(listed)


def item_index(value: bytes) -> int:
    """The index of the item that a result's value belongs to."""
    (index,) = _ITEM.unpack_from(value, 0)
    return int(index)


def build_page(total: int, start: int, values: Iterable[bytes]) -> bytes:
    """The JSON answer with these results, at least one if there is one and at most 1 MB of them."""
    parts: list[bytes] = []
    size = 0
    for value in values:
        size += len(value)
        if parts and size > MAX_PAGE_BYTES:
            break
        parts.append(value[_ITEM.size :])
    head = b'{"Total":%d,"NextPageToken":%d,"Results":[' % (total, start + len(parts))
    return head + b",".join(parts) + b"]}"
