"""Pools whose servers come from xDS clusters; pools of the same control plane share a stream to it."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable
from typing import Any

from loadbalancer.core.pool import Pool
from loadbalancer.discovery.endpoint_list import EndpointChange, EndpointList
from loadbalancer.runtime.upstreams import AnyUpstream
from loadbalancer.sidecar.models import ListSource
from loadbalancer.xds.files import FileClient
from loadbalancer.xds.protocol import ActiveCluster, XdsClient
from loadbalancer.xds.stream import XdsPolling, XdsStream

log = logging.getLogger("loadbalancer")

MAX_REMOVED_SHARE = 0.5  # of a pool's servers; an update that removes more is logged


class ControlPlaneStream:
    """The stream to one control plane over one transport, shared by all pools with clusters of it."""

    def __init__(self, source: ListSource, node: str, now_ms: Callable[[], float]) -> None:
        assert source.address is not None  # as checked
        polled = source.transport == "rest"
        delta = source.updates != "state" and not polled
        separate = source.transport in ("separate", "rest")
        self.client = XdsClient(node, (), delta, random.getrandbits(32), separate)
        kind = XdsPolling if polled else XdsStream
        self.stream = kind(source.address, self.client, now_ms, self._on_change)
        self.watchers: list[XdsWatcher] = []

    def join(self, watcher: XdsWatcher) -> None:
        """Add a watcher and subscribe to its cluster; the first one starts the stream."""
        self.watchers.append(watcher)
        self._update_subscriptions()
        if len(self.watchers) == 1:
            self.stream.start()

    def leave(self, watcher: XdsWatcher) -> bool:
        """Remove a watcher; returns whether it was the last one, which closes the stream."""
        self.watchers.remove(watcher)
        if self.watchers:
            self._update_subscriptions()
        else:
            self.stream.close()
        return not self.watchers

    def _update_subscriptions(self) -> None:
        self.stream.subscribe({watcher.cluster for watcher in self.watchers})

    def _on_change(self) -> None:
        for watcher in list(self.watchers):
            try:
                watcher.on_change()
            except Exception:
                # Guard: an exception in one pool must not keep the others from an update that drains a server.
                log.exception("xds: an update of cluster %s could not be applied", watcher.cluster)


class ControlPlaneStreams:
    """The streams to all control planes of a sidecar."""

    def __init__(self, now_ms: Callable[[], float]) -> None:
        self.now_ms = now_ms
        self._control_planes: dict[tuple[object, ...], ControlPlaneStream] = {}

    def join(self, source: ListSource, node: str, watcher: XdsWatcher) -> ControlPlaneStream:
        key = (source.address, source.transport, source.updates, node)
        stream = self._control_planes.get(key)
        if stream is None:
            stream = self._control_planes[key] = ControlPlaneStream(source, node, self.now_ms)
        stream.join(watcher)
        return stream

    def leave(self, watcher: XdsWatcher) -> None:
        for key, stream in list(self._control_planes.items()):
            if watcher in stream.watchers and stream.leave(watcher):
                del self._control_planes[key]


class XdsWatcher:
    """Applies each update of a cluster's endpoints to a pool."""

    def __init__(
        self,
        control_planes: ControlPlaneStreams,
        source: ListSource,
        node: str,
        pool: Pool,
        upstream: AnyUpstream,
        endpoint_list: EndpointList,
    ) -> None:
        """`endpoint_list` is empty, or a copy of the previous xDS list's: a server that it lacks is cold."""
        assert source.cluster is not None  # as checked
        self.cluster = source.cluster
        self.endpoint_list = endpoint_list
        self.client: XdsClient | FileClient | None = None
        self._source, self._node = source, node
        self._control_planes = control_planes
        self._file: FileClient | None = None
        self._pool = pool
        self._upstream = upstream
        self._max_connect_s = upstream.connect_timeout_s  # the pool's setting; a cluster may only lower it
        self._served: ActiveCluster | None = None

    def start(self) -> None:
        if self._source.path is not None:
            now_ms = self._pool.clock.ms
            self.client = self._file = FileClient(self._source.path, self.cluster, now_ms, self.on_change)
            self._file.start()
            return
        self.client = self._control_planes.join(self._source, self._node, self).client
        self.on_change()  # another pool may have received the cluster already

    def close(self) -> None:
        if self._file is not None:
            self._file.close()
        else:
            self._control_planes.leave(self)

    def row(self) -> dict[str, Any]:
        """Return the row of the admin path `/lists`: the age of the last update, and each resource."""
        now = self._pool.clock.ms()
        assert self.client is not None  # once it has started
        return {
            "connected": self.client.connected,
            "news_ms_ago": None if self.client.last_update_ms is None else now - self.client.last_update_ms,
            "resources": self.client.rows(now),
        }

    def on_change(self) -> None:
        served = self.client.served(self.cluster) if self.client is not None else None
        if served is None or served == self._served:
            return
        known = len(self.endpoint_list.entries)
        update = self.endpoint_list.replace(self._pool.clock.ms(), served.entries, served.levels)
        self._served = served
        removed = sum(1 for _, change in update.changes if change is EndpointChange.REMOVED)
        if removed > MAX_REMOVED_SHARE * known:
            # The update is applied all the same: to keep removed servers would break draining.
            log.warning(
                "xds: an update removes %d of the %d servers of cluster %s", removed, known, self.cluster
            )
        if served.cluster is not None:
            limits = served.cluster.thresholds
            self._pool.max_open = limits.max_requests
            if limits.max_connections is not None:
                self._upstream.limit = min(self._upstream.limit, max(1, limits.max_connections))
            if served.cluster.connect_timeout_ms is not None:
                self._upstream.connect_timeout_s = min(
                    self._max_connect_s, served.cluster.connect_timeout_ms / 1000.0
                )
            self._pool.extend_warm_up(served.cluster.warm_up_ms)
        self._pool.on_server_list(*update.as_pool_arguments)
