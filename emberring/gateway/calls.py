"""Derives the admission inputs of a request: service, token counts, prompt parts. Pure functions."""

from __future__ import annotations

import zlib
from collections.abc import Callable

from emberring.admission.types import PrefixPart
from emberring.configuration.model import Route

HASH_RANGE = 2**32


def choose_service(route: Route, key: bytes, has_servers: Callable[[str], bool]) -> str | None:
    """Return the service of a request by the route's weights and a hash of `key`; the same key gives the same service.

    A service without servers is chosen only if no service has servers. Returns None if no weight is above 0.
    """
    shares = [share for share in route.split if share.weight > 0]
    if not shares:
        return None
    shares = [share for share in shares if has_servers(share.service)] or shares
    position = zlib.crc32(key) / HASH_RANGE * sum(share.weight for share in shares)
    for share in shares:
        position -= share.weight
        if position < 0:
            return share.service
    return shares[-1].service


def read_token_count(value: bytes | None) -> tuple[int, int]:
    """Return the tokens of the prompt and the maximum of the output from `Token-Count`; (0, 0) if it is invalid."""
    numbers = (value or b"").split(b",")
    if len(numbers) != 2 or not all(number.strip().isdigit() for number in numbers):
        return (0, 0)
    return (int(numbers[0]), int(numbers[1]))


def read_prefix_parts(value: bytes | None) -> tuple[PrefixPart, ...]:
    """Return the parts of a prompt from `Prefix-Hash`, up to the first invalid one."""
    parts: list[PrefixPart] = []
    for item in (value or b"").split(b","):
        part_id, _, tokens = item.strip().partition(b":")
        if not part_id or not tokens.isdigit():
            break
        parts.append(PrefixPart(part_id.decode("latin-1"), int(tokens)))
    return tuple(parts)


def read_milliseconds(value: bytes | None) -> float | None:
    """Return a header value in milliseconds; None if it is missing or invalid."""
    try:
        milliseconds = float(value or b"")
    except ValueError:
        return None
    return milliseconds if 0.0 <= milliseconds < 1e9 else None
