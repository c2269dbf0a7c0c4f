"""Encoding of messages: every message is decoded unchanged, and invalid lines are rejected."""

from __future__ import annotations

import contextlib
from enum import Enum

import attrs
import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from emberring.errors import ProtocolViolationError
from emberring.transport.messages import Envelope, Failure, Ok, decode, encode, kind_of, message


class Colour(Enum):
    RED = "red"
    GREEN = "green"


@attrs.frozen
class Inner:
    """A part of a message."""

    name: str
    size: int = 0


@message("test.everything")
@attrs.frozen
class Everything:
    """A message with a field of each kind."""

    text: str
    number: int
    share: float
    flag: bool
    data: bytes
    colour: Colour
    inner: Inner
    many: tuple[Inner, ...] = ()
    table: dict[str, int] = attrs.field(factory=dict)
    maybe: bytes | None = None
    other: Inner | None = None


INNERS = st.builds(Inner, st.text(), st.integers(-(2**53), 2**53))
EVERYTHING = st.builds(
    Everything,
    text=st.text(),
    number=st.integers(-(2**63), 2**63 - 1),
    share=st.floats(allow_nan=False, allow_infinity=False),
    flag=st.booleans(),
    data=st.binary(),
    colour=st.sampled_from(Colour),
    inner=INNERS,
    many=st.lists(INNERS).map(tuple),
    table=st.dictionaries(st.text(), st.integers(0, 2**40)),
    maybe=st.none() | st.binary(),
    other=st.none() | INNERS,
)


@given(EVERYTHING, st.integers(-(2**40), 2**40))
def test_a_message_is_decoded_unchanged(body, number):
    line = encode(Envelope(number, body))
    assert line.endswith(b"\n")
    assert line.count(b"\n") == 1
    assert decode(line[:-1]) == Envelope(number, body)


def test_a_line_is_json_with_id_kind_and_body():
    line = encode(Envelope(7, Failure("fenced", "x")))
    assert orjson.loads(line) == {"i": 7, "k": "transport.error", "b": {"kind": "fenced", "detail": "x"}}
    assert kind_of(Ok) == "transport.ok"


VALID = {"i": 1, "k": "transport.ok", "b": {}}


@pytest.mark.parametrize(
    "line",
    [
        b"",
        b"x",
        b"[]",
        b"3",
        b"null",
        b"\xff\xfe",
        b'{"i": 1',
        orjson.dumps({**VALID, "k": "no.such.kind"}),
        orjson.dumps({**VALID, "k": ["transport.ok"]}),
        orjson.dumps({**VALID, "i": "1"}),
        orjson.dumps({**VALID, "i": 1.5}),
        orjson.dumps({**VALID, "i": True}),
        orjson.dumps({**VALID, "i": None}),
        orjson.dumps({"k": "transport.ok", "b": {}}),
        orjson.dumps({"i": 1, "b": {}}),
        orjson.dumps({"i": 1, "k": "transport.ok"}),
        orjson.dumps({"i": 1, "k": "transport.error", "b": {}}),
        orjson.dumps({"i": 1, "k": "transport.error", "b": [1]}),
        orjson.dumps({"i": 1, "k": "test.everything", "b": {"text": "only"}}),
        orjson.dumps({"i": 1, "k": "test.everything", "b": None}),
    ],
)
def test_an_invalid_line_is_rejected(line):
    with pytest.raises(ProtocolViolationError):
        decode(line)


@given(st.binary(max_size=300))
def test_any_bytes_are_a_message_or_a_protocol_violation(line):
    with contextlib.suppress(ProtocolViolationError):
        assert isinstance(decode(line), Envelope)


def test_unknown_fields_are_ignored():
    line = orjson.dumps({**VALID, "b": {"new": 1}, "more": 2})
    assert decode(line) == Envelope(1, Ok())


def test_a_kind_cannot_be_registered_twice_nor_for_a_plain_class():
    with pytest.raises(ValueError, match="registered twice"):

        @message("transport.ok")
        @attrs.frozen
        class Another:
            """Another class of the same kind."""

    with pytest.raises(TypeError):

        @message("test.plain")
        class Plain:
            """Not an attrs class."""
