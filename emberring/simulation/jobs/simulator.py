"""Simulator of batch jobs: fault schedules from a seed, run in a simulated world, whose history is checked.

`play_seed(seed)` runs one; `shorten` shrinks a failing schedule.
"""

from __future__ import annotations

from collections.abc import Callable

from emberring.distribution.records import NodeRecord, NodeRole
from emberring.errors import ConflictError, NotFoundError
from emberring.placement.model import Placement, finish_move, shard_of
from emberring.placement.planning import PlanMemory, plan
from emberring.placement.retirement import begin_retire, retire_state
from emberring.simulation.common.shrinking import shortened
from emberring.simulation.jobs.client import HOST, MAX_ATTEMPTS, MAX_TOKENS, RETENTION_S, Clients
from emberring.simulation.jobs.gateway import SimulatedGateway
from emberring.simulation.jobs.history import History
from emberring.simulation.jobs.mutations import Mutations, seeded
from emberring.simulation.jobs.schedule import (
    FAULT_PERIOD_S,
    Schedule,
    Step,
    StepKind,
    Verdict,
    make_schedule,
    usual_network,
)
from emberring.simulation.jobs.store import SYNC_S, Disk, SimulatedStore
from emberring.simulation.jobs.world import NetworkConditions, World

RECOVERY_PERIOD_S = 8.0
LAST_READS_S = 2.0
REPLICA_CATCH_UP_S = 4.9
PLANNING_INTERVAL_S = 0.3
HEARTBEAT_TIMEOUT_S = 0.6  # a store without a heartbeat for so long counts as absent


_STORE_FAULTS = frozenset(
    (StepKind.KILL, StepKind.POWER, StepKind.KILL_ALL, StepKind.POWER_ALL, StepKind.WIPE, StepKind.REPLACE)
)
_DELAYED_FAULTS = frozenset(
    (
        StepKind.POWER_AFTER_ACK,
        StepKind.POWER_AFTER_READ,
        StepKind.OWNER_POWER_AFTER_READ,
        StepKind.WIPE_AFTER_ACK,
        StepKind.WIPE_ONE_POWER_REST,
    )
)
_GATEWAY_FAULTS = frozenset((StepKind.GATEWAY_KILL, StepKind.GATEWAY_FREEZE, StepKind.GATEWAY_CUT))


class _Simulation:
    """One schedule in one world."""

    def __init__(self, schedule: Schedule, mutations: Mutations) -> None:
        self.schedule = schedule
        self.mutations = mutations
        self.world = World(schedule.seed)
        self.history = History(MAX_TOKENS, MAX_ATTEMPTS, RETENTION_S)
        self.shard = shard_of(HOST)
        self.stores: dict[str, SimulatedStore] = {}
        self.removed: set[str] = set()
        self.placement: Placement | None = None
        self.memory = PlanMemory()
        self.ended = False
        self.retiring = ""
        self._last_heartbeat_s: dict[str, float] = {}
        self._faulty_until: dict[str, float] = {}
        self._after_ack: list[Callable[[], None]] = []
        self._after_read: list[Callable[[], None]] = []
        self.world.conditions = usual_network(self.schedule.seed)
        for number in range(schedule.stores):
            self._add(f"store-{number}").start()
        self.gateways = [
            SimulatedGateway(self.world, self.history, f"gateway-{number}", self.shard, self.stores)
            for number in range(2)
        ]
        self.clients = Clients(self.world, self.history, self.gateways)
        self.clients.on_submitted = self._on_submitted
        self.clients.on_result_read = self._on_result_read

    def run(self) -> Verdict:
        """Run the schedule; return the verdict."""
        world = self.world
        self._control()
        for step in self.schedule.steps:
            world.at(step.at_s, self._perform_step, step)
        world.run(FAULT_PERIOD_S + 2.0)
        self._clear_faults()
        world.run(world.now_s + RECOVERY_PERIOD_S)
        self._read_last()
        self.history.finish(world.now_s)
        self._check_stores()
        jobs = self.history.jobs.values()
        return Verdict(
            self.schedule,
            tuple(self.history.violations),
            sum(1 for job in jobs if job.accepted_s is not None),
            sum(len(job.visible) for job in jobs),
            len(self.history.runs),
            world.handled,
        )

    # The control plane, which is assumed to work.

    def _control(self) -> None:
        now_s = self.world.now_s
        for name, store in self.stores.items():
            if store.running and now_s >= store.frozen_until_s and name not in self.world.cut:
                self._last_heartbeat_s[name] = now_s
        live = [
            NodeRecord(name, NodeRole.STORE, name, "", store.identity, leaving=store.leaving)
            for name, store in self.stores.items()
            if now_s - self._last_heartbeat_s.get(name, -9.0) < HEARTBEAT_TIMEOUT_S
            and name not in self.removed
        ]
        planned = plan(self.placement, live, now_s, 1, self.memory)
        for group in planned.groups if planned else ():
            if planned is not None and group.shard != self.shard:  # those hold nothing here
                planned = finish_move(planned, group.shard, group.epoch)
        self._apply_placement(planned)
        self._remove_emptied()
        self.world.after(PLANNING_INTERVAL_S, self._control)

    def _remove_emptied(self) -> None:
        """Remove a retired store, with its disk, as soon as it is emptied."""
        if self.retiring and self.retiring not in self.removed and self._cleared():
            self.stores[self.retiring].wipe()
            self.removed.add(self.retiring)

    def _cleared(self) -> bool:
        try:
            return retire_state(self.placement, self.retiring) == "completed"
        except NotFoundError:
            return False

    def _apply_placement(self, placement: Placement | None) -> None:
        if placement is None:
            return
        changed = placement != self.placement
        self.placement = placement
        for name, store in self.stores.items():
            if (changed or store.placement != placement) and name not in self.world.cut:
                self.world.after(self.world.rng.random() * 0.3, self._notify_store, store, placement)

    def _notify_store(self, store: SimulatedStore, placement: Placement) -> None:
        if store.name not in self.world.cut and store.running:
            store.when_awake(store.incarnation, store.learn, placement)

    def _on_migration_completed(self, name: str, shard: int, epoch: int) -> None:
        self.world.send(name, "control", self._finish_move, shard, epoch)

    def _finish_move(self, shard: int, epoch: int) -> None:
        if self.placement is not None:
            self._apply_placement(finish_move(self.placement, shard, epoch))

    # The end.

    def _clear_faults(self) -> None:
        self.ended = True
        self._after_ack.clear()
        self._after_read.clear()
        self.world.conditions = NetworkConditions()
        self.world.cut.clear()
        self.world.cut_links.clear()
        for store in self._present_stores():
            store.disk.refusing, store.disk.sync_s = False, SYNC_S
            store.disk.usual_sync_s = SYNC_S
            store.frozen_until_s = min(store.frozen_until_s, self.world.now_s)
            if store.leaving:
                store.kill()
            store.start()
        for gateway in self.gateways:
            gateway.frozen_until_s = min(gateway.frozen_until_s, self.world.now_s)

    def _read_last(self) -> None:
        self.clients.ending = True
        for job in self.history.jobs.values():
            if job.accepted_s is not None:
                for position in range(len(job.visible) + 1):
                    self.clients.read(job, position, 0)
        self.world.run(self.world.now_s + LAST_READS_S)

    def _check_stores(self) -> None:
        """Check that the migration has ended and that all replicas hold the same."""
        now_s = self.world.now_s
        if self.placement is None:
            self.history.add_violation(now_s, "no table")
            return
        group = self.placement.groups[self.shard]
        if group.joining:
            self.history.add_violation(now_s, f"a move has not ended: {group}")
        digests = {}
        for store in self._present_stores():
            if store.identity in group.members:
                digests[store.identity] = store.replica.digest
        if set(digests) != set(group.members) or len(set(digests.values())) != 1:
            self.history.add_violation(now_s, f"replicas differ: {digests} of {group.members}")
        if self.retiring and not self._cleared():
            self.history.add_violation(now_s, f"{self.retiring} is not emptied")

    # Faults.

    def _add(self, name: str) -> SimulatedStore:
        store = SimulatedStore(self.world, self.shard, name, self.mutations)
        store.machines = self.stores
        store.on_migration_completed = self._on_migration_completed
        self.stores[name] = store
        return store

    def _present_stores(self) -> list[SimulatedStore]:
        return [store for name, store in self.stores.items() if name not in self.removed]

    def _on_submitted(self) -> None:
        waiting, self._after_ack = self._after_ack, []
        for work in waiting:
            work()

    def _on_result_read(self) -> None:
        waiting, self._after_read = self._after_read, []
        for work in waiting:
            work()

    def _owner_loses_power(self, lasts_s: float) -> None:
        now_s = self.world.now_s
        for found in self._present_stores():
            if found.running and found.owner.serving(now_s):
                self._take_down(found, found.lose_power, lasts_s)

    def _loss_is_tolerable(self, store: SimulatedStore) -> bool:
        """Whether the loss of this disk must be tolerated: all others were healthy for a while."""
        now_s = self.world.now_s
        if self.placement is None or self.ended:
            return False
        well = all(
            other.running and self._faulty_until.get(other.name, 0.0) + REPLICA_CATCH_UP_S <= now_s
            for other in self._present_stores()
        )
        return well and not self.placement.groups[self.shard].joining

    def _note_fault(self, store: SimulatedStore, lasts_s: float) -> None:
        until_s = self.world.now_s + lasts_s
        self._faulty_until[store.name] = max(until_s, self._faulty_until.get(store.name, 0.0))

    def _take_down(self, store: SimulatedStore, how: Callable[[], None], lasts_s: float) -> None:
        self._note_fault(store, lasts_s)
        how()
        self.world.after(lasts_s, self._bring_up, store)

    def _bring_up(self, store: SimulatedStore) -> None:
        if store.name not in self.removed:
            store.start()

    def _perform_step(self, step: Step) -> None:
        if self.ended:
            return
        present = self._present_stores()
        store = present[step.slot % len(present)]
        gateway = self.gateways[step.slot % len(self.gateways)]
        if step.kind is StepKind.JOB:
            self.clients.submit_job()
        elif step.kind in _STORE_FAULTS:
            self._stop_stores(store, step)
        elif step.kind in _DELAYED_FAULTS:
            self._schedule_fault(store, step)
        elif step.kind in _GATEWAY_FAULTS:
            self._disturb_gateway(gateway, step)
        else:
            self._note_fault(store, step.lasts_s)
            self._disturb_store(store, step)

    def _stop_stores(self, store: SimulatedStore, step: Step) -> None:
        match step.kind:
            case StepKind.KILL:
                self._take_down(store, store.kill, step.lasts_s)
            case StepKind.POWER:
                self._take_down(store, store.lose_power, step.lasts_s)
            case StepKind.KILL_ALL:
                for other in self._present_stores():
                    self._take_down(other, other.kill, step.lasts_s * self.world.rng.random())
            case StepKind.POWER_ALL:
                self._power_all(step.lasts_s)
            case StepKind.WIPE:
                self._wipe(store, step.lasts_s)
            case StepKind.REPLACE:
                self._replace(store, step.lasts_s)

    def _schedule_fault(self, store: SimulatedStore, step: Step) -> None:
        """Let a fault follow the next acknowledged submission or the next result that a client reads."""
        match step.kind:
            case StepKind.POWER_AFTER_ACK:
                self._after_ack.append(lambda: self._power_all(step.lasts_s))
            case StepKind.POWER_AFTER_READ:
                self._after_read.append(lambda: self._power_all(step.lasts_s))
            case StepKind.OWNER_POWER_AFTER_READ:
                self._after_read.append(lambda: self._owner_loses_power(step.lasts_s))
            case StepKind.WIPE_AFTER_ACK:
                self._after_ack.append(lambda: self._wipe(store, step.lasts_s))
            case StepKind.WIPE_ONE_POWER_REST:
                self._after_ack.append(lambda: self._wipe_one_power_rest(store, step.lasts_s))

    def _disturb_gateway(self, gateway: SimulatedGateway, step: Step) -> None:
        match step.kind:
            case StepKind.GATEWAY_KILL:
                gateway.kill(step.lasts_s)
            case StepKind.GATEWAY_FREEZE:
                gateway.frozen_until_s = self.world.now_s + step.lasts_s
            case StepKind.GATEWAY_CUT:
                self._cut_off(gateway.name, step.lasts_s)

    def _cut_off(self, name: str, lasts_s: float) -> None:
        self.world.cut.add(name)
        self.world.after(lasts_s, self.world.cut.discard, name)

    def _disturb_store(self, store: SimulatedStore, step: Step) -> None:
        match step.kind:
            case StepKind.FREEZE:
                store.frozen_until_s = self.world.now_s + step.lasts_s
            case StepKind.CUT_OFF:
                self._cut_off(store.name, step.lasts_s)
            case StepKind.CUT_LINK:
                self._cut_link(store, step.lasts_s)
            case StepKind.SLOW_DISK | StepKind.REFUSING_DISK:
                self._disturb_disk(store.disk, step)
            case StepKind.BAD_NETWORK:
                self._degrade_network(step.lasts_s)
            case _:
                self._change_stores(store, step)

    def _disturb_disk(self, disk: Disk, step: Step) -> None:
        if step.kind is StepKind.SLOW_DISK:
            disk.sync_s = step.lasts_s
            self.world.after(step.lasts_s, setattr, disk, "sync_s", disk.usual_sync_s)
        else:
            disk.refusing = True
            self.world.after(step.lasts_s, setattr, disk, "refusing", False)

    def _change_stores(self, store: SimulatedStore, step: Step) -> None:
        match step.kind:
            case StepKind.ADD:
                self._add(f"store-new-{len(self.stores)}").start()
            case StepKind.TERM:
                store.leaving = True
                self.world.after(0.8, self._take_down, store, store.kill, step.lasts_s)
            case StepKind.RETIRE:
                self._retire(store)

    def _cut_link(self, store: SimulatedStore, lasts_s: float) -> None:
        others = [other for other in self._present_stores() if other is not store]
        link = frozenset((store.name, self.world.rng.choice(others).name))
        self.world.cut_links.add(link)
        self.world.after(lasts_s, self.world.cut_links.discard, link)

    def _degrade_network(self, lasts_s: float) -> None:
        for other in self._present_stores():
            self._note_fault(other, lasts_s)
        self.world.conditions = NetworkConditions(0.1, lasts_s * 0.2)
        self.world.after(lasts_s, setattr, self.world, "conditions", usual_network(self.schedule.seed))

    def _retire(self, store: SimulatedStore) -> None:
        live = [
            NodeRecord(found.name, NodeRole.STORE, found.name, "", found.identity)
            for found in self._present_stores()
            if found.running
        ]
        if self.placement is None or self.retiring:
            return
        try:
            self._apply_placement(begin_retire(self.placement, store.name, live))
            self.retiring = store.name
        except (ConflictError, NotFoundError):
            pass

    def _power_all(self, lasts_s: float) -> None:
        for found in self._present_stores():
            self._take_down(found, found.lose_power, lasts_s * self.world.rng.random())

    def _wipe(self, store: SimulatedStore, lasts_s: float) -> None:
        if store.name not in self.removed and self._loss_is_tolerable(store):
            self._take_down(store, store.wipe, lasts_s)

    def _wipe_one_power_rest(self, store: SimulatedStore, lasts_s: float) -> None:
        if store.name in self.removed or not self._loss_is_tolerable(store):
            return
        for found in self._present_stores():
            how = found.wipe if found is store else found.lose_power
            self._take_down(found, how, lasts_s * self.world.rng.random())

    def _replace(self, store: SimulatedStore, lasts_s: float) -> None:
        """Remove a machine for good, with its disk; an empty one comes at another address."""
        if store.name == self.retiring or not self._loss_is_tolerable(store):
            return
        self._note_fault(store, lasts_s)
        store.wipe()
        self.removed.add(store.name)
        self.world.after(lasts_s, self._add(f"store-new-{len(self.stores)}").start)


def play(schedule: Schedule, mutations: Mutations | None = None) -> Verdict:
    """Run a schedule; the same one always gives the same verdict."""
    with seeded(mutations or Mutations()):
        return _Simulation(schedule, mutations or Mutations()).run()


def shorten(verdict: Verdict, mutations: Mutations | None = None) -> Verdict:
    """Return the verdict of the failing schedule with as few steps as possible."""
    return shortened(verdict, lambda schedule: play(schedule, mutations))


def play_seed(seed: int, mutations: Mutations | None = None) -> Verdict:
    """Run the schedule of a seed."""
    return play(make_schedule(seed), mutations)


def describe(verdict: Verdict) -> str:
    """Describe a failing schedule for a person: its seed, its steps, what was wrong."""
    lines = [
        f"seed {verdict.schedule.seed}: {verdict.schedule.stores} stores, {len(verdict.schedule.steps)} steps"
    ]
    lines += [f"  {step}" for step in verdict.schedule.steps]
    lines += [f"  wrong: {violation}" for violation in verdict.violations]
    return "\n".join(lines)
