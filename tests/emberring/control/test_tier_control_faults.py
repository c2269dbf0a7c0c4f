"""Control nodes over loopback under faults: lost acknowledgements, concurrent operators, partitions, kills."""

from __future__ import annotations

import asyncio
import json

import pytest
from tier_control_fixture import (
    AFollower,
    Cluster,
    a_document,
    a_heartbeat,
    alive,
    eventually,
    now,
    on_cluster,
)

from emberring.configuration.state import ControlState
from emberring.distribution.messages import PlacementMoved
from emberring.distribution.records import NodeRole, ServerState
from emberring.placement.model import Placement
from emberring.transport.messages import Ok
from emberring.transport.network import Network

OPERATOR_TIMEOUT_S = 1.0  # of an operator's small request


async def put(cluster: Cluster, index: int, version: int, base: int, **changes: object) -> int:
    response = await cluster.http(
        index, "PUT", "/v1/config", a_document(version, **changes), If_Match=str(base)
    )
    return response.status


async def retire_status(cluster: Cluster, name: str) -> int:
    """The HTTP status of a request to retire a store, after retries while the node is not ready (503)."""
    deadline = now() + 5.0
    while True:
        response = await cluster.http(0, "POST", f"/v1/retire/{name}", {"DurationS": 10})
        if response.status != 503 or now() > deadline:
            return response.status


@pytest.mark.parametrize("committed", [True, False])
def test_a_request_with_unknown_outcome_is_retried_and_acknowledged(committed: bool) -> None:
    async def scenario(cluster: Cluster) -> None:
        assert await put(cluster, 0, 2, 0) == 200
        cluster.registers[1].unknown_outcomes.append(committed)
        assert await put(cluster, 1, 5, 2) >= 500
        assert await put(cluster, 2, 5, 2) == 200
        assert await put(cluster, 1, 5, 2) == 200
        assert cluster.shared.changes == 2

    on_cluster(scenario)


def test_a_request_with_unknown_outcome_is_rejected_and_never_applied_after_a_concurrent_change() -> None:
    async def scenario(cluster: Cluster) -> None:
        assert await put(cluster, 0, 2, 0) == 200
        cluster.registers[1].unknown_outcomes.append(False)
        assert await put(cluster, 1, 5, 2) >= 500
        assert await put(cluster, 0, 5, 2, Limits={"MaxBodyBytes": 9}) == 200
        assert await put(cluster, 1, 5, 2) == 412
        assert (await cluster.http(2, "GET", "/v1/config")).json["Limits"] == {"MaxBodyBytes": 9}

    on_cluster(scenario)


def test_of_eight_concurrent_requests_on_one_version_one_is_accepted() -> None:
    async def scenario(cluster: Cluster) -> None:
        assert await put(cluster, 0, 1, 0) == 200
        requests = [put(cluster, number % 3, 10 + number // 2, 1, Mark=number) for number in range(8)]
        statuses = await asyncio.gather(*requests)
        assert sorted(statuses) == [200] + [412] * 7
        winner = statuses.index(200)
        repeated = await asyncio.gather(
            *[put(cluster, index, 10 + winner // 2, 1, Mark=winner) for index in range(3)]
        )
        assert repeated == [200] * 3
        assert (await cluster.http(0, "GET", "/v1/config")).json["Mark"] == winner

    on_cluster(scenario)


def test_a_request_is_recognized_hundreds_of_changes_later_and_after_restarts_of_all() -> None:
    async def scenario(cluster: Cluster) -> None:
        assert await put(cluster, 0, 3, 0) == 200
        for number in range(1, 301):
            patch = {"Version": 3 + number, "Remove": {"Routes": [f"never-{number}"]}}
            response = await cluster.http(number % 3, "PATCH", "/v1/config", patch, If_Match=str(2 + number))
            assert response.status == 200
        await cluster.stop()
        await cluster.start()
        assert await put(cluster, 1, 3, 0) == 200
        patch = {"Version": 150, "Remove": {"Routes": ["never-147"]}}
        assert (await cluster.http(2, "PATCH", "/v1/config", patch, If_Match="149")).status == 200
        assert (await cluster.http(0, "GET", "/v1/config")).json["Version"] == 303

    on_cluster(scenario)


INVALID = [
    ("PUT", b'{"Version":9,"Routes":[', "2"),
    ("PUT", b'{"Version":9,"Version":10,"Routes":[],"Services":[]}', "2"),
    ("PUT", json.dumps(a_document(9, Services=[])).encode(), "2"),
    ("PUT", json.dumps(a_document(2)).encode(), "2"),
    ("PUT", json.dumps(a_document(1)).encode(), "2"),
    ("PUT", json.dumps(a_document(9)).encode(), "1"),
    ("PUT", json.dumps(a_document(9)).encode(), "x"),
    ("PATCH", b'{"Version":9,"Upsert":{"Routes":[{"Name":"r-one"}]}}', "2"),
    ("PATCH", b'{"Version":9,"Remove":{"Services":["engine"]}}', "2"),
    ("PATCH", b'{"Version":2}', "2"),
    ("PATCH", b'{"Version":9,"Upsert":{"Routes":[]},"Upsert":{}}', "2"),
]


def test_invalid_configurations_are_rejected_and_change_nothing() -> None:
    async def scenario(cluster: Cluster) -> None:
        assert await put(cluster, 0, 2, 0) == 200
        for number, (method, body, base) in enumerate(INVALID):
            response = await cluster.http(number % 3, method, "/v1/config", body, If_Match=base)
            assert 400 <= response.status < 500, (method, body)
            assert "Error" in response.json
        assert cluster.shared.changes == 1

    on_cluster(scenario)


def test_a_node_without_a_majority_rejects_nothing_and_answers_in_time() -> None:
    async def scenario(cluster: Cluster) -> None:
        assert await put(cluster, 0, 2, 0) == 200
        cluster.shared.up.discard("identity-0")
        began = now()
        assert await put(cluster, 0, 5, 2) >= 500
        assert await put(cluster, 0, 5, 1) >= 500  # it does not know which version is current
        assert (await cluster.http(0, "GET", "/v1/config")).status >= 500
        assert now() - began < OPERATOR_TIMEOUT_S
        assert await put(cluster, 1, 5, 2) == 200

    on_cluster(scenario)


def test_a_large_configuration_is_accepted_and_reaches_followers() -> None:
    async def scenario(cluster: Cluster) -> None:
        route = a_document()["Routes"][0]
        routes = [{**route, "Name": f"r-{number}", "PathPrefix": f"/{number}/"} for number in range(13500)]
        document = a_document(4, Routes=routes)
        assert len(json.dumps(document)) > 4_000_000
        async with AFollower(cluster.seeds) as follower:
            response = await cluster.http(0, "PUT", "/v1/config", document, If_Match="0")
            assert response.status == 200
            await eventually(lambda: follower.configuration is not None)
            assert follower.configuration is not None
            assert len(follower.configuration.routes) == 13500
        assert (await cluster.http(1, "GET", "/v1/config")).json == document

    on_cluster(scenario)


def test_a_drain_that_no_other_node_knows_is_not_acknowledged() -> None:
    async def scenario(cluster: Cluster) -> None:
        await cluster.stop(1, 2)
        began = now()
        response = await cluster.http(0, "PUT", "/v1/instances/i-1", a_heartbeat(1, "draining"))
        assert response.status == 503
        assert now() - began < OPERATOR_TIMEOUT_S
        assert (await cluster.http(0, "PUT", "/v1/instances/i-2", a_heartbeat(1))).status == 200
        assert (await cluster.http(0, "DELETE", "/v1/instances/i-2")).status == 503
        await cluster.start(1)
        await eventually(lambda: len(cluster.node(0).cluster_state.live_writers(now())) == 2)
        assert (await cluster.http(0, "PUT", "/v1/instances/i-1", a_heartbeat(2, "draining"))).status == 200
        assert (await cluster.http(0, "DELETE", "/v1/instances/i-2")).status == 200
        known = cluster.node(1).cluster_state.status_table.servers()
        assert (known["i-1"].state, known["i-2"].state) == (ServerState.DRAINING, ServerState.GONE)

    on_cluster(scenario)


def test_a_drain_that_no_quorum_of_replicas_knows_is_not_acknowledged() -> None:
    """Followers stop pulling from nodes without a quorum: during a partition a drain known only there reaches none."""

    async def scenario(cluster: Cluster) -> None:
        cluster.shared.members = {"identity-0", "identity-1", "identity-2"}
        await cluster.stop(1, 2)
        drain = await cluster.http(0, "PUT", "/v1/instances/i-1", a_heartbeat(1, "draining"))
        assert drain.status == 503  # the fourth node has received it, but is no replica
        assert cluster.node(3).cluster_state.status_table.servers()["i-1"].state is ServerState.DRAINING
        assert (await cluster.http(3, "DELETE", "/v1/instances/i-1")).status == 503
        await cluster.start(1)
        await eventually(lambda: len(cluster.node(0).cluster_state.live_writers(now())) == 3)
        assert (await cluster.http(0, "PUT", "/v1/instances/i-1", a_heartbeat(2, "draining"))).status == 200

    on_cluster(scenario, count=4)


def test_a_node_whose_partition_has_just_ended_rejects_no_retirement() -> None:
    async def scenario(cluster: Cluster) -> None:
        async with (
            AFollower(cluster.seeds, "store-1", NodeRole.STORE) as first,
            AFollower(cluster.seeds, "store-2", NodeRole.STORE),
            AFollower(cluster.seeds, "store-3", NodeRole.STORE),
        ):
            await eventually(lambda: first.placement is not None)
            assert await retire_status(cluster, "store-9") == 404
            cluster.shared.up.discard("identity-0")
            await eventually(lambda: cluster.node(0).cluster_state.stable_for_s(now()) < 0.5)
            cluster.shared.up.add("identity-0")
            # This node cannot be sure that store-9 does not exist, or that too few stores would remain without store-1.
            for name in ("store-9", "store-1"):
                response = await cluster.http(0, "POST", f"/v1/retire/{name}", {"DurationS": 10})
                assert response.status == 503
            assert await retire_status(cluster, "store-9") == 404
            assert await retire_status(cluster, "store-1") == 409

    on_cluster(scenario)


def test_a_drain_survives_the_node_that_acknowledged_it() -> None:
    async def scenario(cluster: Cluster) -> None:
        async with AFollower(cluster.seeds) as follower:
            assert (await cluster.http(0, "PUT", "/v1/instances/i-1", a_heartbeat(1))).status == 200
            await eventually(lambda: "i-1" in follower.servers)
            response = await cluster.http(0, "PUT", "/v1/instances/i-1", a_heartbeat(2, "draining"))
            acknowledged = now()
            await cluster.stop(0)
            assert response.status == 200
            await eventually(lambda: follower.servers["i-1"].state is ServerState.DRAINING)
            assert now() - acknowledged < 1.5
            late = await cluster.http(1, "PUT", "/v1/instances/i-1", a_heartbeat(1))
            assert late.status == 200
            assert cluster.node(1).cluster_state.status_table.servers()["i-1"].state is ServerState.DRAINING

    on_cluster(scenario)


def test_a_node_alone_in_its_tier_acknowledges_drains() -> None:
    async def scenario(cluster: Cluster) -> None:
        response = await cluster.http(0, "PUT", "/v1/instances/i-1", a_heartbeat(1, "draining"))
        assert response.status == 200

    on_cluster(scenario, count=1)


def test_followers_keep_what_they_have_while_all_control_nodes_are_down() -> None:
    async def scenario(cluster: Cluster) -> None:
        async with AFollower(cluster.seeds) as follower:
            assert await put(cluster, 0, 2, 0) == 200
            assert (await cluster.http(1, "PUT", "/v1/instances/i-1", a_heartbeat(1))).status == 200
            await eventually(lambda: follower.configuration is not None and "i-1" in follower.servers)
            await cluster.stop()
            await eventually(lambda: not follower.in_contact)
            assert follower.configuration is not None
            assert follower.configuration.version == 2
            assert set(follower.servers) == {"i-1"}
            await cluster.start()
            assert await put(cluster, 0, 7, 2) == 200
            await eventually(lambda: follower.configuration.version == 7)
            assert follower.in_contact
            assert set(follower.servers) == {"i-1"}

    on_cluster(scenario)


def test_a_follower_leaves_a_control_node_that_is_partitioned() -> None:
    async def scenario(cluster: Cluster) -> None:
        async with AFollower(cluster.seeds) as follower:
            assert await put(cluster, 0, 2, 0) == 200
            await eventually(lambda: follower.configuration is not None)
            for partitioned in range(3):
                cluster.shared.up = {f"identity-{index}" for index in range(3) if index != partitioned}
                version = 10 + partitioned
                base = 2 if partitioned == 0 else version - 1
                assert await put(cluster, (partitioned + 1) % 3, version, base) == 200
                await eventually(lambda: follower.configuration.version == version, 1.5)  # noqa: B023

    on_cluster(scenario)


def test_a_follower_with_partitioned_control_nodes_alone_keeps_its_configuration() -> None:
    async def scenario(cluster: Cluster) -> None:
        async with AFollower(cluster.seeds) as follower:
            assert await put(cluster, 0, 2, 0) == 200
            await eventually(lambda: follower.configuration is not None)
            cluster.shared.up = set()
            await eventually(lambda: not follower.in_contact)
            assert follower.configuration is not None
            async with AFollower(cluster.seeds, "edge-2") as fresh:
                await eventually(lambda: bool(fresh.nodes))
                assert fresh.configuration is None  # the configuration of these nodes may be old
                cluster.shared.up = {"identity-0", "identity-1"}
                await eventually(lambda: fresh.configuration is not None)

    on_cluster(scenario)


def test_stores_are_placed_moved_and_retired() -> None:
    async def scenario(cluster: Cluster) -> None:
        def placement() -> Placement | None:
            return ControlState.decode(cluster.shared.value).placement

        unknown = await cluster.http(0, "POST", "/v1/retire/store-9", {"DurationS": 10})
        assert unknown.status == 503  # this node has just started and may not know all stores
        async with (
            AFollower(cluster.seeds, "store-1", NodeRole.STORE) as first,
            AFollower(cluster.seeds, "store-2", NodeRole.STORE),
            AFollower(cluster.seeds, "store-3", NodeRole.STORE),
        ):
            await eventually(lambda: first.placement is not None)
            assert first.placement is not None
            assert len(first.placement.stores) == 3
            await eventually(lambda: len(cluster.node(0).cluster_state.live_nodes(now())) == 6)
            assert await retire_status(cluster, "store-9") == 404
            assert await retire_status(cluster, "store-1") == 409
            async with AFollower(cluster.seeds, "store-4", NodeRole.STORE):
                await eventually(lambda: len(cluster.node(1).cluster_state.live_nodes(now())) == 7)
                response = await cluster.http(1, "POST", "/v1/retire/store-1", {"DurationS": 10})
                assert (response.status, response.json) == (200, {"State": "active"})
                repeated = await cluster.http(2, "POST", "/v1/retire/store-1", {"DurationS": 10})
                assert repeated.status == 200
                await eventually(lambda: any(group.joining for group in first.placement.groups))
                caller = Network()
                current = placement()
                assert current is not None
                for group in current.groups:
                    if group.joining:
                        moved = PlacementMoved(group.shard, group.epoch)
                        await caller.call(cluster.seeds[2], moved, Ok, 1.0)
                await caller.close()
                await eventually(lambda: placement().retired == ("store-1",))  # type: ignore[union-attr]
                done = await cluster.http(0, "GET", "/v1/retire/store-1")
                assert (done.status, done.json) == (200, {"State": "completed"})
                assert (await cluster.http(0, "GET", "/v1/retire/store-2")).status == 404

    on_cluster(scenario)


OTHER_REQUESTS = [
    ("GET", "/", 404),
    ("GET", "/v1/config/", 404),
    ("POST", "/v1/config", 404),
    ("GET", "/v1/config", 404),  # there is no configuration yet
    ("PUT", "/v1/instances/", 404),
    ("PUT", "/v1/instances/i-1", 400),
    ("GET", "/v1/readyz", 200),
]


def test_other_requests_are_answered() -> None:
    async def scenario(cluster: Cluster) -> None:
        for method, path, status in OTHER_REQUESTS:
            assert (await cluster.http(0, method, path)).status == status, (method, path)
        assert (await cluster.http(0, "PUT", "/v1/instances/a%2Fb", a_heartbeat(1))).status == 200
        assert "a/b" in cluster.node(0).cluster_state.status_table.servers()

    on_cluster(scenario)


def test_a_node_announces_its_shutdown() -> None:
    async def scenario(cluster: Cluster) -> None:
        async with AFollower(cluster.seeds) as follower:
            await eventually(lambda: len(follower.nodes) == 3)
            cluster.node(0).announce_shutdown()
            await eventually(lambda: follower.nodes["core-0"].leaving)
            await cluster.stop(0)
            await eventually(lambda: "core-0" not in follower.nodes)
            assert len(alive(cluster)) == 2

    on_cluster(scenario)
