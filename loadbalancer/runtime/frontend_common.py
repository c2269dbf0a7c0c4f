"""Shared by the HTTP and the Thrift frontend of a sidecar: request ids and callers' deadlines."""

from __future__ import annotations

import secrets
from collections.abc import Iterator
from itertools import count

from loadbalancer.interface import ServiceClass

ANSWER_MARGIN_S = 0.002  # before the caller's deadline; the caller is on this machine


def request_ids() -> Iterator[str]:
    """Yield request ids unique across frontends, sidecars and restarts."""
    prefix = secrets.token_hex(6)
    return (f"{prefix}-{number:x}" for number in count(1))


def caller_wait_ms(kind: ServiceClass, deadline_ms: float | None) -> float:
    """Return how long a caller waits; `deadline_ms` is the route's, if any."""
    return kind.give_up_ms if deadline_ms is None else min(kind.give_up_ms, deadline_ms)
