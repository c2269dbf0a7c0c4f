"""How long after an update was written a box that it takes away still had a request begun, on every way in.

    python benchmarks/drains.py

A sidecar, four boxes and a load of 12 callers in this process, over loopback; for each way and each form of "gone" the
update is written, the load goes on for a second, and the box's own clock says when it began its last request. The rule
allows 500 ms. Needs the extra `xds`.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import platform
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Any

from loadbalancer.emulator.box import Behaviour, Box, Seen
from loadbalancer.emulator.caller import Application
from loadbalancer.emulator.xds import CLUSTER, ControlPlane, cluster, endpoints
from loadbalancer.runtime.sidecar import Sidecar
from loadbalancer.sidecar.models import Configuration

WAYS: dict[str, dict[str, str]] = {
    "aggregated state": {"updates": "state"},
    "aggregated changes": {},
    "separate state": {"transport": "separate", "updates": "state"},
    "separate changes": {"transport": "separate"},
    "polling": {"transport": "rest"},
    "file": {},
}
GONE: dict[str, dict[str, Any] | None] = {
    "draining": {"health_status": "DRAINING"},
    "unhealthy": {"health_status": "UNHEALTHY"},
    "timed out": {"health_status": "TIMEOUT"},
    "weightless": {"load_balancing_weight": 0},
    "removed": None,
    "cluster": None,
}


class Timed(Box):
    """Knows when it began its last request."""

    last = 0.0

    def take(self, connection: Any, seen: Seen) -> None:
        self.last = time.monotonic()
        super().take(connection, seen)


def configuration(way: str, plane: ControlPlane, path: Path) -> Configuration:
    source: dict[str, Any] = {"source": "xds", "cluster": "ledger"} | WAYS[way]
    if way == "file":
        source["path"] = str(path)
    else:
        source["address"] = plane.rest_endpoint if way == "polling" else plane.endpoint
    kind = {"name": "post", "pool": "boxes", "effect": "unsafe", "aim_ms": 2000.0, "give_up_ms": 4000.0}
    return Configuration.model_validate(
        {
            "kind": "configuration",
            "version": 1,
            "name": "bench",
            "listeners": [{"name": "application", "address": "127.0.0.1:0"}],
            "pools": [{"name": "boxes", "list": source}],
            "classes": [kind],
            "routes": [{"class": "post", "path": "/**"}],
        }
    )


def write(path: Path, rows: list[dict[str, Any]] | None) -> None:
    """Move a bootstrap into place; without rows it has no cluster."""
    found = []
    for row in rows or []:
        host, _, port = row["address"].rpartition(":")
        socket = {"socket_address": {"address": host, "port_value": int(port)}}
        rest = {key: value for key, value in row.items() if key != "address"}
        found.append({"endpoint": {"address": socket}} | rest)
    item = {"name": "ledger", "type": "STATIC", "load_assignment": {"endpoints": [{"lb_endpoints": found}]}}
    new = path.with_suffix(".new")
    new.write_text(json.dumps({"static_resources": {"clusters": [item] if rows is not None else []}}))
    os.replace(new, path)


async def case(way: str, form: str, folder: Path) -> tuple[float, int, int, int]:
    """Lateness of the last request begun in ms, requests answered, those run twice, those without an answer."""
    plane, path = await ControlPlane().start(), folder / f"{way}-{form}.json".replace(" ", "-")
    around = [Timed(f"b{at}", Behaviour(work_ms=4.0)) for at in range(4)]
    for box in around:
        await box.start()
    rows = [{"address": box.endpoint} for box in around]
    plane.put(cluster("ledger"), endpoints("ledger", *rows))
    write(path, rows)
    sidecar = Sidecar(configuration(way, plane, path))
    await sidecar.start()
    over, answered, lost = asyncio.Event(), 0, 0

    async def caller(at: int) -> None:
        nonlocal answered, lost
        app, number = Application(sidecar.listeners["application"].front.server.address), 0
        while not over.is_set():
            number += 1
            try:
                await app.ask("POST", "/x", b"1", {"X-Posting": f"{at}-{number}"})
                answered += 1
            except (OSError, TimeoutError):
                lost += 1

    async with asyncio.timeout(30):
        while not sidecar.ready:
            await asyncio.sleep(0.01)
    callers = [asyncio.create_task(caller(at)) for at in range(12)]
    await asyncio.sleep(0.5)
    told = time.monotonic()
    gone = around if form == "cluster" else around[-1:]
    change = GONE[form]
    left = rows[:-1] + ([rows[-1] | change] if change is not None else [])
    if way == "file":
        write(path, None if form == "cluster" else left)
    elif form == "cluster":
        plane.remove(CLUSTER, "ledger")
    else:
        plane.put(endpoints("ledger", *left))
    await asyncio.sleep(1.0)
    late = max(box.last for box in gone) - told
    over.set()
    await asyncio.gather(*callers)
    ran: Counter[str] = Counter()
    for box in around:
        ran.update(box.ran)
    sidecar.close()
    await plane.stop()
    for box in around:
        box.stop()
    return late * 1000.0, answered, sum(1 for count in ran.values() if count > 1), lost


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--rounds", type=int, default=1)
    args = parser.parse_args()
    print(
        f"{platform.machine()}, {os.cpu_count()} cores, Python {platform.python_version()}; ms after the update"
    )
    print(
        f"{'way':<20}" + "".join(f"{form:>12}" for form in GONE) + f"{'answered':>10}{'twice':>7}{'lost':>6}"
    )
    worst = 0.0
    with tempfile.TemporaryDirectory() as folder:
        for way in WAYS:
            lates, sums = [], [0, 0, 0]
            for form in GONE:
                rounds = [asyncio.run(case(way, form, Path(folder))) for _ in range(args.rounds)]
                lates.append(max(found[0] for found in rounds))
                for found in rounds:
                    sums = [one + two for one, two in zip(sums, found[1:], strict=True)]
            worst = max(worst, *lates)
            print(
                f"{way:<20}"
                + "".join(f"{late:>12.0f}" for late in lates)
                + f"{sums[0]:>10}{sums[1]:>7}{sums[2]:>6}"
            )
    print(f"the latest of all: {worst:.0f} ms of 500")
    return 0 if worst <= 500.0 else 1


if __name__ == "__main__":
    sys.exit(main())
