"""`emberring check`: read-only checks of settings files and of a node's data on disk, and simulator runs."""

from __future__ import annotations

import importlib
from pathlib import Path
from typing import Annotated

import attrs
import typer

from emberring.cli.disk_reports import DiskReport, report_register, report_store
from emberring.cli.options import JsonOption
from emberring.cli.printing import EXIT_CODES_TEXT, ExitCode, exit_with, print_error, print_json, print_line
from emberring.cli.simulator_checks import play_seeds, run_check
from emberring.errors import SettingsError
from emberring.settings import load_settings

# Modules that define `play_seed`, `shorten` and `describe`; each is imported only when its simulator runs.
SIMULATORS = {
    "register": "emberring.simulation.register.simulator",
    "lots": "emberring.simulation.jobs.simulator",
    "control": "emberring.simulation.control_plane.simulator",
}

app = typer.Typer(no_args_is_help=True, epilog=EXIT_CODES_TEXT)


@app.command(epilog=EXIT_CODES_TEXT)
def settings(
    file: Annotated[Path, typer.Argument(metavar="FILE", help="A settings file in TOML.")],
    as_json: JsonOption = False,
) -> None:
    """Check a settings file and report every error; unknown keys are ignored."""
    try:
        loaded = load_settings(file)
    except SettingsError as error:
        if as_json:
            print_json({"File": str(file), "Valid": False, "Mistakes": error.detail})
        print_error(error.detail)
        exit_with(ExitCode.UNUSABLE_INPUT)
        return
    if as_json:
        print_json({"File": str(file), "Valid": True, "Settings": attrs.asdict(loaded)})
    else:
        print_line(f"{file}: valid, node {loaded.node_name} in zone {loaded.zone}")


DirectoryArgument = Annotated[
    Path, typer.Argument(metavar="DIR", help="The node's DataDir, or a copy of it. Nothing is written.")
]
SeedsOption = Annotated[int, typer.Option("--seeds", min=1, help="Number of schedules to run.")]
FirstOption = Annotated[int, typer.Option("--first", min=0, help="Seed of the first schedule.")]
JobsOption = Annotated[int, typer.Option("--jobs", min=1, help="Processes that run the schedules.")]
ShownOption = Annotated[
    int, typer.Option("--show", min=0, help="Maximum number of failing schedules to shorten and print.")
]


@app.command(epilog=EXIT_CODES_TEXT)
def register(
    directory: Annotated[
        Path | None,
        typer.Argument(metavar="[DIR]", help="A control node's DataDir. Without it, the simulator runs."),
    ] = None,
    seeds: SeedsOption = 200,
    first: FirstOption = 1,
    show: ShownOption = 3,
    jobs: JobsOption = 1,
    as_json: JsonOption = False,
) -> None:
    """Verify every record of a control node's register (DIR), or run the register in a simulator (--seeds)."""
    if directory is not None:
        _print_report(report_register(directory), as_json)
        return
    _run_simulator("register", seeds, first, show, jobs, as_json)


@app.command(epilog=EXIT_CODES_TEXT)
def store(directory: DirectoryArgument, as_json: JsonOption = False) -> None:
    """Verify every record of a store and report losses. Preferably run it while the node is stopped."""
    _print_report(report_store(directory), as_json)


def _run_simulator(simulator_name: str, seeds: int, first: int, show: int, jobs: int, as_json: bool) -> None:
    """Run seeded schedules in the simulator of this name and print the result."""
    simulator = importlib.import_module(SIMULATORS[simulator_name])
    verdicts = play_seeds(simulator.play_seed, first, seeds, jobs)
    run_check(simulator_name, verdicts, simulator.shorten, simulator.describe, show, as_json)


def _add_simulator(simulator_name: str, help_text: str) -> None:
    """Register a command that runs this simulator."""

    @app.command(simulator_name, help=help_text, epilog=EXIT_CODES_TEXT)
    def command(
        seeds: SeedsOption = 100,
        first: FirstOption = 1,
        show: ShownOption = 3,
        jobs: JobsOption = 1,
        as_json: JsonOption = False,
    ) -> None:
        _run_simulator(simulator_name, seeds, first, show, jobs, as_json)


_add_simulator("lots", "Run lots on stores in a simulator with seeded schedules of faults.")
_add_simulator(
    "control",
    "Run the control plane in a simulator: changes, drains, partitions, lost disks, replacements, restarts.",
)


@app.command(epilog=EXIT_CODES_TEXT)
def model(
    depth: Annotated[
        int, typer.Option("--depth", min=1, help="Maximum length of a sequence of events.")
    ] = 30,
    states: Annotated[int, typer.Option("--states", min=1, help="Approximate limit of states.")] = 100_000,
    ballots: Annotated[
        str, typer.Option("--ballots", help="Ballots of the two proposers, as in 2,1.")
    ] = "1,1",
    losses: Annotated[int, typer.Option("--losses", min=0, help="Maximum number of lost disks.")] = 1,
    restarts: Annotated[
        int, typer.Option("--restarts", min=0, help="Maximum number of restarts of replicas.")
    ] = 1,
    as_json: JsonOption = False,
) -> None:
    """Check every order of events in a small register: two proposers, a replacement, a lost disk, a restart."""
    from emberring.simulation.register.model import Bounds, search

    parts = ballots.split(",")
    if len(parts) != 2 or not all(part.strip().isdigit() for part in parts):
        print_error("--ballots wants two whole numbers, as in 2,1")
        exit_with(ExitCode.UNUSABLE_INPUT)
        return
    result = search(Bounds(depth, states, (int(parts[0]), int(parts[1])), losses, restarts))
    if as_json:
        print_json(attrs.asdict(result))
    else:
        coverage = "all there are" if result.whole else "not all there are"
        print_line(f"model: {result.states} states, {result.depth} events deep, {coverage}")
        for event in result.way:
            print_line(f"  {event}")
    if result.wrong:
        print_error(result.wrong)
        exit_with(ExitCode.REFUSED)


def _print_report(report: DiskReport, as_json: bool) -> None:
    if as_json:
        print_json(attrs.asdict(report))
    else:
        print_line(f"{report.directory}: identity {report.identity or 'none'}")
        print_line(f"{report.records} records in {report.segments} segments, {report.bytes} bytes")
        for name, value in report.facts.items():
            for item in value if isinstance(value, list) else [value]:
                print_line(f"{name}: {_format_fact(item)}")
    for damage in report.damages:
        print_error(f"{report.directory}: {damage}")
    if report.damages:
        exit_with(ExitCode.REFUSED)


def _format_fact(item: object) -> str:
    if isinstance(item, dict):
        return ", ".join(f"{key} {value}" for key, value in item.items())
    return str(item)
