"""A gateway's knowledge of the stores that own the shards, and the search for an owner."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from emberring.configuration.model import Configuration
from emberring.distribution.records import NodeRecord, NodeRole
from emberring.placement.model import Placement, in_order


class TierKnowledge(Protocol):
    """The state of the tier that is read here; `distribution.follower.Follower` provides it."""

    @property
    def configuration(self) -> Configuration | None:
        """The newest configuration known; None before the first."""

    @property
    def placement(self) -> Placement | None:
        """The newest placement of shards known; None before the first."""

    @property
    def nodes(self) -> dict[str, NodeRecord]:
        """Live stores and control nodes, by name."""

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call `callback` after each change."""


class OwnerDirectory:
    """The owner's address of each shard, learned from replies and dropped after failures."""

    def __init__(self, knowledge: TierKnowledge) -> None:
        self._knowledge = knowledge
        self._owners: dict[int, str] = {}
        self._next_candidate: dict[int, int] = {}

    def address(self, shard: int) -> str | None:
        """Return whom to ask next: the owner, else the group's members in turn; None where no store is known."""
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
        identities = in_order(shard, placement.groups[shard].everyone)
        found = [live[identity] for identity in identities if identity in live]
        return found or [
            placement.stores[identity].address for identity in identities if identity in placement.stores
        ]

    def confirm(self, shard: int, address: str) -> None:
        """Note that this store answered as the owner."""
        self._owners[shard] = address

    def redirect(self, shard: int, address: str, owner: str) -> None:
        """Note that the store at `address` is not the owner; `owner` is what it knows of the owner's address."""
        if owner and owner != address:
            self._owners[shard] = owner
        else:
            self.forget(shard, address)

    def forget(self, shard: int, address: str) -> None:
        """Note that this store did not answer."""
        if self._owners.get(shard) == address:
            del self._owners[shard]

    def stores(self) -> list[str]:
        """Return the addresses of all live stores."""
        return [
            node.address
            for node in self._knowledge.nodes.values()
            if node.role is NodeRole.STORE and node.identity
        ]
