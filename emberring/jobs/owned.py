"""In-memory records of a shard at its owner."""

from __future__ import annotations

import attrs

from emberring.jobs.records import checksum, slot_digest


@attrs.define(eq=False)
class OwnedSlot:
    """The value of a slot, and whether it is committed.

    `acks`: identities of the replicas that have confirmed the value; None once it is committed.
    """

    value: bytes
    checksum: int
    committed: bool = False
    acks: set[str] | None = None


@attrs.define(eq=False)
class OwnedJob:
    """The slots of a batch job, and the latest time at which it was accepted (seconds of the monotonic clock)."""

    accepted_s: float
    slots: dict[int, OwnedSlot] = attrs.field(factory=dict)


class OwnedRecords:
    """All batch jobs of a shard. `uncommitted` is a number of slots; `digest` covers all slots."""

    def __init__(self) -> None:
        self.jobs: dict[str, OwnedJob] = {}
        self.uncommitted = 0
        self.digest = 0

    def replace(self, jobs: dict[str, OwnedJob]) -> None:
        """Replace all records."""
        self.jobs = jobs
        self.uncommitted = 0
        self.digest = 0
        for key, job in jobs.items():
            for slot, owned in job.slots.items():
                self.digest ^= slot_digest(key, slot, owned.checksum)
                self.uncommitted += not owned.committed

    def find(self, key: str, slot: int) -> OwnedSlot | None:
        """Return the slot, or None."""
        job = self.jobs.get(key)
        return job.slots.get(slot) if job else None

    def put(self, key: str, slot: int, value: bytes, accepted_s: float) -> None:
        """Store a new value, which is not committed yet."""
        job = self.jobs.get(key)
        if job is None:
            job = self.jobs[key] = OwnedJob(accepted_s)
        self.erase(key, slot)
        owned = OwnedSlot(value, checksum(value), acks=set())
        self.jobs.setdefault(key, job).slots[slot] = owned
        self.digest ^= slot_digest(key, slot, owned.checksum)
        self.uncommitted += 1

    def erase(self, key: str, slot: int) -> None:
        """Erase a slot, and the batch job if it has no other slot."""
        job = self.jobs.get(key)
        owned = job.slots.pop(slot, None) if job else None
        if job is None or owned is None:
            return
        self.digest ^= slot_digest(key, slot, owned.checksum)
        self.uncommitted -= not owned.committed
        if not job.slots:
            del self.jobs[key]

    def mark_committed(self, owned: OwnedSlot) -> None:
        """Mark a slot as committed, as a quorum has stored its value."""
        owned.committed = True
        owned.acks = None
        self.uncommitted -= 1
