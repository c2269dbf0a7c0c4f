"""The simulator of batch jobs: no violations without mutations, seeded mutations are found."""

from __future__ import annotations

import pytest

from emberring.simulation.jobs.mutations import Mutations
from emberring.simulation.jobs.simulator import describe, make_schedule, play, play_seed


def test_schedules_have_results_and_no_violations() -> None:
    verdicts = [play_seed(seed) for seed in range(1000, 1012)]
    assert not [describe(verdict) for verdict in verdicts if verdict.violations]
    assert sum(verdict.results_read for verdict in verdicts) > 300


def test_a_seed_gives_the_same_verdict() -> None:
    assert play(make_schedule(7)) == play(make_schedule(7))


@pytest.mark.parametrize(
    ("mutations", "first_seed"),
    [
        (Mutations(tokenless=True), 0),
        (Mutations(shows_early=True), 0),
        (Mutations(unsynced=True), 0),
        (Mutations(polls_without_services=True), 0),
    ],
    ids=["tokenless", "shows_early", "unsynced", "polls_without_services"],
)
def test_a_seeded_mutation_is_found(mutations: Mutations, first_seed: int) -> None:
    assert any(play_seed(seed, mutations).violations for seed in range(first_seed, first_seed + 120))
