"""The platform's node: one front, one pool and its server list."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable
from dataclasses import replace
from functools import partial

from loadbalancer import interface as api
from loadbalancer.core.clock import Clock
from loadbalancer.core.pool import Pool
from loadbalancer.core.shutdown import finish
from loadbalancer.core.types import AnswerCause, RequestCapacity
from loadbalancer.discovery.endpoint_list import EndpointList
from loadbalancer.discovery.watcher import (
    DiscoveryWatcher,
    ServerListUpdate,
    agent_wait_ms,
    endpoint_update,
    shared_wait_ms,
)
from loadbalancer.http.connection_pool import HttpConnectionPool
from loadbalancer.node.config import Config
from loadbalancer.node.front import PlatformFront, PlatformWire
from loadbalancer.overload.connections import SPARE, share_out

log = logging.getLogger("loadbalancer")

MIN_USABLE = 16  # descriptors beside the spare ones, however few the settings allow
LONGEST_DEADLINE_S = 3.0  # the platform waits no longer before it kills
REST_S = 0.01  # of a connection after an answer: second answers came up to 4 ms after the first
STATS_S = 10.0  # between two log lines of metrics
BEAT_S = 0.1  # between two checks of how late the loop is


class Node:
    """A node; it has to be created in a running event loop."""

    def __init__(self, config: Config) -> None:
        self.loop = asyncio.get_running_loop()
        self.clock = Clock(self.loop)
        self.config = config
        self.settings = config.settings
        shares = share_out(max(config.sockets, SPARE + MIN_USABLE), listeners=1, pools=1)
        self.back = HttpConnectionPool(
            shares.servers,
            config.conn_idle_ms / 1000.0,
            config.connect_timeout_ms / 1000.0,
            PlatformWire(self.settings.report_fields),
            REST_S,
        )
        self.endpoint_list = EndpointList(starts_known=True)
        self.watcher = DiscoveryWatcher(
            config.discovery,
            config.known.revision,
            self._draw_wait_ms(),
            not self.settings.ask_discovery,
            self._on_list,
        )
        room = RequestCapacity(config.max_open)
        self.pool = Pool(self.settings, config.seed, self.clock, self.back, room, self.watcher.start)
        self.front = PlatformFront(shares.callers, self.pool)
        self.server = self.front.server
        self.leaving = False
        self.lag = 0.0  # the longest that the loop was late in this stretch

    async def start(self) -> None:
        """Give the balancer the list of the configuration and begin to serve."""
        self._on_list(api.ListForm.CACHED, self.config.known)
        await self.server.listen(*self.config.listen)
        if not self.settings.ask_discovery:
            self.watcher.start()
        self._beat(self.loop.time())
        self._stats()

    def _draw_wait_ms(self) -> Callable[[], int]:
        ask_within_ms = self.config.ask_within_ms
        if not self.settings.ask_discovery:
            return partial(agent_wait_ms, ask_within_ms)
        return partial(shared_wait_ms, ask_within_ms, random.Random(self.config.seed))

    def reconfigure(self, config: Config) -> None:
        """Follow a new configuration in what can change while the node runs: where discovery is."""
        self.config = replace(self.config, discovery=config.discovery)
        self.watcher.move(config.discovery)
        log.info("%s follows discovery at %s:%d", self.config.name, *config.discovery)
        # The list and the seed are new in every file and only of use to a start.
        if replace(config, known=self.config.known, seed=self.config.seed) != self.config:
            log.warning("other changes of the configuration wait for the next start")

    async def stop(self) -> None:
        """Shut down gracefully: take what still comes, finish what is open, and end in time."""
        self.leaving = True
        self._set_ready()
        longest = max(kind.give_up_ms for kind in self.settings.classes) / 1000.0
        await finish([self.server], min(longest, LONGEST_DEADLINE_S), self._give_up)
        self.close()

    def _give_up(self) -> None:
        """Answer all that is open; what still comes is rejected."""
        self.pool.capacity.limit = 0
        self.pool.answer_all(AnswerCause.LEAVING)

    def close(self) -> None:
        """Close all connections and end the watch."""
        self.server.close()
        self.watcher.close()
        self.pool.close()

    def _on_list(self, form: api.ListForm, update: ServerListUpdate | None) -> None:
        if form is api.ListForm.FAILED:
            self.pool.on_list_failed(self.clock.ms(self.watcher.confirmed_s))
            return
        self.pool.on_server_list(
            *endpoint_update(self.endpoint_list, self.clock.ms(), form, update).as_pool_arguments
        )
        if update is not None:
            self._set_ready()

    def _set_ready(self) -> None:
        """Be ready once there is a server to send to, until the node shuts down."""
        self.server.ready = not self.leaving and (self.server.ready or bool(self.pool.up))

    def _beat(self, due: float) -> None:
        now = self.loop.time()
        self.lag = max(self.lag, now - due)
        self.pool.timers["beat"] = self.loop.call_at(now + BEAT_S, self._beat, now + BEAT_S)

    def _stats(self) -> None:
        """Log one line of metrics every few seconds."""
        counts = self.pool.counts
        figures = ", ".join(f"{name} {count}" for name, count in sorted(counts.items()))
        log.info(
            "%s: %s; open %d, cursor %d, callers %d, upstream %d, loop late %.0f ms",
            self.config.name,
            figures,
            self.pool.capacity.open,
            self.pool.balancer.table.cursor,
            len(self.server.connections),
            self.back.size,
            self.lag * 1000.0,
        )
        counts.clear()
        self.lag = 0.0
        self.pool.timers["stats"] = self.loop.call_later(STATS_S, self._stats)
