"""A register under a CPU quota: in each period of 100 ms its processes run for 5 ms and are then stopped."""

from __future__ import annotations

import pytest

from emberring.register.replica_set_manager import RECONFIGURATION_TIMEOUTS, ReconfigurationTimeouts
from emberring.simulation.register.machine import Machine
from emberring.simulation.register.world import Mutations, World

PERIOD_S = 0.1
STOPPED_S = 0.095
INITIAL_REPLICAS = ("a", "b", "c")
DURATION_S = 20.0


def throttle(world: World, machine: Machine, until_s: float) -> None:
    if world.now_s < until_s:
        machine.thaw_at_s = world.now_s + STOPPED_S
        world.at(world.now_s + PERIOD_S, throttle, world, machine, until_s)


def throttled_register(timeouts: ReconfigurationTimeouts) -> tuple[World, set[str], set[str]]:
    """Run three replicas and a spare under a quota for 20 s with a change per second.

    Returns the world and the replica identities before and after.
    """
    world = World(5, Mutations(), timeouts)
    for name in (*INITIAL_REPLICAS, "d"):
        world.machines[name] = Machine(world, name, INITIAL_REPLICAS, bootstrap=True)
    for machine in world.machines.values():
        machine.start()
    for machine in world.machines.values():
        machine.note_peers()
    world.run(1.0)
    before = {world.machines[name].identity for name in INITIAL_REPLICAS}
    for number, machine in enumerate(world.machines.values()):
        world.at(1.0 + number * 0.017, throttle, world, machine, 1.0 + DURATION_S)
    for number in range(1, int(DURATION_S)):
        world.at(1.0 + number, world.machines[INITIAL_REPLICAS[number % 3]].ask, number)
    world.run(1.0 + DURATION_S)
    node = world.machines["a"].node
    assert node is not None
    assert node.learned is not None
    return world, before, {member.identity for member in node.learned.state.replicas.members}


def test_no_replica_is_replaced_and_every_change_is_acknowledged() -> None:
    world, before, after = throttled_register(RECONFIGURATION_TIMEOUTS)
    assert after == before
    changes = [operation for operation in world.history.operations if operation.number]
    assert len(changes) == int(DURATION_S) - 1
    assert [operation.error for operation in changes if operation.error] == []


@pytest.mark.parametrize("dead_after_s", [0.08])
def test_timeouts_shorter_than_the_pause_cause_a_replacement(dead_after_s: float) -> None:
    short = ReconfigurationTimeouts(dead_after_s=dead_after_s, name_unreachable_s=dead_after_s)
    _, before, after = throttled_register(short)
    assert after != before
