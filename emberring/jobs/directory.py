"""Which store owns a shard, as far as a gateway has been told; and the search for it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from emberring.configuration.model import Configuration
from emberring.distribution.records import NodeRecord, NodeRole
from emberring.placement.model import Placement, in_order


class TierKnowledge(Protocol):
    """What is read of the tier; a follower has it."""

    @property
    def configuration(self) -> Configuration | None:
        """The newest configuration."""

    @property
    def placement(self) -> Placement | None:
        """Which stores keep which shard."""

    @property
    def nodes(self) -> dict[str, NodeRecord]:
        """Live stores and control nodes, by name."""

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call this after a change."""


class OwnerDirectory:
    """The owner's address of each shard, learned from answers and forgotten after failures."""

    def __init__(self, knowledge: TierKnowledge) -> None:
        self._knowledge = knowledge
        self._owners: dict[int, str] = {}
        self._turns: dict[int, int] = {}

    def address(self, shard: int) -> str | None:
        """Whom to ask next: the owner, or the members of the group in turn; None where no store is known."""
        known = self._owners.get(shard)
        if known is not None:
            return known
        candidates = self._candidates(shard)
        if not candidates:
            return None
        turn = self._turns[shard] = self._turns.get(shard, -1) + 1
        return candidates[turn % len(candidates)]

    def _candidates(self, shard: int) -> list[str]:
        placement = self._knowledge.placement
        if placement is None:
            return []
        live = {
            fact.identity: fact.address
            for fact in self._knowledge.nodes.values()
            if fact.role is NodeRole.STORE
        }
        members = in_order(shard, placement.groups[shard].everyone)
        found = [live[identity] for identity in members if identity in live]
        return found or [
            placement.stores[identity].address for identity in members if identity in placement.stores
        ]

    def confirm(self, shard: int, address: str) -> None:
        """This store answered as the owner."""
        self._owners[shard] = address

    def redirect(self, shard: int, asked: str, told: str) -> None:
        """The store that was asked is not the owner; it told who may be, or nothing."""
        if told and told != asked:
            self._owners[shard] = told
        else:
            self.forget(shard, asked)

    def forget(self, shard: int, address: str) -> None:
        """This store did not answer."""
        if self._owners.get(shard) == address:
            del self._owners[shard]

    def stores(self) -> list[str]:
        """The addresses of all live stores."""
        return [
            fact.address
            for fact in self._knowledge.nodes.values()
            if fact.role is NodeRole.STORE and fact.identity
        ]
