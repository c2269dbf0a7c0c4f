"""A partition of the control plane at scale: one control node with its gateways and servers against the rest.

It uses the world of `scale.control_plane`, which has no register: the smaller side is given a growing quorum age, and
configurations are committed only on the larger side. Servers keep sending heartbeats to the control node of their side.
`measure_partition` returns how long changes take to reach each side, during the partition and after it, and the
resource usage of the control nodes.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

import attrs

from emberring.simulation.common.virtual_time import run_virtually
from emberring.simulation.scale.control_plane import (
    HollowControlNode,
    HollowGateway,
    RoleFigures,
    Size,
    World,
    all_satisfied,
    excludes_drained_server,
    figures_of,
    has_version_2,
    start_world,
    time_until,
)
from emberring.simulation.scale.metered_network import HollowNetwork

PARTED = "parted"
SETTLE_S = 5.0  # period measured after the partition
POLL_S = 0.05
TIMEOUT_S = 30.0


@attrs.frozen
class PartitionFigures:
    """The result of a partition. Times in seconds; infinite after the timeout. Field names are keys of the JSON output.

    Times during the partition: until the larger side counts only its own gateways (`absent_s`), and until a drain and
    a configuration have reached all gateways of that side. Times after it: until they have reached the gateways of the
    smaller side, until all gateways know all servers except the drained one, and until all control nodes count all
    gateways. `parted` is the number of gateways on the smaller side, `kept` the minimum number of servers known to one
    of them at the end of the partition.
    """

    size: Size
    parted: int
    control_during: RoleFigures
    control_after: RoleFigures
    absent_s: float
    drain_s: float
    configuration_s: float
    kept: int
    drain_after_s: float
    configuration_after_s: float
    servers_after_s: float
    counted_after_s: float


class _Partition:
    """The two sides of a world and the partition between them."""

    def __init__(self, world: World) -> None:
        count = len(world.controls)
        self.larger_controls = world.controls[:-1]
        self.parted_control = world.controls[-1]
        self.parted = [one for number, one in enumerate(world.gateways) if number % count == count - 1]
        self.larger = [one for one in world.gateways if one not in self.parted]

    def _parted_networks(self) -> list[HollowNetwork]:
        return [self.parted_control.network, *(one.network for one in self.parted)]

    def begin(self) -> None:
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        for network in self._parted_networks():
            network.side = PARTED
        self.parted_control.cluster_state.quorum_age_s = lambda: loop.time() - began_s

    def end(self) -> None:
        for network in self._parted_networks():
            network.side = ""
        self.parted_control.cluster_state.quorum_age_s = lambda: 0.0


def _gateways_are_counted(controls: Sequence[HollowControlNode], gateways: int) -> Callable[[], bool]:
    loop = asyncio.get_running_loop()
    return lambda: all(one.cluster_state.gateways(loop.time()) == gateways for one in controls)


def _servers_are_known(gateways: Sequence[HollowGateway], servers: int) -> Callable[[], bool]:
    return lambda: all(len(one.follower.servers) >= servers for one in gateways)


async def _recovery_times_s(world: World, partition: _Partition) -> tuple[float, float, float, float]:
    """Return the last four fields of `PartitionFigures`, measured from now."""
    size = world.size
    return await asyncio.gather(
        time_until(all_satisfied(excludes_drained_server, partition.parted)),
        time_until(all_satisfied(has_version_2, partition.parted)),
        time_until(_servers_are_known(world.gateways, size.servers - 1), POLL_S, TIMEOUT_S),
        time_until(_gateways_are_counted(world.controls, size.gateways), POLL_S, TIMEOUT_S),
    )


async def _measure(size: Size, partition_s: float, found: list[PartitionFigures]) -> None:
    loop = asyncio.get_running_loop()
    world = await start_world(size)
    partition, meters = _Partition(world), [one.network.meter for one in world.controls]
    for meter in meters:
        meter.clear()
    partition.begin()
    partition_began_s = loop.time()
    absent_s = await time_until(
        _gateways_are_counted(partition.larger_controls, len(partition.larger)), POLL_S, TIMEOUT_S
    )
    world.draining = True
    await world.send_heartbeat(world.controls[0], 0, "draining")
    drain_s = await time_until(all_satisfied(excludes_drained_server, partition.larger))
    world.configure(2, partition.larger_controls)
    configuration_s = await time_until(all_satisfied(has_version_2, partition.larger))
    await asyncio.sleep(max(0.0, partition_began_s + partition_s - loop.time()))
    during = figures_of(meters, loop.time() - partition_began_s)
    kept = min(len(one.follower.servers) for one in partition.parted)
    for meter in meters:
        meter.clear()
    partition.end()
    healed_s = loop.time()
    world.configure(2, [partition.parted_control])  # its register learns it at once
    recovery_times_s = await _recovery_times_s(world, partition)
    await asyncio.sleep(max(0.0, healed_s + SETTLE_S - loop.time()))
    after = figures_of(meters, loop.time() - healed_s)
    found.append(
        PartitionFigures(
            size,
            len(partition.parted),
            during,
            after,
            absent_s,
            drain_s,
            configuration_s,
            kept,
            *recovery_times_s,
        )
    )


def measure_partition(size: Size, partition_s: float) -> PartitionFigures:
    """Run a partition of `partition_s` seconds and return its measurements."""
    found: list[PartitionFigures] = []
    run_virtually(_measure(size, partition_s, found))
    return found[0]
