"""Large numbers of clusters and endpoints: time and memory until first served, and delay until an update is in force.

    python benchmarks/xds_updates.py

The emulated control plane runs in this process, its client in another. Needs the extra `xds`.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import platform
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from throughput import ROOT, SIDECAR, Load, free_port, resident_mb, start, wait_for

from loadbalancer.emulator.xds import ControlPlane, cluster, endpoints

TIMEOUT_S = 120.0


def rows(count: int, first: int = 0) -> list[dict[str, Any]]:
    return [
        {"address": f"10.{at >> 16 & 255}.{at >> 8 & 255}.{at & 255}:7000", "load_balancing_weight": 1}
        for at in range(first + 1, first + count + 1)
    ]


async def follow(address: str, count: int, delta: bool) -> None:
    """The client process: prints JSON lines when all clusters were first served and at each change of the first one."""
    from loadbalancer.discovery.endpoint_list import EndpointList
    from loadbalancer.xds.protocol import XdsClient
    from loadbalancer.xds.stream import XdsStream

    names = [f"c{at}" for at in range(count)]
    before, began = resident_mb(os.getpid()), time.time()
    client, endpoint_list, served = XdsClient("bench", names, delta), EndpointList(), None
    first = False

    def on_change() -> None:
        nonlocal first, served
        if not first and all(client.served(name) is not None for name in names):
            first = True
            print(
                json.dumps({"first_s": time.time() - began, "mb": resident_mb(os.getpid()) - before}),
                flush=True,
            )
        now = client.served("c0")
        if first and now != served and now is not None:
            served = now
            endpoint_list.replace(time.time() * 1000.0, now.entries, now.levels)
            print(json.dumps({"weight": now.entries[0].server.weight, "at": time.time()}), flush=True)

    stream = XdsStream(address, client, lambda: time.time() * 1000.0, on_change)
    stream.start()
    await asyncio.sleep(TIMEOUT_S)


async def measure_updates(
    clusters: int, each: int, delta: bool, updates: int
) -> tuple[float, float, list[float]]:
    plane = await ControlPlane().start()
    plane.put(*(cluster(f"c{at}") for at in range(clusters)), tell=False)
    plane.put(*(endpoints(f"c{at}", *rows(each, at * each)) for at in range(clusters)), tell=False)
    arguments = ["--follow", plane.endpoint, "--clusters", str(clusters)] + (["--delta"] if delta else [])
    process = await asyncio.create_subprocess_exec(
        sys.executable, __file__, *arguments, cwd=ROOT, stdout=subprocess.PIPE, limit=2**20
    )
    assert process.stdout is not None
    try:
        async with asyncio.timeout(TIMEOUT_S):
            first = json.loads(await process.stdout.readline())
            await process.stdout.readline()
            delays_ms = []
            for at in range(updates):
                changed = rows(each)
                changed[0]["load_balancing_weight"] = 2 + at
                message = endpoints("c0", *changed)
                sent_at = time.time()
                plane.put(message)
                delays_ms.append((json.loads(await process.stdout.readline())["at"] - sent_at) * 1000.0)
    finally:
        process.kill()
        await process.wait()
        await plane.stop()
    return first["first_s"], first["mb"], delays_ms


async def measure_under_load(seconds: float) -> list[tuple[str, float, float]]:
    """Requests a second and 99th percentile through a sidecar, without updates and with 10 updates a second."""
    plane = await ControlPlane().start()
    cores = sorted(os.sched_getaffinity(0))
    running = []
    results = []
    with tempfile.TemporaryDirectory() as folder:
        try:
            port, listen = free_port(), free_port()
            command = [sys.executable, "-m", "loadbalancer.emulator.box", "--port", str(port)]
            running.append(start(command, cores[0], ROOT, Path(folder, "box.log"), {}))
            live = {"address": f"127.0.0.1:{port}"}
            idle = [row | {"health_status": "DRAINING"} for row in rows(200)]
            plane.put(cluster("box"), endpoints("box", live, *idle))
            path = Path(folder, "sidecar.toml")
            path.write_text(SIDECAR.format(listen=listen, source=XDS.format(plane=plane.endpoint)))
            command = [sys.executable, "-m", "loadbalancer.cli", "sidecar", str(path)]
            running.append(start(command, cores[1], ROOT, Path(folder, "sidecar.log"), {}))
            await asyncio.to_thread(wait_for, listen)
            await asyncio.sleep(1.0)

            async def update() -> None:
                for at in range(int(seconds * 10)):
                    idle[0]["load_balancing_weight"] = 1 + at
                    plane.put(endpoints("box", live, *idle))
                    await asyncio.sleep(0.1)

            for label, with_updates in (
                ("still", False),
                ("10 updates a second", True),
                ("still again", False),
            ):
                task = asyncio.create_task(update()) if with_updates else None
                rate, _, p99 = await Load(32, seconds).run(listen)
                if task is not None:
                    task.cancel()
                results.append((label, rate, p99))
        finally:
            for process in running:
                process.terminate()
            for process in running:
                process.wait()
            await plane.stop()
    return results


XDS = """source = "xds"
address = "{plane}"
cluster = "box\""""


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--updates", type=int, default=20)
    parser.add_argument("--seconds", type=float, default=5.0, help="duration of each load")
    parser.add_argument("--follow", help=argparse.SUPPRESS)
    parser.add_argument("--clusters", type=int, default=1, help=argparse.SUPPRESS)
    parser.add_argument("--delta", action="store_true", help=argparse.SUPPRESS)
    args = parser.parse_args()
    if args.follow:
        asyncio.run(follow(args.follow, args.clusters, args.delta))
        return 0
    print(f"{platform.machine()}, {os.cpu_count()} cores, Python {platform.python_version()}")
    print(f"{'clusters x endpoints':<22}{'stream':<13}{'first s':>8}{'MB':>7}{'update ms':>11}{'most ms':>9}")
    for clusters, each in ((1, 10), (1000, 10), (1, 10_000)):
        for delta in (False, True):
            first, memory, delays_ms = asyncio.run(measure_updates(clusters, each, delta, args.updates))
            name = "incremental" if delta else "state"
            print(
                f"{f'{clusters} x {each}':<22}{name:<13}{first:>8.2f}{memory:>7.1f}"
                f"{statistics.median(delays_ms):>11.1f}{max(delays_ms):>9.1f}"
            )
    print("a sidecar, 32 connections, one server and 200 draining endpoints")
    for label, rate, p99 in asyncio.run(measure_under_load(args.seconds)):
        print(f"{label:<22}{rate:>10.0f} requests/s{p99:>9.2f} ms p99")
    return 0


if __name__ == "__main__":
    sys.exit(main())
