"""Stops, kills and restarts a zone of servers, cold: does the service recover fully?

    python benchmarks/zone_return.py

Each sidecar is a process, and so is each zone of emulated servers. Callers send at a steady rate and make up to three
attempts when refused, respecting Retry-After; latency counts from the time when a request was due. One zone is stopped
(SIGSTOP), killed and restarted cold at the same addresses. Lists are static: sidecars are not informed.

Prints, for each second, the share answered in time by class and the requests that each zone accepted, then the crashes
of cold servers.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import platform
import signal
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from random import Random

from loadbalancer.emulator.caller import Application
from loadbalancer.test_rig.processes import Supervisor

AIM_S, GIVE_UP_S = 1.0, 2.5
CLASSES = {"high": 12.0, "low": 2.0}
MIN_RETRY_WAIT_S = 0.1  # minimum wait before a retry


def configuration(args: argparse.Namespace, at: int, boxes: dict[str, list[str]]) -> dict[str, object]:
    deadlines = {"aim_ms": AIM_S * 1000.0, "give_up_ms": GIVE_UP_S * 1000.0}
    servers = [
        {"id": one.replace(":", "-"), "address": one, "zone": zone}
        for zone, addresses in boxes.items()
        for one in addresses
    ]
    return {
        "kind": "configuration",
        "version": 1,
        "name": f"sidecar-{at}",
        "listeners": [{"name": "application", "address": f"127.2.0.{at + 1}:7600"}],
        "admin": {"address": f"127.2.0.{at + 1}:7601"},
        "zone": sorted(boxes)[at % len(boxes)],
        "rules": {"cold_from": 0.125, "cold_ms": args.cold_ms, "overload_factor": 4.0},
        "pools": [
            {
                "name": "boxes",
                "siblings": args.sidecars,
                "zones": sorted(boxes),
                "list": {"source": "static", "servers": servers},
            }
        ],
        "classes": [
            {"name": name, "pool": "boxes", "effect": "safe", "worth": worth} | deadlines
            for name, worth in CLASSES.items()
        ],
        "routes": [{"class": name, "path": f"/{name}/**"} for name in CLASSES],
    }


class Load:
    def __init__(self, apps: list[Application], rate: float, tries: int, seed: int) -> None:
        self.apps, self.rate, self.tries, self.rng = apps, rate, tries, Random(seed)
        self.due: Counter[tuple[int, str]] = Counter()
        self.in_time: Counter[tuple[int, str]] = Counter()
        self.statuses: Counter[str] = Counter()
        self.attempt_count = 0
        self.max_lateness_s = 0.0

    async def run(self, seconds: float) -> None:
        began, at = time.monotonic(), 0.0
        pending: set[asyncio.Task[None]] = set()
        while at < seconds:
            await asyncio.sleep(max(0.0, began + at - time.monotonic()))
            self.max_lateness_s = max(self.max_lateness_s, time.monotonic() - began - at)
            name = "high" if self.rng.random() < 0.5 else "low"
            app = self.apps[self.rng.randrange(len(self.apps))]
            task = asyncio.create_task(self._one(began + at, int(at), name, app))
            pending.add(task)
            task.add_done_callback(pending.discard)
            at += self.rng.expovariate(self.rate)
        await asyncio.gather(*pending)

    async def _one(self, due: float, second: int, name: str, app: Application) -> None:
        self.due[second, name] += 1
        for number in range(self.tries):
            left = due + GIVE_UP_S - time.monotonic()
            if left <= 0.0:
                return
            self.attempt_count += 1
            wait = MIN_RETRY_WAIT_S * 2.0**number
            try:
                async with asyncio.timeout(left):
                    reply = await app.ask("GET", f"/{name}/{second}", b"", {})
            except (TimeoutError, OSError) as error:
                self.statuses[type(error).__name__] += 1
                continue
            self.statuses[str(reply.status)] += 1
            if reply.status == 200:
                self.in_time[second, name] += time.monotonic() - due <= AIM_S
                return
            retry_after = reply.headers.get(b"retry-after")
            if retry_after is not None:
                wait = max(wait, float(retry_after))
            await asyncio.sleep(wait)


async def play(args: argparse.Namespace, folder: Path) -> None:
    boxes = {
        zone: [f"127.1.{at + 1}.{one + 1}:7070" for one in range(args.boxes)] for at, zone in enumerate("abc")
    }

    def command(zone: str, *increase: str) -> list[str]:
        record = str(folder / f"{zone}.jsonl")
        fixed = ["--work-ms", str(args.work_ms), "--cold-ms", str(args.cold_ms), "--record", record]
        return ["-m", "loadbalancer.test_rig.boxes", *fixed, *increase, *boxes[zone]]

    async with Supervisor(folder) as supervisor:
        await asyncio.gather(*(supervisor.start(f"zone-{zone}", command(zone), "ready") for zone in boxes))
        rows = [configuration(args, at, boxes) for at in range(args.sidecars)]
        await asyncio.gather(*(supervisor.sidecar(str(row["name"]), row) for row in rows))
        apps = [Application((f"127.2.0.{at + 1}", 7600), GIVE_UP_S) for at in range(args.sidecars)]
        load = Load(apps, args.rate, args.tries, args.seed)
        began = time.monotonic()
        running = asyncio.create_task(load.run(args.seconds))
        await asyncio.sleep(args.stop_at)
        supervisor.running["zone-b"].send(signal.SIGSTOP)
        await asyncio.sleep(began + args.back_at - time.monotonic())
        await supervisor.kill("zone-b")
        await supervisor.start("zone-b", command("b", "--cold"), "ready")
        restarted_s = time.monotonic() - began
        await running
        for app in apps:
            app.close()
    report(args, load, folder, boxes, began, restarted_s)


def report(
    args: argparse.Namespace,
    load: Load,
    folder: Path,
    boxes: dict[str, list[str]],
    began: float,
    restarted_s: float,
) -> None:
    taken: Counter[tuple[int, str]] = Counter()
    crashes = 0
    for zone in boxes:
        last: dict[str, list[int]] = {}
        for line in (folder / f"{zone}.jsonl").read_text().splitlines():
            row = json.loads(line)
            for name, counts in row["boxes"].items():
                before = last.get(name, [0, 0])
                # The counts of a restarted process begin at zero.
                increase = [
                    now - then if now >= then else now for now, then in zip(counts, before, strict=True)
                ]
                taken[int(row["at"] - began), zone] += increase[0]
                crashes += increase[1]
                last[name] = counts

    def share(name: str, start_s: float, end_s: float) -> float:
        seconds = range(int(start_s), int(end_s))
        due = sum(load.due[second, name] for second in seconds)
        return sum(load.in_time[second, name] for second in seconds) / max(1, due)

    print(f"{'s':>3} {'high':>6} {'low':>6}  taken by zone")
    for second in range(int(args.seconds)):
        high, low = (share(name, second, second + 1) for name in CLASSES)
        zones = " ".join(f"{taken[second, zone]:>5}" for zone in boxes)
        print(f"{second:>3} {high:>6.2f} {low:>6.2f}  {zones}")
    warm = restarted_s + args.cold_ms / 1000.0

    for phase, start_s, end_s in (
        ("away", args.stop_at + 2, restarted_s),
        ("warming", restarted_s, warm),
        ("8 s after warm, to the end", warm + 8, args.seconds - 1),
    ):
        print(f"{phase}: high {share('high', start_s, end_s):.3f}, low {share('low', start_s, end_s):.3f}")
    print(
        f"tries a request {load.attempt_count / sum(load.due.values()):.2f}, crashes of cold servers {crashes}, ",
        end_s="",
    )
    print(f"callers late by {load.max_lateness_s * 1000:.0f} ms at most, {dict(load.statuses)}")


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--rate", type=float, default=510.0, help="requests a second (up to 1,000)")
    parser.add_argument("--sidecars", type=int, default=12, help="up to 64")
    parser.add_argument("--boxes", type=int, default=4, help="servers in each of three zones (up to 64)")
    parser.add_argument(
        "--work-ms", type=float, default=20.0, help="service time of a request on a server's one core"
    )
    parser.add_argument("--cold-ms", type=float, default=6000.0, help="warm-up time of a started server")
    parser.add_argument("--tries", type=int, default=3)
    parser.add_argument("--stop-at", type=float, default=6.0, help="seconds")
    parser.add_argument("--back-at", type=float, default=14.0)
    parser.add_argument("--seconds", type=float, default=40.0, help="up to 600")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--keep", type=Path, help="folder for logs and counts")
    args = parser.parse_args()
    args.rate, args.sidecars = min(args.rate, 1000.0), min(args.sidecars, 64)
    args.boxes, args.seconds = min(args.boxes, 64), min(args.seconds, 600.0)
    print(
        f"{platform.machine()}, {os.cpu_count()} cores, Python {platform.python_version()}; {args.rate:g}/s"
    )
    if args.keep is not None:
        args.keep.mkdir(parents=True, exist_ok=True)
        asyncio.run(play(args, args.keep))
    else:
        with tempfile.TemporaryDirectory() as folder:
            asyncio.run(play(args, Path(folder)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
