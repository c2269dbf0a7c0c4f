"""How long discovery may hold the calls of a node."""

from __future__ import annotations

import random

from loadbalancer.discovery import watcher

ASK_WITHIN_MS = 10_000.0


def drawn(count: int) -> list[int]:
    """The first draws of so many nodes."""
    return [watcher.shared_wait_ms(ASK_WITHIN_MS, random.Random(seed)) for seed in range(count)]


def test_waits_of_a_shared_discovery_are_drawn_so_that_nodes_do_not_call_in_step():
    waits = drawn(200)
    longest_ms = watcher.WAIT_SHARE * ASK_WITHIN_MS
    assert min(waits) >= int(watcher.MIN_WAIT_SHARE * longest_ms)
    assert max(waits) <= longest_ms
    assert len(set(waits)) > 100


def test_a_silent_watch_is_noticed_before_discovery_has_to_be_asked_again():
    assert max(drawn(200)) + 1000.0 * watcher.ANSWER_GRACE_S < ASK_WITHIN_MS


def test_no_wait_is_longer_than_the_longest():
    assert watcher.shared_wait_ms(10 * watcher.MAX_WAIT_MS, random.Random(1)) <= watcher.MAX_WAIT_MS


def test_an_agent_holds_every_call_for_as_long():
    assert {watcher.agent_wait_ms(ASK_WITHIN_MS) for _ in range(10)} == {int(watcher.AGENT_WAIT_MS)}
    assert watcher.agent_wait_ms(100.0) == 50
