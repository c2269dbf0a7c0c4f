"""Parses a `text/event-stream` incrementally."""

from __future__ import annotations

import attrs

END_OF_EVENT = b"\n\n"


@attrs.frozen
class StreamEvent:
    """One complete event; `id` is None if the event has no id."""

    id: int | None
    data: str


class EventReader:
    """Splits the bytes of a stream into events."""

    def __init__(self) -> None:
        self._rest = b""

    @property
    def rest(self) -> bytes:
        """The received bytes of the last, still incomplete event."""
        return self._rest

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that these bytes complete. Raises ValueError if an id is not a number."""
        *blocks, self._rest = (self._rest + data).split(END_OF_EVENT)
        return [_parse(block) for block in blocks]


def _parse(block: bytes) -> StreamEvent:
    number: int | None = None
    lines: list[str] = []
    for line in block.decode("utf-8").split("\n"):
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if name == "id":
            number = int(value)
        elif name == "data":
            lines.append(value)
    return StreamEvent(number, "\n".join(lines))
