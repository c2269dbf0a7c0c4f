"""Clock, network and random choices of a simulated control plane, on an event loop with virtual time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from emberring.register.replica_set_manager import RECONFIGURATION_TIMEOUTS
from emberring.simulation.control_plane.history import ControlHistory
from emberring.simulation.register.world import Mutations, World


class ControlWorld(World):
    """A world whose `at` and `send` run on the event loop; partitions are kept by direction."""

    def __init__(self, seed: int, mutations: Mutations) -> None:
        super().__init__(seed, mutations, RECONFIGURATION_TIMEOUTS)
        self.seen = ControlHistory()
        self.history = self.seen
        self.dark: set[str] = set()  # addresses of machines without power
        self.blocked: dict[tuple[str, str], float] = {}  # (from, to): until when nothing passes (s)

    def sync(self) -> float:
        """Bring `now_s` up to date; to be called where a task or callback of the loop begins."""
        self.now_s = asyncio.get_running_loop().time()
        return self.now_s

    def at(self, when_s: float, work: Callable[..., None], *arguments: Any) -> None:
        asyncio.get_running_loop().call_at(when_s, self._do, work, arguments)

    def _do(self, work: Callable[..., None], arguments: tuple[Any, ...]) -> None:
        self.sync()
        work(*arguments)

    def passes(self, sender: str, target: str) -> bool:
        """Whether a message from the one machine reaches the other."""
        return self.blocked.get((sender, target), 0.0) <= self.now_s

    def block(self, sender: str, target: str, until_s: float) -> None:
        """Drop all messages in this direction until then (s)."""
        if sender != target:
            self.blocked[(sender, target)] = max(until_s, self.blocked.get((sender, target), 0.0))

    def join(self) -> None:
        """End all partitions."""
        self.blocked.clear()

    def reach(self, one: str, other: str) -> bool:
        return self.passes(one, other) and self.passes(other, one)

    def delay_s(self) -> float:
        """The delay (s) of a message sent now."""
        return self.conditions.delay_s(self.rng)

    def is_lost(self) -> bool:
        """Whether a message sent now is lost."""
        return self.conditions.lost > 0 and self.rng.random() < self.conditions.lost

    def send(self, sender: str, target: str, work: Callable[..., None], *arguments: Any) -> None:
        if sender == target:
            self.at(self.now_s, work, *arguments)
            return
        if not self.passes(sender, target) or self.is_lost():
            return
        copies = 2 if self.conditions.doubled and self.rng.random() < self.conditions.doubled else 1
        for _ in range(copies):
            self.at(self.now_s + self.delay_s(), work, *arguments)
