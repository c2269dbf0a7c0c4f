"""Control nodes on loopback with an in-memory register, for tests."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

import httptools
from free_ports import free_ports

from emberring.control.http_server import HttpServer
from emberring.control.node import ControlNode
from emberring.distribution.follower import Follower
from emberring.distribution.records import NodeRecord, NodeRole
from emberring.errors import NoQuorumError, UnknownOutcomeError
from emberring.settings import Listen, Settings
from emberring.transport.network import Network


class SharedValue:
    """The committed value that all replicas of a fake register share."""

    def __init__(self) -> None:
        self.value: bytes | None = None
        self.changes = 0
        self.replicas: list[FakeRegister] = []
        self.members: set[str] | None = None  # the replica set, if some nodes are not in it
        self.up: set[str] = set()

    @property
    def has_majority(self) -> bool:
        return len(self.up) * 2 > len(self.replicas)

    def commit(self, value: bytes) -> None:
        self.value = value
        self.changes += 1
        for replica in self.replicas:
            if replica.identity in self.up:
                replica.learn(value)


class FakeRegister:
    """One replica; it is partitioned from the others while its identity is not in `shared.up`."""

    def __init__(self, shared: SharedValue, identity: str) -> None:
        self.identity = identity
        self.shared = shared
        self.callbacks: list[Callable[[bytes], None]] = []
        self.peers: list[NodeRecord] = []
        # For each of the next changes, which end with an unknown outcome: whether the value is committed.
        self.unknown_outcomes: list[bool] = []
        self.age_s = 0.0
        shared.replicas.append(self)
        shared.up.add(identity)

    def learn(self, value: bytes) -> None:
        for callback in self.callbacks:
            callback(value)

    async def start(self) -> None: ...

    async def stop(self) -> None: ...

    def _check(self) -> None:
        if self.identity not in self.shared.up or not self.shared.has_majority:
            raise NoQuorumError("cut off")

    async def change(self, decide: Callable[[bytes | None], bytes | None], timeout_s: float) -> bytes | None:
        await asyncio.sleep(0)
        self._check()
        proposed = decide(self.shared.value)
        if self.unknown_outcomes:
            if self.unknown_outcomes.pop(0) and proposed is not None:
                self.shared.commit(proposed)
            raise UnknownOutcomeError("the outcome is unknown")
        if proposed is not None:
            self.shared.commit(proposed)
        return self.shared.value

    async def read(self, timeout_s: float) -> bytes | None:
        await asyncio.sleep(0)
        self._check()
        return self.shared.value

    def subscribe(self, callback: Callable[[bytes], None]) -> None:
        self.callbacks.append(callback)
        if self.shared.value is not None:
            callback(self.shared.value)

    def majority_age_s(self) -> float:
        return self.age_s if self.identity in self.shared.up else max(self.age_s, 5.0)

    def is_quorum(self, identities: frozenset[str]) -> bool:
        members = self.shared.members or {replica.identity for replica in self.shared.replicas}
        return 2 * len(members & identities) > len(members)

    def set_peers(self, records: Sequence[NodeRecord]) -> None:
        self.peers = list(records)


class Cluster:
    """Several control nodes whose seeds are one another."""

    def __init__(self, count: int = 3, heartbeat_ms: float = 1200.0) -> None:
        self.shared = SharedValue()
        self.heartbeat_ms = heartbeat_ms
        self.inner = free_ports(count)
        self.outer = free_ports(count)
        self.nodes: list[ControlNode | None] = [None] * count
        self.registers = [FakeRegister(self.shared, f"identity-{index}") for index in range(count)]
        self._networks: list[Network | None] = [None] * count
        self._servers: list[HttpServer | None] = [None] * count

    @property
    def seeds(self) -> list[str]:
        return [f"127.0.0.1:{port}" for port in self.inner]

    def settings(self, index: int) -> Settings:
        return Settings(
            node_name=f"core-{index}",
            ip="127.0.0.1",
            zone=f"zone-{index}",
            port_range=(self.inner[index] - 1, self.inner[index] + 9),
            seed_nodes=tuple(f"127.0.0.1:{port}" for port in self.outer),
            heartbeat_ms=self.heartbeat_ms,
            listen=Listen(control_plane=f"127.0.0.1:{self.outer[index]}"),
        )

    async def start(self, *indices: int, seeds: list[str] | None = None) -> None:
        for index in indices or range(len(self.nodes)):
            network = Network()
            settings = self.settings(index)
            node = ControlNode(settings, network, self.registers[index], seeds=seeds or self.seeds)
            await network.listen(self.seeds[index])
            node.start()
            server = HttpServer(node.app, settings.listen.control_plane)
            await server.start()
            self.nodes[index], self._networks[index], self._servers[index] = node, network, server

    def node(self, index: int) -> ControlNode:
        found = self.nodes[index]
        assert found is not None
        return found

    async def stop(self, *indices: int) -> None:
        for index in indices or range(len(self.nodes)):
            node, network, server = self.nodes[index], self._networks[index], self._servers[index]
            if node is None or network is None or server is None:
                continue
            self.nodes[index] = None
            await server.stop()
            await node.stop()
            await network.close()

    async def http(
        self, index: int, method: str, path: str, body: Any = None, **headers: str
    ) -> HttpResponse:
        raw = body if isinstance(body, bytes) else b"" if body is None else json.dumps(body).encode()
        return await http(self.outer[index], method, path, raw, headers)


class HttpResponse:
    """An HTTP response, filled in by the parser."""

    def __init__(self) -> None:
        self.status = 0
        self.body = b""
        self.done = False

    @property
    def json(self) -> Any:
        return json.loads(self.body)

    def on_body(self, data: bytes) -> None:
        self.body += data

    def on_message_complete(self) -> None:
        self.done = True


async def http(
    port: int, method: str, path: str, body: bytes, headers: dict[str, str], host: str = "127.0.0.1"
) -> HttpResponse:
    """Send one request over its own connection, and return the response."""
    reader, writer = await asyncio.open_connection(host, port)
    head = [f"{method} {path} HTTP/1.1", "Host: control", f"Content-Length: {len(body)}"]
    head += [f"{key.replace('_', '-')}: {value}" for key, value in headers.items()]
    writer.write("\r\n".join(head).encode() + b"\r\n\r\n" + body)
    response = HttpResponse()
    parser = httptools.HttpResponseParser(response)
    while not response.done:
        data = await reader.read(65536)
        if not data:
            break
        parser.feed_data(data)
    response.status = parser.get_status_code()
    writer.close()
    return response


async def eventually(condition: Callable[[], bool], within_s: float = 5.0) -> None:
    """Wait until the condition is true; fail if it is not within `within_s`."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + within_s
    while not condition():
        assert loop.time() < deadline, "the condition did not become true in time"
        await asyncio.sleep(0.005)


def on_cluster(scenario: Callable[[Cluster], Awaitable[None]], count: int = 3) -> None:
    """Run a scenario on a cluster of running control nodes."""

    async def run() -> None:
        cluster = Cluster(count)
        await cluster.start()
        try:
            await eventually(
                lambda: all(len(node.cluster_state.live_writers(now())) == count for node in alive(cluster))
            )
            await scenario(cluster)
        finally:
            await cluster.stop()

    asyncio.run(asyncio.wait_for(run(), 30))


def now() -> float:
    return asyncio.get_running_loop().time()


def alive(cluster: Cluster) -> list[ControlNode]:
    return [node for node in cluster.nodes if node is not None]


class AFollower:
    """A running follower with its own network."""

    def __init__(self, seeds: list[str], name: str = "edge-1", role: NodeRole = NodeRole.GATEWAY) -> None:
        self.network = Network()
        identity = f"identity-of-{name}" if role is NodeRole.STORE else ""
        me = NodeRecord(name, role, f"{name}:1", "zone-0", identity, f"{name}-a")
        self.follower = Follower(self.network, me, seeds)

    async def __aenter__(self) -> Follower:
        await self.follower.start()
        return self.follower

    async def __aexit__(self, *_: object) -> None:
        await self.follower.stop()
        await self.network.close()


def a_document(version: int = 1, **changes: Any) -> dict[str, Any]:
    """A valid configuration."""
    document: dict[str, Any] = {
        "Version": version,
        "Routes": [
            {
                "Name": "r-one",
                "Host": "one.example",
                "PathPrefix": "/one/",
                "Type": "streaming",
                "TimeoutMs": 6000,
                "TargetLatencyMs": 200,
                "Priority": 0,
                "TrafficSplit": [{"Service": "engine", "Weight": 90}, {"Service": "engine", "Weight": 10}],
                "MaxAttempts": 1,
                "Sticky": True,
                "Resumable": False,
                "gap_aim_ms": 250,
            },
            {
                "Name": "r-two",
                "Host": "two.example",
                "PathPrefix": "/two/",
                "Type": "batch",
                "TimeoutMs": 4000,
                "Service": "engine",
                "MaxAttempts": 2,
                "MaxQueuedTokens": 1200000,
            },
        ],
        "Services": [
            {
                "Name": "engine",
                "HealthPath": "/healthz",
                "MaxConnections": 290,
                "Protocol": "h1",
                "Tls": False,
                "Runtime": {"Capacity": 48, "KvCacheTokens": 466830, "LinkMbps": 1100000.0, "stride": 14},
            }
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
    }
    document.update(changes)
    return document


def a_heartbeat(sequence: int, state: str = "ready", **changes: Any) -> dict[str, Any]:
    """The body of a model server's heartbeat."""
    body = {
        "Service": "engine",
        "Address": "10.0.0.9:8080",
        "Zone": "zone-0",
        "Version": "v1",
        "Capacity": 48,
        "State": state,
        "ColdRemainingMs": 0,
        "Sequence": sequence,
    }
    return {**body, **changes}
