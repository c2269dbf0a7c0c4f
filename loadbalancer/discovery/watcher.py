"""The platform's service discovery: the wire format of server lists, and a watcher that long-polls for them."""

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
from loadbalancer.http.client import ClientConnection, ResponseFuture
from loadbalancer.interface import ListForm, Server, ServerState

log = logging.getLogger("loadbalancer")

# A call that is unanswered this long after its wait time has failed. Discovery counts an update as delivered 2 s after
# the wait time, so a failed call has to be noticed before that.
ANSWER_GRACE_S = 0.8
CONNECT_TIMEOUT_S = 1.0
PUSH_RETRY_PAUSE_S = 0.1  # between a failed call to a local agent and the next one
PROBE_TIMEOUT_S = 0.8  # for a call without wait time to a shared discovery service
AGENT_PROBE_TIMEOUT_S = 0.3  # for a call without wait time to a local agent
# Wait time of a call to a local agent: calls are cheap, and an unresponsive agent is noticed sooner.
AGENT_WAIT_MS = 2000.0
MAX_LIST_BYTES = 16 * 1024 * 1024
MAX_WAIT_MS = 20_000.0
# Longest wait time, as a share of the time within which the node has to call discovery again: an unresponsive discovery
# has to be noticed before that time is over.
WAIT_SHARE = 0.5
MIN_WAIT_SHARE = 0.75  # wait times are drawn between this share of the longest one and the longest one
# A change counts as notified this long after discovery received it, whether or not the notification arrived (protocol
# page, "Figures").
MAX_NOTIFICATION_DELAY_S = 6.0
# A call that discovery has not answered for this long is an established watch: an overloaded discovery rejects queued
# calls after 2 to 3 s.
WATCH_ESTABLISHED_S = 3.2

STATES = {
    "Ready": ServerState.UP,
    "Terminating": ServerState.DRAINING,
    "Gone": ServerState.REMOVED,
}


@dataclass(slots=True, frozen=True)
class ServerListUpdate:
    """A server list or changes to one; servers are named by uid, which is the same after restarts and on all nodes."""

    revision: int
    complete: bool  # whether this is a complete list rather than changes
    servers: tuple[Server, ...]
    endpoints: dict[str, Address]

    def entries(self) -> list[EndpointEntry]:
        """Return one entry for each server; the last one counts if a server is listed twice."""
        by_name = {server.address: server for server in self.servers}
        return [EndpointEntry(server, self.endpoints[name]) for name, server in by_name.items()]


def endpoint_update(
    endpoint_list: EndpointList, now_ms: float, form: ListForm, update: ServerListUpdate | None
) -> EndpointUpdate:
    """Apply a response of discovery, or a failure (None), to a pool's list; returns the update for the pool."""
    if update is None:
        return EndpointUpdate(form)
    if form is ListForm.DELTA:
        return endpoint_list.update(now_ms, update.entries())
    return endpoint_list.replace(now_ms, update.entries(), form=form)


def shared_wait_ms(ask_within_ms: float, rng: random.Random) -> int:
    """Draw the wait time of a call to a discovery service that many nodes share, in ms.

    The node has to call again within `ask_within_ms`. Wait times are random: with equal ones, the watches of all nodes
    would end and be opened again at the same moment.
    """
    longest_ms = min(MAX_WAIT_MS, ask_within_ms * WAIT_SHARE)
    return int(longest_ms * rng.uniform(MIN_WAIT_SHARE, 1.0))


def agent_wait_ms(ask_within_ms: float) -> int:
    """Return the wait time of a call to a local agent that has to be called within `ask_within_ms`, in ms."""
    return int(min(AGENT_WAIT_MS, ask_within_ms * WAIT_SHARE))


def parse_server_list(row: object) -> ServerListUpdate:
    """Return the server list in a decoded JSON document; raises ValueError if it is malformed."""
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
    """Return the server of one entry of a list; raises ValueError if it is malformed."""
    state = STATES.get(target["state"])
    if state is None:
        raise ValueError(f"state {target['state']!r} is not one of {', '.join(STATES)}")
    if not isinstance(target["uid"], str):
        raise ValueError("a uid is not a string")
    boot = target.get("boot_ms") or 0
    return Server(
        address=target["uid"],
        zone=target.get("az") or "",
        cell=int(target.get("pod_group") or 0),
        state=state,
        launched_ms=float(boot) if boot > 0 else None,  # 0: it started long ago
    )


class DiscoveryWatcher:
    """Watches the server list by long polling: a shared discovery service until a call fails, a local agent for ever.

    Parameters
    ----------
    address: address of discovery.
    revision: revision of the current list; None if there is none, so that the complete list is requested first.
    draw_wait_ms: returns the wait time of the next call.
    is_local_agent: whether discovery is a local agent; its watch goes on by itself after a failure.
    on_update: called with each response, and with FAILED and None after a failure.

    Attributes:
    ----------
    confirmed_s: loop time at which the current list was last known to be complete: at a response, or, after failures,
        when a watch is established. The end of a watch confirms nothing: discovery may have stopped responding before.
    """

    def __init__(
        self,
        address: Address,
        revision: int | None,
        draw_wait_ms: Callable[[], int],
        is_local_agent: bool,
        on_update: Callable[[ListForm, ServerListUpdate | None], None],
    ) -> None:
        self.confirmed_s = -math.inf  # the age of a list from before the start is unknown
        self._address = address
        self._revision = revision
        self._draw_wait_ms = draw_wait_ms
        self._is_local_agent = is_local_agent
        self._on_update = on_update
        # Whether the next call is a probe, without wait time, as discovery may be unreachable.
        self._probe_next = False
        self._failing = False  # the last call failed
        self._logged_error = ""  # the last error that was logged, so that it is logged once
        self._task: asyncio.Task[None] | None = None
        self._connection: ClientConnection | None = None

    def start(self) -> None:
        """Start a watch unless one is running."""
        if self._task is None:
            self._task = asyncio.create_task(self._run())

    def move(self, address: Address) -> None:
        """Watch the list at another address from now on."""
        if address != self._address:
            self.close()
            self._address, self._task = address, None
            # Guard: a discovery whose revisions are lower than ours would hold the call until they had caught up.
            self._probe_next = True
            # Updates at the new address soon count as delivered, so it is called at once even after failures.
            self.start()

    def close(self) -> None:
        """Stop the watch and close its connection."""
        if self._task is not None:
            self._task.cancel()
        self._drop_connection()

    async def _run(self) -> None:
        """Call discovery in a loop, which ends when a call to a shared service has failed."""
        while True:
            probing = self._probe_next
            try:
                await self._call()
            except Exception as error:
                # Guard: a fault in a list or in its handling would end the watch, and no more drains would be noticed.
                self._drop_connection()
                self._failing, timed_out = True, isinstance(error, TimeoutError)
                # A shared service is probed only once: if overloaded, it rejects calls without wait time immediately.
                self._probe_next = timed_out and (self._is_local_agent or not probing)
                if not isinstance(error, OSError):
                    self._revision = None  # changes that could not be applied may be valid in a complete list
                if timed_out and not probing:
                    # Guard: after a pause and another full wait time, drains would have counted as delivered long
                    # before a second timeout showed that discovery is unresponsive.
                    continue
                self._log_error(error)
                self._notify_failure()
                if self._task is not asyncio.current_task():
                    return
                await asyncio.sleep(PUSH_RETRY_PAUSE_S)

    def _notify_failure(self) -> None:
        """Report a failed call to the handler.

        The watch of a shared service ends here; the balancer decides when the next one starts.
        """
        if not self._is_local_agent:
            self._task = None
        try:
            self._on_update(ListForm.FAILED, None)
        except Exception as error:
            # Guard: a fault in the handler would end the watch.
            self._log_error(error)
            if self._task is None:
                # The handler has not processed the failure, so nothing else would start another watch.
                self._task = asyncio.current_task()

    async def _call(self) -> None:
        """Make one call, and pass its response to the handler."""
        if self._probe_next:
            wait_ms, grace_s = 0, AGENT_PROBE_TIMEOUT_S if self._is_local_agent else PROBE_TIMEOUT_S
        else:
            wait_ms, grace_s = self._draw_wait_ms(), ANSWER_GRACE_S
        loop = asyncio.get_running_loop()
        established_timer = loop.call_later(WATCH_ESTABLISHED_S, self._on_watch_established)
        try:
            async with asyncio.timeout(wait_ms / 1000.0 + grace_s):
                update = await self._request(wait_ms)
        finally:
            established_timer.cancel()
        self._probe_next = False
        if not update.complete and self._revision is not None and update.revision < self._revision:
            # Discovery was restarted and its revisions began again, so these changes refer to another list.
            self._revision = None
            return
        self._on_update(ListForm.FULL if update.complete else ListForm.DELTA, update)
        self._revision, self._logged_error = update.revision, ""
        self.confirmed_s, self._failing = loop.time(), False

    def _on_watch_established(self) -> None:
        """Treat the established watch as a report without changes if calls had failed before."""
        if not self._failing or self._revision is None:
            return
        self.confirmed_s, self._failing = asyncio.get_running_loop().time(), False
        self._on_update(ListForm.DELTA, ServerListUpdate(self._revision, False, (), {}))

    def _log_error(self, error: Exception) -> None:
        """Log each new error in a list or in its handling once; the pool counts connection errors."""
        if isinstance(error, OSError):
            return
        text = f"{type(error).__name__}: {error}"
        if text != self._logged_error:
            self._logged_error = text
            log.error("server list rejected, the previous one stays in use: %s", " ".join(text.split())[:300])

    async def _request(self, wait_ms: int) -> ServerListUpdate:
        """Request the changes since the current revision, or the complete list if there is none."""
        connection = await self._acquire_connection()
        exchange = ResponseFuture()
        host = f"{self._address[0]}:{self._address[1]}"
        target = "/discovery/hosts"
        if self._revision is not None:
            target += f"?since={self._revision}&timeout_ms={wait_ms}"
        connection.start(f"GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode(), exchange)
        response = await exchange.done
        if response.status != 200:
            raise ConnectionError(f"discovery answered {response.status}")
        return parse_server_list(orjson.loads(response.body))

    async def _acquire_connection(self) -> ClientConnection:
        """Return the connection of the last call if it is reusable, else a new one."""
        connection = self._connection
        if connection is not None and connection.usable:
            return connection
        self._drop_connection()
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, connection = await asyncio.get_running_loop().create_connection(
                lambda: ClientConnection(lambda _: None, MAX_LIST_BYTES), *self._address
            )
        self._connection = connection
        return connection

    def _drop_connection(self) -> None:
        if self._connection is not None:
            self._connection.abort()
            self._connection = None
