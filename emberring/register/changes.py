"""Reconfiguration of the replica set: selects the replica to replace and its successor. Pure functions.

Replicas are replaced one at a time by joint consensus: first the previous and the next set are in force together, and a
quorum needs a majority of each; once that state is known to be committed, the next set alone.
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
    """One node's knowledge of the replicas and of the nodes that could replace them. Mappings are by identity.

    Attributes:
        unreachable_s: time since the last contact with each replica, in seconds.
        dead: the replicas that have been unreachable for too long.
        successor_at_address: the identity of another replica that now replies at a replica's address.
        leaving: the replicas that are shutting down.
        successor_by_name: the identity of another node that now has the node name of an unreachable replica.
        zones: the zone of each replica, if known.
        candidates: the control nodes that may become replicas.
    """

    unreachable_s: Mapping[str, float]
    dead: frozenset[str]
    successor_at_address: Mapping[str, str]
    leaving: frozenset[str]
    successor_by_name: Mapping[str, str]
    zones: Mapping[str, str]
    candidates: tuple[Candidate, ...]


def next_replica_set(current: ReplicaSet, view: ReplicaSetView, target_size: int) -> ReplicaSet | None:
    """Return the replica set of the next reconfiguration step, or None if there is nothing to do.

    Args:
        current: the replica set in force.
        view: this node's knowledge of the replicas and candidates.
        target_size: the number of replicas that there should be.
    """
    if current.joining:
        return ReplicaSet(current.epoch + 1, current.joining)
    names = {member.identity for member in current.members}
    candidates = [candidate for candidate in view.candidates if candidate.member.identity not in names]
    if not candidates:
        return None
    outgoing = _member_to_replace(current, view)
    if outgoing is not None:
        successor = _successor(current, view, outgoing, candidates)
        joining = tuple(
            successor.member if member.identity == outgoing.identity else member for member in current.members
        )
    elif len(current.members) < target_size:
        joining = (*current.members, _best_zone_candidate(current.members, view, candidates).member)
    else:
        return None
    return ReplicaSet(current.epoch + 1, current.members, joining)


def _member_to_replace(current: ReplicaSet, view: ReplicaSetView) -> Member | None:
    """Return the replica to replace, by priority: its disk or machine was replaced, it is dead, it is leaving."""
    criteria: tuple[Callable[[Member], bool], ...] = (
        lambda member: member.identity in view.successor_at_address,
        lambda member: member.identity in view.successor_by_name,
        lambda member: member.identity in view.dead,
        lambda member: member.identity in view.leaving,
    )
    for matches in criteria:
        matching = [member for member in current.members if matches(member)]
        if matching:
            return max(matching, key=lambda member: view.unreachable_s.get(member.identity, 0.0))
    return None


def _successor(
    current: ReplicaSet, view: ReplicaSetView, outgoing: Member, candidates: list[Candidate]
) -> Candidate:
    """Return the candidate that has the address or node name of `outgoing`, or else the one in the best zone."""
    preferred = {
        view.successor_at_address.get(outgoing.identity),
        view.successor_by_name.get(outgoing.identity),
    }
    for candidate in candidates:
        if candidate.member.identity in preferred:
            return candidate
    return _best_zone_candidate(
        tuple(member for member in current.members if member != outgoing), view, candidates
    )


def _best_zone_candidate(
    remaining: tuple[Member, ...], view: ReplicaSetView, candidates: list[Candidate]
) -> Candidate:
    """Return the candidate whose zone has the fewest of the remaining replicas, and of equals the lowest identity."""
    zones = [view.zones.get(member.identity, "") for member in remaining]
    return min(candidates, key=lambda candidate: (zones.count(candidate.zone), candidate.member.identity))
