"""The platform's service discovery: a server list's form on the wire, and the watch that follows it."""

from __future__ import annotations

import asyncio
import logging
import math
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import orjson

from loadbalancer.core.address import Address, parse_address
from loadbalancer.discovery.endpoint_list import EndpointEntry, EndpointList, EndpointUpdate
from loadbalancer.http.client import Awaited, ClientConnection
from loadbalancer.interface import ListForm, Server, ServerState

log = logging.getLogger("loadbalancer")

# A call unanswered so long after its wait has failed; 2 s after it, its update counts as delivered.
ANSWER_GRACE_S = 0.8
CONNECT_S = 1.0
PUSH_RETRY_PAUSE_S = 0.1  # before a local agent is called again after a failure
PROBE_TIMEOUT_S = 0.8  # within which a discovery that is reachable answers a call that need not wait,
AGENT_PROBE_TIMEOUT_S = 0.3  # and a local agent
AGENT_WATCH_MS = 2000.0  # a local agent costs nothing to ask; its silence is noticed the sooner
MAX_LIST_BYTES = 16 * 1024 * 1024
MAX_WAIT_MS = 20_000.0
# How long a watch is held at most, as a share of the time within which discovery has to be asked: a silent watch is to
# be noticed before that is over.
WAIT_SHARE = 0.5
SHORTEST_WAIT_SHARE = 0.75  # a wait is drawn from this share of the longest one up to it
# A change counts as notified at the latest so long after discovery had it, whether or not it arrived (protocol page,
# "Figures").
LATEST_NOTICE_S = 6.0
# A call held for longer than this was a watch and did not wait for its turn: crowded calls fail after 2 to 3 s.
WATCH_ESTABLISHED_S = 3.2

STATES = {
    "Ready": ServerState.UP,
    "Terminating": ServerState.DRAINING,
    "Gone": ServerState.REMOVED,
}


@dataclass(slots=True, frozen=True)
class ServerListUpdate:
    """A server list or changes of one; a server's name is its uid, which no restart and no node changes."""

    revision: int
    complete: bool  # the complete list, not changes
    servers: tuple[Server, ...]
    endpoints: dict[str, Address]

    def entries(self) -> list[EndpointEntry]:
        """Return an entry for each server, the last one of a server that stands twice."""
        found = {server.address: server for server in self.servers}
        return [EndpointEntry(server, self.endpoints[name]) for name, server in found.items()]


def endpoint_update(
    endpoint_list: EndpointList, now_ms: float, form: ListForm, update: ServerListUpdate | None
) -> EndpointUpdate:
    """Apply what discovery answered, or its failure (None), to a pool's list; returns the pool's update."""
    if update is None:
        return EndpointUpdate(form)
    if form is ListForm.DELTA:
        return endpoint_list.update(now_ms, update.entries())
    return endpoint_list.replace(now_ms, update.entries(), form=form)


def shared_wait_ms(ask_within_ms: float, rng: random.Random) -> int:
    """Draw how long a service that many nodes share, and that is to be asked within so long (ms), may hold a call (ms).

    The watches of a fleet that were all held for as long ended, and were opened again, in the same moment each time.
    """
    longest_ms = min(MAX_WAIT_MS, ask_within_ms * WAIT_SHARE)
    return int(longest_ms * rng.uniform(SHORTEST_WAIT_SHARE, 1.0))


def agent_wait_ms(ask_within_ms: float) -> int:
    """Return how long a local agent, which is to be asked within so long (ms), may hold a call, in ms."""
    return int(min(AGENT_WATCH_MS, ask_within_ms * WAIT_SHARE))


def parse_server_list(row: object) -> ServerListUpdate:
    """Parse a list from its JSON; raises ValueError on any that is malformed."""
    if not isinstance(row, dict):
        raise ValueError("a list is not an object")
    try:
        revision, complete, targets = row["rev"], row["all"], row["targets"]
        if not isinstance(revision, int) or not isinstance(complete, bool) or not isinstance(targets, list):
            raise ValueError("rev, all or targets is of the wrong type")
        servers = tuple(_server(target) for target in targets)
        endpoints = {target["uid"]: parse_address(target["endpoint"]) for target in targets}
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"malformed list: {type(error).__name__}: {error}") from error
    return ServerListUpdate(revision, complete, servers, endpoints)


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


class DiscoveryWatcher:
    """Follows the server list: until a call fails where discovery is asked, endlessly where it pushes.

    Parameters
    ----------
    address: of discovery.
    revision: of the list that is held; None: there is none, so the whole is requested first.
    draw_wait_ms: says for each call how long discovery may hold it.
    endless: whether a local agent pushes the list.
    on_update: called with each answer, and with FAILED and None after a failure.

    Attributes:
    ----------
    confirmed_s: when the list that is held was last known to lack no change (time of the event loop): at an answer, or
        after failures at a call that is held. A watch that ends tells nothing, as it may have fallen silent before.
    """

    def __init__(
        self,
        address: Address,
        revision: int | None,
        draw_wait_ms: Callable[[], int],
        endless: bool,
        on_update: Callable[[ListForm, ServerListUpdate | None], None],
    ) -> None:
        self.confirmed_s = -math.inf  # it is not known how old a list from before the start is
        self._address = address
        self._revision = revision
        self._draw_wait_ms = draw_wait_ms
        self._endless = endless
        self._on_update = on_update
        # Whether it is not known that discovery is reachable, so that the next call is not to wait.
        self._suspected = False
        self._failing = False  # the last call failed
        self._logged_error = ""  # of the last list that could not be used
        self._task: asyncio.Task[None] | None = None
        self._connection: ClientConnection | None = None

    def start(self) -> None:
        """Begin a watch unless one is running."""
        if self._task is None:
            self._task = asyncio.create_task(self._follow())

    def move(self, address: Address) -> None:
        """Follow the list at another address from now on."""
        if address != self._address:
            self.close()
            self._address, self._task = address, None
            # A discovery that counts from the start would have nothing to report until it was past what is held.
            self._suspected = True
            # Updates of the new address count as delivered soon, so it is asked now, whatever went before.
            self.start()

    def close(self) -> None:
        """End the watch and its connection."""
        if self._task is not None:
            self._task.cancel()
        self._drop_connection()

    async def _follow(self) -> None:
        while True:
            suspected = self._suspected
            try:
                await self._step()
            except Exception as error:
                # Whatever a list or its handling does, the watch goes on; it ended for good, and drains with it.
                self._drop_connection()
                self._failing, silent = True, isinstance(error, TimeoutError)
                # A crowded discovery rejects at once what it is not to hold; one that is shared is asked so only once.
                self._suspected = silent and (self._endless or not suspected)
                if not isinstance(error, OSError):
                    self._revision = None  # what could not be taken as changes may do as a whole
                if silent and not suspected:
                    # A watch that had fallen silent was opened again only after a pause, and waited as long again
                    # before a second silence showed, when drains had long counted as delivered.
                    continue
                self._report(error)
                self._notify_failure()
                if self._task is not asyncio.current_task():
                    return
                await asyncio.sleep(PUSH_RETRY_PAUSE_S)

    def _notify_failure(self) -> None:
        """Report a failed call.

        Where discovery is asked, this watch is over and the balancer says when the next begins.
        """
        if not self._endless:
            self._task = None
        try:
            self._on_update(ListForm.FAILED, None)
        except Exception as error:
            # The handler's own fault must not end the watch.
            self._report(error)
            if self._task is None:
                # Nobody had been notified of the failure, so nobody would have begun another watch.
                self._task = asyncio.current_task()

    async def _step(self) -> None:
        """Make one call, and hand on its answer."""
        if self._suspected:
            wait_ms, limit_s = 0, AGENT_PROBE_TIMEOUT_S if self._endless else PROBE_TIMEOUT_S
        else:
            wait_ms, limit_s = self._draw_wait_ms(), ANSWER_GRACE_S
        loop = asyncio.get_running_loop()
        established = loop.call_later(WATCH_ESTABLISHED_S, self._on_watch_established)
        try:
            async with asyncio.timeout(wait_ms / 1000.0 + limit_s):
                update = await self._request(wait_ms)
        finally:
            established.cancel()
        self._suspected = False
        if not update.complete and self._revision is not None and update.revision < self._revision:
            # A discovery that was restarted counts from the start; what it calls changes is of another list.
            self._revision = None
            return
        self._on_update(ListForm.FULL if update.complete else ListForm.DELTA, update)
        self._revision, self._logged_error = update.revision, ""
        self.confirmed_s, self._failing = loop.time(), False

    def _on_watch_established(self) -> None:
        """Take a call that is held for a list without further changes, where calls had failed before."""
        if not self._failing or self._revision is None:
            return
        self.confirmed_s, self._failing = asyncio.get_running_loop().time(), False
        self._on_update(ListForm.DELTA, ServerListUpdate(self._revision, False, (), {}))

    def _report(self, error: Exception) -> None:
        """Log each new fault of a list or of its handling once; a discovery that can't be reached is counted."""
        if isinstance(error, OSError):
            return
        text = f"{type(error).__name__}: {error}"
        if text != self._logged_error:
            self._logged_error = text
            log.error("server list not taken, the old one stays: %s", " ".join(text.split())[:300])

    async def _request(self, wait_ms: int) -> ServerListUpdate:
        connection = await self._connected()
        exchange = Awaited()
        host = f"{self._address[0]}:{self._address[1]}"
        target = "/discovery/hosts"
        if self._revision is not None:
            target += f"?since={self._revision}&timeout_ms={wait_ms}"
        connection.start(f"GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode(), exchange)
        response = await exchange.done
        if response.status != 200:
            raise ConnectionError(f"discovery answered {response.status}")
        return parse_server_list(orjson.loads(response.body))

    async def _connected(self) -> ClientConnection:
        """Return the connection of the last call if it can be used again, else a new one."""
        connection = self._connection
        if connection is not None and connection.usable:
            return connection
        self._drop_connection()
        async with asyncio.timeout(CONNECT_S):
            _, connection = await asyncio.get_running_loop().create_connection(
                lambda: ClientConnection(lambda _: None, MAX_LIST_BYTES), *self._address
            )
        self._connection = connection
        return connection

    def _drop_connection(self) -> None:
        if self._connection is not None:
            self._connection.abort()
            self._connection = None
