"""The output of an emulated model server: a pure function of path and body, so that every response can be checked."""

from __future__ import annotations

import hashlib
import math

FIRST_EVENT_ID = 1
DIGEST_BYTES = 8  # size of the digest in each event


def event_count(output_tokens: int, stride: int) -> int:
    """Return the number of events that carry the output: `stride` tokens each, the last event with the remainder."""
    return max(1, math.ceil(output_tokens / max(1, stride)))


def event_text(path: str, body: bytes, event_id: int) -> str:
    """Return the data of one event."""
    digest = hashlib.blake2b(body, digest_size=DIGEST_BYTES, key=path.encode()[:64])
    digest.update(event_id.to_bytes(4, "big"))
    return f"{event_id}:{digest.hexdigest()}"


def complete_output(path: str, body: bytes, events: int) -> tuple[str, ...]:
    """Return the data of all events of a response, in order."""
    return tuple(event_text(path, body, FIRST_EVENT_ID + index) for index in range(events))


def event_bytes(event_id: int, text: str) -> bytes:
    """Encode an event for a `text/event-stream`."""
    return f"id: {event_id}\ndata: {text}\n\n".encode()
