"""How an owner's records reach the replicas: new ones at once, what a replica lacks behind them, no I/O."""

from __future__ import annotations

from collections.abc import Mapping

from emberring.jobs.lease import has_quorum
from emberring.jobs.messages import DropSlots, WriteSlots
from emberring.jobs.owned import OwnedRecords
from emberring.jobs.peer import INVENTORY_INTERVAL_S, ReplicaProgress, SlotRef
from emberring.jobs.records import NO_TERM, TOMBSTONE, JobState, Record, Term, age_ms, pack_records
from emberring.placement.model import Group, quorum

MAX_MESSAGE_BYTES = 256 * 1024
DIGEST_MISMATCH_TIMEOUT_S = 1.0  # for so long an idle replica may differ before it is compared again


class Replication:
    """The replicas of an owned shard, and what each of them lacks."""

    def __init__(self, records: OwnedRecords) -> None:
        self._records = records
        self._group: Group | None = None
        self._term = NO_TERM
        self._mismatch_since: dict[str, float] = {}
        self.peers: dict[str, ReplicaProgress] = {}

    def begin(self, group: Group, term: Term) -> None:
        """A term begins: all that is not committed goes to every replica."""
        self._group, self._term = group, term
        self._mismatch_since.clear()
        self.peers = {identity: ReplicaProgress(identity) for identity in group.everyone}
        for key, job in self._records.jobs.items():
            for slot, owned in job.slots.items():
                if not owned.committed:
                    self.write((key, slot))

    def clear(self) -> None:
        """The term is over."""
        self.peers = {}

    def write(self, ref: SlotRef) -> None:
        """A value was written: every replica gets it."""
        for peer in self.peers.values():
            peer.extra.pop(ref, None)
            peer.backlog.pop(ref, None)
            peer.fresh[ref] = None

    def compare(self, identity: str, inventory: Mapping[str, JobState]) -> None:
        """What a replica holds is known: find what it lacks and what it has too much."""
        peer = self.peers.get(identity)
        if peer is None:
            return
        peer.known = True
        self._mismatch_since.pop(identity, None)
        in_flight_refs = {ref for refs in peer.in_flight.values() for ref in refs}
        for key, job in self._records.jobs.items():
            theirs = inventory[key].slots if key in inventory else {}
            for slot, owned in job.slots.items():
                ref = (key, slot)
                held = theirs.get(slot)
                if held is not None and held.checksum == owned.checksum:
                    continue
                if ref not in peer.fresh and ref not in in_flight_refs:
                    peer.backlog[ref] = None
        for key, theirs_job in inventory.items():
            mine = self._records.jobs.get(key)
            for slot in theirs_job.slots:
                if mine is None or slot not in mine.slots:
                    peer.extra[(key, slot)] = None

    def wants_inventory(self, now_s: float, identity: str, sent_s: float, digest: int) -> bool:
        """Whether a replica that granted a lease renewal should be asked what it holds."""
        peer = self.peers.get(identity)
        if peer is None or now_s - peer.inventory_asked_s < INVENTORY_INTERVAL_S:
            return False
        if peer.known and not self._differs(now_s, peer, sent_s, digest):
            return False
        peer.inventory_asked_s = now_s
        return True

    def _differs(self, now_s: float, peer: ReplicaProgress, sent_s: float, digest: int) -> bool:
        idle = not (peer.fresh or peer.backlog or peer.extra or peer.in_flight)
        if not idle or digest == self._records.digest:
            self._mismatch_since.pop(peer.identity, None)
            return False
        return now_s - self._mismatch_since.setdefault(peer.identity, now_s) > DIGEST_MISMATCH_TIMEOUT_S

    def next_message(self, now_s: float, identity: str, ticket: int) -> WriteSlots | DropSlots | None:
        """The next message for a replica, under this ticket; None if there is nothing or no room."""
        peer = self.peers.get(identity)
        if peer is None or not peer.may_send(now_s):
            return None
        refs = self._take(peer.fresh)
        if not refs and (refs := self._take(peer.backlog)):
            peer.catching_up.add(ticket)
        if refs:
            peer.in_flight[ticket] = refs
            packed = pack_records(self._record(now_s, ref) for ref in refs)
            return WriteSlots(self._shard, identity, self._term, packed)
        if peer.extra and not peer.in_flight:
            refs = tuple(list(peer.extra)[:2000])
            for ref in refs:
                del peer.extra[ref]
            peer.in_flight[ticket] = refs
            packed = pack_records(Record(key, slot, 0, b"") for key, slot in refs)
            return DropSlots(self._shard, identity, self._term, packed)
        return None

    @property
    def _shard(self) -> int:
        assert self._group is not None
        return self._group.shard

    def _take(self, queue: dict[SlotRef, None]) -> tuple[SlotRef, ...]:
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
        """What a message that is on its way to a replica holds."""
        peer = self.peers.get(identity)
        return peer.in_flight.get(ticket, ()) if peer is not None else ()

    def answered(self, identity: str, ticket: int) -> list[SlotRef]:
        """A replica has carried out a message; what is committed by that."""
        peer = self.peers.get(identity)
        if peer is None or self._group is None:
            return []
        committed: list[SlotRef] = []
        for ref in peer.answered(ticket):
            owned = self._records.find(*ref)
            if owned is None or owned.acks is None:
                continue
            owned.acks.add(identity)
            if has_quorum(self._group, owned.acks):
                self._records.mark_committed(owned)
                committed.append(ref)
        return committed

    def failed(self, now_s: float, identity: str, ticket: int) -> None:
        """A message had no answer."""
        peer = self.peers.get(identity)
        if peer is None:
            return
        for ref in peer.failed(now_s, ticket):
            if self._records.find(*ref) is not None:
                peer.backlog.setdefault(ref, None)
            else:
                peer.extra.setdefault(ref, None)

    def drop_tombstoned(self, key: str) -> None:
        """A batch job's mark that it is forgotten is committed: its other slots go, here and at every replica."""
        job = self._records.jobs.get(key)
        for slot in [slot for slot in job.slots if slot != TOMBSTONE] if job else ():
            self._records.erase(key, slot)
            self._erase_everywhere((key, slot))

    def sweep_tombstones(self) -> None:
        """Once every replica holds the marks and has shed the rest, the marks go too."""
        if not all(peer.clean for peer in self.peers.values()):
            return
        marked = [key for key, job in self._records.jobs.items() if set(job.slots) == {TOMBSTONE}]
        for key in marked:
            if self._records.jobs[key].slots[TOMBSTONE].committed:
                self._records.erase(key, TOMBSTONE)
                self._erase_everywhere((key, TOMBSTONE))

    def _erase_everywhere(self, ref: SlotRef) -> None:
        for peer in self.peers.values():
            peer.fresh.pop(ref, None)
            peer.backlog.pop(ref, None)
            peer.extra[ref] = None

    def migration_complete(self) -> bool:
        """Whether all who join hold everything, and a quorum of the next members too."""
        if self._group is None or not self._group.joining:
            return False
        complete = {identity for identity, peer in self.peers.items() if peer.complete}
        newcomers = set(self._group.joining) - set(self._group.members)
        enough = len(complete.intersection(self._group.joining)) >= quorum(self._group.joining)
        return enough and newcomers <= complete
