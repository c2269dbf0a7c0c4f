"""The lease under which an owner answers reads: a quorum renewed it a short while ago."""

from __future__ import annotations

import math

from emberring.placement.model import Group, quorum

OWNER_LEASE_S = (
    0.6  # after the sending of a lease renewal that a quorum granted; replicas refuse others for longer
)


def has_quorum(group: Group, identities: set[str]) -> bool:
    """Whether these are a majority of the members, and of the joining members if there are any."""
    return all(
        len(identities.intersection(members)) >= quorum(members)
        for members in (group.members, group.joining)
        if members
    )


class OwnerLease:
    """Times at which the lease renewals were sent that each replica granted last."""

    def __init__(self) -> None:
        self._granted: dict[str, float] = {}

    def grant(self, identity: str, sent_s: float) -> None:
        """Note that a replica granted a renewal that was sent at `sent_s`."""
        self._granted[identity] = max(sent_s, self._granted.get(identity, -math.inf))

    def clear(self) -> None:
        """Drop all grants: a new term begins."""
        self._granted.clear()

    def until_s(self, group: Group) -> float:
        """Return until when reads may be answered, in seconds of the monotonic clock."""
        return OWNER_LEASE_S + min(
            self._quorum_time(members) for members in (group.members, group.joining) if members
        )

    def _quorum_time(self, members: tuple[str, ...]) -> float:
        times = sorted((self._granted.get(identity, -math.inf) for identity in members), reverse=True)
        return times[quorum(members) - 1]
