"""Starts, crashes, drains and replaces the model servers of a trial."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from emberring.emulator.engine import EngineSpec
from emberring.emulator.heartbeats import Heartbeats
from emberring.emulator.model_server import ModelServer, ServerSpec
from emberring.emulator.observations import Observations
from emberring.emulator.waiting import wait_until

# Time for which a server continues to serve after its drain is acknowledged; longer than the propagation to gateways.
SERVE_AFTER_DRAIN_S = 2.5


class ServerFleet:
    """The servers of one service and their heartbeats."""

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
        """Start a server on a free port."""
        spec = ServerSpec(self._service, zone=f"zone-{'abc'[len(self.servers) % 3]}", engine=self._engine)
        server = ModelServer(spec, self._observations)
        await server.start()
        heartbeats = Heartbeats(server, self._controls, self._heartbeat_s)
        heartbeats.start()
        self.servers[server.id] = (server, heartbeats)
        return server

    async def crash(self, server_id: str) -> None:
        """Stop a server without a drain or deregistration."""
        server, heartbeats = self.servers.pop(server_id)
        server.stop(crash=True)
        await heartbeats.stop()

    async def release(self, server_id: str) -> bool:
        """Drain, deregister and stop a server. Returns whether the drain and the deregistration were acknowledged."""
        server, heartbeats = self.servers.pop(server_id)
        drained = await heartbeats.drain()
        await asyncio.sleep(SERVE_AFTER_DRAIN_S)
        await wait_until(lambda: server.in_flight == 0, SERVE_AFTER_DRAIN_S)
        deregistered = await heartbeats.deregister()
        server.stop()
        return drained and deregistered

    async def stop(self) -> None:
        """Stop all servers."""
        for server, heartbeats in self.servers.values():
            server.stop()
            await heartbeats.stop()
        self.servers.clear()
