"""Messages between the owner of a shard and its replicas.

Each request carries the identity of the disk that it is addressed to; a store with another identity rejects it.
"""

from __future__ import annotations

import attrs

from emberring.jobs.records import NO_TERM, Term
from emberring.transport.messages import Ok, message


@message("lots.claim")
@attrs.frozen
class ClaimOwnership:
    """Claim the ownership of a shard under a term."""

    shard: int
    target: str
    term: Term


@message("lots.claimed", wire_keys={"lease_active": "held"})
@attrs.frozen
class ClaimOwnershipReply:
    """Answer to a claim.

    `granted`: the replica accepts no lower term from now on, and `inventory` lists all that it stores.
    Otherwise `promised` is the highest term that it has seen, and `lease_active` is set if another owner's
    lease may be active.
    """

    granted: bool
    promised: Term = NO_TERM
    lease_active: bool = False
    inventory: bytes = b""


@message("lots.write")
@attrs.frozen
class WriteSlots:
    """Write packed records under the term of the owner."""

    shard: int
    target: str
    term: Term
    records: bytes


@message("lots.drop")
@attrs.frozen
class DropSlots:
    """Erase slots that have no committed value, or whose batch job has been deleted.

    `records` are packed, with empty values.
    """

    shard: int
    target: str
    term: Term
    records: bytes


@message("lots.written")
@attrs.frozen
class WriteSlotsReply:
    """Answer to a write.

    `written`: the request is durable on this replica's disk. Otherwise `promised` is the higher term that fences it.
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
    """Renew the leases of an owner: for the duration of a lease, the replica grants no other store's claim."""

    sender: str
    target: str
    leases: tuple[ShardLease, ...]


@attrs.frozen
class LeaseRenewal:
    """Whether the lease is granted, the highest term seen, and the digest of all slots that the replica stores."""

    shard: int
    granted: bool
    promised: Term
    digest: int


@message("lots.touched")
@attrs.frozen
class RenewLeasesReply:
    """Results of `RenewLeases`, one for each lease."""

    answers: tuple[LeaseRenewal, ...]


@message("lots.release")
@attrs.frozen
class ReleaseOwnership:
    """Release the ownership of a shard under this term, so that another store can claim it at once."""

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
    """Packed inventory of a replica; None if a higher term fences the request."""

    inventory: bytes | None
    promised: Term = NO_TERM


@message("lots.fetch")
@attrs.frozen
class FetchRecords:
    """Request the values of slots; `records` are packed, with empty values."""

    shard: int
    target: str
    records: bytes


@message("lots.fetched")
@attrs.frozen
class FetchRecordsReply:
    """Those of the requested records that the replica stores, packed."""

    records: bytes


ReplicaRequest = ClaimOwnership | WriteSlots | DropSlots | InventoryRequest | FetchRecords | ReleaseOwnership
ReplicaReply = ClaimOwnershipReply | WriteSlotsReply | InventoryReply | FetchRecordsReply | Ok
