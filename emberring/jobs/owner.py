"""The owner of one shard: takes a term from a quorum, recovers what the replicas hold, writes under its term. No I/O.

Every call gives actions. A `SendToReplica` is a call to a replica (this store's own too); its end is returned by
`on_reply` or `on_call_failed` with the same ticket. Times are seconds of the monotonic clock.
"""

from __future__ import annotations

import math
import random
from enum import Enum
from typing import Any

import attrs

from emberring.jobs.lease import OwnerLease, has_quorum
from emberring.jobs.messages import (
    ClaimOwnership,
    ClaimOwnershipReply,
    FetchRecords,
    FetchRecordsReply,
    InventoryReply,
    InventoryRequest,
    LeaseRenewal,
    ReleaseOwnership,
    ShardLease,
    WriteSlotsReply,
)
from emberring.jobs.owned import OwnedJob, OwnedRecords
from emberring.jobs.owner_recovery import OwnerRecovery
from emberring.jobs.records import NO_TERM, TOMBSTONE, JobState, Term, unpack_inventory, unpack_records
from emberring.jobs.replica import CLAIM_LEASE_S, REPLICA_LEASE_S, Replica
from emberring.jobs.replication import Replication
from emberring.placement.model import Group, in_order

RANK_DELAY_S = 0.25  # each store waits so much longer than the one before it in the order
CLAIM_TIMEOUT_S = 0.7
CLAIM_BACKOFF_S = (0.05, 0.25)
RECOVERY_TIMEOUT_S = 2.5
MIGRATION_REPORT_INTERVAL_S = 0.5
TOMBSTONE_SWEEP_INTERVAL_S = 2.0
FIRST_EPOCH = 1  # of a group's life, when all its replicas are empty


class OwnershipStage(Enum):
    """How far a store is with a shard."""

    FOLLOWING = "following"
    CLAIMING = "claiming"
    FETCHING = "fetching"
    REPLICATING = "rewriting"
    SERVING = "serving"


@attrs.frozen
class SendToReplica:
    """Call the store of this identity."""

    ticket: int
    target: str
    message: Any


@attrs.frozen
class SlotCommitted:
    """This slot's value is on a quorum's disks: it may be shown and stays."""

    key: str
    slot: int


@attrs.frozen
class OwnershipGained:
    """These batch jobs, all committed, are the shard's whole truth."""

    jobs: dict[str, OwnedJob]


@attrs.frozen
class OwnershipLost:
    """Nothing may be said of the shard any more."""


@attrs.frozen
class MigrationCompleted:
    """All records stand on the joining replicas of this epoch's group."""

    epoch: int


OwnerAction = SendToReplica | SlotCommitted | OwnershipGained | OwnershipLost | MigrationCompleted


class ShardOwner:
    """One shard, as seen by a store that may own it."""

    def __init__(self, me: str, replica: Replica, seed: int) -> None:
        self.me = me
        self.replica = replica
        self.group: Group | None = None
        self.stage = OwnershipStage.FOLLOWING
        self.term = NO_TERM
        self.lease = OwnerLease()
        self.records = OwnedRecords()
        self._replication = Replication(self.records)
        self._random = random.Random(seed)
        self._counter = 0
        self._inventories: dict[str, dict[str, JobState]] = {}
        self._recovery: OwnerRecovery | None = None
        self._stage_since_s = 0.0
        self._not_before_s = 0.0
        self._claimed_s = -math.inf  # when the claim was sent that a quorum has granted
        self._migration_reported_s = 0.0
        self._tombstones_swept_s = 0.0
        self._announced = False  # `OwnershipGained` was given, and `OwnershipLost` not yet
        self._sent: dict[int, SendToReplica] = {}
        self._next_ticket = 1
        self._out: list[OwnerAction] = []

    # What the store asks.

    def serving(self, now_s: float) -> bool:
        """Whether this store may answer for the shard now."""
        if self.stage is not OwnershipStage.SERVING or self.group is None:
            return False
        return now_s < self.lease.until_s(self.group)

    def leases(self, identity: str) -> list[ShardLease]:
        """What to keep with a replica."""
        if self.group is None or identity not in self.group.everyone:
            return []
        owns = self.stage in (OwnershipStage.FETCHING, OwnershipStage.REPLICATING, OwnershipStage.SERVING)
        return [ShardLease(self.group.shard, self.term)] if owns else []

    def set_group(self, now_s: float, group: Group) -> list[OwnerAction]:
        """The placement has this group for the shard."""
        if self.group is not None and group.epoch <= self.group.epoch:
            return []
        before, self.group = self.group, group
        if before is None or self.me not in before.everyone:
            self._not_before_s = now_s + (REPLICA_LEASE_S if self._is_newcomer(group) else 0.0)
        if self.stage is not OwnershipStage.FOLLOWING:
            if self.me in group.everyone:
                self._claim(now_s)
            else:
                self._release(now_s, group)
        return self._take()

    def _is_newcomer(self, group: Group) -> bool:
        """Whether this replica knows of no lease although one may run."""
        empty = group.epoch > FIRST_EPOCH and not self.replica.owner
        return empty or self.me not in group.members

    def tick(self, now_s: float, fit: bool, live: set[str]) -> list[OwnerAction]:
        """Time goes on. `fit`: this store's disk works and it is not leaving; `live`: identities heard of lately."""
        if self.group is None or self.me not in self.group.everyone:
            return []
        if not fit:
            if self.stage is not OwnershipStage.FOLLOWING:
                self._release(now_s, self.group)
        elif self.stage is OwnershipStage.FOLLOWING:
            if not self.replica.lease_active(now_s) and now_s >= self._claim_at_s(live):
                self._claim(now_s)
        elif self.stage is OwnershipStage.CLAIMING:
            if now_s - self._stage_since_s > CLAIM_TIMEOUT_S:
                self._step_down(now_s)
        elif self.stage is OwnershipStage.FETCHING:
            if now_s - self._stage_since_s > RECOVERY_TIMEOUT_S:
                self._step_down(now_s)
        else:
            self._flush(now_s)
            self._report_migration(now_s)
            self._sweep(now_s)
        return self._take()

    def propose(
        self, now_s: float, key: str, slot: int, value: bytes, accepted_s: float
    ) -> list[OwnerAction]:
        """Write a value into a slot that has none; `SlotCommitted` follows once it lasts."""
        self.records.put(key, slot, value, accepted_s)
        self._replication.write((key, slot))
        self._flush(now_s)
        return self._take()

    def forget(self, now_s: float, key: str) -> list[OwnerAction]:
        """Let go of a batch job. It is marked first, so that no replica that was away can bring it back."""
        job = self.records.jobs.get(key)
        if job is None or TOMBSTONE in job.slots:
            return []
        return self.propose(now_s, key, TOMBSTONE, b"", job.accepted_s)

    # What replicas answer.

    def on_lease_renewal(
        self, now_s: float, identity: str, sent_s: float, answer: LeaseRenewal
    ) -> list[OwnerAction]:
        """A replica answered a lease renewal that was sent at this time."""
        if self.stage in (OwnershipStage.FOLLOWING, OwnershipStage.CLAIMING):
            return []
        if answer.promised > self.term:
            self._overruled(now_s, answer.promised)
        elif answer.granted and answer.promised == self.term:
            self.lease.grant(identity, sent_s)
            if self.stage in (OwnershipStage.REPLICATING, OwnershipStage.SERVING):
                self._check_replica(now_s, identity, sent_s, answer.digest)
        return self._take()

    def _check_replica(self, now_s: float, identity: str, sent_s: float, digest: int) -> None:
        assert self.group is not None
        if self._replication.wants_inventory(now_s, identity, sent_s, digest):
            self._send(identity, InventoryRequest(self.group.shard, identity, self.term))

    def on_reply(self, now_s: float, ticket: int, reply: Any) -> list[OwnerAction]:
        """A call had this reply."""
        sent = self._sent.pop(ticket, None)
        if sent is None:
            return []
        if isinstance(reply, ClaimOwnershipReply):
            self._on_claim_reply(now_s, sent, reply)
        elif isinstance(reply, WriteSlotsReply):
            self._on_write_reply(now_s, sent, reply)
        elif isinstance(reply, InventoryReply):
            self._on_inventory(now_s, sent, reply)
        elif isinstance(reply, FetchRecordsReply):
            self._on_fetched(now_s, sent, reply)
        return self._take()

    def on_call_failed(self, now_s: float, ticket: int) -> list[OwnerAction]:
        """A call had no reply in time, or a refusal of the disk."""
        sent = self._sent.pop(ticket, None)
        if sent is not None and isinstance(sent.message, FetchRecords) and self._recovery is not None:
            self._recovery.failed(sent.target)
            self._fetch(now_s)
        elif sent is not None:
            self._replication.failed(now_s, sent.target, ticket)
        return self._take()

    # Taking a term.

    def _claim_at_s(self, live: set[str]) -> float:
        assert self.group is not None
        staying = self.group.joining or self.group.members
        settled = [identity for identity in self.group.members if identity in staying]
        order = in_order(self.group.shard, settled)
        order += [
            identity for identity in in_order(self.group.shard, self.group.everyone) if identity not in order
        ]
        before = order[: order.index(self.me)]
        # Whoever held the lease last has let it run out or given it up: it is not waited for.
        rank = sum(1 for identity in before if identity in live and identity != self.replica.owner)
        return max(self._not_before_s, self.replica.lease_until_s) + rank * RANK_DELAY_S

    def _claim(self, now_s: float) -> None:
        assert self.group is not None
        self._counter = max(self._counter, self.replica.promised.counter, self.term.counter) + 1
        self.term = Term(self.group.epoch, self._counter, self.me)
        self._enter(now_s, OwnershipStage.CLAIMING)
        self._inventories.clear()
        self._recovery = None
        self._sent.clear()
        self.lease.clear()
        for identity in self.group.everyone:
            self._send(identity, ClaimOwnership(self.group.shard, identity, self.term))

    def _on_claim_reply(self, now_s: float, sent: SendToReplica, reply: ClaimOwnershipReply) -> None:
        if sent.message.term != self.term or self.stage is OwnershipStage.FOLLOWING:
            return
        if not reply.granted:
            self._counter = max(self._counter, reply.promised.counter)
            if reply.promised > self.term and self.stage is not OwnershipStage.CLAIMING:
                self._overruled(now_s, reply.promised)
            return
        inventory = unpack_inventory(reply.inventory)
        if self.stage is OwnershipStage.CLAIMING:
            self._inventories[sent.target] = inventory
            self._adopt_if_granted(now_s)
        elif self.stage is OwnershipStage.FETCHING:
            self._inventories[sent.target] = inventory
        else:
            self._replication.compare(sent.target, inventory)
            self._flush(now_s)

    def _adopt_if_granted(self, now_s: float) -> None:
        assert self.group is not None
        if not has_quorum(self.group, set(self._inventories)):
            return
        self._claimed_s = self._stage_since_s
        self._enter(now_s, OwnershipStage.FETCHING)
        self._recovery = OwnerRecovery(now_s, dict(self._inventories), self.group, self.me, self.replica)
        self._fetch(now_s)

    def _fetch(self, now_s: float) -> None:
        assert self.group is not None
        adoption = self._recovery
        if adoption is None or self.stage is not OwnershipStage.FETCHING:
            return
        for identity, records in adoption.wanted():
            self._send(identity, FetchRecords(self.group.shard, identity, records))
        if adoption.stuck:
            self._step_down(now_s)
        elif adoption.done:
            self._rewrite(now_s, adoption)

    def _on_fetched(self, now_s: float, sent: SendToReplica, reply: FetchRecordsReply) -> None:
        if self._recovery is not None and self.stage is OwnershipStage.FETCHING:
            self._recovery.fetched(sent.target, unpack_records(reply.records))
            self._fetch(now_s)

    def _rewrite(self, now_s: float, adoption: OwnerRecovery) -> None:
        assert self.group is not None
        self._recovery = None
        self._enter(now_s, OwnershipStage.REPLICATING)
        self.records.replace(adoption.jobs())
        self._replication.begin(self.group, self.term)
        for identity, inventory in self._inventories.items():
            self._replication.compare(identity, inventory)
        self._inventories.clear()
        self._flush(now_s)
        self._serve_if_rewritten(now_s)

    def _serve_if_rewritten(self, now_s: float) -> None:
        if self.stage is OwnershipStage.REPLICATING and not self.records.uncommitted:
            self._enter(now_s, OwnershipStage.SERVING)
            self._announced = True
            self._out.append(OwnershipGained(self.records.jobs))

    # Writing.

    def _flush(self, now_s: float) -> None:
        if self.group is None or self.stage not in (OwnershipStage.REPLICATING, OwnershipStage.SERVING):
            return
        for identity in self.group.everyone:
            while (message := self._replication.next_message(now_s, identity, self._next_ticket)) is not None:
                self._send(identity, message)

    def _on_write_reply(self, now_s: float, sent: SendToReplica, reply: WriteSlotsReply) -> None:
        if sent.message.term != self.term or self.stage not in (
            OwnershipStage.REPLICATING,
            OwnershipStage.SERVING,
        ):
            return
        if not reply.written:
            if reply.promised > self.term:
                self._overruled(now_s, reply.promised)
            else:
                self._replication.failed(now_s, sent.target, sent.ticket)
            return
        if sent.target == self.me:
            self._share_values(sent.ticket)
        for key, slot in self._replication.answered(sent.target, sent.ticket):
            self._out.append(SlotCommitted(key, slot))
            if slot == TOMBSTONE:
                self._replication.drop_tombstoned(key)
        self._flush(now_s)
        self._serve_if_rewritten(now_s)

    def _share_values(self, ticket: int) -> None:
        """What this store's own replica holds need not stand in memory twice."""
        for key, slot in self._replication.in_flight_refs(self.me, ticket):
            owned, value = self.records.find(key, slot), self.replica.value(key, slot)
            if owned is not None and value == owned.value:
                owned.value = value

    def _on_inventory(self, now_s: float, sent: SendToReplica, reply: InventoryReply) -> None:
        if sent.message.term != self.term or self.stage not in (
            OwnershipStage.REPLICATING,
            OwnershipStage.SERVING,
        ):
            return
        if reply.inventory is None:
            self._overruled(now_s, reply.promised)
            return
        self._replication.compare(sent.target, unpack_inventory(reply.inventory))
        self._flush(now_s)

    def _report_migration(self, now_s: float) -> None:
        assert self.group is not None
        if self.stage is not OwnershipStage.SERVING or not self.group.joining:
            return
        if (
            now_s - self._migration_reported_s >= MIGRATION_REPORT_INTERVAL_S
            and self._replication.migration_complete()
        ):
            self._migration_reported_s = now_s
            self._out.append(MigrationCompleted(self.group.epoch))

    def _sweep(self, now_s: float) -> None:
        if (
            self.stage is OwnershipStage.SERVING
            and now_s - self._tombstones_swept_s >= TOMBSTONE_SWEEP_INTERVAL_S
        ):
            self._tombstones_swept_s = now_s
            self._replication.sweep_tombstones()

    # Letting go.

    def _overruled(self, now_s: float, promised: Term) -> None:
        self._counter = max(self._counter, promised.counter)
        if self.serving(now_s) or now_s < self._claimed_s + CLAIM_LEASE_S:
            self._claim(now_s)  # a quorum is bound to this store and refuses others: one promise ends nothing
        else:
            self._step_down(now_s)

    def _step_down(self, now_s: float) -> None:
        self._enter(now_s, OwnershipStage.FOLLOWING)
        self._claimed_s = -math.inf
        self._recovery = None
        self._inventories.clear()
        self._sent.clear()
        self.records.replace({})
        self._replication.clear()
        self._not_before_s = now_s + self._random.uniform(*CLAIM_BACKOFF_S)
        if self._announced:
            self._announced = False
            self._out.append(OwnershipLost())

    def _release(self, now_s: float, group: Group) -> None:
        term = self.term
        self._step_down(now_s)
        for identity in group.everyone:
            self._send(identity, ReleaseOwnership(group.shard, identity, term))

    def _enter(self, now_s: float, stage: OwnershipStage) -> None:
        self.stage = stage
        self._stage_since_s = now_s

    def _send(self, target: str, message: Any) -> None:
        send = SendToReplica(self._next_ticket, target, message)
        self._next_ticket += 1
        self._sent[send.ticket] = send
        self._out.append(send)

    def _take(self) -> list[OwnerAction]:
        out, self._out = self._out, []
        return out
