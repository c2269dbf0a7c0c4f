"""The application behind the clients' listener: reads a complete request, finds its route, has it executed."""

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

BODY_TIMEOUT_S = 10.0  # for a body without a route; otherwise the route's time-out applies
DISCARD_S = 0.5  # for reading on after the response to a request that is too large

logger = get_logger("gateway")


class Application:
    """An ASGI application; called once for each request."""

    def __init__(self, directory: Directory, executor: Executor, jobs: JobsApi) -> None:
        self._directory = directory
        self._executor = executor
        self._jobs = jobs

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request; a client that disconnects cancels all work for it at once."""
        connection: ClientConnection = scope["state"]["connection"]
        task = asyncio.current_task()
        if task is not None:
            connection.on_disconnected = lambda: _cancel(task)
        response = ClientResponse(send, connection, _header(scope, b"request-id"), scope["method"] == "HEAD")
        try:
            await self._handle(scope, receive, response)
        except asyncio.CancelledError:
            connection.cycle.disconnected = True
        except Exception:  # outermost loop: a programming error fails this request alone, not the process
            logger.exception("event=request_failed target=%r", scope["state"]["target"])
            if response.started:
                response.abort_response()
            else:
                await response.send_local(GatewayResponse(500, "internal error", close=True))
        finally:
            connection.on_disconnected = None

    async def _handle(self, scope: Scope, receive: Receive, response: ClientResponse) -> None:
        try:
            final = await self._carry_out(scope, receive, response)
        except EmberringError as error:
            final = response_to_error(error)
        if final is not None:
            await response.send_local(final)

    async def _carry_out(
        self, scope: Scope, receive: Receive, response: ClientResponse
    ) -> GatewayResponse | None:
        if scope["http_version"] != "1.1":
            return GatewayResponse(505, "HTTP/1.1 is wanted", close=True)
        configuration = self._directory.configuration
        if configuration is None:
            raise NotReadyError("no configuration is known yet")
        if scope["state"]["head_bytes"] > configuration.limits.max_header_bytes:
            return GatewayResponse(431, "the head is too long", close=True)
        request = _request_of(scope)
        route = _route_of(configuration, request)
        limit_s = route.timeout_ms / 1000.0 if route else BODY_TIMEOUT_S
        body = await _read_body(scope, receive, configuration.limits, limit_s)
        if isinstance(body, GatewayResponse):
            return body
        request = attrs.evolve(request, body=body)
        # The configuration in force once the request is complete decides.
        route = _route_of(self._directory.configuration or configuration, request)
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


def _header(scope: Scope, name: bytes) -> bytes:
    for found, value in scope["headers"]:
        if found == name:
            return bytes(value)
    return b""


def _request_of(scope: Scope) -> ClientRequest:
    """Return the request of a scope, its body still to come.

    Raises:
        BadRequestError: it does not name exactly one host.
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


def _route_of(configuration: Configuration, request: ClientRequest) -> Route | None:
    return configuration.route_for(request.host_name, request.path)


async def _read_body(
    scope: Scope, receive: Receive, limits: ClientLimits, limit_s: float
) -> bytes | GatewayResponse:
    """Return the complete body, or the response to one that is too long or arrives too slowly."""
    announced = _header(scope, b"content-length")
    if announced.isdigit() and int(announced) > limits.max_body_bytes:
        return await _refuse(receive)
    chunks: list[bytes] = []
    size = 0
    try:
        async with asyncio.timeout(limit_s):
            while True:
                message = await receive()
                if message["type"] == "http.disconnect":
                    raise asyncio.CancelledError
                size += len(message["body"])
                if size > limits.max_body_bytes:
                    return await _refuse(receive)
                chunks.append(message["body"])
                if not message["more_body"]:
                    return chunks[0] if len(chunks) == 1 else b"".join(chunks)
    except TimeoutError:
        return GatewayResponse(408, "the body came too slowly", close=True)


async def _refuse(receive: Receive) -> GatewayResponse:
    """Read on for a moment, so that the client reads the response before a reset."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(DISCARD_S):
            while (await receive()).get("more_body"):
                pass
    return GatewayResponse(413, "the body is too long", close=True)


def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()
