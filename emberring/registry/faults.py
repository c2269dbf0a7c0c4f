"""Faults of a model server that gateways detect in its answers."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from enum import Enum

FaultCounts = Mapping[str, Mapping[str, int]]
"""By server id and the value of a `Fault`: how many gateways suspect it. Values and not members, as nodes of another
version may know faults that this one does not."""


class Fault(Enum):
    """What is wrong with a server.

    Its connections aren't established, it sends no events, it breaks off answers, it fails a part of its calls, its
    first events come late.
    """

    UNREACHABLE = "unreachable"
    SILENT = "silent"
    BREAKING_OFF = "breaking_off"
    FAILING = "failing"
    SLOW = "slow"


def sum_suspicions(parts: Iterable[FaultCounts]) -> dict[str, dict[str, int]]:
    """Sum the counts by server and fault."""
    total: dict[str, Counter[str]] = {}
    for part in parts:
        for server_id, faults in part.items():
            total.setdefault(server_id, Counter()).update(faults)
    return {server_id: dict(faults) for server_id, faults in total.items()}
