"""The node records that a control node writes: which nodes are in contact with it."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Mapping

from emberring.distribution.contacts import Contacts, LoadReport
from emberring.distribution.peers import PeerTable
from emberring.distribution.records import NodeRecord, NodeRole
from emberring.distribution.status_table import StatusTable
from emberring.logs import get_logger

logger = get_logger("control")


class NodeRecordManager:
    """Writes node records into the status table, and answers which nodes live.

    `on_change` is called with the time after each record that followers or other control nodes should have at once.
    """

    def __init__(
        self,
        status_table: StatusTable,
        peers: PeerTable,
        contacts: Contacts,
        on_change: Callable[[float], None],
    ) -> None:
        self._status_table = status_table
        self._peers = peers
        self._contacts = contacts
        self._on_change = on_change
        self._counted_nodes: Mapping[str, NodeRecord] = {}
        self._gateways = 1

    # -- which nodes live

    def live_writers(self, now_s: float) -> set[str]:
        """Incarnations of the live control nodes, of this one too."""
        return {
            self._status_table.writer_incarnation,
            *(peer.incarnation for peer in self._peers.live(now_s)),
        }

    def live_nodes(self, now_s: float, roles: Collection[NodeRole]) -> Mapping[str, NodeRecord]:
        """The live nodes of these roles, by name."""
        return self._status_table.live_nodes(self.live_writers(now_s), roles)

    def gateway_count(self, now_s: float) -> int:
        """The number of live gateways that do not shut down; at least 1."""
        live = self.live_nodes(now_s, (NodeRole.GATEWAY,))
        if live is not self._counted_nodes:
            self._counted_nodes = live
            self._gateways = max(1, sum(1 for record in live.values() if not record.leaving))
        return self._gateways

    def control_addresses(self) -> list[str]:
        """Addresses of the control nodes that any control node is in contact with."""
        return [
            entry.record.address
            for entry in self._status_table.node_entries()
            if entry.record.role is NodeRole.CONTROL and entry.present
        ]

    # -- writing

    def on_contact(self, now_s: float, record: NodeRecord, report: LoadReport | None) -> None:
        """A gateway or store pulled; `report` is None where it reported no load."""
        if self._contacts.on_contact(now_s, record, report):
            self.write(now_s, record, present=True)

    def on_peer(self, now_s: float, record: NodeRecord) -> None:
        """Another control node exchanged with this one."""
        own_entry = self._status_table.entry_of(record.name, self._status_table.writer_incarnation)
        if own_entry is None or not own_entry.present or own_entry.record != record:
            self.write(now_s, record, present=True)

    def write(self, now_s: float, record: NodeRecord, present: bool) -> None:
        """Record whether a node is in contact with this one."""
        presence = "present" if present else "absent"
        logger.info(
            "event=node_%s name=%s role=%s zone=%s", presence, record.name, record.role.value, record.zone
        )
        self._status_table.write_node(record, present)
        # Gateways are only counted, and their number is sent with other updates.
        if record.role is not NodeRole.GATEWAY:
            self._on_change(now_s)

    def drop_replaced_contacts(self, now_s: float, names: Iterable[str]) -> None:
        """Drop contacts with incarnations that have ended: those of which another control node has another one."""
        live_writers = self.live_writers(now_s)
        for name in names:
            record = self._contacts.record_of(name)
            if record is not None and self._other_incarnation_elsewhere(live_writers, record):
                self._contacts.drop(name)
                self.write(now_s, record, present=False)

    def _other_incarnation_elsewhere(self, live_writers: set[str], record: NodeRecord) -> bool:
        """Whether another live control node is in contact with another incarnation.

        The last entry of a control node that has ended is of its own time and contradicts nothing that came after it.
        """
        return any(
            entry.present
            and entry.writer_incarnation != self._status_table.writer_incarnation
            and entry.writer_incarnation in live_writers
            and entry.record.name == record.name
            and entry.record.incarnation != record.incarnation
            for entry in self._status_table.node_entries()
        )

    def expire(self, now_s: float) -> None:
        """Record the nodes as absent whose contact with this one has timed out."""
        for record in self._contacts.expired(now_s):
            self.write(now_s, record, present=False)
        self._expire_peers(now_s)

    def _expire_peers(self, now_s: float) -> None:
        own_incarnation = self._status_table.writer_incarnation
        live = {peer.incarnation for peer in self._peers.live(now_s)}
        for entry in list(self._status_table.node_entries()):
            record = entry.record
            is_own_entry = entry.writer_incarnation == own_incarnation and entry.present
            is_peer = record.role is NodeRole.CONTROL and record.incarnation != own_incarnation
            if is_own_entry and is_peer and record.incarnation not in live:
                self.write(now_s, record, present=False)
