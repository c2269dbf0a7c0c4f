"""The endpoint list of a pool: it takes what one source reports, and tells the pool what has changed. Without I/O.

A source reports complete lists, changes of the list, or that it has nothing to report. What differs from the list
before, which servers are new and so cold, and how old the last report is are worked out here.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from enum import Enum

from loadbalancer.core.address import Address
from loadbalancer.interface import Levels, ListForm, Server, ServerState


@dataclass(slots=True, frozen=True)
class EndpointEntry:
    """One server of a source's list. `server.launched_ms` is None unless the source knows of its start."""

    server: Server
    endpoint: Address


class EndpointChange(Enum):
    """How a server differs from the list before."""

    ADDED = "added"
    CHANGED = "changed"
    REMOVED = "removed"


EndpointChanges = list[tuple[str, EndpointChange]]  # by the server's name


@dataclass(slots=True, frozen=True)
class EndpointUpdate:
    """An update for a pool: the complete list or changes of it, and what differs from before."""

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
    """The list of one pool.

    Attributes
    ----------
    starts_known: whether the source says of each server when it started, or that this was long ago. Of a source that
        does not, what is new counts as started when it was reported.
    entries: servers by name, without those that are reported to be gone.
    updated_ms: Unix time of the last report that the source vouches for; None before the first.
    """

    def __init__(self, starts_known: bool = False) -> None:
        self.starts_known = starts_known
        self.entries: dict[str, EndpointEntry] = {}
        self.levels: Levels | None = None
        self.updated_ms: float | None = None
        self._launched: dict[str, float | None] = {}

    def age_ms(self, now_ms: float) -> float | None:
        """Return how old the last report is; None before the first."""
        return None if self.updated_ms is None else max(0.0, now_ms - self.updated_ms)

    def copy(self) -> EndpointList:
        """Return a copy for a pool that takes over, so that what the former one did not have counts as cold."""
        found = EndpointList(self.starts_known)
        found.entries, found.levels = dict(self.entries), self.levels
        found.updated_ms, found._launched = self.updated_ms, dict(self._launched)
        return found

    def replace(
        self,
        now_ms: float,
        entries: Iterable[EndpointEntry],
        levels: Levels | None = None,
        form: ListForm = ListForm.FULL,
    ) -> EndpointUpdate:
        """Take a complete list: a source's report (FULL), or what is cached (CACHED), for which nobody vouches.

        Where starts aren't known, what is new counts as started now, unless the list is the first. So does what comes
        back after it had been removed or unhealthy, and what has moved to another address: it may be another process.
        Raises ValueError if two entries share a name; then nothing has changed.
        """
        given: dict[str, EndpointEntry] = {}
        for entry in entries:
            if entry.server.address in given:
                raise ValueError(f"{entry.server.address!r} stands twice in a list")
            given[entry.server.address] = entry
        first = self.updated_ms is None
        listed = {name: self._with_start(now_ms, entry, first) for name, entry in given.items()}
        before, self.entries = self.entries, {}
        self._launched, self.levels = {}, levels
        changes = self._apply(listed, before)
        changes += [(name, EndpointChange.REMOVED) for name in before if name not in listed]
        if form is ListForm.FULL:
            self.updated_ms = now_ms
        return _update(form, listed, levels, changes)

    def update(self, now_ms: float, entries: Iterable[EndpointEntry]) -> EndpointUpdate:
        """Take changes of the list: servers that are new, different or gone (REMOVED); none: the list still holds."""
        given = {entry.server.address: self._with_start(now_ms, entry, False) for entry in entries}
        changes = self._apply(given, self.entries)
        self.updated_ms = now_ms
        return _update(ListForm.DELTA, given, self.levels, changes)

    def _with_start(self, now_ms: float, entry: EndpointEntry, first: bool) -> EndpointEntry:
        """Return an entry with the start that counts for it."""
        server, before = entry.server, self.entries.get(entry.server.address)
        if server.launched_ms is not None or self.starts_known:
            return entry
        if before is None:
            since = None if first else now_ms
        elif before.endpoint != entry.endpoint or _recovers(before.server, server):
            since = now_ms
        else:
            since = self._launched.get(server.address)
        if since is None:
            return entry
        return EndpointEntry(replace(server, launched_ms=since), entry.endpoint)

    def _apply(self, given: dict[str, EndpointEntry], before: dict[str, EndpointEntry]) -> EndpointChanges:
        """Put these entries into the list; returns how they differ from the list before."""
        changes: EndpointChanges = []
        for name, entry in given.items():
            old = before.get(name)
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
    form: ListForm, given: dict[str, EndpointEntry], levels: Levels | None, changes: EndpointChanges
) -> EndpointUpdate:
    return EndpointUpdate(
        form,
        tuple(entry.server for entry in given.values()),
        {name: entry.endpoint for name, entry in given.items()},
        levels,
        tuple(changes),
    )


def _recovers(before: Server, now: Server) -> bool:
    """Whether it may have been away: it got no calls for being unhealthy or weightless, and gets some again."""
    unhealthy = before.state is ServerState.SICK
    recovered = unhealthy and now.state in (ServerState.UP, ServerState.DEGRADED)
    return recovered or (before.weight <= 0.0 < now.weight)
