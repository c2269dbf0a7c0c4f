"""The KV cache of an emulated engine: an LRU cache of prompt parts that can be shared between requests."""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Sequence

import attrs


@attrs.frozen
class PromptPart:
    """A part of a prompt; parts with the same id are shared in the cache."""

    id: str
    tokens: int


class KvCache:
    """An LRU cache of prompt parts. Parts in use and generated tokens cannot be evicted. `capacity` is in tokens."""

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.generated = 0  # tokens that running requests have generated
        self._parts: OrderedDict[str, int] = OrderedDict()
        self._users: Counter[str] = Counter()
        self._pinned_tokens = 0
        self._cached_tokens = 0

    @property
    def used(self) -> int:
        """Tokens that cannot be evicted."""
        return self._pinned_tokens + self.generated

    def cached_prefix_tokens(self, parts: Sequence[PromptPart]) -> int:
        """Return the tokens of a prompt that need no prefill: its parts up to the first that is not cached."""
        cached = 0
        for part in parts:
            if part.id not in self._parts:
                break
            cached += part.tokens
        return cached

    def fits(self, parts: Sequence[PromptPart], more_tokens: int) -> bool:
        """Return whether a request with these parts and `more_tokens` fits in addition to the tokens in use."""
        new_tokens = sum(part.tokens for part in parts if not self._users[part.id])
        return self.used + new_tokens + more_tokens <= self.capacity

    def pin(self, parts: Sequence[PromptPart]) -> None:
        """Cache these parts and protect them from eviction for a running request."""
        for part in parts:
            if part.id not in self._parts:
                self._parts[part.id] = part.tokens
                self._cached_tokens += part.tokens
            self._parts.move_to_end(part.id)
            if not self._users[part.id]:
                self._pinned_tokens += self._parts[part.id]
            self._users[part.id] += 1
        self.evict_unused()

    def release(self, parts: Sequence[PromptPart], generated: int) -> None:
        """Unpin the parts of a request that has ended or was preempted; they stay cached until they are evicted."""
        self.generated -= generated
        for part in parts:
            self._users[part.id] -= 1
            if not self._users[part.id]:
                del self._users[part.id]
                self._pinned_tokens -= self._parts[part.id]

    def evict_unused(self) -> bool:
        """Evict unpinned parts, least recently used first, until the content fits. Returns whether it fits."""
        if self._cached_tokens + self.generated <= self.capacity:
            return True
        for name in [name for name in self._parts if not self._users[name]]:
            if self._cached_tokens + self.generated <= self.capacity:
                break
            self._cached_tokens -= self._parts.pop(name)
        return self._cached_tokens + self.generated <= self.capacity
