"""Which servers of a large pool are ranked for a call."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest

from emberring.admission import Admission, AdmissionSettings, Admitted, CallInfo
from emberring.admission.candidates import ALL_RANKED, DRAWN_ANY, DRAWN_CONNECTED, candidates
from emberring.admission.server import ServerView
from emberring.distribution.facts import ServerFact, ServerState
from emberring.registry.known_load import KnownLoad


def fact(number: int) -> ServerFact:
    return ServerFact(f"s{number}", "llm", f"10.0.0.1:{number}", "a", 12, ServerState.READY, 1)


def views(count: int) -> list[ServerView]:
    return [ServerView(fact(number), 0.0) for number in range(count)]


def never(server_id: str) -> bool:
    return False


def test_a_small_pool_is_ranked_whole() -> None:
    servers = views(ALL_RANKED)
    assert candidates(servers, (), never, Random(1)) == servers


@pytest.mark.parametrize("connected", [0, 1, DRAWN_CONNECTED, 40])
def test_a_large_pool_is_ranked_in_part_homes_always(connected: int) -> None:
    servers = views(50)
    for seed in range(200):
        found = candidates(
            servers, ("s3", "s49"), lambda server_id: int(server_id[1:]) < connected, Random(seed)
        )
        ids = [one.fact.id for one in found]
        assert len(set(ids)) == len(ids) <= DRAWN_CONNECTED + DRAWN_ANY + 2
        assert {"s3", "s49"} <= set(ids)
        wanted = min(connected, DRAWN_CONNECTED)
        assert sum(int(server_id[1:]) < connected for server_id in ids) >= wanted


def test_every_server_of_a_large_pool_is_drawn_at_times() -> None:
    servers = views(50)
    drawn = {
        one.fact.id
        for seed in range(400)
        for one in candidates(servers, (), lambda server_id: server_id == "s1", Random(seed))
    }
    assert len(drawn) == 50


def test_gateways_with_the_same_late_sums_do_not_all_choose_the_idlest_server() -> None:
    facts = [fact(number) for number in range(40)]
    told = {one.id: 9 for one in facts} | {"s7": 0}
    chosen: Counter[str] = Counter()
    for seed in range(200):
        admission = Admission(AdmissionSettings(), seed=seed, connected=never)
        admission.set_servers(0.0, facts, {}, 200, KnownLoad(told))
        decision = admission.offer(0.0, CallInfo("c", "llm", "r", tokens_in=500, tokens_out=100))
        assert isinstance(decision, Admitted)
        chosen[decision.server_id] += 1
    assert chosen["s7"] < 200 * 0.2


def test_a_server_full_of_the_others_calls_is_left_alone() -> None:
    facts = [fact(number) for number in range(6)]
    admission = Admission(AdmissionSettings(), seed=1)
    admission.set_servers(0.0, facts, {}, 75, KnownLoad({one.id: 4 for one in facts} | {"s0": 14}))
    for number in range(12):
        decision = admission.offer(0.0, CallInfo(f"c{number}", "llm", "r", tokens_in=500, tokens_out=100))
        assert isinstance(decision, Admitted)
        assert decision.server_id != "s0"
        admission.started(0.0, f"c{number}", decision.server_id)
        admission.first_event(0.01, f"c{number}")
