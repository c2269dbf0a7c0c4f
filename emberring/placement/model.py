"""Which stores keep which shard: the table in the register, and what follows from it. Pure data and functions.

A group changes in two steps. `planning.plan` names the next members as `joining`; from then on every quorum is one of
both sets. When the shard's owner reports that all records stand on the joining set, `finish_move` makes that set the
members. Only `joining` may be changed in between.
"""

from __future__ import annotations

import functools
import hashlib
from collections.abc import Sequence

import attrs

SHARDS = 16


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


def finish_move(placement: Placement, shard: int, epoch: int) -> Placement:
    """The table after all records of a shard stand on its joining set; unchanged where that is not the epoch."""
    group = placement.groups[shard]
    if group.epoch != epoch or not group.joining:
        return placement
    moved = Group(shard, group.epoch + 1, group.joining)
    groups = (*placement.groups[:shard], moved, *placement.groups[shard + 1 :])
    return attrs.evolve(placement, epoch=placement.epoch + 1, groups=groups)
