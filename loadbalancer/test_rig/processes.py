"""Child processes of a test rig: started in parallel, ready when they print a given text, and never left running."""

from __future__ import annotations

import asyncio
import ctypes
import os
import signal
import sys
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from loadbalancer.sidecar.toml import dumps

READY_TIMEOUT_S = 30.0
PR_SET_PDEATHSIG = 1  # prctl(2)


class NotReadyError(Exception):
    """A process exited, or did not report that it is ready in time."""


def _die_with_parent(parent: int) -> None:
    """Make the kernel kill this process when the parent exits.

    Guard: a killed rig would leave its child processes running, with their ports in use.
    """
    ctypes.CDLL(None, use_errno=True).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
    if os.getppid() != parent:  # the parent exited before prctl took effect
        os._exit(1)


@dataclass
class Started:
    """One process; its output goes to the file `log`."""

    name: str
    process: asyncio.subprocess.Process
    log: Path

    def send(self, number: signal.Signals) -> None:
        if self.process.returncode is None:
            self.process.send_signal(number)


@dataclass
class Supervisor:
    """Starts and stops processes whose logs go to `folder`; leaving the context kills all of them."""

    folder: Path
    running: dict[str, Started] = field(default_factory=dict)

    async def start(self, name: str, command: Sequence[str], ready_text: str) -> Started:
        """Start `python COMMAND...` and wait until its output contains `ready_text`; NotReadyError if it exits or does
        not print the text in time."""
        log = self.folder / f"{name}.log"
        log_offset = log.stat().st_size if log.exists() else 0
        parent = os.getpid()
        with log.open("ab") as output:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                *command,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                preexec_fn=lambda: _die_with_parent(parent),
            )
        started = self.running[name] = Started(name, process, log)
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                while ready_text not in (text := log.read_bytes()[log_offset:].decode(errors="replace")):
                    if process.returncode is not None:
                        raise NotReadyError(f"{name} exited with {process.returncode}: {text.strip()[-500:]}")
                    await asyncio.sleep(0.02)
        except TimeoutError:
            raise NotReadyError(
                f"{name} did not print {ready_text!r} within {READY_TIMEOUT_S:g} s; see {log}"
            ) from None
        return started

    async def sidecar(self, name: str, configuration: dict[str, Any]) -> Started:
        """Start a sidecar with this configuration, which is written to the folder."""
        path = self.folder / f"{name}.toml"
        path.write_text(dumps(configuration, {}))
        return await self.start(name, ["-m", "loadbalancer.cli", "sidecar", str(path)], "in force")

    async def kill(self, *names: str) -> None:
        """Send SIGKILL to all of them, then wait until they have exited."""
        processes = [self.running.pop(name) for name in names if name in self.running]
        for item in processes:
            item.send(signal.SIGKILL)
        await asyncio.gather(*(item.process.wait() for item in processes))

    async def __aenter__(self) -> Supervisor:
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.kill(*self.running)
