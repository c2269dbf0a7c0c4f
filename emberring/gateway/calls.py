"""What admission needs to know of a request: service, tokens, parts of the prompt. Pure functions."""

from __future__ import annotations

import zlib
from collections.abc import Callable

from emberring.admission.types import PrefixPart
from emberring.configuration.model import Route

HASH_RANGE = 2**32


def choose_service(route: Route, key: bytes, has_servers: Callable[[str], bool]) -> str | None:
    """Return the service of a request by the route's weights, the same for the same key.

    A service without servers is chosen only if none has any; None is returned if no weight is above 0.
    """
    shares = [share for share in route.split if share.weight > 0]
    if not shares:
        return None
    shares = [share for share in shares if has_servers(share.service)] or shares
    point = zlib.crc32(key) / HASH_RANGE * sum(share.weight for share in shares)
    for share in shares:
        point -= share.weight
        if point < 0:
            return share.service
    return shares[-1].service


def read_token_count(value: bytes | None) -> tuple[int, int]:
    """Read `Token-Count`: tokens of the prompt, and of the output at most; (0, 0) if it is invalid."""
    numbers = (value or b"").split(b",")
    if len(numbers) != 2 or not all(number.strip().isdigit() for number in numbers):
        return (0, 0)
    return (int(numbers[0]), int(numbers[1]))


def read_prefix_parts(value: bytes | None) -> tuple[PrefixPart, ...]:
    """Read the parts of a prompt from `Prefix-Hash`, those up to the first invalid one."""
    parts: list[PrefixPart] = []
    for item in (value or b"").split(b","):
        part_id, _, tokens = item.strip().partition(b":")
        if not part_id or not tokens.isdigit():
            break
        parts.append(PrefixPart(part_id.decode("latin-1"), int(tokens)))
    return tuple(parts)


def read_milliseconds(value: bytes | None) -> float | None:
    """Read a number of milliseconds; None if there is none."""
    try:
        found = float(value or b"")
    except ValueError:
        return None
    return found if 0.0 <= found < 1e9 else None
