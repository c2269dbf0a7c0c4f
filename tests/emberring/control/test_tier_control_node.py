"""Control nodes over loopback: how configurations, heartbeats and drains reach followers."""

from __future__ import annotations

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

from emberring.distribution.records import NodeRole, ServerState


def test_a_configuration_reaches_a_follower_and_is_read_back() -> None:
    async def scenario(cluster: Cluster) -> None:
        async with AFollower(cluster.seeds) as follower:
            response = await cluster.http(0, "PUT", "/v1/config", a_document(3), If_Match="0")
            assert response.status == 200, response.body
            began = now()
            await eventually(
                lambda: follower.configuration is not None and follower.configuration.version == 3
            )
            assert now() - began < 0.5
            read = await cluster.http(1, "GET", "/v1/config")
            assert read.json == a_document(3)
            patch = {"Version": 9, "Upsert": {"Routes": [a_document()["Routes"][0] | {"TimeoutMs": 5000}]}}
            assert (await cluster.http(2, "PATCH", "/v1/config", patch, If_Match="3")).status == 200
            await eventually(lambda: follower.configuration.version == 9)
            assert follower.configuration.route_for("ONE.example", "/one/x").timeout_ms == 5000

    on_cluster(scenario)


def test_heartbeats_and_drains_reach_followers() -> None:
    async def scenario(cluster: Cluster) -> None:
        async with AFollower(cluster.seeds) as follower:
            await eventually(lambda: bool(follower.nodes))
            assert (await cluster.http(0, "PUT", "/v1/instances/i-1", a_heartbeat(1))).status == 200
            await eventually(lambda: "i-1" in follower.servers, 0.5)
            drain = await cluster.http(1, "PUT", "/v1/instances/i-1", a_heartbeat(2, "draining"))
            assert drain.status == 200
            states = [node.cluster_state.status_table.servers()["i-1"].state for node in alive(cluster)]
            assert states.count(ServerState.DRAINING) >= 2
            await eventually(lambda: follower.servers["i-1"].state is ServerState.DRAINING, 0.5)
            late = await cluster.http(2, "PUT", "/v1/instances/i-1", a_heartbeat(1))
            assert late.status == 200
            assert (await cluster.http(0, "DELETE", "/v1/instances/i-1")).status == 200
            await eventually(lambda: "i-1" not in follower.servers, 0.5)

    on_cluster(scenario)


def test_followers_know_nodes_gateways_and_loads() -> None:
    async def scenario(cluster: Cluster) -> None:
        async with (
            AFollower(cluster.seeds, "edge-1") as first,
            AFollower(cluster.seeds, "edge-2") as second,
            AFollower(cluster.seeds, "store-1", NodeRole.STORE) as store,
        ):
            first.report = lambda detail_requested: {"i-1": 2}
            second.report = lambda detail_requested: {"i-1": 3, "i-2": 1}
            expected = {"core-0", "core-1", "core-2", "store-1"}
            await eventually(lambda: set(first.nodes) == expected and set(store.nodes) == expected)
            await eventually(lambda: first.gateway_count == 2 and second.gateway_count == 2)
            await eventually(lambda: first.load.calls == {"i-1": 5, "i-2": 1})

    on_cluster(scenario)
