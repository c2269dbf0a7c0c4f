"""Bytes in messages: they are decoded unchanged, and their encoding is compact."""

from __future__ import annotations

import base64
import random

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from emberring.errors import ProtocolViolationError
from emberring.transport.messages import Envelope, decode, encode, message


@message("test.bytes")
@attrs.frozen
class Carrier:
    value: bytes


@given(
    st.binary(max_size=300)
    | st.text(max_size=100).map(lambda text: text.encode("utf-8"))
    | st.binary(max_size=40).map(lambda value: b"\xff" + value * 60)
)
def test_any_bytes_are_decoded_unchanged(value: bytes) -> None:
    line = encode(Envelope(1, Carrier(value)))
    assert line.count(b"\n") == 1
    assert decode(line[:-1]) == Envelope(1, Carrier(value))


def test_a_document_that_contains_base64_grows_only_by_escaped_quotes() -> None:
    document = b'{"Body":"' + b"q83vEjRWeJA" * 1000 + b'"}'
    assert len(encode(Envelope(1, Carrier(document)))) < len(document) * 1.01 + 100


def test_packed_records_that_contain_base64_are_encoded_without_much_overhead() -> None:
    document = b"\xff\x00\x01" + base64.b64encode(random.Random(1).randbytes(48_000))
    assert len(encode(Envelope(1, Carrier(document)))) < len(document) * 1.05


@pytest.mark.parametrize("field", ["12", '"x"', '"b!!"', '""', "null", '"zAAAA"', '"zeJwrSS0u"'])
def test_an_invalid_encoding_of_bytes_is_rejected(field: str) -> None:
    with pytest.raises(ProtocolViolationError):
        decode(b'{"i":1,"k":"test.bytes","b":{"value":%s}}' % field.encode())
