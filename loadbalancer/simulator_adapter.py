"""The adapter to the simulator: reads the simulator's batches on standard input and writes replies on standard output.

Translation only; every decision is made by loadbalancer.balancer. One process hosts many nodes, which share
nothing.
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
from loadbalancer.settings import Row, settings_from

RESULTS = {
    0: Result.OK,
    255: Result.ERROR,
    254: Result.FULL,
    253: Result.TIMEOUT,
    252: Result.CONNECT_FAILED,
    251: Result.RESET,
    250: Result.CANCELLED,
    249: Result.MOOT,
}
IGNORED = ("PEER",)


class WireError(Exception):
    """Input that is not in the simulator's form, and that names no node to which to report it."""


class Node:
    """One hosted balancer and the names of the fields of its load reports."""

    def __init__(self, config: Row, seed: int, now_ms: float) -> None:
        self.settings = settings_from(config)
        self.balancer = Balancer(self.settings, seed, now_ms)

    def report(self, values: list[float | None] | None) -> dict[str, float] | None:
        """Return a load report by field; None without one."""
        if not values:
            return None
        pairs = zip(self.settings.report_fields, values, strict=False)
        return {name: value for name, value in pairs if value is not None}


class Host:
    """All nodes of one process; `event` turns a line of a batch into the lines of its reply."""

    def __init__(self) -> None:
        self.nodes: dict[int, Node] = {}
        self.catalogs: dict[int, tuple[Server, ...]] = {}
        self.now = 0.0

    def event(self, row: Row) -> list[Row]:
        """Handle one event; a fault of a node is reported as its PANIC, and ends it."""
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
            # A fault of one node must not end the others, which share this process.
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
        if kind in IGNORED:
            return []
        read = READERS.get(str(kind))
        if read is None:
            raise ValueError("unknown kind of event")
        return [_written(number, action) for action in node.balancer.handle(self.now, read(self, node, row))]

    def members(self, _node: Node, row: Row) -> Event:
        """Make a membership event of a catalog that came before."""
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
    if row["rc"] not in RESULTS:
        raise ValueError(f"rc: {row['rc']!r} is not one of {', '.join(map(str, RESULTS))}")
    return Outcome(
        id=row["txn"],
        attempt=row["attempt"],
        server=row["server"],
        result=RESULTS[row["rc"]],
        latency_ms=row["latencyMs"],
        done=bool(row.get("doneFlag")),
        report=node.report(row.get("telemetry")),
    )


def _probed(_host: Host, node: Node, row: Row) -> Event:
    result = RESULTS.get(row["rc"], Result.ERROR)
    return Probed(row["server"], result, row["latencyMs"], node.report(row.get("telemetry")))


READERS: dict[str, Callable[[Host, Node, Row], Event]] = {
    "MEMBERSHIP": Host.members,
    "NEW_REQUEST": _request,
    "FIRST": lambda _host, _node, row: Started(row["txn"], row["attempt"]),
    "RETURNED": _outcome,
    "LAPSED": lambda _host, _node, row: Lapsed(row["txn"]),
    "ALARM": lambda _host, _node, row: Alarm(row["name"]),
    "HEALTH": _probed,
}


def _written(node: int, action: Action) -> Row:
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


def _parsed(line: bytes) -> Row:
    try:
        row = orjson.loads(line)
    except orjson.JSONDecodeError as error:
        raise WireError(f"not a line of JSON: {error}: {line[:200]!r}") from error
    if not isinstance(row, dict):
        raise WireError(f"not an object: {line[:200]!r}")
    return row


def _replies(host: Host, row: Row) -> list[bytes]:
    """Return the lines that answer an event; raises WireError on one that is malformed."""
    try:
        return [orjson.dumps(action) for action in host.event(row)]
    except (KeyError, TypeError, ValueError) as error:
        raise WireError(f"{row.get('kind')!r}: {type(error).__name__}: {error}") from error


def run(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends."""
    host = Host()
    seq: object = None
    within = False
    reply: list[bytes] = []
    for line in source:
        row = _parsed(line)
        kind = row.get("kind")
        if kind == "FRAME":
            if within:
                raise WireError("a batch begins within a batch")
            if not isinstance(row.get("nowMs"), int | float) or "seq" not in row:
                raise WireError("FRAME lacks nowMs or seq")
            host.now, seq, within, reply = float(row["nowMs"]), row["seq"], True, []
        elif not within:
            raise WireError(f"{kind!r} stands outside a batch")
        elif kind == "GO":
            reply.append(orjson.dumps({"kind": "READY", "seq": seq}))
            sink.write(b"\n".join(reply) + b"\n")
            sink.flush()
            within = False
        else:
            reply.extend(_replies(host, row))
    if within:
        raise WireError("the input ended within a batch")


def main() -> int:
    """Run on standard input and output; the exit code."""
    try:
        run(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        print(f"loadbalancer.simulator_adapter: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
