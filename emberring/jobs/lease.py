"""Lease of an owner: while it is active, the owner may answer reads without asking a quorum again."""

from __future__ import annotations

import math

from emberring.placement.model import Group, quorum

# Since a renewal was sent that a quorum granted; shorter than the time for which replicas reject other claims.
OWNER_LEASE_S = 0.6


def has_quorum(group: Group, identities: set[str]) -> bool:
    """Whether these replicas are a majority of the members, and also of the joining members if there are any."""
    return all(
        len(identities.intersection(members)) >= quorum(members)
        for members in (group.members, group.joining)
        if members
    )


class OwnerLease:
    """For each replica, the time at which the latest renewal was sent that it granted."""

    def __init__(self) -> None:
        self._granted: dict[str, float] = {}

    def grant(self, identity: str, sent_s: float) -> None:
        """Record that a replica granted a renewal that was sent at `sent_s`."""
        self._granted[identity] = max(sent_s, self._granted.get(identity, -math.inf))

    def clear(self) -> None:
        """Remove all grants, as a new term begins."""
        self._granted.clear()

    def until_s(self, group: Group) -> float:
        """Return the end of the lease, in seconds of the monotonic clock."""
        return OWNER_LEASE_S + min(
            self._quorum_time(members) for members in (group.members, group.joining) if members
        )

    def _quorum_time(self, members: tuple[str, ...]) -> float:
        times = sorted((self._granted.get(identity, -math.inf) for identity in members), reverse=True)
        return times[quorum(members) - 1]
