"""Retirement of stores: their shards are moved to other stores, so that the machines can be removed. Pure functions."""

from __future__ import annotations

from collections.abc import Sequence

import attrs

from emberring.distribution.records import NodeRecord, NodeRole
from emberring.errors import ConflictError, NotFoundError
from emberring.placement.model import Placement


def begin_retire(
    placement: Placement | None, name: str, live: Sequence[NodeRecord], tolerance: int = 1
) -> Placement:
    """Return the placement in which this store is retiring; `placement` itself if it already is retiring or retired.

    `tolerance` is how many stores may be lost at the same time.

    Raises:
        NotFoundError: no store has this name.
        ConflictError: too few stores would remain.
    """
    if placement is None:
        raise NotFoundError(f"no store named {name} is known yet")
    if name in placement.retiring or name in placement.retired:
        return placement
    remaining_names = {
        node.name
        for node in live
        if node.role is NodeRole.STORE and node.identity and node.name not in placement.retiring
    }
    known_names = {member.name for member in placement.stores.values()} | remaining_names
    if name not in known_names:
        raise NotFoundError(f"no store named {name}")
    if len(remaining_names - {name}) < 2 * tolerance + 1:
        raise ConflictError(f"too few stores would remain without {name}")
    return attrs.evolve(placement, epoch=placement.epoch + 1, retiring=(*placement.retiring, name))


def retire_state(placement: Placement | None, name: str) -> str:
    """Return `active` if the store is retiring, `completed` if it is retired.

    Raises:
        NotFoundError: the store is neither retiring nor retired.
    """
    if placement is not None and name in placement.retired:
        return "completed"
    if placement is not None and name in placement.retiring:
        return "active"
    raise NotFoundError(f"{name} is not being emptied")
