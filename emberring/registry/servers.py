"""Decides which server records a control node writes: on heartbeats, goodbyes and timeouts. Does no network I/O.

The caller stores the merged records of all control nodes; this module returns the records to add. Of a heartbeat
without changes only the time is stored, for the timeout.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

import attrs

from emberring.distribution.records import ServerRecord, ServerState
from emberring.registry.heartbeats import Heartbeat
from emberring.registry.merge import merged

MISSED_HEARTBEATS = 4  # in a row; with the slack, these make the timeout
TIMEOUT_SLACK_S = 0.6
# Added for a server without a record of a live control node: an unreachable one may still receive its heartbeats.
ORPHAN_TIMEOUT_SLACK_S = 6.0
# A server that has missed this many intervals of heartbeats counts as lost if another server reports its address.
REUSED_ADDRESS_INTERVALS = 1.5
# A longer interval between two ticks means that this node was frozen and received nothing.
MAX_TICK_GAP_S = 1.0
FORGET_S = 120.0  # retention of a server that is gone or lost


@attrs.define
class _LastSeen:
    sequence: int
    received_s: float


class ServerRegistry:
    """Tracks when a heartbeat of each server was last received, by this control node or another one.

    Times are seconds of the monotonic clock; `heartbeat_s` is the interval of heartbeats; `timeout_s` is how long a
    server may miss them.
    """

    def __init__(self, now_s: float, heartbeat_s: float) -> None:
        self._last_tick_s = now_s
        self.timeout_s = MISSED_HEARTBEATS * heartbeat_s + TIMEOUT_SLACK_S
        self._reused_address_timeout_s = REUSED_ADDRESS_INTERVALS * heartbeat_s
        self._last_seen: dict[str, _LastSeen] = {}
        self._ended_since_s: dict[str, float] = {}

    def sequences_since(self, since_s: float) -> dict[str, int]:
        """The newest sequence of each server seen at or after `since_s`, by id."""
        return {
            server_id: last_seen.sequence
            for server_id, last_seen in self._last_seen.items()
            if last_seen.received_s >= since_s
        }

    def on_sequences(self, now_s: float, sequences: Mapping[str, int]) -> None:
        """Apply the newest sequences of heartbeats that another control node received, by server id."""
        for server_id, sequence in sequences.items():
            self._record_seen(now_s, server_id, sequence)

    def _record_seen(self, now_s: float, server_id: str, sequence: int) -> bool:
        last_seen = self._last_seen.get(server_id)
        if last_seen is None:
            self._last_seen[server_id] = _LastSeen(sequence, now_s)
        elif sequence > last_seen.sequence:
            last_seen.sequence, last_seen.received_s = sequence, now_s
        else:
            return False
        return True

    def on_heartbeat(
        self,
        now_s: float,
        heartbeat: Heartbeat,
        known: Mapping[str, ServerRecord],
        live_record: ServerRecord | None,
    ) -> list[ServerRecord]:
        """The records to write after a heartbeat.

        `known` has the merged records by server id; `live_record` is the merge of the live control nodes' records of
        this server, which followers use.
        """
        record = heartbeat.record
        self._record_seen(now_s, record.id, record.sequence)
        before = known.get(record.id)
        if before is None:
            return [record, *self._silent_at(now_s, record, known)]
        if record.sequence < before.sequence and not heartbeat.draining:
            return []
        after = merged(before, record)
        if before.state is ServerState.GONE:
            return []
        # Both must be unchanged: followers use the live control nodes' record, unless the merged one is draining or
        # gone. With the first check alone, a server that an ended node had written as lost, at the sequence of a live
        # node's record, would never be listed again.
        unchanged = live_record is not None and _equivalent(live_record, after) and _equivalent(before, after)
        return [] if unchanged else [after]

    def _silent_at(
        self, now_s: float, record: ServerRecord, known: Mapping[str, ServerRecord]
    ) -> list[ServerRecord]:
        """Records that mark ready servers at the address of an unknown one as lost, if they have been silent.

        The unknown one may be newer, or have ended before and its heartbeat comes late. So this is no proof that the
        other has ended: its next heartbeat makes it ready again.
        """
        silent = []
        for other in known.values():
            if other.address != record.address or other.id == record.id:
                continue
            last_seen = self._last_seen.get(other.id)
            if other.state is not ServerState.READY or last_seen is None:
                continue
            if now_s - last_seen.received_s > self._reused_address_timeout_s:
                silent.append(_ended(other, last_seen, ServerState.LOST))
        return silent

    def on_goodbye(self, server_id: str, known: Mapping[str, ServerRecord]) -> list[ServerRecord]:
        """The records to write after a goodbye, which may be that of an unknown server."""
        before = known.get(server_id)
        if before is None:
            return [ServerRecord(server_id, "", "", "", 0, ServerState.GONE, 0)]
        if before.state is ServerState.GONE:
            return []
        return [attrs.evolve(before, state=ServerState.GONE)]

    def on_record_changed(self, now_s: float, record: ServerRecord) -> list[ServerRecord]:
        """The records to write after another control node wrote a live server as lost: the server is ready."""
        last_seen = self._last_seen.get(record.id)
        if record.state is not ServerState.LOST or last_seen is None or last_seen.sequence <= record.sequence:
            return []
        if now_s - last_seen.received_s > self.timeout_s:
            return []
        return [attrs.evolve(record, state=ServerState.READY, sequence=last_seen.sequence)]

    def on_tick(
        self,
        now_s: float,
        known: Mapping[str, ServerRecord],
        is_listed: Callable[[str], bool],
        trusted: bool,
    ) -> list[ServerRecord]:
        """The records to write of servers that have timed out.

        `is_listed` returns whether a live control node has a record of a server. `trusted` is false while missed
        heartbeats prove nothing, as this node is partitioned or was frozen; then every timeout restarts.
        """
        gap_s, self._last_tick_s = now_s - self._last_tick_s, now_s
        if not trusted or gap_s > MAX_TICK_GAP_S:
            for last_seen in self._last_seen.values():
                last_seen.received_s = now_s
            return []
        return [
            lost
            for record in known.values()
            if (lost := self._timed_out(now_s, record, is_listed)) is not None
        ]

    def _timed_out(
        self, now_s: float, record: ServerRecord, is_listed: Callable[[str], bool]
    ) -> ServerRecord | None:
        if record.state not in (ServerState.READY, ServerState.DRAINING):
            return None
        last_seen = self._last_seen.setdefault(record.id, _LastSeen(record.sequence, now_s))
        timeout_s = self.timeout_s if is_listed(record.id) else self.timeout_s + ORPHAN_TIMEOUT_SLACK_S
        if now_s - last_seen.received_s <= timeout_s:
            return None
        state = ServerState.GONE if record.state is ServerState.DRAINING else ServerState.LOST
        return _ended(record, last_seen, state)

    def expired(self, now_s: float, known: Mapping[str, ServerRecord]) -> list[str]:
        """Remove and return the ids of the servers that have been gone or lost for `FORGET_S`."""
        ended = {
            record.id for record in known.values() if record.state in (ServerState.GONE, ServerState.LOST)
        }
        for server_id in list(self._ended_since_s):
            if server_id not in ended:
                del self._ended_since_s[server_id]
        for server_id in ended:
            self._ended_since_s.setdefault(server_id, now_s)
        expired = [
            server_id for server_id, since_s in self._ended_since_s.items() if now_s - since_s > FORGET_S
        ]
        for server_id in expired:
            del self._ended_since_s[server_id]
            self._last_seen.pop(server_id, None)
        return expired


def _ended(record: ServerRecord, last_seen: _LastSeen, state: ServerState) -> ServerRecord:
    """The record of a server in this state from its newest heartbeat on; a lost one is ready again with the next."""
    return attrs.evolve(record, state=state, sequence=max(record.sequence, last_seen.sequence))


def _equivalent(first: ServerRecord, second: ServerRecord) -> bool:
    """Whether two records differ only in the sequence and in the progress of the warm-up, which other nodes ignore."""
    return _without_progress(first) == _without_progress(second)


def _without_progress(record: ServerRecord) -> ServerRecord:
    return attrs.evolve(record, sequence=0, cold_ms=1.0 if record.cold_ms > 0 else 0.0)
