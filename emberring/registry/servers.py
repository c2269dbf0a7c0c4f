"""Which statements about model servers a control node makes: on heartbeats, goodbyes and silence. No sockets.

The caller keeps the statements of all control nodes joined; this object decides what has to be added to them.
Heartbeats that bring nothing new are only remembered, so that silence can be known.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

import attrs

from emberring.distribution.records import ServerRecord, ServerState
from emberring.registry.heartbeats import Heartbeat
from emberring.registry.merge import merged

MISSED_HEARTBEATS = 4  # so many in a row, and a little more, are silence
TIMEOUT_SLACK_S = 0.6
ORPHAN_TIMEOUT_SLACK_S = (
    6.0  # more patience with servers whose control node can't be asked: they may beat to it still
)
ADDRESS_REUSE_TIMEOUT_S = 1.0  # a server silent for so long has ended if another one beats from its address
LONGEST_GAP_S = 1.0  # between ticks; after a longer one this node was frozen and has heard nobody
FORGET_S = 120.0  # a server that is gone is forgotten after so long


@attrs.define
class _LastSeen:
    sequence: int
    at_s: float


class ServerRegistry:
    """What this control node heard of servers, itself or through the others."""

    def __init__(self, now_s: float, heartbeat_s: float) -> None:
        self._last_tick_s = now_s
        self.timeout_s = MISSED_HEARTBEATS * heartbeat_s + TIMEOUT_SLACK_S
        self._last_seen: dict[str, _LastSeen] = {}
        self._gone_since: dict[str, float] = {}

    def sequences_since(self, since_s: float) -> dict[str, int]:
        """The newest sequence of servers heard at or after this time, by id."""
        return {server: heard.sequence for server, heard in self._last_seen.items() if heard.at_s >= since_s}

    def on_sequences(self, now_s: float, sequences: Mapping[str, int]) -> None:
        """Another control node took heartbeats of these servers."""
        for server, sequence in sequences.items():
            self._note(now_s, server, sequence)

    def _note(self, now_s: float, server: str, sequence: int) -> bool:
        heard = self._last_seen.get(server)
        if heard is None:
            self._last_seen[server] = _LastSeen(sequence, now_s)
        elif sequence > heard.sequence:
            heard.sequence, heard.at_s = sequence, now_s
        else:
            return False
        return True

    def on_heartbeat(
        self,
        now_s: float,
        heartbeat: Heartbeat,
        known: Mapping[str, ServerRecord],
        listed: ServerRecord | None,
    ) -> list[ServerRecord]:
        """What to state after a heartbeat. `known` is the join of all statements; `listed` that of the control
        nodes that live about this server, which is what other nodes go by."""
        record = heartbeat.record
        self._note(now_s, record.id, record.sequence)
        before = known.get(record.id)
        if before is None:
            return [record, *self._ended_at(now_s, record, known)]
        if record.sequence < before.sequence and not heartbeat.draining:
            return []
        after = merged(before, record)
        if before.state is ServerState.GONE or (listed is not None and _equivalent(listed, after)):
            return []
        return [after]

    def _ended_at(
        self, now_s: float, record: ServerRecord, known: Mapping[str, ServerRecord]
    ) -> list[ServerRecord]:
        """Older servers at the address of a new one: they have ended."""
        ended = []
        for other in known.values():
            if other.address != record.address or other.id == record.id or other.state is ServerState.GONE:
                continue
            heard = self._last_seen.get(other.id)
            if heard is not None and now_s - heard.at_s > ADDRESS_REUSE_TIMEOUT_S:
                ended.append(attrs.evolve(other, state=ServerState.GONE))
        return ended

    def on_goodbye(self, server_id: str, known: Mapping[str, ServerRecord]) -> list[ServerRecord]:
        """What to state after a server said that it ends; a server never heard of is stated as well."""
        before = known.get(server_id)
        if before is None:
            return [ServerRecord(server_id, "", "", "", 0, ServerState.GONE, 0)]
        if before.state is ServerState.GONE:
            return []
        return [attrs.evolve(before, state=ServerState.GONE)]

    def on_record_changed(self, now_s: float, record: ServerRecord) -> list[ServerRecord]:
        """What to state after others stated something: that a server lives which they took for lost."""
        heard = self._last_seen.get(record.id)
        if record.state is not ServerState.LOST or heard is None or heard.sequence <= record.sequence:
            return []
        if now_s - heard.at_s > self.timeout_s:
            return []
        return [attrs.evolve(record, state=ServerState.READY, sequence=heard.sequence)]

    def on_tick(
        self,
        now_s: float,
        known: Mapping[str, ServerRecord],
        listed: Callable[[str], bool],
        trusted: bool,
    ) -> list[ServerRecord]:
        """What to state of servers that fell silent. Where silence proves nothing, as this node is cut off or was
        frozen, `trusted` is false, and every server gets its patience anew."""
        gap_s, self._last_tick_s = now_s - self._last_tick_s, now_s
        if not trusted or gap_s > LONGEST_GAP_S:
            for heard in self._last_seen.values():
                heard.at_s = now_s
            return []
        return [
            lost for record in known.values() if (lost := self._timed_out(now_s, record, listed)) is not None
        ]

    def _timed_out(
        self, now_s: float, record: ServerRecord, listed: Callable[[str], bool]
    ) -> ServerRecord | None:
        if record.state not in (ServerState.READY, ServerState.DRAINING):
            return None
        heard = self._last_seen.setdefault(record.id, _LastSeen(record.sequence, now_s))
        timeout_s = self.timeout_s if listed(record.id) else self.timeout_s + ORPHAN_TIMEOUT_SLACK_S
        if now_s - heard.at_s <= timeout_s:
            return None
        state = ServerState.GONE if record.state is ServerState.DRAINING else ServerState.LOST
        return attrs.evolve(record, state=state, sequence=max(record.sequence, heard.sequence))

    def expired(self, now_s: float, known: Mapping[str, ServerRecord]) -> list[str]:
        """Servers gone or lost for long, of which nothing needs to be kept."""
        out = {record.id for record in known.values() if record.state in (ServerState.GONE, ServerState.LOST)}
        for server in list(self._gone_since):
            if server not in out:
                del self._gone_since[server]
        for server in out:
            self._gone_since.setdefault(server, now_s)
        old = [server for server, since_s in self._gone_since.items() if now_s - since_s > FORGET_S]
        for server in old:
            del self._gone_since[server]
            self._last_seen.pop(server, None)
        return old


def _equivalent(first: ServerRecord, second: ServerRecord) -> bool:
    """Whether two facts differ in nothing that other nodes need: of the cold time, whether it is over."""
    return _without_progress(first) == _without_progress(second)


def _without_progress(record: ServerRecord) -> ServerRecord:
    return attrs.evolve(record, sequence=0, cold_ms=1.0 if record.cold_ms > 0 else 0.0)
