"""Parts of the gateway without I/O: event parser, headers, choice of a service, response classes, readiness."""

from __future__ import annotations

import math

import attrs
import httptools
import pytest
from gateway_world import HOST, ROUTES, FakeDirectory, event, route
from hypothesis import given
from hypothesis import strategies as st

from emberring.admission.types import PrefixPart
from emberring.configuration.model import ClientLimits, Configuration, RouteType, Service, Share
from emberring.configuration.service_choice import choose_service
from emberring.distribution.records import ServerRecord, ServerState
from emberring.errors import InternalError, NotReadyError, OverloadedError, QuotaExceededError
from emberring.gateway.calls import read_milliseconds, read_prefix_parts, read_token_count
from emberring.gateway.events import EventParser
from emberring.gateway.messages import ClientRequest, ResponseHead, render_request
from emberring.gateway.readiness import SERVERS_WAIT_S, Readiness, render_metrics
from emberring.gateway.responses import ResponseClass, classify_response, response_to_error
from emberring.gateway.routable_servers import DEFAULT_CONNECTION_LIMIT, RoutableServers

BLANKS = st.sampled_from([b"\n\n", b"\r\n\r\n", b"\n\r\n", b"\r\r"])
TEXT = st.text(st.characters(exclude_characters="\r\n", codec="utf-8"), max_size=20).map(str.encode)


@given(
    st.lists(st.tuples(st.none() | st.integers(0, 10**9), TEXT, BLANKS), max_size=8),
    st.lists(st.integers(1, 12), min_size=1, max_size=200),
)
def test_events_are_the_same_however_their_bytes_arrive(
    wanted: list[tuple[int | None, bytes, bytes]], cuts: list[int]
) -> None:
    raws = []
    for number, text, blank in wanted:
        line_end = b"\r" if blank == b"\r\r" else b"\n"
        first = b"" if number is None else b"id: %d" % number + line_end
        raws.append(first + b"data: " + text + blank)
    stream, found, at, turn = b"".join(raws), [], 0, 0
    parser = EventParser()
    while at < len(stream):
        size = cuts[turn % len(cuts)]
        found += parser.feed(stream[at : at + size])
        at, turn = at + size, turn + 1
    assert b"".join(event.raw for event in found) + parser.rest() == stream
    assert [event.id for event in found] == [number for number, _, _ in wanted]
    assert [event.data for event in found] == [text for _, text, _ in wanted]


@pytest.mark.parametrize(
    ("raw", "number", "data"),
    [
        (b"id: 7\ndata: a\ndata: b\n\n", 7, b"a\nb"),
        (b"versions: 3\nid:8\ndata:x\n\n", 8, b"x"),
        (b"data: id: 9\n\n", None, b"id: 9"),
        (b": a comment\n\n", None, b""),
        (b"id: x\ndata: y\n\n", None, b"y"),
    ],
)
def test_the_id_and_data_of_an_event(raw: bytes, number: int | None, data: bytes) -> None:
    (parsed,) = EventParser().feed(raw)
    assert (parsed.raw, parsed.id, parsed.data) == (raw, number, data)


def test_an_incomplete_event_is_buffered() -> None:
    parser = EventParser()
    assert parser.feed(event(1)[:-1]) == []
    assert (parser.pending, parser.rest()) == (len(event(1)) - 1, event(1)[:-1])
    assert not parser.too_long
    parser.feed(b"x" * (1024 * 1024))
    assert parser.too_long


@pytest.mark.parametrize(
    ("status", "headers", "response_class"),
    [
        (200, {b"response-signature": b"s"}, ResponseClass.FORWARD),
        (206, {b"response-signature": b"s"}, ResponseClass.FORWARD),
        (200, {}, ResponseClass.INVALID),
        (200, {b"response-signature": b"s", b"content-encoding": b"gzip"}, ResponseClass.INVALID),
        (421, {}, ResponseClass.WRONG_SERVER),
        (503, {b"not-executed": b"1"}, ResponseClass.FULL),
        (429, {b"not-executed": b"1"}, ResponseClass.FULL),
        (408, {b"not-executed": b"1"}, ResponseClass.FULL),
        (503, {}, ResponseClass.FAILED),
        (429, {}, ResponseClass.FAILED),
        (500, {b"response-signature": b"s"}, ResponseClass.FAILED),
        (504, {}, ResponseClass.FAILED),
        (422, {}, ResponseClass.FORWARD),
        (400, {b"not-executed": b"1"}, ResponseClass.FORWARD),
        (302, {}, ResponseClass.FORWARD),
    ],
)
def test_the_class_of_a_response(
    status: int, headers: dict[bytes, bytes], response_class: ResponseClass
) -> None:
    assert classify_response(ResponseHead(status, tuple(headers.items()), 0)) is response_class


@pytest.mark.parametrize(
    ("error", "status", "retry_after"),
    [
        (OverloadedError("x", 0.25), 503, b"0.250"),
        (NotReadyError(), 503, b"0.200"),
        (QuotaExceededError(), 429, b"0.200"),
    ],
)
def test_responses_that_guarantee_not_executed_say_when_to_retry(
    error: NotReadyError, status: int, retry_after: bytes
) -> None:
    response = response_to_error(error)
    assert response.status == status
    assert dict(response.headers(b"r1"))[b"retry-after"] == retry_after
    assert dict(response.headers(b"r1"))[b"request-id"] == b"r1"


@pytest.mark.parametrize(
    ("value", "expected"),
    [
        (b"1460,80", (1460, 80)),
        (b" 1 , 2 ", (1, 2)),
        (b"1", (0, 0)),
        (b"a,b", (0, 0)),
        (None, (0, 0)),
        (b"-1,2", (0, 0)),
    ],
)
def test_token_counts(value: bytes | None, expected: tuple[int, int]) -> None:
    assert read_token_count(value) == expected


@pytest.mark.parametrize(
    ("value", "expected"),
    [
        (b"5c1e:800,91bd:410", (PrefixPart("5c1e", 800), PrefixPart("91bd", 410))),
        (b" a:1 , b:x,c:3", (PrefixPart("a", 1),)),
        (b"", ()),
        (None, ()),
    ],
)
def test_parts_of_a_prompt(value: bytes | None, expected: tuple[PrefixPart, ...]) -> None:
    assert read_prefix_parts(value) == expected


@pytest.mark.parametrize(
    ("value", "expected"),
    [
        (b"900", 900.0),
        (b"1.5", 1.5),
        (b"x", None),
        (None, None),
        (b"-1", None),
        (b"nan", None),
        (b"inf", None),
    ],
)
def test_milliseconds(value: bytes | None, expected: float | None) -> None:
    assert read_milliseconds(value) == expected


def test_services_are_chosen_by_weight() -> None:
    shares = (Share("a", 90.0), Share("b", 10.0), Share("never", 0.0))
    split = attrs.evolve(route("/x/", RouteType.STREAMING), split=shares)
    keys = [b"key%d" % number for number in range(4000)]
    chosen = [choose_service(split, key, lambda service: True) for key in keys]
    assert 0.85 < chosen.count("a") / len(keys) < 0.95
    assert chosen.count("never") == 0
    assert {choose_service(split, key, lambda service: service == "b") for key in keys} == {"b"}
    assert {choose_service(split, key, lambda service: False) for key in keys} == {"a", "b"}
    none = attrs.evolve(split, split=(Share("a", 0.0),))
    assert choose_service(none, b"k", lambda service: True) is None


def client_request(**headers: str) -> ClientRequest:
    encoded = tuple((name.replace("_", "-").encode(), value.encode()) for name, value in headers.items())
    return ClientRequest(b"POST", b"/a?b", HOST, encoded, b"body", 0.0)


@pytest.mark.parametrize(
    ("headers", "remaining_ms", "last_event_id", "present", "absent"),
    [
        ({"deadline_ms": "9"}, 5, None, [b"Deadline-Ms: 5"], [b"deadline-ms: 9"]),
        ({"deadline_ms": "9"}, None, None, [b"deadline-ms: 9"], [b"Deadline-Ms"]),
        ({}, 0, None, [b"Deadline-Ms: 1"], []),
        ({"last_event_id": "3"}, 5, None, [b"last-event-id: 3"], []),
        ({"last_event_id": "3"}, 5, 7, [b"Last-Event-Id: 7"], [b"last-event-id: 3"]),
        ({"expected_instance": "me"}, 5, None, [b"Expected-Instance: i-1"], [b"expected-instance: me"]),
        ({"content_length": "99"}, 5, None, [b"Content-Length: 4"], [b"99"]),
        ({"connection": "x-hop", "x_hop": "1"}, 5, None, [], [b"x-hop", b"connection"]),
    ],
)
def test_the_bytes_that_a_server_gets(
    headers: dict[str, str],
    remaining_ms: int | None,
    last_event_id: int | None,
    present: list[bytes],
    absent: list[bytes],
) -> None:
    data = render_request(client_request(**headers), "i-1", remaining_ms, last_event_id)
    assert data.startswith(b"POST /a?b HTTP/1.1\r\nHost: bank.example\r\n")
    assert data.endswith(b"\r\n\r\nbody")
    for line in present:
        assert line + b"\r\n" in data
    for text in absent:
        assert text not in data


HEAD_PIECES = st.sampled_from(
    [b"a", b"/", b" ", b":", b"\r\n", b"\r", b"\n", b"\0", b"\x7f", b"\xe9", b"Note: y"]
)
HEAD_TEXTS = st.lists(HEAD_PIECES, max_size=5).map(b"".join)


class HeadCounter:
    """Counts the requests and header fields that a server's parser finds."""

    def __init__(self) -> None:
        self.requests = 0
        self.fields = 0

    def on_message_begin(self) -> None:
        self.requests += 1

    def on_header(self, name: bytes, value: bytes) -> None:
        self.fields += 1


# Guards against a request that a caller's unchecked text ends early, so that a server reads another one behind it.
@given(
    target=HEAD_TEXTS.map(lambda text: b"/" + text),
    host=HEAD_TEXTS,
    headers=st.lists(st.tuples(HEAD_TEXTS, HEAD_TEXTS), max_size=3),
    server_id=HEAD_TEXTS,
)
def test_the_renderer_refuses_what_would_not_be_read_as_one_request(
    target: bytes, host: bytes, headers: list[tuple[bytes, bytes]], server_id: bytes
) -> None:
    unchecked = ClientRequest(b"POST", target, host.decode("latin-1"), tuple(headers), b"body", 0.0)
    try:
        data = render_request(unchecked, server_id.decode("latin-1"), None, None)
    except InternalError:
        return
    counter = HeadCounter()
    httptools.HttpRequestParser(counter).feed_data(data)
    assert (counter.requests, counter.fields) == (1, 3 + len(headers))


def directory() -> FakeDirectory:
    services = (Service("s", max_connections=70), Service("t"))
    new_directory = FakeDirectory(Configuration(1, ROUTES, services, ClientLimits()))
    for number, (service, state) in enumerate(
        [("s", ServerState.READY), ("s", ServerState.DRAINING), ("t", ServerState.READY)]
    ):
        new_directory.servers[f"i-{number}"] = ServerRecord(f"i-{number}", service, "a:1", "z", 4, state, 1)
    return new_directory


def test_which_servers_are_routable() -> None:
    directory_state = directory()
    routable_servers = RoutableServers(directory_state, lambda: 0.0)
    assert [record.id for record in routable_servers.all_routable()] == ["i-0", "i-2"]
    assert routable_servers.routable("i-1") is None
    assert routable_servers.routable("i-9") is None
    routable_servers.mark_misdirected("i-0")
    assert routable_servers.routable("i-0") is None
    assert not routable_servers.has_servers("s")
    routable_servers.forget_absent()
    assert routable_servers.routable("i-0") is None
    del directory_state.servers["i-0"]
    routable_servers.forget_absent()
    assert routable_servers.has_servers("t")


# Guards against a server that is left out for good, because another one answered at its address once.
def test_a_server_at_whose_address_another_one_answered_is_routable_again_later() -> None:
    now_s = 0.0
    directory_state = directory()
    routable_servers = RoutableServers(directory_state, lambda: now_s)
    for left_out_s in (1.0, 2.0, 4.0, 8.0, 8.0):
        routable_servers.mark_misdirected("i-0")
        routable_servers.forget_absent()
        now_s += left_out_s - 0.01
        assert routable_servers.services() == {"t"}
        now_s += 0.01
        assert routable_servers.services() == {"s", "t"}
    routable_servers.mark_misdirected("i-0")
    record = directory_state.servers.pop("i-0")
    routable_servers.forget_absent()
    directory_state.servers["i-0"] = record
    assert routable_servers.routable("i-0") == record


@pytest.mark.parametrize(("gateways", "limit"), [(1, 70), (7, 10), (40, 1), (500, 1)])
def test_the_connection_limit_of_a_gateway(gateways: int, limit: int) -> None:
    directory_state = directory()
    directory_state.gateway_count = gateways
    assert RoutableServers(directory_state).connection_limit("i-0") == limit
    assert RoutableServers(directory_state).connection_limit("i-2") == DEFAULT_CONNECTION_LIMIT
    assert RoutableServers(directory_state).connection_limit("i-9") == DEFAULT_CONNECTION_LIMIT


def test_ready_with_a_configuration_and_servers_until_shutdown() -> None:
    directory_state = directory()
    configuration, servers = directory_state.configuration, directory_state.servers
    directory_state.configuration, directory_state.servers = None, {}
    readiness = Readiness(directory_state)
    assert not readiness.ready(0.0)
    directory_state.configuration = configuration
    assert not readiness.ready(1.0)
    assert not readiness.ready(1.0 + SERVERS_WAIT_S - 0.1)
    directory_state.servers = servers
    assert readiness.ready(1.5)
    directory_state.servers = {}
    assert readiness.ready(1.6)
    readiness.shutting_down = True
    assert not readiness.ready(1.7)


def test_not_ready_while_isolated() -> None:
    isolated: list[bool] = []
    readiness = Readiness(directory(), lambda: bool(isolated))
    assert readiness.ready(0.0)
    isolated.append(True)
    assert not readiness.ready(1.0)
    isolated.clear()
    assert readiness.ready(2.0)


def test_ready_without_any_server_after_the_wait() -> None:
    directory_state = directory()
    directory_state.servers = {}
    readiness = Readiness(directory_state)
    assert not readiness.ready(0.0)
    assert readiness.ready(SERVERS_WAIT_S)


def test_an_infinite_metric_in_the_text_format() -> None:
    page = render_metrics({"admission_word_age_seconds": math.inf})
    assert page.endswith(b"emberring_gateway_admission_word_age_seconds +Inf\n")


def test_metrics_in_the_text_format() -> None:
    page = render_metrics({"ready": 1.0, 'a_total{status="200"}': 7.0, 'a_total{status="503"}': 2.0})
    assert page == (
        b"# TYPE emberring_gateway_ready gauge\nemberring_gateway_ready 1\n"
        b"# TYPE emberring_gateway_a_total counter\n"
        b'emberring_gateway_a_total{status="200"} 7\nemberring_gateway_a_total{status="503"} 2\n'
    )
