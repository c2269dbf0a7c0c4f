"""An estimate of which prompt parts a server has cached, from the prompts that this gateway sent to it.

A server evicts the least recently used parts first. This gateway sees only its own share of the requests, so its model
of a server's cache has that share of the cache's capacity.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence

from emberring.admission.types import PrefixPart


class PrefixCacheEstimate:
    """The chains of prompt parts that one server is expected to cache, least recently used first."""

    def __init__(self) -> None:
        self._chains: OrderedDict[str, int] = OrderedDict()
        self._total_tokens = 0

    def cached_parts(self, parts: Sequence[PrefixPart]) -> int:
        """Return how many of the first parts of a prompt are expected to be cached."""
        chain = ""
        for index, part in enumerate(parts):
            chain = f"{chain}/{part.id}"
            if chain not in self._chains:
                return index
        return len(parts)

    def record_prompt(self, parts: Sequence[PrefixPart], limit_tokens: float) -> None:
        """Record that a prompt was sent to the server, and evict parts beyond `limit_tokens`."""
        chain = ""
        for part in parts:
            chain = f"{chain}/{part.id}"
            if chain not in self._chains:
                self._total_tokens += part.tokens
            self._chains[chain] = part.tokens
            self._chains.move_to_end(chain)
        while self._total_tokens > limit_tokens and len(self._chains) > 1:
            _, tokens = self._chains.popitem(last=False)
            self._total_tokens -= tokens

    def clear(self) -> None:
        """Remove all parts; called when the state of the server's cache is unknown."""
        self._chains.clear()
        self._total_tokens = 0
