"""Golden file of the error kinds: value on the wire, HTTP status, responses of the gateway and of a control node,
and exit code of a tool."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from golden_api import check_golden

from emberring.cli.printing import exit_code_of
from emberring.control.app import ControlApp
from emberring.errors import (
    ERROR_RESPONSES,
    ErrorKind,
    InvalidConfigurationError,
    OverloadedError,
    error_from_wire,
)
from emberring.gateway.responses import response_to_error

KINDS = [kind.value for kind in ErrorKind]
DETAIL = "what went wrong, größer"


def error_of(kind: str) -> Exception:
    """Create an error of this kind."""
    if kind == "invalid_configuration":
        return InvalidConfigurationError(("mistake one", "mistake two"))
    return error_from_wire(kind, DETAIL)


class Raising:
    """Stands in for any component of a control node: every method raises the same error."""

    def __init__(self, error: Exception) -> None:
        self._error = error

    def __getattr__(self, name: str) -> Any:
        def call(*_: Any) -> Any:
            raise self._error

        return call


def control_answer(error: Exception) -> dict[str, Any]:
    """Return a control node's response to a change request that fails with this error."""
    events: list[dict[str, Any]] = []

    async def receive() -> dict[str, Any]:
        return {"type": "http.request", "body": b"", "more_body": False}

    async def send(event: dict[str, Any]) -> None:
        events.append(event)

    part = Raising(error)
    scope = {"type": "http", "method": "GET", "path": "/v1/config", "headers": []}
    asyncio.run(ControlApp(part, part, part)(scope, receive, send))
    head, body = events
    headers = [[name.decode(), value.decode()] for name, value in head["headers"]]
    return {"status": head["status"], "headers": headers, "json": json.loads(body["body"])}


def gateway_answer(error: Any) -> dict[str, Any]:
    """Return a gateway's response to a request that fails with this error."""
    answer = response_to_error(error)
    headers = [[name.decode(), value.decode()] for name, value in answer.headers(b"request-1")]
    return {"status": answer.status, "headers": headers, "body": answer.body.decode()}


def test_the_kinds_and_their_statuses_are_the_recorded_ones():
    found = {
        kind.value: [ERROR_RESPONSES[kind].status, ERROR_RESPONSES[kind].promises_not_executed]
        for kind in ErrorKind
    }
    check_golden("errors/kinds.json", found)


def test_each_kind_comes_back_from_the_wire_as_recorded():
    found = {}
    for kind in [*KINDS, "unknown_kind", ""]:
        error = error_from_wire(kind, DETAIL)
        found[kind] = [error.kind.value, error.detail, str(error), error_from_wire(kind, "").detail]
    check_golden("errors/wire.json", found)


def test_a_gateway_answers_each_kind_as_recorded():
    found = {kind: gateway_answer(error_of(kind)) for kind in KINDS}
    found["overloaded, to come back later"] = gateway_answer(OverloadedError(DETAIL, 1.5))
    check_golden("errors/gateway.json", found)


def test_a_control_node_answers_each_kind_as_recorded():
    found = {kind: control_answer(error_of(kind)) for kind in KINDS}
    found["a fault of the program"] = control_answer(RuntimeError("fault"))
    check_golden("errors/control.json", found)


def test_a_tool_ends_for_each_kind_as_recorded():
    check_golden("errors/exits.json", {kind: int(exit_code_of(error_of(kind))) for kind in KINDS})
