"""What a control node knows and states, in one place, and the wake-up of those who wait for something new."""

from __future__ import annotations

import functools
from collections.abc import Callable, Iterable, Mapping

import attrs

from emberring.configuration.state import ControlState
from emberring.control.change_notifier import ChangeNotifier
from emberring.control.load_aggregator import LoadAggregator
from emberring.control.suspicion_table import SuspicionTable
from emberring.distribution.contacts import Contacts, Report
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
HEARD_SPAN_S = 5.0  # heartbeats of so long ago are told to a control node that could not be told before


class ClusterState:
    """Statements, contacts, peers and servers of one control node. All calls give the time in seconds of the
    steady clock; nothing here waits."""

    def __init__(self, now_s: float, me: NodeRecord, seeds: Iterable[str], heartbeat_s: float) -> None:
        self.me = me
        self.state = ControlState()
        self.store = StatusTable(me.incarnation)
        self.peers = PeerTable(me, seeds)
        self.contacts = Contacts()
        self.registry = ServerRegistry(now_s, heartbeat_s)
        self.load = LoadAggregator(self._told_loads, self.load_age_s, self.store.servers)
        self.suspicions = SuspicionTable(self.store.servers)
        self.quorum_age_s: Callable[[], float] = lambda: 0.0
        self._news = ChangeNotifier()
        self._exchanges = ChangeNotifier()
        self._hurry = ChangeNotifier()
        self._last_tick_s = now_s
        self._settled_since_s = now_s
        self._grace_until_s = now_s
        self._writers_seen_s: dict[str, float] = {}
        self._counted: Mapping[str, NodeRecord] = {}
        self._gateways = 1
        self.store.write_node(me, present=True)

    # -- waking

    def changed(self) -> None:
        """Wake all who wait for something new."""
        self._news.give()

    async def wait(self, timeout_s: float) -> None:
        """Wait until something changes, or the time is over."""
        await self._news.wait(timeout_s)

    @property
    def waiters(self) -> int:
        """How many wait for something new."""
        return self._news.waiters

    def exchanged(self) -> None:
        """An exchange with another control node ended."""
        self._exchanges.give()

    async def wait_for_exchange(self, timeout_s: float) -> None:
        """Wait until an exchange ends, or the time is over."""
        await self._exchanges.wait(timeout_s)

    def hurry(self, now_s: float) -> None:
        """Have the other control nodes told at once."""
        self.peers.hurry(now_s)
        self._hurry.give()

    async def wait_hurry(self, timeout_s: float) -> None:
        """Wait until the others are to be told at once, or the time is over."""
        await self._hurry.wait(timeout_s)

    # -- the register's value

    def take_state(self, state: ControlState) -> None:
        """A chosen value of the register."""
        self.state = state
        self.changed()

    # -- liveness

    def live_writers(self, now_s: float) -> set[str]:
        """Incarnations of the control nodes that live, this one too."""
        return {self.me.incarnation, *(peer.incarnation for peer in self.peers.live(now_s))}

    def live_nodes(self, now_s: float) -> list[NodeRecord]:
        """All nodes that live, as far as this control node knows."""
        roles = (NodeRole.GATEWAY, NodeRole.STORE, NodeRole.CONTROL)
        return list(self.store.live_nodes(self.live_writers(now_s), roles).values())

    def settled_s(self, now_s: float) -> float:
        """For how long (s) this node has run, without a pause, in contact with a quorum and with another control node:
        what it does not know of after some time of that is not there."""
        return now_s - self._settled_since_s

    def gateways(self, now_s: float) -> int:
        """How many gateways live; at least 1."""
        live = self.store.live_nodes(self.live_writers(now_s), (NodeRole.GATEWAY,))
        if live is not self._counted:
            self._counted = live
            self._gateways = max(1, sum(1 for record in live.values() if not record.leaving))
        return self._gateways

    def _told_loads(self, now_s: float) -> list[Mapping[str, int]]:
        """Calls in flight by server id, as this node and the other control nodes were told."""
        return [self.contacts.load(now_s), *self.peers.loads(now_s)]

    def load_age_s(self, now_s: float) -> float:
        """How long ago, in the mean over all calls, the gateways told what `load` sums."""
        mine = sum(self.contacts.load(now_s).values()), self.contacts.load_age_s(now_s)
        told = [mine, *self.peers.load_ages(now_s)]
        calls = sum(count for count, _ in told)
        return sum(count * age_s for count, age_s in told) / calls if calls else 0.0

    # -- nodes

    def node_called(self, now_s: float, record: NodeRecord, report: Report | None = None) -> None:
        """A gateway or store pulled; `report` is what it told, if it did."""
        if self.contacts.note(now_s, record, report):
            self._write_node(now_s, record, present=True)

    def _write_node(self, now_s: float, record: NodeRecord, present: bool) -> None:
        word = "present" if present else "absent"
        logger.info(
            "event=node_%s name=%s role=%s zone=%s", word, record.name, record.role.value, record.zone
        )
        self.store.write_node(record, present)
        # Gateways are only counted, and their number is told with other news.
        if record.role is not NodeRole.GATEWAY:
            self.hurry(now_s)
            self.changed()

    def _drop_replaced_contacts(self, now_s: float, names: Iterable[str]) -> None:
        """Where another control node has a newer incarnation of a node, this one's contact is with a dead one."""
        live = self.live_writers(now_s)
        for name in names:
            mine = self.contacts.record_of(name)
            if mine is not None and self._other_incarnation_elsewhere(live, mine):
                self.contacts.drop(name)
                self._write_node(now_s, mine, present=False)

    def _other_incarnation_elsewhere(self, live: set[str], mine: NodeRecord) -> bool:
        """Whether a live control node is in contact with another incarnation; what one that has ended last said is
        of its own time and contradicts nothing that came after it."""
        return any(
            entry.present
            and entry.writer_incarnation != self.me.incarnation
            and entry.writer_incarnation in live
            and entry.record.name == mine.name
            and entry.record.incarnation != mine.incarnation
            for entry in self.store.node_entries()
        )

    # -- servers

    def on_heartbeat(self, now_s: float, beat: Heartbeat) -> None:
        """A server's heartbeat came here."""
        listed = self._listed(self.live_writers(now_s), beat.record.id)
        self.write_servers(now_s, self.registry.on_heartbeat(now_s, beat, self.store.servers(), listed))

    def on_goodbye(self, now_s: float, server_id: str) -> None:
        """A server said that it ends."""
        self.write_servers(now_s, self.registry.on_goodbye(server_id, self.store.servers()))

    def _listed(self, live: set[str], server_id: str) -> ServerRecord | None:
        """What the control nodes that live state about this server together."""
        records = [
            entry.record for entry in self.store.server_entries(server_id) if entry.writer_incarnation in live
        ]
        return functools.reduce(merged, records) if records else None

    def write_servers(self, now_s: float, records: list[ServerRecord]) -> None:
        """State these facts in this node's own name, and have them told at once."""
        for record in records:
            self.store.write_server(record)
        if records:
            self.hurry(now_s)
            self.changed()

    def peers_knowing_end(self, now_s: float, server_id: str) -> list[NodeRecord]:
        """The other control nodes that live and know that this server drains or is gone."""
        entries = [entry for entry in self.store.server_entries(server_id) if level(entry.record.state) > 0]
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
            delta=self.store.newer_than(peer.vector) if peer.incarnation else Delta(),
            vector=dict(self.store.vector),
            last_seen_sequences=self.registry.heard_since(max(peer.answered_s, now_s - HEARD_SPAN_S)),
            load=self.contacts.load(now_s),
            load_age_ms=self.contacts.load_age_s(now_s) * 1000.0,
            suspects=self.contacts.suspects(now_s),
        )

    def on_exchange(self, now_s: float, said: Exchange) -> Exchanged:
        """Another control node told this; the answer has what it lacks."""
        if said.receiver_incarnation != self.me.incarnation:
            said = attrs.evolve(said, receiver_incarnation="", delta=Delta())
        self.take_exchange(now_s, said)
        return Exchanged(
            sender=self.me,
            delta=self.store.newer_than(said.vector),
            vector=dict(self.store.vector),
        )

    def take_exchange(self, now_s: float, said: Exchange | Exchanged) -> None:
        """Take in what another control node said."""
        if self.peers.take(now_s, said) is None:
            return
        mine = self.store.entry_of(said.sender.name, self.me.incarnation)
        if mine is None or not mine.present or mine.record != said.sender:
            self._write_node(now_s, said.sender, present=True)
        if isinstance(said, Exchange):
            self.registry.note_heard(now_s, said.last_seen_sequences)
        changes = self.store.take(said.delta)
        if changes:
            self._on_table_changes(now_s, changes.servers, changes.nodes)

    def _on_table_changes(self, now_s: float, servers: frozenset[str], nodes: frozenset[str]) -> None:
        known = self.store.servers()
        for server in servers:
            if server in known:
                self.write_servers(now_s, self.registry.on_record_changed(now_s, known[server]))
        self._drop_replaced_contacts(now_s, nodes)
        controls = [
            e.record for e in self.store.node_entries() if e.record.role is NodeRole.CONTROL and e.present
        ]
        self.peers.note(now_s, [record.address for record in controls])
        self.changed()

    # -- time

    def tick(self, now_s: float) -> None:
        """To be called about ten times a second."""
        gap_s, self._last_tick_s = now_s - self._last_tick_s, now_s
        frozen = gap_s > LONGEST_GAP_S
        if frozen:
            self.contacts.renew(now_s)
            self._grace_until_s = now_s + GRACE_S
        elif now_s >= self._grace_until_s:
            for record in self.contacts.expired(now_s):
                self._write_node(now_s, record, present=False)
            self._expire_peers(now_s)
        alone = self.peers.others_exist() and not self.peers.live(now_s)
        trusted = not frozen and not alone and self.quorum_age_s() < LONGEST_GAP_S
        if not trusted:
            self._settled_since_s = now_s
        known = self.store.servers()
        live = self.live_writers(now_s)
        silent = self.registry.on_tick(
            now_s, known, lambda server: self._listed(live, server) is not None, trusted
        )
        self.write_servers(now_s, silent)
        for server in self.registry.forgettable(now_s, known):
            self.store.forget_server(server)
        self._look_at_suspects(now_s)
        self._forget(now_s)

    def _look_at_suspects(self, now_s: float) -> None:
        told = sum_suspicions([self.contacts.suspects(now_s), *self.peers.suspects(now_s)])
        self.suspicions.look(now_s, told, self.gateways(now_s))

    def _expire_peers(self, now_s: float) -> None:
        live = {peer.incarnation for peer in self.peers.live(now_s)}
        for entry in list(self.store.node_entries()):
            mine = entry.writer_incarnation == self.me.incarnation and entry.present
            other = entry.record.role is NodeRole.CONTROL and entry.record.incarnation != self.me.incarnation
            if mine and other and entry.record.incarnation not in live:
                self._write_node(now_s, entry.record, present=False)

    def _forget(self, now_s: float) -> None:
        for writer in self.live_writers(now_s):
            self._writers_seen_s[writer] = now_s
        for writer in list(self.store.vector):
            seen_s = self._writers_seen_s.setdefault(writer, now_s)
            if now_s - seen_s > FORGET_WRITER_S:
                self.store.forget_writer(writer)
                del self._writers_seen_s[writer]
        self.peers.forget(now_s)
