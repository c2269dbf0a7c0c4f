"""The xDS transport protocol for clusters and their endpoints, without I/O: what to ask, what to acknowledge, and
which clusters are in force.

Source: the xDS protocol's published description ("xDS REST and gRPC protocol"), sections named at each rule. One
object serves state of the world and incremental streams; a stream's owner gives it what was received and sends what
it returns, in order.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from typing import Any

from envoy.config.core.v3 import base_pb2
from envoy.service.discovery.v3 import discovery_pb2
from google.rpc import code_pb2, status_pb2

from loadbalancer.discovery.endpoint_list import EndpointEntry
from loadbalancer.interface import Levels, Server, ServerState
from loadbalancer.xds.resources import (
    CLUSTER,
    ENDPOINTS,
    Assignment,
    Cluster,
    Kind,
    ResourceError,
    SeenByName,
    from_any,
    membership,
)

FIRST_WAIT_S = 0.5  # before a lost stream is opened again; doubled at each failure,
LONGEST_WAIT_S = 30.0  # up to this,
JITTER = 0.5  # less up to this share, so that nodes do not come back together
INITIAL_FETCH_MS = 15_000.0  # after which a cluster whose endpoints have not come serves without them

Request = Any  # a DiscoveryRequest or DeltaDiscoveryRequest


@dataclass(slots=True)
class Held:
    """One resource as it is in force, and what was last said of it."""

    resource: Cluster | Assignment | None = None
    version: str = ""
    accepted_ms: float | None = None
    rejected: str | None = None  # why the last one sent was not taken
    rejected_ms: float | None = None


@dataclass(slots=True)
class Subscription:
    """One type of resource."""

    type_url: str
    wanted: set[str] = field(default_factory=set)
    held: dict[str, Held] = field(default_factory=dict)
    version: str = ""  # of the last response accepted (state of the world)
    nonce: str = ""  # of the last response on this stream
    asked: bool = False  # on this stream

    def of(self, name: str) -> Any:
        held = self.held.get(name)
        return held.resource if held is not None else None


@dataclass(slots=True, frozen=True)
class Served:
    """A cluster as its pool is to see it; no entries where it is not there."""

    cluster: Cluster | None
    entries: tuple[EndpointEntry, ...]
    levels: Levels


def _sick(server: Server) -> Server:
    return replace(server, state=ServerState.SICK) if server.state is not ServerState.DRAINING else server


class XdsClient:
    """Follows the clusters that it is told to want, over one stream at a time."""

    def __init__(
        self, node_id: str, clusters: Iterable[str], delta: bool, seed: int = 0, separate: bool = False
    ) -> None:
        """`separate`: each type has a stream, or a call, of its own; so each is told of the node."""
        self.delta = delta
        self.separate = separate
        self.node = base_pb2.Node(id=node_id, user_agent_name="orchidledge")
        self.clusters = Subscription(CLUSTER, set(clusters))
        self.endpoints = Subscription(ENDPOINTS)
        self.connected = False
        self.last_news_ms: float | None = None
        self.failures = 0
        self._active: dict[str, Served] = {}
        self._warming: dict[str, float] = {}  # since when a cluster waits for its endpoints
        self._rng = random.Random(seed)
        self._node_sent = False
        self._seen: SeenByName = {}  # endpoints as they were read last

    # ---------------------------------------------------------------------- stream

    def opened(self) -> list[Request]:
        """A stream is open: what to send first. What is held stays in force meanwhile."""
        self.connected, self._node_sent = True, False
        requests = []
        for subscription in (self.clusters, self.endpoints):
            # A nonce counts on its own stream only ("ACK/NACK and versioning").
            subscription.nonce, subscription.asked = "", False
            if subscription.wanted:
                requests.append(self._ask(subscription, subscribe=subscription.wanted))
        return requests

    def closed(self) -> float:
        """The stream is gone; returns after how many seconds to open the next."""
        self.connected = False
        wait = min(LONGEST_WAIT_S, FIRST_WAIT_S * 2.0 ** min(self.failures, 10))
        self.failures += 1
        return wait * (1.0 - JITTER * self._rng.random())

    def received(self, now_ms: float, response: Any) -> list[Request]:
        """Take a response and return what it asks for: an acknowledgement, and what is wanted anew."""
        subscription = {CLUSTER: self.clusters, ENDPOINTS: self.endpoints}.get(response.type_url)
        if subscription is None or not subscription.asked:
            return []  # nobody asked for it, and there is nothing to acknowledge
        self.failures = 0
        self.last_news_ms = now_ms
        subscription.nonce = response.nonce
        errors = (
            self._take_delta(now_ms, subscription, response)
            if self.delta
            else self._take_all(now_ms, subscription, response)
        )
        requests = [self._ask(subscription, errors=errors)]
        self._settle(now_ms)
        return requests + self._follow_clusters()

    def want(self, names: Iterable[str]) -> list[Request]:
        """Want these clusters from now on, and no others."""
        names = set(names)
        if names == self.clusters.wanted:
            return []
        gone, new = self.clusters.wanted - names, names - self.clusters.wanted
        self.clusters.wanted = names
        for name in gone:
            self.clusters.held.pop(name, None)
            self._active.pop(name, None)
            self._warming.pop(name, None)
        requests = [self._ask(self.clusters, subscribe=new, unsubscribe=gone)] if self.connected else []
        return requests + self._follow_clusters()

    # ----------------------------------------------------------------- what is told

    def served(self, name: str) -> Served | None:
        """A cluster as it is in force; None before anything is known of it."""
        return self._active.get(name)

    def tick(self, now_ms: float) -> bool:
        """Time passes: whether a cluster came into force without its endpoints, as they did not come."""
        before = dict(self._active)
        self._settle(now_ms)
        return before != self._active

    def rows(self, now_ms: float) -> list[dict[str, Any]]:
        """For operators: each resource's version, when it was accepted, and what was rejected and why."""
        return [
            {
                "type": subscription.type_url.rpartition(".")[2],
                "name": name,
                "version": held.version,
                "nonce": subscription.nonce,
                "accepted_ms_ago": None if held.accepted_ms is None else now_ms - held.accepted_ms,
                "rejected": held.rejected,
                "rejected_ms_ago": None if held.rejected_ms is None else now_ms - held.rejected_ms,
                "notes": list(held.resource.notes) if held.resource is not None else [],
            }
            for subscription in (self.clusters, self.endpoints)
            for name, held in sorted(subscription.held.items())
        ]

    # --------------------------------------------------------------------- requests

    def _ask(
        self,
        subscription: Subscription,
        subscribe: Iterable[str] = (),
        unsubscribe: Iterable[str] = (),
        errors: list[ResourceError] | None = None,
    ) -> Request:
        first = not subscription.asked
        subscription.asked = True
        detail = None
        if errors:
            text = "; ".join(map(str, errors))
            detail = status_pb2.Status(code=code_pb2.INVALID_ARGUMENT, message=text)
        # The node's identity goes with the first request of a stream only.
        node = None if self._node_sent and not (self.separate and first) else self.node
        self._node_sent = True
        if not self.delta:
            return discovery_pb2.DiscoveryRequest(
                node=node,
                type_url=subscription.type_url,
                resource_names=sorted(subscription.wanted),
                version_info=subscription.version,
                response_nonce=subscription.nonce,
                error_detail=detail,
            )
        versions = {}
        if first:  # "Incremental xDS": what is still held from an earlier stream
            versions = {
                name: held.version
                for name, held in subscription.held.items()
                if held.resource is not None and name in subscription.wanted
            }
        answers = subscription.nonce if not (subscribe or unsubscribe) else ""
        return discovery_pb2.DeltaDiscoveryRequest(
            node=node,
            type_url=subscription.type_url,
            resource_names_subscribe=sorted(subscription.wanted if first else subscribe),
            resource_names_unsubscribe=sorted(unsubscribe),
            initial_resource_versions=versions,
            response_nonce=answers,
            error_detail=detail,
        )

    def _follow_clusters(self) -> list[Request]:
        """Ask for the endpoints of the clusters that are known, and no longer for others."""
        wanted = set()
        for held in self.clusters.held.values():
            cluster = held.resource
            if isinstance(cluster, Cluster) and cluster.kind is Kind.EDS and cluster.eds_path is None:
                wanted.add(cluster.service)
        # Make before break: what a cluster serves from goes only when its successor is there.
        wanted |= {
            served.cluster.service
            for name, served in self._active.items()
            if served.cluster is not None and served.cluster.kind is Kind.EDS and name in self._warming
        }
        gone, new = self.endpoints.wanted - wanted, wanted - self.endpoints.wanted
        if not gone and not new:
            return []
        self.endpoints.wanted = wanted
        for name in gone:
            self._drop(self.endpoints, name)
        return [self._ask(self.endpoints, subscribe=new, unsubscribe=gone)] if self.connected else []

    # --------------------------------------------------------------------- resources

    def _take_all(self, now_ms: float, subscription: Subscription, response: Any) -> list[ResourceError]:
        """State of the world. Resources that can be taken are, also beside one that can't be."""
        errors: list[ResourceError] = []
        named: set[str] = set()
        for item in response.resources:
            name = self._take(now_ms, subscription, item, response.version_info, errors)
            if name is not None:
                named.add(name)
        if not errors:
            subscription.version = response.version_info
        # "Deleting resources": of clusters the response is the whole state; of endpoints it is not.
        if subscription is self.clusters and not any(error.resource.startswith("(") for error in errors):
            for name in list(subscription.held):
                if name not in named:
                    self._drop(subscription, name)
        return errors

    def _take_delta(self, now_ms: float, subscription: Subscription, response: Any) -> list[ResourceError]:
        errors: list[ResourceError] = []
        for item in response.resources:
            self._take(now_ms, subscription, item.resource, item.version, errors, item.name)
        for name in response.removed_resources:  # one that is not held is no error
            self._drop(subscription, name)
        return errors

    def _take(
        self,
        now_ms: float,
        subscription: Subscription,
        item: Any,
        version: str,
        errors: list[ResourceError],
        given: str = "",
    ) -> str | None:
        """Hold a resource; returns its name, also that of one that was rejected."""
        try:
            if item.type_url != subscription.type_url:
                raise ResourceError(
                    given or "(unnamed)", "type_url", f"{item.type_url!r} in a response of another type"
                )
            found = from_any(item, self._seen)
            name = found.name if isinstance(found, Cluster) else found.cluster
            if given and given != name:
                raise ResourceError(given, "name", f"the resource itself is named {name!r}")
        except ResourceError as error:
            errors.append(error)
            if error.resource in subscription.wanted:
                held = subscription.held.setdefault(error.resource, Held())
                held.rejected, held.rejected_ms = str(error), now_ms
            return error.resource
        if name in subscription.wanted:  # a server may send more than was asked for
            held = subscription.held.setdefault(name, Held())
            held.resource, held.version, held.accepted_ms = found, version, now_ms
            held.rejected = held.rejected_ms = None
        return name

    def _drop(self, subscription: Subscription, name: str) -> None:
        subscription.held.pop(name, None)
        if subscription is self.endpoints:
            self._seen.pop(name, None)

    def _settle(self, now_ms: float) -> None:
        """Put in force what is whole. A cluster serves once its endpoints have come ("Resource warming")."""
        for name in self.clusters.wanted:
            cluster = self.clusters.of(name)
            if cluster is None:
                if name in self._active:
                    # It was there and has been removed: nothing new goes to what was in it.
                    self._active[name] = Served(None, (), Levels())
                self._warming.pop(name, None)
                continue
            assignment = (
                cluster.assignment if cluster.kind is Kind.STATIC else self.endpoints.of(cluster.service)
            )
            if assignment is None:
                since = self._warming.setdefault(name, now_ms)
                if self._same_source(name, cluster) or now_ms - since >= INITIAL_FETCH_MS:
                    # What it served from has been removed, or nothing came in time.
                    self._active[name] = Served(cluster, (), Levels())
                else:
                    self._refresh(name)
                continue
            self._warming.pop(name, None)
            entries, levels = membership(cluster, assignment)
            told = self.endpoints.held.get(cluster.service) if cluster.kind is Kind.EDS else None
            heard = told.accepted_ms if told is not None else None
            limit = assignment.stale_after_ms
            if limit is not None and heard is not None and now_ms - heard > limit:
                # "endpoint_stale_after": endpoints of which nothing new was heard for so long count as unhealthy.
                entries = tuple(EndpointEntry(_sick(entry.server), entry.endpoint) for entry in entries)
            self._active[name] = Served(cluster, entries, levels)

    def _refresh(self, name: str) -> None:
        """A cluster that waits for the endpoints of its new form serves from the old one's, as they are now."""
        served = self._active.get(name)
        if served is None or served.cluster is None or served.cluster.kind is not Kind.EDS:
            return
        old = self.endpoints.of(served.cluster.service)
        if old is not None:
            entries, levels = membership(served.cluster, old)
            self._active[name] = Served(served.cluster, entries, levels)

    def _same_source(self, name: str, cluster: Cluster) -> bool:
        """Whether a cluster serves from where it is to serve from now."""
        served = self._active.get(name)
        if served is None or served.cluster is None:
            return False
        return served.cluster.service == cluster.service and served.cluster.kind is cluster.kind
