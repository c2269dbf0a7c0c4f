"""The endpoint list of a pool: applies the reports of one source and computes the update for the pool. No I/O.

A source reports complete lists, changes to the list, or that nothing has changed. This module derives the differences
from the previous list, which servers are new and therefore cold, and the age of the last report.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from enum import Enum

from loadbalancer.core.address import Address
from loadbalancer.interface import Levels, ListForm, Server, ServerState


@dataclass(slots=True, frozen=True)
class EndpointEntry:
    """One server of a source's list. `server.launched_ms` is None unless the source reports the start time."""

    server: Server
    endpoint: Address


class EndpointChange(Enum):
    """How a server differs from its entry in the previous list."""

    ADDED = "added"
    CHANGED = "changed"
    REMOVED = "removed"


EndpointChanges = list[tuple[str, EndpointChange]]  # with the name of each server


@dataclass(slots=True, frozen=True)
class EndpointUpdate:
    """An update for a pool: the complete list or changes to it, and the differences from the previous list."""

    form: ListForm
    servers: tuple[Server, ...] = ()
    endpoints: Mapping[str, Address] = field(default_factory=dict)
    levels: Levels | None = None
    changes: tuple[tuple[str, EndpointChange], ...] = ()

    @property
    def as_pool_arguments(
        self,
    ) -> tuple[ListForm, tuple[Server, ...], Mapping[str, Address], Levels | None]:
        """The arguments of `Pool.on_server_list`."""
        return self.form, self.servers, self.endpoints, self.levels


class EndpointList:
    """The endpoint list of one pool.

    Attributes
    ----------
    starts_known: whether the source reports when each server started, or that it started long ago. With any other
        source, a new server counts as started when it was first reported.
    entries: servers by name, without those that are reported as removed.
    updated_ms: Unix time of the last report that came from the source itself, not from a cache; None before the first.
    """

    def __init__(self, starts_known: bool = False) -> None:
        self.starts_known = starts_known
        self.entries: dict[str, EndpointEntry] = {}
        self.levels: Levels | None = None
        self.updated_ms: float | None = None
        self._launched: dict[str, float | None] = {}

    def age_ms(self, now_ms: float) -> float | None:
        """Return the age of the last report; None before the first."""
        return None if self.updated_ms is None else max(0.0, now_ms - self.updated_ms)

    def copy(self) -> EndpointList:
        """Return a copy for a pool that replaces this one, so that servers new to the copy count as cold."""
        copied = EndpointList(self.starts_known)
        copied.entries, copied.levels = dict(self.entries), self.levels
        copied.updated_ms, copied._launched = self.updated_ms, dict(self._launched)
        return copied

    def replace(
        self,
        now_ms: float,
        entries: Iterable[EndpointEntry],
        levels: Levels | None = None,
        form: ListForm = ListForm.FULL,
    ) -> EndpointUpdate:
        """Apply a complete list: a source's report (FULL) or a cached list (CACHED), which may be outdated.

        If the source does not report start times, a new server counts as started now, unless this is the first list.
        The same applies to a server that returns after it was removed or unhealthy, or whose address has changed: it
        may be another process. Raises ValueError, and changes nothing, if two entries have the same name.
        """
        reported: dict[str, EndpointEntry] = {}
        for entry in entries:
            if entry.server.address in reported:
                raise ValueError(f"{entry.server.address!r} is listed twice")
            reported[entry.server.address] = entry
        first = self.updated_ms is None
        listed = {name: self._with_start(now_ms, entry, first) for name, entry in reported.items()}
        previous, self.entries = self.entries, {}
        self._launched, self.levels = {}, levels
        changes = self._apply(listed, previous)
        changes += [(name, EndpointChange.REMOVED) for name in previous if name not in listed]
        if form is ListForm.FULL:
            self.updated_ms = now_ms
        return _update(form, listed, levels, changes)

    def update(self, now_ms: float, entries: Iterable[EndpointEntry]) -> EndpointUpdate:
        """Apply servers that are new, changed or REMOVED; with none, the list is confirmed to be current."""
        reported = {entry.server.address: self._with_start(now_ms, entry, False) for entry in entries}
        changes = self._apply(reported, self.entries)
        self.updated_ms = now_ms
        return _update(ListForm.DELTA, reported, self.levels, changes)

    def _with_start(self, now_ms: float, entry: EndpointEntry, first: bool) -> EndpointEntry:
        """Return the entry with the start time that applies to its server."""
        server, previous = entry.server, self.entries.get(entry.server.address)
        if server.launched_ms is not None or self.starts_known:
            return entry
        if previous is None:
            started_ms = None if first else now_ms
        elif previous.endpoint != entry.endpoint or _returns_to_service(previous.server, server):
            started_ms = now_ms
        else:
            started_ms = self._launched.get(server.address)
        if started_ms is None:
            return entry
        return EndpointEntry(replace(server, launched_ms=started_ms), entry.endpoint)

    def _apply(
        self, reported: dict[str, EndpointEntry], previous: dict[str, EndpointEntry]
    ) -> EndpointChanges:
        """Put these entries into the list, and return how they differ from the previous list."""
        changes: EndpointChanges = []
        for name, entry in reported.items():
            old = previous.get(name)
            if entry.server.state is ServerState.REMOVED:
                self.entries.pop(name, None)
                self._launched.pop(name, None)
                if old is not None:
                    changes.append((name, EndpointChange.REMOVED))
                continue
            self.entries[name], self._launched[name] = entry, entry.server.launched_ms
            if old is None:
                changes.append((name, EndpointChange.ADDED))
            elif old != entry:
                changes.append((name, EndpointChange.CHANGED))
        return changes


def _update(
    form: ListForm, reported: dict[str, EndpointEntry], levels: Levels | None, changes: EndpointChanges
) -> EndpointUpdate:
    """Return the update for the pool."""
    return EndpointUpdate(
        form,
        tuple(entry.server for entry in reported.values()),
        {name: entry.endpoint for name, entry in reported.items()},
        levels,
        tuple(changes),
    )


def _returns_to_service(previous: Server, now: Server) -> bool:
    """Whether a server that got no requests, because it was unhealthy or had weight 0, gets requests again."""
    unhealthy = previous.state is ServerState.SICK
    recovered = unhealthy and now.state in (ServerState.UP, ServerState.DEGRADED)
    return recovered or (previous.weight <= 0.0 < now.weight)
