"""Which servers are there: one owner, told by one source at a time, without I/O.

A source gives whole lists. What changed, what is new and so cold, and which news is too old are worked out here; the
decision module gets the whole list each time.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import Enum

from orchidledge.core.address import Address
from orchidledge.interface import Levels, ListForm, Server, ServerState


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
    """What a pool is told: the whole list, and what differs from the last one."""

    form: ListForm
    servers: tuple[Server, ...]
    endpoints: dict[str, Address]
    levels: Levels | None
    changes: tuple[tuple[str, Change], ...]


class Roster:
    """The list of one pool."""

    def __init__(self, stale_after_ms: float | None = None) -> None:
        """`stale_after_ms`: from its last news on, after which a list counts as stale; None: never."""
        self.stale_after_ms = stale_after_ms
        self.entries: dict[str, Entry] = {}
        self.levels: Levels | None = None
        self.told_ms: float | None = None  # Unix time of the last whole list
        self._launched: dict[str, float | None] = {}

    def age_ms(self, now_ms: float) -> float | None:
        """How old the news is; None before the first."""
        return None if self.told_ms is None else max(0.0, now_ms - self.told_ms)

    def stale(self, now_ms: float) -> bool:
        age = self.age_ms(now_ms)
        return age is not None and self.stale_after_ms is not None and age > self.stale_after_ms

    def tell(self, now_ms: float, entries: Iterable[Entry], levels: Levels | None = None) -> News:
        """Take a source's whole list. ValueError if two entries share an id; then nothing has changed.

        What is new counts as started now, unless the list is the first. So does what comes back after it had
        been removed or sick, and what has moved to another address: it may be another process.
        """
        given: dict[str, Entry] = {}
        for entry in entries:
            if entry.server.address in given:
                raise ValueError(f"{entry.server.address!r} stands twice in a list")
            given[entry.server.address] = entry
        first = self.told_ms is None
        changes: list[tuple[str, Change]] = []
        launched: dict[str, float | None] = {}
        kept: dict[str, Entry] = {}
        for name, entry in given.items():
            before = self.entries.get(name)
            if entry.server.launched_ms is not None:
                since: float | None = entry.server.launched_ms
            elif before is None:
                since = None if first else now_ms
            elif before.endpoint != entry.endpoint or _recovers(before.server, entry.server):
                since = now_ms
            else:
                since = self._launched.get(name)
            launched[name] = since
            kept[name] = Entry(replace(entry.server, launched_ms=since), entry.endpoint)
            if before is None:
                changes.append((name, Change.ADDED))
            elif before != kept[name]:
                changes.append((name, Change.CHANGED))
        changes += [(name, Change.REMOVED) for name in self.entries if name not in kept]
        self.entries, self._launched, self.levels, self.told_ms = kept, launched, levels, now_ms
        return News(
            ListForm.FULL,
            tuple(entry.server for entry in kept.values()),
            {name: entry.endpoint for name, entry in kept.items()},
            levels,
            tuple(changes),
        )


def _recovers(before: Server, now: Server) -> bool:
    """Whether it may have been away: it got nothing for being sick or weightless, and gets work again."""
    sick = before.state is ServerState.SICK and now.state in (ServerState.UP, ServerState.DEGRADED)
    return sick or (before.weight <= 0.0 < now.weight)
