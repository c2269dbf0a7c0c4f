"""The output of an emulated model server: a fixed function of path and body, so that any response can be checked."""

from __future__ import annotations

import hashlib
import math

FIRST_EVENT_ID = 1
TEXT_BYTES = 8  # of the digest in each event


def event_count(output_tokens: int, stride: int) -> int:
    """How many events carry so many tokens, `stride` in each and the rest in the last one."""
    return max(1, math.ceil(output_tokens / max(1, stride)))


def event_text(path: str, body: bytes, event_id: int) -> str:
    """The data of one event."""
    digest = hashlib.blake2b(body, digest_size=TEXT_BYTES, key=path.encode()[:64])
    digest.update(event_id.to_bytes(4, "big"))
    return f"{event_id}:{digest.hexdigest()}"


def complete_output(path: str, body: bytes, events: int) -> tuple[str, ...]:
    """The data of all events of an answer, in order."""
    return tuple(event_text(path, body, FIRST_EVENT_ID + at) for at in range(events))


def event_bytes(event_id: int, text: str) -> bytes:
    """An event as it stands in a `text/event-stream`."""
    return f"id: {event_id}\ndata: {text}\n\n".encode()
