"""Shares of calls by priority level, locality and health, as xDS states them; part of the decision module.

Sources: the Envoy proxy's documentation of load balancing, sections "Priority levels", "Overprovisioning
factor", "Degraded endpoints", "Panic threshold" and "Locality weighted load balancing".
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from loadbalancer.interface import Levels, Server, ServerState

Member = TypeVar("Member")
BY_HEALTH = (ServerState.UP, ServerState.DEGRADED, ServerState.SICK)  # states of servers that may get calls


@dataclass(slots=True)
class Group(Generic[Member]):
    """Servers among which a call is ranked, and the share of all calls that is theirs (0 to 1)."""

    share: float
    members: list[Member] = field(default_factory=list)


class _Level(Generic[Member]):
    """Servers of one priority by state; draining ones count in `total` alone."""

    def __init__(self) -> None:
        self.by_state: dict[ServerState, list[tuple[Server, Member]]] = {state: [] for state in BY_HEALTH}
        self.total = 0

    def add(self, info: Server, member: Member) -> None:
        self.total += 1
        if info.state in self.by_state:
            self.by_state[info.state].append((info, member))

    def everyone(self) -> list[tuple[Server, Member]]:
        """Return all but what drains, healthy servers first."""
        return [item for state in BY_HEALTH for item in self.by_state[state]]

    def share(self, state: ServerState) -> float:
        return len(self.by_state[state]) / self.total if self.total else 0.0


def level_loads(
    healthy: Sequence[float], degraded: Sequence[float], overprovisioning: float
) -> tuple[list[float], list[float]]:
    """Return each level's share of calls for its healthy and degraded servers, from their shares of it.

    All healthy ones come first, level by level, then the degraded ones. With none, the first level has all.
    """
    sound = [min(1.0, overprovisioning * part) for part in healthy]
    spared = [min(1.0 - first, overprovisioning * part) for first, part in zip(sound, degraded, strict=True)]
    total = min(1.0, sum(sound) + sum(spared))
    if total <= 0.0:
        return [1.0, *(0.0 for _ in sound[1:])], [0.0 for _ in spared]
    left, loads = 1.0, []
    for part in (*sound, *spared):
        loads.append(min(left, part / total))
        left = max(0.0, left - loads[-1])
    return loads[: len(sound)], loads[len(sound) :]


def groups_of(servers: Sequence[tuple[Server, Member]], levels: Levels) -> list[Group[Member]]:
    """Return the groups by level, healthy before degraded; what gets nothing new is in none."""
    by_priority: dict[int, _Level[Member]] = {}
    for info, member in servers:
        if info.weight > 0.0 and info.state is not ServerState.REMOVED:
            by_priority.setdefault(info.priority, _Level()).add(info, member)
    ordered = [by_priority[priority] for priority in sorted(by_priority)]
    if not ordered:
        return []
    factor = levels.overprovisioning
    sound = [level.share(ServerState.UP) for level in ordered]
    spared = [level.share(ServerState.DEGRADED) for level in ordered]
    healthy, degraded = level_loads(sound, spared, factor)
    available = sum(min(1.0, factor * (one + two)) for one, two in zip(sound, spared, strict=True))
    groups: list[Group[Member]] = []
    for at, level in enumerate(ordered):
        everyone = level.everyone()
        if available < 1.0 and sound[at] + spared[at] < levels.panic:
            # Health is not believed: all but what drains.
            groups += _by_locality(everyone, everyone, healthy[at] + degraded[at], 1.0)
            continue
        for state, load in ((ServerState.UP, healthy[at]), (ServerState.DEGRADED, degraded[at])):
            groups += _by_locality(level.by_state[state], everyone, load, factor)
    return [group for group in groups if group.members]


def _by_locality(
    members: list[tuple[Server, Member]], known: list[tuple[Server, Member]], share: float, factor: float
) -> list[Group[Member]]:
    """Return a group for each locality where they are weighed, else one.

    A locality gets its weight, less where few of its servers can be used.
    """
    if not any(info.locality_weight is not None for info, _ in members):
        return [Group(share, [member for _, member in members])]
    usable: dict[str, list[Member]] = {}
    weights: dict[str, float] = {}
    for info, member in members:
        usable.setdefault(info.locality, []).append(member)
        weights[info.locality] = info.locality_weight or 0.0
    for name, found in usable.items():
        total = sum(1 for info, _ in known if info.locality == name)
        weights[name] *= min(1.0, factor * len(found) / total)
    total_weight = sum(weights.values())
    weighed = [(name, found) for name, found in usable.items() if weights[name] > 0.0]
    return [Group(share * weights[name] / total_weight, found) for name, found in weighed]
