"""Directory of the owners of shards, as a gateway knows them, and the search for an unknown owner."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from emberring.configuration.model import Configuration
from emberring.distribution.records import NodeRecord, NodeRole
from emberring.placement.model import Placement, sort_by_preference


class TierKnowledge(Protocol):
    """State of the tier that the directory reads; `distribution.follower.Follower` implements it."""

    @property
    def configuration(self) -> Configuration | None:
        """The newest known configuration; None until one is received."""

    @property
    def placement(self) -> Placement | None:
        """The newest known placement of shards; None until one is received."""

    @property
    def nodes(self) -> dict[str, NodeRecord]:
        """Live stores and control nodes, by name."""

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call `callback` after each change of this state."""


class OwnerDirectory:
    """Address of the owner of each shard: stored after a reply, removed after a failure."""

    def __init__(self, knowledge: TierKnowledge) -> None:
        self._knowledge = knowledge
        self._owners: dict[int, str] = {}
        self._next_candidate: dict[int, int] = {}

    def address(self, shard: int) -> str | None:
        """Return the address to call next: the owner's, else each replica's in turn; None if no store is known."""
        known = self._owners.get(shard)
        if known is not None:
            return known
        candidates = self._candidates(shard)
        if not candidates:
            return None
        index = self._next_candidate[shard] = self._next_candidate.get(shard, -1) + 1
        return candidates[index % len(candidates)]

    def _candidates(self, shard: int) -> list[str]:
        placement = self._knowledge.placement
        if placement is None:
            return []
        live = {
            node.identity: node.address
            for node in self._knowledge.nodes.values()
            if node.role is NodeRole.STORE
        }
        identities = sort_by_preference(shard, placement.groups[shard].everyone)
        live_addresses = [live[identity] for identity in identities if identity in live]
        return live_addresses or [
            placement.stores[identity].address for identity in identities if identity in placement.stores
        ]

    def confirm(self, shard: int, address: str) -> None:
        """Store the address of a store that replied as the owner."""
        self._owners[shard] = address

    def redirect(self, shard: int, address: str, owner: str) -> None:
        """Handle a reply of a store that is not the owner; `owner` is the owner's address as it knows it, or empty."""
        if owner and owner != address:
            self._owners[shard] = owner
        else:
            self.forget(shard, address)

    def forget(self, shard: int, address: str) -> None:
        """Remove the owner of a shard if it is the store at `address`, which did not reply."""
        if self._owners.get(shard) == address:
            del self._owners[shard]

    def stores(self) -> list[str]:
        """Return the addresses of all live stores."""
        return [
            node.address
            for node in self._knowledge.nodes.values()
            if node.role is NodeRole.STORE and node.identity
        ]
