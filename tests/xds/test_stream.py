"""gRPC streams: the client against the emulated control plane and against a server built on the official classes."""

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
def short_backoff(monkeypatch):
    monkeypatch.setattr(protocol, "FIRST_BACKOFF_S", 0.02)


@contextlib.asynccontextmanager
async def xds_client(address: str, delta: bool, *names: str) -> AsyncIterator[XdsClient]:
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
def test_updates_are_applied_as_they_arrive(delta):
    async def main():
        plane = await ControlPlane().start()
        plane.put(cluster("ledger"), endpoints("ledger", A))
        async with xds_client(plane.endpoint, delta) as client:
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
def test_a_bad_resource_is_rejected_and_the_last_valid_one_stays_active(delta):
    async def main():
        plane = await ControlPlane().start()
        plane.put(cluster("ledger"), endpoints("ledger", A))
        async with xds_client(plane.endpoint, delta) as client:
            await until(lambda: addresses(client))
            plane.put(cluster("ledger", type="STRICT_DNS", eds_cluster_config={}))
            await until(plane.errors)
            assert "ledger: type: STRICT_DNS: names can't be looked up here" in plane.errors()[0]
            assert addresses(client) == ["127.0.0.1:7001"]
        await plane.stop()

    asyncio.run(main())


@BOTH
def test_the_last_state_stays_active_while_the_control_plane_is_away_or_restarts_with_new_versions(delta):
    async def main():
        plane = await ControlPlane().start()
        plane.put(cluster("ledger"), endpoints("ledger", A))
        async with xds_client(plane.endpoint, delta) as client:
            await until(lambda: addresses(client))
            plane.drop_streams()
            await until(lambda: len({entry.stream for entry in plane.asked}) == 2)
            assert addresses(client) == ["127.0.0.1:7001"]
            port = plane.port
            await plane.stop()
            await until(lambda: not client.connected)
            assert addresses(client) == ["127.0.0.1:7001"]
            restarted = await ControlPlane().start(port)
            restarted.put(cluster("ledger"), endpoints("ledger", B))
            restarted.forget()
            await until(lambda: addresses(client) == ["127.0.0.1:7002"])
            await restarted.stop()

    asyncio.run(main())


@BOTH
def test_the_old_endpoints_stay_active_while_those_of_a_new_cluster_version_are_missing(delta):
    async def main():
        plane = await ControlPlane().start()
        plane.put(cluster("ledger"), endpoints("ledger", A))
        async with xds_client(plane.endpoint, delta) as client:
            await until(lambda: addresses(client))
            plane.silent.add(ENDPOINTS)
            moved = cluster("ledger", eds_cluster_config={"service_name": "new", "eds_config": {"ads": {}}})
            plane.put(moved, endpoints("new", B))
            await until(lambda: any("new" in str(entry.request) for entry in plane.asked))
            assert addresses(client) == ["127.0.0.1:7001"]
            plane.silent.clear()
            plane.tell()
            await until(lambda: addresses(client) == ["127.0.0.1:7002"])
        await plane.stop()

    asyncio.run(main())


@BOTH
def test_undecodable_resources_change_nothing_and_leak_no_task(delta):
    async def main():
        plane = await ControlPlane().start()
        plane.put(cluster("ledger"), endpoints("ledger", A))
        response_type = discovery_pb2.DeltaDiscoveryResponse if delta else discovery_pb2.DiscoveryResponse
        async with xds_client(plane.endpoint, delta) as client:
            await until(lambda: addresses(client))
            tasks = len(asyncio.all_tasks())
            for at in range(50):
                invalid = any_pb2.Any(
                    type_url=ENDPOINTS, value=bytes((at * 7 + step * 13) % 256 for step in range(40))
                )
                item = discovery_pb2.Resource(name="ledger", resource=invalid) if delta else invalid
                plane.say(response_type(type_url=ENDPOINTS, nonce=f"junk{at}", resources=[item]))
            await until(lambda: len(plane.errors()) >= 50)
            assert addresses(client) == ["127.0.0.1:7001"]
            assert len(asyncio.all_tasks()) == tasks
        await plane.stop()

    asyncio.run(main())


def test_the_client_works_with_the_official_servicer():
    """The server uses the official servicer and no code of the emulated control plane's streams."""
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
        async with xds_client(f"127.0.0.1:{port}", False) as client:
            await until(lambda: addresses(client) == ["127.0.0.1:7001"])
            await until(lambda: len(acks) == 2)
        await server.stop(None)

    asyncio.run(main())


def test_the_official_stub_works_with_the_emulated_control_plane():
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
