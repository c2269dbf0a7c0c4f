"""Every state that keeps calls from a server ends: random troubles, then calm, then each living server gets calls.

A control node's registry, the gateway's routable servers and its admission, without I/O; `docs/design/server-states.md`
lists the states.
"""

from __future__ import annotations

from itertools import count

import attrs
from gateway_world import FakeDirectory
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from emberring.admission import Admission, AdmissionSettings, Admitted, CallInfo, CallOutcome
from emberring.configuration.model import Service
from emberring.distribution.records import ServerRecord, ServerState
from emberring.gateway.routable_servers import RoutableServers
from emberring.registry.heartbeats import Heartbeat
from emberring.registry.known_load import NO_LOAD
from emberring.registry.merge import merged
from emberring.registry.servers import ServerRegistry

HEARTBEAT_S, TICK_S, CAPACITY = 1.2, 0.1, 4
BACK_WITHIN_S = 10.0  # after the last trouble: the longest state at a gateway lasts 8 s
SERVICES = {"llm": Service("llm", max_connections=40, capacity=CAPACITY, kv_cache_tokens=50_000)}
LISTED = (ServerState.READY, ServerState.DRAINING)


@attrs.define
class Incarnation:
    """One start of a server at an address; it answers calls and sends heartbeats while it is `alive`."""

    id: str
    address: str
    sequence: int = 0
    alive: bool = True

    def next_record(self) -> ServerRecord:
        self.sequence += 1
        return ServerRecord(self.id, "llm", self.address, "z", CAPACITY, ServerState.READY, self.sequence)


class ServerStates(RuleBasedStateMachine):
    """Two addresses, each with incarnations that follow one another, seen by one control node and one gateway."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0
        self.numbers = count(1)
        self.known: dict[str, ServerRecord] = {}
        self.registry = ServerRegistry(self.now_s, HEARTBEAT_S)
        self.directory = FakeDirectory(None)
        self.routable = RoutableServers(self.directory, lambda: self.now_s)
        self.admission = Admission(AdmissionSettings(), seed=5)
        self.open_calls: dict[str, str] = {}
        self.delayed: list[ServerRecord] = []
        self.incarnations = [Incarnation(f"i{next(self.numbers)}", f"a{number}") for number in range(2)]
        for incarnation in self.incarnations:
            self.receive(incarnation.next_record())
        self.refresh()

    # What the control node and the gateway do.

    def add(self, written: list[ServerRecord]) -> None:
        for record in written:
            before = self.known.get(record.id)
            self.known[record.id] = merged(before, record) if before is not None else record

    def receive(self, record: ServerRecord) -> None:
        live_record = self.known.get(record.id)
        self.add(self.registry.on_heartbeat(self.now_s, Heartbeat(record), self.known, live_record))

    def refresh(self) -> None:
        self.directory.servers = {
            record.id: record for record in self.known.values() if record.state in LISTED
        }
        self.admission.set_servers(self.now_s, self.routable.all_routable(), SERVICES, 1, NO_LOAD)
        self.routable.forget_absent()

    def pass_time(self, seconds: float, heartbeats: bool) -> None:
        end_s = self.now_s + seconds
        next_heartbeat_s = self.now_s
        while self.now_s < end_s:
            self.now_s += TICK_S
            if heartbeats and self.now_s >= next_heartbeat_s:
                next_heartbeat_s += HEARTBEAT_S
                for incarnation in self.living():
                    self.receive(incarnation.next_record())
            self.add(self.registry.on_tick(self.now_s, self.known, lambda _: True, True))
            self.refresh()

    def living(self) -> list[Incarnation]:
        return [incarnation for incarnation in self.incarnations if incarnation.alive]

    def place(self, excluded: frozenset[str] = frozenset(), batch: bool = False) -> str | None:
        """Offer a call, and send it if it is admitted; return its name."""
        name = f"c{next(self.numbers)}"
        call = CallInfo(
            name, "llm", "r", batch=batch, tokens_in=50, latency_target_ms=200.0, excluded=excluded
        )
        decision = self.admission.offer(self.now_s, call)
        if not isinstance(decision, Admitted):
            return None
        self.open_calls[name] = decision.server_id
        self.admission.started(self.now_s, name, decision.server_id)
        return name

    def end(self, name: str, outcome: CallOutcome) -> None:
        server = self.open_calls.pop(name)
        if outcome is CallOutcome.COMPLETED:
            self.admission.first_event(self.now_s, name)
        self.admission.finished(self.now_s, name, outcome)
        if outcome is CallOutcome.WRONG_SERVER:
            self.routable.mark_misdirected(server)
            self.refresh()

    # Troubles.

    @rule(seconds=st.sampled_from((0.1, 0.4, 1.1, 3.0, 8.0)), heartbeats=st.booleans())
    def wait(self, seconds: float, heartbeats: bool) -> None:
        self.pass_time(seconds, heartbeats)

    @rule(outcomes=st.lists(st.sampled_from(CallOutcome), min_size=1, max_size=6))
    def fail_calls(self, outcomes: list[CallOutcome]) -> None:
        for outcome in outcomes:
            name = self.place()
            if name is not None:
                self.end(name, outcome)

    @rule()
    def leave_a_call_open(self) -> None:
        self.place()

    @rule(address=st.sampled_from(("a0", "a1")))
    def restart(self, address: str) -> None:
        """Crash the server at the address, whose last heartbeat is still on its way, and start the next one."""
        for incarnation in self.incarnations:
            if incarnation.address == address and incarnation.alive:
                incarnation.alive = False
                self.delayed.append(incarnation.next_record())
        self.incarnations.append(Incarnation(f"i{next(self.numbers)}", address))
        self.receive(self.incarnations[-1].next_record())
        self.refresh()

    @rule(address=st.sampled_from(("a0", "a1")))
    def deliver_late_first_heartbeat(self, address: str) -> None:
        """Deliver the first heartbeat of an incarnation that ended before the present one started."""
        ended = Incarnation(f"i{next(self.numbers)}", address, alive=False)
        self.incarnations.append(ended)
        self.receive(ended.next_record())
        self.refresh()

    @precondition(lambda self: self.delayed)
    @rule(data=st.data())
    def deliver_late(self, data: st.DataObject) -> None:
        """Deliver a heartbeat that was delayed; it may be delivered again."""
        self.receive(data.draw(st.sampled_from(self.delayed)))
        self.refresh()

    # Calm.

    def serve(self) -> None:
        """Let each open call end as its server answers now, and try each server once, as traffic does."""
        living = {incarnation.id for incarnation in self.living()}
        addresses = {incarnation.id: incarnation.address for incarnation in self.incarnations}
        answering = {incarnation.address for incarnation in self.living()}
        for name, server in list(self.open_calls.items()):
            if server in living:
                self.end(name, CallOutcome.COMPLETED)
            elif addresses[server] in answering:
                self.end(name, CallOutcome.WRONG_SERVER)
            else:
                self.end(name, CallOutcome.CONNECT_FAILED)

    def teardown(self) -> None:
        end_s = self.now_s + BACK_WITHIN_S
        while self.now_s < end_s:
            self.pass_time(HEARTBEAT_S, heartbeats=True)
            for _ in range(4):
                self.place()
                self.serve()
        everyone = frozenset(incarnation.id for incarnation in self.incarnations)
        for incarnation in self.living():
            # An item of a batch job, as a live request may be sent to a server that is kept out if there is no other.
            name = self.place(everyone - {incarnation.id}, batch=True)
            assert name is not None, f"{incarnation.id} gets no calls: {self.known[incarnation.id]}"
            self.end(name, CallOutcome.COMPLETED)


ServerStates.TestCase.settings = settings(max_examples=120, stateful_step_count=25, deadline=None)
TestServerStates = ServerStates.TestCase
