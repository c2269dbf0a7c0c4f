"""The disk as a replica sees it: records under way, a disk that refuses or stalls, the snapshot after a refusal."""

from __future__ import annotations

from emberring.register.acceptor import Acceptor
from emberring.register.events import Append

STALLED_AFTER_S = 1.0
PROBE_EVERY_S = 0.5


class Persistence:
    """Numbers the records. After a refusal the next record is a snapshot, since what failed may be missing."""

    def __init__(self, acceptor: Acceptor) -> None:
        self._acceptor = acceptor
        self._waiting: dict[int, float] = {}
        self._next = 0
        self._refusing = False
        self._dirty = False
        self._probed_at = float("-inf")

    def append(self, now_s: float, record: bytes | None) -> list[Append]:
        """Write a record, or only make sure that what is held is on the disk (None)."""
        records = [self._acceptor.snapshot()] if self._dirty else [] if record is None else [record]
        self._dirty = False
        return [self._number(now_s, found) for found in records]

    def _number(self, now_s: float, record: bytes) -> Append:
        self._next += 1
        self._waiting[self._next] = now_s
        return Append(self._next, record)

    def synced(self, append: int) -> None:
        """A record is on the disk."""
        self._waiting.pop(append, None)
        self._refusing = False

    def refused(self, append: int) -> None:
        """A record is not, or perhaps not, on the disk."""
        self._waiting.pop(append, None)
        self._refusing = True
        self._dirty = True

    def probe(self, now_s: float) -> list[Append]:
        """While the disk refuses, try it now and then."""
        if not self._dirty or now_s - self._probed_at < PROBE_EVERY_S:
            return []
        self._probed_at = now_s
        return self.append(now_s, None)

    def voting(self, now_s: float) -> bool:
        """Whether the disk takes records in time."""
        oldest = min(self._waiting.values(), default=now_s)
        return not self._refusing and now_s - oldest < STALLED_AFTER_S
