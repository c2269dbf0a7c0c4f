"""Import rules of docs/design/structure.md: which package may import which, and what the platform's node must not
import."""

from __future__ import annotations

import ast
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PACKAGE = ROOT / "loadbalancer"

# Packages and modules that each package or module of ours may import, besides itself.
MAY: dict[str, set[str]] = {
    "interface": set(),
    "balancer": {
        "attempt_sender",
        "attempts",
        "class_latency",
        "interface",
        "load_estimate",
        "outlier_detection",
        "ranking",
        "server_table",
        "slow_start",
        "tenant_quota",
        "threshold_table",
    },
    "threshold_table": {"interface", "load_estimate"},
    "load_estimate": {"interface"},
    "server_table": {"interface", "outlier_detection", "priority_levels", "slow_start"},
    "outlier_detection": {"interface"},
    "slow_start": {"interface", "outlier_detection"},
    "ranking": {
        "attempts",
        "class_latency",
        "interface",
        "list_validity",
        "outlier_detection",
        "server_table",
        "slow_start",
    },
    "list_validity": {"outlier_detection"},
    "attempts": {"interface", "outlier_detection"},
    "attempt_sender": {
        "attempts",
        "class_latency",
        "interface",
        "outlier_detection",
        "ranking",
        "retry_policy",
    },
    "class_latency": {"interface", "retry_policy"},
    "tenant_quota": set(),
    "priority_levels": {"interface"},
    "retry_policy": set(),
    "budget": {"interface"},
    "settings": {"interface"},
    "simulator_adapter": {"balancer", "interface", "settings"},
    "overload": set(),
    "core": {"balancer", "interface", "overload"},
    "router": set(),
    "http": {"core", "interface"},
    "discovery": {"core", "http", "interface"},
    "node": {"core", "http", "overload", "discovery", "interface", "settings"},
    "sidecar": {"core", "overload", "router"},
    "experiments": {"balancer", "interface", "sidecar"},
    "runtime": {
        "budget",
        "core",
        "overload",
        "http",
        "discovery",
        "router",
        "sidecar",
        "interface",
        "settings",
        "thrift",
        "xds",
    },
    "xds": {"core", "http", "interface", "discovery"},
    "thrift": {"core", "interface"},
    "emulator": {"core", "http", "interface", "thrift"},
    "test_rig": {"core", "sidecar", "emulator"},
    "examples": set(),
    "cli": {"core", "http", "experiments", "runtime", "sidecar", "emulator", "xds"},
    "__main__": {"core", "node"},
    "__init__": {"balancer", "interface"},
}
# Modules of core that packages without sockets, and emulators, may import.
CORE_ONLY: dict[str, set[str]] = {
    "sidecar": {"address"},
    "emulator": {"address"},
    "test_rig": {"address"},
    "cli": {"address", "descriptors", "shutdown", "turns"},
}


def imported(path: Path) -> set[str]:
    """Return the names that a module imports from `loadbalancer`, relative to it."""
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module and node.module.split(".")[0] == "loadbalancer":
            rest = node.module.split(".")[1:]
            found |= {".".join(rest)} if rest else {item.name for item in node.names}
        elif isinstance(node, ast.Import):
            found |= {
                ".".join(item.name.split(".")[1:])
                for item in node.names
                if item.name.startswith("loadbalancer.")
            }
    return found


MODULES = sorted(PACKAGE.rglob("*.py"))


@pytest.mark.parametrize("path", MODULES, ids=lambda path: str(path.relative_to(PACKAGE)))
def test_packages_import_only_what_they_may(path):
    importer = path.relative_to(PACKAGE).parts[0].removesuffix(".py")
    for name in imported(path):
        target = name.split(".")[0]
        if target in ("Balancer", "Settings"):
            target = "balancer"
        assert target == importer or target in MAY[importer], f"{importer} imports {name}"
        if target == "core" and importer in CORE_ONLY:
            assert name.split(".")[1] in CORE_ONLY[importer], f"{importer} imports {name}"


def test_the_platforms_node_imports_nothing_that_it_does_not_use():
    code = "import sys, loadbalancer.__main__; print(' '.join(sorted(sys.modules)))"
    modules = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True
    ).stdout.split()
    ours = {name.split(".")[1] for name in modules if name.startswith("loadbalancer.")}
    assert ours <= {
        "__main__",
        "attempt_sender",
        "attempts",
        "balancer",
        "class_latency",
        "load_estimate",
        "outlier_detection",
        "list_validity",
        "ranking",
        "server_table",
        "slow_start",
        "tenant_quota",
        "threshold_table",
        "core",
        "http",
        "interface",
        "priority_levels",
        "overload",
        "discovery",
        "node",
        "retry_policy",
        "settings",
    }
    assert not {"pydantic", "rich", "argparse", "tomllib"} & set(modules)


def test_decision_packages_do_no_io():
    pure = [
        *(PACKAGE / "router").glob("*.py"),
        *(PACKAGE / "budget").glob("*.py"),
        *(PACKAGE / "overload").glob("*.py"),
        *(PACKAGE / "sidecar").glob("*.py"),
    ]
    pure += [PACKAGE / "thrift" / name for name in ("types.py", "values.py", "codec.py")]
    for path in pure:
        text = path.read_text()
        assert "import asyncio" not in text, path
        assert "import socket" not in text, path
