"""The running sidecar: what its configuration names is made, and made anew by a reload, whole or not at all."""

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
from loadbalancer.runtime.backs import AnyBack, back_of, form_of, message_limit, rewire
from loadbalancer.runtime.budgets import Budgets, FrontBudget, front_budget
from loadbalancer.runtime.building import (
    DEFAULT_KEY,
    ReloadError,
    calls_of,
    connects_alike,
    decisive,
    descriptors_of,
    importable,
    router_of,
    settings_of,
    static,
)
from loadbalancer.runtime.front import Plan, SidecarFront
from loadbalancer.runtime.gate import Gate
from loadbalancer.runtime.thrift import ThriftFront, ThriftPlan
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
    from loadbalancer.runtime.xds import Planes, XdsFeed

log = logging.getLogger("loadbalancer")

STATS_S = 10.0
RETIRE_S = 0.05  # between two looks at what a reload has retired


@dataclass(slots=True)
class _Managed:
    """A pool with what feeds it, and what of the configuration it was made from."""

    pool: Pool
    back: AnyBack
    settings: api.Settings
    model: PoolModel
    endpoint_list: EndpointList = field(default_factory=EndpointList)
    watcher: DiscoveryWatcher | XdsFeed | None = None

    def close(self) -> None:
        if self.watcher is not None:
            self.watcher.close()
        self.pool.close()


@dataclass(slots=True)
class _Open:
    """A listener, and what its socket was bound by."""

    key: tuple[str, str, str]
    front: SidecarFront | ThriftFront


class Sidecar:
    def __init__(self, configuration: Configuration) -> None:
        self.loop = asyncio.get_running_loop()
        self.clock = Clock(self.loop)
        self.configuration = configuration
        self.digest = digest(configuration)
        self.since = time.time()
        self.rejected: dict[str, Any] | None = None
        self.capacity = RequestCapacity(configuration.limits.max_open)
        self.budgets = Budgets()
        self.gate = Gate(lambda: self.pools.values(), self.capacity)
        self.managed: dict[str, _Managed] = {}
        self.listeners: dict[str, _Open] = {}
        self.admin: Admin | None = None
        self._admin_key = ""
        self.leaving = False
        self._retired: set[asyncio.Task[None]] = set()  # what ends listeners and pools of before
        self._old: list[_Managed] = []  # pools that still hold requests
        self._closed: list[Listener] = []  # listeners of before that still have connections
        self._stats_timer: asyncio.TimerHandle | None = None
        self._planes: Planes | None = None  # streams to control planes, once there is one

    # ----------------------------------------------------------------- what is told

    @property
    def pools(self) -> dict[str, Pool]:
        return {name: item.pool for name, item in self.managed.items()}

    @property
    def ready(self) -> bool:
        return not self.leaving and all(item.pool.up for item in self.managed.values())

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
        return self.gate.row(listeners, self.pools)

    def lists_row(self) -> dict[str, Any]:
        """Where each pool's list comes from, and how old its update is where the source tells."""
        rows: dict[str, Any] = {}
        for name, item in self.managed.items():
            source = item.model.servers_from
            rows[name] = {
                "source": plain(source) if source is not None else None,
                "list_ms_ago": item.endpoint_list.age_ms(self.clock.ms()),
            }
            told = getattr(item.watcher, "row", None)
            if told is not None:
                rows[name] |= told()
        return rows

    # ------------------------------------------------------------------- life cycle

    async def start(self) -> None:
        """Put the configuration in force. OSError if an address can't be had, ReloadError if what it needs is not
        installed; then nothing is left open."""
        await self._put(self.configuration)
        self.gate.look()
        self._stats()

    async def reload(self, configuration: Configuration) -> None:
        """Put another configuration in force; ReloadError or OSError leaves the one that is."""
        if configuration.name != self.configuration.name:
            raise ReloadError(
                f"name: {configuration.name!r} can't replace {self.configuration.name!r} while it runs; restart"
            )
        await self._put(configuration)
        self.configuration = configuration
        self.digest = digest(configuration)
        self.since = time.time()
        self.rejected = None

    def reject(self, why: str) -> None:
        """Remember that a configuration was not put in force."""
        self.rejected = {"at": time.time(), "why": why}

    async def stop(self) -> None:
        """Leave service: take what still comes, finish what is held, and end in time."""
        self.leaving = True
        longest = max(item.give_up_ms for item in self.configuration.classes) / 1000.0
        # Guard: what was open on a listener that a reload had removed was cut off long before its time.
        doors = [item.front.server for item in self.listeners.values()] + self._closed
        await finish(doors, longest, self._give_up)
        self.close()

    def _give_up(self) -> None:
        """Answer all that is open; what still comes is refused."""
        for managed in (*self.managed.values(), *self._old):
            managed.pool.capacity.limit = 0
            managed.pool.answer_all(AnswerCause.LEAVING)

    def close(self) -> None:
        for task in self._retired:
            task.cancel()
        for item in self.listeners.values():
            item.front.server.close()
        if self.admin is not None:
            self.admin.server.close()
        for managed in (*self.managed.values(), *self._old):
            managed.close()
        self.gate.close()
        if self._stats_timer is not None:
            self._stats_timer.cancel()

    # ------------------------------------------------------------ putting in force

    async def _put(self, new: Configuration) -> None:
        """First all that may fail, then the change in one step of the loop."""
        importable(new)
        shares = share_out(descriptors_of(new), len(new.listeners), len(new.pools))
        callers, boxes = shares.callers, shares.servers
        pools = {model.name: self._pool(new, model, boxes) for model in new.pools}
        plan = Plan(
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
            forms={model.name: form_of(model) for model in new.pools},
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
            once=decisive(new),
            max_body=new.limits.max_body_bytes,
            raw=True,
            request_s=new.limits.request_ms / 1000.0,
            idle_s=new.limits.caller_idle_ms / 1000.0,
            standard=True,
        )
        listeners: dict[str, _Open] = {}
        bound: list[tuple[Listener, socket.socket]] = []
        admin, admin_key = self.admin, new.admin.address if new.admin else ""
        kept = {item.key: item for item in self.listeners.values()}
        try:
            for model in new.listeners:
                _, port = parse_address(model.address)
                # A free port is another one each time, so such a listener is known by its name.
                key = (model.address, model.name if port == 0 else "", model.protocol)
                found = kept.get(key)
                if found is None:
                    front: SidecarFront | ThriftFront
                    if model.protocol == "thrift":
                        front = ThriftFront(callers, limits, thrift_plan, self.gate)
                    else:
                        front = SidecarFront(
                            callers, dialect, plan, model.deadline_header, model.tenant, None, self.gate
                        )
                    bound.append((front.server, _bind(model.address, f"listener {model.name!r}")))
                    found = _Open(key, front)
                listeners[model.name] = found
            if admin_key != self._admin_key:
                admin = Admin(self) if new.admin else None
                if admin is not None:
                    bound.append((admin.server, _bind(admin_key, "admin")))
        except OSError:
            for _, raw in bound:
                raw.close()
            for name, managed in pools.items():
                if managed is not self.managed.get(name):
                    managed.close()
            raise
        # From here on nothing fails, and nothing waits until all is in force.
        if new.budget is not None:
            repeats = self.budgets.repeats
            repeats.keep_ms, repeats.most_bytes = new.budget.keep_ms, new.budget.keep_bytes
        for model in new.listeners:
            front = listeners[model.name].front
            front.server.limit = callers
            budget = self._budget(new, model)
            if isinstance(front, ThriftFront):
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
        going = [item for item in self.listeners.values() if item not in listeners.values()]
        old_pools = [item for name, item in self.managed.items() if item is not pools.get(name)]
        old_admin = self.admin if admin is not self.admin else None
        before = self.managed
        self.capacity.limit = new.limits.max_open
        self.gate.configure(new.name, new.rules.retry_after and new.rules.max_retry_after_ms >= 1000.0)
        self.listeners, self.managed = listeners, pools
        self.admin, self._admin_key = admin, admin_key
        for pool_model in new.pools:
            self._feed(pools[pool_model.name], pool_model, new, boxes, before.get(pool_model.name))
        if old_admin is not None:
            old_admin.server.close()
            old_admin.server.close_idle()
        # Guard: noted by the task that ends it, it was missed where the process was told to end in the same turn.
        self._closed += [item.front.server for item in going]
        for item in going:
            self._retire(self._end_listener(item.front))
        for managed in old_pools:
            self._retire(self._end_pool(managed))
        for server, raw in bound:
            await server.serve(raw)

    def _budget(self, new: Configuration, listener: ListenerModel) -> FrontBudget | None:
        if new.budget is None:
            return None
        return front_budget(
            self.budgets,
            new.budget,
            new.name,
            listener.trust,
            new.rules.max_attempts,
            frozenset(item.name for item in new.tenants),
            {pool.name: pool.round_trip_ms / 2.0 for pool in new.pools},
        )

    def _pool(self, new: Configuration, model: PoolModel, boxes: int) -> _Managed:
        """The pool that is there if its decisions would be the same, else a new one."""
        settings = settings_of(new, model)
        known = self.managed.get(model.name)
        if known is not None and known.settings == settings and connects_alike(known.model, model):
            return known
        back = back_of(new, model, boxes)
        pool = Pool(settings, random.getrandbits(64), self.clock, back, self.capacity)
        return _Managed(pool, back, settings, model)

    def _feed(
        self, managed: _Managed, model: PoolModel, new: Configuration, boxes: int, old: _Managed | None
    ) -> None:
        """Have a pool follow the list that its configuration names; `old` is the one it takes over from."""
        source = model.servers_from
        assert source is not None  # as checked
        rewire(managed.back, new, model, boxes)
        fed = bool(managed.pool.up) or managed.watcher is not None
        before = managed.model.servers_from if fed else None
        managed.model = model
        if source == before:
            return
        going, managed.watcher = managed.watcher, None
        if source.source == "static":
            managed.endpoint_list = EndpointList(starts_known=True)
            managed.pool.on_server_list(
                *managed.endpoint_list.replace(self.clock.ms(), static(source)).as_pool_arguments
            )
        elif source.source == "xds":
            self._follow_xds(managed, source, new, old)
        elif isinstance(going, DiscoveryWatcher) and before is not None and before.mode == source.mode:
            going.move(parse_address(source.address))
            going, managed.watcher = None, going
        else:
            managed.endpoint_list = EndpointList(starts_known=True)
            if old is not None and old is not managed:
                # Guard: until discovery had answered, a pool made anew knew no box and refused everything.
                held = old.endpoint_list.entries.values()
                update = managed.endpoint_list.replace(self.clock.ms(), held, form=api.ListForm.CACHED)
                managed.pool.on_server_list(*update.as_pool_arguments)
            self._watch(managed, parse_address(source.address), source.mode == "push", new.rules)
        if going is not None:
            going.close()

    def _follow_xds(
        self, managed: _Managed, source: ListSource, new: Configuration, old: _Managed | None
    ) -> None:
        # Imported here: only installations with such a list have what it needs.
        from loadbalancer.runtime.xds import Planes, XdsFeed

        if self._planes is None:
            self._planes = Planes(self.clock.ms)
        node = f"{new.zone}/{new.name}" if new.zone else new.name
        # What an xDS list had before is not new to another one; of other lists nothing is known of what is cold.
        managed.endpoint_list = (
            old.endpoint_list.copy()
            if old is not None and not old.endpoint_list.starts_known
            else EndpointList()
        )
        managed.watcher = XdsFeed(
            self._planes, source, node, managed.pool, managed.back, managed.endpoint_list
        )
        managed.watcher.start()

    def _watch(self, managed: _Managed, address: Address, endless: bool, rules: Rules) -> None:
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

    # -------------------------------------------------------- what a reload retires

    def _retire(self, ending: Any) -> None:
        task = asyncio.create_task(ending)
        self._retired.add(task)
        task.add_done_callback(self._retired.discard)

    async def _end_listener(self, front: SidecarFront | ThriftFront) -> None:
        """Take no more connections, answer what is open, and let each connection end between requests."""
        server = front.server
        server.retire()
        while server.held:
            server.close_idle()
            await asyncio.sleep(RETIRE_S)
        self._closed.remove(server)

    async def _end_pool(self, managed: _Managed) -> None:
        """Its requests end where they began, by the list that they began with; drains still come."""
        self._old.append(managed)
        while managed.pool.requests:
            await asyncio.sleep(RETIRE_S)
        self._old.remove(managed)
        managed.close()

    # ---------------------------------------------------------------------- figures

    def _stats(self) -> None:
        """One line of figures every few seconds."""
        counts: Counter[str] = Counter()
        for holder in (
            *(item.front.counts for item in self.listeners.values()),
            *(pool.counts for pool in self.pools.values()),
        ):
            counts.update(holder)
            holder.clear()
        figures = ", ".join(f"{name} {count}" for name, count in sorted(counts.items()))
        callers = sum(len(item.front.server.connections) for item in self.listeners.values())
        log.info("%s: %s; open %d, callers %d", self.configuration.name, figures, self.capacity.open, callers)
        log.info("%s: %s", self.configuration.name, self.gate.line(self.pools.values()))
        self._stats_timer = self.loop.call_later(STATS_S, self._stats)


def _bind(address: str, place: str) -> socket.socket:
    """A bound socket; OSError that names the address and who wants it."""
    try:
        return Listener.bind(*parse_address(address))
    except OSError as error:
        raise PlacedError(error.errno or 0, error.strerror or str(error), place, address) from error


class PlacedError(OSError):
    """An address that can't be had: `place` says who wants it."""

    def __init__(self, number: int, text: str, place: str, address: str) -> None:
        super().__init__(number, text)
        self.place, self.address = place, address

    def __str__(self) -> str:
        return f"{self.place}: address {self.address} can't be had: {self.strerror}"
