"""Reconfiguration of the replica set: which replica is replaced by which control node. Pure functions.

One replica at a time: first the previous and the next set together (a quorum is a majority of each), then, once that
state is known to be committed, the next set alone.
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
class ReplicaSetView:
    """What one node knows of the replicas and of the nodes that could replace them.

    Attributes:
        silent_s: for how long each replica has not been heard from, in seconds.
        dead: the replicas that have been silent for too long.
        address_taken_by: for a replica at whose address another identity answers, that identity.
        leaving: the replicas that are being shut down.
        name_taken_by: for a silent replica whose node name another node now has, the identity of that node.
        zones: the zone of each replica, where known.
        candidates: the nodes that may become replicas.
    """

    silent_s: Mapping[str, float]
    dead: frozenset[str]
    address_taken_by: Mapping[str, str]
    leaving: frozenset[str]
    name_taken_by: Mapping[str, str]
    zones: Mapping[str, str]
    candidates: tuple[Candidate, ...]


def next_replica_set(current: ReplicaSet, view: ReplicaSetView, target_size: int) -> ReplicaSet | None:
    """Return the next step of a reconfiguration, or None.

    Args:
        current: the replica set in force.
        view: what this node knows of it.
        target_size: how many replicas there should be.
    """
    if current.joining:
        return ReplicaSet(current.epoch + 1, current.joining)
    names = {member.identity for member in current.members}
    candidates = [found for found in view.candidates if found.member.identity not in names]
    if not candidates:
        return None
    outgoing = _member_to_replace(current, view)
    if outgoing is not None:
        successor = _successor(current, view, outgoing, candidates)
        joining = tuple(
            successor.member if member.identity == outgoing.identity else member for member in current.members
        )
    elif len(current.members) < target_size:
        joining = (*current.members, _best_spread(current.members, view, candidates).member)
    else:
        return None
    return ReplicaSet(current.epoch + 1, current.members, joining)


def _member_to_replace(current: ReplicaSet, view: ReplicaSetView) -> Member | None:
    """Return the replica to replace: one whose disk is lost first, then a silent one, then one that is leaving."""
    tests: tuple[Callable[[Member], bool], ...] = (
        lambda member: member.identity in view.address_taken_by,
        lambda member: member.identity in view.name_taken_by,
        lambda member: member.identity in view.dead,
        lambda member: member.identity in view.leaving,
    )
    for test in tests:
        found = [member for member in current.members if test(member)]
        if found:
            return max(found, key=lambda member: view.silent_s.get(member.identity, 0.0))
    return None


def _successor(
    current: ReplicaSet, view: ReplicaSetView, outgoing: Member, candidates: list[Candidate]
) -> Candidate:
    """Return the candidate that took the address or the name of `outgoing`, or the one that spreads replicas best."""
    in_place = {view.address_taken_by.get(outgoing.identity), view.name_taken_by.get(outgoing.identity)}
    for candidate in candidates:
        if candidate.member.identity in in_place:
            return candidate
    return _best_spread(tuple(member for member in current.members if member != outgoing), view, candidates)


def _best_spread(kept: tuple[Member, ...], view: ReplicaSetView, candidates: list[Candidate]) -> Candidate:
    """Return the candidate whose zone has the fewest replicas; the lowest identity among equals."""
    zones = [view.zones.get(member.identity, "") for member in kept]
    return min(candidates, key=lambda found: (zones.count(found.zone), found.member.identity))
