"""An emulated application of a middle tier: answers HTTP/1.1 by calling the next tier through its own sidecar.

It forwards a configurable set of header fields: those of an application that propagates a trace, or none. It can hang,
fail immediately, or retry by itself as an application outside of this project may.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from loadbalancer.core.address import Address
from loadbalancer.emulator.caller import Application
from loadbalancer.http.server import Call, Dialect, Server

TRACE = frozenset((b"traceparent", b"tracestate", b"baggage"))
OWN = frozenset((b"idempotency-key", b"x-posting"))
LIMIT = 4096  # connections


@dataclass(slots=True)
class TierBehaviour:
    """The behaviour and faults of the application; may be changed while it runs."""

    work_ms: float = 0.0  # time before it calls the next tier
    hang: bool = False  # accept requests and never answer
    fail: bool = False  # answer 500 immediately, without a call
    tries: int = 1  # attempts of its own until one succeeds
    tried: frozenset[bytes] = frozenset((b"GET", b"POST"))  # methods that it retries
    notices: bool = True  # cancel the work of a request when its caller disconnects
    passes: frozenset[bytes] = TRACE | OWN  # lower-case names of the header fields that are forwarded
    timeout_s: float = 30.0


@dataclass(eq=False)
class TierApplication:
    """One instance. `begun` counts its requests, `paths` counts them by target."""

    name: str
    behaviour: TierBehaviour = field(default_factory=TierBehaviour)
    next: Address | None = None  # its own sidecar; None: it answers without a call

    def __post_init__(self) -> None:
        self.begun = 0
        self.paths: Counter[str] = Counter()
        self.before_call: Callable[[], Awaitable[Any]] | None = None  # awaited before each call
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, port: int = 0) -> TierApplication:
        self.server = Server(LIMIT, self._on_call, Dialect(raw=True, request_s=30.0, idle_s=60.0))
        await self.server.listen("127.0.0.1", port)
        self._caller: Application | None = None
        return self

    @property
    def endpoint(self) -> str:
        host, port = self.server.address
        return f"{host}:{port}"

    def stop(self) -> None:
        """Crash: reset all connections."""
        self.server.close()
        for connection in list(self.server.connections):
            connection.abort()
        for task in self._tasks:
            task.cancel()
        if self._caller is not None:
            self._caller.close()

    def _on_call(self, call: Call) -> None:
        self.begun += 1
        self.paths[call.target.decode("latin-1")] += 1
        task = asyncio.create_task(self._serve(call))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

        def gone() -> None:
            if self.behaviour.notices:
                task.cancel()

        call.on_gone = gone

    async def _serve(self, call: Call) -> None:
        behaviour = self.behaviour
        if behaviour.fail:
            call.pass_on(500, [(b"X-Box", self.name.encode())], b"failed\n")
            return
        if behaviour.work_ms > 0.0:
            await asyncio.sleep(behaviour.work_ms / 1000.0)
        if behaviour.hang:
            await asyncio.Event().wait()
        if self.before_call is not None:
            await self.before_call()
        if self.next is None:
            call.pass_on(200, [(b"X-Box", self.name.encode())], b"done\n")
            return
        headers = {
            name.decode("latin-1"): value.decode("latin-1")
            for name, value in call.raw
            if name.lower() in behaviour.passes
        }
        if self._caller is None:
            self._caller = Application(self.next, behaviour.timeout_s)
        target = call.target.decode("latin-1")
        status, body = 504, b"no answer\n"
        for _ in range(behaviour.tries if call.method in behaviour.tried else 1):
            try:
                reply = await self._caller.ask(call.method.decode(), target, bytes(call.body), headers)
            except (OSError, TimeoutError):
                continue
            status, body = reply.status, bytes(reply.body)
            if status < 500:
                break
        call.pass_on(status, [(b"X-Box", self.name.encode())], body)
