"""Simulator of batch jobs: runs seeded fault schedules in a simulated world and checks the history.

`play_seed(seed)` runs the schedule of a seed; `shorten` shrinks a failing schedule.
"""

from __future__ import annotations

from collections.abc import Callable

from emberring.distribution.records import NodeRecord, NodeRole
from emberring.errors import ConflictError, NotFoundError
from emberring.placement.model import Placement, finish_move, shard_of
from emberring.placement.planning import PlanMemory, plan
from emberring.placement.retirement import begin_retire, retire_state
from emberring.simulation.common.shrinking import shrink_schedule
from emberring.simulation.jobs.client import Clients
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
    normal_network,
)
from emberring.simulation.jobs.services import (
    HOST,
    MAX_ATTEMPTS,
    MAX_TOKENS,
    RETENTION_S,
    has_lost_service,
)
from emberring.simulation.jobs.store import SYNC_S, Disk, SimulatedStore
from emberring.simulation.jobs.world import NetworkConditions, World

RECOVERY_PERIOD_S = 8.0
FINAL_READS_S = 2.0
REPLICA_CATCH_UP_S = 4.9
PLANNING_INTERVAL_S = 0.3
HEARTBEAT_TIMEOUT_S = 0.6  # a store without a heartbeat for this long counts as absent


_STORE_FAULTS = frozenset(
    (
        StepKind.KILL,
        StepKind.POWER_LOSS,
        StepKind.KILL_ALL,
        StepKind.POWER_LOSS_ALL,
        StepKind.DISK_LOSS,
        StepKind.REPLACE,
    )
)
_DELAYED_FAULTS = frozenset(
    (
        StepKind.POWER_LOSS_AFTER_ACK,
        StepKind.POWER_LOSS_AFTER_READ,
        StepKind.OWNER_POWER_LOSS_AFTER_READ,
        StepKind.DISK_LOSS_AFTER_ACK,
        StepKind.DISK_LOSS_POWER_LOSS_REST,
    )
)
_GATEWAY_FAULTS = frozenset((StepKind.GATEWAY_KILL, StepKind.GATEWAY_FREEZE, StepKind.GATEWAY_PARTITION))


class _Simulation:
    """One run of a schedule."""

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
        self.faults_ended = False
        self.retiring = ""
        self._last_heartbeat_s: dict[str, float] = {}
        self._faulty_until_s: dict[str, float] = {}
        self._after_submission: list[Callable[[], None]] = []
        self._after_read: list[Callable[[], None]] = []
        self.world.conditions = normal_network(self.schedule.seed)
        for number in range(schedule.stores):
            self._add(f"store-{number}").start()
        self.gateways = [
            SimulatedGateway(self.world, self.history, f"gateway-{number}", self.stores, mutations)
            for number in range(2)
        ]
        self.clients = Clients(self.world, self.history, self.gateways)
        self.clients.on_submitted = self._on_submitted
        self.clients.on_result_read = self._on_result_read

    def run(self) -> Verdict:
        """Run the schedule; return the verdict."""
        world = self.world
        self._run_control_plane()
        for step in self.schedule.steps:
            world.at(step.at_s, self._perform_step, step)
        if has_lost_service(self.schedule.seed):
            world.after(0.8, self.clients.submit_lost_jobs)
        world.run(FAULT_PERIOD_S + 2.0)
        self._clear_faults()
        world.run(world.now_s + RECOVERY_PERIOD_S)
        self._check_final_reads()
        self.history.finish(world.now_s)
        self._check_stores()
        jobs = self.history.jobs.values()
        return Verdict(
            self.schedule,
            tuple(self.history.violations),
            sum(1 for job in jobs if job.accepted_s is not None),
            sum(len(job.visible) for job in jobs),
            len(self.history.runs),
            world.events_handled,
        )

    # The control plane, which has no faults here.

    def _run_control_plane(self) -> None:
        now_s = self.world.now_s
        for name, store in self.stores.items():
            if store.running and now_s >= store.frozen_until_s and name not in self.world.partitioned:
                self._last_heartbeat_s[name] = now_s
        live = [
            NodeRecord(name, NodeRole.STORE, name, "", store.identity, leaving=store.leaving)
            for name, store in self.stores.items()
            if now_s - self._last_heartbeat_s.get(name, -9.0) < HEARTBEAT_TIMEOUT_S
            and name not in self.removed
        ]
        planned = plan(self.placement, live, now_s, 1, self.memory)
        for group in planned.groups if planned else ():
            if planned is not None and group.shard != self.shard:  # other shards have no data
                planned = finish_move(planned, group.shard, group.epoch)
        self._apply_placement(planned)
        self._remove_emptied_store()
        self.world.after(PLANNING_INTERVAL_S, self._run_control_plane)

    def _remove_emptied_store(self) -> None:
        """Remove a retired store with its disk as soon as its migration has completed."""
        if self.retiring and self.retiring not in self.removed and self._is_emptied():
            self.stores[self.retiring].wipe()
            self.removed.add(self.retiring)

    def _is_emptied(self) -> bool:
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
            if (changed or store.placement != placement) and name not in self.world.partitioned:
                self.world.after(self.world.rng.random() * 0.3, self._notify_store, store, placement)

    def _notify_store(self, store: SimulatedStore, placement: Placement) -> None:
        if store.name not in self.world.partitioned and store.running:
            store.when_awake(store.incarnation, store.apply_placement, placement)

    def _on_migration_completed(self, name: str, shard: int, epoch: int) -> None:
        self.world.send(name, "control", self._finish_move, shard, epoch)

    def _finish_move(self, shard: int, epoch: int) -> None:
        if self.placement is not None:
            self._apply_placement(finish_move(self.placement, shard, epoch))

    # End of the fault period and final checks.

    def _clear_faults(self) -> None:
        self.faults_ended = True
        self._after_submission.clear()
        self._after_read.clear()
        self.world.conditions = NetworkConditions()
        self.world.partitioned.clear()
        self.world.partitioned_links.clear()
        for store in self._present_stores():
            store.disk.refusing, store.disk.sync_s = False, SYNC_S
            store.disk.normal_sync_s = SYNC_S
            store.frozen_until_s = min(store.frozen_until_s, self.world.now_s)
            if store.leaving:
                store.kill()
            store.start()
        for gateway in self.gateways:
            gateway.frozen_until_s = min(gateway.frozen_until_s, self.world.now_s)

    def _check_final_reads(self) -> None:
        self.clients.stopping = True
        for job in self.history.jobs.values():
            if job.accepted_s is not None:
                for position in range(len(job.visible) + 1):
                    self.clients.read(job, position, 0)
        self.world.run(self.world.now_s + FINAL_READS_S)

    def _check_stores(self) -> None:
        """Check that no migration is pending and that all replicas have the same contents."""
        now_s = self.world.now_s
        if self.placement is None:
            self.history.add_violation(now_s, "no placement")
            return
        group = self.placement.groups[self.shard]
        if group.joining:
            self.history.add_violation(now_s, f"a migration has not completed: {group}")
        digests = {}
        for store in self._present_stores():
            if store.identity in group.members:
                digests[store.identity] = store.replica.digest
        if set(digests) != set(group.members) or len(set(digests.values())) != 1:
            self.history.add_violation(now_s, f"replicas differ: {digests} of {group.members}")
        if self.retiring and not self._is_emptied():
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
        waiting, self._after_submission = self._after_submission, []
        for callback in waiting:
            callback()

    def _on_result_read(self) -> None:
        waiting, self._after_read = self._after_read, []
        for callback in waiting:
            callback()

    def _cut_power_of_owner(self, duration_s: float) -> None:
        now_s = self.world.now_s
        for found in self._present_stores():
            if found.running and found.owner.serving(now_s):
                self._stop_store(found, found.lose_power, duration_s)

    def _loss_is_tolerable(self, store: SimulatedStore) -> bool:
        """Return whether a disk loss must be tolerated: all stores have been healthy long enough to catch up."""
        now_s = self.world.now_s
        if self.placement is None or self.faults_ended:
            return False
        others_healthy = all(
            other.running and self._faulty_until_s.get(other.name, 0.0) + REPLICA_CATCH_UP_S <= now_s
            for other in self._present_stores()
        )
        return others_healthy and not self.placement.groups[self.shard].joining

    def _note_fault(self, store: SimulatedStore, duration_s: float) -> None:
        until_s = self.world.now_s + duration_s
        self._faulty_until_s[store.name] = max(until_s, self._faulty_until_s.get(store.name, 0.0))

    def _stop_store(self, store: SimulatedStore, stop: Callable[[], None], duration_s: float) -> None:
        self._note_fault(store, duration_s)
        stop()
        self.world.after(duration_s, self._restart_store, store)

    def _restart_store(self, store: SimulatedStore) -> None:
        if store.name not in self.removed:
            store.start()

    def _perform_step(self, step: Step) -> None:
        if self.faults_ended:
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
            self._apply_gateway_fault(gateway, step)
        else:
            self._note_fault(store, step.duration_s)
            self._apply_store_fault(store, step)

    def _stop_stores(self, store: SimulatedStore, step: Step) -> None:
        match step.kind:
            case StepKind.KILL:
                self._stop_store(store, store.kill, step.duration_s)
            case StepKind.POWER_LOSS:
                self._stop_store(store, store.lose_power, step.duration_s)
            case StepKind.KILL_ALL:
                for other in self._present_stores():
                    self._stop_store(other, other.kill, step.duration_s * self.world.rng.random())
            case StepKind.POWER_LOSS_ALL:
                self._cut_all_power(step.duration_s)
            case StepKind.DISK_LOSS:
                self._lose_disk(store, step.duration_s)
            case StepKind.REPLACE:
                self._replace(store, step.duration_s)

    def _schedule_fault(self, store: SimulatedStore, step: Step) -> None:
        """Schedule a fault after the next acknowledged submission or the next result that a client reads."""
        match step.kind:
            case StepKind.POWER_LOSS_AFTER_ACK:
                self._after_submission.append(lambda: self._cut_all_power(step.duration_s))
            case StepKind.POWER_LOSS_AFTER_READ:
                self._after_read.append(lambda: self._cut_all_power(step.duration_s))
            case StepKind.OWNER_POWER_LOSS_AFTER_READ:
                self._after_read.append(lambda: self._cut_power_of_owner(step.duration_s))
            case StepKind.DISK_LOSS_AFTER_ACK:
                self._after_submission.append(lambda: self._lose_disk(store, step.duration_s))
            case StepKind.DISK_LOSS_POWER_LOSS_REST:
                self._after_submission.append(
                    lambda: self._lose_one_disk_and_all_power(store, step.duration_s)
                )

    def _apply_gateway_fault(self, gateway: SimulatedGateway, step: Step) -> None:
        match step.kind:
            case StepKind.GATEWAY_KILL:
                gateway.kill(step.duration_s)
            case StepKind.GATEWAY_FREEZE:
                gateway.frozen_until_s = self.world.now_s + step.duration_s
            case StepKind.GATEWAY_PARTITION:
                self._partition(gateway.name, step.duration_s)

    def _partition(self, name: str, duration_s: float) -> None:
        self.world.partitioned.add(name)
        self.world.after(duration_s, self.world.partitioned.discard, name)

    def _apply_store_fault(self, store: SimulatedStore, step: Step) -> None:
        match step.kind:
            case StepKind.FREEZE:
                store.frozen_until_s = self.world.now_s + step.duration_s
            case StepKind.PARTITION:
                self._partition(store.name, step.duration_s)
            case StepKind.LINK_PARTITION:
                self._partition_link(store, step.duration_s)
            case StepKind.SLOW_DISK | StepKind.FAILING_DISK:
                self._apply_disk_fault(store.disk, step)
            case StepKind.BAD_NETWORK:
                self._degrade_network(step.duration_s)
            case _:
                self._change_stores(store, step)

    def _apply_disk_fault(self, disk: Disk, step: Step) -> None:
        if step.kind is StepKind.SLOW_DISK:
            disk.sync_s = step.duration_s
            self.world.after(step.duration_s, setattr, disk, "sync_s", disk.normal_sync_s)
        else:
            disk.refusing = True
            self.world.after(step.duration_s, setattr, disk, "refusing", False)

    def _change_stores(self, store: SimulatedStore, step: Step) -> None:
        match step.kind:
            case StepKind.ADD:
                self._add(f"store-new-{len(self.stores)}").start()
            case StepKind.SIGTERM:
                store.leaving = True
                self.world.after(0.8, self._stop_store, store, store.kill, step.duration_s)
            case StepKind.RETIRE:
                self._retire(store)

    def _partition_link(self, store: SimulatedStore, duration_s: float) -> None:
        others = [other for other in self._present_stores() if other is not store]
        link = frozenset((store.name, self.world.rng.choice(others).name))
        self.world.partitioned_links.add(link)
        self.world.after(duration_s, self.world.partitioned_links.discard, link)

    def _degrade_network(self, duration_s: float) -> None:
        for other in self._present_stores():
            self._note_fault(other, duration_s)
        self.world.conditions = NetworkConditions(0.1, duration_s * 0.2)
        self.world.after(duration_s, setattr, self.world, "conditions", normal_network(self.schedule.seed))

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

    def _cut_all_power(self, duration_s: float) -> None:
        for found in self._present_stores():
            self._stop_store(found, found.lose_power, duration_s * self.world.rng.random())

    def _lose_disk(self, store: SimulatedStore, duration_s: float) -> None:
        if store.name not in self.removed and self._loss_is_tolerable(store):
            self._stop_store(store, store.wipe, duration_s)

    def _lose_one_disk_and_all_power(self, store: SimulatedStore, duration_s: float) -> None:
        if store.name in self.removed or not self._loss_is_tolerable(store):
            return
        for found in self._present_stores():
            stop = found.wipe if found is store else found.lose_power
            self._stop_store(found, stop, duration_s * self.world.rng.random())

    def _replace(self, store: SimulatedStore, duration_s: float) -> None:
        """Remove a machine permanently with its disk; an empty one starts at another address."""
        if store.name == self.retiring or not self._loss_is_tolerable(store):
            return
        self._note_fault(store, duration_s)
        store.wipe()
        self.removed.add(store.name)
        self.world.after(duration_s, self._add(f"store-new-{len(self.stores)}").start)


def play(schedule: Schedule, mutations: Mutations | None = None) -> Verdict:
    """Run a schedule; a schedule always gives the same verdict."""
    with seeded(mutations or Mutations()):
        return _Simulation(schedule, mutations or Mutations()).run()


def shorten(verdict: Verdict, mutations: Mutations | None = None) -> Verdict:
    """Return the verdict of the failing schedule with as few steps as possible."""
    return shrink_schedule(verdict, lambda schedule: play(schedule, mutations))


def play_seed(seed: int, mutations: Mutations | None = None) -> Verdict:
    """Run the schedule of a seed."""
    return play(make_schedule(seed), mutations)


def describe(verdict: Verdict) -> str:
    """Describe a failing schedule: seed, steps and violations."""
    lines = [
        f"seed {verdict.schedule.seed}: {verdict.schedule.stores} stores, {len(verdict.schedule.steps)} steps"
    ]
    lines += [f"  {step}" for step in verdict.schedule.steps]
    lines += [f"  wrong: {violation}" for violation in verdict.violations]
    return "\n".join(lines)
