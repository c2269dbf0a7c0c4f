"""Requests a second and latencies through one node on one core, compared with direct requests to the server.

    python benchmarks/throughput.py                  # this checkout's platform node, sidecar, sidecar with budgets
    python benchmarks/throughput.py --node before=/some/checkout --node after=.   # two versions in one run

All on 127.0.0.1. The server, the node and the load have a core each. Cases alternate for `--rounds` rounds, so that
other load on the machine affects all of them alike; medians are reported.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import platform
import random
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
REQUEST = b"GET /read/7f3a HTTP/1.1\r\nHost: box\r\nReq-Id: %d\r\n\r\n"


def free_port() -> int:
    """Guard: a port in the ephemeral range could be taken by an outgoing connection, even one to itself, before the
    process that is to listen on it has started."""
    while True:
        port = random.randrange(20_000, 32_000)
        try:
            socket.create_server(("127.0.0.1", port)).close()
            return port
        except OSError:
            continue


class Caller(asyncio.Protocol):
    """One connection of a closed loop: sends a request, waits for the answer, repeats until the time is over."""

    def __init__(self, load: Load) -> None:
        self.load = load
        self.transport: asyncio.Transport
        self.sent_at = 0.0
        self.buffer = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.send_request()

    def send_request(self) -> None:
        self.load.sent_count += 1
        self.sent_at = time.perf_counter()
        self.transport.write(REQUEST % self.load.sent_count)

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        head, mark, body = self.buffer.partition(b"\r\n\r\n")
        if not mark:
            return
        at = head.lower().index(b"content-length:") + 15
        if len(body) < int(head[at:].split(b"\r\n", 1)[0]):
            return
        self.buffer = b""
        if self.load.on_answer(head[9:12].decode(), self.sent_at):
            self.send_request()
        else:
            self.transport.close()


class Load:
    good = "200"  # the status of a successful answer

    def __init__(self, connections: int, seconds: float, label: str = "") -> None:
        self.label = label
        self.connections, self.seconds = connections, seconds
        self.latencies: list[float] = []
        self.statuses: dict[str, int] = {}
        self.sent_count = 0
        self.open_connections = connections

    def caller(self) -> asyncio.Protocol:
        return Caller(self)

    def on_answer(self, status: str, sent_at: float) -> bool:
        """Record the answer to a request sent at `sent_at`; returns whether to send another."""
        now = time.perf_counter()
        self.latencies.append(now - sent_at)
        self.statuses[status] = self.statuses.get(status, 0) + 1
        if now < self.end_time:
            return True
        self.open_connections -= 1
        if not self.open_connections:
            self.finished.set_result(None)
        return False

    async def run(self, port: int) -> tuple[float, float, float]:
        """Run the load; returns requests a second, and the median and 99th percentile latency in ms."""
        loop = asyncio.get_running_loop()
        self.finished = loop.create_future()
        began = time.perf_counter()
        self.end_time = began + self.seconds
        for _ in range(self.connections):
            await loop.create_connection(self.caller, "127.0.0.1", port)
        await asyncio.wait_for(self.finished, self.seconds + 30)
        took = time.perf_counter() - began
        bad = {status: count for status, count in self.statuses.items() if status != self.good}
        if bad:
            print(f"  {self.label}: not {self.good}: {bad}", file=sys.stderr)
        served = sorted(self.latencies)
        return len(served) / took, served[len(served) // 2] * 1e3, served[len(served) * 99 // 100] * 1e3


def platform_config(box: int, listen: int) -> dict[str, object]:
    kind = {"name": "read", "aimMs": 1000.0, "giveUpMs": 2500.0, "credit": 1.0, "effect": "free"}
    target = {"uid": "b0", "endpoint": f"127.0.0.1:{box}", "az": "a", "state": "Ready", "boot_ms": 0}
    return {
        "name": "n0",
        "listen": f"127.0.0.1:{listen}",
        "discovery": "127.0.0.1:9",
        "seed": "1",
        "limits": {"sockets": 1024},
        "known": {"rev": 1, "all": True, "targets": [target]},
        "settings": {"bounds": {"maxAttempts": 3}, "categories": [kind], "registryMode": "ask"},
    }


SIDECAR = """kind = "configuration"
version = 1
name = "bench"
[[listeners]]
name = "application"
address = "127.0.0.1:{listen}"
[limits]
descriptors = 1024
[[pools]]
name = "box"
[pools.list]
{source}
[[classes]]
name = "read"
pool = "box"
effect = "safe"
aim_ms = 1000
give_up_ms = 2500
[[routes]]
class = "read"
path = "/read/{{id}}"
"""


STATIC = """source = "static"
[[pools.list.servers]]
id = "b0"
address = "127.0.0.1:{box}\""""


def start(
    command: list[str], core: int, cwd: Path, log: Path, env: dict[str, str]
) -> subprocess.Popen[bytes]:
    return subprocess.Popen(
        command,
        cwd=cwd,
        env=os.environ | env,
        stdout=log.open("wb"),
        stderr=subprocess.STDOUT,
        preexec_fn=lambda: os.sched_setaffinity(0, {core}),
    )


def wait_for(port: int) -> None:
    for _ in range(400):
        try:
            socket.create_connection(("127.0.0.1", port), 1).close()
            return
        except OSError:
            time.sleep(0.025)
    raise SystemExit(f"no process listens on port {port}")


def resident_mb(pid: int) -> float:
    """Resident memory of a process, on Linux."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(float(line.split()[1]) / 1024 for line in lines if line.startswith("VmRSS"))


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument(
        "--node", action="append", default=[], metavar="LABEL=CHECKOUT", help="platform nodes"
    )
    parser.add_argument("--no-sidecar", action="store_true")
    parser.add_argument("--connections", type=int, default=32)
    parser.add_argument("--seconds", type=float, default=3.0)
    parser.add_argument("--rounds", type=int, default=5)
    args = parser.parse_args()
    cores = sorted(os.sched_getaffinity(0))
    if len(cores) < 3:
        raise SystemExit("three cores are needed: for the server, the node and the load")
    os.sched_setaffinity(0, {cores[2]})
    nodes = dict(item.split("=", 1) for item in args.node) or {"node": str(ROOT)}
    running: list[subprocess.Popen[bytes]] = []
    with tempfile.TemporaryDirectory() as folder:
        try:
            box = free_port()
            command = [sys.executable, "-m", "loadbalancer.emulator.box", "--port", str(box)]
            running.append(start(command, cores[0], ROOT, Path(folder, "box.log"), {}))
            ports = {"direct": box}
            for label, root in nodes.items():
                ports[label] = free_port()
                path = Path(folder, f"{label}.json")
                path.write_text(json.dumps(platform_config(box, ports[label])))
                log = Path(folder, f"{label}.log")
                command = [sys.executable, "-m", "loadbalancer"]
                running.append(
                    start(command, cores[1], Path(root).resolve(), log, {"PROXY_CONFIG": str(path)})
                )
            for label, more in () if args.no_sidecar else (("sidecar", ""), ("budgets", "[budget]\n")):
                ports[label] = free_port()
                path = Path(folder, f"{label}.toml")
                path.write_text(SIDECAR.format(listen=ports[label], source=STATIC.format(box=box)) + more)
                command = [
                    sys.executable,
                    "-c",
                    "import sys; from loadbalancer.cli import main; sys.exit(main())",
                ]
                command += ["sidecar", str(path)]
                running.append(start(command, cores[1], ROOT, Path(folder, f"{label}.log"), {}))
            for port in ports.values():
                wait_for(port)
            rows: dict[str, list[tuple[float, float, float]]] = {label: [] for label in ports}
            for _ in range(args.rounds):
                for label, port in ports.items():
                    rows[label].append(asyncio.run(Load(args.connections, args.seconds, label).run(port)))
            memory = {label: resident_mb(process.pid) for label, process in zip(ports, running, strict=True)}
        finally:
            for process in running:
                process.terminate()
            for process in running:
                process.wait()
    print(
        f"{args.connections} connections, {args.rounds} rounds of {args.seconds:g} s each, medians; "
        f"{platform.machine()}, {os.cpu_count()} cores, Python {platform.python_version()}"
    )
    print(
        f"{'case':<12}{'requests/s':>12}{'of direct':>11}{'p50 ms':>9}{'p99 ms':>9}{'least':>10}{'most':>10}"
    )
    direct = statistics.median(rate for rate, _, _ in rows["direct"])
    for label, found in rows.items():
        rate, p50, p99 = (statistics.median(column) for column in zip(*found, strict=True))
        rates = [item[0] for item in found]
        print(
            f"{label:<12}{rate:>12.0f}{rate / direct:>11.3f}{p50:>9.2f}{p99:>9.2f}{min(rates):>10.0f}"
            f"{max(rates):>10.0f}{memory[label]:>7.1f}"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
