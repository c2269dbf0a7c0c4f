"""xDS v3 resources as this program takes them: clusters and their endpoints, without I/O.

Sources: the API definitions `envoy.config.cluster.v3.Cluster` and `envoy.config.endpoint.v3.ClusterLoadAssignment`.
Each field that is set is handled, or harmless and noted, or rejects the resource by name: nothing that changes where
requests go is left out in silence.
"""

from __future__ import annotations

import ipaddress
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import Any

from envoy.config.cluster.v3 import cluster_pb2
from envoy.config.core.v3 import health_check_pb2
from envoy.config.endpoint.v3 import endpoint_pb2
from google.protobuf import any_pb2
from google.protobuf.message import DecodeError, Message

from loadbalancer.core.address import Address
from loadbalancer.discovery.endpoint_list import EndpointEntry
from loadbalancer.interface import Levels, Server, ServerState

CLUSTER = "type.googleapis.com/envoy.config.cluster.v3.Cluster"
ENDPOINTS = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"

MOST_PRIORITY = 128  # as the API definition bounds it
PERCENT = {0: 100.0, 1: 10_000.0, 2: 1_000_000.0}  # by FractionalPercent.DenominatorType

STATES = {
    health_check_pb2.UNKNOWN: ServerState.UP,
    health_check_pb2.HEALTHY: ServerState.UP,
    health_check_pb2.UNHEALTHY: ServerState.SICK,
    health_check_pb2.DRAINING: ServerState.DRAINING,
    health_check_pb2.TIMEOUT: ServerState.SICK,
    health_check_pb2.DEGRADED: ServerState.DEGRADED,
}

# Fields that change nothing here, and why that is so.
CLUSTER_NOTED = {
    "alt_stat_name": "figures go by the cluster's name",
    "per_connection_buffer_limit_bytes": "bodies have a limit of their own",
    "metadata": "not used",
    "track_cluster_stats": "not used",
    "track_timeout_budgets": "not used",
    "cleanup_interval": "only of use to ORIGINAL_DST",
    "dns_refresh_rate": "only of use to DNS",
    "dns_jitter": "only of use to DNS",
    "dns_failure_refresh_rate": "only of use to DNS",
    "respect_dns_ttl": "only of use to DNS",
    "dns_lookup_family": "only of use to DNS",
    "wait_for_warm_on_init": "a cluster is always warmed",
    "preconnect_policy": "connections are made when they are needed",
    "outlier_detection": "the decision module finds sick servers by itself",
    "lrs_server": "no load is reported",
    "lrs_report_endpoint_metrics": "no load is reported",
    "upstream_connection_options": "of the connection only",
    "close_connections_on_host_health_failure": "what a server holds is finished",
    "ignore_health_on_host_removal": "what is removed gets nothing new at once",
    "connection_pool_per_downstream_connection": "connections are shared",
    "http_protocol_options": "HTTP/1.1 is spoken as it is",
}
LB_NOTED = {
    "zone_aware_lb_config": "zones have a price of their own",
    "update_merge_window": "each update is put in force at once",
    "ignore_new_hosts_until_first_hc": "servers are not probed",
    "close_connections_on_host_set_change": "what a server holds is finished",
}
ENDPOINT_NOTED = {
    "metadata": "not used",
    "proximity": "not used",
    "health_check_config": "servers are not probed",
    "hostname": "not used",
    "additional_addresses": "the first address is used",
}
POLICIES = {
    cluster_pb2.Cluster.ROUND_ROBIN: "ROUND_ROBIN",
    cluster_pb2.Cluster.LEAST_REQUEST: "LEAST_REQUEST",
    cluster_pb2.Cluster.RANDOM: "RANDOM",
}


class ResourceError(ValueError):
    """A resource that can't be taken; says which, where in it, and why."""

    def __init__(self, resource: str, place: str, why: str) -> None:
        super().__init__(f"{resource}: {place}: {why}")
        self.resource, self.place, self.why = resource, place, why


class Kind(Enum):
    STATIC = "static"
    EDS = "eds"


@dataclass(slots=True, frozen=True)
class Assignment:
    """A cluster's endpoints."""

    cluster: str
    entries: tuple[EndpointEntry, ...]
    overprovisioning: float = 1.4
    drop: float = 0.0
    stale_after_ms: float | None = None
    notes: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class Thresholds:
    """Limits of a pool (`circuit_breakers`, those of default priority); None: not stated."""

    max_connections: int | None = None
    max_requests: int | None = None


@dataclass(slots=True, frozen=True)
class Cluster:
    name: str
    kind: Kind
    service: str  # the name by which its endpoints are asked for
    assignment: Assignment | None = None  # of a static one
    eds_path: str | None = None  # the file that its endpoints come from, if they do
    connect_timeout_ms: float | None = None  # None: not stated
    panic: float = 0.5
    by_locality: bool = False
    warm_up_ms: float = 0.0
    thresholds: Thresholds = field(default_factory=Thresholds)
    notes: tuple[str, ...] = ()


def membership(cluster: Cluster, assignment: Assignment) -> tuple[tuple[EndpointEntry, ...], Levels]:
    """What a roster is told of a cluster with these endpoints."""
    entries = assignment.entries
    if not cluster.by_locality:
        entries = tuple(
            EndpointEntry(replace(entry.server, locality_weight=None), entry.endpoint) for entry in entries
        )
    return entries, Levels(assignment.overprovisioning, cluster.panic, assignment.drop)


# ----------------------------------------------------------------------------- reading


# Endpoints as they were read last, by their bytes and their group's: of an update of one among thousands, only that
# one is read anew.
Seen = dict[bytes, tuple[EndpointEntry, tuple[str, ...]]]
SeenByName = dict[str, Seen]


def from_any(resource: any_pb2.Any, seen: SeenByName | None = None) -> Cluster | Assignment:
    """A resource as it comes on the wire. ResourceError if it is of another type or can't be taken."""
    kinds = {CLUSTER: cluster_pb2.Cluster, ENDPOINTS: endpoint_pb2.ClusterLoadAssignment}
    kind = kinds.get(resource.type_url)
    if kind is None:
        raise ResourceError("(unnamed)", "type_url", f"{resource.type_url!r} is not a cluster or endpoints")
    message = kind()
    try:
        message.ParseFromString(resource.value)
    except DecodeError as error:
        raise ResourceError("(unnamed)", "value", f"can't be decoded: {error}") from error
    return read_cluster(message) if kind is cluster_pb2.Cluster else read_assignment(message, seen=seen)


def _sort(
    message: Message, handled: Iterable[str], noted: Mapping[str, str], name: str, place: str
) -> list[str]:
    """Notes on the harmless fields that are set; ResourceError on one that is not known to be harmless."""
    known, notes = set(handled), []
    for descriptor, _ in message.ListFields():
        if descriptor.name in known:
            continue
        here = f"{place}.{descriptor.name}" if place else descriptor.name
        if descriptor.name not in noted:
            raise ResourceError(name, here, "is not supported, and would change where requests go")
        notes.append(f"{here}: {noted[descriptor.name]}")
    return notes


def _ms(duration: Any) -> float:
    return float(duration.seconds) * 1000.0 + float(duration.nanos) / 1e6


def read_cluster(message: Any) -> Cluster:
    """A `Cluster` message; ResourceError names the field that stands against it."""
    name = message.name
    if not name:
        raise ResourceError("(unnamed cluster)", "name", "is empty")
    handled = ["name", "type", "eds_cluster_config", "connect_timeout", "lb_policy", "load_assignment"]
    handled += ["circuit_breakers", "common_lb_config", "least_request_lb_config", "round_robin_lb_config"]
    notes = _sort(message, handled, CLUSTER_NOTED, name, "")
    kinds = {cluster_pb2.Cluster.STATIC: Kind.STATIC, cluster_pb2.Cluster.EDS: Kind.EDS}
    kind = kinds.get(message.type)
    if kind is None:
        said = _named(cluster_pb2.Cluster.DiscoveryType, message.type)
        why = "names can't be looked up here" if "DNS" in said else "is not supported"
        raise ResourceError(name, "type", f"{said}: {why}; STATIC or EDS")
    if message.lb_policy not in POLICIES:
        said = _named(cluster_pb2.Cluster.LbPolicy, message.lb_policy)
        raise ResourceError(name, "lb_policy", f"{said} binds requests to servers, which is not supported")
    notes.append(
        f"lb_policy: servers are ranked by latency and queue in place of {POLICIES[message.lb_policy]}"
    )
    if message.HasField("connect_timeout") and _ms(message.connect_timeout) <= 0.0:
        raise ResourceError(name, "connect_timeout", "is not above 0")
    assignment, eds_path, service = None, None, name
    if kind is Kind.STATIC:
        if not message.HasField("load_assignment"):
            raise ResourceError(name, "load_assignment", "is missing from a STATIC cluster")
        assignment = read_assignment(message.load_assignment, name)
        notes += [f"load_assignment.{note}" for note in assignment.notes]
    else:
        if message.HasField("load_assignment"):
            raise ResourceError(name, "load_assignment", "stands beside EDS")
        config = message.eds_cluster_config
        service = config.service_name or name
        eds_path = _eds_source(config, name)
    lb = message.common_lb_config
    notes += _sort(
        lb, ("healthy_panic_threshold", "locality_weighted_lb_config"), LB_NOTED, name, "common_lb_config"
    )
    panic = lb.healthy_panic_threshold.value / 100.0 if lb.HasField("healthy_panic_threshold") else 0.5
    if not 0.0 <= panic <= 1.0:
        raise ResourceError(name, "common_lb_config.healthy_panic_threshold", "is not from 0 to 100")
    return Cluster(
        name=name,
        kind=kind,
        service=service,
        assignment=assignment,
        eds_path=eds_path,
        connect_timeout_ms=_ms(message.connect_timeout) if message.HasField("connect_timeout") else None,
        panic=panic,
        by_locality=lb.WhichOneof("locality_config_specifier") == "locality_weighted_lb_config",
        warm_up_ms=_warm_up(message, name),
        thresholds=_thresholds(message.circuit_breakers, name, notes),
        notes=tuple(notes),
    )


def _named(enum: Any, value: int) -> str:
    """An enumeration's word for a value; the number where it has none, as a newer definition may."""
    return str(enum.Name(value)) if value in enum.values() else str(value)


def _eds_source(config: Any, name: str) -> str | None:
    """The file of the endpoints; None where they come from the server that the cluster came from."""
    source = config.eds_config
    which = source.WhichOneof("config_source_specifier")
    if which == "path_config_source":
        return str(source.path_config_source.path)
    if which == "path":
        return str(source.path)
    if which in ("ads", "self", "api_config_source", None):
        return None
    raise ResourceError(name, f"eds_cluster_config.eds_config.{which}", "is not supported")


def _warm_up(message: Any, name: str) -> float:
    which = message.WhichOneof("lb_config")
    if which not in ("least_request_lb_config", "round_robin_lb_config"):
        return 0.0
    config = getattr(message, which)
    _sort(config, ("slow_start_config", "choice_count", "active_request_bias"), {}, name, which)
    return _ms(config.slow_start_config.slow_start_window)


def _thresholds(breakers: Any, name: str, notes: list[str]) -> Thresholds:
    _sort(
        breakers,
        ("thresholds",),
        {"per_host_thresholds": "the module counts by server"},
        name,
        "circuit_breakers",
    )
    for at, item in enumerate(breakers.thresholds):
        if item.priority != 0:
            notes.append(f"circuit_breakers.thresholds[{at}]: all requests are of default priority")
            continue
        handled = ("priority", "max_connections", "max_requests")
        for descriptor, _ in item.ListFields():
            if descriptor.name not in handled:
                here = f"circuit_breakers.thresholds[{at}].{descriptor.name}"
                notes.append(f"{here}: nothing waits here, and the rules bound retries")
        return Thresholds(
            item.max_connections.value if item.HasField("max_connections") else None,
            item.max_requests.value if item.HasField("max_requests") else None,
        )
    return Thresholds()


def read_assignment(message: Any, name: str = "", seen: SeenByName | None = None) -> Assignment:
    """A `ClusterLoadAssignment` message; `name` is that of the cluster that it stands in. `seen` holds what
    was read before, by name, and is given what is read now."""
    name = message.cluster_name or name
    if not name:
        raise ResourceError("(unnamed endpoints)", "cluster_name", "is empty")
    notes = _sort(message, ("cluster_name", "endpoints", "named_endpoints", "policy"), {}, name, "")
    handled = ("drop_overloads", "overprovisioning_factor", "endpoint_stale_after")
    _sort(message.policy, handled, {}, name, "policy")
    entries: dict[Address, EndpointEntry] = {}
    before: Seen = seen.get(name, {}) if seen is not None else {}
    now: Seen = {}
    for at, group in enumerate(message.endpoints):
        place = f"endpoints[{at}]"
        known = ("locality", "lb_endpoints", "load_balancing_weight", "priority")
        notes += _sort(group, known, ENDPOINT_NOTED, name, place)
        if group.priority > MOST_PRIORITY:
            raise ResourceError(name, f"{place}.priority", f"{group.priority} is over {MOST_PRIORITY}")
        of_group = f"{group.priority} {group.load_balancing_weight.value} {group.locality}".encode()
        for number, item in enumerate(group.lb_endpoints):
            key = of_group + item.SerializeToString()
            found = before.get(key) if not item.endpoint_name else None
            if found is None:
                own: list[str] = []
                here = f"{place}.lb_endpoints[{number}]"
                found = (_entry(item, group, message.named_endpoints, name, here, own), tuple(own))
            now[key] = found
            entry, own_notes = found
            notes += own_notes
            if entry.endpoint in entries:
                here = f"{place}.lb_endpoints[{number}]"
                # Its weight, level and health would be two; which one counts differs among proxies.
                where = f"{entry.endpoint[0]}:{entry.endpoint[1]}"
                raise ResourceError(name, here, f"{where} stands twice in these endpoints")
            entries[entry.endpoint] = entry
    if seen is not None:
        seen[name] = now
    policy = message.policy
    factor = (
        policy.overprovisioning_factor.value / 100.0 if policy.HasField("overprovisioning_factor") else 1.4
    )
    if factor <= 0.0:
        raise ResourceError(name, "policy.overprovisioning_factor", "is not above 0")
    stale = _ms(policy.endpoint_stale_after) if policy.HasField("endpoint_stale_after") else 0.0
    return Assignment(
        name,
        tuple(entries.values()),
        factor,
        _drop(policy, name),
        stale if stale > 0.0 else None,
        tuple(notes),
    )


def _drop(policy: Any, name: str) -> float:
    """The share of requests that the categories drop together, one after another."""
    kept = 1.0
    for at, item in enumerate(policy.drop_overloads):
        place = f"policy.drop_overloads[{at}]"
        share = item.drop_percentage.numerator / PERCENT.get(item.drop_percentage.denominator, 0.5)
        if not item.category or share > 1.0:
            raise ResourceError(name, place, "has no category, or more than all of it")
        kept *= 1.0 - share
    return 1.0 - kept


def _entry(item: Any, group: Any, named: Any, name: str, place: str, notes: list[str]) -> EndpointEntry:
    known = ("endpoint", "endpoint_name", "health_status", "load_balancing_weight")
    notes += _sort(item, known, ENDPOINT_NOTED, name, place)
    which = item.WhichOneof("host_identifier")
    if which == "endpoint_name":
        if item.endpoint_name not in named:
            raise ResourceError(
                name, f"{place}.endpoint_name", f"{item.endpoint_name!r} is not a named endpoint"
            )
        endpoint = named[item.endpoint_name]
    elif which == "endpoint":
        endpoint = item.endpoint
    else:
        raise ResourceError(name, place, "has no endpoint")
    notes += _sort(endpoint, ("address",), ENDPOINT_NOTED, name, f"{place}.endpoint")
    address = _address(endpoint.address, name, f"{place}.endpoint.address")
    if item.health_status not in STATES:
        raise ResourceError(name, f"{place}.health_status", f"{item.health_status} is not known")
    locality = group.locality
    server = Server(
        address=f"{address[0]}:{address[1]}",
        zone=locality.zone,
        state=STATES[item.health_status],
        weight=float(item.load_balancing_weight.value) if item.HasField("load_balancing_weight") else 1.0,
        priority=group.priority,
        locality=f"{locality.region}/{locality.zone}/{locality.sub_zone}",
        # A locality without a weight gets nothing where localities are weighed (the API definition says so).
        locality_weight=float(group.load_balancing_weight.value),
    )
    return EndpointEntry(server, address)


def _address(address: Any, name: str, place: str) -> Address:
    if address.WhichOneof("address") != "socket_address":
        raise ResourceError(name, place, "is not a socket_address")
    found = address.socket_address
    if found.protocol != 0 or found.resolver_name or found.WhichOneof("port_specifier") != "port_value":
        raise ResourceError(name, f"{place}.socket_address", "is not TCP with a port_value")
    try:
        host = str(ipaddress.ip_address(found.address))
    except ValueError:
        raise ResourceError(
            name, f"{place}.socket_address.address", f"{found.address!r} is not an IP address"
        ) from None
    if not 0 < found.port_value < 65536:
        raise ResourceError(name, f"{place}.socket_address.port_value", f"{found.port_value} is not a port")
    return host, found.port_value
