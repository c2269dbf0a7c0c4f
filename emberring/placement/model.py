"""The placement: which stores hold which shard, as it is kept in the register. Pure data and functions.

A group changes in two steps. `planning.plan` names the next members as `joining`; from then on every quorum is a
majority of both sets. When the shard's owner reports that all records are on the joining set, `finish_move` makes that
set the members. Only `joining` may change in between.
"""

from __future__ import annotations

import functools
import hashlib
from collections.abc import Sequence

import attrs

SHARDS = 16  # number of shards; `shard_of` depends on it


@attrs.frozen
class StoreMember:
    """A store. `identity` is created with its disk; `address` is `ip:port` for messages between nodes."""

    identity: str
    name: str
    address: str
    zone: str = ""


@attrs.frozen
class Group:
    """The replicas of a shard, by the identities of their stores.

    While `joining` is not empty, every quorum is a majority of `members` and of `joining`. `epoch` rises with each
    change.
    """

    shard: int
    epoch: int
    members: tuple[str, ...]
    joining: tuple[str, ...] = ()

    @property
    def everyone(self) -> tuple[str, ...]:
        """All identities of `members` and `joining`, each once."""
        return self.members + tuple(identity for identity in self.joining if identity not in self.members)


@attrs.frozen
class Placement:
    """The stores by identity and the group of each shard.

    `epoch` rises with each change. `retiring` and `retired` hold names of stores whose shards are being, or have been,
    moved to others.
    """

    epoch: int
    stores: dict[str, StoreMember]
    groups: tuple[Group, ...]
    retiring: tuple[str, ...] = ()
    retired: tuple[str, ...] = ()


def shard_of(host: str) -> int:
    """The shard of all batch jobs with this `Host`."""
    digest = hashlib.blake2b(host.lower().encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") % SHARDS


@functools.lru_cache(maxsize=1024)
def score(shard: int, identity: str) -> int:
    """The rendezvous-hashing score of a store for a shard; the highest is preferred."""
    digest = hashlib.blake2b(f"{shard}/{identity}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def in_order(shard: int, identities: Sequence[str]) -> list[str]:
    """These identities in the order in which they are preferred as owners of a shard."""
    return sorted(identities, key=lambda identity: -score(shard, identity))


def quorum(members: Sequence[str]) -> int:
    """The number of members that is a majority."""
    return len(members) // 2 + 1


def finish_move(placement: Placement, shard: int, epoch: int) -> Placement:
    """The placement once all records of a shard are on its joining set; unchanged where its epoch is another one."""
    group = placement.groups[shard]
    if group.epoch != epoch or not group.joining:
        return placement
    moved_group = Group(shard, group.epoch + 1, group.joining)
    groups = (*placement.groups[:shard], moved_group, *placement.groups[shard + 1 :])
    return attrs.evolve(placement, epoch=placement.epoch + 1, groups=groups)
