"""The page on log lines names every line of level warning and above that the code can write."""

from __future__ import annotations

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent.parent
PAGE = (ROOT / "docs" / "operate" / "logs.md").read_text()
LEVELS = {"warning", "error", "exception", "critical"}


def told_events() -> set[tuple[str, str]]:
    """Event and module of each such line."""
    found = set()
    for path in sorted((ROOT / "emberring").rglob("*.py")):
        for node in ast.walk(ast.parse(path.read_text())):
            if not (isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute)):
                continue
            owner = node.func.value
            if node.func.attr in LEVELS and isinstance(owner, ast.Name) and owner.id == "logger":
                text = ast.unparse(node.args[0])
                event = re.search(r"event=([a-z_]+)", text)
                found.add((event.group(1) if event else text, str(path.relative_to(ROOT))))
    return found


@pytest.mark.parametrize(("event", "module"), sorted(told_events()))
def test_a_line_of_level_warning_stands_on_the_page(event, module):
    assert f"`event={event}`" in PAGE, f"{module} writes it; say on docs/operate/logs.md what to do"


def test_the_page_has_no_line_that_is_gone():
    above = PAGE.split("## Lines of level INFO")[0]
    named = set(re.findall(r"^\| `event=([a-z_]+)`", above, flags=re.MULTILINE))
    assert named == {event for event, _ in told_events()}
