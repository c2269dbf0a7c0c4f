"""Which parts of prompts a server is held to keep, judged by what this gateway sent there.

A server keeps parts until others push them out, the longest unused first. This gateway sees only a share of what
is sent, so its memory of a server holds that share of the server's memory.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence

from emberring.admission.types import PrefixPart


class PrefixCacheEstimate:
    """The chains of parts that one server is held to keep, the longest unused first."""

    def __init__(self) -> None:
        self._kept: OrderedDict[str, int] = OrderedDict()
        self._total = 0

    def cached_parts(self, parts: Sequence[PrefixPart]) -> int:
        """How many parts from the start on are held to be kept; a part counts only if all before it do."""
        chain = ""
        for at, part in enumerate(parts):
            chain = f"{chain}/{part.id}"
            if chain not in self._kept:
                return at
        return len(parts)

    def record_prompt(self, parts: Sequence[PrefixPart], limit_tokens: float) -> None:
        """A prompt has gone to the server, which has room for so many tokens of what this gateway sends."""
        chain = ""
        for part in parts:
            chain = f"{chain}/{part.id}"
            if chain not in self._kept:
                self._total += part.tokens
            self._kept[chain] = part.tokens
            self._kept.move_to_end(chain)
        while self._total > limit_tokens and len(self._kept) > 1:
            _, tokens = self._kept.popitem(last=False)
            self._total -= tokens

    def clear(self) -> None:
        """Nothing is known any more."""
        self._kept.clear()
        self._total = 0
