"""The memory of an emulated engine: parts of prompts, kept while they are used and as long as there is room."""

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
    """Parts in the order of their last use. Parts in use cannot give way, nor can generated tokens."""

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.generated = 0  # tokens that running requests have made
        self._parts: OrderedDict[str, int] = OrderedDict()
        self._users: Counter[str] = Counter()
        self._pinned = 0
        self._kept = 0

    @property
    def used(self) -> int:
        """Tokens that cannot give way."""
        return self._pinned + self.generated

    def known_tokens(self, parts: Sequence[PromptPart]) -> int:
        """How much of a prompt need not be read again: its parts up to the first that is not kept."""
        known = 0
        for part in parts:
            if part.id not in self._parts:
                break
            known += part.tokens
        return known

    def fits(self, parts: Sequence[PromptPart], more_tokens: int) -> bool:
        """Whether there is room for a request beside what is in use."""
        new = sum(part.tokens for part in parts if not self._users[part.id])
        return self.used + new + more_tokens <= self.capacity

    def pin(self, parts: Sequence[PromptPart]) -> None:
        """Keep these parts for a running request."""
        for part in parts:
            if part.id not in self._parts:
                self._parts[part.id] = part.tokens
                self._kept += part.tokens
            self._parts.move_to_end(part.id)
            if not self._users[part.id]:
                self._pinned += self._parts[part.id]
            self._users[part.id] += 1
        self.evict_unused()

    def release(self, parts: Sequence[PromptPart], generated: int) -> None:
        """A request has ended or was preempted; its parts stay while there is room."""
        self.generated -= generated
        for part in parts:
            self._users[part.id] -= 1
            if not self._users[part.id]:
                del self._users[part.id]
                self._pinned -= self._parts[part.id]

    def evict_unused(self) -> bool:
        """Let the parts unused longest give way; whether what is left fits."""
        if self._kept + self.generated <= self.capacity:
            return True
        for name in [name for name in self._parts if not self._users[name]]:
            if self._kept + self.generated <= self.capacity:
                break
            self._kept -= self._parts.pop(name)
        return self._kept + self.generated <= self.capacity
