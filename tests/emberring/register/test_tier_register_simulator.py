"""The simulator: nothing wrong in a few hundred schedules, and the mutations seeded are found."""

from __future__ import annotations

import pytest

from emberring.register.replica_set_manager import RECONFIGURATION_TIMEOUTS
from emberring.simulation.control_plane.mutations import Mutation, seeded
from emberring.simulation.register.history import History, append_number, parse_value
from emberring.simulation.register.machine import Machine
from emberring.simulation.register.schedule import Schedule, Step, StepKind, make_schedule
from emberring.simulation.register.simulator import FOUNDERS, describe, play, play_seed, shorten
from emberring.simulation.register.world import Mutations, NetworkConditions, World

OLD_SET_SEED = 20  # within 40 seeds from here a change of the set by the old set alone does harm


def test_schedules_leave_nothing_wrong() -> None:
    verdicts = [play_seed(seed) for seed in range(60)]
    assert [describe(verdict) for verdict in verdicts if verdict.violations] == []
    assert sum(verdict.acknowledged for verdict in verdicts) > 300


def test_a_seed_always_gives_the_same_verdict() -> None:
    assert play(make_schedule(5)) == play(make_schedule(5))


def step(at_s: float, kind: StepKind, slot: int, lasts_s: float = 0.0) -> Step:
    return Step(at_s, kind, slot, lasts_s)


# Two replicas take changes that the third misses; one of the two loses its disk as the other goes dark.
LOSES_ITS_MEMORY = (
    step(0.4, StepKind.CUT_OFF, 2, 1.2),
    step(0.6, StepKind.CHANGE, 0),
    step(0.8, StepKind.CHANGE, 1),
    step(0.9, StepKind.READ, 0),
    step(1.3, StepKind.POWER, 1, 2.0),
    step(1.35, StepKind.WIPE, 0, 0.1),
    step(1.7, StepKind.CHANGE, 2),
    step(2.0, StepKind.CHANGE, 2),
)


def test_a_replica_that_votes_after_losing_its_disk_is_found_and_told_briefly() -> None:
    mutations = Mutations(amnesiac=True)
    for seed in (0, 1):
        schedule = Schedule(seed, LOSES_ITS_MEMORY)
        verdict = play(schedule, mutations)
        assert any("two histories" in violation for violation in verdict.violations)
        assert play(schedule).violations == ()
        short = shorten(verdict, mutations)
        assert short.violations
        assert len(short.schedule.steps) < len(verdict.schedule.steps)
        assert any(step.kind is StepKind.WIPE for step in short.schedule.steps)
        assert "wrong:" in describe(short)


HAND_MADE = {
    "nothing": (),
    "wipe and back": (
        step(1, StepKind.CHANGE, 0),
        step(1.2, StepKind.WIPE, 2, 0.5),
        step(3, StepKind.CHANGE, 2),
    ),
    "two replacements": (
        step(1, StepKind.CHANGE, 0),
        step(1.2, StepKind.REPLACE, 2, 0.5),
        step(3.5, StepKind.REPLACE_FIRST, 0, 0.5),
        step(5, StepKind.CHANGE, 1),
    ),
    "replacement during a cut": (
        step(1, StepKind.CUT_OFF, 0, 2.0),
        step(1.5, StepKind.REPLACE, 2, 0.5),
        step(2.5, StepKind.CHANGE, 1),
        step(4, StepKind.CHANGE, 0),
    ),
    "all power lost after an acknowledgement": (
        step(0.9, StepKind.POWER_AFTER_ACK, 0, 0.5),
        step(1, StepKind.CHANGE, 0),
        step(1.01, StepKind.POWER_ALL, 0, 0.8),
        step(3, StepKind.READ, 1),
    ),
    "wiped after an acknowledgement while the others lose power": (
        step(1, StepKind.CHANGE, 1),
        step(1.05, StepKind.WIPE_ONE_POWER_REST, 1, 0.8),
        step(3, StepKind.READ, 2),
    ),
    "a replica that was cut off and swapped returns": (
        step(0.5, StepKind.ADD, 0),
        step(1, StepKind.CUT_OFF, 2, 3.0),
        step(3.5, StepKind.CHANGE, 0),
        step(5, StepKind.CHANGE, 2),
    ),
    "a disk stalls for seconds": (
        step(1, StepKind.SLOW_DISK, 0, 3.0),
        *(step(1.2 + 0.3 * number, StepKind.CHANGE, number) for number in range(6)),
    ),
    "a disk refuses": (
        step(1, StepKind.REFUSING_DISK, 1, 2.0),
        *(step(1.2 + 0.3 * number, StepKind.CHANGE, number) for number in range(6)),
    ),
}


@pytest.mark.parametrize("name", HAND_MADE)
def test_hand_made_schedules(name: str) -> None:
    verdict = play(Schedule(1, HAND_MADE[name]))
    assert verdict.violations == ()
    changes = sum(1 for found in HAND_MADE[name] if found.kind is StepKind.CHANGE)
    assert verdict.acknowledged >= changes - 1


def test_eight_changes_at_once_all_commit_in_a_moment() -> None:
    world = World(1, Mutations(), RECONFIGURATION_TIMEOUTS)
    world.conditions = NetworkConditions(slowest_s=0.0028)
    for name in FOUNDERS:
        machine = Machine(world, name, FOUNDERS, bootstrap=True)
        machine.sync_s = 0.002
        world.machines[name] = machine
        machine.start()
    world.run(1.0)
    for number in range(80):
        world.at(1.0 + number // 8, world.machines[FOUNDERS[number % 3]].ask, number + 1)
    world.run(12.0)
    assert all(operation.value is not None for operation in world.history.operations)
    slowest_s = max((found.ended_s or 99.0) - found.began_s for found in world.history.operations)
    assert slowest_s < 0.15
    assert world.history.finish() == []


def a_burst(seed: int) -> list[str]:
    """Reads, changes and repeats of changes at all nodes, 100 a second, over a network in which a few messages are
    slow, so that one ballot overtakes another; what was wrong."""
    world = World(seed, Mutations(), RECONFIGURATION_TIMEOUTS)
    world.conditions = NetworkConditions(slowest_s=0.2, slow_share=0.15)
    for name in FOUNDERS:
        world.machines[name] = Machine(world, name, FOUNDERS, bootstrap=True)
        world.machines[name].start()
    world.run(1.0)
    for step in range(400):
        asked = world.rng.randint(0, 1 + step // 8)
        world.at(1.0 + step * 0.01, world.machines[world.rng.choice(FOUNDERS)].ask, asked)
    world.run(7.0)
    return world.history.finish()


def test_a_burst_over_a_network_with_a_few_slow_messages() -> None:
    assert [violation for seed in range(8) for violation in a_burst(seed)] == []


def test_an_attempt_that_takes_in_late_operations_is_found() -> None:
    with seeded(Mutation.LATE_JOBS):
        wrong = a_burst(0)
    assert any("had been acknowledged" in violation for violation in wrong)


def test_a_change_of_the_set_by_the_old_set_alone_is_found() -> None:
    with seeded(Mutation.OLD_SET_ALONE):
        assert any(play_seed(seed).violations for seed in range(OLD_SET_SEED, OLD_SET_SEED + 40))


def test_values_of_numbers() -> None:
    assert parse_value(None) == ()
    assert append_number(None, 4) == b"4"
    assert append_number(b"4 5", 6) == b"4 5 6"
    assert append_number(b"4 5 6", 5) is None


def ended(
    history: History, number: int, began_s: float, ended_s: float, payload: bytes | None, error: str = ""
) -> None:
    history.end(history.begin(number, "n", began_s), ended_s, payload, error)


def test_a_good_history_is_good() -> None:
    history = History()
    ended(history, 1, 0.0, 1.0, b"1")
    ended(history, 2, 0.5, 2.0, b"1 2")
    ended(history, 0, 0.6, 1.5, b"1")
    ended(history, 3, 2.5, 3.0, None, "in_doubt")
    ended(history, 0, 4.0, 5.0, b"1 2 3")
    assert history.finish() == []


@pytest.mark.parametrize(
    ("operations", "wrong"),
    [
        ([(1, 0.0, 1.0, b"1", ""), (2, 0.0, 1.0, b"2", "")], "two histories"),
        ([(1, 0.0, 1.0, b"1", ""), (0, 2.0, 3.0, None, "")], "had been acknowledged"),
        ([(1, 0.0, 1.0, b"2", "")], "not in the value"),
        ([(0, 0.0, 1.0, b"1 2 1", "")], "twice"),
        ([(1, 0.0, 1.0, None, "no_quorum"), (0, 2.0, 3.0, b"1", "")], "without doubt"),
    ],
)
def test_bad_histories_are_told(
    operations: list[tuple[int, float, float, bytes | None, str]], wrong: str
) -> None:
    history = History()
    for number, began_s, ended_s, payload, error in operations:
        ended(history, number, began_s, ended_s, payload, error)
    assert any(wrong in violation for violation in history.finish())
