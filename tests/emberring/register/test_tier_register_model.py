"""The model checker of a small register: every order of events gives one history, and mutations are detected."""

from __future__ import annotations

import attrs
import pytest

from emberring.simulation.control_plane.mutations import Mutation, seeded
from emberring.simulation.register.model import Bounds, SearchResult, search

SMALL = Bounds(attempts=(1, 1), losses=0, restarts=0)


def test_two_attempts_in_every_order_give_one_history() -> None:
    found = search(SMALL)
    assert found.wrong == ""
    assert found.whole
    assert found.states > 1000


def test_a_replacement_and_a_lost_disk_are_searched_to_a_limited_depth() -> None:
    found = search(Bounds(depth=9, attempts=(2, 1), losses=1, restarts=1, states=40_000))
    assert found.wrong == ""
    assert found.states > 5000


def steps_to_violation(found: SearchResult) -> str:
    assert found.wrong != ""
    return "; ".join(found.way)


def test_a_replica_that_loses_its_promises_is_detected() -> None:
    with seeded(Mutation.FORGETS_PROMISES):
        found = search(attrs.evolve(SMALL, restarts=1))
    assert "starts again" in steps_to_violation(found)


def test_a_replica_that_loses_its_disk_and_keeps_its_identity_is_detected() -> None:
    found = search(attrs.evolve(SMALL, losses=1), keeps_identity=True)
    assert "loses its disk" in steps_to_violation(found)


@pytest.mark.parametrize("states", [500])
def test_a_search_reports_that_it_is_incomplete(states: int) -> None:
    found = search(attrs.evolve(SMALL, states=states))
    assert not found.whole
    assert found.states >= states
