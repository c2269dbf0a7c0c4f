"""Checks of the files in `seeded`, which have one mistake each, and of the valid files in `good`."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from loadbalancer.cli import main
from loadbalancer.cli.config import check_files

HERE = Path(__file__).parent
CATALOGUE = HERE / "good" / "catalogue.toml"
SEEDED = sorted((HERE / "seeded").glob("*.toml"))
GOOD = sorted((HERE / "good").glob("*.toml"))
DESCRIPTORS = 65536  # process limit assumed by the checks


def files_for(path: Path) -> list[str]:
    return [str(path), str(CATALOGUE)] if path.name.startswith("application") else [str(path)]


def expected(path: Path) -> tuple[int, str]:
    """The line with the `#! ` marker in the file, and the path after the marker."""
    for number, line in enumerate(path.read_text().split("\n"), 1):
        if "#! " in line:
            return number, line.partition("#! ")[2]
    raise AssertionError(f"{path.name} has no #! marker")


def test_the_sets_have_enough_files():
    assert len(SEEDED) >= 80
    assert len(GOOD) >= 15


@pytest.mark.parametrize("path", SEEDED, ids=lambda path: path.stem)
def test_the_seeded_mistake_and_no_other_is_found_at_its_line_and_path(path):
    documents, _ = check_files(files_for(path), DESCRIPTORS)
    found = [mistake for document in documents for mistake in document.mistakes]
    assert [(mistake.line, mistake.path) for mistake in found] == [expected(path)], "\n".join(map(str, found))
    assert found[0].file == str(path)
    assert found[0].wrong
    assert found[0].right


@pytest.mark.parametrize("path", GOOD, ids=lambda path: path.stem)
def test_a_valid_file_is_accepted_and_not_modified(path, capsys):
    before = [Path(name).read_bytes() for name in files_for(path)]
    stamp = path.stat().st_mtime_ns
    assert main(["config", "check", *files_for(path), "--descriptors", str(DESCRIPTORS)]) == 0
    assert capsys.readouterr().out == ""
    assert [Path(name).read_bytes() for name in files_for(path)] == before
    assert path.stat().st_mtime_ns == stamp


def test_all_mistakes_of_all_files_are_reported_in_one_run(capsys):
    chosen = [str(path) for path in SEEDED if not path.name.startswith("application")]
    assert main(["config", "check", *chosen, "--json", "--descriptors", str(DESCRIPTORS)]) == 1
    rows = json.loads(capsys.readouterr().out)["mistakes"]
    assert {row["file"] for row in rows} == set(chosen)


def test_a_mistake_is_one_line_with_file_line_path_and_correction(capsys):
    path = HERE / "seeded" / "application-key-misspelt.toml"
    assert main(["config", "check", str(path), str(CATALOGUE)]) == 1
    line, where = expected(path)
    output = capsys.readouterr().out
    assert output == f"{path}:{line}: {where}: no such key; did you mean 'deadline_ms'?\n"


@pytest.mark.parametrize("word", ["retryable", "idempotent", "hedged"])
def test_a_looser_value_is_reported_with_the_line_of_the_catalogue(word):
    path = HERE / "seeded" / f"application-payment-match-{word}.toml"
    documents, _ = check_files(files_for(path), DESCRIPTORS)
    lines = CATALOGUE.read_text().split("\n")
    limit_line = next(
        number
        for number, line in enumerate(lines, 1)
        if line == 'effect = "unsafe"' and lines[number - 3] == 'name = "payment-match"'
    )
    assert f"{CATALOGUE}:{limit_line}" in documents[0].mistakes[0].wrong


def test_two_mistakes_in_one_file_are_both_reported(tmp_path):
    text = (
        CATALOGUE.read_text().replace("aim_ms = 1000", "aim_ms = 9000").replace('mode = "ask"', 'mod = "ask"')
    )
    path = tmp_path / "two.toml"
    path.write_text(text)
    documents, _ = check_files([str(path)], DESCRIPTORS)
    assert [mistake.path for mistake in documents[0].mistakes] == [
        "pools[ledger-post].list.mod",
        "classes[balance-read].aim_ms",
    ]


@pytest.mark.parametrize(
    "call",
    [
        ["config", "check", "/no/such/file.toml"],
        ["config", "write", "/no/such/file.toml", "/none.toml"],
        ["config", "write", str(HERE / "good" / "application.toml"), str(CATALOGUE)],
        ["config", "drift", str(HERE / "good" / "configuration.toml")],
        ["config", "drift", str(CATALOGUE), str(HERE / "good" / "configuration.toml")],
        ["config", "drift", "http://127.0.0.1:1", str(HERE / "good" / "configuration.toml")],
        ["config", "explain", str(CATALOGUE), str(HERE / "good" / "application.toml"), "no.such.path"],
    ],
)
def test_an_impossible_command_exits_with_2(call, capsys):
    assert main(call) == 2
    output = capsys.readouterr()
    assert output.err.startswith("loadbalancer: ")
    assert output.out == ""


def test_a_file_that_is_not_utf8_is_a_mistake(tmp_path):
    path = tmp_path / "x.toml"
    path.write_bytes(b'kind = "catalogue"\nname = "\xff"\n')
    documents, _ = check_files([str(path)], DESCRIPTORS)
    assert [mistake.line for mistake in documents[0].mistakes] == [2]
