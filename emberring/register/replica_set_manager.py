"""Decides whether, and by which node, the replica set is to be reconfigured now."""

from __future__ import annotations

import attrs

from emberring.register.changes import Candidate, ReplicaSetView, next_replica_set
from emberring.register.contacts import Contacts
from emberring.register.model import Member, Proposal, ReplicaSet

RECENT_CONTACT_S = 1.0
"""A node that was in contact within this time counts as alive, in seconds."""


@attrs.frozen
class ReconfigurationTimeouts:
    """Time-outs of a reconfiguration, in seconds.

    Attributes:
        dead_after_s: how long a replica may be silent before it counts as dead.
        name_silent_s: how long it may be silent before another node with its node name replaces it.
        rank_delay_s: how much longer each further replica of the set waits before it acts.
        joiner_wait_s: how long joining replicas have to get the value.
    """

    dead_after_s: float = 1.5
    name_silent_s: float = 0.5
    rank_delay_s: float = 0.5
    joiner_wait_s: float = 1.0


RECONFIGURATION_TIMEOUTS = ReconfigurationTimeouts()
"""The time-outs in production; simulators use shorter ones too."""


@attrs.frozen
class ReconfigurationStep:
    """A planned step from one replica set to the next."""

    previous: ReplicaSet
    following: ReplicaSet


class ReplicaSetManager:
    """Plans steps from what the contacts show. Replicas further down the set wait longer before they act.

    Attributes:
        timeouts: of a reconfiguration.
    """

    def __init__(
        self,
        me: Member,
        target_size: int,
        contacts: Contacts,
        timeouts: ReconfigurationTimeouts = RECONFIGURATION_TIMEOUTS,
    ) -> None:
        self.timeouts = timeouts
        self._me = me
        self._target_size = target_size
        self._contacts = contacts
        self._planned_since_s: float | None = None
        self._joint_epoch = -1
        self._joint_since_s = 0.0

    def step(self, now_s: float, learned: Proposal | None) -> ReconfigurationStep | None:
        """Return the step that this node should propose now, on top of the committed proposal that it knows."""
        following = None if learned is None else self._following(now_s, learned)
        if following is None or learned is None:
            self._planned_since_s = None
            return None
        if self._planned_since_s is None:
            self._planned_since_s = now_s
        current = learned.state.replicas
        if now_s - self._planned_since_s < self._rank(now_s, current) * self.timeouts.rank_delay_s:
            return None
        return ReconfigurationStep(current, following)

    def _following(self, now_s: float, learned: Proposal) -> ReplicaSet | None:
        current = learned.state.replicas
        if not self._contacts.voting or not current.includes(self._me.identity):
            return None
        if self._contacts.quorum_age_s(now_s, current) > RECENT_CONTACT_S:
            return None
        if current.joining and not self._joiners_caught_up(now_s, learned):
            return None
        return next_replica_set(current, self._view(now_s, current), self._target_size)

    def _joiners_caught_up(self, now_s: float, learned: Proposal) -> bool:
        """Return whether the joining replicas have the value, or have had `joiner_wait_s` to get it."""
        current = learned.state.replicas
        if self._joint_epoch != current.epoch:
            self._joint_epoch, self._joint_since_s = current.epoch, now_s
        if now_s - self._joint_since_s > self.timeouts.joiner_wait_s:
            return True
        for member in current.joining:
            if member in current.members or member.identity == self._me.identity:
                continue
            learned_number = self._contacts.learned(member)
            if learned_number is None or learned_number < learned.number:
                return False
        return True

    def _rank(self, now_s: float, current: ReplicaSet) -> int:
        """Return how many replicas in contact come before this one in the set."""
        rank = 0
        for member in current.all_members:
            if member.identity == self._me.identity:
                break
            if self._contacts.silent_s(now_s, member) < RECENT_CONTACT_S:
                rank += 1
        return rank

    def _view(self, now_s: float, current: ReplicaSet) -> ReplicaSetView:
        contacts = self._contacts
        silent = {member.identity: contacts.silent_s(now_s, member) for member in current.members}
        address_taken_by: dict[str, str] = {}
        name_taken_by: dict[str, str] = {}
        candidates = {
            peer.member.identity: Candidate(peer.member, peer.zone)
            for peer in contacts.peers
            if not peer.leaving and contacts.last_heard_age_s(now_s, peer.member) < RECENT_CONTACT_S
        }
        for member in current.members:
            other = contacts.address_taken_by(member)
            if other is not None:
                address_taken_by[member.identity] = other.identity
                if contacts.last_heard_age_s(now_s, other) < RECENT_CONTACT_S:
                    candidates.setdefault(other.identity, Candidate(other))
            successor = contacts.name_taken_by(member)
            if successor in candidates and silent[member.identity] > self.timeouts.name_silent_s:
                name_taken_by[member.identity] = successor
        return ReplicaSetView(
            silent_s=silent,
            dead=frozenset(name for name, age_s in silent.items() if age_s > self.timeouts.dead_after_s),
            address_taken_by=address_taken_by,
            leaving=frozenset(peer.member.identity for peer in contacts.peers if peer.leaving),
            name_taken_by=name_taken_by,
            zones={peer.member.identity: peer.zone for peer in contacts.peers},
            candidates=tuple(candidates[name] for name in sorted(candidates)),
        )
