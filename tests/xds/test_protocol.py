"""The transport protocol, without I/O. Each test names the section of the published description that it covers."""

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
from loadbalancer.xds.protocol import FIRST_WAIT_S, INITIAL_FETCH_MS, LONGEST_WAIT_S, XdsClient

A, B = {"address": "127.0.0.1:7001"}, {"address": "127.0.0.1:7002"}
BAD = cluster("bad", lb_policy="MAGLEV")


class Bed:
    """A client, a clock, and what it asked last."""

    def __init__(self, delta: bool, *names: str) -> None:
        self.delta, self.now, self.nonce = delta, 1000.0, 0
        self.client = XdsClient("n0", names or ("ledger",), delta)
        self.asked: list[Any] = []
        self.open()

    def open(self) -> None:
        self.asked = self.client.opened()

    def give(
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
        self.asked = self.client.received(self.now, response)
        return self.asked

    def serve(self, *rows: dict[str, Any]) -> None:
        self.give(CLUSTER, cluster("ledger"))
        self.give(ENDPOINTS, endpoints("ledger", *rows))

    def addresses(self, name: str = "ledger") -> list[str] | None:
        served = self.client.served(name)
        return None if served is None else [entry.server.address for entry in served.entries]

    def held(self, name: str) -> dict[str, Any]:
        return next(row for row in self.client.rows(self.now) if row["name"] == name)


def name_of(resource: any_pb2.Any) -> str:
    from envoy.config.cluster.v3 import cluster_pb2
    from envoy.config.endpoint.v3 import endpoint_pb2

    if resource.type_url == CLUSTER:
        return cluster_pb2.Cluster.FromString(resource.value).name
    return endpoint_pb2.ClusterLoadAssignment.FromString(resource.value).cluster_name


BOTH = pytest.mark.parametrize("delta", [False, True], ids=["state-of-the-world", "incremental"])


@BOTH
def test_the_first_request_names_node_type_and_resources(delta):
    """ "Subscribing to Resources", "Incremental xDS"."""
    bed = Bed(delta)
    (request,) = bed.asked
    assert (request.node.id, request.type_url, request.response_nonce) == ("n0", CLUSTER, "")
    names = request.resource_names_subscribe if delta else request.resource_names
    assert list(names) == ["ledger"]


@BOTH
def test_a_response_is_acknowledged_by_its_nonce_and_the_node_is_sent_once(delta):
    """ "ACK"."""
    bed = Bed(delta)
    ack, follow = bed.give(CLUSTER, cluster("ledger"), version="7")
    assert (ack.response_nonce, ack.HasField("error_detail"), ack.HasField("node")) == ("n1", False, False)
    assert delta or ack.version_info == "7"
    assert follow.type_url == ENDPOINTS
    assert list(follow.resource_names_subscribe if delta else follow.resource_names) == ["ledger"]
    assert follow.response_nonce == ""


@BOTH
def test_a_rejection_names_resource_and_field_and_keeps_the_last_version(delta):
    """ "NACK"."""
    bed = Bed(delta)
    bed.serve(A)
    (nack,) = bed.give(CLUSTER, cluster("ledger", lb_policy="RING_HASH"), version="2")
    assert nack.response_nonce == "n3"
    assert "ledger: lb_policy: RING_HASH" in nack.error_detail.message
    assert delta or nack.version_info == "1"
    assert bed.addresses() == ["127.0.0.1:7001"]
    assert "lb_policy" in bed.held("ledger")["rejected"]
    assert bed.held("ledger")["version"] == "1"
    bed.give(CLUSTER, cluster("ledger"), version="3")
    assert (bed.held("ledger")["rejected"], bed.held("ledger")["version"]) == (None, "3")


@BOTH
def test_one_bad_resource_among_good_ones_is_rejected_and_the_others_are_taken(delta):
    """ "NACK": the good ones may be used."""
    names = [f"c{at}" for at in range(100)]
    bed = Bed(delta, *names, "bad")
    nack, follow = bed.give(CLUSTER, *(cluster(name) for name in names[:50]), BAD, *map(cluster, names[50:]))
    assert nack.error_detail.message.startswith("bad: lb_policy")
    assert nack.error_detail.message.count(";") == 0
    assert len(follow.resource_names_subscribe if delta else follow.resource_names) == 100


@BOTH
def test_a_cluster_serves_once_its_endpoints_have_come(delta):
    """ "Resource warming"."""
    bed = Bed(delta)
    bed.give(CLUSTER, cluster("ledger"))
    assert bed.addresses() is None
    bed.give(ENDPOINTS, endpoints("ledger", A, B))
    assert bed.addresses() == ["127.0.0.1:7001", "127.0.0.1:7002"]


@BOTH
def test_endpoints_that_do_not_come_are_not_waited_for_without_end(delta):
    """`initial_fetch_timeout` of a config source."""
    bed = Bed(delta)
    bed.give(CLUSTER, cluster("ledger"))
    assert not bed.client.tick(bed.now + INITIAL_FETCH_MS - 1)
    assert bed.client.tick(bed.now + INITIAL_FETCH_MS)
    assert bed.addresses() == []


@BOTH
def test_what_a_cluster_serves_from_goes_only_when_its_successor_is_there(delta):
    """ "Eventual consistency considerations": make before break."""
    bed = Bed(delta)
    bed.serve(A)
    moved = cluster("ledger", eds_cluster_config={"service_name": "new", "eds_config": {"ads": {}}})
    _, both = bed.give(CLUSTER, moved, version="2")
    if delta:
        assert (list(both.resource_names_subscribe), list(both.resource_names_unsubscribe)) == (["new"], [])
    else:
        assert list(both.resource_names) == ["ledger", "new"]
    assert bed.addresses() == ["127.0.0.1:7001"]
    bed.give(ENDPOINTS, endpoints("ledger", A | {"health_status": "DRAINING"}), version="2")
    served = bed.client.served("ledger")
    assert served is not None
    assert served.entries[0].server.state is ServerState.DRAINING  # a drain is heard meanwhile
    _, less = bed.give(ENDPOINTS, endpoints("new", B), version="3")
    assert bed.addresses() == ["127.0.0.1:7002"]
    assert list(less.resource_names_unsubscribe if delta else less.resource_names) == (
        ["ledger"] if delta else ["new"]
    )


def test_state_of_the_world_without_a_cluster_removes_it():
    """ "Deleting Resources": a cluster absent from a response is gone."""
    bed = Bed(False, "ledger", "other")
    bed.give(CLUSTER, cluster("ledger"), cluster("other"))
    bed.give(ENDPOINTS, endpoints("ledger", A), endpoints("other", B))
    bed.give(CLUSTER, cluster("other"), version="2")
    assert (bed.addresses(), bed.addresses("other")) == ([], ["127.0.0.1:7002"])


def test_state_of_the_world_without_endpoints_removes_none():
    """ "Deleting Resources": endpoints absent from a response stay."""
    bed = Bed(False, "ledger", "other")
    bed.give(CLUSTER, cluster("ledger"), cluster("other"))
    bed.give(ENDPOINTS, endpoints("ledger", A), endpoints("other", B))
    bed.give(ENDPOINTS, endpoints("other", A), version="2")
    assert (bed.addresses(), bed.addresses("other")) == (["127.0.0.1:7001"], ["127.0.0.1:7001"])


def test_a_bad_cluster_in_the_state_of_the_world_is_not_taken_for_removed():
    bed = Bed(False, "ledger")
    bed.serve(A)
    bed.give(CLUSTER, cluster("ledger", lb_policy="MAGLEV"), version="2")
    assert bed.addresses() == ["127.0.0.1:7001"]
    bed.give(CLUSTER, any_pb2.Any(type_url=CLUSTER, value=b"\xff\xff\xff"), version="3")
    assert bed.addresses() == ["127.0.0.1:7001"]


@pytest.mark.parametrize("type_url", [CLUSTER, ENDPOINTS])
def test_incremental_removal_takes_away_at_once_and_may_be_repeated(type_url):
    """ "Incremental xDS": removed_resources; one that is not held is no error."""
    bed = Bed(True)
    bed.serve(A)
    bed.give(type_url, removed=["ledger"])
    assert bed.addresses() == []
    (ack, *_) = bed.give(type_url, removed=["ledger", "never-heard-of"])
    assert not ack.HasField("error_detail")
    bed.serve(B)
    assert bed.addresses() == ["127.0.0.1:7002"]


def test_an_incremental_update_that_comes_twice_changes_nothing():
    bed = Bed(True)
    bed.serve(A)
    for _ in range(2):
        bed.give(ENDPOINTS, endpoints("ledger", B), version="2")
        assert bed.addresses() == ["127.0.0.1:7002"]


def test_incremental_updates_that_come_in_another_order_leave_the_last_word_in_force():
    """ "Incremental xDS": versions are opaque and a stream keeps its order, so the last word counts, and each of them
    is acknowledged by its own nonce."""
    bed = Bed(True)
    bed.serve(A)
    nonces = []
    for version, row in (("3", B), ("2", A), ("3", B)):
        (ack,) = bed.give(ENDPOINTS, endpoints("ledger", row), version=version)
        nonces.append(ack.response_nonce)
        assert bed.addresses() == [row["address"]]
        assert bed.held("ledger")["name"] == "ledger"
    assert len(set(nonces)) == 3
    # Removed before it was told, endpoints come as they are told, and the cluster's removal is kept.
    bed.give(CLUSTER, removed=["ledger"])
    bed.give(ENDPOINTS, endpoints("ledger", A), version="4")
    assert bed.addresses() == []
    bed.give(CLUSTER, cluster("ledger"), version="5")
    bed.give(ENDPOINTS, endpoints("ledger", A), version="5")
    assert bed.addresses() == ["127.0.0.1:7001"]


def test_a_new_incremental_stream_tells_what_is_held():
    """ "Incremental xDS": initial_resource_versions."""
    bed = Bed(True)
    bed.serve(A)
    bed.client.closed()
    bed.open()
    first, second = bed.asked
    assert dict(first.initial_resource_versions) == {"ledger": "1"}
    assert dict(second.initial_resource_versions) == {"ledger": "1"}
    assert (first.node.id, second.HasField("node")) == ("n0", False)
    assert first.response_nonce == second.response_nonce == ""
    assert bed.addresses() == ["127.0.0.1:7001"]


def test_a_new_stream_of_the_world_has_the_version_and_no_nonce():
    """ "ACK and NACK": nonces count on one stream."""
    bed = Bed(False)
    bed.serve(A)
    bed.client.closed()
    bed.open()
    assert [(request.version_info, request.response_nonce) for request in bed.asked] == [("1", ""), ("1", "")]


@BOTH
def test_a_control_plane_that_begins_its_versions_anew_is_followed(delta):
    bed = Bed(delta)
    bed.give(CLUSTER, cluster("ledger"), version="900")
    bed.give(ENDPOINTS, endpoints("ledger", A), version="900")
    bed.client.closed()
    bed.open()
    bed.give(CLUSTER, cluster("ledger"), version="1")
    bed.give(ENDPOINTS, endpoints("ledger", B), version="1")
    assert bed.addresses() == ["127.0.0.1:7002"]


@BOTH
def test_subscriptions_change_by_names_and_what_goes_is_forgotten(delta):
    """ "Unsubscribing From Resources"."""
    bed = Bed(delta, "one", "two")
    bed.give(CLUSTER, cluster("one"), cluster("two"))
    bed.give(ENDPOINTS, endpoints("one", A), endpoints("two", B))
    first, second = bed.client.want(["two", "three"])
    if delta:
        assert list(first.resource_names_subscribe) == ["three"]
        assert list(first.resource_names_unsubscribe) == list(second.resource_names_unsubscribe) == ["one"]
    else:
        assert list(first.resource_names) == ["three", "two"]
        assert list(second.resource_names) == ["two"]
    assert bed.addresses("one") is None
    assert bed.addresses("two") == ["127.0.0.1:7002"]
    assert bed.client.want(["two", "three"]) == []


@BOTH
def test_more_than_was_asked_for_is_left(delta):
    bed = Bed(delta)
    (ack, _) = bed.give(CLUSTER, cluster("ledger"), cluster("uninvited"))
    assert not ack.HasField("error_detail")
    assert [row["name"] for row in bed.client.rows(bed.now)] == ["ledger"]


@BOTH
def test_a_resource_of_another_type_or_name_is_rejected(delta):
    bed = Bed(delta)
    (nack, *_) = bed.give(CLUSTER, endpoints("ledger", A))
    assert "another type" in nack.error_detail.message
    if delta:
        (nack, *_) = bed.give(CLUSTER, cluster("ledger"), names=["else"])
        assert "'ledger'" in nack.error_detail.message


@BOTH
def test_a_response_of_a_type_that_was_not_asked_for_is_not_answered(delta):
    bed = Bed(delta)
    assert bed.give("type.googleapis.com/envoy.config.listener.v3.Listener") == []
    assert bed.give(ENDPOINTS, endpoints("ledger", A)) == []


@BOTH
def test_an_update_that_empties_a_pool_is_taken(delta):
    """It is the control plane's word, and a drain is kept; admission refuses what is left without a server."""
    bed = Bed(delta)
    bed.serve(A, B)
    bed.give(ENDPOINTS, endpoints("ledger"), version="2")
    assert bed.addresses() == []


def test_reconnecting_backs_off_with_jitter_and_begins_anew_after_news():
    waits = []
    for seed in range(200):
        client = XdsClient("n0", ["x"], False, seed)
        client.opened()
        waits.append([client.closed() for _ in range(10)])
    for at in range(10):
        longest = min(LONGEST_WAIT_S, FIRST_WAIT_S * 2.0**at)
        column = [row[at] for row in waits]
        assert all(longest / 2 <= wait <= longest for wait in column)
        assert max(column) - min(column) > longest / 4  # nodes do not come back together
    bed = Bed(False)
    for _ in range(5):
        bed.client.closed()
    bed.open()
    bed.serve(A)
    assert bed.client.closed() <= FIRST_WAIT_S


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
