"""An aggregated xDS stream over gRPC (`envoy.service.discovery.v3.AggregatedDiscoveryService`)."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Callable
from typing import Any

import grpc
from envoy.service.discovery.v3 import ads_pb2_grpc

from orchidledge.xds.protocol import XdsClient

log = logging.getLogger("orchidledge")

TICK_S = 0.5  # between two looks at what waits for its endpoints
OPTIONS = (
    # HTTP/2 pings tell a dead peer from a quiet one (gRPC's keepalive guide).
    ("grpc.keepalive_time_ms", 20_000),
    ("grpc.keepalive_timeout_ms", 5_000),
    ("grpc.keepalive_permit_without_calls", 1),
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.max_receive_message_length", 64 * 1024 * 1024),
    # Guard: the channel's own backing off would come on top of ours.
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1_000),
    ("grpc.use_local_subchannel_pool", 1),
)


class XdsStream:
    """Keeps a stream to a control plane open; what it held stays in force while there is none."""

    def __init__(
        self, address: str, client: XdsClient, now_ms: Callable[[], float], on_change: Callable[[], None]
    ) -> None:
        """`on_change` is called when something may have come into force."""
        self.address = address
        self.client = client
        self._now_ms = now_ms
        self._on_change = on_change
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        self._tasks = [asyncio.create_task(self._follow()), asyncio.create_task(self._tick())]

    def close(self) -> None:
        for task in self._tasks:
            task.cancel()

    async def _follow(self) -> None:
        while True:
            try:
                await self._once()
            except (grpc.RpcError, asyncio.InvalidStateError) as error:
                log.info("xds: stream to %s is gone: %s", self.address, _said(error))
            await asyncio.sleep(self.client.closed())

    async def _once(self) -> None:
        """One stream, from its opening to its end."""
        async with grpc.aio.insecure_channel(self.address, options=OPTIONS) as channel:
            stub = ads_pb2_grpc.AggregatedDiscoveryServiceStub(channel)
            call = stub.DeltaAggregatedResources() if self.client.delta else stub.StreamAggregatedResources()
            try:
                for request in self.client.opened():
                    await call.write(request)
                while (response := await call.read()) is not grpc.aio.EOF:
                    for request in self.client.received(self._now_ms(), response):
                        await call.write(request)
                    self._changed()
            finally:
                call.cancel()

    def _changed(self) -> None:
        try:
            self._on_change()
        except Exception:
            # Guard: a fault there must not end the stream, by which drains are told.
            log.exception("xds: an update could not be put in force")

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            if self.client.tick(self._now_ms()):
                self._changed()


def _said(error: BaseException) -> str:
    details: Any = getattr(error, "details", None)
    with contextlib.suppress(Exception):
        return " ".join(str(details()).split())
    return " ".join(str(error).split())
