"""Timers that run early: an event loop may run a timer up to its clock's resolution before its time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from register_deployment import Deployment, appending

from emberring.errors import NoQuorumError
from emberring.register.replica_set_manager import RECONFIGURATION_TIMEOUTS
from emberring.simulation.control_plane.simulator import describe, play_seed
from emberring.simulation.register.machine import Machine
from emberring.simulation.register.world import Mutations, World

EARLY_S = 0.02
"""Clock resolution of the event loop of these tests, in seconds; its timers run that early."""


class CoarseLoop(asyncio.SelectorEventLoop):
    """An event loop with a coarse clock resolution, so that its timers run early."""

    def __init__(self) -> None:
        super().__init__()
        self._clock_resolution = EARLY_S


class EarlyWorld(World):
    """A simulated world whose timers run early by a rounding error."""

    def at(self, when_s: float, work: Callable[..., None], *arguments: Any) -> None:
        super().at(when_s - 1e-12, work, *arguments)


def test_a_register_whose_timers_run_early_still_schedules_ticks(tmp_path: Path) -> None:
    async def work() -> None:
        deployment = Deployment(tmp_path)
        try:
            await deployment.start(0)
            # Only a tick expires an operation without a quorum; if the timer is lost, it waits forever.
            for _ in range(3):
                async with asyncio.timeout(3.0):
                    with pytest.raises(NoQuorumError):
                        await deployment[0].change(appending(b"1"), 0.3)
        finally:
            await deployment.stop()

    with asyncio.Runner(loop_factory=CoarseLoop) as runner:
        runner.run(work())


def test_simulated_machines_whose_timers_run_early_replace_a_stopped_one() -> None:
    world = EarlyWorld(1, Mutations(), RECONFIGURATION_TIMEOUTS)
    names = ("a", "b", "c", "d")
    for name in names:
        world.machines[name] = Machine(world, name, names[:3], bootstrap=True)
    for machine in world.machines.values():
        machine.start()
    world.run(1.0)
    for machine in world.machines.values():
        machine.note_peers()
    world.machines["a"].ask(1)
    world.run(2.0)
    lost = world.machines["c"].identity
    world.machines["c"].stop()
    world.run(8.0)
    for name in ("a", "b", "d"):
        node = world.machines[name].node
        assert node is not None
        assert node.learned is not None
        assert lost not in {member.identity for member in node.learned.state.replicas.members}


# In these schedules a timer runs early; a node that then schedules no further tick stops.
@pytest.mark.parametrize("seed", [920284, 920287, 920332, 920627, 920753, 950493])
def test_schedules_with_early_timers_have_no_violations(seed: int) -> None:
    verdict = play_seed(seed)
    assert not verdict.violations, describe(verdict)
