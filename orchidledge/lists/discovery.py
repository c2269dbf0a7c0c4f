"""The server list: its form on the wire, and the watch that follows it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import orjson

from orchidledge.core.address import Address, parse_address
from orchidledge.http.client import Awaited, ClientConnection
from orchidledge.interface import ListForm, Server, ServerState
from orchidledge.lists.membership import Entry, News, Roster

# A call unanswered so long after its wait has failed; 2 s after it, its news counts as told.
LATE_S = 1.2
CONNECT_S = 1.0
PUSH_PAUSE_S = 0.5  # before a local agent is asked again after a failure
MAX_LIST = 16 * 1024 * 1024
LONGEST_WATCH_MS = 20_000.0
WATCH_SHARE = 0.5  # of the time within which discovery has to be asked

STATES = {
    "Ready": ServerState.UP,
    "Terminating": ServerState.DRAINING,
    "Gone": ServerState.REMOVED,
}


@dataclass(slots=True, frozen=True)
class Listing:
    """A server list or changes of one; a server's name is its uid, which no restart and no node changes."""

    revision: int
    whole: bool
    servers: tuple[Server, ...]
    endpoints: dict[str, Address]

    def entries(self) -> list[Entry]:
        """Of a server that stands twice the last word counts."""
        found = {server.address: server for server in self.servers}
        return [Entry(server, self.endpoints[name]) for name, server in found.items()]


def news_of(roster: Roster, now_ms: float, form: ListForm, listing: Listing | None) -> News:
    """What a list of discovery, or its silence, comes to for a pool."""
    if listing is None:
        return News(form)
    if form is ListForm.DELTA:
        return roster.change(now_ms, listing.entries())
    return roster.tell(now_ms, listing.entries(), form=form)


def watch_ms(ask_within_ms: float) -> float:
    """How long discovery may hold a call, in ms, where it has to be asked within so long."""
    # Guard: a discovery that has gone silent must be noticed before the node counts as told.
    return min(LONGEST_WATCH_MS, ask_within_ms * WATCH_SHARE)


def parse_listing(row: object) -> Listing:
    """A listing from its JSON; ValueError on any that is malformed."""
    if not isinstance(row, dict):
        raise ValueError("a list is not an object")
    try:
        revision, whole, targets = row["rev"], row["all"], row["targets"]
        if not isinstance(revision, int) or not isinstance(whole, bool) or not isinstance(targets, list):
            raise ValueError("rev, all or targets is of the wrong type")
        servers = tuple(_server(target) for target in targets)
        endpoints = {target["uid"]: parse_address(target["endpoint"]) for target in targets}
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"malformed list: {type(error).__name__}: {error}") from error
    return Listing(revision, whole, servers, endpoints)


def _server(target: dict[str, Any]) -> Server:
    state = STATES.get(target["state"])
    if state is None:
        raise ValueError(f"state {target['state']!r} is not one of {', '.join(STATES)}")
    if not isinstance(target["uid"], str):
        raise ValueError("a uid is not a text")
    boot = target.get("boot_ms") or 0
    return Server(
        address=target["uid"],
        zone=target.get("az") or "",
        cell=int(target.get("pod_group") or 0),
        state=state,
        launched_ms=float(boot) if boot > 0 else None,  # 0: long ago
    )


class Watcher:
    """Follows the list: until a call fails where discovery is asked, endlessly where it pushes."""

    def __init__(
        self,
        address: Address,
        revision: int | None,
        wait_ms: float,
        endless: bool,
        on_news: Callable[[ListForm, Listing | None], None],
    ) -> None:
        """`revision`: of the list that is held; None: there is none, so the whole is asked for first."""
        self._address = address
        self._revision = revision
        self._wait_ms = int(wait_ms)
        self._limit_s = wait_ms / 1000.0 + LATE_S
        self._endless = endless
        self._on_news = on_news
        self._task: asyncio.Task[None] | None = None
        self._connection: ClientConnection | None = None

    def start(self) -> None:
        """Begin a watch unless one is on."""
        if self._task is None:
            self._task = asyncio.create_task(self._follow())

    def move(self, address: Address) -> None:
        """Follow the list at another address from now on, from the revision that is held."""
        if address != self._address:
            self.close()
            self._address, self._task = address, None
            # Guard: news of the new address counts as told soon, so it is asked now, whatever went before.
            self.start()

    def close(self) -> None:
        if self._task is not None:
            self._task.cancel()
        self._drop()

    async def _follow(self) -> None:
        while True:
            try:
                async with asyncio.timeout(self._limit_s):
                    listing = await self._ask()
            except (OSError, TimeoutError, ValueError):
                self._drop()
                if not self._endless:
                    self._task = None
                self._on_news(ListForm.FAILED, None)
                if not self._endless:
                    return
                await asyncio.sleep(PUSH_PAUSE_S)
                continue
            self._revision = listing.revision
            self._on_news(ListForm.FULL if listing.whole else ListForm.DELTA, listing)

    async def _ask(self) -> Listing:
        connection = self._connection
        if connection is None or not connection.usable:
            self._drop()
            async with asyncio.timeout(CONNECT_S):
                _, connection = await asyncio.get_running_loop().create_connection(
                    lambda: ClientConnection(lambda _: None, MAX_LIST), *self._address
                )
            self._connection = connection
        call = Awaited()
        host = f"{self._address[0]}:{self._address[1]}"
        target = "/discovery/hosts"
        if self._revision is not None:
            target += f"?since={self._revision}&timeout_ms={self._wait_ms}"
        connection.start(f"GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode(), call)
        response = await call.done
        if response.status != 200:
            raise ValueError(f"discovery answered {response.status}")
        return parse_listing(orjson.loads(response.body))

    def _drop(self) -> None:
        if self._connection is not None:
            self._connection.abort()
            self._connection = None
