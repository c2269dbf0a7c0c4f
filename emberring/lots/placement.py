"""Which stores keep which shard: the table in the register, and how it changes."""

from __future__ import annotations

import attrs


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


@attrs.frozen
class Placement:
    """The whole table. `retiring` and `retired` hold names of stores that are being, or have been, emptied."""

    epoch: int
    stores: dict[str, StoreMember]
    groups: tuple[Group, ...]
    retiring: tuple[str, ...] = ()
    retired: tuple[str, ...] = ()
