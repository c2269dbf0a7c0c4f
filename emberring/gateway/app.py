"""The ASGI application of the client listener: reads a complete request, finds its route and executes it."""

from __future__ import annotations

import asyncio
import contextlib

import attrs

from emberring.configuration.model import ClientLimits, Configuration, Route, RouteType
from emberring.errors import BadRequestError, EmberringError, NotReadyError
from emberring.gateway.asgi import Receive, Scope, Send
from emberring.gateway.client_response import ClientResponse
from emberring.gateway.clients import ClientConnection
from emberring.gateway.execution import Executor
from emberring.gateway.jobs_api import JobsApi
from emberring.gateway.messages import ClientRequest
from emberring.gateway.ports import Directory
from emberring.gateway.responses import GatewayResponse, response_to_error
from emberring.logs import get_logger

BODY_TIMEOUT_S = 10.0  # for the body of a request without a route; otherwise the route's timeout applies
DISCARD_S = 0.5  # for discarding the rest of a request body that is too large

logger = get_logger("gateway")


class Application:
    """An ASGI application; called once for each request."""

    def __init__(self, directory: Directory, executor: Executor, jobs: JobsApi) -> None:
        self._directory = directory
        self._executor = executor
        self._jobs = jobs

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request; if the client disconnects, all work for the request is cancelled."""
        connection: ClientConnection = scope["state"]["connection"]
        task = asyncio.current_task()
        if task is not None:
            connection.on_disconnected = lambda: _cancel(task)
        response = ClientResponse(
            send, connection, _first_header(scope, b"request-id"), scope["method"] == "HEAD"
        )
        try:
            await self._handle(scope, receive, response)
        except asyncio.CancelledError:
            connection.cycle.disconnected = True
        except Exception:  # an unexpected exception fails this request only, not the process
            logger.exception("event=request_failed target=%r", scope["state"]["target"])
            if response.started:
                response.abort_response()
            else:
                await response.send_local(GatewayResponse(500, "internal error", close=True))
        finally:
            connection.on_disconnected = None

    async def _handle(self, scope: Scope, receive: Receive, response: ClientResponse) -> None:
        try:
            local_response = await self._process(scope, receive, response)
        except EmberringError as error:
            local_response = response_to_error(error)
        if local_response is not None:
            await response.send_local(local_response)

    async def _process(
        self, scope: Scope, receive: Receive, response: ClientResponse
    ) -> GatewayResponse | None:
        if scope["http_version"] != "1.1":
            return GatewayResponse(505, "HTTP/1.1 is wanted", close=True)
        configuration = self._directory.configuration
        if configuration is None:
            raise NotReadyError("no configuration is known yet")
        if scope["state"]["head_bytes"] > configuration.limits.max_header_bytes:
            return GatewayResponse(431, "the head is too long", close=True)
        request = _build_request(scope)
        route = _find_route(configuration, request)
        timeout_s = route.timeout_ms / 1000.0 if route else BODY_TIMEOUT_S
        body = await _read_body(scope, receive, configuration.limits, timeout_s)
        if isinstance(body, GatewayResponse):
            return body
        scope["state"]["connection"].watch_for_disconnect()
        request = attrs.evolve(request, body=body)
        # The configuration may have changed while the body was read; the latest one is used.
        route = _find_route(self._directory.configuration or configuration, request)
        if self._jobs.handles(request, route):
            return await self._jobs.answer(request, route, response)
        return await self._forward(request, route, response)

    async def _forward(
        self, request: ClientRequest, route: Route | None, response: ClientResponse
    ) -> GatewayResponse | None:
        if route is None:
            return GatewayResponse(404, "no route")
        if route.type is RouteType.BATCH:
            return GatewayResponse(405, "lots are submitted by POST")
        return await self._executor.run_live(request, route, response)


def _first_header(scope: Scope, name: bytes) -> bytes:
    for header_name, value in scope["headers"]:
        if header_name == name:
            return bytes(value)
    return b""


def _build_request(scope: Scope) -> ClientRequest:
    """Return the request of a scope, with an empty body.

    Raises:
        BadRequestError: the request does not have exactly one `Host` header.
    """
    hosts = [value for name, value in scope["headers"] if name == b"host"]
    if len(hosts) != 1:
        raise BadRequestError("one Host header is wanted")
    return ClientRequest(
        scope["method"].encode("ascii"),
        scope["state"]["target"],
        str(hosts[0], "latin-1").strip(),
        tuple(scope["headers"]),
        b"",
        scope["state"]["arrived_s"],
    )


def _find_route(configuration: Configuration, request: ClientRequest) -> Route | None:
    return configuration.route_for(request.host_name, request.path)


async def _read_body(
    scope: Scope, receive: Receive, limits: ClientLimits, timeout_s: float
) -> bytes | GatewayResponse:
    """Return the complete body, or an error response if it is too long or arrives too slowly."""
    content_length = _first_header(scope, b"content-length")
    if content_length.isdigit() and int(content_length) > limits.max_body_bytes:
        return await _reject_long_body(receive)
    chunks: list[bytes] = []
    size = 0
    try:
        async with asyncio.timeout(timeout_s):
            while True:
                message = await receive()
                if message["type"] == "http.disconnect":
                    raise asyncio.CancelledError
                size += len(message["body"])
                if size > limits.max_body_bytes:
                    return await _reject_long_body(receive)
                chunks.append(message["body"])
                if not message["more_body"]:
                    return chunks[0] if len(chunks) == 1 else b"".join(chunks)
    except TimeoutError:
        return GatewayResponse(408, "the body came too slowly", close=True)


async def _reject_long_body(receive: Receive) -> GatewayResponse:
    """Discard input for a short time: an immediate close would reset the connection before the client reads the 413."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(DISCARD_S):
            while (await receive()).get("more_body"):
                pass
    return GatewayResponse(413, "the body is too long", close=True)


def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()
