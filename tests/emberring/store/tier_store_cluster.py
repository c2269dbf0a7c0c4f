"""Stores and a gateway's client and runner in one process, on loopback sockets, with a fake control plane."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Coroutine, Sequence
from pathlib import Path
from typing import Any

import attrs
import orjson
from free_ports import free_port

from emberring.configuration.model import Configuration, Route, RouteType, Service, Share
from emberring.distribution.messages import PlacementMoved
from emberring.distribution.records import NodeRecord, NodeRole
from emberring.errors import NotReadyError
from emberring.jobs.client import JobClient
from emberring.jobs.directory import OwnerDirectory
from emberring.jobs.items import ItemCall, ItemEvent, ItemOutcome, OutcomeKind
from emberring.jobs.runner import ItemRunner
from emberring.placement.model import Placement, finish_move
from emberring.placement.planning import PlanMemory, plan
from emberring.settings import Limits, Settings
from emberring.store.role import Store
from emberring.transport.messages import Ok
from emberring.transport.network import Network

HOST = "lots.example"
ROUTE = Route(
    name="r-lots",
    host=HOST,
    path_prefix="/batch/",
    type=RouteType.BATCH,
    timeout_ms=4000,
    split=(Share("llm", 1),),
    max_attempts=2,
    completion_target_ms=8000,
    retention_s=60.0,
    max_queued_tokens=100_000,
)
CONFIGURATION = Configuration(3, (ROUTE,), (Service("llm"),))


MAX_CLOCK_STEP_S = 0.06  # of the clock of the event loop between two readings


class LoadTolerantLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock excludes times in which a busy machine did not run the process.

    Without this, timeouts would expire and tests would fail on a busy machine.
    """

    def __init__(self) -> None:
        self._time_s = 0.0
        self._last_s = time.monotonic()
        super().__init__()

    def time(self) -> float:
        now_s = time.monotonic()
        self._time_s += min(now_s - self._last_s, MAX_CLOCK_STEP_S)
        self._last_s = now_s
        return self._time_s


def run(scenario: Coroutine[Any, Any, None]) -> None:
    """Run a scenario on a `LoadTolerantLoop`."""
    with asyncio.Runner(loop_factory=LoadTolerantLoop) as runner:
        runner.run(scenario)


class World:
    """Fake control plane: state of the tier, with a placement that is planned on demand."""

    def __init__(self) -> None:
        self.facts: dict[str, NodeRecord] = {}
        self.placement: Placement | None = None
        self.configuration: Configuration | None = CONFIGURATION
        self.memory = PlanMemory()
        self.followers: list[FakeFollower] = []
        self.control = Network()
        self.control_fact: NodeRecord | None = None

    async def start(self) -> None:
        address = f"127.0.0.1:{free_port()}"
        self.control_fact = NodeRecord("control-1", NodeRole.CONTROL, address, "z")
        self.control.handle(PlacementMoved, self._on_migration_completed)
        await self.control.listen(address)

    async def _on_migration_completed(self, message: PlacementMoved, _: Any) -> Ok:
        assert self.placement is not None
        self.placement = finish_move(self.placement, message.shard, message.epoch)
        self.notify_followers()
        return Ok()

    def live(self) -> list[NodeRecord]:
        controls = [self.control_fact] if self.control_fact else []
        return [*self.facts.values(), *controls]

    def replan(self, later_s: float = 0.0) -> None:
        now_s = asyncio.get_running_loop().time() + later_s
        plan(self.placement, self.live(), now_s, 1, self.memory)
        self.placement = plan(self.placement, self.live(), now_s + 0.5, 1, self.memory)
        self.notify_followers()

    def notify_followers(self) -> None:
        for follower in list(self.followers):
            follower.changed()


class FakeFollower:
    def __init__(self, world: World, me: NodeRecord) -> None:
        self.world = world
        self.me = me
        self.callbacks: list[Callable[[], None]] = []
        self.cut = False
        world.followers.append(self)

    @property
    def configuration(self) -> Configuration | None:
        return self.world.configuration

    @property
    def placement(self) -> Placement | None:
        return self.world.placement

    @property
    def nodes(self) -> dict[str, NodeRecord]:
        return {fact.name: fact for fact in self.world.live()}

    def subscribe(self, callback: Callable[[], None]) -> None:
        self.callbacks.append(callback)

    def changed(self) -> None:
        for callback in self.callbacks:
            callback()

    async def start(self) -> None:
        if self.me.role is NodeRole.STORE:
            self.world.facts[self.me.name] = self.me

    async def stop(self) -> None:
        self.world.followers.remove(self)


class FakeExecutor:
    """Executor that completes each item with a few events, unless a script gives other outcomes; records the runs."""

    def __init__(self, events: int = 3, pause_s: float = 0.0) -> None:
        self.events = events
        self.pause_s = pause_s
        self.runs: list[tuple[str, int | None]] = []
        self.bodies: dict[str, bytes] = {}
        self.script: dict[str, list[OutcomeKind]] = {}
        self.defects: dict[str, Exception] = {}  # raised by the first run of the item with this id
        self.active = 0
        self.capacity = 20
        self.services = ["llm"]  # those that have servers

    def batch_capacity(self) -> dict[str, int]:
        return dict.fromkeys(self.services, self.capacity - self.active)

    async def run_item(self, item: ItemCall, on_events: Callable[[list[ItemEvent]], None]) -> ItemOutcome:
        if not item.still_allowed():
            return ItemOutcome(OutcomeKind.NOT_RUN)
        self.active += 1
        try:
            self.runs.append((item.id, item.resume_after))
            self.bodies[item.id] = item.body
            if item.id in self.defects:
                raise self.defects.pop(item.id)
            script = self.script.get(item.id)
            kind = script.pop(0) if script else OutcomeKind.COMPLETED
            if kind is not OutcomeKind.COMPLETED:
                return ItemOutcome(kind)
            first = 0 if item.resume_after is None else item.resume_after + 1
            for number in range(first, self.events):
                if self.pause_s:
                    await asyncio.sleep(self.pause_s)
                on_events([ItemEvent(number, f"{item.id} says {number}")])
            return ItemOutcome(OutcomeKind.COMPLETED)
        finally:
            self.active -= 1


def text_of(item: str, events: int = 3) -> str:
    return "\n".join(f"{item} says {number}" for number in range(events))


def job_body(job: str, items: int, tokens: int = 10) -> bytes:
    listed = [
        {
            "Id": f"{job}-{number}",
            "Path": f"/batch/{number}",
            "Headers": {"Model": "m"},
            "Body": "q83vEjRWeJA=",
            "Tokens": tokens,
        }
        for number in range(items)
    ]
    return orjson.dumps({"Requests": listed})


def store_settings(name: str, directory: Path, port: int) -> Settings:
    return Settings(
        node_name=name,
        ip="127.0.0.1",
        zone=f"zone-{name}",
        port_range=(port - 2, port + 10),
        seed_nodes=(),
        data_dir=str(directory / name),
        limits=Limits(disk_mb=200),
    )


@attrs.define(eq=False)
class Cluster:
    """Stores and the fake control plane, in one process."""

    world: World
    directory: Path
    stores: dict[str, Store] = attrs.field(factory=dict)
    ports: dict[str, int] = attrs.field(factory=dict)

    @classmethod
    async def begin(cls, directory: Path, names: Sequence[str] = ("s1", "s2", "s3")) -> Cluster:
        world = World()
        await world.start()
        cluster = cls(world, directory)
        for name in names:
            await cluster.start_store(name)
        world.replan()
        return cluster

    async def start_store(self, name: str) -> Store:
        port = self.ports.setdefault(name, free_port())
        settings = store_settings(name, self.directory, port)
        store = Store(settings, lambda _, me, __: FakeFollower(self.world, me))
        await store.start()
        self.stores[name] = store
        self.world.notify_followers()
        return store

    async def kill(self, name: str) -> None:
        """Stop a store at once, without a graceful shutdown."""
        store = self.stores.pop(name)
        for task in list(store._tasks):
            task.cancel()
        await store.follower.stop()
        store.replica_client.close()
        await store.network.close()
        await store.journal.close()
        self.world.facts.pop(name, None)

    def gateway(self, executor: FakeExecutor | None = None, name: str = "g1") -> Gateway:
        me = NodeRecord(name, NodeRole.GATEWAY, "", "z")
        follower = FakeFollower(self.world, me)
        network = Network()
        directory = OwnerDirectory(follower)
        client = JobClient(network, follower, directory)
        runner = ItemRunner(network, follower, executor or FakeExecutor(), name, directory)
        return Gateway(network, client, runner)

    def owner_of(self, shard: int) -> str | None:
        now_s = asyncio.get_running_loop().time()
        for name, store in self.stores.items():
            if store.shards.owners[shard].serving(now_s):
                return name
        return None

    async def end(self) -> None:
        for name in list(self.stores):
            await self.kill(name)
        await self.world.control.close()


@attrs.frozen
class Gateway:
    network: Network
    client: JobClient
    runner: ItemRunner

    async def end(self) -> None:
        await self.runner.stop()
        await self.network.close()


async def until(condition: Callable[[], bool], limit_s: float = 6.0) -> None:
    """Wait until a condition is true."""
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + limit_s
    while not condition():
        assert loop.time() < deadline_s, "the condition did not become true in time"
        await asyncio.sleep(0.02)


async def read_all(client: JobClient, job: str, limit_s: float = 5.0) -> list[dict[str, str]]:
    """Read all results of a batch job, page by page."""
    loop = asyncio.get_running_loop()
    until_s = loop.time() + limit_s
    results: list[dict[str, str]] = []
    while loop.time() < until_s:
        try:
            page = orjson.loads(await client.read(HOST, job, len(results), 500))
        except NotReadyError:
            continue
        results += page["Results"]
        assert page["NextPageToken"] == len(results)
        if len(results) == page["Total"]:
            return results
    raise AssertionError(f"only {len(results)} results in time")
