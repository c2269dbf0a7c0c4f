"""The gateway process: construction of its components, signals and shutdown."""

from __future__ import annotations

import asyncio
import contextlib
import secrets
import signal

import attrs

from emberring.admission.admission import Admission
from emberring.admission.types import AdmissionSettings
from emberring.configuration.model import ClientLimits
from emberring.distribution.follower import Follower
from emberring.distribution.records import NodeRecord, NodeRole
from emberring.gateway.app import Application
from emberring.gateway.clients import ClientListener
from emberring.gateway.connection_pool import ConnectionPool
from emberring.gateway.execution import Executor
from emberring.gateway.graceful_shutdown import GracefulShutdown, OpenConnections, Stage
from emberring.gateway.jobs_api import JobsApi
from emberring.gateway.readiness import Readiness, ReadinessPages
from emberring.gateway.routable_servers import RoutableServers
from emberring.gateway.suspicion_report import SuspicionReport
from emberring.jobs.client import JobClient
from emberring.jobs.directory import OwnerDirectory
from emberring.jobs.runner import ItemRunner
from emberring.logs import get_logger
from emberring.settings import GATEWAY_PORT_OFFSET, Settings
from emberring.transport.network import Network

REFRESH_S = 0.2  # between two updates of admission and the connection pool
SHUTDOWN_POLL_S = 0.05  # between two checks during the shutdown
SEED_BITS = 32  # length of the seed of admission's random number generator
ITEM_GRACE_SHARE = 0.6  # share of the grace period in which running batch items may finish

logger = get_logger("gateway")


class Gateway:
    """The components of a gateway process."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._loop = asyncio.get_running_loop()
        self.network = Network()
        me = NodeRecord(
            name=settings.node_name,
            role=NodeRole.GATEWAY,
            address=settings.internal_address(GATEWAY_PORT_OFFSET),
            zone=settings.zone,
            incarnation=secrets.token_hex(8),
        )
        self.follower = Follower(self.network, me, settings.internal_seeds())
        self.pool = ConnectionPool()
        self.admission = Admission(
            AdmissionSettings(zone=settings.zone), secrets.randbits(SEED_BITS), self.pool.has_idle
        )
        self.routable_servers = RoutableServers(self.follower)
        self.executor = Executor(self.admission, self.pool, self.routable_servers)
        self.readiness = Readiness(self.follower, self._isolated)
        owners = OwnerDirectory(self.follower)
        jobs = JobsApi(JobClient(self.network, self.follower, owners))
        name = f"{me.name}/{me.incarnation}"
        self.runner = ItemRunner(self.network, self.follower, self.executor, name, owners, me.zone)
        self.clients = ClientListener(Application(self.follower, self.executor, jobs), self._limits)
        self.probes = ClientListener(ReadinessPages(self._ready, self._metrics), ClientLimits)
        self._suspicions = SuspicionReport(self.admission)
        self._refresh_timer: asyncio.TimerHandle | None = None
        self._refresh_scheduled = False
        self._reported_ready = False

    async def start(self) -> None:
        """Start to listen, and to receive updates from the control nodes."""
        self.follower.report = self._report
        self.follower.suspects = self._suspicions.suspected
        self.follower.subscribe(self._on_change)
        self.follower.subscribe_load(self._on_change)
        self.executor.on_misdirected = self._refresh
        await self.network.listen(self._settings.internal_address(GATEWAY_PORT_OFFSET))
        await self.follower.start()
        await self.clients.listen(self._settings.listen.frontend)
        if self._settings.listen.readiness:
            await self.probes.listen(self._settings.listen.readiness)
        self._tick()
        await self.runner.start()

    def _report(self, server_loads_follow: bool) -> dict[str, int]:
        """Return calls in flight by server id.

        Args:
            server_loads_follow: whether the reply will have the load of each reported server; servers with an idle
                connection are then included.
        """
        calls = self.admission.in_flight(server_loads_follow)
        return {
            server_id: count
            for server_id, count in calls.items()
            if count or (server_loads_follow and self.pool.has_idle(server_id))
        }

    def _limits(self) -> ClientLimits:
        configuration = self.follower.configuration
        return configuration.limits if configuration is not None else ClientLimits()

    def _ready(self) -> bool:
        ready = self.readiness.ready(self._loop.time())
        if ready != self._reported_ready:
            self._reported_ready = ready
            logger.info("event=%s servers=%d", "ready" if ready else "not_ready", len(self.follower.servers))
        return ready

    def _isolated(self) -> bool:
        return not self.follower.in_contact and self.executor.isolated(self._loop.time())

    def _on_change(self) -> None:
        if not self._refresh_scheduled:
            self._refresh_scheduled = True
            self._loop.call_soon(self._refresh)

    def _tick(self) -> None:
        self._refresh_timer = self._loop.call_later(REFRESH_S, self._tick)
        self._refresh()
        self._suspicions.check(self._loop.time())

    def _refresh(self) -> None:
        """Update admission and the connection pool with the current configuration, servers and load."""
        self._refresh_scheduled = False
        follower = self.follower
        if follower.configuration is None:
            return
        services = {service.name: service for service in follower.configuration.services}
        self.admission.set_servers(
            self._loop.time(),
            self.routable_servers.all_routable(),
            services,
            follower.gateway_count,
            follower.load,
        )
        self.routable_servers.forget_absent()
        self.executor.forget_absent(set(follower.servers))
        self.pool.keep_only(lambda server_id: self.routable_servers.routable(server_id) is not None)
        self.pool.set_limits(self.routable_servers.connection_limit)

    def _metrics(self) -> dict[str, float]:
        configuration = self.follower.configuration
        metrics = {
            "ready": float(self._ready()),
            "configuration_version": float(configuration.version if configuration else 0),
            "servers": float(len(self.follower.servers)),
            "gateways": float(self.follower.gateway_count),
            "client_connections": float(len(self.clients.connections)),
            "client_connections_total": float(self.clients.accepted),
            "requests_in_progress": float(self.clients.busy),
            "calls_in_flight": float(self.admission.in_flight_count),
            "items_running": float(self.runner.running),
            "server_connections_total": float(self.pool.opened_total),
        }
        admission_status = self.admission.status(self._loop.time())
        metrics["admission_cursor"] = float(admission_status.cursor)
        metrics["admission_lot_share"] = admission_status.batch_slot_share
        metrics["admission_word_age_seconds"] = admission_status.load_report_age_s
        metrics.update(self._suspicions.metrics())
        for (service, outcome), count in sorted(self.runner.outcomes.items()):
            metrics[f'item_runs_total{{service="{service}",outcome="{outcome}"}}'] = float(count)
        for status, count in sorted(self.clients.responses.items()):
            metrics[f'answers_total{{status="{status}"}}'] = float(count)
        return metrics

    async def shut_down_gracefully(self) -> None:
        """Finish open requests and those that still arrive, within the grace period."""
        self.readiness.shutting_down = True
        self.clients.shutting_down = True
        self.follower.me = attrs.evolve(self.follower.me, leaving=True)
        grace_s = self._settings.bounds.grace_s
        shutdown = GracefulShutdown(self._loop.time(), grace_s)
        returning_items = self._loop.create_task(self.runner.leave(grace_s * ITEM_GRACE_SHARE))
        while True:
            open_count = len(self.clients.connections) + self.runner.running
            open_connections = OpenConnections(self.clients.accepted_s, open_count, self.clients.busy)
            stage = shutdown.step(self._loop.time(), open_connections)
            if stage is Stage.END:
                break
            if stage is Stage.STOP_LISTENING:
                await self.clients.stop_listening()
            if stage is not Stage.SERVE:
                self.clients.close_idle()
            await asyncio.sleep(SHUTDOWN_POLL_S)
        returning_items.cancel()

    async def stop(self) -> None:
        """Close all connections, listeners and background tasks."""
        if self._refresh_timer is not None:
            self._refresh_timer.cancel()
        await self.runner.stop()
        await self.clients.stop_listening()
        await self.probes.stop_listening()
        self.clients.abort()
        self.probes.abort()
        self.pool.close()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SHUTDOWN_POLL_S):
                await self.follower.stop()
        await self.network.close()


async def run(settings: Settings) -> None:
    """Run a gateway until SIGTERM or SIGINT.

    SIGHUP is ignored: settings that can change at run time are part of the configuration from the control nodes.
    """
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop_requested.set)
    loop.add_signal_handler(signal.SIGINT, stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: None)
    gateway = Gateway(settings)
    await gateway.start()
    logger.info("event=started frontend=%s", settings.listen.frontend)
    await stop_requested.wait()
    logger.info("event=leaving")
    await gateway.shut_down_gracefully()
    await gateway.stop()
    logger.info("event=ended")
