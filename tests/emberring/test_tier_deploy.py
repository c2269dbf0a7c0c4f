"""The deploy file names the system packages that the build and the programs use, no more and no fewer."""

from __future__ import annotations

import importlib.metadata
import shlex
import subprocess
import tomllib
from pathlib import Path
from typing import Any

import pytest

ROOT = Path(__file__).parent.parent.parent

# Packages of every Debian machine: the C library, the shell and its utilities, the compiler's runtime library.
PREINSTALLED_PACKAGES = frozenset({"libc6", "dash", "coreutils", "libgcc-s1"})
PACKAGE_OF_COMMAND = {
    "[": "coreutils",
    "touch": "coreutils",
    "python3": "python3",
    "python3 -m pip": "python3-pip",
    "pip over TLS": "ca-certificates",
}
PACKAGE_OF_LIBRARY = {
    "libc.so.6": "libc6",
    "libm.so.6": "libc6",
    "libpthread.so.0": "libc6",
    "libdl.so.2": "libc6",
    "librt.so.1": "libc6",
    "libgcc_s.so.1": "libgcc-s1",
    "libstdc++.so.6": "libstdc++6",
}
COMMAND_SEPARATORS = frozenset({"||", "&&", ";"})


def deploy() -> dict[str, Any]:
    return tomllib.loads((ROOT / "deploy" / "system.toml").read_text())


def commands_of(line: str) -> list[list[str]]:
    """Return the commands of a shell line, each as a list of words."""
    commands: list[list[str]] = [[]]
    for word in shlex.split(line.replace("(", " ").replace(")", " ")):
        if word in COMMAND_SEPARATORS:
            commands.append([])
        else:
            commands[-1].append(word)
    return [command for command in commands if command]


def packages_of(command: list[str]) -> set[str]:
    """Return the packages that a command needs; raises `KeyError` for a command that is not in the table."""
    needed = {PACKAGE_OF_COMMAND[command[0]]}
    if command[:3] == ["python3", "-m", "pip"]:
        needed |= {PACKAGE_OF_COMMAND["python3 -m pip"], PACKAGE_OF_COMMAND["pip over TLS"]}
    return needed


def required_distributions() -> set[str]:
    """Return the distributions that the tier's programs require, directly and transitively."""
    lines = (ROOT / "requirements-tier.txt").read_text().splitlines()
    pending = [
        line.split(">")[0].split("[")[0].strip() for line in lines if line and not line.startswith("#")
    ]
    found: set[str] = set()
    while pending:
        name = pending.pop()
        if name in found:
            continue
        found.add(name)
        for requirement in importlib.metadata.requires(name) or ():
            if "extra ==" not in requirement and "python_version <" not in requirement:
                pending.append(requirement.split(";")[0].split(">")[0].split("[")[0].split("!")[0].strip())
    return found


def linked_libraries() -> dict[str, str]:
    """Return the shared libraries that extension modules link to, each with one distribution that needs it."""
    found: dict[str, str] = {}
    for name in required_distributions():
        files = importlib.metadata.files(name) or []
        for file in files:
            if ".so" not in "".join(file.suffixes):
                continue
            listing = subprocess.run(
                ["ldd", str(file.locate())], capture_output=True, text=True, check=True, timeout=30
            ).stdout
            for line in listing.splitlines():
                library = line.split()[0]
                if "=>" in line and "/" not in library:
                    found.setdefault(library, name)
    return found


def needed_packages() -> set[str]:
    file = deploy()
    lines = [file["build"], *(role["run"] for role in file["roles"].values())]
    needed = {package for line in lines for command in commands_of(line) for package in packages_of(command)}
    needed |= {PACKAGE_OF_LIBRARY[library] for library in linked_libraries()}
    return needed - PREINSTALLED_PACKAGES


def test_the_deploy_file_names_the_system_packages_that_build_and_programs_use() -> None:
    assert set(deploy()["packages"]) == needed_packages()
    assert len(deploy()["packages"]) == len(set(deploy()["packages"]))


def test_every_library_of_the_build_comes_as_a_wheel_for_this_interpreter() -> None:
    """A distribution that was compiled here is tagged for this machine only; users' machines lack a compiler."""
    for name in required_distributions():
        wheel = importlib.metadata.distribution(name).read_text("WHEEL") or ""
        tags = [line.removeprefix("Tag: ") for line in wheel.splitlines() if line.startswith("Tag: ")]
        assert tags, name
        assert all("manylinux" in tag or tag.endswith("-any") for tag in tags), (name, tags)


@pytest.mark.parametrize(
    ("line", "packages"),
    [
        (
            "[ a -nt b ] || (python3 -m pip install x && touch a)",
            {"coreutils", "python3", "python3-pip", "ca-certificates"},
        ),
        ("python3 -m emberring store", {"python3"}),
    ],
)
def test_commands_are_found_in_a_shell_line(line: str, packages: set[str]) -> None:
    assert {package for command in commands_of(line) for package in packages_of(command)} == packages


def test_a_command_without_a_known_package_is_reported() -> None:
    with pytest.raises(KeyError):
        packages_of(commands_of("cargo build")[0])
