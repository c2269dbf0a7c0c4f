"""Decides when this node should propose a reconfiguration of the replica set, and which one."""

from __future__ import annotations

import attrs

from emberring.register.changes import Candidate, ReplicaSetView, next_replica_set
from emberring.register.contacts import Contacts
from emberring.register.model import Member, Proposal, ReplicaSet

RECENT_CONTACT_S = 1.0
"""Age of the last contact below which a node counts as alive, in seconds."""


@attrs.frozen
class ReconfigurationTimeouts:
    """Timeouts of a reconfiguration, in seconds.

    Attributes:
        dead_after_s: time without contact after which a replica counts as dead.
        name_unreachable_s: time without contact after which another node with its node name replaces a replica.
        rank_delay_s: additional delay before proposing, per reachable replica that comes earlier in the set.
        joiner_wait_s: maximum time to wait until joining replicas have the value.
    """

    dead_after_s: float = 1.5
    name_unreachable_s: float = 0.5
    rank_delay_s: float = 0.5
    joiner_wait_s: float = 1.0


RECONFIGURATION_TIMEOUTS = ReconfigurationTimeouts()
"""The timeouts in production; simulators also use shorter ones."""


@attrs.frozen
class ReconfigurationStep:
    """A planned step from one replica set to the next."""

    previous: ReplicaSet
    following: ReplicaSet


class ReplicaSetManager:
    """Plans reconfiguration steps from the liveness of the control nodes.

    Replicas later in the set wait longer, so that normally only one proposes a step.

    Attributes:
        timeouts: the timeouts of a reconfiguration.
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
        self._step_planned_since_s: float | None = None
        self._joint_set_epoch = -1
        self._joint_set_since_s = 0.0

    def step(self, now_s: float, learned: Proposal | None) -> ReconfigurationStep | None:
        """Return the step that this node should propose now on top of the newest committed proposal, or None."""
        following = None if learned is None else self._next_set(now_s, learned)
        if following is None or learned is None:
            self._step_planned_since_s = None
            return None
        if self._step_planned_since_s is None:
            self._step_planned_since_s = now_s
        current = learned.state.replicas
        if now_s - self._step_planned_since_s < self._rank(now_s, current) * self.timeouts.rank_delay_s:
            return None
        return ReconfigurationStep(current, following)

    def _next_set(self, now_s: float, learned: Proposal) -> ReplicaSet | None:
        current = learned.state.replicas
        if not self._contacts.voting or not current.includes(self._me.identity):
            return None
        if self._contacts.quorum_age_s(now_s, current) > RECENT_CONTACT_S:
            return None
        if current.joining and not self._joiners_caught_up(now_s, learned):
            return None
        return next_replica_set(current, self._view(now_s, current), self._target_size)

    def _joiners_caught_up(self, now_s: float, learned: Proposal) -> bool:
        """Return whether the joining replicas have the value, or `joiner_wait_s` has passed."""
        current = learned.state.replicas
        if self._joint_set_epoch != current.epoch:
            self._joint_set_epoch, self._joint_set_since_s = current.epoch, now_s
        if now_s - self._joint_set_since_s > self.timeouts.joiner_wait_s:
            return True
        for member in current.joining:
            if member in current.members or member.identity == self._me.identity:
                continue
            learned_number = self._contacts.learned(member)
            if learned_number is None or learned_number < learned.number:
                return False
        return True

    def _rank(self, now_s: float, current: ReplicaSet) -> int:
        """Return the number of reachable replicas that come before this one in the set."""
        rank = 0
        for member in current.all_members:
            if member.identity == self._me.identity:
                break
            if self._contacts.unreachable_s(now_s, member) < RECENT_CONTACT_S:
                rank += 1
        return rank

    def _view(self, now_s: float, current: ReplicaSet) -> ReplicaSetView:
        contacts = self._contacts
        unreachable_s_by_identity = {
            member.identity: contacts.unreachable_s(now_s, member) for member in current.members
        }
        successor_at_address: dict[str, str] = {}
        successor_by_name: dict[str, str] = {}
        candidates = {
            peer.member.identity: Candidate(peer.member, peer.zone)
            for peer in contacts.peers
            if not peer.leaving and contacts.last_contact_age_s(now_s, peer.member) < RECENT_CONTACT_S
        }
        for member in current.members:
            other = contacts.successor_at_address(member)
            if other is not None:
                successor_at_address[member.identity] = other.identity
                if contacts.last_contact_age_s(now_s, other) < RECENT_CONTACT_S:
                    candidates.setdefault(other.identity, Candidate(other))
            successor = contacts.successor_by_name(member)
            if (
                successor in candidates
                and unreachable_s_by_identity[member.identity] > self.timeouts.name_unreachable_s
            ):
                successor_by_name[member.identity] = successor
        return ReplicaSetView(
            unreachable_s=unreachable_s_by_identity,
            dead=frozenset(
                name
                for name, age_s in unreachable_s_by_identity.items()
                if age_s > self.timeouts.dead_after_s
            ),
            successor_at_address=successor_at_address,
            leaving=frozenset(peer.member.identity for peer in contacts.peers if peer.leaving),
            successor_by_name=successor_by_name,
            zones={peer.member.identity: peer.zone for peer in contacts.peers},
            candidates=tuple(candidates[name] for name in sorted(candidates)),
        )
