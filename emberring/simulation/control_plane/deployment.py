"""A simulated deployment: control machines, gateways, stores, servers and operators in one world."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from emberring.configuration.change_requests import ChangeRequestKind
from emberring.distribution.records import NodeRole, ServerState
from emberring.simulation.control_plane.clients import DRAIN_MS, ModelServer, Operators, Platform
from emberring.simulation.control_plane.control_machine import ControlMachine, internal_address
from emberring.simulation.control_plane.follower_process import FollowerMachine, ShardCopies
from emberring.simulation.control_plane.mutations import Mistake
from emberring.simulation.control_plane.network import SimulatedNetwork
from emberring.simulation.control_plane.schedule import Schedule
from emberring.simulation.control_plane.world import ControlWorld
from emberring.simulation.register.world import Bugs, Weather

FOUNDERS = 3
GATEWAYS = 3
STORES = 6
SERVERS = 3
CONTACT_S = 3.0
APPLY_S = 2.0
STRIKE_S = 0.004  # after an acknowledgement


def ip_of(number: int) -> str:
    """The address of a control machine."""
    return f"10.0.0.{number}"


class Deployment:
    """All machines, by class. What happens to them is `Troubles`' matter."""

    def __init__(self, schedule: Schedule, mistake: Mistake | None) -> None:
        bugs = Bugs(
            amnesiac=mistake is Mistake.KEEPS_IDENTITY,
            unsynced=mistake is Mistake.UNSYNCED,
        )
        self.schedule = schedule
        self.world = ControlWorld(schedule.seed, bugs)
        self.hub: dict[str, SimulatedNetwork] = {}
        self.founders = tuple(internal_address(ip_of(number)) for number in range(1, FOUNDERS + 1))
        self.cores: list[ControlMachine] = []
        self.core_event_s = 0.0  # when the core was last disturbed
        self.unsettled_until_s = 0.0  # slow links or disks until then
        self._added = 0
        for _ in range(FOUNDERS):
            self.add_core(bootstrap=True)
        self.gateways = [self._follower(f"edge-{number}", NodeRole.GATEWAY) for number in range(GATEWAYS)]
        self.stores = [self._follower(f"store-{number}", NodeRole.STORE) for number in range(STORES)]
        self.copies = ShardCopies(self.world, self.stores, hasty=mistake is Mistake.MOVES_WITHOUT_COPY)
        self.platform = Platform(self.world, lambda: self.cores)
        self.after_acknowledgement: list[Callable[[], None]] = []
        self.operators = Operators(self.platform, self.acknowledged)
        self.servers: list[ModelServer] = []
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def followers(self) -> list[FollowerMachine]:
        """Gateways and stores."""
        return [*self.gateways, *self.stores]

    def _follower(self, name: str, role: NodeRole) -> FollowerMachine:
        return FollowerMachine(self.world, self.hub, name, role, self.founders)

    def add_core(self, bootstrap: bool = False) -> ControlMachine:
        """Another control machine, not started yet."""
        self._added += 1
        machine = ControlMachine(self.world, self.hub, ip_of(self._added), self.founders, bootstrap)
        machine.sync_s = self.schedule.sync_s
        self.world.machines[machine.name] = machine
        self.cores.append(machine)
        return machine

    def remove_core(self, machine: ControlMachine) -> None:
        """It is gone for good."""
        if machine in self.cores:
            machine.wipe()
            self.cores.remove(machine)

    def add_store(self) -> FollowerMachine:
        """Another store, started."""
        store = self._follower(f"store-{len(self.stores)}", NodeRole.STORE)
        self.stores.append(store)
        store.start()
        return store

    def add_server(self) -> ModelServer:
        """Another model server, which begins to call."""
        server = ModelServer(self.platform, f"server-{len(self.servers)}", self._left)
        self.servers.append(server)
        return server

    async def start(self) -> None:
        """Start everything and let the first configuration come."""
        world = self.world
        self.fair()
        for machine in self.cores:
            world.at(world.rng.random() * 0.3, machine.start)
        for follower in self.followers:
            world.at(world.rng.random() * 0.3, follower.start)
        await asyncio.sleep(0.4)
        for _ in range(self.schedule.spares):
            self.add_core().start()
        for _ in range(SERVERS):
            self.add_server()
        self._tasks.append(asyncio.get_running_loop().create_task(self.copies.run()))
        order = self.operators.order(0, 1, ChangeRequestKind.REPLACE)
        await self.operators.send(order, ChangeRequestKind.REPLACE)
        await asyncio.sleep(1.0)

    def fair(self) -> None:
        """The schedule's weather."""
        self.world.weather = Weather(slowest_s=self.schedule.slowest_s, slow_share=self.schedule.slow_share)

    # Who is in touch.

    def disturbed(self, lasts_s: float = 0.0) -> None:
        """The core, or a store, is in trouble now."""
        now_s = self.world.sync()
        self.core_event_s = max(self.core_event_s, now_s)
        self.unsettled_until_s = max(self.unsettled_until_s, now_s + lasts_s)

    def in_touch(self, gateway: FollowerMachine) -> bool:
        """Whether the rules bound by time hold for this gateway now."""
        now_s = self.world.sync()
        if gateway.process is None or gateway.process.frozen_s > 0:
            return False
        if now_s - gateway.troubled_s < CONTACT_S or now_s < self.unsettled_until_s + CONTACT_S:
            return False
        leading = self._majority()
        return bool(leading) and all(self.world.reach(gateway.address, machine.name) for machine in leading)

    def _majority(self) -> list[ControlMachine]:
        """Running control machines that reach more than half of the core; none unless it has been stable."""
        if self.world.now_s - self.core_event_s < CONTACT_S:
            return []
        running = [machine for machine in self.cores if self._runs(machine)]
        return [
            machine
            for machine in running
            if 2 * sum(self.world.reach(machine.name, other.name) for other in running) > len(self.cores)
        ]

    @staticmethod
    def _runs(machine: ControlMachine) -> bool:
        return machine.process is not None and machine.process.frozen_s == 0

    # What must be known in time to those in touch.

    def acknowledged(self, version: int) -> None:
        """A configuration was acknowledged to the operator."""
        self.world.at(self.world.now_s + APPLY_S, self._check_applied, version, self.world.now_s)
        waiting, self.after_acknowledgement = self.after_acknowledgement, []
        for work in waiting:
            self.world.at(self.world.now_s + self.world.rng.random() * STRIKE_S, work)

    def _check_applied(self, version: int, acknowledged_s: float) -> None:
        for gateway in self.gateways:
            follower = gateway.follower
            if follower is None or not self.in_touch(gateway):
                continue
            known = 0 if follower.configuration is None else follower.configuration.version
            if known < version:
                self.world.seen.wrong(
                    f"{gateway.name} has version {known} at {self.world.now_s:.3f} s, where {version} was "
                    f"acknowledged at {acknowledged_s:.3f} s"
                )

    def _left(self, server: ModelServer) -> None:
        now_s = self.world.sync()
        self.world.at(now_s + DRAIN_MS / 1000, self._check_left, server)

    def _check_left(self, server: ModelServer) -> None:
        for gateway in self.gateways:
            if self.in_touch(gateway) and self.uses(gateway, server):
                self.world.seen.wrong(
                    f"{gateway.name} uses {server.name} at {self.world.now_s:.3f} s, whose leaving was acknowledged "
                    f"at {server.acknowledged_s:.3f} s"
                )

    @staticmethod
    def uses(gateway: FollowerMachine, server: ModelServer) -> bool:
        """Whether a gateway would send requests to this server."""
        record = gateway.follower.servers.get(server.name) if gateway.follower is not None else None
        return record is not None and record.state is ServerState.READY

    async def stop(self) -> None:
        """End everything."""
        for task in self._tasks:
            task.cancel()
        for server in self.servers:
            server.crash()
        for machine in self.cores:
            if machine.process is not None:
                machine.process.kill()
        for follower in self.followers:
            follower.stop(dark=False)
