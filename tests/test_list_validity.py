"""Until when a list may be used while discovery fails: a table of moments, and which servers may be used after it."""

from __future__ import annotations

import pytest

from loadbalancer.interface import Server
from loadbalancer.list_validity import ACCEPTED_WHILE_DRAINING_MS, ListState, ListValidity
from loadbalancer.outlier_detection import TrackedServer

EXPIRES_MS = 6000.0
ANSWER, FAILURE = "answer", "failure"

CASES = [
    ("no call has failed", [], 99_000.0, ListState.CURRENT),
    ("a call has just failed", [(1000.0, FAILURE, None)], 1000.0, ListState.UNCONFIRMED),
    ("6 s less a moment", [(1000.0, FAILURE, None)], 6999.9, ListState.UNCONFIRMED),
    ("6 s after it was complete", [(1000.0, FAILURE, None)], 7000.0, ListState.EXPIRED),
    ("complete until before the failure", [(1000.0, FAILURE, 400.0)], 6400.0, ListState.EXPIRED),
    (
        "further failures bring nothing",
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
        "a failure after an answer counts anew",
        [(1000.0, FAILURE, None), (9000.0, ANSWER, None), (9500.0, FAILURE, None)],
        15_499.0,
        ListState.UNCONFIRMED,
    ),
]


@pytest.mark.parametrize(
    ("events", "now", "state"), [case[1:] for case in CASES], ids=[case[0] for case in CASES]
)
def test_the_state_at_a_moment(events, now, state):
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


@pytest.mark.parametrize(
    ("accepted_ms_ago", "usable"),
    [
        (0.0, True),
        (EXPIRES_MS - ACCEPTED_WHILE_DRAINING_MS - 1.0, True),
        (EXPIRES_MS - ACCEPTED_WHILE_DRAINING_MS, False),
    ],
)
def test_an_expired_list_leaves_the_servers_that_can_not_have_drained_for_so_long(accepted_ms_ago, usable):
    now = 50_000.0
    validity = ListValidity(EXPIRES_MS)
    validity.on_failure(1000.0, None)
    accepted, never = TrackedServer(Server("s1")), TrackedServer(Server("s2"))
    accepted.answered_sent_ms = now - accepted_ms_ago
    assert validity.usable(now, [accepted, never]) == ([accepted] if usable else [])
