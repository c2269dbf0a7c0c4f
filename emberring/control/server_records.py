"""Writes a control node's entries about model servers: on heartbeats, goodbyes, timeouts, and entries of its peers."""

from __future__ import annotations

import functools
from collections.abc import Callable, Iterable

from emberring.distribution.peers import PeerTable
from emberring.distribution.records import NodeRecord, ServerRecord
from emberring.distribution.status_table import StatusTable
from emberring.registry.heartbeats import Heartbeat
from emberring.registry.merge import merged, shutdown_stage
from emberring.registry.servers import ServerRegistry


class ServerRecordManager:
    """Writes server records into the status table.

    `on_change` is called with the time after each write; `live_writers` returns the incarnations of the live
    control nodes at a time.
    """

    def __init__(
        self,
        status_table: StatusTable,
        peers: PeerTable,
        registry: ServerRegistry,
        live_writers: Callable[[float], set[str]],
        on_change: Callable[[float], None],
    ) -> None:
        self._status_table = status_table
        self._peers = peers
        self._registry = registry
        self._live_writers = live_writers
        self._on_change = on_change

    def on_heartbeat(self, now_s: float, heartbeat: Heartbeat) -> None:
        """Process a server's heartbeat received by this node."""
        live_record = self._live_record(self._live_writers(now_s), heartbeat.record.id)
        known = self._status_table.servers()
        self.write(now_s, self._registry.on_heartbeat(now_s, heartbeat, known, live_record))

    def on_goodbye(self, now_s: float, server_id: str) -> None:
        """Process a server's goodbye received by this node."""
        self.write(now_s, self._registry.on_goodbye(server_id, self._status_table.servers()))

    def on_changed(self, now_s: float, server_ids: Iterable[str]) -> None:
        """Correct records of these servers that peers wrote as lost, if this node has received newer heartbeats."""
        known = self._status_table.servers()
        for server_id in server_ids:
            if server_id in known:
                self.write(now_s, self._registry.on_record_changed(now_s, known[server_id]))

    def tick(self, now_s: float, trusted: bool) -> None:
        """Write records of the servers that have timed out, and drop those that ended long ago.

        `trusted` is whether missed heartbeats count as failures now.
        """
        known = self._status_table.servers()
        live_writers = self._live_writers(now_s)
        timed_out = self._registry.on_tick(
            now_s, known, lambda server_id: self._live_record(live_writers, server_id) is not None, trusted
        )
        self.write(now_s, timed_out)
        for server_id in self._registry.expired(now_s, known):
            self._status_table.forget_server(server_id)

    def write(self, now_s: float, records: list[ServerRecord]) -> None:
        """Write these records as entries of this node."""
        for record in records:
            self._status_table.write_server(record)
        if records:
            self._on_change(now_s)

    def _live_record(self, live_writers: set[str], server_id: str) -> ServerRecord | None:
        """The merge of the live control nodes' records of this server; None if none of them has one."""
        records = [
            entry.record
            for entry in self._status_table.server_entries(server_id)
            if entry.writer_incarnation in live_writers
        ]
        return functools.reduce(merged, records) if records else None

    def peers_with_end_record(self, now_s: float, server_id: str) -> list[NodeRecord]:
        """The other live control nodes that have received the drain or goodbye of this server."""
        entries = [
            entry
            for entry in self._status_table.server_entries(server_id)
            if shutdown_stage(entry.record.state) > 0
        ]
        return [
            peer.record
            for peer in self._peers.live(now_s)
            if peer.record is not None
            and any(peer.vector.get(entry.writer_incarnation, 0) >= entry.number for entry in entries)
        ]
