"""A replica of one shard: takes writes of the highest term it has promised, and says what it holds. No I/O.

`handle` gives actions. A `Persist` is to be appended to the journal in the order given, and its token handed back
by `persisted` or `persist_failed`; only then does the replica show what it wrote and answer. Times are seconds of
the steady clock.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from typing import Any

import attrs

from emberring.jobs.messages import (
    Claim,
    ClaimReply,
    DropSlots,
    Fetch,
    Fetched,
    Inventory,
    InventoryRequest,
    Lease,
    LeaseAnswer,
    Release,
    WriteReply,
    WriteSlots,
)
from emberring.jobs.records import (
    FORGOTTEN,
    MAX_AGE_MS,
    NO_TERM,
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

REFUSE_S = (
    0.9  # no other owner's claim is granted for so long after a touch; longer than an owner trusts its lease
)
CLAIM_HOLD_S = 0.3  # nor for so long after a claim was granted

ReplicaMessage = Claim | WriteSlots | DropSlots | InventoryRequest | Fetch | Release


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
class HeldSlot:
    """A value that lasts on this replica's disk, and the journal's segment in which it lies."""

    term: Term
    checksum: int
    value: bytes
    segment: int


@attrs.define
class HeldJob:
    """The slots of a lot, and when it was accepted (this machine's steady clock, at the latest)."""

    accepted_s: float
    slots: dict[int, HeldSlot] = attrs.field(factory=dict)


@attrs.frozen
class _Waiting:
    """An entry on its way to the disk, and the call to be answered then (0 for none)."""

    call: int
    entry: Entry
    began_s: float
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
        self.jobs: dict[str, HeldJob] = {}
        self.digest = 0
        self.bytes = 0  # of all values
        self._lasting_promise = NO_TERM
        self._holder = ""
        self._held_until_s = 0.0
        self._waiting: dict[int, _Waiting] = {}
        self._dropping: set[tuple[str, int]] = set()
        self._emptying = False
        self._erased: dict[
            tuple[str, int], Term
        ] = {}  # during a restore: what a late copy must not bring back
        self._emptied = False
        self._restored = False
        self._next_token = 1

    # What others ask.

    def handle(self, now_s: float, call: int, message: ReplicaMessage) -> list[Action]:
        """The actions for a message; `call` is the number under which it is to be answered."""
        if isinstance(message, WriteSlots):
            return self._on_write(now_s, call, message)
        if isinstance(message, Claim):
            return self._on_claim(now_s, call, message)
        if isinstance(message, DropSlots):
            return self._on_drop(now_s, call, message)
        if isinstance(message, InventoryRequest):
            allowed = message.term >= self.promised
            inventory = self.inventory(now_s) if allowed else None
            return [Reply(call, Inventory(inventory, self.promised))]
        if isinstance(message, Fetch):
            return [Reply(call, Fetched(pack_records(self._found(now_s, message))))]
        if message.term == self.promised:
            self._held_until_s = now_s
        return [Reply(call, Ok())]

    def _on_claim(self, now_s: float, call: int, message: Claim) -> list[Action]:
        if message.term <= self.promised:
            return [Reply(call, ClaimReply(False, self.promised))]
        if self.holder(now_s) and self._holder != message.term.owner:
            return [Reply(call, ClaimReply(False, self.promised, held=True))]
        self.promised = message.term
        self._holder = message.term.owner
        self._held_until_s = max(self._held_until_s, now_s + CLAIM_HOLD_S)
        return [self._persist(call, Promised(message.term), now_s, is_claim=True)]

    def _on_write(self, now_s: float, call: int, message: WriteSlots) -> list[Action]:
        if message.term < self.promised:
            return [Reply(call, WriteReply(False, self.promised))]
        self.promised = message.term
        return [self._persist(call, Written(message.term, tuple(unpack_records(message.records))), now_s)]

    def _on_drop(self, now_s: float, call: int, message: DropSlots) -> list[Action]:
        if message.term < self.promised:
            return [Reply(call, WriteReply(False, self.promised))]
        self.promised = message.term
        records = tuple(unpack_records(message.records))
        self._dropping.update((record.key, record.slot) for record in records)
        return [self._persist(call, Dropped(message.term, records), now_s)]

    def _found(self, now_s: float, message: Fetch) -> Iterable[Record]:
        for wanted in unpack_records(message.records):
            job = self.jobs.get(wanted.key)
            held = job.slots.get(wanted.slot) if job else None
            if job is not None and held is not None:
                yield Record(wanted.key, wanted.slot, age_ms(now_s, job.accepted_s), held.value)

    def touch(self, now_s: float, lease: Lease) -> tuple[LeaseAnswer, list[Action]]:
        """An owner keeps its lease. A term not yet promised on disk is promised first, and counts the next time."""
        actions: list[Action] = []
        if lease.term > self.promised:
            self.promised = lease.term
            actions.append(self._persist(0, Promised(lease.term), now_s))
        if lease.term == self.promised:  # others are refused already while the promise is on its way
            self._holder = lease.term.owner
            self._held_until_s = now_s + REFUSE_S
        granted = lease.term == self.promised == self._lasting_promise
        return LeaseAnswer(self.shard, granted, self.promised, self.digest), actions

    def holder(self, now_s: float) -> bool:
        """Whether an owner's lease may run, as far as this replica knows."""
        return now_s < self._held_until_s

    @property
    def owner(self) -> str:
        """The identity of the owner last heard of; empty before the first."""
        return self._holder or self.promised.owner

    @property
    def held_until_s(self) -> float:
        """When the last lease known here has certainly run out."""
        return self._held_until_s

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
        self._holder = self._lasting_promise.owner
        self._held_until_s = quiet_until_s if self._holder else 0.0
        self._restored = True
        self._erased.clear()

    def leave(self, now_s: float) -> list[Action]:
        """The shard is kept elsewhere now: forget its records, but not the promise."""
        if self._emptying or not self.jobs:
            return []
        self._emptying = True
        return [self._persist(0, Emptied(), now_s)]

    # The journal.

    def _persist(self, call: int, entry: Entry, now_s: float, is_claim: bool = False) -> Persist:
        token = self._next_token
        self._next_token += 1
        self._waiting[token] = _Waiting(call, entry, now_s, is_claim)
        return Persist(token, entry)

    def oldest_wait_s(self, now_s: float) -> float:
        """For how long the oldest entry has been waiting for the disk."""
        oldest = next(iter(self._waiting.values()), None)
        return now_s - oldest.began_s if oldest else 0.0

    def persisted(self, now_s: float, token: int, segment: int) -> list[Action]:
        """The entry lasts: show it and answer."""
        waiting = self._waiting.pop(token)
        self.apply(now_s, waiting.entry, segment)
        if not waiting.call:
            return []
        if waiting.is_claim:
            assert isinstance(waiting.entry, Promised)
            if waiting.entry.term < self.promised:
                return [Reply(waiting.call, ClaimReply(False, self.promised))]
            reply = ClaimReply(True, waiting.entry.term, inventory=self.inventory(now_s))
            return [Reply(waiting.call, reply)]
        return [Reply(waiting.call, WriteReply(True, self.promised))]

    def persist_failed(self, token: int) -> list[Action]:
        """The disk refused the entry: it is not shown."""
        waiting = self._waiting.pop(token)
        if isinstance(waiting.entry, Emptied):
            self._emptying = False
        if isinstance(waiting.entry, Dropped):
            self._dropping.difference_update((record.key, record.slot) for record in waiting.entry.records)
        return [Fail(waiting.call)] if waiting.call else []

    def apply(self, now_s: float, entry: Entry, segment: int) -> None:
        """Take in an entry that lasts, at run time or at a start. Ages count from `now_s`."""
        if isinstance(entry, Started):
            return
        if isinstance(entry, Emptied):
            self.jobs.clear()
            self.digest = self.bytes = 0
            self._emptying, self._emptied = False, True
            return
        self.promised = max(self.promised, entry.term)
        self._lasting_promise = max(self._lasting_promise, entry.term)
        if isinstance(entry, Written):
            for record in entry.records:
                self._put(now_s, entry.term, record, segment)
        elif isinstance(entry, Dropped):
            for record in entry.records:
                self._erase(entry.term, record)
        elif isinstance(entry, Copied):
            for record in entry.records:
                if self._may_be_copied(entry.term, record):
                    self._put(now_s, entry.term, record, segment)

    def _may_be_copied(self, term: Term, record: Record) -> bool:
        """Whether a copy found at a start still counts: what it was copied from stood here and was not erased."""
        job = self.jobs.get(record.key)
        if job is not None and record.slot in job.slots:
            return True
        return not self._emptied and self._erased.get((record.key, record.slot), NO_TERM) < term

    def _put(self, now_s: float, term: Term, record: Record, segment: int) -> None:
        accepted_s = now_s - record.age_ms / 1000
        job = self.jobs.get(record.key)
        if job is None:
            job = self.jobs[record.key] = HeldJob(accepted_s)
        job.accepted_s = min(job.accepted_s, accepted_s)
        held = job.slots.get(record.slot)
        if held is not None and held.term > term:
            return
        if held is not None:
            self.digest ^= slot_digest(record.key, record.slot, held.checksum)
            self.bytes -= len(held.value)
        check = checksum(record.value)
        job.slots[record.slot] = HeldSlot(term, check, record.value, segment)
        self._erased.pop((record.key, record.slot), None)
        self.digest ^= slot_digest(record.key, record.slot, check)
        self.bytes += len(record.value)

    def _erase(self, term: Term, record: Record) -> None:
        self._dropping.discard((record.key, record.slot))
        if not self._restored:
            self._erased[(record.key, record.slot)] = term
        job = self.jobs.get(record.key)
        held = job.slots.get(record.slot) if job else None
        if job is None or held is None or held.term > term:
            return
        if held.term == term and FORGOTTEN not in job.slots:
            return  # an erasure that came late: the owner has written the slot since
        self.digest ^= slot_digest(record.key, record.slot, held.checksum)
        self.bytes -= len(held.value)
        del job.slots[record.slot]
        if not job.slots:
            del self.jobs[record.key]

    def kept_in(self, now_s: float, segment: int) -> list[Entry]:
        """What still counts of a segment of the journal, to be appended anew: the promise and live slots."""
        by_term: dict[Term, list[Record]] = {}
        for key, job in self.jobs.items() if not self._emptying else ():
            for slot, held in job.slots.items():
                if held.segment == segment and (key, slot) not in self._dropping:
                    record = Record(key, slot, age_ms(now_s, job.accepted_s), held.value)
                    by_term.setdefault(held.term, []).append(record)
        entries: list[Entry] = [Promised(self.promised)] if self.promised != NO_TERM else []
        entries += [Copied(term, tuple(records)) for term, records in by_term.items()]
        return entries

    def relocated(self, entry: Entry, segment: int) -> None:
        """An entry of `kept_in` was appended anew, to this segment."""
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
