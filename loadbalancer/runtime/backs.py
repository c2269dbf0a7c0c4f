"""The servers' side of a sidecar's pools: HTTP, Thrift, or both beside one another."""

from __future__ import annotations

from typing import Any

from loadbalancer.core.address import Address
from loadbalancer.core.connection_pool import ConnectionPool
from loadbalancer.core.types import Attempt, OnEnd
from loadbalancer.http.connection_pool import HttpConnectionPool
from loadbalancer.runtime.front import SidecarWire
from loadbalancer.sidecar.models import Configuration, PoolModel, ThriftModel
from loadbalancer.thrift.back import ThriftConnectionPool
from loadbalancer.thrift.client import Outbound, ThriftWire
from loadbalancer.thrift.types import Form


class BothBack:
    """Boxes that speak both, on two ports of one address: one pool, one load, one drain. A `core.types.Upstream`."""

    def __init__(self, http: HttpConnectionPool, thrift: ThriftConnectionPool, port_offset: int) -> None:
        """`port_offset`: from a box's listed port to its Thrift port."""
        self.http, self.thrift = http, thrift
        self._offset = port_offset

    @property
    def parts(self) -> tuple[ConnectionPool, ConnectionPool]:
        return self.http, self.thrift

    @property
    def size(self) -> int:
        return self.http.size + self.thrift.size

    @property
    def waiting(self) -> int:
        return self.http.waiting + self.thrift.waiting

    @property
    def limit(self) -> int:
        """Connections; half of them of each protocol."""
        return self.http.limit + self.thrift.limit

    @limit.setter
    def limit(self, limit: int) -> None:
        self.http.limit = max(1, limit - limit // 2)
        self.thrift.limit = max(1, limit // 2)

    @property
    def connect_timeout_s(self) -> float:
        return self.http.connect_timeout_s

    @connect_timeout_s.setter
    def connect_timeout_s(self, seconds: float) -> None:
        self.http.connect_timeout_s = self.thrift.connect_timeout_s = seconds

    def add(self, name: str, endpoint: Address, launched_ms: float | None = None) -> None:
        host, port = endpoint
        self.http.add(name, endpoint, launched_ms)
        self.thrift.add(name, (host, port + self._offset), launched_ms)

    def remove(self, name: str) -> None:
        for part in self.parts:
            part.remove(name)

    def send(self, name: str, message: Any, timeout_s: float, on_end: OnEnd) -> Attempt | None:
        part = self.thrift if isinstance(message, Outbound) else self.http
        return part.send(name, message, timeout_s, on_end)

    def close(self) -> None:
        for part in self.parts:
            part.close()


AnyBack = HttpConnectionPool | ThriftConnectionPool | BothBack


def thrift_of(model: PoolModel) -> ThriftModel:
    return model.thrift or ThriftModel()


def form_of(model: PoolModel) -> Form:
    """What the boxes of a pool are spoken to in."""
    return Form(thrift_of(model).form)


def message_limit(new: Configuration) -> int:
    """Bytes of a Thrift message: room for its head is left however small a body may be."""
    return max(1024, new.limits.max_body_bytes)


def _http_wire(new: Configuration, model: PoolModel) -> SidecarWire:
    return SidecarWire(new.limits.max_body_bytes, tuple(model.report_fields))


def _thrift_wire(new: Configuration, model: PoolModel) -> ThriftWire:
    found = thrift_of(model)
    return ThriftWire(
        form_of(model),
        found.transport == "framed",
        message_limit(new),
        frozenset(found.full_types),
    )


def back_of(new: Configuration, model: PoolModel, limit: int) -> AnyBack:
    """A pool's back, with at most `limit` connections."""
    times = model.server_idle_ms / 1000.0, model.connect_timeout_ms / 1000.0
    if model.protocol == "http":
        return HttpConnectionPool(limit, *times, _http_wire(new, model))
    if model.protocol == "thrift":
        return ThriftConnectionPool(limit, *times, _thrift_wire(new, model))
    both = BothBack(
        HttpConnectionPool(limit, *times, _http_wire(new, model)),
        ThriftConnectionPool(limit, *times, _thrift_wire(new, model)),
        thrift_of(model).port_offset,
    )
    both.limit = limit
    return both


def rewire(back: AnyBack, new: Configuration, model: PoolModel, limit: int) -> None:
    """Put the limits of another configuration in force at a back that stays."""
    back.limit = limit
    for part in back.parts if isinstance(back, BothBack) else (back,):
        if isinstance(part, HttpConnectionPool):
            part.wire = _http_wire(new, model)
        elif isinstance(part, ThriftConnectionPool):
            part.wire = _thrift_wire(new, model)
