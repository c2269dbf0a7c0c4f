"""In-memory copy of the records of one shard that are durable on a replica's disk."""

from __future__ import annotations

import attrs

from emberring.jobs.records import (
    TOMBSTONE,
    JobState,
    Record,
    SlotState,
    Term,
    age_ms,
    checksum,
    slot_digest,
)


@attrs.define
class StoredSlot:
    """A value that is durable on this replica's disk, and the segment of the journal that contains it."""

    term: Term
    checksum: int
    value: bytes
    segment: int


@attrs.define
class StoredJob:
    """The slots of a batch job, and the latest time at which it was accepted (this machine's monotonic clock)."""

    accepted_s: float
    slots: dict[int, StoredSlot] = attrs.field(factory=dict)


class StoredRecords:
    """All records of a shard on one disk. `digest` covers all slots; `value_bytes` is the size of all values."""

    def __init__(self) -> None:
        self.jobs: dict[str, StoredJob] = {}
        self.digest = 0
        self.value_bytes = 0

    def find(self, key: str, slot: int) -> StoredSlot | None:
        """Return the slot, or None."""
        job = self.jobs.get(key)
        return job.slots.get(slot) if job else None

    def record(self, now_s: float, key: str, slot: int) -> Record | None:
        """Return the slot as a record, with the age of its batch job; None if the slot is empty."""
        job = self.jobs.get(key)
        stored = job.slots.get(slot) if job else None
        if job is None or stored is None:
            return None
        return Record(key, slot, age_ms(now_s, job.accepted_s), stored.value)

    def put(self, now_s: float, term: Term, record: Record, segment: int) -> bool:
        """Store a record unless the slot was written under a higher term; return whether it was stored."""
        accepted_s = now_s - record.age_ms / 1000
        job = self.jobs.get(record.key)
        if job is None:
            job = self.jobs[record.key] = StoredJob(accepted_s)
        job.accepted_s = min(job.accepted_s, accepted_s)
        stored = job.slots.get(record.slot)
        if stored is not None and stored.term > term:
            return False
        if stored is not None:
            self._subtract(record.key, record.slot, stored)
        job.slots[record.slot] = StoredSlot(term, checksum(record.value), record.value, segment)
        self._add(record.key, record.slot, job.slots[record.slot])
        return True

    def erase(self, term: Term, key: str, slot: int) -> None:
        """Erase a slot unless it was written under a higher term, or under this term after the drop was sent."""
        job = self.jobs.get(key)
        stored = job.slots.get(slot) if job else None
        if job is None or stored is None or stored.term > term:
            return
        if stored.term == term and TOMBSTONE not in job.slots:
            return  # the drop was delayed, and the owner has written the slot since it sent it
        self._subtract(key, slot, stored)
        del job.slots[slot]
        if not job.slots:
            del self.jobs[key]

    def clear(self) -> None:
        """Erase all records."""
        self.jobs.clear()
        self.digest = self.value_bytes = 0

    def _add(self, key: str, slot: int, stored: StoredSlot) -> None:
        self.digest ^= slot_digest(key, slot, stored.checksum)
        self.value_bytes += len(stored.value)

    def _subtract(self, key: str, slot: int, stored: StoredSlot) -> None:
        self.digest ^= slot_digest(key, slot, stored.checksum)
        self.value_bytes -= len(stored.value)

    def states(self, now_s: float) -> dict[str, JobState]:
        """Return the metadata of all slots, by key of the batch job."""
        return {key: _job_state(now_s, job) for key, job in self.jobs.items()}

    def in_segment(
        self, now_s: float, segment: int, excluded: set[tuple[str, int]]
    ) -> dict[Term, list[Record]]:
        """Return the records that are located in a segment of the journal, by term, without the `excluded` slots."""
        by_term: dict[Term, list[Record]] = {}
        for key, job in self.jobs.items():
            for slot, stored in job.slots.items():
                if stored.segment == segment and (key, slot) not in excluded:
                    record = Record(key, slot, age_ms(now_s, job.accepted_s), stored.value)
                    by_term.setdefault(stored.term, []).append(record)
        return by_term

    def relocate(self, term: Term, key: str, slot: int, segment: int) -> None:
        """Record that a slot's value is located in another segment now, unless another term has written it since."""
        stored = self.find(key, slot)
        if stored is not None and stored.term == term:
            stored.segment = segment


def _job_state(now_s: float, job: StoredJob) -> JobState:
    slots = {
        slot: SlotState(stored.term, stored.checksum, len(stored.value)) for slot, stored in job.slots.items()
    }
    return JobState(age_ms(now_s, job.accepted_s), slots)
