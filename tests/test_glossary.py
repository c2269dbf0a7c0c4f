"""Names in the glossary exist, and identifiers of finished packages contain no withdrawn word."""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PAGE = ROOT / "docs" / "glossary.md"
ROW = re.compile(
    r"^\| (?P<word>[^|]+) \| (?P<term>[^|]+) \| `(?P<name>\w+)` \| `(?P<path>[\w/]+\.py)` \|$", re.M
)
ROWS = [match.groupdict() for match in ROW.finditer(PAGE.read_text())]

FINISHED_TIER = (
    "register",
    "control",
    "distribution",
    "registry",
    "membership",
    "jobs",
    "store",
    "journal",
    "configuration",
    "placement",
    "transport",
    "admission",
    "gateway",
    "emulator",
    "cli",
    "simulation",
)
FINISHED_LIBRARY = (
    "core",
    "http",
    "discovery",
    "node",
    "overload",
    "runtime",
    "router",
    "budget",
    "sidecar",
    "cli",
    "thrift",
    "xds",
    "emulator",
    "test_rig",
    "experiments",
)
WITHDRAWN = frozenset(
    """
    lot lots told whole held heard mishap trouble troubles beat news word holder keeper fellow fellows kin mates errand
    desk shelf ledger book ballot ballots doubt patience hurry hurried apart standin lab mend mended crowd handicap
    surroundings anew letter
    """.split()  # noqa: SIM905 - one word per line would be too long
)
# Remaining identifiers, each with its reason. The list may only shrink.
EXCEPTIONS = {
    "IN_DOUBT": "member whose value is the error kind on the wire",
    "DEAD_LETTER": "the state of an item on the given pages",
    "starts_told": "setting of the decision module, used by experiments and runtime",
    "_may_be_dead_letter": "asks for that state of an item",
    "LEDGER": "the simulated site of that name",
    "ballots": "option `--ballots`",
    "whole": "JSON key of the model check's result",
    "learn_patience": "setting of the budgets",
    "told_within_ms": "setting of the rules",
    "patience_ms": "key of the experiment files",
    "troubles": "key of the experiment files",
    "trouble": "option `--trouble` and key of the results",
}


def finished_modules() -> list[Path]:
    """Return the modules in which withdrawn words are not allowed."""
    tier, library = ROOT / "emberring", ROOT / "loadbalancer"
    found = [path for package in FINISHED_TIER for path in (tier / package).rglob("*.py")]
    found += [tier / name for name in ("settings.py", "errors.py", "logs.py")]
    found += [path for package in FINISHED_LIBRARY for path in (library / package).rglob("*.py")]
    return sorted([*found, *library.glob("*.py")])


def identifiers(text: str) -> Iterator[str]:
    """Yield every name that a module defines or uses."""
    for node in ast.walk(ast.parse(text)):
        match node:
            case ast.FunctionDef(name=name) | ast.AsyncFunctionDef(name=name) | ast.ClassDef(name=name):
                yield name
            case (
                ast.arg(arg=name) | ast.keyword(arg=str(name)) | ast.Name(id=name) | ast.Attribute(attr=name)
            ):
                yield name


def withdrawn_in(text: str) -> set[str]:
    """Return the identifiers of a module that contain a withdrawn word."""
    return {
        name
        for name in identifiers(text)
        if WITHDRAWN & {part.lower() for part in re.findall(r"[A-Z]+(?![a-z])|[A-Z]?[a-z]+", name)}
    }


def test_the_page_has_its_rows():
    assert len(ROWS) >= 90
    assert len({(row["name"], row["path"]) for row in ROWS}) == len(ROWS)


@pytest.mark.parametrize("row", ROWS, ids=lambda row: f"{row['path']}:{row['name']}")
def test_each_name_is_defined_where_the_glossary_says(row):
    text = (ROOT / row["path"]).read_text()
    definition = rf"^\s*(class|def|async def) {row['name']}\b|^\s*{row['name']}\b[^=\n]*[:=]"
    assert re.search(definition, text, re.M)


@pytest.mark.parametrize("path", finished_modules(), ids=lambda path: str(path.relative_to(ROOT)))
def test_finished_packages_have_no_withdrawn_word_in_an_identifier(path):
    assert withdrawn_in(path.read_text()) <= set(EXCEPTIONS)


def test_no_exception_outlives_its_name():
    found = set().union(*(withdrawn_in(path.read_text()) for path in finished_modules()))
    assert found == set(EXCEPTIONS)


def test_a_withdrawn_word_is_found():
    assert withdrawn_in("class LotShelf:\n    def hand_in(self, told_ms): ...") == {"LotShelf", "told_ms"}
    assert withdrawn_in("slot = heartbeat = holders = 1") == set()
