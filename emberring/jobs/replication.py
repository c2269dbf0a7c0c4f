"""Replication of an owner's records to replicas: new writes first, then older records that are missing. No I/O."""

from __future__ import annotations

from collections.abc import Mapping

from emberring.errors import InternalError
from emberring.jobs.lease import has_quorum
from emberring.jobs.messages import DropSlots, WriteSlots
from emberring.jobs.owned import OwnedRecords
from emberring.jobs.records import NO_TERM, TOMBSTONE, JobState, Record, Term, age_ms, pack_records
from emberring.jobs.replica_progress import INVENTORY_INTERVAL_S, ReplicaProgress, SlotRef
from emberring.placement.model import Group, quorum

MAX_MESSAGE_BYTES = 256 * 1024  # of keys and values in one request
MAX_ERASED_SLOTS = 2000  # in one request
DIGEST_MISMATCH_TIMEOUT_S = 1.0  # of an idle replica, after which its inventory is requested


class Replication:
    """Replication state of an owned shard: its replicas, and the records that each of them lacks."""

    def __init__(self, records: OwnedRecords) -> None:
        self._records = records
        self._group: Group | None = None
        self._term = NO_TERM
        self._mismatch_since: dict[str, float] = {}
        self.replicas: dict[str, ReplicaProgress] = {}

    def begin(self, group: Group, term: Term) -> None:
        """Begin a term: all slots that are not committed are written to every replica."""
        self._group, self._term = group, term
        self._mismatch_since.clear()
        self.replicas = {identity: ReplicaProgress(identity) for identity in group.everyone}
        for key, job in self._records.jobs.items():
            for slot, owned in job.slots.items():
                if not owned.committed:
                    self.write((key, slot))

    def clear(self) -> None:
        """End the term: nothing is written any more."""
        self.replicas = {}

    def write(self, ref: SlotRef) -> None:
        """Queue a slot to be written to every replica."""
        for replica in self.replicas.values():
            replica.to_erase.pop(ref, None)
            replica.backlog.pop(ref, None)
            replica.pending[ref] = None

    def compare(self, identity: str, inventory: Mapping[str, JobState]) -> None:
        """Compare a replica's inventory with the owner's records; queue missing slots and superfluous ones."""
        replica = self.replicas.get(identity)
        if replica is None:
            return
        replica.compared = True
        self._mismatch_since.pop(identity, None)
        self._queue_missing(replica, inventory)
        self._queue_superfluous(replica, inventory)

    def _queue_missing(self, replica: ReplicaProgress, inventory: Mapping[str, JobState]) -> None:
        in_flight = {ref for refs in replica.in_flight.values() for ref in refs}
        for key, job in self._records.jobs.items():
            stored_slots = inventory[key].slots if key in inventory else {}
            for slot, owned in job.slots.items():
                ref = (key, slot)
                stored = stored_slots.get(slot)
                if stored is not None and stored.checksum == owned.checksum:
                    continue
                if ref not in replica.pending and ref not in in_flight:
                    replica.backlog[ref] = None

    def _queue_superfluous(self, replica: ReplicaProgress, inventory: Mapping[str, JobState]) -> None:
        for key, stored_job in inventory.items():
            for slot in stored_job.slots:
                if self._records.find(key, slot) is None:
                    replica.to_erase[(key, slot)] = None

    def inventory_due(self, now_s: float, identity: str, digest: int) -> bool:
        """Whether to request the inventory of a replica that has granted a lease renewal with this digest."""
        replica = self.replicas.get(identity)
        if replica is None or now_s - replica.inventory_requested_s < INVENTORY_INTERVAL_S:
            return False
        if replica.compared and not self._contents_differ(now_s, replica, digest):
            return False
        replica.inventory_requested_s = now_s
        return True

    def _contents_differ(self, now_s: float, replica: ReplicaProgress, digest: int) -> bool:
        idle = not (replica.pending or replica.backlog or replica.to_erase or replica.in_flight)
        if not idle or digest == self._records.digest:
            self._mismatch_since.pop(replica.identity, None)
            return False
        return now_s - self._mismatch_since.setdefault(replica.identity, now_s) > DIGEST_MISMATCH_TIMEOUT_S

    def next_message(self, now_s: float, identity: str, ticket: int) -> WriteSlots | DropSlots | None:
        """Return the next request to a replica, to be sent with this ticket; None if none is due."""
        replica = self.replicas.get(identity)
        if replica is None or not replica.may_send(now_s):
            return None
        return self._next_write(now_s, replica, ticket) or self._next_drop(replica, ticket)

    def _next_write(self, now_s: float, replica: ReplicaProgress, ticket: int) -> WriteSlots | None:
        refs = self._pop_refs(replica.pending)
        if not refs and (refs := self._pop_refs(replica.backlog)):
            replica.catching_up.add(ticket)
        if not refs:
            return None
        replica.in_flight[ticket] = refs
        packed = pack_records(self._record(now_s, ref) for ref in refs)
        return WriteSlots(self._shard, replica.identity, self._term, packed)

    def _next_drop(self, replica: ReplicaProgress, ticket: int) -> DropSlots | None:
        """Return a request to erase slots; None while another request is in flight."""
        if not replica.to_erase or replica.in_flight:
            return None
        refs = tuple(list(replica.to_erase)[:MAX_ERASED_SLOTS])
        for ref in refs:
            del replica.to_erase[ref]
        replica.in_flight[ticket] = refs
        packed = pack_records(Record(key, slot, 0, b"") for key, slot in refs)
        return DropSlots(self._shard, replica.identity, self._term, packed)

    @property
    def _shard(self) -> int:
        if self._group is None:
            raise InternalError("no term has begun")
        return self._group.shard

    def _pop_refs(self, queue: dict[SlotRef, None]) -> tuple[SlotRef, ...]:
        refs: list[SlotRef] = []
        size = 0
        while queue and size < MAX_MESSAGE_BYTES:
            ref = next(iter(queue))
            del queue[ref]
            owned = self._records.find(*ref)
            if owned is not None:
                refs.append(ref)
                size += len(owned.value) + len(ref[0])
        return tuple(refs)

    def _record(self, now_s: float, ref: SlotRef) -> Record:
        key, slot = ref
        job = self._records.jobs[key]
        return Record(key, slot, age_ms(now_s, job.accepted_s), job.slots[slot].value)

    def in_flight_refs(self, identity: str, ticket: int) -> tuple[SlotRef, ...]:
        """Return the slots of a request that is in flight to a replica."""
        replica = self.replicas.get(identity)
        return replica.in_flight.get(ticket, ()) if replica is not None else ()

    def on_written(self, identity: str, ticket: int) -> list[SlotRef]:
        """Handle the confirmation of a request by a replica; return the slots that are committed as a result."""
        replica = self.replicas.get(identity)
        if replica is None or self._group is None:
            return []
        committed: list[SlotRef] = []
        for ref in replica.on_written(ticket):
            owned = self._records.find(*ref)
            if owned is None or owned.acks is None:
                continue
            owned.acks.add(identity)
            if has_quorum(self._group, owned.acks):
                self._records.mark_committed(owned)
                committed.append(ref)
        return committed

    def on_call_failed(self, now_s: float, identity: str, ticket: int) -> None:
        """Handle a request that failed: its slots are queued again."""
        replica = self.replicas.get(identity)
        if replica is None:
            return
        for ref in replica.on_call_failed(now_s, ticket):
            if self._records.find(*ref) is not None:
                replica.backlog.setdefault(ref, None)
            else:
                replica.to_erase.setdefault(ref, None)

    def drop_tombstoned(self, key: str) -> None:
        """Erase all other slots of a batch job whose tombstone is committed, here and at every replica."""
        job = self._records.jobs.get(key)
        for slot in [slot for slot in job.slots if slot != TOMBSTONE] if job else ():
            self._records.erase(key, slot)
            self._erase_everywhere((key, slot))

    def sweep_tombstones(self) -> None:
        """Erase tombstones once every replica stores them and has erased the other slots of their batch jobs."""
        if not all(replica.up_to_date for replica in self.replicas.values()):
            return
        tombstoned = [key for key, job in self._records.jobs.items() if set(job.slots) == {TOMBSTONE}]
        for key in tombstoned:
            if self._records.jobs[key].slots[TOMBSTONE].committed:
                self._records.erase(key, TOMBSTONE)
                self._erase_everywhere((key, TOMBSTONE))

    def _erase_everywhere(self, ref: SlotRef) -> None:
        for replica in self.replicas.values():
            replica.pending.pop(ref, None)
            replica.backlog.pop(ref, None)
            replica.to_erase[ref] = None

    def migration_complete(self) -> bool:
        """Whether all joining replicas, and a quorum of the next members, store all records."""
        if self._group is None or not self._group.joining:
            return False
        complete = {identity for identity, replica in self.replicas.items() if replica.complete}
        joining_only = set(self._group.joining) - set(self._group.members)
        quorum_complete = len(complete.intersection(self._group.joining)) >= quorum(self._group.joining)
        return quorum_complete and joining_only <= complete
