"""Load on a fresh sidecar with one core: requests served, refused and lost, in a closed and an open loop.

    python benchmarks/own_load.py closed                       # idle servers, 4 to 1,024 connections
    python benchmarks/own_load.py core                         # idle servers, an open loop beyond the core's capacity
    python benchmarks/own_load.py boxes --rates 0.7,2,5        # servers with 800/s in total, an open loop
    python benchmarks/own_load.py boxes --node before=/some/checkout --node after=.    # two versions in one run

A sidecar is started for each row. Latency counts from when a request is assigned to a connection, which may have to be
opened for it; an arrival without a free connection, when no more may be opened, is counted as "not sent". All on
127.0.0.1; the sidecar has one core, the servers two, the load the rest.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import platform
import random
import subprocess
import sys
import tempfile
import time
import urllib.request
from collections import Counter, deque
from pathlib import Path
from typing import Any

from throughput import ROOT, free_port, start, wait_for

BOXES = 4
AIM_S, GIVE_UP_S = 1.0, 2.5
TICK_S = 0.002
DRAIN_S = 4.0  # wait after the load for open requests
REQUEST = b"GET /balance/7f3a HTTP/1.1\r\nHost: box\r\nAccept: application/json\r\n\r\n"
CONFIGURATION = """kind = "configuration"
version = 1
name = "own-load"
[[listeners]]
name = "application"
address = "127.0.0.1:{listen}"
[admin]
address = "127.0.0.1:{admin}"
[limits]
{limits}
max_open = 100000
[[pools]]
name = "boxes"
[pools.list]
source = "static"
{servers}
[[classes]]
name = "read"
pool = "boxes"
effect = "safe"
aim_ms = 1000
give_up_ms = 2500
[[routes]]
class = "read"
path = "/**"
"""


class Caller(asyncio.Protocol):
    """One connection, with one request at a time."""

    def __init__(self, load: Load) -> None:
        self.load = load
        self.transport: asyncio.Transport | None = None
        self.asked_at: float | None = None
        self.buffer = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.load.open_connections += 1
        self.load.max_open_connections = max(self.load.max_open_connections, self.load.open_connections)
        if self.asked_at is not None:
            transport.write(REQUEST)

    def ask(self, now: float) -> None:
        self.asked_at = now
        if self.transport is not None:
            self.transport.write(REQUEST)

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        head, mark, body = self.buffer.partition(b"\r\n\r\n")
        if not mark:
            return
        low = head.lower()
        at = low.index(b"content-length:") + 15
        if len(body) < int(head[at:].split(b"\r\n", 1)[0]):
            return
        self.buffer = b""
        asked_at, self.asked_at = self.asked_at, None
        if asked_at is not None:
            at = low.find(b"proxy-status:")
            proxy_error = (
                low[at:].split(b"\r\n", 1)[0].split(b"error=")[-1].split(b";")[0] if at >= 0 else b""
            )
            self.load.answered(head[9:12].decode(), proxy_error.decode(), asked_at)
        if b"connection: close" in low:
            assert self.transport is not None
            self.transport.close()
        else:
            self.load.free(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.load.open_connections -= 1
        self.load.on_connection_lost(self, "reset" if exc is not None else "closed")


class Load:
    def __init__(self, how: dict[str, Any]) -> None:
        self.how = how
        self.ports: list[int] = how["ports"]
        self.counts: Counter[str] = Counter()
        self.taken: list[float] = []
        self.idle: deque[Caller] = deque()
        self.open = self.open_connections = self.max_open_connections = 0
        self.opened = 0
        self.closed = how["rate"] == 0
        self.over = False

    def answered(self, status: str, proxy_error: str, asked_at: float) -> None:
        now = time.perf_counter()
        took = now - asked_at
        if asked_at < self.begins or asked_at > self.ends:
            return
        self.counts[f"said {status} {proxy_error}".strip()] += 1
        if status != "200":
            self.counts["refused" if status == "503" else "failed"] += 1
            if took > GIVE_UP_S:
                self.counts["told late"] += 1
        elif took > AIM_S:
            self.counts["late"] += 1
            self.counts["after give-up"] += took > GIVE_UP_S
        else:
            self.counts["in time"] += 1
        if status == "200":
            self.taken.append(took)

    def free(self, caller: Caller) -> None:
        if self.closed and time.perf_counter() < self.ends:
            self.counts["sent"] += time.perf_counter() >= self.begins
            caller.ask(time.perf_counter())
        else:
            self.idle.append(caller)

    def on_connection_lost(self, caller: Caller, how: str) -> None:
        self.open -= 1
        if caller.asked_at is not None and self.begins <= caller.asked_at <= self.ends and not self.over:
            self.counts["no answer"] += 1
            self.counts[f"no answer: {how}"] += 1
        if caller in self.idle:
            self.idle.remove(caller)
        if self.closed and not self.over and time.perf_counter() < self.ends:
            self.connect(time.perf_counter())

    def connect(self, now: float) -> None:
        self.open += 1
        self.opened += 1
        caller = Caller(self)
        caller.asked_at = now
        self.counts["sent"] += self.begins <= now <= self.ends

        async def go() -> None:
            loop = asyncio.get_running_loop()
            try:
                async with asyncio.timeout(GIVE_UP_S + DRAIN_S):
                    port = self.ports[self.opened % len(self.ports)]
                    await loop.create_connection(lambda: caller, "127.0.0.1", port)
            except (OSError, TimeoutError):
                self.on_connection_lost(caller, "not connected")

        task = asyncio.create_task(go())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def run(self) -> dict[str, Any]:
        how = self.how
        self.tasks: set[asyncio.Task[None]] = set()
        began = time.perf_counter()
        self.begins = began + how["warm_s"]
        self.ends = self.begins + how["seconds"]
        if self.closed:
            for _ in range(how["connections"]):
                self.connect(time.perf_counter())
                await asyncio.sleep(0)
            while time.perf_counter() < self.ends:
                await asyncio.sleep(0.05)
        else:
            rng = random.Random(how["seed"])
            due = began
            while due < self.ends:
                now = time.perf_counter()
                while due <= now:
                    self.on_arrival(now)
                    due += rng.expovariate(how["rate"])
                await asyncio.sleep(TICK_S)
        until = time.perf_counter() + DRAIN_S
        while time.perf_counter() < until and self.counts["sent"] > self.accounted_count():
            await asyncio.sleep(0.02)
        self.over = True
        self.counts["no answer"] += max(0, self.counts["sent"] - self.accounted_count())
        self.counts["opened"] = self.opened
        return {"counts": self.counts, "taken": self.taken, "held": self.max_open_connections}

    def accounted_count(self) -> int:
        found = self.counts
        return sum(found[name] for name in ("refused", "failed", "in time", "late", "no answer"))

    def on_arrival(self, now: float) -> None:
        while self.idle:
            caller = self.idle.pop()
            if caller.transport is not None and not caller.transport.is_closing():
                self.counts["sent"] += self.begins <= now <= self.ends
                caller.ask(now)
                return
        if self.open < self.how["connections"]:
            self.connect(now)
        else:
            self.counts["not sent"] += self.begins <= now <= self.ends


def play(args: argparse.Namespace, root: str | None, row: dict[str, Any], cores: list[int]) -> dict[str, Any]:
    """Run one row with fresh servers, a fresh sidecar (none if `root` is None) and the load."""
    running: list[subprocess.Popen[bytes]] = []
    with tempfile.TemporaryDirectory() as folder:
        try:
            boxes = [free_port() for _ in range(BOXES)]
            for at, port in enumerate(boxes):
                command = [
                    sys.executable,
                    "-m",
                    "loadbalancer.emulator.box",
                    "--port",
                    str(port),
                    "--name",
                    f"b{at}",
                ]
                slow = args.slow if at == 0 else 1.0
                command += [
                    "--work-ms",
                    str(row["work_ms"] * slow),
                    "--cores",
                    "4" if row["work_ms"] else "64",
                ]
                running.append(start(command, cores[1 + at % 2], ROOT, Path(folder, f"b{at}.log"), {}))
            ports, admin = boxes, 0
            if root is not None:
                listen, admin = free_port(), free_port()
                servers = "".join(
                    f'[[pools.list.servers]]\nid = "b{at}"\naddress = "127.0.0.1:{port}"\n'
                    for at, port in enumerate(boxes)
                )
                limits = f"descriptors = {row['descriptors']}"
                path = Path(folder, "sidecar.toml")
                path.write_text(
                    CONFIGURATION.format(listen=listen, admin=admin, limits=limits, servers=servers)
                    + ("[budget]\n" if args.budget else "")
                )
                command = [
                    sys.executable,
                    "-c",
                    "import sys; from loadbalancer.cli import main; sys.exit(main())",
                ]
                command += ["sidecar", str(path)]
                log = Path(args.logs or folder, f"{row['label']}-{row['name']}.log".replace(" ", "-"))
                node = start(
                    command, cores[0], Path(root).resolve(), log, {"PYTHONPATH": str(Path(root).resolve())}
                )
                running.append(node)
                ports = [listen]
            for port in (*boxes, *ports):
                wait_for(port)
            loads = []
            procs = args.procs
            for at in range(procs):
                share = {
                    "ports": ports,
                    "rate": row["rate"] / procs,
                    "connections": max(1, row["connections"] // procs),
                    "warm_s": args.warm,
                    "seconds": args.seconds,
                    "seed": args.seed * 100 + at,
                }
                core = cores[3 + at % (len(cores) - 3)]
                command = [sys.executable, __file__, "--load", json.dumps(share)]
                loads.append(
                    subprocess.Popen(
                        command,
                        stdout=subprocess.PIPE,
                        preexec_fn=lambda core=core: os.sched_setaffinity(0, {core}),
                    )
                )
                running.append(loads[-1])
            spent = [cpu_s(running[BOXES].pid)] if root is not None else [0.0]
            outs = [json.loads(load.communicate(timeout=args.warm + args.seconds + 60)[0]) for load in loads]
            counts: Counter[str] = Counter()
            for out in outs:
                counts.update(out["counts"])
            taken = sorted(latency for out in outs for latency in out["taken"])
            page = fetch(admin, "/load") if admin else None
            if root is not None:
                spent.append(cpu_s(running[BOXES].pid))
            return {
                "counts": counts,
                "taken": taken,
                "held": sum(out["held"] for out in outs),
                "page": page,
                "cpu": spent[-1] - spent[0],
            }
        finally:
            for process in running:
                process.terminate()
            for process in running:
                process.wait()


def cpu_s(pid: int) -> float:
    """Processor time used by a process, on Linux."""
    words = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(words[11]) + int(words[12])) / os.sysconf("SC_CLK_TCK")


def fetch(port: int, path: str) -> Any:
    try:
        with urllib.request.urlopen(f"http://127.0.0.1:{port}{path}", timeout=3) as answer:
            return json.loads(answer.read())
    except (OSError, ValueError):
        return None


def rows_of(args: argparse.Namespace) -> list[dict[str, Any]]:
    numbers = [int(word) for word in args.connections.split(",")]
    descriptor_limits = [int(word) for word in args.descriptors.split(",")]
    if args.case == "closed":
        return [
            {
                "name": f"closed {count}",
                "rate": 0.0,
                "connections": count,
                "descriptors": descriptors,
                "work_ms": 0.0,
            }
            for descriptors in descriptor_limits
            for count in numbers
        ]
    rates = [float(word) for word in args.rates.split(",")]
    work_ms = 0.0 if args.case == "core" else 20.0
    capacity = args.capacity if args.case == "core" else BOXES * 4 / (work_ms / 1000.0)
    return [
        {
            "name": f"{rate:g}x {count} {descriptors}",
            "rate": rate * capacity,
            "capacity": capacity,
            "connections": count,
            "descriptors": descriptors,
            "work_ms": work_ms,
        }
        for descriptors in descriptor_limits
        for count in numbers
        for rate in rates
    ]


def main() -> int:
    if sys.argv[1:2] == ["--load"]:
        found = asyncio.run(Load(json.loads(sys.argv[2])).run())
        print(json.dumps(found))
        return 0
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("case", choices=("closed", "core", "boxes"))
    parser.add_argument("--node", action="append", default=[], metavar="LABEL=CHECKOUT")
    parser.add_argument("--direct", action="store_true", help="also run round robin without a sidecar")
    parser.add_argument("--connections", help="callers' connections at most; default 4..1024, or 4096")
    parser.add_argument("--descriptors", default="4096", help="of the sidecar")
    parser.add_argument("--rates", default="0.7,1.5,2,2.5,5", help="offered, as multiples of the capacity")
    parser.add_argument("--capacity", type=float, default=5000.0, help="of the core, requests a second")
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument(
        "--warm", type=float, default=None, help="warm-up before that in seconds, not counted"
    )
    parser.add_argument(
        "--slow", type=float, default=1.0, help="factor of the service time at the first server"
    )
    parser.add_argument("--procs", type=int, default=2, help="of the load")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--budget", action="store_true", help="with [budget]")
    parser.add_argument("--logs", help="folder for the sidecars' logs")
    parser.add_argument("--pages", action="store_true", help="print /load after each row")
    args = parser.parse_args()
    closed = args.case == "closed"
    args.connections = args.connections or ("4,32,128,512,1024" if closed else "1024")
    args.warm = (0.0 if closed else 2.0) if args.warm is None else args.warm
    cores = sorted(os.sched_getaffinity(0))
    if len(cores) < 4:
        raise SystemExit("four cores are needed: for the sidecar, the servers and the load")
    nodes: dict[str, str | None] = dict(item.split("=", 1) for item in args.node) or {"here": str(ROOT)}
    if args.direct:
        nodes["direct"] = None
    print(
        f"{args.case}, {args.seconds:g} s after {args.warm:g} s, {args.procs} processes of load; "
        f"{platform.machine()}, {len(cores)} cores, Python {platform.python_version()}"
    )
    names = ("in time/s", "of cap", "refused", "late", "no answer", "told late", "failed", "not sent")
    print(
        f"{'row':<18}{'node':<8}"
        + "".join(f"{name:>10}" for name in names)
        + f"{'p50 ms':>9}{'p99 ms':>9}{'cpu':>6}"
    )
    for row in rows_of(args):
        for label, root in nodes.items():
            found = play(args, root, row | {"label": label}, cores)
            counts, taken = found["counts"], found["taken"]
            rate = counts["in time"] / args.seconds
            cap = f"{rate / row['capacity']:.2f}" if row.get("capacity") else "-"
            print(
                f"{row['name']:<18}{label:<8}{rate:>10.0f}{cap:>10}"
                + "".join(f"{counts[name]:>10}" for name in names[2:])
                + "".join(f"{taken[len(taken) * at // 100] * 1e3 if taken else 0:>9.1f}" for at in (50, 99))
                + f"{found['cpu'] / (args.seconds + args.warm):>6.2f}",
                flush=True,
            )
            answer_counts = {
                name: count
                for name, count in sorted(counts.items())
                if name.startswith(("said", "no answer:"))
            }
            print(f"    {answer_counts}, opened {counts['opened']}, held {found['held']}")
            if args.pages:
                print(json.dumps(found["page"], indent=1))
    return 0


if __name__ == "__main__":
    sys.exit(main())
