"""Known mistakes seeded into the simulated control plane: its checks find each of them."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
from control_worst_days import worst_day

from emberring.simulation.control_plane.mutations import Mutation
from emberring.simulation.control_plane.simulator import Verdict, play

TRIED = 10  # seeds; the first that shows the mutation ends it
SLOW_SYNC_S = 0.05

# The worst day that shows each mutation, the control nodes beyond the founders, the time of a sync (s). Mistakes in
# ballots are shown by the register's own simulator and model.
FOUND_ON: dict[Mutation, tuple[str, int, float]] = {
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
    Mutation.NEVER_FETCHES: ("cut off until all is calm", 0, 0.001),
}
IN_BALLOTS = {Mutation.LATE_JOBS, Mutation.OLD_SET_ALONE, Mutation.FORGETS_PROMISES}


def tries(mutation: Mutation) -> Iterator[Verdict]:
    name, spares, sync_s = FOUND_ON[mutation]
    for seed in range(7, 7 + TRIED):
        yield play(worst_day(name, seed, spares, sync_s), mutation)


@pytest.mark.parametrize("mutation", FOUND_ON, ids=lambda mutation: mutation.value)
def test_each_mutation_is_found(mutation: Mutation) -> None:
    assert any(verdict.violations for verdict in tries(mutation))


def test_no_mutation_is_left_out() -> None:
    assert set(FOUND_ON) | IN_BALLOTS == set(Mutation)


def test_the_day_of_slow_syncs_passes_without_the_mutation() -> None:
    name, spares, sync_s = FOUND_ON[Mutation.UNSYNCED]
    assert play(worst_day(name, 7, spares, sync_s)).violations == ()
