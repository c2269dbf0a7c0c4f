"""Random mutations of valid files: a misspelt key, a value of another type."""

from __future__ import annotations

import copy
import tomllib
from pathlib import Path
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from loadbalancer.cli.config import check_files
from loadbalancer.sidecar.checks import check
from loadbalancer.sidecar.load import parse
from loadbalancer.sidecar.toml import dumps

GOOD = sorted((Path(__file__).parent / "good").glob("*.toml"))
FILES = {path.name: tomllib.loads(path.read_text()) for path in GOOD}
WRONG: dict[type, list[Any]] = {
    bool: [1, "true", 0.5, []],
    int: ["7", True, [7], {"each": 7}],
    float: ["7.5", False, [7.5], {"each": 7.5}],
    str: [7, True, 1.5, ["text"], {"is": "text"}],
    list: ["text", 7, True],
    dict: ["text", 7, True, []],
}


def places(value: Any, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """The path of every key of every table, nested ones included."""
    if isinstance(value, dict):
        return [found for key, item in value.items() for found in [(*path, key), *places(item, (*path, key))]]
    if isinstance(value, list):
        return [found for at, item in enumerate(value) for found in places(item, (*path, at))]
    return []


def at(data: Any, path: tuple[Any, ...]) -> Any:
    for word in path:
        data = data[word]
    return data


PLACES = [(name, path) for name, data in FILES.items() for path in places(data)]


def mistakes(data: dict[str, Any], name: str) -> list[Any]:
    document = parse(dumps(data, {}), name)
    check(document, 65536)
    return document.mistakes


def test_the_files_are_valid_before_mutation():
    assert all(mistakes(data, name) == [] for name, data in FILES.items())


@settings(max_examples=400)
@given(st.sampled_from(PLACES), st.data())
def test_any_misspelt_key_is_rejected(place, data):
    name, path = place
    key = path[-1]
    index = data.draw(st.integers(0, len(key) - 1))
    letter = data.draw(st.sampled_from("abcdefghijklmnopqrstuvwxyz_"))
    other = data.draw(
        st.sampled_from(
            [key[:index] + key[index + 1 :], key[:index] + letter + key[index:], key.upper(), key + "s"]
        )
    )
    table = at(FILES[name], path[:-1])
    if other in table or not other:
        return
    mutated = copy.deepcopy(FILES[name])
    here = at(mutated, path[:-1])
    kept = {(other if word == key else word): value for word, value in here.items()}
    here.clear()
    here.update(kept)
    found = mistakes(mutated, name)
    assert found, f"{name}: {path} as {other!r}"


@settings(max_examples=400)
@given(st.sampled_from(PLACES), st.data())
def test_any_value_of_another_type_is_rejected_at_its_path(place, data):
    name, path = place
    value = at(FILES[name], path)
    mutated = copy.deepcopy(FILES[name])
    wrong = data.draw(st.sampled_from(WRONG[type(value)]))
    if wrong == [] and isinstance(value, list):
        return
    at(mutated, path[:-1])[path[-1]] = wrong
    found = mistakes(mutated, name)
    assert found, f"{name}: {path} = {wrong!r}"
    assert any(str(path[-1]) in mistake.path for mistake in found), found


def test_a_mutated_file_does_not_affect_another_in_the_same_run(tmp_path):
    bad = tmp_path / "bad.toml"
    bad.write_text(dumps(FILES["configuration.toml"] | {"nmae": "x"}, {}))
    good = next(path for path in GOOD if path.name == "configuration.toml")
    documents, _ = check_files([str(bad), str(good)], 65536)
    assert [len(document.mistakes) for document in documents] == [1, 0]
