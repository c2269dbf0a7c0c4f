"""Actions that a shard's owner returns, to be carried out by its store."""

from __future__ import annotations

import attrs

from emberring.jobs.messages import ReplicaRequest
from emberring.jobs.owned import OwnedJob


@attrs.frozen
class SendToReplica:
    """Send a request to the store with the identity `target`; pass its reply back with this `ticket`."""

    ticket: int
    target: str
    message: ReplicaRequest


@attrs.frozen
class SlotCommitted:
    """Report that the value of a slot is durable on a quorum of replicas: it is visible now and never changes."""

    key: str
    slot: int


@attrs.frozen
class OwnershipGained:
    """Report that this store owns the shard; `jobs` are its complete contents, all of them committed."""

    jobs: dict[str, OwnedJob]


@attrs.frozen
class OwnershipLost:
    """Report that this store may no longer answer calls about the shard."""


@attrs.frozen
class MigrationCompleted:
    """Report that the joining replicas of the group with this epoch store all records."""

    epoch: int


OwnerAction = SendToReplica | SlotCommitted | OwnershipGained | OwnershipLost | MigrationCompleted
