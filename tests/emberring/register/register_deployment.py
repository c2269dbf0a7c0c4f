"""Control nodes of a register, each on its own loopback address."""

from __future__ import annotations

import random
import shutil
from collections.abc import Callable, Iterable
from pathlib import Path

import attrs

from emberring.register import RegisterService
from emberring.settings import FaultTolerance, Settings
from emberring.transport.network import Network

FIRST_PORT = 17720


@attrs.frozen
class PeerRecord:
    """The node record of a control node."""

    name: str
    address: str
    identity: str
    zone: str = ""
    leaving: bool = False


def unused_hosts(count: int) -> list[str]:
    """Return loopback addresses that no other test is likely to use."""
    rng = random.SystemRandom()
    prefix = f"127.{rng.randrange(20, 250)}.{rng.randrange(1, 250)}"
    return [f"{prefix}.{number}" for number in range(11, 11 + count)]


def make_settings(host: str, seeds: Iterable[str], bootstrap: bool, machines: int = 1) -> Settings:
    """Return the settings of the control node at this address."""
    return Settings(
        node_name=f"node-{host}",
        ip=host,
        zone=f"zone-{host}",
        port_range=(FIRST_PORT, FIRST_PORT + 15),
        seed_nodes=tuple(f"{seed}:9" for seed in seeds),
        bootstrap=bootstrap,
        fault_tolerance=FaultTolerance(machines=machines),
    )


class Node:
    """One control node: its network, its register and its journal directory."""

    def __init__(self, deployment: Deployment, host: str, bootstrap: bool) -> None:
        self.host = host
        self.settings = make_settings(host, deployment.hosts[:3], bootstrap, deployment.machines)
        self.network = deployment.network_class()
        self.directory = deployment.directory / host
        self.register = RegisterService(self.settings, self.network, self.directory)
        self.notified_values: list[bytes] = []
        self.register.subscribe(self.notified_values.append)

    async def start(self) -> None:
        await self.network.listen(f"{self.host}:{FIRST_PORT + 1}")
        await self.register.start()

    async def stop(self) -> None:
        await self.register.stop()
        await self.network.close()

    @property
    def peer_record(self) -> PeerRecord:
        return PeerRecord(self.settings.node_name, f"{self.host}:{FIRST_PORT + 1}", self.register.identity)

    @property
    def replicas(self) -> set[str]:
        """The identities of the committed replica set; empty during a reconfiguration."""
        node = self.register._node
        if node is None or node.learned is None or node.learned.state.replicas.joining:
            return set()
        return {member.identity for member in node.learned.state.replicas.members}


class Deployment:
    """Control nodes, of which the first three are the seeds."""

    def __init__(self, directory: Path, count: int = 3, machines: int = 1) -> None:
        self.directory = directory
        self.hosts = unused_hosts(count)
        self.machines = machines
        self.network_class: Callable[[], Network] = Network
        self.nodes: dict[int, Node] = {}

    async def start(self, *numbers: int, bootstrap: bool = True) -> None:
        for number in numbers:
            self.nodes[number] = Node(self, self.hosts[number], bootstrap)
            await self.nodes[number].start()

    async def stop(self, *numbers: int) -> None:
        for number in numbers or tuple(self.nodes):
            await self.nodes.pop(number).stop()

    def delete_journal(self, number: int) -> None:
        shutil.rmtree(self.directory / self.hosts[number])

    def note_peers(self) -> None:
        """Set the peers of each node to all other nodes."""
        for node in self.nodes.values():
            node.register.set_peers([other.peer_record for other in self.nodes.values() if other is not node])

    def __getitem__(self, number: int) -> RegisterService:
        return self.nodes[number].register

    async def wait_until(self, condition: Callable[[], bool], number: int = 0) -> None:
        """Read at a node until the condition is true."""
        for _ in range(20_000):
            if condition():
                return
            await self[number].read(5.0)
        raise AssertionError("the condition did not become true")


def appending(word: bytes) -> Callable[[bytes | None], bytes | None]:
    """Return a change that appends a word to the value, unless the value contains it."""

    def change(value: bytes | None) -> bytes | None:
        words = (value or b"").split()
        return None if word in words else b" ".join((*words, word))

    return change
