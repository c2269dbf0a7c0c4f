"""Transports to a control plane: one aggregated stream, one stream per resource type, and REST-JSON polling.

Source: the xDS protocol's published description, sections "Aggregated Discovery Service", "RPC Services and
Methods" and "REST-JSON polling subscriptions"; services of `envoy.service`.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Callable, Iterable
from typing import Any

import grpc
from envoy.service.cluster.v3 import cds_pb2_grpc
from envoy.service.discovery.v3 import ads_pb2_grpc, discovery_pb2
from envoy.service.endpoint.v3 import eds_pb2_grpc
from google.protobuf import json_format

from loadbalancer.core.address import parse_address
from loadbalancer.http.client import ClientConnection, ResponseFuture
from loadbalancer.xds.protocol import XdsClient
from loadbalancer.xds.resources import CLUSTER, ENDPOINTS

log = logging.getLogger("loadbalancer")

POLL_INTERVAL_S = 0.2  # between two polls; a drain must take effect within 500 ms of being written
POLL_TIMEOUT_S = 5.0  # for the response to one poll
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
POLL_PATHS = {CLUSTER: "/v3/discovery:clusters", ENDPOINTS: "/v3/discovery:endpoints"}
TICK_INTERVAL_S = 0.5  # between two checks of the clusters that wait for their endpoints
CHANNEL_OPTIONS = (
    # HTTP/2 pings detect a dead peer on a stream without traffic (gRPC's keepalive guide). Control planes usually allow
    # a ping every 30 s; the channel doubles the interval if one does not.
    ("grpc.keepalive_time_ms", 30_000),
    ("grpc.keepalive_timeout_ms", 5_000),
    # Guard: without this option a connection to a dead peer is closed only a minute after the unanswered ping.
    ("grpc.http2.ping_timeout_ms", 5_000),
    ("grpc.keepalive_permit_without_calls", 1),
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.max_receive_message_length", 64 * 1024 * 1024),
    # Guard: the channel's default reconnect backoff would add to the backoff of `XdsClient`.
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1_000),
    ("grpc.use_local_subchannel_pool", 1),
)


class XdsStream:
    """Keeps a stream to a control plane open. Accepted resources stay active while there is none."""

    def __init__(
        self, address: str, client: XdsClient, now_ms: Callable[[], float], on_change: Callable[[], None]
    ) -> None:
        """`on_change` is called when an active cluster may have changed."""
        self.address = address
        self.client = client
        self._now_ms = now_ms
        self._on_change = on_change
        self._tasks: list[asyncio.Task[None]] = []
        self._outgoing: asyncio.Queue[Any] = asyncio.Queue()  # requests to be written to the stream

    def subscribe(self, names: Iterable[str]) -> None:
        """Subscribe to exactly these clusters."""
        self._send(self.client.subscribe(names))

    def start(self) -> None:
        self._tasks = [asyncio.create_task(self._run()), asyncio.create_task(self._run_ticks())]

    def close(self) -> None:
        for task in self._tasks:
            task.cancel()

    async def _run(self) -> None:
        while True:
            try:
                await self._run_stream()
            except (grpc.RpcError, asyncio.InvalidStateError, OSError, json_format.ParseError) as error:
                log.info("xds: stream to %s ended: %s", self.address, _describe(error))
            except Exception:
                # Guard: an unexpected exception would end this task for good, and later drains would be missed.
                log.exception("xds: stream to %s failed with an unexpected error", self.address)
            await asyncio.sleep(self.client.closed())

    async def _run_stream(self) -> None:
        """Run one stream, or one per resource type, until the first of them ends."""
        async with grpc.aio.insecure_channel(self.address, options=CHANNEL_OPTIONS) as channel:
            calls = self._open(channel)
            self._outgoing = asyncio.Queue()
            self._send(self.client.opened())
            tasks = [asyncio.create_task(self._read(call)) for call in dict.fromkeys(calls.values())]
            tasks.append(asyncio.create_task(self._write(calls)))
            try:
                done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
                for task in done:
                    task.result()
            finally:
                for call in calls.values():
                    call.cancel()
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)

    def _open(self, channel: Any) -> dict[str, Any]:
        """Open the streams; returns the gRPC call of each resource type."""
        delta = self.client.delta
        if not self.client.separate:
            stub = ads_pb2_grpc.AggregatedDiscoveryServiceStub(channel)
            call = stub.DeltaAggregatedResources() if delta else stub.StreamAggregatedResources()
            return {CLUSTER: call, ENDPOINTS: call}
        clusters = cds_pb2_grpc.ClusterDiscoveryServiceStub(channel)
        endpoints = eds_pb2_grpc.EndpointDiscoveryServiceStub(channel)
        return {
            CLUSTER: clusters.DeltaClusters() if delta else clusters.StreamClusters(),
            ENDPOINTS: endpoints.DeltaEndpoints() if delta else endpoints.StreamEndpoints(),
        }

    def _send(self, requests: list[Any]) -> None:
        for request in requests:
            self._outgoing.put_nowait(request)

    async def _write(self, calls: dict[str, Any]) -> None:
        # A single task writes: a call accepts one request at a time, and the order of requests must be kept.
        while True:
            request = await self._outgoing.get()
            await calls[request.type_url].write(request)

    async def _read(self, call: Any) -> None:
        while (response := await call.read()) is not grpc.aio.EOF:
            if response is None:
                # Guard: gRPC returns None for a message that can't be decoded, which would fail later as a response; no
                # resource can be rejected by name.
                raise ConnectionError("a response could not be decoded")
            self._send(self.client.received(self._now_ms(), response))
            self._notify()

    def _notify(self) -> None:
        try:
            self._on_change()
        except Exception:
            # Guard: an exception in the callback would end the stream that delivers drains.
            log.exception("xds: applying an update failed")

    async def _run_ticks(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            if self.client.tick(self._now_ms()):
                self._notify()


class XdsPolling(XdsStream):
    """REST-JSON polling: state of the world, with one request at a time for each resource type."""

    def __init__(
        self, address: str, client: XdsClient, now_ms: Callable[[], float], on_change: Callable[[], None]
    ) -> None:
        super().__init__(address, client, now_ms, on_change)
        self._next_polls: dict[str, Any] = {}  # by type: the request of the next poll

    def _send(self, requests: list[Any]) -> None:
        for request in requests:
            self._next_polls[request.type_url] = request

    async def _run_stream(self) -> None:
        host, port = parse_address(self.address)
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(
            lambda: ClientConnection(lambda _: None, MAX_RESPONSE_BYTES), host, port
        )
        try:
            self._next_polls = {}
            self._send(self.client.opened())
            while True:
                for type_url in list(self._next_polls):
                    request = self._next_polls[type_url]
                    response = await self._poll(connection, type_url, request)
                    if (
                        response is None
                        or request.resource_names != self._next_polls[type_url].resource_names
                    ):
                        continue  # unchanged, or a response to an outdated subscription
                    self._send(self.client.received(self._now_ms(), response))
                    self._notify()
                await asyncio.sleep(POLL_INTERVAL_S)
        finally:
            connection.abort()

    async def _poll(self, connection: ClientConnection, type_url: str, request: Any) -> Any:
        """The response to a poll; None if nothing changed (status 304, or the version that was accepted last)."""
        body = json_format.MessageToJson(request, preserving_proto_field_name=True).encode()
        header = f"POST {POLL_PATHS[type_url]} HTTP/1.1\r\nHost: {self.address}\r\nContent-Type: application/json\r\n"
        call = ResponseFuture()
        connection.start(f"{header}Content-Length: {len(body)}\r\n\r\n".encode() + body, call)
        async with asyncio.timeout(POLL_TIMEOUT_S):
            http_response = await call.done
        if not connection.usable:
            raise ConnectionError("the server closed the connection after a response")
        if http_response.status == 304:
            return None
        if http_response.status != 200:
            raise ConnectionError(f"the server responded with status {http_response.status}")
        response = json_format.Parse(
            bytes(http_response.body), discovery_pb2.DiscoveryResponse(), ignore_unknown_fields=True
        )
        if not response.type_url:
            response.type_url = type_url
        unchanged = bool(response.version_info) and response.version_info == request.version_info
        return None if unchanged or response.type_url != type_url else response


def _describe(error: BaseException) -> str:
    details: Any = getattr(error, "details", None)
    with contextlib.suppress(Exception):
        return " ".join(str(details()).split())
    return " ".join(str(error).split())
