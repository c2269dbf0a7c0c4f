"""All statements that a node holds about servers and nodes, and what of them another node lacks. No sockets."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping

import attrs
from sortedcontainers import SortedDict

from emberring.distribution.messages import Delta, NodeEntry, ServerEntry
from emberring.distribution.records import NodeRecord, NodeRole, ServerRecord
from emberring.registry.merge import dominates, merged

MOST_CACHED = 8  # answers about who lives, each for a set of origins


@attrs.frozen
class Learnt:
    """What taking in a delta changed: ids of servers and names of nodes."""

    servers: frozenset[str] = frozenset()
    nodes: frozenset[str] = frozenset()

    def __bool__(self) -> bool:
        return bool(self.servers or self.nodes)


class StatusTable:
    """Statements by origin and number. Those of an ended origin are dropped where another says as much."""

    def __init__(self, origin: str = "") -> None:
        self.origin = origin
        self.vector: dict[str, int] = {}
        self._servers: dict[str, dict[str, ServerEntry]] = {}
        self._merged: dict[str, ServerRecord] = {}
        self._nodes: dict[str, dict[str, NodeEntry]] = {}
        self._arrivals: dict[tuple[str, str], int] = {}
        self._arrived = 0
        self._numbered: dict[str, SortedDict] = {}  # by origin: the kept statements by their numbers
        self._live_nodes: dict[tuple[frozenset[str], tuple[NodeRole, ...]], dict[str, NodeRecord]] = {}

    # -- statements of this node

    def _next_number(self) -> int:
        number = self.vector.get(self.origin, 0) + 1
        self.vector[self.origin] = number
        return number

    def state_server(self, fact: ServerRecord) -> ServerEntry:
        """State this about a server in this node's own name, joined with what is known: a statement replaces the
        older ones of its origin, and must say all that they did."""
        known = self._merged.get(fact.id)
        whole = merged(known, fact) if known is not None else fact
        entry = ServerEntry(self.origin, self._next_number(), whole)
        self._take_server(entry)
        return entry

    def state_node(self, fact: NodeRecord, present: bool) -> NodeEntry:
        """State in this node's own name whether a node is in contact with it."""
        entry = NodeEntry(self.origin, self._next_number(), fact, present)
        self._take_node(entry)
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
        for by_origin in self._nodes.values():
            yield from by_origin.values()

    def entry_of(self, name: str, origin: str) -> NodeEntry | None:
        """What this origin stated last about a node."""
        return self._nodes.get(name, {}).get(origin)

    def live_nodes(self, live: Collection[str], roles: Collection[NodeRole]) -> Mapping[str, NodeRecord]:
        """Nodes of these roles in contact with an origin that lives; of two incarnations the one told last."""
        key = (frozenset(live), tuple(roles))
        known = self._live_nodes.get(key)
        if known is None:
            if len(self._live_nodes) >= MOST_CACHED:
                self._live_nodes.clear()
            known = self._live_nodes[key] = self._find_live(live, roles)
        return known

    def _find_live(self, live: Collection[str], roles: Collection[NodeRole]) -> dict[str, NodeRecord]:
        found: dict[str, NodeEntry] = {}
        for entry in self.node_entries():
            if not entry.present or entry.origin not in live or entry.fact.role not in roles:
                continue
            other = found.get(entry.fact.name)
            if other is None or self.order_of(entry) > self.order_of(other):
                found[entry.fact.name] = entry
        return {name: entry.fact for name, entry in found.items()}

    def order_of(self, entry: NodeEntry) -> int:
        """When a statement about a node arrived here, as a number that rises."""
        return self._arrivals.get((entry.fact.name, entry.origin), 0)

    # -- exchange

    def newer_than(self, vector: Mapping[str, int], gateways: bool = True) -> Delta:
        """What a node with this vector lacks; without gateways' entries where it does not need them."""
        if all(vector.get(origin, 0) >= number for origin, number in self.vector.items()):
            return Delta(vector=dict(self.vector))
        servers: list[ServerEntry] = []
        nodes: list[NodeEntry] = []
        for origin, numbered in self._numbered.items():
            for number in numbered.irange(minimum=vector.get(origin, 0) + 1):
                entry = numbered[number]
                if isinstance(entry, ServerEntry):
                    servers.append(entry)
                elif gateways or entry.fact.role is not NodeRole.GATEWAY:
                    nodes.append(entry)
        return Delta(dict(self.vector), tuple(servers), tuple(nodes))

    def has_newer_than(self, vector: Mapping[str, int]) -> bool:
        """Whether there is anything for a node with this vector that does not need gateways' entries."""
        for origin, numbered in self._numbered.items():
            known = vector.get(origin, 0)
            if self.vector.get(origin, 0) <= known:
                continue
            for number in numbered.irange(minimum=known + 1):
                entry = numbered[number]
                if isinstance(entry, ServerEntry) or entry.fact.role is not NodeRole.GATEWAY:
                    return True
        return False

    def _keep(self, entry: ServerEntry | NodeEntry, before: ServerEntry | NodeEntry | None) -> None:
        numbered = self._numbered.setdefault(entry.origin, SortedDict())
        if before is not None:
            numbered.pop(before.number, None)
        numbered[entry.number] = entry

    def _drop(self, entry: ServerEntry | NodeEntry) -> None:
        numbered = self._numbered.get(entry.origin)
        if numbered is not None:
            numbered.pop(entry.number, None)
            if not numbered:
                del self._numbered[entry.origin]

    def take(self, delta: Delta) -> Learnt:
        """Take in what another node sent; its vector holds from now on here as well."""
        servers = {
            entry.fact.id for entry in delta.servers if self._is_new(entry) and self._take_server(entry)
        }
        nodes = {entry.fact.name for entry in delta.nodes if self._is_new(entry) and self._take_node(entry)}
        for origin, number in delta.vector.items():
            if number > self.vector.get(origin, 0):
                self.vector[origin] = number
        return Learnt(frozenset(servers), frozenset(nodes))

    def _is_new(self, entry: ServerEntry | NodeEntry) -> bool:
        return entry.number > self.vector.get(entry.origin, 0)

    def _take_server(self, entry: ServerEntry) -> bool:
        """Keep an origin's newest statement; whether what is known of the server changed."""
        by_origin = self._servers.setdefault(entry.fact.id, {})
        self._keep(entry, by_origin.get(entry.origin))
        by_origin[entry.origin] = entry
        before = self._merged.get(entry.fact.id)
        after = merged(before, entry.fact) if before is not None else entry.fact
        self._merged[entry.fact.id] = after
        return after != before

    def _take_node(self, entry: NodeEntry) -> bool:
        by_origin = self._nodes.setdefault(entry.fact.name, {})
        before = by_origin.get(entry.origin)
        self._keep(entry, before)
        by_origin[entry.origin] = entry
        self._live_nodes.clear()
        self._arrived += 1
        self._arrivals[(entry.fact.name, entry.origin)] = self._arrived
        return before is None or (before.fact, before.present) != (entry.fact, entry.present)

    # -- forgetting

    def forget_server(self, server_id: str) -> None:
        """Drop all that is known of a server."""
        for entry in self._servers.pop(server_id, {}).values():
            self._drop(entry)
        self._merged.pop(server_id, None)

    def forget_origin(self, origin: str) -> None:
        """Drop an ended origin's statements about nodes, and those about servers that others say as well; its place
        in the vector too if nothing of it is kept."""
        self._live_nodes.clear()
        for name in list(self._nodes):
            entry = self._nodes[name].pop(origin, None)
            if entry is not None:
                self._drop(entry)
                self._arrivals.pop((name, origin), None)
            if not self._nodes[name]:
                del self._nodes[name]
        if not self._needed(origin):
            self.vector.pop(origin, None)

    def _needed(self, origin: str) -> bool:
        """Drop an ended origin's statements about servers that others say as well; whether any is left."""
        left = False
        for by_origin in self._servers.values():
            entry = by_origin.get(origin)
            if entry is None:
                continue
            if any(other is not entry and dominates(other.fact, entry.fact) for other in by_origin.values()):
                del by_origin[origin]
                self._drop(entry)
            else:
                left = True
        return left
