"""The running sidecar: creates what its configuration names; a reload is applied completely or not at all."""

from __future__ import annotations

import asyncio
import logging
import random
import socket
import time
from collections import Counter
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING, Any

from loadbalancer import interface as api
from loadbalancer.core.address import Address, parse_address
from loadbalancer.core.clock import Clock
from loadbalancer.core.listener import Listener
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
from loadbalancer.http.server import Dialect
from loadbalancer.overload.connections import share_out
from loadbalancer.runtime.admin import Admin
from loadbalancer.runtime.admission_control import AdmissionControl
from loadbalancer.runtime.budgets import Budgets, FrontendBudget, frontend_budget
from loadbalancer.runtime.building import (
    DEFAULT_KEY,
    ReloadError,
    calls_of,
    check_optional_imports,
    descriptors_of,
    router_of,
    same_connection_settings,
    settings_of,
    static_entries,
    unique_headers,
)
from loadbalancer.runtime.http_frontend import HttpFrontend, HttpPlan
from loadbalancer.runtime.thrift_frontend import ThriftFrontend, ThriftPlan
from loadbalancer.runtime.upstreams import (
    AnyUpstream,
    message_limit,
    thrift_form,
    update_upstream,
    upstream_of,
)
from loadbalancer.sidecar.models import (
    Configuration,
    ListenerModel,
    ListSource,
    PoolModel,
    Rules,
    digest,
    field_ids,
    plain,
)
from loadbalancer.thrift.server import Limits as ThriftLimits

if TYPE_CHECKING:
    from loadbalancer.runtime.xds import ControlPlaneStreams, XdsWatcher

log = logging.getLogger("loadbalancer")

STATS_S = 10.0
RETIRE_S = 0.05  # between two checks of whether a retired listener or pool has become idle


@dataclass(slots=True)
class _ManagedPool:
    """A pool with its server list, its upstream and the configuration that it was created from."""

    pool: Pool
    back: AnyUpstream
    settings: api.Settings
    model: PoolModel
    endpoint_list: EndpointList = field(default_factory=EndpointList)
    watcher: DiscoveryWatcher | XdsWatcher | None = None

    def close(self) -> None:
        if self.watcher is not None:
            self.watcher.close()
        self.pool.close()


@dataclass(slots=True)
class _OpenListener:
    """An open listener; `key` is its configured address, its name if the port is 0, and its protocol."""

    key: tuple[str, str, str]
    front: HttpFrontend | ThriftFrontend


class Sidecar:
    """A sidecar's listeners, pools and admin listener, and the reloads that replace them."""

    def __init__(self, configuration: Configuration) -> None:
        self.loop = asyncio.get_running_loop()
        self.clock = Clock(self.loop)
        self.configuration = configuration
        self.digest = digest(configuration)
        self.since = time.time()
        self.rejected: dict[str, Any] | None = None
        self.capacity = RequestCapacity(configuration.limits.max_open)
        self.budgets = Budgets()
        self.admission = AdmissionControl(lambda: self.pools.values(), self.capacity)
        self.managed_pools: dict[str, _ManagedPool] = {}
        self.listeners: dict[str, _OpenListener] = {}
        self.admin: Admin | None = None
        self._admin_key = ""
        self.leaving = False
        self._retired: set[asyncio.Task[None]] = set()  # tasks that drain removed listeners and pools
        self._retiring_pools: list[_ManagedPool] = []  # replaced pools that still have open requests
        self._closed: list[Listener] = []  # removed listeners that still have connections
        self._stats_timer: asyncio.TimerHandle | None = None
        self._control_planes: ControlPlaneStreams | None = None  # created with the first xDS list

    # ----------------------------------------------------------------- admin rows

    @property
    def pools(self) -> dict[str, Pool]:
        return {name: item.pool for name, item in self.managed_pools.items()}

    @property
    def ready(self) -> bool:
        return not self.leaving and all(item.pool.up for item in self.managed_pools.values())

    def config_row(self) -> dict[str, Any]:
        return {
            "configuration": plain(self.configuration),
            "digest": self.digest,
            "since": self.since,
            "rejected": self.rejected,
        }

    def budgets_row(self) -> dict[str, Any]:
        return self.budgets.rows(self.pools)

    def load_row(self) -> dict[str, Any]:
        listeners = {name: item.front.server for name, item in self.listeners.items()}
        return self.admission.load_row(listeners, self.pools)

    def lists_row(self) -> dict[str, Any]:
        """Return the source of each pool's server list, and the age of its last update where that is known."""
        rows: dict[str, Any] = {}
        for name, item in self.managed_pools.items():
            source = item.model.servers_from
            rows[name] = {
                "source": plain(source) if source is not None else None,
                "list_ms_ago": item.endpoint_list.age_ms(self.clock.ms()),
            }
            row = getattr(item.watcher, "row", None)
            if row is not None:
                rows[name] |= row()
        return rows

    # ------------------------------------------------------------------- life cycle

    async def start(self) -> None:
        """Apply the configuration.

        Raises OSError if an address can't be bound, or ReloadError if a needed package is not installed; nothing is
        left open then.
        """
        await self._apply(self.configuration)
        self.admission.update()
        self._stats()

    async def reload(self, configuration: Configuration) -> None:
        """Apply another configuration; on ReloadError or OSError the current one stays in force."""
        if configuration.name != self.configuration.name:
            raise ReloadError(
                f"name: {configuration.name!r} can't replace {self.configuration.name!r} while it runs; restart"
            )
        await self._apply(configuration)
        self.configuration = configuration
        self.digest = digest(configuration)
        self.since = time.time()
        self.rejected = None

    def reject(self, why: str) -> None:
        """Record that a configuration was rejected, for the admin listener."""
        self.rejected = {"at": time.time(), "why": why}

    async def stop(self) -> None:
        """Shut down gracefully: accept and finish requests for a limited time, then close."""
        self.leaving = True
        longest_s = max(item.give_up_ms for item in self.configuration.classes) / 1000.0
        # Guard: without the listeners that a reload has removed, their open requests would be cut off early.
        draining = [item.front.server for item in self.listeners.values()] + self._closed
        await finish(draining, longest_s, self._give_up)
        self.close()

    def _give_up(self) -> None:
        """Fail all open requests, and reject every later one."""
        for managed in (*self.managed_pools.values(), *self._retiring_pools):
            managed.pool.capacity.limit = 0
            managed.pool.answer_all(AnswerCause.LEAVING)

    def close(self) -> None:
        for task in self._retired:
            task.cancel()
        for item in self.listeners.values():
            item.front.server.close()
        if self.admin is not None:
            self.admin.server.close()
        for managed in (*self.managed_pools.values(), *self._retiring_pools):
            managed.close()
        self.admission.close()
        if self._stats_timer is not None:
            self._stats_timer.cancel()

    # ------------------------------------------------------- applying a configuration

    async def _apply(self, new: Configuration) -> None:
        """Do everything that may fail first, then make the change without yielding to the event loop."""
        check_optional_imports(new)
        shares = share_out(descriptors_of(new), len(new.listeners), len(new.pools))
        caller_limit, server_limit = shares.callers, shares.servers
        pools = {model.name: self._pool(new, model, server_limit) for model in new.pools}
        plan = HttpPlan(
            name=new.name,
            router=router_of(new),
            pools={name: managed.pool for name, managed in pools.items()},
            key_headers={
                item.name: (item.key_header or DEFAULT_KEY).lower().encode()
                for item in new.classes
                if item.effect == "keyed"
            },
        )
        thrift_plan = ThriftPlan(
            table=calls_of(new),
            pools=plan.pools,
            forms={model.name: thrift_form(model) for model in new.pools},
            tenants=frozenset(item.name for item in new.tenants),
            key_fields={
                item.name: field_ids(item.key_field) for item in new.classes if item.key_field is not None
            },
            oneway_s={
                item.name: item.oneway_ms / 1000.0 for item in new.classes if item.oneway_ms is not None
            },
            budget_fields={
                model.name: model.thrift.budget_field
                for model in new.pools
                if model.thrift is not None and model.thrift.budget_field is not None
            },
        )
        limits = ThriftLimits(
            message=message_limit(new),
            request_s=new.limits.request_ms / 1000.0,
            idle_s=new.limits.caller_idle_ms / 1000.0,
        )
        dialect = Dialect(
            unique_headers=unique_headers(new),
            max_body=new.limits.max_body_bytes,
            raw=True,
            request_s=new.limits.request_ms / 1000.0,
            idle_s=new.limits.caller_idle_ms / 1000.0,
            standard=True,
        )
        listeners: dict[str, _OpenListener] = {}
        bound: list[tuple[Listener, socket.socket]] = []
        admin, admin_key = self.admin, new.admin.address if new.admin else ""
        open_listeners = {item.key: item for item in self.listeners.values()}
        try:
            for model in new.listeners:
                _, port = parse_address(model.address)
                # Port 0 binds a different port each time, so such a listener is identified by its name.
                key = (model.address, model.name if port == 0 else "", model.protocol)
                listener = open_listeners.get(key)
                if listener is None:
                    front: HttpFrontend | ThriftFrontend
                    if model.protocol == "thrift":
                        front = ThriftFrontend(caller_limit, limits, thrift_plan, self.admission)
                    else:
                        front = HttpFrontend(
                            caller_limit,
                            dialect,
                            plan,
                            model.deadline_header,
                            model.tenant,
                            None,
                            self.admission,
                        )
                    bound.append((front.server, _bind(model.address, f"listener {model.name!r}")))
                    listener = _OpenListener(key, front)
                listeners[model.name] = listener
            if admin_key != self._admin_key:
                admin = Admin(self) if new.admin else None
                if admin is not None:
                    bound.append((admin.server, _bind(admin_key, "admin")))
        except OSError:
            for _, raw in bound:
                raw.close()
            for name, managed in pools.items():
                if managed is not self.managed_pools.get(name):
                    managed.close()
            raise
        # Nothing below may fail, and nothing is awaited before the change is complete.
        if new.budget is not None:
            repeats = self.budgets.repeats
            repeats.keep_ms, repeats.max_answer_bytes = new.budget.keep_ms, new.budget.keep_bytes
        for model in new.listeners:
            front = listeners[model.name].front
            front.server.limit = caller_limit
            budget = self._budget(new, model)
            if isinstance(front, ThriftFrontend):
                front.plan, front.server.limits = thrift_plan, limits
                front.configure(
                    model.tenant,
                    None if model.tenant_field is None else field_ids(model.tenant_field),
                    budget,
                    model.budget_field,
                )
            else:
                front.plan, front.server.dialect = plan, dialect
                front.configure(model.deadline_header, model.tenant, budget)
        removed = [item for item in self.listeners.values() if item not in listeners.values()]
        old_pools = [item for name, item in self.managed_pools.items() if item is not pools.get(name)]
        old_admin = self.admin if admin is not self.admin else None
        previous_pools = self.managed_pools
        self.capacity.limit = new.limits.max_open
        self.admission.configure(new.name, new.rules.retry_after and new.rules.max_retry_after_ms >= 1000.0)
        self.listeners, self.managed_pools = listeners, pools
        self.admin, self._admin_key = admin, admin_key
        for pool_model in new.pools:
            self._follow_list(
                pools[pool_model.name], pool_model, new, server_limit, previous_pools.get(pool_model.name)
            )
        if old_admin is not None:
            old_admin.server.close()
            old_admin.server.close_idle()
        # Guard: recorded here and not by the retiring task, as a shutdown that begins in the same loop iteration would
        # miss the listener.
        self._closed += [item.front.server for item in removed]
        for item in removed:
            self._retire(self._end_listener(item.front))
        for managed in old_pools:
            self._retire(self._end_pool(managed))
        for server, raw in bound:
            await server.serve(raw)

    def _budget(self, new: Configuration, listener: ListenerModel) -> FrontendBudget | None:
        if new.budget is None:
            return None
        return frontend_budget(
            self.budgets,
            new.budget,
            new.name,
            listener.trust,
            new.rules.max_attempts,
            frozenset(item.name for item in new.tenants),
            {pool.name: pool.round_trip_ms / 2.0 for pool in new.pools},
        )

    def _pool(self, new: Configuration, model: PoolModel, server_limit: int) -> _ManagedPool:
        """Return the existing pool if its settings and connections stay the same, else a new one."""
        settings = settings_of(new, model)
        known = self.managed_pools.get(model.name)
        if known is not None and known.settings == settings and same_connection_settings(known.model, model):
            return known
        back = upstream_of(new, model, server_limit)
        pool = Pool(settings, random.getrandbits(64), self.clock, back, self.capacity)
        return _ManagedPool(pool, back, settings, model)

    def _follow_list(
        self,
        managed: _ManagedPool,
        model: PoolModel,
        new: Configuration,
        server_limit: int,
        previous: _ManagedPool | None,
    ) -> None:
        """Start following the configured server list of a pool; `previous` is the pool that it replaces, if any."""
        source = model.servers_from
        assert source is not None  # as checked
        update_upstream(managed.back, new, model, server_limit)
        has_list = bool(managed.pool.up) or managed.watcher is not None
        previous_source = managed.model.servers_from if has_list else None
        managed.model = model
        if source == previous_source:
            return
        replaced_watcher, managed.watcher = managed.watcher, None
        if source.source == "static":
            managed.endpoint_list = EndpointList(starts_known=True)
            managed.pool.on_server_list(
                *managed.endpoint_list.replace(self.clock.ms(), static_entries(source)).as_pool_arguments
            )
        elif source.source == "xds":
            self._follow_xds(managed, source, new, previous)
        elif (
            isinstance(replaced_watcher, DiscoveryWatcher)
            and previous_source is not None
            and previous_source.mode == source.mode
        ):
            replaced_watcher.move(parse_address(source.address))
            replaced_watcher, managed.watcher = None, replaced_watcher
        else:
            managed.endpoint_list = EndpointList(starts_known=True)
            if previous is not None and previous is not managed:
                # Guard: without the previous pool's servers, the new one would reject all requests until discovery
                # answers.
                entries = previous.endpoint_list.entries.values()
                update = managed.endpoint_list.replace(self.clock.ms(), entries, form=api.ListForm.CACHED)
                managed.pool.on_server_list(*update.as_pool_arguments)
            self._follow_discovery(managed, parse_address(source.address), source.mode == "push", new.rules)
        if replaced_watcher is not None:
            replaced_watcher.close()

    def _follow_xds(
        self, managed: _ManagedPool, source: ListSource, new: Configuration, previous: _ManagedPool | None
    ) -> None:
        # Imported here: the packages that it needs are installed only where an xDS list is used.
        from loadbalancer.runtime.xds import ControlPlaneStreams, XdsWatcher

        if self._control_planes is None:
            self._control_planes = ControlPlaneStreams(self.clock.ms)
        node = f"{new.zone}/{new.name}" if new.zone else new.name
        # Servers of a previous xDS list are not cold in a new one. Other lists don't show which servers are cold.
        managed.endpoint_list = (
            previous.endpoint_list.copy()
            if previous is not None and not previous.endpoint_list.starts_known
            else EndpointList()
        )
        managed.watcher = XdsWatcher(
            self._control_planes, source, node, managed.pool, managed.back, managed.endpoint_list
        )
        managed.watcher.start()

    def _follow_discovery(self, managed: _ManagedPool, address: Address, endless: bool, rules: Rules) -> None:
        endpoint_list = managed.endpoint_list

        def on_update(form: api.ListForm, update: ServerListUpdate | None) -> None:
            managed.pool.on_server_list(
                *endpoint_update(endpoint_list, self.clock.ms(), form, update).as_pool_arguments
            )

        draw_wait_ms = partial(shared_wait_ms, rules.told_within_ms, random.Random())
        if endless:
            draw_wait_ms = partial(agent_wait_ms, rules.told_within_ms)
        watcher = DiscoveryWatcher(address, None, draw_wait_ms, endless, on_update)
        managed.watcher = watcher
        managed.pool.watch = watcher.start
        if not managed.pool.up:
            managed.pool.on_server_list(api.ListForm.CACHED)
        watcher.start()

    # ---------------------------------------------- listeners and pools that a reload retires

    def _retire(self, ending: Any) -> None:
        task = asyncio.create_task(ending)
        self._retired.add(task)
        task.add_done_callback(self._retired.discard)

    async def _end_listener(self, front: HttpFrontend | ThriftFrontend) -> None:
        """Accept no more connections, answer the open requests, and close each connection between requests."""
        server = front.server
        server.retire()
        while server.connection_count:
            server.close_idle()
            await asyncio.sleep(RETIRE_S)
        self._closed.remove(server)

    async def _end_pool(self, managed: _ManagedPool) -> None:
        """Close a pool once its requests have ended; its server list, draining included, is followed until then."""
        self._retiring_pools.append(managed)
        while managed.pool.requests:
            await asyncio.sleep(RETIRE_S)
        self._retiring_pools.remove(managed)
        managed.close()

    # ------------------------------------------------------------------- periodic log

    def _stats(self) -> None:
        """Log the counts and load figures since the last call, every `STATS_S`."""
        counts: Counter[str] = Counter()
        for counter in (
            *(item.front.counts for item in self.listeners.values()),
            *(pool.counts for pool in self.pools.values()),
        ):
            counts.update(counter)
            counter.clear()
        figures = ", ".join(f"{name} {count}" for name, count in sorted(counts.items()))
        callers = sum(len(item.front.server.connections) for item in self.listeners.values())
        log.info("%s: %s; open %d, callers %d", self.configuration.name, figures, self.capacity.open, callers)
        log.info("%s: %s", self.configuration.name, self.admission.log_text(self.pools.values()))
        self._stats_timer = self.loop.call_later(STATS_S, self._stats)


def _bind(address: str, place: str) -> socket.socket:
    """Return a bound socket; raises an OSError with the address and the configured place that names it."""
    try:
        return Listener.bind(*parse_address(address))
    except OSError as error:
        raise ListenAddressError(error.errno or 0, error.strerror or str(error), place, address) from error


class ListenAddressError(OSError):
    """An address that can't be bound; `place` is the listener in the configuration that names it."""

    def __init__(self, number: int, text: str, place: str, address: str) -> None:
        super().__init__(number, text)
        self.place, self.address = place, address

    def __str__(self) -> str:
        return f"{self.place}: address {self.address} can't be bound: {self.strerror}"
