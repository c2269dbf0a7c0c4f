"""Parser of server-sent events: a byte stream is split into complete events. No sockets."""

from __future__ import annotations

import re

import attrs

MAX_EVENT_BYTES = 1024 * 1024

_BLANK_LINE = re.compile(rb"\r\n\r\n|\n\r?\n|\r\r")
_LONGEST_BLANK_LINE = 4
_ID = re.compile(rb"(?:^|[\r\n])id: ?([0-9]{1,18})(?=[\r\n])")
_LINES = re.compile(rb"\r\n|\n|\r")


@attrs.frozen
class Event:
    """One complete event: its bytes as received, blank line included, and its id (None if it has none)."""

    raw: bytes
    id: int | None

    @property
    def data(self) -> bytes:
        """The event's data: its `data` lines joined by line feeds."""
        found = []
        for line in _LINES.split(self.raw):
            if line.startswith(b"data:"):
                value = line[5:]
                found.append(value[1:] if value.startswith(b" ") else value)
        return b"\n".join(found)


class EventParser:
    """Buffers bytes and returns the events that are complete."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._searched = 0

    @property
    def pending(self) -> int:
        """Bytes buffered of an event that is not complete yet."""
        return len(self._buffer)

    @property
    def too_long(self) -> bool:
        """Whether the buffered event is longer than this tier forwards."""
        return len(self._buffer) > MAX_EVENT_BYTES

    def rest(self) -> bytes:
        """Return the bytes of an incomplete event, for a body that ended without a blank line."""
        return bytes(self._buffer)

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that are completed by these bytes, in order."""
        self._buffer += data
        found = []
        start = 0
        for blank in _BLANK_LINE.finditer(self._buffer, self._searched):
            # A carriage return at the very end may be the first half of a line end.
            raw = bytes(self._buffer[start : blank.end()])
            start = blank.end()
            found.append(Event(raw, _id_of(raw)))
        if start:
            del self._buffer[:start]
        self._searched = max(0, len(self._buffer) - _LONGEST_BLANK_LINE + 1)
        return found


def _id_of(raw: bytes) -> int | None:
    match = _ID.search(raw)
    return int(match[1]) if match else None
