"""The server list: its form on the wire, and the watch that follows it."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import orjson

from loadbalancer.core.address import Address, parse_address
from loadbalancer.discovery.membership import Entry, News, Roster
from loadbalancer.http.client import Awaited, ClientConnection
from loadbalancer.interface import ListForm, Server, ServerState

log = logging.getLogger("loadbalancer")

# A call unanswered so long after its wait has failed; 2 s after it, its news counts as told.
LATE_S = 0.8
CONNECT_S = 1.0
PUSH_PAUSE_S = 0.1  # before a local agent is asked again after a failure
SPEAKS_S = 0.8  # within which a discovery that is there answers a call that need not wait,
AGENT_SPEAKS_S = 0.3  # and a local agent
AGENT_WATCH_MS = 2000.0  # a local agent costs nothing to ask; its silence is noticed the sooner
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
        self._wait_ms = int(min(wait_ms, AGENT_WATCH_MS) if endless else wait_ms)
        self._endless = endless
        self._on_news = on_news
        # Whether it is not known that discovery speaks, so that the next call is not to wait.
        self._doubted = False
        self._why = ""  # the last list that could not be used, as it was logged
        self._task: asyncio.Task[None] | None = None
        self._connection: ClientConnection | None = None

    def start(self) -> None:
        """Begin a watch unless one is on."""
        if self._task is None:
            self._task = asyncio.create_task(self._follow())

    def move(self, address: Address) -> None:
        """Follow the list at another address from now on."""
        if address != self._address:
            self.close()
            self._address, self._task = address, None
            # Guard: one that counts from the start would have nothing to tell until it was past what is held.
            self._doubted = True
            # Guard: news of the new address counts as told soon, so it is asked now, whatever went before.
            self.start()

    def close(self) -> None:
        if self._task is not None:
            self._task.cancel()
        self._drop()

    async def _follow(self) -> None:
        while True:
            doubted = self._doubted
            try:
                await self._step()
            except Exception as error:
                # Guard: whatever a list or its handling does, the watch goes on; it ended for good, and drains with it.
                self._drop()
                self._doubted = isinstance(error, TimeoutError)
                if not isinstance(error, OSError):
                    self._revision = None  # what could not be taken as changes may do as a whole
                if self._doubted and not doubted:
                    # Guard: a watch that had fallen silent was opened anew only after a pause, and waited as long again
                    # before a second silence showed, when drains had long counted as told.
                    continue
                self._report(error)
                self._tell_failure()
                if self._task is not asyncio.current_task():
                    return
                await asyncio.sleep(PUSH_PAUSE_S)

    def _tell_failure(self) -> None:
        """A call has failed; where discovery is asked, this watch is over and the module says when the next begins."""
        if not self._endless:
            self._task = None
        try:
            self._on_news(ListForm.FAILED, None)
        except Exception as error:
            self._report(error)
            if self._task is None:
                # Guard: nobody had heard of it, so nobody would have begun another.
                self._task = asyncio.current_task()

    async def _step(self) -> None:
        """One call, and what comes of its answer."""
        wait_ms = 0 if self._doubted else self._wait_ms
        limit_s = LATE_S
        if self._doubted:
            limit_s = AGENT_SPEAKS_S if self._endless else SPEAKS_S
        async with asyncio.timeout(wait_ms / 1000.0 + limit_s):
            listing = await self._ask(wait_ms)
        self._doubted = False
        if not listing.whole and self._revision is not None and listing.revision < self._revision:
            # Guard: a discovery that began anew counts from the start; what it calls changes is of another list.
            self._revision = None
            return
        self._on_news(ListForm.FULL if listing.whole else ListForm.DELTA, listing)
        self._revision, self._why = listing.revision, ""

    def _report(self, error: Exception) -> None:
        """One line for each new fault of a list or of its handling; a discovery that can't be reached is counted."""
        if isinstance(error, OSError):
            return
        why = f"{type(error).__name__}: {error}"
        if why != self._why:
            self._why = why
            log.error("server list not taken, the old one stays: %s", " ".join(why.split())[:300])

    async def _ask(self, wait_ms: int) -> Listing:
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
            target += f"?since={self._revision}&timeout_ms={wait_ms}"
        connection.start(f"GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode(), call)
        response = await call.done
        if response.status != 200:
            raise ConnectionError(f"discovery answered {response.status}")
        return parse_listing(orjson.loads(response.body))

    def _drop(self) -> None:
        if self._connection is not None:
            self._connection.abort()
            self._connection = None
