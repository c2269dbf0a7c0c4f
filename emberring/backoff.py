"""Waiting times that double with each failure in a row, up to a maximum."""

from __future__ import annotations

import math


def doubled_wait_s(first_s: float, max_s: float, count: int) -> float:
    """Return the wait after `count` failures in a row: `first_s` after one, doubled with each further one.

    It is `max_s` at most. Any count is valid; a power of a large count would be no number.
    """
    doublings_to_max = math.ceil(math.log2(max_s / first_s))
    return min(max_s, first_s * 2.0 ** min(count - 1, doublings_to_max))
