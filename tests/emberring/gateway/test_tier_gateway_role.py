"""The complete gateway process: updates from a control node, readiness, signals and shutdown."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from pathlib import Path
from typing import Any

import orjson
import pytest
from free_ports import free_ports
from gateway_world import HOST, Client, ReceivedRequest, ScriptedServer, ServerSide, events, request, until

from emberring.configuration.reading import pack
from emberring.distribution.messages import Delta, Pull, ServerEntry, Update
from emberring.distribution.records import ServerRecord, ServerState
from emberring.gateway import graceful_shutdown
from emberring.gateway.role import Gateway
from emberring.settings import Bounds, Listen, Settings
from emberring.transport.network import Caller, Network

PULL_DELAY_S = 0.02
PATIENCE_S = 10.0
ROOT = Path(__file__).parent.parent.parent.parent


def document(version: int) -> bytes:
    route = {
        "Name": "r",
        "Host": HOST,
        "PathPrefix": "/live/",
        "Type": "streaming",
        "TimeoutMs": 3000,
        "Service": "s",
        "MaxAttempts": 2,
    }
    service = {"Name": "s", "MaxConnections": 10}
    return orjson.dumps({"Version": version, "Routes": [route], "Services": [service], "Limits": {}})


class FakeControl:
    """A control node that reports the configuration version and the servers that a test sets."""

    def __init__(self) -> None:
        self.network = Network()
        self.network.handle(Pull, self._pull)
        self.version = 0
        self.facts: list[ServerRecord] = []
        self.pulls: list[Pull] = []

    async def _pull(self, pull: Pull, caller: Caller) -> Update:
        self.pulls.append(pull)
        await asyncio.sleep(PULL_DELAY_S)
        known = pull.vector.get("c1", 0)
        entries = tuple(
            ServerEntry("c1", number, record) for number, record in enumerate(self.facts, 1) if number > known
        )
        return Update(
            "c1",
            0.0,
            Delta({"c1": len(self.facts)}, entries),
            ("c1",),
            1,
            self.version,
            pack(document(self.version)) if self.version > pull.configuration_version else None,
        )


def settings_for(grace_s: float) -> Settings:
    frontend, readiness, internal, _ = free_ports(4)
    return Settings(
        node_name="g1",
        ip="127.0.0.1",
        zone="z",
        port_range=(internal, internal + 1),
        seed_nodes=("127.0.0.1:1",),
        listen=Listen(f"127.0.0.1:{frontend}", f"127.0.0.1:{readiness}"),
        bounds=Bounds(grace_s=grace_s),
    )


async def stream_two(side: ServerSide, seen: ReceivedRequest) -> None:
    await side.stream(seen, (1, 2))


async def ask(port: int, data: bytes) -> Any:
    client = await Client.connect(port)
    await client.send(data)
    answer = await client.receive()
    client.close()
    return answer


PROBE = b"GET /v1/readyz HTTP/1.1\r\nHost: n\r\n\r\n"


async def with_control(scenario: Any, grace_s: float) -> None:
    settings = settings_for(grace_s)
    control = FakeControl()
    # The follower expects the control node at the internal address that belongs to the seed node.
    await control.network.listen(settings.internal_seeds()[0])
    server = ScriptedServer("i-1", (stream_two,))
    await server.start()
    try:
        async with asyncio.timeout(PATIENCE_S):
            await scenario(settings, control, server)
    finally:
        server.close()
        await control.network.close()


def test_ready_once_configuration_and_servers_are_known_and_not_during_shutdown() -> None:
    async def scenario(settings: Settings, control: FakeControl, server: ScriptedServer) -> None:
        gateway = Gateway(settings)
        await gateway.start()
        client_port, probe_port = gateway.clients.port, gateway.probes.port
        assert (await ask(probe_port, PROBE)).status == 503
        assert (await ask(client_port, request())).status == 503
        control.version = 3
        await until(lambda: gateway.follower.configuration is not None)
        assert (await ask(probe_port, PROBE)).status == 503
        control.facts.append(ServerRecord("i-1", "s", server.address, "z", 4, ServerState.READY, 1))
        await until(lambda: "i-1" in gateway.follower.servers)
        assert (await ask(probe_port, PROBE)).status == 200
        assert (await ask(client_port, request())).body == events(1, 2)
        metrics = await ask(probe_port, b"GET /metrics HTTP/1.1\r\nHost: n\r\n\r\n")
        assert b"emberring_gateway_configuration_version 3\n" in metrics.body
        assert b"emberring_gateway_admission_cursor 0\n" in metrics.body
        assert b"emberring_gateway_admission_lot_share 0.85\n" in metrics.body
        assert (await ask(probe_port, b"GET /x HTTP/1.1\r\nHost: n\r\n\r\n")).status == 404
        control.facts.append(ServerRecord("i-1", "s", server.address, "z", 4, ServerState.DRAINING, 2))
        await until(lambda: gateway.routable_servers.routable("i-1") is None)
        assert (await ask(client_port, request())).status == 503
        assert len(server.seen) == 1
        leaving = asyncio.create_task(gateway.shut_down_gracefully())
        await until(lambda: gateway.clients.shutting_down)
        assert (await ask(probe_port, PROBE)).status == 503
        assert (await ask(client_port, request())).headers["connection"] == "close"
        await leaving
        await gateway.stop()
        assert any(pull.sender.leaving for pull in control.pulls)

    asyncio.run(with_control(scenario, 1.0))


def test_a_gateway_shutting_down_answers_open_requests(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(graceful_shutdown, "READINESS_DETECTION_S", 0.1)

    async def scenario(settings: Settings, control: FakeControl, server: ScriptedServer) -> None:
        may_continue = asyncio.Event()

        async def wait_and_stream(side: ServerSide, seen: ReceivedRequest) -> None:
            await may_continue.wait()
            await side.stream(seen, (1, 2))

        server.scripts = [wait_and_stream]
        control.version = 1
        control.facts.append(ServerRecord("i-1", "s", server.address, "z", 4, ServerState.READY, 1))
        gateway = Gateway(settings)
        await gateway.start()
        await until(lambda: gateway.readiness.ready(0.0))
        client = await Client.connect(gateway.clients.port)
        await client.send(request())
        await server.arrived.wait()
        leaving = asyncio.create_task(gateway.shut_down_gracefully())
        await until(lambda: gateway.clients._server is None)
        assert not leaving.done()
        may_continue.set()
        answer = await client.receive()
        assert (answer.body, answer.whole) == (events(1, 2), True)
        await leaving
        await gateway.stop()

    asyncio.run(with_control(scenario, 8.0))


def test_the_process_ignores_sighup_and_ends_at_sigterm(tmp_path: Path) -> None:
    async def scenario(settings: Settings, control: FakeControl, server: ScriptedServer) -> None:
        control.version = 1
        control.facts.append(ServerRecord("i-1", "s", server.address, "z", 4, ServerState.READY, 1))
        path = tmp_path / "local.toml"
        path.write_text(
            f'NodeName = "g1"\nIp = "127.0.0.1"\nZone = "z"\nPortRange = {list(settings.port_range)}\n'
            f'SeedNodes = ["{settings.seed_nodes[0]}"]\n[Listen]\nFrontend = "{settings.listen.frontend}"\n'
            f'Readiness = "{settings.listen.readiness}"\n[Bounds]\nGraceS = 1.0\n'
        )
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "emberring",
            "gateway",
            cwd=ROOT,
            env={**os.environ, "EMBERRING_NODE_FILE": str(path)},
        )
        try:
            client_port = int(settings.listen.frontend.rsplit(":", 1)[1])
            probe_port = int(settings.listen.readiness.rsplit(":", 1)[1])
            await until_ready(probe_port)
            process.send_signal(signal.SIGHUP)
            path.write_text("nonsense")
            assert (await ask(client_port, request())).body == events(1, 2)
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0
        finally:
            if process.returncode is None:
                process.kill()

    async def until_ready(port: int) -> None:
        while True:
            try:
                if (await ask(port, PROBE)).status == 200:
                    return
            except OSError:
                pass
            await asyncio.sleep(0.01)

    asyncio.run(with_control(scenario, 1.0))
