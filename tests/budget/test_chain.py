"""Three tiers of sidecars, checked against the four rules by the request counts of the servers.

Seeds are fixed; failures, broken connections and drains are triggered by request number, not by time.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections import Counter
from collections.abc import AsyncIterator
from random import Random
from typing import Any

import pytest
from beside import address, application, configuration, configuration_data
from loopback import until

from loadbalancer.emulator.box import Behaviour, Box
from loadbalancer.emulator.caller import Application
from loadbalancer.emulator.tier import OWN, TRACE, TierApplication
from loadbalancer.runtime.sidecar import Sidecar

NODES_PER_TIER, TIERS, TRIES = 2, 3, 4
EXTRA = 2
BUDGET: dict[str, Any] = {"share": 0.08, "floor_per_s": 0.1, "extra": EXTRA, "backoff_ms": 1.0}
MAX_ATTEMPTS = 1 + EXTRA + (TRIES - 1)  # upper bound of attempts for one request whose retries are marked
# The balancer's evaluation period follows from the aim.
TIME = {"aim_ms": 4000, "give_up_ms": 20000, "late_worth": 1.0}
CLASSES = [
    {"name": "read", "pool": "boxes", "effect": "safe", "worth": 12} | TIME,
    {"name": "post", "pool": "boxes", "effect": "unsafe"} | TIME,
    {"name": "move", "pool": "boxes", "effect": "keyed", "memory_ms": 60000} | TIME,
]


class TierChain:
    """Sidecars by tier, the applications between the tiers, and the servers behind the last one."""

    def __init__(self) -> None:
        self.boxes = [Box(f"box-{index}") for index in range(3)]
        self.apps = [
            [TierApplication(f"app-{tier}-{index}") for index in range(NODES_PER_TIER)]
            for tier in range(1, TIERS)
        ]
        self.sidecars: list[list[Sidecar]] = []

    def row(self, tier: int, around: list[Any], budget: dict[str, Any] | None) -> dict[str, Any]:
        listener = {"name": "application", "address": "127.0.0.1:0"}
        more: dict[str, Any] = {"name": f"tier{tier}", "classes": CLASSES}
        if budget is not None:
            listener["trust"] = "edge" if tier == 0 else "inside"
            more["budget"] = budget
        return configuration_data(*around, listeners=[listener], **more)


@contextlib.asynccontextmanager
async def chain(budget: dict[str, Any] | None = BUDGET) -> AsyncIterator[TierChain]:
    deployment = TierChain()
    for box in deployment.boxes:
        await box.start()
    for apps in deployment.apps:
        for app in apps:
            app.behaviour.passes = TRACE | OWN
            await app.start()
    targets = [*deployment.apps, deployment.boxes]
    try:
        for tier in range(TIERS):
            deployment.sidecars.append([])
            for _ in range(NODES_PER_TIER):
                sidecar = Sidecar(configuration(deployment.row(tier, targets[tier], budget)))
                await sidecar.start()
                deployment.sidecars[-1].append(sidecar)
        for apps, sidecars in zip(deployment.apps, deployment.sidecars[1:], strict=True):
            for app, sidecar in zip(apps, sidecars, strict=True):
                app.next = address(sidecar)
        yield deployment
    finally:
        for sidecars in deployment.sidecars:
            for sidecar in sidecars:
                sidecar.close()
        for stand_in in (*deployment.boxes, *(app for apps in deployment.apps for app in apps)):
            stand_in.stop()


async def ask(
    caller: Application, rng: Random, number: int, answers: Counter[str], deadline_ms: int | None = None
) -> str:
    """Send one request, up to TRIES times until it succeeds; returns its class."""
    kind = rng.choice(["read", "post", "move"])
    method, path = ("GET", "/balance") if kind == "read" else ("POST", f"/{kind}")
    marks_retries = rng.random() < 0.5
    for index in range(TRIES):
        headers = {"X-Posting": f"{kind}-{number}-{index}"}
        if kind == "move":
            headers["Idempotency-Key"] = f"key-{number}"
        if marks_retries and index:
            headers["Req-Retry"] = "1"
        if deadline_ms is not None:
            headers["Req-Deadline-Ms"] = str(deadline_ms)
        body = b"" if method == "GET" else b"%d" % number
        reply = await caller.ask(method, f"{path}/{number}", body, headers)
        answers[f"{kind}-{number}-{index}"] += 1
        if reply.status == 200:
            break
    return kind


def attempts(deployment: TierChain) -> Counter[int]:
    """The number of attempts that reached a server, by request number."""
    per_request: Counter[int] = Counter()
    for box in deployment.boxes:
        for name, count in box.ran.items():
            per_request[int(name.split("-")[1])] += count
    return per_request


async def send_requests(
    deployment: TierChain, seed: int, requests: int, before: Any = lambda number: None
) -> Counter[str]:
    """Send requests one after another; `before` is called with each request number and may inject a fault."""
    rng, answers = Random(seed), Counter()
    callers = [application(sidecar) for sidecar in deployment.sidecars[0]]
    for number in range(requests):
        result = before(number)
        if result is not None:
            await result
        await ask(callers[number % NODES_PER_TIER], rng, number, answers)
    for caller in callers:
        caller.close()
    return answers


def assert_rules_kept(deployment: TierChain, answers: Counter[str]) -> None:
    assert set(answers.values()) == {1}  # exactly one response to each try
    unsafe: Counter[str] = Counter()
    for box in deployment.boxes:
        unsafe.update({name: count for name, count in box.ran.items() if name.startswith("post")})
    assert not [name for name, count in unsafe.items() if count > 1]


@pytest.mark.parametrize("seed", range(3))
def test_a_failing_last_tier_is_not_hit_by_multiplied_retries(seed):
    async def main():
        async with chain() as deployment:
            for box in deployment.boxes:
                box.behaviour = Behaviour(error=10**9)
            answers = await send_requests(deployment, seed, 60)
            assert_rules_kept(deployment, answers)
            per_request = attempts(deployment)
            assert max(per_request.values()) <= MAX_ATTEMPTS
            # The shares of three tiers, and floor_per_s of 0.1 for twelve seconds at each of six nodes.
            assert sum(per_request.values()) <= 60 * 1.3 + 6 * 2
            answered = sum(answers.values())
        async with chain(None) as deployment:
            for box in deployment.boxes:
                box.behaviour = Behaviour(error=10**9)
            await send_requests(deployment, seed, 60)
            assert sum(attempts(deployment).values()) > 2 * sum(per_request.values())
        assert answered >= 60

    asyncio.run(main())


@pytest.mark.parametrize("seed", range(3))
def test_failing_breaking_and_draining_servers_and_tiers_break_no_rule(seed):
    async def main():
        rng = Random(1000 + seed)
        async with chain() as deployment:

            def inject_fault(number: int) -> Any:
                if number % 6:
                    return None
                box = rng.choice(deployment.boxes)
                fault = rng.randrange(6)
                box.behaviour = Behaviour(
                    error=3 if fault == 0 else 0,
                    die_mid_answer=2 if fault == 1 else 0,
                    decline=fault == 2,
                )
                app = rng.choice(rng.choice(deployment.apps))
                app.behaviour.fail = fault == 3
                app.behaviour.tries, app.behaviour.tried = (3 if fault == 4 else 1), frozenset({b"GET"})
                if fault == 5:  # one server leaves all lists of the last tier until the next fault
                    rows = [deployment.row(2, rng.sample(deployment.boxes, 2), BUDGET)] * NODES_PER_TIER
                else:
                    rows = [deployment.row(2, deployment.boxes, BUDGET)] * NODES_PER_TIER
                return reload_last_tier(deployment, rows)

            answers = await send_requests(deployment, seed, 90, inject_fault)
            assert_rules_kept(deployment, answers)
            # An application that retries multiplies its own attempts; the next tier treats these as repeats.
            assert max(attempts(deployment).values()) <= MAX_ATTEMPTS + 3 * TRIES
            await until(
                lambda: not any(s.pools["boxes"].requests for group in deployment.sidecars for s in group)
            )

    asyncio.run(main())


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("stalled", ["one box", "all boxes", "a tier"])
def test_stalled_requests_time_out_and_no_rule_is_broken(seed, stalled):
    async def main():
        async with chain() as deployment:
            rng, answers = Random(seed), Counter()
            callers = [application(sidecar) for sidecar in deployment.sidecars[0]]
            for number in range(12):  # learns the shortest transit times and opens connections
                await ask(callers[number % NODES_PER_TIER], rng, number, answers)
            if stalled == "a tier":
                for app in deployment.apps[1]:
                    app.behaviour.hang = True
            else:
                for box in deployment.boxes[: 1 if stalled == "one box" else None]:
                    box.behaviour = Behaviour(hang=True)
            for number in range(12, 18):
                # Every try gets its response: the caller has no timeout of its own.
                await ask(callers[number % NODES_PER_TIER], rng, number, answers, deadline_ms=120)
            assert_rules_kept(deployment, answers)
            assert max(attempts(deployment).values()) <= TRIES * (1 + EXTRA)
            for caller in callers:
                caller.close()
            # Abandoned requests leave no state behind.
            await until(
                lambda: not any(s.pools["boxes"].requests for group in deployment.sidecars for s in group)
            )

    asyncio.run(main())


async def reload_last_tier(deployment: TierChain, rows: list[dict[str, Any]]) -> None:
    for sidecar, data in zip(deployment.sidecars[2], rows, strict=True):
        await sidecar.reload(configuration(data))


def test_a_retry_storm_ends_with_its_cause():
    async def main():
        async with chain() as deployment:
            for box in deployment.boxes:
                box.behaviour = Behaviour(error=10**9)
            await send_requests(deployment, 5, 40)
            for box in deployment.boxes:
                box.behaviour = Behaviour()
            callers = [application(sidecar) for sidecar in deployment.sidecars[0]]
            successes = 0
            for number in range(400):  # admission accepts a few, and more as these succeed
                reply = await callers[number % NODES_PER_TIER].ask("GET", f"/balance/{1000 + number}")
                successes = successes + 1 if reply.status == 200 else 0
                if successes == 20:
                    break
                await asyncio.sleep(0)
            assert successes == 20
            for caller in callers:
                caller.close()
            before = sum(box.taken for box in deployment.boxes)
            await asyncio.gather(*(asyncio.sleep(0) for _ in range(50)))
            assert sum(box.taken for box in deployment.boxes) == before  # no attempts without new requests

    asyncio.run(main())


def test_work_for_expired_callers_is_neither_started_nor_forwarded():
    async def main():
        async with chain() as deployment:
            # The second tier's applications ignore disconnects and call the next tier after their caller's deadline.
            gates = []
            for app in deployment.apps[0]:
                app.behaviour.notices = False
                app.behaviour.passes = TRACE | OWN
                gate = asyncio.Event()
                gates.append(gate)
                app.before_call = gate.wait
            # Requests within the deadline let the nodes learn the shortest transit time between the tiers.
            for gate in gates:
                gate.set()
            caller = application(deployment.sidecars[0][0])
            for number in range(12):
                assert (await caller.ask("GET", f"/balance/{number}")).status == 200
            for gate in gates:
                gate.clear()
            late = await caller.ask(
                "POST", "/post/99", b"x", {"Req-Deadline-Ms": "1000", "X-Posting": "post-99-0"}
            )
            assert late.status == 504
            for gate in gates:
                gate.set()
            denied = lambda: sum(  # noqa: E731
                sidecar.budgets.figures.class_statistics("boxes", "post").counts["over"]
                for sidecar in deployment.sidecars[1]
            )
            await until(lambda: denied() == 1)
            assert not any(name.startswith("post-99") for box in deployment.boxes for name in box.ran)
            caller.close()

    asyncio.run(main())
