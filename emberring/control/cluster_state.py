"""The state of one control node: status records, contacts, peers, servers, and the register's value."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

import attrs

from emberring.configuration.state import ControlState
from emberring.control.change_notifier import ChangeNotifier
from emberring.control.liveness import LivenessTracker, WriterRetention
from emberring.control.load_aggregator import LoadAggregator
from emberring.control.node_records import NodeRecordManager
from emberring.control.server_records import ServerRecordManager
from emberring.control.suspicion_table import SuspicionTable
from emberring.distribution.contacts import Contacts, LoadReport
from emberring.distribution.messages import Delta, Exchange, Exchanged
from emberring.distribution.peers import Peer, PeerTable
from emberring.distribution.records import NodeRecord, NodeRole, ServerRecord
from emberring.distribution.status_table import StatusTable
from emberring.registry.faults import sum_suspicions
from emberring.registry.heartbeats import Heartbeat
from emberring.registry.servers import ServerRegistry

QUORUM_LOST_AFTER_S = 1.0  # after this long without contact with a quorum, missed heartbeats do not count
LAST_SEEN_SPAN_S = 5.0  # an exchange reports the heartbeats of at most this period


class ClusterState:
    """The in-memory state of one control node.

    No method blocks; each takes the current time in seconds of the monotonic clock.

    Parameters: `me` is this node's record, `seeds` are internal addresses of control nodes, `heartbeat_s` is the
    interval of the servers' heartbeats.

    Attributes to read: `state` (the newest committed value of the register that this node has), `status_table`,
    `peers`, `load`, `suspicions`. Notifiers: `changes` (something that followers need has changed),
    `ended_exchanges` (an exchange with another control node has ended), `expedite_requests` (exchanges are due at
    once). `quorum_age_s` is set by the creator of this object: how long ago (s) a quorum of the register was in
    contact.
    """

    def __init__(self, now_s: float, me: NodeRecord, seeds: Iterable[str], heartbeat_s: float) -> None:
        self.state = ControlState()
        self.status_table = StatusTable(me.incarnation)
        self.peers = PeerTable(me, seeds)
        self.contacts = Contacts()
        self.registry = ServerRegistry(now_s, heartbeat_s)
        self.load = LoadAggregator(self._reported_loads, self.load_age_s, self.status_table.servers)
        self.suspicions = SuspicionTable(self.status_table.servers)
        self.quorum_age_s: Callable[[], float] = lambda: 0.0
        self.changes = ChangeNotifier()
        self.ended_exchanges = ChangeNotifier()
        self.expedite_requests = ChangeNotifier()
        self._liveness = LivenessTracker(now_s)
        self._writer_retention = WriterRetention(self.status_table)
        self._node_records = NodeRecordManager(
            self.status_table, self.peers, self.contacts, self._publish_change
        )
        self._server_records = ServerRecordManager(
            self.status_table, self.peers, self.registry, self.live_writers, self._publish_change
        )
        self.status_table.write_node(me, present=True)

    @property
    def me(self) -> NodeRecord:
        """This node's own record."""
        return self.peers.me

    # -- changes

    def expedite_exchanges(self, now_s: float) -> None:
        """Make exchanges with all live control nodes due immediately."""
        self.peers.expedite(now_s)
        self.expedite_requests.notify_all()

    def _publish_change(self, now_s: float) -> None:
        self.expedite_exchanges(now_s)
        self.changes.notify_all()

    def apply_state(self, state: ControlState) -> None:
        """Apply a value committed by the register."""
        self.state = state
        self.changes.notify_all()

    def announce_shutdown(self, now_s: float) -> None:
        """Publish that this node is shutting down."""
        self.peers.me = attrs.evolve(self.me, leaving=True)
        self.status_table.write_node(self.me, present=True)
        self._publish_change(now_s)

    # -- nodes

    def live_writers(self, now_s: float) -> set[str]:
        """Incarnations of the live control nodes, including this one."""
        return self._node_records.live_writers(now_s)

    def live_nodes(self, now_s: float) -> list[NodeRecord]:
        """The records of all live nodes known to this control node."""
        roles = (NodeRole.GATEWAY, NodeRole.STORE, NodeRole.CONTROL)
        return list(self._node_records.live_nodes(now_s, roles).values())

    def gateways(self, now_s: float) -> int:
        """The number of live gateways that are not shutting down; at least 1."""
        return self._node_records.gateway_count(now_s)

    def stable_for_s(self, now_s: float) -> float:
        """For how long (s) this node has run without a freeze, in contact with a quorum and another control node.

        After a few seconds of this it has received the records of all nodes, so that a node without one does not exist.
        """
        return self._liveness.stable_for_s(now_s)

    def on_node_contact(self, now_s: float, record: NodeRecord, report: LoadReport | None = None) -> None:
        """Process a pull from a gateway or store; `report` is None if the pull has no load report."""
        self._node_records.on_contact(now_s, record, report)

    # -- servers

    def on_heartbeat(self, now_s: float, heartbeat: Heartbeat) -> None:
        """Process a server's heartbeat received by this node."""
        self._server_records.on_heartbeat(now_s, heartbeat)

    def on_goodbye(self, now_s: float, server_id: str) -> None:
        """Process a server's goodbye received by this node."""
        self._server_records.on_goodbye(now_s, server_id)

    def write_servers(self, now_s: float, records: list[ServerRecord]) -> None:
        """Write these server records as entries of this node."""
        self._server_records.write(now_s, records)

    def peers_with_end_record(self, now_s: float, server_id: str) -> list[NodeRecord]:
        """The other live control nodes that have received the drain or goodbye of this server."""
        return self._server_records.peers_with_end_record(now_s, server_id)

    # -- load

    def _reported_loads(self, now_s: float) -> list[Mapping[str, int]]:
        """Calls in flight by server id: one mapping of this node's reports, and one for each other control node."""
        return [self.contacts.load(now_s), *self.peers.loads(now_s)]

    def load_age_s(self, now_s: float) -> float:
        """The age (s) of the gateways' reports that `load` sums, in the mean weighted by calls."""
        own = sum(self.contacts.load(now_s).values()), self.contacts.load_age_s(now_s)
        reports = [own, *self.peers.load_ages(now_s)]
        calls = sum(count for count, _ in reports)
        return sum(count * age_s for count, age_s in reports) / calls if calls else 0.0

    # -- exchanges with other control nodes

    def exchange_for(self, now_s: float, peer: Peer) -> Exchange:
        """Build the exchange to send to this control node now."""
        return Exchange(
            sender=self.me,
            receiver_incarnation=peer.incarnation,
            delta=self.status_table.newer_than(peer.vector) if peer.incarnation else Delta(),
            vector=dict(self.status_table.vector),
            last_seen_sequences=self.registry.sequences_since(max(peer.answered_s, now_s - LAST_SEEN_SPAN_S)),
            load=self.contacts.load(now_s),
            load_age_ms=self.contacts.load_age_s(now_s) * 1000.0,
            suspects=self.contacts.suspects(now_s),
        )

    def on_exchange(self, now_s: float, exchange: Exchange) -> Exchanged:
        """Process an exchange of another control node; return the reply with the entries that it lacks."""
        if exchange.receiver_incarnation != self.me.incarnation:
            exchange = attrs.evolve(exchange, receiver_incarnation="", delta=Delta())
        self.apply_exchange(now_s, exchange)
        return Exchanged(
            sender=self.me,
            delta=self.status_table.newer_than(exchange.vector),
            vector=dict(self.status_table.vector),
        )

    def apply_exchange(self, now_s: float, exchange: Exchange | Exchanged) -> None:
        """Apply an exchange, or the reply to one, of another control node."""
        if self.peers.on_exchange(now_s, exchange) is None:
            return
        self._node_records.on_peer(now_s, exchange.sender)
        if isinstance(exchange, Exchange):
            self.registry.on_sequences(now_s, exchange.last_seen_sequences)
        table_changes = self.status_table.apply(exchange.delta)
        if not table_changes:
            return
        self._server_records.on_changed(now_s, table_changes.servers)
        self._node_records.drop_replaced_contacts(now_s, table_changes.nodes)
        self.peers.add(now_s, self._node_records.control_addresses())
        self.changes.notify_all()

    # -- periodic work

    def tick(self, now_s: float) -> None:
        """Process timeouts and retention; to be called about ten times a second."""
        self._liveness.tick(now_s)
        if self._liveness.frozen:
            self.contacts.restart_timeouts(now_s)
        elif not self._liveness.in_grace:
            self._node_records.expire(now_s)
        self._server_records.tick(now_s, self._liveness.update_trust(now_s, self._in_contact(now_s)))
        self._check_suspicions(now_s)
        self._writer_retention.refresh(now_s, self.live_writers(now_s))
        self.peers.forget(now_s)

    def _in_contact(self, now_s: float) -> bool:
        """Whether a quorum of the register is in contact and, if other control nodes exist, one of them as well."""
        alone = self.peers.others_exist() and not self.peers.live(now_s)
        return not alone and self.quorum_age_s() < QUORUM_LOST_AFTER_S

    def _check_suspicions(self, now_s: float) -> None:
        suspicions = sum_suspicions([self.contacts.suspects(now_s), *self.peers.suspects(now_s)])
        self.suspicions.check(now_s, suspicions, self.gateways(now_s))
