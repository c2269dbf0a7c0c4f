"""Deterministic simulator of the register: runs seeded fault schedules and checks the history of each.

`play_seed(seed)` runs the schedule of a seed; `shorten` shrinks a failing schedule.
"""

from __future__ import annotations

import functools
from collections.abc import Callable

import attrs

from emberring.register.model import Proposal
from emberring.register.replica_set_manager import RECONFIGURATION_TIMEOUTS
from emberring.simulation.common.shrinking import shrink_schedule
from emberring.simulation.register.history import Operation
from emberring.simulation.register.machine import Machine
from emberring.simulation.register.schedule import FAULT_PERIOD_S, Schedule, Step, StepKind, make_schedule
from emberring.simulation.register.world import Mutations, NetworkConditions, World

FOUNDERS = ("core-a", "core-b", "core-c")
"""The machines of the initial replicas."""

REPAIR_TIME_S = 0.7
"""Minimum time between the restart of a machine that lost its disk and the next disk loss, in seconds."""

RECOVERY_S = 5.0
"""Duration of the period without faults before the final reads, in seconds."""

FINAL_READ_TIMEOUT_S = 1.0
"""Timeout of the final reads, in seconds."""

BURST_OPERATIONS = 60
"""Number of operations of a burst: reads, repeated changes and new changes, at all nodes."""

BURST_S = 0.6
"""Duration of a burst, in seconds."""


StepHandler = Callable[[Machine, Step], None]


@attrs.frozen
class Verdict:
    """The result of a schedule: its violations, the number of acknowledged operations, the number of handled events."""

    schedule: Schedule
    violations: tuple[str, ...]
    acknowledged: int = 0
    events: int = 0


class _Simulation:
    """A run of a schedule."""

    def __init__(self, schedule: Schedule, mutations: Mutations) -> None:
        self._schedule = schedule
        self._world = World(schedule.seed, mutations, schedule.conditions.timeouts)
        self._changes = 0
        self._added_count = 0
        self._ended = False
        self._removed: set[str] = set()
        self._repaired_at_s = 0.0
        self._after_ack: list[Callable[[str], None]] = []
        self._world.on_acknowledged = self._acknowledged
        self._handlers = self._handlers_by_kind()

    def run(self) -> Verdict:
        """Run the schedule and return the verdict."""
        world = self._world
        self._restore_network()
        for name in FOUNDERS:
            machine = Machine(world, name, FOUNDERS, bootstrap=True)
            machine.sync_s = self._schedule.conditions.sync_s
            world.machines[name] = machine
            world.at(world.rng.random() * 0.3, machine.start)
        for _ in range(self._schedule.conditions.spares):
            self._add().start()
        world.at(0.0, self._note_peers)
        for step in self._schedule.steps:
            world.at(0.3 + step.at_s, self._apply_step, step)
        world.run(FAULT_PERIOD_S + 1.5)
        self._end_faults()
        world.run(world.now_s + RECOVERY_S)
        acknowledged = sum(1 for operation in world.history.operations if operation.value is not None)
        self._check_final_reads()
        violations = tuple(world.history.finish())
        return Verdict(self._schedule, violations, acknowledged, world.events_handled)

    # Callers and the cluster around the register.

    def _note_peers(self) -> None:
        for machine in self._world.machines.values():
            machine.note_peers()
        self._world.at(self._world.now_s + 0.3, self._note_peers)

    def _end_faults(self) -> None:
        """End all faults and start every machine that was not removed."""
        world = self._world
        self._ended = True
        self._after_ack.clear()
        world.conditions, world.timeouts = NetworkConditions(), RECONFIGURATION_TIMEOUTS
        world.heal_partitions()
        for machine in self._present():
            machine.folder.refusing = False
            machine.sync_s = 0.001
            machine.thaw_at_s = min(machine.thaw_at_s, world.now_s)
            machine.start()
            if machine.node is not None:
                machine.node.replica_set_manager.timeouts = RECONFIGURATION_TIMEOUTS

    def _check_final_reads(self) -> None:
        """Check that all nodes have the same value and that every replica of the set is present."""
        world = self._world
        operations_before = len(world.history.operations)
        for machine in self._present():
            machine.ask(0, FINAL_READ_TIMEOUT_S)
        world.run(world.now_s + FINAL_READ_TIMEOUT_S + 0.1)
        self._check_same_value(world.history.operations[operations_before:])
        newest = self._newest()
        if newest is not None:
            self._check_replicas(newest)

    def _check_same_value(self, reads: list[Operation]) -> None:
        violations = self._world.history.violations
        for read in reads:
            if read.value is None:
                violations.append(f"the last read at {read.node} failed: {read.error or 'still pending'}")
        if len({read.value for read in reads if read.value is not None}) > 1:
            violations.append("the last reads differ")

    def _check_replicas(self, newest: Proposal) -> None:
        violations = self._world.history.violations
        replicas = newest.state.replicas
        identities = {machine.identity for machine in self._present()}
        missing = [member.identity for member in replicas.all_members if member.identity not in identities]
        if missing or replicas.joining:
            violations.append(f"the replica set still has {missing}, {replicas}")
        for machine in self._present():
            if machine.node is not None and machine.node.learned != newest:
                violations.append(f"{machine.name} has not learned the newest value")

    # Faults.

    def _present(self) -> list[Machine]:
        return [machine for name, machine in self._world.machines.items() if name not in self._removed]

    def _machine_of_slot(self, slot: int) -> Machine:
        present = self._present()
        return present[slot % len(present)]

    def _newest(self) -> Proposal | None:
        learned = [
            machine.node.learned
            for machine in self._present()
            if machine.node is not None and machine.node.learned is not None
        ]
        return max(learned, key=lambda proposal: proposal.number, default=None)

    def _may_lose_disk(self) -> bool:
        """Return whether the loss of a disk must be tolerated, because no other loss is under repair.

        A loss is under repair while a proposal that may be committed contains a missing replica, and until
        `REPAIR_TIME_S` after the machine has restarted.
        """
        newest = self._newest()
        if newest is None or newest.state.replicas.joining:
            return False
        if self._world.now_s < self._repaired_at_s:
            return False
        identities = {found.identity for found in self._present() if found.folder.files}
        accepted = [
            found.accepted_proposal for found in self._present() if found.accepted_proposal is not None
        ]
        newer_proposals = [proposal for proposal in (newest, *accepted) if proposal.number >= newest.number]
        return all(
            member.identity in identities
            for proposal in newer_proposals
            for member in proposal.state.replicas.all_members
        )

    def _note_disk_loss(self, outage_s: float) -> None:
        """Record a disk loss; the machine or its replacement restarts after `outage_s`."""
        self._repaired_at_s = self._world.now_s + outage_s + REPAIR_TIME_S

    def _apply_step(self, step: Step) -> None:
        if not self._ended:
            self._handlers[step.kind](self._machine_of_slot(step.slot), step)

    def _handlers_by_kind(self) -> dict[StepKind, StepHandler]:
        return {
            StepKind.CHANGE: self._request_change,
            StepKind.READ: lambda machine, step: machine.ask(0),
            StepKind.KILL: lambda machine, step: self._stop_machine(machine, machine.stop, step.duration_s),
            StepKind.POWER: lambda machine, step: self._stop_machine(
                machine, machine.lose_power, step.duration_s
            ),
            StepKind.KILL_ALL: lambda machine, step: self._stop_all(Machine.stop, step.duration_s),
            StepKind.POWER_ALL: lambda machine, step: self._stop_all(Machine.lose_power, step.duration_s),
            StepKind.WIPE: lambda machine, step: self._wipe(machine, step.duration_s),
            StepKind.REPLACE: self._replace,
            StepKind.REPLACE_FIRST: self._replace,
            StepKind.POWER_AFTER_ACK: self._lose_power_after_ack,
            StepKind.WIPE_AFTER_ACK: self._wipe_after_ack,
            StepKind.WIPE_ONE_POWER_REST: lambda machine, step: self._wipe_one_power_rest(
                machine, step.duration_s
            ),
            StepKind.FREEZE: self._freeze,
            StepKind.CUT_OFF: self._partition_machine,
            StepKind.PARTITION_IN_TWO: self._partition_in_two,
            StepKind.SLOW_DISK: self._slow_disk,
            StepKind.REFUSING_DISK: self._fail_disk,
            StepKind.BAD_NETWORK: self._degrade_network,
            StepKind.ADD: lambda machine, step: self._add().start(),
            StepKind.BURST: lambda machine, step: self._burst(),
        }

    def _request_change(self, machine: Machine, step: Step) -> None:
        self._changes += 1
        machine.ask(self._changes)

    def _stop_all(self, stop: Callable[[Machine], None], duration_s: float) -> None:
        for machine in self._present():
            self._stop_machine(
                machine, functools.partial(stop, machine), duration_s * self._world.rng.random()
            )

    def _lose_power_after_ack(self, machine: Machine, step: Step) -> None:
        self._after_ack.append(lambda name: self._lose_power_of(name, step.duration_s))

    def _wipe_after_ack(self, machine: Machine, step: Step) -> None:
        self._after_ack.append(lambda name: self._wipe(self._world.machines[name], step.duration_s))

    def _burst(self) -> None:
        world = self._world
        for _ in range(BURST_OPERATIONS):
            self._changes += world.rng.random() < 0.2
            number = world.rng.randint(0, self._changes)
            world.at(world.now_s + world.rng.random() * BURST_S, self._request_at_any, number)

    def _request_at_any(self, number: int) -> None:
        if not self._ended:
            self._machine_of_slot(self._world.rng.randrange(6)).ask(number)

    def _freeze(self, machine: Machine, step: Step) -> None:
        machine.thaw_at_s = self._world.now_s + step.duration_s

    def _partition_machine(self, machine: Machine, step: Step) -> None:
        world = self._world
        others = {found.name for found in self._present()} - {machine.name}
        world.partitions |= {frozenset((machine.name, other)) for other in others}
        world.at(world.now_s + step.duration_s, world.heal_partitions)

    def _partition_in_two(self, machine: Machine, step: Step) -> None:
        world = self._world
        side = {found.name for found in self._present() if world.rng.random() < 0.5}
        rest = {found.name for found in self._present()} - side
        world.partitions |= {frozenset((one, other)) for one in side for other in rest}
        world.at(world.now_s + step.duration_s, world.heal_partitions)

    def _slow_disk(self, machine: Machine, step: Step) -> None:
        machine.sync_s = step.duration_s
        self._world.at(self._world.now_s + step.duration_s, self._restore_disk, machine)

    def _fail_disk(self, machine: Machine, step: Step) -> None:
        machine.folder.refusing = True
        self._world.at(self._world.now_s + step.duration_s, setattr, machine.folder, "refusing", False)

    def _degrade_network(self, machine: Machine, step: Step) -> None:
        world = self._world
        world.conditions.lost, world.conditions.doubled = 0.2, 0.3
        world.conditions.slowest_s = step.duration_s
        world.at(world.now_s + step.duration_s, self._restore_network)

    def _restore_network(self) -> None:
        """Restore the network conditions of the schedule."""
        conditions = self._schedule.conditions
        if not self._ended:
            self._world.conditions = NetworkConditions(
                conditions.lost, conditions.doubled, conditions.slowest_s, conditions.slow_share
            )

    def _restore_disk(self, machine: Machine) -> None:
        if not self._ended:
            machine.sync_s = self._schedule.conditions.sync_s

    def _add(self) -> Machine:
        self._added_count += 1
        name = f"core-new-{self._added_count}"
        machine = Machine(self._world, name, FOUNDERS, bootstrap=False)
        machine.sync_s = self._schedule.conditions.sync_s
        self._world.machines[name] = machine
        return machine

    def _stop_machine(self, machine: Machine, stop: Callable[[], None], duration_s: float) -> None:
        stop()
        machine.folder.refusing = False
        self._world.at(self._world.now_s + duration_s, self._start, machine)

    def _start(self, machine: Machine) -> None:
        if machine.name not in self._removed:
            machine.start()

    def _wipe(self, machine: Machine, duration_s: float) -> None:
        if machine.name not in self._removed and self._may_lose_disk():
            self._note_disk_loss(duration_s)
            self._stop_machine(machine, machine.wipe, duration_s)

    def _lose_power_of(self, name: str, duration_s: float) -> None:
        machine = self._world.machines[name]
        if name not in self._removed:
            self._stop_machine(machine, machine.lose_power, duration_s)

    def _wipe_one_power_rest(self, machine: Machine, duration_s: float) -> None:
        if not self._may_lose_disk():
            return
        self._note_disk_loss(duration_s)
        for found in self._present():
            stop = found.wipe if found is machine else found.lose_power
            self._stop_machine(found, stop, duration_s * self._world.rng.random())

    def _replace(self, machine: Machine, step: Step) -> None:
        """Remove the machine with its disk and start an empty one at another address."""
        if not self._may_lose_disk():
            return
        successor = self._add()
        if step.kind is StepKind.REPLACE_FIRST:
            successor.start()
            self._world.at(self._world.now_s + step.duration_s, self._remove, machine)
        else:
            self._remove(machine)
            self._note_disk_loss(step.duration_s)
            self._world.at(self._world.now_s + step.duration_s, self._start, successor)

    def _remove(self, machine: Machine) -> None:
        if self._ended or not self._may_lose_disk():
            return
        self._note_disk_loss(0.0)
        machine.wipe()
        self._removed.add(machine.name)

    def _acknowledged(self, name: str) -> None:
        waiting, self._after_ack = self._after_ack, []
        for work in waiting:
            self._world.at(self._world.now_s, work, name)


def play(schedule: Schedule, mutations: Mutations | None = None) -> Verdict:
    """Run a schedule; a schedule always gives the same verdict."""
    return _Simulation(schedule, mutations or Mutations()).run()


def shorten(verdict: Verdict, mutations: Mutations | None = None) -> Verdict:
    """Shrink a failing schedule; returns the verdict of the shortest failing one found."""
    return shrink_schedule(verdict, lambda schedule: play(schedule, mutations))


def play_seed(seed: int, mutations: Mutations | None = None) -> Verdict:
    """Run the schedule of a seed."""
    return play(make_schedule(seed), mutations)


def describe(verdict: Verdict) -> str:
    """Return a report of a failing schedule: its seed, its steps, its violations."""
    lines = [f"seed {verdict.schedule.seed}: {len(verdict.schedule.steps)} steps"]
    lines.append(f"  {verdict.schedule.conditions}")
    lines += [f"  {step}" for step in verdict.schedule.steps]
    lines += [f"  wrong: {violation}" for violation in verdict.violations]
    return "\n".join(lines)
