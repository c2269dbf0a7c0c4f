"""An in-process network for hollow nodes: real messages and codec, no sockets, with metered bytes and CPU time.

A hollow node runs the real control code of a node without serving requests. Each hollow node has a meter, which counts
the CPU time of the tasks started in its context and of the tasks that these start.
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
    """The resource usage of a node."""

    cpu_s: float = 0.0
    sent_bytes: int = 0
    received_bytes: int = 0
    calls: int = 0  # calls sent

    def clear(self) -> None:
        """Reset all counters."""
        self.cpu_s = 0.0
        self.sent_bytes = self.received_bytes = self.calls = 0


class _MeteredTasks(TaskOwner):
    """The tasks of a node; their CPU time is added to its meter."""

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
    """The network of one hollow node. `networks` contains the networks of all nodes by address."""

    def __init__(self, networks: dict[str, HollowNetwork], address: str) -> None:
        super().__init__()
        self.meter = Meter()
        self.side = ""  # side of a partition; calls between two sides are lost
        self._tasks = _MeteredTasks(self.meter)
        self._networks = networks
        self._address = address
        networks[address] = self

    def start(self, coroutine: Coroutine[Any, Any, Result]) -> asyncio.Task[Result]:
        """Start a task of this node."""
        return self._tasks.start(coroutine)

    async def listen(self, address: str) -> None:
        """Do nothing: the map of networks already contains the address."""

    async def call(self, address: str, body: Any, reply: type[Reply], timeout_s: float) -> Reply:
        """Send a call and wait at most `timeout_s` for its reply."""
        peer = self._networks.get(address)
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
        """Wait for the network delay, or between two sides of a partition for the timeout, so that the call fails."""
        await asyncio.sleep(DELAY_S if peer.side == self.side else timeout_s)

    async def answer_line(self, line: bytes, caller: str) -> bytes:
        """Handle a received line and return the encoded reply."""
        self.meter.received_bytes += len(line)
        envelope = decode(line)
        answer: Awaitable[Any] = self.dispatch(envelope.body, Caller(caller))
        reply = encode(Envelope(-envelope.id, await answer))
        self.meter.sent_bytes += len(reply)
        return reply
