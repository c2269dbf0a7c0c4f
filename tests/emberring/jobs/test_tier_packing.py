"""Compressed bytes, events and pages decode to what was encoded; damaged bytes are rejected."""

from __future__ import annotations

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from emberring.errors import CorruptRecordError
from emberring.jobs.calls import EventData, JobPage
from emberring.jobs.packing import compress, decompress, pack_events, unpack_events
from emberring.jobs.results import ResultState, build_page, encode_result, item_index, page_json

TEXT = st.text(st.characters(exclude_categories=("Cs",)), max_size=60)
EVENTS = st.lists(st.builds(EventData, st.integers(0, 10**9), TEXT), max_size=6).map(tuple)


@given(st.binary(max_size=500))
def test_bytes(data: bytes) -> None:
    assert decompress(compress(data)) == data


@given(EVENTS)
def test_events(events: tuple[EventData, ...]) -> None:
    assert unpack_events(pack_events(events)) == events


@given(st.lists(st.tuples(st.integers(0, 199), TEXT, st.sampled_from(ResultState), TEXT), max_size=5))
def test_pages(results: list[tuple[int, str, ResultState, str]]) -> None:
    values = [encode_result(*result) for result in results]
    assert [item_index(value) for value in values] == [result[0] for result in results]
    page = orjson.loads(page_json(build_page(300, 7, values)))
    assert page["Total"] == 300
    assert page["NextPageToken"] == 7 + len(results)
    assert [(found["Id"], found["State"], found["Message"]) for found in page["Results"]] == [
        (name, state.value, message) for _, name, state, message in results
    ]


@pytest.mark.parametrize("data", [b"", b"x", compress(b"some text")[:-3]])
def test_damaged_bytes_raise_an_error(data: bytes) -> None:
    with pytest.raises(CorruptRecordError):
        decompress(data)
    with pytest.raises(CorruptRecordError):
        page_json(JobPage(1, 0, b"\0" * 10 + data))
    with pytest.raises(CorruptRecordError):
        unpack_events(data or b"y")


def test_a_list_of_other_values_raises_an_error() -> None:
    with pytest.raises(CorruptRecordError):
        unpack_events(compress(b"[1]"))


def test_text_is_compressed() -> None:
    text = orjson.dumps([f"{number * 7919:x}" for number in range(500)])
    assert len(compress(text)) < 0.75 * len(text)
