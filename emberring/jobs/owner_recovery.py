"""How a new owner gathers the values of the records that it recovers: its own replica's, the rest fetched."""

from __future__ import annotations

from collections.abc import Iterator

from emberring.jobs.merge import Inventories, MergedSlot, duplicate_positions, merge
from emberring.jobs.owned import OwnedJob, OwnedSlot
from emberring.jobs.peer import SlotRef
from emberring.jobs.records import Record, Term, checksum, pack_records
from emberring.jobs.replica import Replica
from emberring.jobs.results import item_index
from emberring.placement.model import Group

MAX_FETCH_BYTES = 256 * 1024


class OwnerRecovery:
    """From a quorum's inventories to the shard's records. Sans-I/O: `wanted` says what to fetch from whom."""

    def __init__(
        self, now_s: float, inventories: Inventories, group: Group, me: str, replica: Replica
    ) -> None:
        self._merged = merge(inventories, group)
        self._values: dict[SlotRef, bytes] = {}
        self._missing: dict[SlotRef, list[str]] = {}
        self._asked: dict[str, dict[SlotRef, None]] = {}
        self._now_s = now_s
        for key, job in self._merged.items():
            held = replica.jobs.get(key)
            for slot, found in job.slots.items():
                mine = held.slots.get(slot) if held else None
                if mine is not None and mine.checksum == found.state.checksum:
                    self._values[(key, slot)] = mine.value
                else:
                    self._missing[(key, slot)] = [name for name in found.holders if name != me]

    @property
    def done(self) -> bool:
        """Whether all values are there."""
        return not self._missing

    @property
    def stuck(self) -> bool:
        """Whether nobody is left who could give a value."""
        return any(not sources for sources in self._missing.values())

    def wanted(self) -> Iterator[tuple[str, bytes]]:
        """What to ask of whom now: packed records with empty values; one question at a time for each replica."""
        batches: dict[str, list[Record]] = {}
        sizes: dict[str, int] = {}
        for (key, slot), sources in self._missing.items():
            source = sources[0] if sources else ""
            size = sizes.get(source, 0)
            if not source or source in self._asked or size > MAX_FETCH_BYTES:
                continue
            sizes[source] = size + self._slot(key, slot).state.length + len(key)
            batches.setdefault(source, []).append(Record(key, slot, 0, b""))
        for source, records in batches.items():
            self._asked[source] = {(record.key, record.slot): None for record in records}
            yield source, pack_records(records)

    def _slot(self, key: str, slot: int) -> MergedSlot:
        return self._merged[key].slots[slot]

    def fetched(self, identity: str, records: list[Record]) -> None:
        """A replica gave these values; for what it did not give, another one is asked."""
        asked = self._asked.pop(identity, {})
        for record in records:
            ref = (record.key, record.slot)
            if ref in asked and checksum(record.value) == self._slot(*ref).state.checksum:
                self._values[ref] = record.value
                self._missing.pop(ref, None)
                del asked[ref]
        self._give_up(identity, asked)

    def failed(self, identity: str) -> None:
        """A replica did not answer."""
        self._asked.pop(identity, None)
        self._give_up(identity, dict.fromkeys(self._missing))

    def _give_up(self, identity: str, refs: dict[SlotRef, None]) -> None:
        for ref in refs:
            sources = self._missing.get(ref)
            if sources and identity in sources:
                sources.remove(identity)

    def jobs(self) -> dict[str, OwnedJob]:
        """The records, once all values are there. Of one item at two positions the highest term's stays."""
        result: dict[str, OwnedJob] = {}
        for key, merged in self._merged.items():
            positions: dict[int, tuple[Term, int]] = {
                slot: (found.state.term, item_index(self._values[(key, slot)]))
                for slot, found in merged.slots.items()
                if slot >= 0
            }
            out = duplicate_positions(positions)
            job = OwnedJob(self._now_s - merged.age_ms / 1000)
            for slot, found in merged.slots.items():
                if slot not in out:
                    value = self._values[(key, slot)]
                    acks = None if found.committed else set[str]()
                    job.slots[slot] = OwnedSlot(value, found.state.checksum, found.committed, acks)
            result[key] = job
        return result
