"""Peer sampling: a partial view of the nodes, shuffled with one peer at a time as in Cyclon. Sans-I/O.

A view contains a few descriptors with their ages. A shuffle sends a random sample of them, plus the sender's own at
age 0, to the node with the oldest descriptor. That peer replies with a sample of its own, and both keep the younger
descriptor of each node. Control nodes have their own part of the view, so that a node knows several of them even where
they are a small fraction of all nodes.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

import attrs

from emberring.distribution.records import NodeRecord, NodeRole

VIEW_SIZE = 12  # nodes other than control nodes
CONTROL_VIEW_SIZE = 6
SHUFFLE_LENGTH = 6  # descriptors in a shuffle, including the sender's own
MAX_DESCRIPTOR_AGE_S = 60.0  # an older descriptor is removed


@attrs.frozen
class Descriptor:
    """A node's record, and the time in seconds since the node itself sent it."""

    node: NodeRecord
    age_s: float


@attrs.frozen
class ShuffleCall:
    """A shuffle to send: the address of the peer and the descriptors."""

    address: str
    descriptors: tuple[Descriptor, ...]


@attrs.define
class _Entry:
    node: NodeRecord
    renewed_s: float


class PartialView:
    """The partial view of one node. Times are in seconds of the monotonic clock; `seed` is for the random choices."""

    def __init__(self, me: NodeRecord, seed: int) -> None:
        self.me = me
        self._random = random.Random(seed)
        self._entries: dict[str, _Entry] = {}

    def control_nodes(self) -> list[NodeRecord]:
        """Return the control nodes in the view, the most recently seen first."""
        control_nodes = [entry for entry in self._entries.values() if entry.node.role is NodeRole.CONTROL]
        control_nodes.sort(key=lambda entry: -entry.renewed_s)
        return [entry.node for entry in control_nodes]

    def nodes(self) -> list[NodeRecord]:
        """Return all nodes in the view."""
        return [entry.node for entry in self._entries.values()]

    def record_contact(self, now_s: float, node: NodeRecord) -> None:
        """Record a direct contact with a node: its descriptor has age 0."""
        self._merge(now_s, (Descriptor(node, 0.0),))

    def next_shuffle(self, now_s: float) -> ShuffleCall | None:
        """Return the shuffle to send now, or None while no other node is known."""
        self._remove_expired(now_s)
        if not self._entries:
            return None
        oldest = min(self._entries.values(), key=lambda entry: entry.renewed_s)
        return ShuffleCall(oldest.node.address, self._sample(now_s, oldest.node.name))

    def on_shuffle(
        self, now_s: float, sender: str, descriptors: Iterable[Descriptor]
    ) -> tuple[Descriptor, ...]:
        """Merge the descriptors of a peer's shuffle and return those to reply with."""
        reply = self._sample(now_s, sender)
        self._merge(now_s, descriptors)
        return reply

    def on_shuffle_reply(self, now_s: float, address: str, descriptors: Iterable[Descriptor]) -> None:
        """Merge the descriptors of a peer's reply, and renew the peer's own descriptor."""
        for entry in self._entries.values():
            if entry.node.address == address:
                entry.renewed_s = now_s
        self._merge(now_s, descriptors)

    def on_failure(self, address: str) -> None:
        """Remove the peer at this address, which did not reply; it returns to the view if another node sends it."""
        unreachable = [name for name, entry in self._entries.items() if entry.node.address == address]
        for name in unreachable:
            del self._entries[name]

    def _sample(self, now_s: float, excluded: str) -> tuple[Descriptor, ...]:
        others = [entry for name, entry in self._entries.items() if name != excluded]
        sampled = self._random.sample(others, min(SHUFFLE_LENGTH - 1, len(others)))
        descriptors = [Descriptor(entry.node, max(0.0, now_s - entry.renewed_s)) for entry in sampled]
        return (Descriptor(self.me, 0.0), *descriptors)

    def _merge(self, now_s: float, descriptors: Iterable[Descriptor]) -> None:
        for descriptor in descriptors:
            self._merge_one(now_s, descriptor)
        self._trim()

    def _merge_one(self, now_s: float, descriptor: Descriptor) -> None:
        node = descriptor.node
        if node.name == self.me.name or not 0.0 <= descriptor.age_s <= MAX_DESCRIPTOR_AGE_S:
            return
        renewed_s = now_s - descriptor.age_s
        known = self._entries.get(node.name)
        if known is None or renewed_s > known.renewed_s:
            self._entries[node.name] = _Entry(node, renewed_s)

    def _remove_expired(self, now_s: float) -> None:
        expired = [
            name for name, entry in self._entries.items() if now_s - entry.renewed_s > MAX_DESCRIPTOR_AGE_S
        ]
        for name in expired:
            del self._entries[name]

    def _trim(self) -> None:
        controls = [name for name, entry in self._entries.items() if entry.node.role is NodeRole.CONTROL]
        others = [name for name, entry in self._entries.items() if entry.node.role is not NodeRole.CONTROL]
        for names, size in ((controls, CONTROL_VIEW_SIZE), (others, VIEW_SIZE)):
            self._random.shuffle(names)
            for name in names[size:]:
                del self._entries[name]
