"""What the fronts of a sidecar have in common: ids of requests, and how long each is waited for."""

from __future__ import annotations

import secrets
from collections.abc import Iterator
from itertools import count

from loadbalancer.interface import ServiceClass

WAY_BACK_S = 0.002  # an answer leaves this long before the caller's time is up: it is on this machine


def ids() -> Iterator[str]:
    """Ids that no other front, sidecar or start gives."""
    mark = secrets.token_hex(6)
    return (f"{mark}-{number:x}" for number in count(1))


def patience_ms(kind: ServiceClass, deadline_ms: float | None) -> float:
    """How long a caller of this class waits, on a route with this deadline of its own or none."""
    return kind.give_up_ms if deadline_ms is None else min(kind.give_up_ms, deadline_ms)
