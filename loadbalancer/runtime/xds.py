"""Pools that follow xDS clusters; those of one control plane share a stream to it."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable
from typing import Any

from loadbalancer.core.pool import Pool
from loadbalancer.discovery.endpoint_list import EndpointChange, EndpointList
from loadbalancer.runtime.backs import AnyBack
from loadbalancer.sidecar.models import ListSource
from loadbalancer.xds.files import FileClient
from loadbalancer.xds.protocol import Served, XdsClient
from loadbalancer.xds.stream import XdsPolling, XdsStream

log = logging.getLogger("loadbalancer")

MOST = 0.5  # of a pool's servers: an update that takes more of them away is told in the log


class Plane:
    """One control plane, by one way: a stream that all pools share which follow clusters of it."""

    def __init__(self, source: ListSource, node: str, now_ms: Callable[[], float]) -> None:
        assert source.address is not None  # as checked
        polled = source.transport == "rest"
        delta = source.updates != "state" and not polled
        separate = source.transport in ("separate", "rest")
        self.client = XdsClient(node, (), delta, random.getrandbits(32), separate)
        kind = XdsPolling if polled else XdsStream
        self.stream = kind(source.address, self.client, now_ms, self._on_change)
        self.feeds: list[XdsFeed] = []

    def join(self, feed: XdsFeed) -> None:
        self.feeds.append(feed)
        self._want()
        if len(self.feeds) == 1:
            self.stream.start()

    def leave(self, feed: XdsFeed) -> bool:
        """Whether it was the last."""
        self.feeds.remove(feed)
        if self.feeds:
            self._want()
        else:
            self.stream.close()
        return not self.feeds

    def _want(self) -> None:
        self.stream.want({feed.cluster for feed in self.feeds})

    def _on_change(self) -> None:
        for feed in list(self.feeds):
            try:
                feed.on_change()
            except Exception:
                # Guard: a fault at one pool must not keep the others from hearing of a drain.
                log.exception("xds: cluster %s could not be put in force", feed.cluster)


class Planes:
    """The control planes that a sidecar follows."""

    def __init__(self, now_ms: Callable[[], float]) -> None:
        self.now_ms = now_ms
        self._planes: dict[tuple[object, ...], Plane] = {}

    def join(self, source: ListSource, node: str, feed: XdsFeed) -> Plane:
        key = (source.address, source.transport, source.updates, node)
        plane = self._planes.get(key)
        if plane is None:
            plane = self._planes[key] = Plane(source, node, self.now_ms)
        plane.join(feed)
        return plane

    def leave(self, feed: XdsFeed) -> None:
        for key, plane in list(self._planes.items()):
            if feed in plane.feeds and plane.leave(feed):
                del self._planes[key]


class XdsFeed:
    """Puts a cluster's endpoints in force at a pool as they come."""

    def __init__(
        self,
        planes: Planes,
        source: ListSource,
        node: str,
        pool: Pool,
        back: AnyBack,
        endpoint_list: EndpointList,
    ) -> None:
        """`endpoint_list`: empty, or of the list that it takes over from, so that what that did not have is cold."""
        assert source.cluster is not None  # as checked
        self.cluster = source.cluster
        self.endpoint_list = endpoint_list
        self.client: XdsClient | FileClient | None = None
        self._source, self._node = source, node
        self._planes = planes
        self._file: FileClient | None = None
        self._pool = pool
        self._back = back
        self._connect_s = back.connect_timeout_s  # the pool's own, of which a cluster may only ask for less
        self._served: Served | None = None

    def start(self) -> None:
        if self._source.path is not None:
            now_ms = self._pool.clock.ms
            self.client = self._file = FileClient(self._source.path, self.cluster, now_ms, self.on_change)
            self._file.start()
            return
        self.client = self._planes.join(self._source, self._node, self).client
        self.on_change()  # what another pool of the same cluster has been told already

    def close(self) -> None:
        if self._file is not None:
            self._file.close()
        else:
            self._planes.leave(self)

    def row(self) -> dict[str, Any]:
        """For operators: how old the update is, and each resource."""
        now = self._pool.clock.ms()
        assert self.client is not None  # once it has started
        return {
            "connected": self.client.connected,
            "news_ms_ago": None if self.client.last_news_ms is None else now - self.client.last_news_ms,
            "resources": self.client.rows(now),
        }

    def on_change(self) -> None:
        served = self.client.served(self.cluster) if self.client is not None else None
        if served is None or served == self._served:
            return
        known = len(self.endpoint_list.entries)
        update = self.endpoint_list.replace(self._pool.clock.ms(), served.entries, served.levels)
        self._served = served
        gone = sum(1 for _, change in update.changes if change is EndpointChange.REMOVED)
        if gone > MOST * known:
            # It is the control plane's word, and holding on to what it took away would break a drain.
            log.warning(
                "xds: an update takes %d of the %d servers of cluster %s away", gone, known, self.cluster
            )
        if served.cluster is not None:
            limits = served.cluster.thresholds
            self._pool.max_open = limits.max_requests
            if limits.max_connections is not None:
                self._back.limit = min(self._back.limit, max(1, limits.max_connections))
            if served.cluster.connect_timeout_ms is not None:
                self._back.connect_timeout_s = min(
                    self._connect_s, served.cluster.connect_timeout_ms / 1000.0
                )
            self._pool.extend_warm_up(served.cluster.warm_up_ms)
        self._pool.on_server_list(*update.as_pool_arguments)
