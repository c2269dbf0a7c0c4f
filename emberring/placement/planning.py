"""What the table of shards should be, given the stores that live: members that are lost or leave get successors.

Pure functions: they take a table and give another.
"""

from __future__ import annotations

from collections.abc import Sequence

import attrs

from emberring.distribution.records import NodeRecord, NodeRole
from emberring.placement.model import SHARDS, Group, Placement, StoreMember, in_order

SETTLE_S = 0.4  # after enough stores are known, before the first table is made
FIRST_TABLE_WAIT_S = 8.0  # after which a first table is made of fewer stores than wanted
FRESH_ABSENCE_S = 1.0  # a member absent for so long gives way to a store that has just come
ABSENCE_S = 4.0  # a member absent for so long gives way to any other store
FRESH_S = 10.0  # a store is new for so long


@attrs.define
class PlanMemory:
    """What one control node remembers of the stores between plans: when each identity was first and last live."""

    first_seen: dict[str, float] = attrs.field(factory=dict)
    last_seen: dict[str, float] = attrs.field(factory=dict)
    began_s: float | None = None
    enough_since_s: float | None = None

    def observe(self, now_s: float, live: Sequence[NodeRecord], placement: Placement | None) -> None:
        """Note who is live now. A member never seen counts as last seen when this memory began."""
        if self.began_s is None:
            self.began_s = now_s
        for fact in live:
            self.first_seen.setdefault(fact.identity, now_s)
            self.last_seen[fact.identity] = now_s
        for identity in placement.stores if placement else ():
            self.last_seen.setdefault(identity, now_s)

    def absence_s(self, identity: str, now_s: float) -> float:
        """For how long this identity has not been live."""
        return now_s - self.last_seen.get(identity, now_s)

    def is_fresh(self, identity: str, now_s: float) -> bool:
        """Whether this store has come a short while ago, and after this memory began."""
        first = self.first_seen.get(identity, now_s)
        return now_s - first <= FRESH_S and first > (self.began_s or 0.0)


def plan(
    current: Placement | None, live: Sequence[NodeRecord], now_s: float, tolerance: int, memory: PlanMemory
) -> Placement | None:
    """The table that should hold now: `current` itself where nothing changes, None while there can be none yet.

    `live` are the nodes heard of lately, `tolerance` how many stores may be lost at once.
    """
    stores = [fact for fact in live if fact.role is NodeRole.STORE and fact.identity]
    memory.observe(now_s, stores, current)
    wanted = 2 * tolerance + 1
    if current is None:
        return _first(stores, now_s, wanted, memory)
    changed = _Change(current, stores, now_s, wanted, memory).apply()
    return current if attrs.evolve(changed, epoch=current.epoch) == current else changed


def _first(stores: Sequence[NodeRecord], now_s: float, wanted: int, memory: PlanMemory) -> Placement | None:
    if len(stores) >= wanted and memory.enough_since_s is None:
        memory.enough_since_s = now_s
    settled = memory.enough_since_s is not None and now_s - memory.enough_since_s >= SETTLE_S
    waited = memory.began_s is not None and now_s - memory.began_s >= FIRST_TABLE_WAIT_S
    if not stores or not ((settled and len(stores) >= wanted) or waited):
        return None
    members = {fact.identity: _member(fact) for fact in stores}
    groups = tuple(Group(shard, 1, _choose(shard, members, wanted)) for shard in range(SHARDS))
    return Placement(1, members, groups)


def _member(fact: NodeRecord) -> StoreMember:
    return StoreMember(fact.identity, fact.name, fact.address, fact.zone)


def _choose(shard: int, stores: dict[str, StoreMember], wanted: int) -> tuple[str, ...]:
    """The best members for a shard, in as many zones as there are."""
    chosen: list[str] = []
    left = in_order(shard, list(stores))
    while left and len(chosen) < wanted:
        zones = {stores[identity].zone for identity in chosen}
        best = next((identity for identity in left if stores[identity].zone not in zones), left[0])
        left.remove(best)
        chosen.append(best)
    return tuple(chosen)


class _Change:
    """One pass over a table: members that are lost or leave get successors."""

    def __init__(
        self,
        current: Placement,
        live: Sequence[NodeRecord],
        now_s: float,
        wanted: int,
        memory: PlanMemory,
    ) -> None:
        self.current = current
        self.live = {fact.identity: fact for fact in live}
        self.now_s = now_s
        self.wanted = wanted
        self.memory = memory
        self.retired = self._still_retired()
        self.usable = {
            fact.identity: _member(fact)
            for fact in live
            if not fact.leaving and fact.name not in current.retiring and fact.name not in self.retired
        }
        known = {**current.stores, **{fact.identity: _member(fact) for fact in live}}
        self.known = known
        self.succeeded = self._find_successors()

    def _still_retired(self) -> tuple[str, ...]:
        """A name whose machine came back with another disk is an ordinary store again."""
        back = {fact.name for fact in self.live.values() if fact.identity not in self.current.stores}
        return tuple(name for name in self.current.retired if name not in back)

    def _find_successors(self) -> dict[str, str]:
        """Identities whose disk is gone: another one is live under their name or address."""
        found: dict[str, str] = {}
        for identity, member in self.current.stores.items():
            if identity in self.live:
                continue
            for fact in self.live.values():
                if fact.name == member.name or fact.address == member.address:
                    found[identity] = fact.identity
        return found

    def apply(self) -> Placement:
        groups = tuple(self._group(group) for group in self.current.groups)
        busy = {identity for group in groups for identity in group.everyone}
        busy_names = {self.known[identity].name for identity in busy}
        emptied = tuple(name for name in self.current.retiring if name not in busy_names)
        retiring = tuple(name for name in self.current.retiring if name not in emptied)
        retired = self.retired + tuple(name for name in emptied if name not in self.retired)
        kept = {
            identity: member
            for identity, member in self.known.items()
            if identity in self.live or identity in busy or member.name in retired
        }
        return attrs.evolve(
            self.current,
            epoch=self.current.epoch + 1,
            stores=kept,
            groups=groups,
            retiring=retiring,
            retired=retired,
        )

    def _group(self, group: Group) -> Group:
        target = self._target(group)
        if target == set(group.joining or group.members):
            return group
        joining = () if target == set(group.members) else tuple(in_order(group.shard, list(target)))
        return attrs.evolve(group, epoch=group.epoch + 1, joining=joining)

    def _target(self, group: Group) -> set[str]:
        """Who should keep this shard: the members that need not go, then those already joining, then others."""
        target = [identity for identity in group.members if not self._must_go(identity, group)]
        for identity in group.members:
            heir = self.succeeded.get(identity)
            if heir in self.usable and heir not in target and len(target) < self.wanted:
                target.append(heir)
        for identity in group.joining:
            if identity in self.usable and identity not in target and len(target) < self.wanted:
                target.append(identity)
        while len(target) < self.wanted and (spare := self._spare(group.shard, target)) is not None:
            target.append(spare)
        for identity in group.members:  # better one that may come back than one fewer
            if len(target) < min(self.wanted, len(group.members)) and identity not in target:
                target.append(identity)
        return set(target)

    def _must_go(self, identity: str, group: Group) -> bool:
        member = self.known[identity]
        if member.name in self.current.retiring or identity in self.succeeded:
            return True
        absence_s = self.memory.absence_s(identity, self.now_s)
        if absence_s >= ABSENCE_S:
            return True
        fresh = any(
            self.memory.is_fresh(other, self.now_s) and other not in group.members for other in self.usable
        )
        return fresh and absence_s >= FRESH_ABSENCE_S

    def _spare(self, shard: int, target: Sequence[str]) -> str | None:
        zones = {self.known[identity].zone for identity in target}
        spares = in_order(shard, [identity for identity in self.usable if identity not in target])
        elsewhere = [identity for identity in spares if self.usable[identity].zone not in zones]
        return next(iter(elsewhere or spares), None)
