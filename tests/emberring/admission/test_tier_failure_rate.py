"""Servers that fail some of the calls they take."""

from __future__ import annotations

import pytest

from emberring.admission import Admission, AdmissionSettings, Admitted, CallInfo, CallOutcome
from emberring.admission.failure_rate import TOLERATED_RATE, FailureRate
from emberring.distribution.records import ServerRecord, ServerState
from emberring.registry.known_load import NO_LOAD

GREY = "grey"
BAD = (CallOutcome.FAILED, CallOutcome.BROKEN)


def rate_after(ends: list[bool], seconds: float = 0.0) -> FailureRate:
    found = FailureRate()
    for failed in ends:
        found.record(0.0, failed)
    return found


@pytest.mark.parametrize(
    ("ends", "seconds", "costs"),
    [
        ([], 0.0, False),
        ([True], 0.0, False),  # one failure is chance
        ([True] + [False] * 9 + [True], 0.0, False),
        ([True, True], 0.0, True),
        ([False, True] * 10, 0.0, True),
        ([False, True] * 10, 30.0, False),  # forgotten
        ([True] * 20 + [False] * 40, 0.0, False),  # answered again
    ],
)
def test_which_failure_rates_cost(ends: list[bool], seconds: float, costs: bool) -> None:
    found = rate_after(ends)
    assert (found.cost_ms(seconds) > 0.0) is costs
    assert (found.rate(seconds) > TOLERATED_RATE) is costs
    assert 0.0 <= found.rate(seconds) <= 1.0


def play(admission: Admission, start: int, calls: int, bad: CallOutcome | None) -> list[str]:
    """Place calls one after another, each answered after 20 ms; every second one on the grey server fails.

    Returns the servers that got them.
    """
    used: list[str] = []
    for number in range(start, start + calls):
        now_s = number * 0.02
        call = CallInfo(id=f"c{number}", service="llm", route="r", tokens_in=500, tokens_out=200)
        decision = admission.offer(now_s, call)
        assert isinstance(decision, Admitted)
        used.append(decision.server_id)
        admission.started(now_s, call.id, decision.server_id)
        fails = bad is not None and decision.server_id == GREY and used.count(GREY) % 2 == 0
        if not fails:
            admission.first_event(now_s + 0.01, call.id)
        admission.finished(now_s + 0.02, call.id, bad if fails and bad else CallOutcome.COMPLETED)
    return used


@pytest.mark.parametrize("bad", BAD)
def test_a_server_that_fails_half_gets_few_calls_until_it_has_recovered(bad: CallOutcome) -> None:
    records = [
        ServerRecord(name, "llm", f"10.0.0.1:{port}", "a", 8, ServerState.READY, 1)
        for port, name in enumerate((GREY, "good-1", "good-2"), start=1)
    ]
    admission = Admission(AdmissionSettings(), seed=3)
    admission.set_servers(0.0, records, {}, 1, NO_LOAD)
    troubled = play(admission, 0, 900, bad)
    assert 0 < troubled.count(GREY) < 900 / 3 / 4
    play(admission, 900, 600, None)
    healthy = play(admission, 1500, 900, None)
    assert healthy.count(GREY) > 900 / 3 / 2
