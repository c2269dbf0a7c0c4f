"""Converts xDS v3 clusters and endpoint assignments to this program's types, without I/O.

Sources: the API definitions `envoy.config.cluster.v3.Cluster` and `envoy.config.endpoint.v3.ClusterLoadAssignment`.
Each field that is set is handled, or is known not to affect routing and recorded in `notes`, or causes the rejection of
the resource by name: no field that affects routing is ignored silently.
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

MAX_PRIORITY = 128  # bound of the API definition
FRACTION_DENOMINATORS = {
    0: 100.0,
    1: 10_000.0,
    2: 1_000_000.0,
}  # by value of FractionalPercent.DenominatorType

HEALTH_STATES = {
    health_check_pb2.UNKNOWN: ServerState.UP,
    health_check_pb2.HEALTHY: ServerState.UP,
    health_check_pb2.UNHEALTHY: ServerState.SICK,
    health_check_pb2.DRAINING: ServerState.DRAINING,
    health_check_pb2.TIMEOUT: ServerState.SICK,
    health_check_pb2.DEGRADED: ServerState.DEGRADED,
}

# Fields that are accepted without effect, and the note that explains why.
IGNORED_CLUSTER_FIELDS = {
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
IGNORED_LB_FIELDS = {
    "zone_aware_lb_config": "zones have a price of their own",
    "update_merge_window": "each update is put in force at once",
    "ignore_new_hosts_until_first_hc": "servers are not probed",
    "close_connections_on_host_set_change": "what a server holds is finished",
}
IGNORED_ENDPOINT_FIELDS = {
    "metadata": "not used",
    "proximity": "not used",
    "health_check_config": "servers are not probed",
    "hostname": "not used",
    "additional_addresses": "the first address is used",
}
LB_POLICIES = {
    cluster_pb2.Cluster.ROUND_ROBIN: "ROUND_ROBIN",
    cluster_pb2.Cluster.LEAST_REQUEST: "LEAST_REQUEST",
    cluster_pb2.Cluster.RANDOM: "RANDOM",
}


class ResourceError(ValueError):
    """A resource was rejected: its name, the path of the field, and the reason."""

    def __init__(self, resource: str, field_path: str, reason: str) -> None:
        super().__init__(f"{resource}: {field_path}: {reason}")
        self.resource, self.field_path, self.reason = resource, field_path, reason


class Kind(Enum):
    STATIC = "static"
    EDS = "eds"


@dataclass(slots=True, frozen=True)
class Assignment:
    """The endpoints of a cluster."""

    cluster: str
    entries: tuple[EndpointEntry, ...]
    overprovisioning: float = 1.4
    drop_share: float = 0.0
    stale_after_ms: float | None = None
    notes: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class Thresholds:
    """Limits of a pool: the `circuit_breakers` of default priority. None: not set."""

    max_connections: int | None = None
    max_requests: int | None = None


@dataclass(slots=True, frozen=True)
class Cluster:
    name: str
    kind: Kind
    service: str  # the name under which its endpoints are requested
    assignment: Assignment | None = None  # of a STATIC cluster
    eds_path: str | None = None  # the file that its endpoints are read from, if any
    connect_timeout_ms: float | None = None  # None: not set
    panic_threshold: float = 0.5
    weigh_localities: bool = False
    warm_up_ms: float = 0.0
    thresholds: Thresholds = field(default_factory=Thresholds)
    notes: tuple[str, ...] = ()


def membership(cluster: Cluster, assignment: Assignment) -> tuple[tuple[EndpointEntry, ...], Levels]:
    """The entries and priority levels that a cluster with these endpoints gives its pool."""
    entries = assignment.entries
    if not cluster.weigh_localities:
        entries = tuple(
            EndpointEntry(replace(entry.server, locality_weight=None), entry.endpoint) for entry in entries
        )
    return entries, Levels(assignment.overprovisioning, cluster.panic_threshold, assignment.drop_share)


# ----------------------------------------------------------------------------- reading


# Cache of the endpoints parsed last, by the serialized endpoint and its group: an update that changes one of thousands
# of endpoints parses only that one.
ParsedEndpoints = dict[bytes, tuple[EndpointEntry, tuple[str, ...]]]
ParsedByAssignment = dict[str, ParsedEndpoints]


def from_any(resource: any_pb2.Any, parsed: ParsedByAssignment | None = None) -> Cluster | Assignment:
    """Decode a resource received from a server. ResourceError if its type is unknown or it is rejected."""
    kinds = {CLUSTER: cluster_pb2.Cluster, ENDPOINTS: endpoint_pb2.ClusterLoadAssignment}
    kind = kinds.get(resource.type_url)
    if kind is None:
        raise ResourceError("(unnamed)", "type_url", f"{resource.type_url!r} is not a cluster or endpoints")
    message = kind()
    try:
        message.ParseFromString(resource.value)
    except DecodeError as error:
        raise ResourceError("(unnamed)", "value", f"can't be decoded: {error}") from error
    return read_cluster(message) if kind is cluster_pb2.Cluster else read_assignment(message, parsed=parsed)


def _check_fields(
    message: Message, handled: Iterable[str], ignored: Mapping[str, str], name: str, field_path: str
) -> list[str]:
    """Notes on the ignored fields that are set; ResourceError on a field that is neither handled nor ignored."""
    known, notes = set(handled), []
    for descriptor, _ in message.ListFields():
        if descriptor.name in known:
            continue
        full_path = f"{field_path}.{descriptor.name}" if field_path else descriptor.name
        if descriptor.name not in ignored:
            raise ResourceError(name, full_path, "is not supported, and would change where requests go")
        notes.append(f"{full_path}: {ignored[descriptor.name]}")
    return notes


def _ms(duration: Any) -> float:
    return float(duration.seconds) * 1000.0 + float(duration.nanos) / 1e6


def read_cluster(message: Any) -> Cluster:
    """Convert a `Cluster` message; ResourceError names the field that is not acceptable."""
    name = message.name
    if not name:
        raise ResourceError("(unnamed cluster)", "name", "is empty")
    handled = ["name", "type", "eds_cluster_config", "connect_timeout", "lb_policy", "load_assignment"]
    handled += ["circuit_breakers", "common_lb_config", "least_request_lb_config", "round_robin_lb_config"]
    notes = _check_fields(message, handled, IGNORED_CLUSTER_FIELDS, name, "")
    kinds = {cluster_pb2.Cluster.STATIC: Kind.STATIC, cluster_pb2.Cluster.EDS: Kind.EDS}
    kind = kinds.get(message.type)
    if kind is None:
        value_name = _enum_name(cluster_pb2.Cluster.DiscoveryType, message.type)
        reason = "names can't be looked up here" if "DNS" in value_name else "is not supported"
        raise ResourceError(name, "type", f"{value_name}: {reason}; STATIC or EDS")
    if message.lb_policy not in LB_POLICIES:
        value_name = _enum_name(cluster_pb2.Cluster.LbPolicy, message.lb_policy)
        raise ResourceError(
            name, "lb_policy", f"{value_name} binds requests to servers, which is not supported"
        )
    notes.append(
        f"lb_policy: servers are ranked by latency and queue in place of {LB_POLICIES[message.lb_policy]}"
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
    notes += _check_fields(
        lb,
        ("healthy_panic_threshold", "locality_weighted_lb_config"),
        IGNORED_LB_FIELDS,
        name,
        "common_lb_config",
    )
    panic_threshold = (
        lb.healthy_panic_threshold.value / 100.0 if lb.HasField("healthy_panic_threshold") else 0.5
    )
    if not 0.0 <= panic_threshold <= 1.0:
        raise ResourceError(name, "common_lb_config.healthy_panic_threshold", "is not from 0 to 100")
    return Cluster(
        name=name,
        kind=kind,
        service=service,
        assignment=assignment,
        eds_path=eds_path,
        connect_timeout_ms=_ms(message.connect_timeout) if message.HasField("connect_timeout") else None,
        panic_threshold=panic_threshold,
        weigh_localities=lb.WhichOneof("locality_config_specifier") == "locality_weighted_lb_config",
        warm_up_ms=_warm_up(message, name),
        thresholds=_thresholds(message.circuit_breakers, name, notes),
        notes=tuple(notes),
    )


def _enum_name(enum: Any, value: int) -> str:
    """The name of an enum value; the number if it has none, as newer API definitions may add values."""
    return str(enum.Name(value)) if value in enum.values() else str(value)


def _eds_source(config: Any, name: str) -> str | None:
    """The file with the endpoints; None if they come from the same server as the cluster."""
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
    _check_fields(config, ("slow_start_config", "choice_count", "active_request_bias"), {}, name, which)
    return _ms(config.slow_start_config.slow_start_window)


def _thresholds(breakers: Any, name: str, notes: list[str]) -> Thresholds:
    _check_fields(
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
                full_path = f"circuit_breakers.thresholds[{at}].{descriptor.name}"
                notes.append(f"{full_path}: nothing waits here, and the rules bound retries")
        return Thresholds(
            item.max_connections.value if item.HasField("max_connections") else None,
            item.max_requests.value if item.HasField("max_requests") else None,
        )
    return Thresholds()


def read_assignment(message: Any, name: str = "", parsed: ParsedByAssignment | None = None) -> Assignment:
    """Convert a `ClusterLoadAssignment` message. `name` is the default for its cluster name; `parsed` is the cache of
    parsed endpoints, which is updated."""
    name = message.cluster_name or name
    if not name:
        raise ResourceError("(unnamed endpoints)", "cluster_name", "is empty")
    notes = _check_fields(message, ("cluster_name", "endpoints", "named_endpoints", "policy"), {}, name, "")
    handled = ("drop_overloads", "overprovisioning_factor", "endpoint_stale_after")
    _check_fields(message.policy, handled, {}, name, "policy")
    entries: dict[Address, EndpointEntry] = {}
    previous: ParsedEndpoints = parsed.get(name, {}) if parsed is not None else {}
    current: ParsedEndpoints = {}
    for at, group in enumerate(message.endpoints):
        field_path = f"endpoints[{at}]"
        known = ("locality", "lb_endpoints", "load_balancing_weight", "priority")
        notes += _check_fields(group, known, IGNORED_ENDPOINT_FIELDS, name, field_path)
        if group.priority > MAX_PRIORITY:
            raise ResourceError(name, f"{field_path}.priority", f"{group.priority} is over {MAX_PRIORITY}")
        group_key = f"{group.priority} {group.load_balancing_weight.value} {group.locality}".encode()
        for number, item in enumerate(group.lb_endpoints):
            key = group_key + item.SerializeToString()
            parsed_entry = previous.get(key) if not item.endpoint_name else None
            if parsed_entry is None:
                new_notes: list[str] = []
                full_path = f"{field_path}.lb_endpoints[{number}]"
                parsed_entry = (
                    _entry(item, group, message.named_endpoints, name, full_path, new_notes),
                    tuple(new_notes),
                )
            current[key] = parsed_entry
            entry, entry_notes = parsed_entry
            notes += entry_notes
            if entry.endpoint in entries:
                full_path = f"{field_path}.lb_endpoints[{number}]"
                # It would have two weights, priorities and health states, and proxies differ on which applies.
                host_port = f"{entry.endpoint[0]}:{entry.endpoint[1]}"
                raise ResourceError(name, full_path, f"{host_port} stands twice in these endpoints")
            entries[entry.endpoint] = entry
    if parsed is not None:
        parsed[name] = current
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
    """The total share of requests dropped, as the categories apply one after another."""
    passed = 1.0
    for at, item in enumerate(policy.drop_overloads):
        field_path = f"policy.drop_overloads[{at}]"
        share = item.drop_percentage.numerator / FRACTION_DENOMINATORS.get(
            item.drop_percentage.denominator, 0.5
        )
        if not item.category or share > 1.0:
            raise ResourceError(name, field_path, "has no category, or more than all of it")
        passed *= 1.0 - share
    return 1.0 - passed


def _entry(item: Any, group: Any, named: Any, name: str, field_path: str, notes: list[str]) -> EndpointEntry:
    known = ("endpoint", "endpoint_name", "health_status", "load_balancing_weight")
    notes += _check_fields(item, known, IGNORED_ENDPOINT_FIELDS, name, field_path)
    which = item.WhichOneof("host_identifier")
    if which == "endpoint_name":
        if item.endpoint_name not in named:
            raise ResourceError(
                name, f"{field_path}.endpoint_name", f"{item.endpoint_name!r} is not a named endpoint"
            )
        endpoint = named[item.endpoint_name]
    elif which == "endpoint":
        endpoint = item.endpoint
    else:
        raise ResourceError(name, field_path, "has no endpoint")
    notes += _check_fields(endpoint, ("address",), IGNORED_ENDPOINT_FIELDS, name, f"{field_path}.endpoint")
    address = _address(endpoint.address, name, f"{field_path}.endpoint.address")
    if item.health_status not in HEALTH_STATES:
        raise ResourceError(name, f"{field_path}.health_status", f"{item.health_status} is not known")
    locality = group.locality
    server = Server(
        address=f"{address[0]}:{address[1]}",
        zone=locality.zone,
        state=HEALTH_STATES[item.health_status],
        weight=float(item.load_balancing_weight.value) if item.HasField("load_balancing_weight") else 1.0,
        priority=group.priority,
        locality=f"{locality.region}/{locality.zone}/{locality.sub_zone}",
        # By the API definition, a locality without a weight gets no requests when localities are weighted.
        locality_weight=float(group.load_balancing_weight.value),
    )
    return EndpointEntry(server, address)


def _address(address: Any, name: str, field_path: str) -> Address:
    if address.WhichOneof("address") != "socket_address":
        raise ResourceError(name, field_path, "is not a socket_address")
    socket_address = address.socket_address
    if (
        socket_address.protocol != 0
        or socket_address.resolver_name
        or socket_address.WhichOneof("port_specifier") != "port_value"
    ):
        raise ResourceError(name, f"{field_path}.socket_address", "is not TCP with a port_value")
    try:
        host = str(ipaddress.ip_address(socket_address.address))
    except ValueError:
        raise ResourceError(
            name, f"{field_path}.socket_address.address", f"{socket_address.address!r} is not an IP address"
        ) from None
    if not 0 < socket_address.port_value < 65536:
        raise ResourceError(
            name, f"{field_path}.socket_address.port_value", f"{socket_address.port_value} is not a port"
        )
    return host, socket_address.port_value
