"""Definition of a batch job: validated when it is submitted, stored as bytes, decoded again to run its items."""

from __future__ import annotations

import base64
import binascii
from typing import Any

import attrs
import orjson

from emberring.errors import BadRequestError, CorruptRecordError
from emberring.jobs.calls import JobTerms
from emberring.jobs.item_text import invalid_item_texts
from emberring.jobs.packing import decompress

MAX_ITEMS = 200
_END_OF_TERMS = b"\n"


@attrs.frozen
class ItemSpec:
    """An item as submitted; `body` is encoded in base64.

    Older versions accepted and stored any text, so a decoded item may hold texts that can't be sent.
    """

    id: str
    path: str
    headers: dict[str, str]
    body: str
    tokens: int

    def decoded_body(self) -> bytes:
        """Return the decoded body."""
        return base64.b64decode(self.body)

    def invalid_texts(self) -> list[str]:
        """Return the names of the fields that can't be written into the item's request."""
        return invalid_item_texts(self.id, self.path, self.headers.items())


def parse_items(compressed: bytes) -> list[ItemSpec]:
    """Return the items of a submitted batch job; raises `BadRequestError` with the reason if it is not valid."""
    try:
        document = orjson.loads(decompress(compressed))
    except (orjson.JSONDecodeError, CorruptRecordError) as error:
        raise BadRequestError(f"not JSON: {error}") from error
    listed = document.get("Requests") if isinstance(document, dict) else None
    if not isinstance(listed, list) or not 0 < len(listed) <= MAX_ITEMS:
        raise BadRequestError(f"Requests: a list of 1 to {MAX_ITEMS} items is wanted")
    items = [_parse_item(number, entry) for number, entry in enumerate(listed)]
    if len({item.id for item in items}) != len(items):
        raise BadRequestError("Requests: an Id stands twice")
    return items


def _parse_item(number: int, entry: object) -> ItemSpec:
    if not isinstance(entry, dict):
        raise BadRequestError(f"Requests[{number}]: not an object")
    headers = entry.get("Headers") or {}
    checks = {
        "Id": isinstance(entry.get("Id"), str) and bool(entry["Id"]),
        "Path": isinstance(entry.get("Path"), str) and entry["Path"].startswith("/"),
        "Headers": isinstance(headers, dict) and all(isinstance(value, str) for value in headers.values()),
        "Body": isinstance(entry.get("Body", ""), str) and _is_base64(entry.get("Body", "")),
        "Tokens": _is_count(entry.get("Tokens", 0)),
    }
    invalid = [name for name, valid in checks.items() if not valid]
    spec = None if invalid else _spec(entry)
    if spec is not None:
        invalid = spec.invalid_texts()
    if spec is None or invalid:
        raise BadRequestError(f"Requests[{number}]: {', '.join(invalid)}")
    return spec


def _is_base64(text: str) -> bool:
    try:
        base64.b64decode(text, validate=True)
    except (binascii.Error, ValueError):
        return False
    return True


def _is_count(value: object) -> bool:
    return not isinstance(value, bool) and isinstance(value, int) and value >= 0


def _spec(entry: dict[str, Any]) -> ItemSpec:
    return ItemSpec(
        entry["Id"], entry["Path"], entry.get("Headers") or {}, entry.get("Body", ""), entry.get("Tokens", 0)
    )


def encode_definition(terms: JobTerms, compressed: bytes) -> bytes:
    """Encode a definition: a line with the terms as JSON, then the compressed request body."""
    return orjson.dumps(attrs.asdict(terms)) + _END_OF_TERMS + compressed


def decode_terms(value: bytes) -> JobTerms:
    """Decode the terms of a definition; raises `CorruptRecordError` if it is damaged."""
    try:
        return JobTerms(**orjson.loads(value[: value.index(_END_OF_TERMS)]))
    except (ValueError, TypeError) as error:
        raise CorruptRecordError(f"definition: {error}") from error


def decode_items(value: bytes) -> list[ItemSpec]:
    """Decode the items of a definition; raises `CorruptRecordError` if it is damaged."""
    try:
        document = orjson.loads(decompress(memoryview(value)[value.index(_END_OF_TERMS) + 1 :]))
        return [_spec(entry) for entry in document["Requests"]]
    except (ValueError, TypeError, KeyError) as error:
        raise CorruptRecordError(f"definition: {error}") from error
