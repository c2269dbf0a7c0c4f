"""Tracks the replica's journal appends: records in flight, disk failures and stalls, the snapshot after a failure."""

from __future__ import annotations

from emberring.register.acceptor import Acceptor
from emberring.register.events import Append

STALLED_AFTER_S = 1.0
"""Time in flight of a record after which the disk counts as stalled and this replica as not voting, in seconds."""

PROBE_INTERVAL_S = 0.5
"""Interval of the probes of a failed disk, in seconds."""


class Persistence:
    """Numbers the appends. After a failed append the next record is a snapshot, as the failed record may be missing."""

    def __init__(self, acceptor: Acceptor) -> None:
        self._acceptor = acceptor
        self._in_flight_since_s: dict[int, float] = {}
        self._last_number = 0
        self._failing = False
        self._snapshot_needed = False
        self._probed_at_s = float("-inf")

    def append(self, now_s: float, record: bytes | None) -> list[Append]:
        """Return the append of a record, if there is one; after a failure that of a snapshot in any case."""
        records = [self._acceptor.snapshot()] if self._snapshot_needed else [] if record is None else [record]
        self._snapshot_needed = False
        return [self._new_append(now_s, entry) for entry in records]

    def _new_append(self, now_s: float, record: bytes) -> Append:
        self._last_number += 1
        self._in_flight_since_s[self._last_number] = now_s
        return Append(self._last_number, record)

    def on_synced(self, append: int) -> None:
        """Handle the end of an append whose record is persisted."""
        self._in_flight_since_s.pop(append, None)
        self._failing = False

    def on_failed(self, append: int) -> None:
        """Handle a failed append, whose record may or may not be persisted."""
        self._in_flight_since_s.pop(append, None)
        self._failing = True
        self._snapshot_needed = True

    def probe(self, now_s: float) -> list[Append]:
        """After a failure, append a snapshot every `PROBE_INTERVAL_S` until one succeeds."""
        if not self._snapshot_needed or now_s - self._probed_at_s < PROBE_INTERVAL_S:
            return []
        self._probed_at_s = now_s
        return self.append(now_s, None)

    def is_writable(self, now_s: float) -> bool:
        """Return whether the disk completes appends in time, so that this replica can vote."""
        oldest = min(self._in_flight_since_s.values(), default=now_s)
        return not self._failing and now_s - oldest < STALLED_AFTER_S
