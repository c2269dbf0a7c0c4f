"""Retry budget, backoff before retries, and hedges of the decision module."""

from __future__ import annotations

from random import Random

import pytest
from helpers import KEYED, SAFE, UNSAFE, Bed, kinds, sent

from loadbalancer import interface as api
from loadbalancer.retry_policy import MIN_QUANTILE_SAMPLES, ExtraAttempt, Quantile, RetryBudget, backoff_ms

HEDGED = api.ServiceClass("read", aim_ms=1000, give_up_ms=2500, worth=12, effect=api.Effect.SAFE, hedge=True)
BUDGET = {"retry_share": 0.1, "retry_window_ms": 10_000.0}


def bed(count: int = 6, **more):
    return Bed(count, **(BUDGET | more))


def alarm(acts):
    return next(
        act for act in acts if isinstance(act, api.Wake) and act.name.split()[0] in ("retry", "hedge")
    )


# ------------------------------------------------------------- budget and backoff alone


def test_a_window_has_its_share_of_first_attempts_and_the_floor():
    budget = RetryBudget(0.1, 0.2, 10_000.0)
    assert [budget.withdraw(0.0, "read", ExtraAttempt.RETRY) for _ in range(3)] == [
        True,
        True,
        False,
    ]  # the floor: 2
    for _ in range(50):
        budget.note_first_attempt(1.0, "read")
    assert [budget.withdraw(2.0, "read", ExtraAttempt.RETRY) for _ in range(6)] == [True] * 5 + [False]
    assert budget.counts["read", "retry"] == 7
    assert budget.counts["read", "denied retry"] == 2


def test_the_budget_of_a_window_expires_with_it():
    budget = RetryBudget(0.1, 0.0, 10_000.0)
    for _ in range(1000):
        budget.note_first_attempt(0.0, "read")
    assert budget.left(9_999.0) == pytest.approx(100.0)
    assert budget.left(10_000.0) == 0.0
    assert not budget.withdraw(10_000.0, "read", ExtraAttempt.RETRY)


@pytest.mark.parametrize("seed", range(5))
def test_no_sliding_window_exceeds_its_budget(seed):
    rng, now = Random(seed), 0.0
    budget = RetryBudget(0.08, 0.2, 10_000.0)
    first_attempts, spent = [], []
    for _ in range(6000):
        now += rng.expovariate(1 / rng.choice([3.0, 30.0]))
        if rng.random() < 0.5:
            budget.note_first_attempt(now, "read")
            first_attempts.append(now)
        elif budget.withdraw(now, "read", ExtraAttempt.RETRY):
            spent.append(now)
            # The budget may be up to one slice too strict, never too permissive.
            within = [at for at in spent if at > now - 9_000.0]
            assert len(within) <= 2.0 + 0.08 * len([at for at in first_attempts if at > now - 10_000.0])
    assert spent


def test_an_attempt_that_was_not_sent_is_refunded():
    budget = RetryBudget(0.0, 0.1, 10_000.0)
    assert budget.withdraw(0.0, "read", ExtraAttempt.HEDGE)
    assert not budget.withdraw(0.0, "read", ExtraAttempt.HEDGE)
    budget.refund(1.0, "read", ExtraAttempt.HEDGE)
    assert budget.withdraw(2.0, "read", ExtraAttempt.HEDGE)


def test_a_quantile_follows_the_latest_samples():
    found = Quantile(0.95)
    for at in range(MIN_QUANTILE_SAMPLES - 1):
        found.add(float(at))
    assert found.value is None
    for _ in range(400):
        found.add(100.0)
    assert found.value == 100.0


def test_the_upper_limit_of_the_backoff_doubles_up_to_its_maximum():
    rng = Random(1)
    for tries, maximum in ((1, 20.0), (2, 40.0), (3, 80.0), (9, 100.0)):
        drawn = [backoff_ms(rng, tries, 20.0, 100.0) for _ in range(400)]
        assert 0.8 * maximum < max(drawn) <= maximum
        assert min(drawn) < 0.2 * maximum


# ---------------------------------------------------------------- in the decision module


def run_failing_requests(instance: Bed, requests: int, service: str = "read", **more) -> tuple[int, int]:
    """Send requests whose attempts all fail at once; returns the number of attempts and of final responses."""
    attempts = answered = 0
    for _ in range(requests):
        name, acts = instance.ask(service, **more)
        while sent(acts):
            attempts += 1
            acts = instance.end(
                name, sent(acts)[0].server, api.Result.ERROR, 5.0, attempt=last_attempt(instance, name)
            )
        answered += any(isinstance(act, api.Refuse | api.Fail) for act in acts)
        instance.now += 10.0
    return attempts, answered


def last_attempt(instance: Bed, name: str) -> int:
    return len(instance.brain.requests[name].attempts) - 1


def test_retries_do_not_multiply_the_load_of_a_failing_pool():
    plain, answered = run_failing_requests(Bed(6), 400)
    assert answered == 400
    budgeted, answered = run_failing_requests(bed(), 400)
    assert answered == 400
    assert plain > 1.5 * budgeted
    first_attempts = sum(
        count for (_, what), count in bed().brain.sender.budget.counts.items() if what == "first"
    )
    assert first_attempts == 0
    instance = bed()
    run_failing_requests(instance, 400)
    counts = instance.brain.sender.budget.counts
    assert counts["read", "retry"] <= 0.1 * counts["read", "first"] + 1
    assert counts["read", "denied retry"] > 0


def test_a_single_failure_is_retried():
    instance = bed()
    for _ in range(30):
        instance.serve()
    name, acts = instance.ask()
    assert sent(instance.end(name, sent(acts)[0].server, api.Result.ERROR, 5.0))


def test_a_request_marked_as_a_retry_is_charged_to_the_budget():
    instance = bed()
    _, acts = instance.ask(is_retry=True)
    assert kinds(acts)[-1] is api.Refuse  # without first attempts, the share is 0
    for _ in range(30):
        instance.serve()
    admitted = [bool(sent(instance.ask(is_retry=True)[1])) for _ in range(5)]
    assert admitted == [True, True, True, False, False]


def test_a_retry_paid_by_an_earlier_tier_neither_uses_nor_increases_the_budget():
    instance = bed()
    for _ in range(20):
        _, acts = instance.ask(is_retry=True, paid=True)
        assert sent(acts)
    assert instance.brain.sender.budget.left(instance.now) == 0.0


def test_a_retry_after_a_failed_connect_is_not_charged():
    instance = bed()
    name, acts = instance.ask()
    assert sent(instance.end(name, sent(acts)[0].server, api.Result.CONNECT_FAILED, 1.0))


def test_a_request_limited_to_one_attempt_is_not_retried():
    instance = bed(retry_share=1.0)
    for _ in range(30):
        instance.serve()
    name, acts = instance.ask(attempts=1)
    acts = instance.end(name, sent(acts)[0].server, api.Result.ERROR, 5.0)
    assert not sent(acts)
    assert kinds(acts)[-1] is api.Refuse


def test_a_request_limited_to_one_attempt_is_retried_if_it_was_never_sent():
    instance = bed()
    name, acts = instance.ask(attempts=1)
    acts = instance.end(name, sent(acts)[0].server, api.Result.CONNECT_FAILED, 1.0)
    assert sent(acts)
    acts = instance.end(name, sent(acts)[0].server, api.Result.ERROR, 1.0, attempt=1)
    assert kinds(acts) == [api.Refuse]


def test_the_worth_of_a_request_may_lower_that_of_its_class_but_not_raise_it():
    instance = bed()
    kind = instance.brain.classes["post"]
    ask = api.Request("x", "post", instance.now + 1000.0)
    own = instance.brain._worth(instance.now, ask, kind)
    ask.worth = 0.1
    assert instance.brain._worth(instance.now, ask, kind) < own
    ask.worth = 1000.0
    assert instance.brain._worth(instance.now, ask, kind) == own


# ---------------------------------------------------------------- backoff before retries


def failing_pool(**more) -> Bed:
    instance = bed(retry_share=1.0, backoff_ms=40.0, **more)
    run_failing_requests(instance, 60)
    assert instance.brain.sender.failure_share > 0.5
    return instance


def test_retries_in_a_failing_pool_have_a_random_backoff():
    waits = []
    for seed in range(20):
        instance = failing_pool(seed=seed)
        name, acts = instance.ask()
        acts = instance.end(name, sent(acts)[0].server, api.Result.ERROR, 1.0)
        assert not sent(acts)
        wake = alarm(acts)
        waits.append(wake.delay_ms)
        assert sent(instance.give(api.Alarm(wake.name), wake.delay_ms))
    assert len({round(wait, 3) for wait in waits}) == 20
    assert max(waits) <= 40.0


def test_a_retry_in_a_healthy_pool_has_no_backoff():
    instance = bed(retry_share=1.0, backoff_ms=40.0)
    for _ in range(30):
        instance.serve()
    name, acts = instance.ask()
    assert sent(instance.end(name, sent(acts)[0].server, api.Result.ERROR, 1.0))


def test_the_final_response_does_not_wait_for_a_retry_that_is_not_allowed():
    instance = failing_pool()
    name, acts = instance.ask("post")  # unsafe: it may have been executed, so it is not retried
    assert kinds(instance.end(name, sent(acts)[0].server, api.Result.RESET, 1.0)) == [api.Fail]
    name, acts = instance.ask(attempts=1)
    assert kinds(instance.end(name, sent(acts)[0].server, api.Result.ERROR, 1.0)) == [api.Refuse]


def test_no_retry_is_sent_if_the_client_disconnects_during_the_backoff():
    instance = failing_pool()
    name, acts = instance.ask()
    wake = alarm(instance.end(name, sent(acts)[0].server, api.Result.ERROR, 1.0))
    instance.give(api.Lapsed(name))
    assert instance.give(api.Alarm(wake.name), wake.delay_ms) == []
    assert name not in instance.brain.requests


def test_no_retry_is_sent_to_a_server_that_drains_during_the_backoff():
    instance = failing_pool(count=2)
    name, acts = instance.ask()
    first = sent(acts)[0].server
    wake = alarm(instance.end(name, first, api.Result.ERROR, 1.0))
    for at in range(2):
        draining = api.Server(f"s{at}", zone="ab"[at], state=api.ServerState.DRAINING)
        instance.give(api.Membership(api.ListForm.DELTA, (draining,)))
    acts = instance.give(api.Alarm(wake.name), wake.delay_ms)
    assert kinds(acts) == [api.Refuse]


def test_callers_that_are_rejected_together_get_different_retry_after_times():
    def retry_after_times(spread: float) -> list[float]:
        instance = bed(retry_after=True, max_retry_after_ms=9000.0, retry_after_spread=spread)
        instance.brain.table.cursor = 4
        acts = [instance.ask(is_retry=True)[1][-1] for _ in range(40)]
        return [act.retry_after_ms for act in acts if isinstance(act, api.Refuse)]

    assert set(retry_after_times(0.0)) == {4 * 150.0}
    waits = retry_after_times(0.5)
    assert len(set(waits)) == len(waits) == 40
    assert min(waits) >= 300.0
    assert max(waits) <= 900.0


# -------------------------------------------------------------------------------- hedges


def hedged_pool(**more) -> Bed:
    instance = bed(retry_share=1.0, classes=(HEDGED, UNSAFE, KEYED), **more)
    for _ in range(MIN_QUANTILE_SAMPLES + 5):
        instance.serve(latency=20.0)
    return instance


def test_a_slow_safe_call_is_hedged_and_the_slower_attempt_is_cancelled():
    instance = hedged_pool()
    name, acts = instance.ask()
    wake = alarm(acts)
    assert wake.delay_ms == pytest.approx(20.0)
    more = sent(instance.give(api.Alarm(wake.name), wake.delay_ms))
    assert len(more) == 1
    assert more[0].server != sent(acts)[0].server
    acts = instance.end(name, more[0].server, api.Result.OK, 5.0, attempt=1)
    assert acts == [api.Cancel(name, 0)]


def test_a_call_answered_in_time_is_not_hedged():
    instance = hedged_pool()
    name, acts = instance.ask()
    wake = alarm(acts)
    instance.end(name, sent(acts)[0].server, api.Result.OK, 5.0)
    assert instance.give(api.Alarm(wake.name), wake.delay_ms) == []


def test_hedges_are_charged_to_the_retry_budget():
    instance = hedged_pool()
    instance.brain.sender.budget.share = 0.0
    _name, acts = instance.ask()
    wake = alarm(acts)
    assert instance.give(api.Alarm(wake.name), wake.delay_ms) == []
    assert instance.brain.sender.budget.counts["read", "denied hedge"] == 1


def test_only_safe_classes_are_hedged():
    instance = hedged_pool()
    for service in ("post", "points"):
        _, acts = instance.ask(service)
        assert not [act for act in acts if isinstance(act, api.Wake)]
    for kind in (UNSAFE, KEYED):
        with pytest.raises(ValueError, match="hedge"):
            api.Settings(
                classes=(api.ServiceClass("x", 1, 1, effect=kind.effect, hedge=True),), retry_share=0.1
            )
    with pytest.raises(ValueError, match="hedge"):
        api.Settings(classes=(HEDGED,))


# --------------------------------------------------------- retries with the same key


def test_a_retry_with_the_same_key_goes_to_the_group_that_deduplicates_it():
    for seed in range(20):
        instance = bed(seed=seed)
        earlier = api.Earlier("s1", instance.now - 100.0)  # in zone b
        _, acts = instance.ask("points", is_retry=True, paid=True, earlier=earlier)
        assert sent(acts)[0].server in ("s1", "s3", "s5")


def test_a_retry_with_the_same_key_is_not_sent_after_the_key_may_have_expired():
    instance = bed()
    earlier = api.Earlier("s1", instance.now - KEYED.memory_ms)
    _, acts = instance.ask("points", is_retry=True, paid=True, earlier=earlier)
    assert kinds(acts)[-1] is api.Fail  # a rejection would state that a retry is safe
    gone = api.Earlier("s99", instance.now - 10.0)  # a removed server: its group is unknown
    _, acts = instance.ask("points", is_retry=True, paid=True, earlier=gone)
    assert not sent(acts)


def test_without_a_budget_retries_are_unlimited():
    instance = Bed(6)
    assert instance.brain.sender.budget is None
    attempts, _ = run_failing_requests(instance, 10)
    assert attempts == 30
    assert SAFE.hedge is False
