"""State of a server list while discovery fails, and the servers that are usable after the list has expired."""

from __future__ import annotations

import math

import pytest

from loadbalancer.interface import Server
from loadbalancer.list_validity import (
    ACCEPTED_WHILE_DRAINING_MS,
    FALLBACK_ACCEPTED_WITHIN_MS,
    ListState,
    ListValidity,
)
from loadbalancer.outlier_detection import TrackedServer

EXPIRES_MS = 6000.0
ANSWER, FAILURE = "answer", "failure"

CASES = [
    ("no call has failed", [], 99_000.0, ListState.CURRENT),
    ("a call has just failed", [(1000.0, FAILURE, None)], 1000.0, ListState.UNCONFIRMED),
    ("just before 6 s", [(1000.0, FAILURE, None)], 6999.9, ListState.UNCONFIRMED),
    ("6 s after it was complete", [(1000.0, FAILURE, None)], 7000.0, ListState.EXPIRED),
    ("complete until before the failure", [(1000.0, FAILURE, 400.0)], 6400.0, ListState.EXPIRED),
    (
        "further failures do not count",
        [(1000.0, FAILURE, None), (6500.0, FAILURE, None)],
        7000.0,
        ListState.EXPIRED,
    ),
    (
        "an answer makes it current",
        [(1000.0, FAILURE, None), (9000.0, ANSWER, None)],
        9000.0,
        ListState.CURRENT,
    ),
    (
        "a failure after an answer starts again",
        [(1000.0, FAILURE, None), (9000.0, ANSWER, None), (9500.0, FAILURE, None)],
        15_499.0,
        ListState.UNCONFIRMED,
    ),
]


@pytest.mark.parametrize(
    ("events", "now", "state"), [case[1:] for case in CASES], ids=[case[0] for case in CASES]
)
def test_list_state(events, now, state):
    validity = ListValidity(EXPIRES_MS)
    for at, kind, complete_until_ms in events:
        if kind == ANSWER:
            validity.on_answer()
        else:
            validity.on_failure(at, complete_until_ms)
    assert validity.state(now) is state


def test_without_a_bound_a_list_never_expires():
    validity = ListValidity(None)
    validity.on_failure(0.0, None)
    servers = [TrackedServer(Server("s1"))]
    assert validity.state(1e9) is ListState.CURRENT
    assert validity.usable(1e9, servers) == servers


RECENT_MS = EXPIRES_MS - ACCEPTED_WHILE_DRAINING_MS

AGES = [  # time since each server accepted a call, and the indexes of the usable ones
    ([0.0, 100.0, RECENT_MS - 1.0], [0, 1, 2]),
    ([0.0, 100.0, 200.0, RECENT_MS - 1.0, RECENT_MS], [0, 1, 2, 3]),
    ([0.0, 100.0, 200.0, RECENT_MS], [0, 1, 2]),
    # With fewer than three, the next most recent ones within a longer time are added, up to three.
    ([0.0, 100.0, RECENT_MS, RECENT_MS + 1.0], [0, 1, 2]),
    ([0.0, FALLBACK_ACCEPTED_WITHIN_MS - 1.0, FALLBACK_ACCEPTED_WITHIN_MS], [0, 1]),
    ([FALLBACK_ACCEPTED_WITHIN_MS - 1.0], [0]),
    ([FALLBACK_ACCEPTED_WITHIN_MS], []),
    ([math.inf, math.inf], []),
    ([], []),
]


@pytest.mark.parametrize(("ages_ms", "usable"), AGES)
def test_an_expired_list_leaves_servers_that_accepted_a_call_recently(ages_ms, usable):
    now = 50_000.0
    validity = ListValidity(EXPIRES_MS)
    validity.on_failure(1000.0, None)
    servers = [TrackedServer(Server(f"s{at}")) for at in range(len(ages_ms))]
    for server, age_ms in zip(servers, ages_ms, strict=True):
        server.last_success_sent_ms = now - age_ms
    found = {server.info.address for server in validity.usable(now, servers)}
    assert found == {f"s{at}" for at in usable}


@pytest.mark.parametrize(
    ("accepting", "after_ms", "all_used"), [(2, 5999.0, True), (2, 6000.0, False), (3, 100.0, False)]
)
def test_after_a_start_the_cached_list_is_used_until_three_servers_accept(accepting, after_ms, all_used):
    validity = ListValidity(EXPIRES_MS)
    validity.on_cached(10_000.0)
    validity.on_failure(10_000.0, -math.inf)
    now = 10_000.0 + after_ms
    servers = [TrackedServer(Server(f"s{at}")) for at in range(6)]
    for server in servers[:accepting]:
        server.last_success_sent_ms = now - 10.0
    assert len(validity.usable(now, servers)) == (6 if all_used else accepting)
