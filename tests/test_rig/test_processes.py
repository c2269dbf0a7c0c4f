"""Processes of a rig: they report when they are ready, exit with the rig, and their counts survive a kill."""

from __future__ import annotations

import asyncio
import json
import os
import select
import signal
import subprocess
import sys

import pytest

from loadbalancer.core.address import parse_address
from loadbalancer.emulator.caller import Application
from loadbalancer.test_rig.processes import NotReadyError, Supervisor

RIG = """
import asyncio, pathlib, sys
from loadbalancer.test_rig.processes import Supervisor
async def main():
    supervisor = Supervisor(pathlib.Path(sys.argv[1]))
    stays = "import signal; print('ready', flush=True); signal.pause()"
    started = await supervisor.start("one", ["-c", stays], "ready")
    print(started.process.pid, flush=True)
    await asyncio.Event().wait()
asyncio.run(main())
"""


def has_ended(process: int, within_s: float) -> bool:
    """Whether the process of this descriptor (from `pidfd_open`) has exited, or exits within this time."""
    readable, _, _ = select.select([process], [], [], within_s)
    return bool(readable)


def test_a_rig_that_is_killed_leaves_no_process(tmp_path):
    rig = subprocess.Popen([sys.executable, "-c", RIG, str(tmp_path)], stdout=subprocess.PIPE, text=True)
    assert rig.stdout is not None
    pid = int(rig.stdout.readline())
    process = os.pidfd_open(pid)
    try:
        assert not has_ended(process, 0.0)
        rig.kill()
        rig.wait()
        assert has_ended(process, 20.0)
    finally:
        os.close(process)


def test_a_process_that_does_not_start_is_reported_with_its_output(tmp_path):
    async def main():
        async with Supervisor(tmp_path) as supervisor:
            with pytest.raises(NotReadyError, match=r"one exited with 3: .*no such ledger"):
                await supervisor.start("one", ["-c", "print('no such ledger'); raise SystemExit(3)"], "ready")

    asyncio.run(main())


def test_a_cold_server_that_crashes_has_recorded_it_before_it_is_killed(tmp_path):
    record = tmp_path / "a.jsonl"
    command = ["-m", "loadbalancer.test_rig.boxes", "--record", str(record), "--cold", "--cold-ms", "600000"]
    box = "127.9.8.7:0"

    async def main():
        async with Supervisor(tmp_path) as supervisor:
            started = await supervisor.start("a", [*command, "--overload", "0", box], "ready")
            app = Application(parse_address(started.log.read_text().splitlines()[0].split(" listens on ")[1]))
            with pytest.raises(OSError):  # noqa: PT011 - how a reset shows differs
                await app.ask("GET", "/x")
            started.send(signal.SIGKILL)

    asyncio.run(main())
    rows = [json.loads(line) for line in record.read_text().splitlines()]
    assert rows[-1]["boxes"][box][1] == 1
