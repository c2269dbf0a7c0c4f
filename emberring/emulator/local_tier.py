"""Runs a complete tier on loopback: each node is a process with its own IP address."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
from collections.abc import Iterable
from pathlib import Path

import attrs

from emberring.emulator.http_calls import CALL_ERRORS, call_once
from emberring.emulator.local_node import (
    CONTROL_PLANE,
    FIRST_INTERNAL,
    FRONTEND,
    LAST_INTERNAL,
    READINESS,
    LocalNode,
    NodeSpec,
)
from emberring.emulator.waiting import wait_until
from emberring.errors import NotReadyError

PORTS = range(20_000, 30_000, 16)  # below the ephemeral ports
POLL_INTERVAL_S = 0.1
# Consecutive failed readiness probes after which a gateway gets no new connections.
FAILED_PROBES_TO_REMOVE = 2
PROBE_TIMEOUT_S = 0.5
MAX_ATTEMPTS = 50
INTERNAL_OF_ROLE = {"gateway": FIRST_INTERNAL, "control": LAST_INTERNAL, "store": LAST_INTERNAL + 1}


@attrs.frozen
class TierSize:
    """The number of nodes of each role; `grace_s` is the time between SIGTERM and SIGKILL."""

    controls: int = 3
    stores: int = 3
    gateways: int = 2
    grace_s: float = 3.0


def choose_node_specs(size: TierSize, rng: random.Random) -> list[NodeSpec]:
    """Find free addresses on loopback for all nodes. Raises `NotReadyError` if there are none."""
    for _ in range(MAX_ATTEMPTS):
        subnet = f"127.{rng.randint(1, 250)}.{rng.randint(1, 250)}"
        base_port = rng.choice(PORTS)
        specs = _node_specs(size, subnet, base_port)
        if all(_is_free(spec) for spec in specs):
            return specs
    raise NotReadyError("no free addresses on loopback (127.0.0.0/8 must be usable, as it is on Linux)")


def _node_specs(size: TierSize, subnet: str, base_port: int) -> list[NodeSpec]:
    specs: list[NodeSpec] = []
    for role, count in (("control", size.controls), ("store", size.stores), ("gateway", size.gateways)):
        for number in range(1, count + 1):
            ip = f"{subnet}.{len(specs) + 1}"
            zone = f"zone-{'abc'[(number - 1) % 3]}"
            specs.append(NodeSpec(f"{role}-{number}", role, ip, zone, base_port))
    return specs


def _is_free(spec: NodeSpec) -> bool:
    for port in range(spec.base_port, spec.base_port + 16):
        with socket.socket() as probe:
            try:
                probe.bind((spec.ip, port))
            except OSError:
                return False
    return True


class LocalTier:
    """The processes of all nodes, with readiness probes that decide which gateways are in service."""

    def __init__(self, folder: Path, size: TierSize | None = None, seed: int | None = None) -> None:
        self.size = size or TierSize()
        specs = choose_node_specs(self.size, random.Random(seed))
        seeds = [spec.address(CONTROL_PLANE) for spec in specs if spec.role == "control"][:3]
        self.nodes = {spec.name: LocalNode(spec, seeds, folder, self.size.grace_s) for spec in specs}
        self._in_service: set[str] = set()
        self._failed_probes: dict[str, int] = {}
        self._prober: asyncio.Task[None] | None = None

    def of_role(self, role: str) -> list[LocalNode]:
        """Return the nodes of a role."""
        return [node for node in self.nodes.values() if node.place.role == role]

    def controls(self) -> list[str]:
        """Return the addresses of the control plane."""
        return [node.place.address(CONTROL_PLANE) for node in self.of_role("control")]

    def frontends(self) -> list[str]:
        """Return the addresses of the gateways in service, or of all running gateways if none is in service."""
        running = [node.place.address(FRONTEND) for node in self.of_role("gateway") if node.running]
        return sorted(self._in_service) or sorted(running)

    def start(self) -> None:
        """Start all nodes for the first time, and start the readiness probes of the gateways."""
        for node in self.nodes.values():
            node.start(bootstrap=True)
        self._prober = asyncio.get_running_loop().create_task(self._probe_on())

    async def _probe_on(self) -> None:
        while True:
            gateways = self.of_role("gateway")
            ready = await asyncio.gather(*(self.is_up(node) for node in gateways))
            for node, is_ready in zip(gateways, ready, strict=True):
                self._record_probe(node, is_ready)
            await asyncio.sleep(POLL_INTERVAL_S)

    def _record_probe(self, node: LocalNode, ready: bool) -> None:
        """Count a probe as the platform does: a single failed or late probe does not take a gateway out of service."""
        address = node.place.address(FRONTEND)
        self._failed_probes[address] = 0 if ready else self._failed_probes.get(address, 0) + 1
        if ready:
            self._in_service.add(address)
        elif self._failed_probes[address] >= FAILED_PROBES_TO_REMOVE:
            self._in_service.discard(address)

    async def is_up(self, node: LocalNode) -> bool:
        """Return whether a node is ready: gateways and control nodes by HTTP, stores by a TCP connect."""
        if not node.running:
            return False
        spec = node.place
        if spec.role == "gateway":
            return await _responds(f"http://{spec.address(READINESS)}/v1/readyz")
        if spec.role == "control":
            return await _responds(f"http://{spec.address(CONTROL_PLANE)}/v1/readyz")
        return await _accepts_connections(spec.address(INTERNAL_OF_ROLE[spec.role]))

    async def wait_up(self, names: Iterable[str], within_s: float) -> float | None:
        """Wait until these nodes are ready. Returns how long it took (seconds), or None after `within_s` seconds."""
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        nodes = [self.nodes[name] for name in names]
        while loop.time() - started_s < within_s:
            if all(await asyncio.gather(*(self.is_up(node) for node in nodes))):
                return loop.time() - started_s
            await asyncio.sleep(POLL_INTERVAL_S)
        return None

    async def wait_frontends(self, count: int, within_s: float) -> bool:
        """Wait until `count` gateways are in service. Returns False if they are not within `within_s` seconds."""
        return await wait_until(lambda: len(self._in_service) >= count, within_s)

    async def stop(self) -> dict[str, int | None]:
        """Stop all nodes with SIGTERM. Returns their exit codes by name, None for those that had to be killed."""
        if self._prober is not None:
            self._prober.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._prober
        self._in_service = set()
        stops = (node.stop(self.size.grace_s) for node in self.nodes.values())
        codes = await asyncio.gather(*stops)
        return dict(zip(self.nodes, codes, strict=True))

    def kill_all(self) -> None:
        """Kill all processes that are still running."""
        for node in self.nodes.values():
            if node.running:
                node.kill()


async def _responds(url: str) -> bool:
    try:
        return (await call_once("GET", url, timeout_s=PROBE_TIMEOUT_S)).status == 200
    except CALL_ERRORS:
        return False


async def _accepts_connections(address: str) -> bool:
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, int(port))
    except (OSError, TimeoutError):
        return False
    writer.close()
    return True
