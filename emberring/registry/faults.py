"""Faults of a model server that gateways detect in its responses."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from enum import Enum

FaultCounts = Mapping[str, Mapping[str, int]]
"""How many gateways suspect a fault, by server id and the value of a `Fault`. The keys are values instead of members,
as nodes of another version may report faults that this one does not define."""


class Fault(Enum):
    """A fault of a model server.

    In this order: connections to it cannot be established; it sends no events; it aborts responses; it fails a part of
    its calls; its first events are late.
    """

    UNREACHABLE = "unreachable"
    SILENT = "silent"
    BREAKING_OFF = "breaking_off"
    FAILING = "failing"
    SLOW = "slow"


def sum_suspicions(parts: Iterable[FaultCounts]) -> dict[str, dict[str, int]]:
    """Sum the counts of several sources by server and fault."""
    total: dict[str, Counter[str]] = {}
    for part in parts:
        for server_id, faults in part.items():
            total.setdefault(server_id, Counter()).update(faults)
    return {server_id: dict(faults) for server_id, faults in total.items()}
