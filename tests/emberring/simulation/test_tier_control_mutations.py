"""Mutations seeded into the simulated control plane: its checks find each of them."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
from control_worst_days import worst_case_schedule

from emberring.simulation.control_plane.mutations import Mutation
from emberring.simulation.control_plane.simulator import Verdict, play

MAX_SEEDS = 10  # maximum number of seeds per mutation; the first violation ends the search
SLOW_SYNC_S = 0.05

# For each mutation: the worst-case schedule that reveals it, the number of spare control nodes, the sync duration (s).
# Mutations of proposal attempts are covered by the simulator and the model checker of the register.
REVEALING_SCHEDULE: dict[Mutation, tuple[str, int, float]] = {
    Mutation.READS_FROM_MEMORY: ("cut off", 0, 0.001),
    Mutation.TAKES_OLDER_CONFIGURATION: ("cut off", 0, 0.001),
    Mutation.REFUSES_BY_MEMORY: ("cut off", 0, 0.001),
    Mutation.LONE_DRAINS: ("servers leave during a cut", 2, 0.001),
    Mutation.KEEPS_WEAK_SOURCES: ("cut in two, followers at spares", 2, 0.001),
    Mutation.FORGETS_DIGESTS: ("answers lost", 0, 0.001),
    Mutation.NO_COMPARISON: ("dark for many changes", 0, 0.001),
    Mutation.KEEPS_IDENTITY: ("left behind by many changes", 0, 0.001),
    Mutation.MOVES_WITHOUT_COPY: ("two stores emptied, then a disk lost", 0, 0.001),
    Mutation.UNSYNCED: ("disk lost as all others lose power", 0, SLOW_SYNC_S),
    Mutation.REWRITES_WITHOUT_SNAPSHOT: ("dark for many changes", 0, 0.001),
    Mutation.ENCODES_NO_DRAIN: ("servers leave during a cut", 2, 0.001),
    Mutation.ORDERS_BY_ARRIVAL: ("servers start again, heartbeats late", 0, 0.001),
    Mutation.NEVER_FETCHES: ("cut off until all is calm", 0, 0.001),
}
COVERED_BY_REGISTER_TESTS = {Mutation.LATE_JOBS, Mutation.OLD_SET_ALONE, Mutation.FORGETS_PROMISES}


def verdicts_of(mutation: Mutation) -> Iterator[Verdict]:
    name, spares, sync_s = REVEALING_SCHEDULE[mutation]
    for seed in range(7, 7 + MAX_SEEDS):
        yield play(worst_case_schedule(name, seed, spares, sync_s), mutation)


@pytest.mark.parametrize("mutation", REVEALING_SCHEDULE, ids=lambda mutation: mutation.value)
def test_each_mutation_is_found(mutation: Mutation) -> None:
    assert any(verdict.violations for verdict in verdicts_of(mutation))


def test_every_mutation_is_covered() -> None:
    assert set(REVEALING_SCHEDULE) | COVERED_BY_REGISTER_TESTS == set(Mutation)


def test_schedule_with_slow_syncs_passes_without_the_mutation() -> None:
    name, spares, sync_s = REVEALING_SCHEDULE[Mutation.UNSYNCED]
    assert play(worst_case_schedule(name, 7, spares, sync_s)).violations == ()
