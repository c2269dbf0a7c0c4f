"""The control plane at size: hollow control nodes, gateways and servers in one process, on a clock that jumps.

The real code of exchanges, feeds, heartbeats and followers runs over `HollowNetwork`; not in it are the register, HTTP
and sockets, and what gateways serve. `measure` plays a calm time, a drain and a new configuration, and tells what each
role used and how long word took. Processor time is this machine's; the rest repeats.
"""

from __future__ import annotations

import asyncio
import math
import random
import statistics
from collections import Counter
from collections.abc import Callable, Sequence

import attrs
import orjson

from emberring.configuration.reading import pack
from emberring.configuration.state import ControlState
from emberring.control.cluster_state import ClusterState
from emberring.control.exchanger import Exchanger
from emberring.control.heartbeat_handler import HeartbeatHandler
from emberring.control.replication_policy import ReplicationPolicy
from emberring.control.update_stream import UpdateStream
from emberring.distribution.follower import Follower
from emberring.distribution.messages import Pull
from emberring.distribution.records import NodeRecord, NodeRole, ServerState
from emberring.settings import FaultTolerance
from emberring.simulation.common.task_owner import own_tasks
from emberring.simulation.common.virtual_time import run_virtually
from emberring.simulation.scale.metered_network import HollowNetwork, Meter

HEARTBEAT_S = 1.2
START_S = 4.0  # until all know one another,
CONFIGURED_S = 1.0  # and the first configuration
LOOK_S = 0.01
GIVE_UP_S = 10.0  # for word to reach everybody
SERVICE = "llm"


@attrs.frozen
class Size:
    """How many there are of each."""

    gateways: int
    servers: int
    controls: int = 3
    routes: int = 20
    calls: int = 40  # in flight at each gateway


@attrs.frozen
class RoleFigures:
    """What the nodes of a role used in the calm time: the middle and the busiest. Per node and second: processor time
    as a share of a core, bytes in and out, calls sent."""

    cpu: float
    cpu_most: float
    bytes: float
    bytes_most: float
    calls: float


@attrs.frozen
class ScaleFigures:
    """What came of a size. Times in seconds; infinite where word had not reached everybody when it was given up."""

    size: Size
    control: RoleFigures
    gateway: RoleFigures
    known: int  # servers that the least informed gateway knew at the end of the calm time
    drain_acknowledged_s: float
    drain_known_s: float
    configuration_known_s: float


class HollowControl:
    """A control node without register and HTTP."""

    def __init__(self, hub: dict[str, HollowNetwork], number: int, seeds: Sequence[str]) -> None:
        address = seeds[number]
        me = NodeRecord(f"core-{number}", NodeRole.CONTROL, address, f"zone-{number}", address, f"{number}.1")
        self.network = HollowNetwork(hub, address)
        self.cluster_state = ClusterState(0.0, me, seeds, HEARTBEAT_S)
        rule = ReplicationPolicy(len(seeds) - 1, FaultTolerance(1, 0, 0), {})
        replicas = frozenset(seeds)  # a control node's identity is its address here
        self.heartbeat_handler = HeartbeatHandler(
            self.cluster_state, rule, lambda found: 2 * len(found & replicas) > len(replicas)
        )
        self._exchanger = Exchanger(self.network, self.cluster_state)
        self.network.handle(Pull, UpdateStream(self.cluster_state).on_pull)

    def start(self) -> None:
        """Begin to exchange."""
        self.network.start(self._exchanger.run())


class HollowGateway:
    """The part of a gateway that follows the control nodes."""

    def __init__(self, hub: dict[str, HollowNetwork], number: int, seeds: Sequence[str], calls: int) -> None:
        me = NodeRecord(f"edge-{number}", NodeRole.GATEWAY, f"edge-{number}:1", "zone-0", "", f"{number}.1")
        self.network = HollowNetwork(hub, me.address)
        self.follower = Follower(self.network, me, seeds)
        self.follower.report = self._report
        self._calls = calls
        self._random = random.Random(number)

    def _report(self, word_follows: bool) -> dict[str, int]:
        """As a gateway's admission tells it: its calls, each at a server drawn from those it knows."""
        servers = list(self.follower.servers)
        return dict(Counter(self._random.choices(servers, k=self._calls))) if servers else {}

    def start(self) -> None:
        """Begin to pull."""
        self.network.start(self.follower.start())


class World:
    """Control nodes, gateways and servers of a size, started together."""

    def __init__(self, size: Size) -> None:
        self.size = size
        hub: dict[str, HollowNetwork] = {}
        seeds = [f"core-{number}:1" for number in range(size.controls)]
        self.controls = [HollowControl(hub, number, seeds) for number in range(size.controls)]
        self.gateways = [HollowGateway(hub, number, seeds, size.calls) for number in range(size.gateways)]
        self.draining = False  # whether the first server is about to end
        self._sequence = 0

    def start(self) -> None:
        """Start all of them."""
        for control in self.controls:
            control.start()
        for gateway in self.gateways:
            gateway.start()
        for number in range(self.size.servers):
            control = self.controls[number % self.size.controls]
            control.network.start(self._beat_on(control, number))

    async def _beat_on(self, control: HollowControl, number: int) -> None:
        await asyncio.sleep(HEARTBEAT_S * number / self.size.servers)
        while True:
            if number or not self.draining:
                await self.beat(control, number, "ready")
            await asyncio.sleep(HEARTBEAT_S)

    async def beat(self, control: HollowControl, number: int, state: str) -> None:
        """A server's heartbeat."""
        self._sequence += 1
        body = orjson.dumps(
            {
                "Service": SERVICE,
                "Address": f"10.0.{number >> 8}.{number & 255}:80",
                "Zone": "zone-0",
                "Version": "v1",
                "Capacity": 32,
                "State": state,
                "ColdRemainingMs": 0,
                "Sequence": self._sequence,
            }
        )
        await control.heartbeat_handler.heartbeat(f"i-{number:08x}", body)

    def configure(self, version: int, controls: Sequence[HollowControl] | None = None) -> None:
        """A configuration is chosen: the registers of these control nodes, of all if left out, say so."""
        routes = [
            {"Name": f"r{number}", "Host": f"h{number}.example", "PathPrefix": "/p/", "Type": "streaming"}
            | {"TimeoutMs": 5000, "TargetLatencyMs": 200, "Priority": 0, "Service": SERVICE, "MaxAttempts": 1}
            for number in range(self.size.routes)
        ]
        document = {"Version": version, "Routes": routes, "Services": [{"Name": SERVICE}], "Limits": {}}
        state = ControlState(version=version, packed=pack(orjson.dumps(document)))
        for control in self.controls if controls is None else controls:
            control.cluster_state.apply_state(state)


async def started(size: Size) -> World:
    """A world of this size, whose tasks are metered, in which all know one another and the first configuration."""
    own_tasks(asyncio.get_running_loop())
    world = World(size)
    world.start()
    await asyncio.sleep(START_S)
    world.configure(1)
    await asyncio.sleep(CONFIGURED_S)
    return world


async def time_until(
    holds: Callable[[], bool], look_s: float = LOOK_S, give_up_s: float = GIVE_UP_S
) -> float:
    """Seconds until this holds; infinite where it is given up."""
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    while not holds():
        if loop.time() - began_s > give_up_s:
            return math.inf
        await asyncio.sleep(look_s)
    return loop.time() - began_s


def all_have(has: Callable[[HollowGateway], bool], gateways: Sequence[HollowGateway]) -> Callable[[], bool]:
    """Whether all gateways have it by now; one that had it is not asked again."""
    missing = list(gateways)

    def hold() -> bool:
        missing[:] = [one for one in missing if not has(one)]
        return not missing

    return hold


def figures_of(meters: Sequence[Meter], seconds: float) -> RoleFigures:
    """What these nodes used in so many seconds."""
    cpu = [meter.cpu_s / seconds for meter in meters]
    sizes = [(meter.sent_bytes + meter.received_bytes) / seconds for meter in meters]
    calls = [meter.calls / seconds for meter in meters]
    return RoleFigures(
        statistics.median(cpu), max(cpu), statistics.median(sizes), max(sizes), statistics.median(calls)
    )


async def _play(size: Size, seconds: float, found: list[ScaleFigures]) -> None:
    loop = asyncio.get_running_loop()
    world = await started(size)
    meters = {
        "control": [one.network.meter for one in world.controls],
        "gateway": [one.network.meter for one in world.gateways],
    }
    for meter in (*meters["control"], *meters["gateway"]):
        meter.clear()
    await asyncio.sleep(seconds)
    roles = {role: figures_of(mine, seconds) for role, mine in meters.items()}
    known = min(len(one.follower.servers) for one in world.gateways)
    world.configure(2)
    configured_s = await time_until(all_have(has_version_2, world.gateways))
    world.draining = True
    began_s = loop.time()
    await world.beat(world.controls[0], 0, "draining")
    acknowledged_s = loop.time() - began_s
    drained_s = acknowledged_s + await time_until(all_have(knows_the_drain, world.gateways))
    found.append(
        ScaleFigures(size, roles["control"], roles["gateway"], known, acknowledged_s, drained_s, configured_s)
    )


def has_version_2(gateway: HollowGateway) -> bool:
    """Whether it has the second configuration."""
    configuration = gateway.follower.configuration
    return configuration is not None and configuration.version >= 2


def knows_the_drain(gateway: HollowGateway) -> bool:
    """Whether it sends nothing new to the first server."""
    record = gateway.follower.servers.get(f"i-{0:08x}")
    return record is None or record.state is not ServerState.READY


def measure(size: Size, seconds: float = 3.0) -> ScaleFigures:
    """Play a size; `seconds` of calm time are measured."""
    found: list[ScaleFigures] = []
    run_virtually(_play(size, seconds, found))
    return found[0]


def power(sizes: Sequence[float], values: Sequence[float]) -> float:
    """The slope of the logarithms of values over those of sizes; not a number where a value is 0 or there is one."""
    if len(set(sizes)) < 2 or any(value <= 0.0 or value == math.inf for value in values):
        return math.nan
    logs = [math.log(value) for value in values]
    return statistics.linear_regression([math.log(size) for size in sizes], logs).slope
