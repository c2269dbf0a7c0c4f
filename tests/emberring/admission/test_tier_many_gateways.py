"""Many gateways and servers, with delayed reports of the calls of other gateways."""

from __future__ import annotations

from collections import Counter, deque
from random import Random

import pytest

from emberring.admission import Admission, AdmissionSettings, Admitted, CallInfo, CallOutcome
from emberring.admission.server import ServerView
from emberring.distribution.records import ServerRecord, ServerState
from emberring.registry.known_load import LOAD_SMOOTHING_S, MAX_GATEWAYS_FOR_EXACT_LOAD, KnownLoad

GATEWAYS, SERVERS, SLOTS = 50, 36, 12
STEP_S = 0.01
CALLS_A_STEP = 4
HOLD_S = 0.5
REPORT_INTERVAL_S, REPORT_DELAY_S = 0.3, 0.7


def record(number: int) -> ServerRecord:
    return ServerRecord(f"s{number}", "llm", f"10.0.0.1:{number}", "a", SLOTS, ServerState.READY, 1)


def test_few_gateways_use_the_latest_report() -> None:
    view = ServerView(record(1), 0.0)
    view.update_other_calls(0.0, 2.0)
    view.update_other_calls(0.1, 9.0)
    assert view.estimated_load(MAX_GATEWAYS_FOR_EXACT_LOAD) == pytest.approx(9.0)


def test_many_gateways_use_the_smoothed_load_and_follow_it() -> None:
    view = ServerView(record(1), 0.0)
    view.update_other_calls(0.0, 2.0)
    view.update_other_calls(0.3, 9.0)
    assert view.estimated_load(50) < 4.0  # smoothed 2, latest report 9
    for number in range(1, 50):
        view.update_other_calls(0.3 + number * 0.3, 9.0)
    assert view.estimated_load(50) == pytest.approx(9.0, abs=0.2)
    assert view.other_calls_updated_s > 2 * LOAD_SMOOTHING_S


class Simulation:
    """A simulation in which calls arrive at random gateways and occupy a slot for `HOLD_S`."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.gateways = [Admission(AdmissionSettings(), seed=seed * 100 + n) for n in range(GATEWAYS)]
        self.records = [record(number) for number in range(SERVERS)]
        self.loads: Counter[str] = Counter()
        self.completions: deque[tuple[float, Admission, str, str]] = deque()
        self.reports: deque[tuple[float, dict[str, int]]] = deque()
        self.call_count = 0

    def step(self, now_s: float) -> None:
        while self.completions and self.completions[0][0] <= now_s:
            _, gateway, name, server = self.completions.popleft()
            gateway.finished(now_s, name, CallOutcome.COMPLETED)
            self.loads[server] -= 1
        for _ in range(CALLS_A_STEP):
            self.call_count += 1
            name = f"c{self.call_count}"
            gateway = self.random.choice(self.gateways)
            decision = gateway.offer(now_s, CallInfo(name, "llm", "r", tokens_in=500, tokens_out=100))
            assert isinstance(decision, Admitted)
            gateway.started(now_s, name, decision.server_id)
            gateway.first_event(now_s + 0.005, name)
            self.loads[decision.server_id] += 1
            self.completions.append((now_s + HOLD_S, gateway, name, decision.server_id))

    def update_servers(self, now_s: float) -> None:
        for gateway in self.gateways:
            gateway.in_flight()
        self.reports.append((now_s, {**{one.id: 0 for one in self.records}, **self.loads}))
        while len(self.reports) > 1 and self.reports[1][0] <= now_s - REPORT_DELAY_S:
            self.reports.popleft()
        reported_s, calls = self.reports[0]
        for gateway in self.gateways:
            gateway.set_servers(now_s, self.records, {}, GATEWAYS, KnownLoad(calls, reported_s=reported_s))


@pytest.mark.parametrize("seed", [1, 2])
def test_stale_reports_cause_no_oscillation(seed: int) -> None:
    simulation = Simulation(seed)
    overloaded = steps = 0
    next_report_s = 0.0
    for number in range(800):
        now_s = number * STEP_S
        if now_s >= next_report_s:
            simulation.update_servers(now_s)
            next_report_s += REPORT_INTERVAL_S
        simulation.step(now_s)
        if now_s > 2.0:
            steps += SERVERS
            overloaded += sum(load > SLOTS for load in simulation.loads.values())
    mean = CALLS_A_STEP / STEP_S * HOLD_S / SERVERS
    assert 5.0 < mean < 6.0  # half of the slots
    assert overloaded / steps < 0.08  # 0.15 if the reports are trusted fully
