"""`loadbalancer try` with short runs, and the help of each command."""

from __future__ import annotations

import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent.parent


def run_command(*words: str) -> subprocess.CompletedProcess[str]:
    call = [sys.executable, "-m", "loadbalancer.cli", *words]
    return subprocess.run(call, cwd=ROOT, capture_output=True, text=True, timeout=120)


def test_try_keeps_the_rules_and_shows_the_results(tmp_path):
    ended = run_command("try", "--seconds", "2", "--rate", "80", "--plain", "--keep", str(tmp_path))
    assert ended.returncode == 0, ended.stdout + ended.stderr
    for rule in ("no request lost", "no effect twice", "drains kept"):
        assert f"{rule}: kept" in ended.stdout
    for word in (
        "balance-read",
        "journal-post",
        "invoice-record",
        "box-3 drains",
        "box-2 hangs",
        "8 times slower",
    ):
        assert word in ended.stdout
    configuration = tomllib.loads((tmp_path / "month-close.configuration.toml").read_text())
    assert configuration["kind"] == "configuration"
    assert {path.name for path in tmp_path.iterdir()} >= {"ledger.toml", "month-close.toml", "sidecar.log"}


@pytest.mark.parametrize("words", [("--seconds", "0"), ("--rate", "1e9"), ("--boxes", "1")])
def test_an_option_out_of_range_is_an_error(words):
    ended = run_command("try", *words)
    assert ended.returncode == 2
    assert "see --help" in ended.stderr


@pytest.mark.parametrize(
    "words",
    [
        (),
        ("try",),
        ("sidecar",),
        ("config",),
        *(("config", name) for name in ("write", "check", "explain", "drift")),
    ],
)
def test_each_command_has_help(words):
    ended = run_command(*words, "--help")
    assert ended.returncode == 0
    assert ended.stdout.startswith("usage: loadbalancer")


def test_an_unknown_command_exits_with_2():
    assert run_command("serve").returncode == 2
    assert run_command().returncode == 2
