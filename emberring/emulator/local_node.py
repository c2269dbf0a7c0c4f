"""A node of the tier as a process on loopback: its settings file, its start, its kill by process id."""

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
CLASSES = {"gateway": "edge", "control": "core", "store": "storage"}
SERVES = {"gateway": "edge", "control": "controller", "store": "storage"}


@attrs.frozen
class NodePlace:
    """The address of a node: all nodes have the same ports, each an IP address of its own."""

    name: str
    role: str
    ip: str
    zone: str
    base_port: int

    def address(self, port: int) -> str:
        """`ip:port` of one of its ports, by its offset from the first."""
        return f"{self.ip}:{self.base_port + port}"


def settings_text(
    place: NodePlace, seeds: Sequence[str], data_dir: Path, *, bootstrap: bool, grace_s: float
) -> str:
    """The settings file of a node."""
    has_disk = place.role != "gateway"
    lines = [
        f'NodeName = "{place.name}"',
        f'Role = "{place.role}"',
        f'MachineClass = "{CLASSES[place.role]}"',
        f'Serves = ["{SERVES[place.role]}"]',
        f'Ip = "{place.ip}"',
        f'Zone = "{place.zone}"',
        'Region = "loopback"',
        f"PortRange = [{place.base_port + FIRST_INTERNAL}, {place.base_port + FIRST_INTERNAL + 10}]",
        f"SeedNodes = [{', '.join(repr(seed) for seed in seeds)}]".replace("'", '"'),
        f"Bootstrap = {str(bootstrap).lower()}",
        f"CountsForQuorum = {str(has_disk).lower()}",
        "HeartbeatMs = 500",
    ]
    if has_disk:
        lines.append(f'DataDir = "{data_dir}"')
    lines += ["[Listen]"]
    if place.role == "gateway":
        lines.append(f'Frontend = "{place.address(FRONTEND)}"')
        lines.append(f'Readiness = "{place.address(READINESS)}"')
    if place.role == "control":
        lines.append(f'ControlPlane = "{place.address(CONTROL_PLANE)}"')
    lines += ["[Limits]", "MemoryMb = 300", "MaxFds = 4096", f"DiskMb = {128 if has_disk else 0}"]
    lines += ["[FaultTolerance]", "Machines = 1", "[Bounds]", f"GraceS = {grace_s}"]
    return "\n".join(lines) + "\n"


class LocalNode:
    """One node: its folder holds the settings, the data and the log."""

    def __init__(self, place: NodePlace, seeds: Sequence[str], folder: Path, grace_s: float) -> None:
        self.place = place
        self.starts = 0
        self._seeds = tuple(seeds)
        self._grace_s = grace_s
        self._folder = folder / place.name
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def log_path(self) -> Path:
        """The path of its log."""
        return self._folder / "log"

    @property
    def settings_path(self) -> Path:
        """The path of its settings file."""
        return self._folder / "local.toml"

    @property
    def running(self) -> bool:
        """Whether the process runs."""
        return self._process is not None and self._process.poll() is None

    @property
    def pid(self) -> int:
        """The process id; 0 before the first start."""
        return self._process.pid if self._process is not None else 0

    def start(self, *, bootstrap: bool) -> None:
        """Start the process; its log is appended to."""
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
        """End the process at once, as a crash does."""
        if self._process is not None:
            os.kill(self._process.pid, signal.SIGKILL)
            self._process.wait()

    async def stop(self, within_s: float) -> int | None:
        """Stop the process by SIGTERM; its exit code, or None where it had to be killed after `within_s` seconds."""
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
        """The last lines of its log."""
        if not self.log_path.exists():
            return []
        return self.log_path.read_text(errors="replace").splitlines()[-lines:]
