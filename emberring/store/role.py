"""The store: replicas of shards on its disk, and the owners among them."""

from __future__ import annotations

import asyncio
import contextlib
import random
import secrets
import signal
from collections.abc import Callable, Sequence
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
from emberring.store.peers import Peers
from emberring.store.replicas import ReplicaHost
from emberring.store.shards import Shards
from emberring.store.status import StoreStatusHandler
from emberring.transport.messages import Ok
from emberring.transport.network import Network

TICK_INTERVAL_S = 0.05
LEASE_RENEWAL_INTERVAL_S = 0.2
DISK_STALL_TIMEOUT_S = 0.5  # a disk that has not answered for so long gives up what it owns
OWNERSHIP_HANDOVER_S = 0.8  # between the word to end and the end
MOVED_TIMEOUT_S = 1.0

logger = get_logger("store")


class StoreKnowledge(TierKnowledge, Protocol):
    """What a store learns of the tier, and what it tells of itself; a follower is one."""

    me: NodeRecord

    async def start(self) -> None:
        """Begin to learn."""

    async def stop(self) -> None:
        """Stop learning."""


Learn = Callable[[Network, NodeRecord, Sequence[str]], StoreKnowledge]


class Store:
    """One store process. `learn` makes its source of knowledge."""

    def __init__(self, settings: Settings, learn: Learn = Follower) -> None:
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
        self.follower = learn(self.network, me, settings.internal_seeds())
        self.journal = disk.journal
        record_process_start(disk.journal, loop.time())
        self.host = ReplicaHost(disk.identity, disk.replicas, disk.journal, disk.capacity_bytes)
        self.peers = Peers(self.network, self.host)
        self.shards = Shards(self.host, self.peers, settings.bounds.status_s, self._report_migration)
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
        """Listen, learn, own."""
        self.follower.subscribe(self._learn)
        await self.network.listen(self.address)
        await self.follower.start()
        logger.info("event=store_started identity=%s address=%s", self.host.identity, self.address)
        self._spawn(self._repeat(TICK_INTERVAL_S, self._tick))
        self._spawn(self._repeat(LEASE_RENEWAL_INTERVAL_S, self.shards.renew_leases))

    async def _repeat(self, every_s: float, action: object) -> None:
        assert callable(action)
        while True:
            try:
                action()
            except Exception:
                logger.exception("event=tick_failed")
            await asyncio.sleep(every_s)

    def _learn(self) -> None:
        placement = self.follower.placement
        configuration = self.follower.configuration
        if placement is not None:
            addresses = {identity: member.address for identity, member in placement.stores.items()}
            addresses |= {fact.identity: fact.address for fact in self._stores()}
            addresses[self.host.identity] = self.address
            self.peers.addresses = addresses
            if placement.epoch > self._placement_epoch:
                self._placement_epoch = placement.epoch
                self.shards.place(placement)
        if configuration is not None and configuration.version > self._configuration_version:
            self._configuration_version = configuration.version
            self.shards.configure(configuration)

    def _stores(self) -> list[NodeRecord]:
        return [
            fact for fact in self.follower.nodes.values() if fact.role is NodeRole.STORE and fact.identity
        ]

    def _tick(self) -> None:
        healthy = (
            not self._shutting_down and not self.host.failed and self.host.stalled_s() < DISK_STALL_TIMEOUT_S
        )
        live = {fact.identity for fact in self._stores() if not fact.leaving}
        self.shards.tick(healthy, live)

    def _report_migration(self, shard: int, epoch: int) -> None:
        self._spawn(self._report_moved(PlacementMoved(shard, epoch)))

    async def _report_moved(self, message: PlacementMoved) -> None:
        controls = [fact for fact in self.follower.nodes.values() if fact.role is NodeRole.CONTROL]
        random.shuffle(controls)
        for fact in controls:
            with contextlib.suppress(EmberringError):
                await self.network.call(fact.address, message, Ok, MOVED_TIMEOUT_S)
                return

    def _spawn(self, coroutine: object) -> None:
        assert asyncio.iscoroutine(coroutine)
        task: asyncio.Task[None] = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def leave(self) -> None:
        """Hand over what is owned, answer for a moment longer, end."""
        logger.info("event=store_leaving")
        self._shutting_down = True
        self.follower.me = attrs.evolve(self.follower.me, leaving=True)
        self._tick()
        await asyncio.sleep(OWNERSHIP_HANDOVER_S)
        for task in list(self._tasks):
            task.cancel()
        await self.follower.stop()
        self.peers.close()
        await self.network.close()
        await self.journal.close()


async def run(settings: Settings) -> None:
    """Run the store until SIGTERM. `DiskFailedError` where the disk cannot be opened."""
    loop = asyncio.get_running_loop()
    ended = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: None)
    store = Store(settings)
    await store.start()
    await ended.wait()
    await store.leave()
