"""The simulator: random schedules have no violations, and seeded mutations are detected."""

from __future__ import annotations

import pytest

from emberring.register.replica_set_manager import RECONFIGURATION_TIMEOUTS
from emberring.simulation.control_plane.mutations import Mutation, seeded
from emberring.simulation.register.history import History, append_number, parse_value
from emberring.simulation.register.machine import Machine
from emberring.simulation.register.schedule import Schedule, Step, StepKind, make_schedule
from emberring.simulation.register.simulator import FOUNDERS, describe, play, play_seed, shorten
from emberring.simulation.register.world import Mutations, NetworkConditions, World

OLD_SET_SEED = 20  # one of 40 seeds from here detects a reconfiguration with the quorum of the old set alone


def test_random_schedules_have_no_violations() -> None:
    verdicts = [play_seed(seed) for seed in range(60)]
    assert [describe(verdict) for verdict in verdicts if verdict.violations] == []
    assert sum(verdict.acknowledged for verdict in verdicts) > 300


def test_a_schedule_has_a_deterministic_verdict() -> None:
    assert play(make_schedule(5)) == play(make_schedule(5))


def step(at_s: float, kind: StepKind, slot: int, lasts_s: float = 0.0) -> Step:
    return Step(at_s, kind, slot, lasts_s)


# Two replicas accept changes that the third misses; one of the two loses its disk while the other is without power.
REPLICA_LOSES_ITS_DISK = (
    step(0.4, StepKind.CUT_OFF, 2, 1.2),
    step(0.6, StepKind.CHANGE, 0),
    step(0.8, StepKind.CHANGE, 1),
    step(0.9, StepKind.READ, 0),
    step(1.3, StepKind.POWER, 1, 2.0),
    step(1.35, StepKind.WIPE, 0, 0.1),
    step(1.7, StepKind.CHANGE, 2),
    step(2.0, StepKind.CHANGE, 2),
)


def test_a_replica_that_votes_after_losing_its_disk_is_detected_by_a_short_schedule() -> None:
    mutations = Mutations(amnesiac=True)
    for seed in (0, 1):
        schedule = Schedule(seed, REPLICA_LOSES_ITS_DISK)
        verdict = play(schedule, mutations)
        assert any("two histories" in violation for violation in verdict.violations)
        assert play(schedule).violations == ()
        shortened = shorten(verdict, mutations)
        assert shortened.violations
        assert len(shortened.schedule.steps) < len(verdict.schedule.steps)
        assert any(step.kind is StepKind.WIPE for step in shortened.schedule.steps)
        assert "wrong:" in describe(shortened)


FIXED_SCHEDULES = {
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


@pytest.mark.parametrize("name", FIXED_SCHEDULES)
def test_fixed_schedules_have_no_violations(name: str) -> None:
    verdict = play(Schedule(1, FIXED_SCHEDULES[name]))
    assert verdict.violations == ()
    changes = sum(1 for found in FIXED_SCHEDULES[name] if found.kind is StepKind.CHANGE)
    assert verdict.acknowledged >= changes - 1


def test_eight_concurrent_changes_commit_within_150_ms() -> None:
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


def burst_violations(seed: int) -> list[str]:
    """Run 100 reads, changes and retries per second at all nodes, and return the violations.

    A few messages of the network are slow, so that proposals overtake each other.
    """
    world = World(seed, Mutations(), RECONFIGURATION_TIMEOUTS)
    world.conditions = NetworkConditions(slowest_s=0.2, slow_share=0.15)
    for name in FOUNDERS:
        world.machines[name] = Machine(world, name, FOUNDERS, bootstrap=True)
        world.machines[name].start()
    world.run(1.0)
    for step in range(400):
        number_or_read = world.rng.randint(0, 1 + step // 8)
        world.at(1.0 + step * 0.01, world.machines[world.rng.choice(FOUNDERS)].ask, number_or_read)
    world.run(7.0)
    return world.history.finish()


def test_a_burst_with_a_few_slow_messages_has_no_violations() -> None:
    assert [violation for seed in range(8) for violation in burst_violations(seed)] == []


def test_an_attempt_that_includes_later_operations_is_detected() -> None:
    with seeded(Mutation.LATE_JOBS):
        violations = burst_violations(0)
    assert any("had been acknowledged" in violation for violation in violations)


def test_a_reconfiguration_by_the_old_set_alone_is_detected() -> None:
    with seeded(Mutation.OLD_SET_ALONE):
        assert any(play_seed(seed).violations for seed in range(OLD_SET_SEED, OLD_SET_SEED + 40))


def test_values_are_lists_of_numbers() -> None:
    assert parse_value(None) == ()
    assert append_number(None, 4) == b"4"
    assert append_number(b"4 5", 6) == b"4 5 6"
    assert append_number(b"4 5 6", 5) is None


def record_operation(
    history: History, number: int, began_s: float, ended_s: float, payload: bytes | None, error: str = ""
) -> None:
    history.end(history.begin(number, "n", began_s), ended_s, payload, error)


def test_a_linearizable_history_has_no_violations() -> None:
    history = History()
    record_operation(history, 1, 0.0, 1.0, b"1")
    record_operation(history, 2, 0.5, 2.0, b"1 2")
    record_operation(history, 0, 0.6, 1.5, b"1")
    record_operation(history, 3, 2.5, 3.0, None, "in_doubt")
    record_operation(history, 0, 4.0, 5.0, b"1 2 3")
    assert history.finish() == []


@pytest.mark.parametrize(
    ("operations", "violation_text"),
    [
        ([(1, 0.0, 1.0, b"1", ""), (2, 0.0, 1.0, b"2", "")], "two histories"),
        ([(1, 0.0, 1.0, b"1", ""), (0, 2.0, 3.0, None, "")], "had been acknowledged"),
        ([(1, 0.0, 1.0, b"2", "")], "not in the value"),
        ([(0, 0.0, 1.0, b"1 2 1", "")], "twice"),
        ([(1, 0.0, 1.0, None, "no_quorum"), (0, 2.0, 3.0, b"1", "")], "without doubt"),
    ],
)
def test_violations_of_a_history_are_reported(
    operations: list[tuple[int, float, float, bytes | None, str]], violation_text: str
) -> None:
    history = History()
    for number, began_s, ended_s, payload, error in operations:
        record_operation(history, number, began_s, ended_s, payload, error)
    assert any(violation_text in violation for violation in history.finish())
