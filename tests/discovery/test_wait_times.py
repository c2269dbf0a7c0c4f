"""Wait times of the calls of a node to discovery."""

from __future__ import annotations

import random

from loadbalancer.discovery import watcher

ASK_WITHIN_MS = 10_000.0


def drawn_wait_times_ms(count: int) -> list[int]:
    """The first wait times of `count` nodes."""
    return [watcher.shared_wait_ms(ASK_WITHIN_MS, random.Random(seed)) for seed in range(count)]


def test_wait_times_for_a_shared_discovery_are_random_so_that_nodes_do_not_call_in_step():
    wait_times_ms = drawn_wait_times_ms(200)
    longest_ms = watcher.WAIT_SHARE * ASK_WITHIN_MS
    assert min(wait_times_ms) >= int(watcher.MIN_WAIT_SHARE * longest_ms)
    assert max(wait_times_ms) <= longest_ms
    assert len(set(wait_times_ms)) > 100


def test_an_unresponsive_watch_is_noticed_before_discovery_has_to_be_called_again():
    assert max(drawn_wait_times_ms(200)) + 1000.0 * watcher.ANSWER_GRACE_S < ASK_WITHIN_MS


def test_wait_times_do_not_exceed_the_limit():
    assert watcher.shared_wait_ms(10 * watcher.MAX_WAIT_MS, random.Random(1)) <= watcher.MAX_WAIT_MS


def test_all_calls_to_a_local_agent_have_the_same_wait_time():
    assert {watcher.agent_wait_ms(ASK_WITHIN_MS) for _ in range(10)} == {int(watcher.AGENT_WAIT_MS)}
    assert watcher.agent_wait_ms(100.0) == 50
