"""The servers of a pool by the server list, and which of them are in use. Part of the decision module."""

from __future__ import annotations

from loadbalancer.interface import Levels, ListForm, Membership, ServerState
from loadbalancer.outlier_detection import TrackedServer
from loadbalancer.priority_levels import Group, build_groups
from loadbalancer.slow_start import SlowStart


class ServerTable:
    """Stores the state of each server and selects the servers in use."""

    def __init__(self, slow_start: SlowStart) -> None:
        self.by_address: dict[str, TrackedServer] = {}
        self.ready: list[TrackedServer] = []  # the servers in use
        self.levels: Levels | None = None  # None until a list defines them
        self.groups: list[Group[TrackedServer]] = []  # groups and their shares of calls, if there are levels
        self._slow_start = slow_start

    def in_flight(self) -> float:
        """Return the weight of the calls in flight at the servers in use."""
        return sum([server.load for server in self.ready])

    def update(self, now: float, event: Membership) -> None:
        """Apply a complete server list or changes to it."""
        if event.form is not ListForm.DELTA:  # servers missing from a complete list are removed
            listed = {server.address for server in event.servers}
            kept = [server for address, server in self.by_address.items() if address in listed]
            self.by_address = {server.info.address: server for server in kept}
        for info in event.servers:
            if info.state is ServerState.REMOVED:
                self.by_address.pop(info.address, None)
                continue
            known = self.by_address.get(info.address)
            if known is None or known.info.launched_ms != info.launched_ms:  # new, or restarted
                self.by_address[info.address] = TrackedServer(info)
            else:
                known.info = info
        self.levels = event.levels or self.levels
        self._select_ready(now)

    def _select_ready(self, now: float) -> None:
        """Select the servers in use: those that are up, or with levels those of the groups."""
        servers = self.by_address.values()
        if self.levels is None:
            self.ready = [server for server in servers if server.info.state is ServerState.UP]
            return
        self._slow_start.note_list_change(now, len(self.ready))
        self.groups = build_groups([(server.info, server) for server in servers], self.levels)
        members = {id(server): server for group in self.groups for server in group.members}
        self.ready = list(members.values())
