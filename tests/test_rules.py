"""Safety rules of the balancer, checked for random valid sequences of events by a small model."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from hypothesis import given, settings
from hypothesis import strategies as st

from loadbalancer import interface as api
from loadbalancer.balancer import Balancer

NEVER = (api.Result.FULL, api.Result.CONNECT_FAILED, api.Result.MOOT, api.Result.NO_ROOM)
CLASSES = (
    api.ServiceClass("safe", 1000, 2500, worth=5, effect=api.Effect.SAFE),
    api.ServiceClass("late", 1000, 2500, worth=2, late_worth=0.4, effect=api.Effect.SAFE),
    api.ServiceClass("unsafe", 800, 2000, effect=api.Effect.UNSAFE),
    api.ServiceClass("all", 800, 2000, effect=api.Effect.KEYED, scope=api.Scope.ALL, memory_ms=400),
    api.ServiceClass("zone", 800, 2000, effect=api.Effect.KEYED, scope=api.Scope.ZONE, memory_ms=900),
    api.ServiceClass("cell", 800, 2000, effect=api.Effect.KEYED, scope=api.Scope.CELL, memory_ms=900),
    api.ServiceClass("stream", 800, 2000, stream=True, effect=api.Effect.UNSAFE),
)
COLD_MS, TIP_MS = 8000.0, 1500.0


@dataclass
class Call:
    """The model's state of one request."""

    kind: api.ServiceClass
    give_up: float
    tries: list[tuple[api.Server, float]] = field(default_factory=list)
    results: dict[int, api.Result] = field(default_factory=dict)
    ended: bool = False
    streaming: int | None = None

    def out(self) -> list[int]:
        return [at for at in range(len(self.tries)) if at not in self.results]

    def may_have_run(self) -> list[tuple[api.Server, float]]:
        return [item for at, item in enumerate(self.tries) if self.results.get(at) not in NEVER]


class Referee:
    def __init__(self, seed: int, max_attempts: int, cancel: bool) -> None:
        self.now = 500.0
        self.cfg = api.Settings(
            classes=CLASSES, zone="a", siblings=2, ask_discovery=True, may_cancel=cancel,
            max_attempts=max_attempts, cold_from=0.25, cold_ms=COLD_MS, overload_factor=2.5,
        )  # fmt: skip
        self.brain = Balancer(self.cfg, seed, self.now)
        self.calls: dict[str, Call] = {}
        self.listed: dict[str, api.Server] = {}
        self.names = 0

    def give(self, event: api.Event) -> None:
        if isinstance(event, api.Membership) and event.form is not api.ListForm.FAILED:
            if event.form is not api.ListForm.DELTA:
                self.listed = {}
            self.listed.update({row.address: row for row in event.servers})
        if isinstance(event, api.Request):
            kind = next(kind for kind in CLASSES if kind.name == event.service)
            self.calls[event.id] = Call(kind, event.give_up_at_ms)
        for act in self.brain.handle(self.now, event):
            self.check(act)
        # An open request without a pending attempt would never be answered.
        for name, call in self.calls.items():
            assert call.ended or call.out(), name

    def check(self, act: api.Action) -> None:
        if isinstance(act, api.Send):
            self.check_send(act)
        elif isinstance(act, api.Refuse | api.Fail):
            call = self.calls[act.id]
            assert not call.ended, "a second final response"
            ran = call.may_have_run()
            if isinstance(act, api.Refuse) and ran:
                keyed_all = call.kind.effect is api.Effect.KEYED and call.kind.scope is api.Scope.ALL
                assert call.kind.effect is api.Effect.SAFE or keyed_all, (
                    "a rejection of a request that may have run"
                )
            call.ended = True
        elif isinstance(act, api.Cancel):
            assert self.cfg.may_cancel
            assert act.attempt < len(self.calls[act.id].tries)

    def check_send(self, act: api.Send) -> None:
        call, server = self.calls[act.id], self.listed[act.server]
        assert not call.ended, "a send after the end of the request"
        assert server.state is api.ServerState.UP, "a send to a draining or removed server"
        assert len(call.tries) < self.cfg.max_attempts
        assert act.timeout_ms >= 0
        ran = call.may_have_run()
        if call.kind.effect is not api.Effect.SAFE and ran:
            assert call.kind.effect is api.Effect.KEYED, "a retry of an unsafe request that may have run"
            first, then = ran[0]
            assert self.now - then <= call.kind.memory_ms, "a retry after the key may have expired"
            if call.kind.scope is not api.Scope.ALL:
                assert server.zone == first.zone
            if call.kind.scope is api.Scope.CELL:
                assert server.cell == first.cell
        call.tries.append((server, self.now))

    # Moves: events that a test may generate.

    def request(self, kind: int, patience: float) -> None:
        self.names += 1
        name = f"q{self.names}"
        self.give(api.Request(name, CLASSES[kind % len(CLASSES)].name, self.now + patience))

    def outcome(self, pick: int, result: api.Result, report: bool) -> None:
        waiting = [(name, at) for name, call in self.calls.items() for at in call.out()]
        if not waiting:
            return
        name, at = waiting[pick % len(waiting)]
        call = self.calls[name]
        server, then = call.tries[at]
        call.results[at] = result
        if not call.ended and (result is api.Result.OK or call.streaming == at):
            call.ended = True
        load_report = {"queue": 2.0, "util": 0.97} if report else None
        self.give(api.Outcome(name, at, server.address, result, self.now - then, call.ended, load_report))

    def lapse(self, pick: int) -> None:
        if self.calls:
            name = list(self.calls)[pick % len(self.calls)]
            self.calls[name].ended = True
            self.give(api.Lapsed(name))

    def stream(self, pick: int) -> None:
        waiting = [
            name for name, call in self.calls.items() if call.kind.stream and call.out() and not call.ended
        ]
        if waiting:
            call = self.calls[waiting[pick % len(waiting)]]
            call.streaming = call.out()[0]
            self.give(api.Started(waiting[pick % len(waiting)], call.streaming))

    def members(self, form: api.ListForm, pick: int, state: api.ServerState, fresh: bool) -> None:
        rows = [
            api.Server(
                f"s{at}", "ab"[at % 2], at % 3, launched_ms=self.now if fresh and at == pick % 6 else None
            )
            for at in range(6)
        ]
        rows[(pick + 1) % 6].state = state
        if form is api.ListForm.DELTA:
            rows = rows[pick % 6 :]
        elif form is api.ListForm.FULL:
            rows = [row for row in rows if row.state is not api.ServerState.REMOVED][: 1 + pick % 6]
        self.give(api.Membership(form, () if form is api.ListForm.FAILED else tuple(rows)))


MOVES = st.one_of(
    st.tuples(st.just("request"), st.integers(0, 6), st.floats(1.0, 2500.0)),
    st.tuples(st.just("request"), st.integers(0, 6), st.floats(1.0, 2500.0)),
    st.tuples(st.just("outcome"), st.integers(0, 40), st.sampled_from(list(api.Result)), st.booleans()),
    st.tuples(st.just("outcome"), st.integers(0, 40), st.sampled_from(list(api.Result)), st.booleans()),
    st.tuples(st.just("lapse"), st.integers(0, 40)),
    st.tuples(st.just("stream"), st.integers(0, 5)),
    st.tuples(
        st.just("members"),
        st.sampled_from([form for form in api.ListForm if form is not api.ListForm.CACHED]),
        st.integers(0, 11),
        st.sampled_from(list(api.ServerState)),
        st.booleans(),
    ),
    st.tuples(st.just("alarm"), st.sampled_from(["period", "watch", "other"])),
    st.tuples(st.just("wait"), st.floats(0.0, 600.0)),
)


@settings(max_examples=300)
@given(
    seed=st.integers(0, 2**32),
    attempts=st.integers(1, 4),
    cancel=st.booleans(),
    moves=st.lists(MOVES, min_size=10, max_size=120),
)
def test_the_rules_hold_over_any_legal_sequence(seed, attempts, cancel, moves):
    referee = Referee(seed, attempts, cancel)
    rows = tuple(api.Server(f"s{at}", "ab"[at % 2], at % 3) for at in range(6))
    referee.give(api.Membership(api.ListForm.CACHED, rows))
    for name, *given_ in moves:
        if name == "wait":
            referee.now += given_[0]
        elif name == "alarm":
            referee.give(api.Alarm(given_[0]))
        else:
            getattr(referee, name)(*given_)
    for _ in range(600):  # at last every attempt ends, as the wire promises
        if not any(call.out() for call in referee.calls.values()):
            break
        referee.now += 1.0
        referee.outcome(0, api.Result.TIMEOUT, False)
    assert all(call.ended for call in referee.calls.values())
    assert referee.brain.requests == {}


@settings(max_examples=30)
@given(seed=st.integers(0, 2**32), nodes=st.integers(1, 40), gap=st.floats(1.0, 30.0))
def test_a_cold_server_keeps_within_its_budget_over_all_balancers(seed, nodes, gap):
    """In any window all balancers together stay under multiple x present share x what a warm server gets."""
    warm = 12
    rows = tuple(api.Server(f"s{at}", "a", 0) for at in range(warm))
    referees = [Referee(seed + at, 2, True) for at in range(nodes)]
    for referee in referees:
        referee.give(api.Membership(api.ListForm.CACHED, rows))
        referee.now += 200.0
        born = api.Server("cold", "a", 0, launched_ms=referee.now)
        referee.give(api.Membership(api.ListForm.DELTA, (born,)))
    sends: deque[float] = deque()
    for at in range(600):
        referee = referees[at % nodes]
        referee.now = 700.0 + at * gap
        referee.request(0, 2000.0)
        call = referee.calls[f"q{referee.names}"]
        sends.extend(then for server, then in call.tries if server.address == "cold")
        if call.tries:
            referee.outcome(0, api.Result.OK, False)
        while sends and sends[0] <= referee.now - TIP_MS:
            sends.popleft()
        present = 0.25 + 0.75 * min(1.0, at * gap / COLD_MS)
        budget = 2.5 * present * (TIP_MS / gap) / (warm + 1)
        assert len(sends) <= budget + 3.0 * (budget / 2.5) ** 0.5 + 2.0
