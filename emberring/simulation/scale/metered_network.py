"""A network within one process for hollow nodes: real messages and codec, no sockets; bytes and processor time metered.

A hollow node is the real code of a node's control part without what it serves. Each has a meter. Tasks that are started
in a node's context, and those that they start, count their processor time on its meter.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, TypeVar

import attrs

from emberring.errors import PeerTimeoutError, PeerUnavailableError
from emberring.simulation.common.task_owner import TaskOwner
from emberring.transport.messages import Envelope, decode, encode
from emberring.transport.network import Caller, Network, Reply, check_reply

DELAY_S = 0.0005  # one way

Result = TypeVar("Result")


@attrs.define(eq=False)
class Meter:
    """What a node has used so far."""

    cpu_s: float = 0.0
    sent_bytes: int = 0
    received_bytes: int = 0
    calls: int = 0  # that it sent

    def clear(self) -> None:
        """Begin anew."""
        self.cpu_s = 0.0
        self.sent_bytes = self.received_bytes = self.calls = 0


class _MeteredTasks(TaskOwner):
    """A node's tasks; the time between their waits counts on its meter."""

    def __init__(self, meter: Meter) -> None:
        super().__init__()
        self._meter = meter

    def step(self, resume: Callable[[], Any]) -> Any:
        began_s = time.thread_time()
        try:
            return resume()
        finally:
            self._meter.cpu_s += time.thread_time() - began_s


class HollowNetwork(Network):
    """The network of one hollow node. `hub` has all of them by address."""

    def __init__(self, hub: dict[str, HollowNetwork], address: str) -> None:
        super().__init__()
        self.meter = Meter()
        self.side = ""  # of a cut: calls between two sides are lost
        self._tasks = _MeteredTasks(self.meter)
        self._hub = hub
        self._address = address
        hub[address] = self

    def start(self, coroutine: Coroutine[Any, Any, Result]) -> asyncio.Task[Result]:
        """Start a task of this node."""
        return self._tasks.start(coroutine)

    async def listen(self, address: str) -> None:
        """Nothing to do: the hub knows the address."""

    async def call(self, address: str, body: Any, reply: type[Reply], timeout_s: float) -> Reply:
        """Send a call and wait for its reply, at most `timeout_s` in all."""
        peer = self._hub.get(address)
        if peer is None:
            raise PeerUnavailableError(f"nobody at {address}")
        line = encode(Envelope(1, body))
        self.meter.calls += 1
        self.meter.sent_bytes += len(line)
        try:
            async with asyncio.timeout(timeout_s):
                await self._pass_to(peer, timeout_s)
                answer_line = await peer.start(peer.answer_line(line, self._address))
                await self._pass_to(peer, timeout_s)
        except TimeoutError:
            raise PeerTimeoutError(f"no reply from {address}") from None
        self.meter.received_bytes += len(answer_line)
        return check_reply(reply, decode(answer_line).body, address)

    async def _pass_to(self, peer: HollowNetwork, timeout_s: float) -> None:
        """The way of a line; between two sides of a cut it outlasts the call."""
        await asyncio.sleep(DELAY_S if peer.side == self.side else timeout_s)

    async def answer_line(self, line: bytes, caller: str) -> bytes:
        """The reply to a line that has come."""
        self.meter.received_bytes += len(line)
        envelope = decode(line)
        answer: Awaitable[Any] = self.dispatch(envelope.body, Caller(caller))
        reply = encode(Envelope(-envelope.id, await answer))
        self.meter.sent_bytes += len(reply)
        return reply
