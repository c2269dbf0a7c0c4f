"""Simulated gateways and stores that follow the control nodes, and the shard replicas on the stores."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from emberring.configuration.model import Configuration
from emberring.distribution.follower import Follower
from emberring.distribution.messages import PlacementMoved
from emberring.distribution.records import NodeRecord, NodeRole
from emberring.errors import EmberringError
from emberring.placement.model import SHARDS, Group, Placement, quorum
from emberring.simulation.control_plane.network import SimulatedNetwork
from emberring.simulation.control_plane.process import Process
from emberring.simulation.control_plane.world import ControlWorld
from emberring.transport.messages import Ok

MARK_PREFIX = "/mark-"
COPY_INTERVAL_S = 0.25
COPY_DURATION_S = 0.5  # how long a store takes to copy missing records
MOVE_TIMEOUT_S = 1.0


def mark_of(configuration: Configuration) -> int:
    """The number of the request that produced this configuration; 0 if it has no mark."""
    for route in configuration.routes:
        if route.path_prefix.startswith(MARK_PREFIX):
            return int(route.path_prefix[len(MARK_PREFIX) :].strip("/"))
    return 0


class FollowerMachine:
    """A machine that runs a gateway or a store as a follower."""

    def __init__(
        self,
        world: ControlWorld,
        networks: dict[str, SimulatedNetwork],
        name: str,
        role: NodeRole,
        seeds: Sequence[str],
    ) -> None:
        self.name = name
        self.address = f"{name}:1"
        self.role = role
        self.process: Process | None = None
        self.follower: Follower | None = None
        self.network: SimulatedNetwork | None = None
        self.identity = ""
        self.last_fault_s = 0.0  # time of the last start
        self.gone = False
        self._world = world
        self._networks = networks
        self._seeds = seeds
        self._incarnation = 0
        self._disks = 0
        self._version = 0
        if role is NodeRole.STORE:
            self._new_disk()

    def _new_disk(self) -> None:
        self._disks += 1
        self.identity = f"{self.name}/disk-{self._disks}"

    def start(self) -> None:
        """Start the process."""
        if self.process is not None or self.gone:
            return
        self._incarnation += 1
        self._version = 0
        self.process = Process(self.address)
        self._world.powered_off.discard(self.address)
        self.network = SimulatedNetwork(self._world, self.process, self._networks)
        me = NodeRecord(
            self.name, self.role, self.address, "zone-0", self.identity, f"{self.name}.{self._incarnation}"
        )
        self.follower = Follower(self.network, me, self._seeds)
        self.follower.subscribe(self._on_change)
        self.process.start(self.follower.start())
        self.last_fault_s = self._world.now_s

    def stop(self, power_lost: bool) -> None:
        """Kill the process; `power_lost` means that its machine has lost power too."""
        if self.process is not None:
            self.process.kill()
        if power_lost:
            self._world.powered_off.add(self.address)
        self.process, self.follower, self.network = None, None, None

    def lose_disk(self) -> None:
        """Stop and lose the disk."""
        self.stop(power_lost=True)
        self._new_disk()

    def _on_change(self) -> None:
        follower = self.follower
        if follower is None or follower.configuration is None:
            return
        version = follower.configuration.version
        if version != self._version:
            now_s = self._world.sync()
            mark = mark_of(follower.configuration)
            self._world.control_history.on_configuration_followed(
                now_s, f"{self.name}.{self._incarnation}", self._version, version, mark
            )
            self._version = version


class ShardCopies:
    """The records of each shard on the stores: numbered, and acknowledged once a quorum of each member set has them.

    A reachable store that lacks records copies them after `COPY_DURATION_S`. A migration is reported as complete once
    all joining stores have all records.
    """

    def __init__(self, world: ControlWorld, stores: list[FollowerMachine], reports_early: bool) -> None:
        self._world = world
        self._stores = stores
        # A mutation: migrations are reported as complete before records are copied.
        self._reports_early = reports_early
        self._records: dict[tuple[int, str], set[int]] = {}
        self._lacking_since: dict[tuple[int, str], float] = {}
        self._acknowledged: list[set[int]] = [set() for _ in range(SHARDS)]
        self._next = 0

    async def run(self) -> None:
        """Write, copy and report periodically until cancelled."""
        while True:
            await asyncio.sleep(COPY_INTERVAL_S)
            self._world.sync()
            placement = self._newest_placement()
            if placement is None:
                continue
            for group in placement.groups:
                self._update_shard(group)
            self.check()

    def _newest_placement(self) -> Placement | None:
        found = [
            store.follower.placement
            for store in self._live()
            if store.follower is not None and store.follower.placement is not None
        ]
        return max(found, key=lambda placement: placement.epoch, default=None)

    def _live(self) -> list[FollowerMachine]:
        return [store for store in self._stores if store.process is not None and store.process.frozen_s == 0]

    def _reached(self, identities: Sequence[str]) -> list[FollowerMachine]:
        """Return the live stores among `identities` that the first live one of them reaches."""
        live = [store for store in self._live() if store.identity in identities]
        if not live:
            return []
        return [store for store in live if self._world.is_reachable(live[0].address, store.address)]

    def _update_shard(self, group: Group) -> None:
        reached = self._reached(group.everyone)
        reached_identities = {store.identity for store in reached}
        sets = [members for members in (group.members, group.joining) if members]
        if not all(len(reached_identities.intersection(members)) >= quorum(members) for members in sets):
            return
        self._write(group.shard, reached_identities)
        complete = self._copy(group.shard, reached_identities)
        joining = set(group.joining) - set(group.members)
        if group.joining and (joining <= complete or self._reports_early):
            self._report(reached[0], group)

    def _write(self, shard: int, reached_identities: set[str]) -> None:
        self._next += 1
        for identity in reached_identities:
            self._records.setdefault((shard, identity), set()).add(self._next)
        self._acknowledged[shard].add(self._next)

    def _copy(self, shard: int, reached_identities: set[str]) -> set[str]:
        """Copy missing records to stores that lacked them for long enough; returns the stores that have all records."""
        all_records = set().union(*(self._records[(shard, identity)] for identity in reached_identities))
        complete = set()
        for identity in reached_identities:
            replica = (shard, identity)
            if self._records[replica] == all_records:
                self._lacking_since.pop(replica, None)
                complete.add(identity)
            elif (
                self._world.now_s - self._lacking_since.setdefault(replica, self._world.now_s)
                >= COPY_DURATION_S
            ):
                self._records[replica] = set(all_records)
                complete.add(identity)
        return complete

    def _report(self, owner: FollowerMachine, group: Group) -> None:
        if owner.process is not None:
            owner.process.start(self._send_moved(owner, PlacementMoved(group.shard, group.epoch)))

    async def _send_moved(self, owner: FollowerMachine, moved: PlacementMoved) -> None:
        follower, network = owner.follower, owner.network
        if follower is None or network is None:
            return
        for record in list(follower.nodes.values()):
            if record.role is not NodeRole.CONTROL:
                continue
            try:
                await network.call(record.address, moved, Ok, MOVE_TIMEOUT_S)
                return
            except EmberringError:
                continue

    def check(self) -> None:
        """Check that each acknowledged record is on at least one remaining disk."""
        disks = [store.identity for store in self._stores if not store.gone]
        for shard, acknowledged in enumerate(self._acknowledged):
            stored = set().union(*(self._records.get((shard, identity), set()) for identity in disks))
            if not acknowledged <= stored:
                self._world.control_history.add_violation(
                    f"shard {shard}: {len(acknowledged - stored)} acknowledged records are on no disk"
                )
                acknowledged &= stored
