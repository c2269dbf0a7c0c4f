"""The KV cache of an emulated engine: parts of prompts, cached while they are used and while there is capacity."""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Sequence

import attrs


@attrs.frozen
class PromptPart:
    """A part of a prompt, by the id under which it may be shared."""

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

    def known_tokens(self, parts: Sequence[PromptPart]) -> int:
        """The tokens of a prompt that need no prefill: its parts up to the first that is not cached."""
        known = 0
        for part in parts:
            if part.id not in self._parts:
                break
            known += part.tokens
        return known

    def fits(self, parts: Sequence[PromptPart], more_tokens: int) -> bool:
        """Whether a request fits besides what is in use."""
        new = sum(part.tokens for part in parts if not self._users[part.id])
        return self.used + new + more_tokens <= self.capacity

    def pin(self, parts: Sequence[PromptPart]) -> None:
        """Cache these parts and protect them for a running request."""
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
        """A request has ended or was preempted; its parts stay cached while there is capacity."""
        self.generated -= generated
        for part in parts:
            self._users[part.id] -= 1
            if not self._users[part.id]:
                del self._users[part.id]
                self._pinned_tokens -= self._parts[part.id]

    def evict_unused(self) -> bool:
        """Evict the least recently used parts until the rest fits; whether it does."""
        if self._cached_tokens + self.generated <= self.capacity:
            return True
        for name in [name for name in self._parts if not self._users[name]]:
            if self._cached_tokens + self.generated <= self.capacity:
                break
            self._cached_tokens -= self._parts.pop(name)
        return self._cached_tokens + self.generated <= self.capacity
