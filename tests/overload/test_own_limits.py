"""What a process knows of its own core and descriptors, with time as an argument."""

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
    ("what", "polls", "came", "away"),
    [
        ("an answer that ended a wait came then", [(0.0, 0.0), (0.1, 0.4)], 0.4, 0.0),
        ("one found at once came after the poll before", [(0.0, 0.0), (0.5, 0.5)], 0.0, 0.0),
        ("a core that was away tells of nothing after it slept", [(0.0, 0.0), (0.1, 0.31)], 0.0, 0.2),
    ],
)
def test_what_is_handled_now_came_no_later_than(what, polls, came, away):
    turns = Turns()
    for began, ended in polls:
        turns.poll(began, ended, 0.01 if away else 1.0, 1)
    assert turns.came(polls[-1][1] + 0.05) == pytest.approx(came), what
    assert turns.away_s == pytest.approx(away)


def test_a_loop_that_does_not_tell_its_turns_takes_nothing_for_its_own():
    turns = Turns()
    assert (turns.came(7.0), turns.lag(7.0), turns.lags_ms()) == (7.0, 0.0, (0.0, 0.0))


@given(
    st.lists(st.tuples(SECONDS, SECONDS, SECONDS), min_size=1, max_size=12),
    st.floats(0.0, 1.0),
    st.integers(0, 11),
)
def test_what_a_node_takes_for_its_own_is_never_a_servers(turns_of, at, which):
    """Whatever turns, sleeps and starved cores there are: what came is never held to have come later than it did."""
    turns, now = Turns(), 0.0
    turns.poll(0.0, 0.0, 0.0, 0)
    arrived: float | None = None
    for number, (busy, sleep, starved) in enumerate(turns_of):
        began = now + busy
        if number == min(which, len(turns_of) - 1):
            arrived = now + at * (busy + sleep)  # within this turn, or while it sleeps
        asleep = sleep if arrived is None else min(sleep, max(0.0, arrived - began))
        now = began + asleep + starved
        turns.poll(began, now, sleep, 0 if arrived is None else 1)
        if arrived is not None:
            # A core that was away for less than the loop meant to sleep can't be told: the beat keeps that short.
            unseen = now - arrived if asleep + starved <= sleep + OVERSLEEP_S else 0.0
            assert turns.came(now) <= arrived + unseen + 1e-3
            return


def test_the_lowest_worth_is_rejected_first_and_what_has_time_is_not():
    limit = CoreLimit(top_s=1.0, servers_s=0.1)
    assert limit.allows(
        MIN_LONG_TURN_S, 0.05, 10_000, 0.0, 1.0, relative_worth=1.0
    )  # whatever is open is with its servers
    most = [
        next(n for n in range(99_999) if not limit.allows(0.1, 0.2, n, 0.0, 1.0, worth))
        for worth in (1.0, 0.25, 0.01)
    ]
    assert most[0] > most[1] > most[2]
    assert (
        most[2] * limit.cost_s > limit.servers_s + 0.9 * MIN_QUEUE_SHARE
    )  # beside those that are with their servers
    assert not CoreLimit().allows(0.2, 0.9, 0, 0.0, 1.0, relative_worth=1.0)  # it would be late
    assert not CoreLimit().allows(
        0.05, 0.05, 0, 0.95, 1.0, relative_worth=1.0
    )  # with what its servers take, too


@examples(max_examples=30)
@given(st.integers(200, 6000), st.floats(50e-6, 400e-6), st.floats(0.3, 3.0), st.integers(0, 3))
@example(4894, 0.00034059208125607665, 0.3125, 0)
def test_however_much_is_requested_the_core_goes_on_answering_and_in_time(asked, cost, time_s, known):
    """Closed turns: all that asks is read in each, a refusal costs a tenth, an answer is read some turns later."""
    limit, turn = CoreLimit(top_s=time_s, cost_s=cost), 0.0
    out: deque[tuple[int, float]] = deque([(0, 0.0)] * (known + 1))  # taken in a turn, having waited so long
    served = late = 0
    for number in range(60):
        answered, ages = out.popleft()
        spent, taken, open_ = answered * cost / 2, 0, sum(count for count, _ in out)
        for _ in range(asked):
            if limit.shut(max(turn, spent), turn + spent, open_ + taken):
                spent += cost / 20
            else:
                taken, spent = taken + 1, spent + cost / 2
        if number >= 20:  # by then the turns have settled
            served += answered
            late += answered * (ages > time_s * 1.5)
        waited, turn = turn, spent
        out = deque((count, age + spent) for count, age in out)
        out.append((taken, waited + spent))
    # Where refusals alone make a request late by the limit's own share of its time, none is taken.
    assert served > 0 or 3 * asked * cost / 20 > MAX_ELAPSED_SHARE * time_s
    # Where even refusals alone fill a turn, no limit can help; else nothing that was taken is late.
    if asked * cost / 10 * (known + 2) < time_s * 0.3:
        assert late == 0


@given(st.integers(1, 70_000), st.integers(1, 9), st.integers(1, 9))
def test_all_shares_together_stay_within_the_descriptors(descriptors, listeners, pools):
    shares = share_out(descriptors, listeners, pools)
    assert min(shares.callers, shares.servers) >= 1
    if descriptors >= SPARE + 4 * (listeners + pools):
        assert SPARE + shares.callers * listeners + shares.servers * pools <= descriptors


@given(st.integers(1, 5000), st.integers(0, 6000))
def test_a_listener_has_connections_closed_before_it_is_full(limit, held):
    door = ConnectionLimit(limit)
    assert door.may_accept(held) == max(0, limit - held)
    if limit >= 4 and door.may_keep(held):
        assert door.may_accept(held) > 0  # kept connections alone never fill it
    if limit >= 4 and door.may_begin(held):
        assert held < limit  # nor do requests


def test_no_more_wait_in_the_queue_than_can_be_served_in_time():
    wait_queue = WaitQueue()
    assert wait_queue.may_wait(1000, 1, 1.0)  # nothing is known
    for _ in range(200):
        wait_queue.note_held(0.1)
    waiting = 0
    while wait_queue.may_wait(waiting, 10, 1.0):
        waiting += 1
    assert waiting * 0.1 / 10 <= 1.0
    assert waiting > 10


# ------------------------------------------------------------------ the decision module, told of both


def test_want_of_an_own_connection_ends_a_request_once_and_says_nothing_of_the_server():
    bed = Bed()
    name, acts = bed.ask("post")
    server = sent(acts)[0].server
    acts = bed.end(name, server, api.Result.NO_ROOM, done=False)
    assert kinds(acts) == [api.Refuse]
    assert (
        bed.brain.peers[server].error_share,
        bed.brain.peers[server].load,
        bed.brain.sender.failure_share,
    ) == (0.0, 0.0, 0.0)


def test_a_burst_on_idle_servers_is_not_refused_and_grows_with_what_they_bear():
    bed = Bed(siblings=1, start_calls=32.0, quiet_calls=32.0)
    burst = [bed.ask() for _ in range(128)]
    assert all(sent(acts) for _, acts in burst)
    for name, acts in burst:
        bed.end(name, sent(acts)[0].server, api.Result.OK, latency=1.0)
    for _ in range(30):  # the start is over, and nobody has asked for long
        bed.period()
    assert all(sent(bed.ask()[1]) for _ in range(250))


@given(st.lists(st.floats(0.0, 0.09), min_size=20, max_size=120), st.floats(1.0, 60_000.0))
def test_a_latency_under_a_tenth_of_the_latency_target_is_never_load(shares, aim):
    """A pool of a fraction of a millisecond that becomes ten times slower, an aim a thousand times the latency."""
    kind = api.ServiceClass("read", aim, 2.5 * aim, effect=api.Effect.SAFE)
    bed = Bed(classes=(kind,), near_ms=1.0)
    for at, share in enumerate(shares):
        name, acts = bed.ask("read", left=2.0 * aim)
        if sent(acts):
            bed.end(name, sent(acts)[0].server, api.Result.OK, latency=share * aim)
        if at % 5 == 4:
            bed.period()
            assert bed.brain.table.cursor == 0
            assert bed.brain.estimate.load <= 1.0


@pytest.mark.parametrize(("lag", "avoided"), [(0.0, True), (500.0, False)])
def test_a_server_hangs_only_where_the_nodes_own_lag_does_not_explain_it(lag, avoided):
    bed = Bed(2, near_ms=1.0)
    for _ in range(40):
        bed.serve(latency=5.0)
    _, acts = bed.ask()
    asked = sent(acts)[0].server
    bed.brain.handle(bed.now + 500.0, api.Alarm("none"), lag)
    ranks = {info.address: rank for info, rank, _, _ in bed.brain.ranking.survey(bed.now + 500.0)}
    other = next(name for name in ranks if name != asked)
    assert (ranks[asked] > 20 * ranks[other]) is avoided


def test_a_slow_start_of_many_siblings_is_as_the_settings_say():
    assert settings().start_calls == 7.0  # the platform's
    bed = Bed(siblings=2)
    assert bed.brain.threshold(1.0, len(servers(4))) < 7.0 * 4
