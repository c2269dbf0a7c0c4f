"""Parses the heartbeats of model servers."""

from __future__ import annotations

from typing import Any

import attrs
import orjson

from emberring.distribution.records import ServerRecord, ServerState
from emberring.errors import BadRequestError
from emberring.http_syntax import is_field_value
from emberring.settings import is_address

_STATES = {"ready": ServerState.READY, "draining": ServerState.DRAINING}


@attrs.frozen
class Heartbeat:
    """A server's report of its own state; `record.sequence` increases with each heartbeat."""

    record: ServerRecord

    @property
    def draining(self) -> bool:
        """Whether the server is draining."""
        return self.record.state is ServerState.DRAINING


def read_heartbeat(server_id: str, body: bytes) -> Heartbeat:
    """Parse the JSON body of a heartbeat; unknown fields are ignored.

    Args:
        server_id: id of the incarnation, from the path of the request.
        body: the JSON object.

    Raises:
        BadRequestError: the heartbeat is malformed, or gateways could send this server no request: its id does not fit
            into `Expected-Instance`, or its address is none.
    """
    if not is_field_value(server_id):
        raise BadRequestError(f"not a heartbeat: {server_id!r} can't be sent in a header")
    try:
        table = orjson.loads(body)
        record = ServerRecord(
            id=server_id,
            service=_text(table, "Service"),
            address=_address(table, "Address"),
            zone=str(table.get("Zone") or ""),
            capacity=int(table.get("Capacity") or 0),
            state=_STATES.get(str(table.get("State")), ServerState.READY),
            sequence=int(table.get("Sequence") or 0),
            cold_ms=float(table.get("ColdRemainingMs") or 0.0),
            version=str(table.get("Version") or ""),
        )
    except (ValueError, TypeError, AttributeError, KeyError) as error:
        raise BadRequestError(f"not a heartbeat: {error}") from error
    return Heartbeat(record)


def _address(table: dict[str, Any], key: str) -> str:
    value = _text(table, key)
    if not is_address(value):
        raise ValueError(f"{key} is no host:port")
    return value


def _text(table: dict[str, Any], key: str) -> str:
    value = table[key]
    if not isinstance(value, str) or not value:
        raise ValueError(f"{key} is missing")
    return value
