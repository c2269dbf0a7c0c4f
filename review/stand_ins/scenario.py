"""The frame of a script: starts a tier and its servers, runs a scenario, writes the record, ends every process."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from stand_ins.http_client import Call, call
from stand_ins.model_server import ModelServer, Run, stop_all
from stand_ins.tier import Tier

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
SCENARIO_LIMIT_S = 105.0  # without the start; a script may run for 120 s
HOST = "desk.example"
SERVICE = "ledger-assist"
LIVE_PREFIX = "/explain/"
RESUMABLE_PREFIX = "/review/"
BATCH_PREFIX = "/lots-in/"
MAX_QUEUED_TOKENS = 1_200_000


class Setup:
    """A running tier with its servers, and the record of what was sent, answered and run."""

    def __init__(self, tier: Tier, record_path: Path) -> None:
        self.tier = tier
        self.servers: list[ModelServer] = []
        self.runs: list[Run] = []
        self._record = record_path.open("w", encoding="utf-8")
        self._began_s = time.monotonic()
        self._last_run_s = self._began_s

    def note(self, text: str) -> None:
        """Write a line of the record."""
        self._record.write(f"{time.monotonic() - self._began_s:8.3f} s  {text}\n")
        self._record.flush()

    def on_run(self, run: Run) -> None:
        """Record that a server began to run a request."""
        self.runs.append(run)
        self._last_run_s = time.monotonic()
        self.note(f"a server runs {run.method} {run.path} with id {run.request_id}")

    def seconds_without_runs(self) -> float:
        """Return how long no server has begun to run a request."""
        return time.monotonic() - self._last_run_s

    async def add_servers(self, count: int) -> None:
        """Start servers that register themselves."""
        for index in range(count):
            zone = f"zone-{'abc'[index % 3]}"
            server = ModelServer(SERVICE, self.tier.controls, self.on_run, zone)
            await server.start()
            self.servers.append(server)

    async def put_configuration(self) -> bool:
        """Send the first configuration until it is taken."""
        body = json.dumps(configuration()).encode()
        until_s = time.monotonic() + 25.0
        while time.monotonic() < until_s:
            for address in self.tier.controls:
                headers = {"If-Match": "0", "Content-Type": "application/json"}
                answer = await call(address, Call("PUT", "/v1/config", headers, body, 1.0))
                if answer.status == 200:
                    return True
            await asyncio.sleep(0.2)
        return False

    def close(self) -> None:
        """Close the record."""
        self._record.close()


def configuration() -> dict[str, Any]:
    """Return the first configuration: a stream that runs once at most, and a route for batch jobs."""
    common = {"Host": HOST, "Priority": 0, "Sticky": True, "gap_aim_ms": 250, "Service": SERVICE}
    live = {
        "Name": "explain",
        "PathPrefix": LIVE_PREFIX,
        "Type": "streaming",
        "TimeoutMs": 5000,
        "TargetLatencyMs": 200,
        "MaxAttempts": 1,
        "Resumable": False,
    }
    resumable = live | {
        "Name": "review",
        "PathPrefix": RESUMABLE_PREFIX,
        "TimeoutMs": 3000,
        "TargetLatencyMs": 300,
        "MaxAttempts": 2,
        "Resumable": True,
    }
    batch = {
        "Name": "lots",
        "PathPrefix": BATCH_PREFIX,
        "Type": "batch",
        "TimeoutMs": 8000,
        "TargetLatencyMs": 400,
        "MaxAttempts": 3,
        "Resumable": True,
        "CompletionTargetMs": 8000,
        "RetentionS": 100,
        "MaxQueuedTokens": MAX_QUEUED_TOKENS,
    }
    service = {
        "Name": SERVICE,
        "HealthPath": "/healthz",
        "MaxConnections": 230,
        "Protocol": "h1",
        "Tls": False,
        "Runtime": {"Capacity": 32, "KvCacheTokens": 232000, "stride": 20, "Models": [{"Name": "m"}]},
    }
    limits = {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 4194304,
        "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15000,
    }
    routes = [common | live, common | resumable, common | batch]
    return {"Version": 1, "Routes": routes, "Services": [service], "Limits": limits}


Scenario = Callable[[Setup, bool], Awaitable[bool]]


async def _run(scenario: Scenario, record_path: Path, servers: int, gateways: int) -> int:
    task = asyncio.current_task()
    assert task is not None
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    with tempfile.TemporaryDirectory() as folder:
        tier = Tier(Path(folder), gateways=gateways)
        setup = Setup(tier, record_path)
        try:
            return await _play(scenario, setup, servers)
        except (TimeoutError, asyncio.CancelledError):
            setup.note("the scenario did not end in time or was ended from outside")
            return COULD_NOT_RUN
        finally:
            await stop_all(setup.servers)
            if os.environ.get("KEEP_LOGS"):
                _copy_logs(Path(folder), Path(os.environ["KEEP_LOGS"]))
            tier.stop()
            setup.close()


async def _play(scenario: Scenario, setup: Setup, servers: int) -> int:
    trouble = os.environ.get("TROUBLE", "1") != "0"
    tier = setup.tier
    tier.start()
    await setup.add_servers(servers)
    if not await setup.put_configuration() or not await tier.wait_ready():
        setup.note("the tier did not start")
        return COULD_NOT_RUN
    await asyncio.sleep(3.0)
    setup.note(f"the tier is ready; the disruption is {'on' if trouble else 'off'}")
    async with asyncio.timeout(SCENARIO_LIMIT_S):
        held = await scenario(setup, trouble)
    peaks = [f"{node.name} {node.peak_memory_mb():.0f}" for node in tier.nodes]
    setup.note(f"peak memory in MB: {', '.join(peaks)}")
    dead = [node.name for node in tier.nodes if not node.running]
    if dead:
        setup.note(f"processes that ended: {', '.join(dead)}")
    setup.note("the rule held" if held else "the rule was broken")
    return HELD if held else BROKEN


def _copy_logs(folder: Path, target: Path) -> None:
    target.mkdir(parents=True, exist_ok=True)
    for log in folder.glob("*/log"):
        (target / f"{log.parent.name}.log").write_bytes(log.read_bytes())


def main(scenario: Scenario, case_folder: Path, servers: int = 6, gateways: int = 2) -> None:
    """Run a scenario and end the script with the exit code of its result."""
    try:
        code = asyncio.run(_run(scenario, case_folder / "record.txt", servers, gateways))
    except OSError as error:
        print(f"the case could not run: {error}", file=sys.stderr)
        code = COULD_NOT_RUN
    sys.exit(code)
