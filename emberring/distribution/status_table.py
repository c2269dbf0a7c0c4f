"""The replicated status records of servers and nodes, and deltas for nodes that lack entries. Does no network I/O."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping

import attrs
from sortedcontainers import SortedDict

from emberring.distribution.messages import Delta, NodeEntry, ServerEntry
from emberring.distribution.records import NodeRecord, NodeRole, ServerRecord
from emberring.registry.merge import dominates, merged

MAX_CACHED_LIVE_SETS = 8  # cached results of `live_nodes`, one for each set of writers and roles


@attrs.frozen
class TableChanges:
    """The ids of servers and names of nodes whose records were changed by a delta."""

    servers: frozenset[str] = frozenset()
    nodes: frozenset[str] = frozenset()

    def __bool__(self) -> bool:
        return bool(self.servers or self.nodes)


class StatusTable:
    """Entries by writer and number. `writer` is the incarnation of this node, empty if it writes no entries.

    `vector` has, for each writer, the number up to which all its entries have been received. An ended writer's entry
    is dropped if the entry of another writer includes it.
    """

    def __init__(self, writer: str = "") -> None:
        self.writer_incarnation = writer
        self.vector: dict[str, int] = {}
        self._servers: dict[str, dict[str, ServerEntry]] = {}
        self._merged: dict[str, ServerRecord] = {}
        self._nodes: dict[str, dict[str, NodeEntry]] = {}
        self._arrivals: dict[tuple[str, str], int] = {}
        self._arrival_count = 0
        self._entries_by_number: dict[str, SortedDict] = {}  # by writer
        self._live_nodes: dict[tuple[frozenset[str], tuple[NodeRole, ...]], dict[str, NodeRecord]] = {}

    # -- entries of this node

    def _next_number(self) -> int:
        number = self.vector.get(self.writer_incarnation, 0) + 1
        self.vector[self.writer_incarnation] = number
        return number

    def write_server(self, record: ServerRecord) -> ServerEntry:
        """Write a server record, merged with the known one.

        The entry replaces older ones of this writer about the server, so it must include what they reported.
        """
        known = self._merged.get(record.id)
        complete = merged(known, record) if known is not None else record
        entry = ServerEntry(self.writer_incarnation, self._next_number(), complete)
        self._apply_server_entry(entry)
        return entry

    def write_node(self, record: NodeRecord, present: bool) -> NodeEntry:
        """Write whether a node is in contact with this one."""
        entry = NodeEntry(self.writer_incarnation, self._next_number(), record, present)
        self._apply_node_entry(entry)
        return entry

    # -- reading

    def servers(self) -> Mapping[str, ServerRecord]:
        """The merged record of each server, by id, in every state."""
        return self._merged

    def server_entries(self, server_id: str) -> Iterable[ServerEntry]:
        """Each writer's newest entry about this server."""
        return self._servers.get(server_id, {}).values()

    def node_entries(self) -> Iterable[NodeEntry]:
        """Each writer's newest entry about each node."""
        for by_writer in self._nodes.values():
            yield from by_writer.values()

    def entry_of(self, name: str, writer: str) -> NodeEntry | None:
        """This writer's newest entry about a node."""
        return self._nodes.get(name, {}).get(writer)

    def live_nodes(self, live: Collection[str], roles: Collection[NodeRole]) -> Mapping[str, NodeRecord]:
        """Nodes of these roles in contact with a live writer, by name.

        Of two incarnations of a node, the result has the one whose entry arrived last.
        """
        key = (frozenset(live), tuple(roles))
        cached = self._live_nodes.get(key)
        if cached is None:
            if len(self._live_nodes) >= MAX_CACHED_LIVE_SETS:
                self._live_nodes.clear()
            cached = self._live_nodes[key] = self._find_live(live, roles)
        return cached

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
        """The position of an entry about a node in the order of arrival at this table."""
        return self._arrivals.get((entry.record.name, entry.writer_incarnation), 0)

    # -- exchange

    def newer_than(self, vector: Mapping[str, int], gateways: bool = True) -> Delta:
        """The entries that a node with this vector lacks; `gateways` is whether to include those about gateways."""
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
        """Whether a node with this vector lacks entries other than those about gateways."""
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
        """Apply a delta of another node, and advance this table's vector to that of the delta."""
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
        """Store a writer's newest entry; return whether the merged record of the server changed."""
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

    # -- removal

    def forget_server(self, server_id: str) -> None:
        """Drop all entries of a server."""
        for entry in self._servers.pop(server_id, {}).values():
            self._unindex(entry)
        self._merged.pop(server_id, None)

    def forget_writer(self, writer: str) -> None:
        """Drop an ended writer's entries about nodes, and those about servers that other writers' entries include.

        Its number in the vector is dropped too if no entry of it is left.
        """
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
        """Drop an ended writer's server entries that other writers' entries include; return whether any is left."""
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
