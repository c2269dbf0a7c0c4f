"""An emulated xDS control plane: an aggregated discovery server, state of the world and incremental, with fault
injection. Needs the extra `xds`."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from typing import Any

import grpc
from envoy.config.cluster.v3 import cluster_pb2
from envoy.config.endpoint.v3 import endpoint_pb2
from envoy.service.cluster.v3 import cds_pb2_grpc
from envoy.service.discovery.v3 import ads_pb2_grpc, discovery_pb2
from envoy.service.endpoint.v3 import eds_pb2_grpc
from google.protobuf import any_pb2, json_format
from google.protobuf.message import Message

from loadbalancer.emulator.box import Box, Seen

CLUSTER = "type.googleapis.com/envoy.config.cluster.v3.Cluster"
ENDPOINTS = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"


def packed(message: Message) -> any_pb2.Any:
    found = any_pb2.Any()
    found.Pack(message)
    return found


def cluster(name: str, **more: Any) -> any_pb2.Any:
    """An EDS cluster served by ADS; `more` overrides its fields, in the JSON form of the API."""
    data = {"name": name, "type": "EDS", "eds_cluster_config": {"eds_config": {"ads": {}}}} | more
    return packed(json_format.ParseDict(data, cluster_pb2.Cluster()))


def endpoints(name: str, *rows: dict[str, Any], **more: Any) -> any_pb2.Any:
    """Endpoints of one locality; a row has `address` (`host:port`) and fields of `LbEndpoint`."""
    found = []
    for row in rows:
        host, _, port = row["address"].rpartition(":")
        socket = {"socket_address": {"address": host, "port_value": int(port)}}
        rest = {key: value for key, value in row.items() if key != "address"}
        found.append({"endpoint": {"address": socket}} | rest)
    data = {"cluster_name": name, "endpoints": [{"lb_endpoints": found} | more]}
    return packed(json_format.ParseDict(data, endpoint_pb2.ClusterLoadAssignment()))


@dataclass(slots=True)
class Asked:
    """A received request and the number of its stream."""

    stream: int
    request: Any


@dataclass(slots=True)
class _Stream:
    """The state of one stream; `sent` maps types to the names and versions that it has received."""

    number: int
    queue: asyncio.Queue[Any] = field(default_factory=asyncio.Queue)
    names: dict[str, set[str]] = field(default_factory=dict)
    sent: dict[str, dict[str, str]] = field(default_factory=dict)
    nonce: int = 0


def _subscribe_all(stream: _Stream, request: Any) -> None:
    """State of the world: the request names all subscribed resources."""
    names = set(request.resource_names)
    if names != stream.names.get(request.type_url):
        stream.names[request.type_url] = names
        stream.sent.pop(request.type_url, None)


def _subscribe_changes(stream: _Stream, request: Any) -> None:
    """Incremental: the request names added and removed subscriptions."""
    names = stream.names.setdefault(request.type_url, set())
    names |= set(request.resource_names_subscribe)
    names -= set(request.resource_names_unsubscribe)
    sent = stream.sent.setdefault(request.type_url, dict(request.initial_resource_versions))
    for name in request.resource_names_unsubscribe:
        sent.pop(name, None)


class ControlPlane(
    ads_pb2_grpc.AggregatedDiscoveryServiceServicer,  # type: ignore[misc]
    cds_pb2_grpc.ClusterDiscoveryServiceServicer,  # type: ignore[misc]
    eds_pb2_grpc.EndpointDiscoveryServiceServicer,  # type: ignore[misc]
):
    """`put` and `remove` change its resources; streams receive changes immediately, except for types in `silent`."""

    def __init__(self) -> None:
        self.resources: dict[str, dict[str, any_pb2.Any]] = {CLUSTER: {}, ENDPOINTS: {}}
        self.versions: dict[str, dict[str, str]] = {CLUSTER: {}, ENDPOINTS: {}}
        self.version = 0
        self.asked: list[Asked] = []
        self.silent: set[str] = set()  # resource types for which no responses are sent
        self.streams: dict[int, _Stream] = {}
        self._stream_count = 0
        self._server: Any = None
        self._rest: Box
        self.port = 0

    async def start(self, port: int = 0) -> ControlPlane:
        self._server = grpc.aio.server()
        ads_pb2_grpc.add_AggregatedDiscoveryServiceServicer_to_server(self, self._server)
        cds_pb2_grpc.add_ClusterDiscoveryServiceServicer_to_server(self, self._server)
        eds_pb2_grpc.add_EndpointDiscoveryServiceServicer_to_server(self, self._server)
        self.port = self._server.add_insecure_port(f"127.0.0.1:{port}")
        await self._server.start()
        self._rest = await Box("rest", answer=self._poll).start()
        return self

    async def stop(self) -> None:
        self._rest.stop()
        await self._server.stop(None)

    @property
    def endpoint(self) -> str:
        return f"127.0.0.1:{self.port}"

    @property
    def rest_endpoint(self) -> str:
        return self._rest.endpoint

    # ----------------------------------------------------------------------- script

    def put(self, *resources: any_pb2.Any, tell: bool = True) -> None:
        """Add resources, or replace those of the same name."""
        self.version += 1
        for resource in resources:
            kind = cluster_pb2.Cluster if resource.type_url == CLUSTER else endpoint_pb2.ClusterLoadAssignment
            message = kind.FromString(resource.value)
            name = message.name if resource.type_url == CLUSTER else message.cluster_name
            self.resources[resource.type_url][name] = resource
            self.versions[resource.type_url][name] = str(self.version)
        if tell:
            self.tell()

    def remove(self, type_url: str, name: str) -> None:
        self.version += 1
        self.resources[type_url].pop(name)
        self.versions[type_url].pop(name)
        self.tell()

    def tell(self) -> None:
        """Make each stream send its pending changes."""
        for stream in self.streams.values():
            stream.queue.put_nowait(None)

    def say(self, response: Any) -> None:
        """Send this response unchanged on all streams."""
        for stream in self.streams.values():
            stream.queue.put_nowait(response)

    def drop_streams(self) -> None:
        for stream in self.streams.values():
            stream.queue.put_nowait(ConnectionError("stream dropped"))

    def forget(self) -> None:
        """Emulate a restart that resets all versions."""
        self.version = 0
        for versions in self.versions.values():
            for name in versions:
                versions[name] = "0"

    def errors(self) -> list[str]:
        """The error messages of all rejected responses (NACKs)."""
        return [
            item.request.error_detail.message for item in self.asked if item.request.HasField("error_detail")
        ]

    # --------------------------------------------------------------------- service

    async def StreamAggregatedResources(  # noqa: N802 - name defined by the service
        self, requests: AsyncIterator[Any], context: Any
    ) -> AsyncIterator[Any]:
        async for response in self._serve(
            requests, discovery_pb2.DiscoveryResponse, _subscribe_all, self._state_response
        ):
            yield response

    async def DeltaAggregatedResources(  # noqa: N802 - name defined by the service
        self, requests: AsyncIterator[Any], context: Any
    ) -> AsyncIterator[Any]:
        kind = discovery_pb2.DeltaDiscoveryResponse
        async for response in self._serve(requests, kind, _subscribe_changes, self._delta_response):
            yield response

    async def _serve(
        self,
        requests: AsyncIterator[Any],
        kind: Any,
        subscribe: Callable[[_Stream, Any], None],
        answer: Callable[[_Stream, str], Any],
    ) -> AsyncIterator[Any]:
        """Serve one stream: scripted responses are sent unchanged, else pending changes after a request or a change."""
        async with self._open_stream(requests) as stream:
            while True:
                request = await stream.queue.get()
                if isinstance(request, Exception):
                    return
                if isinstance(request, kind):
                    yield request
                    continue
                if request is not None:
                    subscribe(stream, request)
                for type_url in (CLUSTER, ENDPOINTS):
                    response = answer(stream, type_url)
                    if response is not None:
                        yield response

    StreamClusters = StreamEndpoints = StreamAggregatedResources
    DeltaClusters = DeltaEndpoints = DeltaAggregatedResources

    def _poll(self, seen: Seen) -> bytes:
        """`POST /v3/discovery:clusters` and `:endpoints`: the state, or 304 if the client has this version."""
        request = json_format.Parse(bytes(seen.body), discovery_pb2.DiscoveryRequest())
        self.asked.append(Asked(0, request))
        versions = self.versions[request.type_url]
        names = [name for name in request.resource_names if name in versions]
        version = str(max((int(versions[name]) for name in names), default=0)) + f"-{len(names)}"
        if request.type_url in self.silent or (version == request.version_info and names):
            return b"HTTP/1.1 304 Not Modified\r\n\r\n"
        response = discovery_pb2.DiscoveryResponse(
            version_info=version,
            resources=[self.resources[request.type_url][name] for name in names],
            type_url=request.type_url,
            nonce=f"r{len(self.asked)}",
        )
        body: bytes = json_format.MessageToJson(response).encode()
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body

    @contextlib.asynccontextmanager
    async def _open_stream(self, requests: AsyncIterator[Any]) -> AsyncIterator[_Stream]:
        self._stream_count += 1
        stream = self.streams[self._stream_count] = _Stream(self._stream_count)

        async def read() -> None:
            async for request in requests:
                self.asked.append(Asked(stream.number, request))
                stream.queue.put_nowait(request)
            stream.queue.put_nowait(ConnectionError("the client closed its side of the stream"))

        reader = asyncio.create_task(read())
        try:
            yield stream
        finally:
            reader.cancel()
            self.streams.pop(stream.number, None)

    def _subscribed_versions(self, stream: _Stream, type_url: str) -> dict[str, str]:
        return {
            name: version
            for name, version in self.versions[type_url].items()
            if name in stream.names[type_url]
        }

    def _state_response(self, stream: _Stream, type_url: str) -> Any:
        if type_url not in stream.names or type_url in self.silent:
            return None
        subscribed = self._subscribed_versions(stream, type_url)
        if stream.sent.get(type_url) == subscribed:
            return None
        stream.sent[type_url] = subscribed
        stream.nonce += 1
        return discovery_pb2.DiscoveryResponse(
            version_info=str(self.version),
            resources=[self.resources[type_url][name] for name in subscribed],
            type_url=type_url,
            nonce=f"n{stream.nonce}",
        )

    def _delta_response(self, stream: _Stream, type_url: str) -> Any:
        if type_url not in stream.names or type_url in self.silent:
            return None
        subscribed, sent = self._subscribed_versions(stream, type_url), stream.sent[type_url]
        changed = [name for name, version in subscribed.items() if sent.get(name) != version]
        removed = [name for name in sent if name not in subscribed and name in stream.names[type_url]]
        if not changed and not removed:
            return None
        stream.sent[type_url] = subscribed
        stream.nonce += 1
        return discovery_pb2.DeltaDiscoveryResponse(
            system_version_info=str(self.version),
            resources=[
                discovery_pb2.Resource(
                    name=name, version=subscribed[name], resource=self.resources[type_url][name]
                )
                for name in changed
            ],
            removed_resources=removed,
            type_url=type_url,
            nonce=f"n{stream.nonce}",
        )
