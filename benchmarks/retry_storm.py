"""Attempts at the last of three tiers per client request, with and without retry budgets, during troubles.

    python benchmarks/retry_storm.py

Twelve sidecars run as processes: four serve the clients, four the applications of the second tier and four those of the
third, which call four emulated servers. Applications, servers and clients run in this process, all on loopback.
Applications continue their work when their caller disconnects, as blocking ones do, unless `--notice` is given.
Clients send at a steady rate, wait 0.7 s, and retry immediately up to three times after any failure; half of them mark
their retries, half state their timeout. Each trouble is followed by a phase without one.

Printed for each variant: attempts at the servers per client request (mean, worst 10 s, and highest for one request),
work started after its caller had given up, the time to recovery after each trouble, and unsafe requests that ran twice.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import platform
import socket
import statistics
import sys
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

from loadbalancer.emulator.box import Behaviour, Box, Seen
from loadbalancer.emulator.caller import Application
from loadbalancer.emulator.tier import OWN, TRACE, TierApplication
from loadbalancer.sidecar.models import BudgetModel
from loadbalancer.test_rig.processes import Supervisor

INSTANCES_PER_TIER = 4  # instances in each tier
PATIENCE_S = 0.7
TRIES = 4
GIVE_UP_MS = (2000.0, 1000.0, 500.0)
WORK_MS, CORES = 10.0, 4  # of an emulated server
RECOVERED_SHARE = 0.95  # share of the success rate before the troubles that counts as recovered
WINDOW_S = 10
REQUEST_MIX = (("GET", "balance", 0.7), ("POST", "journal", 0.15), ("POST", "invoice", 0.15))


@dataclass
class Tally:
    """The observations of one run; times are seconds of the monotonic clock."""

    began: float = 0.0
    request_starts: list[float] = field(default_factory=list)
    server_arrivals: list[tuple[float, int]] = field(
        default_factory=list
    )  # attempts at servers: time, number of the request
    succeeded_starts: list[float] = field(
        default_factory=list
    )  # start of the first attempt of each successful request
    work_starts: list[tuple[float, bool]] = field(
        default_factory=list
    )  # work started at servers: time, whether the caller still waits
    attempt_ends: dict[str, float] = field(
        default_factory=dict
    )  # by attempt: when its client gave up or received the answer
    marking_requests: set[int] = field(default_factory=set)  # requests whose clients mark their retries
    answers: Counter[str] = field(default_factory=Counter)
    unsafe_runs: Counter[str] = field(default_factory=Counter)  # unsafe attempts that ran at servers
    max_lateness_s: float = 0.0  # highest lateness of this process's event loop
    phases: list[tuple[str, float, float]] = field(default_factory=list)


class Counted(Box):
    """Records each arriving attempt in the tally."""

    tally: Tally

    def take(self, connection: Any, seen: Seen) -> None:
        name = (seen.header(b"x-posting") or b"0-0").decode()
        self.tally.server_arrivals.append((time.monotonic(), int(name.split("-")[0])))
        super().take(connection, seen)

    def note(self, seen: Seen) -> None:
        name = (seen.header(b"x-posting") or b"0-0").decode()
        self.tally.work_starts.append((time.monotonic(), name not in self.tally.attempt_ends))
        if seen.target.startswith(b"/journal"):
            self.tally.unsafe_runs[name] += 1


def free_port() -> int:
    with socket.socket() as found:
        found.bind(("127.0.0.1", 0))
        port: int = found.getsockname()[1]
        return port


def configuration(
    name: str, tier: int, port: int, servers: list[tuple[str, str]], budget: dict[str, Any] | None
) -> dict[str, Any]:
    limit = {"aim_ms": GIVE_UP_MS[tier], "give_up_ms": GIVE_UP_MS[tier]}
    listener: dict[str, Any] = {"name": "application", "address": f"127.0.0.1:{port}"}
    if budget is not None:
        listener["trust"] = "edge" if tier == 0 else "inside"
    data: dict[str, Any] = {
        "kind": "configuration",
        "version": 1,
        "name": name,
        "listeners": [listener],
        "limits": {"descriptors": 1024, "max_open": 2000},
        "pools": [
            {
                "name": "next",
                "siblings": INSTANCES_PER_TIER,
                "list": {
                    "source": "static",
                    "servers": [{"id": one, "address": address} for one, address in servers],
                },
            }
        ],
        "classes": [
            {"name": "balance", "pool": "next", "effect": "safe", "worth": 12.0} | limit,
            {"name": "invoice", "pool": "next", "effect": "keyed", "memory_ms": 60000.0} | limit,
            {"name": "journal", "pool": "next", "effect": "unsafe"} | limit,
        ],
        "routes": [{"class": name, "path": f"/{name}/**"} for name in ("balance", "invoice", "journal")],
    }
    return data if budget is None else data | {"budget": budget}


async def client(tally: Tally, app: Application, number: int, rng: Random) -> None:
    """Send one request with all its retries."""
    method, kind, _ = rng.choices(REQUEST_MIX, [share for *_, share in REQUEST_MIX])[0]
    marks, states = rng.random() < 0.5, rng.random() < 0.5
    began = time.monotonic()
    tally.request_starts.append(began)
    if marks:
        tally.marking_requests.add(number)
    for at in range(TRIES):
        name = f"{number}-{at}"
        headers = {"X-Posting": name}
        if states:
            headers["Req-Deadline-Ms"] = str(int(PATIENCE_S * 1000))
        if kind == "invoice":
            headers["Idempotency-Key"] = f"key-{number}"
        if marks and at:
            headers["Req-Retry"] = "1"
        caller = Application(app.address, PATIENCE_S, app.idle)
        try:
            async with asyncio.timeout(PATIENCE_S):
                reply = await caller.ask(
                    method, f"/{kind}/{number}", b"x" if method == "POST" else b"", headers
                )
            outcome = str(reply.status)
        except TimeoutError:
            outcome = "none in time"
        except OSError:
            outcome = "broken"
        tally.attempt_ends[name] = time.monotonic()
        tally.answers[outcome] += 1
        if outcome == "200":
            tally.succeeded_starts.append(began)
            return


async def load(tally: Tally, apps: list[Application], rate: float, until: float, seed: int) -> None:
    rng, number, pending = Random(seed), 0, set()
    due = time.monotonic()
    while due < until:
        await asyncio.sleep(max(0.0, due - time.monotonic()))
        tally.max_lateness_s = max(tally.max_lateness_s, time.monotonic() - due)
        number += 1
        task = asyncio.create_task(
            client(tally, apps[number % len(apps)], number, Random(seed * 10**6 + number))
        )
        pending.add(task)
        task.add_done_callback(pending.discard)
        due += rng.expovariate(rate)
    await asyncio.gather(*pending)


def trouble(name: str, boxes: list[Counted], tiers: list[TierApplication], begins: bool) -> None:
    """Start or end a trouble."""
    good = Behaviour(work_ms=WORK_MS, cores=CORES)
    for at, box in enumerate(boxes):
        bad = Behaviour(work_ms=WORK_MS, cores=CORES)
        if name == "last tier stalled" or (name == "box stalled" and at == 0):
            bad.hang = True
        elif name == "last tier fails":
            bad.work_ms, bad.error = 0.0, 10**9
        elif name == "last tier slow":
            bad.slow = 40.0
        box.behaviour = bad if begins else good
    for tier in tiers:
        tier.behaviour.hang = begins and name == "tier two stalled"
        tier.behaviour.work_ms = 1000.0 if begins and name == "tier two late" else 0.0


TROUBLES = (
    "box stalled",
    "last tier stalled",
    "last tier fails",
    "last tier slow",
    "tier two stalled",
    "tier two late",
)


async def play(args: argparse.Namespace, budget: dict[str, Any] | None, folder: Path) -> Tally:
    tally = Tally()
    boxes = [
        Counted(f"box-{at}", Behaviour(work_ms=WORK_MS, cores=CORES)) for at in range(INSTANCES_PER_TIER)
    ]
    for box in boxes:
        box.tally, box.on_begin = tally, box.note
        await box.start()
    tiers = [[TierApplication(f"tier{tier}-{at}") for at in range(INSTANCES_PER_TIER)] for tier in (2, 3)]
    for app in (*tiers[0], *tiers[1]):
        app.behaviour.passes = TRACE | OWN
        app.behaviour.notices = args.notice
        await app.start()
    behind: list[list[tuple[str, str]]] = [
        [(app.name, app.endpoint) for app in tiers[0]],
        [(app.name, app.endpoint) for app in tiers[1]],
        [(box.name, box.endpoint) for box in boxes],
    ]
    rows, entries = [], []
    for tier in range(3):
        for at in range(INSTANCES_PER_TIER):
            port = free_port()
            # The name is that of the application: its instances count as one hop of a path.
            rows.append(configuration(f"tier{tier}", tier, port, behind[tier], budget))
            if tier == 0:
                entries.append(Application(("127.0.0.1", port), PATIENCE_S))
            else:
                tiers[tier - 1][at].next = ("127.0.0.1", port)
    phases: list[tuple[str, float]] = [("calm", args.calm)]
    for name in args.troubles.split(","):
        phases += [(name, args.trouble), ("calm", args.calm)]
    async with Supervisor(folder) as supervisor:
        await asyncio.gather(*(supervisor.sidecar(str(number), row) for number, row in enumerate(rows)))
        tally.began = time.monotonic()
        whole = sum(length for _, length in phases)
        asking = asyncio.create_task(load(tally, entries, args.rate, tally.began + whole, args.seed))
        for name, length in phases:
            began = time.monotonic()
            if name != "calm":
                trouble(name, boxes, tiers[0], True)
            await asyncio.sleep(length)
            if name != "calm":
                trouble(name, boxes, tiers[0], False)
            tally.phases.append((name, began, time.monotonic()))
        await asking
    for stand_in in (*boxes, *tiers[0], *tiers[1]):
        stand_in.stop()
    return tally


def windows(tally: Tally) -> list[float]:
    """Attempts per client request in 10 s windows that start one second apart."""
    first, last = int(tally.began), int(tally.phases[-1][2])
    asked = Counter(int(at) for at in tally.request_starts)
    server_arrivals = Counter(int(at) for at, _ in tally.server_arrivals)
    found = []
    for begin in range(first, max(first + 1, last - WINDOW_S)):
        span = range(begin, begin + WINDOW_S)
        requests = sum(asked[second] for second in span)
        if requests:
            found.append(sum(server_arrivals[second] for second in span) / requests)
    return found


def back_after(tally: Tally) -> dict[str, float | None]:
    """Seconds from each trouble's end until requests succeed as often as before the troubles; None: never."""
    good = set(tally.succeeded_starts)
    calm = [at for at in tally.request_starts if at < tally.phases[0][2]][20:]
    usual = sum(at in good for at in calm) / max(1, len(calm))
    found: dict[str, float | None] = {}
    for (name, _, end), (_, _, until) in zip(tally.phases[1::2], tally.phases[2::2], strict=True):
        answer = None
        for tenth in range(int((until - end - 2.0) * 10)):
            start = end + tenth / 10
            asked = [at for at in tally.request_starts if start <= at < start + 2.0]
            if asked and sum(at in good for at in asked) >= RECOVERED_SHARE * usual * len(asked):
                answer = tenth / 10
                break
        found[name] = answer
    return found


def report(name: str, tally: Tally) -> bool:
    """Print the results; returns whether no unsafe request ran twice."""
    each = Counter(number for _, number in tally.server_arrivals)
    rolled = windows(tally)
    twice = sum(1 for count in tally.unsafe_runs.values() if count > 1)
    tries = sum(tally.answers.values())
    print(
        f"\n{name}: {len(tally.request_starts)} requests, {tries} tries, "
        f"loop late {tally.max_lateness_s * 1000:.0f} ms at most"
    )
    mean = len(tally.server_arrivals) / len(tally.request_starts)
    print(f"  attempts at the servers per request: mean {mean:.3f}, worst 10 s {max(rolled):.3f}, ", end="")
    most = [
        max((count for one, count in each.items() if (one in tally.marking_requests) is marks), default=0)
        for marks in (True, False)
    ]
    print(f"median 10 s {statistics.median(rolled):.3f}, most for one {most[0]} marked, {most[1]} unmarked")
    nobody = sum(1 for _, wanted in tally.work_starts if not wanted)
    share = nobody / len(tally.work_starts)
    print(f"  started for callers who had given up: {nobody} of {len(tally.work_starts)} ({share:.2%})")
    for (trouble_name, begin, end), after in zip(tally.phases[1::2], back_after(tally).values(), strict=True):
        asked = [at for at in tally.request_starts if begin <= at < end]
        got = sum(1 for at in tally.succeeded_starts if begin <= at < end)
        server_arrivals = sum(1 for at, _ in tally.server_arrivals if begin <= at < end)
        work_starts = [wanted for at, wanted in tally.work_starts if begin <= at < end + PATIENCE_S]
        nobody = work_starts.count(False) / len(work_starts) if work_starts else 0.0
        back = "not" if after is None else f"{after:.1f} s after"
        print(
            f"  {trouble_name:<18} {got / len(asked):>6.1%} succeeded, "
            f"{server_arrivals / len(asked):>6.2f} attempts a request, {nobody:>6.1%} for callers gone, back {back}"
        )
    print(f"  answers: {', '.join(f'{key} {count}' for key, count in sorted(tally.answers.items()))}")
    print(f"  unsafe tries that ran twice: {twice}")
    return twice == 0


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--rate", type=float, default=40.0, help="client requests a second (up to 500)")
    parser.add_argument("--calm", type=float, default=10.0, help="seconds of each calm phase")
    parser.add_argument("--trouble", type=float, default=10.0, help="seconds of each trouble")
    parser.add_argument("--troubles", default=",".join(TROUBLES))
    ours = BudgetModel()  # the defaults of a catalogue
    parser.add_argument("--share", type=float, default=ours.share, help="of the retry budget")
    parser.add_argument(
        "--floor", type=float, default=ours.floor_per_s, help="of the retry budget, attempts a second"
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--notice", action="store_true", help="applications cancel work when their caller disconnects"
    )
    parser.add_argument("--only", choices=["plain", "budgets"])
    args = parser.parse_args()
    args.rate = min(args.rate, 500.0)
    budget = {"share": args.share, "floor_per_s": args.floor}
    print(
        f"{platform.machine()}, {os.cpu_count()} cores, Python {platform.python_version()}; {args.rate:g}/s"
    )
    kept = True
    with tempfile.TemporaryDirectory() as folder:
        for name, found in (("plain", None), ("budgets", budget)):
            if args.only in (None, name):
                kept = report(name, asyncio.run(play(args, found, Path(folder)))) and kept
    return 0 if kept else 1


if __name__ == "__main__":
    sys.exit(main())
