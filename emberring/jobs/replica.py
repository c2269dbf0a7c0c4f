"""A replica of one shard: takes writes of the highest term it has promised, and says what it holds. No I/O.

`handle` gives actions. A `Persist` is to be appended to the journal in the order given, and its token returned
by `persisted` or `persist_failed`; only then does the replica show what it wrote and answer. Times are seconds of
the monotonic clock.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from typing import Any

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
    ReleaseOwnership,
    ShardLease,
    WriteSlots,
    WriteSlotsReply,
)
from emberring.jobs.records import (
    MAX_AGE_MS,
    NO_TERM,
    TOMBSTONE,
    JobState,
    Record,
    SlotState,
    Term,
    checksum,
    pack_inventory,
    pack_records,
    unpack_records,
)
from emberring.jobs.replica_log import Copied, Dropped, Emptied, Entry, Promised, Started, Written
from emberring.transport.messages import Ok

# no other owner's claim is granted for so long after a lease renewal; longer than an owner trusts its lease
REPLICA_LEASE_S = 0.9
CLAIM_LEASE_S = 0.3  # nor for so long after a claim was granted

ReplicaMessage = ClaimOwnership | WriteSlots | DropSlots | InventoryRequest | FetchRecords | ReleaseOwnership


@attrs.frozen
class Persist:
    """Append this entry to the journal, then hand `token` back."""

    token: int
    entry: Entry


@attrs.frozen
class Reply:
    """Answer the call with this number."""

    call: int
    body: Any


@attrs.frozen
class Fail:
    """Answer the call with this number: the disk refused."""

    call: int


Action = Persist | Reply | Fail


@attrs.define
class StoredSlot:
    """A value that lasts on this replica's disk, and the journal's segment in which it lies."""

    term: Term
    checksum: int
    value: bytes
    segment: int


@attrs.define
class StoredJob:
    """The slots of a batch job, and when it was accepted (this machine's monotonic clock, at the latest)."""

    accepted_s: float
    slots: dict[int, StoredSlot] = attrs.field(factory=dict)


@attrs.frozen
class _Waiting:
    """An entry on its way to the disk, and the call to be answered then (0 for none)."""

    call: int
    entry: Entry
    started_s: float
    is_claim: bool = False


def slot_digest(key: str, slot: int, check: int) -> int:
    """What a slot adds to the digest of all that a replica holds."""
    digest = hashlib.blake2b(f"{key} {slot} {check}".encode(), digest_size=6).digest()
    return int.from_bytes(digest, "big")


class Replica:
    """One shard's replica on one disk. After a restart, feed the journal to `apply` and call `restored`."""

    def __init__(self, shard: int) -> None:
        self.shard = shard
        self.promised = NO_TERM
        self.jobs: dict[str, StoredJob] = {}
        self.digest = 0
        self.bytes = 0  # of all values
        self._durable_promise = NO_TERM
        self._lease_owner = ""
        self._lease_until_s = 0.0
        self._waiting: dict[int, _Waiting] = {}
        self._pending_drops: set[tuple[str, int]] = set()
        self._clearing = False
        self._erased: dict[
            tuple[str, int], Term
        ] = {}  # during a restore: what a late copy must not bring back
        self._cleared = False
        self._restored = False
        self._next_token = 1

    # What others ask.

    def handle(self, now_s: float, call: int, message: ReplicaMessage) -> list[Action]:
        """The actions for a message; `call` is the number under which it is to be answered."""
        if isinstance(message, WriteSlots):
            return self._on_write(now_s, call, message)
        if isinstance(message, ClaimOwnership):
            return self._on_claim(now_s, call, message)
        if isinstance(message, DropSlots):
            return self._on_drop(now_s, call, message)
        if isinstance(message, InventoryRequest):
            allowed = message.term >= self.promised
            inventory = self.inventory(now_s) if allowed else None
            return [Reply(call, InventoryReply(inventory, self.promised))]
        if isinstance(message, FetchRecords):
            return [Reply(call, FetchRecordsReply(pack_records(self._requested_records(now_s, message))))]
        if message.term == self.promised:
            self._lease_until_s = now_s
        return [Reply(call, Ok())]

    def _on_claim(self, now_s: float, call: int, message: ClaimOwnership) -> list[Action]:
        if message.term <= self.promised:
            return [Reply(call, ClaimOwnershipReply(False, self.promised))]
        if self.lease_active(now_s) and self._lease_owner != message.term.owner:
            return [Reply(call, ClaimOwnershipReply(False, self.promised, lease_active=True))]
        self.promised = message.term
        self._lease_owner = message.term.owner
        self._lease_until_s = max(self._lease_until_s, now_s + CLAIM_LEASE_S)
        return [self._persist(call, Promised(message.term), now_s, is_claim=True)]

    def _on_write(self, now_s: float, call: int, message: WriteSlots) -> list[Action]:
        if message.term < self.promised:
            return [Reply(call, WriteSlotsReply(False, self.promised))]
        self.promised = message.term
        return [self._persist(call, Written(message.term, tuple(unpack_records(message.records))), now_s)]

    def _on_drop(self, now_s: float, call: int, message: DropSlots) -> list[Action]:
        if message.term < self.promised:
            return [Reply(call, WriteSlotsReply(False, self.promised))]
        self.promised = message.term
        records = tuple(unpack_records(message.records))
        self._pending_drops.update((record.key, record.slot) for record in records)
        return [self._persist(call, Dropped(message.term, records), now_s)]

    def _requested_records(self, now_s: float, message: FetchRecords) -> Iterable[Record]:
        for wanted in unpack_records(message.records):
            job = self.jobs.get(wanted.key)
            held = job.slots.get(wanted.slot) if job else None
            if job is not None and held is not None:
                yield Record(wanted.key, wanted.slot, age_ms(now_s, job.accepted_s), held.value)

    def renew_lease(self, now_s: float, lease: ShardLease) -> tuple[LeaseRenewal, list[Action]]:
        """An owner keeps its lease. A term not yet promised on disk is promised first, and counts the next time."""
        actions: list[Action] = []
        if lease.term > self.promised:
            self.promised = lease.term
            actions.append(self._persist(0, Promised(lease.term), now_s))
        if lease.term == self.promised:  # others are refused already while the promise is on its way
            self._lease_owner = lease.term.owner
            self._lease_until_s = now_s + REPLICA_LEASE_S
        granted = lease.term == self.promised == self._durable_promise
        return LeaseRenewal(self.shard, granted, self.promised, self.digest), actions

    def lease_active(self, now_s: float) -> bool:
        """Whether an owner's lease may run, as far as this replica knows."""
        return now_s < self._lease_until_s

    @property
    def owner(self) -> str:
        """The identity of the owner last heard of; empty before the first."""
        return self._lease_owner or self.promised.owner

    @property
    def lease_until_s(self) -> float:
        """When the last lease known here has certainly run out."""
        return self._lease_until_s

    # What it holds.

    def value(self, key: str, slot: int) -> bytes | None:
        """The value in a slot, or None."""
        job = self.jobs.get(key)
        held = job.slots.get(slot) if job else None
        return held.value if held else None

    def state(self, now_s: float) -> dict[str, JobState]:
        """What lasts on this replica's disk."""
        return {
            key: JobState(
                age_ms(now_s, job.accepted_s),
                {
                    slot: SlotState(held.term, held.checksum, len(held.value))
                    for slot, held in job.slots.items()
                },
            )
            for key, job in self.jobs.items()
        }

    def inventory(self, now_s: float) -> bytes:
        """The same, packed."""
        return pack_inventory(self.state(now_s))

    def restored(self, quiet_until_s: float) -> None:
        """All entries of the journal are in: who owned the shard before may hold a lease until then."""
        self._lease_owner = self._durable_promise.owner
        self._lease_until_s = quiet_until_s if self._lease_owner else 0.0
        self._restored = True
        self._erased.clear()

    def leave(self, now_s: float) -> list[Action]:
        """The shard is kept elsewhere now: forget its records, but not the promise."""
        if self._clearing or not self.jobs:
            return []
        self._clearing = True
        return [self._persist(0, Emptied(), now_s)]

    # The journal.

    def _persist(self, call: int, entry: Entry, now_s: float, is_claim: bool = False) -> Persist:
        token = self._next_token
        self._next_token += 1
        self._waiting[token] = _Waiting(call, entry, now_s, is_claim)
        return Persist(token, entry)

    def oldest_pending_s(self, now_s: float) -> float:
        """For how long the oldest entry has been waiting for the disk."""
        oldest = next(iter(self._waiting.values()), None)
        return now_s - oldest.started_s if oldest else 0.0

    def persisted(self, now_s: float, token: int, segment: int) -> list[Action]:
        """The entry lasts: show it and answer."""
        waiting = self._waiting.pop(token)
        self.apply(now_s, waiting.entry, segment)
        if not waiting.call:
            return []
        if waiting.is_claim:
            assert isinstance(waiting.entry, Promised)
            if waiting.entry.term < self.promised:
                return [Reply(waiting.call, ClaimOwnershipReply(False, self.promised))]
            reply = ClaimOwnershipReply(True, waiting.entry.term, inventory=self.inventory(now_s))
            return [Reply(waiting.call, reply)]
        return [Reply(waiting.call, WriteSlotsReply(True, self.promised))]

    def persist_failed(self, token: int) -> list[Action]:
        """The disk refused the entry: it is not shown."""
        waiting = self._waiting.pop(token)
        if isinstance(waiting.entry, Emptied):
            self._clearing = False
        if isinstance(waiting.entry, Dropped):
            self._pending_drops.difference_update(
                (record.key, record.slot) for record in waiting.entry.records
            )
        return [Fail(waiting.call)] if waiting.call else []

    def apply(self, now_s: float, entry: Entry, segment: int) -> None:
        """Take in an entry that lasts, at run time or at a start. Ages count from `now_s`."""
        if isinstance(entry, Started):
            return
        if isinstance(entry, Emptied):
            self.jobs.clear()
            self.digest = self.bytes = 0
            self._clearing, self._cleared = False, True
            return
        self.promised = max(self.promised, entry.term)
        self._durable_promise = max(self._durable_promise, entry.term)
        if isinstance(entry, Written):
            for record in entry.records:
                self._put(now_s, entry.term, record, segment)
        elif isinstance(entry, Dropped):
            for record in entry.records:
                self._erase(entry.term, record)
        elif isinstance(entry, Copied):
            for record in entry.records:
                if self._copy_is_valid(entry.term, record):
                    self._put(now_s, entry.term, record, segment)

    def _copy_is_valid(self, term: Term, record: Record) -> bool:
        """Whether a copy found at a start still counts: what it was copied from stood here and was not erased."""
        job = self.jobs.get(record.key)
        if job is not None and record.slot in job.slots:
            return True
        return not self._cleared and self._erased.get((record.key, record.slot), NO_TERM) < term

    def _put(self, now_s: float, term: Term, record: Record, segment: int) -> None:
        accepted_s = now_s - record.age_ms / 1000
        job = self.jobs.get(record.key)
        if job is None:
            job = self.jobs[record.key] = StoredJob(accepted_s)
        job.accepted_s = min(job.accepted_s, accepted_s)
        held = job.slots.get(record.slot)
        if held is not None and held.term > term:
            return
        if held is not None:
            self.digest ^= slot_digest(record.key, record.slot, held.checksum)
            self.bytes -= len(held.value)
        check = checksum(record.value)
        job.slots[record.slot] = StoredSlot(term, check, record.value, segment)
        self._erased.pop((record.key, record.slot), None)
        self.digest ^= slot_digest(record.key, record.slot, check)
        self.bytes += len(record.value)

    def _erase(self, term: Term, record: Record) -> None:
        self._pending_drops.discard((record.key, record.slot))
        if not self._restored:
            self._erased[(record.key, record.slot)] = term
        job = self.jobs.get(record.key)
        held = job.slots.get(record.slot) if job else None
        if job is None or held is None or held.term > term:
            return
        if held.term == term and TOMBSTONE not in job.slots:
            return  # an erasure that came late: the owner has written the slot since
        self.digest ^= slot_digest(record.key, record.slot, held.checksum)
        self.bytes -= len(held.value)
        del job.slots[record.slot]
        if not job.slots:
            del self.jobs[record.key]

    def live_entries(self, now_s: float, segment: int) -> list[Entry]:
        """What still counts of a segment of the journal, to be appended again: the promise and live slots."""
        by_term: dict[Term, list[Record]] = {}
        for key, job in self.jobs.items() if not self._clearing else ():
            for slot, held in job.slots.items():
                if held.segment == segment and (key, slot) not in self._pending_drops:
                    record = Record(key, slot, age_ms(now_s, job.accepted_s), held.value)
                    by_term.setdefault(held.term, []).append(record)
        entries: list[Entry] = [Promised(self.promised)] if self.promised != NO_TERM else []
        entries += [Copied(term, tuple(records)) for term, records in by_term.items()]
        return entries

    def on_relocated(self, entry: Entry, segment: int) -> None:
        """An entry of `live_entries` was appended again, to this segment."""
        if not isinstance(entry, Copied):
            return
        for record in entry.records:
            job = self.jobs.get(record.key)
            held = job.slots.get(record.slot) if job else None
            if held is not None and held.term == entry.term:
                held.segment = segment


def age_ms(now_s: float, accepted_s: float) -> int:
    """An age for a record, in whole milliseconds."""
    return max(0, min(MAX_AGE_MS, int((now_s - accepted_s) * 1000)))
