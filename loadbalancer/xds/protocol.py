"""The client side of the xDS transport protocol for clusters and their endpoints, without I/O.

It decides which requests to send, which responses to acknowledge or reject, and which clusters are active. One class
serves both state-of-the-world and incremental streams: the owner of a stream passes in the responses and sends the
returned requests in order.

Source: the published description "xDS REST and gRPC protocol"; comments name its sections.
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
    ParsedByAssignment,
    ResourceError,
    from_any,
    membership,
)

FIRST_BACKOFF_S = 0.5  # before a lost stream is reopened; doubled at each failure
MAX_BACKOFF_S = 30.0
BACKOFF_JITTER = 0.5  # maximum random reduction, so that nodes don't reconnect at the same time
INITIAL_FETCH_TIMEOUT_MS = 15_000.0  # after which a cluster without endpoints is activated empty

Request = Any  # a DiscoveryRequest or DeltaDiscoveryRequest


@dataclass(slots=True)
class ResourceState:
    """The accepted version of a resource and the last rejection of a newer one."""

    resource: Cluster | Assignment | None = None
    version: str = ""
    accepted_ms: float | None = None
    rejected: str | None = None  # why the last version received was rejected
    rejected_ms: float | None = None


@dataclass(slots=True)
class Subscription:
    """The subscription to one resource type."""

    type_url: str
    subscribed: set[str] = field(default_factory=set)
    states: dict[str, ResourceState] = field(default_factory=dict)
    version: str = ""  # of the last response accepted (state of the world)
    nonce: str = ""  # of the last response on this stream
    requested: bool = False  # whether a request of this type was sent on this stream

    def resource_of(self, name: str) -> Any:
        state = self.states.get(name)
        return state.resource if state is not None else None


@dataclass(slots=True, frozen=True)
class ActiveCluster:
    """A cluster as its pool uses it; no cluster and no entries once it has been removed."""

    cluster: Cluster | None
    entries: tuple[EndpointEntry, ...]
    levels: Levels


def _unhealthy(server: Server) -> Server:
    return replace(server, state=ServerState.SICK) if server.state is not ServerState.DRAINING else server


class XdsClient:
    """Tracks the subscribed clusters and their endpoints, over one stream at a time."""

    def __init__(
        self, node_id: str, clusters: Iterable[str], delta: bool, seed: int = 0, separate: bool = False
    ) -> None:
        """`separate`: each resource type has its own stream or poll, so the first request of each carries the node."""
        self.delta = delta
        self.separate = separate
        self.node = base_pb2.Node(id=node_id, user_agent_name="orchidledge")
        self.clusters = Subscription(CLUSTER, set(clusters))
        self.endpoints = Subscription(ENDPOINTS)
        self.connected = False
        self.last_update_ms: float | None = None
        self.failures = 0
        self._active: dict[str, ActiveCluster] = {}
        self._warming: dict[str, float] = {}  # by cluster that waits for its endpoints: since when
        self._rng = random.Random(seed)
        self._node_sent = False
        self._parsed: ParsedByAssignment = {}  # cache of the endpoints parsed last

    # ---------------------------------------------------------------------- stream

    def opened(self) -> list[Request]:
        """Handle a new stream; returns the first requests. Accepted resources stay active."""
        self.connected, self._node_sent = True, False
        requests = []
        for subscription in (self.clusters, self.endpoints):
            # A nonce is valid on its own stream only ("ACK/NACK and versioning").
            subscription.nonce, subscription.requested = "", False
            if subscription.subscribed:
                requests.append(self._request(subscription, subscribe=subscription.subscribed))
        return requests

    def closed(self) -> float:
        """Handle the end of a stream; returns the backoff before the next one, in seconds."""
        self.connected = False
        backoff_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2.0 ** min(self.failures, 10))
        self.failures += 1
        return backoff_s * (1.0 - BACKOFF_JITTER * self._rng.random())

    def received(self, now_ms: float, response: Any) -> list[Request]:
        """Apply a response; returns its ACK or NACK and any request that changes the subscriptions."""
        subscription = {CLUSTER: self.clusters, ENDPOINTS: self.endpoints}.get(response.type_url)
        if subscription is None or not subscription.requested:
            return []  # not requested on this stream, so it is not acknowledged
        self.failures = 0
        self.last_update_ms = now_ms
        subscription.nonce = response.nonce
        errors = (
            self._apply_delta(now_ms, subscription, response)
            if self.delta
            else self._apply_full(now_ms, subscription, response)
        )
        requests = [self._request(subscription, errors=errors)]
        self._activate(now_ms)
        return requests + self._subscribe_endpoints()

    def subscribe(self, names: Iterable[str]) -> list[Request]:
        """Subscribe to exactly these clusters; returns the requests to send."""
        names = set(names)
        if names == self.clusters.subscribed:
            return []
        removed, added = self.clusters.subscribed - names, names - self.clusters.subscribed
        self.clusters.subscribed = names
        for name in removed:
            self.clusters.states.pop(name, None)
            self._active.pop(name, None)
            self._warming.pop(name, None)
        requests = (
            [self._request(self.clusters, subscribe=added, unsubscribe=removed)] if self.connected else []
        )
        return requests + self._subscribe_endpoints()

    # ----------------------------------------------------------------- state

    def served(self, name: str) -> ActiveCluster | None:
        """The active form of a cluster; None before it was first activated."""
        return self._active.get(name)

    def tick(self, now_ms: float) -> bool:
        """Apply timeouts; returns whether that changed an active cluster."""
        before = dict(self._active)
        self._activate(now_ms)
        return before != self._active

    def rows(self, now_ms: float) -> list[dict[str, Any]]:
        """Status of each resource for operators: its version, when it was accepted, and the last rejection."""
        return [
            {
                "type": subscription.type_url.rpartition(".")[2],
                "name": name,
                "version": state.version,
                "nonce": subscription.nonce,
                "accepted_ms_ago": None if state.accepted_ms is None else now_ms - state.accepted_ms,
                "rejected": state.rejected,
                "rejected_ms_ago": None if state.rejected_ms is None else now_ms - state.rejected_ms,
                "notes": list(state.resource.notes) if state.resource is not None else [],
            }
            for subscription in (self.clusters, self.endpoints)
            for name, state in sorted(subscription.states.items())
        ]

    # --------------------------------------------------------------------- requests

    def _request(
        self,
        subscription: Subscription,
        subscribe: Iterable[str] = (),
        unsubscribe: Iterable[str] = (),
        errors: list[ResourceError] | None = None,
    ) -> Request:
        first = not subscription.requested
        subscription.requested = True
        detail = None
        if errors:
            text = "; ".join(map(str, errors))
            detail = status_pb2.Status(code=code_pb2.INVALID_ARGUMENT, message=text)
        # Only the first request of a stream carries the node.
        node = None if self._node_sent and not (self.separate and first) else self.node
        self._node_sent = True
        if not self.delta:
            return discovery_pb2.DiscoveryRequest(
                node=node,
                type_url=subscription.type_url,
                resource_names=sorted(subscription.subscribed),
                version_info=subscription.version,
                response_nonce=subscription.nonce,
                error_detail=detail,
            )
        versions = {}
        if first:  # "Incremental xDS": the versions accepted on earlier streams
            versions = {
                name: state.version
                for name, state in subscription.states.items()
                if state.resource is not None and name in subscription.subscribed
            }
        nonce = subscription.nonce if not (subscribe or unsubscribe) else ""
        return discovery_pb2.DeltaDiscoveryRequest(
            node=node,
            type_url=subscription.type_url,
            resource_names_subscribe=sorted(subscription.subscribed if first else subscribe),
            resource_names_unsubscribe=sorted(unsubscribe),
            initial_resource_versions=versions,
            response_nonce=nonce,
            error_detail=detail,
        )

    def _subscribe_endpoints(self) -> list[Request]:
        """Subscribe to exactly the endpoints that accepted and active clusters need."""
        wanted = set()
        for state in self.clusters.states.values():
            cluster = state.resource
            if isinstance(cluster, Cluster) and cluster.kind is Kind.EDS and cluster.eds_path is None:
                wanted.add(cluster.service)
        # Make before break: the endpoints in use are dropped only once their replacement has arrived.
        wanted |= {
            served.cluster.service
            for name, served in self._active.items()
            if served.cluster is not None and served.cluster.kind is Kind.EDS and name in self._warming
        }
        removed, added = self.endpoints.subscribed - wanted, wanted - self.endpoints.subscribed
        if not removed and not added:
            return []
        self.endpoints.subscribed = wanted
        for name in removed:
            self._remove(self.endpoints, name)
        return [self._request(self.endpoints, subscribe=added, unsubscribe=removed)] if self.connected else []

    # --------------------------------------------------------------------- resources

    def _apply_full(self, now_ms: float, subscription: Subscription, response: Any) -> list[ResourceError]:
        """Apply a state-of-the-world response. Valid resources are accepted even if others are rejected."""
        errors: list[ResourceError] = []
        names: set[str] = set()
        for item in response.resources:
            name = self._apply(now_ms, subscription, item, response.version_info, errors)
            if name is not None:
                names.add(name)
        if not errors:
            subscription.version = response.version_info
        # "Deleting resources": a response lists all clusters, but not all endpoints.
        if subscription is self.clusters and not any(error.resource.startswith("(") for error in errors):
            for name in list(subscription.states):
                if name not in names:
                    self._remove(subscription, name)
        return errors

    def _apply_delta(self, now_ms: float, subscription: Subscription, response: Any) -> list[ResourceError]:
        errors: list[ResourceError] = []
        for item in response.resources:
            self._apply(now_ms, subscription, item.resource, item.version, errors, item.name)
        for name in response.removed_resources:  # an unknown name is not an error
            self._remove(subscription, name)
        return errors

    def _apply(
        self,
        now_ms: float,
        subscription: Subscription,
        item: Any,
        version: str,
        errors: list[ResourceError],
        expected_name: str = "",
    ) -> str | None:
        """Accept or reject a resource and return its name; a rejection is appended to `errors`."""
        try:
            if item.type_url != subscription.type_url:
                raise ResourceError(
                    expected_name or "(unnamed)",
                    "type_url",
                    f"{item.type_url!r} in a response of another type",
                )
            resource = from_any(item, self._parsed)
            name = resource.name if isinstance(resource, Cluster) else resource.cluster
            if expected_name and expected_name != name:
                raise ResourceError(expected_name, "name", f"the resource itself is named {name!r}")
        except ResourceError as error:
            errors.append(error)
            if error.resource in subscription.subscribed:
                state = subscription.states.setdefault(error.resource, ResourceState())
                state.rejected, state.rejected_ms = str(error), now_ms
            return error.resource
        if name in subscription.subscribed:  # a server may send resources that were not requested
            state = subscription.states.setdefault(name, ResourceState())
            state.resource, state.version, state.accepted_ms = resource, version, now_ms
            state.rejected = state.rejected_ms = None
        return name

    def _remove(self, subscription: Subscription, name: str) -> None:
        subscription.states.pop(name, None)
        if subscription is self.endpoints:
            self._parsed.pop(name, None)

    def _activate(self, now_ms: float) -> None:
        """Activate each cluster that is complete, which is once its endpoints have arrived ("Resource warming")."""
        for name in self.clusters.subscribed:
            cluster = self.clusters.resource_of(name)
            if cluster is None:
                if name in self._active:
                    # The cluster was removed, so its endpoints get no new requests.
                    self._active[name] = ActiveCluster(None, (), Levels())
                self._warming.pop(name, None)
                continue
            assignment = (
                cluster.assignment
                if cluster.kind is Kind.STATIC
                else self.endpoints.resource_of(cluster.service)
            )
            if assignment is None:
                since_ms = self._warming.setdefault(name, now_ms)
                if self._same_source(name, cluster) or now_ms - since_ms >= INITIAL_FETCH_TIMEOUT_MS:
                    # The endpoints in use were removed, or none arrived in time.
                    self._active[name] = ActiveCluster(cluster, (), Levels())
                else:
                    self._refresh(name)
                continue
            self._warming.pop(name, None)
            entries, levels = membership(cluster, assignment)
            state = self.endpoints.states.get(cluster.service) if cluster.kind is Kind.EDS else None
            accepted_ms = state.accepted_ms if state is not None else None
            stale_after_ms = assignment.stale_after_ms
            if (
                stale_after_ms is not None
                and accepted_ms is not None
                and now_ms - accepted_ms > stale_after_ms
            ):
                # "endpoint_stale_after": endpoints without an update for this long count as unhealthy.
                entries = tuple(EndpointEntry(_unhealthy(entry.server), entry.endpoint) for entry in entries)
            self._active[name] = ActiveCluster(cluster, entries, levels)

    def _refresh(self, name: str) -> None:
        """Update the active form of a cluster that waits for new endpoints with the current state of its old ones."""
        served = self._active.get(name)
        if served is None or served.cluster is None or served.cluster.kind is not Kind.EDS:
            return
        old = self.endpoints.resource_of(served.cluster.service)
        if old is not None:
            entries, levels = membership(served.cluster, old)
            self._active[name] = ActiveCluster(served.cluster, entries, levels)

    def _same_source(self, name: str, cluster: Cluster) -> bool:
        """Whether the active form of a cluster has the same source of endpoints as its accepted form."""
        served = self._active.get(name)
        if served is None or served.cluster is None:
            return False
        return served.cluster.service == cluster.service and served.cluster.kind is cluster.kind
