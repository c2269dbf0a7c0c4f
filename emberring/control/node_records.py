"""Writes a control node's entries about other nodes: which of them are in contact with it."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Mapping

from emberring.distribution.contacts import Contacts, LoadReport
from emberring.distribution.peers import PeerTable
from emberring.distribution.records import NodeRecord, NodeRole
from emberring.distribution.status_table import StatusTable
from emberring.logs import get_logger

logger = get_logger("control")


class NodeRecordManager:
    """Writes node records into the status table, and determines which nodes are live.

    `on_change` is called with the time after each record that followers and other control nodes need at once.
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
        self._counted_gateways: Mapping[str, NodeRecord] = {}
        self._gateway_count = 1

    # -- live nodes

    def live_writers(self, now_s: float) -> set[str]:
        """Incarnations of the live control nodes, including this one."""
        return {
            self._status_table.writer_incarnation,
            *(peer.incarnation for peer in self._peers.live(now_s)),
        }

    def live_nodes(self, now_s: float, roles: Collection[NodeRole]) -> Mapping[str, NodeRecord]:
        """The live nodes of these roles, by name."""
        return self._status_table.live_nodes(self.live_writers(now_s), roles)

    def gateway_count(self, now_s: float) -> int:
        """The number of live gateways that are not shutting down; at least 1."""
        live = self.live_nodes(now_s, (NodeRole.GATEWAY,))
        if live is not self._counted_gateways:
            self._counted_gateways = live
            self._gateway_count = max(1, sum(1 for record in live.values() if not record.leaving))
        return self._gateway_count

    def control_addresses(self) -> list[str]:
        """Addresses of the control nodes with which some control node is in contact."""
        return [
            entry.record.address
            for entry in self._status_table.node_entries()
            if entry.record.role is NodeRole.CONTROL and entry.present
        ]

    # -- writing

    def on_contact(self, now_s: float, record: NodeRecord, report: LoadReport | None) -> None:
        """Process a pull from a gateway or store; `report` is None if the pull has no load report."""
        if self._contacts.on_contact(now_s, record, report):
            self.write(now_s, record, present=True)

    def on_peer(self, now_s: float, record: NodeRecord) -> None:
        """Process an exchange with another control node."""
        own_entry = self._status_table.entry_of(record.name, self._status_table.writer_incarnation)
        if own_entry is None or not own_entry.present or own_entry.record != record:
            self.write(now_s, record, present=True)

    def write(self, now_s: float, record: NodeRecord, present: bool) -> None:
        """Write whether a node is in contact with this one."""
        presence = "present" if present else "absent"
        logger.info(
            "event=node_%s name=%s role=%s zone=%s", presence, record.name, record.role.value, record.zone
        )
        self._status_table.write_node(record, present)
        # Followers need only the number of gateways, which is sent with other updates: no update of its own.
        if record.role is not NodeRole.GATEWAY:
            self._on_change(now_s)

    def drop_replaced_contacts(self, now_s: float, names: Iterable[str]) -> None:
        """Drop contacts whose incarnation has ended: another control node is in contact with a different one."""
        live_writers = self.live_writers(now_s)
        for name in names:
            record = self._contacts.record_of(name)
            if record is not None and self._is_replaced_elsewhere(live_writers, record):
                self._contacts.drop(name)
                self.write(now_s, record, present=False)

    def _is_replaced_elsewhere(self, live_writers: set[str], record: NodeRecord) -> bool:
        """Whether another live control node is in contact with another incarnation of this node.

        Entries of control nodes that have ended are ignored: they are outdated, and would make this node drop its
        contact with a newer incarnation.
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
        """Write the nodes whose contact with this one has timed out as absent."""
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
