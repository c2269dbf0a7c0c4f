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

QUORUM_LOST_AFTER_S = 1.0  # without contact to a quorum for so long, silence of servers proves nothing
LAST_SEEN_SPAN_S = 5.0  # an exchange after a pause has the heartbeats of at most so long


class ClusterState:
    """Owner of all that one control node knows.

    No call waits; every call takes the time in seconds of the monotonic clock.

    Parameters: `me` is this node's record, `seeds` are internal addresses of control nodes, `heartbeat_s` is the
    interval of the servers' heartbeats.

    Attributes for others to read: `state` (the register's newest committed value), `status_table`, `peers`, `load`,
    `suspicions`. To wait on: `changes` (anything followers should have), `ended_exchanges` (with another control
    node), `expedite_requests` (other control nodes should have changes at once). `quorum_age_s` is set by the owner:
    how long ago a quorum of the register was in contact.
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
        """Have exchanges with the live control nodes begin at once."""
        self.peers.expedite(now_s)
        self.expedite_requests.notify_all()

    def _publish_change(self, now_s: float) -> None:
        self.expedite_exchanges(now_s)
        self.changes.notify_all()

    def apply_state(self, state: ControlState) -> None:
        """The register committed this value."""
        self.state = state
        self.changes.notify_all()

    def announce_shutdown(self, now_s: float) -> None:
        """Record that this node shuts down."""
        self.peers.me = attrs.evolve(self.me, leaving=True)
        self.status_table.write_node(self.me, present=True)
        self._publish_change(now_s)

    # -- nodes

    def live_writers(self, now_s: float) -> set[str]:
        """Incarnations of the live control nodes, of this one too."""
        return self._node_records.live_writers(now_s)

    def live_nodes(self, now_s: float) -> list[NodeRecord]:
        """All live nodes that this control node knows of."""
        roles = (NodeRole.GATEWAY, NodeRole.STORE, NodeRole.CONTROL)
        return list(self._node_records.live_nodes(now_s, roles).values())

    def gateways(self, now_s: float) -> int:
        """The number of live gateways that do not shut down; at least 1."""
        return self._node_records.gateway_count(now_s)

    def stable_for_s(self, now_s: float) -> float:
        """For how long (s) this node has run without a freeze, in contact with a quorum and another control node.

        What it does not know after some time of that does not exist.
        """
        return self._liveness.stable_for_s(now_s)

    def on_node_contact(self, now_s: float, record: NodeRecord, report: LoadReport | None = None) -> None:
        """A gateway or store pulled; `report` is None where it reported no load."""
        self._node_records.on_contact(now_s, record, report)

    # -- servers

    def on_heartbeat(self, now_s: float, heartbeat: Heartbeat) -> None:
        """A server's heartbeat arrived at this node."""
        self._server_records.on_heartbeat(now_s, heartbeat)

    def on_goodbye(self, now_s: float, server_id: str) -> None:
        """A server's goodbye arrived at this node."""
        self._server_records.on_goodbye(now_s, server_id)

    def write_servers(self, now_s: float, records: list[ServerRecord]) -> None:
        """Write these server records in this node's own name."""
        self._server_records.write(now_s, records)

    def peers_knowing_end(self, now_s: float, server_id: str) -> list[NodeRecord]:
        """The other live control nodes that know that this server drains or is gone."""
        return self._server_records.peers_knowing_end(now_s, server_id)

    # -- load

    def _reported_loads(self, now_s: float) -> list[Mapping[str, int]]:
        """Calls in flight by server id, as reported to this node and to each other control node."""
        return [self.contacts.load(now_s), *self.peers.loads(now_s)]

    def load_age_s(self, now_s: float) -> float:
        """How long ago (s), in the mean over all calls, the gateways reported what `load` sums."""
        own = sum(self.contacts.load(now_s).values()), self.contacts.load_age_s(now_s)
        reports = [own, *self.peers.load_ages(now_s)]
        calls = sum(count for count, _ in reports)
        return sum(count * age_s for count, age_s in reports) / calls if calls else 0.0

    # -- exchanges with other control nodes

    def exchange_for(self, now_s: float, peer: Peer) -> Exchange:
        """The exchange to send to this control node now."""
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
        """Another control node sent an exchange; the reply has the entries that it lacks."""
        if exchange.receiver_incarnation != self.me.incarnation:
            exchange = attrs.evolve(exchange, receiver_incarnation="", delta=Delta())
        self.apply_exchange(now_s, exchange)
        return Exchanged(
            sender=self.me,
            delta=self.status_table.newer_than(exchange.vector),
            vector=dict(self.status_table.vector),
        )

    def apply_exchange(self, now_s: float, exchange: Exchange | Exchanged) -> None:
        """Apply what another control node sent."""
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

    # -- time

    def tick(self, now_s: float) -> None:
        """Let time pass; to be called about ten times a second."""
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
        """Whether a quorum of the register and, where there is any, another control node are in contact."""
        alone = self.peers.others_exist() and not self.peers.live(now_s)
        return not alone and self.quorum_age_s() < QUORUM_LOST_AFTER_S

    def _check_suspicions(self, now_s: float) -> None:
        suspicions = sum_suspicions([self.contacts.suspects(now_s), *self.peers.suspects(now_s)])
        self.suspicions.check(now_s, suspicions, self.gateways(now_s))
