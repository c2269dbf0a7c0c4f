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


@dataclass(slots=True)
class Group(Generic[Member]):
    """Servers among which a call is ranked, and the share of all calls that is theirs (0 to 1)."""

    share: float
    members: list[Member] = field(default_factory=list)


@dataclass(slots=True)
class _Level(Generic[Member]):
    healthy: list[tuple[Server, Member]] = field(default_factory=list)
    degraded: list[tuple[Server, Member]] = field(default_factory=list)
    sick: list[tuple[Server, Member]] = field(default_factory=list)
    total: int = 0  # draining ones too

    def part(self, members: Sequence[object]) -> float:
        return len(members) / self.total if self.total else 0.0


def loads_of(
    healthy: Sequence[float], degraded: Sequence[float], factor: float
) -> tuple[list[float], list[float]]:
    """Each level's share of calls for its healthy and its degraded servers, from their parts of the level.

    All healthy ones come first, level by level, then the degraded ones. With none, the first level has all.
    """
    sound = [min(1.0, factor * part) for part in healthy]
    spared = [min(1.0 - first, factor * part) for first, part in zip(sound, degraded, strict=True)]
    total = min(1.0, sum(sound) + sum(spared))
    if total <= 0.0:
        return [1.0, *(0.0 for _ in sound[1:])], [0.0 for _ in spared]
    left, loads = 1.0, []
    for part in (*sound, *spared):
        loads.append(min(left, part / total))
        left = max(0.0, left - loads[-1])
    return loads[: len(sound)], loads[len(sound) :]


def groups_of(servers: Sequence[tuple[Server, Member]], levels: Levels) -> list[Group[Member]]:
    """The groups by level, healthy before degraded; what gets nothing new is in none."""
    by_priority: dict[int, _Level[Member]] = {}
    for info, member in servers:
        if info.weight <= 0.0 or info.state is ServerState.REMOVED:
            continue
        level = by_priority.setdefault(info.priority, _Level())
        level.total += 1
        if info.state is ServerState.UP:
            level.healthy.append((info, member))
        elif info.state is ServerState.DEGRADED:
            level.degraded.append((info, member))
        elif info.state is ServerState.SICK:
            level.sick.append((info, member))
    ordered = [by_priority[priority] for priority in sorted(by_priority)]
    if not ordered:
        return []
    sound = [level.part(level.healthy) for level in ordered]
    spared = [level.part(level.degraded) for level in ordered]
    healthy, degraded = loads_of(sound, spared, levels.overprovisioning)
    enough = sum(
        min(1.0, levels.overprovisioning * (one + two)) for one, two in zip(sound, spared, strict=True)
    )
    groups: list[Group[Member]] = []
    for at, level in enumerate(ordered):
        if enough < 1.0 and sound[at] + spared[at] < levels.panic:
            # Health is not believed: all but what drains.
            everyone = level.healthy + level.degraded + level.sick
            groups += _by_locality(everyone, everyone, healthy[at] + degraded[at], 1.0)
            continue
        for members, load in ((level.healthy, healthy[at]), (level.degraded, degraded[at])):
            groups += _by_locality(
                members, level.healthy + level.degraded + level.sick, load, levels.overprovisioning
            )
    return [group for group in groups if group.members]


def _by_locality(
    members: list[tuple[Server, Member]], known: list[tuple[Server, Member]], share: float, factor: float
) -> list[Group[Member]]:
    """A group for each locality where they are weighed, else one: a locality gets its weight, less where few
    of its servers can be used."""
    if not any(info.locality_weight is not None for info, _ in members):
        return [Group(share, [member for _, member in members])]
    usable: dict[str, list[Member]] = {}
    weights: dict[str, float] = {}
    for info, member in members:
        usable.setdefault(info.locality, []).append(member)
        weights[info.locality] = info.locality_weight or 0.0
    for name, found in usable.items():
        there = sum(1 for info, _ in known if info.locality == name)
        weights[name] *= min(1.0, factor * len(found) / there)
    whole = sum(weights.values())
    return [
        Group(share * weights[name] / whole, found) for name, found in usable.items() if weights[name] > 0.0
    ]
