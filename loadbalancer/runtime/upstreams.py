"""Connections from a sidecar's pools to their servers: HTTP, Thrift, or both."""

from __future__ import annotations

from typing import Any

from loadbalancer.core.address import Address
from loadbalancer.core.connection_pool import ConnectionPool
from loadbalancer.core.types import Attempt, OnEnd
from loadbalancer.http.connection_pool import HttpConnectionPool
from loadbalancer.runtime.http_frontend import HttpWire
from loadbalancer.sidecar.models import Configuration, PoolModel, ThriftModel
from loadbalancer.thrift.back import ThriftConnectionPool
from loadbalancer.thrift.client import OutgoingCall, ThriftWire
from loadbalancer.thrift.types import Form


class DualProtocolUpstream:
    """A `core.types.Upstream` for servers that speak HTTP and Thrift on two ports of one address.

    A server's load and its draining cover both protocols, as both belong to one pool.
    """

    def __init__(self, http: HttpConnectionPool, thrift: ThriftConnectionPool, port_offset: int) -> None:
        """`port_offset` is added to a server's listed port to get its Thrift port."""
        self.http, self.thrift = http, thrift
        self._port_offset = port_offset

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
        """The connection limit; half of it is available to each protocol."""
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
        self.thrift.add(name, (host, port + self._port_offset), launched_ms)

    def remove(self, name: str) -> None:
        for part in self.parts:
            part.remove(name)

    def send(self, name: str, message: Any, timeout_s: float, on_end: OnEnd) -> Attempt | None:
        part = self.thrift if isinstance(message, OutgoingCall) else self.http
        return part.send(name, message, timeout_s, on_end)

    def close(self) -> None:
        for part in self.parts:
            part.close()


AnyUpstream = HttpConnectionPool | ThriftConnectionPool | DualProtocolUpstream


def thrift_settings(model: PoolModel) -> ThriftModel:
    return model.thrift or ThriftModel()


def thrift_form(model: PoolModel) -> Form:
    """Return the Thrift protocol of a pool's servers."""
    return Form(thrift_settings(model).form)


def message_limit(configuration: Configuration) -> int:
    """Return the size limit of a Thrift message in bytes; at least 1024, which leaves space for its header."""
    return max(1024, configuration.limits.max_body_bytes)


def _http_wire(configuration: Configuration, model: PoolModel) -> HttpWire:
    return HttpWire(configuration.limits.max_body_bytes, tuple(model.report_fields))


def _thrift_wire(configuration: Configuration, model: PoolModel) -> ThriftWire:
    settings = thrift_settings(model)
    return ThriftWire(
        thrift_form(model),
        settings.transport == "framed",
        message_limit(configuration),
        frozenset(settings.full_types),
    )


def upstream_of(configuration: Configuration, model: PoolModel, limit: int) -> AnyUpstream:
    """Return the upstream of a new pool, with at most `limit` connections."""
    times = model.server_idle_ms / 1000.0, model.connect_timeout_ms / 1000.0
    if model.protocol == "http":
        return HttpConnectionPool(limit, *times, _http_wire(configuration, model))
    if model.protocol == "thrift":
        return ThriftConnectionPool(limit, *times, _thrift_wire(configuration, model))
    dual = DualProtocolUpstream(
        HttpConnectionPool(limit, *times, _http_wire(configuration, model)),
        ThriftConnectionPool(limit, *times, _thrift_wire(configuration, model)),
        thrift_settings(model).port_offset,
    )
    dual.limit = limit
    return dual


def update_upstream(
    upstream: AnyUpstream, configuration: Configuration, model: PoolModel, limit: int
) -> None:
    """Apply the limits of a new configuration to an upstream that is kept over a reload."""
    upstream.limit = limit
    for part in upstream.parts if isinstance(upstream, DualProtocolUpstream) else (upstream,):
        if isinstance(part, HttpConnectionPool):
            part.wire = _http_wire(configuration, model)
        elif isinstance(part, ThriftConnectionPool):
            part.wire = _thrift_wire(configuration, model)
