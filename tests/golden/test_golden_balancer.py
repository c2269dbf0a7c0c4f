"""Golden file of the balancer's decisions: seeded sequences of events, and a hash of the exact actions and statistics.

Each scenario drives a `Balancer` as a host does, only through `handle`, `reject_if_over_threshold`, `server_status` and
`threshold`. Floats enter the hash with all their digits, so that any change in the order of arithmetic, random draws or
actions changes the hash.
"""

from __future__ import annotations

import hashlib
import heapq
import json
import math
from collections import Counter
from dataclasses import astuple
from itertools import count
from pathlib import Path
from random import Random
from typing import Any

import pytest

from loadbalancer import interface as api
from loadbalancer.balancer import Balancer

GOLDEN = Path(__file__).parent / "data" / "balancer.json"
EVENTS = 6000
CHECKPOINT_EVERY = 500

CLASSES = (
    api.ServiceClass("read", 400.0, 1500.0, 12.0, 0.0, api.Effect.SAFE, hedge=True),
    api.ServiceClass("list", 900.0, 2500.0, 3.0, 0.5, api.Effect.SAFE, max_attempts=2),
    api.ServiceClass("put", 500.0, 2000.0, 6.0, 0.2, api.Effect.KEYED, api.Scope.ZONE, 800.0),
    api.ServiceClass("book", 500.0, 2000.0, 6.0, 0.0, api.Effect.KEYED, api.Scope.CELL, 1500.0),
    api.ServiceClass("pay", 700.0, 2000.0, 8.0, 0.1, api.Effect.UNSAFE),
    api.ServiceClass("tail", 600.0, 3000.0, 1.0, 1.0, api.Effect.SAFE, stream=True),
)
UNHEDGED = tuple(api.ServiceClass(*astuple(kind)[:-1], hedge=False) for kind in CLASSES)
TENANTS = (api.Tenant("hotels", 40.0), api.Tenant("flights", 200.0))

SETTINGS: dict[str, api.Settings] = {
    "plain": api.Settings(UNHEDGED, max_attempts=3),
    "budget": api.Settings(
        CLASSES, TENANTS, "z0", siblings=3, max_attempts=4, retry_share=0.2, retry_floor_per_s=2.0,
        backoff_ms=20.0, may_cancel=True, retry_after=True, max_retry_after_ms=5000.0, near_ms=2.0,
        retry_after_spread=0.3, cross_zone_price=0.1, worth_by_work=True, over_share_worth=0.4, starts_told=False,
    ),
    "levels": api.Settings(
        CLASSES, (), "z1", siblings=5, max_attempts=3, retry_share=0.5, cold_ms=4000.0, cold_from=0.2,
        ask_discovery=True, cross_zone_price=0.05, near_ms=1.0, may_cancel=True,
    ),
    "warm-up": api.Settings(
        UNHEDGED, TENANTS, "z0", siblings=20, max_attempts=3, cold_ms=8000.0, cold_from=0.1, overload_factor=1.5,
        ask_discovery=True, retry_after=True, max_retry_after_ms=900.0, starts_told=False, worth_by_work=True,
    ),
    "below": api.Settings(
        CLASSES, TENANTS, "z0", tier=1, siblings=8, max_attempts=3, retry_share=0.1, retry_floor_per_s=1.0,
        backoff_ms=50.0, quiet_calls=4.0, start_calls=3.0, cold_ms=2000.0, cold_from=0.5, retry_window_ms=3000.0,
    ),
}  # fmt: skip


class Host:
    """Drives one balancer with seeded servers, callers and server lists, and hashes all of its output."""

    def __init__(self, name: str, seed: int) -> None:
        self.name = name
        self.random = Random(seed)
        self.settings = SETTINGS[name]
        self.balancer = Balancer(self.settings, seed + 1, 0.0)
        self.now = 0.0
        self.hash = hashlib.sha256()
        self.actions: Counter[str] = Counter()
        self.checkpoints: list[str] = []
        self.numbers = count()
        self.due: list[tuple[float, int, api.Event]] = []
        self.sent: dict[str, list[tuple[float, str]]] = {}  # by request: time and address of each attempt
        self.done: set[str] = set()
        self.out: set[tuple[str, int]] = set()
        self.requests: dict[str, api.Request] = {}
        self.faulty: dict[str, api.Result] = {}
        self.lists = 0

    def run(self) -> dict[str, Any]:
        """Process all events; return the golden data of this scenario."""
        self.give(api.Membership(api.ListForm.FULL, self.servers(6), self.levels()))
        self.later(3.0, self.next_request())
        self.later(700.0, api.Membership(api.ListForm.FAILED))
        for number in range(1, EVENTS + 1):
            self.now, _, event = heapq.heappop(self.due)
            if self.wanted(event):
                self.give(event)
            if number % CHECKPOINT_EVERY == 0:
                self.note_figures()
                self.checkpoints.append(self.hash.hexdigest()[:16])
        return {"actions": dict(sorted(self.actions.items())), "checkpoints": self.checkpoints}

    def note(self, *values: Any) -> None:
        self.hash.update(repr(values).encode())

    def note_figures(self) -> None:
        rows = [(info.address, *figures) for info, *figures in self.balancer.ranking.server_status(self.now)]
        self.note("survey", rows)
        self.note("threshold", [self.balancer.threshold(worth, 6) for worth in (1.0, 0.5, 0.01)])

    def later(self, delay_ms: float, event: api.Event) -> None:
        heapq.heappush(self.due, (self.now + delay_ms, next(self.numbers), event))

    def wanted(self, event: api.Event) -> bool:
        """Update the host's own state for an event; return whether the event still applies."""
        if isinstance(event, api.Request):
            self.later(self.random.expovariate(1.0) * self.pause_ms(), self.next_request())
            if self.random.random() < 0.3:
                refused = self.balancer.reject_if_over_threshold(self.now, event)
                self.note("turns away", refused and refused.retry_after_ms)
                if refused is not None:
                    return False
                event.admitted = True
            self.requests[event.id] = event
            if self.random.random() < 0.03:
                self.later(self.random.uniform(5.0, 600.0), api.Lapsed(event.id))
        elif isinstance(event, api.Outcome):
            if (event.id, event.attempt) not in self.out:
                return False
            self.out.discard((event.id, event.attempt))
            event.done = event.id in self.done or event.result is api.Result.OK
            if event.done:
                self.done.add(event.id)
        elif isinstance(event, api.Lapsed):
            self.done.add(event.id)
        elif isinstance(event, api.Membership):
            self.lists += 1
            self.change_faults()
            self.later(self.random.uniform(300.0, 1500.0), self.next_list())
        return True

    def pause_ms(self) -> float:
        """Return the mean time between requests; the load varies from idle to several times the servers' capacity."""
        return 4.0 + 14.0 * (1.0 + math.sin(self.now / 3000.0))

    def next_request(self) -> api.Request:
        random, number = self.random, next(self.numbers)
        kind = random.choice(self.settings.classes)
        earlier = None
        if kind.effect is api.Effect.KEYED and random.random() < 0.2:
            earlier = api.Earlier(f"s{random.randrange(8)}", self.now - random.uniform(0.0, 1000.0))
        return api.Request(
            f"r{number}",
            kind.name,
            self.now + kind.give_up_ms,
            random.choice((None, "hotels", "flights", "trains")),
            random.choice((None, random.uniform(5.0, 80.0))),
            is_retry=random.random() < 0.1,
            paid=random.random() < 0.05,
            attempts=random.choice((0, 0, 0, 1, 2)),
            worth=random.choice((None, None, 2.0)),
            earlier=earlier,
        )

    def servers(self, total: int) -> tuple[api.Server, ...]:
        return tuple(self.server(number) for number in range(total))

    def server(self, number: int) -> api.Server:
        random, plain = self.random, self.name != "levels"
        states = [api.ServerState.UP] * 8 + [api.ServerState.DRAINING]
        if not plain:
            states += [api.ServerState.DEGRADED, api.ServerState.SICK]
        return api.Server(
            f"s{number}",
            f"z{number % 3}",
            number % 2,
            random.choice(states),
            random.choice((None, None, self.now - random.uniform(0.0, 5000.0))),
            random.choice((1.0, 1.0, 2.0)),
            0 if plain else number % 2,
            "" if plain else f"z{number % 3}",
            None if plain or self.lists % 2 else 1.0 + number % 3,
        )

    def levels(self) -> api.Levels | None:
        return api.Levels(1.4, 0.5, 0.02) if self.name == "levels" else None

    def next_list(self) -> api.Membership:
        random = self.random
        form = random.choice(list(api.ListForm))
        if form is api.ListForm.DELTA:
            server = self.server(random.randrange(8))
            if random.random() < 0.2:
                server.state = api.ServerState.REMOVED
            return api.Membership(form, (server,), self.levels())
        if form is api.ListForm.FAILED:
            return api.Membership(form)
        if form is api.ListForm.CACHED:
            return api.Membership(form, self.servers(7), None)
        return api.Membership(form, self.servers(random.choice((4, 6, 8))), self.levels())

    def change_faults(self) -> None:
        """Make some servers, and occasionally all of them, fail for some time."""
        kinds = (
            api.Result.ERROR,
            api.Result.FULL,
            api.Result.TIMEOUT,
            api.Result.CONNECT_FAILED,
            api.Result.RESET,
        )
        share = self.random.choice((0.0, 0.0, 0.3, 1.0))
        self.faulty = {
            f"s{number}": self.random.choice(kinds) for number in range(8) if self.random.random() < share
        }

    def give(self, event: api.Event) -> None:
        lag_ms = self.random.choice((0.0, 0.0, 1.5))
        for action in self.balancer.handle(self.now, event, lag_ms):
            self.actions[type(action).__name__] += 1
            self.note(type(action).__name__, astuple(action))
            self.act(action)

    def act(self, action: api.Action) -> None:
        if isinstance(action, api.Send):
            self.send(action)
        elif isinstance(action, api.Wake):
            self.later(action.delay_ms, api.Alarm(action.name))
        elif isinstance(action, api.Watch):
            if self.random.random() < 0.5:
                self.later(1.0, api.Membership(api.ListForm.FAILED))
        elif isinstance(action, api.Cancel):
            began, server = self.sent[action.id][action.attempt]
            self.later(
                0.0, self.outcome(action.id, action.attempt, server, api.Result.CANCELLED, self.now - began)
            )
        elif isinstance(action, api.Refuse | api.Fail):
            self.done.add(action.id)

    def send(self, action: api.Send) -> None:
        random = self.random
        attempts = self.sent.setdefault(action.id, [])
        attempt, server = len(attempts), action.server
        attempts.append((self.now, server))
        self.out.add((action.id, attempt))
        busy = sum(self.sent[name][at][1] == server for name, at in self.out)
        latency = random.uniform(8.0, 30.0) * (1.0 + 0.4 * busy)
        result = self.faulty.get(server, api.Result.OK) if random.random() < 0.9 else api.Result.OK
        if random.random() < 0.01:
            result = random.choice(list(api.Result))
        if result in (api.Result.FULL, api.Result.CONNECT_FAILED, api.Result.NO_ROOM):
            latency = 1.0
        elif result is api.Result.TIMEOUT or latency > action.timeout_ms:
            result, latency = api.Result.TIMEOUT, action.timeout_ms
        kind = self.balancer.classes[self.requests[action.id].service]
        if kind.stream and result is api.Result.OK and latency > 40.0:
            self.later(latency / 2.0, api.Started(action.id, attempt))
        self.later(latency, self.outcome(action.id, attempt, server, result, latency))
        if random.random() < 0.02:
            report = {"queue": float(busy)}
            self.later(random.uniform(1.0, 50.0), api.Probed(server, api.Result.OK, 2.0, report))

    def outcome(
        self, name: str, attempt: int, server: str, result: api.Result, latency_ms: float
    ) -> api.Outcome:
        report = None
        if self.random.random() < 0.3:
            report = {"queue": self.random.uniform(0.0, 6.0)}
            if self.name in ("budget", "below"):
                report["util"] = self.random.uniform(0.5, 1.05)
        return api.Outcome(name, attempt, server, result, latency_ms, False, report)


def record(name: str) -> dict[str, Any]:
    """Run one scenario with two seeds."""
    return {str(seed): Host(name, seed).run() for seed in (11, 47)}


@pytest.mark.parametrize("name", SETTINGS)
def test_decisions_are_the_recorded_ones(name):
    assert record(name) == json.loads(GOLDEN.read_text())[name]


def test_the_scenarios_reach_every_action():
    recorded = json.loads(GOLDEN.read_text())
    assert set(recorded) == set(SETTINGS)
    reached = {kind for runs in recorded.values() for run in runs.values() for kind in run["actions"]}
    assert reached == {"Send", "Refuse", "Fail", "Cancel", "Watch", "Wake"}


if __name__ == "__main__":
    GOLDEN.write_text(json.dumps({name: record(name) for name in SETTINGS}, indent=1) + "\n")
