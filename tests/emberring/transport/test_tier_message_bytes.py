"""Bytes in messages: they are decoded unchanged, and their encoding is compact."""

from __future__ import annotations

import base64
import random
import zlib

import attrs
import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from emberring.errors import ProtocolViolationError
from emberring.transport.messages import SAMPLED_BYTES, Envelope, decode, encode, message


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


@pytest.mark.parametrize(
    ("value", "encoding"),
    [
        (b"\xfe" + b"a long value that is deflated " * 10_000, "z"),
        (random.Random(1).randbytes(2 * SAMPLED_BYTES), "b"),
        # Compressible at its end only, yet by enough that a sample shows it.
        (random.Random(1).randbytes(SAMPLED_BYTES) + bytes(2 * SAMPLED_BYTES), "z"),
    ],
)
def test_long_values_are_deflated_if_samples_of_them_become_shorter(value: bytes, encoding: str) -> None:
    line = encode(Envelope(1, Carrier(value)))
    assert orjson.loads(line)["b"]["value"][0] == encoding
    assert decode(line[:-1]) == Envelope(1, Carrier(value))


# Guards against a store whose event loop deflates compressed values in vain, instead of renewing its lease.
def test_a_long_value_that_is_compressed_already_is_not_compressed_as_a_whole(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    compressed_bytes: list[int] = []
    compress = zlib.compress

    def record(data: bytes, level: int) -> bytes:
        compressed_bytes.append(len(data))
        return compress(data, level)

    monkeypatch.setattr(zlib, "compress", record)
    encode(Envelope(1, Carrier(random.Random(1).randbytes(64 * SAMPLED_BYTES))))
    assert sum(compressed_bytes) <= SAMPLED_BYTES
