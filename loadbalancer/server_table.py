"""The servers of a pool as lists give them, and which of them are in use; part of the decision module."""

from __future__ import annotations

from loadbalancer.interface import Levels, ListForm, Membership, ServerState
from loadbalancer.outlier_detection import TrackedServer
from loadbalancer.priority_levels import Group, groups_of
from loadbalancer.slow_start import SlowStart


class ServerTable:
    """Owns the state of each server."""

    def __init__(self, slow_start: SlowStart) -> None:
        self.by_address: dict[str, TrackedServer] = {}
        self.ready: list[TrackedServer] = []  # the servers in use
        self.levels: Levels | None = None  # None until a list has them
        self.groups: list[Group[TrackedServer]] = []  # with levels: who gets which share of the calls
        self._slow_start = slow_start

    def in_flight(self) -> float:
        """Return the weight of the calls in flight at the servers in use."""
        return sum([server.load for server in self.ready])

    def update(self, now: float, event: Membership) -> None:
        """Take a server list: changes to it, or a whole one."""
        if event.form is not ListForm.DELTA:  # a server absent from a whole list is gone
            named = {server.address for server in event.servers}
            kept = [server for address, server in self.by_address.items() if address in named]
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
        """Choose the servers in use: those that are up, or those of the groups where there are levels."""
        servers = self.by_address.values()
        if self.levels is None:
            self.ready = [server for server in servers if server.info.state is ServerState.UP]
            return
        self._slow_start.note_list_change(now, len(self.ready))
        self.groups = groups_of([(server.info, server) for server in servers], self.levels)
        members = {id(server): server for group in self.groups for server in group.members}
        self.ready = list(members.values())
