"""Path patterns and the route table."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from loadbalancer.router.paths import PathPattern, segments
from loadbalancer.router.router import HeaderMatch, Route, Router


@pytest.mark.parametrize(
    ("pattern", "path", "matches"),
    [
        ("/pay", b"/pay", True),
        ("/pay", b"/pay/", False),
        ("/pay", b"/%70ay", True),
        ("/pay", b"/PAY", False),
        ("/pay/", b"/pay/", True),
        ("/pay/**", b"/pay", True),
        ("/pay/**", b"/pay/a/b", True),
        ("/pay/**", b"/payments", False),
        ("/{bank}/match", b"/crdb/match", True),
        ("/{bank}/match", b"//match", False),
        ("/{bank}/match", b"/a%2Fb/match", True),
        ("/{bank}/match", b"/a/b/match", False),
        ("/a%20b", b"/a%20b", True),
        ("/**", b"/", True),
        ("/**", b"/x/y", True),
        ("/", b"/", True),
        ("/", b"/x", False),
    ],
)
def test_a_pattern_matches_the_expected_paths(pattern, path, matches):
    found = segments(path)
    assert found is not None
    assert PathPattern.parse(pattern).matches(found) is matches


@pytest.mark.parametrize(
    "path", [b"/a/../b", b"/./a", b"/a/%2e%2e/b", b"/a/..", b"/%2E", b"/a/..%2Fb", b"/x%2f.%2fy"]
)
def test_a_path_with_dot_segments_is_not_routed(path):
    assert segments(path) is None
    with pytest.raises(ValueError, match="dot segments"):
        Router([Route("all", "p", PathPattern.parse("/**"))]).match(b"GET", path, {})


@pytest.mark.parametrize("path", [b"/a..b", b"/..a", b"/a.json", b"/%2e%2ea"])
def test_dots_within_a_longer_segment_are_allowed(path):
    assert segments(path) is not None


@pytest.mark.parametrize(
    "text", ["pay", "", "/a/**/b", "/{a", "/a b", "/../a", "/%2e", "/a//b", "/{}", "/a{b}"]
)
def test_a_malformed_pattern_is_rejected(text):
    with pytest.raises(ValueError, match=r"segment|slash"):
        PathPattern.parse(text)


WORDS = st.sampled_from(["a", "b", "{x}", "%61"])
PATTERNS = st.builds(
    lambda words, rest: PathPattern.parse("/" + "/".join([*words, *(["**"] if rest else [])])),
    st.lists(WORDS, max_size=3),
    st.booleans(),
)
PATHS = st.lists(st.sampled_from([b"a", b"b", b"c", b""]), max_size=4).map(tuple)


@settings(max_examples=500)
@given(PATTERNS, PATTERNS, PATHS)
def test_a_covering_pattern_matches_all_paths_of_the_covered_one(one, other, path):
    if one.covers(other) and other.matches(path):
        assert one.matches(path)


@settings(max_examples=300)
@given(PATTERNS, PATTERNS)
def test_a_pattern_covers_another_exactly_if_it_matches_all_its_short_paths(one, other):
    parts = (b"a", b"b", b"c", b"")
    paths: list[tuple[bytes, ...]] = [()]
    layer = paths
    for _ in range(5):
        layer = [(*path, part) for path in layer for part in parts]
        paths = paths + layer
    matched = [path for path in paths if other.matches(path)]
    assert one.covers(other) is all(one.matches(path) for path in matched)


def route(name: str, path: str, methods: bytes = b"", **headers: str | None) -> Route:
    matches = tuple(
        HeaderMatch(key.replace("_", "-").encode(), None if value is None else value.encode())
        for key, value in headers.items()
    )
    return Route(name, "p", PathPattern.parse(path), frozenset(methods.split()), matches)


def test_the_first_matching_route_applies():
    router = Router(
        [
            route("head", "/x", b"HEAD"),
            route("books", "/x", x_book="general"),
            route("any-book", "/x", x_book=None),
            route("rest", "/**"),
        ]
    )

    def matched_class(method, target, headers=None):
        found = router.match(method, target, headers or {})
        return found and found.service

    assert matched_class(b"HEAD", b"/x?q=/y") == "head"
    assert matched_class(b"GET", b"/x", {b"x-book": b"general"}) == "books"
    assert matched_class(b"GET", b"/x", {b"x-book": b"other"}) == "any-book"
    assert matched_class(b"GET", b"/x") == "rest"
    assert Router([route("head", "/x", b"HEAD")]).match(b"GET", b"/x", {}) is None


@pytest.mark.parametrize(
    ("first", "second", "shadows"),
    [
        (route("a", "/x"), route("b", "/x"), True),
        (route("a", "/x", b"GET"), route("b", "/x"), False),
        (route("a", "/x", b"GET PUT"), route("b", "/x", b"GET"), True),
        (route("a", "/x/**"), route("b", "/x/{y}"), True),
        (route("a", "/x/{y}"), route("b", "/x/**"), False),
        (route("a", "/x", x_b="1"), route("b", "/x"), False),
        (route("a", "/x", x_b=None), route("b", "/x", x_b="1"), True),
        (route("a", "/x", x_b="1"), route("b", "/x", x_b="2"), False),
        (route("a", "/x"), route("b", "/x", b"GET", x_b="2"), True),
    ],
)
def test_a_route_that_is_never_used_is_reported(first, second, shadows):
    assert Router([first, second]).shadowed() == ([(1, 0)] if shadows else [])
