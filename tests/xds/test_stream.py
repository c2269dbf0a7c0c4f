"""Streams over gRPC, between our client and a server of the official classes, and the official stubs and our server."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator

import grpc
import pytest
from envoy.service.discovery.v3 import ads_pb2_grpc, discovery_pb2
from google.protobuf import any_pb2
from loopback import until

from loadbalancer.emulator.xds import CLUSTER, ENDPOINTS, ControlPlane, cluster, endpoints
from loadbalancer.xds import protocol
from loadbalancer.xds.protocol import XdsClient
from loadbalancer.xds.stream import XdsStream

A, B = {"address": "127.0.0.1:7001"}, {"address": "127.0.0.1:7002"}
BOTH = pytest.mark.parametrize("delta", [False, True], ids=["state-of-the-world", "incremental"])


@pytest.fixture(autouse=True)
def soon(monkeypatch):
    monkeypatch.setattr(protocol, "FIRST_WAIT_S", 0.02)


@contextlib.asynccontextmanager
async def following(address: str, delta: bool, *names: str) -> AsyncIterator[XdsClient]:
    client = XdsClient("n0", names or ("ledger",), delta)
    stream = XdsStream(address, client, lambda: time.time() * 1000.0, lambda: None)
    stream.start()
    try:
        yield client
    finally:
        stream.close()


def addresses(client: XdsClient, name: str = "ledger") -> list[str] | None:
    served = client.served(name)
    return None if served is None else [entry.server.address for entry in served.entries]


@BOTH
def test_updates_come_into_force_as_they_are_told(delta):
    async def main():
        plane = await ControlPlane().start()
        plane.put(cluster("ledger"), endpoints("ledger", A))
        async with following(plane.endpoint, delta) as client:
            await until(lambda: addresses(client) == ["127.0.0.1:7001"])
            plane.put(endpoints("ledger", A, B))
            await until(lambda: len(addresses(client) or ()) == 2)
            plane.remove(CLUSTER, "ledger")
            await until(lambda: addresses(client) == [])
            plane.put(cluster("ledger"))
            await until(lambda: len(addresses(client) or ()) == 2)
            assert plane.errors() == []
        await plane.stop()

    asyncio.run(main())


@BOTH
def test_a_bad_resource_is_rejected_to_the_server_and_the_last_good_one_stays(delta):
    async def main():
        plane = await ControlPlane().start()
        plane.put(cluster("ledger"), endpoints("ledger", A))
        async with following(plane.endpoint, delta) as client:
            await until(lambda: addresses(client))
            plane.put(cluster("ledger", type="STRICT_DNS", eds_cluster_config={}))
            await until(plane.errors)
            assert "ledger: type: STRICT_DNS: names can't be looked up here" in plane.errors()[0]
            assert addresses(client) == ["127.0.0.1:7001"]
        await plane.stop()

    asyncio.run(main())


@BOTH
def test_a_dropped_stream_and_a_restart_that_forgets_its_versions_leave_the_last_state_in_force(delta):
    async def main():
        plane = await ControlPlane().start()
        plane.put(cluster("ledger"), endpoints("ledger", A))
        async with following(plane.endpoint, delta) as client:
            await until(lambda: addresses(client))
            plane.drop_streams()
            await until(lambda: len({asked.stream for asked in plane.asked}) == 2)
            assert addresses(client) == ["127.0.0.1:7001"]
            port = plane.port
            await plane.stop()
            await until(lambda: not client.connected)
            assert addresses(client) == ["127.0.0.1:7001"]
            again = await ControlPlane().start(port)
            again.put(cluster("ledger"), endpoints("ledger", B))
            again.forget()
            await until(lambda: addresses(client) == ["127.0.0.1:7002"])
            await again.stop()

    asyncio.run(main())


@BOTH
def test_a_stream_that_stalls_between_clusters_and_endpoints_keeps_what_was_served(delta):
    async def main():
        plane = await ControlPlane().start()
        plane.put(cluster("ledger"), endpoints("ledger", A))
        async with following(plane.endpoint, delta) as client:
            await until(lambda: addresses(client))
            plane.silent.add(ENDPOINTS)
            moved = cluster("ledger", eds_cluster_config={"service_name": "new", "eds_config": {"ads": {}}})
            plane.put(moved, endpoints("new", B))
            await until(lambda: any("new" in str(asked.request) for asked in plane.asked))
            assert addresses(client) == ["127.0.0.1:7001"]
            plane.silent.clear()
            plane.tell()
            await until(lambda: addresses(client) == ["127.0.0.1:7002"])
        await plane.stop()

    asyncio.run(main())


@BOTH
def test_nonsense_changes_nothing_and_leaves_no_task_behind(delta):
    async def main():
        plane = await ControlPlane().start()
        plane.put(cluster("ledger"), endpoints("ledger", A))
        kind = discovery_pb2.DeltaDiscoveryResponse if delta else discovery_pb2.DiscoveryResponse
        async with following(plane.endpoint, delta) as client:
            await until(lambda: addresses(client))
            tasks = len(asyncio.all_tasks())
            for at in range(50):
                junk = any_pb2.Any(
                    type_url=ENDPOINTS, value=bytes((at * 7 + step * 13) % 256 for step in range(40))
                )
                item = discovery_pb2.Resource(name="ledger", resource=junk) if delta else junk
                plane.say(kind(type_url=ENDPOINTS, nonce=f"junk{at}", resources=[item]))
            await until(lambda: len(plane.errors()) >= 50)
            assert addresses(client) == ["127.0.0.1:7001"]
            assert len(asyncio.all_tasks()) == tasks
        await plane.stop()

    asyncio.run(main())


def test_our_client_follows_a_server_built_on_the_official_servicer():
    """A stranger: nothing of the stand-in."""
    acks: list[str] = []

    class Server(ads_pb2_grpc.AggregatedDiscoveryServiceServicer):
        async def StreamAggregatedResources(self, requests, context):  # noqa: N802
            async for request in requests:
                if request.response_nonce:
                    acks.append(request.response_nonce)
                    continue
                resource = cluster("ledger") if request.type_url == CLUSTER else endpoints("ledger", A)
                yield discovery_pb2.DiscoveryResponse(
                    type_url=request.type_url,
                    version_info="1",
                    nonce=request.type_url[-7:],
                    resources=[resource],
                )

    async def main():
        server = grpc.aio.server()
        ads_pb2_grpc.add_AggregatedDiscoveryServiceServicer_to_server(Server(), server)
        port = server.add_insecure_port("127.0.0.1:0")
        await server.start()
        async with following(f"127.0.0.1:{port}", False) as client:
            await until(lambda: addresses(client) == ["127.0.0.1:7001"])
            await until(lambda: len(acks) == 2)
        await server.stop(None)

    asyncio.run(main())


def test_the_official_stub_is_served_by_our_stand_in():
    async def main():
        plane = await ControlPlane().start()
        plane.put(cluster("ledger"), endpoints("ledger", A))
        async with grpc.aio.insecure_channel(plane.endpoint) as channel:
            stub = ads_pb2_grpc.AggregatedDiscoveryServiceStub(channel)
            call = stub.DeltaAggregatedResources()
            await call.write(
                discovery_pb2.DeltaDiscoveryRequest(
                    type_url=ENDPOINTS, resource_names_subscribe=["ledger", "none"]
                )
            )
            response = await call.read()
            assert [item.name for item in response.resources] == ["ledger"]
            plane.remove(ENDPOINTS, "ledger")
            assert list((await call.read()).removed_resources) == ["ledger"]
            call.cancel()
        await plane.stop()

    asyncio.run(main())
