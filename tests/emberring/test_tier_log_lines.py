"""The page on log lines names every line of level warning and above that the code can write."""

from __future__ import annotations

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent.parent
PAGE = (ROOT / "docs" / "operate" / "logs.md").read_text()
LEVELS = {"warning", "error", "exception", "critical"}


def warning_events() -> set[tuple[str, str]]:
    """Return the event and the module of each call that logs at level warning or above."""
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


@pytest.mark.parametrize(("event", "module"), sorted(warning_events()))
def test_the_page_describes_each_event_of_level_warning(event, module):
    assert f"`event={event}`" in PAGE, f"{module} writes it; describe it in docs/operate/logs.md"


def test_the_page_describes_no_event_that_the_code_does_not_log():
    above = PAGE.split("## Lines of level INFO")[0]
    named = set(re.findall(r"^\| `event=([a-z_]+)`", above, flags=re.MULTILINE))
    assert named == {event for event, _ in warning_events()}
