"""Liveness of the other control nodes: when to ping them, when they answered, and which identity is at an address."""

from __future__ import annotations

import attrs

from emberring.register.events import Peer
from emberring.register.messages import Pong
from emberring.register.model import Member, ProposalNumber, ReplicaSet

FIRST_PING_S = 0.1
"""Interval of pings to a node that has not answered yet, in seconds."""

MEMBER_PING_S = 0.25
"""Interval of pings to a replica, in seconds; well below `ReconfigurationTimeouts.dead_after_s`."""

OTHER_PING_S = 0.75
"""Interval of pings to a control node that is no replica, in seconds; below `RECENT_CONTACT_S`."""

PING_TIMEOUT_S = 0.5
"""How long a node has to answer a ping, in seconds."""

MAX_OTHERS = 8
"""How many control nodes that are no replicas one node pings at most."""

MAX_NAMES = 256
"""How many identities' node names are kept at most."""

PAUSE_S = 0.6
"""A gap between two events after which this process counts as paused, and silence before it no longer counts (s)."""


@attrs.define
class _Contact:
    """What is known of the node at an address. Times are seconds of the steady clock."""

    identity: str = ""
    learned: ProposalNumber | None = None
    voting: bool = False
    heard_at_s: float = float("-inf")
    sent_at_s: float = float("-inf")
    in_flight: bool = False


class Contacts:
    """When each control node was last in contact. Ages are in seconds.

    Attributes:
        voting: whether this node's own disk takes records; while it does, this node is in contact with itself.
    """

    def __init__(self, me: Member, now_s: float, seeds: tuple[str, ...]) -> None:
        self._me = me
        self._seeds = tuple(seed for seed in seeds if seed != me.address)
        self._contacts: dict[str, _Contact] = {}
        self._peers: dict[str, Peer] = {}
        self._names: dict[str, str] = {}
        self._listening_since_s = now_s
        self._last_event_at_s = now_s
        self.voting = True

    def set_peers(self, peers: tuple[Peer, ...]) -> None:
        """Replace the list of the other control nodes."""
        self._peers = {
            peer.member.identity: peer
            for peer in peers
            if peer.member.identity and peer.member.identity != self._me.identity
        }
        self._names.update((identity, peer.name) for identity, peer in self._peers.items())
        while len(self._names) > MAX_NAMES:
            del self._names[next(iter(self._names))]

    @property
    def peers(self) -> tuple[Peer, ...]:
        """The other control nodes, as last set."""
        return tuple(self._peers.values())

    def peer(self, identity: str) -> Peer | None:
        """Return what is known of the control node with this identity."""
        return self._peers.get(identity)

    def address(self, member: Member) -> str:
        """Return the present internal address of a replica."""
        peer = self._peers.get(member.identity)
        return member.address if peer is None else peer.member.address

    def note_time(self, now_s: float) -> None:
        """Detect a pause of this process: that it heard nothing meanwhile says nothing about the others."""
        if now_s - self._last_event_at_s > PAUSE_S:
            self._listening_since_s = now_s
        self._last_event_at_s = now_s

    def take_due_pings(self, now_s: float, replicas: ReplicaSet | None) -> list[str]:
        """Return the addresses to ping now; they count as pinged."""
        wanted: dict[str, float] = {}
        for address in self._others(replicas):
            wanted[address] = OTHER_PING_S
        if replicas is not None:
            for member in replicas.all_members:
                wanted[self.address(member)] = MEMBER_PING_S
        wanted.pop(self._me.address, None)
        found = []
        for address, interval_s in wanted.items():
            contact = self._contacts.setdefault(address, _Contact())
            if contact.heard_at_s == float("-inf"):
                interval_s = FIRST_PING_S
            if not contact.in_flight and now_s - contact.sent_at_s >= interval_s:
                contact.in_flight, contact.sent_at_s = True, now_s
                found.append(address)
        self._forget(wanted)
        return found

    def _others(self, replicas: ReplicaSet | None) -> list[str]:
        others = [peer.member.address for peer in self._peers.values()][:MAX_OTHERS]
        return others if replicas is not None and others else [*others, *self._seeds]

    def _forget(self, wanted: dict[str, float]) -> None:
        for address in [address for address in self._contacts if address not in wanted]:
            if not self._contacts[address].in_flight:
                del self._contacts[address]

    def on_pong(self, address: str, pong: Pong | None) -> None:
        """Take in a ping's answer, or None for a time-out. The contact counts from when the ping was sent."""
        contact = self._contacts.get(address)
        if contact is None:
            return
        contact.in_flight = False
        if pong is not None:
            contact.identity, contact.learned, contact.voting = pong.identity, pong.learned, pong.voting
            if pong.voting:
                contact.heard_at_s = max(contact.heard_at_s, contact.sent_at_s)

    def silent_s(self, now_s: float, member: Member) -> float:
        """Return for how long a replica was silent, or could not vote, while this process ran (seconds)."""
        if member.identity == self._me.identity:
            return 0.0 if self.voting else now_s - self._listening_since_s
        return now_s - max(self._heard_at_s(member), self._listening_since_s)

    def learned(self, member: Member) -> ProposalNumber | None:
        """Return the newest proposal number that a replica reported as known to be committed."""
        contact = self._contacts.get(self.address(member))
        return contact.learned if contact is not None and contact.identity == member.identity else None

    def address_taken_by(self, member: Member) -> Member | None:
        """Return the node with another identity that now answers at a replica's address, if there is one."""
        address = self.address(member)
        contact = self._contacts.get(address)
        if contact is None or contact.identity in ("", member.identity):
            return None
        return Member(contact.identity, address)

    def name_taken_by(self, member: Member) -> str:
        """Return the identity of another node that now has the name of a replica's node; empty where there is none."""
        name = self._names.get(member.identity, "")
        for identity, peer in self._peers.items():
            if name and peer.name == name and identity != member.identity:
                return identity
        return ""

    def last_heard_age_s(self, now_s: float, member: Member) -> float:
        """Return how long ago a node was in contact, in seconds; infinite if never."""
        return now_s - self._heard_at_s(member)

    def quorum_age_s(self, now_s: float, replicas: ReplicaSet) -> float:
        """Return how long ago a quorum of these replicas was in contact, in seconds."""
        members = {member.identity: member for member in replicas.all_members}
        oldest = 0.0
        for group in replicas.quorum_sets:
            ages = sorted(self._age_s(now_s, members[identity]) for identity in group)
            oldest = max(oldest, ages[len(group) // 2])
        return oldest

    def _age_s(self, now_s: float, member: Member) -> float:
        if member.identity == self._me.identity:
            return 0.0 if self.voting else float("inf")
        return now_s - self._heard_at_s(member)

    def _heard_at_s(self, member: Member) -> float:
        contact = self._contacts.get(self.address(member))
        if contact is None or contact.identity != member.identity:
            return float("-inf")
        return contact.heard_at_s
