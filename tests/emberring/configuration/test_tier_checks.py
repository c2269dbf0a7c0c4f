"""Validation: which configurations are invalid, and that all errors are reported together."""

from __future__ import annotations

import json
from typing import Any

import pytest

from emberring.configuration.checks import MAX_REPORTED_ERRORS, find_configuration_errors
from emberring.configuration.model import RouteType
from emberring.configuration.reading import (
    build_configuration,
    pack,
    parse_object_strictly,
    parse_strictly,
    unpack_configuration,
)
from emberring.errors import InvalidConfigurationError


def route(**changes: Any) -> dict[str, Any]:
    base = {
        "Name": "r",
        "Host": "h.example",
        "PathPrefix": "/a/",
        "Type": "streaming",
        "TimeoutMs": 4000,
        "Service": "s",
    }
    return {**base, **changes}


def document(*routes: dict[str, Any], **changes: Any) -> dict[str, Any]:
    base = {
        "Version": 1,
        "Routes": list(routes),
        "Services": [{"Name": "s", "MaxConnections": 9}, {"Name": "t"}],
    }
    return {**base, **changes}


def split(*weights: Any, service: str = "s") -> list[dict[str, Any]]:
    return [{"Service": service, "Weight": weight} for weight in weights]


VALID = [
    document(route()),
    document(),
    document(route(), route(Name="q", PathPrefix="/b/")),
    document(route(), route(Name="q", Host="other.example")),
    document(route(Service=None, TrafficSplit=split(90, 10))),
    document(route(TrafficSplit=split(0, 1))),
    document(route(TrafficSplit=[])),
    document(route(TrafficSplit=[{"Service": "s"}, {"Service": "s", "Weight": 1}])),  # no weight: 0
    document(route(Unknown={"Deep": [1, None]}), Extra=True),
    document(route(), Limits={"MaxBodyBytes": 5, "Unknown": "x"}),
    document(*[route(Name=kind.value, Type=kind.value, PathPrefix=f"/{kind.value}/") for kind in RouteType]),
]

INVALID = [
    (document(route(Service="nobody")), "Service 'nobody' is unknown"),
    (document(route(Service=None)), "Service None is unknown"),
    (document(route(Service=7)), "Service 7 is unknown"),
    (document(route(Service=["s"])), "is unknown"),
    (document(route(Service=["s"], TrafficSplit=split(1))), "is unknown"),
    (document(route(TrafficSplit=[{"Service": {}, "Weight": 1}])), "is unknown"),
    (document(route(TrafficSplit=split(1, service="nobody"))), "Service 'nobody' of TrafficSplit is unknown"),
    (document(route(), route(Name="q")), "has the host and prefix of route 'r'"),
    (document(route(), route(Name="q", Host="H.Example")), "has the host and prefix of route 'r'"),
    (document(route(), route(PathPrefix="/b/")), "route 'r' stands 2 times"),
    (document(route(TrafficSplit=split(0, 0))), "the weights add up to 0"),
    (document(route(TrafficSplit=split(0))), "the weights add up to 0"),
    (document(route(TrafficSplit=[{"Service": "s"}])), "the weights add up to 0"),
    (document(route(TrafficSplit=split(5, -5))), "Weight -5 is not"),
    (document(route(TrafficSplit=split(True))), "Weight True is not"),
    (document(route(TrafficSplit="s")), "TrafficSplit is not a list"),
    (document(route(TimeoutMs=0)), "TimeoutMs is not above 0"),
    (document(route(TimeoutMs=-1)), "TimeoutMs is not above 0"),
    (document(route(TimeoutMs=None)), "TimeoutMs is not above 0"),
    (document(route(TimeoutMs="4000")), "TimeoutMs is not above 0"),
    (document(route(Type="magic")), "Type 'magic' is unknown"),
    (document(route(Type=["streaming"])), "is unknown"),
    (document(route(Host="")), "Host is missing"),
    (document(route(Name=None)), "Name is missing"),
    (document(route(PathPrefix="a/")), "PathPrefix does not begin"),
    (document(route(PathPrefix="/a")), "PathPrefix does not begin"),
    (document(route(MaxAttempts="2")), "MaxAttempts is not a number"),
    (document(route(), Version=None), "Version is not a whole number"),
    (document(route(), Version=True), "Version is not a whole number"),
    (document(route(), Version=1.5), "Version is not a whole number"),
    (document(route(), Services=[{"Name": "s"}, {"Name": "s"}]), "service 's' stands 2 times"),
    (document(route(), Services=[{"Name": "s", "MaxConnections": "9"}]), "MaxConnections is not a number"),
    (document(route(), Services=[{"Name": "s", "Runtime": 3}]), "Runtime is not an object"),
    (document(route(), Services={"s": {}}), "Services is not a list"),
    (document(Routes=["r"]), "Routes is not a list"),
    (document(Routes=None), "Routes is not a list"),
    (document(Limits=3), "Limits is not an object"),
    (document(Limits={"MaxBodyBytes": "x"}), "MaxBodyBytes is not a number"),
]


@pytest.mark.parametrize("given", VALID)
def test_a_valid_configuration_has_no_errors_and_can_be_built(given: dict[str, Any]) -> None:
    assert find_configuration_errors(given) == ()
    packed = pack(json.dumps(given).encode())
    assert unpack_configuration(packed) == build_configuration(given)


@pytest.mark.parametrize(("given", "error"), INVALID)
def test_an_invalid_configuration_reports_its_error(given: dict[str, Any], error: str) -> None:
    assert any(error in line for line in find_configuration_errors(given)), find_configuration_errors(given)


def test_all_errors_are_reported_at_once_up_to_a_limit() -> None:
    given = document(route(TimeoutMs=0, Service="nobody"), route(Name="q", TrafficSplit=split(0)))
    assert len(find_configuration_errors(given)) == 4
    many = document(*[route(Name=f"r{number}", Host=f"h{number}", TimeoutMs=0) for number in range(200)])
    reported = find_configuration_errors(many)
    assert len(reported) == MAX_REPORTED_ERRORS + 1
    assert reported[-1] == "and 150 more"


UNREADABLE = [
    b"",
    b"{",
    b'{"Version":1',
    json.dumps(document(route())).encode()[:-1],
    b"[]",
    b"null",
    b'"text"',
    b'{"Version":1,"Version":2}',
    b'{"Version":1,"Routes":[{"Name":"a","Name":"a"}]}',
    b'{"Version":1,"Services":[{"Name":"a","Runtime":{"x":1,"y":2,"x":1}}]}',
    b'{"Version":1,"\\u0061":1,"a":2}',
    b'{"Version":NaN}',
    b'{"Version":1,"x":Infinity}',
    b'{"Version":1,"x":1e999}',
    b'{"Version":1,"x":"\\ud800"}',
    b'{"Version":1,"x":"\xff"}',
    b'{"Version":1} trailing',
    b'{"Version":1,}',
    b"{'Version':1}",
    b'{"Version":1,"x":' + b"[" * 100_000 + b"]" * 100_000 + b"}",
    b'{"Version":' + b"9" * 5000 + b"}",
]


@pytest.mark.parametrize("body", UNREADABLE, ids=range(len(UNREADABLE)))
def test_text_that_is_not_a_strict_json_object_is_rejected(body: bytes) -> None:
    with pytest.raises(InvalidConfigurationError):
        parse_object_strictly(body)


READABLE = [
    b'{"Version":1,"x":123456789012345678901234567890}',
    b'{"Version":1,"x":1.5e300}',
    '{"Version":1,"x":"\u00fc \U0001f600"}'.encode(),
    b'{"Version":1,"x":"\\ud83d\\ude00"}',
    b'{"Version":1,"x":' + b"[" * 300 + b"]" * 300 + b"}",
]


@pytest.mark.parametrize("body", READABLE, ids=range(len(READABLE)))
def test_unusual_values_are_parsed_and_have_a_stable_canonical_form(body: bytes) -> None:
    parsed = parse_strictly(body)
    assert parsed.value == json.loads(body)
    assert parse_strictly(parsed.canonical) == parsed


def test_every_prefix_of_a_document_is_unreadable() -> None:
    body = json.dumps(document(route(TrafficSplit=split(1, 2)))).encode()
    assert parse_object_strictly(body)["Version"] == 1
    for end in range(len(body)):
        with pytest.raises(InvalidConfigurationError):
            parse_object_strictly(body[:end])


def test_the_typed_form_has_every_field_that_the_tier_uses() -> None:
    given = document(
        route(
            TrafficSplit=split(90, 10),
            TargetLatencyMs=200,
            Priority=2,
            MaxAttempts=3,
            Sticky=True,
            Resumable=True,
            gap_aim_ms=250,
            CompletionTargetMs=8000,
            RetentionS=60,
            MaxQueuedTokens=1200000,
        ),
        Services=[
            {
                "Name": "s",
                "HealthPath": "/h",
                "MaxConnections": 290,
                "Runtime": {"Capacity": 48, "KvCacheTokens": 5, "stride": 14},
            }
        ],
        Limits={"MaxHeaderBytes": 1, "MaxBodyBytes": 2, "HeaderTimeoutMs": 3, "IdleTimeoutMs": 4},
    )
    built = build_configuration(given)
    found = built.route_for("H.EXAMPLE", "/a/x")
    assert found is not None
    assert [(share.service, share.weight) for share in found.split] == [("s", 90), ("s", 10)]
    assert (found.target_latency_ms, found.priority, found.max_attempts) == (200, 2, 3)
    assert (found.sticky, found.resumable, found.gap_target_ms) == (True, True, 250)
    assert (found.completion_target_ms, found.retention_s, found.max_queued_tokens) == (8000, 60, 1200000)
    service = built.service("s")
    assert service is not None
    assert (service.health_path, service.max_connections, service.capacity) == ("/h", 290, 48)
    assert (service.kv_cache_tokens, service.stride) == (5, 14)
    limits = built.limits
    assert (limits.max_header_bytes, limits.max_body_bytes) == (1, 2)
    assert (limits.header_timeout_ms, limits.idle_timeout_ms) == (3, 4)
