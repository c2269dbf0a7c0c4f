"""Recovery of a new owner: collects the values of all records from its own replica and from others. No I/O."""

from __future__ import annotations

from collections.abc import Iterator

from emberring.jobs.merge import Inventories, MergedSlot, duplicate_positions, merge
from emberring.jobs.owned import OwnedJob, OwnedSlot
from emberring.jobs.records import Record, Term, checksum, pack_records
from emberring.jobs.replica import Replica
from emberring.jobs.replica_progress import SlotRef
from emberring.jobs.results import item_index
from emberring.placement.model import Group

MAX_FETCH_BYTES = 256 * 1024  # of keys and values in one request


class OwnerRecovery:
    """Recovers the records of a shard from the inventories of a quorum.

    `next_fetches` yields the requests to send; `jobs` may be called once `complete` is true.
    """

    def __init__(
        self, now_s: float, inventories: Inventories, group: Group, identity: str, replica: Replica
    ) -> None:
        self._merged = merge(inventories, group)
        self._values: dict[SlotRef, bytes] = {}
        self._missing: dict[SlotRef, list[str]] = {}
        self._in_flight: dict[str, dict[SlotRef, None]] = {}
        self._now_s = now_s
        for key, job in self._merged.items():
            stored_job = replica.jobs.get(key)
            for slot, merged_slot in job.slots.items():
                stored = stored_job.slots.get(slot) if stored_job else None
                if stored is not None and stored.checksum == merged_slot.state.checksum:
                    self._values[(key, slot)] = stored.value
                else:
                    self._missing[(key, slot)] = [name for name in merged_slot.holders if name != identity]

    @property
    def complete(self) -> bool:
        """Whether all values are known."""
        return not self._missing

    @property
    def stuck(self) -> bool:
        """Whether a missing value has no replica left that could provide it."""
        return any(not sources for sources in self._missing.values())

    def next_fetches(self) -> Iterator[tuple[str, bytes]]:
        """Yield replicas and packed records without values to fetch from them now; one request at a time to each."""
        batches: dict[str, list[Record]] = {}
        sizes: dict[str, int] = {}
        for (key, slot), sources in self._missing.items():
            source = sources[0] if sources else ""
            size = sizes.get(source, 0)
            if not source or source in self._in_flight or size > MAX_FETCH_BYTES:
                continue
            sizes[source] = size + self._slot(key, slot).state.length + len(key)
            batches.setdefault(source, []).append(Record(key, slot, 0, b""))
        for source, records in batches.items():
            self._in_flight[source] = {(record.key, record.slot): None for record in records}
            yield source, pack_records(records)

    def _slot(self, key: str, slot: int) -> MergedSlot:
        return self._merged[key].slots[slot]

    def on_fetched(self, identity: str, records: list[Record]) -> None:
        """Store fetched values; those that the replica did not return are requested from another one."""
        requested = self._in_flight.pop(identity, {})
        for record in records:
            ref = (record.key, record.slot)
            if ref in requested and checksum(record.value) == self._slot(*ref).state.checksum:
                self._values[ref] = record.value
                self._missing.pop(ref, None)
                del requested[ref]
        self._remove_source(identity, requested)

    def on_call_failed(self, identity: str) -> None:
        """Handle a fetch without a reply: the replica is not used as a source any more."""
        self._in_flight.pop(identity, None)
        self._remove_source(identity, dict.fromkeys(self._missing))

    def _remove_source(self, identity: str, refs: dict[SlotRef, None]) -> None:
        for ref in refs:
            sources = self._missing.get(ref)
            if sources and identity in sources:
                sources.remove(identity)

    def jobs(self) -> dict[str, OwnedJob]:
        """Return the records, once all values are known.

        If an item has two positions, the one with the highest term is kept.
        """
        result: dict[str, OwnedJob] = {}
        for key, merged in self._merged.items():
            positions: dict[int, tuple[Term, int]] = {
                slot: (merged_slot.state.term, item_index(self._values[(key, slot)]))
                for slot, merged_slot in merged.slots.items()
                if slot >= 0
            }
            duplicates = duplicate_positions(positions)
            job = OwnedJob(self._now_s - merged.age_ms / 1000)
            for slot, merged_slot in merged.slots.items():
                if slot not in duplicates:
                    value = self._values[(key, slot)]
                    acks = None if merged_slot.committed else set[str]()
                    job.slots[slot] = OwnedSlot(
                        value, merged_slot.state.checksum, merged_slot.committed, acks
                    )
            result[key] = job
        return result
