"""The control plane at scale: hollow control nodes, gateways and servers in one process, in virtual time.

The real code of exchanges, update streams, heartbeats and followers runs over `HollowNetwork`, without the register,
HTTP, sockets and request serving. `measure` runs a period without changes, a drain and a new configuration, and returns
the resource usage of each role and the propagation times of updates. CPU time depends on the host; the rest is
deterministic.
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
from emberring.simulation.common.task_owner import install_owner_task_factory
from emberring.simulation.common.virtual_time import run_virtually
from emberring.simulation.scale.metered_network import HollowNetwork, Meter

HEARTBEAT_S = 1.2
START_S = 4.0  # time until all nodes know each other
CONFIGURED_S = 1.0  # time until all nodes have the first configuration
POLL_S = 0.01
TIMEOUT_S = 10.0  # timeout for the propagation of an update to all gateways
SERVICE = "llm"


@attrs.frozen
class Size:
    """The number of nodes of each kind."""

    gateways: int
    servers: int
    controls: int = 3
    routes: int = 20
    calls: int = 40  # in flight at each gateway


@attrs.frozen
class RoleFigures:
    """Resource usage of the nodes of a role without changes: the median and the busiest node.

    Per node and second: CPU time as a share of a core, bytes sent and received, calls sent.
    """

    cpu: float
    cpu_most: float
    bytes: float
    bytes_most: float
    calls: float


@attrs.frozen
class ScaleFigures:
    """The result of one size. Times in seconds; infinite if an update did not reach all gateways before the timeout."""

    size: Size
    control: RoleFigures
    gateway: RoleFigures
    known: int  # minimum number of servers known to a gateway before the changes
    drain_acknowledged_s: float
    drain_known_s: float
    configuration_known_s: float


class HollowControlNode:
    """A control node without register and HTTP."""

    def __init__(self, networks: dict[str, HollowNetwork], number: int, seeds: Sequence[str]) -> None:
        address = seeds[number]
        me = NodeRecord(f"core-{number}", NodeRole.CONTROL, address, f"zone-{number}", address, f"{number}.1")
        self.network = HollowNetwork(networks, address)
        self.cluster_state = ClusterState(0.0, me, seeds, HEARTBEAT_S)
        policy = ReplicationPolicy(len(seeds) - 1, FaultTolerance(1, 0, 0), {})
        replicas = frozenset(seeds)  # a control node's identity is its address here
        self.heartbeat_handler = HeartbeatHandler(
            self.cluster_state, policy, lambda found: 2 * len(found & replicas) > len(replicas)
        )
        self._exchanger = Exchanger(self.network, self.cluster_state)
        self.network.handle(Pull, UpdateStream(self.cluster_state).on_pull)

    def start(self) -> None:
        """Start the exchanges with other control nodes."""
        self.network.start(self._exchanger.run())


class HollowGateway:
    """The part of a gateway that follows the control nodes."""

    def __init__(
        self, networks: dict[str, HollowNetwork], number: int, seeds: Sequence[str], calls: int
    ) -> None:
        me = NodeRecord(f"edge-{number}", NodeRole.GATEWAY, f"edge-{number}:1", "zone-0", "", f"{number}.1")
        self.network = HollowNetwork(networks, me.address)
        self.follower = Follower(self.network, me, seeds)
        self.follower.report = self._report
        self._calls = calls
        self._random = random.Random(number)

    def _report(self, detail_follows: bool) -> dict[str, int]:
        """Return the load report of the gateway, with each call at a random known server."""
        servers = list(self.follower.servers)
        return dict(Counter(self._random.choices(servers, k=self._calls))) if servers else {}

    def start(self) -> None:
        """Start to pull updates."""
        self.network.start(self.follower.start())


class World:
    """The control nodes, gateways and servers of a size."""

    def __init__(self, size: Size) -> None:
        self.size = size
        networks: dict[str, HollowNetwork] = {}
        seeds = [f"core-{number}:1" for number in range(size.controls)]
        self.controls = [HollowControlNode(networks, number, seeds) for number in range(size.controls)]
        self.gateways = [
            HollowGateway(networks, number, seeds, size.calls) for number in range(size.gateways)
        ]
        self.draining = False  # whether the first server is draining
        self._sequence = 0

    def start(self) -> None:
        """Start all nodes and servers."""
        for control in self.controls:
            control.start()
        for gateway in self.gateways:
            gateway.start()
        for number in range(self.size.servers):
            control = self.controls[number % self.size.controls]
            control.network.start(self._send_heartbeats(control, number))

    async def _send_heartbeats(self, control: HollowControlNode, number: int) -> None:
        await asyncio.sleep(HEARTBEAT_S * number / self.size.servers)
        while True:
            if number or not self.draining:
                await self.send_heartbeat(control, number, "ready")
            await asyncio.sleep(HEARTBEAT_S)

    async def send_heartbeat(self, control: HollowControlNode, number: int, state: str) -> None:
        """Send the heartbeat of a server."""
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

    def configure(self, version: int, controls: Sequence[HollowControlNode] | None = None) -> None:
        """Commit a configuration; the given control nodes, by default all, learn it at once."""
        routes = [
            {"Name": f"r{number}", "Host": f"h{number}.example", "PathPrefix": "/p/", "Type": "streaming"}
            | {"TimeoutMs": 5000, "TargetLatencyMs": 200, "Priority": 0, "Service": SERVICE, "MaxAttempts": 1}
            for number in range(self.size.routes)
        ]
        document = {"Version": version, "Routes": routes, "Services": [{"Name": SERVICE}], "Limits": {}}
        state = ControlState(version=version, packed=pack(orjson.dumps(document)))
        for control in self.controls if controls is None else controls:
            control.cluster_state.apply_state(state)


async def start_world(size: Size) -> World:
    """Start a world of this size with metered tasks and wait until all nodes have the first configuration."""
    install_owner_task_factory(asyncio.get_running_loop())
    world = World(size)
    world.start()
    await asyncio.sleep(START_S)
    world.configure(1)
    await asyncio.sleep(CONFIGURED_S)
    return world


async def time_until(
    holds: Callable[[], bool], poll_s: float = POLL_S, timeout_s: float = TIMEOUT_S
) -> float:
    """Return the seconds until the condition holds; infinite after the timeout."""
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    while not holds():
        if loop.time() - began_s > timeout_s:
            return math.inf
        await asyncio.sleep(poll_s)
    return loop.time() - began_s


def all_satisfied(
    is_satisfied: Callable[[HollowGateway], bool], gateways: Sequence[HollowGateway]
) -> Callable[[], bool]:
    """Return a condition that holds once `is_satisfied` has been true for each gateway at some time."""
    missing = list(gateways)

    def hold() -> bool:
        missing[:] = [one for one in missing if not is_satisfied(one)]
        return not missing

    return hold


def figures_of(meters: Sequence[Meter], seconds: float) -> RoleFigures:
    """Return the resource usage of these nodes per node and second, over a period of `seconds`."""
    cpu = [meter.cpu_s / seconds for meter in meters]
    sizes = [(meter.sent_bytes + meter.received_bytes) / seconds for meter in meters]
    calls = [meter.calls / seconds for meter in meters]
    return RoleFigures(
        statistics.median(cpu), max(cpu), statistics.median(sizes), max(sizes), statistics.median(calls)
    )


async def _measure(size: Size, seconds: float, found: list[ScaleFigures]) -> None:
    loop = asyncio.get_running_loop()
    world = await start_world(size)
    meters = {
        "control": [one.network.meter for one in world.controls],
        "gateway": [one.network.meter for one in world.gateways],
    }
    for meter in (*meters["control"], *meters["gateway"]):
        meter.clear()
    await asyncio.sleep(seconds)
    roles = {role: figures_of(role_meters, seconds) for role, role_meters in meters.items()}
    known = min(len(one.follower.servers) for one in world.gateways)
    world.configure(2)
    configured_s = await time_until(all_satisfied(has_version_2, world.gateways))
    world.draining = True
    began_s = loop.time()
    await world.send_heartbeat(world.controls[0], 0, "draining")
    acknowledged_s = loop.time() - began_s
    drained_s = acknowledged_s + await time_until(all_satisfied(excludes_drained_server, world.gateways))
    found.append(
        ScaleFigures(size, roles["control"], roles["gateway"], known, acknowledged_s, drained_s, configured_s)
    )


def has_version_2(gateway: HollowGateway) -> bool:
    """Return whether this gateway has the second configuration."""
    configuration = gateway.follower.configuration
    return configuration is not None and configuration.version >= 2


def excludes_drained_server(gateway: HollowGateway) -> bool:
    """Return whether this gateway would send no request to the first server, which drains."""
    record = gateway.follower.servers.get(f"i-{0:08x}")
    return record is None or record.state is not ServerState.READY


def measure(size: Size, seconds: float = 3.0) -> ScaleFigures:
    """Run a deployment of this size; resource usage is measured over `seconds` without changes."""
    found: list[ScaleFigures] = []
    run_virtually(_measure(size, seconds, found))
    return found[0]


def power(sizes: Sequence[float], values: Sequence[float]) -> float:
    """Return the exponent of the power law of values over sizes, fitted by least squares.

    NaN if a value is not positive and finite or if there is only one size.
    """
    if len(set(sizes)) < 2 or any(value <= 0.0 or value == math.inf for value in values):
        return math.nan
    logs = [math.log(value) for value in values]
    return statistics.linear_regression([math.log(size) for size in sizes], logs).slope
