"""Corrupted streams: messages that can't be decoded, and invalid HTTP/2 frames."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import random

import grpc
import pytest
from envoy.config.endpoint.v3 import endpoint_pb2
from envoy.service.discovery.v3 import discovery_pb2
from google.protobuf.message import DecodeError
from loopback import until
from test_stalls import Proxy
from test_stream import addresses, xds_client

from loadbalancer.emulator.xds import CLUSTER, ENDPOINTS, ControlPlane, cluster, endpoints
from loadbalancer.xds import protocol

A = {"address": "127.0.0.1:7001"}
GOOD = ["127.0.0.1:7001"]


@pytest.fixture(autouse=True)
def no_backoff(monkeypatch):
    monkeypatch.setattr(protocol, "FIRST_BACKOFF_S", 0.0)
    # Log records that pytest captures keep their tracebacks, and so gRPC channels, alive.
    monkeypatch.setattr(logging.getLogger("grpc._common"), "disabled", True)


def response(type_url: str, delta: bool) -> bytes:
    resource = cluster("ledger") if type_url == CLUSTER else endpoints("ledger", A)
    if delta:
        item = discovery_pb2.Resource(name="ledger", version="1", resource=resource)
        return discovery_pb2.DeltaDiscoveryResponse(
            type_url=type_url, nonce="n", resources=[item]
        ).SerializeToString()
    return discovery_pb2.DiscoveryResponse(
        type_url=type_url, version_info="1", nonce="n", resources=[resource]
    ).SerializeToString()


def mutate(rng: random.Random, data: bytes) -> bytes:
    result = bytearray(data)
    for _ in range(rng.randint(1, 4)):
        at = rng.randrange(len(result) + 1)
        match rng.randrange(4):
            case 0:
                result[at : at + 1] = bytes([rng.randrange(256)])
            case 1:
                result[at:at] = rng.randbytes(rng.randint(1, 20))
            case 2:
                del result[at : at + rng.randint(1, 20)]
            case _:
                result[at:at] = result[: rng.randint(0, len(result))]
    return bytes(result)


def open_descriptors() -> int:
    gc.collect()  # closed gRPC channels are in reference cycles, so the collector has to release some of them
    return len(os.listdir("/proc/self/fd"))


def undecodable(data: bytes, delta: bool) -> bool:
    """Whether the official types can't decode the response or the resource in it."""
    kind = discovery_pb2.DeltaDiscoveryResponse if delta else discovery_pb2.DiscoveryResponse
    try:
        for item in kind.FromString(data).resources:
            endpoint_pb2.ClusterLoadAssignment.FromString((item.resource if delta else item).value)
    except DecodeError:
        return True
    return False


@pytest.mark.parametrize("delta", [False, True], ids=["state-of-the-world", "incremental"])
def test_undecodable_messages_change_no_routing_and_leak_nothing(delta):
    rng = random.Random(11)
    good = response(ENDPOINTS, delta)
    invalid: list[bytes] = []
    while len(invalid) < 3000:
        candidate = mutate(rng, good)
        if undecodable(candidate, delta):
            invalid.append(candidate)
    sent = 0

    async def responses(requests, context):
        nonlocal sent
        yield response(CLUSTER, delta)
        yield good
        async for _ in requests:
            while sent < len(invalid):
                sent += 1
                yield invalid[sent - 1]

    async def main():
        server = grpc.aio.server()
        method = "DeltaAggregatedResources" if delta else "StreamAggregatedResources"
        handler = grpc.stream_stream_rpc_method_handler(responses)  # no serializer: sends raw bytes
        server.add_generic_rpc_handlers(
            (
                grpc.method_handlers_generic_handler(
                    "envoy.service.discovery.v3.AggregatedDiscoveryService", {method: handler}
                ),
            )
        )
        port = server.add_insecure_port("127.0.0.1:0")
        await server.start()
        async with xds_client(f"127.0.0.1:{port}", delta) as client:
            await until(lambda: addresses(client) == GOOD)
            open_before, tasks = open_descriptors(), len(asyncio.all_tasks())
            async with asyncio.timeout(120):
                while sent < len(invalid):
                    await asyncio.sleep(0.005)
                    assert addresses(client) in (GOOD, None)
            await until(lambda: client.connected)
            assert addresses(client) == GOOD
            await until(lambda: open_descriptors() <= open_before + 4)
            await until(lambda: len(asyncio.all_tasks()) <= tasks + 4)
        await server.stop(None)

    asyncio.run(main())


class CorruptingProxy(Proxy):
    """A proxy that removes, adds or repeats bytes from the control plane at random by a seed. It then closes the
    connection, as the client could otherwise wait for the rest of an incomplete frame."""

    def __init__(self, port: int, seed: int) -> None:
        super().__init__(port)
        self.rng = random.Random(seed)
        self.corrupted = 0

    def transform(self, data: bytes) -> bytes:
        if self.rng.random() < 0.5:
            return data
        self.corrupted += 1
        self.close_after_write = True
        at = self.rng.randrange(len(data))
        match self.rng.randrange(3):
            case 0:
                return data[:at] + self.rng.randbytes(self.rng.randint(1, 30)) + data[at:]
            case 1:
                return data[:at] + data[at + self.rng.randint(1, 30) :]
            case _:
                return data[:at] + data


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_invalid_frames_change_no_routing_and_leak_nothing(seed):
    async def main():
        plane = await ControlPlane().start()
        plane.put(cluster("ledger"), endpoints("ledger", A))
        proxy = await CorruptingProxy(plane.port, seed).start()
        async with xds_client(proxy.endpoint, True) as client:
            open_before, tasks = open_descriptors(), len(asyncio.all_tasks())
            async with asyncio.timeout(120):
                while proxy.connections < 60:
                    await asyncio.sleep(0.005)
                    assert addresses(client) in (GOOD, None)
                    if client.connected and addresses(client) == GOOD:
                        plane.put(endpoints("ledger", A))  # sent again, for more bytes to corrupt
            assert proxy.corrupted > 30
            proxy.rng.random = lambda: 0.0  # type: ignore[method-assign] - nothing is corrupted from here on
            await until(lambda: client.connected and addresses(client) == GOOD)
            await until(lambda: open_descriptors() <= open_before + 12)
            await until(lambda: len(asyncio.all_tasks()) <= tasks + 12)
        proxy.stop()
        await plane.stop()

    asyncio.run(main())
