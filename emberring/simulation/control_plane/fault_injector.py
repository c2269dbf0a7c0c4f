"""Carries out the steps of a schedule on a simulated deployment, within the faults to be tolerated."""

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

CATCH_UP_S = 4.9  # a machine that lost its disk counts as lost for so long after its return
SHUTDOWN_NOTICE_S = 0.3
SLOW_SYNC_S = 0.2
QUOTA_PERIOD_S = 0.1  # a process whose share of a core is a quota runs at the start of each such period
THROTTLED_S = 0.095  # and stands still for the rest of it
RETURN_INTERVAL_S = 0.7  # between the machines that come back in an order


class FaultInjector(ClientSteps):
    """Carries out steps.

    Disks are lost one at a time: another one only after the last one's machine was back, without any other fault, for
    as long as a new member may take to catch up.
    """

    def __init__(self, deployment: Deployment) -> None:
        super().__init__(deployment)
        self._recovered_s = 0.0  # no other disk is lost before then
        self._faults_until_s = 0.0  # the faults of now, other than lost disks, are over then

    def run(self, step: Step) -> None:
        """Begin a step, unless all has ended."""
        if not self._ended:
            _STEPS[step.kind](self, step)

    def end(self) -> None:
        """End all faults, and start what is still there."""
        deployment, world = self._deployment, self._world
        self._ended = True
        deployment.fair()
        world.conditions.slowest_s = 0.003
        world.join()
        deployment.platform.answers_lost = 0.0
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

    def _down(self, machine: ControlMachine, how: Callable[[], None], lasts_s: float) -> None:
        if machine not in self._deployment.control_machines:
            return
        self._note_fault(lasts_s)
        how()
        machine.folder.refusing = False
        self._later(lasts_s, self._up, machine)

    def _up(self, machine: ControlMachine) -> None:
        if machine in self._deployment.control_machines:
            self._note_fault()
            machine.start()

    def _note_fault(self, lasts_s: float = 0.0, slow: bool = False) -> None:
        """Note a fault that lasts so long (s), with slow links or disks where `slow`.

        A recovery under way takes longer.
        """
        self._deployment.on_fault(lasts_s if slow else 0.0)
        now_s = self._world.sync()
        self._faults_until_s = max(self._faults_until_s, now_s + lasts_s)
        if now_s < self._recovered_s:
            self._recovered_s = max(self._recovered_s, self._faults_until_s + CATCH_UP_S)

    def _kill(self, step: Step) -> None:
        machine = self._control_machine(step)
        self._down(machine, machine.stop, min(1.0, step.lasts_s))

    def _power(self, step: Step) -> None:
        machine = self._control_machine(step)
        self._down(machine, machine.lose_power, step.lasts_s)

    def _kill_all(self, step: Step) -> None:
        for machine in list(self._deployment.control_machines):
            self._down(machine, machine.stop, 0.2 + 0.5 * self._world.rng.random())

    def _power_all(self, step: Step) -> None:
        for machine in list(self._deployment.control_machines):
            self._down(machine, machine.lose_power, step.lasts_s * (0.5 + 0.5 * self._world.rng.random()))
        for follower in self._deployment.followers:
            self._follower_down(follower, step.lasts_s, dark=True)

    def _may_lose_disk(self) -> bool:
        return self._world.sync() >= self._recovered_s

    def _on_disk_lost(self, back_s: float) -> None:
        """Note that a disk is lost; its machine, or another in its place, is back after so long (s)."""
        self._recovered_s = max(self._world.sync() + back_s, self._faults_until_s) + CATCH_UP_S

    def _wipe(self, step: Step) -> None:
        machine = self._control_machine(step)
        if self._may_lose_disk():
            self._on_disk_lost(step.lasts_s)
            self._down(machine, machine.wipe, step.lasts_s)

    def _wipe_one_power_rest(self, step: Step) -> None:
        if not self._may_lose_disk():
            return
        self._on_disk_lost(step.lasts_s)
        lost = self._control_machine(step)
        for machine in list(self._deployment.control_machines):
            how = machine.wipe if machine is lost else machine.lose_power
            self._down(machine, how, step.lasts_s * (0.5 + 0.5 * self._world.rng.random()))
        for follower in self._deployment.followers:
            self._follower_down(follower, step.lasts_s, dark=True)
        self._on_disk_lost(step.lasts_s)

    def _after_ack(self, step: Step) -> None:
        """Cut the power of all right after the next acknowledgement; in every other case one loses its disk too."""
        strike = self._wipe_one_power_rest if step.slot % 2 else self._power_all
        self._deployment.after_acknowledgement.append(lambda: self._strike(strike, step))

    def _strike(self, strike: Callable[[Step], None], step: Step) -> None:
        if not self._ended:
            strike(step)

    def _replace(self, step: Step) -> None:
        """Remove a machine for good; an empty one starts at another address."""
        if self._may_lose_disk():
            self._on_disk_lost(step.lasts_s)
            self._note_fault()
            self._deployment.remove_control_machine(self._control_machine(step))
            self._up_later(self._deployment.add_control_machine(), step.lasts_s)

    def _up_later(self, machine: ControlMachine, wait_s: float) -> None:
        self._world.dark.add(machine.name)
        self._later(wait_s, self._up, machine)

    def _replace_planned(self, step: Step) -> None:
        """Start the new machine first; then shut the old one down and remove it with its disk."""
        if not self._may_lose_disk():
            return
        old = self._control_machine(step)
        self._on_disk_lost(step.lasts_s + SHUTDOWN_NOTICE_S)
        self._up(self._deployment.add_control_machine())
        self._later(step.lasts_s, old.leave)
        self._later(step.lasts_s + SHUTDOWN_NOTICE_S, self._remove, old)

    def _remove(self, machine: ControlMachine) -> None:
        self._note_fault()
        self._deployment.remove_control_machine(machine)

    def _add(self, step: Step) -> None:
        self._up(self._deployment.add_control_machine())

    def _freeze(self, step: Step) -> None:
        machine = self._control_machine(step)
        self._note_fault(step.lasts_s)
        machine.freeze(self._world.now_s + step.lasts_s)
        self._later(step.lasts_s, self._note_fault)

    def _throttle(self, step: Step) -> None:
        """Stop all control nodes for most of each tenth of a second; no fault, so that all promises hold."""
        until_s = self._world.sync() + step.lasts_s
        for number, machine in enumerate(list(self._deployment.control_machines)):
            self._later(number * QUOTA_PERIOD_S / 7, self._throttle_period, machine, until_s)

    def _throttle_period(self, machine: ControlMachine, until_s: float) -> None:
        if self._ended or self._world.sync() >= until_s:
            return
        machine.freeze(self._world.now_s + THROTTLED_S)
        self._later(QUOTA_PERIOD_S, self._throttle_period, machine, until_s)

    def _zone_kill(self, step: Step) -> None:
        """Kill a control machine, a store and a gateway at once."""
        self._kill(step)
        self._store_kill(step)
        self._gateway_kill(step)

    def _power_in_order(self, step: Step) -> None:
        """Cut all power; control machines come back in the order that the slot selects, followers with the last."""
        machines = list(self._deployment.control_machines)
        orders = list(itertools.permutations(machines))
        for number, machine in enumerate(orders[step.slot % len(orders)]):
            self._down(machine, machine.lose_power, step.lasts_s + number * RETURN_INTERVAL_S)
        for follower in self._deployment.followers:
            self._follower_down(follower, step.lasts_s + len(machines) * RETURN_INTERVAL_S, dark=True)

    # Partitions.

    def _cut(
        self, ones: list[ControlMachine], lasts_s: float, back: bool = True, all_others: bool = False
    ) -> None:
        """Partition these from the other control machines, in both directions with `back`.

        With `all_others` from followers too.
        """
        until_s = self._world.now_s + lasts_s
        others = [machine.name for machine in self._deployment.control_machines if machine not in ones]
        if all_others:
            others += [follower.address for follower in self._deployment.followers]
        for one in ones:
            for other in others:
                self._world.block(one.name, other, until_s)
                if back:
                    self._world.block(other, one.name, until_s)
        self._note_fault(lasts_s)
        self._later(lasts_s, self._note_fault)

    def _cut_off(self, step: Step) -> None:
        self._cut([self._control_machine(step)], step.lasts_s)

    def _cut_one_way(self, step: Step) -> None:
        self._cut([self._control_machine(step)], step.lasts_s, back=False)

    def _cut_near(self, step: Step) -> None:
        self._cut([self._control_machine(step)], step.lasts_s, all_others=True)

    def _cut_in_two(self, step: Step) -> None:
        """Partition the control machines into halves, and the stores; all others reach both."""
        control_machines = self._deployment.control_machines
        self._cut(
            [machine for number, machine in enumerate(control_machines) if (number + step.slot) % 2],
            step.lasts_s,
        )
        stores = self._deployment.stores
        until_s = self._world.now_s + step.lasts_s
        for one in stores[::2]:
            for other in stores[1::2]:
                self._world.block(one.address, other.address, until_s)
                self._world.block(other.address, one.address, until_s)

    def _behind(self, step: Step) -> None:
        """A member misses changes; then another one loses its disk, the rest lose power, and the partition heals."""
        if not self._may_lose_disk():
            return
        late = self._control_machine(step)
        self._on_disk_lost(2 * step.lasts_s + 1.0)
        self._cut([late], step.lasts_s + 1.0)
        self._spawn(self._send_many())
        self._later(step.lasts_s + 1.0, self._lose_the_rest, late, step.lasts_s)

    def _lose_the_rest(self, late: ControlMachine, lasts_s: float) -> None:
        others = [machine for machine in self._deployment.control_machines if machine is not late]
        if self._ended or not others:
            return
        self._on_disk_lost(lasts_s)
        self._down(others[0], others[0].wipe, min(1.0, lasts_s))
        for machine in others[1:]:
            self._down(machine, machine.lose_power, lasts_s)

    # Disks, the network.

    def _disk_slow(self, step: Step) -> None:
        machine = self._control_machine(step)
        machine.sync_s = SLOW_SYNC_S
        self._note_fault(step.lasts_s, slow=True)
        self._later(step.lasts_s, self._fair_disk, machine)

    def _fair_disk(self, machine: ControlMachine) -> None:
        if not self._ended:
            machine.sync_s = self._deployment.schedule.sync_s

    def _disk_refuses(self, step: Step) -> None:
        machine = self._control_machine(step)
        machine.folder.refusing = True
        self._note_fault(step.lasts_s, slow=True)
        self._later(step.lasts_s, setattr, machine.folder, "refusing", False)

    def _bad_network(self, step: Step) -> None:
        self._world.conditions = NetworkConditions(
            lost=0.15, doubled=0.2, slowest_s=min(1.0, step.lasts_s / 4)
        )
        self._note_fault(step.lasts_s, slow=True)
        self._later(step.lasts_s, self._end_bad_network)

    def _end_bad_network(self) -> None:
        if not self._ended:
            self._deployment.fair()

    # Gateways and stores.

    def _follower_down(self, follower: FollowerMachine, lasts_s: float, dark: bool) -> None:
        follower.stop(dark)
        self._later(lasts_s, self._follower_up, follower)

    def _follower_up(self, follower: FollowerMachine) -> None:
        self._note_fault()
        follower.start()

    def _gateway_kill(self, step: Step) -> None:
        gateways = self._deployment.gateways
        self._follower_down(gateways[step.slot % len(gateways)], step.lasts_s, dark=step.slot % 2 == 0)

    def _store_kill(self, step: Step) -> None:
        if (store := self._store(step)) is not None:
            self._note_fault(step.lasts_s)
            self._follower_down(store, step.lasts_s, dark=step.slot % 2 == 0)

    def _store_wipe(self, step: Step) -> None:
        store = self._store(step)
        if store is not None and self._may_lose_disk():
            self._on_disk_lost(step.lasts_s)
            self._note_fault()
            store.lose_disk()
            self._later(step.lasts_s, self._follower_up, store)

    def _store_add(self, step: Step) -> None:
        self._note_fault()
        self._deployment.add_store()

    def _retire(self, step: Step) -> None:
        if (store := self._store(step)) is not None:
            self._spawn(self._empty(store))

    def _retire_two(self, step: Step) -> None:
        self._spawn(self._empty_two(step))

    async def _empty_two(self, step: Step) -> None:
        """Retire two stores at once; right after, another one loses its disk."""
        stores = [store for store in self._deployment.stores if not store.gone]
        first, second = stores[step.slot % len(stores)], stores[(step.slot + 1) % len(stores)]
        await asyncio.gather(self._empty(first), self._empty(second))
        if first.gone and second.gone and not self._ended:
            self._store_wipe(step)
            self._deployment.copies.check()

    async def _empty(self, store: FollowerMachine) -> None:
        """Retire a store; once that is completed it is removed with its disk, which is no loss."""
        path = f"/v1/retire/{store.name}"
        if not await self._asked_for(path):
            return
        platform = self._deployment.platform
        while not self._ended:
            await asyncio.sleep(0.25)
            answer = await platform.call(platform.shuffled()[0], "GET", path)
            if answer is not None and answer.status == ACCEPTED and b"completed" in answer.body:
                store.gone = True
                store.stop(dark=True)
                self._deployment.copies.check()
                self._note_fault()
                return

    async def _asked_for(self, path: str) -> bool:
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
    Kind.ORDER: FaultInjector._request,
    Kind.RACE: FaultInjector._race,
    Kind.MANY: FaultInjector._many,
    Kind.REPEAT: FaultInjector._repeat,
    Kind.READ: FaultInjector._read,
    Kind.ANSWERS_LOST: FaultInjector._lose_answers,
    Kind.SERVER: FaultInjector._server,
    Kind.DRAIN: FaultInjector._drain,
    Kind.GOODBYE: FaultInjector._goodbye,
    Kind.CRASH: FaultInjector._crash,
    Kind.KILL: FaultInjector._kill,
    Kind.POWER: FaultInjector._power,
    Kind.KILL_ALL: FaultInjector._kill_all,
    Kind.POWER_ALL: FaultInjector._power_all,
    Kind.WIPE: FaultInjector._wipe,
    Kind.WIPE_ONE_POWER_REST: FaultInjector._wipe_one_power_rest,
    Kind.REPLACE: FaultInjector._replace,
    Kind.REPLACE_PLANNED: FaultInjector._replace_planned,
    Kind.ADD: FaultInjector._add,
    Kind.FREEZE: FaultInjector._freeze,
    Kind.CUT_OFF: FaultInjector._cut_off,
    Kind.CUT_ONE_WAY: FaultInjector._cut_one_way,
    Kind.CUT_NEAR: FaultInjector._cut_near,
    Kind.CUT_IN_TWO: FaultInjector._cut_in_two,
    Kind.BEHIND: FaultInjector._behind,
    Kind.DISK_SLOW: FaultInjector._disk_slow,
    Kind.DISK_REFUSES: FaultInjector._disk_refuses,
    Kind.BAD_NETWORK: FaultInjector._bad_network,
    Kind.STORE_KILL: FaultInjector._store_kill,
    Kind.STORE_WIPE: FaultInjector._store_wipe,
    Kind.STORE_ADD: FaultInjector._store_add,
    Kind.RETIRE: FaultInjector._retire,
    Kind.RETIRE_TWO: FaultInjector._retire_two,
    Kind.AFTER_ACK: FaultInjector._after_ack,
    Kind.GATEWAY_KILL: FaultInjector._gateway_kill,
    Kind.THROTTLE: FaultInjector._throttle,
    Kind.ZONE_KILL: FaultInjector._zone_kill,
    Kind.POWER_IN_ORDER: FaultInjector._power_in_order,
}
