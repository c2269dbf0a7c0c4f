"""Actions that a shard's owner asks its store to carry out, and the messages that they carry."""

from __future__ import annotations

import attrs

from emberring.jobs.messages import ReplicaRequest
from emberring.jobs.owned import OwnedJob


@attrs.frozen
class SendToReplica:
    """Send a request to the store with the identity `target`; its reply is returned under `ticket`."""

    ticket: int
    target: str
    message: ReplicaRequest


@attrs.frozen
class SlotCommitted:
    """Report that a slot's value is durable on a quorum of replicas: it may be shown and never changes."""

    key: str
    slot: int


@attrs.frozen
class OwnershipGained:
    """Report that this store owns the shard and that `jobs`, all committed, are its complete contents."""

    jobs: dict[str, OwnedJob]


@attrs.frozen
class OwnershipLost:
    """Report that this store may no longer answer for the shard."""


@attrs.frozen
class MigrationCompleted:
    """Report that the joining replicas of the group with this epoch hold all records."""

    epoch: int


OwnerAction = SendToReplica | SlotCommitted | OwnershipGained | OwnershipLost | MigrationCompleted
