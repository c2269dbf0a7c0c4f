"""Messages between stores: an owner of shards and the replicas. Each names the identity it is meant for;
a store with another identity (another disk) refuses it.
"""

from __future__ import annotations

import attrs

from emberring.jobs.records import NO_TERM, Term
from emberring.transport.messages import message


@message("lots.claim")
@attrs.frozen
class Claim:
    """A store asks to own a shard under this term."""

    shard: int
    target: str
    term: Term


@message("lots.claimed")
@attrs.frozen
class ClaimReply:
    """`granted`: no lower term is taken from now on, and `inventory` is all that the replica holds. Otherwise
    `promised` is the highest term seen, and `held` tells that another owner's lease may still run."""

    granted: bool
    promised: Term = NO_TERM
    held: bool = False
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
    """Slots that the owner knows to be without a chosen value, or of lots that all replicas forget: the packed
    records have empty values. A replica erases them."""

    shard: int
    target: str
    term: Term
    records: bytes


@message("lots.written")
@attrs.frozen
class WriteReply:
    """`written`: all of it lasts on this replica's disk. Otherwise `promised` is the term that forbids it."""

    written: bool
    promised: Term = NO_TERM


@attrs.frozen
class Lease:
    """A shard and the term under which the sender owns it."""

    shard: int
    term: Term


@message("lots.touch")
@attrs.frozen
class RenewLeases:
    """An owner keeps its leases: the replica grants no other claim for a while after this."""

    sender: str
    target: str
    leases: tuple[Lease, ...]


@attrs.frozen
class LeaseAnswer:
    """Whether the lease stands, the highest term seen, and the digest of what the replica holds."""

    shard: int
    granted: bool
    promised: Term
    digest: int


@message("lots.touched")
@attrs.frozen
class RenewLeasesReply:
    """The answers to a touch, one for each lease."""

    answers: tuple[LeaseAnswer, ...]


@message("lots.release")
@attrs.frozen
class Release:
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
class Inventory:
    """What the replica holds, packed; None where a higher term forbids the question."""

    inventory: bytes | None
    promised: Term = NO_TERM


@message("lots.fetch")
@attrs.frozen
class Fetch:
    """The owner asks for the values of slots (packed records with empty values)."""

    shard: int
    target: str
    records: bytes


@message("lots.fetched")
@attrs.frozen
class Fetched:
    """The records asked for, as far as the replica holds them, packed."""

    records: bytes
