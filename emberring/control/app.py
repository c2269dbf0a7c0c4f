"""The HTTP interface of a control node: the operator's orders and the servers' heartbeats, as an ASGI program."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import attrs
import orjson

from emberring.configuration.change_requests import ChangeRequestKind
from emberring.control.heartbeat_handler import HeartbeatHandler
from emberring.control.operator_requests import OperatorRequests
from emberring.control.status_page import StatusPage
from emberring.errors import BadRequestError, EmberringError, NotFoundError
from emberring.logs import get_logger

LARGEST_BODY_BYTES = 32 * 1024 * 1024

logger = get_logger("control")

Receive = Callable[[], Awaitable[Any]]
Send = Callable[[Any], Awaitable[None]]


@attrs.frozen
class Call:
    """A request that was read whole."""

    method: str
    path: str
    if_match: str | None
    body: bytes


@attrs.frozen
class Reply:
    """An answer; the body is JSON."""

    status: int
    body: bytes = b"{}"


class ControlApp:
    """Hands each call to the part that answers it."""

    def __init__(self, orders: OperatorRequests, desk: HeartbeatHandler, page: StatusPage) -> None:
        self._orders = orders
        self._desk = desk
        self._page = page
        self._table: tuple[tuple[str, re.Pattern[str], Callable[[Call, str], Awaitable[Reply]]], ...] = (
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

    async def __call__(self, scope: Any, receive: Receive, send: Send) -> None:
        """Answer one request."""
        if scope["type"] != "http":
            return
        try:
            reply = await self._answer(await _read(scope, receive))
        except EmberringError as error:
            reply = _failed(error)
        except Exception:
            logger.exception("event=call_failed path=%s", scope.get("path"))
            reply = Reply(500)
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", str(len(reply.body)).encode()),
        ]
        await send({"type": "http.response.start", "status": reply.status, "headers": headers})
        await send({"type": "http.response.body", "body": reply.body})

    async def _answer(self, call: Call) -> Reply:
        for method, pattern, handler in self._table:
            found = pattern.fullmatch(call.path)
            if found is not None and method == call.method:
                return await handler(call, found.group(1))
        raise NotFoundError(f"nothing at {call.method} {call.path}")

    async def _heartbeat(self, call: Call, server_id: str) -> Reply:
        await self._desk.heartbeat(server_id, call.body)
        return Reply(200)

    async def _goodbye(self, call: Call, server_id: str) -> Reply:
        await self._desk.goodbye(server_id)
        return Reply(200)

    async def _configure(self, call: Call, _: str) -> Reply:
        version = await self._orders.configure(ChangeRequestKind(call.method), call.if_match, call.body)
        return Reply(200, orjson.dumps({"Version": version}))

    async def _configuration(self, call: Call, _: str) -> Reply:
        return Reply(200, await self._orders.current())

    async def _retire(self, call: Call, name: str) -> Reply:
        return Reply(200, orjson.dumps({"State": await self._orders.retire(name)}))

    async def _retirement(self, call: Call, name: str) -> Reply:
        return Reply(200, orjson.dumps({"State": await self._orders.retirement(name)}))

    async def _ready(self, call: Call, _: str) -> Reply:
        return Reply(200)

    async def _status(self, call: Call, _: str) -> Reply:
        return Reply(200, self._page.render(asyncio.get_running_loop().time()))


def _failed(error: EmberringError) -> Reply:
    return Reply(error.response.status, orjson.dumps({"Error": error.kind.value, "Detail": error.detail}))


async def _read(scope: Any, receive: Receive) -> Call:
    parts: list[bytes] = []
    size = 0
    while True:
        event = await receive()
        if event["type"] == "http.disconnect":
            raise BadRequestError("the caller left before its request was whole")
        part = event.get("body", b"")
        size += len(part)
        if size > LARGEST_BODY_BYTES:
            raise BadRequestError(f"the body is longer than {LARGEST_BODY_BYTES} bytes")
        parts.append(part)
        if not event.get("more_body"):
            break
    return Call(scope["method"], scope["path"], _header(scope["headers"], b"if-match"), b"".join(parts))


def _header(headers: Iterable[tuple[bytes, bytes]], name: bytes) -> str | None:
    for key, value in headers:
        if key.lower() == name:
            return value.decode("latin-1")
    return None
