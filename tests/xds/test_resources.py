"""Clusters and endpoints: handled fields, ignored fields, and fields that cause a rejection by name and path."""

from __future__ import annotations

import contextlib

import pytest
from envoy.config.cluster.v3 import cluster_pb2
from envoy.config.endpoint.v3 import endpoint_pb2
from google.protobuf import any_pb2, json_format
from hypothesis import given, settings
from hypothesis import strategies as st

from loadbalancer.interface import Levels, ServerState
from loadbalancer.xds.resources import (
    CLUSTER,
    ENDPOINTS,
    Assignment,
    Cluster,
    Kind,
    ResourceError,
    from_any,
    membership,
    read_assignment,
    read_cluster,
)


def cluster(**data) -> Cluster:
    data = {"name": "ledger", "type": "EDS", "eds_cluster_config": {"eds_config": {"ads": {}}}} | data
    message = cluster_pb2.Cluster()
    json_format.ParseDict({key: value for key, value in data.items() if value is not None}, message)
    return read_cluster(message)


def endpoint(port: int = 7001, host: str = "127.0.0.1", **more) -> dict:
    return {"endpoint": {"address": {"socket_address": {"address": host, "port_value": port}}}} | more


def assignment(*groups: dict, **more) -> Assignment:
    message = endpoint_pb2.ClusterLoadAssignment()
    json_format.ParseDict({"cluster_name": "ledger", "endpoints": list(groups)} | more, message)
    return read_assignment(message)


def group(*endpoints: dict, **more) -> dict:
    return {"lb_endpoints": list(endpoints)} | more


@pytest.mark.parametrize(
    ("status", "state"),
    [
        (None, ServerState.UP),
        ("UNKNOWN", ServerState.UP),
        ("HEALTHY", ServerState.UP),
        ("UNHEALTHY", ServerState.SICK),
        ("DRAINING", ServerState.DRAINING),
        ("TIMEOUT", ServerState.SICK),
        ("DEGRADED", ServerState.DEGRADED),
    ],
)
def test_each_health_status_maps_to_a_state(status, state):
    more = {"health_status": status} if status else {}
    (entry,) = assignment(group(endpoint(**more))).entries
    assert entry.server.state is state


def test_an_endpoint_has_address_weight_level_and_locality():
    found = assignment(
        group(
            endpoint(7001, load_balancing_weight=3),
            endpoint(7002, "::1"),
            locality={"region": "tz", "zone": "arusha", "sub_zone": "a"},
            load_balancing_weight=5,
            priority=2,
        )
    )
    first, second = found.entries
    assert first.endpoint == ("127.0.0.1", 7001)
    assert second.endpoint == ("::1", 7002)
    assert (first.server.weight, second.server.weight) == (3.0, 1.0)
    assert {(entry.server.zone, entry.server.priority) for entry in found.entries} == {("arusha", 2)}
    assert (first.server.locality, first.server.locality_weight) == ("tz/arusha/a", 5.0)


def test_the_policy_of_endpoints_is_read():
    drops = [
        {"category": "all", "drop_percentage": {"numerator": 50, "denominator": "HUNDRED"}},
        {"category": "more", "drop_percentage": {"numerator": 2000, "denominator": "TEN_THOUSAND"}},
    ]
    policy = {"drop_overloads": drops, "overprovisioning_factor": 200, "endpoint_stale_after": "1.5s"}
    found = assignment(group(endpoint()), policy=policy)
    assert found.drop_share == pytest.approx(1 - 0.5 * 0.8)
    assert (found.overprovisioning, found.stale_after_ms) == (2.0, 1500.0)


def test_named_endpoints_are_resolved():
    named = {"box": endpoint(7009)["endpoint"]}
    found = assignment(group({"endpoint_name": "box", "health_status": "DRAINING"}), named_endpoints=named)
    assert (found.entries[0].endpoint, found.entries[0].server.state) == (
        ("127.0.0.1", 7009),
        ServerState.DRAINING,
    )


def test_the_fields_of_a_cluster_are_read():
    found = cluster(
        connect_timeout="0.250s",
        lb_policy="LEAST_REQUEST",
        least_request_lb_config={"slow_start_config": {"slow_start_window": "20s"}},
        common_lb_config={"healthy_panic_threshold": {"value": 20}, "locality_weighted_lb_config": {}},
        circuit_breakers={"thresholds": [{"max_connections": 40, "max_requests": 90, "max_retries": 3}]},
        eds_cluster_config={
            "service_name": "other",
            "eds_config": {"path_config_source": {"path": "/x.yaml"}},
        },
        outlier_detection={},
        alt_stat_name="ledger_stats",
    )
    assert (found.kind, found.service, found.eds_path) == (Kind.EDS, "other", "/x.yaml")
    assert (found.connect_timeout_ms, found.panic_threshold, found.weigh_localities, found.warm_up_ms) == (
        250.0,
        0.2,
        True,
        20000.0,
    )
    assert (found.thresholds.max_connections, found.thresholds.max_requests) == (40, 90)
    notes = " ".join(found.notes)
    for field_name in ("outlier_detection", "alt_stat_name", "max_retries", "lb_policy"):
        assert field_name in notes


def test_localities_are_weighted_only_if_the_cluster_enables_it():
    found = assignment(group(endpoint(), load_balancing_weight=5))
    plain, levels = membership(cluster(), found)
    assert plain[0].server.locality_weight is None
    assert levels == Levels()
    weighted, _ = membership(cluster(common_lb_config={"locality_weighted_lb_config": {}}), found)
    assert weighted[0].server.locality_weight == 5.0


SOCKET = {"address": "127.0.0.1", "port_value": 7001}
SOCKET_PATH = "endpoints[0].lb_endpoints[0].endpoint.address.socket_address"
OVER_100_PERCENT = {"category": "a", "drop_percentage": {"numerator": 101}}


@pytest.mark.parametrize(
    ("change", "field_path"),
    [
        ({"name": ""}, "name"),
        ({"type": "STRICT_DNS"}, "type"),
        ({"type": "LOGICAL_DNS"}, "type"),
        ({"type": "ORIGINAL_DST"}, "type"),
        ({"type": "STATIC", "eds_cluster_config": None}, "load_assignment"),
        ({"load_assignment": {"cluster_name": "x"}}, "load_assignment"),
        ({"lb_policy": "RING_HASH"}, "lb_policy"),
        ({"lb_policy": "MAGLEV"}, "lb_policy"),
        ({"lb_policy": "CLUSTER_PROVIDED"}, "lb_policy"),
        ({"load_balancing_policy": {"policies": []}}, "load_balancing_policy"),
        ({"connect_timeout": "0s"}, "connect_timeout"),
        ({"health_checks": [{"timeout": "1s"}]}, "health_checks"),
        ({"transport_socket": {"name": "tls"}}, "transport_socket"),
        ({"http2_protocol_options": {}}, "http2_protocol_options"),
        ({"lb_subset_config": {}}, "lb_subset_config"),
        ({"max_requests_per_connection": 3}, "max_requests_per_connection"),
        ({"upstream_bind_config": {}}, "upstream_bind_config"),
        (
            {"common_lb_config": {"consistent_hashing_lb_config": {}}},
            "common_lb_config.consistent_hashing_lb_config",
        ),
        (
            {"common_lb_config": {"healthy_panic_threshold": {"value": 101}}},
            "common_lb_config.healthy_panic_threshold",
        ),
        ({"cluster_type": {"name": "x"}, "type": None}, "cluster_type"),
    ],
)
def test_an_unsupported_cluster_is_rejected_by_name_and_field(change, field_path):
    with pytest.raises(ResourceError) as caught:
        cluster(**change)
    assert caught.value.field_path == field_path
    assert caught.value.resource in ("ledger", "(unnamed cluster)")


@pytest.mark.parametrize(
    ("groups", "more", "field_path"),
    [
        ([group(endpoint(0))], {}, f"{SOCKET_PATH}.port_value"),
        ([group(endpoint(1, "box.example"))], {}, f"{SOCKET_PATH}.address"),
        (
            [group({"endpoint": {"address": {"socket_address": SOCKET | {"protocol": "UDP"}}}})],
            {},
            "endpoints[0].lb_endpoints[0].endpoint.address.socket_address",
        ),
        (
            [group({"endpoint": {"address": {"pipe": {"path": "/x"}}}})],
            {},
            "endpoints[0].lb_endpoints[0].endpoint.address",
        ),
        ([group({})], {}, "endpoints[0].lb_endpoints[0]"),
        ([group({"endpoint_name": "none"})], {}, "endpoints[0].lb_endpoints[0].endpoint_name"),
        ([group(endpoint(1), endpoint(1))], {}, "endpoints[0].lb_endpoints[1]"),
        ([group(endpoint(1)), group(endpoint(1), priority=1)], {}, "endpoints[1].lb_endpoints[0]"),
        ([group(endpoint(1), priority=129)], {}, "endpoints[0].priority"),
        ([group(leds_cluster_locality_config={})], {}, "endpoints[0].leds_cluster_locality_config"),
        ([], {"policy": {"overprovisioning_factor": 0}}, "policy.overprovisioning_factor"),
        ([], {"policy": {"weighted_priority_health": True}}, "policy.weighted_priority_health"),
        ([], {"policy": {"drop_overloads": [OVER_100_PERCENT]}}, "policy.drop_overloads[0]"),
        ([], {"cluster_name": ""}, "cluster_name"),
    ],
)  # fmt: skip
def test_invalid_endpoints_are_rejected_by_the_path_of_the_field(groups, more, field_path):
    with pytest.raises(ResourceError) as caught:
        assignment(*groups, **more)
    assert caught.value.field_path == field_path


def test_a_static_cluster_contains_its_endpoints():
    found = cluster(
        type="STATIC", eds_cluster_config=None, load_assignment={"endpoints": [group(endpoint(7005))]}
    )
    assert found.kind is Kind.STATIC
    assert found.assignment is not None
    assert found.assignment.entries[0].endpoint == ("127.0.0.1", 7005)


def test_a_resource_of_another_type_is_rejected():
    with pytest.raises(ResourceError, match="not a cluster or endpoints"):
        from_any(any_pb2.Any(type_url="type.googleapis.com/envoy.config.listener.v3.Listener"))


GOOD = endpoint_pb2.ClusterLoadAssignment()
json_format.ParseDict(
    {
        "cluster_name": "ledger",
        "endpoints": [group(endpoint(at, load_balancing_weight=at)) for at in range(1, 9)],
    },
    GOOD,
)


@settings(max_examples=1500)
@given(st.data())
def test_corrupted_bytes_are_a_resource_or_one_clear_error(data):
    """Nothing else may come of them: another error would end the stream's task."""
    raw = bytearray(GOOD.SerializeToString())
    for _ in range(data.draw(st.integers(1, 6))):
        at = data.draw(st.integers(0, len(raw) - 1))
        if data.draw(st.booleans()):
            raw[at] = data.draw(st.integers(0, 255))
        else:
            del raw[at : at + data.draw(st.integers(1, 9))]
            raw = raw or bytearray(b"\x00")
    for type_url in (ENDPOINTS, CLUSTER):
        with contextlib.suppress(ResourceError):
            found = from_any(any_pb2.Any(type_url=type_url, value=bytes(raw)))
            assert isinstance(found, Assignment | Cluster)
