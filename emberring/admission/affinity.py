"""The preferred servers of a shared prompt prefix, by rendezvous hashing: all gateways agree without communication.

Only the largest shared part decides, and only if it is large enough that recomputing it costs more than queueing:
small parts that many requests have in common would otherwise send them all to one server.
"""

from __future__ import annotations

import heapq
import zlib
from collections.abc import Iterable, Sequence

from emberring.admission.types import PrefixPart

AFFINITY_MIN_TOKENS = 1500  # shared parts from this size on have preferred servers


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
    """Return the first `count` servers in the order of preference for this key; the same at every gateway."""
    return heapq.nlargest(count, server_ids, key=lambda server_id: (_score(key, server_id), server_id))


def _score(key: str, server_id: str) -> int:
    """Return a pseudo-random score that depends on both names only.

    CRC is linear, so its bits are mixed before scores are compared.
    """
    mixed = zlib.crc32(server_id.encode(), zlib.crc32(key.encode())) * 0x9E3779B1 & 0xFFFFFFFF
    mixed ^= mixed >> 15
    mixed = mixed * 0x85EBCA6B & 0xFFFFFFFF
    return mixed ^ mixed >> 13
