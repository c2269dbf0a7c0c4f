"""Sends an emulated model server's heartbeats, drain and deregistration to the control nodes."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable, Sequence

import orjson

from emberring.emulator.http_calls import CALL_ERRORS, call_once
from emberring.emulator.model_server import ModelServer

ACKNOWLEDGE_TIMEOUT_S = 1.0
MAX_RESPONSE_BYTES = 4096


class Heartbeats:
    """Registers a server with a control node by heartbeats; after a failure it switches to another control node."""

    def __init__(
        self, server: ModelServer, controls: Callable[[], Sequence[str]], interval_s: float, seed: int = 0
    ) -> None:
        self._server = server
        self._controls = controls
        self._interval_s = interval_s
        self._random = random.Random(f"{seed}/{server.id}")
        self._sequence = 0
        self._address = ""
        self._task: asyncio.Task[None] | None = None
        self.acknowledged = 0

    def start(self) -> None:
        """Start sending heartbeats."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def stop(self) -> None:
        """Stop sending heartbeats without deregistering, as a crashed server does."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task

    async def drain(self, attempts: int = 8) -> bool:
        """Report that the server is draining. Returns whether a control node acknowledged it."""
        self._server.draining = True
        return await self._send("PUT", attempts)

    async def deregister(self, attempts: int = 8) -> bool:
        """Stop the heartbeats and deregister the server. Returns whether a control node acknowledged it."""
        await self.stop()
        return await self._send("DELETE", attempts)

    async def _run(self) -> None:
        while True:
            if not self._server.faults.unresponsive:
                await self._send("PUT", 4)
            await asyncio.sleep(self._interval_s * self._random.uniform(0.9, 1.1))

    async def _send(self, method: str, attempts: int) -> bool:
        for _ in range(attempts):
            if not self._address:
                self._address = self._random.choice(list(self._controls()))
            if await self._send_once(method):
                return True
            self._address = ""
        return False

    async def _send_once(self, method: str) -> bool:
        url = f"http://{self._address}/v1/instances/{self._server.id}"
        content = orjson.dumps(self._body()) if method == "PUT" else b""
        try:
            response = await call_once(method, url, content=content, timeout_s=ACKNOWLEDGE_TIMEOUT_S)
        except CALL_ERRORS:
            return False
        if not 200 <= response.status < 300 or len(response.body) > MAX_RESPONSE_BYTES:
            return False
        self.acknowledged += 1
        with contextlib.suppress(ValueError, AttributeError):
            self._use_address_of(orjson.loads(response.body or b"{}").get("HeartbeatUrl"))
        return True

    def _use_address_of(self, url: str | None) -> None:
        if url:
            self._address = url.removeprefix("http://").split("/", 1)[0]

    def _body(self) -> dict[str, object]:
        self._sequence += 1
        spec = self._server.spec
        return {
            "Service": spec.service,
            "Address": self._server.address,
            "Zone": spec.zone,
            "Version": spec.version,
            "Capacity": spec.engine.capacity,
            "State": "draining" if self._server.draining else "ready",
            "ColdRemainingMs": 0,
            "Phase": "both",
            "Models": [{"Name": "m", "Version": 1, "LoraAdapters": []}],
            "Sequence": self._sequence,
        }
