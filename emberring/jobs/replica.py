"""Replica of one shard: accepts writes under the highest term it has promised and reports its contents. No I/O.

`handle` returns actions. Append each `PersistEntry` to the journal, in order, and pass its token to `persisted` or
`persist_failed`; only then does the replica apply the entry and answer the call. Times are seconds of the monotonic
clock.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from emberring.jobs.messages import (
    ClaimOwnership,
    ClaimOwnershipReply,
    DropSlots,
    FetchRecords,
    FetchRecordsReply,
    InventoryReply,
    InventoryRequest,
    LeaseRenewal,
    ReplicaReply,
    ReplicaRequest,
    ShardLease,
    WriteSlots,
    WriteSlotsReply,
)
from emberring.jobs.records import (
    NO_TERM,
    JobState,
    Record,
    Term,
    pack_inventory,
    pack_records,
    unpack_records,
)
from emberring.jobs.replica_log import Copied, Dropped, Emptied, Entry, Promised, Started, Written
from emberring.jobs.stored_records import StoredJob, StoredRecords
from emberring.transport.messages import Ok

# After a lease renewal no other store's claim is granted for this time; longer than `OWNER_LEASE_S`.
REPLICA_LEASE_S = 0.9
CLAIM_LEASE_S = 0.3  # the same after a granted claim


@attrs.frozen
class PersistEntry:
    """Append an entry to the journal, then pass back `token`."""

    token: int
    entry: Entry


@attrs.frozen
class SendReply:
    """Answer the call with this number."""

    call: int
    body: ReplicaReply


@attrs.frozen
class FailCall:
    """Fail the call with this number, as the disk rejected its entry."""

    call: int


ReplicaAction = PersistEntry | SendReply | FailCall


@attrs.frozen
class _PendingEntry:
    """An entry that is not durable yet, and the call to be answered once it is (0 for none)."""

    call: int
    entry: Entry
    started_s: float


class Replica:
    """Replica of one shard on one disk. After a restart, pass the journal's entries to `apply` and call `restored`.

    Callers may read `shard`, `promised` (the highest term seen) and `records`.
    """

    def __init__(self, shard: int) -> None:
        self.shard = shard
        self.promised = NO_TERM
        self.records = StoredRecords()
        self._durable_promise = NO_TERM
        self._lease_owner = ""
        self._lease_until_s = 0.0
        self._pending: dict[int, _PendingEntry] = {}
        self._pending_drops: set[tuple[str, int]] = set()
        self._clearing = False
        # During a restore: the terms of erased slots, so that a later `Copied` entry does not restore them.
        self._erased: dict[tuple[str, int], Term] = {}
        self._cleared = False
        self._restored = False
        self._next_token = 1

    # Requests of owners.

    def handle(self, now_s: float, call: int, message: ReplicaRequest) -> list[ReplicaAction]:
        """Handle a request; `call` is the number under which it is to be answered."""
        if isinstance(message, WriteSlots):
            return self._on_write(now_s, call, message)
        if isinstance(message, ClaimOwnership):
            return self._on_claim(now_s, call, message)
        if isinstance(message, DropSlots):
            return self._on_drop(now_s, call, message)
        if isinstance(message, InventoryRequest):
            allowed = message.term >= self.promised
            inventory = self.inventory(now_s) if allowed else None
            return [SendReply(call, InventoryReply(inventory, self.promised))]
        if isinstance(message, FetchRecords):
            records = pack_records(self._requested_records(now_s, message))
            return [SendReply(call, FetchRecordsReply(records))]
        if message.term == self.promised:
            self._lease_until_s = now_s
        return [SendReply(call, Ok())]

    def _on_claim(self, now_s: float, call: int, message: ClaimOwnership) -> list[ReplicaAction]:
        if message.term <= self.promised:
            return [SendReply(call, ClaimOwnershipReply(False, self.promised))]
        if self.lease_active(now_s) and self._lease_owner != message.term.owner:
            return [SendReply(call, ClaimOwnershipReply(False, self.promised, lease_active=True))]
        self.promised = message.term
        self._lease_owner = message.term.owner
        self._lease_until_s = max(self._lease_until_s, now_s + CLAIM_LEASE_S)
        return [self._persist(call, Promised(message.term), now_s)]

    def _on_write(self, now_s: float, call: int, message: WriteSlots) -> list[ReplicaAction]:
        if message.term < self.promised:
            return [SendReply(call, WriteSlotsReply(False, self.promised))]
        self.promised = message.term
        return [self._persist(call, Written(message.term, tuple(unpack_records(message.records))), now_s)]

    def _on_drop(self, now_s: float, call: int, message: DropSlots) -> list[ReplicaAction]:
        if message.term < self.promised:
            return [SendReply(call, WriteSlotsReply(False, self.promised))]
        self.promised = message.term
        records = tuple(unpack_records(message.records))
        self._pending_drops.update((record.key, record.slot) for record in records)
        return [self._persist(call, Dropped(message.term, records), now_s)]

    def _requested_records(self, now_s: float, message: FetchRecords) -> Iterable[Record]:
        for requested in unpack_records(message.records):
            record = self.records.record(now_s, requested.key, requested.slot)
            if record is not None:
                yield record

    def renew_lease(self, now_s: float, lease: ShardLease) -> tuple[LeaseRenewal, list[ReplicaAction]]:
        """Renew the lease of an owner.

        If its term is not promised on disk yet, it is promised first, and a later renewal grants the lease.
        """
        actions: list[ReplicaAction] = []
        if lease.term > self.promised:
            self.promised = lease.term
            actions.append(self._persist(0, Promised(lease.term), now_s))
        if lease.term == self.promised:  # other claims are rejected even before the promise is durable
            self._lease_owner = lease.term.owner
            self._lease_until_s = now_s + REPLICA_LEASE_S
        granted = lease.term == self.promised == self._durable_promise
        return LeaseRenewal(self.shard, granted, self.promised, self.records.digest), actions

    def lease_active(self, now_s: float) -> bool:
        """Whether an owner's lease may be active, as far as this replica knows."""
        return now_s < self._lease_until_s

    @property
    def owner(self) -> str:
        """The identity of the last known owner; empty before the first."""
        return self._lease_owner or self.promised.owner

    @property
    def lease_until_s(self) -> float:
        """Time at which the last known lease has certainly expired."""
        return self._lease_until_s

    # Contents.

    @property
    def jobs(self) -> dict[str, StoredJob]:
        """All stored batch jobs by key."""
        return self.records.jobs

    @property
    def digest(self) -> int:
        """The digest of all stored slots."""
        return self.records.digest

    @property
    def value_bytes(self) -> int:
        """The size of all stored values."""
        return self.records.value_bytes

    def value(self, key: str, slot: int) -> bytes | None:
        """Return the value in a slot, or None."""
        stored = self.records.find(key, slot)
        return stored.value if stored else None

    def state(self, now_s: float) -> dict[str, JobState]:
        """Return the metadata of all slots that are durable on this replica's disk."""
        return self.records.states(now_s)

    def inventory(self, now_s: float) -> bytes:
        """Return the packed form of `state`."""
        return pack_inventory(self.state(now_s))

    def restored(self, lease_until_s: float) -> None:
        """End the restore. The last owner of the shard may have an active lease until `lease_until_s`."""
        self._lease_owner = self._durable_promise.owner
        self._lease_until_s = lease_until_s if self._lease_owner else 0.0
        self._restored = True
        self._erased.clear()

    def leave(self, now_s: float) -> list[ReplicaAction]:
        """Erase the records but not the promise, as this store is not a replica of the shard any more."""
        if self._clearing or not self.records.jobs:
            return []
        self._clearing = True
        return [self._persist(0, Emptied(), now_s)]

    # Journal.

    def _persist(self, call: int, entry: Entry, now_s: float) -> PersistEntry:
        token = self._next_token
        self._next_token += 1
        self._pending[token] = _PendingEntry(call, entry, now_s)
        return PersistEntry(token, entry)

    def oldest_pending_s(self, now_s: float) -> float:
        """Return how long the oldest entry has been waiting for the disk, in seconds."""
        oldest = next(iter(self._pending.values()), None)
        return now_s - oldest.started_s if oldest else 0.0

    def persisted(self, now_s: float, token: int, segment: int) -> list[ReplicaAction]:
        """Apply an entry that is durable in this segment of the journal, and answer its call."""
        pending = self._pending.pop(token)
        self.apply(now_s, pending.entry, segment)
        if not pending.call:
            return []
        if not isinstance(pending.entry, Promised):
            return [SendReply(pending.call, WriteSlotsReply(True, self.promised))]
        if pending.entry.term < self.promised:
            return [SendReply(pending.call, ClaimOwnershipReply(False, self.promised))]
        reply = ClaimOwnershipReply(True, pending.entry.term, inventory=self.inventory(now_s))
        return [SendReply(pending.call, reply)]

    def persist_failed(self, token: int) -> list[ReplicaAction]:
        """Discard an entry that the disk rejected, and fail its call."""
        pending = self._pending.pop(token)
        if isinstance(pending.entry, Emptied):
            self._clearing = False
        if isinstance(pending.entry, Dropped):
            refs = ((record.key, record.slot) for record in pending.entry.records)
            self._pending_drops.difference_update(refs)
        return [FailCall(pending.call)] if pending.call else []

    def apply(self, now_s: float, entry: Entry, segment: int) -> None:
        """Apply a durable entry, while running or during a restore. The ages in its records are relative to `now_s`."""
        if isinstance(entry, Started):
            return
        if isinstance(entry, Emptied):
            self.records.clear()
            self._clearing, self._cleared = False, True
            return
        self.promised = max(self.promised, entry.term)
        self._durable_promise = max(self._durable_promise, entry.term)
        if not isinstance(entry, Promised):
            self._apply_records(now_s, entry, segment)

    def _apply_records(self, now_s: float, entry: Written | Dropped | Copied, segment: int) -> None:
        for record in entry.records:
            if isinstance(entry, Dropped):
                self._erase(entry.term, record)
            elif isinstance(entry, Written) or self._copy_is_valid(entry.term, record):
                self._put(now_s, entry.term, record, segment)

    def _copy_is_valid(self, term: Term, record: Record) -> bool:
        """Whether a `Copied` record is to be applied: its original is stored, or was not erased by a later entry."""
        if self.records.find(record.key, record.slot) is not None:
            return True
        return not self._cleared and self._erased.get((record.key, record.slot), NO_TERM) < term

    def _put(self, now_s: float, term: Term, record: Record, segment: int) -> None:
        if self.records.put(now_s, term, record, segment):
            self._erased.pop((record.key, record.slot), None)

    def _erase(self, term: Term, record: Record) -> None:
        ref = (record.key, record.slot)
        self._pending_drops.discard(ref)
        if not self._restored:
            self._erased[ref] = term
        self.records.erase(term, *ref)

    def live_entries(self, now_s: float, segment: int) -> list[Entry]:
        """Return the entries to append again before a segment is reclaimed: the promise and its live slots."""
        entries: list[Entry] = [Promised(self.promised)] if self.promised != NO_TERM else []
        if not self._clearing:
            by_term = self.records.in_segment(now_s, segment, self._pending_drops)
            entries += [Copied(term, tuple(records)) for term, records in by_term.items()]
        return entries

    def on_relocated(self, entry: Entry, segment: int) -> None:
        """Record that an entry of `live_entries` has been appended again, to this segment."""
        if isinstance(entry, Copied):
            for record in entry.records:
                self.records.relocate(entry.term, record.key, record.slot, segment)
