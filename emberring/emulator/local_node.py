"""Runs a node of the tier as a process on loopback: writes its settings file, starts it and stops it."""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
from collections.abc import Sequence
from pathlib import Path

import attrs

from emberring.settings import SETTINGS_VARIABLE

SOURCE_ROOT = Path(__file__).resolve().parent.parent.parent
FRONTEND, READINESS, CONTROL_PLANE, FIRST_INTERNAL, LAST_INTERNAL = range(5)
MACHINE_CLASSES = {"gateway": "edge", "control": "core", "store": "storage"}
SERVED_CLASSES = {"gateway": "edge", "control": "controller", "store": "storage"}


@attrs.frozen
class NodeSpec:
    """The role and address of a node: all nodes use the same ports, each on its own IP address."""

    name: str
    role: str
    ip: str
    zone: str
    base_port: int

    def address(self, port: int) -> str:
        """Return the `ip:port` of a port, which is given by its offset from the base port."""
        return f"{self.ip}:{self.base_port + port}"


def settings_text(
    spec: NodeSpec, seeds: Sequence[str], data_dir: Path, *, bootstrap: bool, grace_s: float
) -> str:
    """Return the text of a node's settings file."""
    has_disk = spec.role != "gateway"
    lines = [
        f'NodeName = "{spec.name}"',
        f'Role = "{spec.role}"',
        f'MachineClass = "{MACHINE_CLASSES[spec.role]}"',
        f'Serves = ["{SERVED_CLASSES[spec.role]}"]',
        f'Ip = "{spec.ip}"',
        f'Zone = "{spec.zone}"',
        'Region = "loopback"',
        f"PortRange = [{spec.base_port + FIRST_INTERNAL}, {spec.base_port + FIRST_INTERNAL + 10}]",
        f"SeedNodes = [{', '.join(repr(seed) for seed in seeds)}]".replace("'", '"'),
        f"Bootstrap = {str(bootstrap).lower()}",
        f"CountsForQuorum = {str(has_disk).lower()}",
        "HeartbeatMs = 500",
    ]
    if has_disk:
        lines.append(f'DataDir = "{data_dir}"')
    lines += ["[Listen]"]
    if spec.role == "gateway":
        lines.append(f'Frontend = "{spec.address(FRONTEND)}"')
        lines.append(f'Readiness = "{spec.address(READINESS)}"')
    if spec.role == "control":
        lines.append(f'ControlPlane = "{spec.address(CONTROL_PLANE)}"')
    lines += ["[Limits]", "MemoryMb = 300", "MaxFds = 4096", f"DiskMb = {128 if has_disk else 0}"]
    lines += ["[FaultTolerance]", "Machines = 1", "[Bounds]", f"GraceS = {grace_s}"]
    return "\n".join(lines) + "\n"


class LocalNode:
    """One node's process, and the folder with its settings, data and log."""

    def __init__(self, spec: NodeSpec, seeds: Sequence[str], folder: Path, grace_s: float) -> None:
        self.place = spec
        self.starts = 0
        self._seeds = tuple(seeds)
        self._grace_s = grace_s
        self._folder = folder / spec.name
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def log_path(self) -> Path:
        """The path of the log file."""
        return self._folder / "log"

    @property
    def settings_path(self) -> Path:
        """The path of the settings file."""
        return self._folder / "local.toml"

    @property
    def running(self) -> bool:
        """Whether the process is running."""
        return self._process is not None and self._process.poll() is None

    @property
    def pid(self) -> int:
        """The process id; 0 before the first start."""
        return self._process.pid if self._process is not None else 0

    def start(self, *, bootstrap: bool) -> None:
        """Write the settings file and start the process, which appends to the log."""
        data_dir = self._folder / "data"
        data_dir.mkdir(parents=True, exist_ok=True)
        text = settings_text(self.place, self._seeds, data_dir, bootstrap=bootstrap, grace_s=self._grace_s)
        self.settings_path.write_text(text)
        variables = {**os.environ, SETTINGS_VARIABLE: str(self.settings_path)}
        variables["PYTHONPATH"] = os.pathsep.join(
            [str(SOURCE_ROOT), *filter(None, [os.environ.get("PYTHONPATH")])]
        )
        with self.log_path.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "emberring", self.place.role],
                env=variables,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.starts += 1

    def kill(self) -> None:
        """Kill the process with SIGKILL, to emulate a crash."""
        if self._process is not None:
            os.kill(self._process.pid, signal.SIGKILL)
            self._process.wait()

    async def stop(self, within_s: float) -> int | None:
        """Stop the process with SIGTERM. Returns its exit code, or None if it had to be killed after `within_s` s."""
        if self._process is None:
            return None
        if self._process.poll() is None:
            self._process.terminate()
        try:
            return await asyncio.to_thread(self._process.wait, within_s)
        except subprocess.TimeoutExpired:
            self.kill()
            return None

    def log_tail(self, lines: int = 5) -> list[str]:
        """Return the last lines of the log."""
        if not self.log_path.exists():
            return []
        return self.log_path.read_text(errors="replace").splitlines()[-lines:]
