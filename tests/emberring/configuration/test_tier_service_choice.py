"""Choice of a service by a route's traffic split, and the segments of a split that always get the same service."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from emberring.configuration.model import Route, RouteType, Share
from emberring.configuration.service_choice import (
    MAX_EXACT_SHARES,
    UNKNOWN_SEGMENT,
    choose_service,
    split_segment,
)

NAMES = "abcdefgh"


def route(*weights: float) -> Route:
    split = tuple(Share(name, weight) for name, weight in zip(NAMES, weights, strict=False))
    return Route("r", "h.example", "/", RouteType.BATCH, 4000, split)


@given(
    weights=st.lists(st.sampled_from([0.0, 0.5, 1.0, 3.0, 90.0]), min_size=1, max_size=MAX_EXACT_SHARES),
    with_servers=st.sets(st.sampled_from(NAMES)),
    keys=st.lists(st.binary(min_size=1, max_size=12), min_size=1, max_size=20),
)
def test_a_segment_gets_the_service_of_its_requests(
    weights: list[float], with_servers: set[str], keys: list[bytes]
) -> None:
    split = route(*weights)
    for key in keys:
        segment = split_segment(split, key)
        chosen = choose_service(split, key, with_servers.__contains__)
        assert (segment.service(with_servers.__contains__) if segment else None) == chosen


def test_in_a_larger_split_a_segment_is_exact_if_one_service_at_most_lacks_servers() -> None:
    split = route(1, 2, 3, 4, 5, 6, 7, 8)
    for key in (b"key%d" % number for number in range(500)):
        segment = split_segment(split, key)
        assert segment is not None
        for absent in ("", *NAMES):
            assert segment.service(lambda name: name != absent) == choose_service(  # noqa: B023
                split,
                key,
                lambda name: name != absent,  # noqa: B023
            )


@pytest.mark.parametrize(("weights", "segments"), [((7,), 1), ((1, 0), 1), ((1, 3), 2), ((1, 1, 1), 4)])
def test_a_split_has_few_segments(weights: tuple[float, ...], segments: int) -> None:
    found = {split_segment(route(*weights), b"key%d" % number) for number in range(1000)}
    assert len(found) == segments


def test_routes_with_the_same_services_share_their_segments() -> None:
    assert split_segment(route(1), b"a") == split_segment(route(100, 0), b"b")
    assert split_segment(route(1, 1), b"a") != split_segment(route(1, 2), b"a")


def test_an_unknown_segment_and_a_split_without_weights_have_no_service() -> None:
    assert UNKNOWN_SEGMENT.service(lambda name: True) is None
    assert split_segment(route(0, 0), b"a") is None
