"""Byte streams that are wrong below the resources: messages that can't be decoded, frames that are none."""

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
from test_stalls import Between
from test_stream import addresses, following

from loadbalancer.emulator.xds import CLUSTER, ENDPOINTS, ControlPlane, cluster, endpoints
from loadbalancer.xds import protocol

A = {"address": "127.0.0.1:7001"}
GOOD = ["127.0.0.1:7001"]


@pytest.fixture(autouse=True)
def at_once(monkeypatch):
    monkeypatch.setattr(protocol, "FIRST_WAIT_S", 0.0)
    # Each record that the test runner keeps would hold a traceback, and so a channel, for good.
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


def mutated(rng: random.Random, data: bytes) -> bytes:
    found = bytearray(data)
    for _ in range(rng.randint(1, 4)):
        at = rng.randrange(len(found) + 1)
        match rng.randrange(4):
            case 0:
                found[at : at + 1] = bytes([rng.randrange(256)])
            case 1:
                found[at:at] = rng.randbytes(rng.randint(1, 20))
            case 2:
                del found[at : at + rng.randint(1, 20)]
            case _:
                found[at:at] = found[: rng.randint(0, len(found))]
    return bytes(found)


def descriptors() -> int:
    gc.collect()  # the library's closed channels stand in reference cycles, so some wait for the collector
    return len(os.listdir("/proc/self/fd"))


def undecodable(data: bytes, delta: bool) -> bool:
    """Whether the official types can't read it, or not the resource within, so that it says nothing."""
    kind = discovery_pb2.DeltaDiscoveryResponse if delta else discovery_pb2.DiscoveryResponse
    try:
        for item in kind.FromString(data).resources:
            endpoint_pb2.ClusterLoadAssignment.FromString((item.resource if delta else item).value)
    except DecodeError:
        return True
    return False


@pytest.mark.parametrize("delta", [False, True], ids=["state-of-the-world", "incremental"])
def test_thousands_of_messages_that_cant_be_decoded_change_nothing_and_leave_nothing_behind(delta):
    rng = random.Random(11)
    good = response(ENDPOINTS, delta)
    wrong: list[bytes] = []
    while len(wrong) < 3000:
        candidate = mutated(rng, good)
        if undecodable(candidate, delta):
            wrong.append(candidate)
    sent = 0

    async def answers(requests, context):
        nonlocal sent
        yield response(CLUSTER, delta)
        yield good
        async for _ in requests:
            while sent < len(wrong):
                sent += 1
                yield wrong[sent - 1]

    async def main():
        server = grpc.aio.server()
        method = "DeltaAggregatedResources" if delta else "StreamAggregatedResources"
        handler = grpc.stream_stream_rpc_method_handler(answers)  # bytes as they are
        server.add_generic_rpc_handlers(
            (
                grpc.method_handlers_generic_handler(
                    "envoy.service.discovery.v3.AggregatedDiscoveryService", {method: handler}
                ),
            )
        )
        port = server.add_insecure_port("127.0.0.1:0")
        await server.start()
        async with following(f"127.0.0.1:{port}", delta) as client:
            await until(lambda: addresses(client) == GOOD)
            held, tasks = descriptors(), len(asyncio.all_tasks())
            async with asyncio.timeout(120):
                while sent < len(wrong):
                    await asyncio.sleep(0.005)
                    assert addresses(client) in (GOOD, None)
            await until(lambda: client.connected)
            assert addresses(client) == GOOD
            await until(lambda: descriptors() <= held + 4)
            await until(lambda: len(asyncio.all_tasks()) <= tasks + 4)
        await server.stop(None)

    asyncio.run(main())


class Corrupting(Between):
    """Cuts, adds and repeats bytes of what comes from the control plane, as a seed says, and ends the connection
    after that, as a client may well wait for the rest of a frame that was never sent."""

    def __init__(self, port: int, seed: int) -> None:
        super().__init__(port)
        self.rng = random.Random(seed)
        self.wrong = 0

    def passed(self, data: bytes) -> bytes:
        if self.rng.random() < 0.5:
            return data
        self.wrong += 1
        self.ending = True
        at = self.rng.randrange(len(data))
        match self.rng.randrange(3):
            case 0:
                return data[:at] + self.rng.randbytes(self.rng.randint(1, 30)) + data[at:]
            case 1:
                return data[:at] + data[at + self.rng.randint(1, 30) :]
            case _:
                return data[:at] + data


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_frames_that_are_none_change_no_routing_and_leave_nothing_behind(seed):
    async def main():
        plane = await ControlPlane().start()
        plane.put(cluster("ledger"), endpoints("ledger", A))
        between = await Corrupting(plane.port, seed).start()
        async with following(between.endpoint, True) as client:
            held, tasks = descriptors(), len(asyncio.all_tasks())
            async with asyncio.timeout(120):
                while between.connections < 60:
                    await asyncio.sleep(0.005)
                    assert addresses(client) in (GOOD, None)
                    if client.connected and addresses(client) == GOOD:
                        plane.put(endpoints("ledger", A))  # the same again: more bytes to be spoilt
            assert between.wrong > 30
            between.rng.random = lambda: 0.0  # type: ignore[method-assign] - from here on all goes through
            await until(lambda: client.connected and addresses(client) == GOOD)
            await until(lambda: descriptors() <= held + 12)
            await until(lambda: len(asyncio.all_tasks()) <= tasks + 12)
        between.stop()
        await plane.stop()

    asyncio.run(main())
