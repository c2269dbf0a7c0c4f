"""The structure of the tier: allowed imports between packages, file length, and libraries that no role may import."""

from __future__ import annotations

import ast
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent.parent
PACKAGE = ROOT / "emberring"
MAX_LINES = 450

# A package may import itself and packages in the rows below its own, but no other package of its own row.
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
    frozenset({"settings", "errors", "logs", "http_syntax", "backoff"}),
    frozenset({"__init__"}),
)
# Modules that define only types; packages in lower rows may import them too.
TYPES = frozenset({"distribution.records"})
SETTINGS_ROW = frozenset({"settings", "errors", "logs", "http_syntax", "backoff"})
# Files that are longer than the maximum, each with its reason.
LONG_FILES: dict[str, str] = {}
# click is not listed, as uvicorn imports it itself.
HEAVY_LIBRARIES = frozenset({"typer", "rich", "hypothesis", "numpy", "httpcore", "pydantic"})
FORBIDDEN_WORDS = ("LD_PRELOAD", "ptrace", "shared_memory", "shm_open")


def layer_of(package: str) -> int:
    return next(at for at, row in enumerate(LAYERS) if package in row)


def may_import(package: str, name: str) -> bool:
    target = name.split(".")[0]
    if target == package or ".".join(name.split(".")[:2]) in TYPES:
        return True
    if package in SETTINGS_ROW and target in SETTINGS_ROW:
        return True
    return layer_of(target) > layer_of(package)


def imported(path: Path) -> set[str]:
    """Return the names that a module imports from `emberring`, without the prefix `emberring.`."""
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


def relative_name(path: Path) -> str:
    return str(path.relative_to(PACKAGE))


@pytest.mark.parametrize("path", MODULES, ids=relative_name)
def test_packages_import_only_lower_rows(path):
    package = path.relative_to(PACKAGE).parts[0].removesuffix(".py")
    forbidden = sorted(name for name in imported(path) if not may_import(package, name))
    assert not forbidden, f"{package} imports {forbidden}"


@pytest.mark.parametrize("path", MODULES, ids=relative_name)
def test_modules_have_a_docstring_and_a_limited_length(path):
    text = path.read_text()
    assert ast.get_docstring(ast.parse(text)), "no docstring"
    assert len(text.splitlines()) <= MAX_LINES or relative_name(path) in LONG_FILES
    for word in FORBIDDEN_WORDS:
        assert word not in text


def test_no_exception_is_listed_for_a_short_file():
    for name in LONG_FILES:
        path = PACKAGE / name
        assert len(path.read_text().splitlines()) > MAX_LINES, name


def test_the_load_balancing_node_does_not_import_the_tier():
    for path in sorted((ROOT / "loadbalancer").rglob("*.py")):
        assert not imported(path), path


@pytest.mark.parametrize("role", ["gateway", "control", "store"])
def test_a_role_does_not_import_heavy_libraries(role):
    code = f"import sys, emberring.__main__, emberring.{role}.role; print(' '.join(sorted(sys.modules)))"
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    modules = {name.split(".")[0] for name in done.stdout.split()}
    assert not HEAVY_LIBRARIES & modules
    tier_packages = {name.split(".")[1] for name in done.stdout.split() if name.startswith("emberring.")}
    assert not {"cli", "simulation", "emulator"} & tier_packages
