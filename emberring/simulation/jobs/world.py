"""Simulated world of stores and gateways: clock, network and partitions, all driven by one seed."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable

import attrs


@attrs.define
class NetworkConditions:
    """Conditions of the network: the share of lost messages, and the longest delay in seconds."""

    loss_share: float = 0.0
    max_delay_s: float = 0.003


class World:
    """The clock and the network. Machines are identified by name."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.conditions = NetworkConditions()
        self.partitioned: set[str] = set()  # names of partitioned machines
        self.partitioned_links: set[frozenset[str]] = set()
        self.events_handled = 0
        self._heap: list[tuple[float, int, Callable[..., None], tuple[object, ...]]] = []
        self._order = 0

    def at(self, when_s: float, work: Callable[..., None], *arguments: object) -> None:
        """Call `work` at the given time."""
        self._order += 1
        heapq.heappush(self._heap, (when_s, self._order, work, arguments))

    def after(self, wait_s: float, work: Callable[..., None], *arguments: object) -> None:
        """Call `work` after `wait_s` seconds."""
        self.at(self.now_s + wait_s, work, *arguments)

    def run(self, until_s: float) -> None:
        """Run all events up to the given time."""
        while self._heap and self._heap[0][0] <= until_s:
            self.now_s, _, work, arguments = heapq.heappop(self._heap)
            self.events_handled += 1
            work(*arguments)
        self.now_s = until_s

    def is_reachable(self, one: str, other: str) -> bool:
        """Return whether messages can be delivered between two machines."""
        if one == other:
            return True
        return not (
            one in self.partitioned
            or other in self.partitioned
            or frozenset((one, other)) in self.partitioned_links
        )

    def send(self, origin: str, target: str, work: Callable[..., None], *arguments: object) -> None:
        """Deliver a message, possibly late or never.

        A message across a partition is lost, or sent again after a delay.
        """
        if origin == target:
            self.at(self.now_s, work, *arguments)
            return
        if not self.is_reachable(origin, target):
            if self.rng.random() < 0.3:
                self.after(0.3 + self.rng.random(), self.send, origin, target, work, *arguments)
            return
        if self.conditions.loss_share and self.rng.random() < self.conditions.loss_share:
            return
        self.after(0.0005 + self.rng.random() * self.conditions.max_delay_s, work, *arguments)
