"""Overload protection of one process: CPU time, file descriptors and loop timing, with time as an argument."""

from __future__ import annotations

from collections import deque

import pytest
from helpers import Bed, kinds, sent, servers, settings
from hypothesis import example, given
from hypothesis import settings as examples
from hypothesis import strategies as st

from loadbalancer import interface as api
from loadbalancer.overload.connections import SPARE, ConnectionLimit, WaitQueue, share_out
from loadbalancer.overload.core import MAX_ELAPSED_SHARE, MIN_LONG_TURN_S, MIN_QUEUE_SHARE, CoreLimit
from loadbalancer.overload.turns import OVERSLEEP_S, Turns

SECONDS = st.floats(0.0, 2.0)


@pytest.mark.parametrize(
    ("case", "polls", "arrived_s", "unavailable_s"),
    [
        ("a response that ended a wait arrived at its end", [(0.0, 0.0), (0.1, 0.4)], 0.4, 0.0),
        ("a response found at once arrived after the previous poll", [(0.0, 0.0), (0.5, 0.5)], 0.0, 0.0),
        (
            "a core that was unavailable gives no arrival time after the sleep",
            [(0.0, 0.0), (0.1, 0.31)],
            0.0,
            0.2,
        ),
    ],
)
def test_the_earliest_arrival_of_the_current_events(case, polls, arrived_s, unavailable_s):
    turns = Turns()
    for began, ended in polls:
        turns.poll(began, ended, 0.01 if unavailable_s else 1.0, 1)
    assert turns.came(polls[-1][1] + 0.05) == pytest.approx(arrived_s), case
    assert turns.unavailable_s == pytest.approx(unavailable_s)


def test_without_recorded_polls_no_time_counts_as_the_process_own():
    turns = Turns()
    assert (turns.came(7.0), turns.lag(7.0), turns.lags_ms()) == (7.0, 0.0, (0.0, 0.0))


@given(
    st.lists(st.tuples(SECONDS, SECONDS, SECONDS), min_size=1, max_size=12),
    st.floats(0.0, 1.0),
    st.integers(0, 11),
)
def test_server_time_is_never_counted_as_the_nodes_own(turn_times, position, arrival_turn):
    """For any turns, sleeps and unavailable cores, the reported arrival is never later than the real one."""
    turns, now = Turns(), 0.0
    turns.poll(0.0, 0.0, 0.0, 0)
    arrived: float | None = None
    for number, (busy, sleep, starved) in enumerate(turn_times):
        began = now + busy
        if number == min(arrival_turn, len(turn_times) - 1):
            arrived = now + position * (busy + sleep)  # during this turn or the sleep after it
        asleep = sleep if arrived is None else min(sleep, max(0.0, arrived - began))
        now = began + asleep + starved
        turns.poll(began, now, sleep, 0 if arrived is None else 1)
        if arrived is not None:
            # An absence of the core within the intended sleep can't be detected; short sleeps keep it short.
            undetected_s = now - arrived if asleep + starved <= sleep + OVERSLEEP_S else 0.0
            assert turns.came(now) <= arrived + undetected_s + 1e-3
            return


def test_requests_of_the_lowest_worth_are_rejected_first_and_those_with_time_left_are_not():
    limit = CoreLimit(top_s=1.0, server_latency_s=0.1)
    # The open requests are at their servers.
    assert limit.allows(MIN_LONG_TURN_S, 0.05, 10_000, 0.0, 1.0, relative_worth=1.0)
    most = [
        next(n for n in range(99_999) if not limit.allows(0.1, 0.2, n, 0.0, 1.0, worth))
        for worth in (1.0, 0.25, 0.01)
    ]
    assert most[0] > most[1] > most[2]
    # This queue is in addition to the requests that are at their servers.
    assert most[2] * limit.cost_s > limit.server_latency_s + 0.9 * MIN_QUEUE_SHARE
    assert not CoreLimit().allows(0.2, 0.9, 0, 0.0, 1.0, relative_worth=1.0)  # it would miss its deadline
    # The server's latency counts as well.
    assert not CoreLimit().allows(0.05, 0.05, 0, 0.95, 1.0, relative_worth=1.0)


@examples(max_examples=30)
@given(st.integers(200, 6000), st.floats(50e-6, 400e-6), st.floats(0.3, 3.0), st.integers(0, 3))
@example(4894, 0.00034059208125607665, 0.3125, 0)
def test_under_any_load_the_core_keeps_answering_in_time(arriving, cost, time_s, response_turns):
    """Each simulated turn reads all requests; a rejection costs a tenth, and a response arrives some turns later."""
    limit, turn = CoreLimit(top_s=time_s, cost_s=cost), 0.0
    # For each turn, the requests accepted in it and their age.
    out: deque[tuple[int, float]] = deque([(0, 0.0)] * (response_turns + 1))
    served = late = 0
    for number in range(60):
        answered, ages = out.popleft()
        spent, accepted, open_requests = answered * cost / 2, 0, sum(count for count, _ in out)
        for _ in range(arriving):
            if limit.shut(max(turn, spent), turn + spent, open_requests + accepted):
                spent += cost / 20
            else:
                accepted, spent = accepted + 1, spent + cost / 2
        if number >= 20:  # by then the length of the turns is stable
            served += answered
            late += answered * (ages > time_s * 1.5)
        waited, turn = turn, spent
        out = deque((count, age + spent) for count, age in out)
        out.append((accepted, waited + spent))
    # If rejections alone use up the limit's share of the deadline, no request is accepted.
    assert served > 0 or 3 * arriving * cost / 20 > MAX_ELAPSED_SHARE * time_s
    # If rejections alone fill a turn, no limit helps; otherwise no accepted request is late.
    if arriving * cost / 10 * (response_turns + 2) < time_s * 0.3:
        assert late == 0


@given(st.integers(1, 70_000), st.integers(1, 9), st.integers(1, 9))
def test_the_connection_limits_fit_into_the_descriptors(descriptors, listeners, pools):
    shares = share_out(descriptors, listeners, pools)
    assert min(shares.callers, shares.servers) >= 1
    if descriptors >= SPARE + 4 * (listeners + pools):
        assert SPARE + shares.callers * listeners + shares.servers * pools <= descriptors


@given(st.integers(1, 5000), st.integers(0, 6000))
def test_a_listener_closes_connections_before_it_is_full(limit, open_connections):
    connection_limit = ConnectionLimit(limit)
    assert connection_limit.may_accept(open_connections) == max(0, limit - open_connections)
    if limit >= 4 and connection_limit.may_keep(open_connections):
        # Connections between requests leave free slots.
        assert connection_limit.may_accept(open_connections) > 0
    if limit >= 4 and connection_limit.may_begin(open_connections):
        assert open_connections < limit  # accepted requests leave free slots


def test_the_wait_queue_is_limited_to_what_can_be_served_in_time():
    wait_queue = WaitQueue()
    assert wait_queue.may_wait(1000, 1, 1.0)  # there is no estimate yet
    for _ in range(200):
        wait_queue.record_hold_time(0.1)
    waiting = 0
    while wait_queue.may_wait(waiting, 10, 1.0):
        waiting += 1
    assert waiting * 0.1 / 10 <= 1.0
    assert waiting > 10


# ------------------------------------------------- the decision module, with own connections and own lag as inputs


def test_a_lack_of_own_connections_rejects_a_request_without_blaming_the_server():
    bed = Bed()
    name, acts = bed.ask("post")
    server = sent(acts)[0].server
    acts = bed.end(name, server, api.Result.NO_ROOM, done=False)
    assert kinds(acts) == [api.Refuse]
    assert (
        bed.brain.servers_by_address[server].error_share,
        bed.brain.servers_by_address[server].load,
        bed.brain.sender.failure_share,
    ) == (0.0, 0.0, 0.0)


def test_a_burst_on_idle_servers_is_accepted_and_a_larger_one_after_slow_start():
    bed = Bed(siblings=1, start_calls=32.0, quiet_calls=32.0)
    burst = [bed.ask() for _ in range(128)]
    assert all(sent(acts) for _, acts in burst)
    for name, acts in burst:
        bed.end(name, sent(acts)[0].server, api.Result.OK, latency=1.0)
    for _ in range(30):  # slow start is over, and there were no requests for a long time
        bed.period()
    assert all(sent(bed.ask()[1]) for _ in range(250))


@given(st.lists(st.floats(0.0, 0.09), min_size=20, max_size=120), st.floats(1.0, 60_000.0))
def test_a_latency_under_a_tenth_of_the_latency_target_is_never_load(shares, aim):
    """For example a pool with sub-millisecond latency, far below its target, that becomes ten times slower."""
    kind = api.ServiceClass("read", aim, 2.5 * aim, effect=api.Effect.SAFE)
    bed = Bed(classes=(kind,), near_ms=1.0)
    for index, share in enumerate(shares):
        name, acts = bed.ask("read", left=2.0 * aim)
        if sent(acts):
            bed.end(name, sent(acts)[0].server, api.Result.OK, latency=share * aim)
        if index % 5 == 4:
            bed.period()
            assert bed.brain.table.cursor == 0
            assert bed.brain.estimate.load <= 1.0


@pytest.mark.parametrize(("lag", "avoided"), [(0.0, True), (500.0, False)])
def test_a_server_counts_as_hanging_only_if_the_nodes_own_lag_does_not_explain_the_delay(lag, avoided):
    bed = Bed(2, near_ms=1.0)
    for _ in range(40):
        bed.serve(latency=5.0)
    _, acts = bed.ask()
    used = sent(acts)[0].server
    bed.brain.handle(bed.now + 500.0, api.Alarm("none"), lag)
    ranks = {info.address: rank for info, rank, _, _ in bed.brain.ranking.server_status(bed.now + 500.0)}
    other = next(name for name in ranks if name != used)
    assert (ranks[used] > 20 * ranks[other]) is avoided


def test_slow_start_with_siblings_uses_the_settings():
    assert settings().start_calls == 7.0  # the platform's default
    bed = Bed(siblings=2)
    assert bed.brain.threshold(1.0, len(servers(4))) < 7.0 * 4
