"""Every way out has a way back: servers that were left out are asked again, at a bounded rate, and come back paced."""

from __future__ import annotations

from itertools import pairwise

import pytest
from helpers import Bed, sent, servers

from loadbalancer import interface as api
from loadbalancer.attempt_sender import TRIAL_TIME_SHARE
from loadbalancer.outlier_detection import IDLE_BEFORE_TRIAL_MS
from loadbalancer.ranking import TRIAL_INTERVAL_MS, TRIAL_SHARE

OK, FAILURES = (
    api.Result.OK,
    (api.Result.ERROR, api.Result.RESET, api.Result.TIMEOUT, api.Result.CONNECT_FAILED),
)
LEFT = 2000.0


def away(fails: int = 4, result: api.Result = api.Result.TIMEOUT, **changes) -> Bed:
    """A bed whose s0 has failed so often in a row, beside three servers that are quick."""
    bed = Bed(**changes)
    while bed.brain.peers["s0"].consecutive_failures < fails:
        name, acts = bed.ask()
        at, server = 0, sent(acts)[0].server
        if server == "s0":
            acts = bed.end(name, server, result, 400.0)
            at, server = 1, sent(acts)[0].server
        bed.now += 10.0
        bed.end(name, server, OK, 20.0, attempt=at)
    return bed


def calls(
    bed: Bed, count: int, every: float = 10.0, service: str = "read", result: api.Result = OK
) -> list[float]:
    """So many calls, one after the other, each answered at once; when s0 was asked, and it answered with `result`."""
    asked = []
    for number in range(count):
        if number % 15 == 0:
            bed.period(0.0)
        name, acts = bed.ask(service, LEFT)
        bed.now += every
        server = sent(acts)[0].server
        if server == "s0":
            asked.append(bed.now)
        if server == "s0" and result is not OK:
            again = sent(bed.end(name, server, result, 20.0))
            if again:
                bed.end(name, again[0].server, OK, 20.0, attempt=1)
        else:
            bed.end(name, server, OK, 20.0)
    return asked


@pytest.mark.parametrize("result", FAILURES)
def test_a_server_that_failed_gets_trial_calls_while_others_are_idle(result):
    bed = away(result=result)
    assert calls(bed, 1500)


def test_one_that_fails_on_gets_trial_calls_at_a_bounded_rate():
    bed = away()
    asked = calls(bed, 6000, result=api.Result.ERROR)
    gaps = [after - before for before, after in pairwise(asked)]
    assert min(gaps) >= TRIAL_INTERVAL_MS * 8
    assert len(asked) <= TRIAL_SHARE / 4 * 6000


def test_one_that_answers_again_gets_its_share():
    bed = away()
    calls(bed, 1500)
    assert 0.15 <= len(calls(bed, 1000)) / 1000 <= 0.35


def test_what_may_not_be_repeated_goes_there_only_after_four_times_the_wait():
    bed = away(fails=5)
    last = bed.brain.peers["s0"].last_sent_ms
    asked = calls(bed, 4000, service="post")
    assert asked
    assert asked[0] - last >= 4 * 8 * TRIAL_INTERVAL_MS


def test_a_trial_call_leaves_time_for_another():
    bed = away()
    for _ in range(2000):
        name, acts = bed.ask("read", LEFT)
        [send] = sent(acts)
        bed.now += 10.0
        if send.server == "s0":
            break
        bed.end(name, send.server, OK, 20.0)
    assert send.server == "s0"
    assert send.timeout_ms <= TRIAL_TIME_SHARE * LEFT
    [other] = sent(bed.end(name, "s0", api.Result.TIMEOUT, send.timeout_ms))
    assert other.server != "s0"


def test_one_failure_long_ago_is_no_reason_for_ever():
    """Silence is not evidence: with nothing asked of it nothing would clear it."""
    bed = away(fails=1, result=api.Result.ERROR)
    bed.brain.peers["s0"].error_share = 0.5
    begins = bed.now
    asked = calls(bed, 4000)
    assert asked
    assert asked[0] - begins <= IDLE_BEFORE_TRIAL_MS + 2000.0


SILENT, ERROR = api.Result.TIMEOUT, api.Result.ERROR


@pytest.mark.parametrize(
    ("told", "failed", "most"), [(False, SILENT, 0.12), (True, SILENT, 0.35), (False, ERROR, 0.35)]
)
def test_where_lists_have_no_starts_one_that_gave_no_answer_is_held_to_be_cold(told, failed, most):
    bed = away(result=failed, starts_told=told, cold_from=0.1)
    calls(bed, 1500, every=3.0)
    begins = bed.brain.peers["s0"].recovered_ms
    assert (begins is None) == (told or failed is ERROR)
    if begins is not None:
        bed.brain.peers["s0"].recovered_ms = bed.now
    share = len(calls(bed, 300, every=3.0)) / 300
    assert 0.0 < share <= most


def test_a_list_that_restarts_a_server_forgets_what_was_learned():
    bed = away()
    bed.give(api.Membership(api.ListForm.FULL, servers(4, launched_ms=bed.now - 60_000.0)))
    assert bed.brain.peers["s0"].consecutive_failures == 0


def test_a_server_that_turns_all_away_is_left_and_is_no_load_of_the_pool():
    """A server that drains and is still listed has nothing in flight, and looked the best of all."""
    bed = Bed(max_attempts=6)
    declined = 0
    for number in range(600):
        if number % 15 == 0:
            bed.period(0.0)
        name, acts = bed.ask()
        at = 0
        while sent(acts)[0].server == "s0":
            declined += 1
            acts = bed.end(name, "s0", api.Result.FULL, 1.0, attempt=at)
            at += 1
        bed.now += 10.0
        bed.end(name, sent(acts)[0].server, OK, 20.0, attempt=at)
    assert declined <= 30
    assert bed.brain.table.cursor == 0


def test_where_most_servers_are_full_that_is_the_pools_load():
    bed = Bed()
    for number in range(300):
        if number % 5 == 0:
            bed.period(0.0)
        name, acts = bed.ask()
        at = 0
        while sent(acts):
            acts = bed.end(name, sent(acts)[0].server, api.Result.FULL, 1.0, attempt=at)
            at += 1
        bed.now += 10.0
    assert bed.brain.table.cursor == len(bed.brain.table.shape) - 1
