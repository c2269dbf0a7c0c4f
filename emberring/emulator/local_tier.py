"""A complete tier on loopback: each node is a process with an address of its own."""

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
    NodePlace,
)
from emberring.emulator.waiting import wait_until
from emberring.errors import NotReadyError

PORTS = range(20_000, 30_000, 16)  # below the ephemeral ports
POLL_INTERVAL_S = 0.1
FAILED_PROBES_TO_REMOVE = 2  # probes in a row that find a gateway not ready before it gets no new connections
PROBE_TIMEOUT_S = 0.5
MAX_ATTEMPTS = 50
INTERNAL_OF_ROLE = {"gateway": FIRST_INTERNAL, "control": LAST_INTERNAL, "store": LAST_INTERNAL + 1}


@attrs.frozen
class TierSize:
    """How many nodes of each role; `grace_s` is between SIGTERM and SIGKILL."""

    controls: int = 3
    stores: int = 3
    gateways: int = 2
    grace_s: float = 3.0


def choose_places(size: TierSize, rng: random.Random) -> list[NodePlace]:
    """Free addresses on loopback; `NotReadyError` where none are found."""
    for _ in range(MAX_ATTEMPTS):
        net = f"127.{rng.randint(1, 250)}.{rng.randint(1, 250)}"
        base = rng.choice(PORTS)
        places = _places(size, net, base)
        if all(_is_free(place) for place in places):
            return places
    raise NotReadyError("no free addresses on loopback (127.0.0.0/8 must be usable, as it is on Linux)")


def _places(size: TierSize, net: str, base: int) -> list[NodePlace]:
    places: list[NodePlace] = []
    for role, count in (("control", size.controls), ("store", size.stores), ("gateway", size.gateways)):
        for number in range(1, count + 1):
            ip = f"{net}.{len(places) + 1}"
            zone = f"zone-{'abc'[(number - 1) % 3]}"
            places.append(NodePlace(f"{role}-{number}", role, ip, zone, base))
    return places


def _is_free(place: NodePlace) -> bool:
    for port in range(place.base_port, place.base_port + 16):
        with socket.socket() as probe:
            try:
                probe.bind((place.ip, port))
            except OSError:
                return False
    return True


class LocalTier:
    """The nodes' processes, and which gateways are in service."""

    def __init__(self, folder: Path, size: TierSize | None = None, seed: int | None = None) -> None:
        self.size = size or TierSize()
        places = choose_places(self.size, random.Random(seed))
        seeds = [place.address(CONTROL_PLANE) for place in places if place.role == "control"][:3]
        self.nodes = {place.name: LocalNode(place, seeds, folder, self.size.grace_s) for place in places}
        self._in_service: set[str] = set()
        self._failed_probes: dict[str, int] = {}
        self._prober: asyncio.Task[None] | None = None

    def of_role(self, role: str) -> list[LocalNode]:
        """The nodes of a role."""
        return [node for node in self.nodes.values() if node.place.role == role]

    def controls(self) -> list[str]:
        """The control plane's addresses."""
        return [node.place.address(CONTROL_PLANE) for node in self.of_role("control")]

    def frontends(self) -> list[str]:
        """Addresses of the gateways in service, as the platform sees it; all running ones where none is."""
        running = [node.place.address(FRONTEND) for node in self.of_role("gateway") if node.running]
        return sorted(self._in_service) or sorted(running)

    def start(self) -> None:
        """Start all nodes for the first time, and ask gateways from then on whether they are ready."""
        for node in self.nodes.values():
            node.start(bootstrap=True)
        self._prober = asyncio.get_running_loop().create_task(self._probe_on())

    async def _probe_on(self) -> None:
        while True:
            gateways = self.of_role("gateway")
            ready = await asyncio.gather(*(self.is_up(node) for node in gateways))
            for node, up in zip(gateways, ready, strict=True):
                self._record_probe(node, up)
            await asyncio.sleep(POLL_INTERVAL_S)

    def _record_probe(self, node: LocalNode, up: bool) -> None:
        """As the platform does: one failed probe, late or not ready, does not take a gateway out of service."""
        address = node.place.address(FRONTEND)
        self._failed_probes[address] = 0 if up else self._failed_probes.get(address, 0) + 1
        if up:
            self._in_service.add(address)
        elif self._failed_probes[address] >= FAILED_PROBES_TO_REMOVE:
            self._in_service.discard(address)

    async def is_up(self, node: LocalNode) -> bool:
        """Whether a node answers for its role."""
        if not node.running:
            return False
        place = node.place
        if place.role == "gateway":
            return await _responds(f"http://{place.address(READINESS)}/v1/readyz")
        if place.role == "control":
            return await _responds(f"http://{place.address(CONTROL_PLANE)}/v1/readyz")
        return await _accepts(place.address(INTERNAL_OF_ROLE[place.role]))

    async def wait_up(self, names: Iterable[str], within_s: float) -> float | None:
        """Wait until these nodes are up; how long it took (seconds), or None where it did not come to that."""
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        nodes = [self.nodes[name] for name in names]
        while loop.time() - started_s < within_s:
            if all(await asyncio.gather(*(self.is_up(node) for node in nodes))):
                return loop.time() - started_s
            await asyncio.sleep(POLL_INTERVAL_S)
        return None

    async def wait_frontends(self, count: int, within_s: float) -> bool:
        """Wait until `count` gateways are in service; whether they were within `within_s` seconds."""
        return await wait_until(lambda: len(self._in_service) >= count, within_s)

    async def stop(self) -> dict[str, int | None]:
        """End all nodes in order; their exit codes by name, None for those that had to be killed."""
        if self._prober is not None:
            self._prober.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._prober
        self._in_service = set()
        ends = (node.stop(self.size.grace_s) for node in self.nodes.values())
        codes = await asyncio.gather(*ends)
        return dict(zip(self.nodes, codes, strict=True))

    def kill_all(self) -> None:
        """End whatever still runs, at once."""
        for node in self.nodes.values():
            if node.running:
                node.kill()


async def _responds(url: str) -> bool:
    try:
        return (await call_once("GET", url, timeout_s=PROBE_TIMEOUT_S)).status == 200
    except CALL_ERRORS:
        return False


async def _accepts(address: str) -> bool:
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, int(port))
    except (OSError, TimeoutError):
        return False
    writer.close()
    return True
