"""Adapter to the simulator: reads batches of events on standard input, writes replies to standard output.

It only translates; all decisions are made by loadbalancer.balancer. One process hosts many independent nodes.
"""

from __future__ import annotations

import sys
import traceback
from collections.abc import Callable
from typing import BinaryIO

import orjson

from loadbalancer.balancer import Balancer
from loadbalancer.interface import (
    Action,
    Alarm,
    Cancel,
    Event,
    Fail,
    Lapsed,
    ListForm,
    Membership,
    Outcome,
    Probed,
    Refuse,
    Request,
    Result,
    Send,
    Server,
    ServerState,
    Started,
    Wake,
    Watch,
)
from loadbalancer.settings import Row, parse_settings

RESULT_BY_CODE = {
    0: Result.OK,
    255: Result.ERROR,
    254: Result.FULL,
    253: Result.TIMEOUT,
    252: Result.CONNECT_FAILED,
    251: Result.RESET,
    250: Result.CANCELLED,
    249: Result.MOOT,
}
IGNORED_KINDS = ("PEER",)


class WireError(Exception):
    """Malformed input that can't be attributed to a node."""


class Node:
    """One hosted balancer and its settings."""

    def __init__(self, config: Row, seed: int, now_ms: float) -> None:
        self.settings = parse_settings(config)
        self.balancer = Balancer(self.settings, seed, now_ms)

    def report(self, values: list[float | None] | None) -> dict[str, float] | None:
        """Return a load report as a dictionary by field name; None if there is none."""
        if not values:
            return None
        pairs = zip(self.settings.report_fields, values, strict=False)
        return {name: value for name, value in pairs if value is not None}


class Host:
    """All nodes of one process; `event` handles one event of a batch and returns the rows of the reply."""

    def __init__(self) -> None:
        self.nodes: dict[int, Node] = {}
        self.catalogs: dict[int, tuple[Server, ...]] = {}
        self.now = 0.0

    def event(self, row: Row) -> list[Row]:
        """Handle one event; an exception in a node is reported as PANIC and removes that node."""
        kind = row.get("kind")
        if kind == "CATALOG":
            self.catalogs[row["ref"]] = tuple(_server(line) for line in row["rows"])
            return []
        number = row.get("node")
        if not isinstance(number, int):
            raise WireError(f"event {kind!r} names no node")
        try:
            return self._node_event(kind, number, row)
        except Exception as error:
            # An exception in one node must not affect the other nodes of this process.
            traceback.print_exc(file=sys.stderr)
            self.nodes.pop(number, None)
            text = f"{kind}: {type(error).__name__}: {error}"
            return [{"kind": "PANIC", "node": number, "bodyText": text[:500]}]

    def _node_event(self, kind: object, number: int, row: Row) -> list[Row]:
        if kind == "POWER_ON":
            self.nodes[number] = Node(row["config"], row["seed"], self.now)
            return []
        node = self.nodes.get(number)
        if node is None:
            raise ValueError(f"node {number} was never started")
        if kind == "STOP":
            del self.nodes[number]
            return []
        if kind in IGNORED_KINDS:
            return []
        read = EVENT_READERS.get(str(kind))
        if read is None:
            raise ValueError("unknown kind of event")
        return [
            _action_row(number, action) for action in node.balancer.handle(self.now, read(self, node, row))
        ]

    def membership_event(self, _node: Node, row: Row) -> Event:
        """Return a membership event that refers to an earlier catalog."""
        form = ListForm(row["form"])
        return Membership(form, () if form is ListForm.FAILED else self.catalogs[row["ref"]])


def _server(row: Row) -> Server:
    return Server(
        address=row["server"],
        zone=row.get("zone") or "",
        cell=row.get("bay") or 0,
        state=ServerState(row["stageState"]),
        launched_ms=row.get("launchedMs") or None,
    )


def _request(_host: Host, node: Node, row: Row) -> Event:
    if row["lane"] not in node.balancer.classes:
        raise ValueError(f"lane: {row['lane']!r} is not one of {', '.join(node.balancer.classes)}")
    return Request(
        id=row["txn"],
        service=row["lane"],
        give_up_at_ms=row["giveUpAtMs"],
        tenant=row.get("billing") or None,
        cost_hint_ms=row.get("expectedMs"),
        is_retry=bool(row.get("isRetry")),
    )


def _outcome(_host: Host, node: Node, row: Row) -> Event:
    if row["rc"] not in RESULT_BY_CODE:
        raise ValueError(f"rc: {row['rc']!r} is not one of {', '.join(map(str, RESULT_BY_CODE))}")
    return Outcome(
        id=row["txn"],
        attempt=row["attempt"],
        server=row["server"],
        result=RESULT_BY_CODE[row["rc"]],
        latency_ms=row["latencyMs"],
        done=bool(row.get("doneFlag")),
        report=node.report(row.get("telemetry")),
    )


def _probed(_host: Host, node: Node, row: Row) -> Event:
    result = RESULT_BY_CODE.get(row["rc"], Result.ERROR)
    return Probed(row["server"], result, row["latencyMs"], node.report(row.get("telemetry")))


EVENT_READERS: dict[str, Callable[[Host, Node, Row], Event]] = {
    "MEMBERSHIP": Host.membership_event,
    "NEW_REQUEST": _request,
    "FIRST": lambda _host, _node, row: Started(row["txn"], row["attempt"]),
    "RETURNED": _outcome,
    "LAPSED": lambda _host, _node, row: Lapsed(row["txn"]),
    "ALARM": lambda _host, _node, row: Alarm(row["name"]),
    "HEALTH": _probed,
}


def _action_row(node: int, action: Action) -> Row:
    match action:
        case Send():
            row: Row = {"kind": "ISSUE", "txn": action.id, "server": action.server}
            row["timeoutMs"] = action.timeout_ms
        case Refuse():
            row = {"kind": "DECLINE", "txn": action.id, "stayAwayMs": action.retry_after_ms}
        case Fail():
            row = {"kind": "FINISH_ERROR", "txn": action.id}
        case Cancel():
            row = {"kind": "RETRACT", "txn": action.id, "attempt": action.attempt}
        case Wake():
            row = {"kind": "SLEEP", "delayMs": action.delay_ms, "name": action.name}
        case Watch():
            row = {"kind": "OBSERVE", "enable": True}
    row["node"] = node
    return row


def _parse_line(line: bytes) -> Row:
    try:
        row = orjson.loads(line)
    except orjson.JSONDecodeError as error:
        raise WireError(f"not a line of JSON: {error}: {line[:200]!r}") from error
    if not isinstance(row, dict):
        raise WireError(f"not an object: {line[:200]!r}")
    return row


def _reply_lines(host: Host, row: Row) -> list[bytes]:
    """Return the reply lines for an event; raises WireError for a malformed one."""
    try:
        return [orjson.dumps(action) for action in host.event(row)]
    except (KeyError, TypeError, ValueError) as error:
        raise WireError(f"{row.get('kind')!r}: {type(error).__name__}: {error}") from error


def run(source: BinaryIO, sink: BinaryIO) -> None:
    """Handle batches until the end of the input."""
    host = Host()
    seq: object = None
    in_batch = False
    reply: list[bytes] = []
    for line in source:
        row = _parse_line(line)
        kind = row.get("kind")
        if kind == "FRAME":
            if in_batch:
                raise WireError("FRAME within an open batch")
            if not isinstance(row.get("nowMs"), int | float) or "seq" not in row:
                raise WireError("FRAME lacks nowMs or seq")
            host.now, seq, in_batch, reply = float(row["nowMs"]), row["seq"], True, []
        elif not in_batch:
            raise WireError(f"{kind!r} outside of a batch")
        elif kind == "GO":
            reply.append(orjson.dumps({"kind": "READY", "seq": seq}))
            sink.write(b"\n".join(reply) + b"\n")
            sink.flush()
            in_batch = False
        else:
            reply.extend(_reply_lines(host, row))
    if in_batch:
        raise WireError("end of input within an open batch")


def main() -> int:
    """Serve standard input and output; returns the exit code."""
    try:
        run(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        print(f"loadbalancer.simulator_adapter: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
