"""Modules, functions and log lines named in docs/architecture.md exist.

The table of docs/design/structure.md matches the one that the structure tests enforce.
"""

from __future__ import annotations

import ast
import importlib.util
import re
from functools import cache
from pathlib import Path
from types import ModuleType
from typing import NamedTuple

import pytest

ROOT = Path(__file__).parent.parent
PAGE = ROOT / "docs" / "architecture.md"
STRUCTURE = ROOT / "docs" / "design" / "structure.md"
MAX_COLUMNS = 120

QUOTED = re.compile(r"`([^`\n]+)`")
PATH = re.compile(r"(?:[\w.-]+/)*[\w-]+\.(?:py|md|toml)")
MEMBER = re.compile(r"((?:[\w.-]+/)*\w+\.py):([A-Za-z_][\w.]*)")
MODULE = re.compile(r"(?:emberring|loadbalancer|tests)(?:\.\w+)+")
LINK = re.compile(r"\]\(([^)#]+)\)")
ROW_OF_EVENTS = re.compile(r"\| `event=")
EVENT = re.compile(r"event=(\w+)")
EVENT_IN_CODE = re.compile(r"event=([\w%]+)")
# Events whose names the code formats at run time, with the format string.
FORMATTED_EVENTS = {
    "node_present": "node_%s",
    "node_absent": "node_%s",
    "ready": "%s",
    "not_ready": "%s",
}
ROW_OF_REJECTION = re.compile(r"\| \d{3} \| `([^`]+\.py):([\w.]+)` \| `([^`]+)`")


@cache
def tree_of(path: Path) -> ast.Module:
    return ast.parse(path.read_text())


def member(path: Path, name: str) -> ast.AST | None:
    """Return the class, function or constant of this dotted name in a module; None if there is none."""
    found: ast.AST = tree_of(path)
    for part in name.split("."):
        for node in getattr(found, "body", []):
            if isinstance(node, ast.ClassDef | ast.FunctionDef | ast.AsyncFunctionDef):
                names = {node.name}
            elif isinstance(node, ast.Assign):
                names = {target.id for target in node.targets if isinstance(target, ast.Name)}
            elif isinstance(node, ast.AnnAssign) and isinstance(node.target, ast.Name):
                names = {node.target.id}
            else:
                names = set()
            if part in names:
                found = node
                break
        else:
            return None
    return found


def module_exists(name: str) -> bool:
    """Return whether a dotted name is a package, a module or a member of one."""
    parts = name.split(".")
    for count in range(len(parts), 0, -1):
        base = ROOT.joinpath(*parts[:count])
        path = base / "__init__.py" if base.is_dir() else base.with_suffix(".py")
        if path.is_file():
            rest = ".".join(parts[count:])
            return not rest or member(path, rest) is not None
    return False


def names_on(text: str) -> list[str]:
    """Return the names in backquotes that this test can check."""
    return [
        name
        for name in QUOTED.findall(text)
        if PATH.fullmatch(name) or MEMBER.fullmatch(name) or MODULE.fullmatch(name)
    ]


def exists(name: str) -> bool:
    if found := MEMBER.fullmatch(name):
        path = ROOT / found[1]
        return path.is_file() and member(path, found[2]) is not None
    if PATH.fullmatch(name):
        return (ROOT / name).is_file()
    return module_exists(name)


def wrong_names(text: str) -> list[str]:
    return [name for name in names_on(text) if not exists(name)]


def wrong_rejections(text: str) -> list[str]:
    """Return the quoted lines that are not in the function named before them."""
    wrong = []
    for path, name, line in ROW_OF_REJECTION.findall(text):
        found = member(ROOT / path, name)
        source = ast.get_source_segment((ROOT / path).read_text(), found) if found is not None else None
        if source is None or line not in source:
            wrong.append(f"{path}:{name}: {line}")
    return wrong


def wrong_events(text: str) -> list[str]:
    """Return the events that the module named in their row does not log."""
    wrong = []
    for row in text.splitlines():
        if not ROW_OF_EVENTS.match(row):
            continue
        lines, modules = row.split("|")[1:3]
        path = QUOTED.findall(modules)[0].partition(":")[0]
        written = set(EVENT_IN_CODE.findall((ROOT / path).read_text()))
        wrong += [
            f"{path}: {name}"
            for name in EVENT.findall(lines)
            if FORMATTED_EVENTS.get(name, name) not in written
        ]
    return wrong


def test_every_name_on_the_page_exists():
    text = PAGE.read_text()
    assert len(names_on(text)) > 100
    assert not wrong_names(text)


def test_every_link_of_the_page_leads_to_a_file():
    links = LINK.findall(PAGE.read_text())
    assert links
    assert not [link for link in links if not (PAGE.parent / link).is_file()]


def test_rejection_lines_exist_in_their_functions():
    text = PAGE.read_text()
    assert len(ROW_OF_REJECTION.findall(text)) >= 20
    assert not wrong_rejections(text)


def test_each_event_is_written_by_the_module_of_its_row():
    assert not wrong_events(PAGE.read_text())


def test_each_event_of_the_tier_is_on_the_page():
    rows = [row for row in PAGE.read_text().splitlines() if ROW_OF_EVENTS.match(row)]
    listed = {
        (QUOTED.findall(row.split("|")[2])[0].partition(":")[0], FORMATTED_EVENTS.get(name, name))
        for row in rows
        for name in EVENT.findall(row.split("|")[1])
    }
    written = {
        (str(path.relative_to(ROOT)), name)
        for path in (ROOT / "emberring").rglob("*.py")
        if "simulation" not in path.parts
        for name in EVENT_IN_CODE.findall(path.read_text())
    }
    assert written == listed


def test_no_line_of_the_page_is_too_long():
    for page in (PAGE, STRUCTURE):
        assert not [line for line in page.read_text().splitlines() if len(line) > MAX_COLUMNS], page


@pytest.mark.parametrize(
    "name",
    [
        "emberring/gateway/no_such_module.py",
        "app.py",
        "docs/design/no_such_page.md",
        "emberring.gateway.no_such_module",
        "emberring.gateway.app.no_such_function",
        "emberring/gateway/no_such_module.py:Application",
        "emberring/gateway/app.py:no_such_function",
        "emberring/gateway/app.py:Application.no_such_method",
        "emberring/gateway/app.py:NoSuchClass._handle",
        "emberring/gateway/app.py:_handle",
    ],
)
def test_a_wrong_name_is_found(name):
    assert wrong_names(f"{PAGE.read_text()}\nThe step is in `{name}`.\n") == [name]


@pytest.mark.parametrize(
    "name",
    [
        "emberring/gateway/app.py",
        "emberring.gateway",
        "emberring.gateway.app",
        "emberring.gateway.app.Application._handle",
        "emberring/gateway/app.py:Application._handle",
        "emberring/gateway/app.py:BODY_TIMEOUT_S",
    ],
)
def test_a_right_name_is_checked_and_passes(name):
    assert names_on(f"`{name}`") == [name]
    assert not wrong_names(f"`{name}`")


def test_a_wrong_line_and_a_wrong_event_are_found():
    row = "| 503 | `emberring/admission/pool.py:Pool.offer` | `return NoSuchAnswer()` |"
    assert wrong_rejections(row)
    assert wrong_events("| `event=started` | `emberring/store/role.py` | start |")


class Row(NamedTuple):
    """A row of the table of layers; continuation rows are joined to it."""

    layer: int
    imports: tuple[str, ...]
    free: str  # text of the last column without the names


def text_without_names(cell: str) -> str:
    parts = (part.strip() for part in QUOTED.sub("", cell).split(","))
    return ", ".join(part for part in parts if part)


def rows_of(text: str) -> dict[str, Row]:
    """Return the table of layers, by the full name of the package."""
    table: list[tuple[str, str, str]] = []
    for line in text.partition("| layer | package |")[2].splitlines()[2:]:
        if not line.startswith("|"):
            break
        layer, package, _, imports = (cell.strip() for cell in line.strip("|").split("|"))
        if package:
            table.append((package.strip("`"), layer, imports))
        else:
            name, layer, before = table.pop()
            table.append((name, layer, f"{before} {imports}"))
    assert len({name for name, _, _ in table}) == len(table)
    return {
        name: Row(int(layer), tuple(QUOTED.findall(imports)), text_without_names(imports))
        for name, layer, imports in table
    }


@cache
def module_of(path: str) -> ModuleType:
    spec = importlib.util.spec_from_file_location(f"structure_{Path(path).stem}", ROOT / path)
    assert spec is not None
    assert spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def wrong_rows(text: str) -> list[str]:
    """Return the packages whose rows differ from what the structure tests enforce."""
    rows = rows_of(text)
    node, tier = module_of("tests/test_structure.py"), module_of("tests/emberring/test_tier_structure.py")
    used: dict[str, set[str]] = {}
    for path in tier.MODULES:
        package_name = path.relative_to(tier.PACKAGE).parts[0].removesuffix(".py")
        used.setdefault(package_name, set()).update(
            f"loadbalancer.{name.split('.')[0]}" for name in node.imported(path)
        )
    expected: dict[str, Row] = {}
    for at, row in enumerate(tier.LAYERS):
        for package_name in row:
            free = "layers below, this layer" if row == tier.SETTINGS_ROW else "layers below"
            last = at == len(tier.LAYERS) - 1
            names = tuple(sorted(used.get(package_name, ())))
            expected[f"emberring.{package_name}"] = Row(
                len(tier.LAYERS) - at, names, "nothing" if last else free
            )
    for package_name, allowed in node.MAY.items():
        names = (
            {f"core.{one}" for one in node.CORE_ONLY.get(package_name, ())} if "core" in allowed else set()
        )
        names |= allowed - {"core"} if names else allowed
        below = [rows[f"loadbalancer.{one}"].layer for one in allowed if f"loadbalancer.{one}" in rows]
        layer = 1 + max(below, default=0)
        expected[f"loadbalancer.{package_name}"] = Row(
            layer, tuple(sorted(names)), "" if names else "nothing"
        )
    return sorted(name for name in expected.keys() | rows.keys() if expected.get(name) != rows.get(name))


def test_the_table_of_layers_is_the_one_that_is_enforced():
    assert not wrong_rows(STRUCTURE.read_text())


@pytest.mark.parametrize(
    ("right", "wrong", "package"),
    [
        ("| 11 | `emberring.store`", "| 10 | `emberring.store`", "emberring.store"),
        ("layers below, `loadbalancer.core`", "layers below", "emberring.gateway"),
        ("`loadbalancer.discovery`", "`loadbalancer.lists`", "loadbalancer.lists"),
        ("`core`, `node` |", "`core`, `node`, `cli` |", "loadbalancer.__main__"),
    ],
)
def test_a_wrong_row_is_found(right, wrong, package):
    text = STRUCTURE.read_text()
    assert right in text
    assert package in wrong_rows(text.replace(right, wrong))


def test_the_page_of_the_structure_has_no_former_name_and_no_wrong_one():
    text = STRUCTURE.read_text()
    assert not re.search(r"\b(lists|limits|platform|standin|stand-in|lab|fleet|brain)\b", text)
    assert not wrong_names(text)
