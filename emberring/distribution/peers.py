"""The peers of a control node: which are live, which entries each has, when to exchange next. Does no network I/O."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import attrs

from emberring.distribution.messages import Exchange, Exchanged
from emberring.distribution.records import NodeRecord

# The interval between exchanges with one peer grows with the number of control nodes, within these limits.
MAX_EXCHANGE_INTERVAL_S = 0.3
EXCHANGE_INTERVAL_PER_PEER_S = 0.025
MIN_EXCHANGE_INTERVAL_S = 0.1
RETRY_S = 0.8  # delay before an unresponsive address is retried
LIVE_S = 1.3  # a control node not seen for this long counts as absent
FORGET_S = 60.0  # retention of an address without contact that is not a seed
LOAD_FRESH_S = 1.6  # older load reports are ignored


@attrs.define
class Peer:
    """Another control node.

    Times are seconds of the monotonic clock; `answered_s` is when the last exchange that it answered began, `repeat` is
    whether another exchange must follow immediately after the one in flight.
    """

    address: str
    is_seed: bool
    known_since_s: float
    record: NodeRecord | None = None
    vector: dict[str, int] = attrs.field(factory=dict)
    load: dict[str, int] = attrs.field(factory=dict)
    load_reported_s: float = -1e9
    load_age_s: float = 0.0  # age of the load at the time of the report
    suspects: dict[str, dict[str, int]] = attrs.field(factory=dict)
    last_seen_s: float = -1e9
    answered_s: float = -1e9
    exchange_began_s: float = -1e9
    next_exchange_s: float = 0.0
    in_flight: bool = False
    repeat: bool = False

    @property
    def incarnation(self) -> str:
        """The incarnation last seen; empty before the first."""
        return self.record.incarnation if self.record is not None else ""


class PeerTable:
    """The other control nodes by address. `me` is this node's record; `seeds` are addresses that are never dropped."""

    def __init__(self, me: NodeRecord, seeds: Iterable[str]) -> None:
        self.me = me
        self._peers: dict[str, Peer] = {}
        for address in seeds:
            if address != me.address:
                self._peers[address] = Peer(address, True, 0.0)

    def add(self, now_s: float, addresses: Iterable[str]) -> None:
        """Add addresses of control nodes that may exist."""
        for address in addresses:
            if address != self.me.address and address not in self._peers:
                self._peers[address] = Peer(address, False, now_s, next_exchange_s=now_s)

    def on_exchange(self, now_s: float, exchange: Exchange | Exchanged) -> Peer | None:
        """Process an exchange, or the reply to one; return its sender, or None if that is this node itself."""
        if exchange.sender.incarnation == self.me.incarnation:
            return None
        self.add(now_s, [exchange.sender.address])
        peer = self._peers.get(exchange.sender.address)
        if peer is None:
            return None
        if peer.incarnation != exchange.sender.incarnation:
            peer.vector = {}
        peer.record, peer.last_seen_s = exchange.sender, now_s
        if isinstance(exchange, Exchange):
            peer.load, peer.suspects, peer.load_reported_s = exchange.load, exchange.suspects, now_s
            peer.load_age_s = exchange.load_age_ms / 1000.0
        for writer, number in exchange.vector.items():
            peer.vector[writer] = max(number, peer.vector.get(writer, 0))
        return peer

    def live(self, now_s: float) -> list[Peer]:
        """The peers seen within `LIVE_S`."""
        return [peer for peer in self._peers.values() if now_s - peer.last_seen_s < LIVE_S]

    def addresses(self) -> tuple[str, ...]:
        """Addresses of all known control nodes, including this one."""
        return (self.me.address, *self._peers)

    def seen_records(self) -> list[NodeRecord]:
        """The records of all peers that have been seen."""
        return [peer.record for peer in self._peers.values() if peer.record is not None]

    def others_exist(self) -> bool:
        """Whether any other control node is known."""
        return bool(self._peers)

    def due(self, now_s: float) -> list[Peer]:
        """The peers to exchange with now."""
        return [peer for peer in self._peers.values() if not peer.in_flight and peer.next_exchange_s <= now_s]

    def expedite(self, now_s: float) -> None:
        """Make exchanges with all live peers due immediately, as there is a change."""
        for peer in self.live(now_s):
            peer.next_exchange_s = now_s
            peer.repeat = peer.in_flight

    def exchange_began(self, now_s: float, peer: Peer) -> None:
        """Record that an exchange with this peer begins."""
        peer.in_flight, peer.repeat, peer.exchange_began_s = True, False, now_s

    def exchange_ended(self, now_s: float, peer: Peer, answered: bool) -> None:
        """Record the end of an exchange with this peer; `answered` is whether it replied."""
        peer.in_flight = False
        if answered:
            peer.answered_s = peer.exchange_began_s
        if peer.repeat and answered:
            peer.next_exchange_s = now_s
        else:
            peer.next_exchange_s = now_s + (self._interval_s() if answered else RETRY_S)

    def _interval_s(self) -> float:
        """The time between exchanges with one peer.

        A short interval keeps the reported load recent; its growth with the number of peers bounds a node's exchanges
        per second.
        """
        return min(
            MAX_EXCHANGE_INTERVAL_S,
            max(MIN_EXCHANGE_INTERVAL_S, EXCHANGE_INTERVAL_PER_PEER_S * len(self._peers)),
        )

    def loads(self, now_s: float) -> Iterable[Mapping[str, int]]:
        """The loads that peers reported within `LOAD_FRESH_S`."""
        return [peer.load for peer in self._peers.values() if now_s - peer.load_reported_s < LOAD_FRESH_S]

    def load_ages(self, now_s: float) -> Iterable[tuple[int, float]]:
        """The number of calls in each of these loads, and its age (s)."""
        return [
            (sum(peer.load.values()), now_s - peer.load_reported_s + peer.load_age_s)
            for peer in self._peers.values()
            if now_s - peer.load_reported_s < LOAD_FRESH_S
        ]

    def suspects(self, now_s: float) -> Iterable[Mapping[str, Mapping[str, int]]]:
        """The suspicions that each of these peers reported: numbers of nodes by server id and fault."""
        return [peer.suspects for peer in self._peers.values() if now_s - peer.load_reported_s < LOAD_FRESH_S]

    def forget(self, now_s: float) -> None:
        """Drop addresses that have not been seen for `FORGET_S`."""
        for address, peer in list(self._peers.items()):
            unseen_s = now_s - max(peer.last_seen_s, peer.known_since_s)
            if not peer.is_seed and not peer.in_flight and unseen_s > FORGET_S:
                del self._peers[address]
