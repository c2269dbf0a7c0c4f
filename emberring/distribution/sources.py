"""Selects the control nodes that a follower pulls from: two that respond and have a majority, if possible.

The first one receives most of the pulls. It is preferably in the follower's own zone, as traffic between zones is
charged. The second is any other, so that one remains if a zone fails. Does no network I/O.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence

import attrs

from emberring.backoff import doubled_wait_s

QUORUM_FRESH_S = 1.0  # a control node without a majority for longer is replaced by another
CONTACT_S = 1.2  # a reply of a node with a majority within this time counts as contact
FIRST_BACKOFF_S = 0.1  # after the first failure; doubles with each consecutive one
MAX_BACKOFF_S = 1.5
NO_QUORUM_RETRY_S = 0.5  # delay before a node without a majority is retried, if there is no better one
SAME_ZONE_RETRY_S = 5.0  # delay before a failed node of the same zone is retried, even if others respond
SAME_ZONE_SLOT = 0  # the puller that prefers control nodes of the same zone
FORGET_FAILURES = 20  # consecutive failures after which a node that is not a seed is dropped


@attrs.define
class _Source:
    address: str
    is_seed: bool
    failures: int = 0
    not_before_s: float = 0.0
    without_quorum: bool = False
    answers: int = 0
    answered_s: float = -1e9
    failed_s: float = -1e9  # time of the last failure, or reply without a majority

    def is_preferable(self, now_s: float) -> bool:
        """Whether this source should replace the current source of another zone."""
        healthy = self.failures == 0 and not self.without_quorum
        return (healthy or now_s - self.failed_s >= SAME_ZONE_RETRY_S) and self.not_before_s <= now_s


class SourceSelector:
    """Selects a control node for each puller, a different one for each. Times are seconds of the monotonic clock.

    `seeds` are addresses that are never dropped; `rng` makes the random choices.
    """

    def __init__(self, seeds: Sequence[str], rng: random.Random) -> None:
        self._random = rng
        self._sources: dict[str, _Source] = {}
        self._current: dict[int, str] = {}
        self._same_zone: frozenset[str] = frozenset()
        for address in seeds:
            self._sources[address] = _Source(address, is_seed=True)

    def add(self, addresses: Iterable[str]) -> None:
        """Add addresses of control nodes that may exist."""
        for address in addresses:
            if address not in self._sources:
                self._sources[address] = _Source(address, is_seed=False)

    def set_same_zone(self, addresses: Iterable[str]) -> None:
        """Set the addresses of the control nodes of this node's own zone."""
        self._same_zone = frozenset(addresses)

    def has_answered(self, address: str) -> bool:
        """Whether this node has replied and not failed since, so that long polls to it are allowed."""
        source = self._sources.get(address)
        return source is not None and source.answers > 0 and source.failures == 0

    def in_contact(self, now_s: float) -> bool:
        """Whether a node with a majority replied within `CONTACT_S`."""
        return any(
            not source.without_quorum and now_s - source.answered_s < CONTACT_S
            for source in self._sources.values()
        )

    def answered(self, now_s: float, address: str, quorum_age_s: float) -> None:
        """Record a reply to a pull; `quorum_age_s` is how long ago the node was in contact with a majority."""
        source = self._sources.get(address)
        if source is None:
            return
        source.failures = 0
        source.answers += 1
        source.answered_s = now_s
        source.without_quorum = quorum_age_s > QUORUM_FRESH_S
        source.not_before_s = now_s + NO_QUORUM_RETRY_S if source.without_quorum else now_s
        if source.without_quorum:
            source.failed_s = now_s
            self._release(address)

    def failed(self, now_s: float, address: str) -> None:
        """Record that a pull failed."""
        source = self._sources.get(address)
        if source is None:
            return
        source.failures += 1
        source.failed_s = now_s
        backoff_s = doubled_wait_s(FIRST_BACKOFF_S, MAX_BACKOFF_S, source.failures)
        source.not_before_s = now_s + backoff_s * self._random.uniform(0.5, 1.0)
        self._release(address)
        if not source.is_seed and source.failures >= FORGET_FAILURES:
            del self._sources[address]

    def _release(self, address: str) -> None:
        for slot in [slot for slot, current in self._current.items() if current == address]:
            del self._current[slot]

    def pick(self, now_s: float, slot: int) -> str | None:
        """The address to pull from now; None if all others are in use or in backoff."""
        current = self._current.get(slot)
        if current is not None and current in self._sources:
            selected = self._same_zone_instead(now_s, slot, current)
            self._current[slot] = selected
            return selected
        in_use = {address for other, address in self._current.items() if other != slot}
        free = [
            source
            for source in self._sources.values()
            if source.address not in in_use and source.not_before_s <= now_s
        ]
        if not free:
            return None
        best = min(self._rank(slot, source) for source in free)
        chosen = self._random.choice([source for source in free if self._rank(slot, source) == best]).address
        self._current[slot] = chosen
        return chosen

    def _rank(self, slot: int, source: _Source) -> tuple[bool, int, bool]:
        other_zone = slot == SAME_ZONE_SLOT and source.address not in self._same_zone
        return source.without_quorum, min(source.failures, 3), other_zone

    def _same_zone_instead(self, now_s: float, slot: int, current: str) -> str:
        """The address of this zone that replaces the current one, or else the current address."""
        if slot != SAME_ZONE_SLOT or current in self._same_zone:
            return current
        candidates = [
            source.address
            for source in self._sources.values()
            if source.address in self._same_zone and source.is_preferable(now_s)
        ]
        if not candidates:
            return current
        chosen = self._random.choice(candidates)
        for other, address in self._current.items():
            if address == chosen:  # the other puller continues with the source released here
                self._current[other] = current
        return chosen

    def pause_s(self, now_s: float) -> float:
        """How long (s) until a node may be pulled from again."""
        in_use = set(self._current.values())
        waits = [
            source.not_before_s - now_s for source in self._sources.values() if source.address not in in_use
        ]
        return min(MAX_BACKOFF_S, max(0.02, min(waits, default=0.2)))
