"""The xDS transport protocol without I/O. Docstrings name the section of the published description that is covered."""

from __future__ import annotations

import contextlib
from typing import Any

import pytest
from envoy.service.discovery.v3 import discovery_pb2
from google.protobuf import any_pb2
from google.protobuf.message import DecodeError
from hypothesis import given, settings
from hypothesis import strategies as st

from loadbalancer.emulator.xds import CLUSTER, ENDPOINTS, cluster, endpoints
from loadbalancer.interface import ServerState
from loadbalancer.xds.protocol import FIRST_BACKOFF_S, INITIAL_FETCH_TIMEOUT_MS, MAX_BACKOFF_S, XdsClient

A, B = {"address": "127.0.0.1:7001"}, {"address": "127.0.0.1:7002"}
BAD = cluster("bad", lb_policy="MAGLEV")


class Bed:
    """A client, its clock, and the requests that it returned last."""

    def __init__(self, delta: bool, *names: str) -> None:
        self.delta, self.now, self.nonce = delta, 1000.0, 0
        self.client = XdsClient("n0", names or ("ledger",), delta)
        self.requests: list[Any] = []
        self.open()

    def open(self) -> None:
        self.requests = self.client.opened()

    def respond(
        self, type_url: str, *resources: any_pb2.Any, version: str = "1", removed=(), names=None
    ) -> list[Any]:
        self.nonce += 1
        nonce = f"n{self.nonce}"
        if self.delta:
            items = []
            for at, resource in enumerate(resources):
                name = names[at] if names else name_of(resource)
                items.append(discovery_pb2.Resource(name=name, version=version, resource=resource))
            response = discovery_pb2.DeltaDiscoveryResponse(
                type_url=type_url, nonce=nonce, resources=items, removed_resources=removed
            )
        else:
            response = discovery_pb2.DiscoveryResponse(
                type_url=type_url, nonce=nonce, version_info=version, resources=resources
            )
        self.requests = self.client.received(self.now, response)
        return self.requests

    def serve(self, *rows: dict[str, Any]) -> None:
        self.respond(CLUSTER, cluster("ledger"))
        self.respond(ENDPOINTS, endpoints("ledger", *rows))

    def addresses(self, name: str = "ledger") -> list[str] | None:
        served = self.client.served(name)
        return None if served is None else [entry.server.address for entry in served.entries]

    def status_of(self, name: str) -> dict[str, Any]:
        return next(row for row in self.client.rows(self.now) if row["name"] == name)


def name_of(resource: any_pb2.Any) -> str:
    from envoy.config.cluster.v3 import cluster_pb2
    from envoy.config.endpoint.v3 import endpoint_pb2

    if resource.type_url == CLUSTER:
        return cluster_pb2.Cluster.FromString(resource.value).name
    return endpoint_pb2.ClusterLoadAssignment.FromString(resource.value).cluster_name


BOTH_VARIANTS = pytest.mark.parametrize("delta", [False, True], ids=["state-of-the-world", "incremental"])


@BOTH_VARIANTS
def test_the_first_request_names_node_type_and_resources(delta):
    """ "Subscribing to Resources", "Incremental xDS"."""
    bed = Bed(delta)
    (request,) = bed.requests
    assert (request.node.id, request.type_url, request.response_nonce) == ("n0", CLUSTER, "")
    names = request.resource_names_subscribe if delta else request.resource_names
    assert list(names) == ["ledger"]


@BOTH_VARIANTS
def test_a_response_is_acknowledged_by_its_nonce_and_the_node_is_sent_once(delta):
    """ "ACK"."""
    bed = Bed(delta)
    ack, subscription_request = bed.respond(CLUSTER, cluster("ledger"), version="7")
    assert (ack.response_nonce, ack.HasField("error_detail"), ack.HasField("node")) == ("n1", False, False)
    assert delta or ack.version_info == "7"
    assert subscription_request.type_url == ENDPOINTS
    assert list(
        subscription_request.resource_names_subscribe if delta else subscription_request.resource_names
    ) == ["ledger"]
    assert subscription_request.response_nonce == ""


@BOTH_VARIANTS
def test_a_rejection_names_resource_and_field_and_keeps_the_last_version(delta):
    """ "NACK"."""
    bed = Bed(delta)
    bed.serve(A)
    (nack,) = bed.respond(CLUSTER, cluster("ledger", lb_policy="RING_HASH"), version="2")
    assert nack.response_nonce == "n3"
    assert "ledger: lb_policy: RING_HASH" in nack.error_detail.message
    assert delta or nack.version_info == "1"
    assert bed.addresses() == ["127.0.0.1:7001"]
    assert "lb_policy" in bed.status_of("ledger")["rejected"]
    assert bed.status_of("ledger")["version"] == "1"
    bed.respond(CLUSTER, cluster("ledger"), version="3")
    assert (bed.status_of("ledger")["rejected"], bed.status_of("ledger")["version"]) == (None, "3")


@BOTH_VARIANTS
def test_one_bad_resource_is_rejected_and_the_others_are_accepted(delta):
    """ "NACK": the good ones may be used."""
    names = [f"c{at}" for at in range(100)]
    bed = Bed(delta, *names, "bad")
    nack, subscription_request = bed.respond(
        CLUSTER, *(cluster(name) for name in names[:50]), BAD, *map(cluster, names[50:])
    )
    assert nack.error_detail.message.startswith("bad: lb_policy")
    assert nack.error_detail.message.count(";") == 0
    assert (
        len(subscription_request.resource_names_subscribe if delta else subscription_request.resource_names)
        == 100
    )


@BOTH_VARIANTS
def test_a_cluster_is_activated_once_its_endpoints_have_arrived(delta):
    """ "Resource warming"."""
    bed = Bed(delta)
    bed.respond(CLUSTER, cluster("ledger"))
    assert bed.addresses() is None
    bed.respond(ENDPOINTS, endpoints("ledger", A, B))
    assert bed.addresses() == ["127.0.0.1:7001", "127.0.0.1:7002"]


@BOTH_VARIANTS
def test_waiting_for_endpoints_ends_at_the_initial_fetch_timeout(delta):
    """`initial_fetch_timeout` of a config source."""
    bed = Bed(delta)
    bed.respond(CLUSTER, cluster("ledger"))
    assert not bed.client.tick(bed.now + INITIAL_FETCH_TIMEOUT_MS - 1)
    assert bed.client.tick(bed.now + INITIAL_FETCH_TIMEOUT_MS)
    assert bed.addresses() == []


@BOTH_VARIANTS
def test_old_endpoints_are_dropped_only_when_the_new_ones_have_arrived(delta):
    """ "Eventual consistency considerations": make before break."""
    bed = Bed(delta)
    bed.serve(A)
    moved = cluster("ledger", eds_cluster_config={"service_name": "new", "eds_config": {"ads": {}}})
    _, extended = bed.respond(CLUSTER, moved, version="2")
    if delta:
        assert (list(extended.resource_names_subscribe), list(extended.resource_names_unsubscribe)) == (
            ["new"],
            [],
        )
    else:
        assert list(extended.resource_names) == ["ledger", "new"]
    assert bed.addresses() == ["127.0.0.1:7001"]
    bed.respond(ENDPOINTS, endpoints("ledger", A | {"health_status": "DRAINING"}), version="2")
    served = bed.client.served("ledger")
    assert served is not None
    assert served.entries[0].server.state is ServerState.DRAINING  # a drain takes effect meanwhile
    _, reduced = bed.respond(ENDPOINTS, endpoints("new", B), version="3")
    assert bed.addresses() == ["127.0.0.1:7002"]
    assert list(reduced.resource_names_unsubscribe if delta else reduced.resource_names) == (
        ["ledger"] if delta else ["new"]
    )


def test_a_cluster_absent_from_a_state_of_the_world_response_is_removed():
    """ "Deleting Resources": a cluster absent from a response is gone."""
    bed = Bed(False, "ledger", "other")
    bed.respond(CLUSTER, cluster("ledger"), cluster("other"))
    bed.respond(ENDPOINTS, endpoints("ledger", A), endpoints("other", B))
    bed.respond(CLUSTER, cluster("other"), version="2")
    assert (bed.addresses(), bed.addresses("other")) == ([], ["127.0.0.1:7002"])


def test_endpoints_absent_from_a_state_of_the_world_response_stay():
    """ "Deleting Resources": endpoints absent from a response stay."""
    bed = Bed(False, "ledger", "other")
    bed.respond(CLUSTER, cluster("ledger"), cluster("other"))
    bed.respond(ENDPOINTS, endpoints("ledger", A), endpoints("other", B))
    bed.respond(ENDPOINTS, endpoints("other", A), version="2")
    assert (bed.addresses(), bed.addresses("other")) == (["127.0.0.1:7001"], ["127.0.0.1:7001"])


def test_a_rejected_cluster_in_a_state_of_the_world_response_is_not_removed():
    bed = Bed(False, "ledger")
    bed.serve(A)
    bed.respond(CLUSTER, cluster("ledger", lb_policy="MAGLEV"), version="2")
    assert bed.addresses() == ["127.0.0.1:7001"]
    bed.respond(CLUSTER, any_pb2.Any(type_url=CLUSTER, value=b"\xff\xff\xff"), version="3")
    assert bed.addresses() == ["127.0.0.1:7001"]


@pytest.mark.parametrize("type_url", [CLUSTER, ENDPOINTS])
def test_incremental_removal_is_immediate_and_idempotent(type_url):
    """ "Incremental xDS": removed_resources; removing an unknown resource is not an error."""
    bed = Bed(True)
    bed.serve(A)
    bed.respond(type_url, removed=["ledger"])
    assert bed.addresses() == []
    (ack, *_) = bed.respond(type_url, removed=["ledger", "never-heard-of"])
    assert not ack.HasField("error_detail")
    bed.serve(B)
    assert bed.addresses() == ["127.0.0.1:7002"]


def test_a_repeated_incremental_update_changes_nothing():
    bed = Bed(True)
    bed.serve(A)
    for _ in range(2):
        bed.respond(ENDPOINTS, endpoints("ledger", B), version="2")
        assert bed.addresses() == ["127.0.0.1:7002"]


def test_the_last_incremental_update_counts_whatever_its_version():
    """ "Incremental xDS": versions are opaque and a stream is ordered, so the last update counts; each one is
    acknowledged with its own nonce."""
    bed = Bed(True)
    bed.serve(A)
    nonces = []
    for version, row in (("3", B), ("2", A), ("3", B)):
        (ack,) = bed.respond(ENDPOINTS, endpoints("ledger", row), version=version)
        nonces.append(ack.response_nonce)
        assert bed.addresses() == [row["address"]]
        assert bed.status_of("ledger")["name"] == "ledger"
    assert len(set(nonces)) == 3
    # Endpoints that arrive after the removal of their cluster do not bring it back.
    bed.respond(CLUSTER, removed=["ledger"])
    bed.respond(ENDPOINTS, endpoints("ledger", A), version="4")
    assert bed.addresses() == []
    bed.respond(CLUSTER, cluster("ledger"), version="5")
    bed.respond(ENDPOINTS, endpoints("ledger", A), version="5")
    assert bed.addresses() == ["127.0.0.1:7001"]


def test_a_new_incremental_stream_sends_the_accepted_versions():
    """ "Incremental xDS": initial_resource_versions."""
    bed = Bed(True)
    bed.serve(A)
    bed.client.closed()
    bed.open()
    first, second = bed.requests
    assert dict(first.initial_resource_versions) == {"ledger": "1"}
    assert dict(second.initial_resource_versions) == {"ledger": "1"}
    assert (first.node.id, second.HasField("node")) == ("n0", False)
    assert first.response_nonce == second.response_nonce == ""
    assert bed.addresses() == ["127.0.0.1:7001"]


def test_a_new_state_of_the_world_stream_sends_the_version_and_no_nonce():
    """ "ACK and NACK": a nonce is valid on one stream only."""
    bed = Bed(False)
    bed.serve(A)
    bed.client.closed()
    bed.open()
    assert [(request.version_info, request.response_nonce) for request in bed.requests] == [
        ("1", ""),
        ("1", ""),
    ]


@BOTH_VARIANTS
def test_a_control_plane_that_restarts_its_versions_is_accepted(delta):
    bed = Bed(delta)
    bed.respond(CLUSTER, cluster("ledger"), version="900")
    bed.respond(ENDPOINTS, endpoints("ledger", A), version="900")
    bed.client.closed()
    bed.open()
    bed.respond(CLUSTER, cluster("ledger"), version="1")
    bed.respond(ENDPOINTS, endpoints("ledger", B), version="1")
    assert bed.addresses() == ["127.0.0.1:7002"]


@BOTH_VARIANTS
def test_subscriptions_change_by_name_and_unsubscribed_clusters_are_forgotten(delta):
    """ "Unsubscribing From Resources"."""
    bed = Bed(delta, "one", "two")
    bed.respond(CLUSTER, cluster("one"), cluster("two"))
    bed.respond(ENDPOINTS, endpoints("one", A), endpoints("two", B))
    first, second = bed.client.subscribe(["two", "three"])
    if delta:
        assert list(first.resource_names_subscribe) == ["three"]
        assert list(first.resource_names_unsubscribe) == list(second.resource_names_unsubscribe) == ["one"]
    else:
        assert list(first.resource_names) == ["three", "two"]
        assert list(second.resource_names) == ["two"]
    assert bed.addresses("one") is None
    assert bed.addresses("two") == ["127.0.0.1:7002"]
    assert bed.client.subscribe(["two", "three"]) == []


@BOTH_VARIANTS
def test_resources_that_were_not_requested_are_ignored(delta):
    bed = Bed(delta)
    (ack, _) = bed.respond(CLUSTER, cluster("ledger"), cluster("uninvited"))
    assert not ack.HasField("error_detail")
    assert [row["name"] for row in bed.client.rows(bed.now)] == ["ledger"]


@BOTH_VARIANTS
def test_a_resource_of_another_type_or_name_is_rejected(delta):
    bed = Bed(delta)
    (nack, *_) = bed.respond(CLUSTER, endpoints("ledger", A))
    assert "another type" in nack.error_detail.message
    if delta:
        (nack, *_) = bed.respond(CLUSTER, cluster("ledger"), names=["else"])
        assert "'ledger'" in nack.error_detail.message


@BOTH_VARIANTS
def test_a_response_of_a_type_that_was_not_requested_is_not_acknowledged(delta):
    bed = Bed(delta)
    assert bed.respond("type.googleapis.com/envoy.config.listener.v3.Listener") == []
    assert bed.respond(ENDPOINTS, endpoints("ledger", A)) == []


@BOTH_VARIANTS
def test_an_update_that_empties_a_pool_is_applied(delta):
    """Keeping removed servers would break a drain; admission rejects requests that have no server."""
    bed = Bed(delta)
    bed.serve(A, B)
    bed.respond(ENDPOINTS, endpoints("ledger"), version="2")
    assert bed.addresses() == []


def test_reconnecting_backs_off_with_jitter_and_a_response_resets_the_backoff():
    backoffs = []
    for seed in range(200):
        client = XdsClient("n0", ["x"], False, seed)
        client.opened()
        backoffs.append([client.closed() for _ in range(10)])
    for at in range(10):
        max_backoff_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2.0**at)
        column = [row[at] for row in backoffs]
        assert all(max_backoff_s / 2 <= backoff_s <= max_backoff_s for backoff_s in column)
        assert max(column) - min(column) > max_backoff_s / 4  # nodes don't reconnect at the same time
    bed = Bed(False)
    for _ in range(5):
        bed.client.closed()
    bed.open()
    bed.serve(A)
    assert bed.client.closed() <= FIRST_BACKOFF_S


GOOD = discovery_pb2.DeltaDiscoveryResponse(
    type_url=ENDPOINTS,
    nonce="x",
    resources=[discovery_pb2.Resource(name="ledger", version="9", resource=endpoints("ledger", A, B))],
).SerializeToString()


@settings(max_examples=1000)
@given(st.data())
def test_corrupted_responses_raise_nothing_and_leave_the_last_good_list_or_a_valid_one(data):
    bed = Bed(True)
    bed.serve(A)
    raw = bytearray(GOOD)
    for _ in range(data.draw(st.integers(1, 5))):
        raw[data.draw(st.integers(0, len(raw) - 1))] = data.draw(st.integers(0, 255))
    with contextlib.suppress(DecodeError):  # which ends the stream
        response = discovery_pb2.DeltaDiscoveryResponse.FromString(bytes(raw))
        requests = bed.client.received(bed.now, response)
        rejected = any(request.HasField("error_detail") for request in requests)
        served = bed.addresses()
        assert served is not None
        if rejected and "ledger" not in response.removed_resources:
            assert served == ["127.0.0.1:7001"]
