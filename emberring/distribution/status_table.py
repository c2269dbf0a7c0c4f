"""All statements that a node holds about servers and nodes, and what of them another node lacks. No sockets."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping

import attrs
from sortedcontainers import SortedDict

from emberring.distribution.messages import Delta, NodeEntry, ServerEntry
from emberring.distribution.records import NodeRecord, NodeRole, ServerRecord
from emberring.registry.merge import dominates, merged

MAX_CACHED_LIVE_SETS = 8  # answers about who lives, each for a set of origins


@attrs.frozen
class TableChanges:
    """What taking in a delta changed: ids of servers and names of nodes."""

    servers: frozenset[str] = frozenset()
    nodes: frozenset[str] = frozenset()

    def __bool__(self) -> bool:
        return bool(self.servers or self.nodes)


class StatusTable:
    """Statements by origin and number. Those of an ended origin are dropped where another says as much."""

    def __init__(self, writer: str = "") -> None:
        self.writer_incarnation = writer
        self.vector: dict[str, int] = {}
        self._servers: dict[str, dict[str, ServerEntry]] = {}
        self._merged: dict[str, ServerRecord] = {}
        self._nodes: dict[str, dict[str, NodeEntry]] = {}
        self._arrivals: dict[tuple[str, str], int] = {}
        self._arrival_count = 0
        self._entries_by_number: dict[str, SortedDict] = {}  # by origin: the kept statements by their numbers
        self._live_nodes: dict[tuple[frozenset[str], tuple[NodeRole, ...]], dict[str, NodeRecord]] = {}

    # -- statements of this node

    def _next_number(self) -> int:
        number = self.vector.get(self.writer_incarnation, 0) + 1
        self.vector[self.writer_incarnation] = number
        return number

    def write_server(self, record: ServerRecord) -> ServerEntry:
        """State this about a server in this node's own name, joined with what is known: a statement replaces the
        older ones of its origin, and must say all that they did."""
        known = self._merged.get(record.id)
        whole = merged(known, record) if known is not None else record
        entry = ServerEntry(self.writer_incarnation, self._next_number(), whole)
        self._apply_server_entry(entry)
        return entry

    def write_node(self, record: NodeRecord, present: bool) -> NodeEntry:
        """State in this node's own name whether a node is in contact with it."""
        entry = NodeEntry(self.writer_incarnation, self._next_number(), record, present)
        self._apply_node_entry(entry)
        return entry

    # -- what is held

    def servers(self) -> Mapping[str, ServerRecord]:
        """The join of all statements, by server id, in every state."""
        return self._merged

    def server_entries(self, server_id: str) -> Iterable[ServerEntry]:
        """The statements about this server that are kept."""
        return self._servers.get(server_id, {}).values()

    def node_entries(self) -> Iterable[NodeEntry]:
        """Every origin's newest statement about every node."""
        for by_writer in self._nodes.values():
            yield from by_writer.values()

    def entry_of(self, name: str, writer: str) -> NodeEntry | None:
        """What this origin stated last about a node."""
        return self._nodes.get(name, {}).get(writer)

    def live_nodes(self, live: Collection[str], roles: Collection[NodeRole]) -> Mapping[str, NodeRecord]:
        """Nodes of these roles in contact with an origin that lives; of two incarnations the one told last."""
        key = (frozenset(live), tuple(roles))
        known = self._live_nodes.get(key)
        if known is None:
            if len(self._live_nodes) >= MAX_CACHED_LIVE_SETS:
                self._live_nodes.clear()
            known = self._live_nodes[key] = self._find_live(live, roles)
        return known

    def _find_live(self, live: Collection[str], roles: Collection[NodeRole]) -> dict[str, NodeRecord]:
        found: dict[str, NodeEntry] = {}
        for entry in self.node_entries():
            if not entry.present or entry.writer_incarnation not in live or entry.record.role not in roles:
                continue
            other = found.get(entry.record.name)
            if other is None or self.arrival_order(entry) > self.arrival_order(other):
                found[entry.record.name] = entry
        return {name: entry.record for name, entry in found.items()}

    def arrival_order(self, entry: NodeEntry) -> int:
        """When a statement about a node arrived here, as a number that rises."""
        return self._arrivals.get((entry.record.name, entry.writer_incarnation), 0)

    # -- exchange

    def newer_than(self, vector: Mapping[str, int], gateways: bool = True) -> Delta:
        """What a node with this vector lacks; without gateways' entries where it does not need them."""
        if all(vector.get(writer, 0) >= number for writer, number in self.vector.items()):
            return Delta(vector=dict(self.vector))
        servers: list[ServerEntry] = []
        nodes: list[NodeEntry] = []
        for writer, numbered in self._entries_by_number.items():
            for number in numbered.irange(minimum=vector.get(writer, 0) + 1):
                entry = numbered[number]
                if isinstance(entry, ServerEntry):
                    servers.append(entry)
                elif gateways or entry.record.role is not NodeRole.GATEWAY:
                    nodes.append(entry)
        return Delta(dict(self.vector), tuple(servers), tuple(nodes))

    def has_newer_than(self, vector: Mapping[str, int]) -> bool:
        """Whether there is anything for a node with this vector that does not need gateways' entries."""
        for writer, numbered in self._entries_by_number.items():
            known = vector.get(writer, 0)
            if self.vector.get(writer, 0) <= known:
                continue
            for number in numbered.irange(minimum=known + 1):
                entry = numbered[number]
                if isinstance(entry, ServerEntry) or entry.record.role is not NodeRole.GATEWAY:
                    return True
        return False

    def _index(self, entry: ServerEntry | NodeEntry, before: ServerEntry | NodeEntry | None) -> None:
        numbered = self._entries_by_number.setdefault(entry.writer_incarnation, SortedDict())
        if before is not None:
            numbered.pop(before.number, None)
        numbered[entry.number] = entry

    def _unindex(self, entry: ServerEntry | NodeEntry) -> None:
        numbered = self._entries_by_number.get(entry.writer_incarnation)
        if numbered is not None:
            numbered.pop(entry.number, None)
            if not numbered:
                del self._entries_by_number[entry.writer_incarnation]

    def apply(self, delta: Delta) -> TableChanges:
        """Take in what another node sent; its vector holds from now on here as well."""
        servers = {
            entry.record.id
            for entry in delta.servers
            if self._is_new(entry) and self._apply_server_entry(entry)
        }
        nodes = {
            entry.record.name
            for entry in delta.nodes
            if self._is_new(entry) and self._apply_node_entry(entry)
        }
        for writer, number in delta.vector.items():
            if number > self.vector.get(writer, 0):
                self.vector[writer] = number
        return TableChanges(frozenset(servers), frozenset(nodes))

    def _is_new(self, entry: ServerEntry | NodeEntry) -> bool:
        return entry.number > self.vector.get(entry.writer_incarnation, 0)

    def _apply_server_entry(self, entry: ServerEntry) -> bool:
        """Keep an origin's newest statement; whether what is known of the server changed."""
        by_writer = self._servers.setdefault(entry.record.id, {})
        self._index(entry, by_writer.get(entry.writer_incarnation))
        by_writer[entry.writer_incarnation] = entry
        before = self._merged.get(entry.record.id)
        after = merged(before, entry.record) if before is not None else entry.record
        self._merged[entry.record.id] = after
        return after != before

    def _apply_node_entry(self, entry: NodeEntry) -> bool:
        by_writer = self._nodes.setdefault(entry.record.name, {})
        before = by_writer.get(entry.writer_incarnation)
        self._index(entry, before)
        by_writer[entry.writer_incarnation] = entry
        self._live_nodes.clear()
        self._arrival_count += 1
        self._arrivals[(entry.record.name, entry.writer_incarnation)] = self._arrival_count
        return before is None or (before.record, before.present) != (entry.record, entry.present)

    # -- forgetting

    def forget_server(self, server_id: str) -> None:
        """Drop all that is known of a server."""
        for entry in self._servers.pop(server_id, {}).values():
            self._unindex(entry)
        self._merged.pop(server_id, None)

    def forget_writer(self, writer: str) -> None:
        """Drop an ended origin's statements about nodes, and those about servers that others say as well; its place
        in the vector too if nothing of it is kept."""
        self._live_nodes.clear()
        for name in list(self._nodes):
            entry = self._nodes[name].pop(writer, None)
            if entry is not None:
                self._unindex(entry)
                self._arrivals.pop((name, writer), None)
            if not self._nodes[name]:
                del self._nodes[name]
        if not self._prune_server_entries(writer):
            self.vector.pop(writer, None)

    def _prune_server_entries(self, writer: str) -> bool:
        """Drop an ended origin's statements about servers that others say as well; whether any is left."""
        left = False
        for by_writer in self._servers.values():
            entry = by_writer.get(writer)
            if entry is None:
                continue
            if any(
                other is not entry and dominates(other.record, entry.record) for other in by_writer.values()
            ):
                del by_writer[writer]
                self._unindex(entry)
            else:
                left = True
        return left
