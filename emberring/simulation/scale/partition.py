"""A cut in the control plane at size: a control node and its part of gateways and servers are parted from the rest.

The world of `control_scale`, without a register: the smaller side knows that it has no majority, and configurations are
chosen on the other. Servers go on telling the control node of their own side. `measure_cut` tells how long each side
takes to learn what it must, during the cut and after it, and what that costs the control nodes.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

import attrs

from emberring.simulation.common.virtual_time import run_virtually
from emberring.simulation.scale.control_plane import (
    HollowControl,
    HollowGateway,
    RoleFigures,
    Size,
    World,
    all_have,
    figures_of,
    has_version_2,
    knows_the_drain,
    started,
    time_until,
)
from emberring.simulation.scale.metered_network import HollowNetwork

PARTED = "parted"
SETTLE_S = 5.0  # measured after the cut
LOOK_S = 0.05
GIVE_UP_S = 30.0


@attrs.frozen
class CutFigures:
    """What came of a cut. Times in seconds, infinite where it did not come.

    During the cut: until the larger side counts its own gateways alone (`absent_s`), until a drain and a configuration
    are known on all of that side's gateways. After it: until they are known on the other side's too, until all gateways
    know all servers but the drained one, and until control counts all gateways. `kept` is the least number of servers
    that a parted gateway knew at the end of the cut.
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


class _Cut:
    """The two sides of a world."""

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


def _counts(controls: Sequence[HollowControl], gateways: int) -> Callable[[], bool]:
    loop = asyncio.get_running_loop()
    return lambda: all(one.cluster_state.gateways(loop.time()) == gateways for one in controls)


def _know(gateways: Sequence[HollowGateway], servers: int) -> Callable[[], bool]:
    return lambda: all(len(one.follower.servers) >= servers for one in gateways)


async def _play(size: Size, cut_s: float, found: list[CutFigures]) -> None:
    loop = asyncio.get_running_loop()
    world = await started(size)
    cut, meters = _Cut(world), [one.network.meter for one in world.controls]
    for meter in meters:
        meter.clear()
    cut.begin()
    cut_began_s = loop.time()
    absent_s = await time_until(_counts(cut.larger_controls, len(cut.larger)), LOOK_S, GIVE_UP_S)
    world.draining = True
    await world.beat(world.controls[0], 0, "draining")
    drain_s = await time_until(all_have(knows_the_drain, cut.larger))
    world.configure(2, cut.larger_controls)
    configuration_s = await time_until(all_have(has_version_2, cut.larger))
    await asyncio.sleep(max(0.0, cut_began_s + cut_s - loop.time()))
    during = figures_of(meters, loop.time() - cut_began_s)
    kept = min(len(one.follower.servers) for one in cut.parted)
    for meter in meters:
        meter.clear()
    cut.end()
    healed_s = loop.time()
    world.configure(2, [cut.parted_control])  # its register hears of it at once
    drain_after, configuration_after, servers_after, counted_after = await asyncio.gather(
        time_until(all_have(knows_the_drain, cut.parted)),
        time_until(all_have(has_version_2, cut.parted)),
        time_until(_know(world.gateways, size.servers - 1), LOOK_S, GIVE_UP_S),
        time_until(_counts(world.controls, size.gateways), LOOK_S, GIVE_UP_S),
    )
    await asyncio.sleep(max(0.0, healed_s + SETTLE_S - loop.time()))
    after = figures_of(meters, loop.time() - healed_s)
    found.append(
        CutFigures(
            size,
            len(cut.parted),
            during,
            after,
            absent_s,
            drain_s,
            configuration_s,
            kept,
            drain_after,
            configuration_after,
            servers_after,
            counted_after,
        )
    )


def measure_cut(size: Size, cut_s: float) -> CutFigures:
    """Play a cut of so many seconds."""
    found: list[CutFigures] = []
    run_virtually(_play(size, cut_s, found))
    return found[0]
