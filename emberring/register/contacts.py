"""Which control nodes this one hears: pings, ages, who stands at an address now."""

from __future__ import annotations

import attrs

from emberring.register.events import Peer
from emberring.register.messages import Pong
from emberring.register.model import Member, ProposalNumber, ReplicaSet

FIRST_PING_S = 0.1  # until a node has been heard once
MEMBER_PING_S = 0.25
OTHER_PING_S = 0.75
PING_TIMEOUT_S = 0.5
MAX_OTHERS = 8  # control nodes beyond the replicas that one node pings
MAX_NAMES = 256  # identities whose names are remembered
PAUSE_S = 0.6  # a gap between two looks at the clock after which nobody's silence counts


@attrs.define
class _Contact:
    """What is known of the node at an address."""

    identity: str = ""
    learned: ProposalNumber | None = None
    voting: bool = False
    heard_at: float = float("-inf")
    sent_at: float = float("-inf")
    waiting: bool = False


class Contacts:
    """Ages in seconds. This node itself is in contact while its disk votes."""

    def __init__(self, me: Member, now_s: float, seeds: tuple[str, ...]) -> None:
        self._me = me
        self._seeds = tuple(seed for seed in seeds if seed != me.address)
        self._contacts: dict[str, _Contact] = {}
        self._peers: dict[str, Peer] = {}
        self._names: dict[str, str] = {}
        self._listening_since = now_s
        self._looked_at = now_s
        self.voting = True

    def note(self, peers: tuple[Peer, ...]) -> None:
        """Take in all other control nodes known."""
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
        """The other control nodes, as last noted."""
        return tuple(self._peers.values())

    def peer(self, identity: str) -> Peer | None:
        """What the facts say of a node."""
        return self._peers.get(identity)

    def address(self, member: Member) -> str:
        """Where a replica is now."""
        peer = self._peers.get(member.identity)
        return member.address if peer is None else peer.member.address

    def look(self, now_s: float) -> None:
        """Notice a pause of this process: what it did not hear meanwhile says nothing."""
        if now_s - self._looked_at > PAUSE_S:
            self._listening_since = now_s
        self._looked_at = now_s

    def due(self, now_s: float, replicas: ReplicaSet | None) -> list[str]:
        """The addresses to ping now; they count as pinged."""
        wanted: dict[str, float] = {}
        for address in self._others(replicas):
            wanted[address] = OTHER_PING_S
        if replicas is not None:
            for member in replicas.everyone:
                wanted[self.address(member)] = MEMBER_PING_S
        wanted.pop(self._me.address, None)
        found = []
        for address, interval_s in wanted.items():
            contact = self._contacts.setdefault(address, _Contact())
            if contact.heard_at == float("-inf"):
                interval_s = FIRST_PING_S
            if not contact.waiting and now_s - contact.sent_at >= interval_s:
                contact.waiting, contact.sent_at = True, now_s
                found.append(address)
        self._forget(wanted)
        return found

    def _others(self, replicas: ReplicaSet | None) -> list[str]:
        others = [peer.member.address for peer in self._peers.values()][:MAX_OTHERS]
        return others if replicas is not None and others else [*others, *self._seeds]

    def _forget(self, wanted: dict[str, float]) -> None:
        for address in [address for address in self._contacts if address not in wanted]:
            if not self._contacts[address].waiting:
                del self._contacts[address]

    def answered(self, address: str, pong: Pong | None) -> None:
        """A ping's answer, or None. It counts from when the ping was sent."""
        contact = self._contacts.get(address)
        if contact is None:
            return
        contact.waiting = False
        if pong is not None:
            contact.identity, contact.learned, contact.voting = pong.identity, pong.learned, pong.voting
            if pong.voting:
                contact.heard_at = max(contact.heard_at, contact.sent_at)

    def silent_s(self, now_s: float, member: Member) -> float:
        """For how long a replica was not heard, or could not vote, while this node listened."""
        if member.identity == self._me.identity:
            return 0.0 if self.voting else now_s - self._listening_since
        return now_s - max(self._heard_at(member), self._listening_since)

    def learned(self, member: Member) -> ProposalNumber | None:
        """The newest ballot that a replica said it knows to be chosen."""
        contact = self._contacts.get(self.address(member))
        return contact.learned if contact is not None and contact.identity == member.identity else None

    def displaced_by(self, member: Member) -> Member | None:
        """Another replica that now answers at a replica's address."""
        address = self.address(member)
        contact = self._contacts.get(address)
        if contact is None or contact.identity in ("", member.identity):
            return None
        return Member(contact.identity, address)

    def namesake(self, member: Member) -> str:
        """The identity of another node that now bears a replica's name; empty where there is none."""
        name = self._names.get(member.identity, "")
        for identity, peer in self._peers.items():
            if name and peer.name == name and identity != member.identity:
                return identity
        return ""

    def heard_s(self, now_s: float, member: Member) -> float:
        """How long ago a node was heard, in seconds; infinite if never."""
        return now_s - self._heard_at(member)

    def quorum_age_s(self, now_s: float, replicas: ReplicaSet) -> float:
        """How long ago a quorum was in contact."""
        members = {member.identity: member for member in replicas.everyone}
        oldest = 0.0
        for group in replicas.quorum_sets:
            ages = sorted(self._age_s(now_s, members[identity]) for identity in group)
            oldest = max(oldest, ages[len(group) // 2])
        return oldest

    def _age_s(self, now_s: float, member: Member) -> float:
        if member.identity == self._me.identity:
            return 0.0 if self.voting else float("inf")
        return now_s - self._heard_at(member)

    def _heard_at(self, member: Member) -> float:
        contact = self._contacts.get(self.address(member))
        if contact is None or contact.identity != member.identity:
            return float("-inf")
        return contact.heard_at
