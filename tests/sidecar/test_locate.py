"""Line numbers of TOML keys, checked on texts in which each value is the number of its line."""

from __future__ import annotations

import tomllib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from loadbalancer.sidecar.locate import locate

TEXT = '''# a comment = 1
top = 2
[table]
  "quoted key" = 4
  dotted.inner = 5
  'literal' = """
[not a table]
key = "no key" \\"""
"""
after = 10
[[rows]]
name = \'\'\'
x = 13\'\'\'
[[rows]]
list = [
    16, # ] not the end
    { deep = [17,
      18] }, "a,]b",
]
[rows.below]
one = 21
[[rows.many]]
two = 23
[[ rows . many ]]
two = 25
[a.b.c]
d = 1979-05-27 07:32:00
e = { f = "}", g = 28 }
'''


@pytest.mark.parametrize(
    ("path", "line"),
    [
        (("top",), 2),
        (("table",), 3),
        (("table", "quoted key"), 4),
        (("table", "dotted", "inner"), 5),
        (("table", "literal"), 6),
        (("table", "after"), 10),
        (("rows", 0), 11),
        (("rows", 0, "name"), 12),
        (("rows", 1), 14),
        (("rows", 1, "list"), 15),
        (("rows", 1, "list", 0), 16),
        (("rows", 1, "list", 1, "deep"), 17),
        (("rows", 1, "list", 1, "deep", 1), 18),
        (("rows", 1, "list", 2), 18),
        (("rows", 1, "below", "one"), 21),
        (("rows", 1, "many", 0, "two"), 23),
        (("rows", 1, "many", 1, "two"), 25),
        (("a", "b", "c", "d"), 27),
        (("a", "b", "c", "e", "g"), 28),
    ],
)
def test_each_key_has_its_line(path, line):
    assert locate(TEXT)[path] == line


def leaves(value, path=()):
    if isinstance(value, dict):
        return [leaf for key, item in value.items() for leaf in leaves(item, (*path, key))]
    if isinstance(value, list) and value:
        return [leaf for index, item in enumerate(value) for leaf in leaves(item, (*path, index))]
    return [path]


def test_every_parsed_value_has_a_line():
    found = locate(TEXT)
    assert all(path in found for path in leaves(tomllib.loads(TEXT)))


KEYS = st.one_of(
    st.from_regex(r"[A-Za-z0-9_-]{1,6}", fullmatch=True),
    st.text(st.characters(codec="utf-8", exclude_categories=("Cs", "Cc")), max_size=5).map(
        lambda text: f"'{text}'"
    ),
).filter(lambda key: key.count("'") in (0, 2))
FILLERS = ["", "# a [comment]", "   ", '# "quote']


@st.composite
def texts(draw):
    """A TOML text in which each integer is the number of its own line."""
    lines: list[str] = []
    for index, key in enumerate(
        draw(st.lists(KEYS, unique_by=lambda key: key.strip("'"), min_size=1, max_size=8))
    ):
        lines += draw(st.lists(st.sampled_from(FILLERS), max_size=2))
        form = draw(st.sampled_from(["plain", "table", "rows", "array", "inline", "long"]))
        if form == "plain" and not any(line.startswith("[") for line in lines):
            lines.append(f"{key} = {len(lines) + 1}")
        elif form == "rows":
            lines += [
                f"[[{key}]]",
                f"x{index} = {len(lines) + 2}",
                f"[[{key}]]",
                f"y{index} = {len(lines) + 4}",
            ]
        elif form == "array":
            start = len(lines) + 2
            lines += [f"[{key}]", "z = [", f"  {start + 1},", "", f"  {start + 3} ]"]
        elif form == "inline":
            lines += [f"[{key}]", f"i = {{ a = {len(lines) + 2}, b.c = {len(lines) + 2} }}"]
        elif form == "long":
            lines += [
                f"[{key}]",
                f"n = {len(lines) + 2}",
                't = """',
                "x = 1",
                '[[no]] """',
                f"u = {len(lines) + 6}",
            ]
        else:
            lines += [f"[{key}]", f"v = {len(lines) + 2}"]
    return "\n".join(lines)


@settings(max_examples=300)
@given(texts())
def test_each_number_stands_at_the_line_that_it_says(text):
    data, found = tomllib.loads(text), locate(text)
    for path in leaves(data):
        value = data
        for word in path:
            value = value[word]
        if isinstance(value, int):
            assert found[path] == value, text


def test_crlf_line_endings_count_once():
    assert locate("a = 1\r\n\r\nb = 3\r\n")[("b",)] == 3
