"""Which stores keep which shard: the table in the register, and the changes that control nodes make to it.

All functions are pure: they take a table and give another. A group changes in two steps. `plan` names the next
members as `joining`; from then on every quorum is one of both sets. When the shard's owner reports that all records
stand on the joining set, `finish_move` makes that set the members. Only `joining` may be changed in between.
"""

from __future__ import annotations

import functools
import hashlib
from collections.abc import Sequence

import attrs

from emberring.distribution.facts import NodeFact, NodeRole
from emberring.errors import ConflictError, NotFoundError

SHARDS = 16
SETTLE_S = 0.4  # after enough stores are known, before the first table is made
FIRST_TABLE_WAIT_S = 8.0  # after which a first table is made of fewer stores than wanted
FRESH_ABSENCE_S = 1.0  # a member absent for so long gives way to a store that has just come
ABSENCE_S = 4.0  # a member absent for so long gives way to any other store
FRESH_S = 10.0  # a store is new for so long


@attrs.frozen
class StoreMember:
    """A store by the identity that was born with its disk."""

    identity: str
    name: str
    address: str
    zone: str = ""


@attrs.frozen
class Group:
    """The replicas of a shard, by identity. While `joining` is not empty, every quorum is one of `members`
    and one of `joining` too; the epoch rises with each change."""

    shard: int
    epoch: int
    members: tuple[str, ...]
    joining: tuple[str, ...] = ()

    @property
    def everyone(self) -> tuple[str, ...]:
        """All who take part, each once."""
        return self.members + tuple(identity for identity in self.joining if identity not in self.members)


@attrs.frozen
class Placement:
    """The whole table. `retiring` and `retired` hold names of stores that are being, or have been, emptied."""

    epoch: int
    stores: dict[str, StoreMember]
    groups: tuple[Group, ...]
    retiring: tuple[str, ...] = ()
    retired: tuple[str, ...] = ()


@attrs.define
class PlanMemory:
    """What one control node remembers of the stores between plans: when each identity was first and last live."""

    first_seen: dict[str, float] = attrs.field(factory=dict)
    last_seen: dict[str, float] = attrs.field(factory=dict)
    began_s: float | None = None
    enough_since_s: float | None = None

    def observe(self, now_s: float, live: Sequence[NodeFact], placement: Placement | None) -> None:
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


def shard_of(host: str) -> int:
    """The shard of all lots under this `Host`."""
    digest = hashlib.blake2b(host.lower().encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") % SHARDS


@functools.lru_cache(maxsize=1024)
def score(shard: int, identity: str) -> int:
    """The rendezvous score of a store for a shard; the highest comes first."""
    digest = hashlib.blake2b(f"{shard}/{identity}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def in_order(shard: int, identities: Sequence[str]) -> list[str]:
    """These identities in the order in which they take over a shard."""
    return sorted(identities, key=lambda identity: -score(shard, identity))


def quorum(members: Sequence[str]) -> int:
    """How many of these are a majority."""
    return len(members) // 2 + 1


def plan(
    current: Placement | None, live: Sequence[NodeFact], now_s: float, tolerance: int, memory: PlanMemory
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


def _first(stores: Sequence[NodeFact], now_s: float, wanted: int, memory: PlanMemory) -> Placement | None:
    if len(stores) >= wanted and memory.enough_since_s is None:
        memory.enough_since_s = now_s
    settled = memory.enough_since_s is not None and now_s - memory.enough_since_s >= SETTLE_S
    waited = memory.began_s is not None and now_s - memory.began_s >= FIRST_TABLE_WAIT_S
    if not stores or not ((settled and len(stores) >= wanted) or waited):
        return None
    members = {fact.identity: _member(fact) for fact in stores}
    groups = tuple(Group(shard, 1, _choose(shard, members, wanted)) for shard in range(SHARDS))
    return Placement(1, members, groups)


def _member(fact: NodeFact) -> StoreMember:
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
        live: Sequence[NodeFact],
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


def begin_retire(
    placement: Placement | None, name: str, live: Sequence[NodeFact], tolerance: int = 1
) -> Placement:
    """The table in which this store is being emptied; `NotFoundError` where no store has this name,
    `ConflictError` where too few stores would remain. Asked again, it changes nothing."""
    if placement is None:
        raise NotFoundError(f"no store named {name} is known yet")
    if name in placement.retiring or name in placement.retired:
        return placement
    staying = {
        fact.name
        for fact in live
        if fact.role is NodeRole.STORE and fact.identity and fact.name not in placement.retiring
    }
    known = {member.name for member in placement.stores.values()} | staying
    if name not in known:
        raise NotFoundError(f"no store named {name}")
    if len(staying - {name}) < 2 * tolerance + 1:
        raise ConflictError(f"too few stores would remain without {name}")
    return attrs.evolve(placement, epoch=placement.epoch + 1, retiring=(*placement.retiring, name))


def retire_state(placement: Placement | None, name: str) -> str:
    """`active` or `completed`; `NotFoundError` where the store was never asked to be emptied."""
    if placement is not None and name in placement.retired:
        return "completed"
    if placement is not None and name in placement.retiring:
        return "active"
    raise NotFoundError(f"{name} is not being emptied")


def finish_move(placement: Placement, shard: int, epoch: int) -> Placement:
    """The table after all records of a shard stand on its joining set; unchanged where that is not the epoch."""
    group = placement.groups[shard]
    if group.epoch != epoch or not group.joining:
        return placement
    moved = Group(shard, group.epoch + 1, group.joining)
    groups = (*placement.groups[:shard], moved, *placement.groups[shard + 1 :])
    return attrs.evolve(placement, epoch=placement.epoch + 1, groups=groups)
