"""Selection of the servers of a large pool that are ranked for a call."""

from __future__ import annotations

import math
from collections import Counter
from random import Random

import attrs
import pytest

from emberring.admission import Admission, AdmissionSettings, Admitted, CallInfo
from emberring.admission.candidates import (
    RANK_ALL_UP_TO,
    SAMPLED_ANY,
    SAMPLED_CONNECTED,
    candidates,
    sampling_weights,
    still_running_share,
)
from emberring.admission.server import ServerView
from emberring.distribution.records import ServerRecord, ServerState
from emberring.registry.known_load import KnownLoad

STILL_RUNNING = 0.75  # share of the reported calls


def record(number: int) -> ServerRecord:
    return ServerRecord(f"s{number}", "llm", f"10.0.0.1:{number}", "a", 12, ServerState.READY, 1)


def views(count: int) -> list[ServerView]:
    return [ServerView(record(number), 0.0) for number in range(count)]


def never(server_id: str) -> bool:
    return False


def test_a_small_pool_is_ranked_completely() -> None:
    servers = views(RANK_ALL_UP_TO)
    assert candidates(servers, (), never, Random(1), STILL_RUNNING) == servers


@pytest.mark.parametrize("connected", [0, 1, SAMPLED_CONNECTED, 40])
def test_a_large_pool_is_sampled_with_preferred_servers_always_included(connected: int) -> None:
    servers = views(50)
    for seed in range(200):
        sampled = candidates(
            servers,
            ("s3", "s49"),
            lambda server_id: int(server_id[1:]) < connected,
            Random(seed),
            STILL_RUNNING,
        )
        ids = [one.record.id for one in sampled]
        assert len(set(ids)) == len(ids) <= SAMPLED_CONNECTED + SAMPLED_ANY + 2
        assert {"s3", "s49"} <= set(ids)
        expected_connected = min(connected, SAMPLED_CONNECTED)
        assert sum(int(server_id[1:]) < connected for server_id in ids) >= expected_connected


def test_every_server_of_a_large_pool_is_sampled_sometimes() -> None:
    servers = views(50)
    sampled = {
        one.record.id
        for seed in range(400)
        for one in candidates(servers, (), lambda server_id: server_id == "s1", Random(seed), STILL_RUNNING)
    }
    assert len(sampled) == 50


def test_gateways_with_the_same_stale_report_do_not_all_choose_the_idlest_server() -> None:
    records = [record(number) for number in range(40)]
    reported = {one.id: 9 for one in records} | {"s7": 0}
    chosen: Counter[str] = Counter()
    for seed in range(200):
        admission = Admission(AdmissionSettings(), seed=seed, connected=never)
        admission.set_servers(0.0, records, {}, 200, KnownLoad(reported))
        decision = admission.offer(0.0, CallInfo("c", "llm", "r", tokens_in=500, tokens_out=100))
        assert isinstance(decision, Admitted)
        chosen[decision.server_id] += 1
    assert chosen["s7"] < 200 * 0.2


def test_a_server_full_of_other_gateways_calls_gets_no_calls() -> None:
    records = [record(number) for number in range(6)]
    admission = Admission(AdmissionSettings(), seed=1)
    admission.set_servers(0.0, records, {}, 75, KnownLoad({one.id: 4 for one in records} | {"s0": 14}))
    for number in range(12):
        decision = admission.offer(0.0, CallInfo(f"c{number}", "llm", "r", tokens_in=500, tokens_out=100))
        assert isinstance(decision, Admitted)
        assert decision.server_id != "s0"
        admission.started(0.0, f"c{number}", decision.server_id)
        admission.first_event(0.01, f"c{number}")


def with_reported_loads(servers: list[ServerView], loads: list[float]) -> list[ServerView]:
    for server, load in zip(servers, loads, strict=True):
        server.update_other_calls(0.0, load)
    return servers


@pytest.mark.parametrize(
    ("loads", "least", "most"),
    [
        ([6.0] * 20, 0.9, 1.1),  # equal loads: equal weights
        ([0.0, 12.0] * 10, 8.0, math.inf),  # idle servers get nearly all calls
        ([5.0, 7.0] * 10, 1.5, 4.0),  # a small difference in load has a small effect
        ([0.0] * 20, 0.9, 1.1),  # no load at all
    ],
)
def test_sampling_follows_the_expected_free_capacity(loads: list[float], least: float, most: float) -> None:
    weights = sampling_weights(with_reported_loads(views(20), loads), STILL_RUNNING)
    assert least <= weights[0] / weights[1] <= most


def test_a_server_that_looks_full_is_sampled_rarely_but_sampled() -> None:
    weights = sampling_weights(with_reported_loads(views(20), [40.0] + [6.0] * 19), STILL_RUNNING)
    assert 0.0 < weights[0] < 0.2 * weights[1]


def test_a_larger_server_is_sampled_in_proportion_to_its_slots() -> None:
    servers = with_reported_loads(views(20), [4.0] * 20)
    servers[0].record = attrs.evolve(servers[0].record, capacity=24)
    servers[0].update_other_calls(0.0, 8.0)
    weights = sampling_weights(servers, STILL_RUNNING)
    assert weights[0] == pytest.approx(2 * weights[1])


def test_calls_that_have_ended_since_are_subtracted_from_the_report() -> None:
    """The shorter the calls, the less influence a report has, because more of the reported calls have ended."""
    servers = with_reported_loads(views(20), [4.0, 8.0] * 10)
    short = sampling_weights(servers, still_running_share(0.3, 0.1))
    long = sampling_weights(servers, still_running_share(0.3, 10.0))
    assert short[0] / short[1] == pytest.approx(1.0, abs=0.1)
    assert long[0] / long[1] > 2.0


@pytest.mark.parametrize(
    ("age_s", "slot_time_s", "least", "most"),
    [
        (0.0, 1.0, 0.85, 0.95),
        (0.2, 1.0, 0.8, 0.85),
        (1.0, 1.0, 0.3, 0.4),
        (math.inf, 1.0, 0.0, 0.0),
        (0.2, 0.0, 0.0, 0.0),
    ],
)
def test_the_share_of_calls_still_running_falls_with_the_age_of_the_report(
    age_s: float, slot_time_s: float, least: float, most: float
) -> None:
    assert least <= still_running_share(age_s, slot_time_s) <= most
