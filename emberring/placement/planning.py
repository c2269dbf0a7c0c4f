"""Plans the stores of each shard: members that are lost, leaving or retiring are replaced.

Pure functions that compute a new placement from the current one.
"""

from __future__ import annotations

from collections.abc import Sequence

import attrs

from emberring.distribution.records import NodeRecord, NodeRole
from emberring.placement.model import SHARDS, Group, Placement, StoreMember, sort_by_preference

# Delay of the first placement after enough stores are live, because more stores may start in this time.
FIRST_PLACEMENT_DELAY_S = 0.4
# After this time the first placement is made even with too few stores.
FIRST_PLACEMENT_TIMEOUT_S = 8.0
# A member that is absent for this long is replaced if a new store is available.
MAX_ABSENCE_WITH_NEW_STORE_S = 1.0
# A member that is absent for this long is replaced by any available store.
MAX_ABSENCE_S = 4.0
# A store counts as new for this time after it was first seen.
NEW_STORE_S = 10.0


@attrs.define
class PlanMemory:
    """When one control node first and last saw each store as live, by identity (seconds of its clock).

    `started_s` is the time of the first plan, `enough_since_s` when enough stores for the first placement were live.
    """

    first_seen: dict[str, float] = attrs.field(factory=dict)
    last_seen: dict[str, float] = attrs.field(factory=dict)
    started_s: float | None = None
    enough_since_s: float | None = None

    def observe(self, now_s: float, live: Sequence[NodeRecord], placement: Placement | None) -> None:
        """Record the live stores. A placed store that was never live counts as last seen at the first call with it."""
        if self.started_s is None:
            self.started_s = now_s
        for node in live:
            self.first_seen.setdefault(node.identity, now_s)
            self.last_seen[node.identity] = now_s
        for identity in placement.stores if placement else ():
            self.last_seen.setdefault(identity, now_s)

    def absence_s(self, identity: str, now_s: float) -> float:
        """Return for how many seconds this store has not been live."""
        return now_s - self.last_seen.get(identity, now_s)

    def is_new(self, identity: str, now_s: float) -> bool:
        """Return whether this store was first seen within the last `NEW_STORE_S` and after the first plan."""
        first = self.first_seen.get(identity, now_s)
        return now_s - first <= NEW_STORE_S and first > (self.started_s or 0.0)


def plan(
    current: Placement | None, live: Sequence[NodeRecord], now_s: float, tolerance: int, memory: PlanMemory
) -> Placement | None:
    """Return the next placement: `current` itself if nothing changes, None if no first placement is possible yet.

    `live` are the live nodes, `tolerance` is how many stores may be lost at the same time.
    """
    stores = [node for node in live if node.role is NodeRole.STORE and node.identity]
    memory.observe(now_s, stores, current)
    replica_count = 2 * tolerance + 1
    if current is None:
        return _first_placement(stores, now_s, replica_count, memory)
    updated = _PlacementUpdate(current, stores, now_s, replica_count, memory).apply()
    return current if attrs.evolve(updated, epoch=current.epoch) == current else updated


def _first_placement(
    stores: Sequence[NodeRecord], now_s: float, replica_count: int, memory: PlanMemory
) -> Placement | None:
    if len(stores) >= replica_count and memory.enough_since_s is None:
        memory.enough_since_s = now_s
    delay_over = (
        memory.enough_since_s is not None and now_s - memory.enough_since_s >= FIRST_PLACEMENT_DELAY_S
    )
    timed_out = memory.started_s is not None and now_s - memory.started_s >= FIRST_PLACEMENT_TIMEOUT_S
    ready = delay_over and len(stores) >= replica_count
    if not stores or not (ready or timed_out):
        return None
    members = {node.identity: _member(node) for node in stores}
    groups = tuple(
        Group(shard, 1, _choose_replicas(shard, members, replica_count)) for shard in range(SHARDS)
    )
    return Placement(1, members, groups)


def _member(node: NodeRecord) -> StoreMember:
    return StoreMember(node.identity, node.name, node.address, node.zone)


def _choose_replicas(shard: int, stores: dict[str, StoreMember], replica_count: int) -> tuple[str, ...]:
    """Return the preferred stores of a shard, from as many different zones as possible."""
    chosen: list[str] = []
    candidates = sort_by_preference(shard, list(stores))
    while candidates and len(chosen) < replica_count:
        zones = {stores[identity].zone for identity in chosen}
        best = next(
            (identity for identity in candidates if stores[identity].zone not in zones), candidates[0]
        )
        candidates.remove(best)
        chosen.append(best)
    return tuple(chosen)


class _PlacementUpdate:
    """Computes the next placement: members that are lost, leaving or retiring are replaced."""

    def __init__(
        self,
        current: Placement,
        live: Sequence[NodeRecord],
        now_s: float,
        replica_count: int,
        memory: PlanMemory,
    ) -> None:
        self.current = current
        self.live = {node.identity: node for node in live}
        self.now_s = now_s
        self.replica_count = replica_count
        self.memory = memory
        self.retired = self._still_retired()
        self.usable = {
            node.identity: _member(node)
            for node in live
            if not node.leaving and node.name not in current.retiring and node.name not in self.retired
        }
        self.known_stores = {**current.stores, **{node.identity: _member(node) for node in live}}
        self.successors = self._find_successors()

    def _still_retired(self) -> tuple[str, ...]:
        """Return the retired names, except those that are live with a new disk and are ordinary stores again."""
        returned = {node.name for node in self.live.values() if node.identity not in self.current.stores}
        return tuple(name for name in self.current.retired if name not in returned)

    def _find_successors(self) -> dict[str, str]:
        """Return the successors of lost disks by identity: live stores with the same name or address."""
        successors: dict[str, str] = {}
        for identity, member in self.current.stores.items():
            if identity in self.live:
                continue
            for node in self.live.values():
                if node.name == member.name or node.address == member.address:
                    successors[identity] = node.identity
        return successors

    def apply(self) -> Placement:
        """Return the next placement."""
        groups = tuple(self._update_group(group) for group in self.current.groups)
        in_use = {identity for group in groups for identity in group.everyone}
        names_in_use = {self.known_stores[identity].name for identity in in_use}
        newly_retired = tuple(name for name in self.current.retiring if name not in names_in_use)
        retiring = tuple(name for name in self.current.retiring if name not in newly_retired)
        retired = self.retired + tuple(name for name in newly_retired if name not in self.retired)
        stores = {
            identity: member
            for identity, member in self.known_stores.items()
            if identity in self.live or identity in in_use or member.name in retired
        }
        return attrs.evolve(
            self.current,
            epoch=self.current.epoch + 1,
            stores=stores,
            groups=groups,
            retiring=retiring,
            retired=retired,
        )

    def _update_group(self, group: Group) -> Group:
        target = self._target_replicas(group)
        if target == set(group.joining or group.members):
            return group
        joining = () if target == set(group.members) else tuple(sort_by_preference(group.shard, list(target)))
        return attrs.evolve(group, epoch=group.epoch + 1, joining=joining)

    def _target_replicas(self, group: Group) -> set[str]:
        """Return the stores that should have this shard.

        They are chosen in this order: members that may stay, successors, joining stores, spare stores.
        """
        target = [identity for identity in group.members if not self._must_be_replaced(identity, group)]
        self._add_usable(target, [self.successors.get(identity) for identity in group.members])
        self._add_usable(target, group.joining)
        while (
            len(target) < self.replica_count and (spare := self._find_spare(group.shard, target)) is not None
        ):
            target.append(spare)
        # With too few stores a lost member stays: it may return, and removing it would leave one replica fewer.
        for identity in group.members:
            if len(target) < min(self.replica_count, len(group.members)) and identity not in target:
                target.append(identity)
        return set(target)

    def _add_usable(self, target: list[str], candidates: Sequence[str | None]) -> None:
        for identity in candidates:
            if identity in self.usable and identity not in target and len(target) < self.replica_count:
                target.append(identity)

    def _must_be_replaced(self, identity: str, group: Group) -> bool:
        member = self.known_stores[identity]
        if member.name in self.current.retiring or identity in self.successors:
            return True
        absence_s = self.memory.absence_s(identity, self.now_s)
        if absence_s >= MAX_ABSENCE_S:
            return True
        new_store_available = any(
            self.memory.is_new(other, self.now_s) and other not in group.members for other in self.usable
        )
        return new_store_available and absence_s >= MAX_ABSENCE_WITH_NEW_STORE_S

    def _find_spare(self, shard: int, target: Sequence[str]) -> str | None:
        zones = {self.known_stores[identity].zone for identity in target}
        spares = sort_by_preference(shard, [identity for identity in self.usable if identity not in target])
        in_other_zones = [identity for identity in spares if self.usable[identity].zone not in zones]
        return next(iter(in_other_zones or spares), None)
