"""Parser of server-sent events: splits a byte stream into complete events. No I/O."""

from __future__ import annotations

import re

import attrs

MAX_EVENT_BYTES = 1024 * 1024

_BLANK_LINE = re.compile(rb"\r\n\r\n|\n\r?\n|\r\r")
_MAX_BLANK_LINE_BYTES = 4
_ID = re.compile(rb"(?:^|[\r\n])id: ?([0-9]{1,18})(?=[\r\n])")
_LINE_END = re.compile(rb"\r\n|\n|\r")


@attrs.frozen
class Event:
    """A complete event: its bytes as received, with the blank line, and its id (None if it has no numeric id)."""

    raw: bytes
    id: int | None

    @property
    def is_comment(self) -> bool:
        """Whether it has comment lines only, such as a server sends to keep a connection open."""
        return all(line.startswith(b":") for line in _LINE_END.split(self.raw) if line)

    @property
    def data(self) -> bytes:
        """The event's data: its `data` lines joined by line feeds."""
        found = []
        for line in _LINE_END.split(self.raw):
            if line.startswith(b"data:"):
                value = line[5:]
                found.append(value[1:] if value.startswith(b" ") else value)
        return b"\n".join(found)


class EventParser:
    """Buffers received bytes and returns complete events."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._search_start = 0

    @property
    def pending(self) -> int:
        """The number of buffered bytes of an incomplete event."""
        return len(self._buffer)

    @property
    def too_long(self) -> bool:
        """Whether the incomplete event is longer than `MAX_EVENT_BYTES`."""
        return len(self._buffer) > MAX_EVENT_BYTES

    def rest(self) -> bytes:
        """Return the buffered bytes, for a body that ended without a blank line."""
        return bytes(self._buffer)

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that are completed by these bytes, in order."""
        self._buffer += data
        found = []
        start = 0
        for blank in _BLANK_LINE.finditer(self._buffer, self._search_start):
            # A last carriage return may be half of a CRLF; its line feed then becomes part of the next event.
            raw = bytes(self._buffer[start : blank.end()])
            start = blank.end()
            found.append(Event(raw, _parse_id(raw)))
        if start:
            del self._buffer[:start]
        self._search_start = max(0, len(self._buffer) - _MAX_BLANK_LINE_BYTES + 1)
        return found


def _parse_id(raw: bytes) -> int | None:
    match = _ID.search(raw)
    return int(match[1]) if match else None
