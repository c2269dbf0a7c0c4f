"""The simulator adapter on batches of events."""

from __future__ import annotations

import io
import subprocess
import sys
from pathlib import Path
from typing import Any

import orjson
import pytest

from loadbalancer.settings import parse_settings
from loadbalancer.simulator_adapter import Host, WireError, run

ROOT = Path(__file__).parent.parent

CONFIG: dict[str, Any] = {
    "accounts": [{"name": "t", "quotaPerS": 10.0, "fraction": 1.0}],
    "bounds": {"cancel": True, "maxAttempts": 3, "maxRetryAfterMs": 500.0, "retryAfter": True},
    "categories": [
        {
            "name": "read",
            "aimMs": 1000.0,
            "giveUpMs": 2500.0,
            "credit": 12.0,
            "lateWorth": 0.0,
            "effect": "free",
        },
        {"name": "post", "aimMs": 1000.0, "giveUpMs": 2500.0, "credit": 1.0, "effect": "single_shot"},
        {
            "name": "points",
            "aimMs": 2000.0,
            "giveUpMs": 5000.0,
            "credit": 1.0,
            "effect": "guarded",
            "keyScope": "cell",
            "memorySpanMs": 900.0,
        },
    ],
    "feedback": {"fields": ["depth", "load_share"], "via": "inline"},
    "invariants": {"coldFrom": 0.2, "coldMs": 9000.0, "tipAfterMs": 1500.0, "overloadFactor": 3.0},
    "prices": {"crossZone": 0.01},
    "registryMode": "ask",
    "siblings": 2,
    "tier": 0,
    "valueBy": "request",
    "locality": "a",
    "unheardOf": {"x": 1},
}


def catalog(ref: int = 0, count: int = 3, **more: Any) -> dict[str, Any]:
    rows = [
        {"server": f"10.0.0.{at}:1", "zone": "a", "bay": 0, "stageState": "up", "launchedMs": None, **more}
        for at in range(count)
    ]
    return {"kind": "CATALOG", "ref": ref, "rows": rows}


def start(node: int = 0, config: dict[str, Any] | None = None, ref: int = 0) -> list[dict[str, Any]]:
    return [
        {"kind": "POWER_ON", "node": node, "seed": 5 + node, "config": CONFIG if config is None else config},
        {"kind": "MEMBERSHIP", "node": node, "form": "cached", "generation": 1, "ref": ref},
    ]


def request(txn: str, node: int = 0, lane: str = "read", give_up: float = 9000.0) -> dict[str, Any]:
    row = {"kind": "NEW_REQUEST", "node": node, "txn": txn, "lane": lane, "giveUpAtMs": give_up}
    return row | {"billing": None, "resource": None, "expectedMs": None, "isRetry": False, "write": False}


def returned(txn: str, server: str, rc: int, done: bool, **more: Any) -> dict[str, Any]:
    row = {"kind": "RETURNED", "node": 0, "txn": txn, "attempt": 0, "latencyMs": 80.0, "server": server}
    return row | {"rc": rc, "doneFlag": done, "telemetry": None} | more


def batch(now: float, seq: int, *events: dict[str, Any]) -> bytes:
    rows = [{"kind": "FRAME", "nowMs": now, "seq": seq}, *events, {"kind": "GO"}]
    return b"".join(orjson.dumps(row) + b"\n" for row in rows)


def replies_to(*batches: bytes) -> list[dict[str, Any]]:
    sink = io.BytesIO()
    run(io.BytesIO(b"".join(batches)), sink)
    return [orjson.loads(line) for line in sink.getvalue().splitlines()]


def of(rows: list[dict[str, Any]], kind: str) -> list[dict[str, Any]]:
    return [row for row in rows if row["kind"] == kind]


def test_an_empty_batch_is_answered():
    assert replies_to(batch(8412.25, 1)) == [{"kind": "READY", "seq": 1}]


def test_a_first_batch_subscribes_and_sends():
    rows = replies_to(batch(1000.0, 1, catalog(), *start(), request("q1")))
    assert rows[-1] == {"kind": "READY", "seq": 1}
    assert len(of(rows, "OBSERVE")) == 1
    assert len(of(rows, "SLEEP")) == 1
    issue = of(rows, "ISSUE")[0]
    assert issue["node"] == 0
    assert issue["txn"] == "q1"
    assert issue["server"].startswith("10.0.0.")
    assert 0 < issue["timeoutMs"] <= 1000.0


@pytest.mark.parametrize(
    ("lane", "rc", "answer"),
    [
        ("read", 255, "ISSUE"),
        ("post", 255, "FINISH_ERROR"),
        ("post", 251, "FINISH_ERROR"),
        ("post", 253, "FINISH_ERROR"),
        ("post", 250, "FINISH_ERROR"),
        ("post", 254, "ISSUE"),
        ("post", 252, "ISSUE"),
        ("post", 249, "ISSUE"),
        ("points", 255, "ISSUE"),
    ],
)
def test_each_outcome_of_each_kind(lane, rc, answer):
    host = Host()
    host.now = 1000.0
    rows = [row for event in (catalog(), *start(), request("q", lane=lane)) for row in host.event(event)]
    server = of(rows, "ISSUE")[0]["server"]
    assert [row["kind"] for row in host.event(returned("q", server, rc, False))] == [answer]


def test_an_outcome_and_a_lapse_of_an_ended_request_cause_no_action():
    host = Host()
    host.now = 1000.0
    rows = [row for event in (catalog(), *start(), request("q")) for row in host.event(event)]
    server = of(rows, "ISSUE")[0]["server"]
    assert [row["kind"] for row in host.event({"kind": "LAPSED", "node": 0, "txn": "q"})] == ["RETRACT"]
    assert host.event({"kind": "LAPSED", "node": 0, "txn": "q"}) == []
    assert host.event(returned("q", server, 0, True, telemetry=[3, 0.5])) == []


def test_reports_reach_the_balancer_in_the_order_of_the_settings():
    host = Host()
    host.now = 1000.0
    rows = [row for event in (catalog(), *start(), request("q")) for row in host.event(event)]
    server = of(rows, "ISSUE")[0]["server"]
    host.event(returned("q", server, 0, True, telemetry=[3, None]))
    peer = host.nodes[0].balancer.servers_by_address[server]
    assert peer.reported_queue == 3
    assert peer.reported_utilisation is None


def test_a_catalog_number_is_reused_by_event_order():
    host = Host()
    host.now = 1000.0
    for event in (catalog(0, 2), *start(0), catalog(0, 5), *start(1)):
        host.event(event)
    assert [len(host.nodes[node].balancer.servers_by_address) for node in (0, 1)] == [2, 5]


def test_a_stop_and_a_start_within_a_batch_leave_nothing_behind():
    host = Host()
    host.now = 1000.0
    for event in (catalog(), *start(), request("q"), {"kind": "STOP", "node": 0}, *start()):
        host.event(event)
    assert host.nodes[0].balancer.requests == {}


def test_membership_forms():
    host = Host()
    host.now = 1000.0
    for event in (catalog(), *start()):
        host.event(event)
    failed = host.event({"kind": "MEMBERSHIP", "node": 0, "form": "failed", "generation": 2, "ref": None})
    assert [row["kind"] for row in failed] == ["SLEEP"]
    host.event(catalog(1, 1, stageState="removed"))
    host.event({"kind": "MEMBERSHIP", "node": 0, "form": "delta", "generation": 3, "ref": 1})
    assert len(host.nodes[0].balancer.servers_by_address) == 2
    host.event(catalog(2, 1))
    host.event({"kind": "MEMBERSHIP", "node": 0, "form": "full", "generation": 4, "ref": 2})
    assert list(host.nodes[0].balancer.servers_by_address) == ["10.0.0.0:1"]


def test_other_events_are_accepted():
    host = Host()
    host.now = 1000.0
    for event in (catalog(), *start()):
        host.event(event)
    events = [
        {"kind": "PEER", "node": 0, "by": 1, "contents": "aGk="},
        {
            "kind": "HEALTH",
            "node": 0,
            "server": "10.0.0.1:1",
            "rc": 0,
            "latencyMs": 1.0,
            "telemetry": [4, 0.2],
        },
        {
            "kind": "FIRST",
            "node": 0,
            "txn": "unknown",
            "latencyMs": 5.0,
            "server": "10.0.0.1:1",
            "attempt": 0,
        },
        {"kind": "ALARM", "node": 0, "name": "not ours"},
    ]
    assert [host.event(event) for event in events] == [[], [], [], []]
    assert host.nodes[0].balancer.servers_by_address["10.0.0.1:1"].reported_queue == 4


def test_absent_settings_take_their_defaults():
    settings = parse_settings({"categories": CONFIG["categories"][:1]})
    assert settings.siblings == 1
    assert settings.tenants == ()
    assert settings.max_attempts == 1
    assert not settings.may_cancel


@pytest.mark.parametrize(
    "event",
    [
        {"kind": "POWER_ON", "node": 3, "seed": 1, "config": {"categories": []}},
        {"kind": "NEW_REQUEST", "node": 3, "txn": "q", "lane": "read", "giveUpAtMs": 1.0},
        {"kind": "NONSENSE", "node": 3},
    ],
)
def test_an_invalid_event_for_a_node_is_reported_as_its_panic(event, capsys):
    rows = Host().event(event)
    assert [(row["kind"], row["node"]) for row in rows] == [("PANIC", 3)]
    assert rows[0]["bodyText"]
    assert capsys.readouterr().out == ""


def test_unknown_kind_at_a_running_node_is_its_panic():
    host = Host()
    for event in (catalog(), *start()):
        host.event(event)
    assert host.event({"kind": "NONSENSE", "node": 0})[0]["kind"] == "PANIC"


def test_a_request_of_an_unknown_class_is_a_panic():
    host = Host()
    for event in (catalog(), *start()):
        host.event(event)
    assert host.event(request("q", lane="unheard of"))[0]["kind"] == "PANIC"


@pytest.mark.parametrize(
    "lines",
    [
        b"not json\n",
        b"[1]\n",
        b'{"kind":"GO"}\n',
        b'{"kind":"FRAME","nowMs":1,"seq":1}\n{"kind":"ALARM"}\n',
        b'{"kind":"FRAME","nowMs":1,"seq":1}\n{"kind":"CATALOG","ref":0}\n',
        b'{"kind":"FRAME","nowMs":1,"seq":1}\n{"kind":"FRAME","nowMs":1,"seq":1}\n',
        b'{"kind":"FRAME","seq":1}\n',
        b'{"kind":"FRAME","nowMs":1,"seq":1}\n',
    ],
)
def test_malformed_input_raises(lines):
    with pytest.raises(WireError):
        run(io.BytesIO(lines), io.BytesIO())


def test_the_process_exits_with_0_at_the_end_and_with_an_error_on_malformed_input():
    command = [sys.executable, "-m", "loadbalancer.simulator_adapter"]
    good = subprocess.run(command, input=batch(1.0, 1), capture_output=True, cwd=ROOT, check=False)
    assert (good.returncode, good.stdout, good.stderr) == (0, b'{"kind":"READY","seq":1}\n', b"")
    bad = subprocess.run(command, input=b"nonsense\n", capture_output=True, cwd=ROOT, check=False)
    assert bad.returncode != 0
    assert bad.stdout == b""
    assert b"not a line of JSON" in bad.stderr


def test_many_nodes_in_one_process_act_as_in_several():
    def events(node: int) -> list[dict[str, Any]]:
        rows = [catalog(), *start(node)]
        rows += [request(f"n{node}-{at}", node, ("read", "post", "points")[at % 3]) for at in range(30)]
        return [*rows, {"kind": "ALARM", "node": node, "name": "period"}]

    def run_nodes(nodes: list[int]) -> dict[int, list[dict[str, Any]]]:
        host = Host()
        host.now = 1000.0
        mixed = [row for rows in zip(*(events(node) for node in nodes), strict=True) for row in rows]
        acts = [act for event in mixed for act in host.event(event)]
        return {node: [act for act in acts if act["node"] == node] for node in nodes}

    together = run_nodes([0, 1, 2])
    assert together == {node: run_nodes([node])[node] for node in range(3)}


@pytest.mark.parametrize(
    ("event", "message"),
    [
        (request("q", lane="unheard of"), "lane: 'unheard of'"),
        (returned("q", "10.0.0.0:1", 42, False), "rc: 42"),
    ],
)
def test_a_panic_names_the_event_and_the_bad_value(event, message):
    host = Host()
    for one in (catalog(), *start()):
        host.event(one)
    (row,) = host.event(event)
    assert row["kind"] == "PANIC"
    assert event["kind"] in row["bodyText"]
    assert message in row["bodyText"]


@pytest.mark.parametrize("key", ["name", "aimMs", "giveUpMs"])
def test_a_missing_setting_is_reported(key):
    lane = {name: value for name, value in CONFIG["categories"][0].items() if name != key}
    with pytest.raises(ValueError, match=f"categories.{key}: missing"):
        parse_settings({"categories": [lane]})
