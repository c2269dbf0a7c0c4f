"""Shares of calls by priority level, locality and health, as xDS defines them. Part of the decision module.

Sources: the Envoy proxy's documentation of load balancing, sections "Priority levels", "Overprovisioning
factor", "Degraded endpoints", "Panic threshold" and "Locality weighted load balancing".
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from loadbalancer.interface import Levels, Server, ServerState

Member = TypeVar("Member")
# States of servers that may get calls, preferred ones first.
USABLE_STATES = (ServerState.UP, ServerState.DEGRADED, ServerState.SICK)


@dataclass(slots=True)
class Group(Generic[Member]):
    """Servers that are ranked together, and their share of all calls (0 to 1)."""

    share: float
    members: list[Member] = field(default_factory=list)


class _Level(Generic[Member]):
    """Servers of one priority by state; draining ones count only in `total`."""

    def __init__(self) -> None:
        self.by_state: dict[ServerState, list[tuple[Server, Member]]] = {state: [] for state in USABLE_STATES}
        self.total = 0

    def add(self, info: Server, member: Member) -> None:
        self.total += 1
        if info.state in self.by_state:
            self.by_state[info.state].append((info, member))

    def all_usable(self) -> list[tuple[Server, Member]]:
        """Return all servers except draining ones, healthy servers first."""
        return [item for state in USABLE_STATES for item in self.by_state[state]]

    def share(self, state: ServerState) -> float:
        return len(self.by_state[state]) / self.total if self.total else 0.0


def level_loads(
    healthy: Sequence[float], degraded: Sequence[float], overprovisioning: float
) -> tuple[list[float], list[float]]:
    """Return the share of calls for the healthy and for the degraded servers of each level.

    `healthy` and `degraded` are the shares of servers in these states in each level. Healthy servers of all
    levels come first, level by level, then degraded ones. Without either, the first level gets all calls.
    """
    capacity = [min(1.0, overprovisioning * share) for share in healthy]
    reserve = [
        min(1.0 - first, overprovisioning * share) for first, share in zip(capacity, degraded, strict=True)
    ]
    total = min(1.0, sum(capacity) + sum(reserve))
    if total <= 0.0:
        return [1.0, *(0.0 for _ in capacity[1:])], [0.0 for _ in reserve]
    remaining, loads = 1.0, []
    for share in (*capacity, *reserve):
        loads.append(min(remaining, share / total))
        remaining = max(0.0, remaining - loads[-1])
    return loads[: len(capacity)], loads[len(capacity) :]


def build_groups(servers: Sequence[tuple[Server, Member]], levels: Levels) -> list[Group[Member]]:
    """Return the groups by level, healthy before degraded; servers that get no calls are in none."""
    by_priority: dict[int, _Level[Member]] = {}
    for info, member in servers:
        if info.weight > 0.0 and info.state is not ServerState.REMOVED:
            by_priority.setdefault(info.priority, _Level()).add(info, member)
    ordered = [by_priority[priority] for priority in sorted(by_priority)]
    if not ordered:
        return []
    factor = levels.overprovisioning
    healthy_shares = [level.share(ServerState.UP) for level in ordered]
    degraded_shares = [level.share(ServerState.DEGRADED) for level in ordered]
    healthy, degraded = level_loads(healthy_shares, degraded_shares, factor)
    available = sum(
        min(1.0, factor * (up + deg)) for up, deg in zip(healthy_shares, degraded_shares, strict=True)
    )
    groups: list[Group[Member]] = []
    for at, level in enumerate(ordered):
        all_usable = level.all_usable()
        if available < 1.0 and healthy_shares[at] + degraded_shares[at] < levels.panic:
            # Panic mode: health is ignored, and all servers except draining ones are used.
            groups += _by_locality(all_usable, all_usable, healthy[at] + degraded[at], 1.0)
            continue
        for state, load in ((ServerState.UP, healthy[at]), (ServerState.DEGRADED, degraded[at])):
            groups += _by_locality(level.by_state[state], all_usable, load, factor)
    return [group for group in groups if group.members]


def _by_locality(
    members: list[tuple[Server, Member]],
    level_members: list[tuple[Server, Member]],
    share: float,
    factor: float,
) -> list[Group[Member]]:
    """Return a group for each locality if localities have weights, else a single group.

    The weight of a locality is reduced if few of its servers (among `level_members`) are in `members`.
    """
    if not any(info.locality_weight is not None for info, _ in members):
        return [Group(share, [member for _, member in members])]
    usable: dict[str, list[Member]] = {}
    weights: dict[str, float] = {}
    for info, member in members:
        usable.setdefault(info.locality, []).append(member)
        weights[info.locality] = info.locality_weight or 0.0
    for name, usable_members in usable.items():
        total = sum(1 for info, _ in level_members if info.locality == name)
        weights[name] *= min(1.0, factor * len(usable_members) / total)
    total_weight = sum(weights.values())
    weighted = [(name, usable_members) for name, usable_members in usable.items() if weights[name] > 0.0]
    return [Group(share * weights[name] / total_weight, usable_members) for name, usable_members in weighted]
