"""Simulated store: the real replica, owner and job manager of one shard on a disk that loses unsynced data."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from emberring.errors import NotOwnerError, UnknownOutcomeError
from emberring.jobs.calls import (
    EndJob,
    LeaseItems,
    LeaseItemsReply,
    ReadItem,
    ReadJob,
    ReportRuns,
    SubmitJob,
)
from emberring.jobs.definition import decode_items
from emberring.jobs.job_manager import JobManager
from emberring.jobs.job_table import AnswerCall, JobManagerAction, ProposeValue, RejectCall
from emberring.jobs.lease_budget import LeaseBudget
from emberring.jobs.lease_order import lease_in_order
from emberring.jobs.loading import DecodeDefinition
from emberring.jobs.messages import RenewLeases, RenewLeasesReply
from emberring.jobs.owner import ShardOwner
from emberring.jobs.owner_actions import (
    MigrationCompleted,
    OwnerAction,
    OwnershipGained,
    OwnershipLost,
    SendToReplica,
    SlotCommitted,
)
from emberring.jobs.replica import REPLICA_LEASE_S, FailCall, PersistEntry, Replica, ReplicaAction, SendReply
from emberring.jobs.replica_log import decode_entry, encode_entry
from emberring.placement.model import Placement
from emberring.simulation.jobs.messages import (
    GatewayReply,
    GatewayRequest,
    JobRequest,
    OnGatewayReply,
    OnStoreReply,
    StoreReply,
    StoreRequest,
)
from emberring.simulation.jobs.mutations import Mutations, make_owner, make_replica
from emberring.simulation.jobs.services import CONFIGURATION
from emberring.simulation.jobs.world import World

TICK_INTERVAL_S = 0.05
LEASE_RENEWAL_INTERVAL_S = 0.2
CALL_TIMEOUT_S = 0.8
DISK_STALL_TIMEOUT_S = 0.5
SYNC_S = 0.001
DECODING_S = 0.02  # of one definition at a new owner


@attrs.define(eq=False)
class Disk:
    """Durable contents. `pending` entries are written and not synced."""

    identity: str
    entries: list[bytes] = attrs.field(factory=list)
    pending: list[tuple[bytes, int]] = attrs.field(factory=list)
    sync_s: float = SYNC_S
    normal_sync_s: float = SYNC_S
    refusing: bool = False


class SimulatedStore:
    """A machine with a disk, and its process while it runs. Calls and replies are sent through the world."""

    def __init__(self, world: World, shard: int, name: str, mutations: Mutations) -> None:
        self.world = world
        self.shard = shard
        self.name = name
        self.mutations = mutations
        normal_s = SYNC_S * 40 ** world.rng.random()
        self.disk = Disk(self._new_identity(), sync_s=normal_s, normal_sync_s=normal_s)
        self.running = False
        self.frozen_until_s = 0.0
        self.leaving = False
        self.incarnation = 0
        self.placement: Placement | None = None
        self.machines: dict[str, SimulatedStore] = {}
        self.on_migration_completed: Callable[[str, int, int], None] = lambda name, shard, epoch: None
        self.on_result_read: Callable[[str], None] = lambda key: None
        self.replica: Replica
        self.owner: ShardOwner
        self.job_manager: JobManager
        self._calls: dict[int, OnStoreReply] = {}
        self._job_manager_calls: dict[int, OnGatewayReply] = {}
        self._number = 0
        self._syncing = False

    def _new_identity(self) -> str:
        return f"{self.name}.{self.world.rng.getrandbits(24):06x}"

    @property
    def identity(self) -> str:
        """The identity of its disk."""
        return self.disk.identity

    # Lifecycle.

    def start(self) -> None:
        """Start the process from the contents of its disk."""
        if self.running or self.disk.refusing:
            if not self.running:
                self.world.after(0.25, self.start)
            return
        self.running, self.leaving = True, False
        self.incarnation += 1
        self._calls, self._job_manager_calls, self._syncing = {}, {}, False
        now_s = self.world.now_s
        self.replica = make_replica(self.mutations, self.shard)
        logged = [decode_entry(payload) for payload in self.disk.entries]
        for entry in logged:
            since_s = max(0.0, now_s - entry.clock_s)
            self.replica.apply(now_s - since_s, entry.entry, 0)
        self.replica.restored(now_s + REPLICA_LEASE_S)
        seed = self.world.rng.getrandbits(32)
        self.owner = make_owner(self.mutations, self.identity, self.replica, seed)
        self.job_manager = JobManager(self.shard, self.owner.records, 30.0, seed)
        self.job_manager.configure(CONFIGURATION)
        self.apply_placement(self.placement)
        self._tick(self.incarnation)
        self._renew_leases(self.incarnation)

    def kill(self) -> None:
        """Kill the process; written entries are kept, synced or not."""
        if self.running:
            self.running = False
            self.disk.entries += [payload for payload, _ in self.disk.pending]
            self.disk.pending = []

    def lose_power(self) -> None:
        """Lose power: only a random prefix of the unsynced entries is kept."""
        self.running = False
        kept = self.world.rng.randint(0, len(self.disk.pending))
        self.disk.entries += [payload for payload, _ in self.disk.pending[:kept]]
        self.disk.pending = []

    def wipe(self) -> None:
        """Lose the disk."""
        self.running = False
        identity = self.identity if self.mutations.keeps_identity else self._new_identity()
        normal_s = self.disk.normal_sync_s
        self.disk = Disk(identity, sync_s=normal_s, normal_sync_s=normal_s)

    def when_awake(self, incarnation: int, work: Callable[..., None], *arguments: object) -> None:
        """Call `work` in that incarnation once the process is not frozen."""
        if not self.running or incarnation != self.incarnation:
            return
        if self.world.now_s < self.frozen_until_s:
            self.world.at(self.frozen_until_s, self.when_awake, incarnation, work, *arguments)
            return
        work(*arguments)

    # Periodic work.

    def _tick(self, incarnation: int) -> None:
        if not self.running or incarnation != self.incarnation:
            return
        if self.world.now_s >= self.frozen_until_s:
            now_s = self.world.now_s
            stalled = self.replica.oldest_pending_s(now_s) > DISK_STALL_TIMEOUT_S
            healthy = not (self.leaving or stalled or self.disk.refusing)
            live = {machine.identity for machine in self.machines.values() if self._is_reachable(machine)}
            self.perform(self.owner.tick(now_s, healthy, live))
            if self.owner.serving(now_s):
                self.perform_job_manager(self.job_manager.tick(now_s))
        self.world.after(TICK_INTERVAL_S, self._tick, incarnation)

    def _is_reachable(self, machine: SimulatedStore) -> bool:
        return machine.running and self.world.is_reachable(self.name, machine.name)

    def _renew_leases(self, incarnation: int) -> None:
        if not self.running or incarnation != self.incarnation:
            return
        if self.world.now_s >= self.frozen_until_s and self.owner.group is not None:
            for identity in self.owner.group.everyone:
                leases = self.owner.leases(identity)
                if leases:
                    message = RenewLeases(self.identity, identity, tuple(leases))
                    self._call(identity, message, self._on_lease_renewal(identity, self.world.now_s))
        self.world.after(LEASE_RENEWAL_INTERVAL_S, self._renew_leases, incarnation)

    def _on_lease_renewal(self, identity: str, sent_s: float) -> OnStoreReply:
        def done(reply: StoreReply) -> None:
            if isinstance(reply, RenewLeasesReply):
                for answer in reply.answers:
                    self.perform(self.owner.on_lease_renewal(self.world.now_s, identity, sent_s, answer))

        return done

    def apply_placement(self, placement: Placement | None) -> None:
        """Apply a placement that is not older than the current one."""
        if placement is None:
            return
        if self.placement is None or placement.epoch >= self.placement.epoch:
            self.placement = placement
            if self.running:
                self.perform(self.owner.set_group(self.world.now_s, placement.groups[self.shard]))
                if self.owner.group is not None and self.identity not in self.owner.group.everyone:
                    self._execute(self.replica.leave(self.world.now_s))

    # Calls to replicas.

    def _call(self, target: str, message: StoreRequest, done: OnStoreReply) -> None:
        """Call the machine with this identity; `done` gets the reply, or None after the timeout."""
        incarnation = self.incarnation
        pending = [True]

        def finish(reply: StoreReply) -> None:
            if pending[0]:
                pending[0] = False
                self.when_awake(incarnation, done, reply)

        self.world.after(CALL_TIMEOUT_S, finish, None)
        machine = next((found for found in self.machines.values() if found.identity == target), None)
        if machine is not None:
            self.world.send(self.name, machine.name, machine.receive, self.name, message, finish)

    def receive(self, origin: str, message: StoreRequest, finish: OnStoreReply) -> None:
        """Handle a call of another store."""
        self.when_awake(self.incarnation, self._handle_call, origin, message, finish)

    def _handle_call(self, origin: str, message: StoreRequest, finish: OnStoreReply) -> None:
        def reply(body: StoreReply) -> None:
            self.world.send(self.name, origin, finish, body)

        if message.target != self.identity:
            reply(None)
        elif isinstance(message, RenewLeases):
            answer, actions = self.replica.renew_lease(self.world.now_s, message.leases[0])
            self._execute(actions)
            reply(RenewLeasesReply((answer,)))
        else:
            self._number += 1
            self._calls[self._number] = reply
            self._execute(self.replica.handle(self.world.now_s, self._number, message))

    def _execute(self, actions: list[ReplicaAction]) -> None:
        for action in actions:
            if isinstance(action, SendReply):
                self._calls.pop(action.call)(action.body)
            elif isinstance(action, FailCall):
                self._calls.pop(action.call)(None)
            elif isinstance(action, PersistEntry):
                self._persist(action)

    def _persist(self, action: PersistEntry) -> None:
        payload = encode_entry(self.shard, self.world.now_s, action.entry)
        if self.disk.refusing:
            self.world.after(0.0, self.when_awake, self.incarnation, self._on_persist_failed, action.token)
            return
        self.disk.pending.append((payload, action.token))
        if self.mutations.unsynced:
            self._execute(self.replica.persisted(self.world.now_s, action.token, 0))
        if not self._syncing:
            self._syncing = True
            self.world.after(self.disk.sync_s, self._synced, self.incarnation, len(self.disk.pending))

    def _on_persist_failed(self, token: int) -> None:
        self._execute(self.replica.persist_failed(token))

    def _synced(self, incarnation: int, count: int) -> None:
        """Complete a sync. The disk continues while the process is frozen; the process is notified after the freeze."""
        if not self.running or incarnation != self.incarnation:
            return
        done, self.disk.pending = self.disk.pending[:count], self.disk.pending[count:]
        self.disk.entries += [payload for payload, _ in done]
        self._syncing = bool(self.disk.pending)
        if self.disk.pending:
            self.world.after(self.disk.sync_s, self._synced, incarnation, len(self.disk.pending))
        if not self.mutations.unsynced:
            for _, token in done:
                self.when_awake(incarnation, self._on_persisted, token)

    def _on_persisted(self, token: int) -> None:
        self._execute(self.replica.persisted(self.world.now_s, token, 0))

    # Owner and job manager.

    def perform(self, actions: list[OwnerAction]) -> None:
        """Execute the actions of the owner."""
        now_s = self.world.now_s
        for action in actions:
            if isinstance(action, SendToReplica):
                self._call(action.target, action.message, self._on_call_ended(action.ticket))
            elif isinstance(action, SlotCommitted):
                self.perform_job_manager(self.job_manager.on_committed(now_s, action.key, action.slot))
            elif isinstance(action, OwnershipGained):
                self.perform_job_manager(self.job_manager.on_ownership_gained(now_s, action.jobs))
            elif isinstance(action, OwnershipLost):
                self.perform_job_manager(self.job_manager.on_ownership_lost())
            elif isinstance(action, MigrationCompleted):
                self.on_migration_completed(self.name, self.shard, action.epoch)

    def _on_call_ended(self, ticket: int) -> OnStoreReply:
        def done(reply: StoreReply) -> None:
            now_s = self.world.now_s
            if reply is None or isinstance(reply, RenewLeasesReply):
                self.perform(self.owner.on_call_failed(now_s, ticket))
            else:
                self.perform(self.owner.on_reply(now_s, ticket, reply))

        return done

    def perform_job_manager(self, actions: list[JobManagerAction]) -> None:
        """Execute the actions of the job manager."""
        for action in actions:
            if isinstance(action, AnswerCall):
                self._resolve(action.call, action.body)
            elif isinstance(action, RejectCall):
                self._resolve(action.call, action.error)
            elif isinstance(action, ProposeValue):
                if self.mutations.shows_early:
                    self.perform_job_manager(
                        self.job_manager.on_committed(self.world.now_s, action.key, action.slot)
                    )
                self.perform(
                    self.owner.propose(
                        self.world.now_s, action.key, action.slot, action.value, action.accepted_s
                    )
                )
            elif isinstance(action, DecodeDefinition):
                self.world.after(
                    DECODING_S,
                    self.when_awake,
                    self.incarnation,
                    self._on_decoded,
                    action.number,
                    action.value,
                )
            else:
                self.perform(self.owner.forget(self.world.now_s, action.key))

    def _on_decoded(self, number: int, value: bytes) -> None:
        actions = self.job_manager.on_definition_decoded(self.world.now_s, number, decode_items(value))
        self.perform_job_manager(actions)

    def _resolve(self, call: int, body: GatewayReply) -> None:
        done = self._job_manager_calls.pop(call, None)
        if done is not None:
            done(body)

    # Calls from gateways.

    def handle_request(self, origin: str, request: GatewayRequest, finish: OnGatewayReply) -> None:
        """Handle a call of a gateway; `finish` gets the response or an error."""
        self.when_awake(self.incarnation, self._handle_request, origin, request, finish)

    def _handle_request(self, origin: str, request: GatewayRequest, finish: OnGatewayReply) -> None:
        now_s = self.world.now_s

        def reply(body: GatewayReply) -> None:
            self.world.send(self.name, origin, finish, body)

        if not self.owner.serving(now_s):
            reply(NotOwnerError())
        elif isinstance(request, LeaseItems):
            budget = LeaseBudget(request.gateway, request.capacity, request.service_capacity)
            reply(LeaseItemsReply(tuple(lease_in_order(now_s, [self.job_manager], budget))))
        elif isinstance(request, ReportRuns):
            reply(self.job_manager.report_runs(now_s, request))
        else:
            self._number += 1
            self._job_manager_calls[self._number] = self._with_ownership_check(request, reply)
            self.perform_job_manager(self._dispatch(now_s, self._number, request))

    def _dispatch(self, now_s: float, call: int, request: JobRequest) -> list[JobManagerAction]:
        if isinstance(request, SubmitJob):
            return self.job_manager.submit(now_s, call, request)
        if isinstance(request, ReadJob):
            return self.job_manager.read(now_s, call, request)
        if isinstance(request, ReadItem):
            return self.job_manager.read_item(call, request)
        if isinstance(request, EndJob):
            return self.job_manager.end(call, request)
        return self.job_manager.finish_run(now_s, call, request)

    def _with_ownership_check(self, request: JobRequest, reply: OnGatewayReply) -> OnGatewayReply:
        """Wrap `reply` so that a read that waited is answered only if this store is still the owner."""

        def done(body: GatewayReply) -> None:
            stale = isinstance(request, ReadJob) and not self.owner.serving(self.world.now_s)
            reply(UnknownOutcomeError("the owner may have changed") if stale else body)

        return done
