"""Duration of `loadbalancer config check` over many files.

    python benchmarks/check_files.py --files 1000

Catalogues, descriptions and configurations are written to a temporary folder, a fifth of them with a mistake. Measured
are the whole command with its start-up, and the check alone in this process.
"""

from __future__ import annotations

import argparse
import os
import platform
import resource
import statistics
import subprocess
import sys
import tempfile
import time
from importlib.resources import files
from pathlib import Path

from loadbalancer.cli.config import check_files
from loadbalancer.sidecar.checks import check
from loadbalancer.sidecar.derive import derive, text_of
from loadbalancer.sidecar.load import parse


def write(folder: Path, count: int) -> list[str]:
    """Write one catalogue, then descriptions and configurations alternately; returns their paths."""
    shipped = files("loadbalancer.examples")
    catalogue = parse((shipped / "ledger.toml").read_text(), "ledger.toml")
    check(catalogue)
    paths = [folder / "ledger.toml"]
    paths[0].write_text(catalogue.text)
    names = ("clerk-desk", "month-close", "bank-matching")
    for at in range(count - 1):
        text = (shipped / f"{names[at % 3]}.toml").read_text().replace(names[at % 3], f"app-{at}")
        if at % 2:
            application = parse(text, "app.toml")
            check(application)
            derived = derive(catalogue, application)
            assert derived is not None
            text = text_of(derived, catalogue, application)
        if at % 5 == 0:
            text = text.replace("zone", "zoen", 1)
        paths.append(folder / f"app-{at}.toml")
        paths[-1].write_text(text)
    return [str(path) for path in paths]


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--files", type=int, default=1000)
    parser.add_argument("--rounds", type=int, default=5)
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        paths = write(Path(folder), args.files)
        size = sum(os.path.getsize(path) for path in paths)
        command = [sys.executable, "-m", "loadbalancer.cli", "config", "check", *paths]
        command_times, check_times, mistake_count = [], [], 0
        for _ in range(args.rounds):
            start_s = time.perf_counter()
            completed = subprocess.run(command, capture_output=True, check=False, text=True)
            command_times.append(time.perf_counter() - start_s)
            assert completed.returncode == 1, completed.stderr
            start_s = time.perf_counter()
            documents, _ = check_files(paths, 65536)
            check_times.append(time.perf_counter() - start_s)
            mistake_count = sum(len(document.mistakes) for document in documents)
            assert len(completed.stdout.splitlines()) == mistake_count
        memory = resource.getrusage(resource.RUSAGE_CHILDREN).ru_maxrss / 1024
    print(
        f"{args.files} files, {size / 1e6:.1f} MB, {mistake_count} mistakes, {args.rounds} rounds, medians; "
        f"{platform.machine()}, {os.cpu_count()} cores, Python {platform.python_version()}"
    )
    print(f"{'case':<22}{'seconds':>9}{'ms a file':>11}{'least':>8}{'most':>8}")
    for label, times in (("the whole command", command_times), ("the check alone", check_times)):
        median_s = statistics.median(times)
        print(
            f"{label:<22}{median_s:>9.2f}{median_s / args.files * 1e3:>11.2f}{min(times):>8.2f}{max(times):>8.2f}"
        )
    print(f"the command's memory: {memory:.0f} MB at most")
    return 0


if __name__ == "__main__":
    sys.exit(main())
