"""A simulated deployment: control machines, gateways, stores, model servers and operators in one world."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from emberring.configuration.change_requests import ChangeRequestKind
from emberring.distribution.records import NodeRole, ServerState
from emberring.simulation.control_plane.clients import DRAIN_MS, ModelServer, Operators, Platform
from emberring.simulation.control_plane.control_machine import ControlMachine, internal_address
from emberring.simulation.control_plane.follower_process import FollowerMachine, ShardCopies
from emberring.simulation.control_plane.mutations import Mutation
from emberring.simulation.control_plane.network import SimulatedNetwork
from emberring.simulation.control_plane.schedule import Schedule
from emberring.simulation.control_plane.world import ControlWorld
from emberring.simulation.register.world import Mutations, NetworkConditions

FOUNDERS = 3
GATEWAYS = 3
STORES = 6
SERVERS = 3
CONTACT_S = 3.0  # time without faults after which machines count as in contact again
APPLY_S = 2.0  # deadline from the acknowledgement of a version until gateways in contact have applied it
MAX_FAULT_DELAY_S = (
    0.004  # maximum delay between an acknowledgement and the fault that is scheduled to follow it
)


def ip_of(number: int) -> str:
    """Return the IP address of a control machine."""
    return f"10.0.0.{number}"


class Deployment:
    """All machines by role. `FaultInjector` applies the steps of a schedule to them."""

    def __init__(self, schedule: Schedule, mutation: Mutation | None) -> None:
        mutations = Mutations(
            amnesiac=mutation is Mutation.KEEPS_IDENTITY,
            unsynced=mutation is Mutation.UNSYNCED,
        )
        self.schedule = schedule
        self.world = ControlWorld(schedule.seed, mutations)
        self.networks: dict[str, SimulatedNetwork] = {}
        self.founders = tuple(internal_address(ip_of(number)) for number in range(1, FOUNDERS + 1))
        self.control_machines: list[ControlMachine] = []
        self.last_fault_s = 0.0  # time of the last fault of a control machine or store
        self.unstable_until_s = 0.0  # links or disks may be slow until this time
        self._added = 0
        for _ in range(FOUNDERS):
            self.add_control_machine(bootstrap=True)
        self.gateways = [self._follower(f"edge-{number}", NodeRole.GATEWAY) for number in range(GATEWAYS)]
        self.stores = [self._follower(f"store-{number}", NodeRole.STORE) for number in range(STORES)]
        self.copies = ShardCopies(
            self.world, self.stores, reports_early=mutation is Mutation.MOVES_WITHOUT_COPY
        )
        self.platform = Platform(self.world, lambda: self.control_machines)
        self.after_next_acknowledgement: list[Callable[[], None]] = []
        self.operators = Operators(self.platform, self.acknowledged)
        self.servers: list[ModelServer] = []
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def followers(self) -> list[FollowerMachine]:
        """Gateways and stores."""
        return [*self.gateways, *self.stores]

    def _follower(self, name: str, role: NodeRole) -> FollowerMachine:
        return FollowerMachine(self.world, self.networks, name, role, self.founders)

    def add_control_machine(self, bootstrap: bool = False) -> ControlMachine:
        """Add a control machine without starting it."""
        self._added += 1
        machine = ControlMachine(self.world, self.networks, ip_of(self._added), self.founders, bootstrap)
        machine.sync_s = self.schedule.sync_s
        self.world.machines[machine.name] = machine
        self.control_machines.append(machine)
        return machine

    def remove_control_machine(self, machine: ControlMachine) -> None:
        """Remove a control machine and its disk permanently."""
        if machine in self.control_machines:
            machine.wipe()
            self.control_machines.remove(machine)

    def add_store(self) -> FollowerMachine:
        """Add and start a store."""
        store = self._follower(f"store-{len(self.stores)}", NodeRole.STORE)
        self.stores.append(store)
        store.start()
        return store

    def add_server(self, address: str = "") -> ModelServer:
        """Add and start a model server, at the address of an ended one if it is given."""
        name = f"server-{len(self.servers)}"
        server = ModelServer(self.platform, name, self._on_shutdown_acknowledged, address)
        self.servers.append(server)
        return server

    async def start(self) -> None:
        """Start all machines and clients, and send the first configuration."""
        world = self.world
        self.restore_conditions()
        for machine in self.control_machines:
            world.at(world.rng.random() * 0.3, machine.start)
        for follower in self.followers:
            world.at(world.rng.random() * 0.3, follower.start)
        await asyncio.sleep(0.4)
        for _ in range(self.schedule.spares):
            self.add_control_machine().start()
        for _ in range(SERVERS):
            self.add_server()
        self._tasks.append(asyncio.get_running_loop().create_task(self.copies.run()))
        request = self.operators.request(0, 1, ChangeRequestKind.REPLACE)
        await self.operators.send(request, ChangeRequestKind.REPLACE)
        await asyncio.sleep(1.0)

    def restore_conditions(self) -> None:
        """Restore the network conditions that the schedule defines without faults."""
        self.world.conditions = NetworkConditions(
            slowest_s=self.schedule.slowest_s, slow_share=self.schedule.slow_share
        )

    # Contact between machines.

    def on_fault(self, duration_s: float = 0.0) -> None:
        """Record a fault of a control machine or store; links or disks may be slow for `duration_s`."""
        now_s = self.world.sync()
        self.last_fault_s = max(self.last_fault_s, now_s)
        self.unstable_until_s = max(self.unstable_until_s, now_s + duration_s)

    def in_contact(self, gateway: FollowerMachine) -> bool:
        """Return whether update deadlines apply to this gateway: it runs and reaches a majority without faults."""
        now_s = self.world.sync()
        if gateway.process is None or gateway.process.frozen_s > 0:
            return False
        if now_s - gateway.last_fault_s < CONTACT_S or now_s < self.unstable_until_s + CONTACT_S:
            return False
        majority = self._majority()
        return bool(majority) and all(
            self.world.is_reachable(gateway.address, machine.name) for machine in majority
        )

    def _majority(self) -> list[ControlMachine]:
        """Return the running control machines that reach a majority; empty shortly after a fault."""
        if self.world.now_s - self.last_fault_s < CONTACT_S:
            return []
        running = [machine for machine in self.control_machines if self._runs(machine)]
        return [
            machine
            for machine in running
            if 2 * sum(self.world.is_reachable(machine.name, other.name) for other in running)
            > len(self.control_machines)
        ]

    @staticmethod
    def _runs(machine: ControlMachine) -> bool:
        return machine.process is not None and machine.process.frozen_s == 0

    # Deadlines of updates to gateways in contact.

    def acknowledged(self, version: int) -> None:
        """Handle the acknowledgement of a configuration to an operator."""
        self.world.at(self.world.now_s + APPLY_S, self._check_applied, version, self.world.now_s)
        callbacks, self.after_next_acknowledgement = self.after_next_acknowledgement, []
        for callback in callbacks:
            self.world.at(self.world.now_s + self.world.rng.random() * MAX_FAULT_DELAY_S, callback)

    def _check_applied(self, version: int, acknowledged_s: float) -> None:
        for gateway in self.gateways:
            follower = gateway.follower
            if follower is None or not self.in_contact(gateway):
                continue
            known = 0 if follower.configuration is None else follower.configuration.version
            if known < version:
                self.world.control_history.add_violation(
                    f"{gateway.name} has version {known} at {self.world.now_s:.3f} s, but {version} was "
                    f"acknowledged at {acknowledged_s:.3f} s"
                )

    def _on_shutdown_acknowledged(self, server: ModelServer) -> None:
        now_s = self.world.sync()
        self.world.at(now_s + DRAIN_MS / 1000, self._check_drained, server)

    def _check_drained(self, server: ModelServer) -> None:
        for gateway in self.gateways:
            if self.in_contact(gateway) and self.routes_to(gateway, server):
                self.world.control_history.add_violation(
                    f"{gateway.name} uses {server.name} at {self.world.now_s:.3f} s, but its shutdown was "
                    f"acknowledged at {server.acknowledged_s:.3f} s"
                )

    @staticmethod
    def routes_to(gateway: FollowerMachine, server: ModelServer) -> bool:
        """Return whether a gateway would send requests to this server."""
        record = gateway.follower.servers.get(server.name) if gateway.follower is not None else None
        return record is not None and record.state is ServerState.READY

    async def stop(self) -> None:
        """Stop all machines and clients."""
        for task in self._tasks:
            task.cancel()
        for server in self.servers:
            server.crash()
        for machine in self.control_machines:
            if machine.process is not None:
                machine.process.kill()
        for follower in self.followers:
            follower.stop(power_lost=False)
