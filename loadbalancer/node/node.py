"""A node for the platform: one HTTP listener, one server pool and its server list."""

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
from loadbalancer.node.front import PlatformFrontend, PlatformWire
from loadbalancer.overload.connections import SPARE, share_out

log = logging.getLogger("loadbalancer")

MIN_USABLE_DESCRIPTORS = 16  # in addition to the spare ones, even if the settings allow fewer
MAX_DRAIN_S = 3.0  # the platform kills the process after this time
# Before a connection is reused: a second response to the same request can arrive up to 4 ms after the first.
REUSE_DELAY_S = 0.01
METRICS_INTERVAL_S = 10.0  # between two log lines of metrics
LOOP_LAG_INTERVAL_S = 0.1  # between two measurements of the event loop's lag


class Node:
    """A node; must be created while an event loop is running."""

    def __init__(self, config: Config) -> None:
        self.loop = asyncio.get_running_loop()
        self.clock = Clock(self.loop)
        self.config = config
        self.settings = config.settings
        shares = share_out(max(config.sockets, SPARE + MIN_USABLE_DESCRIPTORS), listeners=1, pools=1)
        self.back = HttpConnectionPool(
            shares.servers,
            config.conn_idle_ms / 1000.0,
            config.connect_timeout_ms / 1000.0,
            PlatformWire(self.settings.report_fields),
            REUSE_DELAY_S,
        )
        self.endpoint_list = EndpointList(starts_known=True)
        self.watcher = DiscoveryWatcher(
            config.discovery,
            config.known.revision,
            self._wait_ms_source(),
            not self.settings.ask_discovery,
            self._on_list,
        )
        capacity = RequestCapacity(config.max_open)
        self.pool = Pool(self.settings, config.seed, self.clock, self.back, capacity, self.watcher.start)
        self.frontend = PlatformFrontend(shares.callers, self.pool)
        self.server = self.frontend.server
        self.leaving = False
        self.max_lag_s = 0.0  # the event loop's longest lag since the last log line of metrics

    async def start(self) -> None:
        """Apply the server list of the configuration and begin to serve."""
        self._on_list(api.ListForm.CACHED, self.config.known)
        await self.server.listen(*self.config.listen)
        if not self.settings.ask_discovery:
            self.watcher.start()
        self._measure_loop_lag(self.loop.time())
        self._log_metrics()

    def _wait_ms_source(self) -> Callable[[], int]:
        """Return a function that gives the wait time of each discovery call, in ms."""
        ask_within_ms = self.config.ask_within_ms
        if not self.settings.ask_discovery:
            return partial(agent_wait_ms, ask_within_ms)
        return partial(shared_wait_ms, ask_within_ms, random.Random(self.config.seed))

    def reconfigure(self, config: Config) -> None:
        """Apply a new configuration as far as it can change at run time: the address of discovery."""
        self.config = replace(self.config, discovery=config.discovery)
        self.watcher.move(config.discovery)
        log.info("%s: the discovery address is now %s:%d", self.config.name, *config.discovery)
        # The server list and the seed differ in every configuration file and are only used at start.
        if replace(config, known=self.config.known, seed=self.config.seed) != self.config:
            log.warning("other configuration changes take effect at the next start")

    async def stop(self) -> None:
        """Shut down gracefully: serve requests that still arrive, finish open ones, and end before the drain limit."""
        self.leaving = True
        self._set_ready()
        longest_deadline_s = max(kind.give_up_ms for kind in self.settings.classes) / 1000.0
        await finish([self.server], min(longest_deadline_s, MAX_DRAIN_S), self._give_up)
        self.close()

    def _give_up(self) -> None:
        """Answer all open requests with a failure and reject any new ones."""
        self.pool.capacity.limit = 0
        self.pool.answer_all(AnswerCause.LEAVING)

    def close(self) -> None:
        """Close all connections and stop watching discovery."""
        self.server.close()
        self.watcher.close()
        self.pool.close()

    def _on_list(self, form: api.ListForm, update: ServerListUpdate | None) -> None:
        """Apply a server list update, or a failure of discovery, to the pool."""
        if form is api.ListForm.FAILED:
            self.pool.on_list_failed(self.clock.ms(self.watcher.confirmed_s))
            return
        self.pool.on_server_list(
            *endpoint_update(self.endpoint_list, self.clock.ms(), form, update).as_pool_arguments
        )
        if update is not None:
            self._set_ready()

    def _set_ready(self) -> None:
        """Report ready from the first time that a server is available until the node shuts down."""
        self.server.ready = not self.leaving and (self.server.ready or bool(self.pool.up))

    def _measure_loop_lag(self, due: float) -> None:
        """Record how late this timer fired, and schedule the next one."""
        now = self.loop.time()
        self.max_lag_s = max(self.max_lag_s, now - due)
        self.pool.timers["loop lag"] = self.loop.call_at(
            now + LOOP_LAG_INTERVAL_S, self._measure_loop_lag, now + LOOP_LAG_INTERVAL_S
        )

    def _log_metrics(self) -> None:
        """Log one line of metrics every `METRICS_INTERVAL_S`."""
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
            self.max_lag_s * 1000.0,
        )
        counts.clear()
        self.max_lag_s = 0.0
        self.pool.timers["stats"] = self.loop.call_later(METRICS_INTERVAL_S, self._log_metrics)
