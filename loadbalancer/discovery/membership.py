"""Which servers are there: one owner for each pool, told by one source at a time, without I/O.

A source reports whole lists, changes of the list, or that it has nothing to report. What differs from what was there,
what is new and so cold, and how old the news is are worked out here; a pool is told what comes of it.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from enum import Enum

from loadbalancer.core.address import Address
from loadbalancer.interface import Levels, ListForm, Server, ServerState


@dataclass(slots=True, frozen=True)
class Entry:
    """One server of a source's list. `server.launched_ms` is None unless the source knows of its start."""

    server: Server
    endpoint: Address


class Change(Enum):
    ADDED = "added"
    CHANGED = "changed"
    REMOVED = "removed"


@dataclass(slots=True, frozen=True)
class News:
    """What a pool is told: the whole list or changes of it, and what differs from before."""

    form: ListForm
    servers: tuple[Server, ...] = ()
    endpoints: Mapping[str, Address] = field(default_factory=dict)
    levels: Levels | None = None
    changes: tuple[tuple[str, Change], ...] = ()

    @property
    def told(self) -> tuple[ListForm, tuple[Server, ...], Mapping[str, Address], Levels | None]:
        """As `Pool.on_list` takes it."""
        return self.form, self.servers, self.endpoints, self.levels


class Roster:
    """The list of one pool."""

    def __init__(self, starts_known: bool = False) -> None:
        """`starts_known`: the source says of each server when it started, or that this was long ago. Of one that
        does not, what is new counts as started when it was told."""
        self.starts_known = starts_known
        self.entries: dict[str, Entry] = {}  # without those that are told to be gone
        self.levels: Levels | None = None
        self.told_ms: float | None = None  # Unix time of the last news that the source vouches for
        self._launched: dict[str, float | None] = {}

    def age_ms(self, now_ms: float) -> float | None:
        """How old the news is; None before the first."""
        return None if self.told_ms is None else max(0.0, now_ms - self.told_ms)

    def copy(self) -> Roster:
        """For a pool that takes over from another, so that what that one did not have counts as cold."""
        found = Roster(self.starts_known)
        found.entries, found.levels = dict(self.entries), self.levels
        found.told_ms, found._launched = self.told_ms, dict(self._launched)
        return found

    def tell(
        self,
        now_ms: float,
        entries: Iterable[Entry],
        levels: Levels | None = None,
        form: ListForm = ListForm.FULL,
    ) -> News:
        """Take a whole list: a source's word (FULL), or what was held from before (CACHED), which tells nobody
        that it still holds. ValueError if two entries share an id; then nothing has changed.

        Where starts aren't known, what is new counts as started now, unless the list is the first. So does what comes
        back after it had been removed or sick, and what has moved to another address: it may be another process.
        """
        given: dict[str, Entry] = {}
        for entry in entries:
            if entry.server.address in given:
                raise ValueError(f"{entry.server.address!r} stands twice in a list")
            given[entry.server.address] = entry
        first = self.told_ms is None
        kept = {name: self._since(now_ms, entry, first) for name, entry in given.items()}
        before, self.entries = self.entries, {}
        self._launched, self.levels = {}, levels
        changes = self._hold(kept, before)
        changes += [(name, Change.REMOVED) for name in before if name not in kept]
        if form is ListForm.FULL:
            self.told_ms = now_ms
        return _news(form, kept, levels, changes)

    def change(self, now_ms: float, entries: Iterable[Entry]) -> News:
        """Take changes of the list: servers that are new or different, or gone (REMOVED). None of them: the list
        still holds."""
        given = {entry.server.address: self._since(now_ms, entry, False) for entry in entries}
        changes = self._hold(given, self.entries)
        self.told_ms = now_ms
        return _news(ListForm.DELTA, given, self.levels, changes)

    def _since(self, now_ms: float, entry: Entry, first: bool) -> Entry:
        """An entry with the start that counts for it."""
        server, before = entry.server, self.entries.get(entry.server.address)
        if server.launched_ms is not None or self.starts_known:
            return entry
        if before is None:
            since = None if first else now_ms
        elif before.endpoint != entry.endpoint or _recovers(before.server, server):
            since = now_ms
        else:
            since = self._launched.get(server.address)
        return Entry(replace(server, launched_ms=since), entry.endpoint) if since is not None else entry

    def _hold(self, given: dict[str, Entry], before: dict[str, Entry]) -> list[tuple[str, Change]]:
        """Hold these beside what is held; returns what they change of the list before."""
        changes = []
        for name, entry in given.items():
            old = before.get(name)
            if entry.server.state is ServerState.REMOVED:
                self.entries.pop(name, None)
                self._launched.pop(name, None)
                if old is not None:
                    changes.append((name, Change.REMOVED))
                continue
            self.entries[name], self._launched[name] = entry, entry.server.launched_ms
            if old is None:
                changes.append((name, Change.ADDED))
            elif old != entry:
                changes.append((name, Change.CHANGED))
        return changes


def _news(
    form: ListForm, given: dict[str, Entry], levels: Levels | None, changes: list[tuple[str, Change]]
) -> News:
    return News(
        form,
        tuple(entry.server for entry in given.values()),
        {name: entry.endpoint for name, entry in given.items()},
        levels,
        tuple(changes),
    )


def _recovers(before: Server, now: Server) -> bool:
    """Whether it may have been away: it got nothing for being sick or weightless, and gets work again."""
    sick = before.state is ServerState.SICK and now.state in (ServerState.UP, ServerState.DEGRADED)
    return sick or (before.weight <= 0.0 < now.weight)
