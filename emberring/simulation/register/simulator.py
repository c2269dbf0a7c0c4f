"""The check of the register: schedules of troubles from a seed, played in a simulated world, histories checked.

`play_seed(seed)` plays one; a failing schedule is made as short as it gets while it still fails.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from enum import Enum

import attrs

from emberring.register.model import Proposal
from emberring.register.replica_set_manager import RECONFIGURATION_TIMEOUTS, ReconfigurationTimeouts
from emberring.simulation.common.scheduled_step import ScheduledStep
from emberring.simulation.common.shrinking import shortened
from emberring.simulation.register.world import Bugs, Machine, Weather, World

FOUNDERS = ("core-a", "core-b", "core-c")
TROUBLE_S = 5.0  # how long troubles and callers go on
STORM_S = 0.8
REPAIR_S = 0.7  # after a lost disk's machine is back, no other is lost for so long
CALM_S = 5.0  # how long everything is well before the last reads
LAST_READ_S = 1.0
MOST_TROUBLES = 8
MOST_OPERATIONS = 30
BURST_OPERATIONS = 60  # reads, changes made before and new ones, at all nodes
BURST_S = 0.6
HASTY = ReconfigurationTimeouts(dead_after_s=0.4, name_silent_s=0.2, rank_delay_s=0.1, joiner_wait_s=0.2)
HASTIER = ReconfigurationTimeouts(dead_after_s=0.2, name_silent_s=0.1, rank_delay_s=0.0, joiner_wait_s=0.0)


class Kind(Enum):
    """What may happen."""

    CHANGE = "change"
    READ = "read"
    KILL = "kill"
    POWER = "power"
    KILL_ALL = "kill_all"
    POWER_ALL = "power_all"
    WIPE = "wipe"
    REPLACE = "replace"
    REPLACE_FIRST = "replace_first"
    POWER_AFTER_ACK = "power_after_ack"
    WIPE_AFTER_ACK = "wipe_after_ack"
    WIPE_ONE_POWER_REST = "wipe_one_power_rest"
    FREEZE = "freeze"
    CUT_OFF = "cut_off"
    CUT_APART = "cut_apart"
    SLOW_DISK = "slow_disk"
    REFUSING_DISK = "refusing_disk"
    WEATHER = "weather"
    ADD = "add"
    BURST = "burst"


_TROUBLES = tuple(kind for kind in Kind if kind not in (Kind.CHANGE, Kind.READ))
_STORM = (
    *_TROUBLES,
    Kind.CUT_OFF,
    Kind.CUT_APART,
    Kind.CUT_APART,
    Kind.FREEZE,
    Kind.WIPE,
    Kind.WIPE,
    Kind.WIPE_AFTER_ACK,
)


Step = ScheduledStep[Kind]


@attrs.frozen
class Climate:
    """How the world is while there are troubles: the longest delay of a message and the time of a sync (s), the
    shares of messages lost and doubled, how many control nodes there are beyond the founders, how patient nodes are
    with silent replicas, and the share of messages that are slow. Slow ones let ballots overlap, a few slow ones let
    one ballot overtake another, impatient nodes change the replica set again and again."""

    slowest_s: float = 0.003
    sync_s: float = 0.001
    lost: float = 0.0
    doubled: float = 0.0
    spares: int = 0
    patience: ReconfigurationTimeouts = RECONFIGURATION_TIMEOUTS
    slow_share: float = 1.0


@attrs.frozen
class Schedule:
    """A seed, from which all chance in the world comes, and what happens."""

    seed: int
    steps: tuple[Step, ...]
    climate: Climate = Climate()


@attrs.frozen
class Verdict:
    """What was wrong with a schedule (empty: nothing), and how much happened in it."""

    schedule: Schedule
    mistakes: tuple[str, ...]
    acknowledged: int = 0
    events: int = 0


def make_schedule(seed: int) -> Schedule:
    """The schedule of a seed: every other one has its troubles within a short while, and most callers then."""
    rng = random.Random(f"schedule {seed}")
    storm_s = rng.random() * (TROUBLE_S - STORM_S) if seed % 2 else None
    steps = []
    for _ in range(rng.randint(1, MOST_TROUBLES)):
        at_s = rng.random() * TROUBLE_S if storm_s is None else storm_s + rng.random() * STORM_S
        kind = rng.choice(_TROUBLES if storm_s is None else _STORM)
        steps.append(Step(at_s, kind, rng.randrange(6), 0.02 + rng.random() ** 2 * 2.5))
    for _ in range(rng.randint(5, MOST_OPERATIONS)):
        asked = Kind.READ if rng.random() < 0.3 else Kind.CHANGE
        at_s = rng.random() * (TROUBLE_S + 1.0)
        if storm_s is not None and rng.random() < 0.7:
            at_s = storm_s + rng.random() * 2 * STORM_S
        steps.append(Step(at_s, asked, rng.randrange(6)))
    return Schedule(seed, tuple(sorted(steps, key=lambda step: step.at_s)), _make_climate(rng))


def _make_climate(rng: random.Random) -> Climate:
    return Climate(
        slowest_s=rng.choice((0.003, 0.003, 0.03, 0.1, 0.3)),
        sync_s=rng.choice((0.001, 0.001, 0.02, 0.1)),
        lost=rng.choice((0.0, 0.0, 0.1, 0.3)),
        doubled=rng.choice((0.0, 0.1, 0.3)),
        spares=rng.choice((0, 0, 1, 2)),
        patience=rng.choice((RECONFIGURATION_TIMEOUTS, RECONFIGURATION_TIMEOUTS, HASTY, HASTIER)),
        slow_share=rng.choice((1.0, 1.0, 0.15)),
    )


class _Play:
    """One schedule in one world."""

    def __init__(self, schedule: Schedule, bugs: Bugs) -> None:
        self._schedule = schedule
        self._world = World(schedule.seed, bugs, schedule.climate.patience)
        self._changes = 0
        self._added = 0
        self._ended = False
        self._gone: set[str] = set()
        self._repaired_at_s = 0.0
        self._after_ack: list[Callable[[str], None]] = []
        self._world.on_acknowledged = self._acknowledged

    def run(self) -> Verdict:
        """Play it; the verdict."""
        world = self._world
        self._fair()
        for name in FOUNDERS:
            machine = Machine(world, name, FOUNDERS, bootstrap=True)
            machine.sync_s = self._schedule.climate.sync_s
            world.machines[name] = machine
            world.at(world.rng.random() * 0.3, machine.start)
        for _ in range(self._schedule.climate.spares):
            self._add().start()
        world.at(0.0, self._note_peers)
        for step in self._schedule.steps:
            world.at(0.3 + step.at_s, self._do, step)
        world.run(TROUBLE_S + 1.5)
        self._mend()
        world.run(world.now_s + CALM_S)
        acknowledged = sum(1 for operation in world.history.operations if operation.value is not None)
        self._read_last()
        mistakes = tuple(world.history.finish())
        return Verdict(self._schedule, mistakes, acknowledged, world.handled)

    # What callers and the tier do.

    def _note_peers(self) -> None:
        for machine in self._world.machines.values():
            machine.note_peers()
        self._world.at(self._world.now_s + 0.3, self._note_peers)

    def _mend(self) -> None:
        """All troubles end; every machine that is still there runs."""
        world = self._world
        self._ended = True
        self._after_ack.clear()
        world.weather, world.patience = Weather(), RECONFIGURATION_TIMEOUTS
        world.join()
        for machine in self._present():
            machine.folder.refusing = False
            machine.sync_s = 0.001
            machine.thaw_at_s = min(machine.thaw_at_s, world.now_s)
            machine.start()
            if machine.node is not None:
                machine.node.replica_set_manager.timeouts = RECONFIGURATION_TIMEOUTS

    def _read_last(self) -> None:
        """Every node must have the same value now, and every replica of the set must be there."""
        world = self._world
        before = len(world.history.operations)
        for machine in self._present():
            machine.ask(0, LAST_READ_S)
        world.run(world.now_s + LAST_READ_S + 0.1)
        reads = world.history.operations[before:]
        for read in reads:
            if read.value is None:
                world.history.mistakes.append(
                    f"the last read at {read.node} failed: {read.error or 'no end'}"
                )
        if len({read.value for read in reads if read.value is not None}) > 1:
            world.history.mistakes.append("the last reads differ")
        newest = self._newest()
        identities = {machine.identity for machine in self._present()}
        if newest is not None:
            missing = [m.identity for m in newest.state.replicas.all_members if m.identity not in identities]
            if missing or newest.state.replicas.joining:
                world.history.mistakes.append(f"the replica set still has {missing}, {newest.state.replicas}")
            for machine in self._present():
                if machine.node is not None and machine.node.learned != newest:
                    world.history.mistakes.append(f"{machine.name} has not learned the newest value")

    # Troubles.

    def _present(self) -> list[Machine]:
        return [machine for name, machine in self._world.machines.items() if name not in self._gone]

    def _pick(self, slot: int) -> Machine:
        present = self._present()
        return present[slot % len(present)]

    def _newest(self) -> Proposal | None:
        learned = [
            machine.node.learned
            for machine in self._present()
            if machine.node is not None and machine.node.learned is not None
        ]
        return max(learned, key=lambda proposal: proposal.number, default=None)

    def _may_lose(self) -> bool:
        """Whether the loss of a disk is within what must be borne: no other loss is under repair. It is while a
        replica is missing in a proposal that somebody holds and that may be chosen, or was back too short a time."""
        newest = self._newest()
        if newest is None or newest.state.replicas.joining:
            return False
        if self._world.now_s < self._repaired_at_s:
            return False
        identities = {found.identity for found in self._present() if found.folder.files}
        held = [found.held for found in self._present() if found.held is not None]
        named = [proposal for proposal in (newest, *held) if proposal.number >= newest.number]
        return all(
            member.identity in identities
            for proposal in named
            for member in proposal.state.replicas.all_members
        )

    def _lost(self, back_s: float) -> None:
        """A disk is lost, and the machine back, or another in its place, after so long."""
        self._repaired_at_s = self._world.now_s + back_s + REPAIR_S

    def _do(self, step: Step) -> None:
        if self._ended:
            return
        machine = self._pick(step.slot)
        match step.kind:
            case Kind.CHANGE:
                self._changes += 1
                machine.ask(self._changes)
            case Kind.READ:
                machine.ask(0)
            case Kind.BURST:
                self._burst()
            case Kind.KILL:
                self._down(machine, machine.stop, step.lasts_s)
            case Kind.POWER:
                self._down(machine, machine.lose_power, step.lasts_s)
            case Kind.KILL_ALL:
                for found in self._present():
                    self._down(found, found.stop, step.lasts_s * self._world.rng.random())
            case Kind.POWER_ALL:
                for found in self._present():
                    self._down(found, found.lose_power, step.lasts_s * self._world.rng.random())
            case Kind.WIPE:
                self._wipe(machine, step.lasts_s)
            case Kind.REPLACE | Kind.REPLACE_FIRST:
                self._replace(machine, step)
            case Kind.WIPE_ONE_POWER_REST:
                self._wipe_one_power_rest(machine, step.lasts_s)
            case Kind.POWER_AFTER_ACK:
                self._after_ack.append(lambda name: self._power_named(name, step.lasts_s))
            case Kind.WIPE_AFTER_ACK:
                self._after_ack.append(lambda name: self._wipe(self._world.machines[name], step.lasts_s))
            case _:
                self._disturb(machine, step)

    def _burst(self) -> None:
        world = self._world
        for _ in range(BURST_OPERATIONS):
            self._changes += world.rng.random() < 0.2
            asked = world.rng.randint(0, self._changes)
            world.at(world.now_s + world.rng.random() * BURST_S, self._ask_anywhere, asked)

    def _ask_anywhere(self, number: int) -> None:
        if not self._ended:
            self._pick(self._world.rng.randrange(6)).ask(number)

    def _disturb(self, machine: Machine, step: Step) -> None:
        world = self._world
        end_s = world.now_s + step.lasts_s
        match step.kind:
            case Kind.FREEZE:
                machine.thaw_at_s = end_s
            case Kind.CUT_OFF:
                others = {found.name for found in self._present()} - {machine.name}
                world.cut |= {frozenset((machine.name, other)) for other in others}
                world.at(end_s, world.join)
            case Kind.CUT_APART:
                side = {found.name for found in self._present() if world.rng.random() < 0.5}
                rest = {found.name for found in self._present()} - side
                world.cut |= {frozenset((one, other)) for one in side for other in rest}
                world.at(end_s, world.join)
            case Kind.SLOW_DISK:
                machine.sync_s = step.lasts_s
                world.at(end_s, self._fair_disk, machine)
            case Kind.REFUSING_DISK:
                machine.folder.refusing = True
                world.at(end_s, setattr, machine.folder, "refusing", False)
            case Kind.WEATHER:
                world.weather.lost, world.weather.doubled = 0.2, 0.3
                world.weather.slowest_s = step.lasts_s
                world.at(end_s, self._fair)
            case Kind.ADD:
                self._add().start()

    def _fair(self) -> None:
        """The climate's weather."""
        climate = self._schedule.climate
        if not self._ended:
            self._world.weather = Weather(
                climate.lost, climate.doubled, climate.slowest_s, climate.slow_share
            )

    def _fair_disk(self, machine: Machine) -> None:
        if not self._ended:
            machine.sync_s = self._schedule.climate.sync_s

    def _add(self) -> Machine:
        self._added += 1
        name = f"core-new-{self._added}"
        machine = Machine(self._world, name, FOUNDERS, bootstrap=False)
        machine.sync_s = self._schedule.climate.sync_s
        self._world.machines[name] = machine
        return machine

    def _down(self, machine: Machine, how: Callable[[], None], lasts_s: float) -> None:
        how()
        machine.folder.refusing = False
        self._world.at(self._world.now_s + lasts_s, self._up, machine)

    def _up(self, machine: Machine) -> None:
        if machine.name not in self._gone:
            machine.start()

    def _wipe(self, machine: Machine, lasts_s: float) -> None:
        if machine.name not in self._gone and self._may_lose():
            self._lost(lasts_s)
            self._down(machine, machine.wipe, lasts_s)

    def _power_named(self, name: str, lasts_s: float) -> None:
        machine = self._world.machines[name]
        if name not in self._gone:
            self._down(machine, machine.lose_power, lasts_s)

    def _wipe_one_power_rest(self, machine: Machine, lasts_s: float) -> None:
        if not self._may_lose():
            return
        self._lost(lasts_s)
        for found in self._present():
            how = found.wipe if found is machine else found.lose_power
            self._down(found, how, lasts_s * self._world.rng.random())

    def _replace(self, machine: Machine, step: Step) -> None:
        """The machine goes for good, its disk with it; an empty one comes at another address."""
        if not self._may_lose():
            return
        successor = self._add()
        if step.kind is Kind.REPLACE_FIRST:
            successor.start()
            self._world.at(self._world.now_s + step.lasts_s, self._remove, machine)
        else:
            self._remove(machine)
            self._lost(step.lasts_s)
            self._world.at(self._world.now_s + step.lasts_s, self._up, successor)

    def _remove(self, machine: Machine) -> None:
        if self._ended or not self._may_lose():
            return
        self._lost(0.0)
        machine.wipe()
        self._gone.add(machine.name)

    def _acknowledged(self, name: str) -> None:
        waiting, self._after_ack = self._after_ack, []
        for work in waiting:
            self._world.at(self._world.now_s, work, name)


def play(schedule: Schedule, bugs: Bugs | None = None) -> Verdict:
    """Play a schedule; the same one always gives the same verdict."""
    return _Play(schedule, bugs or Bugs()).run()


def shorten(verdict: Verdict, bugs: Bugs | None = None) -> Verdict:
    """The verdict of the failing schedule with as few steps as may be."""
    return shortened(verdict, lambda schedule: play(schedule, bugs))


def play_seed(seed: int, bugs: Bugs | None = None) -> Verdict:
    """Play the schedule of a seed."""
    return play(make_schedule(seed), bugs)


def describe(verdict: Verdict) -> str:
    """A failing schedule for a person: its seed, its steps, what was wrong."""
    lines = [f"seed {verdict.schedule.seed}: {len(verdict.schedule.steps)} steps"]
    lines.append(f"  {verdict.schedule.climate}")
    lines += [f"  {step}" for step in verdict.schedule.steps]
    lines += [f"  wrong: {mistake}" for mistake in verdict.mistakes]
    return "\n".join(lines)
