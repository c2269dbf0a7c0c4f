"""Decides which server records a control node writes: on heartbeats, goodbyes and time-outs. No sockets.

The caller keeps the records of all control nodes merged; this module decides what has to be added to them. Of
heartbeats without changes only the time is kept, for the time-out.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

import attrs

from emberring.distribution.records import ServerRecord, ServerState
from emberring.registry.heartbeats import Heartbeat
from emberring.registry.merge import merged

MISSED_HEARTBEATS = 4  # so many missed in a row, and the slack, are a time-out
TIMEOUT_SLACK_S = 0.6
ORPHAN_TIMEOUT_SLACK_S = (
    6.0  # more for servers whose control node can't be asked: it may get heartbeats still
)
ADDRESS_REUSE_TIMEOUT_S = (
    1.0  # a server without heartbeats for so long has ended if another one reports its address
)
MAX_TICK_GAP_S = 1.0  # after a longer time between two ticks this node was frozen and received nothing
FORGET_S = 120.0  # a server that is gone or lost is dropped after so long


@attrs.define
class _LastSeen:
    sequence: int
    received_s: float


class ServerRegistry:
    """When this control node, or another one, last received a heartbeat of each server.

    Times are seconds of the monotonic clock; `heartbeat_s` is the interval of heartbeats; `timeout_s` is how long a
    server may miss them.
    """

    def __init__(self, now_s: float, heartbeat_s: float) -> None:
        self._last_tick_s = now_s
        self.timeout_s = MISSED_HEARTBEATS * heartbeat_s + TIMEOUT_SLACK_S
        self._last_seen: dict[str, _LastSeen] = {}
        self._gone_since: dict[str, float] = {}

    def sequences_since(self, since_s: float) -> dict[str, int]:
        """The newest sequence of each server seen at or after this time, by id."""
        return {
            server: last_seen.sequence
            for server, last_seen in self._last_seen.items()
            if last_seen.received_s >= since_s
        }

    def on_sequences(self, now_s: float, sequences: Mapping[str, int]) -> None:
        """Another control node received heartbeats of these servers with these sequences."""
        for server, sequence in sequences.items():
            self._note(now_s, server, sequence)

    def _note(self, now_s: float, server: str, sequence: int) -> bool:
        last_seen = self._last_seen.get(server)
        if last_seen is None:
            self._last_seen[server] = _LastSeen(sequence, now_s)
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

        `known` has the merged records by server id; `live_record` is that of the live control nodes about this
        server, which other nodes go by.
        """
        record = heartbeat.record
        self._note(now_s, record.id, record.sequence)
        before = known.get(record.id)
        if before is None:
            return [record, *self._replaced_at(now_s, record, known)]
        if record.sequence < before.sequence and not heartbeat.draining:
            return []
        after = merged(before, record)
        if before.state is ServerState.GONE:
            return []
        # Both: followers go by the live control nodes' record unless the merged one says that the server has ended. One
        # that an ended node had taken for lost, at a live one's sequence, was never listed again.
        unchanged = live_record is not None and _equivalent(live_record, after) and _equivalent(before, after)
        return [] if unchanged else [after]

    def _replaced_at(
        self, now_s: float, record: ServerRecord, known: Mapping[str, ServerRecord]
    ) -> list[ServerRecord]:
        """Records of older servers at the address of a new one: they have ended."""
        replaced = []
        for other in known.values():
            if other.address != record.address or other.id == record.id or other.state is ServerState.GONE:
                continue
            last_seen = self._last_seen.get(other.id)
            if last_seen is not None and now_s - last_seen.received_s > ADDRESS_REUSE_TIMEOUT_S:
                replaced.append(attrs.evolve(other, state=ServerState.GONE))
        return replaced

    def on_goodbye(self, server_id: str, known: Mapping[str, ServerRecord]) -> list[ServerRecord]:
        """The records to write after a goodbye, also of a server not known before."""
        before = known.get(server_id)
        if before is None:
            return [ServerRecord(server_id, "", "", "", 0, ServerState.GONE, 0)]
        if before.state is ServerState.GONE:
            return []
        return [attrs.evolve(before, state=ServerState.GONE)]

    def on_record_changed(self, now_s: float, record: ServerRecord) -> list[ServerRecord]:
        """The records to write after another control node wrote one: that a server lives which it took for lost."""
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

        `is_listed` is whether a live control node has a record of a server. `trusted` is false where silence proves
        nothing, as this node is partitioned or was frozen; then every time-out starts again.
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
        return attrs.evolve(record, state=state, sequence=max(record.sequence, last_seen.sequence))

    def expired(self, now_s: float, known: Mapping[str, ServerRecord]) -> list[str]:
        """Ids of the servers gone or lost for `FORGET_S`, of which nothing needs to be kept."""
        ended = {
            record.id for record in known.values() if record.state in (ServerState.GONE, ServerState.LOST)
        }
        for server in list(self._gone_since):
            if server not in ended:
                del self._gone_since[server]
        for server in ended:
            self._gone_since.setdefault(server, now_s)
        old = [server for server, since_s in self._gone_since.items() if now_s - since_s > FORGET_S]
        for server in old:
            del self._gone_since[server]
            self._last_seen.pop(server, None)
        return old


def _equivalent(first: ServerRecord, second: ServerRecord) -> bool:
    """Whether two records differ in nothing that other nodes need: of the warm-up time only whether it is over."""
    return _without_progress(first) == _without_progress(second)


def _without_progress(record: ServerRecord) -> ServerRecord:
    return attrs.evolve(record, sequence=0, cold_ms=1.0 if record.cold_ms > 0 else 0.0)
