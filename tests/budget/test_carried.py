"""Budget headers: parsing of own and foreign forms, and writing them so that the next node reads the same values."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from loadbalancer.budget.carried import (
    MAX_BAGGAGE_MEMBERS,
    NO_BUDGET,
    PropagatedBudget,
    Stamp,
    read_baggage,
    read_http,
    write_baggage,
    write_http,
)

FULL = PropagatedBudget(
    ms=1200.0,
    at=Stamp("a1b2", 123456),
    extra=2,
    worth=12.5,
    tenant="zanzibar-hotels",
    attempt=1,
    id="f00-1",
    path=("front", "post"),
)
NAMES = st.from_regex(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}", fullmatch=True)
ALL = st.builds(
    PropagatedBudget,
    ms=st.none() | st.integers(0, 86_400_000).map(float),
    at=st.none() | st.builds(Stamp, st.from_regex(r"[a-z0-9]{1,12}", fullmatch=True), st.integers(0, 10**14)),
    extra=st.none() | st.integers(0, 100),
    worth=st.none() | st.integers(0, 10**6).map(lambda value: value / 1000),
    tenant=st.none() | NAMES,
    attempt=st.none() | st.integers(1, 101),
    id=st.none() | st.from_regex(r"[A-Za-z0-9._-]{1,64}", fullmatch=True),
    path=st.lists(NAMES, max_size=20).map(tuple),
)


@given(ALL)
def test_what_is_written_is_read_the_same(carried):
    assert read_baggage(write_baggage(carried)) == (carried, [])


@given(st.text(max_size=400) | st.binary(max_size=400).map(lambda raw: raw.decode("latin-1")))
@settings(max_examples=300)
def test_no_text_at_all_raises_or_brings_more_than_its_bounds(text):
    for given_text in (text, "emberring-" + text, "emberring-ms=" + text, "emberring-path=" + text):
        carried, _ = read_baggage(given_text)
        assert carried.ms is None or 0 <= carried.ms <= 86_400_000
        assert carried.extra is None or 0 <= carried.extra <= 100
        assert len(carried.path) <= 32


@pytest.mark.parametrize(
    "member",
    [
        "emberring-ms=-5",
        "emberring-ms=1e3",
        "emberring-ms=nan",
        "emberring-ms=99999999999",
        "emberring-ms=",
        "emberring-ms=١٢",
        "emberring-extra=101",
        "emberring-worth=inf",
        "emberring-worth=-1",
        "emberring-try=0",
        "emberring-tenant=a%0Ab",
        "emberring-path=a//b",
        "emberring-path=" + "/".join(["a"] * 33),
        "emberring-at=12",
        "emberring-ms=5,emberring-ms=6",
        "emberring-new=1",
    ],
)
def test_invalid_members_are_ignored_and_reported(member):
    carried, others = read_baggage(member)
    assert (carried.ms, carried.extra, carried.worth, carried.attempt) == (None, None, None, None)
    assert (carried.tenant, carried.path, carried.at) == (None, (), None)
    assert len(carried.unreadable) == 1
    assert others == []


def test_foreign_members_are_forwarded_unchanged():
    text = "userId=alice;prop=1 , emberring-ms=700, session=%20x"
    carried, others = read_baggage(text)
    assert carried.ms == 700.0
    rows = dict(write_http([(b"baggage", text.encode())], FULL, "post", 900.0))
    members = rows[b"Baggage"].decode().split(",")
    assert members[-2:] == ["userId=alice;prop=1", "session=%20x"]
    assert read_baggage(rows[b"Baggage"].decode())[0] == FULL
    many = ",".join(f"k{at}=v" for at in range(200))
    assert len(write_baggage(FULL, read_baggage(many)[1]).split(",")) == MAX_BAGGAGE_MEMBERS
    assert others == ["userId=alice;prop=1", "session=%20x"]


def test_baggage_over_the_size_limit_is_unreadable():
    assert read_baggage("a=" + "x" * 9000)[0] == PropagatedBudget(unreadable=("baggage",))


@pytest.mark.parametrize(
    ("name", "value", "ms"),
    [
        (b"grpc-timeout", b"2S", 2000.0),
        (b"grpc-timeout", b"250m", 250.0),
        (b"grpc-timeout", b"500000u", 500.0),
        (b"grpc-timeout", b"1H", 3_600_000.0),
        (b"grpc-timeout", b"0m", 0.0),
        (b"x-envoy-expected-rq-timeout-ms", b"1500", 1500.0),
    ],
)
def test_foreign_timeouts_are_read(name, value, ms):
    assert read_http([(name, value)]).ms == ms


@pytest.mark.parametrize(
    ("name", "value"),
    [
        (b"grpc-timeout", b"-1S"),
        (b"grpc-timeout", b"1.5S"),
        (b"grpc-timeout", b"123456789m"),
        (b"grpc-timeout", b"soon"),
        (b"x-envoy-expected-rq-timeout-ms", b"-20"),
        (b"x-envoy-attempt-count", b"two"),
    ],
)
def test_invalid_foreign_values_are_ignored(name, value):
    found = read_http([(name, value)])
    assert found.ms is None
    assert not found.marked_retry
    assert found.unreadable == (name.decode(),)


def test_the_shortest_time_applies_and_only_the_own_form_has_a_stamp():
    ours = (b"baggage", write_baggage(FULL).encode())
    assert read_http([ours, (b"grpc-timeout", b"300m")]).ms == 300.0
    assert read_http([ours, (b"grpc-timeout", b"300m")]).at is None
    assert read_http([ours, (b"grpc-timeout", b"3S")]).at == FULL.at


def test_retry_marks_are_read():
    assert read_http([(b"Req-Retry", b"1")]).marked_retry
    assert read_http([(b"X-Envoy-Attempt-Count", b"2")]).marked_retry
    assert not read_http([(b"x-envoy-attempt-count", b"1")]).marked_retry
    assert read_http([(b"accept", b"*/*")]) is NO_BUDGET


def test_names_in_via_and_tracestate_are_read():
    headers = [
        (b"via", b"1.1 front (emberring), HTTP/1.1 proxy-7"),
        (b"Via", b"1.1 post"),
        (b"tracestate", b"vendor=1,emberring=front/month-close"),
    ]
    assert read_http(headers).passed_nodes == {"front", "proxy-7", "post", "month-close"}


def test_rewritten_headers_have_the_values_of_this_hop():
    headers = [
        (b"Via", b"1.0 fred"),
        (b"grpc-timeout", b"9S"),
        (b"x-envoy-expected-rq-timeout-ms", b"9000"),
        (b"traceparent", b"00-" + b"a" * 32 + b"-" + b"b" * 16 + b"-01"),
        (b"tracestate", b"emberring=old,vendor=1"),
    ]
    rows = dict(write_http(headers, FULL, "post", 800.0))
    assert rows[b"Via"] == b"1.0 fred, 1.1 post"
    assert rows[b"grpc-timeout"] == b"800m"
    assert rows[b"x-envoy-expected-rq-timeout-ms"] == b"800"
    assert rows[b"tracestate"] == b"emberring=front/post,vendor=1"
    bare = dict(write_http([], FULL, "post", 800.0))
    assert set(bare) == {b"Baggage", b"Via"}
    assert dict(write_http([(b"tracestate", b"x=1")], FULL, "post", 1.0))[b"tracestate"] == b"x=1"
