"""Records of a shard in its owner's memory."""

from __future__ import annotations

import attrs

from emberring.jobs.records import checksum, slot_digest


@attrs.define(eq=False)
class OwnedSlot:
    """A value, and whether it is committed.

    `acks` are the identities of the replicas that confirmed it, until it is committed.
    """

    value: bytes
    checksum: int
    committed: bool = False
    acks: set[str] | None = None


@attrs.define(eq=False)
class OwnedJob:
    """The slots of a batch job, and when it was accepted (seconds of the monotonic clock, at the latest)."""

    accepted_s: float
    slots: dict[int, OwnedSlot] = attrs.field(factory=dict)


class OwnedRecords:
    """All batch jobs of a shard. `uncommitted` counts slots; `digest` covers all slots."""

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
        """Store a new value, not committed yet."""
        job = self.jobs.get(key)
        if job is None:
            job = self.jobs[key] = OwnedJob(accepted_s)
        self.erase(key, slot)
        owned = OwnedSlot(value, checksum(value), acks=set())
        self.jobs.setdefault(key, job).slots[slot] = owned
        self.digest ^= slot_digest(key, slot, owned.checksum)
        self.uncommitted += 1

    def erase(self, key: str, slot: int) -> None:
        """Erase a slot; a batch job without slots is erased too."""
        job = self.jobs.get(key)
        owned = job.slots.pop(slot, None) if job else None
        if job is None or owned is None:
            return
        self.digest ^= slot_digest(key, slot, owned.checksum)
        self.uncommitted -= not owned.committed
        if not job.slots:
            del self.jobs[key]

    def mark_committed(self, owned: OwnedSlot) -> None:
        """Mark a slot as stored by a quorum."""
        owned.committed = True
        owned.acks = None
        self.uncommitted -= 1
