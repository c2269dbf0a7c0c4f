"""The failure rate of a server, and its effect on server selection."""

from __future__ import annotations

import pytest

from emberring.admission import Admission, AdmissionSettings, Admitted, CallInfo, CallOutcome
from emberring.admission.failure_rate import TOLERATED_RATE, FailureRate
from emberring.distribution.records import ServerRecord, ServerState
from emberring.registry.known_load import NO_LOAD

UNHEALTHY = "grey"
FAILURES = (CallOutcome.FAILED, CallOutcome.BROKEN)


def rate_after(failures: list[bool], seconds: float = 0.0) -> FailureRate:
    failure_rate = FailureRate()
    for failed in failures:
        failure_rate.record(0.0, failed)
    return failure_rate


@pytest.mark.parametrize(
    ("failures", "seconds", "costs"),
    [
        ([], 0.0, False),
        ([True], 0.0, False),  # a single failure is tolerated
        ([True] + [False] * 9 + [True], 0.0, False),
        ([True, True], 0.0, True),
        ([False, True] * 10, 0.0, True),
        ([False, True] * 10, 30.0, False),  # the rate has decayed
        ([True] * 20 + [False] * 40, 0.0, False),  # the server has recovered
    ],
)
def test_which_failure_rates_cost(failures: list[bool], seconds: float, costs: bool) -> None:
    failure_rate = rate_after(failures)
    assert (failure_rate.cost_ms(seconds) > 0.0) is costs
    assert (failure_rate.rate(seconds) > TOLERATED_RATE) is costs
    assert 0.0 <= failure_rate.rate(seconds) <= 1.0


def run_calls(admission: Admission, start: int, calls: int, failure: CallOutcome | None) -> list[str]:
    """Run calls one after another, 20 ms each; every second call at the unhealthy server fails.

    Returns the server of each call.
    """
    servers: list[str] = []
    for number in range(start, start + calls):
        now_s = number * 0.02
        call = CallInfo(id=f"c{number}", service="llm", route="r", tokens_in=500, tokens_out=200)
        decision = admission.offer(now_s, call)
        assert isinstance(decision, Admitted)
        servers.append(decision.server_id)
        admission.started(now_s, call.id, decision.server_id)
        fails = failure is not None and decision.server_id == UNHEALTHY and servers.count(UNHEALTHY) % 2 == 0
        if not fails:
            admission.first_event(now_s + 0.01, call.id)
        admission.finished(now_s + 0.02, call.id, failure if fails and failure else CallOutcome.COMPLETED)
    return servers


@pytest.mark.parametrize("failure", FAILURES)
def test_a_server_that_fails_half_of_its_calls_gets_few_calls_until_it_recovers(failure: CallOutcome) -> None:
    records = [
        ServerRecord(name, "llm", f"10.0.0.1:{port}", "a", 8, ServerState.READY, 1)
        for port, name in enumerate((UNHEALTHY, "good-1", "good-2"), start=1)
    ]
    admission = Admission(AdmissionSettings(), seed=3)
    admission.set_servers(0.0, records, {}, 1, NO_LOAD)
    while_failing = run_calls(admission, 0, 900, failure)
    assert 0 < while_failing.count(UNHEALTHY) < 900 / 3 / 4
    run_calls(admission, 900, 600, None)
    after_recovery = run_calls(admission, 1500, 900, None)
    assert after_recovery.count(UNHEALTHY) > 900 / 3 / 2
