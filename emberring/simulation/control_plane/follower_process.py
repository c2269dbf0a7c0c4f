"""Simulated gateways and stores as followers of the control nodes, and the replicas of shards on the stores."""

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
COPY_S = 0.5  # how long a store that lacks records takes to copy them
MOVE_TIMEOUT_S = 1.0


def mark_of(configuration: Configuration) -> int:
    """The number of the request that made this configuration; 0 where it has no mark."""
    for route in configuration.routes:
        if route.path_prefix.startswith(MARK_PREFIX):
            return int(route.path_prefix[len(MARK_PREFIX) :].strip("/"))
    return 0


class FollowerMachine:
    """A gateway or a store."""

    def __init__(
        self,
        world: ControlWorld,
        hub: dict[str, SimulatedNetwork],
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
        self.last_fault_s = 0.0  # when it last started
        self.gone = False
        self._world = world
        self._hub = hub
        self._seeds = seeds
        self._life = 0
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
        self._life += 1
        self._version = 0
        self.process = Process(self.address)
        self._world.dark.discard(self.address)
        self.network = SimulatedNetwork(self._world, self.process, self._hub)
        me = NodeRecord(
            self.name, self.role, self.address, "zone-0", self.identity, f"{self.name}.{self._life}"
        )
        self.follower = Follower(self.network, me, self._seeds)
        self.follower.subscribe(self._changed)
        self.process.start(self.follower.start())
        self.last_fault_s = self._world.now_s

    def stop(self, dark: bool) -> None:
        """The process is killed; `dark`: its machine has lost power."""
        if self.process is not None:
            self.process.kill()
        if dark:
            self._world.dark.add(self.address)
        self.process, self.follower, self.network = None, None, None

    def lose_disk(self) -> None:
        """Stop, and lose the disk."""
        self.stop(dark=True)
        self._new_disk()

    def _changed(self) -> None:
        follower = self.follower
        if follower is None or follower.configuration is None:
            return
        version = follower.configuration.version
        if version != self._version:
            now_s = self._world.sync()
            mark = mark_of(follower.configuration)
            self._world.seen.followed(now_s, f"{self.name}.{self._life}", self._version, version, mark)
            self._version = version


class ShardCopies:
    """What the stores keep of each shard: numbered records, acknowledged once a quorum of all sets has them.

    Whoever lacks records and is in contact gets them after a while; a move is reported once all who join have all.
    """

    def __init__(self, world: ControlWorld, stores: list[FollowerMachine], reports_early: bool) -> None:
        self._world = world
        self._stores = stores
        self._reports_early = reports_early  # a mutation: moves are reported before anything was copied
        self._records: dict[tuple[int, str], set[int]] = {}
        self._lacking_since: dict[tuple[int, str], float] = {}
        self._acknowledged: list[set[int]] = [set() for _ in range(SHARDS)]
        self._next = 0

    async def run(self) -> None:
        """Write, copy and report until cancelled."""
        while True:
            await asyncio.sleep(COPY_INTERVAL_S)
            self._world.sync()
            placement = self._newest()
            if placement is None:
                continue
            for group in placement.groups:
                self._work(group)
            self.check()

    def _newest(self) -> Placement | None:
        found = [
            store.follower.placement
            for store in self._live()
            if store.follower is not None and store.follower.placement is not None
        ]
        return max(found, key=lambda placement: placement.epoch, default=None)

    def _live(self) -> list[FollowerMachine]:
        return [store for store in self._stores if store.process is not None and store.process.frozen_s == 0]

    def _reached(self, identities: Sequence[str]) -> list[FollowerMachine]:
        """The live stores of these that one of them, the first live one, reaches."""
        live = [store for store in self._live() if store.identity in identities]
        if not live:
            return []
        return [store for store in live if self._world.reach(live[0].address, store.address)]

    def _work(self, group: Group) -> None:
        reached = self._reached(group.everyone)
        here = {store.identity for store in reached}
        sets = [members for members in (group.members, group.joining) if members]
        if not all(len(here.intersection(members)) >= quorum(members) for members in sets):
            return
        self._write(group.shard, here)
        complete = self._copy(group.shard, here)
        joining = set(group.joining) - set(group.members)
        if group.joining and (joining <= complete or self._reports_early):
            self._report(reached[0], group)

    def _write(self, shard: int, here: set[str]) -> None:
        self._next += 1
        for identity in here:
            self._records.setdefault((shard, identity), set()).add(self._next)
        self._acknowledged[shard].add(self._next)

    def _copy(self, shard: int, here: set[str]) -> set[str]:
        """Bring those who are here up to date, as far as they had the time; who has everything now."""
        everything = set().union(*(self._records[(shard, identity)] for identity in here))
        complete = set()
        for identity in here:
            replica = (shard, identity)
            if self._records[replica] == everything:
                self._lacking_since.pop(replica, None)
                complete.add(identity)
            elif self._world.now_s - self._lacking_since.setdefault(replica, self._world.now_s) >= COPY_S:
                self._records[replica] = set(everything)
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
        """Some disk that is still there must have each record that was acknowledged."""
        disks = [store.identity for store in self._stores if not store.gone]
        for shard, acknowledged in enumerate(self._acknowledged):
            kept = set().union(*(self._records.get((shard, identity), set()) for identity in disks))
            if not acknowledged <= kept:
                self._world.seen.wrong(f"shard {shard}: {len(acknowledged - kept)} records are on no disk")
                acknowledged &= kept
