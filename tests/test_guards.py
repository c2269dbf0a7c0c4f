"""Special cases of the decision module, each with the failure that it guards against."""

from __future__ import annotations

import copy

import pytest
from helpers import Bed, kinds, sent, servers

from loadbalancer import interface as api

NEVER_RAN = [api.Result.FULL, api.Result.CONNECT_FAILED, api.Result.MOOT]
MAY_HAVE_RUN = [api.Result.ERROR, api.Result.TIMEOUT, api.Result.RESET, api.Result.CANCELLED]


# ------------------------------------------------- no request is executed twice


@pytest.mark.parametrize("result", NEVER_RAN)
@pytest.mark.parametrize("service", ["read", "post", "points"])
def test_attempts_that_never_ran_are_retried_elsewhere_and_then_rejected(result, service):
    bed = Bed()
    name, acts = bed.ask(service)
    used = []
    for attempt in range(3):
        assert len(sent(acts)) == 1
        used.append(sent(acts)[0].server)
        acts = bed.end(name, used[-1], result, 5.0, attempt)
    assert len(set(used)) == 3
    assert kinds(acts) == [api.Refuse]


@pytest.mark.parametrize("result", MAY_HAVE_RUN)
def test_an_unsafe_request_that_may_have_run_fails(result):
    bed = Bed()
    name, acts = bed.ask("post")
    assert kinds(bed.end(name, sent(acts)[0].server, result)) == [api.Fail]


@pytest.mark.parametrize("result", MAY_HAVE_RUN)
def test_a_safe_request_is_retried_up_to_max_attempts(result):
    bed = Bed(count=8, max_attempts=3)
    name, acts = bed.ask("read")
    used = []
    for attempt in range(3):
        used.append(sent(acts)[0].server)
        acts = bed.end(name, used[-1], result, 5.0, attempt)
    assert len(set(used)) == 3
    assert kinds(acts) == [api.Refuse]


@pytest.mark.parametrize("scope", list(api.Scope))
@pytest.mark.parametrize("result", MAY_HAVE_RUN)
def test_a_keyed_request_stays_in_its_group(result, scope):
    kind = api.ServiceClass(
        "k", aim_ms=2000, give_up_ms=5000, effect=api.Effect.KEYED, scope=scope, memory_ms=900
    )
    rows = tuple(api.Server(f"s{at}", zone="ab"[at % 2], cell=at % 4) for at in range(8))
    where = {row.address: row for row in rows}
    for _ in range(8):
        bed = Bed(count=0, classes=(kind,))
        bed.give(api.Membership(api.ListForm.FULL, rows))
        name, acts = bed.ask("k")
        first = where[sent(acts)[0].server]
        second = where[sent(bed.end(name, first.address, result))[0].server]
        if scope is not api.Scope.ALL:
            assert second.zone == first.zone
        if scope is api.Scope.CELL:
            assert second.cell == first.cell


def test_a_keyed_request_is_not_retried_after_its_key_may_have_expired():
    bed = Bed()
    name, acts = bed.ask("points")
    bed.now += 900
    assert kinds(bed.end(name, sent(acts)[0].server, api.Result.ERROR)) == [api.Fail]


def test_attempts_are_bounded():
    bed = Bed(count=8, max_attempts=2)
    name, acts = bed.ask("post")
    acts = bed.end(name, sent(acts)[0].server, api.Result.FULL)
    assert kinds(bed.end(name, sent(acts)[0].server, api.Result.FULL, attempt=1)) == [api.Refuse]


# ---------------------------------------------------------- one final response


def test_no_action_follows_the_end_of_a_request():
    bed = Bed()
    name, acts = bed.ask("read")
    server = sent(acts)[0].server
    acts = bed.give(api.Lapsed(name))
    assert kinds(acts) == [api.Cancel]
    assert bed.end(name, server, api.Result.CANCELLED, done=True) == []
    assert bed.give(api.Lapsed(name)) == []
    assert bed.brain.requests == {}


def test_a_timeout_at_the_deadline_ends_the_request_at_once():
    bed = Bed()
    name, acts = bed.ask("post", left=300.0)
    bed.now += 300.0
    assert kinds(bed.end(name, sent(acts)[0].server, api.Result.TIMEOUT, 300.0)) == [api.Fail]
    name, acts = bed.ask("read", left=300.0)
    bed.now += 300.0
    assert kinds(bed.end(name, sent(acts)[0].server, api.Result.TIMEOUT, 300.0)) == [api.Refuse]


def test_late_work_worth_nothing_is_stopped_at_the_latency_target():
    """Guard: responses after the latency target earned nothing but used capacity that others needed."""
    bed = Bed()
    assert 900.0 < sent(bed.ask("post", left=2000.0)[1])[0].timeout_ms < 1000.0
    assert sent(bed.ask("post", left=500.0)[1])[0].timeout_ms <= 500.0


def test_an_attempt_with_late_worth_may_run_until_the_deadline():
    kind = api.ServiceClass("slow", aim_ms=500, give_up_ms=5000, late_worth=0.3, effect=api.Effect.SAFE)
    bed = Bed(classes=(kind,))
    assert sent(bed.ask("slow", left=2000.0)[1])[0].timeout_ms == 2000.0


def test_a_streamed_response_is_not_retried():
    kind = api.ServiceClass("s", aim_ms=500, give_up_ms=5000, stream=True, effect=api.Effect.SAFE)
    bed = Bed(classes=(kind,))
    name, acts = bed.ask("s")
    assert bed.give(api.Started(name, 0)) == []
    assert sent(bed.period(2000.0)) == []
    assert bed.end(name, sent(acts)[0].server, api.Result.RESET, done=True) == []


# --------------------------------------------------------------------- health


def test_a_slow_attempt_is_not_hedged_by_default():
    """Guard: hedges of slow calls added load to pools that were already overloaded."""
    bed = Bed()
    bed.ask("read")
    assert sent(bed.period(600.0)) == []


def test_a_hanging_server_is_avoided_long_before_its_timeout():
    """Guard: a server that accepts calls but does not respond kept its good rank until the first timeouts."""
    bed = Bed(count=4)
    for _ in range(20):
        bed.serve()
    hung = sent(bed.ask("read")[1])[0].server
    bed.now += 400.0
    assert hung not in {bed.serve() for _ in range(8)}


def test_a_server_that_answers_again_is_used_again():
    bed = Bed(count=2)
    for _ in range(20):
        bed.serve()
    name, acts = bed.ask("read")
    hung = sent(acts)[0].server
    bed.now += 900.0
    bed.end(name, hung, api.Result.OK, 900.0)
    bed.now += 60000.0
    assert hung in {act.server for _ in range(8) for act in sent(bed.ask("read")[1])}


def test_fast_errors_do_not_improve_the_rank():
    bed = Bed(count=4)
    used_servers = 0
    for _ in range(80):
        name, acts = bed.ask("post")
        server = sent(acts)[0].server
        broken = server == "s0"
        used_servers += broken
        bed.now += 5.0 if broken else 100.0
        bed.end(name, server, api.Result.ERROR if broken else api.Result.OK, 5.0 if broken else 100.0)
        bed.period(0.0)
    assert used_servers <= 4


def test_a_slow_server_without_calls_is_used_again_after_a_while():
    bed = Bed(count=2)
    for _ in range(40):
        name, acts = bed.ask()
        server = sent(acts)[0].server
        latency = 900.0 if server == "s1" else 100.0
        bed.now += latency
        bed.end(name, server, api.Result.OK, latency)

    def first_use(bed: Bed) -> int:
        """Return the number of calls sent to the other server before the slow one gets its first."""
        calls = [act.server for _ in range(12) for act in sent(bed.ask()[1])]
        return calls.index("s1") if "s1" in calls else len(calls)

    later = copy.deepcopy(bed)
    later.now += 40000.0
    assert first_use(later) < first_use(bed)


def test_if_all_servers_slow_down_all_stay_in_use():
    bed = Bed(count=6)
    for _ in range(6):
        bed.serve()
    for _ in range(12):
        bed.serve(latency=900.0)
    used_servers = [act.server for _ in range(10) for act in sent(bed.ask("read")[1])]
    assert set(used_servers) == {f"s{at}" for at in range(6)}


def test_errors_move_the_cursor_in_tier_0_only():
    """Guard: tier 0 sees rejections of lower tiers only as errors, and did not shed load on them."""
    cursors = []
    for tier in (0, 1):
        bed = Bed(tier=tier)
        for _ in range(4):
            name, acts = bed.ask("post")
            bed.end(name, sent(acts)[0].server, api.Result.ERROR, 5.0)
        bed.period()
        cursors.append(bed.brain.table.cursor)
    assert cursors == [1, 0]


def test_an_outdated_utilisation_is_ignored():
    """Guard: a node that rejects all requests gets no new reports, and its last reports kept it rejecting."""
    bed = Bed(count=2)
    for _ in range(6):
        bed.serve(latency=50.0, report={"util": 1.0})
    bed.period()
    assert bed.brain.table.cursor == 1
    bed.now += 5000.0
    bed.period()
    assert bed.brain.table.cursor == 0


@pytest.mark.parametrize(("in_flight", "cursor"), [(0, 0), (30, 1)])
def test_slower_responses_count_as_load_only_if_servers_may_be_crowded(in_flight, cursor):
    """Guard: noise in few latencies moved the cursor and shed work that servers had capacity for."""
    bed = Bed(count=4, siblings=1)
    for _ in range(30):
        bed.serve(latency=300.0)
    bed.period()
    for _ in range(in_flight):
        bed.ask()
    for _ in range(2):
        for _ in range(12):
            bed.serve(latency=450.0)
        bed.period()
    assert bed.brain.table.cursor == cursor


def test_an_abandoned_call_counts_as_load_until_its_estimated_end():
    """Guard: servers continue abandoned calls; without counting them, the server was overloaded."""
    bed = Bed(count=1)
    for _ in range(3):
        bed.serve(latency=400.0)
    name, _ = bed.ask()
    bed.now += 50.0
    (cancel,) = bed.give(api.Lapsed(name))
    bed.end(name, "s0", api.Result.CANCELLED, 50.0, done=True)
    assert cancel == api.Cancel(name, 0)
    (peer,) = bed.brain.servers_by_address.values()
    bed.period(after=300.0)
    assert peer.load == 1.0
    bed.period(after=150.0)
    assert (peer.load, len(peer.abandoned)) == (0.0, 0)


def test_abandoned_slow_calls_raise_the_smoothed_latency():
    """Guard: without the latency of abandoned calls, an overloaded pool looked fast."""
    bed = Bed(count=4)
    for _ in range(30):
        bed.serve(latency=300.0)
    bed.period()
    before = bed.brain.estimate.level
    for _ in range(8):
        name, acts = bed.ask()
        bed.now += 700.0
        bed.give(api.Lapsed(name))
        bed.end(name, sent(acts)[0].server, api.Result.CANCELLED, 700.0, done=True)
    bed.period()
    assert bed.brain.estimate.level > before


def test_the_floor_of_the_table_is_shared_by_all_balancers():
    """Guard: a floor per balancer, summed over hundreds of balancers, was a threshold that never took effect."""
    for siblings in (4, 100):
        bed = Bed(count=20, siblings=siblings)
        taken = sum(len(sent(bed.ask()[1])) for _ in range(400))
        assert taken * siblings <= 20 * 7.0 + siblings * (1 + 2.0 * (20 * 7.0 / siblings) ** 0.5)


def test_many_balancers_have_a_lower_utilisation_target():
    """Guard: with many balancers, servers above the median were overloaded while it was under the target."""
    cursors = []
    for siblings in (4, 100):
        bed = Bed(count=2, siblings=siblings)
        for _ in range(12):
            bed.serve(latency=50.0, report={"util": 0.955})
        bed.period()
        cursors.append(bed.brain.table.cursor)
    assert cursors == [0, 1]


def test_a_period_without_responses_does_not_move_the_cursor_left_in_overload():
    """Guard: with one response in two periods, each empty period moved the cursor left; overload persisted."""
    bed = Bed(count=2)
    for _ in range(20):
        bed.serve(latency=50.0)
    bed.period()
    for _ in range(6):
        for _ in range(12):
            name, acts = bed.ask()
            if sent(acts):
                bed.end(name, sent(acts)[0].server, api.Result.OK, 950.0)
        bed.period()
    high = bed.brain.table.cursor
    bed.ask()
    bed.period()
    assert bed.brain.table.cursor == high + 1
    bed = Bed(count=2)
    bed.brain.table.cursor = 3
    bed.period()
    assert bed.brain.table.cursor == 2  # nothing in flight: not overloaded


def test_a_threshold_below_one_call_admits_some_requests():
    """Guard: one call from each of hundreds of balancers kept overloaded servers overloaded."""
    admitted = 0
    for seed in range(200):
        bed = Bed(count=2, seed=seed, siblings=200)
        bed.brain.table.cursor = len(bed.brain.table.shape) - 1
        admitted += len(sent(bed.ask("post")[1]))
    assert 5 <= admitted <= 60


# ----------------------------------------------------------------- membership


@pytest.mark.parametrize("state", [api.ServerState.DRAINING, api.ServerState.REMOVED])
def test_no_calls_to_a_draining_or_removed_server(state):
    bed = Bed(count=3)
    bed.give(api.Membership(api.ListForm.DELTA, (api.Server("s1", "b", state=state),)))
    assert "s1" not in {bed.serve() for _ in range(12)}


def test_a_server_missing_from_a_complete_list_is_removed():
    bed = Bed(count=3)
    bed.give(api.Membership(api.ListForm.FULL, servers(2)))
    assert "s2" not in {bed.serve() for _ in range(12)}


def test_discovery_is_subscribed_at_once_and_with_backoff_after_failures():
    bed = Bed(count=0, ask_discovery=True)
    first = type(bed.brain)(bed.brain.cfg, 1, 0.0).handle(0.0, api.Membership(api.ListForm.CACHED))
    assert api.Watch in kinds(first)
    waits = []
    for _ in range(6):
        acts = bed.give(api.Membership(api.ListForm.FAILED))
        assert kinds(acts) == [api.Wake]
        waits.append(acts[0].delay_ms)
        assert kinds(bed.give(api.Alarm("watch"))) == [api.Watch]
    assert waits[0] <= 500.0 < 6000.0 <= waits[-1] <= 12_000.0


def test_a_failed_discovery_call_keeps_the_current_list():
    bed = Bed(count=2, ask_discovery=True)
    bed.give(api.Membership(api.ListForm.FAILED))
    assert sent(bed.ask()[1])


def run_calls(bed, draining=()):
    """Send calls one by one; draining servers reject them, others respond after 500 ms. Returns the servers called."""
    taken = []
    for _ in range(24):
        name, acts = bed.ask()
        for attempt in range(3):
            server = sent(acts)[0].server
            if server not in draining:
                bed.now += 500.0
                bed.end(name, server, api.Result.OK, 500.0, attempt)
                taken.append(server)
                break
            taken.append(server)
            acts = bed.end(name, server, api.Result.FULL, 5.0, attempt)
            if not sent(acts):
                break
    return taken


def test_an_expired_list_excludes_servers_that_may_be_draining():
    """Guard: while an overloaded discovery failed for 8 s, calls were sent to servers that had drained for 6.6 s."""
    bed = Bed(count=12, ask_discovery=True, max_attempts=3, list_expires_ms=6000.0)
    run_calls(bed)
    bed.give(api.Membership(api.ListForm.FAILED))
    draining = {f"s{at}" for at in range(6)}
    run_calls(bed, draining)  # takes 12 s: more than the 6 s after which the list expires
    assert not draining & set(run_calls(bed, draining))


def test_all_servers_are_used_again_once_discovery_responds():
    bed = Bed(count=12, ask_discovery=True, max_attempts=3, list_expires_ms=6000.0)
    run_calls(bed)
    bed.give(api.Membership(api.ListForm.FAILED))
    draining = {f"s{at}" for at in range(6)}
    run_calls(bed, draining)
    bed.give(api.Membership(api.ListForm.DELTA))
    used = [server for _ in range(8) for server in run_calls(bed)]
    assert set(used) >= draining


def test_an_unconfirmed_list_spreads_a_burst_over_most_servers():
    bed = Bed(count=12, ask_discovery=True, max_attempts=3, list_expires_ms=6000.0)
    bed.serve()
    bed.give(api.Membership(api.ListForm.FAILED))
    used_servers = {send.server for _ in range(24) for send in sent(bed.ask()[1])}
    assert len(used_servers) >= 8


def expire_list(bed):
    """Fail discovery until the list has expired without a recently accepted call."""
    bed.give(api.Membership(api.ListForm.FAILED))
    bed.now += 6000.0


@pytest.mark.parametrize("service", ["read", "post", "points"])
def test_an_expired_list_without_recently_accepted_calls_rejects_requests_at_once(service):
    bed = Bed(count=6, ask_discovery=True, max_attempts=3, list_expires_ms=6000.0)
    expire_list(bed)
    assert kinds(bed.ask(service)[1]) == [api.Refuse]
    bed.give(api.Membership(api.ListForm.DELTA))
    assert sent(bed.ask(service)[1])


def test_a_list_that_expires_between_two_attempts_ends_the_request():
    bed = Bed(count=6, ask_discovery=True, max_attempts=3, list_expires_ms=6000.0)
    bed.give(api.Membership(api.ListForm.FAILED), after=0.0)
    bed.now += 5999.0
    name, acts = bed.ask("read")
    server = sent(acts)[0].server
    bed.now += 1.0  # the list has expired, so the failed attempt finds no usable server for a retry
    assert kinds(bed.end(name, server, api.Result.CONNECT_FAILED)) == [api.Refuse]


def test_a_keyed_retry_fails_if_all_servers_of_its_group_may_be_draining():
    bed = Bed(count=6, ask_discovery=True, max_attempts=3, list_expires_ms=6000.0)
    bed.give(api.Membership(api.ListForm.FAILED))
    bed.now += 5999.0
    name, acts = bed.ask("points", left=4000.0)
    server = sent(acts)[0].server
    bed.now += 10.0
    assert kinds(bed.end(name, server, api.Result.RESET)) == [api.Fail]


def test_with_an_expired_list_attempts_go_to_servers_that_accepted_a_call_recently():
    bed = Bed(count=6, ask_discovery=True, max_attempts=3, list_expires_ms=6000.0)
    bed.give(api.Membership(api.ListForm.FAILED))
    bed.now += 5900.0
    accepted = bed.serve()  # takes 100 ms
    assert {send.server for _ in range(6) for send in sent(bed.ask()[1])} == {accepted}
    bed.now += 5000.0
    assert kinds(bed.ask()[1]) == [api.Refuse]


def test_a_pending_call_counts_as_accepted_after_the_maximum_time_of_a_rejection():
    bed = Bed(count=6, ask_discovery=True, max_attempts=3, list_expires_ms=6000.0)
    bed.give(api.Membership(api.ListForm.FAILED))
    bed.now += 5900.0
    server = sent(bed.ask(left=20_000.0)[1])[0].server
    bed.now += 499.0
    assert kinds(bed.ask()[1]) == [api.Refuse]
    bed.now += 1.0
    assert [send.server for send in sent(bed.ask()[1])] == [server]


def test_after_a_start_the_cached_list_is_used_until_servers_have_accepted_calls():
    bed = Bed(count=6, ask_discovery=True, max_attempts=3, list_expires_ms=6000.0)
    bed.give(api.Membership(api.ListForm.FAILED, complete_until_ms=float("-inf")))
    accepting = set()
    while len(accepting) < 3:
        accepting.add(bed.serve(latency=1.0))
    assert {send.server for _ in range(20) for send in sent(bed.ask(left=400.0)[1])} <= accepting
    bed = Bed(count=6, ask_discovery=True, max_attempts=3, list_expires_ms=6000.0)
    bed.give(api.Membership(api.ListForm.FAILED, complete_until_ms=float("-inf")))
    bed.now += 5999.0
    _, acts = bed.ask()
    assert sent(acts)
    bed.now += 1.0
    assert kinds(bed.ask()[1]) == [api.Refuse]


def test_only_the_first_of_consecutive_failures_sets_when_the_list_was_complete():
    bed = Bed(count=6, ask_discovery=True, max_attempts=3, list_expires_ms=6000.0)
    bed.now = 20_000.0
    bed.give(api.Membership(api.ListForm.FAILED, complete_until_ms=18_000.0))
    for _ in range(3):
        bed.give(api.Membership(api.ListForm.FAILED), after=1000.0)
    name, acts = bed.ask()
    while sent(acts):
        server = sent(acts)[0].server
        acts = bed.end(
            name, server, api.Result.CONNECT_FAILED, attempt=len(bed.brain.requests[name].attempts) - 1
        )
    bed.now = 24_000.0
    assert kinds(bed.ask()[1]) == [api.Refuse]


def test_a_restarted_server_is_treated_as_new_and_cold():
    bed = Bed(count=2)
    for _ in range(6):
        bed.serve()
    bed.give(api.Membership(api.ListForm.DELTA, (api.Server("s0", "a", launched_ms=bed.now),)))
    assert bed.brain.servers_by_address["s0"].latency_factor is None
    assert [bed.serve(latency=1.0) for _ in range(20)].count("s0") < 10


# ----------------------------------------------------------------- slow start


def test_a_cold_server_gets_calls_in_proportion_to_its_warmth():
    bed = Bed(count=4)
    bed.give(api.Membership(api.ListForm.DELTA, (api.Server("cold", "a", launched_ms=bed.now),)))
    counts: dict[str, int] = {}
    for at in range(150):
        server = bed.serve(latency=10.0)
        counts[server] = counts.get(server, 0) + 1
        if at % 5 == 0:
            bed.period(0.0)
    warm = sum(count for name, count in counts.items() if name != "cold") / 4
    assert 0 < counts["cold"] <= 0.5 * warm


def test_many_balancers_together_keep_a_cold_server_to_its_share():
    """Guard: one call per window from each of many balancers added up to an overload of the cold server."""
    nodes, warm = 120, 20
    cold = api.Server("cold", "a", launched_ms=1000.0)
    beds = []
    for seed in range(nodes):
        bed = Bed(count=0, seed=seed, siblings=nodes)
        bed.give(api.Membership(api.ListForm.FULL, (*servers(warm), cold)))
        beds.append(bed)
    used_servers = [bed.serve(latency=1.0) for _ in range(40) for bed in beds]
    mean = len(used_servers) / (warm + 1)
    assert 0 < used_servers.count("cold") <= 2.5 * 0.2 * mean


def test_a_cold_pool_serves_a_part_of_the_requests():
    bed = Bed(count=0)
    bed.give(api.Membership(api.ListForm.FULL, servers(20, launched_ms=bed.now)))
    count = sum(len(sent(bed.ask()[1])) for _ in range(100))
    assert 10 <= count <= 40


def test_one_fast_first_response_does_not_set_the_baseline():
    bed = Bed()
    bed.serve(latency=200.0)  # the usual latency of this idle pool is 350
    bed.period()
    for _ in range(40):
        for _ in range(3):
            bed.serve(latency=350.0)
        bed.period()
    assert bed.brain.table.cursor == 0
