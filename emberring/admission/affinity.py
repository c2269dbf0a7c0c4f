"""The preferred servers of a shared prompt prefix, by rendezvous hashing, so that gateways agree without communication.

Only the largest shared part is used, and only if recomputing it costs more than queueing. Small parts that many
requests share would otherwise direct all of these requests to one server.
"""

from __future__ import annotations

import heapq
import zlib
from collections.abc import Iterable, Sequence

from emberring.admission.types import PrefixPart

AFFINITY_MIN_TOKENS = 1500  # smallest shared part that has preferred servers


def affinity_key(parts: Sequence[PrefixPart]) -> str | None:
    """Return the id of the largest shared part; None if no shared part is large enough.

    The last part is the request's own and is not shared.
    """
    best: PrefixPart | None = None
    for part in parts[:-1]:
        if part.tokens >= AFFINITY_MIN_TOKENS and (best is None or part.tokens > best.tokens):
            best = part
    return None if best is None else best.id


def preferred_servers(key: str, server_ids: Iterable[str], count: int) -> list[str]:
    """Return the `count` most preferred servers for this key, the most preferred first; the same at every gateway."""
    return heapq.nlargest(count, server_ids, key=lambda server_id: (_score(key, server_id), server_id))


def _score(key: str, server_id: str) -> int:
    """Return a pseudo-random score that depends on the two arguments only.

    CRC is linear: without the mixing of bits, the order of servers would be similar for all keys.
    """
    mixed = zlib.crc32(server_id.encode(), zlib.crc32(key.encode())) * 0x9E3779B1 & 0xFFFFFFFF
    mixed ^= mixed >> 15
    mixed = mixed * 0x85EBCA6B & 0xFFFFFFFF
    return mixed ^ mixed >> 13
