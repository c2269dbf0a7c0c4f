"""Liveness of the other control nodes: when to ping them, when they replied, and the identity at each address."""

from __future__ import annotations

import attrs

from emberring.register.events import Peer
from emberring.register.messages import Pong
from emberring.register.model import Member, ProposalNumber, ReplicaSet

UNANSWERED_PING_INTERVAL_S = 0.1
"""Interval of pings to a node that has never replied, in seconds."""

REPLICA_PING_INTERVAL_S = 0.25
"""Interval of pings to a replica, in seconds; well below `ReconfigurationTimeouts.dead_after_s`."""

NON_REPLICA_PING_INTERVAL_S = 0.75
"""Interval of pings to a control node that is not a replica, in seconds; below `RECENT_CONTACT_S`."""

PING_TIMEOUT_S = 0.5
"""Timeout of a ping, in seconds."""

MAX_NON_REPLICAS = 8
"""Maximum number of control nodes that are not replicas and are pinged."""

MAX_NODE_NAMES = 256
"""Maximum number of identities whose node names are remembered."""

PAUSE_THRESHOLD_S = 0.6
"""Gap between two events, in seconds, above which this process was paused; unreachability is then counted from now."""


@attrs.define
class _Contact:
    """The last known status of the node at an address. Times are in seconds of the monotonic clock."""

    identity: str = ""
    learned: ProposalNumber | None = None
    voting: bool = False
    last_contact_at_s: float = float("-inf")
    sent_at_s: float = float("-inf")
    in_flight: bool = False


class Contacts:
    """The last contact with each control node. Ages are in seconds.

    Attributes:
        voting: whether this node's own disk accepts records, so that its replica counts as reachable.
    """

    def __init__(self, me: Member, now_s: float, seeds: tuple[str, ...]) -> None:
        self._me = me
        self._seeds = tuple(seed for seed in seeds if seed != me.address)
        self._contacts: dict[str, _Contact] = {}
        self._peers: dict[str, Peer] = {}
        self._node_names: dict[str, str] = {}
        self._observing_since_s = now_s
        self._last_event_at_s = now_s
        self.voting = True

    def set_peers(self, peers: tuple[Peer, ...]) -> None:
        """Replace the list of the other control nodes."""
        self._peers = {
            peer.member.identity: peer
            for peer in peers
            if peer.member.identity and peer.member.identity != self._me.identity
        }
        self._node_names.update((identity, peer.name) for identity, peer in self._peers.items())
        while len(self._node_names) > MAX_NODE_NAMES:
            del self._node_names[next(iter(self._node_names))]

    @property
    def peers(self) -> tuple[Peer, ...]:
        """The other control nodes, as set last."""
        return tuple(self._peers.values())

    def peer(self, identity: str) -> Peer | None:
        """Return the control node with this identity, or None if it is unknown."""
        return self._peers.get(identity)

    def address(self, member: Member) -> str:
        """Return the current internal address of a replica."""
        peer = self._peers.get(member.identity)
        return member.address if peer is None else peer.member.address

    def detect_pause(self, now_s: float) -> None:
        """Detect a pause of this process, during which a lack of replies does not mean that other nodes were down."""
        if now_s - self._last_event_at_s > PAUSE_THRESHOLD_S:
            self._observing_since_s = now_s
        self._last_event_at_s = now_s

    def take_due_pings(self, now_s: float, replicas: ReplicaSet | None) -> list[str]:
        """Return the addresses to ping now and mark them as pinged."""
        interval_by_address: dict[str, float] = {}
        for address in self._non_replica_addresses(replicas):
            interval_by_address[address] = NON_REPLICA_PING_INTERVAL_S
        if replicas is not None:
            for member in replicas.all_members:
                interval_by_address[self.address(member)] = REPLICA_PING_INTERVAL_S
        interval_by_address.pop(self._me.address, None)
        due = []
        for address, interval_s in interval_by_address.items():
            contact = self._contacts.setdefault(address, _Contact())
            if contact.last_contact_at_s == float("-inf"):
                interval_s = UNANSWERED_PING_INTERVAL_S
            if not contact.in_flight and now_s - contact.sent_at_s >= interval_s:
                contact.in_flight, contact.sent_at_s = True, now_s
                due.append(address)
        self._remove_unlisted(interval_by_address)
        return due

    def _non_replica_addresses(self, replicas: ReplicaSet | None) -> list[str]:
        addresses = [peer.member.address for peer in self._peers.values()][:MAX_NON_REPLICAS]
        return addresses if replicas is not None and addresses else [*addresses, *self._seeds]

    def _remove_unlisted(self, interval_by_address: dict[str, float]) -> None:
        for address in [address for address in self._contacts if address not in interval_by_address]:
            if not self._contacts[address].in_flight:
                del self._contacts[address]

    def on_pong(self, address: str, pong: Pong | None) -> None:
        """Handle the reply to a ping, or None after a timeout. The time of contact is that of sending the ping."""
        contact = self._contacts.get(address)
        if contact is None:
            return
        contact.in_flight = False
        if pong is not None:
            contact.identity, contact.learned, contact.voting = pong.identity, pong.learned, pong.voting
            if pong.voting:
                contact.last_contact_at_s = max(contact.last_contact_at_s, contact.sent_at_s)

    def unreachable_s(self, now_s: float, member: Member) -> float:
        """Return how long a replica was unreachable or unable to vote while this process was running, in seconds."""
        if member.identity == self._me.identity:
            return 0.0 if self.voting else now_s - self._observing_since_s
        return now_s - max(self._last_contact_at_s(member), self._observing_since_s)

    def learned(self, member: Member) -> ProposalNumber | None:
        """Return the newest proposal number that a replica reported as known to be committed."""
        contact = self._contacts.get(self.address(member))
        return contact.learned if contact is not None and contact.identity == member.identity else None

    def successor_at_address(self, member: Member) -> Member | None:
        """Return the replica with another identity that now replies at a replica's address, or None."""
        address = self.address(member)
        contact = self._contacts.get(address)
        if contact is None or contact.identity in ("", member.identity):
            return None
        return Member(contact.identity, address)

    def successor_by_name(self, member: Member) -> str:
        """Return the identity of another node that now has the node name of a replica, or an empty string."""
        name = self._node_names.get(member.identity, "")
        for identity, peer in self._peers.items():
            if name and peer.name == name and identity != member.identity:
                return identity
        return ""

    def last_contact_age_s(self, now_s: float, member: Member) -> float:
        """Return the time since the last contact with a node, in seconds; infinite if there was none."""
        return now_s - self._last_contact_at_s(member)

    def quorum_age_s(self, now_s: float, replicas: ReplicaSet) -> float:
        """Return the time since a quorum of these replicas was in contact, in seconds."""
        members = {member.identity: member for member in replicas.all_members}
        oldest = 0.0
        for group in replicas.quorum_sets:
            ages = sorted(self._age_s(now_s, members[identity]) for identity in group)
            oldest = max(oldest, ages[len(group) // 2])
        return oldest

    def _age_s(self, now_s: float, member: Member) -> float:
        if member.identity == self._me.identity:
            return 0.0 if self.voting else float("inf")
        return now_s - self._last_contact_at_s(member)

    def _last_contact_at_s(self, member: Member) -> float:
        contact = self._contacts.get(self.address(member))
        if contact is None or contact.identity != member.identity:
            return float("-inf")
        return contact.last_contact_at_s
