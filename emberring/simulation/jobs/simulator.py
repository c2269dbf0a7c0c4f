"""The check of batch jobs: schedules of troubles from a seed, played in a simulated world, what was seen judged.

`play_seed(seed)` plays one; `shorten` makes a failing schedule as short as it gets.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from emberring.distribution.records import NodeRecord, NodeRole
from emberring.errors import ConflictError, NotFoundError
from emberring.placement.model import Placement, finish_move, shard_of
from emberring.placement.planning import PlanMemory, plan
from emberring.placement.retirement import begin_retire, retire_state
from emberring.simulation.common.shrinking import shortened
from emberring.simulation.jobs.client import HOST, MAX_ATTEMPTS, MAX_TOKENS, RETENTION_S, Clients
from emberring.simulation.jobs.gateway import GatewayMachine
from emberring.simulation.jobs.history import History
from emberring.simulation.jobs.mutations import Bugs, seeded
from emberring.simulation.jobs.schedule import TROUBLE_S, Kind, Schedule, Step, Verdict, make_schedule
from emberring.simulation.jobs.store import SYNC_S, StoreMachine
from emberring.simulation.jobs.world import Weather, World

CALM_S = 8.0
LAST_READS_S = 2.0
CATCH_UP_S = 4.9
PLAN_S = 0.3
SILENT_S = 0.6  # a store not heard of for so long counts as absent


class _Play:
    """One schedule in one world."""

    def __init__(self, schedule: Schedule, bugs: Bugs) -> None:
        self.schedule = schedule
        self.bugs = bugs
        self.world = World(schedule.seed)
        self.history = History(MAX_TOKENS, MAX_ATTEMPTS, RETENTION_S)
        self.shard = shard_of(HOST)
        self.stores: dict[str, StoreMachine] = {}
        self.gone: set[str] = set()
        self.placement: Placement | None = None
        self.memory = PlanMemory()
        self.ended = False
        self.retiring = ""
        self._heard: dict[str, float] = {}
        self._trouble_until: dict[str, float] = {}
        self._after_ack: list[Callable[[], None]] = []
        self._after_read: list[Callable[[], None]] = []
        self.world.weather = self._usual_weather()
        for number in range(schedule.stores):
            self._add(f"store-{number}").start()
        self.gateways = [
            GatewayMachine(self.world, self.history, f"gateway-{number}", self.shard, self.stores)
            for number in range(2)
        ]
        self.clients = Clients(self.world, self.history, self.gateways)
        self.clients.on_taken = self._taken
        self.clients.on_shown = self._shown

    def run(self) -> Verdict:
        """Play it; the verdict."""
        world = self.world
        self._control()
        for step in self.schedule.steps:
            world.at(step.at_s, self._do, step)
        world.run(TROUBLE_S + 2.0)
        self._mend()
        world.run(world.now_s + CALM_S)
        self._read_last()
        self.history.finish(world.now_s)
        self._check_stores()
        jobs = self.history.jobs.values()
        return Verdict(
            self.schedule,
            tuple(self.history.mistakes),
            sum(1 for job in jobs if job.taken_s is not None),
            sum(len(job.visible) for job in jobs),
            len(self.history.runs),
            world.handled,
        )

    # The control plane, which is taken to work.

    def _control(self) -> None:
        now_s = self.world.now_s
        for name, store in self.stores.items():
            if store.running and now_s >= store.thaw_at_s and name not in self.world.cut:
                self._heard[name] = now_s
        live = [
            NodeRecord(name, NodeRole.STORE, name, "", store.identity, leaving=store.leaving)
            for name, store in self.stores.items()
            if now_s - self._heard.get(name, -9.0) < SILENT_S and name not in self.gone
        ]
        planned = plan(self.placement, live, now_s, 1, self.memory)
        for group in planned.groups if planned else ():
            if planned is not None and group.shard != self.shard:  # those hold nothing here
                planned = finish_move(planned, group.shard, group.epoch)
        self._adopt(planned)
        self._remove_emptied()
        self.world.after(PLAN_S, self._control)

    def _remove_emptied(self) -> None:
        """A store that is emptied goes at once, its disk with it."""
        if self.retiring and self.retiring not in self.gone and self._cleared():
            self.stores[self.retiring].wipe()
            self.gone.add(self.retiring)

    def _cleared(self) -> bool:
        try:
            return retire_state(self.placement, self.retiring) == "completed"
        except NotFoundError:
            return False

    def _adopt(self, placement: Placement | None) -> None:
        if placement is None:
            return
        changed = placement != self.placement
        self.placement = placement
        for name, store in self.stores.items():
            if (changed or store.placement != placement) and name not in self.world.cut:
                self.world.after(self.world.rng.random() * 0.3, self._tell, store, placement)

    def _tell(self, store: StoreMachine, placement: Placement) -> None:
        if store.name not in self.world.cut and store.running:
            store.when_awake(store.incarnation, store.learn, placement)

    def _moved(self, name: str, shard: int, epoch: int) -> None:
        self.world.send(name, "control", self._finish_move, shard, epoch)

    def _finish_move(self, shard: int, epoch: int) -> None:
        if self.placement is not None:
            self._adopt(finish_move(self.placement, shard, epoch))

    # The end.

    def _mend(self) -> None:
        self.ended = True
        self._after_ack.clear()
        self._after_read.clear()
        self.world.weather = Weather()
        self.world.cut.clear()
        self.world.cut_links.clear()
        for store in self._present():
            store.disk.refusing, store.disk.sync_s = False, SYNC_S
            store.disk.usual_sync_s = SYNC_S
            store.thaw_at_s = min(store.thaw_at_s, self.world.now_s)
            if store.leaving:
                store.kill()
            store.start()
        for gateway in self.gateways:
            gateway.thaw_at_s = min(gateway.thaw_at_s, self.world.now_s)

    def _read_last(self) -> None:
        self.clients.ending = True
        for job in self.history.jobs.values():
            if job.taken_s is not None:
                for position in range(len(job.visible) + 1):
                    self.clients.read(job, position, 0)
        self.world.run(self.world.now_s + LAST_READS_S)

    def _check_stores(self) -> None:
        """The group is whole, and all its replicas hold the same."""
        now_s = self.world.now_s
        if self.placement is None:
            self.history.wrong(now_s, "no table")
            return
        group = self.placement.groups[self.shard]
        if group.joining:
            self.history.wrong(now_s, f"a move has not ended: {group}")
        digests = {}
        for store in self._present():
            if store.identity in group.members:
                digests[store.identity] = store.replica.digest
        if set(digests) != set(group.members) or len(set(digests.values())) != 1:
            self.history.wrong(now_s, f"replicas differ: {digests} of {group.members}")
        if self.retiring and not self._cleared():
            self.history.wrong(now_s, f"{self.retiring} is not emptied")

    # Troubles.

    def _add(self, name: str) -> StoreMachine:
        store = StoreMachine(self.world, self.shard, name, self.bugs)
        store.machines = self.stores
        store.on_moved = self._moved
        self.stores[name] = store
        return store

    def _present(self) -> list[StoreMachine]:
        return [store for name, store in self.stores.items() if name not in self.gone]

    def _taken(self) -> None:
        waiting, self._after_ack = self._after_ack, []
        for work in waiting:
            work()

    def _shown(self) -> None:
        waiting, self._after_read = self._after_read, []
        for work in waiting:
            work()

    def _usual_weather(self) -> Weather:
        """Some worlds have slow links, and some lose calls now and then."""
        rng = random.Random(f"weather {self.schedule.seed}")
        return Weather(rng.choice((0.0, 0.0, 0.01, 0.03)), 0.002 * 20 ** rng.random())

    def _owner_loses_power(self, lasts_s: float) -> None:
        now_s = self.world.now_s
        for found in self._present():
            if found.running and found.owner.serving(now_s):
                self._down(found, found.lose_power, lasts_s)

    def _may_lose(self, store: StoreMachine) -> bool:
        """Whether the loss of this disk is within what must be borne: all others were well for a while."""
        now_s = self.world.now_s
        if self.placement is None or self.ended:
            return False
        well = all(
            other.running and self._trouble_until.get(other.name, 0.0) + CATCH_UP_S <= now_s
            for other in self._present()
        )
        return well and not self.placement.groups[self.shard].joining

    def _trouble(self, store: StoreMachine, lasts_s: float) -> None:
        until_s = self.world.now_s + lasts_s
        self._trouble_until[store.name] = max(until_s, self._trouble_until.get(store.name, 0.0))

    def _down(self, store: StoreMachine, how: Callable[[], None], lasts_s: float) -> None:
        self._trouble(store, lasts_s)
        how()
        self.world.after(lasts_s, self._up, store)

    def _up(self, store: StoreMachine) -> None:
        if store.name not in self.gone:
            store.start()

    def _do(self, step: Step) -> None:
        if self.ended:
            return
        present = self._present()
        store = present[step.slot % len(present)]
        gateway = self.gateways[step.slot % len(self.gateways)]
        match step.kind:
            case Kind.JOB:
                self.clients.hand_in()
            case Kind.KILL:
                self._down(store, store.kill, step.lasts_s)
            case Kind.POWER:
                self._down(store, store.lose_power, step.lasts_s)
            case Kind.KILL_ALL:
                for found in present:
                    self._down(found, found.kill, step.lasts_s * self.world.rng.random())
            case Kind.POWER_ALL:
                for found in present:
                    self._down(found, found.lose_power, step.lasts_s * self.world.rng.random())
            case Kind.WIPE:
                self._wipe(store, step.lasts_s)
            case Kind.REPLACE:
                self._replace(store, step.lasts_s)
            case Kind.POWER_AFTER_ACK:
                self._after_ack.append(lambda: self._power_all(step.lasts_s))
            case Kind.POWER_AFTER_READ:
                self._after_read.append(lambda: self._power_all(step.lasts_s))
            case Kind.OWNER_POWER_AFTER_READ:
                self._after_read.append(lambda: self._owner_loses_power(step.lasts_s))
            case Kind.WIPE_AFTER_ACK:
                self._after_ack.append(lambda: self._wipe(store, step.lasts_s))
            case Kind.WIPE_ONE_POWER_REST:
                self._after_ack.append(lambda: self._wipe_one_power_rest(store, step.lasts_s))
            case Kind.GATEWAY_KILL:
                gateway.kill(step.lasts_s)
            case Kind.GATEWAY_FREEZE:
                gateway.thaw_at_s = self.world.now_s + step.lasts_s
            case Kind.GATEWAY_CUT:
                self.world.cut.add(gateway.name)
                self.world.after(step.lasts_s, self.world.cut.discard, gateway.name)
            case _:
                self._disturb(store, step)

    def _disturb(self, store: StoreMachine, step: Step) -> None:
        world = self.world
        self._trouble(store, step.lasts_s)
        match step.kind:
            case Kind.FREEZE:
                store.thaw_at_s = world.now_s + step.lasts_s
            case Kind.CUT_OFF:
                world.cut.add(store.name)
                world.after(step.lasts_s, world.cut.discard, store.name)
            case Kind.CUT_LINK:
                others = [found for found in self._present() if found is not store]
                link = frozenset((store.name, world.rng.choice(others).name))
                world.cut_links.add(link)
                world.after(step.lasts_s, world.cut_links.discard, link)
            case Kind.SLOW_DISK:
                store.disk.sync_s = step.lasts_s
                world.after(step.lasts_s, setattr, store.disk, "sync_s", store.disk.usual_sync_s)
            case Kind.REFUSING_DISK:
                store.disk.refusing = True
                world.after(step.lasts_s, setattr, store.disk, "refusing", False)
            case Kind.WEATHER:
                for other in self._present():
                    self._trouble(other, step.lasts_s)
                world.weather = Weather(0.1, step.lasts_s * 0.2)
                world.after(step.lasts_s, setattr, world, "weather", self._usual_weather())
            case Kind.ADD:
                self._add(f"store-new-{len(self.stores)}").start()
            case Kind.TERM:
                store.leaving = True
                world.after(0.8, self._down, store, store.kill, step.lasts_s)
            case Kind.RETIRE:
                self._retire(store)

    def _retire(self, store: StoreMachine) -> None:
        live = [
            NodeRecord(found.name, NodeRole.STORE, found.name, "", found.identity)
            for found in self._present()
            if found.running
        ]
        if self.placement is None or self.retiring:
            return
        try:
            self._adopt(begin_retire(self.placement, store.name, live))
            self.retiring = store.name
        except (ConflictError, NotFoundError):
            pass

    def _power_all(self, lasts_s: float) -> None:
        for found in self._present():
            self._down(found, found.lose_power, lasts_s * self.world.rng.random())

    def _wipe(self, store: StoreMachine, lasts_s: float) -> None:
        if store.name not in self.gone and self._may_lose(store):
            self._down(store, store.wipe, lasts_s)

    def _wipe_one_power_rest(self, store: StoreMachine, lasts_s: float) -> None:
        if store.name in self.gone or not self._may_lose(store):
            return
        for found in self._present():
            how = found.wipe if found is store else found.lose_power
            self._down(found, how, lasts_s * self.world.rng.random())

    def _replace(self, store: StoreMachine, lasts_s: float) -> None:
        """The machine goes for good, its disk with it; an empty one comes at another address."""
        if store.name == self.retiring or not self._may_lose(store):
            return
        self._trouble(store, lasts_s)
        store.wipe()
        self.gone.add(store.name)
        self.world.after(lasts_s, self._add(f"store-new-{len(self.stores)}").start)


def play(schedule: Schedule, bugs: Bugs | None = None) -> Verdict:
    """Play a schedule; the same one always gives the same verdict."""
    with seeded(bugs or Bugs()):
        return _Play(schedule, bugs or Bugs()).run()


def shorten(verdict: Verdict, bugs: Bugs | None = None) -> Verdict:
    """The verdict of the failing schedule with as few steps as may be."""
    return shortened(verdict, lambda schedule: play(schedule, bugs))


def play_seed(seed: int, bugs: Bugs | None = None) -> Verdict:
    """Play the schedule of a seed."""
    return play(make_schedule(seed), bugs)


def describe(verdict: Verdict) -> str:
    """A failing schedule for a person: its seed, its steps, what was wrong."""
    lines = [
        f"seed {verdict.schedule.seed}: {verdict.schedule.stores} stores, {len(verdict.schedule.steps)} steps"
    ]
    lines += [f"  {step}" for step in verdict.schedule.steps]
    lines += [f"  wrong: {mistake}" for mistake in verdict.mistakes]
    return "\n".join(lines)
