"""Changes of the replica set: which replica is replaced by which control node. Pure functions.

One replica at a time: first the previous and the next set together (a quorum is a majority of each), then, once that
state is known to be chosen, the next set alone.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

import attrs

from emberring.register.model import Member, ReplicaSet


@attrs.frozen
class Candidate:
    """A control node that may become a replica."""

    member: Member
    zone: str = ""


@attrs.frozen
class View:
    """What one node sees. `silent_s`: for how long each replica was not heard (seconds); `dead`: those silent for too
    long; `displaced`: replicas at whose address another identity answers, with that identity; `leaving`: replicas
    that are being stopped; `replaced`: silent replicas whose name another identity bears; `zones`: of replicas,
    where known."""

    silent_s: Mapping[str, float]
    dead: frozenset[str]
    displaced: Mapping[str, str]
    leaving: frozenset[str]
    replaced: Mapping[str, str]
    zones: Mapping[str, str]
    candidates: tuple[Candidate, ...]


def next_set(current: ReplicaSet, view: View, wanted: int) -> ReplicaSet | None:
    """The next step of a change, or None. `wanted` is how many replicas there should be."""
    if current.joining:
        return ReplicaSet(current.epoch + 1, current.joining)
    names = {member.identity for member in current.members}
    candidates = [found for found in view.candidates if found.member.identity not in names]
    if not candidates:
        return None
    victim = _victim(current, view)
    if victim is not None:
        successor = _successor(current, view, victim, candidates)
        joining = tuple(
            successor.member if member.identity == victim.identity else member for member in current.members
        )
    elif len(current.members) < wanted:
        joining = (*current.members, _best(current.members, view, candidates).member)
    else:
        return None
    return ReplicaSet(current.epoch + 1, current.members, joining)


def _victim(current: ReplicaSet, view: View) -> Member | None:
    """The replica to replace: one whose disk is gone before one that is silent before one that is leaving."""

    tests: tuple[Callable[[Member], bool], ...] = (
        lambda member: member.identity in view.displaced,
        lambda member: member.identity in view.replaced,
        lambda member: member.identity in view.dead,
        lambda member: member.identity in view.leaving,
    )
    for test in tests:
        found = [member for member in current.members if test(member)]
        if found:
            return max(found, key=lambda member: view.silent_s.get(member.identity, 0.0))
    return None


def _successor(current: ReplicaSet, view: View, victim: Member, candidates: list[Candidate]) -> Candidate:
    """The one that stands in the victim's place, or the one that spreads the replicas best."""
    in_place = {view.displaced.get(victim.identity), view.replaced.get(victim.identity)}
    for candidate in candidates:
        if candidate.member.identity in in_place:
            return candidate
    return _best(tuple(member for member in current.members if member != victim), view, candidates)


def _best(kept: tuple[Member, ...], view: View, candidates: list[Candidate]) -> Candidate:
    """The candidate whose zone has the fewest replicas; the lowest identity among equals."""
    zones = [view.zones.get(member.identity, "") for member in kept]
    return min(candidates, key=lambda found: (zones.count(found.zone), found.member.identity))
