"""Owners and job managers of all shards at a store, driven by the event loop."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from emberring.configuration.model import Configuration
from emberring.errors import EmberringError, NotOwnerError, UnknownOutcomeError
from emberring.jobs.definition import ItemSpec
from emberring.jobs.job_manager import JobManager
from emberring.jobs.job_table import AnswerCall, JobManagerAction, JobReply, ProposeValue, RejectCall
from emberring.jobs.loading import DecodeDefinition
from emberring.jobs.messages import RenewLeasesReply, ReplicaReply
from emberring.jobs.owner import ShardOwner
from emberring.jobs.owner_actions import (
    MigrationCompleted,
    OwnerAction,
    OwnershipGained,
    OwnershipLost,
    SendToReplica,
    SlotCommitted,
)
from emberring.logs import get_logger
from emberring.placement.model import SHARDS, Placement
from emberring.store.definition_decoder import DefinitionDecoder
from emberring.store.replica_client import ReplicaClient
from emberring.store.replica_host import ReplicaHost

CALL_TIMEOUT_S = 6.0  # for the answer to a call of a gateway

logger = get_logger("store")


class ShardManager:
    """Owners and job managers of all shards, and the actions that they return.

    `status_s`: number of seconds after its submission for which an ended batch job can be read.
    `on_migration_completed(shard, epoch)` is called for groups whose joining replicas store all records.
    `on_items_waiting`, which may be replaced, is called when items may be waiting for gateways.
    """

    def __init__(
        self,
        host: ReplicaHost,
        replica_client: ReplicaClient,
        status_s: float,
        on_migration_completed: Callable[[int, int], None],
    ) -> None:
        self.host = host
        self.owners: dict[int, ShardOwner] = {}
        self.job_managers: dict[int, JobManager] = {}
        self.on_items_waiting: Callable[[], None] = lambda: None
        self._replica_client = replica_client
        self._on_migration_completed = on_migration_completed
        self._decoder = DefinitionDecoder()
        self._calls: dict[int, asyncio.Future[JobReply]] = {}
        self._next_call = 1
        for shard in range(SHARDS):
            seed = random.getrandbits(64)
            owner = ShardOwner(host.identity, host.replicas[shard], seed)
            self.owners[shard] = owner
            self.job_managers[shard] = JobManager(shard, owner.records, status_s, seed)

    # Changes of the tier.

    def apply_placement(self, placement: Placement) -> None:
        """Apply a newer placement of shards."""
        now_s = _now_s()
        for group in placement.groups:
            owner = self.owners[group.shard]
            self._perform(group.shard, owner.set_group(now_s, group))
            if owner.group is not None and self.host.identity not in owner.group.everyone:
                self.host.erase_shard(group.shard)

    def configure(self, configuration: Configuration) -> None:
        """Use a newer configuration."""
        for job_manager in self.job_managers.values():
            job_manager.configure(configuration)

    def tick(self, healthy: bool, live: set[str]) -> None:
        """Let all owners, and the job managers of owned shards, carry out the actions that are due.

        `healthy`: the disk works and the store is not shutting down; `live`: identities of stores in
        contact.
        """
        now_s = _now_s()
        for shard, owner in self.owners.items():
            self._perform(shard, owner.tick(now_s, healthy, live))
            if owner.serving(now_s):
                self._perform_job_manager(shard, self.job_managers[shard].tick(now_s))
        self.on_items_waiting()

    def renew_leases(self) -> None:
        """Renew the leases of the shards that this store owns."""
        identities = {
            identity
            for owner in self.owners.values()
            if owner.group is not None
            for identity in owner.group.everyone
        }
        for identity in identities:
            leases = [lease for owner in self.owners.values() for lease in owner.leases(identity)]
            if leases:
                self._replica_client.renew_lease(identity, leases, self._on_lease_renewal)

    def _on_lease_renewal(self, identity: str, sent_s: float, reply: RenewLeasesReply) -> None:
        for renewal in reply.answers:
            owner = self.owners[renewal.shard]
            self._perform(renewal.shard, owner.on_lease_renewal(_now_s(), identity, sent_s, renewal))

    # Calls of gateways.

    def serving(self, shard: int) -> JobManager:
        """Return the job manager of a shard that this store owns under an active lease.

        Otherwise raises `NotOwnerError`, with the owner's address if it is known.
        """
        owner = self.owners[shard]
        if not owner.serving(_now_s()):
            owner_address = self._replica_client.addresses.get(self.host.replicas[shard].owner, "")
            raise NotOwnerError(
                owner_address
                if owner_address != self._replica_client.addresses.get(self.host.identity)
                else ""
            )
        return self.job_managers[shard]

    async def call(
        self, shard: int, request: Callable[[JobManager, int], list[JobManagerAction]]
    ) -> JobReply:
        """Call the job manager of a shard and wait for the answer.

        Raises `NotOwnerError` if this store is not the owner and has done nothing, and `UnknownOutcomeError` if
        no quorum of replicas answered in time.
        """
        job_manager = self.serving(shard)
        call = self._next_call
        self._next_call += 1
        future: asyncio.Future[JobReply] = asyncio.get_running_loop().create_future()
        self._calls[call] = future
        try:
            self._perform_job_manager(shard, request(job_manager, call))
            async with asyncio.timeout(CALL_TIMEOUT_S):
                return await future
        except TimeoutError:
            raise UnknownOutcomeError("no quorum of replicas in time") from None
        finally:
            self._calls.pop(call, None)
            # Guard: a future that fails refers to this frame by its traceback, and so keeps the request in memory.
            del future

    # Actions of owners and job managers.

    def _perform(self, shard: int, actions: list[OwnerAction]) -> None:
        for action in actions:
            if isinstance(action, SendToReplica):
                self._send(shard, action)
            elif isinstance(action, SlotCommitted):
                self._perform_job_manager(
                    shard, self.job_managers[shard].on_committed(_now_s(), action.key, action.slot)
                )
            elif isinstance(action, OwnershipGained):
                logger.info(
                    "event=owner shard=%d term=%s lots=%d", shard, self.owners[shard].term, len(action.jobs)
                )
                self._perform_job_manager(
                    shard, self.job_managers[shard].on_ownership_gained(_now_s(), action.jobs)
                )
            elif isinstance(action, OwnershipLost):
                logger.info("event=owner_lost shard=%d", shard)
                self._perform_job_manager(shard, self.job_managers[shard].on_ownership_lost())
            elif isinstance(action, MigrationCompleted):
                self._on_migration_completed(shard, action.epoch)

    def _send(self, shard: int, action: SendToReplica) -> None:
        owner = self.owners[shard]

        def callback(reply: ReplicaReply | None) -> None:
            now_s = _now_s()
            if reply is None:
                self._perform(shard, owner.on_call_failed(now_s, action.ticket))
            else:
                self._perform(shard, owner.on_reply(now_s, action.ticket, reply))

        self._replica_client.call(action.target, action.message, callback)

    def _perform_job_manager(self, shard: int, actions: list[JobManagerAction]) -> None:
        now_s = _now_s()
        owner = self.owners[shard]
        for action in actions:
            if isinstance(action, AnswerCall):
                self._resolve(action.call, action.body)
            elif isinstance(action, RejectCall):
                self._resolve(action.call, action.error)
            elif isinstance(action, ProposeValue):
                owner_actions = owner.propose(now_s, action.key, action.slot, action.value, action.accepted_s)
                self._perform(shard, owner_actions)
            elif isinstance(action, DecodeDefinition):
                self._decode(shard, action)
            else:
                self._perform(shard, owner.forget(now_s, action.key))
        if self.job_managers[shard].waiting:
            self.on_items_waiting()

    def _decode(self, shard: int, action: DecodeDefinition) -> None:
        job_manager = self.job_managers[shard]

        def callback(number: int, specs: list[ItemSpec] | None) -> None:
            self._perform_job_manager(shard, job_manager.on_definition_decoded(_now_s(), number, specs))

        self._decoder.decode(action, callback)

    def close(self) -> None:
        """Stop the decoding of definitions."""
        self._decoder.close()

    def _resolve(self, call: int, body: JobReply | EmberringError) -> None:
        future = self._calls.get(call)
        if future is None or future.done():
            return
        if isinstance(body, EmberringError):
            future.set_exception(body)
        else:
            future.set_result(body)


def _now_s() -> float:
    return asyncio.get_running_loop().time()
