"""State machine of a shard's owner: claims a term at a quorum, recovers the records, writes under its term. No I/O.

Every call returns actions. A `SendToReplica` is a request to a replica (also to this store's own); pass its reply to
`on_reply`, or its failure to `on_call_failed`, with the same ticket. Times are seconds of the monotonic clock.
"""

from __future__ import annotations

import math

from emberring.errors import InternalError
from emberring.jobs.claim_schedule import ClaimSchedule
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
    ReplicaReply,
    ReplicaRequest,
    ShardLease,
    WriteSlotsReply,
)
from emberring.jobs.owned import OwnedRecords
from emberring.jobs.owner_actions import (
    MigrationCompleted,
    OwnerAction,
    OwnershipGained,
    OwnershipLost,
    SendToReplica,
    SlotCommitted,
)
from emberring.jobs.owner_recovery import OwnerRecovery
from emberring.jobs.ownership_stage import OwnershipStage
from emberring.jobs.records import NO_TERM, TOMBSTONE, JobState, Term, unpack_inventory, unpack_records
from emberring.jobs.replica import CLAIM_LEASE_S, Replica
from emberring.jobs.replica_calls import ReplicaCalls
from emberring.jobs.replication import Replication
from emberring.placement.model import Group

CLAIM_TIMEOUT_S = 0.7  # for a quorum to grant a claim
RECOVERY_TIMEOUT_S = 2.5  # for the values of all records to be fetched
MIGRATION_REPORT_INTERVAL_S = 0.5  # while the placement still lists joining replicas
TOMBSTONE_SWEEP_INTERVAL_S = 2.0


class ShardOwner:
    """Ownership of one shard at one store.

    Parameters: `identity` of the store's disk, the store's own `replica` of the shard, and the `seed` of the backoff
    of its claims. Callers may read `group`, `stage`, `term`, `replica` and `records`.
    """

    def __init__(self, identity: str, replica: Replica, seed: int) -> None:
        self.identity = identity
        self.replica = replica
        self.group: Group | None = None
        self.stage = OwnershipStage.FOLLOWING
        self.term = NO_TERM
        self.lease = OwnerLease()
        self.records = OwnedRecords()
        self._claims = ClaimSchedule(identity, replica, seed)
        self._replication = Replication(self.records)
        self._inventories: dict[str, dict[str, JobState]] = {}
        self._recovery: OwnerRecovery | None = None
        self._stage_since_s = 0.0
        self._claimed_s = -math.inf  # when the claim was sent that a quorum granted
        self._migration_reported_s = 0.0
        self._tombstones_swept_s = 0.0
        self._announced = False  # `OwnershipGained` was returned and `OwnershipLost` was not yet
        self._calls = ReplicaCalls()
        self._actions: list[OwnerAction] = []

    # Calls of the store.

    def serving(self, now_s: float) -> bool:
        """Whether this store owns the shard under an active lease, so that it may answer calls."""
        if self.stage is not OwnershipStage.SERVING or self.group is None:
            return False
        return now_s < self.lease.until_s(self.group)

    def leases(self, identity: str) -> list[ShardLease]:
        """Return the leases to renew at the replica with this identity: at most one."""
        if self.group is None or identity not in self.group.everyone:
            return []
        return [ShardLease(self.group.shard, self.term)] if self.stage.has_term else []

    def set_group(self, now_s: float, group: Group) -> list[OwnerAction]:
        """Apply the shard's group of a placement; a group that is not newer is ignored."""
        if self.group is not None and group.epoch <= self.group.epoch:
            return []
        previous, self.group = self.group, group
        if previous is None or self.identity not in previous.everyone:
            self._claims.on_joined_group(now_s, group)
        if self.stage is not OwnershipStage.FOLLOWING:
            if self.identity in group.everyone:
                self._transition_to_claiming(now_s)
            else:
                self._release(now_s, group)
        return self._drain_actions()

    def tick(self, now_s: float, healthy: bool, live: set[str]) -> list[OwnerAction]:
        """Send claims and writes that are due now, and handle timeouts.

        `healthy`: this store's disk works and it is not shutting down; `live`: identities of stores in contact.
        """
        if self.group is None or self.identity not in self.group.everyone:
            return []
        if healthy:
            self._advance(now_s, self.group, live)
        elif self.stage is not OwnershipStage.FOLLOWING:
            self._release(now_s, self.group)
        return self._drain_actions()

    def _advance(self, now_s: float, group: Group, live: set[str]) -> None:
        if self.stage is OwnershipStage.FOLLOWING:
            self._claim_if_due(now_s, group, live)
        elif self.stage is OwnershipStage.CLAIMING:
            self._step_down_after(now_s, CLAIM_TIMEOUT_S)
        elif self.stage is OwnershipStage.RECOVERING:
            self._step_down_after(now_s, RECOVERY_TIMEOUT_S)
        else:
            self._send_pending_writes(now_s)
            self._report_migration(now_s, group)
            self._sweep_tombstones(now_s)

    def _claim_if_due(self, now_s: float, group: Group, live: set[str]) -> None:
        if not self.replica.lease_active(now_s) and now_s >= self._claims.earliest_claim_s(group, live):
            self._transition_to_claiming(now_s)

    def _step_down_after(self, now_s: float, timeout_s: float) -> None:
        if now_s - self._stage_since_s > timeout_s:
            self._transition_to_following(now_s)

    def propose(
        self, now_s: float, key: str, slot: int, value: bytes, accepted_s: float
    ) -> list[OwnerAction]:
        """Write a value into an empty slot; `SlotCommitted` follows once it is durable on a quorum."""
        self.records.put(key, slot, value, accepted_s)
        self._replication.write((key, slot))
        self._send_pending_writes(now_s)
        return self._drain_actions()

    def forget(self, now_s: float, key: str) -> list[OwnerAction]:
        """Delete a batch job, with a tombstone first: a replica that was unreachable must not restore it later."""
        job = self.records.jobs.get(key)
        if job is None or TOMBSTONE in job.slots:
            return []
        return self.propose(now_s, key, TOMBSTONE, b"", job.accepted_s)

    # Replies of replicas.

    def on_lease_renewal(
        self, now_s: float, identity: str, sent_s: float, renewal: LeaseRenewal
    ) -> list[OwnerAction]:
        """Handle a replica's answer to a lease renewal that was sent at `sent_s`."""
        if not self.stage.has_term:
            return []
        if renewal.promised > self.term:
            self._on_higher_term(now_s, renewal.promised)
        elif renewal.granted and renewal.promised == self.term:
            self.lease.grant(identity, sent_s)
            if self.stage.writes_records:
                self._check_replica(now_s, identity, renewal.digest)
        return self._drain_actions()

    def _check_replica(self, now_s: float, identity: str, digest: int) -> None:
        """Request the inventory of a replica whose contents are unknown or differ."""
        if self._replication.inventory_due(now_s, identity, digest):
            self._send(identity, InventoryRequest(self._known_group.shard, identity, self.term))

    def on_reply(self, now_s: float, ticket: int, reply: ReplicaReply) -> list[OwnerAction]:
        """Handle the reply to the call with this ticket."""
        call = self._calls.complete(ticket)
        if call is None:
            return []
        if isinstance(reply, ClaimOwnershipReply):
            self._on_claim_reply(now_s, call, reply)
        elif isinstance(reply, WriteSlotsReply):
            self._on_write_reply(now_s, call, reply)
        elif isinstance(reply, InventoryReply):
            self._on_inventory(now_s, call, reply)
        elif isinstance(reply, FetchRecordsReply):
            self._on_fetched(now_s, call, reply)
        return self._drain_actions()

    def on_call_failed(self, now_s: float, ticket: int) -> list[OwnerAction]:
        """Handle a call without a reply in time, or whose write the replica's disk rejected."""
        call = self._calls.complete(ticket)
        if call is not None and isinstance(call.message, FetchRecords) and self._recovery is not None:
            self._recovery.on_call_failed(call.target)
            self._continue_recovery(now_s)
        elif call is not None:
            self._replication.on_call_failed(now_s, call.target, ticket)
        return self._drain_actions()

    # Claim: until a quorum has granted it.

    def _transition_to_claiming(self, now_s: float) -> None:
        group = self._known_group
        self.term = self._claims.next_term(group.epoch, self.term)
        self._enter(now_s, OwnershipStage.CLAIMING)
        self._inventories.clear()
        self._recovery = None
        self._calls.abandon_all()
        self.lease.clear()
        for identity in group.everyone:
            self._send(identity, ClaimOwnership(group.shard, identity, self.term))

    def _on_claim_reply(self, now_s: float, call: SendToReplica, reply: ClaimOwnershipReply) -> None:
        if not self._sent_under_term(call.message) or self.stage is OwnershipStage.FOLLOWING:
            return
        if not reply.granted:
            self._on_claim_rejected(now_s, reply)
            return
        inventory = unpack_inventory(reply.inventory)
        if self.stage is OwnershipStage.CLAIMING:
            self._inventories[call.target] = inventory
            self._recover_if_granted(now_s)
        elif self.stage is OwnershipStage.RECOVERING:
            self._inventories[call.target] = inventory
        else:
            self._replication.compare(call.target, inventory)
            self._send_pending_writes(now_s)

    def _on_claim_rejected(self, now_s: float, reply: ClaimOwnershipReply) -> None:
        self._claims.observe(reply.promised)
        if reply.promised > self.term and self.stage is not OwnershipStage.CLAIMING:
            self._on_higher_term(now_s, reply.promised)

    def _recover_if_granted(self, now_s: float) -> None:
        if has_quorum(self._known_group, set(self._inventories)):
            self._transition_claiming_recovering(now_s)

    # Recovery: from the inventories of a quorum to the values of all records.

    def _transition_claiming_recovering(self, now_s: float) -> None:
        self._claimed_s = self._stage_since_s
        self._enter(now_s, OwnershipStage.RECOVERING)
        inventories = dict(self._inventories)
        self._recovery = OwnerRecovery(now_s, inventories, self._known_group, self.identity, self.replica)
        self._continue_recovery(now_s)

    def _continue_recovery(self, now_s: float) -> None:
        recovery = self._recovery
        if recovery is None or self.stage is not OwnershipStage.RECOVERING:
            return
        shard = self._known_group.shard
        for identity, records in recovery.next_fetches():
            self._send(identity, FetchRecords(shard, identity, records))
        if recovery.stuck:
            self._transition_to_following(now_s)
        elif recovery.complete:
            self._transition_recovering_replicating(now_s, recovery)

    def _on_fetched(self, now_s: float, call: SendToReplica, reply: FetchRecordsReply) -> None:
        if self._recovery is not None and self.stage is OwnershipStage.RECOVERING:
            self._recovery.on_fetched(call.target, unpack_records(reply.records))
            self._continue_recovery(now_s)

    def _transition_recovering_replicating(self, now_s: float, recovery: OwnerRecovery) -> None:
        self._recovery = None
        self._enter(now_s, OwnershipStage.REPLICATING)
        self.records.replace(recovery.jobs())
        self._replication.begin(self._known_group, self.term)
        for identity, inventory in self._inventories.items():
            self._replication.compare(identity, inventory)
        self._inventories.clear()
        self._send_pending_writes(now_s)
        self._serve_if_replicated(now_s)

    def _serve_if_replicated(self, now_s: float) -> None:
        if self.stage is OwnershipStage.REPLICATING and not self.records.uncommitted:
            self._transition_replicating_serving(now_s)

    def _transition_replicating_serving(self, now_s: float) -> None:
        self._enter(now_s, OwnershipStage.SERVING)
        self._announced = True
        self._actions.append(OwnershipGained(self.records.jobs))

    # Replication: writes to replicas, and comparison of their contents.

    def _send_pending_writes(self, now_s: float) -> None:
        if self.group is None or not self.stage.writes_records:
            return
        for identity in self.group.everyone:
            while message := self._replication.next_message(now_s, identity, self._calls.next_ticket):
                self._send(identity, message)

    def _on_write_reply(self, now_s: float, call: SendToReplica, reply: WriteSlotsReply) -> None:
        if not self._sent_under_term(call.message) or not self.stage.writes_records:
            return
        if reply.written:
            self._on_written(now_s, call)
        elif reply.promised > self.term:
            self._on_higher_term(now_s, reply.promised)
        else:
            self._replication.on_call_failed(now_s, call.target, call.ticket)

    def _on_written(self, now_s: float, call: SendToReplica) -> None:
        if call.target == self.identity:
            self._share_values(call.ticket)
        for key, slot in self._replication.on_written(call.target, call.ticket):
            self._actions.append(SlotCommitted(key, slot))
            if slot == TOMBSTONE:
                self._replication.drop_tombstoned(key)
        self._send_pending_writes(now_s)
        self._serve_if_replicated(now_s)

    def _share_values(self, ticket: int) -> None:
        """Share the value objects of this store's own replica, so that each value is in memory only once."""
        for key, slot in self._replication.in_flight_refs(self.identity, ticket):
            owned, value = self.records.find(key, slot), self.replica.value(key, slot)
            if owned is not None and value == owned.value:
                owned.value = value

    def _on_inventory(self, now_s: float, call: SendToReplica, reply: InventoryReply) -> None:
        if not self._sent_under_term(call.message) or not self.stage.writes_records:
            return
        if reply.inventory is None:
            self._on_higher_term(now_s, reply.promised)
            return
        self._replication.compare(call.target, unpack_inventory(reply.inventory))
        self._send_pending_writes(now_s)

    def _report_migration(self, now_s: float, group: Group) -> None:
        if self.stage is not OwnershipStage.SERVING or not group.joining:
            return
        due = now_s - self._migration_reported_s >= MIGRATION_REPORT_INTERVAL_S
        if due and self._replication.migration_complete():
            self._migration_reported_s = now_s
            self._actions.append(MigrationCompleted(group.epoch))

    def _sweep_tombstones(self, now_s: float) -> None:
        due = now_s - self._tombstones_swept_s >= TOMBSTONE_SWEEP_INTERVAL_S
        if self.stage is OwnershipStage.SERVING and due:
            self._tombstones_swept_s = now_s
            self._replication.sweep_tombstones()

    # Loss of ownership.

    def _on_higher_term(self, now_s: float, promised: Term) -> None:
        self._claims.observe(promised)
        if self.serving(now_s) or now_s < self._claimed_s + CLAIM_LEASE_S:
            # A quorum has granted this store a lease that is still active and rejects other claims, so the higher
            # promise of a single replica does not end the ownership: claim again under a higher term.
            self._transition_to_claiming(now_s)
        else:
            self._transition_to_following(now_s)

    def _transition_to_following(self, now_s: float) -> None:
        self._enter(now_s, OwnershipStage.FOLLOWING)
        self._claimed_s = -math.inf
        self._recovery = None
        self._inventories.clear()
        self._calls.abandon_all()
        self.records.replace({})
        self._replication.clear()
        self._claims.back_off(now_s)
        if self._announced:
            self._announced = False
            self._actions.append(OwnershipLost())

    def _release(self, now_s: float, group: Group) -> None:
        term = self.term
        self._transition_to_following(now_s)
        for identity in group.everyone:
            self._send(identity, ReleaseOwnership(group.shard, identity, term))

    # Helpers.

    @property
    def _known_group(self) -> Group:
        if self.group is None:
            raise InternalError("the shard's group is not known yet")
        return self.group

    def _enter(self, now_s: float, stage: OwnershipStage) -> None:
        self.stage = stage
        self._stage_since_s = now_s

    def _sent_under_term(self, message: ReplicaRequest) -> bool:
        """Whether a request was sent under the current term; a fetch carries no term."""
        return not isinstance(message, FetchRecords) and message.term == self.term

    def _send(self, target: str, message: ReplicaRequest) -> None:
        self._calls.send(self._actions, target, message)

    def _drain_actions(self) -> list[OwnerAction]:
        actions, self._actions = self._actions, []
        return actions
