"""Server-sent events cut out of a stream of bytes, whole or not at all. No sockets."""

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
    """One whole event: its bytes as they came, blank line included, and its id (None where it has none)."""

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
    """Collects bytes and gives out the events that are whole."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._searched = 0

    @property
    def pending(self) -> int:
        """Bytes held of an event that is not whole yet."""
        return len(self._buffer)

    @property
    def too_long(self) -> bool:
        """Whether what is held can be no event that this tier passes on."""
        return len(self._buffer) > MAX_EVENT_BYTES

    def rest(self) -> bytes:
        """What is held of an event that is not whole; for a body that has ended without a blank line."""
        return bytes(self._buffer)

    def feed(self, data: bytes) -> list[Event]:
        """The events that have become whole with these bytes, in order."""
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
