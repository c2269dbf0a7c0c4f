"""Ordinary decisions: threshold table, cursor, rejection, ranking, and the load of the pool."""

from __future__ import annotations

from itertools import pairwise

import pytest
from helpers import SAFE, Bed, kinds, sent

from loadbalancer import interface as api


def load_period(bed: Bed, latency: float, count: int = 30) -> None:
    for _ in range(count):
        name, acts = bed.ask()
        if sent(acts):
            bed.end(name, sent(acts)[0].server, api.Result.OK, latency)
    bed.period()


def test_cursor_moves_one_step_a_period_and_back():
    bed = Bed()
    load_period(bed, 200.0)
    assert bed.brain.table.cursor == 0
    seen = []
    for _ in range(4):
        load_period(bed, 950.0)
        seen.append(bed.brain.table.cursor)
    assert seen == [1, 2, 3, 4]
    for _ in range(8):
        load_period(bed, 100.0)
    assert bed.brain.table.cursor == 0


def test_thresholds_are_flat_then_decrease_and_stay_positive():
    brain = Bed().brain
    entries = []
    for cursor in range(len(brain.table.shape)):
        brain.table.cursor = cursor
        entries.append(brain.threshold(1.0, 20))
    assert entries[0] == entries[1]
    assert all(left > right for left, right in pairwise(entries[1:]))
    brain.table.cursor = len(brain.table.shape) - 1
    assert brain.threshold(1e-9, 1) > 0.0


def test_low_worth_is_shed_first_and_more_steeply():
    brain = Bed().brain
    high, low = brain.threshold(1.0, 20), brain.threshold(1 / 12, 20)
    assert low < high
    brain.table.cursor = len(brain.table.shape) - 1
    assert brain.threshold(1 / 12, 20) / low < brain.threshold(1.0, 20) / high


def test_requests_over_the_threshold_are_rejected_at_once_and_low_worth_first():
    bed = Bed(count=4)
    outcome = {}
    for service in ("post", "read"):
        for _ in range(40):
            _, acts = bed.ask(service)
            if not sent(acts):
                break
        outcome[service] = sum(peer.load for peer in bed.brain.servers_by_address.values())
        assert kinds(acts) == [api.Refuse]
    assert outcome["post"] < outcome["read"]


def test_marked_retries_and_tenants_over_quota_get_a_lower_worth():
    bed = Bed(tenants=(api.Tenant("t", 4.0),), over_share_worth=0.2)
    fresh = api.Request("a", "read", 9e9)
    worth = bed.brain._worth(bed.now, fresh, SAFE)
    assert bed.brain._worth(bed.now, api.Request("b", "read", 9e9, is_retry=True), SAFE) < worth
    tenant = [bed.brain._worth(bed.now, api.Request("c", "read", 9e9, tenant="t"), SAFE) for _ in range(4)]
    assert tenant[:2] == [worth, worth]  # 4 a second over 2 siblings
    assert tenant[2] == tenant[3] == pytest.approx(0.2 * worth)
    assert bed.brain._worth(bed.now + 1000, api.Request("d", "read", 9e9, tenant="t"), SAFE) == worth


def test_quotas_apply_in_tier_0_only():
    bed = Bed(tenants=(api.Tenant("t", 0.0),), over_share_worth=0.2, tier=1)
    assert bed.brain._worth(bed.now, api.Request("c", "read", 9e9, tenant="t"), SAFE) == 1.0


def test_threshold_grows_with_the_completion_rate():
    bed = Bed()
    before = bed.brain.threshold(1.0, 4)
    for _ in range(20):
        load_period(bed, 100.0)
    assert bed.brain.threshold(1.0, 4) > before


def test_calls_spread_by_queue_and_prefer_the_faster_server():
    bed = Bed(count=2)
    first = {sent(bed.ask()[1])[0].server for _ in range(2)}
    assert first == {"s0", "s1"}
    bed = Bed(count=2)
    for _ in range(30):
        for server, latency in (("s0", 300.0), ("s1", 100.0)):
            bed.brain._record_outcome(bed.now, *successful_attempt(bed, server, latency))
    used = [bed.serve() for _ in range(10)]
    assert used.count("s1") == 10


def successful_attempt(bed: Bed, server: str, latency: float):
    from loadbalancer.attempts import Attempt, RequestState

    request = api.Request("x", "read", 9e9)
    attempt = Attempt(bed.brain.servers_by_address[server], bed.now - latency, 0.0)
    state = RequestState(request, SAFE, bed.now, 1.0, [attempt])
    return state, attempt, api.Outcome("x", 0, server, api.Result.OK, latency, True)


def test_calls_to_another_zone_are_penalised_if_they_have_a_price():
    free, priced = Bed(count=2), Bed(count=2, cross_zone_price=0.1)
    assert {free.serve() for _ in range(12)} == {"s0", "s1"}
    assert {priced.serve() for _ in range(12)} == {"s0"}


def test_a_loaded_zone_spills_over_to_another():
    bed = Bed(count=2, cross_zone_price=0.03)
    used = []
    for _ in range(6):
        _, acts = bed.ask()
        used += [act.server for act in sent(acts)]
    assert used[0] == "s0"
    assert "s1" in used


def test_a_reported_queue_counts_and_decays():
    bed = Bed(count=2)
    name, acts = bed.ask()
    server = sent(acts)[0].server
    bed.end(name, server, api.Result.OK, 100.0, report={"queue": 8.0})
    other = ({"s0", "s1"} - {server}).pop()
    assert [bed.serve() for _ in range(5)] == [other] * 5
    bed.now += 5000
    assert server in {bed.serve() for _ in range(10)}


def test_reported_utilisation_over_target_moves_the_cursor():
    bed = Bed(count=2)
    for _ in range(12):
        bed.serve(latency=50.0, report={"util": 1.0})
    bed.period()
    assert bed.brain.table.cursor == 1


def test_rejections_by_servers_move_the_cursor():
    bed = Bed()
    name, acts = bed.ask()
    bed.end(name, sent(acts)[0].server, api.Result.FULL, 1.0)
    bed.period()
    assert bed.brain.table.cursor == 1


def test_few_outcomes_of_a_period_do_not_move_the_cursor():
    """Guard: in idle pools, a single slow response moved the cursor right and requests were rejected."""
    bed = Bed()
    for _ in range(3):
        load_period(bed, 200.0)
    load_period(bed, 900.0, count=1)
    assert bed.brain.table.cursor == 0


def test_an_ordinary_load_is_admitted_right_after_the_start():
    """Guard: thresholds without any known rate rejected a fifth of the requests of the first seconds."""
    bed = Bed(count=10)
    assert all(sent(bed.ask("post")[1]) for _ in range(8))


def test_queue_weight_follows_the_cost_hint_if_worth_is_counted_by_work():
    bed = Bed(worth_by_work=True)
    bed.ask(cost_hint_ms=10.0)
    bed.ask(cost_hint_ms=100.0)
    loads = sorted(peer.load for peer in bed.brain.servers_by_address.values())
    assert loads[-1] > loads[-2] > 0


def test_a_request_without_servers_is_rejected():
    bed = Bed(count=0)
    assert kinds(bed.ask("post")[1]) == [api.Refuse]


def test_rejections_have_a_retry_after_in_tier_0_only():
    for tier, expected in ((0, True), (1, False)):
        bed = Bed(count=0, tier=tier, retry_after=True, max_retry_after_ms=1000.0)
        bed.brain.table.cursor = 3
        refusal = bed.ask()[1][-1]
        assert isinstance(refusal, api.Refuse)
        assert (refusal.retry_after_ms > 0) is expected


def test_invalid_settings_are_reported_with_their_key():
    with pytest.raises(ValueError, match="siblings"):
        api.Settings(classes=(SAFE,), siblings=0)
    with pytest.raises(ValueError, match="classes"):
        api.Settings(classes=())
    with pytest.raises(ValueError, match=r"classes\[0\].aim_ms"):
        api.Settings(classes=(api.ServiceClass("x", aim_ms=-1, give_up_ms=1),))
    with pytest.raises(ValueError, match="cold_ms"):
        api.Settings(classes=(SAFE,), cold_ms=float("nan"))


@pytest.mark.parametrize(("key", "value"), [("may_cancel", "yes"), ("zone", 3), ("max_attempts", "2")])
def test_settings_of_the_wrong_type_are_reported_with_their_value(key, value):
    with pytest.raises(ValueError, match=f"{key}: {value!r}"):
        api.Settings(classes=(SAFE,), **{key: value})


def test_same_events_same_actions():
    def run() -> list[list[api.Action]]:
        bed = Bed(count=6)
        acts = []
        for at in range(60):
            name, one = bed.ask(("read", "post", "points")[at % 3])
            acts.append(one)
            if sent(one):
                acts.append(bed.end(name, sent(one)[0].server, list(api.Result)[at % 8], 50.0 + at))
            acts.append(bed.period(20.0))
        return acts

    assert run() == run()
