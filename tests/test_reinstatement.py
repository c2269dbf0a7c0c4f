"""Ejected servers get trial calls at a bounded rate, and recovered ones are reinstated gradually."""

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


def balancer_with_failed_server(failures: int = 4, result: api.Result = api.Result.TIMEOUT, **changes) -> Bed:
    """Return a balancer whose s0 has this many consecutive failures, with three fast servers beside it."""
    bed = Bed(**changes)
    while bed.brain.servers_by_address["s0"].consecutive_failures < failures:
        name, acts = bed.ask()
        at, server = 0, sent(acts)[0].server
        if server == "s0":
            acts = bed.end(name, server, result, 400.0)
            at, server = 1, sent(acts)[0].server
        bed.now += 10.0
        bed.end(name, server, OK, 20.0, attempt=at)
    return bed


def run_calls(
    bed: Bed, count: int, every: float = 10.0, service: str = "read", result: api.Result = OK
) -> list[float]:
    """Send `count` calls one by one; s0 responds with `result`, others with OK. Returns the times of calls to s0."""
    call_times = []
    for number in range(count):
        if number % 15 == 0:
            bed.period(0.0)
        name, acts = bed.ask(service, LEFT)
        bed.now += every
        server = sent(acts)[0].server
        if server == "s0":
            call_times.append(bed.now)
        if server == "s0" and result is not OK:
            retries = sent(bed.end(name, server, result, 20.0))
            if retries:
                bed.end(name, retries[0].server, OK, 20.0, attempt=1)
        else:
            bed.end(name, server, OK, 20.0)
    return call_times


@pytest.mark.parametrize("result", FAILURES)
def test_a_server_that_failed_gets_trial_calls_while_others_are_idle(result):
    bed = balancer_with_failed_server(result=result)
    assert run_calls(bed, 1500)


def test_a_server_that_keeps_failing_gets_trial_calls_at_a_bounded_rate():
    bed = balancer_with_failed_server()
    call_times = run_calls(bed, 6000, result=api.Result.ERROR)
    gaps = [after - before for before, after in pairwise(call_times)]
    assert min(gaps) >= TRIAL_INTERVAL_MS * 8
    assert len(call_times) <= TRIAL_SHARE / 4 * 6000


def test_a_recovered_server_gets_its_share_of_calls():
    bed = balancer_with_failed_server()
    run_calls(bed, 1500)
    assert 0.15 <= len(run_calls(bed, 1000)) / 1000 <= 0.35


def test_calls_that_may_not_be_retried_are_trial_calls_only_after_four_times_the_interval():
    bed = balancer_with_failed_server(failures=5)
    last = bed.brain.servers_by_address["s0"].last_sent_ms
    call_times = run_calls(bed, 4000, service="post")
    assert call_times
    assert call_times[0] - last >= 4 * 8 * TRIAL_INTERVAL_MS


def test_a_trial_call_leaves_time_for_a_retry():
    bed = balancer_with_failed_server()
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


def test_an_idle_server_with_an_old_failure_gets_a_trial_call():
    """Guard: without calls, nothing could clear its error share, and it stayed excluded."""
    bed = balancer_with_failed_server(failures=1, result=api.Result.ERROR)
    bed.brain.servers_by_address["s0"].error_share = 0.5
    start_ms = bed.now
    call_times = run_calls(bed, 4000)
    assert call_times
    assert call_times[0] - start_ms <= IDLE_BEFORE_TRIAL_MS + 2000.0


NO_RESPONSE, ERROR = api.Result.TIMEOUT, api.Result.ERROR


@pytest.mark.parametrize(
    ("starts_listed", "result", "max_share"),
    [(False, NO_RESPONSE, 0.12), (True, NO_RESPONSE, 0.35), (False, ERROR, 0.35)],
)
def test_without_start_times_in_lists_a_server_that_did_not_respond_counts_as_cold(
    starts_listed, result, max_share
):
    bed = balancer_with_failed_server(result=result, starts_told=starts_listed, cold_from=0.1)
    run_calls(bed, 1500, every=3.0)
    recovered_ms = bed.brain.servers_by_address["s0"].recovered_ms
    assert (recovered_ms is None) == (starts_listed or result is ERROR)
    if recovered_ms is not None:
        bed.brain.servers_by_address["s0"].recovered_ms = bed.now
    share = len(run_calls(bed, 300, every=3.0)) / 300
    assert 0.0 < share <= max_share


def test_the_state_of_a_server_is_reset_when_a_list_reports_its_restart():
    bed = balancer_with_failed_server()
    bed.give(api.Membership(api.ListForm.FULL, servers(4, launched_ms=bed.now - 60_000.0)))
    assert bed.brain.servers_by_address["s0"].consecutive_failures == 0


def test_a_server_that_rejects_all_calls_is_avoided_and_does_not_move_the_cursor():
    """Guard: a draining server that is still listed has nothing in flight, and looked like the best one."""
    bed = Bed(max_attempts=6)
    rejected = 0
    for number in range(600):
        if number % 15 == 0:
            bed.period(0.0)
        name, acts = bed.ask()
        at = 0
        while sent(acts)[0].server == "s0":
            rejected += 1
            acts = bed.end(name, "s0", api.Result.FULL, 1.0, attempt=at)
            at += 1
        bed.now += 10.0
        bed.end(name, sent(acts)[0].server, OK, 20.0, attempt=at)
    assert rejected <= 30
    assert bed.brain.table.cursor == 0


def test_rejections_by_most_servers_count_as_load_of_the_pool():
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
