"""The retry budget, waits before retries and second copies, at the decision module."""

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


# -------------------------------------------------------------------- the budget alone


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


def test_what_a_window_was_given_does_not_last_beyond_it():
    budget = RetryBudget(0.1, 0.0, 10_000.0)
    for _ in range(1000):
        budget.note_first_attempt(0.0, "read")
    assert budget.left(9_999.0) == pytest.approx(100.0)
    assert budget.left(10_000.0) == 0.0
    assert not budget.withdraw(10_000.0, "read", ExtraAttempt.RETRY)


@pytest.mark.parametrize("seed", range(5))
def test_no_trailing_window_ever_spends_more_than_its_share(seed):
    rng, now = Random(seed), 0.0
    budget = RetryBudget(0.08, 0.2, 10_000.0)
    firsts, spent = [], []
    for _ in range(6000):
        now += rng.expovariate(1 / rng.choice([3.0, 30.0]))
        if rng.random() < 0.5:
            budget.note_first_attempt(now, "read")
            firsts.append(now)
        elif budget.withdraw(now, "read", ExtraAttempt.RETRY):
            spent.append(now)
            # The slices may forget up to one slice early, never late.
            within = [at for at in spent if at > now - 9_000.0]
            assert len(within) <= 2.0 + 0.08 * len([at for at in firsts if at > now - 10_000.0])
    assert spent


def test_what_was_not_sent_is_given_back():
    budget = RetryBudget(0.0, 0.1, 10_000.0)
    assert budget.withdraw(0.0, "read", ExtraAttempt.HEDGE)
    assert not budget.withdraw(0.0, "read", ExtraAttempt.HEDGE)
    budget.refund(1.0, "read", ExtraAttempt.HEDGE)
    assert budget.withdraw(2.0, "read", ExtraAttempt.HEDGE)


def test_a_quantile_follows_the_latest():
    found = Quantile(0.95)
    for at in range(MIN_QUANTILE_SAMPLES - 1):
        found.add(float(at))
    assert found.value is None
    for _ in range(400):
        found.add(100.0)
    assert found.value == 100.0


def test_the_ceiling_of_the_wait_doubles_up_to_its_most():
    rng = Random(1)
    for tries, most in ((1, 20.0), (2, 40.0), (3, 80.0), (9, 100.0)):
        drawn = [backoff_ms(rng, tries, 20.0, 100.0) for _ in range(400)]
        assert 0.8 * most < max(drawn) <= most
        assert min(drawn) < 0.2 * most


# --------------------------------------------------------------------- in the module


def failing(one: Bed, requests: int, service: str = "read", **more) -> tuple[int, int]:
    """Requests of which every attempt fails at once: attempts made, and requests with a final answer."""
    attempts = answered = 0
    for _ in range(requests):
        name, acts = one.ask(service, **more)
        while sent(acts):
            attempts += 1
            acts = one.end(name, sent(acts)[0].server, api.Result.ERROR, 5.0, attempt=attempts_of(one, name))
        answered += any(isinstance(act, api.Refuse | api.Fail) for act in acts)
        one.now += 10.0
    return attempts, answered


def attempts_of(one: Bed, name: str) -> int:
    return len(one.brain.requests[name].attempts) - 1


def test_a_failing_pool_is_not_multiplied():
    plain, answered = failing(Bed(6), 400)
    assert answered == 400
    budgeted, answered = failing(bed(), 400)
    assert answered == 400
    assert plain > 1.5 * budgeted
    firsts = sum(count for (_, what), count in bed().brain.sender.budget.counts.items() if what == "first")
    assert firsts == 0
    one = bed()
    failing(one, 400)
    counts = one.brain.sender.budget.counts
    assert counts["read", "retry"] <= 0.1 * counts["read", "first"] + 1
    assert counts["read", "denied retry"] > 0


def test_one_failure_among_many_good_answers_is_tried_again():
    one = bed()
    for _ in range(30):
        one.serve()
    name, acts = one.ask()
    assert sent(one.end(name, sent(acts)[0].server, api.Result.ERROR, 5.0))


def test_a_repeat_that_a_caller_marks_is_taken_from_the_budget():
    one = bed()
    _, acts = one.ask(is_retry=True)
    assert kinds(acts)[-1] is api.Refuse  # no first try yet, so there is no share
    for _ in range(30):
        one.serve()
    got = [bool(sent(one.ask(is_retry=True)[1])) for _ in range(5)]
    assert got == [True, True, True, False, False]


def test_a_repeat_that_a_tier_before_has_paid_costs_nothing_and_earns_nothing():
    one = bed()
    for _ in range(20):
        _, acts = one.ask(is_retry=True, paid=True)
        assert sent(acts)
    assert one.brain.sender.budget.left(one.now) == 0.0


def test_a_connection_that_never_came_up_costs_no_budget():
    one = bed()
    name, acts = one.ask()
    assert sent(one.end(name, sent(acts)[0].server, api.Result.CONNECT_FAILED, 1.0))


def test_a_request_that_brings_one_attempt_has_one():
    one = bed(retry_share=1.0)
    for _ in range(30):
        one.serve()
    name, acts = one.ask(attempts=1)
    acts = one.end(name, sent(acts)[0].server, api.Result.ERROR, 5.0)
    assert not sent(acts)
    assert kinds(acts)[-1] is api.Refuse


def test_a_request_that_brings_one_attempt_goes_elsewhere_when_a_drain_comes_before_its_first_byte():
    one = bed()
    name, acts = one.ask(attempts=1)
    acts = one.end(name, sent(acts)[0].server, api.Result.CONNECT_FAILED, 1.0)
    assert sent(acts)
    acts = one.end(name, sent(acts)[0].server, api.Result.ERROR, 1.0, attempt=1)
    assert kinds(acts) == [api.Refuse]


def test_a_carried_worth_lowers_the_row_and_never_raises_it():
    one = bed()
    kind = one.brain.classes["post"]
    ask = api.Request("x", "post", one.now + 1000.0)
    own = one.brain._worth(one.now, ask, kind)
    ask.worth = 0.1
    assert one.brain._worth(one.now, ask, kind) < own
    ask.worth = 1000.0
    assert one.brain._worth(one.now, ask, kind) == own


# ------------------------------------------------------------------ waits before retries


def soured(**more) -> Bed:
    one = bed(retry_share=1.0, backoff_ms=40.0, **more)
    failing(one, 60)
    assert one.brain.sender.failure_share > 0.5
    return one


def test_retries_in_a_pool_that_fails_wait_a_moment_that_is_drawn():
    waits = []
    for seed in range(20):
        one = soured(seed=seed)
        name, acts = one.ask()
        acts = one.end(name, sent(acts)[0].server, api.Result.ERROR, 1.0)
        assert not sent(acts)
        wake = alarm(acts)
        waits.append(wake.delay_ms)
        assert sent(one.give(api.Alarm(wake.name), wake.delay_ms))
    assert len({round(wait, 3) for wait in waits}) == 20
    assert max(waits) <= 40.0


def test_a_retry_in_a_pool_that_works_does_not_wait():
    one = bed(retry_share=1.0, backoff_ms=40.0)
    for _ in range(30):
        one.serve()
    name, acts = one.ask()
    assert sent(one.end(name, sent(acts)[0].server, api.Result.ERROR, 1.0))


def test_no_answer_is_held_back_for_an_attempt_that_cannot_follow():
    one = soured()
    name, acts = one.ask("post")  # it may have run, and must not run twice
    assert kinds(one.end(name, sent(acts)[0].server, api.Result.RESET, 1.0)) == [api.Fail]
    name, acts = one.ask(attempts=1)
    assert kinds(one.end(name, sent(acts)[0].server, api.Result.ERROR, 1.0)) == [api.Refuse]


def test_a_caller_that_leaves_while_its_retry_waits_costs_no_attempt():
    one = soured()
    name, acts = one.ask()
    wake = alarm(one.end(name, sent(acts)[0].server, api.Result.ERROR, 1.0))
    one.give(api.Lapsed(name))
    assert one.give(api.Alarm(wake.name), wake.delay_ms) == []
    assert name not in one.brain.requests


def test_a_drain_while_the_last_attempt_waits_sends_nothing_to_what_drains():
    one = soured(count=2)
    name, acts = one.ask()
    first = sent(acts)[0].server
    wake = alarm(one.end(name, first, api.Result.ERROR, 1.0))
    for at in range(2):
        draining = api.Server(f"s{at}", zone="ab"[at], state=api.ServerState.DRAINING)
        one.give(api.Membership(api.ListForm.DELTA, (draining,)))
    acts = one.give(api.Alarm(wake.name), wake.delay_ms)
    assert kinds(acts) == [api.Refuse]


def test_callers_that_are_rejected_together_get_different_times():
    def told(spread: float) -> list[float]:
        one = bed(retry_after=True, max_retry_after_ms=9000.0, retry_after_spread=spread)
        one.brain.table.cursor = 4
        acts = [one.ask(is_retry=True)[1][-1] for _ in range(40)]
        return [act.retry_after_ms for act in acts if isinstance(act, api.Refuse)]

    assert set(told(0.0)) == {4 * 150.0}
    waits = told(0.5)
    assert len(set(waits)) == len(waits) == 40
    assert min(waits) >= 300.0
    assert max(waits) <= 900.0


# ---------------------------------------------------------------------- second copies


def hedging(**more) -> Bed:
    one = bed(retry_share=1.0, classes=(HEDGED, UNSAFE, KEYED), **more)
    for _ in range(MIN_QUANTILE_SAMPLES + 5):
        one.serve(latency=20.0)
    return one


def test_a_slow_safe_call_gets_a_second_copy_elsewhere_and_the_loser_is_cancelled():
    one = hedging()
    name, acts = one.ask()
    wake = alarm(acts)
    assert wake.delay_ms == pytest.approx(20.0)
    more = sent(one.give(api.Alarm(wake.name), wake.delay_ms))
    assert len(more) == 1
    assert more[0].server != sent(acts)[0].server
    acts = one.end(name, more[0].server, api.Result.OK, 5.0, attempt=1)
    assert acts == [api.Cancel(name, 0)]


def test_an_answer_in_time_means_no_second_copy():
    one = hedging()
    name, acts = one.ask()
    wake = alarm(acts)
    one.end(name, sent(acts)[0].server, api.Result.OK, 5.0)
    assert one.give(api.Alarm(wake.name), wake.delay_ms) == []


def test_second_copies_come_out_of_the_retry_budget():
    one = hedging()
    one.brain.sender.budget.share = 0.0
    _name, acts = one.ask()
    wake = alarm(acts)
    assert one.give(api.Alarm(wake.name), wake.delay_ms) == []
    assert one.brain.sender.budget.counts["read", "denied hedge"] == 1


def test_only_safe_classes_are_hedged():
    one = hedging()
    for service in ("post", "points"):
        _, acts = one.ask(service)
        assert not [act for act in acts if isinstance(act, api.Wake)]
    for kind in (UNSAFE, KEYED):
        with pytest.raises(ValueError, match="hedge"):
            api.Settings(
                classes=(api.ServiceClass("x", 1, 1, effect=kind.effect, hedge=True),), retry_share=0.1
            )
    with pytest.raises(ValueError, match="hedge"):
        api.Settings(classes=(HEDGED,))


# ------------------------------------------------------------------ keys across copies


def test_a_second_attempt_with_its_key_goes_to_the_group_that_may_know_it():
    for seed in range(20):
        one = bed(seed=seed)
        earlier = api.Earlier("s1", one.now - 100.0)  # of zone b
        _, acts = one.ask("points", is_retry=True, paid=True, earlier=earlier)
        assert sent(acts)[0].server in ("s1", "s3", "s5")


def test_a_second_attempt_with_its_key_is_not_sent_once_the_group_may_have_forgotten_it():
    one = bed()
    earlier = api.Earlier("s1", one.now - KEYED.memory_ms)
    _, acts = one.ask("points", is_retry=True, paid=True, earlier=earlier)
    assert kinds(acts)[-1] is api.Fail  # a refusal would say that asking again is harmless
    gone = api.Earlier("s99", one.now - 10.0)  # its group can't be told any more
    _, acts = one.ask("points", is_retry=True, paid=True, earlier=gone)
    assert not sent(acts)


def test_without_a_budget_nothing_of_it_shows():
    one = Bed(6)
    assert one.brain.sender.budget is None
    attempts, _ = failing(one, 10)
    assert attempts == 30
    assert SAFE.hedge is False
