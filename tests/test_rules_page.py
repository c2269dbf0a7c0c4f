"""Functions and tests named in docs/design/rules.md exist."""

from __future__ import annotations

import re
from pathlib import Path

from test_architecture_page import wrong_names

PAGE = Path(__file__).parent.parent / "docs" / "design" / "rules.md"
ROW = re.compile(r"^\| (?!rule|what|---)", re.MULTILINE)


def test_every_name_on_the_page_exists():
    assert not wrong_names(PAGE.read_text())


def test_a_wrong_test_and_a_wrong_function_are_found():
    wrong = ("tests/emberring/jobs/test_tier_merge.py:test_nothing", "emberring/jobs/merge.py:no_function")
    text = PAGE.read_text() + "".join(f"\n| x | `{name}` |" for name in wrong)
    assert wrong_names(text) == list(wrong)


def test_each_row_names_a_test_or_states_that_there_is_none():
    rows = [line for line in PAGE.read_text().splitlines() if ROW.match(line)]
    assert len(rows) > 25
    incomplete = [
        row
        for row in rows
        if ":test_" not in row and "WORST_DAYS" not in row and "none in the code" not in row
    ]
    assert incomplete == []
