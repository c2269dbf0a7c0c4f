"""Applies the steps of a schedule to a simulated deployment, within the faults that it must tolerate."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable

from emberring.simulation.control_plane.client_steps import ClientSteps
from emberring.simulation.control_plane.control_machine import ControlMachine
from emberring.simulation.control_plane.deployment import Deployment
from emberring.simulation.control_plane.follower_process import FollowerMachine
from emberring.simulation.control_plane.history import ACCEPTED
from emberring.simulation.control_plane.schedule import Kind, Step
from emberring.simulation.register.world import NetworkConditions

CATCH_UP_S = 4.9  # a machine that lost its disk counts as lost until this long after its restart
SHUTDOWN_NOTICE_S = 0.3
SLOW_SYNC_S = 0.2
QUOTA_PERIOD_S = 0.1  # period of a CPU quota; the process runs at the start of each period
THROTTLED_S = 0.095  # the process is stopped for this part of each period
RETURN_INTERVAL_S = 0.7  # between the restarts of machines that restart in a given order


class FaultInjector(ClientSteps):
    """Applies steps to the deployment.

    Only one disk is lost at a time: the next one may be lost only after the machine of the last one has been back,
    without any other fault, for as long as a new member may take to catch up.
    """

    def __init__(self, deployment: Deployment) -> None:
        super().__init__(deployment)
        self._next_disk_loss_s = 0.0  # earliest time of the next disk loss
        self._faults_until_s = 0.0  # end of the current faults other than lost disks

    def run(self, step: Step) -> None:
        """Apply a step, unless the fault period has ended."""
        if not self._ended:
            _STEPS[step.kind](self, step)

    def end(self) -> None:
        """End all faults and start all machines that were not removed."""
        deployment, world = self._deployment, self._world
        self._ended = True
        deployment.restore_conditions()
        world.conditions.slowest_s = 0.003
        world.heal_partitions()
        deployment.platform.response_loss_share = 0.0
        deployment.on_fault()
        for machine in deployment.control_machines:
            machine.folder.refusing = False
            machine.sync_s = 0.001
            machine.start()
        for follower in deployment.followers:
            follower.start()

    def _store(self, step: Step) -> FollowerMachine | None:
        stores = [store for store in self._deployment.stores if not store.gone]
        return stores[step.slot % len(stores)] if stores else None

    # Control machines.

    def _stop_machine(self, machine: ControlMachine, stop: Callable[[], None], duration_s: float) -> None:
        if machine not in self._deployment.control_machines:
            return
        self._note_fault(duration_s)
        stop()
        machine.folder.refusing = False
        self._call_later(duration_s, self._restart_machine, machine)

    def _restart_machine(self, machine: ControlMachine) -> None:
        if machine in self._deployment.control_machines:
            self._note_fault()
            machine.start()

    def _note_fault(self, duration_s: float = 0.0, slow: bool = False) -> None:
        """Record a fault of this duration (s); `slow` means slow links or disks.

        A fault during a recovery extends that recovery.
        """
        self._deployment.on_fault(duration_s if slow else 0.0)
        now_s = self._world.sync()
        self._faults_until_s = max(self._faults_until_s, now_s + duration_s)
        if now_s < self._next_disk_loss_s:
            self._next_disk_loss_s = max(self._next_disk_loss_s, self._faults_until_s + CATCH_UP_S)

    def _kill_machine(self, step: Step) -> None:
        machine = self._control_machine(step)
        self._stop_machine(machine, machine.stop, min(1.0, step.duration_s))

    def _cut_power(self, step: Step) -> None:
        machine = self._control_machine(step)
        self._stop_machine(machine, machine.lose_power, step.duration_s)

    def _kill_all(self, step: Step) -> None:
        for machine in list(self._deployment.control_machines):
            self._stop_machine(machine, machine.stop, 0.2 + 0.5 * self._world.rng.random())

    def _cut_all_power(self, step: Step) -> None:
        for machine in list(self._deployment.control_machines):
            self._stop_machine(
                machine, machine.lose_power, step.duration_s * (0.5 + 0.5 * self._world.rng.random())
            )
        for follower in self._deployment.followers:
            self._stop_follower(follower, step.duration_s, power_lost=True)

    def _may_lose_disk(self) -> bool:
        return self._world.sync() >= self._next_disk_loss_s

    def _note_disk_loss(self, outage_s: float) -> None:
        """Record a disk loss; the machine or its replacement restarts after `outage_s`."""
        self._next_disk_loss_s = max(self._world.sync() + outage_s, self._faults_until_s) + CATCH_UP_S

    def _lose_disk(self, step: Step) -> None:
        machine = self._control_machine(step)
        if self._may_lose_disk():
            self._note_disk_loss(step.duration_s)
            self._stop_machine(machine, machine.wipe, step.duration_s)

    def _lose_one_disk_and_all_power(self, step: Step) -> None:
        if not self._may_lose_disk():
            return
        self._note_disk_loss(step.duration_s)
        lost = self._control_machine(step)
        for machine in list(self._deployment.control_machines):
            stop = machine.wipe if machine is lost else machine.lose_power
            self._stop_machine(machine, stop, step.duration_s * (0.5 + 0.5 * self._world.rng.random()))
        for follower in self._deployment.followers:
            self._stop_follower(follower, step.duration_s, power_lost=True)
        self._note_disk_loss(step.duration_s)

    def _cut_power_after_acknowledgement(self, step: Step) -> None:
        """Cut all power right after the next acknowledgement; with an odd slot one machine also loses its disk."""
        fault = self._lose_one_disk_and_all_power if step.slot % 2 else self._cut_all_power
        self._deployment.after_next_acknowledgement.append(lambda: self._run_unless_ended(fault, step))

    def _run_unless_ended(self, fault: Callable[[Step], None], step: Step) -> None:
        if not self._ended:
            fault(step)

    def _replace(self, step: Step) -> None:
        """Remove a machine permanently; an empty one starts at another address."""
        if self._may_lose_disk():
            self._note_disk_loss(step.duration_s)
            self._note_fault()
            self._deployment.remove_control_machine(self._control_machine(step))
            self._restart_later(self._deployment.add_control_machine(), step.duration_s)

    def _restart_later(self, machine: ControlMachine, wait_s: float) -> None:
        self._world.powered_off.add(machine.name)
        self._call_later(wait_s, self._restart_machine, machine)

    def _replace_as_planned(self, step: Step) -> None:
        """Start a new machine, then shut down the old one and remove it with its disk."""
        if not self._may_lose_disk():
            return
        old = self._control_machine(step)
        self._note_disk_loss(step.duration_s + SHUTDOWN_NOTICE_S)
        self._restart_machine(self._deployment.add_control_machine())
        self._call_later(step.duration_s, old.begin_shutdown)
        self._call_later(step.duration_s + SHUTDOWN_NOTICE_S, self._remove, old)

    def _remove(self, machine: ControlMachine) -> None:
        self._note_fault()
        self._deployment.remove_control_machine(machine)

    def _add_machine(self, step: Step) -> None:
        self._restart_machine(self._deployment.add_control_machine())

    def _freeze_machine(self, step: Step) -> None:
        machine = self._control_machine(step)
        self._note_fault(step.duration_s)
        machine.freeze(self._world.now_s + step.duration_s)
        self._call_later(step.duration_s, self._note_fault)

    def _throttle(self, step: Step) -> None:
        """Stop all control nodes for most of each quota period; not recorded as a fault, so all deadlines apply."""
        until_s = self._world.sync() + step.duration_s
        for number, machine in enumerate(list(self._deployment.control_machines)):
            self._call_later(number * QUOTA_PERIOD_S / 7, self._throttle_period, machine, until_s)

    def _throttle_period(self, machine: ControlMachine, until_s: float) -> None:
        if self._ended or self._world.sync() >= until_s:
            return
        machine.freeze(self._world.now_s + THROTTLED_S)
        self._call_later(QUOTA_PERIOD_S, self._throttle_period, machine, until_s)

    def _kill_zone(self, step: Step) -> None:
        """Kill a control machine, a store and a gateway at the same time."""
        self._kill_machine(step)
        self._kill_store(step)
        self._kill_gateway(step)

    def _cut_power_return_in_order(self, step: Step) -> None:
        """Cut all power; the slot selects the restart order of control machines; followers restart with the last."""
        machines = list(self._deployment.control_machines)
        orders = list(itertools.permutations(machines))
        for number, machine in enumerate(orders[step.slot % len(orders)]):
            self._stop_machine(machine, machine.lose_power, step.duration_s + number * RETURN_INTERVAL_S)
        for follower in self._deployment.followers:
            self._stop_follower(
                follower, step.duration_s + len(machines) * RETURN_INTERVAL_S, power_lost=True
            )

    # Partitions.

    def _partition(
        self,
        isolated: list[ControlMachine],
        duration_s: float,
        both_directions: bool = True,
        all_others: bool = False,
    ) -> None:
        """Partition `isolated` from the other control machines; `both_directions` drops messages both ways.

        `all_others` partitions them from the followers too.
        """
        until_s = self._world.now_s + duration_s
        others = [machine.name for machine in self._deployment.control_machines if machine not in isolated]
        if all_others:
            others += [follower.address for follower in self._deployment.followers]
        for one in isolated:
            for other in others:
                self._world.block(one.name, other, until_s)
                if both_directions:
                    self._world.block(other, one.name, until_s)
        self._note_fault(duration_s)
        self._call_later(duration_s, self._note_fault)

    def _partition_machine(self, step: Step) -> None:
        self._partition([self._control_machine(step)], step.duration_s)

    def _partition_one_way(self, step: Step) -> None:
        self._partition([self._control_machine(step)], step.duration_s, both_directions=False)

    def _partition_from_all(self, step: Step) -> None:
        self._partition([self._control_machine(step)], step.duration_s, all_others=True)

    def _partition_in_halves(self, step: Step) -> None:
        """Partition the control machines into two halves, and also the stores; other nodes reach both halves."""
        control_machines = self._deployment.control_machines
        self._partition(
            [machine for number, machine in enumerate(control_machines) if (number + step.slot) % 2],
            step.duration_s,
        )
        stores = self._deployment.stores
        until_s = self._world.now_s + step.duration_s
        for one in stores[::2]:
            for other in stores[1::2]:
                self._world.block(one.address, other.address, until_s)
                self._world.block(other.address, one.address, until_s)

    def _make_member_stale(self, step: Step) -> None:
        """Isolate a member while changes commit; as it heals, another loses its disk and the rest lose power."""
        if not self._may_lose_disk():
            return
        stale = self._control_machine(step)
        self._note_disk_loss(2 * step.duration_s + 1.0)
        self._partition([stale], step.duration_s + 1.0)
        self._spawn(self._send_all_of_series())
        self._call_later(step.duration_s + 1.0, self._fail_other_members, stale, step.duration_s)

    def _fail_other_members(self, stale: ControlMachine, duration_s: float) -> None:
        others = [machine for machine in self._deployment.control_machines if machine is not stale]
        if self._ended or not others:
            return
        self._note_disk_loss(duration_s)
        self._stop_machine(others[0], others[0].wipe, min(1.0, duration_s))
        for machine in others[1:]:
            self._stop_machine(machine, machine.lose_power, duration_s)

    # Disks and network.

    def _slow_disk(self, step: Step) -> None:
        machine = self._control_machine(step)
        machine.sync_s = SLOW_SYNC_S
        self._note_fault(step.duration_s, slow=True)
        self._call_later(step.duration_s, self._restore_disk, machine)

    def _restore_disk(self, machine: ControlMachine) -> None:
        if not self._ended:
            machine.sync_s = self._deployment.schedule.sync_s

    def _fail_disk(self, step: Step) -> None:
        machine = self._control_machine(step)
        machine.folder.refusing = True
        self._note_fault(step.duration_s, slow=True)
        self._call_later(step.duration_s, setattr, machine.folder, "refusing", False)

    def _degrade_network(self, step: Step) -> None:
        self._world.conditions = NetworkConditions(
            lost=0.15, doubled=0.2, slowest_s=min(1.0, step.duration_s / 4)
        )
        self._note_fault(step.duration_s, slow=True)
        self._call_later(step.duration_s, self._restore_network)

    def _restore_network(self) -> None:
        if not self._ended:
            self._deployment.restore_conditions()

    # Gateways and stores.

    def _stop_follower(self, follower: FollowerMachine, duration_s: float, power_lost: bool) -> None:
        follower.stop(power_lost)
        self._call_later(duration_s, self._restart_follower, follower)

    def _restart_follower(self, follower: FollowerMachine) -> None:
        self._note_fault()
        follower.start()

    def _kill_gateway(self, step: Step) -> None:
        gateways = self._deployment.gateways
        self._stop_follower(
            gateways[step.slot % len(gateways)], step.duration_s, power_lost=step.slot % 2 == 0
        )

    def _kill_store(self, step: Step) -> None:
        if (store := self._store(step)) is not None:
            self._note_fault(step.duration_s)
            self._stop_follower(store, step.duration_s, power_lost=step.slot % 2 == 0)

    def _lose_store_disk(self, step: Step) -> None:
        store = self._store(step)
        if store is not None and self._may_lose_disk():
            self._note_disk_loss(step.duration_s)
            self._note_fault()
            store.lose_disk()
            self._call_later(step.duration_s, self._restart_follower, store)

    def _add_store(self, step: Step) -> None:
        self._note_fault()
        self._deployment.add_store()

    def _retire_one(self, step: Step) -> None:
        if (store := self._store(step)) is not None:
            self._spawn(self._retire_store(store))

    def _retire_two(self, step: Step) -> None:
        self._spawn(self._retire_and_lose_disk(step))

    async def _retire_and_lose_disk(self, step: Step) -> None:
        """Retire two stores at the same time; right after that, another store loses its disk."""
        stores = [store for store in self._deployment.stores if not store.gone]
        first, second = stores[step.slot % len(stores)], stores[(step.slot + 1) % len(stores)]
        await asyncio.gather(self._retire_store(first), self._retire_store(second))
        if first.gone and second.gone and not self._ended:
            self._lose_store_disk(step)
            self._deployment.copies.check()

    async def _retire_store(self, store: FollowerMachine) -> None:
        """Retire a store and remove it with its disk on completion, which does not count as a disk loss."""
        path = f"/v1/retire/{store.name}"
        if not await self._request_retirement(path):
            return
        platform = self._deployment.platform
        while not self._ended:
            await asyncio.sleep(0.25)
            answer = await platform.call(platform.shuffled()[0], "GET", path)
            if answer is not None and answer.status == ACCEPTED and b"completed" in answer.body:
                store.gone = True
                store.stop(power_lost=True)
                self._deployment.copies.check()
                self._note_fault()
                return

    async def _request_retirement(self, path: str) -> bool:
        platform = self._deployment.platform
        while not self._ended:
            answer = await platform.call(platform.shuffled()[0], "POST", path, b'{"DurationS":10}')
            if answer is not None and answer.status == ACCEPTED:
                return True
            if answer is not None and answer.status in (404, 409):
                return False
            await asyncio.sleep(0.2)
        return False


_STEPS: dict[Kind, Callable[[FaultInjector, Step], None]] = {
    Kind.CHANGE: FaultInjector._send_change,
    Kind.RACE: FaultInjector._send_concurrent_changes,
    Kind.CHANGE_SERIES: FaultInjector._send_change_series,
    Kind.REPEATED_CHANGE: FaultInjector._repeat_change,
    Kind.READ: FaultInjector._read,
    Kind.RESPONSES_LOST: FaultInjector._lose_responses,
    Kind.SERVER_START: FaultInjector._start_server,
    Kind.SERVER_DRAIN: FaultInjector._drain_server,
    Kind.SERVER_DEREGISTRATION: FaultInjector._deregister_server,
    Kind.SERVER_CRASH: FaultInjector._crash_server,
    Kind.SERVER_RESTART: FaultInjector._restart_server,
    Kind.KILL: FaultInjector._kill_machine,
    Kind.POWER_LOSS: FaultInjector._cut_power,
    Kind.KILL_ALL: FaultInjector._kill_all,
    Kind.POWER_LOSS_ALL: FaultInjector._cut_all_power,
    Kind.DISK_LOSS: FaultInjector._lose_disk,
    Kind.DISK_LOSS_POWER_LOSS_REST: FaultInjector._lose_one_disk_and_all_power,
    Kind.REPLACE: FaultInjector._replace,
    Kind.REPLACE_PLANNED: FaultInjector._replace_as_planned,
    Kind.ADD: FaultInjector._add_machine,
    Kind.FREEZE: FaultInjector._freeze_machine,
    Kind.PARTITION: FaultInjector._partition_machine,
    Kind.PARTITION_ONE_WAY: FaultInjector._partition_one_way,
    Kind.PARTITION_FROM_ALL: FaultInjector._partition_from_all,
    Kind.PARTITION_IN_HALVES: FaultInjector._partition_in_halves,
    Kind.STALE_MEMBER: FaultInjector._make_member_stale,
    Kind.DISK_SLOW: FaultInjector._slow_disk,
    Kind.DISK_FAILS: FaultInjector._fail_disk,
    Kind.BAD_NETWORK: FaultInjector._degrade_network,
    Kind.STORE_KILL: FaultInjector._kill_store,
    Kind.STORE_DISK_LOSS: FaultInjector._lose_store_disk,
    Kind.STORE_ADD: FaultInjector._add_store,
    Kind.RETIRE: FaultInjector._retire_one,
    Kind.RETIRE_TWO: FaultInjector._retire_two,
    Kind.POWER_LOSS_AFTER_ACK: FaultInjector._cut_power_after_acknowledgement,
    Kind.GATEWAY_KILL: FaultInjector._kill_gateway,
    Kind.THROTTLE: FaultInjector._throttle,
    Kind.ZONE_KILL: FaultInjector._kill_zone,
    Kind.POWER_LOSS_ALL_RETURN_IN_ORDER: FaultInjector._cut_power_return_in_order,
}
