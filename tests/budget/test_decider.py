"""What a request may spend: never more than class and route allow, whatever it says."""

from __future__ import annotations

from random import Random

import pytest

from loadbalancer import interface as api
from loadbalancer.budget.carried import NOTHING, Carried, Stamp
from loadbalancer.budget.decider import Allowance, Decider, Denial, Grant, Terms, Trust
from loadbalancer.budget.elapsed import MOST_MS, STRETCH_MS, WRITERS, Elapsed
from loadbalancer.budget.patience import LEAST, Patience

KIND = api.ServiceClass("read", aim_ms=1000, give_up_ms=2500, worth=12, effect=api.Effect.SAFE)
INSIDE = Terms("post", Trust.INSIDE, extra=2, tenants=frozenset({"hotels"}))
EDGE = Terms("post", Trust.EDGE, extra=2, tenants=frozenset({"hotels"}))


def decide(carried: Carried = NOTHING, terms: Terms = INSIDE, asked=None, decider=None, now=0.0, **more):
    return (decider or Decider()).decide(terms, KIND, 2500.0, asked, carried, now, **more)


# ------------------------------------------------------------------------------ time


@pytest.mark.parametrize(
    ("ms", "wait"),
    [(1000.0, 995.0), (3_600_000.0, 2500.0), (6.5, 1.5)],
)
def test_the_time_for_this_hop_is_what_remains_and_never_more_than_the_class(ms, wait):
    for terms in (INSIDE, EDGE):
        assert decide(Carried(ms=ms), terms).wait_ms == wait


@pytest.mark.parametrize("ms", [0.0, 3.0, 6.0])
def test_what_has_no_time_left_is_not_begun(ms):
    assert decide(Carried(ms=ms)) is Denial.OVER
    assert decide(asked=0.0) is Denial.OVER


def test_a_caller_that_says_nothing_has_the_class_s_time():
    granted = decide()
    assert granted.wait_ms == 2500.0
    assert not granted.stated


def test_time_spent_before_the_call_is_taken_off_though_clocks_are_an_hour_apart():
    decider = Decider()
    for hour in (3_600_000.0, -3_600_000.0):
        mark = f"m{hour}"
        for _ in range(3):  # the shortest way: 2 ms
            stamp = Stamp(mark, int(10_000_000 + hour))
            assert decide(Carried(ms=800.0, at=stamp), decider=decider, now=10_000_002.0).wait_ms == 795.0
        late = Stamp(mark, int(10_000_000 + hour))
        granted = decide(Carried(ms=800.0, at=late), decider=decider, now=10_000_302.0)
        assert granted.wait_ms == pytest.approx(495.0)
        assert decide(Carried(ms=800.0, at=late), decider=decider, now=10_000_900.0) is Denial.OVER


def test_at_the_edge_no_stamp_is_believed():
    decider = Decider()
    decide(Carried(ms=800.0, at=Stamp("x", 0)), EDGE, decider=decider)
    assert decide(Carried(ms=800.0, at=Stamp("x", 0)), EDGE, decider=decider, now=700.0).wait_ms == 795.0


def test_a_clock_that_jumps_or_drifts_does_not_make_requests_look_over():
    elapsed = Elapsed()
    assert elapsed.since(Stamp("m", 1000), 1002.0) == 0.0
    assert elapsed.since(Stamp("m", 1000), 1002.0 + MOST_MS + 1) == 0.0
    now, sent = 0.0, 0.0
    for _ in range(4000):  # 100 parts in a million, for over an hour
        now, sent = now + 1000.0, sent + 999.9
        late = elapsed.since(Stamp("n", int(sent)), now)
        assert late <= 2 * STRETCH_MS * 0.0001 + 1.0


def test_writers_that_come_and_go_are_bounded():
    elapsed = Elapsed()
    for at in range(3 * WRITERS):
        elapsed.since(Stamp(f"m{at}", 0), 0.0)
    assert len(elapsed._writers) == WRITERS


# -------------------------------------------------------------------------- attempts


def tree(rng: Random, carried: Carried, depth: int) -> int:
    """Attempts at the last tier of a call for which every attempt fails and each tier does all it may."""
    granted = decide(carried, Terms(f"n{depth}-{rng.random()}", Trust.INSIDE, extra=rng.randint(0, 9)))
    assert isinstance(granted, Grant)
    total = 0
    for _ in range(granted.attempts):
        onward = granted.carry(0.0, "m", 900.0, None, "x")
        total += 1 if depth == 0 else tree(rng, onward, depth - 1)
    return total


@pytest.mark.parametrize("extra", range(6))
def test_the_attempts_of_all_tiers_together_stay_within_one_and_the_extra(extra):
    for seed in range(30):
        rng = Random(seed)
        for depth in range(6):
            made = tree(rng, Carried(extra=extra, ms=1000.0), depth)
            assert made <= 1 + extra
            if depth == 0:
                assert made <= 1 + (extra + 1) // 2


def test_a_caller_that_asks_again_brings_no_new_allowance():
    for carried in (Carried(asked_again=True, extra=9), Carried(attempt=2, extra=9)):
        for terms in (INSIDE, EDGE):
            granted = decide(carried, terms)
            assert granted.attempts == 1
            assert granted.is_retry
            assert granted.carry(0.0, "m", 9.0, None, "x").extra == 0
            assert granted.carry(0.0, "m", 9.0, None, "x").attempt >= 2


def test_an_attempt_after_the_first_says_so_to_the_next_tier():
    granted = decide()
    assert granted.carry(0.0, "m", 900.0, None, "x").attempt == 1
    assert granted.carry(0.0, "m", 900.0, None, "x").attempt == 2
    assert Allowance(1, 1).hand_on() == (1, 1)


def test_only_inside_is_a_repeat_held_to_be_paid_for():
    assert decide(Carried(attempt=2)).paid
    assert not decide(Carried(attempt=2), EDGE).paid
    assert decide(Carried(attempt=2), EDGE).is_retry


# --------------------------------------------------------------- what is not believed


def test_no_caller_buys_worth_time_tenant_or_attempts():
    rich = Carried(ms=1e7, extra=99, worth=1e6, tenant="hotels", id="x", attempt=1)
    told: list[str] = []
    granted = decide(rich, EDGE, on_other=told.append)
    assert (granted.wait_ms, granted.attempts, granted.worth) == (2500.0, 2, None)
    assert (granted.tenant, granted.id) == (None, None)
    assert sorted(told) == ["id at the edge", "tenant at the edge", "worth at the edge"]
    granted = decide(rich, INSIDE)
    assert (granted.wait_ms, granted.attempts, granted.worth) == (2500.0, 2, 12.0)
    assert (granted.tenant, granted.id) == ("hotels", "x")
    assert decide(Carried(tenant="nobody"), INSIDE).tenant is None
    assert decide(Carried(worth=0.5), INSIDE).worth == 0.5


# ------------------------------------------------------------------------------ loops


@pytest.mark.parametrize("terms", [INSIDE, EDGE])
@pytest.mark.parametrize(
    "carried",
    [
        Carried(path=("post",)),
        Carried(path=("front", "post", "archive")),
        Carried(seen=frozenset({"post"})),
    ],
)
def test_what_comes_back_is_refused_whoever_shows_it(terms, carried):
    assert decide(carried, terms) is Denial.LOOP


def test_coming_back_can_be_meant():
    twice = Terms("post", Trust.INSIDE, revisits=1)
    assert isinstance(decide(Carried(path=("post", "front")), twice), Grant)
    assert decide(Carried(path=("post", "front", "post")), twice) is Denial.LOOP


def test_a_path_goes_on_with_this_node_last_and_stays_readable():
    assert decide(Carried(path=("front",))).path == ("front", "post")
    assert len(decide(Carried(path=tuple(f"n{at}" for at in range(32)))).path) == 32


# ---------------------------------------------------------------------------- patience


def test_patience_is_learned_from_those_that_leave_among_many_that_are_answered():
    found = Patience()
    for _ in range(200):
        found.answered(30.0)
    assert found.ms is None
    for _ in range(LEAST + 20):
        found.left(1000.0)
    assert found.ms == pytest.approx(1050.0)


def test_two_kinds_of_callers_are_given_the_longer_time():
    found = Patience()
    for _ in range(40):
        found.left(500.0)
        found.left(2000.0)
    assert found.ms == pytest.approx(2100.0)


def test_callers_that_grow_more_patient_are_found_out():
    found = Patience()
    for _ in range(40):
        found.left(500.0)
    assert found.ms == pytest.approx(525.0)
    for _ in range(600):  # answered, well or badly, before they left
        found.answered(520.0)
    assert found.ms is None


def test_stated_times_count_where_nobody_has_left():
    found = Patience()
    for _ in range(3 * LEAST):
        found.stated(800.0)
    assert found.ms == pytest.approx(840.0)


def test_what_is_learned_bounds_callers_that_say_nothing_within_the_class():
    decider = Decider()
    for _ in range(60):
        decider.of("read").left(700.0)
    assert decide(decider=decider).wait_ms == pytest.approx(735.0)
    assert decide(asked=1500.0, decider=decider).wait_ms == 1500.0
    assert decide(terms=Terms("post", learn=False), decider=decider).wait_ms == 2500.0
    for _ in range(600):
        decider.of("read").left(60_000.0)
    assert decide(decider=decider).wait_ms == 2500.0
