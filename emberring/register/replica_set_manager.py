"""Whether, and by which node, the replica set is to be changed now."""

from __future__ import annotations

import attrs

from emberring.register.changes import Candidate, ReplicaSetView, next_replica_set
from emberring.register.contacts import Contacts
from emberring.register.model import Member, Proposal, ReplicaSet

RECENT_CONTACT_S = 1.0


@attrs.frozen
class ReconfigurationTimeouts:
    """How long (s) a replica may be silent before it counts as dead, and before another node of its name takes its
    place; how much longer each further replica waits before it acts; how long new ones have to get the value."""

    dead_after_s: float = 1.5
    name_silent_s: float = 0.5
    rank_delay_s: float = 0.5
    joiner_wait_s: float = 1.0


RECONFIGURATION_TIMEOUTS = ReconfigurationTimeouts()


@attrs.frozen
class ReconfigurationStep:
    """A wanted step from one replica set to the next."""

    previous: ReplicaSet
    following: ReplicaSet


class ReplicaSetManager:
    """Plans steps from what the contacts show. Replicas further down the set wait longer before they act."""

    def __init__(
        self,
        me: Member,
        wanted: int,
        contacts: Contacts,
        timeouts: ReconfigurationTimeouts = RECONFIGURATION_TIMEOUTS,
    ) -> None:
        self.timeouts = timeouts
        self._me = me
        self._wanted = wanted
        self._contacts = contacts
        self._wanted_since: float | None = None
        self._joint_epoch = -1
        self._joint_since = 0.0

    def step(self, now_s: float, learned: Proposal | None) -> ReconfigurationStep | None:
        """The step that this node should propose now, on top of what it knows to be chosen."""
        following = None if learned is None else self._following(now_s, learned)
        if following is None or learned is None:
            self._wanted_since = None
            return None
        if self._wanted_since is None:
            self._wanted_since = now_s
        current = learned.state.replicas
        if now_s - self._wanted_since < self._rank(now_s, current) * self.timeouts.rank_delay_s:
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
        return next_replica_set(current, self._view(now_s, current), self._wanted)

    def _joiners_caught_up(self, now_s: float, learned: Proposal) -> bool:
        """Whether the new replicas have the value, or have had their time."""
        current = learned.state.replicas
        if self._joint_epoch != current.epoch:
            self._joint_epoch, self._joint_since = current.epoch, now_s
        if now_s - self._joint_since > self.timeouts.joiner_wait_s:
            return True
        for member in current.joining:
            if member in current.members or member.identity == self._me.identity:
                continue
            held = self._contacts.learned(member)
            if held is None or held < learned.number:
                return False
        return True

    def _rank(self, now_s: float, current: ReplicaSet) -> int:
        """How many replicas that are in touch come before this one."""
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
