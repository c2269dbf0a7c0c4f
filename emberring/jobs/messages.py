"""Messages between stores: an owner of shards and the replicas. Each names the identity it is meant for;
a store with another identity (another disk) refuses it.
"""

from __future__ import annotations

import attrs

from emberring.jobs.records import NO_TERM, Term
from emberring.transport.messages import Ok, message


@message("lots.claim")
@attrs.frozen
class ClaimOwnership:
    """A store asks to own a shard under this term."""

    shard: int
    target: str
    term: Term


@message("lots.claimed", wire_keys={"lease_active": "held"})
@attrs.frozen
class ClaimOwnershipReply:
    """`granted`: no lower term is taken from now on, and `inventory` is all that the replica holds. Otherwise
    `promised` is the highest term seen, and `lease_active` tells that another owner's lease may still run."""

    granted: bool
    promised: Term = NO_TERM
    lease_active: bool = False
    inventory: bytes = b""


@message("lots.write")
@attrs.frozen
class WriteSlots:
    """Records (packed) that the owner writes under its term."""

    shard: int
    target: str
    term: Term
    records: bytes


@message("lots.drop")
@attrs.frozen
class DropSlots:
    """Slots that the owner knows to be without a committed value, or of batch jobs that all replicas forget: the packed
    records have empty values. A replica erases them."""

    shard: int
    target: str
    term: Term
    records: bytes


@message("lots.written")
@attrs.frozen
class WriteSlotsReply:
    """`written`: all of it lasts on this replica's disk. Otherwise `promised` is the term that forbids it."""

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
    """An owner keeps its leases: the replica grants no other claim for a while after this."""

    sender: str
    target: str
    leases: tuple[ShardLease, ...]


@attrs.frozen
class LeaseRenewal:
    """Whether the lease stands, the highest term seen, and the digest of what the replica holds."""

    shard: int
    granted: bool
    promised: Term
    digest: int


@message("lots.touched")
@attrs.frozen
class RenewLeasesReply:
    """The answers to a lease renewal, one for each lease."""

    answers: tuple[LeaseRenewal, ...]


@message("lots.release")
@attrs.frozen
class ReleaseOwnership:
    """The owner of this term gives the shard up: another may claim it at once."""

    shard: int
    target: str
    term: Term


@message("lots.inventory")
@attrs.frozen
class InventoryRequest:
    """The owner asks what the replica holds."""

    shard: int
    target: str
    term: Term


@message("lots.held")
@attrs.frozen
class InventoryReply:
    """What the replica holds, packed; None where a higher term forbids the question."""

    inventory: bytes | None
    promised: Term = NO_TERM


@message("lots.fetch")
@attrs.frozen
class FetchRecords:
    """The owner asks for the values of slots (packed records with empty values)."""

    shard: int
    target: str
    records: bytes


@message("lots.fetched")
@attrs.frozen
class FetchRecordsReply:
    """The records asked for, as far as the replica holds them, packed."""

    records: bytes


ReplicaRequest = ClaimOwnership | WriteSlots | DropSlots | InventoryRequest | FetchRecords | ReleaseOwnership
ReplicaReply = ClaimOwnershipReply | WriteSlotsReply | InventoryReply | FetchRecordsReply | Ok
