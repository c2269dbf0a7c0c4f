"""Admission under random sequences of events: slots are counted correctly and the guarantees of the table hold.

The source text of `AdmissionMachine` seeds the random cases (derandomized Hypothesis): its names stay as they are.
"""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import Bundle, RuleBasedStateMachine, consumes, invariant, rule

from emberring.admission import (
    Admission,
    AdmissionSettings,
    Admitted,
    CallInfo,
    CallOutcome,
    NoServer,
    PrefixPart,
    Refused,
)
from emberring.configuration.model import Service
from emberring.distribution.records import ServerRecord, ServerState
from emberring.registry.known_load import NO_LOAD

CAPACITY, CONNECTIONS = 4, 40
NAMES = ("s1", "s2", "s3", "s4")
SERVICES = {"llm": Service("llm", max_connections=CONNECTIONS, capacity=CAPACITY, kv_cache_tokens=50_000)}
PARTS = st.lists(
    st.builds(PrefixPart, st.sampled_from("abcd"), st.sampled_from((50, 500, 9000))), max_size=3
).map(tuple)
TROUBLE = frozenset(
    {
        CallOutcome.FULL,
        CallOutcome.BROKEN,
        CallOutcome.SILENT,
        CallOutcome.CONNECT_FAILED,
        CallOutcome.WRONG_SERVER,
    }
)


class AdmissionMachine(RuleBasedStateMachine):
    """One gateway alone, so that its own counts are complete."""

    calls = Bundle("calls")

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0
        self.count = 0
        self.states = {name: ServerState.READY for name in NAMES[:2]}
        self.trouble = False
        self.out: dict[str, str] = {}
        self.admission = Admission(AdmissionSettings(), seed=3)
        self.update_servers()

    def update_servers(self) -> None:
        records = [
            ServerRecord(name, "llm", name, "z", CAPACITY, state, 1) for name, state in self.states.items()
        ]
        self.admission.set_servers(self.now_s, records, SERVICES, 1, NO_LOAD)

    @rule(seconds=st.sampled_from((0.0, 0.001, 0.02, 0.3, 5.0)))
    def wait(self, seconds: float) -> None:
        self.now_s += seconds

    @rule(name=st.sampled_from(NAMES), state=st.sampled_from((ServerState.READY, ServerState.DRAINING, None)))
    def change(self, name: str, state: ServerState | None) -> None:
        if state is None:
            self.states.pop(name, None)
        else:
            self.states[name] = state
        self.update_servers()

    @rule(
        target=calls,
        batch=st.booleans(),
        priority=st.integers(0, 3),
        parts=PARTS,
        excluded=st.frozensets(st.sampled_from(NAMES), max_size=2),
    )
    def offer(
        self, batch: bool, priority: int, parts: tuple[PrefixPart, ...], excluded: frozenset[str]
    ) -> str:
        self.count += 1
        name = f"c{self.count}"
        tokens = sum(part.tokens for part in parts)
        call = CallInfo(name, "llm", "r", priority, batch, tokens, 100, parts, 200.0, excluded=excluded)
        able = [
            one for one, state in self.states.items() if state is ServerState.READY and one not in excluded
        ]
        decision = self.admission.offer(self.now_s, call)
        if isinstance(decision, NoServer):
            assert not able
        elif isinstance(decision, Admitted):
            assert decision.server_id in able
            self.out[name] = decision.server_id
        else:
            assert isinstance(decision, Refused)
            assert 0.0 < decision.retry_after_s <= 2.0
            assert able
            ready = [one for one, state in self.states.items() if state is ServerState.READY]
            taken = sum(server in ready for server in self.out.values())
            assert batch or self.trouble or taken >= CAPACITY * len(ready) / 2
        return name

    @rule(name=calls)
    def begin(self, name: str) -> None:
        if name in self.out:
            self.admission.started(self.now_s, name, self.out[name])

    @rule(name=calls, later=st.booleans())
    def record_event(self, name: str, later: bool) -> None:
        self.admission.first_event(self.now_s, name)
        if later:
            self.admission.progress(self.now_s + 0.01, name)

    @rule(name=consumes(calls), outcome=st.sampled_from(CallOutcome))
    def end(self, name: str, outcome: CallOutcome) -> None:
        server = self.out.pop(name, None)
        self.trouble = self.trouble or outcome in TROUBLE
        self.admission.finished(self.now_s, name, outcome)
        if server is not None and outcome is CallOutcome.WRONG_SERVER and server in self.states:
            # The gateway leaves it out of its servers at once; `change` may bring it back.
            del self.states[server]
            self.update_servers()

    @invariant()
    def slots_are_counted_correctly(self) -> None:
        report = self.admission.in_flight()
        assert set(report) == set(self.states)
        for name, calls in report.items():
            assert 0 <= calls <= sum(server == name for server in self.out.values())

    @invariant()
    def batch_capacity_is_never_negative(self) -> None:
        for capacity in self.admission.batch_capacity(self.now_s).values():
            assert 0 <= capacity <= CAPACITY * len(NAMES)


AdmissionMachine.TestCase.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)
TestAdmissionMachine = AdmissionMachine.TestCase
