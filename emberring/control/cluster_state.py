"""What a control node knows and states, in one place, and the wake-up of those who wait for something new."""

from __future__ import annotations

import functools
from collections.abc import Callable, Iterable, Mapping

import attrs

from emberring.configuration.state import ControlState
from emberring.control.change_notifier import ChangeNotifier
from emberring.control.load_aggregator import LoadAggregator
from emberring.control.suspicion_table import SuspicionTable
from emberring.distribution.contacts import Contacts, LoadReport
from emberring.distribution.messages import Delta, Exchange, Exchanged
from emberring.distribution.peers import Peer, PeerTable
from emberring.distribution.records import NodeRecord, NodeRole, ServerRecord
from emberring.distribution.status_table import StatusTable
from emberring.logs import get_logger
from emberring.registry.faults import sum_suspicions
from emberring.registry.heartbeats import Heartbeat
from emberring.registry.merge import level, merged
from emberring.registry.servers import ServerRegistry

logger = get_logger("control")

LONGEST_GAP_S = 1.0  # between ticks; after a longer one this node was frozen
GRACE_S = 1.0  # after that, before others' silence counts
FORGET_WRITER_S = 60.0  # statements about nodes by an origin that has ended are dropped after so long
LAST_SEEN_SPAN_S = 5.0  # heartbeats of so long ago are told to a control node that could not be told before


class ClusterState:
    """Statements, contacts, peers and servers of one control node. All calls give the time in seconds of the
    steady clock; nothing here waits."""

    def __init__(self, now_s: float, me: NodeRecord, seeds: Iterable[str], heartbeat_s: float) -> None:
        self.me = me
        self.state = ControlState()
        self.status_table = StatusTable(me.incarnation)
        self.peers = PeerTable(me, seeds)
        self.contacts = Contacts()
        self.registry = ServerRegistry(now_s, heartbeat_s)
        self.load = LoadAggregator(self._reported_loads, self.load_age_s, self.status_table.servers)
        self.suspicions = SuspicionTable(self.status_table.servers)
        self.quorum_age_s: Callable[[], float] = lambda: 0.0
        self._changes = ChangeNotifier()
        self._ended_exchanges = ChangeNotifier()
        self._expedited = ChangeNotifier()
        self._last_tick_s = now_s
        self._stable_since_s = now_s
        self._grace_until_s = now_s
        self._writers_seen_s: dict[str, float] = {}
        self._counted_nodes: Mapping[str, NodeRecord] = {}
        self._gateways = 1
        self.status_table.write_node(me, present=True)

    # -- waking

    def notify_changed(self) -> None:
        """Wake all who wait for something new."""
        self._changes.notify_all()

    async def wait_for_change(self, timeout_s: float) -> None:
        """Wait until something changes, or the time is over."""
        await self._changes.wait(timeout_s)

    @property
    def waiters(self) -> int:
        """How many wait for something new."""
        return self._changes.waiters

    def notify_exchange_ended(self) -> None:
        """An exchange with another control node ended."""
        self._ended_exchanges.notify_all()

    async def wait_for_exchange(self, timeout_s: float) -> None:
        """Wait until an exchange ends, or the time is over."""
        await self._ended_exchanges.wait(timeout_s)

    def expedite_exchanges(self, now_s: float) -> None:
        """Have the other control nodes told at once."""
        self.peers.expedite(now_s)
        self._expedited.notify_all()

    async def wait_for_expedite(self, timeout_s: float) -> None:
        """Wait until the others are to be told at once, or the time is over."""
        await self._expedited.wait(timeout_s)

    # -- the register's value

    def apply_state(self, state: ControlState) -> None:
        """A chosen value of the register."""
        self.state = state
        self.notify_changed()

    # -- liveness

    def live_writers(self, now_s: float) -> set[str]:
        """Incarnations of the control nodes that live, this one too."""
        return {self.me.incarnation, *(peer.incarnation for peer in self.peers.live(now_s))}

    def live_nodes(self, now_s: float) -> list[NodeRecord]:
        """All nodes that live, as far as this control node knows."""
        roles = (NodeRole.GATEWAY, NodeRole.STORE, NodeRole.CONTROL)
        return list(self.status_table.live_nodes(self.live_writers(now_s), roles).values())

    def stable_for_s(self, now_s: float) -> float:
        """For how long (s) this node has run, without a pause, in contact with a quorum and with another control node:
        what it does not know of after some time of that is not there."""
        return now_s - self._stable_since_s

    def gateways(self, now_s: float) -> int:
        """How many gateways live; at least 1."""
        live = self.status_table.live_nodes(self.live_writers(now_s), (NodeRole.GATEWAY,))
        if live is not self._counted_nodes:
            self._counted_nodes = live
            self._gateways = max(1, sum(1 for record in live.values() if not record.leaving))
        return self._gateways

    def _reported_loads(self, now_s: float) -> list[Mapping[str, int]]:
        """Calls in flight by server id, as this node and the other control nodes were told."""
        return [self.contacts.load(now_s), *self.peers.loads(now_s)]

    def load_age_s(self, now_s: float) -> float:
        """How long ago, in the mean over all calls, the gateways told what `load` sums."""
        mine = sum(self.contacts.load(now_s).values()), self.contacts.load_age_s(now_s)
        told = [mine, *self.peers.load_ages(now_s)]
        calls = sum(count for count, _ in told)
        return sum(count * age_s for count, age_s in told) / calls if calls else 0.0

    # -- nodes

    def on_node_contact(self, now_s: float, record: NodeRecord, report: LoadReport | None = None) -> None:
        """A gateway or store pulled; `report` is what it told, if it did."""
        if self.contacts.on_contact(now_s, record, report):
            self._write_node(now_s, record, present=True)

    def _write_node(self, now_s: float, record: NodeRecord, present: bool) -> None:
        word = "present" if present else "absent"
        logger.info(
            "event=node_%s name=%s role=%s zone=%s", word, record.name, record.role.value, record.zone
        )
        self.status_table.write_node(record, present)
        # Gateways are only counted, and their number is told with other news.
        if record.role is not NodeRole.GATEWAY:
            self.expedite_exchanges(now_s)
            self.notify_changed()

    def _drop_replaced_contacts(self, now_s: float, names: Iterable[str]) -> None:
        """Where another control node has a newer incarnation of a node, this one's contact is with a dead one."""
        live = self.live_writers(now_s)
        for name in names:
            mine = self.contacts.record_of(name)
            if mine is not None and self._other_incarnation_elsewhere(live, mine):
                self.contacts.drop(name)
                self._write_node(now_s, mine, present=False)

    def _other_incarnation_elsewhere(self, live: set[str], mine: NodeRecord) -> bool:
        """Whether a live control node is in contact with another incarnation; what one that has ended last exchange is
        of its own time and contradicts nothing that came after it."""
        return any(
            entry.present
            and entry.writer_incarnation != self.me.incarnation
            and entry.writer_incarnation in live
            and entry.record.name == mine.name
            and entry.record.incarnation != mine.incarnation
            for entry in self.status_table.node_entries()
        )

    # -- servers

    def on_heartbeat(self, now_s: float, heartbeat: Heartbeat) -> None:
        """A server's heartbeat came here."""
        listed = self._live_record(self.live_writers(now_s), heartbeat.record.id)
        self.write_servers(
            now_s, self.registry.on_heartbeat(now_s, heartbeat, self.status_table.servers(), listed)
        )

    def on_goodbye(self, now_s: float, server_id: str) -> None:
        """A server exchange that it ends."""
        self.write_servers(now_s, self.registry.on_goodbye(server_id, self.status_table.servers()))

    def _live_record(self, live: set[str], server_id: str) -> ServerRecord | None:
        """What the control nodes that live state about this server together."""
        records = [
            entry.record
            for entry in self.status_table.server_entries(server_id)
            if entry.writer_incarnation in live
        ]
        return functools.reduce(merged, records) if records else None

    def write_servers(self, now_s: float, records: list[ServerRecord]) -> None:
        """State these facts in this node's own name, and have them told at once."""
        for record in records:
            self.status_table.write_server(record)
        if records:
            self.expedite_exchanges(now_s)
            self.notify_changed()

    def peers_knowing_end(self, now_s: float, server_id: str) -> list[NodeRecord]:
        """The other control nodes that live and know that this server drains or is gone."""
        entries = [
            entry for entry in self.status_table.server_entries(server_id) if level(entry.record.state) > 0
        ]
        return [
            peer.record
            for peer in self.peers.live(now_s)
            if peer.record is not None
            and any(peer.vector.get(entry.writer_incarnation, 0) >= entry.number for entry in entries)
        ]

    # -- other control nodes

    def exchange_for(self, now_s: float, peer: Peer) -> Exchange:
        """What to tell this control node now."""
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
        """Another control node told this; the answer has what it lacks."""
        if exchange.receiver_incarnation != self.me.incarnation:
            exchange = attrs.evolve(exchange, receiver_incarnation="", delta=Delta())
        self.apply_exchange(now_s, exchange)
        return Exchanged(
            sender=self.me,
            delta=self.status_table.newer_than(exchange.vector),
            vector=dict(self.status_table.vector),
        )

    def apply_exchange(self, now_s: float, exchange: Exchange | Exchanged) -> None:
        """Take in what another control node exchange."""
        if self.peers.on_exchange(now_s, exchange) is None:
            return
        mine = self.status_table.entry_of(exchange.sender.name, self.me.incarnation)
        if mine is None or not mine.present or mine.record != exchange.sender:
            self._write_node(now_s, exchange.sender, present=True)
        if isinstance(exchange, Exchange):
            self.registry.on_sequences(now_s, exchange.last_seen_sequences)
        changes = self.status_table.apply(exchange.delta)
        if changes:
            self._on_table_changes(now_s, changes.servers, changes.nodes)

    def _on_table_changes(self, now_s: float, servers: frozenset[str], nodes: frozenset[str]) -> None:
        known = self.status_table.servers()
        for server in servers:
            if server in known:
                self.write_servers(now_s, self.registry.on_record_changed(now_s, known[server]))
        self._drop_replaced_contacts(now_s, nodes)
        controls = [
            e.record
            for e in self.status_table.node_entries()
            if e.record.role is NodeRole.CONTROL and e.present
        ]
        self.peers.add(now_s, [record.address for record in controls])
        self.notify_changed()

    # -- time

    def tick(self, now_s: float) -> None:
        """To be called about ten times a second."""
        gap_s, self._last_tick_s = now_s - self._last_tick_s, now_s
        frozen = gap_s > LONGEST_GAP_S
        if frozen:
            self.contacts.restart_timeouts(now_s)
            self._grace_until_s = now_s + GRACE_S
        elif now_s >= self._grace_until_s:
            for record in self.contacts.expired(now_s):
                self._write_node(now_s, record, present=False)
            self._expire_peers(now_s)
        alone = self.peers.others_exist() and not self.peers.live(now_s)
        trusted = not frozen and not alone and self.quorum_age_s() < LONGEST_GAP_S
        if not trusted:
            self._stable_since_s = now_s
        known = self.status_table.servers()
        live = self.live_writers(now_s)
        silent = self.registry.on_tick(
            now_s, known, lambda server: self._live_record(live, server) is not None, trusted
        )
        self.write_servers(now_s, silent)
        for server in self.registry.expired(now_s, known):
            self.status_table.forget_server(server)
        self._check_suspicions(now_s)
        self._forget(now_s)

    def _check_suspicions(self, now_s: float) -> None:
        told = sum_suspicions([self.contacts.suspects(now_s), *self.peers.suspects(now_s)])
        self.suspicions.check(now_s, told, self.gateways(now_s))

    def _expire_peers(self, now_s: float) -> None:
        live = {peer.incarnation for peer in self.peers.live(now_s)}
        for entry in list(self.status_table.node_entries()):
            mine = entry.writer_incarnation == self.me.incarnation and entry.present
            other = entry.record.role is NodeRole.CONTROL and entry.record.incarnation != self.me.incarnation
            if mine and other and entry.record.incarnation not in live:
                self._write_node(now_s, entry.record, present=False)

    def _forget(self, now_s: float) -> None:
        for writer in self.live_writers(now_s):
            self._writers_seen_s[writer] = now_s
        for writer in list(self.status_table.vector):
            seen_s = self._writers_seen_s.setdefault(writer, now_s)
            if now_s - seen_s > FORGET_WRITER_S:
                self.status_table.forget_writer(writer)
                del self._writers_seen_s[writer]
        self.peers.forget(now_s)
