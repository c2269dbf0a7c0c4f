"""The HTTP interface of a control node: operators' requests and servers' heartbeats, as an ASGI application."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Awaitable, Callable, Iterable, MutableMapping
from typing import Any

import attrs
import orjson

from emberring.configuration.change_requests import ChangeRequestKind
from emberring.control.heartbeat_handler import HeartbeatHandler
from emberring.control.operator_requests import OperatorRequests
from emberring.control.status_page import StatusPage
from emberring.errors import BadRequestError, EmberringError, NotFoundError
from emberring.logs import get_logger

MAX_BODY_BYTES = 32 * 1024 * 1024

logger = get_logger("control")

Scope = MutableMapping[str, Any]
"""The `scope` of the ASGI specification."""
Event = MutableMapping[str, Any]
"""An event of the ASGI specification."""
Receive = Callable[[], Awaitable[Event]]
Send = Callable[[Event], Awaitable[None]]


@attrs.frozen
class Request:
    """A request with its complete body."""

    method: str
    path: str
    if_match: str | None
    body: bytes


@attrs.frozen
class Response:
    """A response; the body is JSON."""

    status: int
    body: bytes = b"{}"


class ControlApp:
    """Routes each request to its handler."""

    def __init__(
        self,
        operator_requests: OperatorRequests,
        heartbeat_handler: HeartbeatHandler,
        status_page: StatusPage,
    ) -> None:
        self._operator_requests = operator_requests
        self._heartbeat_handler = heartbeat_handler
        self._status_page = status_page
        self._routes: tuple[
            tuple[str, re.Pattern[str], Callable[[Request, str], Awaitable[Response]]], ...
        ] = (
            ("PUT", re.compile(r"/v1/instances/(.+)"), self._heartbeat),
            ("DELETE", re.compile(r"/v1/instances/(.+)"), self._goodbye),
            ("PUT", re.compile(r"/v1/(config)"), self._configure),
            ("PATCH", re.compile(r"/v1/(config)"), self._configure),
            ("GET", re.compile(r"/v1/(config)"), self._configuration),
            ("POST", re.compile(r"/v1/retire/(.+)"), self._retire),
            ("GET", re.compile(r"/v1/retire/(.+)"), self._retirement),
            ("GET", re.compile(r"/v1/(readyz)"), self._ready),
            ("GET", re.compile(r"/v1/(status)"), self._status),
        )

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one request."""
        if scope["type"] != "http":
            return
        try:
            response = await self._answer(await _read_request(scope, receive))
        except EmberringError as error:
            response = _error_response(error)
        except Exception:
            logger.exception("event=call_failed path=%s", scope.get("path"))
            response = Response(500)
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", str(len(response.body)).encode()),
        ]
        await send({"type": "http.response.start", "status": response.status, "headers": headers})
        await send({"type": "http.response.body", "body": response.body})

    async def _answer(self, request: Request) -> Response:
        for method, pattern, handler in self._routes:
            match = pattern.fullmatch(request.path)
            if match is not None and method == request.method:
                return await handler(request, match.group(1))
        raise NotFoundError(f"nothing at {request.method} {request.path}")

    async def _heartbeat(self, request: Request, server_id: str) -> Response:
        await self._heartbeat_handler.heartbeat(server_id, request.body)
        return Response(200)

    async def _goodbye(self, request: Request, server_id: str) -> Response:
        await self._heartbeat_handler.goodbye(server_id)
        return Response(200)

    async def _configure(self, request: Request, _: str) -> Response:
        version = await self._operator_requests.configure(
            ChangeRequestKind(request.method), request.if_match, request.body
        )
        return Response(200, orjson.dumps({"Version": version}))

    async def _configuration(self, request: Request, _: str) -> Response:
        return Response(200, await self._operator_requests.current_document())

    async def _retire(self, request: Request, name: str) -> Response:
        return Response(200, orjson.dumps({"State": await self._operator_requests.retire(name)}))

    async def _retirement(self, request: Request, name: str) -> Response:
        return Response(200, orjson.dumps({"State": await self._operator_requests.retirement(name)}))

    async def _ready(self, request: Request, _: str) -> Response:
        return Response(200)

    async def _status(self, request: Request, _: str) -> Response:
        return Response(200, self._status_page.render(asyncio.get_running_loop().time()))


def _error_response(error: EmberringError) -> Response:
    return Response(error.response.status, orjson.dumps({"Error": error.kind.value, "Detail": error.detail}))


async def _read_request(scope: Scope, receive: Receive) -> Request:
    chunks: list[bytes] = []
    size = 0
    while True:
        event = await receive()
        if event["type"] == "http.disconnect":
            raise BadRequestError("the client disconnected before its request was complete")
        chunk = event.get("body", b"")
        size += len(chunk)
        if size > MAX_BODY_BYTES:
            raise BadRequestError(f"the body is longer than {MAX_BODY_BYTES} bytes")
        chunks.append(chunk)
        if not event.get("more_body"):
            break
    return Request(scope["method"], scope["path"], _header(scope["headers"], b"if-match"), b"".join(chunks))


def _header(headers: Iterable[tuple[bytes, bytes]], name: bytes) -> str | None:
    for key, value in headers:
        if key.lower() == name:
            return value.decode("latin-1")
    return None
