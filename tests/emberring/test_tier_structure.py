"""The structure of the tier: which package may import which, how long a file may be, what a role leaves unimported."""

from __future__ import annotations

import ast
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent.parent
PACKAGE = ROOT / "emberring"
MOST_LINES = 450

# Every package may import itself and those in the rows below its own; of its own row, itself alone.
LAYERS: tuple[frozenset[str], ...] = (
    frozenset({"__main__"}),
    frozenset({"cli"}),
    frozenset({"simulation"}),
    frozenset({"gateway", "control", "store"}),
    frozenset({"emulator"}),
    frozenset({"jobs"}),
    frozenset({"admission", "distribution"}),
    frozenset({"registry", "configuration"}),
    frozenset({"placement"}),
    frozenset({"register"}),
    frozenset({"membership", "journal"}),
    frozenset({"transport"}),
    frozenset({"settings", "errors", "logs"}),
    frozenset({"__init__"}),
)
# Modules of types alone, which packages below theirs may import too.
TYPES = frozenset({"distribution.records"})
SETTINGS_ROW = frozenset({"settings", "errors", "logs"})
# Files that are longer than the most, each with its reason.
LONG: dict[str, str] = {}
# click is not among them, as uvicorn imports it by itself.
HEAVY = frozenset({"typer", "rich", "hypothesis", "numpy", "httpcore", "pydantic"})
NEVER_NAMED = ("LD_PRELOAD", "ptrace", "shared_memory", "shm_open")


def layer_of(room: str) -> int:
    return next(at for at, row in enumerate(LAYERS) if room in row)


def may_import(room: str, name: str) -> bool:
    target = name.split(".")[0]
    if target == room or ".".join(name.split(".")[:2]) in TYPES:
        return True
    if room in SETTINGS_ROW and target in SETTINGS_ROW:
        return True
    return layer_of(target) > layer_of(room)


def imported(path: Path) -> set[str]:
    """Names of the tier that a module imports, below the package."""
    found: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module and node.module.split(".")[0] == "emberring":
            rest = node.module.split(".")[1:]
            found |= {".".join(rest)} if rest else {item.name for item in node.names}
        elif isinstance(node, ast.Import):
            names = [item.name.split(".") for item in node.names]
            found |= {".".join(name[1:]) for name in names if name[0] == "emberring" and len(name) > 1}
    return found


MODULES = sorted(PACKAGE.rglob("*.py"))


def short(path: Path) -> str:
    return str(path.relative_to(PACKAGE))


@pytest.mark.parametrize("path", MODULES, ids=short)
def test_imports_point_down(path):
    room = path.relative_to(PACKAGE).parts[0].removesuffix(".py")
    wrong = sorted(name for name in imported(path) if not may_import(room, name))
    assert not wrong, f"{room} imports {wrong}"


@pytest.mark.parametrize("path", MODULES, ids=short)
def test_modules_say_what_they_are_for_and_stay_short(path):
    text = path.read_text()
    assert ast.get_docstring(ast.parse(text)), "no docstring"
    assert len(text.splitlines()) <= MOST_LINES or short(path) in LONG
    for word in NEVER_NAMED:
        assert word not in text


def test_no_reason_stands_for_a_file_that_is_short_again():
    for name in LONG:
        path = PACKAGE / name
        assert len(path.read_text().splitlines()) > MOST_LINES, name


def test_the_node_in_service_does_not_import_the_tier():
    for path in sorted((ROOT / "loadbalancer").rglob("*.py")):
        assert not imported(path), path


@pytest.mark.parametrize("role", ["gateway", "control", "store"])
def test_a_role_leaves_heavy_libraries_unimported(role):
    code = f"import sys, emberring.__main__, emberring.{role}.role; print(' '.join(sorted(sys.modules)))"
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    modules = {name.split(".")[0] for name in done.stdout.split()}
    assert not HEAVY & modules
    ours = {name.split(".")[1] for name in done.stdout.split() if name.startswith("emberring.")}
    assert not {"cli", "simulation", "emulator"} & ours
