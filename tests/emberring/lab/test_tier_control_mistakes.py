"""Known mistakes seeded into the simulated control plane: its checks find each of them."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
from control_worst_days import worst_day

from emberring.lab.controlplane.mistakes import Mistake
from emberring.lab.controlplane.simulator import Verdict, play

# The worst days that show each mistake. Those in ballots are shown by the register's own simulator and model.
FOUND_ON: dict[Mistake, str] = {
    Mistake.READS_FROM_MEMORY: "cut off",
    Mistake.TAKES_OLDER_CONFIGURATION: "cut off",
    Mistake.LONE_DRAINS: "servers leave during a cut",
    Mistake.FORGETS_DIGESTS: "answers lost",
    Mistake.NO_COMPARISON: "dark for many changes",
    Mistake.REFUSES_BY_MEMORY: "cut off",
    Mistake.KEEPS_IDENTITY: "left behind by many changes",
    Mistake.MOVES_WITHOUT_COPY: "two stores emptied, then a disk lost",
    Mistake.NEVER_FETCHES: "left behind by many changes",
}
TRIED = 8  # seeds, with and without spares


def tries(name: str, mistake: Mistake) -> Iterator[Verdict]:
    for seed in range(7, 7 + TRIED):
        yield play(worst_day(name, seed, spares=2 * (seed % 2)), mistake)


@pytest.mark.parametrize("mistake", FOUND_ON, ids=lambda mistake: mistake.value)
def test_each_mistake_is_found(mistake: Mistake) -> None:
    assert any(verdict.mistakes for verdict in tries(FOUND_ON[mistake], mistake))
