"""Ways to a control plane: an aggregated stream, a stream for each type, and polling in REST-JSON.

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
from loadbalancer.http.client import Awaited, ClientConnection
from loadbalancer.xds.protocol import XdsClient
from loadbalancer.xds.resources import CLUSTER, ENDPOINTS

log = logging.getLogger("loadbalancer")

POLL_S = 0.2  # between two polls: a drain has to be kept within 500 ms of being written
POLL_WAIT_S = 5.0  # for the answer to one
LARGEST = 64 * 1024 * 1024
TARGETS = {CLUSTER: "/v3/discovery:clusters", ENDPOINTS: "/v3/discovery:endpoints"}
TICK_S = 0.5  # between two looks at what waits for its endpoints
OPTIONS = (
    # HTTP/2 pings tell a dead peer from a quiet one (gRPC's keepalive guide); control planes allow 30 s as a rule, and
    # the channel doubles it by itself where one does not.
    ("grpc.keepalive_time_ms", 30_000),
    ("grpc.keepalive_timeout_ms", 5_000),
    # Guard: an unanswered ping ends a connection by this limit, a minute where it is not set.
    ("grpc.http2.ping_timeout_ms", 5_000),
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
        self._out: asyncio.Queue[Any] = asyncio.Queue()  # requests that wait for their turn on the stream

    def want(self, names: Iterable[str]) -> None:
        """Want these clusters from now on, and no others."""
        self._send(self.client.want(names))

    def start(self) -> None:
        self._tasks = [asyncio.create_task(self._follow()), asyncio.create_task(self._tick())]

    def close(self) -> None:
        for task in self._tasks:
            task.cancel()

    async def _follow(self) -> None:
        while True:
            try:
                await self._once()
            except (grpc.RpcError, asyncio.InvalidStateError, OSError, json_format.ParseError) as error:
                log.info("xds: stream to %s is gone: %s", self.address, _said(error))
            except Exception:
                # Guard: a fault of ours would end the following for good, and no drain be heard any more.
                log.exception("xds: the stream to %s has failed", self.address)
            await asyncio.sleep(self.client.closed())

    async def _once(self) -> None:
        """One stream, or one for each type, from opening to the first end."""
        async with grpc.aio.insecure_channel(self.address, options=OPTIONS) as channel:
            calls = self._open(channel)
            self._out = asyncio.Queue()
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
        """The call of each type."""
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
            self._out.put_nowait(request)

    async def _write(self, calls: dict[str, Any]) -> None:
        # One writer: a call takes one request at a time, and they have to leave in the order of their making.
        while True:
            request = await self._out.get()
            await calls[request.type_url].write(request)

    async def _read(self, call: Any) -> None:
        while (response := await call.read()) is not grpc.aio.EOF:
            if response is None:
                # Guard: the library's word for a message that can't be decoded; nothing of it can be rejected by name.
                raise ConnectionError("a response could not be decoded")
            self._send(self.client.received(self._now_ms(), response))
            self._changed()

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


class XdsPolling(XdsStream):
    """REST-JSON polling: state of the world, one call for each type at a time."""

    def __init__(
        self, address: str, client: XdsClient, now_ms: Callable[[], float], on_change: Callable[[], None]
    ) -> None:
        super().__init__(address, client, now_ms, on_change)
        self._due: dict[str, Any] = {}  # by type, what the next poll asks

    def _send(self, requests: list[Any]) -> None:
        for request in requests:
            self._due[request.type_url] = request

    async def _once(self) -> None:
        host, port = parse_address(self.address)
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(
            lambda: ClientConnection(lambda _: None, LARGEST), host, port
        )
        try:
            self._due = {}
            self._send(self.client.opened())
            while True:
                for type_url in list(self._due):
                    request = self._due[type_url]
                    response = await self._poll(connection, type_url, request)
                    if response is None or request.resource_names != self._due[type_url].resource_names:
                        continue  # nothing new, or an answer to what is no longer asked
                    self._send(self.client.received(self._now_ms(), response))
                    self._changed()
                await asyncio.sleep(POLL_S)
        finally:
            connection.abort()

    async def _poll(self, connection: ClientConnection, type_url: str, request: Any) -> Any:
        """The response; None where nothing is new (304, or the version that is held)."""
        body = json_format.MessageToJson(request, preserving_proto_field_name=True).encode()
        head = (
            f"POST {TARGETS[type_url]} HTTP/1.1\r\nHost: {self.address}\r\nContent-Type: application/json\r\n"
        )
        call = Awaited()
        connection.start(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body, call)
        async with asyncio.timeout(POLL_WAIT_S):
            answer = await call.done
        if not connection.usable:
            raise ConnectionError("the connection was ended after an answer")
        if answer.status == 304:
            return None
        if answer.status != 200:
            raise ConnectionError(f"answered {answer.status}")
        response = json_format.Parse(
            bytes(answer.body), discovery_pb2.DiscoveryResponse(), ignore_unknown_fields=True
        )
        if not response.type_url:
            response.type_url = type_url
        same = bool(response.version_info) and response.version_info == request.version_info
        return None if same or response.type_url != type_url else response


def _said(error: BaseException) -> str:
    details: Any = getattr(error, "details", None)
    with contextlib.suppress(Exception):
        return " ".join(str(details()).split())
    return " ".join(str(error).split())
