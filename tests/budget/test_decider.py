"""Grants of time and attempts: never more than class and route allow, whatever the request states."""

from __future__ import annotations

from random import Random

import pytest

from loadbalancer import interface as api
from loadbalancer.budget.caller_timeout import MIN_OBSERVATIONS, CallerTimeout
from loadbalancer.budget.carried import NO_BUDGET, PropagatedBudget, Stamp
from loadbalancer.budget.decider import Allowance, Decider, Denial, Grant, ListenerTerms, Trust
from loadbalancer.budget.elapsed import MAX_EXCESS_MS, MAX_WRITERS, WINDOW_MS, Elapsed

KIND = api.ServiceClass("read", aim_ms=1000, give_up_ms=2500, worth=12, effect=api.Effect.SAFE)
INSIDE = ListenerTerms("post", Trust.INSIDE, extra=2, tenants=frozenset({"hotels"}))
EDGE = ListenerTerms("post", Trust.EDGE, extra=2, tenants=frozenset({"hotels"}))


def decide(
    carried: PropagatedBudget = NO_BUDGET,
    terms: ListenerTerms = INSIDE,
    requested=None,
    decider=None,
    now=0.0,
    **more,
):
    return (decider or Decider()).decide(terms, KIND, 2500.0, requested, carried, now, **more)


# ------------------------------------------------------------------------------ time


@pytest.mark.parametrize(
    ("ms", "wait"),
    [(1000.0, 995.0), (3_600_000.0, 2500.0), (6.5, 1.5)],
)
def test_the_wait_is_the_remaining_time_and_at_most_that_of_the_class(ms, wait):
    for terms in (INSIDE, EDGE):
        assert decide(PropagatedBudget(ms=ms), terms).wait_ms == wait


@pytest.mark.parametrize("ms", [0.0, 3.0, 6.0])
def test_a_request_without_time_left_is_rejected(ms):
    assert decide(PropagatedBudget(ms=ms)) is Denial.OVER
    assert decide(requested=0.0) is Denial.OVER


def test_a_caller_without_a_deadline_gets_the_time_of_the_class():
    granted = decide()
    assert granted.wait_ms == 2500.0
    assert not granted.stated


def test_transit_time_is_subtracted_although_clocks_differ_by_an_hour():
    decider = Decider()
    for hour in (3_600_000.0, -3_600_000.0):
        mark = f"m{hour}"
        for _ in range(3):  # the shortest transit: 2 ms
            stamp = Stamp(mark, int(10_000_000 + hour))
            assert (
                decide(PropagatedBudget(ms=800.0, at=stamp), decider=decider, now=10_000_002.0).wait_ms
                == 795.0
            )
        late = Stamp(mark, int(10_000_000 + hour))
        granted = decide(PropagatedBudget(ms=800.0, at=late), decider=decider, now=10_000_302.0)
        assert granted.wait_ms == pytest.approx(495.0)
        assert decide(PropagatedBudget(ms=800.0, at=late), decider=decider, now=10_000_900.0) is Denial.OVER


def test_stamps_are_ignored_at_the_edge():
    decider = Decider()
    decide(PropagatedBudget(ms=800.0, at=Stamp("x", 0)), EDGE, decider=decider)
    assert (
        decide(PropagatedBudget(ms=800.0, at=Stamp("x", 0)), EDGE, decider=decider, now=700.0).wait_ms
        == 795.0
    )


def test_clock_jumps_and_drift_do_not_make_requests_look_expired():
    elapsed = Elapsed()
    assert elapsed.excess_ms(Stamp("m", 1000), 1002.0) == 0.0
    assert elapsed.excess_ms(Stamp("m", 1000), 1002.0 + MAX_EXCESS_MS + 1) == 0.0
    now, sent = 0.0, 0.0
    for _ in range(4000):  # 100 parts in a million, for over an hour
        now, sent = now + 1000.0, sent + 999.9
        late = elapsed.excess_ms(Stamp("n", int(sent)), now)
        assert late <= 2 * WINDOW_MS * 0.0001 + 1.0


def test_the_number_of_remembered_writers_is_bounded():
    elapsed = Elapsed()
    for at in range(3 * MAX_WRITERS):
        elapsed.excess_ms(Stamp(f"m{at}", 0), 0.0)
    assert len(elapsed._writers) == MAX_WRITERS


# -------------------------------------------------------------------------- attempts


def attempts_at_last_tier(rng: Random, carried: PropagatedBudget, depth: int) -> int:
    """Attempts at the last tier for one call if every attempt fails and each tier uses all its attempts."""
    granted = decide(
        carried, ListenerTerms(f"n{depth}-{rng.random()}", Trust.INSIDE, extra=rng.randint(0, 9))
    )
    assert isinstance(granted, Grant)
    total = 0
    for _ in range(granted.attempts):
        onward = granted.budget_for_attempt(0.0, "m", 900.0, None, "x")
        total += 1 if depth == 0 else attempts_at_last_tier(rng, onward, depth - 1)
    return total


@pytest.mark.parametrize("extra", range(6))
def test_the_attempts_of_all_tiers_are_at_most_one_plus_extra(extra):
    for seed in range(30):
        rng = Random(seed)
        for depth in range(6):
            made = attempts_at_last_tier(rng, PropagatedBudget(extra=extra, ms=1000.0), depth)
            assert made <= 1 + extra
            if depth == 0:
                assert made <= 1 + (extra + 1) // 2


def test_a_marked_retry_gets_no_new_allowance():
    for carried in (PropagatedBudget(marked_retry=True, extra=9), PropagatedBudget(attempt=2, extra=9)):
        for terms in (INSIDE, EDGE):
            granted = decide(carried, terms)
            assert granted.attempts == 1
            assert granted.is_retry
            assert granted.budget_for_attempt(0.0, "m", 9.0, None, "x").extra == 0
            assert granted.budget_for_attempt(0.0, "m", 9.0, None, "x").attempt >= 2


def test_later_attempts_carry_their_number_to_the_next_tier():
    granted = decide()
    assert granted.budget_for_attempt(0.0, "m", 900.0, None, "x").attempt == 1
    assert granted.budget_for_attempt(0.0, "m", 900.0, None, "x").attempt == 2
    assert Allowance(1, 1).next_attempt() == (1, 1)


def test_only_an_inside_listener_accepts_a_retry_as_paid():
    assert decide(PropagatedBudget(attempt=2)).paid
    assert not decide(PropagatedBudget(attempt=2), EDGE).paid
    assert decide(PropagatedBudget(attempt=2), EDGE).is_retry


# --------------------------------------------------------------- values not accepted


def test_no_caller_can_raise_worth_time_or_attempts_or_claim_a_tenant():
    excessive = PropagatedBudget(ms=1e7, extra=99, worth=1e6, tenant="hotels", id="x", attempt=1)
    ignored: list[str] = []
    granted = decide(excessive, EDGE, on_ignored=ignored.append)
    assert (granted.wait_ms, granted.attempts, granted.worth) == (2500.0, 2, None)
    assert (granted.tenant, granted.id) == (None, None)
    assert sorted(ignored) == ["id at the edge", "tenant at the edge", "worth at the edge"]
    granted = decide(excessive, INSIDE)
    assert (granted.wait_ms, granted.attempts, granted.worth) == (2500.0, 2, 12.0)
    assert (granted.tenant, granted.id) == ("hotels", "x")
    assert decide(PropagatedBudget(tenant="nobody"), INSIDE).tenant is None
    assert decide(PropagatedBudget(worth=0.5), INSIDE).worth == 0.5


# ------------------------------------------------------------------------------ loops


@pytest.mark.parametrize("terms", [INSIDE, EDGE])
@pytest.mark.parametrize(
    "carried",
    [
        PropagatedBudget(path=("post",)),
        PropagatedBudget(path=("front", "post", "archive")),
        PropagatedBudget(passed_nodes=frozenset({"post"})),
    ],
)
def test_a_returning_request_is_rejected_whichever_header_shows_it(terms, carried):
    assert decide(carried, terms) is Denial.LOOP


def test_revisits_are_allowed_by_configuration():
    twice = ListenerTerms("post", Trust.INSIDE, revisits=1)
    assert isinstance(decide(PropagatedBudget(path=("post", "front")), twice), Grant)
    assert decide(PropagatedBudget(path=("post", "front", "post")), twice) is Denial.LOOP


def test_the_path_ends_with_this_node_and_has_at_most_32_names():
    assert decide(PropagatedBudget(path=("front",))).path == ("front", "post")
    assert len(decide(PropagatedBudget(path=tuple(f"n{at}" for at in range(32)))).path) == 32


# ---------------------------------------------------------------------------- patience


def test_patience_is_learned_from_disconnects_among_many_answered_requests():
    patience = CallerTimeout()
    for _ in range(200):
        patience.record_response(30.0)
    assert patience.ms is None
    for _ in range(MIN_OBSERVATIONS + 20):
        patience.record_disconnect(1000.0)
    assert patience.ms == pytest.approx(1050.0)


def test_two_kinds_of_callers_give_the_longer_time():
    patience = CallerTimeout()
    for _ in range(40):
        patience.record_disconnect(500.0)
        patience.record_disconnect(2000.0)
    assert patience.ms == pytest.approx(2100.0)


def test_the_estimate_follows_callers_that_become_more_patient():
    patience = CallerTimeout()
    for _ in range(40):
        patience.record_disconnect(500.0)
    assert patience.ms == pytest.approx(525.0)
    for _ in range(600):  # answered with any status before they disconnected
        patience.record_response(520.0)
    assert patience.ms is None


def test_stated_times_apply_where_no_caller_has_disconnected():
    patience = CallerTimeout()
    for _ in range(3 * MIN_OBSERVATIONS):
        patience.stated(800.0)
    assert patience.ms == pytest.approx(840.0)


def test_learned_patience_limits_callers_without_a_deadline():
    decider = Decider()
    for _ in range(60):
        decider.caller_timeout("read").record_disconnect(700.0)
    assert decide(decider=decider).wait_ms == pytest.approx(735.0)
    assert decide(requested=1500.0, decider=decider).wait_ms == 1500.0
    assert decide(terms=ListenerTerms("post", learn=False), decider=decider).wait_ms == 2500.0
    for _ in range(600):
        decider.caller_timeout("read").record_disconnect(60_000.0)
    assert decide(decider=decider).wait_ms == 2500.0
