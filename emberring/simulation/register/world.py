"""A simulated deployment of control nodes: clock, network and random draws, all driven by one seed.

Its machines run the real `RegisterNode` over the real ring of `emberring.journal`.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import attrs

from emberring.register.replica_set_manager import ReconfigurationTimeouts
from emberring.simulation.register.history import History

if TYPE_CHECKING:
    from emberring.simulation.register.machine import Machine

MIN_DELAY_S = 0.0005
"""The shortest delay of a message, in seconds."""

MAX_QUICK_DELAY_S = 0.001
"""The longest delay of a quick message above `MIN_DELAY_S`, in seconds."""


@attrs.frozen
class Mutations:
    """Faults seeded into the code that the checks must detect.

    Attributes:
        amnesiac: a replica that lost its disk keeps its identity and votes.
        unsynced: replies do not wait for the disk.
    """

    amnesiac: bool = False
    unsynced: bool = False


@attrs.define
class NetworkConditions:
    """Conditions of the network.

    Attributes:
        lost: share of messages lost.
        doubled: share of messages delivered twice.
        slowest_s: the longest delay, in seconds.
        slow_share: share of messages that may have the longest delay; the others are quick.
    """

    lost: float = 0.0
    doubled: float = 0.0
    slowest_s: float = 0.003
    slow_share: float = 1.0

    def delay_s(self, rng: random.Random) -> float:
        """Return a random delay of a message, in seconds."""
        slow = self.slow_share >= 1.0 or rng.random() < self.slow_share
        return MIN_DELAY_S + rng.random() * (
            self.slowest_s if slow else min(MAX_QUICK_DELAY_S, self.slowest_s)
        )


class World:
    """The clock and the network. `machines` is keyed by name; the name of a machine is also its address."""

    def __init__(self, seed: int, mutations: Mutations, timeouts: ReconfigurationTimeouts) -> None:
        self.timeouts = timeouts
        self.rng = random.Random(seed)
        self.mutations = mutations
        self.now_s = 0.0
        self.history = History()
        self.machines: dict[str, Machine] = {}
        self.conditions = NetworkConditions()
        self.partitions: set[frozenset[str]] = set()
        self.on_acknowledged: Callable[[str], None] | None = None
        self.events_handled = 0
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._delayed_messages: list[tuple[str, str, Callable[..., None], tuple[Any, ...]]] = []
        self._order = 0

    def at(self, when_s: float, work: Callable[..., None], *arguments: Any) -> None:
        """Call `work` at the given time (simulated clock, seconds)."""
        self._order += 1
        heapq.heappush(self._heap, (when_s, self._order, work, arguments))

    def run(self, until_s: float) -> None:
        """Run all events up to the given time."""
        while self._heap and self._heap[0][0] <= until_s:
            self.now_s, _, work, arguments = heapq.heappop(self._heap)
            work(*arguments)
        self.now_s = until_s

    def send(self, origin: str, target: str, work: Callable[..., None], *arguments: Any) -> None:
        """Deliver a message, possibly late, twice or never; across a partition it is lost or delayed until it heals."""
        if origin == target:
            self.at(self.now_s, work, *arguments)
            return
        if frozenset((origin, target)) in self.partitions:
            if self.rng.random() < 0.5:
                self._delayed_messages.append((origin, target, work, arguments))
            return
        conditions = self.conditions
        if conditions.lost and self.rng.random() < conditions.lost:
            return
        copies = 2 if conditions.doubled and self.rng.random() < conditions.doubled else 1
        for _ in range(copies):
            self.at(self.now_s + conditions.delay_s(self.rng), work, *arguments)

    def heal_partitions(self) -> None:
        """Heal all partitions."""
        self.partitions = set()
        accepted_proposal, self._delayed_messages = self._delayed_messages, []
        for _, _, work, arguments in accepted_proposal:
            self.at(self.now_s + self.rng.random() * 0.01, work, *arguments)

    def is_reachable(self, one: str, other: str) -> bool:
        """Return whether two machines run and are not partitioned from each other."""
        if not (self.machines[one].running and self.machines[other].running):
            return False
        return frozenset((one, other)) not in self.partitions
