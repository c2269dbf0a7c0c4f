"""Store role: hosts replicas of shards on its disk and owns some of the shards."""

from __future__ import annotations

import asyncio
import contextlib
import random
import secrets
import signal
from collections.abc import Callable, Coroutine, Sequence
from pathlib import Path
from typing import Protocol

import attrs

from emberring.distribution.follower import Follower
from emberring.distribution.messages import PlacementMoved
from emberring.distribution.records import NodeRecord, NodeRole
from emberring.errors import EmberringError
from emberring.jobs.calls import EndJob, FinishRun, LeaseItems, ReadItem, ReadJob, ReportRuns, SubmitJob
from emberring.jobs.directory import TierKnowledge
from emberring.jobs.messages import (
    ClaimOwnership,
    DropSlots,
    FetchRecords,
    InventoryRequest,
    ReleaseOwnership,
    RenewLeases,
    WriteSlots,
)
from emberring.jobs.status import StoreStatusRequest
from emberring.logs import get_logger
from emberring.settings import STORE_PORT_OFFSET, Settings
from emberring.store.disk import open_disk, record_process_start
from emberring.store.dispatch import Dispatch
from emberring.store.gateway_calls import GatewayCalls
from emberring.store.loop_monitor import LoopMonitor
from emberring.store.replica_client import ReplicaClient
from emberring.store.replica_host import ReplicaHost
from emberring.store.shard_manager import ShardManager
from emberring.store.status import StoreStatusHandler
from emberring.transport.messages import Ok
from emberring.transport.network import Network

TICK_INTERVAL_S = 0.05
LEASE_RENEWAL_INTERVAL_S = 0.2
DISK_STALL_TIMEOUT_S = 0.5  # of the oldest write, after which the store releases its shards
OWNERSHIP_HANDOVER_S = 0.8  # for which a store that shuts down still answers calls
MIGRATION_REPORT_TIMEOUT_S = 1.0

logger = get_logger("store")


class StoreKnowledge(TierKnowledge, Protocol):
    """State of the tier as known to the store, and its own announcement `me`; `Follower` implements it."""

    me: NodeRecord

    async def start(self) -> None:
        """Start following the state of the tier."""

    async def stop(self) -> None:
        """Stop following."""


MakeKnowledge = Callable[[Network, NodeRecord, Sequence[str]], StoreKnowledge]


class Store:
    """A store process. `make_knowledge` creates the object that follows the state of the tier."""

    def __init__(self, settings: Settings, make_knowledge: MakeKnowledge = Follower) -> None:
        loop = asyncio.get_running_loop()
        disk = open_disk(Path(settings.data_dir), settings.limits.disk_mb, loop.time())
        self.network = Network()
        self.address = settings.internal_address(STORE_PORT_OFFSET)
        me = NodeRecord(
            name=settings.node_name,
            role=NodeRole.STORE,
            address=self.address,
            zone=settings.zone,
            identity=disk.identity,
            incarnation=secrets.token_hex(8),
        )
        self.follower = make_knowledge(self.network, me, settings.internal_seeds())
        self.journal = disk.journal
        record_process_start(disk.journal, loop.time())
        self.host = ReplicaHost(disk.identity, disk.replicas, disk.journal, disk.capacity_bytes)
        self.replica_client = ReplicaClient(self.network, self.host)
        self.shards = ShardManager(
            self.host, self.replica_client, settings.bounds.status_s, self._report_migration
        )
        self._loop_monitor = LoopMonitor(TICK_INTERVAL_S, loop.time())
        self._placement_epoch = 0
        self._configuration_version = 0
        self._shutting_down = False
        self._tasks: set[asyncio.Task[None]] = set()
        self._register(Dispatch(self.shards, settings.zone))

    def _register(self, dispatch: Dispatch) -> None:
        calls = GatewayCalls(self.shards)
        network = self.network
        for kind in (ClaimOwnership, WriteSlots, DropSlots, InventoryRequest, FetchRecords, ReleaseOwnership):
            network.handle(kind, lambda message, _: self.host.answer(message))
        network.handle(RenewLeases, self._on_renew_leases)
        network.handle(SubmitJob, lambda message, _: calls.submit(message))
        network.handle(ReadJob, lambda message, _: calls.read(message))
        network.handle(ReadItem, lambda message, _: calls.item(message))
        network.handle(EndJob, lambda message, _: calls.end(message))
        network.handle(ReportRuns, lambda message, _: calls.report(message))
        network.handle(FinishRun, lambda message, _: calls.finish(message))
        network.handle(LeaseItems, lambda message, _: dispatch.lease(message))
        network.handle(StoreStatusRequest, StoreStatusHandler(self.shards).answer)

    async def _on_renew_leases(self, message: RenewLeases, _: object) -> object:
        return self.host.renew_lease(message)

    async def start(self) -> None:
        """Listen, follow the state of the tier, and start claiming shards."""
        self.follower.subscribe(self._on_knowledge_changed)
        await self.network.listen(self.address)
        await self.follower.start()
        logger.info("event=store_started identity=%s address=%s", self.host.identity, self.address)
        self._spawn(self._repeat(TICK_INTERVAL_S, self._tick))
        self._spawn(self._repeat(LEASE_RENEWAL_INTERVAL_S, self.shards.renew_leases))

    async def _repeat(self, interval_s: float, action: Callable[[], None]) -> None:
        while True:
            try:
                action()
            except Exception:  # outermost loop: an error in one call must not stop ticks and lease renewals
                logger.exception("event=tick_failed")
            await asyncio.sleep(interval_s)

    def _on_knowledge_changed(self) -> None:
        placement = self.follower.placement
        configuration = self.follower.configuration
        if placement is not None:
            addresses = {identity: member.address for identity, member in placement.stores.items()}
            addresses |= {node.identity: node.address for node in self._live_stores()}
            addresses[self.host.identity] = self.address
            self.replica_client.addresses = addresses
            if placement.epoch > self._placement_epoch:
                self._placement_epoch = placement.epoch
                self.shards.apply_placement(placement)
        if configuration is not None and configuration.version > self._configuration_version:
            self._configuration_version = configuration.version
            self.shards.configure(configuration)

    def _live_stores(self) -> list[NodeRecord]:
        return [
            node for node in self.follower.nodes.values() if node.role is NodeRole.STORE and node.identity
        ]

    def _tick(self) -> None:
        self._loop_monitor.check(asyncio.get_running_loop().time())
        healthy = (
            not self._shutting_down and not self.host.failed and self.host.stalled_s() < DISK_STALL_TIMEOUT_S
        )
        live = {node.identity for node in self._live_stores() if not node.leaving}
        self.shards.tick(healthy, live)

    def _report_migration(self, shard: int, epoch: int) -> None:
        self._spawn(self._send_migration_report(PlacementMoved(shard, epoch)))

    async def _send_migration_report(self, message: PlacementMoved) -> None:
        controls = [node for node in self.follower.nodes.values() if node.role is NodeRole.CONTROL]
        random.shuffle(controls)
        for node in controls:
            with contextlib.suppress(EmberringError):
                await self.network.call(node.address, message, Ok, MIGRATION_REPORT_TIMEOUT_S)
                return

    def _spawn(self, coroutine: Coroutine[object, object, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def shutdown(self) -> None:
        """Shut down gracefully: release all shards, answer calls during the handover, then stop."""
        logger.info("event=store_leaving")
        self._shutting_down = True
        self.follower.me = attrs.evolve(self.follower.me, leaving=True)
        self._tick()
        await asyncio.sleep(OWNERSHIP_HANDOVER_S)
        for task in list(self._tasks):
            task.cancel()
        await self.follower.stop()
        self.replica_client.close()
        self.shards.close()
        await self.network.close()
        await self.journal.close()


async def run(settings: Settings) -> None:
    """Run the store until SIGTERM or SIGINT; raises `DiskFailedError` if the disk cannot be opened."""
    loop = asyncio.get_running_loop()
    ended = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: None)
    store = Store(settings)
    await store.start()
    await ended.wait()
    await store.shutdown()
