"""The placement: which stores have replicas of which shard. It is stored in the register. Pure data and functions.

The replicas of a shard change in two steps. First, `planning.plan` sets `joining` to the next members; from then on,
each quorum needs a majority of `members` and a majority of `joining`. When the shard's owner reports that all records
are on the joining stores, `finish_move` makes them the members. Only `joining` may change in between.
"""

from __future__ import annotations

import functools
import hashlib
from collections.abc import Sequence

import attrs

SHARDS = 16  # number of shards; `shard_of` depends on it


@attrs.frozen
class StoreMember:
    """A store. `identity` is created with its disk; `address` is the `ip:port` for messages between nodes."""

    identity: str
    name: str
    address: str
    zone: str = ""


@attrs.frozen
class Group:
    """The replicas of a shard, by the identities of their stores.

    While `joining` is not empty, each quorum needs a majority of `members` and a majority of `joining`. `epoch`
    increases with each change.
    """

    shard: int
    epoch: int
    members: tuple[str, ...]
    joining: tuple[str, ...] = ()

    @property
    def everyone(self) -> tuple[str, ...]:
        """The identities of `members` and `joining`, without duplicates."""
        return self.members + tuple(identity for identity in self.joining if identity not in self.members)


@attrs.frozen
class Placement:
    """The stores by identity and the group of each shard.

    `epoch` increases with each change. `retiring` and `retired` are names of stores whose shards are being moved, or
    have been moved, to other stores.
    """

    epoch: int
    stores: dict[str, StoreMember]
    groups: tuple[Group, ...]
    retiring: tuple[str, ...] = ()
    retired: tuple[str, ...] = ()


def shard_of(host: str) -> int:
    """Return the shard of the batch jobs with this `Host`."""
    digest = hashlib.blake2b(host.lower().encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") % SHARDS


@functools.lru_cache(maxsize=1024)
def score(shard: int, identity: str) -> int:
    """Return the rendezvous-hashing score of a store for a shard; the store with the highest score is preferred."""
    digest = hashlib.blake2b(f"{shard}/{identity}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def sort_by_preference(shard: int, identities: Sequence[str]) -> list[str]:
    """Return the identities sorted by preference as owner of a shard, the most preferred first."""
    return sorted(identities, key=lambda identity: -score(shard, identity))


def quorum(members: Sequence[str]) -> int:
    """Return the size of a majority of the members."""
    return len(members) // 2 + 1


def finish_move(placement: Placement, shard: int, epoch: int) -> Placement:
    """Return the placement with the joining stores of a shard as its members.

    Called when all records are on the joining stores. The placement is unchanged if the epoch of the group differs.
    """
    group = placement.groups[shard]
    if group.epoch != epoch or not group.joining:
        return placement
    moved_group = Group(shard, group.epoch + 1, group.joining)
    groups = (*placement.groups[:shard], moved_group, *placement.groups[shard + 1 :])
    return attrs.evolve(placement, epoch=placement.epoch + 1, groups=groups)
