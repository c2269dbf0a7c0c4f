"""The model servers of a trial: they start, crash, drain and are replaced."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from emberring.emulator.engine import EngineSpec
from emberring.emulator.heartbeats import Heartbeats
from emberring.emulator.model_server import ModelServer, ServerSpec
from emberring.emulator.observations import Observations
from emberring.emulator.waiting import wait_until

SERVE_AFTER_DRAIN_S = (
    2.5  # after the acknowledgement of a drain; longer than gateways may take to learn of it
)


class ServerFleet:
    """Servers of one service with their heartbeats."""

    def __init__(
        self,
        service: str,
        engine: EngineSpec,
        controls: Callable[[], Sequence[str]],
        observations: Observations,
        heartbeat_s: float = 0.5,
    ) -> None:
        self.servers: dict[str, tuple[ModelServer, Heartbeats]] = {}
        self._service = service
        self._engine = engine
        self._controls = controls
        self._observations = observations
        self._heartbeat_s = heartbeat_s

    async def add(self) -> ModelServer:
        """Start a server at a free address."""
        spec = ServerSpec(self._service, zone=f"zone-{'abc'[len(self.servers) % 3]}", engine=self._engine)
        server = ModelServer(spec, self._observations)
        await server.start()
        heartbeats = Heartbeats(server, self._controls, self._heartbeat_s)
        heartbeats.start()
        self.servers[server.id] = (server, heartbeats)
        return server

    async def crash(self, server_id: str) -> None:
        """A server ends without a notification."""
        server, heartbeats = self.servers.pop(server_id)
        server.stop(crash=True)
        await heartbeats.stop()

    async def release(self, server_id: str) -> bool:
        """A server drains, deregisters and ends; whether both were acknowledged."""
        server, heartbeats = self.servers.pop(server_id)
        drained = await heartbeats.drain()
        await asyncio.sleep(SERVE_AFTER_DRAIN_S)
        await wait_until(lambda: server.in_flight == 0, SERVE_AFTER_DRAIN_S)
        left = await heartbeats.deregister()
        server.stop()
        return drained and left

    async def stop(self) -> None:
        """End all servers."""
        for server, heartbeats in self.servers.values():
            server.stop()
            await heartbeats.stop()
        self.servers.clear()
