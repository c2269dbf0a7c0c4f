"""Peer sampling: a partial view of the nodes, shuffled with one peer at a time (after Cyclon). No sockets.

A view holds a few descriptors with their ages. A shuffle sends some of them, and its own at age 0, to the peer of
the oldest descriptor; the peer answers with some of its own, and both keep the younger of what they know. Control
nodes have a part of the view to themselves, so that a node always knows several, whatever the share they make up.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

import attrs

from emberring.distribution.records import NodeRecord, NodeRole

VIEW_SIZE = 12  # nodes that are no control nodes
CONTROL_VIEW_SIZE = 6
SHUFFLE_LENGTH = 6  # descriptors in a shuffle, the sender's own among them
FORGET_AGE_S = 60.0  # a descriptor that nobody has renewed for so long is dropped


@attrs.frozen
class Descriptor:
    """A node's record, and how long ago (s) the node itself sent it."""

    node: NodeRecord
    age_s: float


@attrs.frozen
class ShuffleCall:
    """A shuffle to send: the address and the descriptors."""

    address: str
    descriptors: tuple[Descriptor, ...]


@attrs.define
class _Entry:
    node: NodeRecord
    renewed_s: float


class PartialView:
    """The partial view of one node. Times are seconds of the monotonic clock; `seed` is that of the random choices."""

    def __init__(self, me: NodeRecord, seed: int) -> None:
        self.me = me
        self._random = random.Random(seed)
        self._entries: dict[str, _Entry] = {}

    def controls(self) -> list[NodeRecord]:
        """The control nodes known, the most recently seen first."""
        known = [entry for entry in self._entries.values() if entry.node.role is NodeRole.CONTROL]
        known.sort(key=lambda entry: -entry.renewed_s)
        return [entry.node for entry in known]

    def nodes(self) -> list[NodeRecord]:
        """All nodes in the view."""
        return [entry.node for entry in self._entries.values()]

    def note(self, now_s: float, node: NodeRecord) -> None:
        """A node was seen directly."""
        self._merge(now_s, (Descriptor(node, 0.0),))

    def next_shuffle(self, now_s: float) -> ShuffleCall | None:
        """The shuffle to send now; None while no other node is known."""
        self._forget(now_s)
        if not self._entries:
            return None
        oldest = min(self._entries.values(), key=lambda entry: entry.renewed_s)
        return ShuffleCall(oldest.node.address, self._sample(now_s, oldest.node.name))

    def on_shuffle(
        self, now_s: float, sender: str, descriptors: Iterable[Descriptor]
    ) -> tuple[Descriptor, ...]:
        """A peer's shuffle arrived; the descriptors to reply with."""
        answer = self._sample(now_s, sender)
        self._merge(now_s, descriptors)
        return answer

    def on_answer(self, now_s: float, address: str, descriptors: Iterable[Descriptor]) -> None:
        """The peer at this address answered a shuffle."""
        for entry in self._entries.values():
            if entry.node.address == address:
                entry.renewed_s = now_s
        self._merge(now_s, descriptors)

    def on_failure(self, address: str) -> None:
        """The peer at this address did not answer: it is removed from the view until others send it."""
        gone = [name for name, entry in self._entries.items() if entry.node.address == address]
        for name in gone:
            del self._entries[name]

    def _sample(self, now_s: float, excluded: str) -> tuple[Descriptor, ...]:
        others = [entry for name, entry in self._entries.items() if name != excluded]
        picked = self._random.sample(others, min(SHUFFLE_LENGTH - 1, len(others)))
        descriptors = [Descriptor(entry.node, max(0.0, now_s - entry.renewed_s)) for entry in picked]
        return (Descriptor(self.me, 0.0), *descriptors)

    def _merge(self, now_s: float, descriptors: Iterable[Descriptor]) -> None:
        for descriptor in descriptors:
            self._merge_one(now_s, descriptor)
        self._trim()

    def _merge_one(self, now_s: float, descriptor: Descriptor) -> None:
        node = descriptor.node
        if node.name == self.me.name or not 0.0 <= descriptor.age_s <= FORGET_AGE_S:
            return
        renewed_s = now_s - descriptor.age_s
        known = self._entries.get(node.name)
        if known is None or renewed_s > known.renewed_s:
            self._entries[node.name] = _Entry(node, renewed_s)

    def _forget(self, now_s: float) -> None:
        old = [name for name, entry in self._entries.items() if now_s - entry.renewed_s > FORGET_AGE_S]
        for name in old:
            del self._entries[name]

    def _trim(self) -> None:
        controls = [name for name, entry in self._entries.items() if entry.node.role is NodeRole.CONTROL]
        others = [name for name, entry in self._entries.items() if entry.node.role is not NodeRole.CONTROL]
        for names, size in ((controls, CONTROL_VIEW_SIZE), (others, VIEW_SIZE)):
            self._random.shuffle(names)
            for name in names[size:]:
                del self._entries[name]
