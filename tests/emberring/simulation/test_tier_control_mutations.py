"""Known mistakes seeded into the simulated control plane: its checks find each of them."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
from control_worst_days import worst_day

from emberring.simulation.control_plane.mutations import Mistake
from emberring.simulation.control_plane.simulator import Verdict, play

TRIED = 10  # seeds; the first that shows the mistake ends it
SLOW_SYNC_S = 0.05

# The worst day that shows each mistake, the control nodes beyond the founders, the time of a sync (s). Mistakes in
# ballots are shown by the register's own simulator and model.
FOUND_ON: dict[Mistake, tuple[str, int, float]] = {
    Mistake.READS_FROM_MEMORY: ("cut off", 0, 0.001),
    Mistake.TAKES_OLDER_CONFIGURATION: ("cut off", 0, 0.001),
    Mistake.REFUSES_BY_MEMORY: ("cut off", 0, 0.001),
    Mistake.LONE_DRAINS: ("servers leave during a cut", 2, 0.001),
    Mistake.KEEPS_WEAK_SOURCES: ("cut in two, followers at spares", 2, 0.001),
    Mistake.FORGETS_DIGESTS: ("answers lost", 0, 0.001),
    Mistake.NO_COMPARISON: ("dark for many changes", 0, 0.001),
    Mistake.KEEPS_IDENTITY: ("left behind by many changes", 0, 0.001),
    Mistake.MOVES_WITHOUT_COPY: ("two stores emptied, then a disk lost", 0, 0.001),
    Mistake.UNSYNCED: ("disk lost as all others lose power", 0, SLOW_SYNC_S),
    Mistake.REWRITES_WITHOUT_SNAPSHOT: ("dark for many changes", 0, 0.001),
    Mistake.NEVER_FETCHES: ("cut off until all is calm", 0, 0.001),
}
IN_BALLOTS = {Mistake.LATE_JOBS, Mistake.OLD_SET_ALONE, Mistake.FORGETS_PROMISES}


def tries(mistake: Mistake) -> Iterator[Verdict]:
    name, spares, sync_s = FOUND_ON[mistake]
    for seed in range(7, 7 + TRIED):
        yield play(worst_day(name, seed, spares, sync_s), mistake)


@pytest.mark.parametrize("mistake", FOUND_ON, ids=lambda mistake: mistake.value)
def test_each_mistake_is_found(mistake: Mistake) -> None:
    assert any(verdict.mistakes for verdict in tries(mistake))


def test_no_mistake_is_left_out() -> None:
    assert set(FOUND_ON) | IN_BALLOTS == set(Mistake)


def test_the_day_of_slow_syncs_is_a_good_one_without_the_mistake() -> None:
    name, spares, sync_s = FOUND_ON[Mistake.UNSYNCED]
    assert play(worst_day(name, 7, spares, sync_s)).mistakes == ()
