"""Priority levels, localities, weights and panic mode: shares as xDS defines them, computed and as decided."""

from __future__ import annotations

from collections import Counter, deque

import pytest
from helpers import settings

from loadbalancer import interface as api
from loadbalancer.balancer import Balancer
from loadbalancer.interface import ListForm, Membership, ServerState
from loadbalancer.priority_levels import build_groups, level_loads

UP, DEGRADED, SICK, DRAINING = ServerState.UP, ServerState.DEGRADED, ServerState.SICK, ServerState.DRAINING


@pytest.mark.parametrize(
    ("healthy", "degraded", "loads", "spared"),
    [
        # Tables of the Envoy documentation: healthy share of each level, and its load.
        ([1.0, 1.0], [0, 0], [1.0, 0.0], [0, 0]),
        ([0.72, 1.0], [0, 0], [1.0, 0.0], [0, 0]),
        ([0.71, 1.0], [0, 0], [0.994, 0.006], [0, 0]),
        ([0.50, 1.0], [0, 0], [0.70, 0.30], [0, 0]),
        ([0.25, 1.0], [0, 0], [0.35, 0.65], [0, 0]),
        ([0.0, 1.0], [0, 0], [0.0, 1.0], [0, 0]),
        ([0.25, 0.25], [0, 0], [0.50, 0.50], [0, 0]),
        ([0.05, 0.05], [0, 0], [0.50, 0.50], [0, 0]),
        ([1.0, 0.0, 0.0], [0, 0, 0], [1.0, 0.0, 0.0], [0, 0, 0]),
        ([0.25, 0.25, 1.0], [0, 0, 0], [0.35, 0.35, 0.30], [0, 0, 0]),
        ([0.0, 0.0], [0, 0], [1.0, 0.0], [0, 0]),
        # Degraded servers come after all healthy ones.
        ([0.5], [0.5], [0.70], [0.30]),
        ([0.0], [1.0], [0.0], [1.0]),
        ([0.5, 0.0], [0.0, 1.0], [0.70, 0.0], [0.0, 0.30]),
    ],
)
def test_loads_of_levels_are_those_of_the_documentation(healthy, degraded, loads, spared):
    found = level_loads(healthy, degraded, 1.4)
    assert found[0] == pytest.approx(loads)
    assert found[1] == pytest.approx(spared)


def rows(*groups: tuple[int, ServerState, dict]) -> tuple[api.Server, ...]:
    """Return groups of servers (count, state, other fields), named by group and number."""
    return tuple(
        api.Server(f"{at}-{number}", state=state, **more)
        for at, (count, state, more) in enumerate(groups)
        for number in range(count)
    )


def calls_by_server(servers, levels=None, count=100_000, open_at_once=400, **more) -> Counter[str]:
    """Send `count` requests, with up to `open_at_once` in flight, and count them by server."""
    kind = api.ServiceClass("read", aim_ms=1e9, give_up_ms=2e9, effect=api.Effect.SAFE)
    brain = Balancer(settings(classes=(kind,), zone="", siblings=1, **more), seed=7, now_ms=0.0)
    brain.handle(0.0, Membership(ListForm.FULL, servers, levels or api.Levels()))
    brain.threshold = lambda worth, ready: 1e9  # admits all requests
    counts: Counter[str] = Counter()
    in_flight: deque[tuple[str, str, float]] = deque()
    for number in range(count):
        now = float(number)
        for act in brain.handle(now, api.Request(f"r{number}", "read", 1e9)):
            if isinstance(act, api.Send):
                counts[act.server] += 1
                in_flight.append((act.id, act.server, now))
            elif isinstance(act, api.Refuse):
                counts["refused"] += 1
        if len(in_flight) > open_at_once:
            name, server, sent = in_flight.popleft()
            brain.handle(now, api.Outcome(name, 0, server, api.Result.OK, now - sent, True))
    return counts


def shares(counts: Counter[str]) -> dict[str, float]:
    """Return the share of each group of servers, by the prefix of the names."""
    total: Counter[str] = Counter()
    for name, count in counts.items():
        total[name.split("-")[0]] += count
    call_count = sum(counts.values())
    return {name: count / call_count for name, count in total.items()}


def test_calls_are_distributed_by_weight():
    counts = calls_by_server(
        rows((4, UP, {"weight": 1.0}), (2, UP, {"weight": 2.0}), (1, UP, {"weight": 4.0}))
    )
    call_count = sum(counts.values())
    assert call_count == 100_000
    for name, count in counts.items():
        weight = {"0": 1, "1": 2, "2": 4}[name.split("-")[0]]
        assert count / call_count == pytest.approx(weight / 12, abs=0.02)


@pytest.mark.parametrize(
    ("servers", "expected"),
    [
        (rows((10, UP, {}), (10, UP, {"priority": 1})), {"0": 1.0}),
        (rows((5, UP, {}), (5, SICK, {}), (10, UP, {"priority": 1})), {"0": 0.70, "2": 0.30}),
        (rows((5, UP, {}), (5, DRAINING, {}), (10, UP, {"priority": 1})), {"0": 0.70, "2": 0.30}),
        (rows((10, SICK, {}), (10, UP, {"priority": 1})), {"1": 1.0}),
        (rows((5, UP, {}), (5, DEGRADED, {})), {"0": 0.70, "1": 0.30}),
        (rows((10, UP, {}), (5, DEGRADED, {})), {"0": 0.9333, "1": 0.0667}),
        (rows((5, UP, {}), (5, UP, {"weight": 0.0}), (5, UP, {"priority": 1})), {"0": 1.0}),
    ],
)
def test_load_spills_over_between_levels_as_xds_defines(servers, expected):
    found = shares(calls_by_server(servers))
    assert found.keys() == expected.keys()
    for name, share in expected.items():
        assert found[name] == pytest.approx(share, abs=0.02)


def test_panic_mode_uses_all_servers_except_draining_ones():
    found = shares(calls_by_server(rows((1, UP, {}), (9, SICK, {}), (2, DRAINING, {}))))
    assert found["0"] == pytest.approx(0.1, abs=0.02)
    assert found["1"] == pytest.approx(0.9, abs=0.02)
    assert "2" not in found


def test_without_a_panic_threshold_healthy_servers_get_all_calls():
    found = shares(calls_by_server(rows((1, UP, {}), (9, SICK, {})), api.Levels(panic=0.0)))
    assert found == {"0": 1.0}


def test_the_weight_of_a_locality_is_reduced_if_few_of_its_servers_are_usable():
    one = {"locality": "x", "locality_weight": 1.0}
    two = {"locality": "y", "locality_weight": 2.0}
    found = shares(calls_by_server(rows((3, UP, one), (5, UP, two))))
    assert found["0"] == pytest.approx(1 / 3, abs=0.02)
    # Half of y is unhealthy: its weight is 2 x 1.4 x 0.5.
    found = shares(calls_by_server(rows((4, UP, one), (5, UP, two), (5, SICK, two))))
    assert found["0"] == pytest.approx(1 / 2.4, abs=0.02)
    none = {"locality": "z", "locality_weight": 0.0}
    assert shares(calls_by_server(rows((4, UP, one), (5, UP, none)))) == {"0": 1.0}


def test_the_drop_share_of_requests_is_rejected():
    counts = calls_by_server(rows((5, UP, {})), api.Levels(drop=0.25))
    assert counts["refused"] / 100_000 == pytest.approx(0.25, abs=0.02)


def test_requests_are_rejected_without_usable_servers():
    for servers in (rows((3, DRAINING, {})), rows((3, UP, {"weight": 0.0})), ()):
        assert set(calls_by_server(servers, count=100)) == {"refused"}


def test_a_retry_uses_the_next_level_if_its_level_has_no_other_server():
    brain = Balancer(settings(zone="", siblings=1), seed=7, now_ms=0.0)
    brain.handle(0.0, Membership(ListForm.FULL, rows((1, UP, {}), (1, UP, {"priority": 1})), api.Levels()))
    (first,) = [
        act for act in brain.handle(1.0, api.Request("q", "read", 2000.0)) if isinstance(act, api.Send)
    ]
    assert first.server == "0-0"
    acts = brain.handle(2.0, api.Outcome("q", 0, "0-0", api.Result.ERROR, 1.0, False))
    assert [act.server for act in acts if isinstance(act, api.Send)] == ["1-0"]


def test_a_cold_server_that_gets_all_weight_is_not_overloaded():
    """Guard: as the only server with weight, its share of an average server's calls was that of all calls."""
    kind = api.ServiceClass("read", aim_ms=1000, give_up_ms=2500, effect=api.Effect.SAFE)
    more = {"cold_from": 0.14, "cold_ms": 20_000.0, "overload_factor": 4.0}
    for old in (rows((10, UP, {"weight": 0.0})), ()):
        brain = Balancer(settings(classes=(kind,), zone="", siblings=1, **more), seed=7, now_ms=0.0)
        brain.threshold = lambda worth, ready: 1e9
        brain.handle(0.0, Membership(ListForm.FULL, rows((10, UP, {})), api.Levels()))
        cold = api.Server("cold", launched_ms=1000.0)
        brain.handle(1000.0, Membership(ListForm.FULL, (*old, cold), api.Levels()))
        sent = 0
        for number in range(10_000):
            acts = brain.handle(1000.0 + number * 0.01, api.Request(f"r{number}", "read", 1e9))
            sent += sum(1 for act in acts if isinstance(act, api.Send))
        # An average server got a tenth of the calls; the limit for the cold one is 4 x 0.14 of that.
        assert 0 < sent < 10_000 / 10 * 4 * 0.14


def test_the_list_of_one_level_is_ranked_as_a_list_without_levels():
    plain = Balancer(settings(zone=""), seed=7, now_ms=0.0)
    plain.handle(0.0, Membership(ListForm.FULL, rows((5, UP, {}))))
    groups = build_groups([(server, server.address) for server in rows((5, UP, {}))], api.Levels())
    assert [(group.share, group.members) for group in groups] == [(1.0, [f"0-{at}" for at in range(5)])]
    assert [peer.info.address for peer in plain.ready] == groups[0].members
