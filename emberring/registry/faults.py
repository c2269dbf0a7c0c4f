"""What may be wrong with a model server, as gateways find it in its answers."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from enum import Enum

FaultCounts = Mapping[str, Mapping[str, int]]
"""By server id and a trouble's value: how many gateways find it. Values and not members, as nodes of another version
may name troubles that this one does not know."""


class Fault(Enum):
    """What speaks against a server: its connections don't come up, it owes events, it breaks answers off, it fails
    a part of its calls, its first events come late."""

    UNREACHABLE = "unreachable"
    SILENT = "silent"
    BREAKING_OFF = "breaking_off"
    FAILING = "failing"
    SLOW = "slow"


def sum_suspicions(parts: Iterable[FaultCounts]) -> dict[str, dict[str, int]]:
    """The sum by server and trouble."""
    total: dict[str, Counter[str]] = {}
    for part in parts:
        for server_id, troubles in part.items():
            total.setdefault(server_id, Counter()).update(troubles)
    return {server_id: dict(troubles) for server_id, troubles in total.items()}
