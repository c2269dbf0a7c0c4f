"""Messages between the owner of a shard and its replicas.

Each names the identity (of a disk) that it is meant for; a store with another identity rejects it.
"""

from __future__ import annotations

import attrs

from emberring.jobs.records import NO_TERM, Term
from emberring.transport.messages import Ok, message


@message("lots.claim")
@attrs.frozen
class ClaimOwnership:
    """Claim a shard under this term."""

    shard: int
    target: str
    term: Term


@message("lots.claimed", wire_keys={"lease_active": "held"})
@attrs.frozen
class ClaimOwnershipReply:
    """Answer to a claim.

    `granted`: no lower term is accepted from now on, and `inventory` is all that the replica stores.
    Otherwise `promised` is the highest term seen, and `lease_active` tells that another owner's lease may
    be active.
    """

    granted: bool
    promised: Term = NO_TERM
    lease_active: bool = False
    inventory: bytes = b""


@message("lots.write")
@attrs.frozen
class WriteSlots:
    """Write records (packed) under the owner's term."""

    shard: int
    target: str
    term: Term
    records: bytes


@message("lots.drop")
@attrs.frozen
class DropSlots:
    """Erase slots that have no committed value, or whose batch job is deleted everywhere.

    The packed records have empty values.
    """

    shard: int
    target: str
    term: Term
    records: bytes


@message("lots.written")
@attrs.frozen
class WriteSlotsReply:
    """Answer to a write.

    `written`: everything is durable on this replica's disk. Otherwise `promised` is the term that forbids it.
    """

    written: bool
    promised: Term = NO_TERM


@attrs.frozen
class ShardLease:
    """A shard and the term under which the sender owns it."""

    shard: int
    term: Term


@message("lots.touch")
@attrs.frozen
class RenewLeases:
    """Renew an owner's leases: the replica grants no other claim for a while after this."""

    sender: str
    target: str
    leases: tuple[ShardLease, ...]


@attrs.frozen
class LeaseRenewal:
    """Whether the lease is granted, the highest term seen, and the digest of all that the replica stores."""

    shard: int
    granted: bool
    promised: Term
    digest: int


@message("lots.touched")
@attrs.frozen
class RenewLeasesReply:
    """The results of a lease renewal, one for each lease."""

    answers: tuple[LeaseRenewal, ...]


@message("lots.release")
@attrs.frozen
class ReleaseOwnership:
    """Release a shard owned under this term: another store may claim it at once."""

    shard: int
    target: str
    term: Term


@message("lots.inventory")
@attrs.frozen
class InventoryRequest:
    """Request a replica's inventory."""

    shard: int
    target: str
    term: Term


@message("lots.held")
@attrs.frozen
class InventoryReply:
    """A replica's inventory, packed; None where a higher term forbids the request."""

    inventory: bytes | None
    promised: Term = NO_TERM


@message("lots.fetch")
@attrs.frozen
class FetchRecords:
    """Request the values of slots (packed records with empty values)."""

    shard: int
    target: str
    records: bytes


@message("lots.fetched")
@attrs.frozen
class FetchRecordsReply:
    """The requested records that the replica stores, packed."""

    records: bytes


ReplicaRequest = ClaimOwnership | WriteSlots | DropSlots | InventoryRequest | FetchRecords | ReleaseOwnership
ReplicaReply = ClaimOwnershipReply | WriteSlotsReply | InventoryReply | FetchRecordsReply | Ok
