"""A follower's view of the tier, and how replies of control nodes update it.

Does no network I/O; the current time is an argument (s).
"""

from __future__ import annotations

import functools
from collections.abc import Iterable

import attrs

from emberring.configuration.model import Configuration
from emberring.configuration.reading import unpack_configuration
from emberring.distribution.load_report import LoadReportDetail
from emberring.distribution.messages import Update
from emberring.distribution.records import NodeRecord, NodeRole, ServerRecord, ServerState
from emberring.distribution.status_table import StatusTable
from emberring.placement.model import Placement
from emberring.registry.known_load import NO_LOAD, KnownLoad
from emberring.registry.merge import merged, shutdown_stage

ORPHAN_S = 10.0  # a server without a record of a live control node for this long is dropped
QUORUM_FRESH_S = 1.0  # a control node without a majority for longer may have an old configuration
# After this time the first configuration is also accepted from a control node without a majority.
FIRST_CONFIGURATION_TIMEOUT_S = 3.0
FORGET_WRITER_S = 60.0  # retention of the entries about nodes of a writer that has ended
ANSWER_VALID_S = 2.0  # lifetime of the data in a control node's last reply
# Maximum advance of the contact clock per reply, so that a period without replies expires nothing.
MAX_STEP_S = 1.0

_USABLE_STATES = (ServerState.READY, ServerState.DRAINING)
_LISTED_ROLES = (NodeRole.STORE, NodeRole.CONTROL)


class FollowerView:
    """The configuration, servers and nodes according to the last replies. `now_s` is the time of the start.

    Expiry uses the contact clock, which advances only with replies: nothing expires while no control node replies.
    """

    def __init__(self, now_s: float) -> None:
        self.status_table = StatusTable()
        self.configuration: Configuration | None = None
        self.placement: Placement | None = None
        self.servers: dict[str, ServerRecord] = {}
        self.nodes: dict[str, NodeRecord] = {}
        self.gateways = 1
        self._gateway_counts: dict[str, tuple[float, int]] = {}
        self.load: KnownLoad = NO_LOAD
        self.configuration_version = 0
        self._started_s = now_s
        self._last_answer_s = now_s
        self._contact_clock_s = 0.0
        self._writers_seen_s: dict[str, float] = {}
        self._answers: dict[str, tuple[float, tuple[str, ...]]] = {}
        self._recent_writers: frozenset[str] = frozenset()  # only their entries keep a server listed

    @property
    def placement_epoch(self) -> int:
        """The epoch of the current placement; 0 without one."""
        return self.placement.epoch if self.placement is not None else 0

    def apply_update(
        self, now_s: float, update: Update, load_detail: LoadReportDetail = LoadReportDetail.EVERY_SERVER
    ) -> bool:
        """Apply a reply; return whether anything but the load changed. `load_detail` is that of the pull."""
        self._advance_contact_clock(now_s)
        self._answers[update.writer_incarnation] = (self._contact_clock_s, update.live_writers)
        for writer in (update.writer_incarnation, *update.live_writers):
            self._writers_seen_s[writer] = self._contact_clock_s
        self.status_table.apply(update.delta)
        self._apply_load(now_s, update, load_detail)
        changed = self._apply_configuration(now_s, update)
        changed |= self._apply_placement(update)
        changed |= self._apply_gateway_count(update)
        self._forget_ended_writers()
        changed |= self._refresh_servers(entry.record.id for entry in update.delta.servers)
        return self._refresh_nodes() or changed

    def _apply_load(self, now_s: float, update: Update, load_detail: LoadReportDetail) -> None:
        """Apply the load.

        An empty load is ignored if the control node has no majority: having just started, or partitioned, it has
        received no reports.
        """
        if not (update.server_load or update.service_load) and update.quorum_age_ms >= QUORUM_FRESH_S * 1000:
            return
        if load_detail is LoadReportDetail.TOTALS:
            self.load = attrs.evolve(self.load, totals=update.service_load)
        else:
            smoothed = update.smoothed_load if load_detail is LoadReportDetail.SERVERS_IN_USE else None
            as_of_s = now_s - update.load_age_ms / 1000.0
            self.load = KnownLoad(update.server_load, smoothed, update.service_load, as_of_s)

    def _advance_contact_clock(self, now_s: float) -> None:
        self._contact_clock_s += min(MAX_STEP_S, max(0.0, now_s - self._last_answer_s))
        self._last_answer_s = now_s

    def _apply_configuration(self, now_s: float, update: Update) -> bool:
        if update.configuration is None or update.configuration_version <= self.configuration_version:
            return False
        fresh = update.quorum_age_ms <= QUORUM_FRESH_S * 1000
        if (
            self.configuration is None
            and not fresh
            and now_s - self._started_s < FIRST_CONFIGURATION_TIMEOUT_S
        ):
            return False
        self.configuration = unpack_configuration(update.configuration)
        self.configuration_version = update.configuration_version
        return True

    def _apply_placement(self, update: Update) -> bool:
        if update.placement is None or update.placement.epoch <= self.placement_epoch:
            return False
        self.placement = update.placement
        return True

    def _apply_gateway_count(self, update: Update) -> bool:
        """Apply the largest number of gateways in the recent replies.

        A gateway's share of a quota that is too small does less harm than one that is too large.
        """
        self._gateway_counts[update.writer_incarnation] = (self._contact_clock_s, update.gateways)
        recent = [
            count
            for received_s, count in self._gateway_counts.values()
            if self._contact_clock_s - received_s < ANSWER_VALID_S
        ]
        before, self.gateways = self.gateways, max(1, *recent)
        return before != self.gateways

    def _was_live(self, writer: str, within_s: float) -> bool:
        return self._writers_seen_s.get(writer, -within_s) > self._contact_clock_s - within_s

    def _forget_ended_writers(self) -> None:
        for writer in list(self.status_table.vector):
            seen_s = self._writers_seen_s.setdefault(writer, self._contact_clock_s)
            if self._contact_clock_s - seen_s > FORGET_WRITER_S:
                del self._writers_seen_s[writer]
                self._answers.pop(writer, None)
                self._gateway_counts.pop(writer, None)
                self.status_table.forget_writer(writer)

    def _refresh_servers(self, changed_ids: Iterable[str]) -> bool:
        """Recompute these servers, or all if the set of live control nodes has changed; return whether any changed."""
        recent_writers = frozenset(
            writer for writer in self._writers_seen_s if self._was_live(writer, ORPHAN_S)
        )
        if recent_writers != self._recent_writers:
            self._recent_writers, changed_ids = recent_writers, list(self.status_table.servers())
        changed: dict[str, ServerRecord | None] = {}
        for server_id in changed_ids:
            usable = self._usable_server(server_id)
            if usable != self.servers.get(server_id):
                changed[server_id] = usable
        if changed:
            merged_view: dict[str, ServerRecord | None] = {**self.servers, **changed}
            self.servers = {name: record for name, record in merged_view.items() if record is not None}
        return bool(changed)

    def _usable_server(self, server_id: str) -> ServerRecord | None:
        """The record of a server that accepts calls; None if it does not."""
        known = self.status_table.servers().get(server_id)
        record = self._live_record(server_id)
        if known is None or record is None:
            return None
        # Of an ended writer only a drain or a goodbye counts: live nodes may not have its record of a lost server, so
        # that none of them would correct it.
        state = known.state if shutdown_stage(known.state) > 0 else record.state
        return attrs.evolve(record, state=state) if state in _USABLE_STATES else None

    def _live_record(self, server_id: str) -> ServerRecord | None:
        """The merge of a server's records by the writers that were live within `ORPHAN_S`.

        An ended writer's entry must not keep a server listed; its record of a drain still counts.
        """
        records = [
            entry.record
            for entry in self.status_table.server_entries(server_id)
            if self._was_live(entry.writer_incarnation, ORPHAN_S)
        ]
        return functools.reduce(merged, records) if records else None

    def _refresh_nodes(self) -> bool:
        """Recompute the nodes in contact with a live control node; return whether any changed."""
        live = {
            writer for writer, (_, writers) in self._answers.items() if self._was_live(writer, ANSWER_VALID_S)
        }
        for writer in list(live):
            live.update(self._answers[writer][1])
        nodes = dict(self.status_table.live_nodes(live, _LISTED_ROLES))
        changed = nodes != self.nodes
        self.nodes = nodes
        return changed
