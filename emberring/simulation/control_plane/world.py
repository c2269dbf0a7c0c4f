"""Clock, network and random choices of a simulated control plane, on an event loop with virtual time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from emberring.register.replica_set_manager import RECONFIGURATION_TIMEOUTS
from emberring.simulation.control_plane.history import ControlHistory
from emberring.simulation.register.world import Mutations, World


class ControlWorld(World):
    """A world whose `at` and `send` run on the event loop; partitions are stored by direction."""

    def __init__(self, seed: int, mutations: Mutations) -> None:
        super().__init__(seed, mutations, RECONFIGURATION_TIMEOUTS)
        self.control_history = ControlHistory()
        self.history = self.control_history
        self.powered_off: set[str] = set()  # addresses of machines that have no power
        self.blocked: dict[
            tuple[str, str], float
        ] = {}  # (sender, target) to the time (s) until which messages are dropped

    def sync(self) -> float:
        """Update `now_s`; must be called at the start of each task and callback of the loop."""
        self.now_s = asyncio.get_running_loop().time()
        return self.now_s

    def at(self, when_s: float, work: Callable[..., None], *arguments: Any) -> None:
        asyncio.get_running_loop().call_at(when_s, self._run_callback, work, arguments)

    def _run_callback(self, work: Callable[..., None], arguments: tuple[Any, ...]) -> None:
        self.sync()
        work(*arguments)

    def can_deliver(self, sender: str, target: str) -> bool:
        """Return whether a message from `sender` can reach `target`."""
        return self.blocked.get((sender, target), 0.0) <= self.now_s

    def block(self, sender: str, target: str, until_s: float) -> None:
        """Drop all messages in this direction until the given time (s)."""
        if sender != target:
            self.blocked[(sender, target)] = max(until_s, self.blocked.get((sender, target), 0.0))

    def heal_partitions(self) -> None:
        """End all partitions."""
        self.blocked.clear()

    def is_reachable(self, one: str, other: str) -> bool:
        return self.can_deliver(one, other) and self.can_deliver(other, one)

    def delay_s(self) -> float:
        """Return the delay (s) of a message sent now."""
        return self.conditions.delay_s(self.rng)

    def is_lost(self) -> bool:
        """Return whether a message sent now is lost."""
        return self.conditions.lost > 0 and self.rng.random() < self.conditions.lost

    def send(self, sender: str, target: str, work: Callable[..., None], *arguments: Any) -> None:
        if sender == target:
            self.at(self.now_s, work, *arguments)
            return
        if not self.can_deliver(sender, target) or self.is_lost():
            return
        copies = 2 if self.conditions.doubled and self.rng.random() < self.conditions.doubled else 1
        for _ in range(copies):
            self.at(self.now_s + self.delay_s(), work, *arguments)
