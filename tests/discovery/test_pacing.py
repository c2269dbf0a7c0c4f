"""When a watch calls discovery: drawn waits, pauses within a series of changes and after an outage."""

from __future__ import annotations

import random

import pytest

from loadbalancer.discovery import pacing as lib
from loadbalancer.discovery import watcher
from loadbalancer.discovery.pacing import CallPacing

WAIT_MS = 8000.0


def a_pacing(shared: bool = True, seed: int = 1) -> CallPacing:
    return CallPacing(WAIT_MS, shared, random.Random(seed))


def test_waits_of_a_shared_discovery_are_drawn_so_that_nodes_do_not_call_in_step():
    waits = [a_pacing(seed=seed).next_wait_ms() for seed in range(200)]
    assert min(waits) >= lib.SHORTEST_WAIT_SHARE * WAIT_MS
    assert max(waits) <= WAIT_MS
    assert len(set(waits)) > 100


def test_an_agent_is_called_at_once_and_always_for_as_long():
    pacing = a_pacing(shared=False)
    for _ in range(10):
        assert pacing.next_wait_ms() == WAIT_MS
        pacing.on_answer(0.0)
        assert pacing.take_pause_s() == 0.0


def test_answers_in_quick_succession_are_followed_by_ever_longer_pauses_until_one_stays_out():
    pacing = a_pacing()
    now, pauses = 100.0, []
    for _ in range(12):
        pacing.on_answer(now)
        pauses.append(pacing.take_pause_s())
        now += lib.SERIES_GAP_S - 0.1
    assert pauses[0] == 0.0  # the first one, after a quiet time
    assert 0.0 < pauses[1] <= 0.1
    assert max(pauses) <= lib.LONGEST_PAUSE_S < 0.2  # the watch goes on, as the next call comes within 0.2 s
    assert min(pauses[6:]) >= lib.LONGEST_PAUSE_S / 2
    pacing.on_answer(now + lib.SERIES_GAP_S)
    assert pacing.take_pause_s() == 0.0


def test_a_pause_is_taken_once():
    pacing = a_pacing()
    pacing.on_answer(1.0)
    pacing.on_answer(1.1)
    assert pacing.take_pause_s() > 0.0
    assert pacing.take_pause_s() == 0.0


def test_pauses_are_drawn():
    pauses = set()
    for seed in range(50):
        pacing = a_pacing(seed=seed)
        for at in range(8):
            pacing.on_answer(at / 10.0)
        pauses.add(pacing.take_pause_s())
    assert len(pauses) == 50


@pytest.mark.parametrize("shared", [True, False])
def test_after_a_silence_the_next_call_is_not_held_and_after_its_answer_they_are_again(shared):
    pacing = a_pacing(shared)
    pacing.on_silence()
    assert pacing.next_wait_ms() == 0
    pacing.on_answer(2.0)
    assert pacing.take_pause_s() == 0.0
    assert pacing.next_wait_ms() > 0


@pytest.mark.parametrize("silent", [True, False])
def test_a_shared_discovery_is_asked_to_hold_the_calls_after_a_failure_too(silent):
    """A crowded one rejects at once what it is not to hold: nodes that asked so got no list for 17 s."""
    pacing = a_pacing()
    pacing.on_silence()
    pacing.on_failure(silent)
    assert pacing.next_wait_ms() > 0


def test_a_silent_agent_is_not_asked_to_hold_a_call():
    pacing = a_pacing(shared=False)
    pacing.on_failure(silent=True)
    assert pacing.next_wait_ms() == 0
    pacing.on_failure(silent=False)
    assert pacing.next_wait_ms() == WAIT_MS


def test_a_move_asks_at_once_whatever_went_before():
    pacing = a_pacing()
    for at in range(8):
        pacing.on_answer(at / 10.0)
    pacing.on_move()
    assert pacing.take_pause_s() == 0.0
    assert pacing.next_wait_ms() == 0


def test_a_silent_watch_is_noticed_before_discovery_has_to_be_asked_again():
    waits = [watcher.shared_pacing(10_000.0).next_wait_ms() for _ in range(50)]
    assert max(waits) + 1000.0 * watcher.ANSWER_GRACE_S < 10_000.0
    assert watcher.agent_pacing(10_000.0).next_wait_ms() == watcher.AGENT_WATCH_MS
