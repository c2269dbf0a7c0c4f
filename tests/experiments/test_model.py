"""The simulation: agreement with closed formulas of queueing theory, determinism, and the effects of troubles."""

from __future__ import annotations

import math
from heapq import heappop, heappush
from typing import Any

import orjson
import pytest
from hypothesis import given
from hypothesis import settings as examples
from hypothesis import strategies as st
from laboratory import plan

from loadbalancer.experiments import draws
from loadbalancer.experiments.experiment import Experiment, Policy, Service
from loadbalancer.experiments.library import load, shipped
from loadbalancer.experiments.policies import LIMITS, PICKERS
from loadbalancer.experiments.servers import Server
from loadbalancer.experiments.world import World, service_times
from loadbalancer.interface import Result

POLICIES = [Policy(name=pick, pick=pick) for pick in ("ours", "peak_ewma", "omniscient")]  # type: ignore[arg-type]


def erlang_c(cores: int, load: float) -> float:
    """The probability of waiting in an M/M/c queue with a load of so many erlangs."""
    terms = [load**n / math.factorial(n) for n in range(cores)]
    last = load**cores / math.factorial(cores) * cores / (cores - load)
    return last / (sum(terms) + last)


MEAN = 10.0


def m_m_c(cores: int, rho: float) -> float:
    return erlang_c(cores, rho * cores) * MEAN / (cores * (1.0 - rho))


def m_g_1(rho: float, cv: float) -> float:
    """The mean wait by the Pollaczek-Khinchine formula."""
    return rho * MEAN * (1.0 + cv * cv) / (2.0 * (1.0 - rho))


@pytest.mark.parametrize(
    ("cores", "rho", "service", "wait"),
    [
        (1, 0.6, Service(mean_ms=MEAN), m_m_c(1, 0.6)),
        (4, 0.8, Service(mean_ms=MEAN), m_m_c(4, 0.8)),
        (16, 0.8, Service(mean_ms=MEAN), m_m_c(16, 0.8)),
        (1, 0.6, Service(kind="fixed", mean_ms=MEAN), m_g_1(0.6, 0.0)),
        (1, 0.5, Service(kind="lognormal", mean_ms=MEAN, cv=1.5), m_g_1(0.5, 1.5)),
        (1, 0.6, Service(kind="bimodal", mean_ms=5.0, slow_ms=55.0, slow_share=0.1), m_g_1(0.6, 1.5)),
        (1, 0.6, Service(kind="histogram", values_ms=[5.0, 55.0], weights=[9, 1]), m_g_1(0.6, 1.5)),
    ],
    ids=lambda value: value.kind if isinstance(value, Service) else "",
)
def test_mean_waits_agree_with_the_formulas(cores, rho, service, wait):
    """Within 2%; Little's law is checked too."""
    server, gap = Server("s", cores=cores), draws.exponential(7, "gaps")
    times, mean_gap = service_times(service, 7, "times"), MEAN / cores / rho
    now = waited = held = area = last = 0.0
    inside: list[float] = []
    calls = 600_000
    for _ in range(calls):
        now += gap() * mean_gap
        taken = server.accept(now, times())
        waited += taken.begins - now
        held += taken.ends - now
        while inside and inside[0] <= now:
            ends = heappop(inside)
            area += (len(inside) + 1) * (ends - last)
            last = ends
        area += len(inside) * (now - last)
        last = now
        heappush(inside, taken.ends)
    assert waited / calls == pytest.approx(wait, rel=0.02)
    # Little's law: the mean number of calls in the server is the rate times the mean time of a call.
    assert area / now == pytest.approx(calls / now * held / calls, rel=0.002)


@pytest.mark.parametrize("policy", POLICIES, ids=lambda policy: policy.name)
@pytest.mark.parametrize("name", sorted(set(shipped()) - {"many-nodes"}))
def test_each_shipped_experiment_is_deterministic_and_ends_each_request_once(name, policy):
    whole = load(name)
    # The whole experiment, compressed in time: troubles keep their relative times.
    share = 0.8 / whole.seconds
    data = whole.model_dump(exclude={"sweep", "policies"}) | {"seconds": 0.8, "warm_s": 0.0}
    for row in data["troubles"]:
        row["at_s"] *= share
        row["until_s"] = row["until_s"] and row["until_s"] * share
    small = Experiment.model_validate(data)
    worlds = [World(small, policy, 3) for _ in range(2)]
    first, second = (orjson.dumps(world.run()) for world in worlds)
    assert first == second
    world = worlds[0]
    for counts in orjson.loads(first)["classes"].values():
        ends = sum(counts[how] for how in ("in_time", "late", "refused", "failed"))
        assert ends == counts["due"]  # in time or not, each request has one end
    # The calls that servers accepted are among the attempts, and their times in servers include the busy time.
    assert sum(server.accepted for server in world.servers) <= world.recorder.attempts
    assert (
        world.time_in_servers_ms >= sum(server.busy_ms for server in world.servers) * 0.999
        or small.fleet.dependency
    )
    for server in world.servers:
        assert server.busy_ms <= server.cores * (world.end_ms + 60_000) * 10


@examples(max_examples=15)
@given(
    st.integers(1, 2**31),
    st.sampled_from(sorted(LIMITS)),
    st.sampled_from(sorted(PICKERS)),
    st.floats(0.2, 4.0),
)
def test_whatever_the_load_each_call_is_admitted_or_refused_at_once_and_ends_in_its_time(
    seed, limit, pick, load_
):
    small = plan(seconds=0.6, warm_s=0.0, load={"of_capacity": load_})
    world = World(small, Policy(name="p", pick=pick, limit=limit), seed)
    row = world.run()["classes"]["read"]
    assert row["due"] == row["in_time"] + row["late"] + row["refused"] + row["failed"]
    latest = row["latency_ms"]["p999"]
    assert latest is None or latest <= small.classes[0].give_up_ms * 1.002


def answered(policy: str, **more: Any) -> dict[str, Any]:
    found = World(plan(**more), Policy(name="p", pick=policy), 5).run()  # type: ignore[arg-type]
    return found | found["classes"]["read"]


TROUBLES: list[tuple[str, dict[str, Any], str]] = [
    ("slow", {"servers": 6, "factor": 20.0}, "late failed refused"),
    ("stalled", {"servers": 6}, "late failed refused"),
    ("failing", {"servers": 6, "factor": 100.0}, "failed refused"),
    ("refusing", {"servers": 6}, "refused"),
    ("restart", {"servers": 6}, "failed refused"),
    ("zone_lost", {"zone": "a"}, "failed refused"),
    ("list_empty", {}, "refused"),
    ("node_killed", {"servers": 2}, "failed"),
]


@pytest.mark.parametrize("policy", ["ours", "two_choices"])
@pytest.mark.parametrize(("kind", "more", "how"), TROUBLES, ids=[row[0] for row in TROUBLES])
def test_a_trouble_of_the_whole_fleet_shows_in_the_figures_and_ends(kind, more, how, policy):
    fleet = {"servers": 6, "cores": 2, "nodes": 2, "cold_ms": 0.0, "list_late_ms": 10.0}
    trouble = {"kind": kind, "at_s": 1.5} | more
    if kind not in ("restart", "node_killed"):
        trouble["until_s"] = 2.0
    quiet = answered(policy, fleet=fleet, seconds=9.0, load={"of_capacity": 0.3})
    found = answered(policy, fleet=fleet, seconds=9.0, load={"of_capacity": 0.3}, troubles=[trouble])
    lost = sum(found[name] for name in how.split())
    assert lost > 0
    assert quiet["in_time"] == quiet["due"]
    # The service has recovered in the last second.
    assert found["seconds"][-1][2] >= 0.95 * found["seconds"][-1][1]


def test_a_partition_affects_calls_across_zones_only_and_retries_elsewhere_help():
    fleet = {"servers": 6, "cores": 2, "nodes": 4, "zones": ["a", "b"], "max_attempts": 1}
    trouble = {"kind": "partition", "at_s": 1.0, "until_s": 3.0, "zone": "b"}
    cut = answered("random", fleet=fleet, troubles=[trouble])
    tried = answered("random", fleet=fleet | {"max_attempts": 3}, troubles=[trouble])
    assert cut["failed"] > 0.2 * cut["due"] > tried["failed"]


def test_retrying_callers_respect_retry_after_and_callers_that_leave_are_counted():
    storm = {"of_capacity": 3.0, "repeats": {"most": 3, "backoff_ms": 20.0}}
    asked = {heed: World(plan(load=storm | {"repeats": storm["repeats"] | {"heed_retry_after": heed}}),  # type: ignore[operator]
                         Policy(name="ours"), 1) for heed in (True, False)}  # fmt: skip
    for world in asked.values():
        world.run()
    assert asked[True]._request_count < asked[False]._request_count
    patient, hasty = (answered("random", load={"of_capacity": 0.9, "patience_ms": ms}) for ms in (0.0, 15.0))
    assert hasty["failed"] > patient["failed"]


def test_a_closed_loop_has_at_most_one_request_in_flight_per_caller():
    world = World(
        plan(load={"kind": "closed", "callers": 9, "think_ms": 5.0}), Policy(name="p", pick="random"), 2
    )
    world.run()
    assert 0 < max(row["in_flight"] for row in world.recorder.samples) <= 9


def test_a_cold_server_crashes_under_a_warm_ones_share_but_not_with_ours():
    fleet = {
        "servers": 4,
        "cores": 2,
        "nodes": 2,
        "cold_ms": 20_000.0,
        "cold_from": 0.05,
        "overload_factor": 2.0,
    }
    more = {"fleet": fleet, "seconds": 14.0, "load": {"of_capacity": 0.7}}
    trouble = [{"kind": "restart", "at_s": 1.0, "servers": 1}]
    fell = {
        name: answered(name, troubles=trouble, **more)["servers"]["fell"] for name in ("round_robin", "ours")
    }
    assert fell["round_robin"] > 0 == fell["ours"]


def test_a_stalled_server_answers_late_to_callers_that_still_wait():
    world = World(plan(fleet={"servers": 1, "nodes": 1}, seconds=2.0), Policy(name="p", pick="random"), 1)
    call_ends: list[tuple[float, Result]] = []
    world.nodes[0].on_attempt_end = lambda now, attempt, result, ms: call_ends.append((now, result))  # type: ignore[method-assign]
    world._start_request(0.0, -1)
    world.schedule(1.0, world._stall, [0], 300.0)
    while world._heap:
        when, _, what, args = heappop(world._heap)
        what(when, *args)
    assert [result for _, result in call_ends] == [Result.OK]
    assert call_ends[0][0] >= 300.0


def test_a_zone_that_stopped_responding_is_used_again_after_its_return():
    """Static lists, few requests per node and retrying callers: the other zones are overloaded, and stay so unless
    nodes try the returned zone again."""
    shipped_one = load("zone-stopped")
    row = World(shipped_one, shipped_one.policies[0], 1).run()
    seconds = {second: (due, good) for second, due, good, *_ in row["seconds"]}
    after = [seconds[at] for at in range(28, 44)]
    assert sum(good for _, good in after) >= 0.98 * sum(due for due, _ in after)
    assert row["servers"]["fell"] == 0
