"""Admission as a whole: what is taken, by which server, and what is refused."""

from __future__ import annotations

import pytest

from emberring.admission import (
    Admission,
    AdmissionSettings,
    Admitted,
    CallInfo,
    CallOutcome,
    NoServer,
    Refused,
)
from emberring.configuration.model import Service
from emberring.distribution.facts import ServerFact, ServerState

SERVICES = {"llm": Service("llm", max_connections=200, capacity=8, kv_cache_tokens=100_000, stride=20)}


def fact(name: str, state: ServerState = ServerState.READY, service: str = "llm") -> ServerFact:
    return ServerFact(name, service, f"10.0.0.1:{name[1:]}", "a", 8, state, 1)


def admission_of(*facts: ServerFact) -> Admission:
    admission = Admission(AdmissionSettings(), seed=1)
    admission.set_servers(0.0, facts, SERVICES, 1, {})
    return admission


def call(name: str, **more: object) -> CallInfo:
    return CallInfo(id=name, service="llm", route="r", tokens_in=500, tokens_out=200, **more)  # type: ignore[arg-type]


@pytest.mark.parametrize(
    "facts",
    [
        (),
        (fact("s1", ServerState.DRAINING),),
        (fact("s1", service="other"),),
    ],
)
def test_no_server(facts: tuple[ServerFact, ...]) -> None:
    assert admission_of(*facts).offer(0.0, call("c1")) == NoServer()


def test_an_excluded_server_is_not_picked() -> None:
    admission = admission_of(fact("s1"), fact("s2"))
    for at in range(6):
        decision = admission.offer(0.0, call(f"c{at}", excluded=frozenset({"s1"})))
        assert decision == Admitted("s2")


def test_nothing_is_refused_while_half_the_places_are_free() -> None:
    admission = admission_of(fact("s1"), fact("s2"))
    decisions = [admission.offer(0.0, call(f"c{at}")) for at in range(8)]
    assert all(isinstance(decision, Admitted) for decision in decisions)


def test_lots_are_held_back_before_live_calls_are_refused() -> None:
    admission = admission_of(fact("s1"), fact("s2"))
    taken = 0
    while isinstance(admission.offer(0.0, call(f"b{taken}", batch=True)), Admitted):
        taken += 1
    assert admission.batch_room(0.0) == 0
    assert taken < 16
    assert isinstance(admission.offer(0.0, call("live")), Admitted)


def test_a_full_pool_refuses_with_a_moment_to_come_back() -> None:
    admission = admission_of(fact("s1"))
    decisions = [admission.offer(0.0, call(f"c{at}")) for at in range(200)]
    refused = decisions[-1]
    assert isinstance(refused, Refused)
    assert refused.retry_after_s > 0.0


def test_a_finished_call_frees_its_place() -> None:
    admission = admission_of(fact("s1"))
    admission.offer(0.0, call("c1"))
    assert admission.in_flight() == {"s1": 1}
    admission.finished(1.0, "c1", CallOutcome.COMPLETED)
    admission.finished(1.0, "c1", CallOutcome.COMPLETED)
    assert admission.in_flight() == {"s1": 0}


def test_a_failed_server_is_avoided_for_a_while() -> None:
    admission = admission_of(fact("s1"), fact("s2"))
    first = admission.offer(0.0, call("c1"))
    assert isinstance(first, Admitted)
    admission.finished(0.0, "c1", CallOutcome.CONNECT_FAILED)
    other = {"s1": "s2", "s2": "s1"}[first.server_id]
    assert {admission.offer(0.1, call(f"d{at}")) for at in range(4)} == {Admitted(other)}
