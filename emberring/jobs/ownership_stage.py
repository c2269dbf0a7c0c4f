"""Stages of a store's ownership of one shard."""

from __future__ import annotations

from enum import Enum


class OwnershipStage(Enum):
    """Progress of a store towards owning a shard.

    `FOLLOWING` -> `CLAIMING` -> `RECOVERING` -> `REPLICATING` -> `SERVING`. Every stage may return to `FOLLOWING`, and
    a higher term or a new group leads from any later stage back to `CLAIMING`.
    """

    FOLLOWING = "following"
    CLAIMING = "claiming"
    RECOVERING = "fetching"
    REPLICATING = "rewriting"
    SERVING = "serving"

    @property
    def has_term(self) -> bool:
        """Whether a quorum has granted the store's claim."""
        return self not in (OwnershipStage.FOLLOWING, OwnershipStage.CLAIMING)

    @property
    def writes_records(self) -> bool:
        """Whether the owner sends records to the replicas."""
        return self in (OwnershipStage.REPLICATING, OwnershipStage.SERVING)
