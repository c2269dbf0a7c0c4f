"""Processes of a rig: started in parallel, told ready by what they say, ended by their ids, never left behind."""

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

READY_S = 30.0
PR_SET_PDEATHSIG = 1  # prctl(2)


class NotReadyError(Exception):
    """A process has ended, or has not said that it is ready in time."""


def _ends_with(parent: int) -> None:
    """Have the kernel kill this process when the rig's does.

    Guard: a rig that was killed left all that it had started, with their ports.
    """
    ctypes.CDLL(None, use_errno=True).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
    if os.getppid() != parent:  # it has gone meanwhile
        os._exit(1)


@dataclass
class Started:
    """One process. Its log is the file `log`, one line a message."""

    name: str
    process: asyncio.subprocess.Process
    log: Path

    def send(self, number: signal.Signals) -> None:
        if self.process.returncode is None:
            self.process.send_signal(number)


@dataclass
class Supervisor:
    """Starts and ends processes whose logs go to `folder`; as a context it leaves none behind."""

    folder: Path
    running: dict[str, Started] = field(default_factory=dict)

    async def start(self, name: str, command: Sequence[str], says: str) -> Started:
        """Start `python ARGUMENTS...` and wait until a line of its output has `says` in it; NotReadyError if it
        does not come."""
        log = self.folder / f"{name}.log"
        begins = log.stat().st_size if log.exists() else 0
        parent = os.getpid()
        with log.open("ab") as output:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                *command,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                preexec_fn=lambda: _ends_with(parent),
            )
        started = self.running[name] = Started(name, process, log)
        try:
            async with asyncio.timeout(READY_S):
                while says not in (text := log.read_bytes()[begins:].decode(errors="replace")):
                    if process.returncode is not None:
                        raise NotReadyError(f"{name} ended with {process.returncode}: {text.strip()[-500:]}")
                    await asyncio.sleep(0.02)
        except TimeoutError:
            raise NotReadyError(f"{name} did not say {says!r} within {READY_S:g} s; see {log}") from None
        return started

    async def sidecar(self, name: str, configuration: dict[str, Any]) -> Started:
        """A sidecar with this configuration, which is written to the folder."""
        path = self.folder / f"{name}.toml"
        path.write_text(dumps(configuration, {}))
        return await self.start(name, ["-m", "loadbalancer.cli", "sidecar", str(path)], "in force")

    async def kill(self, *names: str) -> None:
        """SIGKILL to all of them at once; returns when they have ended."""
        some = [self.running.pop(name) for name in names if name in self.running]
        for item in some:
            item.send(signal.SIGKILL)
        await asyncio.gather(*(item.process.wait() for item in some))

    async def __aenter__(self) -> Supervisor:
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.kill(*self.running)
