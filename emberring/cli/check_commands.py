"""`emberring check`: settings files, and what a node keeps on disk, read without changing anything."""

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

# Modules with `play_seed`, `shorten` and `describe`; imported when they are played.
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
    """Check a settings file; every mistake is named, unknown keys are skipped."""
    try:
        found = load_settings(file)
    except SettingsError as error:
        if as_json:
            print_json({"File": str(file), "Valid": False, "Mistakes": error.detail})
        print_error(error.detail)
        exit_with(ExitCode.UNUSABLE_INPUT)
        return
    if as_json:
        print_json({"File": str(file), "Valid": True, "Settings": attrs.asdict(found)})
    else:
        print_line(f"{file}: valid, node {found.node_name} in zone {found.zone}")


DirectoryArgument = Annotated[
    Path, typer.Argument(metavar="DIR", help="The node's DataDir, or a copy of it. Nothing is written.")
]
SeedsOption = Annotated[int, typer.Option("--seeds", min=1, help="How many schedules to play.")]
FirstOption = Annotated[int, typer.Option("--first", min=0, help="The seed of the first one.")]
JobsOption = Annotated[int, typer.Option("--jobs", min=1, help="How many processes play them.")]
ShownOption = Annotated[int, typer.Option("--show", min=0, help="Failing schedules to shorten and show.")]


@app.command(epilog=EXIT_CODES_TEXT)
def register(
    directory: Annotated[
        Path | None,
        typer.Argument(metavar="[DIR]", help="A control node's DataDir. Without it the simulator plays."),
    ] = None,
    seeds: SeedsOption = 200,
    first: FirstOption = 1,
    show: ShownOption = 3,
    jobs: JobsOption = 1,
    as_json: JsonOption = False,
) -> None:
    """Verify every record of a control node's register (DIR), or play the register in a simulator (--seeds)."""
    if directory is not None:
        _print_report(report_register(directory), as_json)
        return
    _play("register", seeds, first, show, jobs, as_json)


@app.command(epilog=EXIT_CODES_TEXT)
def store(directory: DirectoryArgument, as_json: JsonOption = False) -> None:
    """Verify every record of a store and say what is lost. Best while the node is stopped."""
    _print_report(report_store(directory), as_json)


def _play(what: str, seeds: int, first: int, show: int, jobs: int, as_json: bool) -> None:
    """Play schedules in the simulator of this name."""
    simulator = importlib.import_module(SIMULATORS[what])
    verdicts = play_seeds(simulator.play_seed, first, seeds, jobs)
    run_check(what, verdicts, simulator.shorten, simulator.describe, show, as_json)


def _add_simulator(what: str, text: str) -> None:
    """Add the command that plays a simulator and does nothing else."""

    @app.command(what, help=text, epilog=EXIT_CODES_TEXT)
    def command(
        seeds: SeedsOption = 100,
        first: FirstOption = 1,
        show: ShownOption = 3,
        jobs: JobsOption = 1,
        as_json: JsonOption = False,
    ) -> None:
        _play(what, seeds, first, show, jobs, as_json)


_add_simulator("lots", "Play lots on stores in a simulator with seeded schedules of troubles.")
_add_simulator(
    "control",
    "Play the whole control plane in a simulator: orders, drains, cuts, losses, replacements, restarts.",
)


@app.command(epilog=EXIT_CODES_TEXT)
def model(
    depth: Annotated[int, typer.Option("--depth", min=1, help="Events in a row, at most.")] = 30,
    states: Annotated[int, typer.Option("--states", min=1, help="States in all, about.")] = 100_000,
    ballots: Annotated[
        str, typer.Option("--ballots", help="Ballots of the two proposers, as in 2,1.")
    ] = "1,1",
    losses: Annotated[int, typer.Option("--losses", min=0, help="Disks that may be lost.")] = 1,
    restarts: Annotated[int, typer.Option("--restarts", min=0, help="Replicas that may start again.")] = 1,
    as_json: JsonOption = False,
) -> None:
    """Look at every order of events in a small register: two proposers, a replacement, a lost disk, a restart."""
    from emberring.simulation.register.model import Bounds, search

    parts = ballots.split(",")
    if len(parts) != 2 or not all(part.strip().isdigit() for part in parts):
        print_error("--ballots wants two whole numbers, as in 2,1")
        exit_with(ExitCode.UNUSABLE_INPUT)
        return
    found = search(Bounds(depth, states, (int(parts[0]), int(parts[1])), losses, restarts))
    if as_json:
        print_json(attrs.asdict(found))
    else:
        more = "all there are" if found.whole else "not all there are"
        print_line(f"model: {found.states} states, {found.depth} events deep, {more}")
        for event in found.way:
            print_line(f"  {event}")
    if found.wrong:
        print_error(found.wrong)
        exit_with(ExitCode.REFUSED)


def _print_report(report: DiskReport, as_json: bool) -> None:
    if as_json:
        print_json(attrs.asdict(report))
    else:
        print_line(f"{report.directory}: identity {report.identity or 'none'}")
        print_line(f"{report.records} records in {report.segments} segments, {report.bytes} bytes")
        for name, value in report.facts.items():
            for item in value if isinstance(value, list) else [value]:
                print_line(f"{name}: {_text(item)}")
    for damage in report.damages:
        print_error(f"{report.directory}: {damage}")
    if report.damages:
        exit_with(ExitCode.REFUSED)


def _text(item: object) -> str:
    if isinstance(item, dict):
        return ", ".join(f"{key} {value}" for key, value in item.items())
    return str(item)
